"""Choice of a searcher by the likely cost of a request and the remaining work of each searcher.

It applies to searchers that report their load. A request goes where it is expected to end first. A
reported load is a snapshot that all instances see, so its weight decays with its age, and requests
that this instance has sent since then stand for those of the other instances as well.
"""

import math
from collections.abc import Container
from typing import NamedTuple

from .choice import FAILURE_COST, MISSING_ENTRY_PENALTY_S
from .load import ToldLoad

__all__ = ["CostTotals", "Costs", "Kind", "Offer", "ServiceLoad", "Work", "place"]

#: Kinds of requests that are remembered. Half of them are of fewer than `PROVEN` requests, so
#: that invented paths replace only each other.
MAX_KINDS = 1024
PROVEN = 4
#: Longest path prefix that tells kinds apart, in characters.
MAX_PREFIX = 64
#: Weight of the newest cost once a kind has many; the first ones are averaged.
COST_WEIGHT = 0.04
#: A kind counts as much as the wider kind that contains it after this many costs.
PRIOR_COSTS = 3.0
#: Time in seconds after which what was learned of a kind counts half.
COST_HALF_LIFE_S = 300.0
#: Least expected cost in seconds, so that ratios of costs are defined.
MIN_COST_S = 1e-4
#: Part of a latency that is always counted as cost, since the expected wait is an estimate.
MIN_COST_SHARE = 0.2
#: A cost that differs from the expected one by more than this factor is counted as off.
OFF_FACTOR = 2.0
#: Mean time in seconds of a request at a searcher, until one was measured.
INITIAL_COST_S = 0.05


class _Costs:
    """Costs of one kind: mean, mean deviation, and how many they are after decay."""

    __slots__ = ("count", "deviation", "mean", "seen", "updated")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.count = 0.0
        #: Number of requests of the kind while it is new.
        self.seen = 0
        self.updated = 0.0

    def weight(self, now: float) -> float:
        """Return the number of costs, decayed with the time since the last one."""
        age = now - self.updated
        return self.count / (1.0 + age / COST_HALF_LIFE_S) if age > 0.0 else self.count

    def add(self, cost: float, now: float) -> None:
        """Add a cost."""
        self.count = min(self.weight(now) + 1.0, 1.0 / COST_WEIGHT)
        difference = cost - self.mean
        self.mean += difference / self.count
        self.deviation += (abs(difference) - self.deviation) / self.count
        self.updated = now


class CostTotals:
    """Costs of the requests of a route as they were expected and as they were, in seconds."""

    __slots__ = ("actual", "answers", "expected", "off")

    def __init__(self) -> None:
        self.answers = 0
        self.expected = 0.0
        self.actual = 0.0
        #: Number of costs more than `OFF_FACTOR` above or below the expected one.
        self.off = 0

    def add(self, expected: float, actual: float) -> None:
        """Add the cost of an answered request."""
        self.answers += 1
        self.expected += expected
        self.actual += actual
        self.off += actual > OFF_FACTOR * expected or expected > OFF_FACTOR * actual


class Kind:
    """Requests that are expected to cost the same, from the widest to the narrowest description."""

    __slots__ = ("confidence", "deviation", "expected", "levels", "totals")

    def __init__(
        self, levels: list[_Costs], totals: CostTotals, initial: float, now: float
    ) -> None:
        self.levels = levels
        self.totals = totals
        #: Expected seconds of work on a searcher of usual speed.
        self.expected = initial
        #: Mean deviation from it.
        self.deviation = 0.0
        #: From 0 (nothing known of the narrowest description) to 1.
        self.confidence = 0.0
        for level in levels:
            weight = level.weight(now)
            self.confidence = weight / (weight + PRIOR_COSTS)
            self.expected += self.confidence * (level.mean - self.expected)
            self.deviation += self.confidence * (level.deviation - self.deviation)
        self.expected = max(self.expected, MIN_COST_S)

    def observe(self, cost: float, now: float) -> None:
        """Record what a request of this kind has cost, in seconds."""
        self.totals.add(self.expected, cost)
        for level in self.levels:
            level.add(cost, now)


