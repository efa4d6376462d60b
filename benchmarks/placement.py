"""Choice of a searcher by different rules: the product's decision code on an event heap.

Requests come at random times to several instances, which send them to three searchers that work
at different speeds and pause. The command prints latencies from the sending to the response.
Command: python -m benchmarks.placement [--seed N] [--seconds S] [--instances N ...] [--hedges]
[--choice-time]
"""

import argparse
import heapq
import math
import random
import timeit
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from typing import NamedTuple

from rattanrelay.decide.choice import Candidate, Estimate, pick
from rattanrelay.decide.load import ToldLoad
from rattanrelay.decide.placement import Costs, Offer, ServiceLoad, Work, place
from rattanrelay.decide.timing import RecentLatency, hedge_delay, likely_latency
from rattanrelay.platform.documents import HEADERS
from rattanrelay.relay.model import SearcherRecord
from rattanrelay.relay.searchers import Searcher

__all__ = ["main"]

SLOTS = 6
SPEEDS = (0.8, 1.0, 1.3)
#: Cost in seconds of each kind of request, and its share of the requests.
KINDS = {0.03: 0.3, 0.06: 0.25, 0.12: 0.2, 0.24: 0.15, 0.48: 0.06, 0.9: 0.04}
#: Sigma of the costs within a kind, which are log-normal.
SPREAD = 0.3
MEAN_S = sum(cost * share for cost, share in KINDS.items()) * math.exp(SPREAD * SPREAD / 2)
TARGET_S = 0.949
PAUSE_S, PAUSE_PERIOD_S = 0.25, 6.0
#: Length of the times with a noisy neighbour, mean time between them, and the slowness in them.
NEIGHBOUR_S, NEIGHBOUR_EVERY_S, NEIGHBOUR_SLOWNESS = 0.2, 3.0, 4.0
ONE_WAY_S = 0.0012
#: Requests of this time at the start are not counted.
WARM_UP_S = 10.0
HEDGE_SHARE = 0.2
#: Time for which a copy runs on after the response to the other one.
GRACE_S = 0.2
LOADS = (0.3, 0.7, 0.9)
#: Runs that are computed at the same time.
PROCESSES = 3


class Request:
    """A request of a caller, with the copies of it that were sent."""

    def __init__(self, number: int, at: float, work: float, path: str) -> None:
        self.number = number
        self.at = at
        self.work = work
        self.path = path
        self.answered = False
        self.copies: list[Copy] = []


class Copy(NamedTuple):
    """A request as it was sent to one searcher."""

    token: int
    request: Request
    #: Rule of the instance that sent it.
    rule: "RandomChoice"
    searcher: int
    at: float
    #: What the rule noted when it chose the searcher.
    note: object


class SearcherModel:
    """Runs requests in the order of their arrival, some at the same time."""

    def __init__(self, speed: float, phase: float, rng: random.Random, seconds: float) -> None:
        self.speed = speed
        self.phase = phase
        self.waiting: list[Copy] = []
        #: Time at which each running copy ends.
        self.running: dict[int, float] = {}
        self.neighbour: list[float] = []
        at = rng.expovariate(1.0 / NEIGHBOUR_EVERY_S)
        while at < seconds:
            self.neighbour.append(at)
            at += NEIGHBOUR_S + rng.expovariate(1.0 / NEIGHBOUR_EVERY_S)

    def rate(self, now: float) -> tuple[float, float]:
        """Return the speed and the time until which it holds."""
        into = (now + self.phase) % PAUSE_PERIOD_S
        if into < PAUSE_S - 1e-9:
            return 0.0, now + PAUSE_S - into
        until = now + PAUSE_PERIOD_S - into
        while len(self.neighbour) > 1 and self.neighbour[1] + 60.0 < now:
            self.neighbour.pop(0)
        for start in self.neighbour:
            if start > now:
                return self.speed, min(until, start)
            if now < start + NEIGHBOUR_S - 1e-9:
                return self.speed / NEIGHBOUR_SLOWNESS, min(until, start + NEIGHBOUR_S)
        return self.speed, until

    def end(self, now: float, work: float) -> float:
        """Return when work that starts now ends."""
        while True:
            rate, until = self.rate(now)
            if rate * (until - now) >= work:
                return now + work / rate
            work -= rate * (until - now)
            now = until

    def completion(self, now: float, work: float) -> float:
        """Return when work that arrives now ends, from everything that is known here."""
        free = [*self.running.values(), *[now] * (SLOTS - len(self.running))]
        heapq.heapify(free)
        for copy in self.waiting:
            heapq.heappush(free, self.end(max(now, heapq.heappop(free)), copy.request.work))
        return self.end(max(now, free[0]), work)

    def told(self, now: float) -> tuple[int, int, int, float]:
        """Return the load that a response tells."""
        rate = self.rate(now)[0]
        pace = self.speed / rate if rate else 1.0
        return len(self.running), len(self.waiting), SLOTS, pace


