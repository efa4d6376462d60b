"""Steps for the entry side, run against fake owners on a mock clock."""

import itertools
import json
import random
from collections import Counter, defaultdict

import trio
from behave import given, then, when
from entry_fakes import (
    BODY,
    SHARDS,
    Members,
    fake_hits,
    fake_payload,
    make_entry,
    make_query,
    ok_result,
    refused_result,
    run_entry,
    take_out,
)

from rattanrelay.decide.admission import INITIAL_LIMIT
from rattanrelay.errors import RelayError


def _check_answer(answer, shards=SHARDS):
    """Check coverage, snapshot, hits and count against the contents of the shards."""
    missing = {shard for shard, _ in answer.coverage.missing}
    assert answer.coverage.shards == shards
    assert (
        answer.coverage.answered == shards - len(missing) == shards - len(answer.coverage.missing)
    )
    assert all(reason for _, reason in answer.coverage.missing), answer.coverage
    covered = [f"h{n}" for n in range(shards) if f"h{n}" not in missing]
    hits = [hit for shard in covered for hit in fake_hits(shard, answer.snapshot, BODY)]
    assert answer.count == len(hits), (answer.count, len(hits))
    expected = sorted(hits, key=lambda hit: (-hit["score"], hit["key"]))[:10]
    assert answer.hits == expected, answer.hits


# Faults of results.


def _faulty(chance):
    """Return an answer function with faulty results, and a function that sets their share."""

    def no_result(target, sub):
        return 60.0, []

    def late(target, sub):
        return chance.uniform(0.08, 0.4), [ok_result(target, sub)]

    def duplicated(target, sub):
        return 0.01, [ok_result(target, sub)] * 2

    def swapped(target, sub):
        other = target._replace(shard=f"h{chance.randrange(SHARDS)}")
        return 0.005, [
            ok_result(other, sub, searcher=target.searcher),
            ok_result(target, sub, query_id="x/1"),
        ]

    def other_snapshot(target, sub):
        other = "v1" if sub.snapshot == "v2" else "v2"
        payload = fake_payload(target.shard, other, sub.body)
        return 0.01, [ok_result(target, sub, snapshot=other, payload=payload)]

    def wrong_payload(target, sub):
        payload = json.dumps({"hits": [], "count": 5, "snapshot": "v0"}).encode()
        return 0.01, [ok_result(target, sub, payload=payload)]

    def malformed(target, sub):
        return 0.01, [ok_result(target, sub, payload=chance.choice([b"", b"{}", b"[1", b"null"]))]

    def gone(target, sub):
        return 0.002, [refused_result(target, sub, "snapshot_gone", held=("v1",))]

    def refused(target, sub):
        reason = chance.choice(["shedding", "draining", "no_owner", "connection_lost", "deadline"])
        return 0.002, [refused_result(target, sub, reason)]

    def disconnected(target, sub):
        raise RelayError("peer_unavailable", "closed", ran=chance.choice(["not_run", "unknown"]))

    faults = [
        no_result,
        late,
        duplicated,
        swapped,
        other_snapshot,
        wrong_payload,
        malformed,
        gone,
        gone,
        refused,
    ]
    share = 0.0

    def answer(target, sub):
        if chance.random() >= share:
            return chance.uniform(0.002, 0.02), [ok_result(target, sub)]
        fault = disconnected if chance.random() < 0.02 else chance.choice(faults)
        return fault(target, sub)

    def set_share(value):
        nonlocal share
        share = value

    return answer, set_share


@when('{count:d} queries meet faulty results under policy "{policy}"')
def entry_faulty_queries(context, count, policy):
    chance = random.Random(3)
    answer, set_share = _faulty(chance)
    context.answers, context.refusals = [], []

    async def main():
        entry, context.owners = make_entry(answer, policy=policy, timeout_ms=300)
        for number in range(count):
            set_share(chance.choice([0.0, 0.05, 0.2, 0.6, 0.95]))
            try:
                context.answers.append(await entry.query(make_query(number, seconds=0.3)))
            except RelayError as error:
                context.refusals.append(error)
            entry.services["log"].knowledge.lacking.clear()
            entry.services["log"].knowledge.version += 1
        replicas = entry.services["log"].replicas.values()
        context.outstanding = sum(replica.outstanding for replica in replicas)

    run_entry(main)


