"""Which searcher of a service gets a request, by what this instance has observed.

The decisions answer the load of a service whose searchers pause, turn slow or fail one by one: a
request goes where it is expected to end first.
"""

import math
from typing import NamedTuple

__all__ = ["Candidate", "Estimate", "cost", "pick"]

#: Requests of one kind differ by this factor without a slow searcher; 2.5 is the 99.5th percentile
#: of a log-normal spread of 0.35.
USUAL_SPREAD = 2.5
#: Weight of a latency within the spread. Such latencies tell searchers of different speed apart in
#: the long run; with a greater weight, chance sends requests to other failure domains.
STEADY_WEIGHT = 0.1
#: Weight of a longer one: after one response in 5 times the usual latency a searcher is left, since
#: each further one costs a hedge.
RISE_WEIGHT = 0.6
#: Weight of a shorter one while the estimate is beyond the spread: a searcher that pauses now and
#: then is fast again after some responses.
FALL_WEIGHT = 0.3
#: Weight of the newest result in a failure rate.
FAILURE_WEIGHT = 0.2
#: Seconds after which an estimate without new latencies has lost half of its distance to the usual.
#: One long latency is mostly a pause, which is over when it is known; with `FORGET_S` for each, a
#: searcher was avoided for longer than the time between two of its pauses.
FIRST_FORGET_S = 1.0
#: The same after a second long latency in a row; with half of it, a slow searcher got a request too
#: many in each of the seconds that it was slow.
FORGET_S = 4.0
#: The same for a failure rate.
FORGET_FAILURE_S = 2.0
#: Each request in flight from here makes another one this much longer, per slot.
QUEUE_SHARE = 0.8
#: A searcher that fails always costs this many times its latency more.
FAILURE_COST = 8.0
#: A searcher whose departure is not yet certain costs this many seconds more.
DOUBT_S = 2.0
#: A searcher in the instance's own failure domain costs this share less.
OWN_DOMAIN_DISCOUNT = 0.3


class Estimate:
    """Expected latency and failure rate of one searcher; times in seconds.

    Latencies count in multiples of what is usual for a kind of request, so that one kind learns
    from another.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self.updated = 0.0
        #: Long latencies in a row, each of a request sent after the one before was known.
        self.slow_in_row = 0
        self.slow_at = -math.inf
        self.failure_rate = 0.0
        self.failed_at = 0.0

    def answered(self, latency: float, usual: float, now: float) -> None:
        """Add the latency of a complete response to a kind of request with a usual latency."""
        self._add(latency, usual, now)
        self.failure_rate *= 1.0 - FAILURE_WEIGHT

    def unanswered(self, elapsed: float, usual: float, now: float) -> None:
        """Add a request that had no response after `elapsed`; shorter ones say nothing."""
        if elapsed / usual > self._faded(now):
            self._add(elapsed, usual, now)

    def _add(self, latency: float, usual: float, now: float) -> None:
        slowness, known = latency / usual, self._faded(now)
        if slowness > max(known, USUAL_SPREAD):
            weight = RISE_WEIGHT
        else:
            weight = FALL_WEIGHT if known > USUAL_SPREAD else STEADY_WEIGHT
        self._count_slow(slowness, now - latency, now)
        self.slowness = known + weight * (slowness - known)
        self.updated = now

    def _count_slow(self, slowness: float, sent: float, now: float) -> None:
        if slowness <= USUAL_SPREAD:
            self.slow_in_row = 0
        elif sent >= self.slow_at:
            self.slow_in_row += 1
            self.slow_at = now

    def _faded(self, now: float) -> float:
        age = max(0.0, now - self.updated)
        half = FORGET_S if self.slow_in_row > 1 else FIRST_FORGET_S
        return 1.0 + (self.slowness - 1.0) / (1.0 + (age / half) ** 3)

    def failed(self, now: float) -> None:
        """Add a failure or refusal."""
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.failed_at = now

    def expected(self, usual: float, now: float) -> float:
        """Return the latency to expect; an old estimate approaches the usual latency."""
        return usual * self._faded(now)

    def failures(self, now: float) -> float:
        """Return the failure rate; it fades like the latency."""
        age = max(0.0, now - self.failed_at)
        return self.failure_rate / (1.0 + (age / FORGET_FAILURE_S) ** 2)


class Candidate(NamedTuple):
    """State of a searcher at the time of a choice; times in seconds."""

    #: Latency to expect from an idle searcher.
    expected: float
    #: Share of failed requests.
    failures: float
    #: Requests of this instance that it has not answered.
    in_flight: int
    slots: int
    #: Age of the oldest of them beyond what was expected.
    overdue: float
    #: Time for a new connection, 0 when one is idle.
    connect: float
    own_domain: bool
    #: Its entry in the store is missing, but may come back.
    doubtful: bool


def cost(candidate: Candidate) -> float:
    """Return the expected seconds until a response, with a price for doubts."""
    waiting = QUEUE_SHARE * candidate.in_flight / max(candidate.slots, 1)
    seconds = candidate.expected * (1.0 + waiting + FAILURE_COST * candidate.failures)
    if candidate.own_domain:
        seconds *= 1.0 - OWN_DOMAIN_DISCOUNT
    seconds += candidate.overdue + candidate.connect
    return seconds + (DOUBT_S if candidate.doubtful else 0.0)


def pick(candidates: list[Candidate], noise: list[float]) -> int:
    """Return the index of the cheapest candidate; `noise` in 0..1 breaks near ties."""
    best, best_cost = 0, float("inf")
    for index, candidate in enumerate(candidates):
        price = cost(candidate) * (1.0 + 0.1 * noise[index])
        if price < best_cost:
            best, best_cost = index, price
    return best
