"""Steps for the choice of a searcher by likely cost and remaining work."""

import math
import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.load import ToldLoad, parse_load
from rattanrelay.decide.placement import Costs, Offer, ServiceLoad, Work, place

SLOTS = 6
CHEAP_S, EXPENSIVE_S = 0.03, 0.9
SECONDS = st.floats(0.0, 2.0)
NOISE = st.lists(st.floats(0.0, 1.0), min_size=3, max_size=3)


def searcher(told=(0, 0), at=0.0, costs=(CHEAP_S,) * 4):
    """Return a searcher that has answered requests in time, and then told its load."""
    work = Work(ServiceLoad())
    work.record_load(ToldLoad(0, 0, SLOTS, 1.0, at))
    for token, cost in enumerate(costs):
        work.record_sent(-token, cost, at - cost)
        work.record_answer(-token, at)
    work.record_load(ToldLoad(*told, SLOTS, 1.0, at))
    return work


def choose(works, cost, now, noise):
    """Return the index of the chosen searcher."""
    return place([Offer(*work.expect(cost, now)) for work in works], noise)


@then("in {count:d} orders of reports and requests, one full of own requests is passed by")
def own_knowledge_counts(context, count):
    @settings(max_examples=count)
    @for_all(
        st.lists(st.tuples(st.booleans(), SECONDS), max_size=8), st.integers(0, 30), NOISE, SECONDS
    )
    def holds(orders, running, noise, age):
        now, own, other = 0.0, searcher(), searcher()
        for number, (reported, pause) in enumerate(orders):
            now += pause
            if reported:
                own.record_load(ToldLoad(0, 0, SLOTS, 1.0, now))
                other.record_load(ToldLoad(0, 0, SLOTS, 1.0, now))
            own.record_sent(number, EXPENSIVE_S, now)
        for number in range(3 * SLOTS):
            own.record_sent(100 + number, EXPENSIVE_S, now)
        own.record_load(ToldLoad(0, 0, SLOTS, 1.0, now - age))
        assert choose([own, other], CHEAP_S, now, noise) == 1

    holds()


@then("after {count:d} random orders of events, all expected times are finite and not negative")
def always_defined(context, count):
    events = st.sampled_from(["sent", "told", "answer", "cancelled", "failed"])
    times = st.sampled_from([0.0, 0.001, 0.1, 20.0])

    @settings(max_examples=count)
    @for_all(st.lists(st.tuples(events, times, st.integers(0, 9)), max_size=30))
    def holds(orders):
        now, work, costs = 0.0, Work(ServiceLoad()), Costs()
        for number, (event, pause, load) in enumerate(orders):
            now += pause
            kind = costs.kind("route", "GET", 0, "path", now, 0.0)
            token = next(iter(work.in_flight), None)
            if event == "sent":
                work.record_sent(number, kind.expected, now)
            elif event == "told":
                work.record_load(ToldLoad(load, 0, 2, 1.0, now))
            elif token is not None and event == "answer":
                kind.observe(work.record_answer(token, now), now)
            elif token is not None and event == "cancelled":
                work.record_unanswered(token, now)
            elif token is not None:
                work.record_end(token)
            expected = work.expect(kind.expected, now)
            assert all(0.0 <= seconds < math.inf for seconds in expected), expected

    holds()


@then("in {count:d} cases, {instances:d} instances with {each:d} requests each use both searchers")
def spread(context, count, instances, each):
    @settings(max_examples=count)
    @for_all(st.integers(0, SLOTS), st.integers(0, SLOTS), st.integers(0, 2**32))
    def holds(first, second, seed):
        rng, sent = random.Random(seed), [0, 0]
        for _ in range(instances):
            works = [searcher((first, 0)), searcher((second, 0))]
            for work in works:
                for _ in range(100):
                    work.service.add(instances, 1)
            for number in range(each):
                now = 0.0001 * number
                chosen = choose(works, CHEAP_S, now, [rng.random(), rng.random()])
                works[chosen].record_sent(number, CHEAP_S, now)
                sent[chosen] += 1
        assert min(sent) >= instances * each // 4, sent
        equal = [searcher((first, 0)), searcher((first, 0))]
        firsts = {choose(equal, CHEAP_S, 0.0, [rng.random(), rng.random()]) for _ in range(40)}
        assert firsts == {0, 1}

    holds()


