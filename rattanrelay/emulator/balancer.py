"""TCP round-robin balancer over the entry instances, which detects stopped ones after a lag."""

from functools import partial

import trio

from ..errors import RelayError
from ..http import HttpConnection, Request
from ..log import event
from .addresses import PortReservation, split_address
from .config import BalancerConfig
from .relay import HEALTHY, forward, reset_on_close

__all__ = ["Balancer", "BalancerTarget"]

CHECK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0


class BalancerTarget:
    """A target, with its health as the balancer sees it."""

    def __init__(self, address: str, check_address: str) -> None:
        self.address = address
        self.check_address = check_address
        #: Whether it gets new connections.
        self.in_use = False
        #: Time on trio's clock of the first of the consecutive failed checks.
        self.failing_since: float | None = None
        self.connections = 0
        self.failed_connections = 0

    def record_check(self, ready: bool, now: float, lag: float) -> None:
        """Record the result of a check; a failing target stays in use for `lag` seconds."""
        if ready:
            self.in_use = True
            self.failing_since = None
            return
        if self.failing_since is None:
            self.failing_since = now
        if now - self.failing_since >= lag:
            self.in_use = False


class Balancer:
    """TCP balancer; open connections stay open when their target is no longer in use."""

    def __init__(self, config: BalancerConfig) -> None:
        self.config = config
        self.port = PortReservation(config.host, config.port)
        self.targets: dict[str, BalancerTarget] = {}
        self.selections = 0
        self.refused = 0
        self.lag_ms = config.lag_ms
        self.set_targets(config.targets, config.checks)

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.port.address

    def set_targets(self, addresses: list[str], checks: dict[str, str]) -> None:
        """Replace the targets; known ones keep their state, new ones are not yet in use.

        `checks` maps a target to the address of its health check, if that is another one.
        """
        known = self.targets
        self.targets = {
            address: known.get(address) or BalancerTarget(address, checks.get(address, address))
            for address in addresses
        }

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; started once all targets have been checked."""
        try:
            await self.check_all()
            listener = self.port.listen()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._serve, [listener])
                nursery.start_soon(self._check_forever)
                task_status.started()
        finally:
            self.port.close()

    async def check_all(self) -> None:
        """Check each target once."""
        async with trio.open_nursery() as nursery:
            for target in list(self.targets.values()):
                nursery.start_soon(self._check, target)

    def next_target(self) -> BalancerTarget | None:
        """Return the next target in round-robin order, or None while no target is in use."""
        usable = [target for target in self.targets.values() if target.in_use]
        if not usable:
            return None
        self.selections += 1
        return usable[self.selections % len(usable)]

    async def _check_forever(self) -> None:
        while True:
            await trio.sleep(self.config.check_ms / 1000)
            await self.check_all()

    async def _check(self, target: BalancerTarget) -> None:
        ready = False
        with trio.move_on_after(CHECK_TIMEOUT_S):
            ready = await _is_ready(target.check_address)
        before = target.in_use
        target.record_check(ready, trio.current_time(), self.lag_ms / 1000)
        if target.in_use != before:
            event("balancer_target", target=target.address, in_use=target.in_use)

    async def _serve(self, client: trio.SocketStream) -> None:
        target = self.next_target()
        if target is None:
            self.refused += 1
            reset_on_close(client)
            return
        target.connections += 1
        try:
            await self._forward_to(target, client)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            reset_on_close(client)

    async def _forward_to(self, target: BalancerTarget, client: trio.SocketStream) -> None:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(*split_address(target.address))
        except (OSError, trio.TooSlowError):
            target.failed_connections += 1
            reset_on_close(client)
            return
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(partial(_forward, client, stream))
            nursery.start_soon(partial(_forward, stream, client))


async def _forward(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    await forward(source, sink, lambda: HEALTHY, trio.sleep_forever, lambda size: None)


async def _is_ready(address: str) -> bool:
    try:
        connection = await HttpConnection.open(*split_address(address))
    except RelayError:
        return False
    try:
        response = await connection.request(Request("GET", "/readyz"))
    except RelayError:
        return False
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
    return response.status == 200
