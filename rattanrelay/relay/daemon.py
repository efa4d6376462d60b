"""One relay instance: its listeners, request handling, planned stop and metrics."""

import math
import random
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from ..decide.access import Access
from ..decide.canary import SharedEntry
from ..decide.intake import QUEUED_BUFFER_BYTES, IntakeLimits, Lane, derive_limits
from ..decide.refusal import NOT_READY, QUARANTINED, STOPPING, UNVERIFIED_KEY, refusal
from ..decide.timing import can_finish, response_due_at
from ..errors import RelayError
from ..http import HttpConnection, HttpLimits, Request, Response, serve_http
from ..http.intake import Account, Share
from ..http.plain import PlainStream
from ..log import BoundedSink, event, traceback
from ..wire import GatherShards, Handlers, serve_peers
from ..wire.link import Emit, PeerLink
from .access import CallerAccess
from .admission import Admission
from .background import Background
from .deployment import Bounds, DeploymentState
from .front import Arrival, ClientConnection
from .metrics import RelayMetrics
from .model import ClientLimits, HeaderNames, Route
from .peers import Peers
from .permits import Permits
from .quarantine import Quarantine
from .quotas import Quotas
from .scatter import RETURN_MARGIN_S, DelegatedScatter, Scatter, refusal_response
from .searchers import HOP_HEADERS, SubRequest

__all__ = ["Feed", "Listen", "RelayDaemon", "RelaySettings"]

#: Length of the queue and size of receive buffers on the listeners for readiness and metrics. The
#: kernel holds what connections send before they are accepted, and their requests are small.
CHECK_BACKLOG = 64
CHECK_BUFFER_BYTES = 16 * 1024
#: Share of the stop's grace period after which new requests are refused.
ACCEPT_SHARE = 0.75
#: Share of the stop's grace period after which unfinished requests are cancelled.
CANCEL_SHARE = 0.93
#: Time in seconds in which the balancer notices a stop: it checks each second and removes an
#: instance after two failed checks.
BALANCER_NOTICE_S = 2.2
#: Time in seconds without a request after which no more are expected.
QUIET_S = 0.7
#: Connections accepted per iteration of the event loop. The kernel holds up to 64 KB for each that
#: waits to be accepted.
ACCEPTS_PER_TURN = 64
#: Polling period during a stop, and time for sending the last responses, in seconds.
DRAIN_POLL_S = 0.05
LAST_RESPONSES_S = 0.05
#: Period in seconds of removing missing searchers and expired connections, and pause after a failed
#: accept.
MAINTENANCE_PERIOD_S = 0.2
#: Period in seconds of opening connections in advance.
PRECONNECT_PERIOD_S = 0.25
#: Connections opened in advance per period, and the time between two in seconds; each occupies a
#: slot of its searcher for some milliseconds.
PRECONNECTS_PER_PERIOD = 50
PRECONNECT_GAP_S = 0.01
#: Period in seconds of checking the settings file for changes.
SETTINGS_POLL_S = 1.0
#: Deadline in seconds of a request that states none.
DEFAULT_DEADLINE_S = 60.0
#: Limits of the listeners for readiness and metrics, whose requests have no bodies.
CHECK_LIMITS = HttpLimits(max_body=16 * 1024)


