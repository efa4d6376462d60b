"""Steps for the pure decisions of the entry side."""

import json
import math
import random
from collections import Counter

from behave import then, when
from hypothesis import given as sampled
from hypothesis import strategies as st

from rattanrelay.decide.admission import Admission, ConcurrencyLimit
from rattanrelay.decide.budget import Budget, retry_price
from rattanrelay.decide.gather import Gather
from rattanrelay.decide.hedging import LatencyWindow
from rattanrelay.decide.proven import ProvenRequests, canary_order
from rattanrelay.decide.selection import Replica, choose_replica
from rattanrelay.decide.snapshot import SnapshotKnowledge
from rattanrelay.table import Catalog, Shard, Snapshot

SEEDS = st.integers(0, 2**32)

# Gather.


def _random_payload(chance, shard):
    hits = [
        {"key": f"{shard}{chance.randrange(30)}", "score": chance.randrange(5), "extra": [1]}
        for _ in range(chance.randrange(8))
    ]
    return {"hits": hits, "count": len(hits) + chance.randrange(3)}


def _random_event(chance, shards):
    """Return (query, shard, snapshot, payload bytes, payload if the result is correct)."""
    shard = chance.choice(shards)
    payload = _random_payload(chance, shard)
    fault = chance.choice(["", "", "", "query", "shard", "snapshot", "payload", "inner"])
    if fault == "inner":
        return "q", shard, "v1", json.dumps({**payload, "snapshot": "v0"}).encode(), None
    if fault == "payload":
        broken = chance.choice(
            [b"", b"[]", b'{"hits":[{"key":1,"score":1}],"count":1}', b'{"a":1}']
        )
        return "q", shard, "v1", broken, None
    return (
        "other" if fault == "query" else "q",
        "unknown" if fault == "shard" else shard,
        "v0" if fault == "snapshot" else "v1",
        json.dumps(payload).encode(),
        None if fault else payload,
    )


@when("random sequences of shard results are gathered")
def entry_gather(context):
    context.pairs = []

    @sampled(SEEDS)
    def gather(seed):
        chance = random.Random(seed)
        shards = [f"h{n}" for n in range(chance.randint(1, 8))]
        limit = chance.randint(1, 6)
        gathered = Gather("q", "v1", shards, limit)
        first, reasons = {}, {}
        for _ in range(chance.randrange(25)):
            if chance.random() < 0.2:
                shard = chance.choice(shards)
                gathered.fail(shard, "shedding")
                reasons[shard] = "shedding"
            query, shard, snapshot, data, right = _random_event(chance, shards)
            verdict = gathered.add(query, shard, snapshot, data)
            assert (verdict == "counted") == (right is not None and shard not in first), verdict
            if verdict == "counted":
                first[shard] = right
        context.pairs.append((gathered, shards, limit, first, reasons))

    gather()


@then("the gathered answer equals the merge of the first correct result of each shard")
def entry_gather_model(context):
    assert len(context.pairs) >= 100
    for gathered, shards, limit, first, reasons in context.pairs:
        hits = [hit for payload in first.values() for hit in payload["hits"]]
        ranks = [(-hit["score"], hit["key"]) for hit in hits]
        found = gathered.hits()
        assert [(-hit["score"], hit["key"]) for hit in found] == sorted(ranks)[:limit]
        assert all(hit in hits for hit in found)
        assert gathered.count == sum(payload["count"] for payload in first.values())
        coverage = gathered.coverage("deadline")
        assert (coverage.shards, coverage.answered) == (len(shards), len(first))
        missing = [(s, reasons.get(s, "deadline")) for s in shards if s not in first]
        assert [tuple(gap) for gap in coverage.missing] == missing


# Snapshot.


def _random_catalog(chance):
    names = [f"v{n}" for n in range(chance.randint(1, 4))]
    snapshots = []
    for name in names:
        shards = [
            Shard(f"h{n}", tuple(f"s{r}" for r in chance.sample(range(3), chance.randint(1, 2))))
            for n in range(chance.randint(1, 3))
        ]
        snapshots.append(Snapshot(name, tuple(shards)))
    return Catalog("log", 1, tuple(snapshots))


@when("snapshots are chosen from random catalogs and refusals")
def entry_snapshots(context):
    context.choices = []

    @sampled(SEEDS)
    def choose(seed):
        chance = random.Random(seed)
        catalog = _random_catalog(chance)
        knowledge = SnapshotKnowledge()
        lacking = set()
        for _ in range(chance.choice([0, 5, 20, 60])):
            searcher = f"s{chance.randrange(3)}"
            name = chance.choice(catalog.snapshots).name
            held = chance.sample([s.name for s in catalog.snapshots], 1)
            knowledge.record_missing(searcher, name, held, 0.0)
            lacking -= {(searcher, one) for one in held if one != name}
            lacking.add((searcher, name))
        context.choices.append((catalog, lacking, knowledge.choose(catalog)))

    choose()