@then("each answer is the exact merge of the shards that it says it covers")
def entry_exact(context):
    counts = len(context.answers), len(context.refusals)
    assert counts[0] > 10 * counts[1], counts
    for answer in context.answers:
        _check_answer(answer)


@then("full and partial answers of both snapshots occurred")
def entry_variety(context):
    full = sum(not answer.coverage.missing for answer in context.answers)
    assert 0 < full < len(context.answers)
    assert {answer.snapshot for answer in context.answers} == {"v1", "v2"}


@then("no sub-request is counted as outstanding")
def entry_nothing_outstanding(context):
    assert context.outstanding == 0, context.outstanding


@given("owners that send stray results before each right one")
def entry_stray_results(context):
    strays = [{"query_id": "other/1"}, {"searcher": "s99/0"}, {"shard": "h99"}]
    payload = b'{"hits":[],"count":1000}'

    def answer(target, sub):
        wrong = [ok_result(target, sub, payload=payload, **stray) for stray in strays]
        wrong.append(refused_result(target, sub, "shedding", query_id="other/2"))
        return 0.01, [*wrong, ok_result(target, sub)]

    context.answer = answer


@then("each answer is complete and nothing is retried")
def entry_complete(context):
    for answer in context.answers:
        _check_answer(answer)
        assert not answer.coverage.missing
    assert "retry" not in context.kinds, context.kinds


@when("a query gets {reason} from all shards")
def entry_no_shard(context, reason):
    def answer(target, sub):
        if reason == "nothing":
            return 60.0, []
        one, _, others = reason.partition(" once, else ")
        given = one if target.shard == "h3" else others or one
        return 0.01, [refused_result(target, sub, given)]

    async def main():
        entry, _ = make_entry(answer)
        try:
            await entry.query(make_query())
        except RelayError as error:
            context.error = error

    run_entry(main)


@then('the query fails with "{code}" and outcome "{ran}"')
def entry_query_fails(context, code, ran):
    assert (context.error.code, context.error.ran) == (code, ran), context.error


@when("a query finds no catalog when it restarts")
def entry_restart_fails(context):
    async def main():
        entry, _ = make_entry(context.answer)
        run_scatter, earlier = entry._scatter, []

        async def scatter(*args):
            if earlier:
                entry.configuration.set(entry.configuration.value._replace(catalogs={}))
            earlier.append(args)
            return await run_scatter(*args)

        entry._scatter = scatter
        try:
            await entry.query(make_query())
        except RelayError as error:
            context.error = error

    run_entry(main)


@then("its status is {status:d}")
def entry_query_status(context, status):
    assert context.error.status == status, context.error


@given('an owner "{name}" that cannot be reached')
def entry_lost_owner(context, name):
    def answer(target, sub):
        if Members().owner(target.searcher.split("/")[0]).instance == name:
            raise RelayError("peer_unavailable", "closed", ran="not_run")
        return 0.01, [ok_result(target, sub)]

    context.answer = answer


@then('only the first query asks owner "{name}"')
def entry_owner_avoided(context, name):
    askers = [
        sub.query_id.split("/")[0]
        for sub in context.owners.subs
        for target in sub.targets
        if Members().owner(target.searcher.split("/")[0]).instance == name
    ]
    assert set(askers) == {"r0"}, askers
    assert len(askers) < SHARDS


@given("owners of shard {shard} that are silent until a query has waited {seconds:g} s")
def entry_silent_owner(context, shard, seconds):
    context.sent = []

    def answer(target, sub):
        now = trio.current_time()
        context.sent.append((now, sub.deadline_ms / 1000 - 1_000_000.0))
        return (
            (60.0, [])
            if target.shard == shard and now < seconds
            else (0.01, [ok_result(target, sub)])
        )

    context.answer = answer