class Costs:
    """Costs of the kinds of requests, by route, method, size of the body and path."""

    def __init__(self, limit: int = MAX_KINDS) -> None:
        self.half = limit // 2
        #: Kinds seen often and kinds seen seldom, each with those looked up last at the end.
        self.proven: dict[tuple, _Costs] = {}
        self.new: dict[tuple, _Costs] = {}
        #: Expected and actual costs by route.
        self.totals: dict[str, CostTotals] = {}

    def __len__(self) -> int:
        return len(self.proven) + len(self.new)

    def kind(
        self, route: str, method: str, body: int, path: str, now: float, initial: float
    ) -> Kind:
        """Return the kind of a request; `path` is what follows the prefix of the route.

        `initial` is its expected cost in seconds while nothing is known.
        """
        path = path.partition("?")[0][:MAX_PREFIX]
        first, _, rest = path.strip("/").partition("/")
        wide = (route, method, body.bit_length())
        levels = [self._level(wide[:2]), self._level(wide), self._level((*wide, first))]
        if rest:
            levels.append(self._level((*wide, first, rest.partition("/")[0])))
        totals = self.totals.get(route)
        if totals is None:
            totals = self.totals[route] = CostTotals()
        return Kind(levels, totals, initial, now)

    def keep_routes(self, routes: Container[str]) -> None:
        """Forget the sums of other routes."""
        self.totals = {name: totals for name, totals in self.totals.items() if name in routes}

    def _level(self, key: tuple) -> _Costs:
        costs = self.proven.pop(key, None)
        if costs is None:
            costs = self.new.pop(key, None) or _Costs()
            costs.seen += 1
            if costs.seen < PROVEN:
                return self._keep(self.new, key, costs)
        return self._keep(self.proven, key, costs)

    def _keep(self, kept: dict[tuple, _Costs], key: tuple, costs: _Costs) -> _Costs:
        if len(kept) >= self.half:
            del kept[next(iter(kept))]
        kept[key] = costs
        return costs


#: Weight of the newest told load in the mean load of a searcher.
LEVEL_WEIGHT = 0.05
#: Time in seconds after which a mean load without reports is half the way to that of its service,
#: so that a searcher that reported a long queue once is tried again.
LEVEL_HALF_LIFE_S = 5.0
#: The told load counts half after this multiple of the time in which the searcher drains.
REPORT_DECAY = 1.0
#: Weight of the newest answer in the mean cost of a service.
MEAN_COST_WEIGHT = 0.03
#: Weight of the newest answer in the slowness of a searcher, and of the assumption of usual speed
#: in answers.
SLOWNESS_WEIGHT = 0.01
SLOWNESS_PRIOR = 5.0
#: Time in seconds without an answer after which slowness counts half, so that a searcher that was
#: slow is tried again.
SLOWNESS_HALF_LIFE_S = 10.0
#: An answer is late after this multiple of its expected time. One may be an expensive request; from
#: the second in a row on, the searcher counts as slow by the weights of late and other answers.
LATE_FACTOR = 2.5
LATE_WEIGHT = 0.5
LATE_FALL_WEIGHT = 0.3
LATE_HALF_LIFE_S = 4.0
#: Uncertainty of the number of requests at a searcher, as a number of requests.
SPREAD = 1.0
#: Time in seconds after which a told pace counts half.
PACE_HALF_LIFE_S = 0.1
#: Least part of its expected cost that a request in flight still needs.
LEAST_REMAINDER = 0.5
#: A request is overdue after this multiple of the expected time.
OVERDUE_FACTOR = 1.5
#: Most requests of all instances for which one of this instance stands. Without it, instances that
#: know the same told load send to the same searcher until it tells a longer queue.
MAX_SENDERS_FACTOR = 8.0
#: Requests at a searcher, all of this instance, with which the learning of this number begins.
SENDERS_PRIOR = 0.5
#: Round trip to another failure domain in seconds; one way takes 0.9 to 1.4 ms.
OTHER_DOMAIN_S = 0.0025
#: Random part of the expected time, as a share of the wait and of the mean time of a request.
#: Without it, instances with the same state make the same choices: in benchmarks.placement, p50 at
#: 0.7 of capacity rose by a quarter. A share of the time of an expensive request would be longer
#: than the waits that it is to tell apart.
NOISE = 0.05


