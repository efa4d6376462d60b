"""Links to the other instances: one to each, reconnected with back-off, all waits bounded."""

from collections.abc import Iterable
from contextlib import asynccontextmanager

import trio

from ..decide.ownership import Member
from ..errors import RelayError
from ..log import event
from ..wire import PeerLink

__all__ = ["Peers"]

CONNECT_TIMEOUT_S = 1.0
#: A call waits this long for a link that is being opened.
LINK_WAIT_S = 0.25
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
#: A link on which calls time out and nothing was answered for this time is opened anew.
SILENT_LINK_S = 3.0
#: The link to an instance that is no longer a peer is kept this long for open calls.
LINGER_S = 10.0


class _Line:
    """The link to one address and the task that keeps it open."""

    def __init__(self, address: str, source: str | None) -> None:
        self.address = address
        self.source = source
        self.link: PeerLink | None = None
        self.changed = trio.Event()
        self.connection = trio.CancelScope()
        self.scope = trio.CancelScope()
        self.answered = trio.current_time()
        #: When to give the link up, None while the instance is a peer.
        self.until: float | None = None

    async def run(self) -> None:
        """Connect again and again until closed."""
        backoff = MIN_BACKOFF_S
        with self.scope:
            while True:
                if await self._connect():
                    backoff = MIN_BACKOFF_S
                await trio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def _connect(self) -> bool:
        host, _, port = self.address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port), local_address=self.source)
        except (OSError, ValueError, trio.TooSlowError):
            return False
        async with stream:
            await self._use(PeerLink(stream, self.address))
        return True

    async def _use(self, link: PeerLink) -> None:
        self.answered = trio.current_time()
        self._publish(link)
        try:
            with trio.CancelScope() as self.connection:
                await link.run()
        finally:
            self._publish(None)

    def _publish(self, link: PeerLink | None) -> None:
        self.link = link
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    async def ready(self) -> PeerLink:
        """Return the open link once there is one."""
        while self.link is None or self.link.closed:
            await self.changed.wait()
        return self.link

    def alive(self) -> None:
        """Record that the peer has answered."""
        self.answered = trio.current_time()

    def timed_out(self) -> None:
        """Record that a call was not answered in time."""
        if trio.current_time() > self.answered + SILENT_LINK_S:
            self.connection.cancel()


class Peers:
    """Calls to other instances by name; implements `PeersPort`.

    Links are opened from the IP address `source`, so that a network rule or proxy on the way can
    tell the instances apart; None leaves the choice to the system.
    """

    def __init__(self, instance: str, source: str | None = None) -> None:
        self.instance = instance
        self.source = source
        self.lines: dict[str, _Line] = {}
        self._nursery: trio.Nursery | None = None

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the links open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for line in self.lines.values():
                nursery.start_soon(line.run)
            task_status.started()
            while True:
                await trio.sleep(LINGER_S / 2)
                self._close_retired()

    def update(self, members: Iterable[Member]) -> None:
        """Set the instances to keep links to; others are closed after a while."""
        wanted = {member.instance: member.address for member in members}
        wanted.pop(self.instance, None)
        for instance, line in list(self.lines.items()):
            if instance not in wanted:
                line.until = line.until or trio.current_time() + LINGER_S
            elif wanted[instance] != line.address:
                self._retire(instance, line)
            else:
                line.until = None
        for instance in wanted.keys() - self.lines.keys():
            self._add(instance, wanted[instance])

    async def call(self, instance: str, message: tuple, timeout: float) -> tuple:
        """Send a message and return its reply; raises `peer_unavailable` or the peer's error."""
        line = self._line(instance)
        sent = False
        try:
            with trio.fail_after(timeout):
                link = await self._link(instance, line, timeout)
                sent = True
                reply = await link.call(message)
        except trio.TooSlowError:
            line.timed_out()
            ran = "unknown" if sent else "not_run"
            raise _unavailable(instance, f"no answer in {timeout} s", ran) from None
        line.alive()
        return reply

    @asynccontextmanager
    async def stream(self, instance: str, message: tuple):
        """Send a message; the block receives an async iterator over the answer items."""
        line = self._line(instance)
        link = await self._link(instance, line, LINK_WAIT_S)
        async with link.stream_of(message) as items:
            yield items

    async def cast(self, instance: str, message: tuple) -> None:
        """Send a message that has no reply; errors are dropped."""
        try:
            with trio.move_on_after(LINK_WAIT_S):
                link = await self._link(instance, self._line(instance), LINK_WAIT_S)
                await link.cast(message)
        except RelayError as error:
            event("peers.cast_dropped", peer=instance, code=error.code)

    def knows(self, instance: str) -> bool:
        """Say whether there is a link, open or not, to an instance."""
        return instance in self.lines

    def connected(self) -> set[str]:
        """Return the instances to which a link is open now."""
        return {
            instance
            for instance, line in self.lines.items()
            if line.link is not None and not line.link.closed
        }

    def _line(self, instance: str) -> _Line:
        line = self.lines.get(instance)
        if line is None:
            raise _unavailable(instance, "not a peer", "not_run")
        return line

    async def _link(self, instance: str, line: _Line, timeout: float) -> PeerLink:
        with trio.move_on_after(min(timeout, LINK_WAIT_S)):
            return await line.ready()
        raise _unavailable(instance, f"no connection to {line.address}", "not_run")

    def _add(self, instance: str, address: str) -> None:
        line = _Line(address, self.source)
        self.lines[instance] = line
        if self._nursery is not None:
            self._nursery.start_soon(line.run)

    def _retire(self, instance: str, line: _Line) -> None:
        del self.lines[instance]
        line.scope.cancel()

    def _close_retired(self) -> None:
        now = trio.current_time()
        for instance, line in list(self.lines.items()):
            if line.until is not None and now >= line.until:
                self._retire(instance, line)


def _unavailable(instance: str, text: str, ran: str) -> RelayError:
    return RelayError("peer_unavailable", text, step="peer call", peer=instance, ran=ran)