class RandomChoice:
    """Chooses any searcher; a rule for one instance, the base of the others."""

    def __init__(self, rng: random.Random, searchers: list[SearcherModel]) -> None:
        self.rng = rng
        self.searchers = searchers

    def choose(self, request: Request, usable: list[int], now: float) -> tuple[int, object]:
        """Return a searcher and a note for the other methods."""
        return self.rng.choice(usable), None

    def sent(self, copy: Copy) -> None:
        """Note that a copy was sent."""

    def answered(self, copy: Copy, told: tuple, now: float) -> None:
        """Note a response."""

    def cancelled(self, copy: Copy, now: float) -> None:
        """Note that a copy was cancelled."""

    def hedge_after(self, copy: Copy, now: float, by_kind: bool) -> float:
        """Return the time after which a hedge is sent."""
        return math.inf


class RoundRobin(RandomChoice):
    """Chooses one searcher after the other."""

    def __init__(self, rng: random.Random, searchers: list[SearcherModel]) -> None:
        super().__init__(rng, searchers)
        self.turns = count(rng.randrange(len(searchers)))

    def choose(self, request: Request, usable: list[int], now: float) -> tuple[int, object]:
        return next(self.turns) % len(self.searchers), None


class Oracle(RandomChoice):
    """Chooses the searcher that ends first; knows all costs, queues, pauses and neighbours."""

    def choose(self, request: Request, usable: list[int], now: float) -> tuple[int, object]:
        ends = [self.searchers[one].completion(now + ONE_WAY_S, request.work) for one in usable]
        return usable[ends.index(min(ends))], None


class ByLatency(RandomChoice):
    """Chooses as for searchers that tell no load."""

    def __init__(self, rng: random.Random, searchers: list[SearcherModel]) -> None:
        super().__init__(rng, searchers)
        self.latency = RecentLatency(0.2 * TARGET_S)
        self.estimates = [Estimate() for _ in searchers]
        #: Time after which each copy in flight is overdue.
        self.in_flight: list[dict[int, float]] = [{} for _ in searchers]

    def choose(self, request: Request, usable: list[int], now: float) -> tuple[int, object]:
        median = self.latency.median
        candidates = [
            Candidate(
                self.estimates[one].expected_latency(median, now),
                0.0,
                len(self.in_flight[one]),
                SLOTS,
                max([now - end for end in self.in_flight[one].values()] + [0.0]),
                0.0,
                False,
                False,
            )
            for one in usable
        ]
        return usable[pick(candidates, [self.rng.random() for _ in usable])], median

    def sent(self, copy: Copy) -> None:
        expected = self.estimates[copy.searcher].expected_latency(copy.note, copy.at)
        self.in_flight[copy.searcher][copy.token] = copy.at + 2.0 * max(copy.note, expected)

    def answered(self, copy: Copy, told: tuple, now: float) -> None:
        del self.in_flight[copy.searcher][copy.token]
        self.estimates[copy.searcher].record_response(now - copy.at, copy.note, now)
        self.latency.add(now - copy.at)

    def cancelled(self, copy: Copy, now: float) -> None:
        del self.in_flight[copy.searcher][copy.token]
        self.estimates[copy.searcher].record_unanswered(now - copy.at, copy.note, now)

    def hedge_after(self, copy: Copy, now: float, by_kind: bool) -> float:
        expected = self.estimates[copy.searcher].expected_latency(copy.note, now)
        return hedge_delay(expected, self.latency.median)


