"""Processor time of an owner for one sub-query by number of sub-requests, and of its status polls.

The dispatcher runs in this process, the searchers in another one. Command:
python -m benchmarks.owner [--profile FILE]
"""

import cProfile
import random
import sys
import time

import trio

from benchmarks.measure import fit, print_line
from rattanrelay.emulator.config import EmulatorConfig, ServerConfig
from rattanrelay.metrics import Metrics
from rattanrelay.node.dispatch import Dispatcher
from rattanrelay.node.peers import Peers
from rattanrelay.node.ports import Configuration, Latest, Member
from rattanrelay.table import DomainRow, ServerRow, ServiceRow, Table
from rattanrelay.wire import SubQuery, Target
from tests.harness import Fleet

SEARCHERS = 40
SLOTS = 4
CONNECTIONS = 40
SIZES = (1, 5, 10, 20, 40)
QUERIES = 60
WARM_UP_QUERIES = 40
IDLE_S = 5.0
SERVICE = "logging"
SNAPSHOT = "logging-1"
SHARD = "logging-s01"


class Members:
    """A view with a single instance, whose lease does not end."""

    instance = "owner"
    epoch = 1
    me = Member("owner", "1", "127.0.0.1:1", "domain")
    members = (me,)

    def owner(self, name: str) -> Member:
        """Return this instance."""
        return self.me

    def may_dispatch(self, server: str) -> bool:
        """Allow all servers."""
        return True

    def lease_left(self) -> float:
        """Return a lease that is long enough."""
        return 2.0


class Searchers(Fleet):
    """Emulated searchers in one process, without entries and platform."""

    def __init__(self) -> None:
        super().__init__("norte", entries=1, services=(SERVICE,))
        servers = [
            ServerConfig(
                name=f"server-{number}",
                service=SERVICE,
                failure_domain="domain",
                ports=[0],
                slots=SLOTS,
                connections=CONNECTIONS,
                connect_ms=0.0,
                service_ms=0.0,
                holdings={"0": {SNAPSHOT: [SHARD]}},
            )
            for number in range(SEARCHERS)
        ]
        self.config = EmulatorConfig(servers=servers)

    def __enter__(self) -> "Searchers":
        control = self._start_emulator("searchers", self.config)
        self.searcher_addresses = control.get("hosts")["searchers"]
        return self


def configuration(addresses: dict[str, str]) -> Configuration:
    """Return a table with a server for each searcher."""
    rows = {}
    for name, address in addresses.items():
        server = name.partition("/")[0]
        rows[server] = ServerRow(
            server,
            SERVICE,
            "domain",
            address,
            slots=SLOTS,
            connections=CONNECTIONS,
            connect_ms=0,
            cold_slots=SLOTS,
        )
    slots = SLOTS * len(rows)
    service = ServiceRow(SERVICE, canary=False, max_in_flight=slots, warm_latency_ms=100)
    return Configuration(
        Table(1, {SERVICE: service}, {"domain": DomainRow("domain", slots)}, rows, {}, {})
    )


async def ask(dispatcher: Dispatcher, number: int, size: int) -> None:
    """Run one sub-query with `size` targets; raises AssertionError unless all answer."""
    names = list(dispatcher.searchers)
    deadline_ms = int((time.time() + 10) * 1000)
    targets = tuple(Target(SHARD, names[index]) for index in range(size))
    query = SubQuery(
        f"q{number}",
        SERVICE,
        SNAPSHOT,
        "crew",
        b'{"filter":{"term":"t1"},"limit":10}',
        deadline_ms,
        1,
        targets,
    )
    results = []

    async def emit(item) -> None:
        results.extend(item.results)

    await dispatcher.run(query, emit)
    failed = [one.reason for one in results if one.status != "ok"]
    if failed or len(results) != size:
        raise AssertionError(failed)


async def measure(dispatcher: Dispatcher, size: int) -> float:
    """Return processor milliseconds for one sub-query."""
    started = time.process_time()
    for number in range(QUERIES):
        await ask(dispatcher, number, size)
    return (time.process_time() - started) / QUERIES * 1000


async def run(addresses: dict[str, str], profile: cProfile.Profile | None) -> None:
    """Run all measurements."""
    latest = Latest(configuration(addresses))
    dispatcher = Dispatcher(
        latest, Members(), Peers("owner"), Metrics("owner"), rng=random.Random(1)
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(dispatcher.serve)
        for number in range(WARM_UP_QUERIES):
            await ask(dispatcher, number, SEARCHERS)
        if profile is not None:
            profile.enable()
        times = []
        for size in SIZES:
            times.append(await measure(dispatcher, size))
            print_line(measure="owner cpu per sub-query", targets=size, cpu_ms=round(times[-1], 3))
        if profile is not None:
            profile.disable()
        slope, fixed = fit(SIZES, times)
        print_line(
            measure="owner slope",
            us_per_subrequest=round(slope * 1000),
            fixed_us=round(fixed * 1000),
        )
        started = time.process_time()
        await trio.sleep(IDLE_S)
        spent = (time.process_time() - started) / IDLE_S
        print_line(
            measure="owner at rest",
            searchers=SEARCHERS,
            us_per_searcher_second=round(spent / SEARCHERS * 1e6),
        )
        nursery.cancel_scope.cancel()


def main() -> None:
    """Start the searchers and measure."""
    profile = cProfile.Profile() if sys.argv[1:2] == ["--profile"] else None
    with Searchers() as searchers:
        trio.run(run, searchers.searcher_addresses, profile)
    if profile is not None:
        profile.dump_stats(sys.argv[2])


if __name__ == "__main__":
    main()
