"""HTTP/1.1 server loop: each connection has a task that serves one request at a time."""

from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio

from ..decide.intake import SMALL_READ_BYTES, Lane, Stage
from ..errors import RelayError
from ..log import event, traceback
from .intake import STEPS_PER_TURN, Account, Share
from .model import HttpLimits, Request, Response, json_response

__all__ = ["Handler", "serve_http"]

#: Returns the response to one request; an error that it raises closes the connection.
Handler = Callable[[Request], Awaitable[Response]]

RECEIVE_BYTES = 65536


async def serve_http(
    handler: Handler,
    listeners: list[trio.abc.Listener],
    *,
    limits: HttpLimits | None = None,
    stopping: trio.Event | None = None,
    account: Account | None = None,
    lane: Lane = Lane.CLIENTS,
) -> None:
    """Serve until cancelled, or until `stopping` is set and all connections have ended.

    Connections draw on `account` if there is one. Once `stopping` is set, no connection is
    accepted, idle connections are closed, and each of the others is closed after its request in
    flight.
    """
    limits = limits or HttpLimits()
    if stopping is None:
        stopping = trio.Event()
    idle: set[trio.CancelScope] = set()
    async with trio.open_nursery() as connections:

        async def serve(stream: trio.abc.Stream) -> None:
            connection = _Connection(stream, handler, limits, stopping, idle)
            share = None
            if account is not None:
                address = connection.peer.rpartition(":")[0]
                share = account.open(lane, address, connection.abandon)
                if share is None:
                    await trio.aclose_forcefully(stream)
                    return
            try:
                await connection.run(share)
            except Exception as error:
                event("http.connection_failed", reason=traceback(error))
            finally:
                if share is not None:
                    share.close()

        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(trio.serve_listeners, serve, listeners, handler_nursery=connections)
            )
            await stopping.wait()
            accepting.cancel_scope.cancel()
        for scope in idle:
            scope.cancel()


class _Connection:
    """A connection of a client; `idle` contains the cancel scopes of idle connections."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        limits: HttpLimits,
        stopping: trio.Event,
        idle: set[trio.CancelScope],
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.limits = limits
        self.stopping = stopping
        self.idle = idle
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_headers)
        self.peer = _peer_name(stream)
        self.share: Share | None = None
        self._scope = trio.CancelScope()
        self._steps = 0
        #: Body of the request that is being read, and bytes that the parser may hold.
        self._body = bytearray()
        self._parsed_bytes = 0

    async def run(self, share: Share | None = None) -> None:
        self.share = share
        sock = _plain_socket(self.stream)
        if share is not None and sock is not None:
            share.set_buffers(sock)
        try:
            async with self.stream:
                with self._scope:
                    while await self._serve_one():
                        self.h11.start_next_cycle()
                        self._record(0)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError, h11.ProtocolError):
            pass

    def abandon(self) -> None:
        """Free the memory of the connection and close it."""
        self._body.clear()
        sock = _plain_socket(self.stream)
        if sock is not None:
            sock.close()
        self._scope.cancel()

    def _record(self, other: int) -> None:
        if self.share is not None:
            self.share.record(len(self._body) + other)

    def _record_stage(self, stage: Stage) -> None:
        if self.share is not None:
            self.share.record_stage(stage)

    async def _receive(self) -> bytes:
        """Return the next bytes, for which there is room in the account."""
        if self.share is None:
            return await self.stream.receive_some(RECEIVE_BYTES)
        sock = _plain_socket(self.stream)
        if sock is not None:
            await trio.lowlevel.wait_readable(sock)
        size = await self.share.draw()
        if not size:
            raise trio.ClosedResourceError("the connection was abandoned")
        # A stream without a socket of its own, such as TLS, waits with nothing reserved.
        data = await self.stream.receive_some(size if sock is not None else SMALL_READ_BYTES)
        self._parsed_bytes = len(data)
        self._record(self._parsed_bytes)
        return data

    async def _serve_one(self) -> bool:
        if not await self._wait_for_bytes():
            return False
        try:
            with trio.fail_after(self.limits.request_timeout):
                request = await self._read_request()
        except trio.TooSlowError:
            return await self._refuse("request_timeout", "the request was not sent in time")
        except h11.RemoteProtocolError as error:
            code = "headers_too_large" if error.error_status_hint == 431 else "bad_request"
            return await self._refuse(code, str(error))
        except RelayError as error:
            return await self._refuse(error.code, error.message)
        if request is None:
            return False
        self._record_stage(Stage.BUSY)
        response = await self.handler(request)
        self._record_stage(Stage.OPEN)
        request = None
        await self._send(response)
        return self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False if the connection is to be closed."""
        if self.h11.trailing_data[0]:
            return not self.stopping.is_set()
        if self.stopping.is_set():
            return False
        data = b""
        with trio.move_on_after(self.limits.idle_timeout) as scope:
            self.idle.add(scope)
            try:
                data = await self._receive()
            finally:
                self.idle.discard(scope)
        if data:
            self.h11.receive_data(data)
        return bool(data)

    async def _read_request(self) -> Request | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        if self.h11.they_are_waiting_for_100_continue:
            await self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > self.limits.max_body:
                text = f"the body exceeds {self.limits.max_body} bytes"
                raise RelayError("body_too_large", text, step="read request", peer=self.peer)
        if not isinstance(event, h11.EndOfMessage):
            return None
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
        target = head.target.decode("ascii")
        self._body = bytearray()
        self._record(len(body))
        return Request(head.method.decode("ascii"), target, headers, bytes(body), self.peer)

    async def _next_event(self):
        while (event := await self._next_step()) is h11.NEED_DATA:
            self.h11.receive_data(await self._receive())
        return event

    async def _next_step(self):
        """Return the next step of the parser; after many, only in turn with other connections."""
        self._steps += 1
        if self.share is not None and self._steps % STEPS_PER_TURN == 0:
            async with self.share.account.turns:
                await trio.lowlevel.checkpoint()
        return self.h11.next_event()

    async def _refuse(self, code: str, message: str) -> bool:
        error = RelayError(code, message, step="read request", peer=self.peer)
        body = {"outcome": "not_run", "code": code, "message": message}
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(json_response(error.status, body, {"connection": "close"}))
        return False

    async def _send(self, response: Response) -> None:
        headers = dict(response.headers)
        headers["content-length"] = str(len(response.body))
        if self.stopping.is_set():
            headers["connection"] = "close"
        head = h11.Response(status_code=response.status, headers=list(headers.items()))
        data = self.h11.send(head)
        if response.body:
            data += self.h11.send(h11.Data(data=response.body))
        data += self.h11.send(h11.EndOfMessage())
        self._record(len(data))
        with trio.move_on_after(self.limits.idle_timeout) as scope:
            await self.stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client does not read")

    async def _send_event(self, event) -> None:
        await self.stream.send_all(self.h11.send(event))


def _plain_socket(stream: trio.abc.Stream) -> trio.socket.SocketType | None:
    """Return the socket of a stream that reads from nothing else."""
    return stream.socket if isinstance(stream, trio.SocketStream) else None


def _peer_name(stream: trio.abc.Stream) -> str:
    """Return `host:port` of the remote side, or an empty string for a stream without an address."""
    socket = getattr(stream, "socket", None)
    if socket is None:
        return ""
    try:
        host, port = socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"
