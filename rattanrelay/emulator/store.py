"""Emulated key-value service: versioned values, watches, leases, and faults set at run time."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Literal
from urllib.parse import unquote, urlsplit

import msgspec
import trio

from ..http import Request, Response, json_response
from ..log import event
from .config import StoreConfig
from .endpoint import Endpoint
from .gate import WHOLE_ANSWER
from .leases import Leases
from .store_calls import CallLog, StoreCall
from .store_data import ABSENT, Stored, StoreData

__all__ = ["KeyValueStore", "StoreFaults"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Active faults; the defaults mean a healthy store. Times in ms."""

    #: `refuse` closes the listener and resets connections; `hang` accepts calls without effect or
    #: answer.
    down: Literal["", "refuse", "hang"] = ""
    #: Delay before a call takes effect.
    slow_ms: float = 0.0
    #: Delay between the effect of a call and its answer.
    late_ms: float = 0.0
    #: Number of further writes that take effect without an answer; -1 for all.
    lose_answers: int = 0
    #: How an answer is lost: no bytes until the client closes the connection, or a reset.
    lose_by: Literal["silence", "reset"] = "silence"
    #: Age of the data that reads and watches return.
    stale_ms: float = 0.0
    #: Delays, lost answers and stale reads apply only to keys with this prefix.
    prefix: str = ""


class LeaseOrder(msgspec.Struct):
    """Body of `POST /v1/leases`: a name and a holder, or the id of the lease to renew."""

    ttl: float
    name: str = ""
    holder: str = ""
    lease: int = 0


class KeyValueStore:
    """Emulated key-value service; `now` returns Unix seconds."""

    def __init__(self, config: StoreConfig, now: Callable[[], float]) -> None:
        self.config = config
        self.now = now
        self.data = StoreData()
        self.leases = Leases(trio.current_time)
        self.log = CallLog()
        self.faults = StoreFaults()
        self.changed: dict[str, trio.Event] = {}
        self.faults_changed = trio.Event()
        self.endpoint = Endpoint(config.host, config.port, self._handle)
        for key, value in config.values.items():
            self.data.put(key, value.encode(), None, now())

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.endpoint.address

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the port refuses connections while `down` is `refuse`."""
        await self.endpoint.serve_whenever_open(self._wait_open, task_status)

    async def _wait_open(self) -> None:
        while self.faults.down == "refuse":
            await self.faults_changed.wait()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults and wake the calls that wait for a change of them."""
        self.faults = faults
        event("store_faults", faults=msgspec.to_builtins(faults))
        changed, self.faults_changed = self.faults_changed, trio.Event()
        changed.set()
        self.notify_watches(list(self.changed))
        if faults.down == "refuse":
            self.endpoint.shut()

    def put(self, key: str, value: bytes, expected: int | None = None) -> Stored | None:
        """Write without a counted call; returns None on a version mismatch."""
        stored = self.data.put(key, value, expected, self.now())
        self.notify_watches([key])
        return stored

    def roll_back(self, version: int, *, reuse_versions: bool = True) -> set[str]:
        """Restore the state at a version and return the keys that changed."""
        keys = self.data.roll_back(version, reuse_versions=reuse_versions)
        event("store_rolled_back", version=version, keys=sorted(keys))
        self.notify_watches(keys)
        return keys

    def read(self, key: str) -> Stored | None:
        """Return what a read returns now, which is an older value while reads are stale."""
        if self.faults.stale_ms > 0 and key.startswith(self.faults.prefix):
            return self.data.get_as_of(key, self.now() - self.faults.stale_ms / 1000)
        return self.data.get(key)

    def wait_for_change(self, key: str) -> trio.Event:
        """Return an event that is set at the next change of a key."""
        return self.changed.setdefault(key, trio.Event())

    def notify_watches(self, keys: Iterable[str]) -> None:
        """Let the watches of the given keys read them again."""
        for key in keys:
            watched_change = self.changed.pop(key, None)
            if watched_change is not None:
                watched_change.set()

    async def _handle(self, request: Request) -> Response:
        call = _Call(self, request)
        return await call.run()


Operation = Callable[["_Call"], Awaitable[Response]]

OPERATIONS: dict[tuple[str, str], tuple[str, Operation]] = {}


def operation(method: str, area: str, kind: str) -> Callable[[Operation], Operation]:
    """Register an operation for a method on `/v1/{area}`; its calls are counted as `kind`."""

    def add(function: Operation) -> Operation:
        OPERATIONS[method, area] = (kind, function)
        return function

    return add


