"""Pacing of the requests to one searcher: what it states that it can take, over all instances.

A searcher may state a rate of requests that it takes from all instances together, a time for which
it wants none, that it is cold, or that it is leaving. Each instance keeps to a part of the rate, so
that all of them together keep to the whole without a message for each request.

If a rate is too low to divide, some instances have no part of it. They borrow permits from those
that have one: else they would hear from the searcher no more, and not learn that it takes requests
again. Answers the load of a service whose callers reach more instances than its rate has requests.
"""

import math
from typing import NamedTuple

from .cold_start import ColdLimits, ColdRequestWindow, Fleet
from .ownership import ranked

__all__ = ["MAX_PAUSE_S", "Pacer", "RateShare", "Terms", "limit_senders", "rate_holders"]
__all__ += ["rate_share"]

#: Share of a rate that all instances divide, since any of them may have to take over the shards of
#: another one; the rest is for the instances that send to the searcher all the time.
COMMON_SHARE = 0.2

#: Requests that an instance may send at once after a time without any, in seconds of its rate.
BURST_S = 1.0
#: Lowest rate in requests per second that is divided. An instance learns only from answers that a
#: searcher takes requests again.
MIN_LIMIT = 0.25
#: Longest time in seconds for which a searcher is left alone because it asked for that.
MAX_PAUSE_S = 600.0
#: Time in seconds in which another instance usually replies to a request for a permit.
BORROW_TIME_S = 0.02
#: Time in seconds for which a borrowed permit may be used.
LOAN_S = 1.0
#: Shortest time in seconds until a permit is asked for again after none could be lent.
BORROW_PAUSE_S = 1.0
#: Time in seconds without an answer of a searcher after which an instance to which no other one
#: lends a permit sends a request without one.
UNHEARD_S = 30.0
#: Time in seconds for which a searcher whose process has ended may be back and cold before this
#: instance has read its new entry.
UNKNOWN_START_S = 5.0


class RateShare(NamedTuple):
    """Part of a searcher's rate: requests per second, and how many may come at once."""

    rate: float
    burst: float


class Terms(NamedTuple):
    """What an instance knows of the instances that send to a searcher, and of its service."""

    #: Number of instances that divide a stated rate.
    senders: float
    #: Requests per second to a cold searcher from all instances together; None for no limit.
    cold_rate: float | None
    cold: ColdLimits
    fleet: Fleet


def rate_share(limit: float, senders: float) -> RateShare:
    """Return the part of a stated rate of one of `senders` instances."""
    rate = max(limit, MIN_LIMIT) / max(senders, 1.0)
    return RateShare(rate, max(1.0, BURST_S * rate))


def rate_holders(searcher: str, limit: float | None, fleet: Fleet) -> list[str]:
    """Return the instances with a part of the rate of a searcher to which all instances send.

    If there are more instances than requests per second, they are chosen by a hash of their names.
    """
    names = {*fleet.names, fleet.me}
    most = max(1, int(limit or 0.0))
    return list(names) if len(names) <= most else ranked(names, searcher)[:most]


def limit_senders(
    searcher: str, limit: float | None, fleet: Fleet, *, askers: int | None, shared: bool
) -> float:
    """Return by what a searcher's stated rate is divided to get this instance's part of it.

    `askers` instances send to the searcher all the time, if this is one of them, else None; to a
    `shared` service all instances send. The result is infinite for an instance without a part.
    """
    if not shared:
        part = COMMON_SHARE / len({*fleet.names, fleet.me})
        if askers is not None:
            part += (1.0 - COMMON_SHARE) / max(askers, 1)
        return 1.0 / part
    holders = rate_holders(searcher, limit, fleet)
    return float(len(holders)) if fleet.me in holders else math.inf


