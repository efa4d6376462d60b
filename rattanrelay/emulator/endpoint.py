"""An HTTP listener that can reset all connections, refuse new ones and open again on its port."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from ..http import HttpLimits, Request, Response, serve_http
from .addresses import PortReservation
from .gate import GatedListener, GatedStream

__all__ = ["ConnectionObserver", "Endpoint"]

#: Long enough that only the client closes idle connections.
IDLE_TIMEOUT_S = 3600.0
MAX_BODY_BYTES = 8 * 1024 * 1024


class ConnectionObserver(Protocol):
    """Accepts or rejects new connections and is notified when they end."""

    def admit(self) -> bool:
        """Return whether a new connection may be accepted, and count it if so."""

    def connection_ended(self) -> None:
        """Count the end of an accepted connection."""


class AdmitAll:
    """Accepts every connection."""

    def admit(self) -> bool:
        """Return True."""
        return True

    def connection_ended(self) -> None:
        """Do nothing."""


class Endpoint:
    """A reserved port and the HTTP server behind it.

    The first read from a new connection is delayed by `connect_ms`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Callable[[Request], Awaitable[Response]],
        *,
        connect_ms: float = 0.0,
        observer: ConnectionObserver | None = None,
    ) -> None:
        self.port = PortReservation(host, port)
        self.handler = handler
        self.connect_ms = connect_ms
        self.observer = observer or AdmitAll()
        self.streams: dict[str, GatedStream] = {}
        self.accepted = 0
        self.serving = trio.CancelScope()

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.port.address

    async def serve_until_shut(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen and serve until `shut` is called."""
        listener = self.port.listen()
        self.serving = trio.CancelScope()
        with self.serving:
            task_status.started()
            gate = GatedListener(listener, self._admit)
            limits = HttpLimits(max_body=MAX_BODY_BYTES, idle_timeout=IDLE_TIMEOUT_S)
            await serve_http(self.handler, [gate], limits=limits)

    async def serve_whenever_open(
        self, wait_open: Callable[[], Awaitable[None]], task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; after each `shut`, serve again once `wait_open()` has returned."""
        try:
            await self.serve_until_shut(task_status)
            while True:
                await wait_open()
                await self.serve_until_shut()
        finally:
            self.release()

    def shut(self) -> None:
        """Reset all connections and refuse new ones; handlers in progress are cancelled."""
        for stream in self.streams.values():
            stream.reset_on_close()
        self.serving.cancel()

    def drop_closed(self) -> None:
        """Count the connections as ended that their clients have closed.

        Their own tasks may not have been scheduled since.
        """
        for stream in list(self.streams.values()):
            if stream.client_closed():
                stream.mark_ended()

    def release(self) -> None:
        """Release the port."""
        self.port.close()

    def stream_of(self, request: Request) -> GatedStream:
        """Return the connection that a request arrived on."""
        return self.streams[request.peer]

    def _admit(self, stream: trio.SocketStream) -> GatedStream | None:
        ready_at = trio.current_time() + self.connect_ms / 1000
        gated = GatedStream(stream, ready_at, self.observer.connection_ended, self._remove_stream)
        if not self.observer.admit():
            return None
        self.accepted += 1
        gated.number = self.accepted
        self.streams[gated.peer] = gated
        return gated

    def _remove_stream(self, stream: GatedStream) -> None:
        if self.streams.get(stream.peer) is stream:
            del self.streams[stream.peer]
