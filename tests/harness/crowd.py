"""One instance as a process, with stand-ins in a thread, and crowds of misbehaving clients."""

import contextlib
import os
import random
import re
import resource
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import trio

from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.settings import METRICS_PORT, SETTINGS_VARIABLE

from .processes import HANG_LIMIT_S, HarnessError, Process, Processes, free_ports, wait_until
from .relay_world import StandInSearcher, StandInStore

__all__ = ["BYTES_OF", "FILE_FDS", "FLOODS", "MAX_FDS", "MEMORY_MB", "Crowd", "LoneInstance"]

#: Limits in the test's settings. An instance without load takes about 40 MB.
MEMORY_MB = 64
MAX_FDS = 512
#: Descriptors that are for files, of those in `MAX_FDS`.
FILE_FDS = 200
#: Limits of the configuration; the usual ones, apart from the times.
MAX_HEADER = 16_384
MAX_BODY = 262_144
#: Long enough that no connection of a crowd times out during a scenario.
HEADER_TIMEOUT_MS = 120_000
IDLE_TIMEOUT_MS = 120_000

INSTANCE = "entry-1"
#: Bytes of a response of the service `large`.
LARGE_RESPONSE = 400_000
#: Seconds for which a request of the service `slow` runs.
SLOW_S = 100.0
#: Seconds without a byte taken by the instance after which a crowd has sent what it can.
STALL_S = 3.0
#: Seconds after which a caller counts as left without an answer.
CALLER_HANG_S = 30.0
#: Bytes of each write of a crowd that sends piece by piece.
PIECE = 1024

#: What each connection of a crowd sends, by the name of the misbehaviour.
FLOODS: dict[str, Callable[[], bytes]] = {}


def flood(name: str):
    """Return a decorator that registers a function returning the bytes of one connection."""

    def register(function: Callable[[], bytes]) -> Callable[[], bytes]:
        FLOODS[name] = function
        return function

    return register


def _head(method: str, path: str, *lines: str) -> bytes:
    named = ("Host: test.example", f"{HEADERS.deadline_ms}: 100000", *lines)
    return "\r\n".join([f"{method} {path} HTTP/1.1", *named, "", ""]).encode()


@flood("a body that stops one byte short")
@flood("a body that stops one byte short, piece by piece")
def short_body() -> bytes:
    """Return a request with all but the last byte of the largest body."""
    return _head("POST", "/box/1", f"Content-Length: {MAX_BODY}") + b"x" * (MAX_BODY - 1)


@flood("one large chunk that stops short")
def short_chunk() -> bytes:
    """Return a request with all but the last byte of one chunk of the largest body."""
    size = f"{MAX_BODY:x}\r\n".encode()
    return _head("POST", "/box/1", "Transfer-Encoding: chunked") + size + b"x" * (MAX_BODY - 1)


