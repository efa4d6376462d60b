"""Processor time of the entry for one query by number of shards, with owners that answer at once.

Command: python -m benchmarks.fanout
"""

import random
import time
from contextlib import asynccontextmanager

import msgspec
import trio

from benchmarks.measure import fit, print_line
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
from rattanrelay.wire import FrameKind, FrameReader, ShardResult, ShardResults, encode_frame

SHARDS = (20, 40, 100, 200, 400, 850)
QUERIES = 40
INSTANCES = tuple(f"entry-{number}" for number in range(10))
HITS = [{"key": f"box-{number}", "score": number / 10} for number in range(10)]
PAYLOAD = msgspec.json.encode({"hits": HITS, "count": 10})


class View:
    """A view in which another instance owns each server."""

    epoch = 1
    instance = "caller"
    members = tuple(Member(name, "1", "127.0.0.1:1", "domain-1") for name in INSTANCES)

    def owner(self, name: str) -> Member:
        """Spread the servers evenly."""
        return self.members[int(name.partition("-")[2]) % len(self.members)]


class Owners:
    """Answers each sub-query in one message that passes through the codec."""

    cancelled = 0

    async def notify(self, instance: str, message) -> None:
        """Drop a cancellation; nothing is under way here."""
        self.cancelled += 1

    @asynccontextmanager
    async def stream(self, instance: str, query):
        """Yield the answers of one owner."""
        encode_frame(FrameKind.STREAM, 1, query)

        async def items():
            results = tuple(
                ShardResult(
                    query.query_id,
                    target.shard,
                    target.searcher,
                    "ok",
                    snapshot=query.snapshot,
                    payload=PAYLOAD,
                    held=(query.snapshot,),
                    service_us=10_000,
                    in_flight=1,
                    limit=2,
                )
                for target in query.targets
            )
            frame = encode_frame(FrameKind.ITEM, 1, ShardResults(results))
            yield FrameReader().feed(frame)[0].message

        yield items()


def _service() -> ServiceRow:
    return ServiceRow(
        "logging", canary=False, hedge=False, soft_deadline_ms=60_000, timeout_ms=60_000
    )


def configuration(shards: int) -> Configuration:
    """Return a table and a catalog with two replicas of each shard."""
    rows = {}
    placed = []
    for number in range(shards):
        names = []
        for replica in range(2):
            name = f"server-{number * 2 + replica}"
            rows[name] = ServerRow(name, "logging", f"domain-{replica}", "127.0.0.1:1")
            names.append(f"{name}/0")
        placed.append(Shard(f"shard-{number}", tuple(names)))
    table = Table(
        1,
        {"logging": _service()},
        {"domain-0": DomainRow("domain-0"), "domain-1": DomainRow("domain-1")},
        rows,
        {},
        {"crew": TenantRow("crew")},
    )
    snapshot = Snapshot("v1", tuple(placed))
    return Configuration(table, {"logging": Catalog("logging", 1, (snapshot,))})


async def measure(shards: int) -> float:
    """Return processor milliseconds for one query."""
    entry = Entry(
        Latest(configuration(shards)),
        View(),
        Owners(),
        None,
        None,
        Metrics("caller"),
        instance="caller",
        rng=random.Random(1),
    )
    body = b'{"filter":{},"limit":10}'

    async def ask(number: int) -> None:
        deadline = trio.current_time() + 60
        query = Query(f"q{number}", "logging", "crew", body, 10, deadline, "default")
        answer = await entry.query(query)
        if answer.coverage.answered != shards:
            raise AssertionError(answer.coverage)

    await ask(0)
    started = time.process_time()
    for number in range(QUERIES):
        await ask(number + 1)
    return (time.process_time() - started) / QUERIES * 1000


def main() -> None:
    """Measure each size and print the slope."""
    times = []
    for shards in SHARDS:
        times.append(trio.run(measure, shards))
        print_line(measure="entry cpu per query", shards=shards, cpu_ms=round(times[-1], 2))
    slope, fixed = fit(SHARDS, times)
    print_line(measure="entry slope", us_per_shard=round(slope * 1000, 1), fixed_ms=round(fixed, 2))


if __name__ == "__main__":
    main()
