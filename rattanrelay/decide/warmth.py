"""Requests to a cold searcher: few instances may send, and each sends few.

The decision answers the load on a searcher that has just started: it bears a number of requests a
second from the whole fleet, and fails well above that.
"""

from collections import deque
from typing import NamedTuple

import xxhash

__all__ = ["ColdLimits", "ColdPace"]

#: Requests that reach a searcher in one second may have been sent over a longer time.
SPREAD_S = 1.2


class ColdLimits(NamedTuple):
    """What the fleet may send to one cold searcher in a second: rate x overshoot + slack."""

    overshoot: float
    slack: float


class ColdPace:
    """This instance's requests to one cold searcher in the last second."""

    def __init__(self) -> None:
        self.sent: deque[float] = deque()

    def allows(
        self, now: float, searcher: str, rate: float, limits: ColdLimits, fleet: "Fleet"
    ) -> bool:
        """Return whether one more request may be sent now."""
        while self.sent and self.sent[0] <= now - SPREAD_S:
            self.sent.popleft()
        bound = int(rate * limits.overshoot + limits.slack)
        share = share_of(bound, searcher, fleet)
        return len(self.sent) < share

    def send(self, now: float) -> None:
        """Count a request."""
        self.sent.append(now)


class Fleet(NamedTuple):
    """The instances as this one knows them."""

    me: str
    names: tuple[str, ...]


def share_of(bound: int, searcher: str, fleet: Fleet) -> int:
    """Return this instance's part of a bound over the fleet.

    The instances that get one more than the others are chosen by a hash of their names.
    """
    names = set(fleet.names) | {fleet.me}
    whole, rest = divmod(bound, len(names))
    if not rest:
        return whole
    ranked = sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{searcher}".encode()))
    return whole + (1 if fleet.me in ranked[:rest] else 0)
