"""Memory of the owner side by number of owned searchers.

Command: python -m benchmarks.memory
"""

import random
import tracemalloc

import eliot
import trio

from benchmarks.measure import fit, print_line
from benchmarks.state import build_table
from rattanrelay.decide.ownership import Member
from rattanrelay.metrics import Metrics
from rattanrelay.node.dispatch import Dispatcher
from rattanrelay.node.peers import Peers
from rattanrelay.node.ports import Configuration, Latest

SERVERS = (10, 50, 100, 200)


class Alone:
    """A view in which this instance owns each server but may not dispatch."""

    epoch = 1
    instance = "entry-1"
    member = Member("entry-1", "1", "127.0.0.1:1", "domain-1")
    members = (member,)

    def owner(self, name: str) -> Member:
        """Return this instance."""
        return self.member

    def may_dispatch(self, server: str) -> bool:
        """Send nothing, so that no connection is opened."""
        return False

    def lease_left(self) -> float:
        """Return no time."""
        return 0.0


async def _measure(servers: int) -> int:
    """Return the bytes that the searchers of a dispatcher hold while it serves."""
    configuration = Latest(Configuration(build_table(servers), {}))
    dispatcher = Dispatcher(
        configuration, Alone(), Peers("entry-1"), Metrics("entry-1"), rng=random.Random(1)
    )
    tracemalloc.start()
    async with trio.open_nursery() as nursery:
        await nursery.start(dispatcher.serve)
        await trio.sleep(0.5)
        held, _ = tracemalloc.get_traced_memory()
        nursery.cancel_scope.cancel()
    tracemalloc.stop()
    return held


def main() -> None:
    """Measure each size and print the slope."""
    eliot.add_destinations(lambda message: None)
    trio.run(_measure, SERVERS[0])
    searchers = [2 * servers for servers in SERVERS]
    held = []
    for servers in SERVERS:
        held.append(trio.run(_measure, servers))
        print_line(measure="owner memory", searchers=2 * servers, bytes=held[-1])
    slope, fixed = fit(searchers, held)
    print_line(measure="owner slope", bytes_per_searcher=round(slope), fixed_bytes=round(fixed))


if __name__ == "__main__":
    main()