@when("a query of {seconds:g} s runs under policy coverage")
def entry_long_query(context, seconds):
    async def main():
        entry, _ = make_entry(context.answer, policy="coverage", hedge=False)
        context.answers = [await entry.query(make_query(seconds=seconds))]

    run_entry(main)


@then("no sub-request has more than {seconds:g} s")
def entry_short_sub_requests(context, seconds):
    assert max(sent for sent, _ in context.sent) > seconds
    assert all(deadline - sent <= seconds + 1e-6 for sent, deadline in context.sent), context.sent


# Hedges and their budget.


@given("owners of which {percent:d} in 100 sub-requests straggle")
def entry_stragglers(context, percent):
    chance = random.Random(11)

    def answer(target, sub):
        slow = chance.random() * 100 < percent
        return chance.uniform(0.08, 0.2) if slow else chance.uniform(0.005, 0.01), [
            ok_result(target, sub)
        ]

    context.answer = answer


@given("owners that straggle and refuse one sub-request in ten as shedding")
def entry_shedding(context):
    chance = random.Random(12)

    def answer(target, sub):
        if chance.random() < 0.1:
            return 0.002, [refused_result(target, sub, "shedding")]
        slow = chance.random() < 0.1
        return 0.1 if slow else 0.005, [ok_result(target, sub)]

    context.answer = answer


@given('owners in whose queues searchers ending in "{ends}" let work wait')
def entry_queues(context, ends):
    chance = random.Random(14)

    def answer(target, sub):
        queued = chance.uniform(0.3, 0.4) if target.searcher.endswith(tuple(ends.split())) else 0.0
        load = {"queue_us": int(queued * 1e6), "in_flight": 6 if queued else 0}
        return 0.01 + queued, [ok_result(target, sub, **load)]

    context.answer = answer


@when('{count:d} queries run one after the other under policy "{policy}"')
def entry_sequence(context, count, policy):
    context.answers = []

    async def main():
        entry, context.owners = make_entry(context.answer, policy=policy, soft_deadline_ms=250)
        for number in range(count):
            context.answers.append(await entry.query(make_query(number)))
        context.limit = entry.services["log"].admission.limit.value

    run_entry(main)
    kinds = Counter()
    for sub in context.owners.subs:
        kinds[sub.kind] += len(sub.targets)
    context.kinds = kinds


@then("the admission limit has not fallen")
def entry_limit_kept(context):
    assert context.limit >= INITIAL_LIMIT, context.limit


@then("the admission limit has fallen")
def entry_limit_lowered(context):
    assert context.limit <= INITIAL_LIMIT / 2, context.limit


@then("there are hedges, and hedges and retries stay within 2% and a burst of 10")
def entry_hedge_budget(context):
    kinds = context.kinds
    extra = kinds["hedge"] + kinds["retry"]
    assert kinds["hedge"] > 0.01 * kinds["query"], kinds
    assert extra <= 0.02 * kinds["query"] + 10, kinds


@then("the slower sub-requests of hedged shards are cancelled")
def entry_slower_cancelled(context):
    assert context.owners.cancels
    hedged = {
        (sub.query_id, target.shard)
        for sub in context.owners.subs
        if sub.kind == "hedge"
        for target in sub.targets
    }
    assert {(cancel.query_id, cancel.shard) for cancel in context.owners.cancels} <= hedged


@then("at most {count:d} hedges and retries are sent, all of them before the overload was detected")
def entry_no_extra_in_overload(context, count):
    extra = [
        number
        for number, sub in enumerate(context.owners.subs)
        if sub.kind in ("hedge", "retry") and number > 30
    ]
    assert not extra, extra
    assert context.kinds["hedge"] + context.kinds["retry"] <= count, context.kinds


# Tail and coverage policy.


