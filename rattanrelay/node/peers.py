"""Links to the other instances, one each, reopened with backoff; all waits are bounded."""

from collections.abc import Iterable
from contextlib import asynccontextmanager

import trio

from ..decide.ownership import Member
from ..errors import RelayError
from ..log import event
from ..wire import PeerLink

__all__ = ["Peers"]

CONNECT_TIMEOUT_S = 1.0
#: Longest wait of a call for a link that is being opened.
LINK_WAIT_S = 0.25
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
#: A link without answers for this time is reopened when a call on it times out.
SILENT_LINK_S = 3.0
#: Time for which the link to a former peer stays open for calls in flight.
LINGER_S = 10.0


class _ManagedLink:
    """Keeps the link to one address open."""

    def __init__(self, address: str, source: str | None) -> None:
        self.address = address
        self.source = source
        self.link: PeerLink | None = None
        self.changed = trio.Event()
        self.connection = trio.CancelScope()
        self.scope = trio.CancelScope()
        self.answered = trio.current_time()
        #: Trio time at which to close the link, None while the instance is a peer.
        self.close_at: float | None = None

    async def run(self) -> None:
        """Open the link, and reopen it with backoff, until cancelled."""
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
        """Wait for an open link and return it."""
        while self.link is None or self.link.closed:
            await self.changed.wait()
        return self.link

    def record_answer(self) -> None:
        """Record that the peer has answered."""
        self.answered = trio.current_time()

    def record_timeout(self) -> None:
        """Record that a call was not answered in time."""
        if trio.current_time() > self.answered + SILENT_LINK_S:
            self.connection.cancel()


class Peers:
    """Calls to other instances by name; implements `PeersPort`.

    Links are opened from the IP address `source`, by which network rules and proxies can tell the
    instances apart; if it is None, the system chooses the address.
    """

    def __init__(self, instance: str, source: str | None = None) -> None:
        self.instance = instance
        self.source = source
        self.links: dict[str, _ManagedLink] = {}
        self._nursery: trio.Nursery | None = None

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the links open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for managed in self.links.values():
                nursery.start_soon(managed.run)
            task_status.started()
            while True:
                await trio.sleep(LINGER_S / 2)
                self._close_retired()

    def update(self, members: Iterable[Member]) -> None:
        """Set the instances to keep links to; other links are closed after `LINGER_S`."""
        wanted = {member.instance: member.address for member in members}
        wanted.pop(self.instance, None)
        for instance, managed in list(self.links.items()):
            if instance not in wanted:
                managed.close_at = managed.close_at or trio.current_time() + LINGER_S
            elif wanted[instance] != managed.address:
                self._retire(instance, managed)
            else:
                managed.close_at = None
        for instance in wanted.keys() - self.links.keys():
            self._add(instance, wanted[instance])

    async def call(self, instance: str, message: tuple, timeout: float) -> tuple:
        """Send a message and return its reply; raises `peer_unavailable` or the peer's error."""
        managed = self._managed_link(instance)
        sent = False
        try:
            with trio.fail_after(timeout):
                link = await self._open_link(instance, managed, timeout)
                sent = True
                reply = await link.call(message)
        except trio.TooSlowError:
            managed.record_timeout()
            ran = "unknown" if sent else "not_run"
            raise _unavailable(instance, f"no answer in {timeout} s", ran) from None
        managed.record_answer()
        return reply

    @asynccontextmanager
    async def stream(self, instance: str, message: tuple):
        """Send a message; the block receives an async iterator over the answer items."""
        managed = self._managed_link(instance)
        link = await self._open_link(instance, managed, LINK_WAIT_S)
        async with link.open_stream(message) as items:
            yield items

    async def notify(self, instance: str, message: tuple) -> None:
        """Send a message that has no reply; errors are logged and not raised."""
        try:
            with trio.move_on_after(LINK_WAIT_S):
                link = await self._open_link(instance, self._managed_link(instance), LINK_WAIT_S)
                await link.notify(message)
        except RelayError as error:
            event("peers.cast_dropped", peer=instance, code=error.code)

    def has_peer(self, instance: str) -> bool:
        """Return whether there is a link, open or not, to an instance."""
        return instance in self.links

    def connected(self) -> set[str]:
        """Return the instances with an open link."""
        return {
            instance
            for instance, managed in self.links.items()
            if managed.link is not None and not managed.link.closed
        }

    def _managed_link(self, instance: str) -> _ManagedLink:
        managed = self.links.get(instance)
        if managed is None:
            raise _unavailable(instance, "not a peer", "not_run")
        return managed

    async def _open_link(self, instance: str, managed: _ManagedLink, timeout: float) -> PeerLink:
        with trio.move_on_after(min(timeout, LINK_WAIT_S)):
            return await managed.ready()
        raise _unavailable(instance, f"no connection to {managed.address}", "not_run")

    def _add(self, instance: str, address: str) -> None:
        managed = _ManagedLink(address, self.source)
        self.links[instance] = managed
        if self._nursery is not None:
            self._nursery.start_soon(managed.run)

    def _retire(self, instance: str, managed: _ManagedLink) -> None:
        del self.links[instance]
        managed.scope.cancel()

    def _close_retired(self) -> None:
        now = trio.current_time()
        for instance, managed in list(self.links.items()):
            if managed.close_at is not None and now >= managed.close_at:
                self._retire(instance, managed)


def _unavailable(instance: str, text: str, ran: str) -> RelayError:
    return RelayError("peer_unavailable", text, step="peer call", peer=instance, ran=ran)