@flood("40,000 chunks of one byte and no end")
def small_chunks() -> bytes:
    """Return a request with many small chunks."""
    return _head("POST", "/box/1", "Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 40_000


@flood("chunks of one byte with extensions of 15,000 bytes and no end")
def extensions() -> bytes:
    """Return a request whose chunks consist of extensions for the most part."""
    chunk = b"1;" + b"e" * 15_000 + b"\r\nx\r\n"
    return _head("POST", "/box/1", "Transfer-Encoding: chunked") + chunk * 40


@flood("headers just under the limit and a body that stops one byte short")
def many_headers() -> bytes:
    """Return a request with as many short headers as the limit allows, and a short body."""
    lines = [f"h{number}: 1" for number in range(1_650)]
    head = _head("POST", "/box/1", f"Content-Length: {MAX_BODY // 2}", *lines)
    assert 0.9 * MAX_HEADER < len(head) < MAX_HEADER, len(head)
    return head + b"x" * (MAX_BODY // 2 - 1)


@flood("headers just under the limit and no end")
def endless_headers() -> bytes:
    """Return headers that stop just under the limit."""
    lines = [f"h{number}: 1" for number in range(1_650)]
    return _head("POST", "/box/1", *lines)[:-2]


@flood("pipelined requests behind a slow one")
def pipelined() -> bytes:
    """Return a request that takes long, and many others."""
    other = _head("POST", "/box/1", "Content-Length: 4096") + b"x" * 4096
    return _head("GET", "/slow/1") + other * 120


@flood("Expect: 100-continue and silence")
def expecting() -> bytes:
    """Return the headers of a request whose body waits for an interim response."""
    return _head("POST", "/box/1", f"Content-Length: {MAX_BODY}", "Expect: 100-continue")


@flood("requests whose responses nobody reads")
def unread() -> bytes:
    """Return requests with large responses."""
    return _head("GET", "/large/1") * 4


@flood("no byte")
def nothing() -> bytes:
    """Return nothing."""
    return b""


@flood("bytes that are no frame")
def no_frame() -> bytes:
    """Return bytes with an unknown kind of frame."""
    return b"\xff" * MAX_BODY


@flood("a frame header with a length of 4 GB")
def huge_frame() -> bytes:
    """Return the header of a frame that is longer than any, and some of its bytes."""
    return b"\xff\xff\xff\xff" + bytes(10) + b"x" * MAX_BODY


@flood("a frame of 8 MB that stops short")
def long_frame() -> bytes:
    """Return the header of the longest frame and a part of its bytes."""
    return (8 * 1024 * 1024).to_bytes(4, "big") + bytes([0, 1]) + bytes(8) + b"x" * 1_000_000


#: Bytes of a single write, by the name of the misbehaviour; others send as much as is taken.
BYTES_OF = {"a body that stops one byte short, piece by piece": PIECE}


class _StandIns:
    """The store and three searchers in a thread with an event loop of its own."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.searchers = [
            StandInSearcher("s-box", "box", "a"),
            StandInSearcher("s-slow", "slow", "a", work=SLOW_S),
            StandInSearcher("s-large", "large", "a", records=b"r" * LARGE_RESPONSE),
        ]
        self.started = threading.Event()
        self.scope: trio.CancelScope | None = None
        self.token: trio.lowlevel.TrioToken | None = None
        self.thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)

    def start(self) -> None:
        self.thread.start()
        if not self.started.wait(HANG_LIMIT_S):
            raise HarnessError("the stand-ins did not start")

    def stop(self) -> None:
        with contextlib.suppress(trio.RunFinishedError):
            self.token.run_sync_soon(self.scope.cancel)
        self.thread.join(HANG_LIMIT_S)

    async def _run(self) -> None:
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            for searcher in self.searchers:
                await nursery.start(searcher.run)
                self.store.write(f"servers/{searcher.name}", searcher.entry())
            self.store.write("op/config", _configuration([one.service for one in self.searchers]))
            await nursery.start(self.store.serve, INSTANCE)
            self.started.set()


def _configuration(services: list[str]) -> dict:
    routes = [
        {
            "name": name,
            "hostname": "test.example",
            "prefix": f"/{name}/",
            "service": name,
            "type": "idempotent",
            "timeout_ms": 100_000,
            "target_latency_ms": 50_000,
            "priority": 1,
            "attempts": 1,
        }
        for name in services
    ]
    rows = [{"name": name, "max_connections": 400, "warmup_per_s": 0.0} for name in services]
    limits = {
        "max_header_bytes": MAX_HEADER,
        "max_body_bytes": MAX_BODY,
        "header_timeout_ms": HEADER_TIMEOUT_MS,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
    }
    return {"version": 5, "routes": routes, "services": rows, "limits": limits}


class LoneInstance:
    """Context manager of an instance with its stand-ins; `addresses` names its listeners."""

    def __init__(self) -> None:
        self.processes = Processes()
        self.standins = _StandIns()
        # The port for metrics is fixed, so that each instance has an IP address of its own.
        rng = random.Random(os.urandom(8))
        self.host = f"127.{rng.randrange(60, 90)}.{rng.randrange(1, 250)}.{rng.randrange(2, 250)}"
        front, ready, peers = free_ports(3, self.host)
        self.addresses = {
            "clients": (self.host, front),
            "readiness": (self.host, ready),
            "metrics": (self.host, METRICS_PORT),
            "other instances": (self.host, peers),
        }
        self.process: Process | None = None
        #: Largest sum of resident memory and bytes that were received and not read.
        self.peak_bytes = 0
        #: What the kernel held unread when the sum was largest.
        self.peak_unread = 0
        #: Largest number of open sockets.
        self.peak_sockets = 0

    def __enter__(self) -> "LoneInstance":
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exception) -> None:
        self.processes.close()
        if self.standins.token is not None:
            self.standins.stop()

    def _start(self) -> None:
        self.standins.start()
        names = {name: f"{host}:{port}" for name, (host, port) in self.addresses.items()}
        text = f"""
node_name = "{INSTANCE}"
zone = "a"
internal_ports = [{self.addresses["other instances"][1]}]
bootstrap = true
[listen_addrs]
front = "{names["clients"]}"
ready = "{names["readiness"]}"
[platform]
address = "127.0.0.1:{self.standins.store.ports[INSTANCE]}"
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""
        path = self.processes.write("node.toml", text.encode())
        os.environ[SETTINGS_VARIABLE] = str(path)
        try:
            self.process = self.processes.start(INSTANCE, "-m", "rattanrelay.platform")
        finally:
            del os.environ[SETTINGS_VARIABLE]
        resource.prlimit(self.process.child.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.process.wait_ready(lambda: self.ask("readiness", "/ready") == 200)
        for service in ("box", "large"):
            wait_until(lambda path=f"/{service}/1": self.ask("clients", path) == 200, service)
        self.measure()

    def ask(self, listener: str, path: str, body: bytes = b"") -> int:
        """Return the status of one request on a connection of its own; raises `OSError`."""
        with socket.create_connection(self.addresses[listener], CALLER_HANG_S) as caller:
            caller.settimeout(CALLER_HANG_S)
            named = f"{HEADERS.request_id}: {os.urandom(6).hex()}"
            lines = (named, "Connection: close", *([f"Content-Length: {len(body)}"] * bool(body)))
            caller.sendall(_head("POST" if body else "GET", path, *lines) + body)
            received = b""
            while data := caller.recv(65536):
                received += data
        match = re.match(rb"HTTP/1\.1 (\d{3}) ", received)
        if match is None:
            raise ConnectionError(f"no response but {received[:80]!r}")
        return int(match[1])

    def ask_outcome(self, listener: str, path: str, body: bytes = b"") -> str:
        """Return the status of one request as text, or the error that ended it."""
        try:
            return str(self.ask(listener, path, body))
        except OSError as error:
            return repr(error)

    def measure(self) -> None:
        """Record memory and open sockets."""
        if not self.process.running:
            return
        root = Path(f"/proc/{self.process.child.pid}")
        status = (root / "status").read_text()
        resident = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024
        unread = self._unread()
        if resident + unread > self.peak_bytes:
            self.peak_bytes = resident + unread
            self.peak_unread = unread
        sockets = 0
        for entry in (root / "fd").iterdir():
            with contextlib.suppress(OSError):
                sockets += os.readlink(entry).startswith("socket:")
        self.peak_sockets = max(self.peak_sockets, sockets)

    def _unread(self) -> int:
        """Return the number of bytes that the kernel holds for the instance to read."""
        # The kernel writes an IPv4 address as a number in the byte order of the machine.
        own = f"{int.from_bytes(socket.inet_aton(self.host), 'little'):08X}:"
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            # In state LISTEN the column holds the number of connections to accept.
            if local.startswith(own) and state != "0A":
                total += int(queues.partition(":")[2], 16)
        return total


class Crowd:
    """Connections that send the same bytes, stay open and read nothing."""

    def __init__(self, instance: LoneInstance, listener: str, size: int) -> None:
        self.instance = instance
        self.address = instance.addresses[listener]
        self.size = size
        self.connections: list[socket.socket] = []

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()

    def send(self, data: bytes, piece: int = 0) -> None:
        """Connect and send `data` on each connection as far as the instance takes it.

        Writes of `piece` bytes alternate between the connections, if it is not 0.
        """
        sent: dict[int, int] = {}
        by_number: dict[int, socket.socket] = {}
        poller = select.poll()
        for connection in self._connect():
            number = connection.fileno()
            by_number[number] = connection
            sent[number] = 0
            poller.register(number, select.POLLOUT)
        # Counted from here: connecting takes seconds if the queue of the listener is full.
        progress = time.monotonic()
        while by_number and time.monotonic() < progress + STALL_S:
            self.instance.measure()
            for number, _ in poller.poll(100):
                done = _send_some(by_number[number], data, sent[number], piece)
                if done is None or done == len(data):
                    poller.unregister(number)
                    del by_number[number]
                if done is None or done > sent[number]:
                    progress = time.monotonic()
                    sent[number] = done or 0
        end = time.monotonic() + STALL_S
        while time.monotonic() < end:
            self.instance.measure()
            time.sleep(0.05)

    def _connect(self) -> Iterator[socket.socket]:
        for _ in range(self.size):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.settimeout(STALL_S)
            self.connections.append(connection)
            # A listener whose queue is full takes no more connections.
            try:
                connection.connect(self.address)
            except OSError:
                continue
            connection.setblocking(False)
            yield connection


def _send_some(connection: socket.socket, data: bytes, start: int, piece: int) -> int | None:
    """Return how many bytes have been sent in all, or None if the connection has ended."""
    try:
        return start + connection.send(memoryview(data)[start : start + (piece or len(data))])
    except BlockingIOError:
        return start
    except OSError:
        return None
