"""This instance's part of the fleet's budget for hedges and retries of a service.

In any window the fleet may send `ratio` extra requests (hedges and retries) for each first one, and
`floor` more. Each instance counts its own first requests and a part of the floor, so that the fleet
stays within the budget without messages between instances.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["ExtraLimits", "ExtraWindow", "floor_divisor"]

#: Share of the budget that is used; the rest covers instances that this one does not know yet.
USABLE_SHARE = 0.9
#: Share of the usable budget that hedges may take; the rest is for retries after failures.
HEDGE_SHARE = 0.7
#: Share of the floor that all instances divide, since any of them may have to take over the shards
#: of another one. The rest is divided among the instances that gather a shard all the time: in a
#: large fleet they are few, and nearly all slow searchers are met by them.
COMMON_SHARE = 0.72
#: Number of buckets of a window in which first requests are counted.
BUCKETS = 10


def floor_divisor(instances: int, askers: int | None) -> float:
    """Return the number by which the floor is divided to get the part of one instance.

    `askers` is the number of instances that send requests to the service all the time if this is
    one of them, else None.
    """
    share = COMMON_SHARE / max(instances, 1)
    if askers is not None:
        share += (1.0 - COMMON_SHARE) / max(askers, 1)
    return 1.0 / share


class ExtraLimits(NamedTuple):
    """Fleet-wide limits of the extra requests to each service."""

    ratio: float
    floor: float
    #: Length of a window in seconds.
    window: float


class ExtraWindow:
    """Extra and first requests of this instance to one service in the last window."""

    def __init__(self) -> None:
        self.extras: deque[float] = deque()
        self.firsts: deque[list[float]] = deque()
        self.first_count = 0

    def record_first(self, now: float, limits: ExtraLimits) -> None:
        """Count a first request."""
        width = limits.window / BUCKETS
        if not self.firsts or now - self.firsts[-1][0] >= width:
            self.firsts.append([now, 0])
        self.firsts[-1][1] += 1
        self.first_count += 1

    def reserve(self, now: float, limits: ExtraLimits, divisor: float, *, hedge: bool) -> bool:
        """Count an extra request and return whether the budget allows it to be sent.

        This instance has the floor divided by `divisor`.
        """
        allowed = self.allowed(now, limits, divisor)
        if len(self.extras) + 1 > allowed * (HEDGE_SHARE if hedge else 1.0):
            return False
        self.extras.append(now)
        return True

    def refund(self) -> None:
        """Remove the newest extra request, which was not sent."""
        if self.extras:
            self.extras.pop()

    def refund_first(self) -> None:
        """Remove the newest first request, which was not sent and so allows no extra ones."""
        if self.firsts and self.firsts[-1][1]:
            self.firsts[-1][1] -= 1
            self.first_count -= 1

    def allowed(self, now: float, limits: ExtraLimits, divisor: float) -> float:
        """Return the extra requests that this instance may send in one window."""
        start = now - limits.window
        while self.extras and self.extras[0] < start:
            self.extras.popleft()
        while self.firsts and self.firsts[0][0] < start:
            self.first_count -= self.firsts.popleft()[1]
        share = limits.floor / max(divisor, 1.0)
        return USABLE_SHARE * (limits.ratio * self.first_count + share)