@when("1 of 3 searchers tells {told} and takes {late:g} s from request 200 on, else {usual:d} ms")
def late_searcher(context, told, late, usual):
    works, rng, ends = [Work(ServiceLoad()) for _ in range(3)], random.Random(1), []
    context.chosen = []
    for number in range(800):
        now = 0.05 * number
        while ends and ends[0][0] <= now:
            end, which, token = ends.pop(0)
            works[which].record_load(parse_load(told if which == 0 else "4,1,6", end))
            works[which].record_answer(token, end)
        chosen = choose(works, usual / 1000, now, [rng.random() for _ in works])
        works[chosen].record_sent(number, usual / 1000, now)
        delay = late if chosen == 0 and number >= 200 else usual / 1000
        ends = sorted([*ends, (now + delay, chosen, number)])
        context.chosen.append(chosen)


@then("the late one gets at most {percent:d}% of {count:d} requests")
def bounded_share(context, percent, count):
    chosen = context.chosen[-count:]
    assert len(chosen) == count and chosen.count(0) * 100 <= percent * count, chosen.count(0)


@then("in {count:d} cases, one that tells nothing is chosen only if it were with a told queue")
def silence_gains_nothing(context, count):
    def offers(wait):
        return st.tuples(wait, SECONDS, SECONDS, SECONDS).map(lambda fields: Offer(*fields))

    @settings(max_examples=count)
    @for_all(st.lists(offers(SECONDS), min_size=2, max_size=2), offers(st.none()), NOISE)
    def holds(tellers, silent, noise):
        if place([silent, *tellers], noise) == 0:
            longest = max(offer.wait for offer in tellers)
            for share in (0.0, 0.5, 1.0):
                told = silent._replace(wait=share * longest)
                assert place([told, *tellers], noise) == 0

    holds()


@given(
    "one that runs {costly:d} expensive requests, and one with {cheap:d} cheap, {waiting:d} waiting"
)
def busy_searchers(context, costly, cheap, waiting):
    context.cost, context.works = CHEAP_S, [searcher(), searcher()]
    for work, cost, count in zip(
        context.works, (EXPENSIVE_S, CHEAP_S), (costly, cheap), strict=True
    ):
        for token in range(count):
            work.record_sent(token, cost, 0.0)
        work.record_load(ToldLoad(SLOTS, count - SLOTS, SLOTS, 1.0, 0.001))


@given("a searcher that tells {first} and one that tells {second}")
def telling_searchers(context, first, second):
    context.cost = EXPENSIVE_S
    context.works = [searcher(parse_load(told, 0.0)[:2]) for told in (first, second)]


@then("{cost} request goes to the second one")
def goes_to_second(context, cost):
    rng = random.Random(1)
    for _ in range(200):
        assert choose(context.works, context.cost, 0.001, [rng.random(), rng.random()]) == 1


@then("the first one gets a cheap request after {late:d} s, not after {early:d} s")
def tried_again(context, late, early):
    # Both have reported the same often, and the service's mean load is that of the second one.
    for work in context.works:
        work.service = context.works[1].service
        for _ in range(100):
            work.record_load(work.told)
    for seconds, expected in ((early, {1}), (late, {0, 1})):
        rng, chosen = random.Random(1), set()
        for _ in range(50):
            noise = [rng.random(), rng.random()]
            chosen.add(choose(context.works, CHEAP_S, seconds, noise))
        assert chosen == expected, (seconds, chosen)


@when("{count:d} requests with paths of their own come between those of a known path")
def invented_paths(context, count):
    context.costs = Costs()
    for number in range(count):
        known = number < 10 or number % 700 == 0
        path = "known/path" if known else f"{number}/{number}"
        kind = context.costs.kind("route", "GET", 0, path, 0.01 * number, 0.1)
        kind.observe(0.3 if known else 0.01, 0.01 * number)


@then("at most {most:d} kinds are kept, and the known path still costs {cost:d} ms")
def bounded_memory(context, most, cost):
    assert len(context.costs) <= most, len(context.costs)
    known = context.costs.kind("route", "GET", 0, "known/path", 200.0, 0.1)
    assert abs(known.expected - cost / 1000) < 0.05, known.expected
