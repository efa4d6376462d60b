"""Clients of a soak run that misbehave: bodies that stop short or nobody waits for."""

import random
import re
import socket
from collections.abc import Callable
from pathlib import Path

import trio

from rattanrelay.platform.documents import HEADERS

from .world import MEMORY_MB, SoakInstance, SoakWorld

__all__ = ["Crowds"]

#: Mean pause in seconds between two crowds, and how long their connections stay.
PAUSE_S = 1.5
STAY_S = (0.2, 3.0)
SIZES = (20, 120)
BODY = 200_000
DEADLINE_MS = 1500
#: Address from which crowds come; other clients come from another one.
ADDRESS = "127.0.0.77"
#: Bytes of one connection, from the head of a request and its path.
SHAPES: list[Callable[["Crowds"], bytes]] = []


def shape(function: Callable[["Crowds"], bytes]) -> Callable[["Crowds"], bytes]:
    """Register what a connection sends."""
    SHAPES.append(function)
    return function


class Crowds:
    """Opens crowds of connections to instances, from a seed of its own."""

    def __init__(self, seed: int, world: SoakWorld, log: list[str]) -> None:
        self.rng = random.Random(f"crowds {seed}")
        self.world = world
        #: Ids of all requests that crowds have sent or begun to send.
        self.ids: set[str] = set()
        self.log = log
        #: Instances that held more memory than they may, with the bytes.
        self.exceeded: dict[str, int] = {}

    async def run(self, until: float) -> None:
        """Send crowds one after the other, each beside the next, until a time."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self.rng.expovariate(1.0 / PAUSE_S))
                instance = self.rng.choice(self.world.instances)
                make = self.rng.choice(SHAPES)
                size = self.rng.randint(*SIZES)
                stay = self.rng.uniform(*STAY_S)
                self.log.append(
                    f"{trio.current_time():.2f} {size} {make.__name__} to {instance.name}"
                )
                nursery.start_soon(self._crowd, instance, [make(self) for _ in range(size)], stay)

    def head(self, method: str, path: str, *lines: str) -> bytes:
        """Return the head of a request with an id of its own."""
        request_id = f"crowd-{len(self.ids)}"
        self.ids.add(request_id)
        named = [f"{HEADERS.request_id}: {request_id}", f"{HEADERS.deadline_ms}: {DEADLINE_MS}"]
        return "\r\n".join(
            [f"{method} {path} HTTP/1.1", "Host: test.example", *named, *lines, "", ""]
        ).encode()

    async def _crowd(self, instance: SoakInstance, sent: list[bytes], stay: float) -> None:
        before, instance.disturbed_until = instance.disturbed_until, float("inf")
        with trio.move_on_after(stay):
            async with trio.open_nursery() as nursery:
                for data in sent:
                    nursery.start_soon(self._connection, instance, data)
                await trio.sleep_forever()
        self._measure(instance)
        # Another fault may go on.
        instance.disturbed_until = max(before, trio.current_time())

    async def _connection(self, instance: SoakInstance, data: bytes) -> None:
        with socket.socket() as plain:
            plain.setblocking(False)
            plain.bind((ADDRESS, 0))
            connection = trio.socket.from_stdlib_socket(plain)
            try:
                await connection.connect((instance.host, instance.front))
                stream = trio.SocketStream(connection)
                await stream.send_all(data)
                await trio.sleep_forever()
            except (OSError, trio.BrokenResourceError):
                return

    def _measure(self, instance: SoakInstance) -> None:
        try:
            status = Path(f"/proc/{instance.process.child.pid}/status").read_text()
        except OSError:
            return
        peak = re.search(r"VmHWM:\s+(\d+) kB", status)
        if peak is not None and int(peak[1]) > MEMORY_MB * 1024:
            self.exceeded[instance.name] = int(peak[1]) * 1024


@shape
def short_body(crowds: Crowds) -> bytes:
    """Return a request that lacks the last byte of its body."""
    return crowds.head("POST", "/all/x", f"Content-Length: {BODY}") + b"x" * (BODY - 1)


@shape
def short_chunk(crowds: Crowds) -> bytes:
    """Return a request that lacks the last byte of its chunk."""
    head = crowds.head("POST", "/one/x", "Transfer-Encoding: chunked")
    return head + f"{BODY:x}\r\n".encode() + b"x" * (BODY - 1)


@shape
def small_chunks(crowds: Crowds) -> bytes:
    """Return a request with many small chunks and no end."""
    return crowds.head("POST", "/one/x", "Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 5000


@shape
def complete_gathered(crowds: Crowds) -> bytes:
    """Return complete requests to all shards, whose responses nobody reads."""
    parts = [crowds.head("POST", "/all/x", f"Content-Length: {BODY}") for _ in range(3)]
    return b"".join(head + b"x" * BODY for head in parts)


@shape
def complete_once(crowds: Crowds) -> bytes:
    """Return a complete request that must not run twice, whose client may leave before it ends."""
    return crowds.head("POST", "/once/x", f"Content-Length: {BODY}") + b"x" * BODY


@shape
def unread(crowds: Crowds) -> bytes:
    """Return small requests whose responses nobody reads."""
    return b"".join(crowds.head("GET", "/one/x") for _ in range(5))


@shape
def endless_head(crowds: Crowds) -> bytes:
    """Return a head without an end."""
    return crowds.head("GET", "/one/x", *(f"h{number}: 1" for number in range(500)))[:-2]
