"""Growing pauses between calls that the store does not answer."""

from random import Random

__all__ = ["FIRST_PAUSE_S", "LONGEST_PAUSE_S", "Backoff"]

FIRST_PAUSE_S = 1.0
#: With two watchers for each of 10 documents, 340 cells then make about 1,100 calls/s.
LONGEST_PAUSE_S = 8.0


class Backoff:
    """Pauses that double with each failure; chance keeps the instances of a fleet apart."""

    def __init__(
        self,
        rng: Random,
        *,
        first: float = FIRST_PAUSE_S,
        longest: float = LONGEST_PAUSE_S,
    ) -> None:
        self.rng = rng
        self.first = first
        self.longest = longest
        self.failures = 0

    def failed(self) -> float:
        """Count a failure and return the pause before the next call, in seconds."""
        pause = min(self.longest, self.first * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        return pause * self.rng.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Forget the failures."""
        self.failures = 0