class ByCost(RandomChoice):
    """Chooses by likely cost and remaining work."""

    def __init__(self, rng: random.Random, searchers: list[SearcherModel]) -> None:
        super().__init__(rng, searchers)
        self.latency = RecentLatency(0.2 * TARGET_S)
        self.costs = Costs()
        service = ServiceLoad()
        self.work = [Work(service) for _ in searchers]

    def choose(self, request: Request, usable: list[int], now: float) -> tuple[int, object]:
        kind = self.costs.kind("route", "GET", 0, request.path, now, self.latency.median)
        offers = [Offer(*self.work[one].expect(kind.expected, now)) for one in usable]
        return usable[place(offers, [self.rng.random() for _ in usable])], kind

    def sent(self, copy: Copy) -> None:
        self.work[copy.searcher].record_sent(copy.token, copy.note.expected, copy.at)

    def answered(self, copy: Copy, told: tuple, now: float) -> None:
        work = self.work[copy.searcher]
        work.record_load(ToldLoad(*told, now))
        copy.note.observe(work.record_answer(copy.token, now), now)
        self.latency.add(now - copy.at)

    def cancelled(self, copy: Copy, now: float) -> None:
        self.work[copy.searcher].record_unanswered(copy.token, now)

    def hedge_after(self, copy: Copy, now: float, by_kind: bool) -> float:
        work, kind = self.work[copy.searcher], copy.note
        if by_kind:
            likely = likely_latency(work.state(now)[0], kind.expected, kind.deviation)
            return hedge_delay(likely, likely)
        expected = work.state(now)[0] + kind.expected * work.slowness(now)
        return hedge_delay(expected, self.latency.median)


RULES = {
    "by latency (today)": ByLatency,
    "random": RandomChoice,
    "round robin": RoundRobin,
    "by cost": ByCost,
    "oracle": Oracle,
}


class Case(NamedTuple):
    """One simulated run."""

    rule: str
    load: float
    instances: int
    #: Whether the path of a request names its kind.
    by_path: bool
    seed: int
    seconds: float
    #: Which hedges are sent: none, by the median latency, or by the kind's cost.
    hedges: str = "none"


class Result(NamedTuple):
    """Latencies in milliseconds, share of requests within the target and of hedges in percent."""

    p50: float
    p99: float
    within: float
    mean: float
    hedges: float