@then("each choice is the newest complete snapshot or the one that most shards have")
def entry_snapshot_choice(context):
    fallbacks = ties = 0
    for catalog, lacking, choice in context.choices:
        shares = [
            sum(any((r, one.name) not in lacking for r in shard.searchers) for shard in one.shards)
            / len(one.shards)
            for one in catalog.snapshots
        ]
        fallbacks += max(shares) < 1.0
        ties += max(shares) < 1.0 and shares.count(max(shares)) > 1
        assert choice == catalog.snapshots[shares.index(max(shares))]
    assert fallbacks and ties, (fallbacks, ties)


@when("a searcher lacks the newest snapshot and time passes")
def entry_snapshot_time(context):
    shards = (Shard("h0", ("s0",)),)
    catalog = Catalog("log", 1, (Snapshot("v2", shards), Snapshot("v1", shards)))
    knowledge = SnapshotKnowledge()
    knowledge.record_missing("s0", "v2", ("v1",), 10.0)
    context.chosen = []
    for now in (10.0, 14.9, 15.0):
        knowledge.expire(now)
        context.chosen.append(knowledge.choose(catalog).name)


@then("the newest snapshot is chosen again after 5 s and not before")
def entry_snapshot_again(context):
    assert context.chosen == ["v1", "v1", "v2"]


# Selection.


def _random_replica(chance, name, now):
    replica = Replica(name, name, chance.randint(1, 4))
    for _ in range(chance.randrange(4)):
        replica.observe(chance.uniform(0.0, 0.2), chance.randrange(9), 2, chance.uniform(0, now))
    replica.outstanding = chance.randrange(4)
    return replica


@when("replicas with random observations are chosen from")
def entry_choose(context):
    context.choices = []

    @sampled(SEEDS)
    def choose(seed):
        chance = random.Random(seed)
        group = [_random_replica(chance, f"s{n}", 5.0) for n in range(chance.randint(0, 4))]
        context.choices.append((group, choose_replica(group, 5.0, chance)))

    choose()


@then("each choice is a candidate and not more expensive than another one of two")
def entry_chosen(context):
    for group, choice in context.choices:
        assert (choice is None) == (not group)
        if len(group) == 2:
            assert choice.cost(5.0) == min(one.cost(5.0) for one in group)
        elif group:
            dearest = max(one.cost(5.0) for one in group)
            assert choice in group
            assert choice.cost(5.0) < dearest or len({one.cost(5.0) for one in group}) == 1


@when("replicas with random observations receive random load reports")
def entry_reports(context):
    context.pairs = []

    @sampled(SEEDS, st.floats(-1.0, 1e6))
    def report(seed, weight):
        replica = _random_replica(random.Random(seed), "s0", 5.0)
        before = replica.cost(5.0)
        replica.apply_report(weight)
        context.pairs.append((weight, before, replica.cost(5.0)))

    report()


@then("no report lowers the cost below that without a report")
def entry_report_cost(context):
    for weight, before, after in context.pairs:
        assert after >= before
        assert (after == before) == (weight >= 1.0 or before == 0.0), (weight, before, after)


@when("replicas with random observations fail")
def entry_failures(context):
    context.pairs = []

    @sampled(SEEDS, st.integers(1, 9))
    def fail(seed, count):
        replica = _random_replica(random.Random(seed), "s0", 5.0)
        replica.outstanding = 0
        costs = [replica.cost(5.0)]
        for _ in range(count):
            replica.fail(5.0)
            costs.append(replica.cost(5.0))
        fresh = Replica("s1", "s1", replica.row_weight).cost(65.0)
        context.pairs.append((costs, replica.cost(65.0), fresh))

    fail()


@then("each failure raises the cost, and after 60 s the cost is that of a new replica")
def entry_failure_fades(context):
    for costs, later, fresh in context.pairs:
        assert costs[0] < costs[1] and costs == sorted(costs)
        assert math.isclose(later, fresh, rel_tol=0.01), (later, fresh)


# Hedging.


