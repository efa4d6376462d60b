"""Emulated list of live and leaving instances, in which changes become visible after a lag."""

from collections.abc import Callable
from typing import Annotated, NamedTuple
from urllib.parse import unquote, urlsplit

import msgspec
import trio

from ..http import Request, Response, json_response
from .config import InstanceListConfig
from .endpoint import Endpoint

__all__ = ["InstanceList", "ListedInstance"]

State = Annotated[str, msgspec.Meta(pattern="^(live|leaving)$")]


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the list; `instance` is the name in the path of the `PUT`."""

    address: str
    failure_domain: str
    state: State = "live"
    instance: str = ""


class PendingChange(NamedTuple):
    """A change that becomes visible at `due` on trio's clock; None removes the instance."""

    due: float
    name: str
    entry: ListedInstance | None


class InstanceList:
    """Emulated instance list; `changes` counts the accepted changes."""

    def __init__(self, config: InstanceListConfig, now: Callable[[], float]) -> None:
        self.now = now
        self.lag_ms = config.lag_ms
        self.down = False
        self.pending: list[PendingChange] = []
        self.visible: dict[str, ListedInstance] = {}
        self.changes = 0
        self.reads = 0
        self.reopened = trio.Event()
        self.endpoint = Endpoint(config.host, config.port, self._handle)

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.endpoint.address

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the port refuses connections while the service is down."""
        await self.endpoint.serve_whenever_open(lambda: self.reopened.wait(), task_status)

    def set_down(self, down: bool) -> None:
        """Reset and refuse connections, or serve again."""
        if down and not self.down:
            self.reopened = trio.Event()
            self.endpoint.shut()
        elif not down:
            self.reopened.set()
        self.down = down

    def change(self, name: str, entry: ListedInstance | None) -> None:
        """Accept a change, which becomes visible after the lag and after all earlier changes."""
        self.changes += 1
        self.pending.append(PendingChange(trio.current_time() + self.lag_ms / 1000, name, entry))

    def list(self) -> list[ListedInstance]:
        """Return the visible entries, sorted by name."""
        while self.pending and self.pending[0].due <= trio.current_time():
            self._apply(self.pending.pop(0))
        return [self.visible[name] for name in sorted(self.visible)]

    def _apply(self, change: PendingChange) -> None:
        if change.entry is None:
            self.visible.pop(change.name, None)
        else:
            self.visible[change.name] = change.entry

    async def _handle(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        name = unquote(path.removeprefix("/v1/instances").strip("/"))
        if not path.startswith("/v1/instances"):
            return json_response(404, {"code": "not_found"})
        if request.method == "GET" and not name:
            self.reads += 1
            return json_response(200, self.list())
        if request.method == "PUT" and name:
            return self._put(name, request)
        if request.method == "DELETE" and name:
            self.change(name, None)
            return Response(204)
        return json_response(405, {"code": "method_not_allowed"})

    def _put(self, name: str, request: Request) -> Response:
        try:
            entry = msgspec.json.decode(request.body, type=ListedInstance)
        except msgspec.MsgspecError as error:
            return json_response(400, {"code": "bad_request", "message": str(error)})
        self.change(name, msgspec.structs.replace(entry, instance=name))
        return Response(204)
