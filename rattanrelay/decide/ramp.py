"""Slow start: the slots that a searcher may use while it warms up after a cold start."""

from typing import Literal

__all__ = ["FAST_FACTOR", "RUN_LENGTH", "SLOW_FACTOR", "Change", "Ramp"]

#: Number of consecutive fast answers that add a slot, or of slow ones that show a cold server.
RUN_LENGTH = 8
#: An answer within this multiple of the warm latency counts towards another slot.
FAST_FACTOR = 2.0
#: Answers above this multiple of the warm latency show that the server is cold.
SLOW_FACTOR = 4.0

#: Effect of an answer: none, one more slot, the end of the restriction, or a sign of a cold server.
Change = Literal["none", "grown", "full", "slow"]


class Ramp:
    """Slow start of one searcher; `allowed` is None while its slots are not restricted."""

    def __init__(self, cold_slots: int) -> None:
        self.allowed: int | None = None
        self.fast_run = 0
        self.slow_run = 0
        self.restart(cold_slots)

    def restart(self, cold_slots: int) -> None:
        """Start again with the slots for a cold server, at least 1."""
        self.allowed = max(cold_slots, 1)
        self.fast_run = 0
        self.slow_run = 0

    def allowance(self, limit: int) -> int:
        """Return how many slots may be in use, at most the limit from the rows."""
        return limit if self.allowed is None else min(limit, self.allowed)

    def record_answer(self, latency: float, warm_latency: float, limit: int) -> Change:
        """Count the answer to a request that ran; both latencies have the same unit."""
        self.slow_run = self.slow_run + 1 if latency > SLOW_FACTOR * warm_latency else 0
        if self.slow_run >= RUN_LENGTH:
            self.slow_run = 0
            return "slow"
        if self.allowed is None:
            return "none"
        if self.allowed >= limit:
            self.allowed = None
            return "full"
        return self._count_fast(latency <= FAST_FACTOR * warm_latency, limit)

    def on_shed(self, limit: int, cold_slots: int) -> bool:
        """Halve the allowance after a shed request, but not below the slots for a cold server.

        Returns whether the allowance is lower than before.
        """
        before = self.allowance(limit)
        self.allowed = max(before // 2, max(cold_slots, 1))
        self.fast_run = 0
        return self.allowance(limit) < before

    def _count_fast(self, fast: bool, limit: int) -> Change:
        self.fast_run = self.fast_run + 1 if fast else 0
        if self.fast_run < RUN_LENGTH:
            return "none"
        self.fast_run = 0
        self.allowed += 1
        if self.allowed < limit:
            return "grown"
        self.allowed = None
        return "full"