@when("random latencies are added to a window")
def entry_latencies(context):
    context.windows = []

    @sampled(SEEDS, st.integers(0, 40))
    def add(seed, blocks):
        chance = random.Random(seed)
        window = LatencyWindow()
        latencies = [chance.uniform(0.003, 1.0) for _ in range(20 + 64 * blocks)]
        for number, latency in enumerate(latencies, start=1):
            window.add(latency)
            assert (window.delay() is None) == (number < 20)
        context.windows.append((latencies[-512:], window.delay()))

    add()


@then("no delay is known before 20 of them, and then it is their 95th percentile")
def entry_percentile(context):
    for latencies, delay in context.windows:
        above = sum(latency > delay for latency in latencies)
        assert 0.03 < (above + 1) / len(latencies) <= 0.07, (above, len(latencies))


@when("512 sub-requests of 10 ms are followed by 512 that have no result after 80 ms")
def entry_unfinished(context):
    context.window = LatencyWindow()
    for _ in range(512):
        context.window.add(0.01)
    for _ in range(512):
        context.window.add_unfinished(0.005)
        context.window.add_unfinished(0.08)


@then("the hedge delay is 80 ms")
def entry_unfinished_delay(context):
    assert context.window.delay() == 0.08


# Budget.


@when("random first and extra sub-requests use a budget")
def entry_budget(context):
    totals, in_overload = [], []
    context.totals, context.in_overload = totals, in_overload

    @sampled(SEEDS)
    def spend(seed):
        chance = random.Random(seed)
        budget = Budget()
        first = paid = 0
        for _ in range(300):
            earned = chance.choice([1, 20, 850])
            budget.add_tokens(earned)
            first += earned
            price = chance.choice([1.0, 0.1])
            overloaded = chance.random() < 0.3
            for _ in range(chance.randrange(30)):
                granted = budget.take(price, overloaded=overloaded)
                paid += granted * price
                if overloaded:
                    in_overload.append(granted)
            totals.append((first, paid))

    spend()


@then("at each moment the paid ones stay within 2% of the first ones and a burst of 10")
def entry_budget_bound(context):
    assert any(paid > 10 for _, paid in context.totals)
    assert all(paid <= 0.02 * first + 10 + 1e-6 for first, paid in context.totals)


@then("none is paid for during overload")
def entry_budget_overload(context):
    assert context.in_overload and not any(context.in_overload)


@then('a retry after "{reason}" with ran "{ran}" costs {price:g}')
def entry_price(context, reason, ran, price):
    assert retry_price(reason, ran) == price


# Admission.


RANDOM_WEIGHTS = {"a": 1, "b": 2, "c": 3}


@when("queries of random tenants arrive, wait, end and are withdrawn")
def entry_admission(context):
    context.admitted = Counter()
    context.overshoots = 0

    @sampled(SEEDS)
    def run(seed):
        chance = random.Random(seed)
        admission = Admission()
        admission.limit.value = chance.uniform(1, 9)
        caps = {name: chance.randint(1, 6) for name in "abc"}
        averages = dict.fromkeys("abc", 0.0)
        likely = [chance.random() ** 3 for _ in "abc"]
        longest = chance.choice([0.01, 0.1])
        tickets, now = [], 0.0
        for _ in range(120):
            running = [one for one in tickets if one.state == "admitted"]
            waiting = [one for one in tickets if one.state == "waiting"]
            passed = chance.uniform(0, longest)
            now += passed
            _age(averages, Counter(one.tenant for one in running), passed)
            (name,) = chance.choices("abc", likely)
            action = chance.random()
            if action < 0.6:
                weight = RANDOM_WEIGHTS[name]
                tickets.append(admission.arrive(name, weight, caps[name], now, now + 1))
            elif action < 0.9 and running:
                admission.leave(chance.choice(running), now)
            elif waiting:
                admission.give_up(chance.choice(waiting))
            _check_admission(admission, caps, tickets, now)
            new = [one for one in tickets if one.state == "admitted" and one not in running]
            if new and admission.in_flight > int(admission.limit.value):
                _check_overshoot(admission, averages, new)
                context.overshoots += 1
        context.admitted.update(one.state for one in tickets)

    run()


def _age(averages, running, seconds):
    """Update the averages of the slots in use, which have a half-life of 1 s."""
    for name in averages:
        averages[name] = running[name] + (averages[name] - running[name]) * 0.5**seconds


def _check_admission(admission, caps, tickets, now):
    running = Counter(one.tenant for one in tickets if one.state == "admitted")
    assert admission.in_flight == running.total() <= 2 * admission.limit.value + 1
    assert all(running[name] <= cap for name, cap in caps.items()), running
    live = [one for one in tickets if one.state == "waiting" and one.wait_until >= now]
    assert all(one.wait_until <= now + 0.025 for one in live)
    if admission.in_flight < int(admission.limit.value):
        for name in {one.tenant for one in live if running[one.tenant] < caps[one.tenant]}:
            assert any(_below_share(admission, running, one, name) for one in "abc" if one != name)


