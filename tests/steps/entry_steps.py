"""Steps for the entry tasks, run against fake owners on a mock clock."""

import itertools
import json
import math
import random
from collections import Counter, defaultdict
from contextlib import asynccontextmanager
from functools import cache

import trio
from behave import given, then, when
from trio._core import _run as scheduler
from trio.testing import MockClock

from rattanrelay.errors import RelayError
from rattanrelay.metrics import Metrics
from rattanrelay.node.entry import Entry
from rattanrelay.node.ports import Configuration, Latest, Member
from rattanrelay.node.query import Query
from rattanrelay.table import (
    Catalog,
    DomainRow,
    ServerRow,
    ServiceRow,
    Shard,
    Snapshot,
    Table,
    TenantRow,
)
from rattanrelay.wire import ActionResult, ShardResult, ShardResults

SHARDS = 20
INSTANCES = ("a", "b", "c")
BODY = b'{"filter":{"core":1},"limit":10}'


@cache
def _hits(shard, snapshot, query):
    chance = random.Random(f"{shard}/{snapshot}/{query}")
    keys = [f"{shard}:{number}" for number in range(chance.randint(0, 12))]
    return [{"key": key, "score": chance.randint(0, 9) / 10, "from": snapshot} for key in keys]


@cache
def _payload(shard, snapshot, query):
    hits = _hits(shard, snapshot, query)
    return json.dumps({"hits": hits, "count": len(hits)}).encode()


class Members:
    """Three instances; each server has one owner."""

    epoch = 1
    members = tuple(Member(name, "1", "127.0.0.1:1", "north") for name in INSTANCES)

    def owner(self, name):
        return self.members[int(name[1:]) % len(self.members)]


class Owners:
    """Fake owners: `answer(target, sub)` returns (seconds, results) or raises `RelayError`."""

    def __init__(self, answer):
        self.answer = answer
        self.subs = []
        self.cancels = []

    async def run(self, sub, emit):
        self.subs.append(sub)
        start = trio.current_time()
        answers = [self.answer(target, sub) for target in sub.targets]
        for seconds, results in sorted(answers, key=lambda answer: answer[0]):
            await trio.sleep_until(start + seconds)
            if callable(results):
                results = results()
            if results:
                await emit(ShardResults(tuple(results)))

    async def cancel(self, message):
        self.cancels.append(message)

    async def cast(self, instance, message):
        self.cancels.append(message)

    @asynccontextmanager
    async def stream(self, instance, sub):
        send, receive = trio.open_memory_channel(math.inf)
        errors = []

        async def serve():
            async with send:
                try:
                    await self.run(sub, send.send)
                except RelayError as error:
                    errors.append(error)

        async def items():
            async for item in receive:
                yield item
            if errors:
                raise errors[0]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            yield items()
            nursery.cancel_scope.cancel()


class Claims:
    """Fake coordinator that runs everything once."""

    def __init__(self):
        self.actions = []

    async def submit(self, action):
        self.actions.append(action)
        return ActionResult("done", payload=b'{"receipt":1}')


def _ok(target, sub, **changes):
    fields = {
        "query_id": sub.query_id,
        "shard": target.shard,
        "searcher": target.searcher,
        "status": "ok",
        "snapshot": sub.snapshot,
        "payload": _payload(target.shard, sub.snapshot, sub.body),
        "in_flight": 1,
        "limit": 2,
    }
    return ShardResult(**{**fields, **changes})


def _refused(target, sub, reason, **changes):
    return _ok(target, sub, status="failed", reason=reason, payload=b"", **changes)


def _catalog():
    shards = tuple(Shard(f"h{n}", (f"s{n}/0", f"s{(n + 7) % SHARDS}/1")) for n in range(SHARDS))
    return Catalog("log", 1, (Snapshot("v2", shards), Snapshot("v1", shards)))


def _configuration(**service):
    servers = {
        f"s{n}": ServerRow(f"s{n}", "log", "north", "127.0.0.1:1 127.0.0.1:2")
        for n in range(SHARDS)
    }
    tenants = {name: TenantRow(name, max_in_flight=3000) for name in ("hog", "light")}
    services = {"log": ServiceRow("log", **{"canary": False, **service})}
    table = Table(1, services, {"north": DomainRow("north")}, servers, {}, tenants)
    return Latest(Configuration(table, {"log": _catalog()}))


def _make_entry(answer, **service):
    owners = Owners(answer)
    entry = Entry(
        _configuration(**service),
        Members(),
        owners,
        owners,
        Claims(),
        Metrics("a"),
        instance="a",
        wall=lambda: 1_000_000.0 + trio.current_time(),
        rng=random.Random(5),
    )
    return entry, owners


def _query(number=0, tenant="hog", seconds=1.0, body=BODY):
    return Query(f"r{number}", "log", tenant, body, 10, trio.current_time() + seconds)


def _run(main):
    # Without this the scheduler shuffles ready tasks with a random seed of its own.
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
    return trio.run(main, clock=MockClock(autojump_threshold=0))


