"""A dispatcher with a fake searcher and fake membership, on a mock clock unless TCP is used."""

import random
from collections import Counter
from functools import partial

import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair

from rattanrelay.errors import RelayError
from rattanrelay.http import HttpConnection, json_response, serve_http
from rattanrelay.metrics import Metrics
from rattanrelay.node.dispatch import Dispatcher
from rattanrelay.node.peers import Peers
from rattanrelay.node.ports import Configuration, Latest, Member
from rattanrelay.table import DomainRow, ServerRow, ServiceRow, Table
from rattanrelay.wire import RunAction, SubQuery, Target

UNIX_START = 1_700_000_000.0
SNAPSHOT = "snap-1"
HANG_LIMIT_S = 10_000.0
TCP_HANG_LIMIT_S = 30.0


class FakeMembers:
    """Membership of a single instance; tests change `owned`, `lease` and `epoch`."""

    instance = "i1"

    def __init__(self):
        self.epoch = 1
        self.owned = True
        self.lease = 2.0
        self.pending = False
        self.me = Member("i1", "a", "127.0.0.1:1", "d1")
        self.members = (self.me,)

    def owner(self, name):
        return self.me if self.owned else Member("i2", "b", "127.0.0.1:2", "d1")

    def may_dispatch(self, server):
        return self.owned and self.lease > 0 and not self.pending

    def takeover_pending(self, server):
        return self.owned and self.pending

    def lease_left(self):
        return self.lease


class FakeSearcher:
    """A searcher on memory streams that counts work and connections and injects faults."""

    def __init__(self, wall):
        self.wall = wall
        self.boot_id = "boot-1"
        self.state = "warm"
        self.announces = ("status", "header")
        self.status_s = 0.0
        self.service_s = 0.01
        self.fault = lambda body: ""
        self.reachable = True
        self.ignores_cancel = False
        self.running = {}
        self.connections = 0
        self.peak_work = 0
        self.peak_connections = 0
        self.requests = []
        self.opened_at = []
        self.paths = Counter()
        self.streams = []
        self.allowed = None
        self.completed = 0
        self.violations = 0
        self.late_deadlines = 0

    async def reboot(self):
        """Restart cold: allow one slot, and one more after each 8 answers."""
        self.boot_id += "+"
        self.allowed, self.completed = 1, 0
        for stream in self.streams:
            await trio.aclose_forcefully(stream)

    async def connect(self, nursery):
        if not self.reachable:
            raise RelayError("connect_failed", "refused", step="connect")
        client, server = memory_stream_pair()
        connection = _Counted(client, "searcher")
        connection.searcher, connection.scope = self, trio.CancelScope()
        self.opened_at.append(trio.current_time())
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        nursery.start_soon(self.serve, server, connection.scope)
        return connection

    async def serve(self, stream, scope=None):
        self.streams.append(stream)
        with scope or trio.CancelScope():
            handler = partial(self._handle, stream=stream)
            await serve_http(handler, [_OneStream(stream)])

    async def _handle(self, request, stream):
        self.paths[request.path] += 1
        if request.path == "/status":
            await trio.sleep(self.status_s)
            state = self.state if "status" in self.announces else "warm"
            return self._reply(200, {"state": state})
        if request.path == "/cancel":
            return self._cancel(msgspec.json.decode(request.body)["request_id"])
        return await self._work(request, stream)

    def _cancel(self, request_id):
        scope = None if self.ignores_cancel else self.running.get(request_id)
        if scope is not None:
            scope.cancel()
        return self._reply(200, {"request_id": request_id, "cancelled": int(scope is not None)})

    async def _work(self, request, stream):
        body = msgspec.json.decode(request.body)
        request_id = request.headers["x-request-id"]
        self.requests.append((trio.current_time(), request_id, body))
        deadline_ms = int(request.headers["x-deadline"])
        self.late_deadlines += deadline_ms > int(self.wall() * 1000) + 2000
        left = deadline_ms / 1000 - self.wall()
        echo = {"request_id": request_id, "shard": body["shard"]}
        echo["snapshot"] = body.get("snapshot", "")
        fault = self.fault(body)
        if fault in ("shedding", "draining", "snapshot_gone"):
            status = 409 if fault == "snapshot_gone" else 503
            return self._reply(status, {**echo, "code": fault, "snapshots": ["snap-0"]})
        assert request_id not in self.running, "a request id was used twice"
        with trio.CancelScope(deadline=trio.current_time() + left) as scope:
            self.running[request_id] = scope
            self.peak_work = max(self.peak_work, len(self.running))
            if self.allowed and len(self.running) > self.allowed + self.completed // 8:
                self.violations += 1
            try:
                await trio.sleep(1e6 if fault == "hang" else self.service_s)
                if fault == "crash":
                    self.boot_id += "+"
                if fault in ("reset", "crash"):
                    await trio.aclose_forcefully(stream)
            finally:
                del self.running[request_id]
        if scope.cancelled_caught:
            late = trio.current_time() >= scope.deadline
            code = "deadline" if late else "cancelled"
            return self._reply(504 if late else 499, {**echo, "code": code})
        self.completed += 1
        answer = {**echo, "complete": True, "hits": [], "count": 1, "of": body}
        return self._reply(200, {**answer, **FAULTY_FIELDS.get(fault, {})})

    def _reply(self, status, body):
        state = self.state if "header" in self.announces else "warm"
        return json_response(status, body, {"x-boot-id": self.boot_id, "x-state": state})