class World:
    """Instances, searchers and the events to come."""

    def __init__(self, case: Case) -> None:
        rng = random.Random(case.seed)
        self.case = case
        self.searchers = [
            SearcherModel(speed, 2.0 * number, rng, case.seconds + 60.0)
            for number, speed in enumerate(SPEEDS)
        ]
        self.arrivals, self.costs = random.Random(rng.random()), random.Random(rng.random())
        rule = RULES[case.rule]
        self.rules = [
            rule(random.Random(rng.random()), self.searchers) for _ in range(case.instances)
        ]
        lost = (1.0 - 1.0 / NEIGHBOUR_SLOWNESS) * NEIGHBOUR_S / (NEIGHBOUR_S + NEIGHBOUR_EVERY_S)
        available = (1.0 - PAUSE_S / PAUSE_PERIOD_S) * (1.0 - lost)
        #: Requests per second.
        self.rate = case.load * SLOTS * sum(SPEEDS) * available / MEAN_S
        self.events: list[tuple] = []
        self.order = count()
        self.tokens = count()
        self.latencies: list[float] = []
        self.hedges = 0

    def at(self, when: float, action: Callable, *args) -> None:
        """Schedule an action, which gets the time and the arguments."""
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def run(self) -> Result:
        """Run all events and return the result."""
        self.at(0.0, self.arrive)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        ordered, number = sorted(self.latencies), len(self.latencies)
        return Result(
            1000 * ordered[number // 2],
            1000 * ordered[number * 99 // 100],
            100 * sum(latency <= TARGET_S for latency in ordered) / number,
            1000 * sum(ordered) / number,
            100 * self.hedges / number,
        )

    def arrive(self, now: float) -> None:
        """Let an instance get a request, and schedule the next one."""
        if now < self.case.seconds:
            self.at(now + self.arrivals.expovariate(self.rate), self.arrive)
        kind = self.costs.choices(list(KINDS), list(KINDS.values()))[0]
        work = kind * self.costs.lognormvariate(0.0, SPREAD)
        path = f"/{kind}" if self.case.by_path else "/all"
        rule = self.rules[self.arrivals.randrange(len(self.rules))]
        self.send(now, rule, Request(next(self.tokens), now, work, path))

    def send(self, now: float, rule: RandomChoice, request: Request) -> None:
        """Send a request to a searcher that has not got it."""
        used = [copy.searcher for copy in request.copies]
        usable = [one for one in range(len(self.searchers)) if one not in used]
        searcher, note = rule.choose(request, usable, now)
        copy = Copy(next(self.tokens), request, rule, searcher, now, note)
        request.copies.append(copy)
        rule.sent(copy)
        self.at(now + ONE_WAY_S, self.enqueue, copy)
        if self.case.hedges != "none" and len(request.copies) == 1:
            after = rule.hedge_after(copy, now, self.case.hedges == "by kind")
            self.at(now + after, self.hedge, rule, request)

    def hedge(self, now: float, rule: RandomChoice, request: Request) -> None:
        """Send a hedge if there is no response and the budget allows it."""
        if not request.answered and self.hedges < HEDGE_SHARE * len(self.latencies):
            self.hedges += 1
            self.send(now, rule, request)

    def enqueue(self, now: float, copy: Copy) -> None:
        """Let a copy arrive at its searcher."""
        self.searchers[copy.searcher].waiting.append(copy)
        self.start(now, self.searchers[copy.searcher])

    def start(self, now: float, searcher: SearcherModel) -> None:
        """Start the copies for which a slot is free."""
        while searcher.waiting and len(searcher.running) < SLOTS:
            copy = searcher.waiting.pop(0)
            searcher.running[copy.token] = searcher.end(now, copy.request.work)
            self.at(searcher.running[copy.token], self.finish, copy)

    def finish(self, now: float, copy: Copy) -> None:
        """End a copy and send its response."""
        searcher = self.searchers[copy.searcher]
        if searcher.running.pop(copy.token, None) is None:
            return
        self.start(now, searcher)
        self.at(now + ONE_WAY_S, self.respond, copy, searcher.told(now))

    def respond(self, now: float, copy: Copy, told: tuple) -> None:
        """Let an instance get a response; other copies are cancelled soon."""
        request = copy.request
        if copy not in request.copies:
            return
        request.copies.remove(copy)
        copy.rule.answered(copy, told, now)
        if request.answered:
            return
        request.answered = True
        if request.at >= WARM_UP_S:
            self.latencies.append(now - request.at)
        for other in request.copies:
            self.at(now + GRACE_S, self.cancel, other)

    def cancel(self, now: float, copy: Copy) -> None:
        """Cancel a copy that has no response."""
        if copy not in copy.request.copies:
            return
        copy.request.copies.remove(copy)
        copy.rule.cancelled(copy, now)
        searcher = self.searchers[copy.searcher]
        searcher.waiting = [one for one in searcher.waiting if one.token != copy.token]
        searcher.running.pop(copy.token, None)
        self.start(now, searcher)


def play(case: Case) -> Result:
    """Return the result of one run."""
    return World(case).run()


def print_rows(cases: list[Case]) -> None:
    """Run cases, some at the same time, and print a row of a table for each."""
    print("| costs | instances | load | rule | hedges | p50 | p99 | within | mean | hedges sent |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    with ProcessPoolExecutor(PROCESSES) as pool:
        for case, row in zip(cases, pool.map(play, cases), strict=True):
            costs = "by path" if case.by_path else "unknown"
            print(
                f"| {costs} | {case.instances} | {case.load} | {case.rule} | {case.hedges} "
                f"| {row.p50:.0f} ms | {row.p99:.0f} ms | {row.within:.1f}% "
                f"| {row.mean:.0f} ms | {row.hedges:.1f}% |",
                flush=True,
            )


def print_choice_time() -> None:
    """Print how long a choice among three searchers takes, which have two requests in flight."""
    searchers = []
    for number in range(3):
        record = SearcherRecord(f"s{number}", "s", "h", 1, "a", SLOTS, False, 0.0, 1)
        searchers.append(Searcher(record, HEADERS, 0.0))
    rng, costs = random.Random(1), Costs()
    kind = costs.kind("route", "GET", 0, "/a/b", 0.0, MEAN_S)
    for searcher in searchers:
        searcher.work.record_load(ToldLoad(3, 1, SLOTS, 1.0, 0.0))
        searcher.told = searcher.work.told
        for token in range(3):
            searcher.work.record_sent(token, kind.expected, 0.0)
            searcher.in_flight[token] = 1.0
        kind.observe(searcher.work.record_answer(0, 0.1), 0.1)
        del searcher.in_flight[0]

    # Each call has its own time, since searchers keep what they computed for one.
    steps = count()

    def by_latency() -> int:
        now = 0.15 + 1e-9 * next(steps)
        states = [one.candidate(0.1, "a", now, new_connection=False) for one in searchers]
        return pick(states, [rng.random() for _ in searchers])

    def by_cost() -> int:
        now = 0.15 + 1e-9 * next(steps)
        any(one.told is not None for one in searchers)
        offers = [one.offer(0.1, 0.1, "a", now, new_connection=False) for one in searchers]
        return place(offers, [rng.random() for _ in searchers])

    def bookkeeping() -> None:
        work = searchers[0].work
        work.record_sent(9, 0.1, 0.2)
        work.record_load(work.told)
        kind.observe(work.record_answer(9, 0.3), 0.3)

    def kind_of() -> None:
        costs.kind("route", "GET", 0, "/a/b", 0.2, MEAN_S)

    for name, call in (
        ("choice by latency", by_latency),
        ("choice by cost", by_cost),
        ("sending and answer", bookkeeping),
        ("kind of a request", kind_of),
    ):
        times = sorted(timeit.repeat(call, number=5000, repeat=9))
        print(f"{name}: {times[0] / 5000 * 1e6:.1f} us at best, median {times[4] / 5000 * 1e6:.1f}")


def main() -> None:
    """Parse the arguments and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--instances", type=int, nargs="+", default=[8])
    parser.add_argument("--hedges", action="store_true", help="compare hedge delays instead")
    parser.add_argument("--choice-time", action="store_true", help="time single choices instead")
    args = parser.parse_args()
    if args.choice_time:
        print_choice_time()
        return
    rules = [("by latency (today)", "none"), ("by latency (today)", "by median")]
    rules += [("by cost", hedges) for hedges in ("none", "by median", "by kind")]
    if not args.hedges:
        rules = [(name, "none") for name in RULES]
    print_rows(
        [
            Case(name, load, instances, by_path, args.seed, args.seconds, hedges)
            for by_path in (True, False)
            for instances in args.instances
            for load in LOADS
            for name, hedges in rules
        ]
    )


if __name__ == "__main__":
    main()