def _check_answer(answer, shards=SHARDS):
    """Check coverage, snapshot, hits and count against what the shards hold."""
    missing = {shard for shard, _ in answer.coverage.missing}
    assert answer.coverage.shards == shards
    assert (
        answer.coverage.answered == shards - len(missing) == shards - len(answer.coverage.missing)
    )
    assert all(reason for _, reason in answer.coverage.missing), answer.coverage
    covered = [f"h{n}" for n in range(shards) if f"h{n}" not in missing]
    hits = [hit for shard in covered for hit in _hits(shard, answer.snapshot, BODY)]
    assert answer.count == len(hits), (answer.count, len(hits))
    best = sorted(hits, key=lambda hit: (-hit["score"], hit["key"]))[:10]
    assert answer.hits == best, answer.hits


# Faults of results.


def _faulty(chance):
    """Return owners that lose, delay, repeat, cross and mix up results."""

    def lost(target, sub):
        return 60.0, []

    def late(target, sub):
        return chance.uniform(0.08, 0.4), [_ok(target, sub)]

    def repeated(target, sub):
        return 0.01, [_ok(target, sub)] * 2

    def crossed(target, sub):
        other = target._replace(shard=f"h{chance.randrange(SHARDS)}")
        return 0.005, [_ok(other, sub, searcher=target.searcher), _ok(target, sub, query_id="x/1")]

    def mixed(target, sub):
        other = "v1" if sub.snapshot == "v2" else "v2"
        payload = _payload(target.shard, other, sub.body)
        return 0.01, [_ok(target, sub, snapshot=other, payload=payload)]

    def mixed_payload(target, sub):
        payload = json.dumps({"hits": [], "count": 5, "snapshot": "v0"}).encode()
        return 0.01, [_ok(target, sub, payload=payload)]

    def broken(target, sub):
        return 0.01, [_ok(target, sub, payload=chance.choice([b"", b"{}", b"[1", b"null"]))]

    def gone(target, sub):
        return 0.002, [_refused(target, sub, "snapshot_gone", held=("v1",))]

    def refused(target, sub):
        reason = chance.choice(["shedding", "draining", "no_owner", "connection_lost", "deadline"])
        return 0.002, [_refused(target, sub, reason)]

    def disconnected(target, sub):
        raise RelayError("peer_unavailable", "closed", ran=chance.choice(["not_run", "unknown"]))

    faults = [lost, late, repeated, crossed, mixed, mixed_payload, broken, gone, gone, refused]
    share = 0.0

    def answer(target, sub):
        if chance.random() >= share:
            return chance.uniform(0.002, 0.02), [_ok(target, sub)]
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
        entry, context.owners = _make_entry(answer, policy=policy, timeout_ms=300)
        for number in range(count):
            set_share(chance.choice([0.0, 0.05, 0.2, 0.6, 0.95]))
            try:
                context.answers.append(await entry.query(_query(number, seconds=0.3)))
            except RelayError as error:
                context.refusals.append(error)
            entry.services["log"].knowledge.lacking.clear()
            entry.services["log"].knowledge.version += 1
        replicas = entry.services["log"].replicas.values()
        context.outstanding = sum(replica.outstanding for replica in replicas)

    _run(main)


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


# Hedges and their budget.


@given("owners of which {percent:d} in 100 sub-requests straggle")
def entry_stragglers(context, percent):
    chance = random.Random(11)

    def answer(target, sub):
        slow = chance.random() * 100 < percent
        return chance.uniform(0.08, 0.2) if slow else chance.uniform(0.005, 0.01), [
            _ok(target, sub)
        ]

    context.answer = answer


@given("owners that straggle and refuse one sub-request in ten as shedding")
def entry_shedding(context):
    chance = random.Random(12)

    def answer(target, sub):
        if chance.random() < 0.1:
            return 0.002, [_refused(target, sub, "shedding")]
        slow = chance.random() < 0.1
        return 0.1 if slow else 0.005, [_ok(target, sub)]

    context.answer = answer


@when('{count:d} queries run one after the other under policy "{policy}"')
def entry_sequence(context, count, policy):
    context.answers = []

    async def main():
        entry, context.owners = _make_entry(context.answer, policy=policy, soft_deadline_ms=250)
        for number in range(count):
            context.answers.append(await entry.query(_query(number)))

    _run(main)
    kinds = Counter()
    for sub in context.owners.subs:
        kinds[sub.kind] += len(sub.targets)
    context.kinds = kinds


@then("there are hedges, and hedges and retries stay within 2% and a burst of 10")
def entry_hedge_budget(context):
    kinds = context.kinds
    extra = kinds["hedge"] + kinds["retry"]
    assert kinds["hedge"] > 0.01 * kinds["query"], kinds
    assert extra <= 0.02 * kinds["query"] + 10, kinds


@then("the losers of hedged shards are cancelled")
def entry_losers_cancelled(context):
    assert context.owners.cancels
    hedged = {
        (sub.query_id, target.shard)
        for sub in context.owners.subs
        if sub.kind == "hedge"
        for target in sub.targets
    }
    assert {(cancel.query_id, cancel.shard) for cancel in context.owners.cancels} <= hedged


