"""Stand-ins for the platform's store and searchers, with relay instances, on a mock clock."""

import base64
import random
import socket
import struct
from collections import Counter
from contextlib import asynccontextmanager
from functools import partial
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio
import trio.testing

from rattanrelay.decide.cold_start import ColdLimits
from rattanrelay.decide.extra_window import ExtraLimits
from rattanrelay.emulator.addresses import free_ports
from rattanrelay.emulator.config import ProxyConfig
from rattanrelay.emulator.faultproxy import ProxyRoute
from rattanrelay.http import HttpConnection, Request, Response, json_response, serve_http
from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.feed import INSTANCE_PREFIX, PlatformFeed
from rattanrelay.relay import Bounds, Instance, Listen, RelayDaemon, RelaySettings

__all__ = ["RelayWorld", "StandInSearcher", "StandInStore", "free_port", "run_on_mock_clock"]

#: Wall time in seconds without events after which the mock clock jumps; messages over the loopback
#: interface must arrive within it.
SETTLE_S = 0.003
LIMIT_S = 600.0
HOST = "127.0.0.1"
BOUNDS = Bounds(ExtraLimits(0.2, 58.0, 10.0), ColdLimits(1.5, 5.0), 3.0, 6.0)


def run_on_mock_clock(scenario, *args):
    """Run an async function on a mock clock that jumps while all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=SETTLE_S)

    async def limited():
        with trio.fail_after(LIMIT_S):
            return await scenario(*args)

    return trio.run(limited, clock=clock)


def free_port() -> int:
    """Return a port from the range of this process on which nothing listens."""
    return free_ports(1)[0]


class StandInStore:
    """Stand-in for the metadata store that implements its published protocol.

    It has a listener for each instance, whose mode is up, refuse or silent.
    """

    def __init__(self) -> None:
        #: Port of the listener of each instance.
        self.ports: dict[str, int] = {}
        self.modes: dict[str, str] = {}
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.oldest = 100
        self.leases: set[int] = set()
        self.calls: Counter[str] = Counter()
        #: Calls by instance and name.
        self.instance_calls: Counter[tuple[str, str]] = Counter()
        self.changed = trio.Event()
        #: Prefix of which an instance may read nothing, by instance.
        self.refused_prefix: dict[str, str] = {}
        #: Maximum number of items or changes in an answer.
        self.page = 500
        #: Age in seconds of answers that may be stale, and the time at which each key was written.
        self.stale_age = 0.0
        self.written_at: dict[str, float] = {}
        #: Number that rises each time the store returns from a copy.
        self.era = 1
        #: Values as they were written last, which a restore does not change.
        self.own: dict[str, str] = {}
        #: Copies of the state, the last one of each second, the newest last.
        self._copies: list[tuple] = []
        #: Port at which instances are listed instead of their own, by name.
        self.listed_ports: dict[str, int] = {}

    async def serve(self, instance: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the listener of one instance until cancelled."""
        self.modes.setdefault(instance, "up")
        self.ports[instance] = free_port()
        listeners = await trio.open_tcp_listeners(self.ports[instance], host=HOST)
        task_status.started()
        await serve_http(partial(self.answer, instance), listeners)

    def set_mode(self, mode: str, *instances: str) -> None:
        """Set the mode of the listeners of some instances, or of all if none are named."""
        for instance in instances or tuple(self.modes):
            self.modes[instance] = mode
        self._wake_watches()

    def write(self, key: str, value: dict | bytes, lease: int = 0) -> None:
        """Write a key; values other than bytes are encoded as JSON."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.revision += 1
        before = self.items.get(key)
        self.written_at[key] = trio.current_time()
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "create_revision": before["create_revision"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.own[key] = item["value"]
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.own.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Discard the history."""
        self.history.clear()
        self.oldest = self.revision

    def restore(self, age: float) -> None:
        """Return to the state of some seconds ago."""
        latest = trio.current_time() - age
        self._copies = [copy for copy in self._copies if copy[0] <= latest] or self._copies[:1]
        _, self.revision, items, history, self.oldest, leases = self._copies[-1]
        self.items, self.history, self.leases = dict(items), list(history), set(leases)
        self.era += 1
        self._wake_watches()

    def write_again(self) -> None:
        """Let the operator and the searchers write what a restore has lost, and remove the rest."""
        for key in sorted(self.items.keys() | self.own.keys()):
            if not key.startswith(("op/", "servers/")):
                continue
            if key not in self.own:
                self.remove(key)
            elif key not in self.items or self.items[key]["value"] != self.own[key]:
                self.write(key, base64.b64decode(self.own[key]))

    async def answer(self, instance: str, request: Request) -> Response:
        """Answer one call."""
        response = await self._answer(instance, request)
        return response._replace(headers={**response.headers, "store-era": str(self.era)})

    async def _answer(self, instance: str, request: Request) -> Response:
        parts = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        name = parts.path.strip("/").split("/")[0]
        self.calls[name] += 1
        self.instance_calls[instance, name] += 1
        if self.modes[instance] == "silent":
            await trio.sleep_forever()
        if self.modes[instance] == "refuse":
            return Response(503)
        if query.get("prefix") == self.refused_prefix.get(instance, ""):
            return Response(503)
        handler = getattr(self, "_" + name.replace("-", "_"), None)
        if handler is None:
            return Response(404)
        response = await handler(parts.path, query, request)
        if self.modes[instance] == "silent":
            await trio.sleep_forever()
        return Response(503) if self.modes[instance] == "refuse" else response

    async def _kv_range(self, path, query, request) -> Response:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        if query.get("allow_stale") == "1":
            latest = trio.current_time() - self.stale_age
            keys = [key for key in keys if self.written_at[key] <= latest]
        items = [self.items[key] for key in keys[: self.page]]
        body = {"items": items, "has_more": len(keys) > self.page}
        return json_response(200, {**body, "store_revision": self.revision})

    async def _kv_watch(self, path, query, request) -> Response:
        prefix, after = query.get("prefix", ""), int(query["after"])
        found, revision = [], after
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if not self.oldest <= after <= self.revision:
                    return Response(410)
                # A write in the moment in which the wait ends is left to the next call.
                revision = self.revision
                found = [
                    entry
                    for entry in self.history
                    if entry["revision"] > after and entry["key"].startswith(prefix)
                ]
                if found:
                    break
                await self.changed.wait()
        if len(found) > self.page:
            found = found[: self.page]
            revision = found[-1]["revision"]
        return json_response(200, {"events": found, "store_revision": revision})

    async def _kv_lease(self, path, query, request) -> Response:
        self.revision += 1
        while self.revision in self.leases:
            self.revision += 1
        self.leases.add(self.revision)
        ttl = msgspec.json.decode(request.body)["ttl_ms"]
        return json_response(200, {"lease": self.revision, "ttl_ms": ttl})

    async def _kv_keep(self, path, query, request) -> Response:
        if int(path.rsplit("/", 1)[1]) not in self.leases:
            return Response(404)
        return json_response(200, {"ttl_ms": 10000})

    async def _kv_lease_end(self, path, query, request) -> Response:
        lease = int(path.rsplit("/", 1)[1])
        self.leases.discard(lease)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return json_response(200, {})

    async def _kv_txn(self, path, query, request) -> Response:
        body = msgspec.json.decode(request.body)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return Response(404)
            value = self._listed(put["key"], base64.b64decode(put["value"]))
            self.write(put["key"], value, put["lease"])
        return json_response(200, {"revision": self.revision})

    def _listed(self, key: str, value: bytes) -> bytes:
        """Return the entry of an instance with the address of its proxy, other values unchanged."""
        port = self.listed_ports.get(key.removeprefix(INSTANCE_PREFIX))
        if not key.startswith(INSTANCE_PREFIX) or port is None:
            return value
        name, _, _, *rest = msgspec.json.decode(value)
        return msgspec.json.encode([name, HOST, port, *rest])

    def _note(self, entry: dict) -> None:
        self.history.append(entry)
        now = trio.current_time()
        if self._copies and int(self._copies[-1][0]) == int(now):
            self._copies.pop()
        state = dict(self.items), list(self.history), self.oldest, set(self.leases)
        self._copies = [*self._copies[-20:], (now, self.revision, *state)]
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class StandInSearcher:
    """Stand-in searcher that implements the published protocol; `mode` names its behaviour."""

    def __init__(
        self, name: str, service: str, zone: str, *, work: float = 0.01, records: bytes = b""
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.records = records
        self.mode = "good"
        #: Its behaviour from the second request on, if that is another one.
        self.later_mode = ""
        self.port = free_port()
        #: Port in its entry, if it is reached through a proxy.
        self.listed_port = 0
        self.slots = 2
        self.born = 1000
        #: Seconds at the start of each period in which requests wait; `phase` shifts the periods.
        self.pause = 0.0
        self.period = 3.0
        self.phase = 0.0
        #: Ids of the requests that were started, completed and cancelled here.
        self.ran: list[str] = []
        self.finished: list[str] = []
        self.cancelled: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.requests: list[Request] = []
        self.connections = 0
        #: Connections that it accepts at the same time, 0 for any number, those that are open, and
        #: the number of those that it has reset.
        self.max_connections = 0
        self.open_connections = 0
        self.resets = 0
        #: Time in seconds for which a new connection occupies it, and the timeout that it states.
        self.connect_time = 0.0
        self.keep_alive = 0
        #: Beginning and repeated bytes of answers in mode "endless", and the bytes sent in each.
        self.endless = (b"", b"")
        self.endless_sent: list[int] = []
        #: First bytes of answers in mode "status", before their headers.
        self.status_bytes = b""
        #: Connections on which such an answer was sent, and which the instance has not closed.
        self.not_closed = 0
        #: Rate and pause that its answers state, as text, and whether they say that it is leaving.
        self.limit = ""
        self.retry_after = ""
        self.leaving = False
        #: Status of its answers in mode "fail".
        self.failure_status = 500
        #: Load that its answers state, as text.
        self.load = ""
        #: Whether it has answered before, so that a copy of that answer may still arrive.
        self.stray = False
        #: Part of a path that ends the process when it begins to run the request, the time in
        #: seconds until it has started again, and the times of its ends.
        self.fatal_path = ""
        self.down = 2.0
        self.ends: list[float] = []
        #: Time in milliseconds for which it is cold when it has started again, and the time in
        #: seconds until its new entry is in the store.
        self.cold_ms = 0
        self.entry_delay = 0.0
        #: Bytes per second that it reads of each connection; 0 for no limit.
        self.read_rate = 0
        self._process = trio.CancelScope()

    def entry(self, **changes) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.listed_port or self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
            **changes,
        }

    def signature(self, request_id: str) -> str:
        """Return the signature of its response to a request."""
        return f"{self.name}.{request_id}"

    async def run(
        self, store: StandInStore | None = None, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; after its end the process starts again and writes its entry."""
        started = False
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host=HOST)
            async with trio.open_nursery() as nursery:
                if not started:
                    started = True
                    task_status.started()
                elif store is not None:
                    self.born += 1
                    nursery.start_soon(self._write_entry, store)
                with trio.CancelScope() as self._process:
                    await trio.serve_listeners(self._connection, listeners)
                nursery.cancel_scope.cancel()
            await trio.sleep(self.down)

    async def _write_entry(self, store: StandInStore) -> None:
        await trio.sleep(self.entry_delay)
        store.write(f"servers/{self.name}", self.entry(warmup_left_ms=self.cold_ms))

    def end(self) -> None:
        """End the process with all its connections; it starts again `down` seconds later."""
        self.ends.append(trio.current_time())
        self._process.cancel()

    async def _connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        if self.max_connections and self.open_connections >= self.max_connections:
            self.resets += 1
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.socket.close()
            return
        if self.read_rate:
            # Else the kernel would take what is not read here.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.read_rate)
        wire = h11.Connection(h11.SERVER)
        self.open_connections += 1
        try:
            await trio.sleep(self.connect_time)
            async with stream:
                while await self._one(stream, wire):
                    wire.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            pass
        finally:
            self.open_connections -= 1

    async def _one(self, stream: trio.SocketStream, wire: h11.Connection) -> bool:
        head, body = None, b""
        while True:
            event = wire.next_event()
            if event is h11.NEED_DATA:
                wire.receive_data(await stream.receive_some(self.read_rate or 65536))
                if self.read_rate:
                    await trio.sleep(1.0)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {name.decode(): value.decode() for name, value in head.headers}
        request = Request(head.method.decode(), head.target.decode(), headers, body)
        request_id = headers[HEADERS.request_id]
        self.arrivals.append((trio.current_time(), request_id))
        self.requests.append(request)
        return await self._behave(stream, wire, request_id, headers)

    async def _behave(self, stream, wire, request_id: str, headers: dict) -> bool:
        mode = self.mode
        self.mode = self.later_mode or mode
        if headers[HEADERS.expected_searcher] != self.name:
            return await self._reply(stream, wire, 421, {}, b"")
        if mode == "shed":
            named = {HEADERS.not_run: "1", HEADERS.request_id: request_id}
            if self.retry_after:
                named["retry-after"] = self.retry_after
            return await self._reply(stream, wire, 503, named, b"")
        if mode == "reset":
            self.ran.append(request_id)
            await trio.aclose_forcefully(stream)
            return False
        self.ran.append(request_id)
        if self.fatal_path and self.fatal_path in self.requests[-1].target:
            self.end()
            await trio.sleep_forever()
        gone = await self._work(stream)
        if gone:
            self.cancelled.append(request_id)
            return False
        self.finished.append(request_id)
        signature = "" if mode == "blank" else self.signature(request_id)
        good = {HEADERS.signature: signature, HEADERS.request_id: request_id}
        if self.limit:
            good[HEADERS.limit] = self.limit
        if self.load:
            good[HEADERS.load] = self.load
        if self.leaving:
            good[HEADERS.leaving] = "1"
        if self.keep_alive:
            good["keep-alive"] = f"timeout={self.keep_alive}"
        if mode == "silent":
            await trio.sleep_forever()
        if mode == "fail":
            if self.retry_after:
                good["retry-after"] = self.retry_after
            return await self._reply(stream, wire, self.failure_status, good, b"broken")
        if mode == "unsigned":
            return await self._reply(stream, wire, 200, {HEADERS.request_id: request_id}, b"x")
        if mode == "endless":
            await self._send_endless(stream)
            return False
        if mode == "status":
            sized = {**good, "content-length": str(len(self.records))}
            named = "".join(f"{name}: {value}\r\n" for name, value in sized.items())
            self.not_closed += 1
            await stream.send_all(self.status_bytes + named.encode() + b"\r\n" + self.records)
            # The connection stays open, so that only the status shows that something is wrong.
            self.not_closed -= not await stream.receive_some(1)
            return False
        if mode == "truncate":
            data = b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n"
            named = "".join(f"{name}: {value}\r\n" for name, value in good.items())
            await stream.send_all(data + named.encode() + b"\r\nshort")
            return False
        if mode == "stray failure" and self.stray:
            text = f"HTTP/1.1 404 Late\r\n{HEADERS.signature}: stray\r\ncontent-length: 0\r\n\r\n"
            await stream.send_all(text.encode())
        self.stray = True
        if mode == "extra":
            first = await self._reply(stream, wire, 200, good, self.records)
            text = (
                f"HTTP/1.1 200 OK\r\n{HEADERS.signature}: stray\r\ncontent-length: 5\r\n\r\nstray"
            )
            await stream.send_all(text.encode())
            return first
        return await self._reply(stream, wire, 200, good, self.records)

    async def _send_endless(self, stream: trio.SocketStream) -> None:
        start, more = self.endless
        self.endless_sent.append(len(start))
        await stream.send_all(start)
        while True:
            await stream.send_all(more)
            self.endless_sent[-1] += len(more)

    async def _work(self, stream: trio.SocketStream) -> bool:
        """Wait for the pause and the work; return whether the caller disconnected meanwhile."""
        left = False

        async def watch(scope):
            nonlocal left
            try:
                data = await stream.receive_some(1)
            except trio.BrokenResourceError:
                data = b""
            left = not data
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            into = (trio.current_time() + self.phase) % self.period
            if into < self.pause:
                await trio.sleep(self.pause - into)
            await trio.sleep(self.work)
            nursery.cancel_scope.cancel()
        return left

    async def _reply(self, stream, wire, status: int, headers: dict, body: bytes) -> bool:
        listed = [*headers.items(), ("content-length", str(len(body)))]
        data = wire.send(h11.Response(status_code=status, headers=listed))
        data += wire.send(h11.Data(data=body)) + wire.send(h11.EndOfMessage())
        await stream.send_all(data)
        return wire.our_state is h11.DONE and wire.their_state is h11.DONE


class RelayWorld:
    """A store, searchers and instances; `async with world.open()` starts them."""

    def __init__(self, searchers, *, instances=(("entry-1", "a"),), seed: int = 1) -> None:
        self.store = StandInStore()
        self.searchers = {searcher.name: searcher for searcher in searchers}
        self.domains = dict(instances)
        self.rng = random.Random(seed)
        self.daemons: dict[str, RelayDaemon] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.version = 1
        self.routes: list[dict] = []
        #: Fields of all services in the configuration.
        self.service_fields: dict = {}
        #: Workspaces in the configuration; None if callers need no keys.
        self.tenants: list[dict] | None = None
        self.bounds = BOUNDS
        #: Speed of the processor of each instance, in cores.
        self.cores = 1.0
        #: The same of single instances, by name.
        self.cores_of: dict[str, float] = {}
        #: Number of instances from which some read the store for the others; None for the default.
        self.many: int | None = None
        #: Whether the instances start for the first time.
        self.first_start = False
        #: Whether instances, searchers and the store are reached through proxies.
        self.proxied = False
        #: Proxies by what connects and to what, such as "instance/entry-1".
        self.proxies: dict[str, ProxyRoute] = {}
        #: Time at which each searcher has left.
        self.left_at: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._ids = 0

    def route(self, name: str, **fields) -> None:
        """Add a route; it takes effect with `configure`."""
        row = {
            "name": name,
            "hostname": "test.example",
            "prefix": f"/{name}/",
            "type": "idempotent",
            "timeout_ms": 1000,
            "target_latency_ms": 100,
            "priority": 1,
            "attempts": 2,
        }
        self.routes.append({**row, **fields})

    def configure(self, **service_fields) -> None:
        """Write the configuration with a new version."""
        self.version += 3
        services = {searcher.service for searcher in self.searchers.values()}
        rows = [
            {"name": name, "max_connections": 30, "warmup_per_s": 0.0}
            | {**self.service_fields, **service_fields}
            for name in sorted(services)
        ]
        document = {"version": self.version, "routes": self.routes, "services": rows}
        if self.tenants is not None:
            document["tenants"] = self.tenants
        self.store.write("op/config", {**document, "limits": {"idle_timeout_ms": 15000}})

    @asynccontextmanager
    async def open(self):
        """Start everything and wait until the instances are ready."""
        async with trio.open_nursery() as self._nursery:
            for searcher in self.searchers.values():
                await self.add(searcher)
            self.configure()
            for name in self.domains:
                await self.start(name)
            with trio.fail_after(30):
                while not self._ready():  # noqa: ASYNC110
                    await trio.sleep(0.05)
            yield self
            self._nursery.cancel_scope.cancel()

    def _ready(self) -> bool:
        """Return whether each instance knows the configuration and all others."""
        others = len(self.daemons) - 1
        return all(
            daemon.deployment.complete and len(daemon.peers.known) >= others
            for daemon in self.daemons.values()
        )

    async def add(self, searcher: StandInSearcher) -> None:
        """Start a searcher and write its entry."""
        self.searchers[searcher.name] = searcher
        await self._nursery.start(searcher.run, self.store)
        if self.proxied:
            searcher.listed_port = await self._proxy(f"searcher/{searcher.name}", searcher.port)
        self.store.write(f"servers/{searcher.name}", searcher.entry())

    async def start(self, name: str) -> RelayDaemon:
        """Start an instance."""
        domain = self.domains[name]
        if name not in self.store.ports:
            await self._nursery.start(self.store.serve, name)
        store_port = self.store.ports[name]
        if self.proxied:
            store_port = await self._proxy(f"store/{name}", store_port)
        settings = RelaySettings(
            name,
            domain,
            *(Listen(HOST, free_port()) for _ in range(4)),
            Listen(HOST, store_port),
            self.bounds,
            cores=self.cores_of.get(name, self.cores),
        )
        rng = random.Random(self.rng.random())
        if self.proxied:
            port = await self._proxy(f"instance/{name}", settings.peers.port)
            self.store.listed_ports[name] = port
        instance = Instance(name, *settings.peers, domain, settings.cores)
        feed = PlatformFeed(settings.store, instance, rng, first_start=self.first_start)
        if self.many is not None:
            feed.min_instances = self.many
        daemon = RelayDaemon(settings, HEADERS, feed, rng=rng)
        self.daemons[name] = daemon
        self.scopes[name] = trio.CancelScope()

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with self.scopes[name]:
                await daemon.run(task_status=task_status)

        await self._nursery.start(run)
        return daemon

    async def _proxy(self, name: str, port: int) -> int:
        """Start a proxy before a port and return the port of the proxy."""
        route = ProxyRoute(ProxyConfig(name=name, target=f"{HOST}:{port}"))
        await self._nursery.start(route.run)
        self.proxies[name] = route
        return int(route.address.rpartition(":")[2])

    def silence(self, kind: str, direction: str = "both") -> int:
        """Make all open connections to things of a kind silent for good; return their number.

        `kind` is instance, searcher or store, or one of them by name, such as "store/entry-1".
        """
        routes = [route for name, route in self.proxies.items() if name.startswith(kind)]
        return sum(route.silence(direction) for route in routes)

    def let_leave(self, name: str, how: str) -> None:
        """Let a searcher say that it leaves or, if `how` is "loses its entry", remove its entry."""
        self.left_at[name] = trio.current_time()
        if how == "loses its entry":
            self.store.remove(f"servers/{name}")
        else:
            self.store.write(f"servers/{name}", self.searchers[name].entry(state="draining"))

    async def record_use(self, seconds: float) -> dict[str, dict[str, float]]:
        """Return for how many seconds each instance has used each searcher that left.

        The use is observed for the next seconds.
        """
        used: dict[str, dict[str, float]] = {}
        end = trio.current_time() + seconds
        while (now := trio.current_time()) < end:
            for name, left in self.left_at.items():
                times = used.setdefault(name, dict.fromkeys(self.daemons, 0.0))
                for instance, daemon in self.daemons.items():
                    searcher = daemon.deployment.searchers.get(name)
                    if searcher is not None and searcher.usable(now):
                        times[instance] = round(now - left, 2)
            await trio.sleep(0.05)
        return used

    def kill(self, name: str) -> None:
        """Cancel an instance without a planned stop."""
        self.scopes[name].cancel()
        del self.daemons[name]

    async def ask(
        self,
        route: str,
        *,
        at: str = "entry-1",
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1000,
        headers: dict[str, str] | None = None,
        connection: HttpConnection | None = None,
        path: str = "x?y=1",
    ) -> tuple[str, Response]:
        """Send one request as a client does; return its id and the response."""
        self._ids += 1
        request_id = f"q{self._ids}"
        sent = {
            "host": "test.example",
            HEADERS.request_id: request_id,
            HEADERS.deadline_ms: str(deadline_ms),
            **(headers or {}),
        }
        address = self.daemons[at].settings.clients
        own = connection or await HttpConnection.open(address.host, address.port)
        try:
            response = await own.request(Request(method, f"/{route}/{path}", sent, body))
        finally:
            if connection is None:
                await own.aclose()
        return request_id, response
