"""TCP proxy with faults that are set for each route at run time; bytes are never reordered."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Literal

import msgspec
import trio

from ..log import event
from .addresses import PortReservation, split_address
from .config import ProxyConfig
from .relay import ConnectionCut, Shape, forward, reset_on_close

__all__ = ["Direction", "FaultProxy", "ProxyFaults", "ProxyRoute"]

Direction = Literal["to_target", "to_client"]


class ProxyFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of a route; the defaults mean a healthy route. Times in ms, sizes in bytes."""

    #: New connections are reset at once.
    refuse: bool = False
    #: Direction in which no bytes are forwarded; connections that open meanwhile wait.
    black_hole: Literal["", "to_target", "to_client", "both"] = ""
    delay_ms: float = 0.0
    #: Number of bytes in one direction after which a connection is reset.
    cut_after_to_target: int | None = None
    cut_after_to_client: int | None = None
    #: Largest piece that is sent at once, 0 for no limit.
    piece_bytes: int = 0
    piece_gap_ms: float = 0.5

    def shape(self, direction: Direction) -> Shape:
        """Return the traffic shaping of one direction."""
        to_target = direction == "to_target"
        return Shape(
            held=self.black_hole in (direction, "both"),
            delay_ms=self.delay_ms,
            cut_after=self.cut_after_to_target if to_target else self.cut_after_to_client,
            piece_bytes=self.piece_bytes,
            piece_gap_ms=self.piece_gap_ms,
        )


class ProxyRoute:
    """A listening port and its target; faults apply to all clients or to one source host."""

    def __init__(self, config: ProxyConfig) -> None:
        self.name = config.name
        self.target = config.target
        self.port = PortReservation(config.host, config.port)
        self.faults = ProxyFaults()
        self.faults_by_source: dict[str, ProxyFaults] = {}
        self.changed = trio.Event()
        self.open: dict[trio.CancelScope, str] = {}
        #: Directions in which open connections are silent for good.
        self.silent: dict[trio.CancelScope, Direction | Literal["both"]] = {}
        self.connections = 0
        self.cuts = 0
        self.bytes: dict[str, int] = {"to_target": 0, "to_client": 0}

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.port.address

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        try:
            listener = self.port.listen()
            task_status.started()
            await trio.serve_listeners(self._serve, [listener])
        finally:
            self.port.close()

    def faults_for(self, source: str) -> ProxyFaults:
        """Return the faults that apply to a source host."""
        return self.faults_by_source.get(source, self.faults)

    def set_faults(self, faults: ProxyFaults, source: str = "") -> None:
        """Replace the faults for all clients, or for one source host."""
        if source:
            self.faults_by_source[source] = faults
        else:
            self.faults = faults
        event("proxy_faults", route=self.name, source=source, faults=msgspec.to_builtins(faults))
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def heal(self) -> None:
        """Remove all faults."""
        self.faults_by_source.clear()
        self.set_faults(ProxyFaults())

    def cut(self, source: str = "") -> int:
        """Reset all open connections, or those of one source host; returns their number."""
        chosen = [scope for scope, host in self.open.items() if source in ("", host)]
        for scope in chosen:
            scope.cancel()
        self.cuts += len(chosen)
        return len(chosen)

    def silence(self, direction: Direction | Literal["both"] = "both", source: str = "") -> int:
        """Forward nothing more on open connections, not even their end; return their number.

        New connections work. `source` selects those of one source host.
        """
        chosen = [scope for scope, host in self.open.items() if source in ("", host)]
        self.silent.update(dict.fromkeys(chosen, direction))
        event("proxy_silenced", route=self.name, source=source, connections=len(chosen))
        return len(chosen)

    async def wait_changed(self) -> None:
        """Wait until the faults change."""
        await self.changed.wait()

    async def _serve(self, client: trio.SocketStream) -> None:
        self.connections += 1
        source = _host(client)
        if self.faults_for(source).refuse:
            reset_on_close(client)
            await trio.aclose_forcefully(client)
            return
        clean = False
        with trio.CancelScope() as scope:
            self.open[scope] = source
            try:
                clean = await self._connect_and_forward(client, source, scope)
            finally:
                del self.open[scope]
                self.silent.pop(scope, None)
        if not clean:
            reset_on_close(client)

    async def _connect_and_forward(
        self, client: trio.SocketStream, source: str, scope: trio.CancelScope
    ) -> bool:
        """Forward until both directions have ended; returns False if the connection broke."""
        while self.faults_for(source).black_hole:
            await self.wait_changed()
        try:
            target = await trio.open_tcp_stream(*split_address(self.target))
        except OSError:
            return False
        clean = False
        try:
            await self._forward_both(client, target, source, scope)
            clean = True
        except* (ConnectionCut, trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            self.cuts += 1
        finally:
            if not clean:
                reset_on_close(target)
            await trio.aclose_forcefully(target)
        return clean

    async def _forward_both(
        self,
        client: trio.SocketStream,
        target: trio.SocketStream,
        source: str,
        scope: trio.CancelScope,
    ) -> None:
        def shape(direction: Direction) -> Shape:
            found = self.faults_for(source).shape(direction)
            silent = self.silent.get(scope) in (direction, "both")
            return found._replace(held=True) if silent else found

        async with trio.open_nursery() as nursery:
            for origin, sink, direction in (
                (client, target, "to_target"),
                (target, client, "to_client"),
            ):
                nursery.start_soon(
                    self._forward, origin, sink, partial(shape, direction), direction
                )

    async def _forward(
        self, origin, sink, shape: Callable[[], Shape], direction: Direction
    ) -> None:

        count = partial(self._count, direction)
        await forward(origin, sink, shape, self.wait_changed, count)

    def _count(self, direction: str, size: int) -> None:
        self.bytes[direction] += size


class FaultProxy:
    """The proxy routes of one process, by name."""

    def __init__(self, routes: Iterable[ProxyConfig]) -> None:
        self.routes = {config.name: ProxyRoute(config) for config in routes}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve all routes until cancelled."""
        async with trio.open_nursery() as nursery:
            for route in self.routes.values():
                await nursery.start(route.run)
            task_status.started()

    def addresses(self) -> dict[str, str]:
        """Return `host:port` by the name of the route."""
        return {name: route.address for name, route in self.routes.items()}


def _host(stream: trio.SocketStream) -> str:
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""