@then("at most {count:d} hedges and retries are sent, all of them before the overload was seen")
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
            return 0.002, [_refused(target, sub, reason)]
        return 0.01, [_ok(target, sub)]

    context.answer = answer


@given("a shard whose replicas refuse as draining for the first {count:d} times")
def entry_refuse_first(context, count):
    left = [count]

    def answer(target, sub):
        if target.shard == "h3" and left[0]:
            left[0] -= 1
            return 0.002, [_refused(target, sub, "draining")]
        return 0.01, [_ok(target, sub)]

    context.answer = answer


@given("a shard whose replicas do not answer")
def entry_silent_shard(context):
    def answer(target, sub):
        return (60.0, []) if target.shard == "h3" else (0.01, [_ok(target, sub)])

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
            return 0.002, [_refused(target, sub, "snapshot_gone", held=("v1",))]
        return 0.01, [_ok(target, sub)]

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


@given("a request that crashes each server that runs it")
def entry_poison(context):
    context.crashed = []
    context.blocked = set()

    def answer(target, sub):
        if sub.body != BODY:
            return 0.01, [_ok(target, sub)]
        if not sub.canary:
            context.crashed.append(target.searcher)
            return 0.02, [_refused(target, sub, "connection_lost")]
        if sub.body in context.blocked:
            return 0.001, [_refused(target, sub, "request_blocked")]
        context.crashed.append(target.searcher)
        if sub.kind == "suspect":
            context.blocked.add(sub.body)
        return 0.02, [_refused(target, sub, "connection_lost")]

    context.answer = answer


@when("it is sent {count:d} times through {entries:d} instances, between other requests")
def entry_send_poison(context, count, entries):
    context.errors = []
    context.answers = []

    async def main():
        chance = random.Random(1)
        made = [_make_entry(context.answer, canary=True)[0] for _ in range(entries)]
        for number in range(count):
            entry = chance.choice(made)
            other = _query(number, body=b'{"filter":{},"limit":%d}' % (1 + number % 3))
            context.answers.append(await entry.query(other))
            try:
                await entry.query(_query(number))
            except RelayError as error:
                context.errors.append(error)

    _run(main)


@then("{count:d} servers crash and each sending is refused as request_blocked")
def entry_poison_bound(context, count):
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
        """Run in order of arrival; work that cannot start before its deadline is dropped."""
        now = trio.current_time()
        ends = searchers[target.searcher]
        ends[:] = [end for end in ends if end > now]

        def load():
            left = sum(end > trio.current_time() for end in ends)
            return {"in_flight": left, "limit": capacity}

        if len(ends) >= capacity + queue:
            return 0.001, [_refused(target, sub, "queue_full", **load())]
        start = sorted(ends)[-capacity] if len(ends) >= capacity else now
        left = sub.deadline_ms / 1000 - 1_000_000.0 - now
        if start - now >= left:
            return left, lambda: [_refused(target, sub, "deadline", **load())]
        ends.append(start + 0.02)
        queue_us = int((start - now) * 1e6)
        return start - now + 0.02, lambda: [_ok(target, sub, queue_us=queue_us, **load())]

    context.answer = answer


@when("two tenants offer {hog:g} and {light:g} of the capacity for {seconds:d} seconds")
def entry_offer(context, hog, light, seconds):
    context.done = Counter()
    context.offered = Counter()

    async def main():
        # Each replica of a shard runs `capacity` queries of 20 ms; a query uses one of the two.
        rate = 2 * context.capacity / 0.02
        entry, context.owners = _make_entry(
            context.answer, policy="tail", soft_deadline_ms=100, hedge=True
        )
        chance = random.Random(2)

        async def one(tenant, number):
            try:
                answer = await entry.query(_query(number, tenant, seconds=0.5))
                full = not answer.coverage.missing
                context.done[tenant] += full and number >= 0
            except RelayError as error:
                assert error.ran == "not_run" or "deadline" in str(error), error

        async def offer(tenant, share):
            # The limit needs some time to find the capacity; negative numbers do not count.
            for number in itertools.count(int(-2 * rate * share)):
                if number >= 0 and not context.offered[tenant]:
                    start = trio.current_time()
                if number >= 0 and trio.current_time() >= start + seconds:
                    return
                context.offered[tenant] += number >= 0
                nursery.start_soon(one, tenant, number)
                await trio.sleep(chance.expovariate(rate * share))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(offer, "hog", hog)
            nursery.start_soon(offer, "light", light)
        context.possible = rate * seconds

    _run(main)


@then("{percent:d}% of the capacity are full answers, and of the light tenant's queries {light:d}%")
def entry_goodput(context, percent, light):
    figures = context.done, context.offered, context.possible
    assert sum(context.done.values()) >= context.possible * percent / 100, figures
    assert context.done["light"] >= context.offered["light"] * light / 100, figures
