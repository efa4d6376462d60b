"""A client's TCP stream without trio's checkpoint at each send and receive."""

import errno
import os
import socket
import struct

import trio

__all__ = ["PlainStream"]

#: Size of the part of Linux's `struct tcp_info` that is read, and the offset of `tcpi_rtt` in it.
TCP_INFO_BYTES = 72
TCP_INFO_ROUND_TRIP = 68


class PlainStream(trio.abc.Stream):
    """A connected socket used by one task.

    A checkpoint takes about as long as the system call itself. Here a send that the kernel takes
    at once is none, and a receive waits first, since an answer is never there already.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self.socket = connected

    @classmethod
    def adopt(cls, stream: trio.SocketStream) -> "PlainStream":
        """Take over the socket of a stream, which cannot be used any more."""
        return cls(socket.socket(fileno=stream.socket.detach()))

    @classmethod
    async def connect(cls, host: str, port: int) -> "PlainStream":
        """Connect to an IPv4 address; raises `OSError`."""
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connected.setblocking(False)
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if connected.connect_ex((host, port)) not in (0, errno.EINPROGRESS):
                raise OSError(f"cannot connect to {host}:{port}")
            await trio.lowlevel.wait_writable(connected)
            code = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            connected.close()
            raise
        return cls(connected)

    def round_trip(self) -> float | None:
        """Return the kernel's estimate of the round trip in seconds, None when it has none."""
        try:
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        return struct.unpack_from("I", info, TCP_INFO_ROUND_TRIP)[0] / 1e6 or None

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream have arrived; a closed stream has."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def send_all(self, data: bytes) -> None:
        """Send all bytes; raises `trio.BrokenResourceError` or `trio.ClosedResourceError`."""
        sent = self._send(data)
        while sent < len(data):
            await trio.lowlevel.wait_writable(self.socket)
            sent += self._send(data[sent:])

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the kernel takes bytes."""
        self._check_open()
        await trio.lowlevel.wait_writable(self.socket)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, none at the end; raises as `send_all`."""
        self._check_open()
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(max_bytes or 65536)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def aclose(self) -> None:
        """Close the socket; a task that waits for it gets `trio.ClosedResourceError`."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket without a checkpoint."""
        if self.socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()

    def _send(self, data: bytes) -> int:
        self._check_open()
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def _check_open(self) -> None:
        if self.socket.fileno() < 0:
            raise trio.ClosedResourceError("the stream is closed")
