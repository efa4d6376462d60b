"""Control cost of one cell by its size: heartbeats, bytes, processor time, time to spread an edit.

All members run in one process against an emulated store; processor time is that of the process,
divided by the members. Command: python -m benchmarks.cell
"""

import sys
import time

import eliot
import trio

from benchmarks.measure import fit, print_line
from benchmarks.state import build_table
from rattanrelay.emulator.config import EmulatorConfig, StoreConfig
from rattanrelay.emulator.run import run_emulator
from rattanrelay.node.documents import Documents
from rattanrelay.node.members import Members
from rattanrelay.node.peers import Peers
from rattanrelay.store import StoreClient
from rattanrelay.table import decode_table, encode_document
from rattanrelay.wire import Handlers, serve_peers

SIZES = (3, 6, 9, 12, 15)
SETTLE_S = 4.0
MEASURE_S = 8.0
EDITS = 20
#: TCP/IP headers of a segment without options but timestamps, and its acknowledgement.
SEGMENT_BYTES = 52
SERVERS = 100
#: As long as that of a daemon.
INCARNATION = "0123456789ab"


class Node:
    """The control tasks of one instance."""

    def __init__(self, number: int, store: StoreClient, address: str) -> None:
        name = f"entry-{number:02d}"
        self.store = store
        self.peers = Peers(name)
        self.members = Members(
            name,
            INCARNATION,
            address,
            f"domain-{number % 3}",
            "main",
            store,
            self.peers,
            digest=lambda: self.documents.digest(),
            on_digest=lambda instance, entries: self.documents.record_digest(instance, entries),
        )
        self.documents = Documents(store, self.peers, self.members)
        self.handlers = Handlers()
        self.members.register(self.handlers)
        self.documents.register(self.handlers)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, self.handlers, listeners)
            for task in (self.peers, self.documents, self.members):
                await nursery.start(task.serve)


async def _measure(size: int) -> tuple[float, float]:
    config = EmulatorConfig(store=StoreConfig())
    async with trio.open_nursery() as nursery:
        emulator = await nursery.start(run_emulator, config)
        host, _, port = emulator.addresses()["store"].rpartition(":")
        await StoreClient(host, int(port)).put("table", encode_document(build_table(SERVERS)), 0)
        nodes = []
        for number in range(size):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            node = Node(number, StoreClient(host, int(port)), address)
            nursery.start_soon(node.run, listeners)
            nodes.append(node)
        while not all(len(node.members.members) == size for node in nodes):  # noqa: ASYNC110
            await trio.sleep(0.1)
        await trio.sleep(SETTLE_S)
        result = await _idle(nodes)
        await _spread(nodes)
        nursery.cancel_scope.cancel()
    return result


async def _idle(nodes: list[Node]) -> tuple[float, float]:
    size = len(nodes)
    before = [sum_traffic(node) for node in nodes]
    calls = sum(sum(node.store.calls.values()) for node in nodes)
    cpu = time.process_time()
    await trio.sleep(MEASURE_S)
    cpu = (time.process_time() - cpu) / MEASURE_S / size
    messages = (sum(sum_traffic(node)[0] for node in nodes) - sum(one[0] for one in before)) / size
    sent = (sum(sum_traffic(node)[1] for node in nodes) - sum(one[1] for one in before)) / size
    calls = sum(sum(node.store.calls.values()) for node in nodes) - calls
    payload = sent / MEASURE_S
    wire = payload + messages / MEASURE_S * SEGMENT_BYTES
    print_line(
        measure="cell at rest",
        members=size,
        cpu_percent=round(cpu * 100, 2),
        messages_per_s=round(messages / MEASURE_S, 1),
        payload_bytes_per_s=round(payload),
        with_headers_bytes_per_s=round(wire),
        store_calls_per_s=round(calls / MEASURE_S, 2),
    )
    return cpu * 100, wire


def sum_traffic(node: Node) -> tuple[int, int]:
    """Return messages and bytes of heartbeats and acknowledgements, both directions."""
    traffic = node.members.traffic
    messages = traffic["in_messages"] + traffic["out_messages"]
    return messages, traffic["in_bytes"] + traffic["out_bytes"]


async def _spread(nodes: list[Node]) -> None:
    """Time edits from the call until they are in force on each member."""
    times = []
    for _ in range(EDITS):
        started = trio.current_time()
        document = await nodes[0].documents.edit("table", _bump)
        for node in nodes:
            while _revision(node) < document.revision:  # noqa: ASYNC110
                await trio.sleep(0.002)
        times.append(trio.current_time() - started)
    times.sort()
    print_line(
        measure="edit in force on all",
        members=len(nodes),
        p50_ms=round(times[len(times) // 2] * 1000, 1),
        max_ms=round(times[-1] * 1000, 1),
    )


def _bump(value: bytes | None) -> bytes:
    table = decode_table(value)
    return encode_document(table._replace(revision=table.revision + 1))


def _revision(node: Node) -> int:
    table = node.documents.configuration.value.table
    return table.revision if table else 0


def main(sizes: tuple[int, ...]) -> None:
    """Measure each size and print the slopes."""
    eliot.add_destinations(lambda message: None)
    results = [trio.run(_measure, size) for size in sizes]
    cpu = fit(sizes, [result[0] for result in results])
    wire = fit(sizes, [result[1] for result in results])
    print_line(
        measure="cell slopes",
        cpu_percent_per_member=round(cpu[0], 3),
        cpu_percent_fixed=round(cpu[1], 3),
        bytes_per_s_per_member=round(wire[0]),
        bytes_per_s_fixed=round(wire[1]),
    )


if __name__ == "__main__":
    main(tuple(int(word) for word in sys.argv[1:]) or SIZES)