def _check_overshoot(admission, averages, new):
    """Check queries that were admitted above the limit.

    It is not known here which tenants are active, so the shares have an upper and a lower bound.
    """
    limit, tenants = admission.limit.value, admission.tenants
    using = sum(RANDOM_WEIGHTS[name] for name, one in tenants.items() if one.in_flight)
    total = sum(RANDOM_WEIGHTS.values())
    excess = (averages[name] - limit * RANDOM_WEIGHTS[name] / total for name in averages)
    covered = admission.in_flight <= limit + sum(max(0.0, slots) for slots in excess)
    for name in {one.tenant for one in new}:
        share = limit * RANDOM_WEIGHTS[name] / using
        assert averages[name] < share, (averages, share)
        most = 2 * share + 1 if covered else share
        assert tenants[name].in_flight <= most, (name, most, covered)


def _below_share(admission, running, name, other):
    """Return whether a tenant would use less than its share if only these two were active."""
    weight, total = ord(name) - 96, ord(name) - 96 + ord(other) - 96
    return running[name] < admission.limit.value * weight / total


@then("no tenant exceeds its cap, no slot leaks, and a slot is free only for another's share")
def entry_admission_states(context):
    assert {"admitted", "waiting", "refused", "ended"} <= set(context.admitted), context.admitted


@then("the limit is exceeded only by tenants below their shares, by what others use above theirs")
def entry_overshoots(context):
    assert context.overshoots >= 20, context.overshoots


@when("one tenant has held all slots for 60 s and others ask for their shares of them")
def entry_used_up_limit(context):
    context.asked = Counter()
    context.returned = []

    @sampled(SEEDS)
    def run(seed):
        chance = random.Random(seed)
        admission = Admission()
        limit = chance.randint(2, 40)
        admission.limit.value = float(limit)
        weights = {name: chance.randint(1, 5) for name in "abcd"[: chance.randint(2, 4)]}
        held = [admission.arrive("a", weights["a"], 99, 0.0, 99.0) for _ in range(limit)]
        total = sum(weights.values())
        asked = [n for n, weight in weights.items() for _ in range(int(limit / total * weight))]
        chance.shuffle(asked)
        for name in asked:
            if name != "a":
                state = admission.arrive(name, weights[name], 99, 60.0, 99.0).state
                context.asked[state] += 1
        for ticket in held:
            admission.leave(ticket, 60.0)
            before = admission.in_flight
            again = admission.arrive("a", weights["a"], 99, 60.0, 99.0)
            context.returned.append((again.state == "admitted", before < limit))
            admission.give_up(again)

    run()


