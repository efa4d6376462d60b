"""HTTP/1.1 client connection: one request at a time, with what is known when it breaks."""

import socket
import ssl

import h11
import trio

from ..errors import RelayError
from .model import Request, Response
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
        self.host = peer.encode("ascii")
        self.h11 = h11.Connection(h11.CLIENT)
        self.usable = True
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
        self.usable = False
        data = self._encode(request)
        try:
            if len(data) <= AT_ONCE_BYTES:
                await self.stream.send_all(data)
                response = await self._read()
            else:
                response = await self._send_and_read(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise self._lost(str(error)) from error
        except h11.RemoteProtocolError as error:
            raise self._lost(f"malformed answer: {error}") from error
        if self.sent and self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.usable = not self.h11.trailing_data[0]
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

    async def _send_and_read(self, data: bytes) -> Response:
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
                response = await self._read()
            except (trio.BrokenResourceError, h11.RemoteProtocolError, RelayError) as error:
                failure = failure or error
            nursery.cancel_scope.cancel()
        if response is None:
            raise failure or self._lost("no answer")
        return response

    def _encode(self, request: Request) -> bytes:
        headers = {b"host": self.host}
        for name, value in request.headers.items():
            headers[name.encode("ascii")] = value.encode("latin-1")
        headers[b"content-length"] = b"%d" % len(request.body)
        head = h11.Request(
            method=request.method, target=request.target, headers=list(headers.items())
        )
        data = self.h11.send(head)
        if request.body:
            data += self.h11.send(h11.Data(data=request.body))
        return data + self.h11.send(h11.EndOfMessage())

    async def _read(self) -> Response:
        head = None
        body = bytearray()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                self.h11.receive_data(await self.stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise self._lost(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise self._lost("closed before the answer")
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
        return Response(head.status_code, headers, bytes(body))

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
