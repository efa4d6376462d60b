"""Stand-ins for the platform's store, searchers and clients, and processes of the system.

They need nothing but the standard library, and run in the process of a case. All addresses are
loopback addresses; ports are chosen by the kernel.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
REQUEST_ID = "x-rattanrelay-request-id"
DEADLINE = "x-rattanrelay-deadline-ms"
EXPECTED = "x-rattanrelay-expected-instance"
SIGNATURE = "x-rattanrelay-server-signature"
LIMIT = "server-limit"
NOT_RUN = "x-rattanrelay-not-executed"
HEARTBEAT_S = 1.2
#: Time in seconds without a heartbeat after which an entry is removed.
EXPIRY_S = 3 * HEARTBEAT_S
CONTACT_S = 4.0
#: Time in seconds from the start of the machines to that of the traffic.
LEAD_S = 12.0
STORE_PAGE = 500
HISTORY_S = 20.0

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """Raised if a case cannot be played."""


class Record:
    """Lines of `record.txt` with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: deque[tuple[float, dict]] = deque()
        self.oldest = self.revision
        self.leases: dict[int, float] = {}
        self.ttl: dict[int, float] = {}
        self.changed = asyncio.Event()
        self.server = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())

    def write(self, key: str, value: dict | bytes, lease: int = 0) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "create_revision": before["create_revision"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.oldest = self.history.popleft()[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease in [one for one, until in self.leases.items() if until <= now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _connection(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, body)
                sent = {"content-type": "application/json", "store-era": "1"}
                writer.write(encode_response(status, sent, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        name, _, argument = parts.path.strip("/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:STORE_PAGE]]
            more = len(keys) > STORE_PAGE
            return 200, {"items": items, "has_more": more, "store_revision": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-lease":
            self.revision += 1
            ttl = json.loads(body)["ttl_ms"]
            self.ttl[self.revision] = ttl / 1000
            self.leases[self.revision] = time.monotonic() + ttl / 1000
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        if name == "kv-keep":
            lease = int(argument)
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + self.ttl[lease]
            return 200, {"ttl_ms": int(self.ttl[lease] * 1000)}
        if name == "kv-lease-end":
            self._end(int(argument))
            return 200, {}
        if name == "kv-txn":
            return self._transaction(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transaction(self, call: dict) -> tuple[int, dict]:
        rows = call.get("expected_revision", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[one["key"]] for one in rows if one["key"] in self.items]
                return 412, {"items": current}
        keys = [put["key"] for put in call.get("puts", [])] + call.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in call.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in call.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Searcher:
    """A searcher; `name` is its id, which a new incarnation may keep."""

    def __init__(self, store, record, host, name, service, zone, *, work=0.01, slots=2) -> None:
        self.store = store
        self.record = record
        self.host = host
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = slots
        self.queue = 12
        #: Connections that it accepts from all callers together.
        self.max_connections = 110
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.cold_until = 0.0
        #: Rate that its answers name, as text.
        self.limit = ""
        #: Fields that its entry lacks or replaces.
        self.odd: dict = {}
        #: Called with each request that begins to run; returns whether that ends the process.
        self.fatal = lambda searcher, target, headers: False
        #: (time, id) of each request that names this searcher, of those that arrived while it was
        #: cold, and of those that it began to run.
        self.arrivals: list[tuple[float, str]] = []
        self.cold_arrivals: list[tuple[float, str]] = []
        self.ran: list[tuple[float, str]] = []
        self.up = False
        self._server = None
        self.open: set = set()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._beat = None
        self._written_at = 0.0

    async def start(self, cold: float = 0.0) -> None:
        """Start an incarnation, whose entry is in the store before it accepts connections."""
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        self.port = sock.getsockname()[1]
        self.up = True
        self.write_entry()
        self._beat = asyncio.create_task(self._heartbeat())
        self._server = await asyncio.start_server(self._connection, sock=sock, backlog=256)
        self.record(f"searcher {self.name} of {self.service} starts, cold for {cold} s")

    def write_entry(self) -> None:
        self.sequence += 1
        self._written_at = time.monotonic()
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "ready",
            "warmup_left_ms": left,
            "sequence": self.sequence,
            "born": self.born,
        }
        entry.update(self.odd)
        entry = {name: value for name, value in entry.items() if value is not None}
        self.store.write(f"servers/{self.name}", entry)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def crash(self) -> None:
        """End the process: the port refuses connections and all open ones are reset."""
        if not self.up:
            return
        self.up = False
        self.record(f"searcher {self.name} ends")
        self._beat.cancel()
        lapses = EXPIRY_S - (time.monotonic() - self._written_at)
        asyncio.get_running_loop().call_later(max(0.0, lapses), self._expire, self.name, self.born)
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def _expire(self, name: str, born: int) -> None:
        """Remove the entry of an incarnation that has ended unless another one has replaced it."""
        item = self.store.items.get(f"servers/{name}")
        if item is not None and json.loads(base64.b64decode(item["value"]))["born"] == born:
            self.store.remove(f"servers/{name}")

    async def _connection(self, reader, writer) -> None:
        if len(self.open) >= self.max_connections:
            reset(writer)
            return
        self.open.add(writer)
        with contextlib.suppress(OSError):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                await reader.readexactly(int(headers.get("content-length", "0")))
                response = await self._serve(reader, method, target, headers)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _serve(self, reader, method: str, target: str, headers: dict) -> bytes | None:
        if target == "/healthz":
            return encode_response(200, {"x-rattanrelay-instance-id": self.name})
        request_id = headers.get(REQUEST_ID, "")
        echoed = {REQUEST_ID: request_id}
        if self.limit:
            echoed[LIMIT] = self.limit
        refused = {**echoed, NOT_RUN: "1"}
        if headers.get(EXPECTED, self.name) != self.name:
            return encode_response(421, refused)
        now = self.record.now
        self.arrivals.append((now, request_id))
        if time.monotonic() < self.cold_until:
            self.cold_arrivals.append((now, request_id))
        if not request_id:
            return encode_response(400, refused)
        if self._waiting >= self.queue:
            return encode_response(503, refused)
        deadline = time.monotonic() + float(headers.get(DEADLINE, "1000")) / 1000
        self._waiting += 1
        free = self._free
        try:
            await asyncio.wait_for(free.acquire(), deadline - time.monotonic())
        except TimeoutError:
            return encode_response(503, refused)
        finally:
            self._waiting -= 1
        try:
            if not self.up:
                return None
            self.ran.append((self.record.now, request_id))
            self.record(f"run {request_id} {target} at {self.name}")
            if self.fatal(self, target, headers):
                self.crash()
                return None
            gone = asyncio.ensure_future(reader.read(1))
            left = deadline - time.monotonic()
            done, _ = await asyncio.wait({gone}, timeout=max(0.0, min(self.work, left)))
            if done:
                return None
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
        finally:
            free.release()
        signed = {**echoed, SIGNATURE: f"{self.name}.{request_id}"}
        if left < self.work:
            return encode_response(504, signed)
        load = f"{self.slots - free._value},{self._waiting},{self.slots}"
        signed["x-rattanrelay-server-load"] = load
        return encode_response(200, signed, f"{self.name} {target}".encode())


class Machine:
    """An instance of the system as a process, started with the command of the deploy file."""

    def __init__(self, directory: Path, host: str, name: str, zone: str, store: Store) -> None:
        self.host = host
        self.name = name
        self.zone = zone
        self.store = store
        self.settings = directory / f"{name}.toml"
        self.log = directory / f"{name}.log"
        self.front, self.ready, self.control, self.peers = free_ports(host, 4)
        self.process: subprocess.Popen | None = None
        #: Exit statuses of the processes that ended by themselves.
        self.ends: list[int] = []
        self.started = 0.0

    def write_settings(self, bootstrap: bool, zones: list[str]) -> None:
        places = "".join(f'{zone} = "norte"\n' for zone in zones)
        self.settings.write_text(
            f'node_name = "{self.name}"\nrole = "entry"\nmachine_class = "edge"\n'
            f'serves = ["edge"]\nip = "{self.host}"\nzone = "{self.zone}"\nregion = "norte"\n'
            f"internal_ports = [{self.peers},{self.peers}]\n"
            f'seed_nodes = ["{self.host}:{self.control}"]\n'
            f"bootstrap = {str(bootstrap).lower()}\nfailure_counted = false\n"
            'discovery = "platform"\nentry = "virtual_ip"\nheartbeat_interval_ms = 1200\n'
            'contracts = ["base","drain","config","cost","retry","recover","scatter","places",'
            '"platform"]\n'
            f"[zones]\n{places}"
            f'[listen_addrs]\nfront = "{self.host}:{self.front}"\n'
            f'ready = "{self.host}:{self.ready}"\ncontrol = "{self.host}:{self.control}"\n'
            "[limits]\ncpu_share = 0.537\ncpu_cores = 2\nmemory_mb = 300\nmax_fds = 4100\n"
            "bandwidth_mbps = 1000.0\ndisk_mb = 0\n"
            "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\n"
            "ack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\n"
            "loss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\n"
            "max_skew_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n"
            "retry_budget_min = 58\nwarmup_overshoot = 1.5\nwarmup_slack = 5\n"
            "evacuate_ms = 5000\nrecovery_s = 12\n"
            f'[platform]\naddress = "{self.store.host}:{self.store.port}"\nform = "kv"\n'
            "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
            "value_bytes = 1048576\nttl_min_ms = 1000\n"
        )

    def start(self) -> None:
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["RATTANRELAY_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "rattanrelay.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started = time.monotonic()

    def stop(self) -> None:
        """End the process by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and head[0].split(" ")[1] == "200"


class Answer:
    """What a client sees of one attempt."""

    def __init__(self, request_id: str, sent: float, outcome: str, **fields) -> None:
        self.request_id = request_id
        self.sent = sent
        #: The status as text, `no connection`, `cut` (read by the system, no answer) or `timeout`.
        self.outcome = outcome
        self.headers = fields.get("headers", {})
        self.body = fields.get("body", b"")
        #: Whether the connection had been used for another request before.
        self.kept = False


class Client:
    """A client with a kept connection to one machine."""

    def __init__(self, record: Record, machine: Machine, source: str = "") -> None:
        self.record = record
        self.machine = machine
        self.source = source
        self.reader = self.writer = None
        self.answered = 0

    async def ask(self, target: str, *, deadline: float = 2.0, headers=None) -> Answer:
        request_id = f"{random.getrandbits(64):016x}"
        sent = self.record.now
        self.record(f"send {request_id} {target} to {self.machine.name}")
        answer = await self._ask(request_id, sent, target, deadline, headers or {})
        answer.kept = self.answered > 0
        self.answered += 1
        if answer.headers.get("connection", "").lower() == "close" or not answer.headers:
            self.close()
        where, took = self.machine.name, self.record.now - sent
        self.record(
            f"answer {request_id} {target} by {where}: {answer.outcome}, {took * 1000:.0f} ms"
        )
        return answer

    async def _ask(self, request_id, sent, target, deadline, headers) -> Answer:
        if self.writer is None:
            local = (self.source, 0) if self.source else None
            try:
                async with asyncio.timeout(1.0):
                    self.reader, self.writer = await asyncio.open_connection(
                        self.machine.host, self.machine.front, local_addr=local
                    )
            except (OSError, TimeoutError):
                return Answer(request_id, sent, "no connection")
        lines = [
            f"GET {target} HTTP/1.1",
            "Host: test.example",
            f"X-Rattanrelay-Request-Id: {request_id}",
            f"X-Rattanrelay-Deadline-Ms: {int(deadline * 1000)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        try:
            async with asyncio.timeout(deadline + 0.5):
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                head = await read_head(self.reader)
                if head is None:
                    return Answer(request_id, sent, "cut")
                length = int(head[1].get("content-length", "0"))
                body = await self.reader.readexactly(length)
        except TimeoutError:
            return Answer(request_id, sent, "timeout")
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answer(request_id, sent, "cut")
        return Answer(request_id, sent, head[0].split(" ")[1], headers=head[1], body=body)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.answered = 0


class World:
    """A small deployment; `trouble` is whether the disruption is played."""

    ZONES = ("oviedo", "torrelavega", "ponferrada")

    def __init__(self, folder: Path, machines: int = 6) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        self.store = Store(f"{self.net}.1")
        self.searchers: list[Searcher] = []
        self.machines: list[Machine] = []
        self.count = machines
        self.version = 7
        #: Whether a machine whose process ends by itself is started again.
        self.restarts = True
        self._tasks: list = []

    def searcher(self, name: str, service: str, zone: str, **fields) -> Searcher:
        host = f"{self.net}.{100 + len(self.searchers)}"
        one = Searcher(self.store, self.record, host, name, service, zone, **fields)
        self.searchers.append(one)
        return one

    def configure(self, routes: list[dict], **service_fields) -> None:
        common = {
            "hostname": "test.example",
            "type": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 1,
            "attempts": 2,
        }
        for one in self.searchers:
            one.max_connections = service_fields.get("max_connections", 110)
        services = sorted({one.service for one in self.searchers})
        rows = [
            {"name": name, "max_connections": 110, "health_check_path": "/healthz"}
            | {"warmup_per_s": 0, **service_fields}
            for name in services
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        }
        self.version += 3
        document = {"version": self.version, "routes": [{**common, **row} for row in routes]}
        self.store.write("op/config", {**document, "services": rows, "limits": limits})

    async def start_machines(self) -> None:
        for number in range(self.count):
            zone = self.ZONES[number % len(self.ZONES)]
            name = f"edge-{zone}-{number // len(self.ZONES) + 1}"
            host = f"{self.net}.{10 + number}"
            machine = Machine(self.directory, host, name, zone, self.store)
            machine.write_settings(True, list(self.ZONES))
            self.machines.append(machine)
        for machine in self.machines:
            machine.start()
        end = time.monotonic() + 30.0
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > end:
                raise CannotRun("the machines are not ready within 30 s")
            await asyncio.sleep(0.2)
        # Traffic starts some time after the machines.
        await asyncio.sleep(self.machines[0].started + LEAD_S - time.monotonic())
        # The settings name the first start only once.
        for machine in self.machines:
            machine.write_settings(False, list(self.ZONES))
        self.spawn(self._watch_processes())
        self.record(f"{len(self.machines)} machines are ready")

    async def _watch_processes(self) -> None:
        """Start a process that has ended again after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for machine in self.machines:
                status = machine.process.poll()
                if status is None:
                    continue
                machine.ends.append(status)
                self.record(f"process of {machine.name} ended by itself with status {status}")
                await asyncio.sleep(0.3)
                machine.start()

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the case ends."""
        self._tasks.append(asyncio.create_task(coroutine))

    def machine_ends(self) -> dict[str, int]:
        return {machine.name: len(machine.ends) for machine in self.machines if machine.ends}

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.stop()
        for machine in self.machines:
            if machine.log.exists() and machine.ends:
                lines = machine.log.read_text("utf-8", "replace").splitlines()
                for line in [one for one in lines if not one.startswith("{")][-12:]:
                    self.record(f"log of {machine.name}: {line}")
        shutil.rmtree(self.directory, ignore_errors=True)


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def play(folder: str, case, limit: float = 110.0, **world_fields) -> None:
    """Play a case, an async function of a `World` that returns whether the rule held, and exit."""
    asyncio.run(_play(World(Path(folder), **world_fields), case, limit))


async def _play(world: World, case, limit: float) -> None:
    status = COULD_NOT_RUN
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(limit):
            status = HELD if await case(world) else BROKEN
        text = "held" if status == HELD else "BROKEN"
    except (Exception, asyncio.CancelledError) as error:
        text = f"could not run: {error!r}"
    finally:
        world.close()
    world.record(text)
    print(text, flush=True)
    # The stand-ins' open connections end with this process.
    os._exit(status)