@given("a shard whose first replica answers {reason} and whose second one answers")
def entry_one_bad_replica(context, reason):
    def answer(target, sub):
        if target.searcher == "s3/0":
            return 0.002, [refused_result(target, sub, reason)]
        return 0.01, [ok_result(target, sub)]

    context.answer = answer


@given("a shard whose replicas refuse as draining for the first {count:d} times")
def entry_refuse_first(context, count):
    left = [count]

    def answer(target, sub):
        if target.shard == "h3" and left[0]:
            left[0] -= 1
            return 0.002, [refused_result(target, sub, "draining")]
        return 0.01, [ok_result(target, sub)]

    context.answer = answer


@given("a shard whose replicas do not answer")
def entry_silent_shard(context):
    def answer(target, sub):
        return (60.0, []) if target.shard == "h3" else (0.01, [ok_result(target, sub)])

    context.answer = answer


@then("{count:d} answers miss nothing")
def entry_full_answers(context, count):
    full = sum(not answer.coverage.missing for answer in context.answers)
    assert full == count, Counter(answer.coverage.missing for answer in context.answers)


@then('each answer misses only shard "{shard}" with reason "{reason}"')
def entry_missing_shard(context, shard, reason):
    for answer in context.answers:
        assert answer.coverage.missing == ((shard, reason),), answer.coverage


# Snapshots.


@given('searchers that no longer hold snapshot "{snapshot}" of shard "{shard}"')
def entry_snapshot_gone(context, snapshot, shard):
    def answer(target, sub):
        if sub.snapshot == snapshot and target.shard == shard:
            return 0.002, [refused_result(target, sub, "snapshot_gone", held=("v1",))]
        return 0.01, [ok_result(target, sub)]

    context.answer = answer


@then('each answer covers all shards of snapshot "{snapshot}"')
def entry_whole_snapshot(context, snapshot):
    for answer in context.answers:
        _check_answer(answer)
        assert (answer.snapshot, answer.coverage.missing) == (snapshot, ()), answer


@then('at most {count:d} messages name snapshot "{snapshot}"')
def entry_few_messages(context, count, snapshot):
    named = [sub for sub in context.owners.subs if sub.snapshot == snapshot]
    assert len(named) <= count, len(named)


# Canaries.


@given("a request that crashes each server that runs it, and owners that {memory} it")
def entry_crashing_request(context, memory):
    context.crashed = []
    context.blocked = set()

    def answer(target, sub):
        if sub.body != BODY:
            return 0.01, [ok_result(target, sub)]
        if not sub.canary:
            context.crashed.append(target.searcher)
            return 0.02, [refused_result(target, sub, "connection_lost")]
        if sub.body in context.blocked:
            return 0.001, [refused_result(target, sub, "request_blocked")]
        context.crashed.append(target.searcher)
        if sub.kind == "suspect" and memory == "block":
            context.blocked.add(sub.body)
        return 0.02, [refused_result(target, sub, "connection_lost")]

    context.answer = answer


@when("it is sent {count:d} times through {entries:d} instances, between other requests")
def entry_send_crashing_request(context, count, entries):
    context.errors = []
    context.answers = []

    async def main():
        chance = random.Random(1)
        instances = [make_entry(context.answer, canary=True)[0] for _ in range(entries)]
        for number in range(count):
            entry = chance.choice(instances)
            other = make_query(number, body=b'{"filter":{},"limit":%d}' % (1 + number % 3))
            context.answers.append(await entry.query(other))
            try:
                await entry.query(make_query(number))
            except RelayError as error:
                context.errors.append(error)

    run_entry(main)


@then("{count:d} servers crash and each sending is refused as request_blocked")
def entry_crashes_limited(context, count):
    assert len(context.crashed) == count, context.crashed
    assert len(set(context.crashed)) == count
    assert {error.code for error in context.errors} == {"request_blocked"}
    outcomes = [error.ran for error in context.errors]
    assert outcomes == ["unknown"] + ["not_run"] * (len(outcomes) - 1), outcomes


@then("all other requests are answered in full")
def entry_others_full(context):
    assert all(not answer.coverage.missing for answer in context.answers)


