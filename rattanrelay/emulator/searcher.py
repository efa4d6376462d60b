"""An emulated searcher: its lifecycle, its listener and the routes of the Backend API."""

import os
import random
from collections.abc import Awaitable, Callable

import trio

from ..http import Request, Response, json_response
from ..log import event
from .config import ServerConfig
from .endpoint import Endpoint
from .faults import SearcherFaults
from .journal import Journal, Violation
from .reports import Reports
from .warmth import Warmth
from .work import Work

__all__ = ["Searcher"]

Route = Callable[["Searcher", Request], Awaitable[Response]]

ROUTES: dict[tuple[str, str], Route] = {}


def route(method: str, path: str) -> Callable[[Route], Route]:
    """Register a route of the Backend API."""

    def add(function: Route) -> Route:
        ROUTES[method, path] = function
        return function

    return add


class Searcher:
    """A searcher with its own port; `now` returns Unix seconds.

    `holdings` maps each snapshot that the searcher holds to the names of its shards.
    """

    def __init__(
        self, name: str, server: ServerConfig, index: int, now: Callable[[], float]
    ) -> None:
        self.name = name
        self.server = server
        self.now = now
        self.endpoint = Endpoint(
            server.host,
            server.ports[index],
            self._handle,
            connect_ms=server.connect_ms,
            observer=self,
        )
        self.rng = random.Random(f"{server.seed}/{name}")
        self.journal = Journal()
        self.faults = SearcherFaults()
        held = server.holdings.get(str(index), {})
        self.holdings = {snapshot: set(shards) for snapshot, shards in held.items()}
        self.leaving = False
        self.leaving_since: float | None = None
        self.boots = 0
        self.boot_id = ""
        self.down_until: float | None = None
        self.crashes: list[float] = []
        self.warmth = Warmth(server, cold=server.starts_cold)
        self.work = Work(self)
        self.reports = Reports(self)

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.endpoint.address

    @property
    def state(self) -> str:
        """Actual state: `down`, `leaving`, `cold` or `warm`."""
        if self.down_until is not None:
            return "down"
        if self.leaving:
            return "leaving"
        return "cold" if self.warmth.is_cold() else "warm"

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; after a crash the searcher stays down and then boots cold."""
        try:
            await self._boot(task_status)
            while True:
                await trio.sleep_until(self.down_until)
                self.down_until = None
                self.warmth = Warmth(self.server, cold=True)
                await self._boot(trio.TASK_STATUS_IGNORED)
        finally:
            self.endpoint.release()

    def crash(self, down_ms: float | None = None) -> None:
        """Reset all connections and refuse new ones for `down_ms`, as a crashed process does."""
        if self.down_until is not None:
            return
        down = self.server.crash_down_ms if down_ms is None else down_ms
        self.down_until = trio.current_time() + down / 1000
        self.crashes.append(self.now())
        event("searcher_crashed", searcher=self.name, boot=self.boot_id, down_ms=down)
        self.endpoint.shut()

    def leave(self) -> None:
        """Start to leave: new work is refused, and work in flight completes normally."""
        if not self.leaving:
            self.leaving = True
            self.leaving_since = self.now()

    def return_to_service(self) -> None:
        """Accept work again after leaving; the searcher is cold."""
        self.leaving = False
        self.leaving_since = None
        self.warmth = Warmth(self.server, cold=True)

    def become_cold(self) -> None:
        """Become cold without a new boot id and without reporting it."""
        self.warmth = Warmth(self.server, cold=True, announced=False)

    def admit(self) -> bool:
        """Return whether a new connection is accepted, and count it.

        A connection above the limit is recorded as a violation.
        """
        limit = self.server.connections
        if self.journal.connections >= limit:
            self.endpoint.drop_closed()
        reached = self.journal.connections + 1
        if reached > limit:
            self.journal.record_violation(Violation(self.now(), "connections", "", reached, limit))
            return False
        self.journal.record_connection(self.now())
        return True

    def connection_ended(self) -> None:
        """Count the end of a connection."""
        self.journal.record_disconnection()

    async def _boot(self, task_status) -> None:
        self.boots += 1
        self.boot_id = f"{self.name}.{self.boots}.{os.urandom(4).hex()}"
        await self.endpoint.serve_until_shut(task_status)
        self.work.record_crashed_runs()

    async def _handle(self, request: Request) -> Response:
        handler = ROUTES.get((request.method, request.path))
        if handler is None:
            return json_response(404, {"code": "not_found"}, self.reports.headers())
        return await handler(self, request)


@route("POST", "/search")
async def search(searcher: Searcher, request: Request) -> Response:
    """Answer a query for one shard of one snapshot."""
    return await searcher.work.serve("search", request)


@route("POST", "/action")
async def action(searcher: Searcher, request: Request) -> Response:
    """Run a non-idempotent request."""
    return await searcher.work.serve("action", request)


@route("POST", "/cancel")
async def cancel(searcher: Searcher, request: Request) -> Response:
    """Cancel the runs of a request id and answer with their number."""
    return searcher.work.cancel(request)


@route("GET", "/status")
async def status(searcher: Searcher, request: Request) -> Response:
    """Return the reported state and load and the snapshots held."""
    return json_response(200, searcher.reports.status(), searcher.reports.headers())
