"""Fake owners, members and claims for an entry, on a mock clock."""

import json
import math
import random
from contextlib import asynccontextmanager
from functools import cache

import trio
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
    InstanceRow,
    ServerRow,
    ServiceRow,
    Shard,
    Snapshot,
    Table,
    TenantRow,
)
from rattanrelay.wire import ActionResult, ShardResult, ShardResults

__all__ = [
    "BODY",
    "SHARDS",
    "Members",
    "fake_hits",
    "fake_payload",
    "make_entry",
    "make_query",
    "ok_result",
    "refused_result",
    "run_entry",
    "take_out",
]

SHARDS = 20
INSTANCES = ("a", "b", "c")
DOMAINS = ("north", "south", "east")
BODY = b'{"filter":{"core":1},"limit":10}'


@cache
def fake_hits(shard, snapshot, query):
    chance = random.Random(f"{shard}/{snapshot}/{query}")
    keys = [f"{shard}:{number}" for number in range(chance.randint(0, 12))]
    return [{"key": key, "score": chance.randint(0, 9) / 10, "from": snapshot} for key in keys]


@cache
def fake_payload(shard, snapshot, query):
    hits = fake_hits(shard, snapshot, query)
    return json.dumps({"hits": hits, "count": len(hits)}).encode()


class Members:
    """Three instances; each server has one owner."""

    epoch = 1
    members = tuple(Member(name, "1", "127.0.0.1:1", "north") for name in INSTANCES)
    instance = "a"

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

    async def notify(self, instance, message):
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
    """Fake coordinator that answers every action as done."""

    def __init__(self):
        self.actions = []

    async def submit(self, action):
        self.actions.append(action)
        return ActionResult("done", payload=b'{"receipt":1}')


def ok_result(target, sub, **changes):
    fields = {
        "query_id": sub.query_id,
        "shard": target.shard,
        "searcher": target.searcher,
        "status": "ok",
        "snapshot": sub.snapshot,
        "payload": fake_payload(target.shard, sub.snapshot, sub.body),
        "in_flight": 1,
        "limit": 2,
    }
    return ShardResult(**{**fields, **changes})


def refused_result(target, sub, reason, **changes):
    return ok_result(target, sub, status="failed", reason=reason, payload=b"", **changes)


def _catalog():
    shards = tuple(Shard(f"h{n}", (f"s{n}/0", f"s{(n + 7) % SHARDS}/1")) for n in range(SHARDS))
    return Catalog("log", 1, (Snapshot("v2", shards), Snapshot("v1", shards)))


def _configuration(**service):
    servers = {
        f"s{n}": ServerRow(f"s{n}", "log", DOMAINS[n % 3], "127.0.0.1:1 127.0.0.1:2")
        for n in range(SHARDS)
    }
    tenants = {name: TenantRow(name, max_in_flight=3000) for name in ("hog", "light")}
    services = {"log": ServiceRow("log", **{"canary": False, **service})}
    domains = {name: DomainRow(name) for name in DOMAINS}
    instances = {name: InstanceRow(name, "north") for name in INSTANCES}
    table = Table(1, services, domains, servers, instances, tenants)
    return Latest(Configuration(table, {"log": _catalog()}))


def make_entry(answer, **service):
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


def make_query(number=0, tenant="hog", seconds=1.0, body=BODY):
    return Query(f"r{number}", "log", tenant, body, 10, trio.current_time() + seconds)


def take_out(entry, kind, name):
    """Set the state of a row to `out`."""
    table = entry.configuration.value.table
    rows = getattr(table, kind)
    changed = table._replace(**{kind: {**rows, name: rows[name]._replace(state="out")}})
    entry.configuration.set(entry.configuration.value._replace(table=changed))


def run_entry(main):
    # By default the scheduler shuffles ready tasks with a random seed.
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
    return trio.run(main, clock=MockClock(autojump_threshold=0))
