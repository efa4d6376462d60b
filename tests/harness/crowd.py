"""Instances as processes, with stand-ins in a thread, and crowds of misbehaving clients."""

import contextlib
import os
import random
import re
import resource
import select
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import trio

from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.settings import METRICS_PORT, SETTINGS_VARIABLE

from .fleet import Entry, Fleet
from .floods import MAX_BODY, MAX_HEADER, QUERY_PATH, request_head
from .processes import HANG_LIMIT_S, HarnessError, Process, Processes, free_ports, wait_until
from .relay_world import StandInSearcher, StandInStore

__all__ = ["Crowd", "Host", "OwnerHost", "SmallInstance"]

MB = 1024 * 1024

#: Limits in the test's settings. An instance without load takes about 40 MB.
MEMORY_MB = 64
#: The same of `rattanrelay serve`, which takes about 50 MB without load.
OWNER_MEMORY_MB = 96
MAX_FDS = 512
#: Descriptors that are for files, of those in `MAX_FDS`.
FILE_FDS = 200
#: Long enough that no connection of a crowd times out during a scenario.
HEADER_TIMEOUT_MS = 120_000
IDLE_TIMEOUT_MS = 120_000

#: Bytes of a response of the service `large`.
LARGE_RESPONSE = 400_000
#: Seconds for which a request of the service `slow` runs.
SLOW_S = 100.0
#: Shards of the gathered routes; all their searchers are in domain `b`.
SHARDS = 24
#: Bytes that a searcher that reads slowly takes per second.
SLOW_READ_RATE = 2000
#: Seconds without a byte taken by the instance after which a crowd has sent what it can.
STALL_S = 3.0
#: Seconds for which the clients of a crowd that returns stay after they have sent what they can.
STAY_S = 0.5
#: Seconds after which a caller counts as left without an answer.
CALLER_HANG_S = 30.0