@when("one tenant took all slots 0.1 s ago, the limit is halved, and others ask for their shares")
def entry_lowered_limit(context):
    context.asked = Counter()

    @sampled(st.integers(2, 40), st.integers(2, 4))
    def run(half, tenants):
        admission = Admission()
        admission.limit.value = 2.0 * half
        for _ in range(2 * half):
            admission.arrive("a", 1, 99, 0.0, 99.0)
        admission.limit.value = float(half)
        for name in "bcd"[: tenants - 1]:
            for _ in range(half // tenants):
                context.asked[admission.arrive(name, 1, 99, 0.1, 99.0).state] += 1

    run()


@then("each query of the others is admitted at once")
def entry_admitted_at_once(context):
    assert set(context.asked) == {"admitted"}, context.asked
    assert context.asked["admitted"] >= 500


@when("one tenant holds all {limit:d} slots, two more have 1 query each and a fourth asks for all")
def entry_burst(context, limit):
    admission = Admission()
    admission.limit.value = float(limit)
    for _ in range(limit):
        admission.arrive("a", 1, 99, 0.0, 99.0)
    for name in "bc" + limit * "d":
        admission.arrive(name, 1, 99, 60.0, 99.0)
    context.held = {name: tenant.in_flight for name, tenant in admission.tenants.items()}


@then("the fourth gets twice its share, {count:d} slots")
def entry_burst_bound(context, count):
    assert context.held == {"a": 12, "b": 1, "c": 1, "d": count}, context.held


@then("the first tenant gets a slot again only when fewer queries are in flight than the limit")
def entry_returned_slots(context):
    assert all(admitted == below for admitted, below in context.returned)
    assert len({admitted for admitted, _ in context.returned}) == 2


def _serve(weights, wanted, rounds, slots=32):
    """Keep `wanted` queries of each tenant waiting or in flight.

    Returns the queries served and the average in flight in the second half of the rounds.
    """
    chance = random.Random(4)
    admission = Admission()
    admission.limit.value = float(slots)
    served, held, tickets = Counter(), Counter(), []
    for step in range(rounds):
        now = step * 0.001
        for name, weight in weights.items():
            mine = [one for one in tickets if one.tenant == name]
            for _ in range(wanted[name] - len(mine)):
                tickets.append(admission.arrive(name, weight, 1000, now, now + 9))
        running = [one for one in tickets if one.state == "admitted"]
        if step >= rounds // 2:
            held.update(one.tenant for one in running)
        done = chance.choice(running)
        served[done.tenant] += 1
        admission.leave(done, now)
        tickets = [one for one in tickets if one.state in ("admitted", "waiting")]
    counted = rounds - rounds // 2
    return served, {name: count / counted for name, count in held.items()}


@when("tenants of weight 1, 2 and 5 always have queries waiting")
def entry_backlog(context):
    context.served, _ = _serve({"a": 1, "b": 2, "c": 5}, {"a": 60, "b": 60, "c": 60}, 4000)


@then("they are served in the ratio of their weights")
def entry_ratio(context):
    total = context.served.total()
    for name, part in (("a", 1 / 8), ("b", 2 / 8), ("c", 5 / 8)):
        assert abs(context.served[name] / total - part) < 0.03, context.served


@when("a tenant of weight 1 wants 2 slots and one of weight 1 wants all 32")
def entry_small_tenant(context):
    _, context.held = _serve({"a": 1, "b": 1}, {"a": 2, "b": 64}, 4000)


@then("the first tenant has its 2 slots and the second one the other 30")
def entry_small_tenant_served(context):
    assert context.held == {"a": 2, "b": 30}, context.held


@when("a tenant with 15 slots ends all its queries while one with 17 wants all 32")
def entry_idle_tenant(context):
    admission = Admission()
    first = [admission.arrive("a", 1, 99, 0.0, 99.0) for _ in range(15)]
    for _ in range(17):
        admission.arrive("b", 1, 99, 0.0, 99.0)
    for ticket in first:
        admission.leave(ticket, 6.0)
    context.held = {}
    for step in range(701):
        now = 6 + step * 0.01
        admission.arrive("b", 1, 99, now, now + 9)
        context.held[step] = admission.in_flight


@then("half of the slots are still reserved after 1 s and none after 7 s")
def entry_idle_share(context):
    held = context.held
    assert (held[0], held[100], held[700]) == (17, 24, 32), held


@when("20 windows of used capacity without signals are followed by one with half refused")
def entry_limit(context):
    limit = ConcurrencyLimit()
    start = limit.value
    for window in range(1, 21):
        limit.started(int(limit.value))
        limit.finished(100, 0, window * 0.1 + 1e-6 * window)
    context.risen = limit.value - start
    before = limit.value
    limit.started(int(limit.value))
    limit.finished(100, 50, 3.0)
    context.fallen = limit.value / before


@then("the limit rises by 8 and then falls by a quarter")
def entry_limit_moves(context):
    assert math.isclose(context.risen, 8) and math.isclose(context.fallen, 0.75)


# Proven fingerprints.


@when("random replicas are ordered for a fingerprint in any order")
def entry_orders(context):
    context.orders = []

    @sampled(SEEDS)
    def order(seed):
        chance = random.Random(seed)
        names = [f"s{n}/{chance.randrange(2)}" for n in range(chance.randint(1, 20))]
        shuffled = chance.sample(names, len(names))
        context.orders.append((canary_order("f1", names), canary_order("f1", shuffled)))

    order()


@then("the order depends on the fingerprint and the names only")
def entry_same_order(context):
    assert all(first == second for first, second in context.orders)
    names = [f"s{n}/0" for n in range(20)]
    firsts = {canary_order(f"f{n}", names)[0] for n in range(200)}
    assert len(firsts) == 20, firsts


@when("a fingerprint succeeds")
def entry_proven(context):
    context.proven = ProvenRequests()
    context.proven.record_success("f1", 100.0)
    context.proven.record_success("f2", 100.0)
    context.proven.forget("f2")


@then("it is proven for 600 s unless it is forgotten")
def entry_proven_time(context):
    held = [context.proven.is_proven("f1", now) for now in (100.0, 699.9, 700.0)]
    assert held == [True, True, False]
    assert not context.proven.is_proven("f2", 100.0) and not context.proven.is_proven("f3", 100.0)
