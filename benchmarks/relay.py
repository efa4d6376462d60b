"""Processor time of the relay for a query over many shards.

The store, the searchers and the client run in another process, so that the time is that of one
instance alone. Command: python -m benchmarks.relay [SHARDS ...] [--profile]
"""

import contextlib
import cProfile
import multiprocessing
import pstats
import random
import sys
import time
from multiprocessing.connection import Connection

import trio

from rattanrelay.emulator.addresses import free_ports
from rattanrelay.http import HttpConnection, Request
from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.feed import PlatformFeed
from rattanrelay.relay import Instance, Listen, RelayDaemon, RelaySettings
from tests.harness.relay_world import BOUNDS, HOST, StandInStore

__all__ = ["main"]

SEARCHERS_A_SHARD = 2
WARM_UP = 30
REQUESTS = 200
WORK_S = 0.005
#: Rows of the profile that are printed.
PROFILE_ROWS = 45
RECORDS = bytes(range(16)) * 25


class _Searcher:
    """Answers each request after a time, with as little processor time as possible."""

    def __init__(self, name: str, service: str, port: int) -> None:
        self.name = name
        self.service = service
        self.port = port

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=HOST)
        task_status.started()
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        # The relay closes the connections of requests that it cancels.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._answer(stream)

    async def _answer(self, stream: trio.SocketStream) -> None:
        marker = HEADERS.request_id.encode() + b": "
        while data := await stream.receive_some(65536):
            start = data.index(marker) + len(marker)
            request_id = data[start : data.index(b"\r", start)]
            await trio.sleep(WORK_S)
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nkeep-alive: timeout=15\r\n"
                b"%s%s\r\n%s: %s.%s\r\n%s: 1,0,2\r\n\r\n%s"
                % (
                    len(RECORDS),
                    marker,
                    request_id,
                    HEADERS.signature.encode(),
                    self.name.encode(),
                    request_id,
                    HEADERS.load.encode(),
                    RECORDS,
                )
            )


def _fill(store: StandInStore, searchers: list[_Searcher], shards: int) -> None:
    route = {
        "name": "all",
        "hostname": "test.example",
        "prefix": "/all/",
        "type": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 500,
        "attempts": 2,
        "gather": [f"h{number}" for number in range(shards)],
        "top_k": 20,
        "min_shard_ratio": 0.9,
    }
    services = [{"name": name, "max_connections": 64} for name in route["gather"]]
    store.write("op/config", {"version": 1, "routes": [route], "services": services})
    for one in searchers:
        entry = {"service": one.service, "address": f"{HOST}:{one.port}", "zone": "a"}
        entry |= {"version": "v1", "warmup_left_ms": 0, "sequence": 1}
        store.write(f"servers/{one.name}", {**entry, "concurrency": 2, "state": "ready"})


async def _outside(shards: int, pipe: Connection) -> None:
    """Run the store, the searchers and the client; tell the other process when to measure."""
    store = StandInStore()
    names = [
        (f"s{shard}-{number}", f"h{shard}")
        for shard in range(shards)
        for number in range(SEARCHERS_A_SHARD)
    ]
    ports = free_ports(len(names))
    searchers = [_Searcher(*pair, port) for pair, port in zip(names, ports, strict=True)]
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve, "e1")
        for one in searchers:
            await nursery.start(one.serve)
        _fill(store, searchers, shards)
        pipe.send(store.ports["e1"])
        host, port = await trio.to_thread.run_sync(pipe.recv)
        connection = await HttpConnection.open(host, port)
        for number in range(WARM_UP + REQUESTS):
            if number == WARM_UP:
                pipe.send("begin")
            headers = {"host": "test.example", HEADERS.request_id: f"q{number}"}
            headers[HEADERS.deadline_ms] = "1000"
            response = await connection.request(Request("GET", "/all/x", headers, b""))
            if response.status != 200:
                raise RuntimeError(f"query {number}: {response.status} {response.body[:80]!r}")
        pipe.send("end")
        nursery.cancel_scope.cancel()


async def _instance(pipe: Connection, profile: cProfile.Profile | None) -> float:
    """Run the instance; return its processor time between the two marks in seconds."""
    ports = free_ports(4)
    places = [Listen(HOST, port) for port in ports]
    settings = RelaySettings("e1", "a", *places, Listen(HOST, pipe.recv()), BOUNDS)
    feed = PlatformFeed(settings.store, Instance("e1", *settings.peers, "a"), random.Random(1))
    daemon = RelayDaemon(settings, HEADERS, feed, rng=random.Random(2))
    async with trio.open_nursery() as nursery:
        await nursery.start(daemon.run)
        while not daemon.deployment.complete:  # noqa: ASYNC110
            await trio.sleep(0.01)
        pipe.send(tuple(settings.clients))
        await trio.to_thread.run_sync(pipe.recv)
        began = time.process_time()
        if profile is not None:
            profile.enable()
        await trio.to_thread.run_sync(pipe.recv)
        if profile is not None:
            profile.disable()
        seconds = time.process_time() - began
        nursery.cancel_scope.cancel()
    return seconds


def measure(shards: int, profile: cProfile.Profile | None = None) -> float:
    """Return the processor time of a query in seconds."""
    here, there = multiprocessing.Pipe()
    outside = multiprocessing.Process(target=_run_outside, args=(shards, there), daemon=True)
    outside.start()
    seconds = trio.run(_instance, here, profile)
    outside.join()
    return seconds / REQUESTS


def _run_outside(shards: int, pipe: Connection) -> None:
    trio.run(_outside, shards, pipe)


def main(words: list[str]) -> None:
    """Print the processor time of a query and of each of its sub-requests."""
    profile = cProfile.Profile() if "--profile" in words else None
    for shards in [int(word) for word in words if word.isdigit()] or [20, 90]:
        seconds = measure(shards, profile)
        each = seconds / shards * 1e6
        print(f"{shards} shards: {seconds * 1e3:.2f} ms a query, {each:.0f} us a shard")
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_ROWS)


if __name__ == "__main__":
    main(sys.argv[1:])
