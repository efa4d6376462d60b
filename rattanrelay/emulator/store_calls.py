"""Counts and rates of the calls to the emulated store."""

from collections import Counter, deque
from typing import NamedTuple

__all__ = ["CallLog", "StoreCall"]

#: Number of newest calls that are kept; all calls are counted.
MAX_CALLS = 50_000

RATE_WINDOW_S = 1.0


class StoreCall(NamedTuple):
    """A call; `time` is in Unix seconds, and `status` 0 means that there was no answer.

    `version` is the version that a write created or a read returned; 0 for none.
    """

    time: float
    kind: str
    method: str
    key: str
    status: int
    applied: bool
    version: int


class CallLog:
    """Calls, and their counts by kind: `read`, `write`, `watch`, `list`, `lease`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.limited: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()
        self.calls: deque[StoreCall] = deque(maxlen=MAX_CALLS)
        self.windows: dict[str, deque[float]] = {}

    def record_arrival(self, kind: str, now: float) -> int:
        """Count a call and return the number of calls of its kind in the last second."""
        self.counts[kind] += 1
        window = self.windows.setdefault(kind, deque())
        window.append(now)
        while window[0] <= now - RATE_WINDOW_S:
            window.popleft()
        self.peaks[kind] = max(self.peaks[kind], len(window))
        return len(window)

    def record(self, call: StoreCall) -> None:
        """Record a call with its result."""
        self.calls.append(call)

    def summary(self) -> dict:
        """Return the counts, the refusals by rate limit and the peak of calls in one second."""
        return {
            "counts": dict(self.counts),
            "limited": dict(self.limited),
            "peak_per_second": dict(self.peaks),
        }

    def clear(self) -> None:
        """Discard all calls and counts."""
        self.__init__()
