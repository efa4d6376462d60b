"""Choice of the searcher of a service that gets a request, by this instance's observations.

Searchers of a service pause, become slow or fail one by one, so a request goes to the searcher that
is expected to answer first.
"""

import math
from typing import NamedTuple

__all__ = ["Candidate", "Estimate", "cost", "pick"]

#: A latency up to this multiple of the median is normal variation between requests of one kind; 2.5
#: is the 99.5th percentile of a log-normal spread of 0.35.
NORMAL_SPREAD = 2.5
#: Weight of a latency within the normal variation. In the long run such latencies show which of the
#: searchers are faster; with a greater weight, random variation sends requests to other failure
#: domains.
NORMAL_WEIGHT = 0.1
#: Weight of a longer latency: one response in 5 times the median is enough for a searcher to be
#: avoided, since each further one costs a hedge.
RISE_WEIGHT = 0.6
#: Weight of a shorter latency while the estimate is above the normal variation: a searcher that
#: pauses now and then counts as fast again after some responses.
FALL_WEIGHT = 0.3
#: Weight of the newest result in the moving average of the failure rate.
FAILURE_WEIGHT = 0.2
#: Seconds after which an estimate without new latencies has lost half of its distance to the
#: median. One long latency is mostly a pause that is over once the response is there; with
#: `SLOW_HALF_LIFE_S` for each, a searcher was avoided for longer than the time between two of its
#: pauses.
FIRST_SLOW_HALF_LIFE_S = 1.0
#: The same after a second long latency in a row. With half of this, a searcher that stayed slow got
#: one request too many in each second.
SLOW_HALF_LIFE_S = 4.0
#: The same for a failure rate.
FAILURE_HALF_LIFE_S = 2.0
#: Each request that this instance has in flight raises the expected latency of the next one by this
#: share, divided by the slots.
IN_FLIGHT_SHARE = 0.8
#: Added cost of a searcher with a failure rate of 1, in multiples of its latency.
FAILURE_COST = 8.0
#: Added cost of a searcher whose entry is missing from the store but may come back, in seconds.
MISSING_ENTRY_PENALTY_S = 2.0
#: Share by which the cost of a searcher in the instance's own failure domain is lower.
OWN_DOMAIN_DISCOUNT = 0.3


class Estimate:
    """Expected latency and failure rate of one searcher; times in seconds.

    Latencies count as multiples of the median latency of their kind of request, so that one
    estimate serves all kinds.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self.updated = 0.0
        #: Long latencies in a row, each of a request that was sent after the one before was
        #: observed.
        self.slow_in_row = 0
        self.slow_at = -math.inf
        self.failure_rate = 0.0
        self.failed_at = 0.0

    def record_response(self, latency: float, median_latency: float, now: float) -> None:
        """Record the latency of a complete response to a kind of request with this median."""
        self._add(latency, median_latency, now)
        self.failure_rate *= 1.0 - FAILURE_WEIGHT

    def record_unanswered(self, elapsed: float, median_latency: float, now: float) -> None:
        """Record a request without a response after `elapsed`, a lower bound of its latency.

        It counts only if it is longer than the expected latency.
        """
        if elapsed / median_latency > self._decayed(now):
            self._add(elapsed, median_latency, now)

    def _add(self, latency: float, median_latency: float, now: float) -> None:
        slowness, known = latency / median_latency, self._decayed(now)
        if slowness > max(known, NORMAL_SPREAD):
            weight = RISE_WEIGHT
        else:
            weight = FALL_WEIGHT if known > NORMAL_SPREAD else NORMAL_WEIGHT
        self._count_slow(slowness, now - latency, now)
        self.slowness = known + weight * (slowness - known)
        self.updated = now

    def _count_slow(self, slowness: float, sent: float, now: float) -> None:
        if slowness <= NORMAL_SPREAD:
            self.slow_in_row = 0
        elif sent >= self.slow_at:
            self.slow_in_row += 1
            self.slow_at = now

    def _decayed(self, now: float) -> float:
        age = max(0.0, now - self.updated)
        half = SLOW_HALF_LIFE_S if self.slow_in_row > 1 else FIRST_SLOW_HALF_LIFE_S
        return 1.0 + (self.slowness - 1.0) / (1.0 + (age / half) ** 3)

    def record_failure(self, now: float) -> None:
        """Record a failure or refusal."""
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.failed_at = now

    def expected_latency(self, median_latency: float, now: float) -> float:
        """Return the expected latency for a kind of request; with age it decays to its median."""
        return median_latency * self._decayed(now)

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays with the time since the last failure."""
        age = max(0.0, now - self.failed_at)
        return self.failure_rate / (1.0 + (age / FAILURE_HALF_LIFE_S) ** 2)


class Candidate(NamedTuple):
    """State of a searcher at the time of a choice; times in seconds."""

    #: Expected latency without requests in flight.
    expected: float
    #: Failure rate, from 0 to 1.
    failure_rate: float
    #: Requests of this instance that are in flight.
    in_flight: int
    slots: int
    #: Time since the oldest of them should have been answered, 0 if none is late.
    excess_wait: float
    #: Time to open a connection, 0 if there is an idle one.
    connect_time: float
    own_domain: bool
    #: Whether its entry is missing from the store but may come back.
    entry_missing: bool


def cost(candidate: Candidate) -> float:
    """Return the expected seconds to a response, with penalties (failures, a missing entry)."""
    waiting = IN_FLIGHT_SHARE * candidate.in_flight / max(candidate.slots, 1)
    seconds = candidate.expected * (1.0 + waiting + FAILURE_COST * candidate.failure_rate)
    if candidate.own_domain:
        seconds *= 1.0 - OWN_DOMAIN_DISCOUNT
    seconds += candidate.excess_wait + candidate.connect_time
    return seconds + (MISSING_ENTRY_PENALTY_S if candidate.entry_missing else 0.0)


def pick(candidates: list[Candidate], noise: list[float]) -> int:
    """Return the index of the candidate with the lowest cost.

    `noise` has a random number in 0..1 for each, which raises its cost by up to a tenth, so that
    requests spread over candidates of similar cost.
    """
    best, best_cost = 0, float("inf")
    for index, candidate in enumerate(candidates):
        candidate_cost = cost(candidate) * (1.0 + 0.1 * noise[index])
        if candidate_cost < best_cost:
            best, best_cost = index, candidate_cost
    return best
