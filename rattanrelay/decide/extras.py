"""This instance's part of the fleet's budget for repeated requests, per service.

The fleet may send `ratio` extra requests for each first one, and `floor` more, in any window.
Each instance uses its own first requests and an equal part of the floor, so that the sum holds
without a message.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["ExtraLimits", "ExtraWindow"]

#: Part of the allowance that is used; the rest covers instances that this one does not know yet.
SAFETY = 0.9
#: Part of it that hedges may use; the rest is for retries after failures.
HEDGE_SHARE = 0.7
#: Divisions of a window in the count of first requests.
BUCKETS = 10


class ExtraLimits(NamedTuple):
    """Limits of the fleet for each service."""

    ratio: float
    floor: float
    #: Length of a window in seconds.
    window: float


class ExtraWindow:
    """Extra requests to one service in the last window, and the first ones that pay for them."""

    def __init__(self) -> None:
        self.extras: deque[float] = deque()
        self.firsts: deque[list[float]] = deque()
        self.first_count = 0

    def first(self, now: float, limits: ExtraLimits) -> None:
        """Count a first request."""
        width = limits.window / BUCKETS
        if not self.firsts or now - self.firsts[-1][0] >= width:
            self.firsts.append([now, 0])
        self.firsts[-1][1] += 1
        self.first_count += 1

    def take(self, now: float, limits: ExtraLimits, instances: int, *, hedge: bool) -> bool:
        """Count an extra request if the budget allows it; False when it must not be sent."""
        allowed = self.allowed(now, limits, instances)
        if len(self.extras) + 1 > allowed * (HEDGE_SHARE if hedge else 1.0):
            return False
        self.extras.append(now)
        return True

    def refund(self) -> None:
        """Take back the newest extra request, which never left this instance."""
        if self.extras:
            self.extras.pop()

    def refund_first(self) -> None:
        """Take back the newest first request, which never left; it pays for no extra ones."""
        if self.firsts and self.firsts[-1][1]:
            self.firsts[-1][1] -= 1
            self.first_count -= 1

    def allowed(self, now: float, limits: ExtraLimits, instances: int) -> float:
        """Return the extra requests that this instance may send in one window."""
        start = now - limits.window
        while self.extras and self.extras[0] < start:
            self.extras.popleft()
        while self.firsts and self.firsts[0][0] < start:
            self.first_count -= self.firsts.popleft()[1]
        share = limits.floor / max(instances, 1)
        return SAFETY * (limits.ratio * self.first_count + share)
