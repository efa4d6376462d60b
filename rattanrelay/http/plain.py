"""TCP stream of a client that avoids a trio checkpoint at each send and receive."""

import errno
import os
import socket
import struct

import trio

from ..settings import MAX_PORT

__all__ = ["PlainStream", "is_ipv4"]

#: Bytes of Linux's `struct tcp_info` that are read, and the offset of `tcpi_rtt` in them.
TCP_INFO_BYTES = 72
TCP_INFO_RTT_OFFSET = 68


def is_ipv4(host: str) -> bool:
    """Return whether a text is an IPv4 address in dotted decimal form."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


class PlainStream(trio.abc.Stream):
    """A connected socket that one task uses.

    A checkpoint takes about as long as the system call itself. A send that the kernel accepts at
    once has no checkpoint, and a receive waits before it reads, since no response has arrived
    by then.
    """

    #: Size of the send buffers of connections that the process opens; 0 for the kernel's default,
    #: which grows to some MB.
    send_buffer = 0

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.socket = sock

    @classmethod
    def adopt(cls, stream: trio.SocketStream) -> "PlainStream":
        """Return a stream with the socket of `stream`, which must not be used afterwards."""
        return cls(socket.socket(fileno=stream.socket.detach()))

    @classmethod
    async def connect(cls, host: str, port: int) -> "PlainStream":
        """Connect to an IPv4 address; raises `OSError`, also for what is no address or port."""
        if not is_ipv4(host) or not 0 < port <= MAX_PORT:
            raise OSError(errno.EINVAL, f"{host!r} port {port} is no IPv4 address and port")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if cls.send_buffer:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, cls.send_buffer)
            if sock.connect_ex((host, port)) not in (0, errno.EINPROGRESS):
                raise OSError(f"cannot connect to {host}:{port}")
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def round_trip_time(self) -> float | None:
        """Return the kernel's estimate of the round-trip time in seconds, or None if unknown."""
        try:
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        return struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)[0] / 1e6 or None

    def has_input(self) -> bool:
        """Return whether a receive would not wait: for bytes, the end of the stream or an error."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def send_all(self, data: bytes) -> None:
        """Send all bytes; raises `trio.BrokenResourceError` or `trio.ClosedResourceError`."""
        sent = self.send_some(data)
        if sent == len(data):
            return
        # Slices of a view are no copies, which many callers that read slowly would multiply.
        with memoryview(data) as view:
            while sent < len(data):
                await trio.lowlevel.wait_writable(self.socket)
                sent += self.send_some(view[sent:])

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the kernel accepts bytes."""
        self._check_open()
        await trio.lowlevel.wait_writable(self.socket)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, or none at the end of the stream; raises as `send_all`."""
        self._check_open()
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(max_bytes or 65536)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def wait_input(self) -> None:
        """Wait until a receive would not wait; raises as `send_all`."""
        self._check_open()
        await trio.lowlevel.wait_readable(self.socket)

    def receive_now(self, max_bytes: int) -> bytes | None:
        """Return the next bytes, none at the end of the stream, or None if there are none yet."""
        self._check_open()
        try:
            return self.socket.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def aclose(self) -> None:
        """Close the socket; raises `trio.ClosedResourceError` in a task that waits for it."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket without a checkpoint."""
        if self.socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()

    def send_some(self, data: bytes) -> int:
        """Send what the kernel accepts at once and return its size; raises as `send_all`."""
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
