"""Slow start: limits of the requests to a cold searcher.

A searcher that has just started can serve a limited number of requests a second from the whole
fleet, and fails well above that. Each instance sends an equal part of that number.
"""

from collections import deque
from typing import NamedTuple

import xxhash

__all__ = ["ColdLimits", "ColdRequestWindow"]

#: Window in which requests are counted, in seconds; requests that reach a searcher within one
#: second may have been sent over a longer time.
WINDOW_S = 1.2


class ColdLimits(NamedTuple):
    """Limits of the fleet's requests a second to one cold searcher: rate x overshoot + slack."""

    overshoot: float
    slack: float


class ColdRequestWindow:
    """Requests that this instance sent to one cold searcher in the last `WINDOW_S` seconds."""

    def __init__(self) -> None:
        self.sent: deque[float] = deque()

    def allows(
        self, now: float, searcher: str, rate: float, limits: ColdLimits, fleet: "Fleet"
    ) -> bool:
        """Return whether one more request may be sent now; `rate` is in requests a second."""
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
        bound = int(rate * limits.overshoot + limits.slack)
        share = instance_share(bound, searcher, fleet)
        return len(self.sent) < share

    def send(self, now: float) -> None:
        """Count a request."""
        self.sent.append(now)

    def refund(self) -> None:
        """Remove the request that was counted last, if any."""
        if self.sent:
            self.sent.pop()


class Fleet(NamedTuple):
    """This instance and the names of all instances that it knows."""

    me: str
    names: tuple[str, ...]


def instance_share(bound: int, searcher: str, fleet: Fleet) -> int:
    """Return this instance's part of a fleet-wide bound.

    If the bound cannot be divided evenly, some instances, chosen by a hash of their names, get one
    more than the others.
    """
    names = set(fleet.names) | {fleet.me}
    whole, rest = divmod(bound, len(names))
    if not rest:
        return whole
    ranked = sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{searcher}".encode()))
    return whole + (1 if fleet.me in ranked[:rest] else 0)