class Pacer:
    """When one searcher may get further requests from this instance; times in seconds."""

    def __init__(self, searcher: str, cold_until: float = 0.0) -> None:
        self.searcher = searcher
        #: Time until which it is cold and may get requests at a limited rate only.
        self.cold_until = cold_until
        #: Rate that its last answer stated, in requests per second; None for no limit.
        self.limit: float | None = None
        #: Time until which it wants no requests.
        self.resumes_at = -math.inf
        #: Whether it has stated that it is leaving.
        self.leaving = False
        self.cold_window = ColdRequestWindow()
        #: Time of the answer from which `limit` is known, of this or another instance.
        self.heard_at = -math.inf
        #: Whether another instance is being asked for a permit, and when one may be asked again.
        self.borrowing = False
        self.next_borrow_at = -math.inf
        self._borrowed_until = -math.inf
        self._own_permit_at = -math.inf
        self._permits = 0.0
        self._updated = -math.inf

    def pause(self, seconds: float, now: float) -> None:
        """Send nothing for some seconds; a longer pause stays in force."""
        self.resumes_at = max(self.resumes_at, now + min(seconds, MAX_PAUSE_S))

    def record_process_end(self, now: float) -> None:
        """Take the searcher for cold until its new entry tells, since its process has ended."""
        self.cold_until = max(self.cold_until, now + UNKNOWN_START_S)

    def set_limit(self, limit: float | None, now: float, heard_at: float | None = None) -> None:
        """Apply the rate that an answer states, or that it states none.

        `heard_at` is the time of the answer if another instance got it.
        """
        if self.limit is None and limit is not None:
            self._permits, self._updated = min(1.0, limit), now
        self.limit = limit
        self.heard_at = now if heard_at is None else heard_at

    def needs_permit(self, terms: Terms, now: float) -> bool:
        """Return whether a permit should be borrowed now for a request that waits for one."""
        if self.limit is None or self.leaving or now < self.resumes_at:
            return False
        return math.isinf(terms.senders) and self._borrow_wait(now) > 0.0 and self._may_borrow(now)

    def lend(self, terms: Terms, now: float) -> bool:
        """Return whether another instance may send a request now, and count it if so."""
        if self.limit is None or math.isinf(terms.senders) or not self.allows(terms, now):
            return False
        self.record_send(terms, now)
        return True

    def record_loan(self, now: float) -> None:
        """Record that a permit was borrowed."""
        self.borrowing = False
        self._borrowed_until = now + LOAN_S

    def record_denial(self, wait: float, now: float) -> None:
        """Record that no permit can be borrowed for `wait` seconds."""
        self.borrowing = False
        self.next_borrow_at = now + max(BORROW_PAUSE_S, wait)

    def take_own_permit(self, instances: int, now: float) -> bool:
        """Take a permit without a loan if nothing was heard of the searcher for long.

        All `instances` together keep to the rate also if none of them can reach another one.
        """
        period = max(UNHEARD_S, instances / max(self.limit or 0.0, MIN_LIMIT))
        if now - max(self.heard_at, self._own_permit_at) < period:
            return False
        self._own_permit_at = now
        self.record_loan(now)
        return True

    def restricts(self, now: float) -> bool:
        """Return whether it limits requests at all, as few searchers do."""
        limited = self.limit is not None or now < self.cold_until or now < self.resumes_at
        return limited or self.leaving

    def wait(self, terms: Terms, now: float) -> float:
        """Return the seconds until its rate and its pause allow a request, infinity if never.

        Without a part of the rate, these are the seconds until a permit may have been borrowed. A
        cold searcher may have to be left alone for longer.
        """
        if self.leaving:
            return math.inf
        wait = max(0.0, self.resumes_at - now)
        if self.limit is not None and math.isinf(terms.senders):
            wait = max(wait, self._borrow_wait(now))
        elif self.limit is not None:
            share = rate_share(self.limit, terms.senders)
            missing = 1.0 - self._available(share, now)
            if missing > 0.0:
                wait = max(wait, missing / share.rate)
        return wait

    def allows(self, terms: Terms, now: float) -> bool:
        """Return whether it may get a request now."""
        if self.wait(terms, now) > 0.0:
            return False
        return (
            now >= self.cold_until
            or terms.cold_rate is None
            or self.cold_window.allows(now, self.searcher, terms.cold_rate, terms.cold, terms.fleet)
        )

    def record_send(self, terms: Terms, now: float) -> bool:
        """Count a request that is sent now; return whether it counts as one to a cold searcher."""
        if math.isinf(terms.senders):
            self._borrowed_until = -math.inf
        elif self.limit is not None:
            self._permits = self._available(rate_share(self.limit, terms.senders), now) - 1.0
            self._updated = now
        if now >= self.cold_until:
            return False
        self.cold_window.send(now)
        return True

    def _may_borrow(self, now: float) -> bool:
        return not self.borrowing and now >= self.next_borrow_at

    def _borrow_wait(self, now: float) -> float:
        if now < self._borrowed_until:
            return 0.0
        return BORROW_TIME_S if self.borrowing else max(BORROW_TIME_S, self.next_borrow_at - now)

    def _available(self, share: RateShare, now: float) -> float:
        return min(share.burst, self._permits + share.rate * max(0.0, now - self._updated))