class ServiceLoad:
    """What is learned over all searchers of a service that tell their load."""

    __slots__ = ("answers", "cost", "own", "requests")

    def __init__(self) -> None:
        #: Mean number of requests at a searcher, and of those of this instance.
        self.requests = 0.0
        self.own = 0.0
        #: Mean cost of a request in seconds at usual speed.
        self.cost = INITIAL_COST_S
        self.answers = 0

    def add_cost(self, cost: float) -> None:
        """Add the cost of an answered request."""
        self.answers += 1
        weight = max(MEAN_COST_WEIGHT, 1.0 / self.answers)
        self.cost = max(MIN_COST_S, self.cost + weight * (cost - self.cost))

    def add(self, load: int, own: int) -> None:
        """Add a told load and the number of own requests in flight at that searcher."""
        self.requests += LEVEL_WEIGHT * (load - self.requests)
        self.own += LEVEL_WEIGHT * (own - self.own)

    @property
    def senders_factor(self) -> float:
        """Requests of all instances for each of this instance, from 1 to `MAX_SENDERS_FACTOR`."""
        return min(
            MAX_SENDERS_FACTOR,
            max(1.0, (self.requests + SENDERS_PRIOR) / (self.own + SENDERS_PRIOR)),
        )


class _Sent(NamedTuple):
    at: float
    #: Expected wait and cost in seconds; the cost is that on this searcher.
    wait: float
    cost: float
    #: The same on a searcher of usual speed.
    usual: float
    #: Time at which it is overdue.
    overdue_at: float


_NOTHING_CACHED = (math.nan, 0.0, 1.0)


class Work:
    """What this instance knows of the remaining work of one searcher; times in seconds."""

    def __init__(self, service: ServiceLoad) -> None:
        self.service = service
        self.told: ToldLoad | None = None
        #: Mean number of requests at the searcher.
        self.level = 0.0
        #: Sums of the latencies and of the expected ones, with the weight of older answers.
        self.actual = 0.0
        self.predicted = 0.0
        self.weight = 0.0
        #: Lateness of answers, 1 if they are in time, and late answers in a row.
        self.lateness = 1.0
        self.late_in_row = 0
        self.late_at = -math.inf
        #: Time of the last response.
        self.answered_at = -math.inf
        self.in_flight: dict[int, _Sent] = {}
        #: Wait and slowness as computed last, valid at one time until something is recorded.
        self._cached = _NOTHING_CACHED

    def record_sent(self, token: int, cost: float, now: float) -> None:
        """Record a request that is expected to cost some seconds on a searcher of usual speed."""
        wait, slowness = self.state(now)
        work = cost * slowness
        self._cached = _NOTHING_CACHED
        overdue_at = now + OVERDUE_FACTOR * (wait + work)
        self.in_flight[token] = _Sent(now, wait, work, cost, overdue_at)

    def record_end(self, token: int) -> None:
        """Record that a request has ended without an answer that shows its cost."""
        self._cached = _NOTHING_CACHED
        self.in_flight.pop(token, None)

    def record_unanswered(self, token: int, now: float) -> None:
        """Record a request that was cancelled; it counts if its answer was late already."""
        self._cached = _NOTHING_CACHED
        sent = self.in_flight.pop(token)
        ratio = (now - sent.at) / (sent.wait + sent.cost)
        if ratio > LATE_FACTOR:
            self._count_late(ratio, sent.at, now)

    def record_load(self, told: ToldLoad) -> None:
        """Record a told load."""
        self._cached = _NOTHING_CACHED
        load = told.running + told.waiting
        self.level += (LEVEL_WEIGHT if self.told else 1.0) * (load - self.level)
        self.service.add(load, len(self.in_flight))
        self.told = told

    def record_answer(self, token: int, now: float) -> float:
        """Record a response; return what the request has cost, in seconds at usual speed."""
        self._cached = _NOTHING_CACHED
        sent = self.in_flight.pop(token)
        latency = now - sent.at
        work = max(latency - sent.wait, MIN_COST_SHARE * latency)
        slowness = self.slowness(now) * self.pace(now)
        self._count_late(latency / (sent.wait + sent.cost), sent.at, now)
        self.answered_at = now
        self.service.add_cost(work / slowness)
        if self.late_in_row < 2:
            keep = 1.0 - SLOWNESS_WEIGHT
            self.actual = keep * self.actual + latency
            self.predicted = keep * self.predicted + sent.wait + sent.usual
            self.weight = keep * self.weight + 1.0
        return work / slowness

    def _count_late(self, ratio: float, sent: float, now: float) -> None:
        if ratio <= LATE_FACTOR:
            self.late_in_row = 0
            self.lateness += LATE_FALL_WEIGHT * (1.0 - self.lateness)
        elif sent >= self.late_at:
            self.late_in_row += 1
            self.late_at = now
        if self.late_in_row > 1:
            self.lateness += LATE_WEIGHT * (ratio - self.lateness)

    def expect(self, cost: float, now: float) -> tuple[float, float, float, float]:
        """Return the first four fields of an `Offer` to a request of this cost."""
        wait, slowness = self.state(now)
        work = cost * slowness * self.pace(now)
        return wait, work, self.service.cost, self.silent_for(now)

    def state(self, now: float) -> tuple[float, float]:
        """Return the expected time until a slot is free, and the slowness.

        A choice and the request after it both need them.
        """
        at, wait, slowness = self._cached
        if at != now:
            slowness = self.slowness(now)
            wait = self._wait(now, self.service.cost * slowness)
            self._cached = now, wait, slowness
        return wait, slowness

    def slowness(self, now: float) -> float:
        """Return how much longer work takes than on a searcher of usual speed."""
        slowness = 1.0
        if self.weight:
            prior = SLOWNESS_PRIOR * self.predicted / self.weight
            slowness = (self.actual + prior) / (self.predicted + prior)
            age = max(0.0, now - self.answered_at) / SLOWNESS_HALF_LIFE_S
            slowness = 1.0 + (slowness - 1.0) / (1.0 + age * age)
        if self.lateness > 1.01:
            age = max(0.0, now - self.late_at) / LATE_HALF_LIFE_S
            slowness *= 1.0 + (self.lateness - 1.0) / (1.0 + age * age * age)
        return slowness

    def pace(self, now: float) -> float:
        """Return the told pace; it decays to 1 with its age."""
        told = self.told
        if told is None or told.pace == 1.0:
            return 1.0
        age = max(0.0, now - told.at) / PACE_HALF_LIFE_S
        return 1.0 + (told.pace - 1.0) / (1.0 + age * age)

    def _wait(self, now: float, service: float) -> float:
        """Return the expected time until a slot is free; `service` is a request's mean time."""
        told = self.told
        if told is None:
            return 0.0
        own, work, since = len(self.in_flight), 0.0, 0.0
        for sent in self.in_flight.values():
            remainder, least = sent.cost - (now - sent.at), LEAST_REMAINDER * sent.cost
            work += remainder if remainder > least else least
            since += sent.at >= told.at
        reported = told.running + told.waiting
        drain = REPORT_DECAY * service * max(1.0, reported / told.slots)
        age = max(0.0, now - told.at) / drain
        if since:
            # Other instances are taken to have sent as many for their part of the mean load.
            since *= self.service.senders_factor
        level_age = (now - told.at) / LEVEL_HALF_LIFE_S
        usual = self.service.requests
        level = usual + (self.level - usual) / (1.0 + level_age * level_age)
        load = level + (reported - level) / (1.0 + age * age) + since
        others = max(0.0, load - own)
        work += others * service
        excess = own + others + 1.0 - told.slots
        excess = 0.5 * (excess + math.sqrt(excess * excess + SPREAD))
        mean = work / (own + others) if own + others > 0.0 else service
        return excess * mean / told.slots

    def silent_for(self, now: float) -> float:
        """Return for how long an answer has been overdue without any other answer since."""
        longest = 0.0
        for sent in self.in_flight.values():
            if sent.overdue_at > self.answered_at and now - sent.overdue_at > longest:
                longest = now - sent.overdue_at
        return longest