class Listen(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


class RelaySettings(NamedTuple):
    """Settings of one instance; times in seconds."""

    instance: str
    domain: str
    clients: Listen
    ready: Listen
    metrics: Listen | None
    #: Listener for the other instances.
    peers: Listen
    store: Listen
    bounds: Bounds
    #: Whether the whole fleet starts for the first time.
    first_start: bool = False
    #: Speed of the processor that this process may use, in cores.
    cores: float = 1.0
    #: Limits of what others send to this process and of its connections.
    intake: IntakeLimits = derive_limits()
    #: Whether each choice of a searcher that tells its load is logged.
    log_choices: bool = False


class Feed(Protocol):
    """Source of the configuration, the searchers and the list of instances."""

    calls: dict[str, int]
    #: Seconds in which changes of searchers may have been missed; 0 before the first list.
    searchers_unknown_for: float
    #: Name of the instance that reads the store for this one, empty if there is none.
    reader: str

    def serve(self, handlers: Handlers) -> None:
        """Register handlers for messages of other instances."""

    async def run(self, deployment: DeploymentState, peers: Peers) -> None:
        """Keep the deployment state and the list of instances up to date until cancelled."""

    async def leave(self) -> None:
        """Remove this instance from the list; errors are logged."""

    async def save_quarantine(self, entry: SharedEntry) -> None:
        """Keep a quarantine for instances that start; errors are logged."""

    async def quarantines(self) -> list[SharedEntry]:
        """Return the quarantines that are kept; raises `RelayError`."""


class RelayDaemon:
    """All tasks of one instance; implements `FrontPort`."""

    def __init__(
        self,
        settings: RelaySettings,
        names: HeaderNames,
        feed: Feed,
        *,
        reload: Callable[[], RelaySettings] | None = None,
        changed: Callable[[], bool] = lambda: False,
        sink: BoundedSink | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.names = names
        self.feed = feed
        self.reload = reload
        self.settings_changed = changed
        self.sink = sink
        self.rng = rng or random.Random()
        self.metrics = RelayMetrics(settings.instance)
        self.deployment = DeploymentState(
            settings.instance, settings.domain, names, settings.bounds
        )
        self.deployment.cores = settings.cores
        self.deployment.log_choices = settings.log_choices
        self.peers = Peers(self.deployment, self.rng)
        self.quarantine = Quarantine(self.deployment, self.peers, feed, self.rng)
        self.permits = Permits(self.deployment, self.peers, self.rng)
        self.access = CallerAccess(self.deployment, self.peers, self.rng, lambda: feed.reader)
        self.quotas = Quotas(
            self.deployment, self.peers, self.metrics, first_start=settings.first_start
        )
        self.admission = Admission(self.deployment, self.metrics, self.rng, lambda: self.cut_at)
        self.handlers = Handlers()
        self.handlers.on_stream(GatherShards)(self.gather)
        self.feed.serve(self.handlers)
        self.account = Account(settings.intake)
        self._apply_intake(settings.intake)
        self.connections: set[ClientConnection] = set()
        self.handler = self.handle
        self.stopping = False
        #: Whether new requests are refused.
        self.refusing = False
        #: Time at which the stop cuts off unfinished requests.
        self.cut_at = math.inf
        self.background: Background | None = None
        #: Requests of clients and other instances that are being served.
        self.requests_in_flight = 0
        #: Time at which the last request arrived.
        self.last_request = 0.0
        #: Cancel scopes of the requests of clients in flight.
        self.request_scopes: set[trio.CancelScope] = set()
        self._stop_requested = trio.Event()

    @property
    def closing(self) -> bool:
        """Whether each response closes its connection."""
        return self.stopping

    @property
    def limits(self) -> ClientLimits:
        """Limits of client connections."""
        catalog = self.deployment.catalog
        return ClientLimits() if catalog is None else catalog.limits

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called, then finish or cancel the requests in flight."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self.background = self.admission.background = Background(nursery)
            queued = settings.intake.queued
            clients = await _listen(settings.clients, queued, QUEUED_BUFFER_BYTES)
            nursery.start_soon(self._accept, clients)
            ready = await _listen(settings.ready, CHECK_BACKLOG, CHECK_BUFFER_BYTES)
            nursery.start_soon(self._serve_checks, self._answer_ready, ready, Lane.READINESS)
            if settings.metrics is not None:
                metrics_listener = await _listen(
                    settings.metrics, CHECK_BACKLOG, CHECK_BUFFER_BYTES
                )
                nursery.start_soon(
                    self._serve_checks, self._answer_metrics, metrics_listener, Lane.METRICS
                )
            peer_listener = trio.SocketListener(
                await _listen(settings.peers, queued, QUEUED_BUFFER_BYTES)
            )
            nursery.start_soon(serve_peers, self.handlers, [peer_listener], self.account)
            self.peers.start(self.background, self.handlers)
            self.quarantine.start(self.background, self.handlers)
            self.permits.start(self.background, self.handlers)
            self.access.start(self.background, self.handlers)
            self.quotas.start(self.background, self.handlers)
            nursery.start_soon(self.feed.run, self.deployment, self.peers)
            self.background.repeat(self.deployment.connections.run)
            self.background.repeat(self._remove_expired)
            self.background.repeat(self._preconnect)
            self.background.repeat(self._watch_settings)
            clients_at = "{}:{}".format(*settings.clients)
            event("instance.started", domain=settings.domain, clients=clients_at)
            task_status.started()
            await self._stop_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        event("instance.stopped", unfinished=self.requests_in_flight)

    def stop(self, cause: str) -> None:
        """Begin the planned stop."""
        event("instance.stopping", cause=cause)
        self._stop_requested.set()

    def reload_settings(self, cause: str) -> None:
        """Read the settings again; invalid ones are logged and leave the current ones in force."""
        if self.reload is None:
            return
        try:
            settings = self.reload()
        except RelayError as error:
            event("settings.rejected", cause=cause, reason=str(error))
            return
        self.settings = settings
        self.deployment.bounds = settings.bounds
        self.deployment.cores = settings.cores
        self._apply_intake(settings.intake)
        self.deployment.log_choices = settings.log_choices
        event("settings.reloaded", cause=cause)

    def _apply_intake(self, limits: IntakeLimits) -> None:
        self.account.intake.limits = limits
        self.deployment.all_connections.limit = limits.searchers
        HttpConnection.memory.limit = limits.responses
        PlainStream.send_buffer = limits.send_buffer
        PeerLink.frames.limit = limits.frames

    async def handle(self, request: Request, arrival: Arrival) -> Response:
        """Answer one request of a client."""
        self.requests_in_flight += 1
        self.last_request = arrival.at
        try:
            return await self._serve(request, arrival)
        except Exception as error:
            request_id = request.headers.get(self.names.request_id, "")
            event("request.failed", request=request_id, reason=traceback(error))
            return refusal_response(
                refusal("internal", may_have_run=True), request_id, self.deployment
            )
        finally:
            self.requests_in_flight -= 1

    async def _serve(self, request: Request, arrival: Arrival) -> Response:
        arrived = arrival.at
        names = self.names
        request_id = request.headers.get(names.request_id, "")
        deployment = self.deployment
        if not deployment.complete:
            return self._refuse(request_id, "", NOT_READY, arrived)
        catalog = deployment.catalog
        path = request.target.partition("?")[0]
        host = request.headers.get("host", "").partition(":")[0].lower()
        route = catalog.route(host, path)
        if route is None:
            self._log_request(request_id, "", 404, "no_route", arrived, version=catalog.version)
            return Response(404, {names.request_id: request_id} if request_id else {}, b"")
        caller = self.access.identify(
            request.headers.get(names.api_key, ""), route, trio.current_time()
        )
        if caller.access is Access.UNVERIFIED:
            return self._refuse(request_id, route.name, UNVERIFIED_KEY, arrived)
        if caller.access is Access.UNKNOWN:
            return self._reject_key(request_id, route.name, arrived)
        median = deployment.latency(route).median
        if self.refusing or not can_finish(arrived, self.cut_at, median):
            return self._refuse(request_id, route.name, STOPPING, arrived)
        remaining = min(self._deadline(request), route.timeout)
        sub = SubRequest(
            request_id,
            request.method,
            request.target,
            self.access.forwarded(self._forwarded(request.headers), caller),
            request.body,
            arrived + max(remaining - RETURN_MARGIN_S, 0.5 * remaining),
            route.idempotent,
        )
        quarantined = self.quarantine.time_left(sub)
        if quarantined:
            return self._refuse(request_id, route.name, QUARANTINED, arrived, quarantined)
        permit = await self.quotas.admit(caller.workspace)
        if not permit.admitted:
            return self._refuse(
                request_id,
                route.name,
                permit.reason,
                arrived,
                permit.retry_after,
                workspace=caller.workspace.name,
            )
        scatter = Scatter(
            deployment,
            self.peers,
            self.quarantine,
            self.metrics,
            self.background,
            self.rng,
            route,
            sub,
            arrived,
        )
        scatter.soft_deadline = response_due_at(
            arrived,
            route.target,
            arrival.round_trip,
            new=arrival.new,
            lag=deployment.lag.quantile,
            cores=deployment.cores,
        )
        ticket = await self.admission.enter(request_id, route, caller.workspace, sub.deadline)
        if ticket.refusal is not None:
            if caller.workspace is not None:
                self.quotas.refund(caller.workspace, permit)
            _, reason, retry_after = ticket.refusal
            return self._refuse(request_id, route.name, reason, arrived, retry_after)
        status, outcome = 0, "client_left"
        scope = trio.CancelScope()
        self.request_scopes.add(scope)
        try:
            response = None
            with scope:
                response = await scatter.run()
            if response is None:
                response = refusal_response(scatter.refusal(STOPPING), request_id, deployment)
                outcome = STOPPING
            else:
                outcome = scatter.summary.reason or "answered"
            status = response.status
        finally:
            self.request_scopes.discard(scope)
            self.admission.leave(ticket, answered=outcome == "answered")
            summary = scatter.summary
            if caller.workspace is not None and status == 503 and not summary.sent:
                self.quotas.refund(caller.workspace, permit)
            details = {}
            if summary.missing and (status != 200 or route.shards):
                details["missing"] = summary.missing
            self._log_request(
                request_id,
                route.name,
                status,
                outcome,
                arrived,
                version=catalog.version,
                sent=summary.sent,
                hedges=summary.hedges,
                retries=summary.retries,
                workspace=caller.workspace.name if caller.workspace else None,
                store="up" if deployment.store_available_since is not None else "away",
                state_age_ms=self._state_age_ms(),
                **details,
            )
        return response

    async def gather(self, message: GatherShards, emit: Emit) -> None:
        """Gather some shards of a request for another instance."""
        if self.refusing:
            raise RelayError("stopping", "this instance refuses new requests", step="gather")
        if not self.deployment.complete:
            raise RelayError("store_unavailable", "this instance is starting", step="gather")
        started = trio.current_time()
        deadline = message.deadline_us / 1e6
        route = Route(
            name=message.kind,
            host="",
            prefix="",
            idempotent=True,
            timeout=deadline,
            target=message.target_us / 1e6,
            priority=0,
            attempts=message.attempts,
            shards=message.shards,
            top_k=message.top_k,
        )
        sub = SubRequest(
            message.request_id,
            message.method,
            message.target,
            {field.name: field.value for field in message.headers},
            message.body,
            started + deadline,
            True,
        )
        scatter = DelegatedScatter(
            self.deployment,
            self.peers,
            self.quarantine,
            self.metrics,
            self.background,
            self.rng,
            route,
            sub,
            started,
            marks=message.marks,
            first_at=started + message.first_us / 1e6,
            answer_at=started + message.answer_us / 1e6,
            emit=emit,
        )
        self.requests_in_flight += 1
        work = self.admission.begin_gather(len(route.shards))
        try:
            await scatter.gather()
        finally:
            self.requests_in_flight -= 1
            self.admission.end_gather(len(route.shards), work)
            summary = scatter.summary
            event(
                "gather",
                request=message.request_id,
                route=message.kind,
                shards=len(message.shards),
                ms=round((trio.current_time() - started) * 1000, 1),
                sent=summary.sent,
                hedges=summary.hedges,
                retries=summary.retries,
                state_age_ms=self._state_age_ms(),
                missing=summary.missing,
            )

    def _state_age_ms(self) -> int:
        """Return in milliseconds how old the state of the searchers is that requests use."""
        return round(self.feed.searchers_unknown_for * 1000)

    def _refuse(
        self,
        request_id: str,
        route: str,
        reason: str,
        arrived: float,
        retry_after: float = 0.0,
        **inputs,
    ) -> Response:
        refused = refusal(reason, may_have_run=False)
        if retry_after:
            refused = refused._replace(retry_after=retry_after)
        catalog = self.deployment.catalog
        version = None if catalog is None else catalog.version
        self._log_request(
            request_id, route, refused.status, reason, arrived, version=version, **inputs
        )
        return refusal_response(refused, request_id, self.deployment)

    def _reject_key(self, request_id: str, route: str, arrived: float) -> Response:
        version = self.deployment.catalog.version
        outcome = Access.UNKNOWN.value
        self._log_request(request_id, route, 401, outcome, arrived, version=version)
        headers = {"www-authenticate": self.names.api_key}
        return Response(401, headers | ({self.names.request_id: request_id} if request_id else {}))

    def _log_request(
        self, request_id: str, route: str, status: int, outcome: str, arrived: float, **inputs
    ) -> None:
        seconds = trio.current_time() - arrived
        reason = outcome.partition(":")[0]
        self.metrics.requests.inc({"route": route, "status": str(status), "reason": reason})
        self.metrics.latency.observe({"route": route, "status": str(status)}, seconds)
        if inputs.get("workspace"):
            self.metrics.count_workspace(inputs["workspace"], reason)
        event(
            "request",
            request=request_id,
            route=route,
            status=status,
            outcome=outcome,
            ms=round(seconds * 1000, 1),
            **inputs,
        )

    def _deadline(self, request: Request) -> float:
        stated = request.headers.get(self.names.deadline_ms, "")
        try:
            return max(0.0, float(stated) / 1000.0)
        except ValueError:
            return DEFAULT_DEADLINE_S

    def _forwarded(self, headers: dict[str, str]) -> dict[str, str]:
        listed = headers.get("connection", "").lower()
        dropped = {token.strip() for token in listed.split(",")} | HOP_HEADERS
        dropped |= {"expect", self.names.expected_searcher}
        return {name: value for name, value in headers.items() if name not in dropped}

    async def _accept(self, listener: trio.socket.SocketType) -> None:
        with socket.socket(fileno=listener.detach()) as sock:
            sock.setblocking(False)
            while True:
                await trio.lowlevel.wait_readable(sock)
                try:
                    self._accept_some(sock)
                except OSError as error:
                    event("client.accept_failed", reason=str(error))
                    await trio.sleep(MAINTENANCE_PERIOD_S)

    def _accept_some(self, sock: socket.socket) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, address = sock.accept()
            except BlockingIOError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = ClientConnection(PlainStream(accepted), self)
            # Counted before the next one is accepted, so that those that give way are closed.
            share = self.account.open(Lane.CLIENTS, address[0], connection.abandon)
            if share is None:
                connection.stream.close()
                continue
            share.set_buffers(accepted)
            self.connections.add(connection)
            self.background.start_soon(self._connection, connection, share)

    async def _connection(self, connection: ClientConnection, share: Share) -> None:
        try:
            await connection.run(share)
        except Exception as error:
            event("client.connection_failed", reason=repr(error))
        finally:
            self.connections.discard(connection)

    async def _serve_checks(self, handler, listener: trio.socket.SocketType, lane: Lane) -> None:
        await serve_http(
            handler,
            [trio.SocketListener(listener)],
            limits=CHECK_LIMITS,
            account=self.account,
            lane=lane,
        )

    async def _answer_ready(self, request: Request) -> Response:
        ready = self.deployment.complete and not self.stopping
        return Response(200 if ready else 503)

    async def _answer_metrics(self, request: Request) -> Response:
        deployment, metrics = self.deployment, self.metrics
        metrics.version.set({}, deployment.catalog.version if deployment.catalog else 0)
        metrics.searchers.set({}, len(deployment.searchers))
        metrics.store_up.set({}, int(deployment.store_available_since is not None))
        metrics.state_age.set({}, self.feed.searchers_unknown_for)
        metrics.log_dropped.set({}, self.sink.dropped if self.sink else 0)
        for part, ages in deployment.limit_ages(trio.current_time()).items():
            labels = {"part": "own" if part else "none"}
            metrics.limited_searchers.set(labels, len(ages))
            metrics.limit_age.set(labels, max(ages, default=0.0))
        metrics.admission_waiting.set({}, self.admission.room.waiting)
        metrics.unfinished_bytes.set({}, HttpConnection.memory.total)
        metrics.responses_abandoned.set({}, HttpConnection.memory.abandoned)
        metrics.update_intake(self.account)
        metrics.complete_bytes.set({}, HttpConnection.memory.complete)
        to_searchers = deployment.all_connections
        metrics.searcher_connections.set({"kind": "open"}, to_searchers.open)
        metrics.searcher_connections.set({"kind": "limit"}, to_searchers.limit)
        metrics.show_placement(deployment.told_loads, deployment.costs, trio.current_time())
        for task, count in self.background.failed.items():
            metrics.tasks_failed.set({"task": task}, count)
        metrics.quota_workspaces.set({"role": "owner"}, len(self.quotas.owned))
        metrics.quota_workspaces.set({"role": "voter"}, len(self.quotas.lent))
        for kind, calls in self.feed.calls.items():
            metrics.store_calls.set({"kind": kind}, calls)
        content, headers = metrics.text()
        return Response(200, headers, content)

    async def _remove_expired(self) -> None:
        while True:
            await trio.sleep(MAINTENANCE_PERIOD_S)
            self.deployment.remove_expired(trio.current_time())

    async def _preconnect(self) -> None:
        """Open connections to searchers in advance, a few in each period."""
        while True:
            await trio.sleep(PRECONNECT_PERIOD_S)
            if self.stopping or not self.deployment.complete:
                continue
            now = trio.current_time()
            self.deployment.update_own_shards(now)
            unconnected = self.deployment.to_preconnect(now)
            for searcher in self.rng.sample(
                unconnected, min(len(unconnected), PRECONNECTS_PER_PERIOD)
            ):
                searcher.preconnected = True
                self.background.start_soon(searcher.preconnect)
                await trio.sleep(PRECONNECT_GAP_S)

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(SETTINGS_POLL_S)
            if self.settings_changed():
                self.reload_settings("file changed")

    async def _drain(self) -> None:
        """Fail the balancer's checks, refuse new requests, then cancel those still in flight."""
        started = trio.current_time()
        grace = self.settings.bounds.stop_grace
        self.stopping = True
        self.cut_at = started + CANCEL_SHARE * grace
        self.background.start_soon(self.feed.leave)
        self.quotas.leave()
        await self._wait_until_quiet(started, started + ACCEPT_SHARE * grace)
        self.refusing = True
        self.admission.refuse_waiting()
        for connection in list(self.connections):
            connection.close_if_idle()
        event(
            "instance.refusing", running=self.requests_in_flight, connections=len(self.connections)
        )
        with trio.move_on_at(self.cut_at):
            while self.requests_in_flight or self.connections:
                await trio.sleep(DRAIN_POLL_S)
                for connection in list(self.connections):
                    connection.close_if_idle()
        for scope in self.request_scopes:
            scope.cancel()
        # Leave time for sending the last responses before the sockets close.
        await trio.sleep(LAST_RESPONSES_S)

    async def _wait_until_quiet(self, started: float, latest: float) -> None:
        """Wait until the balancer sends no more requests, at most until `latest`."""
        while (now := trio.current_time()) < latest:
            since = now - max(self.last_request, started)
            if (
                now >= started + BALANCER_NOTICE_S
                and since >= QUIET_S
                and not self.requests_in_flight
            ):
                return
            await trio.sleep(DRAIN_POLL_S)


async def _listen(address: Listen, backlog: int, buffer: int) -> trio.socket.SocketType:
    """Listen on an address; `buffer` is the size of the receive buffers until others are set."""
    listener = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await listener.bind((address.host, address.port))
    listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, buffer)
    listener.listen(backlog)
    return listener
