"""HTTP/1.1 client connection: one request at a time, with what is known when it breaks."""

import socket
import ssl

import trio

from ..errors import RelayError
from .model import Request, Response
from .parsing import MalformedResponse, ResponseParser
from .plain import PlainStream

__all__ = ["MAX_ANSWER_BYTES", "HttpConnection"]

MAX_ANSWER_BYTES = 8 * 1024 * 1024

RECEIVE_BYTES = 65536
#: Requests up to this size fit into the socket's send buffer.
AT_ONCE_BYTES = 16 * 1024


class HttpConnection:
    """A connection that a pool owns; it is not reusable after an error or a cancelled request."""

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        self.stream = stream
        self.peer = peer
        self.host = peer
        self.usable = True
        #: Whether the last response left the connection open for another request.
        self.reusable = True
        #: Whether the whole of the last request was sent when its response was complete.
        self.sent = True

    @classmethod
    async def open(
        cls, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> "HttpConnection":
        """Connect, with TLS if a context is given; raises `connect_failed`."""
        peer = f"{host}:{port}"
        if tls is None and _is_ipv4(host):
            try:
                return cls(await PlainStream.connect(host, port), peer)
            except OSError as error:
                raise RelayError("connect_failed", str(error), step="connect", peer=peer) from error
        try:
            stream = await trio.open_tcp_stream(host, port)
        except OSError as error:
            raise RelayError("connect_failed", str(error), step="connect", peer=peer) from error
        if tls is None:
            return cls(PlainStream.adopt(stream), peer)
        return cls(await _secured(stream, host, peer, tls), peer)

    async def request(self, request: Request) -> Response:
        """Send a request and return its response.

        Raises `connection_lost` with `ran="not_run"` if nothing was written, else `"unknown"`.
        """
        if not self.usable:
            raise RelayError("connection_lost", "closed", step="send request", peer=self.peer)
        data = self._encode(request)
        self.usable = False
        try:
            if len(data) <= AT_ONCE_BYTES:
                await self.stream.send_all(data)
                response = await self._read(request.method == "HEAD")
            else:
                response = await self._send_and_read(data, request.method == "HEAD")
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise self._lost(str(error)) from error
        except MalformedResponse as error:
            raise self._lost(f"malformed answer: {error}") from error
        self.usable = self.sent and self.reusable
        return response

    def stale(self) -> bool:
        """Return whether a connection between requests has ended, or holds unexpected bytes."""
        if not self.usable:
            return True
        return isinstance(self.stream, PlainStream) and self.stream.has_input()

    def close_now(self) -> None:
        """Close the connection without waiting, and without TLS's closing message."""
        self.usable = False
        stream = self.stream
        if isinstance(stream, PlainStream):
            stream.close()
        else:
            stream.transport_stream.socket.close()

    async def aclose(self) -> None:
        """Close the connection."""
        self.usable = False
        await trio.aclose_forcefully(self.stream)

    async def _send_and_read(self, data: bytes, head_only: bool) -> Response:
        """Send while reading: a server may answer a long request before it has read all of it."""
        failure: Exception | None = None
        response: Response | None = None
        self.sent = False

        async def send() -> None:
            nonlocal failure
            try:
                await self.stream.send_all(data)
                self.sent = True
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                failure = error

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                response = await self._read(head_only)
            except (trio.BrokenResourceError, MalformedResponse, RelayError) as error:
                failure = failure or error
            nursery.cancel_scope.cancel()
        if response is None:
            raise failure or self._lost("no answer")
        return response

    def _encode(self, request: Request) -> bytes:
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        if "host" not in request.headers:
            lines.append(f"host: {self.host}")
        lines += [
            f"{name}: {value}"
            for name, value in request.headers.items()
            if name != "content-length"
        ]
        head = "\r\n".join(lines)
        ends = len(lines) - 1
        if head.count("\n") != ends or head.count("\r") != ends or "\0" in head:
            raise RelayError("bad_request", "line break in a header", step="send request")
        return b"%s\r\ncontent-length: %d\r\n\r\n%s" % (
            head.encode("latin-1"),
            len(request.body),
            request.body,
        )

    async def _read(self, head_only: bool) -> Response:
        parser = ResponseParser(MAX_ANSWER_BYTES, head_only=head_only)
        while not parser.complete:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if data:
                parser.feed(data)
                continue
            parser.end()
            if not parser.complete:
                raise self._lost("closed before the answer")
        self.reusable = parser.reusable
        return parser.response()

    def _lost(self, text: str) -> RelayError:
        return RelayError(
            "connection_lost", text, step="read answer", peer=self.peer, ran="unknown"
        )


def _is_ipv4(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


async def _secured(
    stream: trio.SocketStream, host: str, peer: str, tls: ssl.SSLContext
) -> trio.SSLStream:
    """Return the stream under TLS after the check of the server's certificate."""
    secured = trio.SSLStream(stream, tls, server_hostname=host, https_compatible=True)
    try:
        await secured.do_handshake()
    except trio.BrokenResourceError as error:
        await trio.aclose_forcefully(stream)
        text = f"TLS: {error.__cause__ or error}"
        raise RelayError("connect_failed", text, step="connect", peer=peer) from error
    except BaseException:
        await trio.aclose_forcefully(stream)
        raise
    return secured