FAULTY_FIELDS = {
    "crossed": {"request_id": "another"},
    "other_shard": {"shard": "another"},
    "other_snapshot": {"snapshot": "another"},
    "incomplete": {"complete": False},
}


class _Counted(HttpConnection):
    """A connection whose first close is counted by the searcher and ends the serving task."""

    async def aclose(self):
        if not self.scope.cancel_called:
            self.searcher.connections -= 1
            self.scope.cancel()
        await super().aclose()


class _OneStream(trio.abc.Listener):
    """A listener that accepts one stream."""

    def __init__(self, stream):
        self.stream = stream

    async def accept(self):
        if self.stream is None:
            await trio.sleep_forever()
        stream, self.stream = self.stream, None
        return stream

    async def aclose(self):
        """Nothing to close."""


class Bench:
    """A dispatcher with one server, its fake searcher and the list of emitted results."""

    def __init__(self, canary=False, queue=100, tcp=False, **row):
        self.row = ServerRow("s1", "logs", "d1", "a:1", **row)
        self.service = ServiceRow("logs", canary=canary, queue=queue)
        self.tcp = tcp
        self.table = Table(1, {"logs": self.service}, {"d1": DomainRow("d1")}, {"s1": self.row})
        self.searcher = FakeSearcher(self.wall)
        self.members = FakeMembers()
        self.configuration = Latest(Configuration(self.table))
        self.rng = random.Random(5)
        self.results = []

    def wall(self):
        return UNIX_START + trio.current_time()

    def run(self, use):
        """Run `use(bench)` with a running dispatcher, on a mock clock unless TCP is used."""
        clock = None if self.tcp else MockClock(autojump_threshold=0)
        trio.run(self._main, use, clock=clock)

    async def _main(self, use):
        with trio.fail_after(TCP_HANG_LIMIT_S if self.tcp else HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                connect = await self._connector(nursery)
                self.dispatcher = Dispatcher(
                    self.configuration,
                    self.members,
                    Peers("i1"),
                    Metrics("i1"),
                    wall=self.wall,
                    rng=self.rng,
                    connect=connect,
                )
                await nursery.start(self.dispatcher.serve)
                await use(self)
                nursery.cancel_scope.cancel()

    async def _connector(self, nursery):
        if self.tcp:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self.searcher.serve, listeners)
            port = listeners[0].socket.getsockname()[1]

        async def connect(host, _):
            if self.tcp:
                return await HttpConnection.open("127.0.0.1", port)
            return await self.searcher.connect(nursery)

        return connect

    def edit(self, **changes):
        """Publish a table with a changed server row."""
        self.row = self.row._replace(**changes)
        self.table = self.table._replace(revision=self.table.revision + 1, servers={"s1": self.row})
        self.configuration.set(Configuration(self.table))

    def view(self, owned):
        """Adopt a view in which this instance owns the server or does not."""
        self.members.owned = owned
        self.members.epoch += 1

    async def warm_up(self):
        """Run queries until the ramp does not restrict the searcher."""
        for number in range(40):
            await self.dispatcher.run(self.query(f"warm-{number}", ["w"]), self.drop)

    async def drop(self, item):
        """Ignore a result."""

    def status(self):
        return self.dispatcher.searcher_statuses()[0]

    def outcomes(self):
        """Return (shard, reason) of each result; the reason of a success is `ok`."""
        return [(one.shard, one.reason or one.status) for one in self.results]

    def query(self, query_id, shards, timeout=1.0, **fields):
        deadline_ms = int((self.wall() + timeout) * 1000)
        targets = tuple(Target(shard, "s1/0") for shard in shards)
        tenant = fields.pop("tenant", "t")
        return SubQuery(
            query_id, "logs", SNAPSHOT, tenant, b'{"q":1}', deadline_ms, 1, targets, **fields
        )

    async def emit(self, item):
        self.results.extend(item.results)

    def order(self, request_id, timeout=1.0):
        deadline_ms = int((self.wall() + timeout) * 1000)
        return RunAction(request_id, "logs", "sh", "s1/0", "t", b'{"a":1}', deadline_ms, 1)