class Offer(NamedTuple):
    """What a request can expect of a searcher; times in seconds."""

    #: Time until a slot is free; None if the searcher has not told its load.
    wait: float | None
    #: Time of the work there.
    work: float
    #: Mean time of a request there.
    service: float
    #: Time for which an answer is overdue.
    silent: float
    failure_rate: float = 0.0
    connect_time: float = 0.0
    own_domain: bool = True
    entry_missing: bool = False


def place(offers: list[Offer], noise: list[float]) -> int:
    """Return the index of the offer with the least expected completion time.

    `noise` has a random number in 0..1 for each. A searcher that has not told its load is taken to
    have the longest wait of all.
    """
    longest = max([offer.wait for offer in offers if offer.wait is not None], default=0.0)
    best, least = 0, math.inf
    for index, offer in enumerate(offers):
        wait, work, service, silent, failure_rate, connect_time, own_domain, missing = offer
        if wait is None:
            wait = longest
        seconds = (wait + work) * (1.0 + FAILURE_COST * failure_rate) + silent + connect_time
        seconds += NOISE * noise[index] * (wait + service)
        if not own_domain:
            seconds += OTHER_DOMAIN_S
        if missing:
            seconds += MISSING_ENTRY_PENALTY_S
        if seconds < least:
            best, least = index, seconds
    return best
