"""Replica selection by this instance's own observations."""

import math
from collections.abc import Sequence
from random import Random

__all__ = ["Replica", "choose_replica"]

#: Weight of the newest latency in the moving average.
LATENCY_GAIN = 0.2
#: Latency assumed before the first observation, in seconds; low, so that new replicas are tried.
INITIAL_LATENCY_S = 0.001
#: Half-life of an observed latency, in seconds, so that a replica that was slow is tried again.
OBSERVATION_HALF_LIFE_S = 2.0
#: Half-life of a reported load, in seconds. A queue drains within a few service times, so an old
#: length must not keep work away.
LOAD_HALF_LIFE_S = 0.1
#: Latency that a failure adds, in seconds; repeated failures add up. A factor would not be enough,
#: since a replica that fails before its first result has the low initial latency.
FAILURE_PENALTY_S = 0.25
MAX_PENALTY_S = 2.0
PENALTY_HALF_LIFE_S = 1.0
#: A failure counts as recent while at least this much of its penalty is left, in seconds.
RECENT_FAILURE_S = 0.05
#: Load reports lower the weight to this share of the row's weight at most.
MIN_REPORT_WEIGHT = 0.1
#: Number of random candidates of which the cheapest is chosen.
CHOICES = 2


class Replica:
    """Observations of one searcher; times in seconds."""

    __slots__ = (
        "latency",
        "limit",
        "load",
        "load_at",
        "name",
        "observed_at",
        "outstanding",
        "penalty",
        "penalty_at",
        "report_weight",
        "row_weight",
        "server",
        "slots",
        "waited_at",
    )

    def __init__(self, name: str, server: str, row_weight: float = 1.0) -> None:
        self.name = name
        self.server = server
        self.row_weight = row_weight
        #: Slots of the row.
        self.slots = 1
        self.report_weight = 1.0
        self.latency = INITIAL_LATENCY_S
        self.load = 0
        self.load_at = 0.0
        self.limit = 0
        self.observed_at = 0.0
        self.outstanding = 0
        self.penalty = 0.0
        self.penalty_at = 0.0
        #: Time of the newest result if that waited long in the queue, else minus infinity.
        self.waited_at = -math.inf

    def observe(self, latency: float, load: int, limit: int, now: float) -> None:
        """Record a result: its latency, the work in flight and queued, and the slots allowed."""
        self.latency += LATENCY_GAIN * (latency - self.latency)
        self.observed_at = now
        self.record_load(load, limit, now)

    def record_unfinished(self, elapsed: float, now: float) -> None:
        """Record a sub-request without a result after `elapsed`, a lower bound of its latency.

        It does not count if the searcher gave other results meanwhile: then the time was spent in
        its queue.
        """
        if elapsed > self.latency and self.observed_at < now - elapsed:
            self.latency += LATENCY_GAIN * (elapsed - self.latency)
            self.observed_at = now

    def record_load(self, load: int, limit: int, now: float) -> None:
        """Record the work in flight and queued at the owner, and the slots allowed now.

        Fewer slots than the row has, as with a cold or shedding server, lower the weight.
        """
        self.load = load
        self.limit = limit
        self.load_at = now
        if limit:
            self.apply_report(limit / self.slots)

    def current_load(self, now: float) -> float:
        """Return the decayed load at the owner, at least what this instance has in flight."""
        load = self.load * 0.5 ** ((now - self.load_at) / LOAD_HALF_LIFE_S)
        return max(load, self.outstanding)

    def record_wait(self, long: bool, now: float) -> None:
        """Record whether a result waited long in the owner's queue."""
        self.waited_at = now if long else -math.inf

    def waited_recently(self, now: float) -> bool:
        """Return whether the newest result waited long and is recent."""
        return now - self.waited_at <= OBSERVATION_HALF_LIFE_S

    def is_full(self, now: float) -> bool:
        """Return whether one more sub-request would have to wait for a slot."""
        return bool(self.limit) and self.current_load(now) >= self.limit

    def fail(self, now: float) -> None:
        """Record a failure, which adds a penalty that decays."""
        self.penalty = min(MAX_PENALTY_S, self.penalty_left(now) + FAILURE_PENALTY_S)
        self.penalty_at = now

    def apply_report(self, weight: float) -> None:
        """Apply a load report; 1.0 is no load, and no report raises the weight above the row's."""
        self.report_weight = min(1.0, max(MIN_REPORT_WEIGHT, weight))

    def penalty_left(self, now: float) -> float:
        """Return what is left of the failure penalty, in seconds."""
        if not self.penalty:
            return 0.0
        return self.penalty * 0.5 ** ((now - self.penalty_at) / PENALTY_HALF_LIFE_S)

    def suits_hedge(self, now: float) -> bool:
        """Return whether a hedge may help: a slot is free and no failure is recent."""
        return not self.is_full(now) and self.penalty_left(now) < RECENT_FAILURE_S

    def cost(self, now: float) -> float:
        """Return the expected cost of one more sub-request; lower is better."""
        fresh = 0.5 ** ((now - self.observed_at) / OBSERVATION_HALF_LIFE_S)
        load = self.current_load(now)
        latency = INITIAL_LATENCY_S + (self.latency - INITIAL_LATENCY_S) * fresh
        if self.penalty:
            latency += self.penalty_left(now)
        return latency * (1.0 + load) / (self.row_weight * self.report_weight)


def choose_replica(candidates: Sequence[Replica], now: float, rng: Random) -> Replica | None:
    """Return the cheaper of two random candidates, None if there are no candidates."""
    if len(candidates) > CHOICES:
        candidates = rng.sample(candidates, CHOICES)
    elif not candidates:
        return None
    elif len(candidates) == 1:
        return candidates[0]
    first, second = candidates
    first_cost, second_cost = first.cost(now), second.cost(now)
    if first_cost == second_cost:
        return first if rng.random() < 0.5 else second
    return first if first_cost < second_cost else second
