"""Counts and rates of the calls to the emulated store."""

from collections import Counter, deque
from typing import NamedTuple

__all__ = ["CallLog", "StoreCall"]

#: Calls that are kept in full; all are counted.
MAX_CALLS = 50_000

RATE_WINDOW_S = 1.0


class StoreCall(NamedTuple):
    """A call; `time` in Unix seconds. `status` 0 means that it was not answered.

    `version` is the version that a write made, or that a read returned; 0 for none.
    """

    time: float
    kind: str
    method: str
    key: str
    status: int
    applied: bool
    version: int


class CallLog:
    """Calls by kind: `read`, `write`, `watch`, `list`, `lease`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.limited: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()
        self.calls: deque[StoreCall] = deque(maxlen=MAX_CALLS)
        self.windows: dict[str, deque[float]] = {}

    def arrive(self, kind: str, now: float) -> int:
        """Count a call; returns the calls of its kind within the last second."""
        self.counts[kind] += 1
        window = self.windows.setdefault(kind, deque())
        window.append(now)
        while window[0] <= now - RATE_WINDOW_S:
            window.popleft()
        self.peaks[kind] = max(self.peaks[kind], len(window))
        return len(window)

    def record(self, call: StoreCall) -> None:
        """Keep a call with its result."""
        self.calls.append(call)

    def summary(self) -> dict:
        """Return counts, refusals by rate limit, and the peak of calls in one second."""
        return {
            "counts": dict(self.counts),
            "limited": dict(self.limited),
            "peak_per_second": dict(self.peaks),
        }

    def clear(self) -> None:
        """Forget all calls."""
        self.__init__()