class _Call:
    """A call from its arrival to its answer."""

    def __init__(self, store: KeyValueStore, request: Request) -> None:
        self.store = store
        self.request = request
        path = urlsplit(request.target).path
        parts = path.split("/", 3)
        self.area = parts[2] if len(parts) > 2 and parts[1] == "v1" else ""
        self.key = unquote(parts[3]) if len(parts) > 3 else request.query.get("prefix", "")
        self.applied = False
        self.version = ABSENT

    @property
    def affected(self) -> bool:
        """Whether the faults that are limited to a prefix apply to this call."""
        return self.key.startswith(self.store.faults.prefix)

    async def run(self) -> Response:
        """Count the call, apply it with the active delays and return its answer."""
        found = OPERATIONS.get((self.request.method, self.area))
        if found is None:
            return json_response(404, {"code": "not_found"})
        kind, function = found
        arrived = self.store.now()
        rate = self.store.log.record_arrival(kind, arrived)
        if self._over_limit(kind, rate):
            self.store.log.limited[kind] += 1
            return self._recorded(arrived, kind, json_response(429, {"code": "rate_limited"}))
        await self._delay_effect()
        try:
            response = await function(self)
        except (ValueError, msgspec.MsgspecError) as error:
            response = json_response(400, {"code": "bad_request", "message": str(error)})
        if self.applied and self._loses_answer():
            self._recorded(arrived, kind, Response(0))
            return await self._lose_answer(response)
        await self._delay_answer()
        return self._recorded(arrived, kind, response)

    def expected(self) -> int | None:
        """Return the version in `if_version`, or None without one."""
        text = self.request.query.get("if_version")
        return None if text is None else int(text)

    def value_response(self, stored: Stored | None) -> Response:
        """Return an answer with a value, or a 404 without one."""
        if stored is None:
            return json_response(404, {"code": "not_found"})
        self.version = stored.version
        headers = {"content-type": "application/octet-stream", "x-version": str(stored.version)}
        return Response(200, headers, stored.value)

    def _over_limit(self, kind: str, rate: int) -> bool:
        config = self.store.config
        limit = config.write_rate if kind in ("write", "lease") else config.read_rate
        return 0 < limit < rate

    async def _delay_effect(self) -> None:
        await self._wait_while_hanging()
        if self.store.faults.slow_ms > 0 and self.affected:
            await trio.sleep(self.store.faults.slow_ms / 1000)
            await self._wait_while_hanging()

    async def _delay_answer(self) -> None:
        if self.store.faults.late_ms > 0 and self.affected:
            await trio.sleep(self.store.faults.late_ms / 1000)
        await self._wait_while_hanging()

    async def _wait_while_hanging(self) -> None:
        while self.store.faults.down == "hang":
            await self.wait_unless_client_gone(self.store.faults_changed)

    async def wait_unless_client_gone(self, other: trio.Event) -> None:
        """Wait for an event.

        Raises `trio.BrokenResourceError` if the client closes the connection first.
        """
        stream = self.store.endpoint.stream_of(self.request)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_with_client, stream)
            await other.wait()
            nursery.cancel_scope.cancel()

    async def _end_with_client(self, stream) -> None:
        await stream.wait_client_gone()
        raise trio.BrokenResourceError("the client closed the connection")

    def _loses_answer(self) -> bool:
        faults = self.store.faults
        if faults.lose_answers == 0 or not self.affected:
            return False
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
        return True

    async def _lose_answer(self, response: Response) -> Response:
        stream = self.store.endpoint.stream_of(self.request)
        if self.store.faults.lose_by == "silence":
            await stream.wait_client_gone()
        stream.reset_on_close()
        stream.withheld = WHOLE_ANSWER
        return response

    def _recorded(self, arrived: float, kind: str, response: Response) -> Response:
        method = self.request.method
        call = StoreCall(
            arrived, kind, method, self.key, response.status, self.applied, self.version
        )
        self.store.log.record(call)
        return response


@operation("GET", "kv", "read")
async def read(call: _Call) -> Response:
    """Return a value."""
    return call.value_response(call.store.read(call.key))


@operation("PUT", "kv", "write")
async def write(call: _Call) -> Response:
    """Write a value if its version is as expected."""
    if len(call.request.body) > MAX_VALUE_BYTES:
        return json_response(413, {"code": "value_too_large"})
    stored = call.store.put(call.key, call.request.body, call.expected())
    if stored is None:
        return json_response(409, {"code": "version_conflict"})
    call.applied = True
    call.version = stored.version
    return json_response(200, {"version": stored.version}, {"x-version": str(stored.version)})


@operation("DELETE", "kv", "write")
async def delete(call: _Call) -> Response:
    """Remove a key if its version is as expected; a missing key is no error."""
    store = call.store
    if not store.data.delete(call.key, call.expected(), store.now()):
        return json_response(409, {"code": "version_conflict"})
    call.applied = True
    store.notify_watches([call.key])
    return Response(204)


@operation("GET", "watch", "watch")
async def watch(call: _Call) -> Response:
    """Return the value once its version differs from `after`, or a 204 at the timeout."""
    after = int(call.request.query.get("after", ABSENT))
    timeout = min(float(call.request.query.get("timeout", MAX_WATCH_S)), MAX_WATCH_S)
    store = call.store
    with trio.move_on_after(timeout):
        while True:
            changed = store.wait_for_change(call.key)
            stored = store.read(call.key)
            if (stored.version if stored else ABSENT) != after:
                return call.value_response(stored)
            await call.wait_unless_client_gone(changed)
            await trio.sleep(store.faults.stale_ms / 1000)
    return Response(204)


@operation("GET", "keys", "list")
async def list_keys(call: _Call) -> Response:
    """Return the keys with the prefix of the query string."""
    return json_response(200, call.store.data.keys(call.key))


@operation("POST", "leases", "lease")
async def lease(call: _Call) -> Response:
    """Acquire a lease `{"name", "holder", "ttl"}` or renew it `{"lease", "ttl"}`; ttl in seconds.

    The answer is 409 while another holder has the lease, and 404 when the lease to renew expired.
    """
    order = msgspec.json.decode(call.request.body, type=LeaseOrder)
    leases = call.store.leases
    if order.lease:
        granted = leases.renew(order.lease, order.ttl)
    else:
        granted = leases.acquire(order.name, order.holder, order.ttl)
    if granted is None:
        return json_response(404 if order.lease else 409, {"code": "lease_not_held"})
    call.applied = True
    return json_response(200, {"lease": granted.id, "name": granted.name, "ttl": order.ttl})
