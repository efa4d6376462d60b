"""HTTP/1.1 client connection for one request at a time.

Errors state whether the server may have run the request.
"""

import ssl

import trio

from ..errors import RelayError
from ..log import event
from .memory import UNCOUNTED_BYTES, ResponseMemory
from .model import Request, Response
from .parsing import MalformedResponse, ResponseParser
from .plain import PlainStream, is_ipv4

__all__ = ["MAX_RESPONSE_BYTES", "HttpConnection", "InvalidResponse"]

MAX_RESPONSE_BYTES = 8 * 1024 * 1024

RECEIVE_BYTES = 65536
#: Requests up to this size fit into the send buffer of the socket and are sent before reading.
MAX_BUFFERED_REQUEST_BYTES = 16 * 1024
#: Bytes of unfinished responses that a process holds.
MAX_UNFINISHED_BYTES = 32 * 1024 * 1024


class InvalidResponse(RelayError):
    """Raised for a malformed response, with the code `connection_lost`; `fault` is what is wrong.

    It is no sign that the server has ended, unlike other errors with this code.
    """

    def __init__(self, fault: str, peer: str) -> None:
        text = f"malformed response: {fault}"
        super().__init__("connection_lost", text, step="read answer", peer=peer, ran="unknown")
        self.fault = fault


class HttpConnection:
    """A client connection; it is not usable after an error or a cancelled request."""

    #: Memory of the responses that all connections of the process are receiving.
    memory = ResponseMemory(MAX_UNFINISHED_BYTES)

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        self.stream = stream
        self.peer = peer
        self.host = peer
        self.usable = True
        #: Whether the last response left the connection open for another request.
        self.reusable = True
        #: Whether all of the last request had been sent when its response was complete.
        self.sent = True
        self._parser: ResponseParser | None = None

    @classmethod
    async def open(
        cls, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> "HttpConnection":
        """Connect, with TLS if `tls` is given; raises `connect_failed`, also for a bad host."""
        peer = f"{host}:{port}"
        try:
            if tls is None and is_ipv4(host):
                return cls(await PlainStream.connect(host, port), peer)
            stream = await trio.open_tcp_stream(host, port)
        except (OSError, ValueError, OverflowError) as error:
            # Names that cannot be encoded or resolved raise a ValueError, ports an OverflowError.
            raise RelayError("connect_failed", str(error), step="connect", peer=peer) from error
        if tls is None:
            return cls(PlainStream.adopt(stream), peer)
        return cls(await _start_tls(stream, host, peer, tls), peer)

    async def request(self, request: Request, max_body: int = MAX_RESPONSE_BYTES) -> Response:
        """Send a request and return its response, whose body may have `max_body` bytes.

        Raises `bad_request` for a header with a line break or a null character, and
        `connection_lost` for a broken connection or, as `InvalidResponse`, a malformed response,
        with `ran="not_run"` if nothing was sent, else `"unknown"`.
        """
        if not self.usable:
            raise RelayError("connection_lost", "closed", step="send request", peer=self.peer)
        head = self._head(request)
        parser = ResponseParser(max_body, head_only=request.method == "HEAD")
        self._parser = parser
        self.usable = False
        try:
            if len(head) + len(request.body) <= MAX_BUFFERED_REQUEST_BYTES:
                await self.stream.send_all(head + request.body)
                response = await self._read(parser)
            else:
                response = await self._send_and_read((head, request.body), parser)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise self._connection_lost(str(error)) from error
        except MalformedResponse as error:
            raise InvalidResponse(str(error), self.peer) from error
        finally:
            self.memory.release(self)
            self._parser = None
            parser.close()
        self.usable = self.sent and self.reusable
        return response

    def stale(self) -> bool:
        """Return whether an idle connection has been closed or has received unexpected bytes."""
        if not self.usable:
            return True
        return isinstance(self.stream, PlainStream) and self.stream.has_input()

    def abandon(self) -> None:
        """Discard the response that is being received, which fails with `connection_lost`."""
        event("response.abandoned", peer=self.peer, bytes=self._parser.held)
        self._parser.discard()
        self.close_now()

    def close_now(self) -> None:
        """Close the connection at once, without a checkpoint and without a TLS close message."""
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

    async def _send_and_read(self, parts: tuple[bytes, ...], parser: ResponseParser) -> Response:
        """Send and read concurrently: a server may respond before it has read all of a request.

        A large body is not copied: the same one goes to many servers.
        """
        failure: Exception | None = None
        response: Response | None = None
        self.sent = False

        async def send() -> None:
            nonlocal failure
            try:
                for part in parts:
                    await self.stream.send_all(part)
                self.sent = True
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                failure = error

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                response = await self._read(parser)
            except MalformedResponse as error:
                # A server that closes the connection after such a response fails the send as well.
                failure = error
            except (trio.BrokenResourceError, RelayError) as error:
                failure = failure or error
            nursery.cancel_scope.cancel()
        if response is None:
            raise failure or self._connection_lost("no response")
        return response

    def _encode(self, request: Request) -> bytes:
        return self._head(request) + request.body

    def _head(self, request: Request) -> bytes:
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        if "host" not in request.headers:
            lines.append(f"host: {self.host}")
        lines += [
            f"{name}: {value}"
            for name, value in request.headers.items()
            if name != "content-length"
        ]
        head = "\r\n".join(lines)
        breaks = len(lines) - 1
        if head.count("\n") != breaks or head.count("\r") != breaks or "\0" in head:
            raise RelayError(
                "bad_request", "line break or null character in a header", step="send request"
            )
        return b"%s\r\ncontent-length: %d\r\n\r\n" % (head.encode("latin-1"), len(request.body))

    async def _read(self, parser: ResponseParser) -> Response:
        while not parser.complete:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if data:
                parser.feed(data)
                if not parser.complete and parser.held > UNCOUNTED_BYTES:
                    self.memory.record(self, parser.held)
                continue
            parser.end()
            if not parser.complete:
                raise self._connection_lost("connection closed before the end of the response")
        self.reusable = parser.reusable
        return Response(parser.status, parser.headers, self.memory.hold(parser.body))

    def _connection_lost(self, text: str) -> RelayError:
        return RelayError(
            "connection_lost", text, step="read answer", peer=self.peer, ran="unknown"
        )


async def _start_tls(
    stream: trio.SocketStream, host: str, peer: str, tls: ssl.SSLContext
) -> trio.SSLStream:
    """Return a TLS stream after the handshake, which verifies the certificate of the server."""
    try:
        tls_stream = trio.SSLStream(stream, tls, server_hostname=host, https_compatible=True)
        await tls_stream.do_handshake()
    except (trio.BrokenResourceError, ValueError) as error:
        await trio.aclose_forcefully(stream)
        text = f"TLS: {error.__cause__ or error}"
        raise RelayError("connect_failed", text, step="connect", peer=peer) from error
    except BaseException:
        await trio.aclose_forcefully(stream)
        raise
    return tls_stream