# Overload.


@given("servers for {capacity:d} queries at a time that refuse more than {queue:d} waiting ones")
def entry_capacity(context, capacity, queue):
    context.capacity = capacity
    searchers = defaultdict(list)

    def answer(target, sub):
        """Run work in order of arrival; refuse work that cannot start before its deadline."""
        now = trio.current_time()
        ends = searchers[target.searcher]
        ends[:] = [end for end in ends if end > now]

        def load():
            left = sum(end > trio.current_time() for end in ends)
            return {"in_flight": left, "limit": capacity}

        if len(ends) >= capacity + queue:
            return 0.001, [refused_result(target, sub, "queue_full", **load())]
        start = sorted(ends)[-capacity] if len(ends) >= capacity else now
        left = sub.deadline_ms / 1000 - 1_000_000.0 - now
        if start - now >= left:
            return left, lambda: [refused_result(target, sub, "deadline", **load())]
        ends.append(start + 0.02)
        queue_us = int((start - now) * 1e6)
        return start - now + 0.02, lambda: [ok_result(target, sub, queue_us=queue_us, **load())]

    context.answer = answer


@when("two tenants offer {hog:g} and {light:g} of the capacity for {seconds:d} seconds")
def entry_offer(context, hog, light, seconds):
    context.done = Counter()
    context.offered = Counter()

    async def main():
        # Each replica of a shard runs `capacity` queries of 20 ms; a query uses one of the two.
        rate = 2 * context.capacity / 0.02
        entry, context.owners = make_entry(
            context.answer, policy="tail", soft_deadline_ms=100, hedge=True
        )
        chance = random.Random(2)

        async def send_one(tenant, number):
            try:
                answer = await entry.query(make_query(number, tenant, seconds=0.5))
                full = not answer.coverage.missing
                context.done[tenant] += full and number >= 0
            except RelayError as error:
                assert error.ran == "not_run" or "deadline" in str(error), error

        async def offer(tenant, share):
            # The limit takes some time to adapt to the capacity; negative numbers are a warm-up.
            for number in itertools.count(int(-2 * rate * share)):
                if number >= 0 and not context.offered[tenant]:
                    start = trio.current_time()
                if number >= 0 and trio.current_time() >= start + seconds:
                    return
                context.offered[tenant] += number >= 0
                nursery.start_soon(send_one, tenant, number)
                await trio.sleep(chance.expovariate(rate * share))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(offer, "hog", hog)
            nursery.start_soon(offer, "light", light)
        context.possible = rate * seconds

    run_entry(main)


@then("{percent:d}% of the capacity are full answers, and of the light tenant's queries {light:d}%")
def entry_goodput(context, percent, light):
    figures = context.done, context.offered, context.possible
    assert sum(context.done.values()) >= context.possible * percent / 100, figures
    assert context.done["light"] >= context.offered["light"] * light / 100, figures


# Rows that are out.


@when('row "{name}" of {kind} is taken out between {count:d} and {more:d} queries')
def entry_row_out(context, name, kind, count, more):
    def answer(target, sub):
        return 0.01, [ok_result(target, sub)]

    async def main():
        entry, owners = make_entry(answer, canary=True)
        for number in range(count):
            await entry.query(make_query(number))
        seen = len(owners.subs)
        take_out(entry, kind, name)
        context.answers = [await entry.query(make_query(number)) for number in range(more)]
        context.before, context.after = owners.subs[:seen], owners.subs[seen:]

    run_entry(main)


def _servers_of(subs):
    return {target.searcher.split("/")[0] for sub in subs for target in sub.targets}


@then("servers with number {rest:d} modulo {divisor:d} get work before and none after it")
def entry_no_work(context, rest, divisor):
    excluded = {f"s{n}" for n in range(SHARDS) if n % divisor == rest}
    assert excluded <= _servers_of(context.before)
    assert not excluded & _servers_of(context.after)
    assert all(not answer.coverage.missing for answer in context.answers)
