"""HTTP/1.1 server loop: each connection has a task that serves one request at a time."""

from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio

from ..errors import RelayError
from ..log import event, traceback
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
) -> None:
    """Serve until cancelled, or until `stopping` is set and all connections have ended.

    Once `stopping` is set, no connection is accepted, idle connections are closed, and each of the
    others is closed after its request in flight.
    """
    limits = limits or HttpLimits()
    if stopping is None:
        stopping = trio.Event()
    idle: set[trio.CancelScope] = set()
    async with trio.open_nursery() as connections:

        async def serve(stream: trio.abc.Stream) -> None:
            try:
                await _Connection(stream, handler, limits, stopping, idle).run()
            except Exception as error:
                event("http.connection_failed", reason=traceback(error))

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

    async def run(self) -> None:
        try:
            async with self.stream:
                while await self._serve_one():
                    self.h11.start_next_cycle()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError, h11.ProtocolError):
            pass

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
        response = await self.handler(request)
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
                data = await self.stream.receive_some(RECEIVE_BYTES)
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
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > self.limits.max_body:
                text = f"the body exceeds {self.limits.max_body} bytes"
                raise RelayError("body_too_large", text, step="read request", peer=self.peer)
        if not isinstance(event, h11.EndOfMessage):
            return None
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
        target = head.target.decode("ascii")
        return Request(head.method.decode("ascii"), target, headers, bytes(body), self.peer)

    async def _next_event(self):
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            self.h11.receive_data(await self.stream.receive_some(RECEIVE_BYTES))
        return event

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
        await self.stream.send_all(data)

    async def _send_event(self, event) -> None:
        await self.stream.send_all(self.h11.send(event))


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
