"""Exponential backoff with jitter for calls that the store does not answer."""

from random import Random

__all__ = ["FIRST_DELAY_S", "MAX_DELAY_S", "Backoff"]

FIRST_DELAY_S = 1.0
#: At this delay, 340 cells with 10 documents and two watchers each make about 1,100 calls/s.
MAX_DELAY_S = 8.0


class Backoff:
    """Delays in seconds that double from `first` up to `longest` with each failure in a row.

    Jitter keeps the instances of a fleet from retrying at the same time.
    """

    def __init__(
        self,
        rng: Random,
        *,
        first: float = FIRST_DELAY_S,
        longest: float = MAX_DELAY_S,
    ) -> None:
        self.rng = rng
        self.first = first
        self.longest = longest
        self.failures = 0

    def record_failure(self) -> float:
        """Count a failure and return the delay until the next call, in seconds."""
        delay = min(self.longest, self.first * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        return delay * self.rng.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Reset the count of failures, so that the next delay is the first again."""
        self.failures = 0
