"""The daemon of an instance: opens its sockets, starts its tasks and stops them in order."""

import ipaddress
import random
import socket
import ssl
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import trio
import uuid6

from ..decide.intake import MB, QUEUED_BUFFER_BYTES, Lane, derive_limits
from ..http import HttpConnection, HttpLimits, serve_http
from ..http.intake import Account
from ..http.plain import PlainStream
from ..log import event
from ..metrics import Metrics
from ..settings import Address, Settings
from ..store import StoreClient
from ..wire import Handlers, PeerLink, serve_peers
from .admin import Admin
from .callers import CallerApi
from .claims import Claims
from .dispatch import Dispatcher
from .documents import Documents
from .drain import Drain
from .entry import Entry
from .instances import InstanceList
from .members import Members
from .peers import Peers
from .ports import Member
from .report import Report

__all__ = ["Addresses", "Daemon"]

ADMIN_BODY_BYTES = 4 * 1024 * 1024
BACKLOG = 512
INCARNATION_DIGITS = 12


class Addresses(NamedTuple):
    """Addresses of the listeners, as `host:port`."""

    callers: str
    peers: str
    admin: str


class Daemon:
    """All tasks of one instance; implements `DrainPort`. Create it inside a trio run."""

    def __init__(self, settings: Settings, *, rng: random.Random | None = None) -> None:
        self.settings = settings
        self.rng = rng or random.Random()
        # Heartbeats carry the incarnation, so it is short; the last digits of the UUID are random.
        self.incarnation = uuid6.uuid7().hex[-INCARNATION_DIGITS:]
        self.metrics = Metrics(settings.instance)
        self.handlers = Handlers()
        intake = derive_limits(settings.memory_mb * MB, settings.max_fds)
        self.account = Account(intake)
        HttpConnection.memory.limit = intake.responses
        PlainStream.send_buffer = intake.send_buffer
        PeerLink.frames.limit = intake.frames
        self.addresses: Addresses | None = None
        self.peer_listeners: list[trio.SocketListener] = []
        self._stop = trio.Event()
        self._callers_stopping = trio.Event()
        self._callers_ended = trio.Event()
        self.balancer_grace = settings.balancer_grace
        self.drain = Drain(
            settings.instance, self, self.metrics, stop_timeout=settings.stop_timeout
        )

    def stop(self) -> None:
        """Begin a graceful shutdown; `run` returns when it has ended."""
        self._stop.set()

    def cut_short(self) -> None:
        """End a graceful shutdown before its phases have completed."""
        self.drain.cut_short()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called or the task is cancelled; `started` receives `Addresses`."""
        listeners = await self._listen()
        self._build()
        async with trio.open_nursery() as nursery:
            for task in self._tasks():
                await nursery.start(task)
            nursery.start_soon(serve_peers, self.handlers, listeners["peers"], self.account)
            nursery.start_soon(self._serve_callers, self._secured(listeners["callers"]))
            nursery.start_soon(self._serve_admin, listeners["admin"])
            event("daemon.started", **self.addresses._asdict(), incarnation=self.incarnation)
            task_status.started(self.addresses)
            await self._stop.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()
        event("daemon.stopped")

    # Start.

    async def _listen(self) -> dict[str, list[trio.SocketListener]]:
        settings = self.settings
        wanted = {"callers": settings.callers, "peers": settings.peers, "admin": settings.admin}
        queued = self.account.intake.limits.queued
        listeners = {name: await _open(address, queued) for name, address in wanted.items()}
        ports = {name: _address(wanted[name], opened) for name, opened in listeners.items()}
        self.addresses = Addresses(**ports)
        self.peer_listeners = listeners["peers"]
        return listeners

    def _unchecked_reason(self) -> str:
        """Return the reason why the table may be outdated, empty if it was checked."""
        return "" if self.documents.ready else "the table is not compared with the peers yet"

    def _advertised(self) -> str:
        """Return the peer address that the other instances use."""
        chosen = self.settings.advertise
        return f"{chosen.host}:{chosen.port}" if chosen else self.addresses.peers

    def _build(self) -> None:
        settings = self.settings
        name = settings.instance
        self.store = StoreClient(settings.store.host, settings.store.port)
        self.peers = Peers(name, _source(self.peer_listeners))
        listed = InstanceList(settings.instance_list.host, settings.instance_list.port)

        async def contacts() -> list[Member]:
            return [contact.as_member() for contact in await listed.contacts()]

        self.members = Members(
            name,
            self.incarnation,
            self._advertised(),
            settings.failure_domain,
            settings.cell,
            self.store,
            self.peers,
            digest=lambda: self.documents.digest(),
            on_digest=lambda *report: self.documents.record_digest(*report),
            unreleased_servers=lambda: self.dispatch.unreleased_servers(),
            blocked=lambda: self.dispatch.blocked(),
            on_blocked=lambda entries: self.dispatch.merge_blocked(entries),
            contacts=contacts,
            rng=self.rng,
        )
        self.documents = Documents(self.store, self.peers, self.members, self.rng)
        configuration = self.documents.configuration
        self.dispatch = Dispatcher(
            configuration, self.members, self.peers, self.metrics, rng=self.rng
        )
        self.claims = Claims(
            configuration, self.members, self.peers, self.store, self.dispatch, instance=name
        )
        self.entry = Entry(
            configuration,
            self.members,
            self.peers,
            self.dispatch,
            self.claims,
            self.metrics,
            instance=name,
            rng=self.rng,
        )
        self.callers = CallerApi(self.entry, self.metrics, ready=self._unchecked_reason)
        self.report = Report(self)
        self.admin = Admin(settings, self.documents, self.members, self.report.status, self.metrics)
        for task in (self.members, self.documents, self.dispatch, self.claims):
            task.register(self.handlers)

    def _tasks(self) -> list[Callable]:
        tasks = [self.peers, self.documents, self.members, self.dispatch, self.claims]
        return [task.serve for task in (*tasks, self.report, self.admin)]

    def _secured(self, listeners: list[trio.SocketListener]) -> list[trio.abc.Listener]:
        """Wrap the caller listeners in TLS if the settings name a certificate."""
        tls = self.settings.tls
        if tls is None:
            return listeners
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate, tls.key)
        return [trio.SSLListener(one, context, https_compatible=True) for one in listeners]

    async def _serve_callers(self, listeners: list[trio.abc.Listener]) -> None:
        limits = HttpLimits(
            max_body=self.settings.max_body, request_timeout=self.settings.request_timeout
        )
        serve = partial(
            serve_http, limits=limits, stopping=self._callers_stopping, account=self.account
        )
        await serve(self.callers.handle, listeners)
        self._callers_ended.set()

    async def _serve_admin(self, listeners: list[trio.SocketListener]) -> None:
        limits = HttpLimits(max_body=ADMIN_BODY_BYTES)
        await serve_http(
            self.admin.handle, listeners, limits=limits, account=self.account, lane=Lane.METRICS
        )

    # Stop.

    async def _shut_down(self) -> None:
        """Accept no new work, finish that in flight and hand over, within `stop_timeout`."""
        event("daemon.stopping")
        await self.drain.run()
        event(
            "daemon.drained",
            complete=self.drain.complete,
            unfinished=self.drain.unfinished(),
            outcomes_not_stored=self.claims.pending_writes,
        )

    def stop_ready(self) -> None:
        """Report not ready from now on."""
        self.callers.stop()

    async def finish_requests(self) -> None:
        """Accept no new requests of callers; return when all have been answered."""
        self._callers_stopping.set()
        await self._callers_ended.wait()

    async def leave_view(self) -> None:
        """Leave the view; return when this instance is not in it."""
        await self.members.leave_view()

    async def hand_over(self) -> None:
        """Return when the members know that no work is left here."""
        await self.members.hand_over()

    async def flush_claims(self) -> None:
        """Write the outcomes of claims; return when the store has all of them.

        Once this instance has left the view, the others coordinate new requests themselves.
        """
        await self.claims.drain()

    def store_down(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.store.failing


async def _open(address: Address, queued: int) -> list[trio.SocketListener]:
    backlog = min(BACKLOG, queued)
    listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=backlog)
    for listener in listeners:
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUED_BUFFER_BYTES)
    return listeners


def _source(listeners: list[trio.SocketListener]) -> str | None:
    """Return the IP address of the peer listener, None if it listens on all addresses."""
    host = listeners[0].socket.getsockname()[0]
    return None if ipaddress.ip_address(host).is_unspecified else host


def _address(address: Address, listeners: list[trio.SocketListener]) -> str:
    port = listeners[0].socket.getsockname()[1]
    return f"{address.host}:{port}"