class StandIns:
    """The store and the searchers in a thread with an event loop of its own."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.searchers = [
            StandInSearcher("s-box", "box", "a"),
            StandInSearcher("s-slow", "slow", "a", work=SLOW_S),
            StandInSearcher("s-large", "large", "a", records=b"r" * LARGE_RESPONSE),
            StandInSearcher("s-reads-slowly", "reads-slowly", "a"),
        ]
        for number in range(SHARDS):
            for service in ("all", "all-slow"):
                shard = f"{service}-{number:02}"
                searcher = StandInSearcher(f"s-{shard}", shard, "b", records=b"r" * 64)
                self.searchers.append(searcher)
        for searcher in self.searchers:
            if searcher.service.startswith(("all-slow", "reads-slowly")):
                searcher.read_rate = SLOW_READ_RATE
        self.started = threading.Event()
        self.scope: trio.CancelScope | None = None
        self.token: trio.lowlevel.TrioToken | None = None
        self.thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)

    def start(self, *instances: str) -> None:
        """Serve until `stop`, with a listener of the store for each instance."""
        self.instances = instances
        self.thread.start()
        if not self.started.wait(HANG_LIMIT_S):
            raise HarnessError("the stand-ins did not start")

    def stop(self) -> None:
        """End the thread."""
        if self.token is None:
            return
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
            for instance in self.instances:
                await nursery.start(self.store.serve, instance)
            self.started.set()


def _configuration(services: list[str]) -> dict:
    usual = {
        "hostname": "test.example",
        "type": "idempotent",
        "timeout_ms": 100_000,
        "target_latency_ms": 50_000,
        "priority": 1,
        "attempts": 1,
    }
    routes = [
        {**usual, "name": name, "prefix": f"/{name}/", "service": name}
        for name in services
        if not name.startswith("all-")
    ]
    once = {"name": "once", "prefix": "/once/", "service": "reads-slowly"}
    routes.append({**usual, **once, "type": "non_idempotent"})
    for name in ("all", "all-slow"):
        shards = [f"{name}-{number:02}" for number in range(SHARDS)]
        gather = {"gather": shards, "top_k": 10, "min_shard_ratio": 0.75}
        routes.append({**usual, "name": name, "prefix": f"/{name}/", **gather})
    rows = [{"name": name, "max_connections": 400, "warmup_per_s": 0.0} for name in services]
    limits = {
        "max_header_bytes": MAX_HEADER,
        "max_body_bytes": MAX_BODY,
        "header_timeout_ms": HEADER_TIMEOUT_MS,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
    }
    return {"version": 5, "routes": routes, "services": rows, "limits": limits}


class MeasuredProcess:
    """A process with limits; `addresses` names its listeners."""

    #: Its limit of memory, in bytes.
    memory = MEMORY_MB * MB
    process: Process

    def __init__(self, addresses: dict[str, tuple[str, int]]) -> None:
        self.addresses = addresses
        #: Largest sum of resident memory and bytes that the kernel holds for its connections.
        self.peak_bytes = 0
        #: What the kernel held unread and unsent when the sum was largest.
        self.peak_unread = 0
        self.peak_unsent = 0
        #: Largest number of open sockets.
        self.peak_sockets = 0

    @property
    def figures(self) -> str:
        """What was measured, for a report."""
        return (
            f"peak {self.peak_bytes / MB:.1f} MB of {self.memory / MB:.0f}, of them"
            f" {self.peak_unread / MB:.1f} unread and {self.peak_unsent / MB:.1f} unsent,"
            f" {self.peak_sockets} sockets of {MAX_FDS - FILE_FDS}"
        )

    def limit_descriptors(self) -> None:
        """Set the limit that the settings state."""
        resource.prlimit(self.process.child.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))

    def ask(self, listener: str, path: str, body: bytes = b"", *lines: str) -> int:
        """Return the status of one request on a connection of its own; raises `OSError`."""
        with socket.create_connection(self.addresses[listener], CALLER_HANG_S) as caller:
            caller.settimeout(CALLER_HANG_S)
            named = f"{HEADERS.request_id}: {os.urandom(6).hex()}"
            sized = [f"Content-Length: {len(body)}"] * bool(body)
            method = "POST" if body else "GET"
            head = request_head(method, path, named, "Connection: close", *sized, *lines)
            caller.sendall(head + body)
            received = b""
            while data := caller.recv(65536):
                received += data
        match = re.match(rb"HTTP/1\.1 (\d{3}) ", received)
        if match is None:
            raise ConnectionError(f"no response but {received[:80]!r}")
        return int(match[1])

    def ask_outcome(self, listener: str, path: str, body: bytes = b"", *lines: str) -> str:
        """Return the status of one request as text, or the error that ended it."""
        try:
            return str(self.ask(listener, path, body, *lines))
        except OSError as error:
            return repr(error)

    def measure(self) -> None:
        """Record memory and open sockets."""
        if not self.process.running:
            return
        root = Path(f"/proc/{self.process.child.pid}")
        status = (root / "status").read_text()
        resident = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024
        sockets = set()
        for entry in (root / "fd").iterdir():
            with contextlib.suppress(OSError):
                if match := re.match(r"socket:\[(\d+)\]", os.readlink(entry)):
                    sockets.add(match[1])
        unread, unsent = self._kernel_bytes(sockets)
        if resident + unread + unsent > self.peak_bytes:
            self.peak_bytes = resident + unread + unsent
            self.peak_unread, self.peak_unsent = unread, unsent
        self.peak_sockets = max(self.peak_sockets, len(sockets))

    def _kernel_bytes(self, sockets: set[str]) -> tuple[int, int]:
        """Return the bytes that the kernel holds unread and unsent for connections.

        Those that wait to be accepted are no sockets of the process yet.
        """
        # The kernel writes an IPv4 address as a number in the byte order of the machine.
        listeners = {
            f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
            for host, port in self.addresses.values()
        }
        unread = unsent = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
            # In state LISTEN the columns hold the number of connections to accept.
            if state != "0A" and (inode in sockets or local in listeners):
                sending, _, receiving = queues.partition(":")
                unsent += int(sending, 16)
                unread += int(receiving, 16)
        return unread, unsent


class SmallInstance(MeasuredProcess):
    """An instance of the relay with small limits."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        # The port for metrics is fixed, so that each instance has an IP address of its own.
        rng = random.Random(os.urandom(8))
        host = f"127.{rng.randrange(60, 90)}.{rng.randrange(1, 250)}.{rng.randrange(2, 250)}"
        front, ready, peers = free_ports(3, host)
        super().__init__(
            {
                "clients": (host, front),
                "readiness": (host, ready),
                "metrics": (host, METRICS_PORT),
                "other instances": (host, peers),
            }
        )

    def start(self, processes: Processes, store_port: int) -> None:
        """Start the process; it may not be ready when this returns."""
        names = {name: f"{host}:{port}" for name, (host, port) in self.addresses.items()}
        text = f"""
node_name = "{self.name}"
zone = "{self.domain}"
internal_ports = [{self.addresses["other instances"][1]}]
bootstrap = true
[listen_addrs]
front = "{names["clients"]}"
ready = "{names["readiness"]}"
[platform]
address = "127.0.0.1:{store_port}"
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""
        path = processes.write(f"{self.name}.toml", text.encode())
        os.environ[SETTINGS_VARIABLE] = str(path)
        try:
            self.process = processes.start(self.name, "-m", "rattanrelay.platform")
        finally:
            del os.environ[SETTINGS_VARIABLE]
        self.limit_descriptors()

    def wait_serving(self) -> None:
        """Wait until the instance answers on all kinds of routes."""
        self.process.wait_ready(lambda: self.ask("readiness", "/ready") == 200)
        for service in ("box", "large", "all"):
            wait_until(lambda path=f"/{service}/1": self.ask("clients", path) == 200, service)
        self.measure()

    def ask_ordinary(self) -> list[str]:
        """Return the outcomes of an ordinary request and of a readiness check."""
        return [
            self.ask_outcome("clients", "/box/1", b"ordinary"),
            self.ask_outcome("readiness", "/ready"),
        ]


class OwnerInstance(MeasuredProcess):
    """The instance of a fleet that `rattanrelay serve` runs."""

    memory = OWNER_MEMORY_MB * MB

    def __init__(self, entry: Entry) -> None:
        host, _, port = entry.callers.rpartition(":")
        super().__init__({"clients": (host, int(port))})
        self.process = entry.process
        self.limit_descriptors()

    def ask_ordinary(self) -> list[str]:
        """Return the outcomes of an ordinary query and of a readiness check."""
        return [
            self.ask_outcome(
                "clients", QUERY_PATH, b'{"filter": {"core": 1}}', "X-Tenant: tenant-1"
            ),
            self.ask_outcome("clients", "/readyz"),
        ]


class OwnerHost:
    """Context manager of a fleet with one instance of `rattanrelay serve`."""

    def __init__(self) -> None:
        self.fleet = Fleet(entries=1, limits={"memory_mb": OWNER_MEMORY_MB, "max_fds": MAX_FDS})
        self.instances: list[OwnerInstance] = []

    def __enter__(self) -> "OwnerHost":
        try:
            self.fleet.__enter__().start_entries()
        except BaseException:
            self.__exit__()
            raise
        [entry] = self.fleet.entries.values()
        self.instances = [OwnerInstance(entry)]
        wait_until(lambda: set(self.instances[0].ask_ordinary()) == {"200"}, "a query is answered")
        self.measure()
        return self

    def __exit__(self, *exception) -> None:
        self.fleet.close()

    def measure(self) -> None:
        """Record memory and open sockets of the instance."""
        self.instances[0].measure()


class Host:
    """Context manager of stand-ins and instances: one in domain `a`, the others in `b`."""

    def __init__(self, count: int = 1) -> None:
        self.processes = Processes()
        self.standins = StandIns()
        self.instances = [
            SmallInstance(f"entry-{number}", "b" if number > 1 else "a")
            for number in range(1, count + 1)
        ]

    def __enter__(self) -> "Host":
        try:
            self.standins.start(*(one.name for one in self.instances))
            for instance in self.instances:
                instance.start(self.processes, self.standins.store.ports[instance.name])
            for instance in self.instances:
                instance.wait_serving()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exception) -> None:
        self.processes.close()
        self.standins.stop()

    def measure(self) -> None:
        """Record memory and open sockets of all instances."""
        for instance in self.instances:
            instance.measure()


class Crowd:
    """Connections to the first instance that send the same bytes, stay open and read nothing."""

    def __init__(
        self, host: Host | OwnerHost, listener: str, size: int, *, own_addresses: bool = False
    ) -> None:
        self.host = host
        self.address = host.instances[0].addresses[listener]
        self.size = size
        #: Whether each connection comes from an IP address of its own.
        self.own_addresses = own_addresses
        self.connections: list[socket.socket] = []

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()
        self.connections.clear()

    def send_and_return(self, data: bytes, rounds: int) -> None:
        """Connect, send `data`, stay for a moment and close all connections, again and again."""
        for _ in range(rounds):
            self.send(data, stall=STAY_S)
            self.close()

    def send(self, data: bytes, piece: int = 0, stall: float = STALL_S) -> None:
        """Connect and send `data` on each connection as far as the instance takes it.

        Writes of `piece` bytes alternate between the connections, if it is not 0. What the instance
        holds is measured until `stall` seconds after it has taken the last byte.
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
        while by_number and time.monotonic() < progress + stall:
            self.host.measure()
            for number, _ in poller.poll(100):
                done = _send_some(by_number[number], data, sent[number], piece)
                if done is None or done == len(data):
                    poller.unregister(number)
                    del by_number[number]
                if done is None or done > sent[number]:
                    progress = time.monotonic()
                    sent[number] = done or 0
        end = time.monotonic() + stall
        while time.monotonic() < end:
            self.host.measure()
            time.sleep(0.05)

    def _connect(self) -> Iterator[socket.socket]:
        for number in range(self.size):
            connection = socket.socket()
            if self.own_addresses:
                connection.bind(("127.100.{}.{}".format(*divmod(number, 250)), 0))
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
