"""Streams and a listener with a connection limit, a set-up delay and faults in what is sent."""

import select
import socket
import struct
from collections.abc import Callable

import trio

__all__ = ["RESET_ON_CLOSE", "WHOLE_ANSWER", "GatedListener", "GatedStream"]

#: Value of `GatedStream.withheld` that is above the size of any answer: nothing is sent.
WHOLE_ANSWER = 1 << 40

#: Value of SO_LINGER with which a close sends a reset, as for a crashed process.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class GatedStream(trio.abc.Stream):
    """An accepted connection; nothing is read from it before `ready_at` on trio's clock."""

    def __init__(
        self,
        stream: trio.SocketStream,
        ready_at: float,
        on_ended: Callable[[], None],
        on_closed: Callable[["GatedStream"], None],
    ) -> None:
        self.stream = stream
        self.socket = stream.socket
        self.peer = "{}:{}".format(*stream.socket.getpeername()[:2])
        self.ready_at = ready_at
        #: Number among the accepted connections of its listener; the system may give a peer's port
        #: to a later connection, but never this number.
        self.number = 0
        #: Called once, when the connection no longer counts as open.
        self.on_ended = on_ended
        #: Called when the server closes its side.
        self.on_closed = on_closed
        self.ended = False
        #: Number of bytes at the end of the next answer that are not sent; the connection is then
        #: closed. None sends the whole answer.
        self.withheld: int | None = None
        #: Bytes that are sent instead of the next answer.
        self.replacement: bytes | None = None
        #: Whether the next answer is sent twice.
        self.repeats = False

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait until the connection is set up, then read."""
        if trio.current_time() < self.ready_at:
            await trio.sleep_until(self.ready_at)
        return await self.stream.receive_some(max_bytes)

    async def send_all(self, data: bytes) -> None:
        """Send an answer with the faults that are set for it."""
        if self.replacement is not None:
            data, self.replacement = self.replacement, None
        if self.repeats:
            data, self.repeats = data + data, False
        if self.withheld is None:
            await self.stream.send_all(data)
            return
        await self.stream.send_all(data[: max(len(data) - self.withheld, 0)])
        await self.aclose()
        raise trio.BrokenResourceError("the answer was cut")

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until a send would make progress."""
        await self.stream.wait_send_all_might_not_block()

    async def wait_client_gone(self) -> None:
        """Wait until the client has closed its side; nothing else may receive meanwhile."""
        await trio.lowlevel.wait_readable(self.socket)
        if await self._peek():
            await trio.sleep_forever()

    def client_closed(self) -> bool:
        """Return whether the client has closed its side."""
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def _peek(self) -> bytes:
        try:
            return await self.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return b""

    def mark_ended(self) -> None:
        """Count the connection as ended; later calls do nothing."""
        if not self.ended:
            self.ended = True
            self.on_ended()

    def reset_on_close(self) -> None:
        """Make the close send a reset instead of an orderly end."""
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            return

    async def aclose(self) -> None:
        """Close the connection."""
        self.mark_ended()
        self.on_closed(self)
        await self.stream.aclose()


class GatedListener(trio.abc.Listener):
    """Accepts connections; `admit` returns the gated stream, or None to close the connection."""

    def __init__(
        self,
        listener: trio.SocketListener,
        admit: Callable[[trio.SocketStream], GatedStream | None],
    ) -> None:
        self.listener = listener
        self.admit = admit

    async def accept(self) -> GatedStream:
        """Return the next connection that `admit` accepts."""
        while True:
            stream = await self.listener.accept()
            try:
                gated = self.admit(stream)
            except OSError:
                gated = None
            if gated is not None:
                return gated
            await trio.aclose_forcefully(stream)

    async def aclose(self) -> None:
        """Close the listener."""
        await self.listener.aclose()
