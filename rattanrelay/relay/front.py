"""Client connections: one request at a time, cancelled if the client disconnects."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import h11
import trio

from ..decide.timing import ROUND_TRIP_S
from ..http import Request, Response
from ..http.plain import PlainStream
from ..log import event
from .model import ClientLimits

__all__ = ["Arrival", "ClientConnection", "FrontPort", "Handler"]


class Arrival(NamedTuple):
    """Arrival time of a request and properties of its connection."""

    #: Time of the first byte.
    at: float
    #: Round-trip time to the client in seconds.
    round_trip: float
    #: Whether it is the first request of its connection.
    new: bool


#: Function that answers one request.
Handler = Callable[[Request, Arrival], Awaitable[Response]]

RECEIVE_BYTES = 65536
#: Bytes that are buffered beyond a request while it is served.
MAX_AHEAD_BYTES = 65536
#: Time in seconds for which a connection stays open after a rejected request, so that the client
#: can read the response.
REJECTED_LINGER_S = 0.5
#: Idle time in seconds after which a connection may be closed during a stop: two round trips to a
#: distant client.
MIN_IDLE_S = 0.2


class FrontPort(Protocol):
    """Interface of the instance that a connection uses."""

    closing: bool
    handler: Handler

    @property
    def limits(self) -> ClientLimits:
        """Limits in force."""


class _BadRequest(NamedTuple):
    status: int
    reason: str


class ClientConnection:
    """One connection of a client."""

    def __init__(self, stream: PlainStream, front: FrontPort) -> None:
        self.stream = stream
        self.front = front
        limits = front.limits
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header)
        self.buffer = bytearray()
        #: Whether the client has closed the connection.
        self.client_gone = False
        self.idle = True
        #: Whether no request of the connection has been answered yet.
        self.first = True
        #: Time at which it was opened or its last response was sent.
        self.idle_since = trio.current_time()
        self.request_scope: trio.CancelScope | None = None
        self._received = trio.Event()
        self._consumed = trio.Event()
        self._connection_scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Serve until the client disconnects, exceeds a limit, or the instance closes it."""
        try:
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(self._receive)
                await self._serve()
                nursery.cancel_scope.cancel()
        finally:
            self.stream.close()

    def close_if_idle(self) -> None:
        """Close the connection if it has been idle for `MIN_IDLE_S`.

        The first request of a new connection is likely in transit, and a client that has just read
        a response may already be sending its next request.
        """
        waited = trio.current_time() - self.idle_since >= MIN_IDLE_S
        if self.idle and waited and not self.buffer and self._connection_scope is not None:
            self._connection_scope.cancel()

    async def _receive(self) -> None:
        """Receive continuously, so that a disconnect is noticed while a request is served."""
        while True:
            try:
                data = await self.stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self.client_gone = True
                self._received.set()
                if self.request_scope is not None:
                    self.request_scope.cancel()
                return
            self.buffer += data
            self._received.set()
            while len(self.buffer) > MAX_AHEAD_BYTES:
                self._consumed = trio.Event()
                await self._consumed.wait()

    async def _serve(self) -> None:
        while await self._wait_for_request():
            self.idle = False
            arrived = trio.current_time()
            request = await self._read_request(arrived)
            if isinstance(request, _BadRequest):
                await self._reject(request)
                return
            if request is None:
                return
            round_trip = self.stream.round_trip_time() or ROUND_TRIP_S
            response = await self._handle(request, Arrival(arrived, round_trip, self.first))
            self.first = False
            if response is None:
                return
            if not await self._send(response, request.method == "HEAD"):
                return
            if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
                return
            self.h11.start_next_cycle()
            self.idle = True

    async def _handle(self, request: Request, arrival: Arrival) -> Response | None:
        with trio.CancelScope() as self.request_scope:
            if self.client_gone:
                self.request_scope.cancel()
            return await self.front.handler(request, arrival)
        return None

    async def _wait_for_request(self) -> bool:
        if self.h11.trailing_data[0] or self.buffer:
            return True
        self.idle_since = trio.current_time()
        return await self._wait_for_bytes(trio.current_time() + self.front.limits.idle_timeout)

    async def _wait_for_bytes(self, until: float) -> bool:
        """Wait for bytes; return False if none arrived in time or the client disconnected."""
        if not self.buffer and not self.client_gone:
            self._received = trio.Event()
            with trio.move_on_at(until):
                await self._received.wait()
        return bool(self.buffer)

    async def _read_request(self, arrived: float) -> Request | _BadRequest | None:
        limits = self.front.limits
        head: h11.Request | None = None
        body = bytearray()
        until = arrived + limits.header_timeout
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                return _BadRequest(error.error_status_hint or 400, str(error))
            if event is h11.NEED_DATA:
                if self.h11.they_are_waiting_for_100_continue:
                    await self._continue()
                if not await self._wait_for_bytes(until):
                    return (
                        None
                        if self.client_gone
                        else _BadRequest(408, "the request was not sent in time")
                    )
                self.h11.receive_data(bytes(self.buffer))
                self.buffer.clear()
                self._consumed.set()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                until = trio.current_time() + limits.idle_timeout
                if len(body) > limits.max_body:
                    return _BadRequest(413, f"the body exceeds {limits.max_body} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return _request(head, bytes(body))
            else:
                return None

    async def _continue(self) -> None:
        data = self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.client_gone = True

    async def _reject(self, bad: _BadRequest) -> None:
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = {"connection": "close", "content-type": "text/plain"}
        if await self._send(Response(bad.status, headers, f"{bad.reason}\n".encode()), False):
            await trio.sleep(REJECTED_LINGER_S)

    async def _send(self, response: Response, head_only: bool) -> bool:
        headers = dict(response.headers)
        headers["content-length"] = str(len(response.body))
        if self.front.closing:
            headers["connection"] = "close"
        encoded = [
            (name.encode("ascii"), value.encode("latin-1")) for name, value in headers.items()
        ]
        try:
            data = self.h11.send(h11.Response(status_code=response.status, headers=encoded))
            if response.body and not head_only:
                data += self.h11.send(h11.Data(data=response.body))
            data += self.h11.send(h11.EndOfMessage())
            with trio.move_on_after(self.front.limits.idle_timeout):
                await self.stream.send_all(data)
                return True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        event("client.silent", unsent_of=len(data))
        return False


def _request(head: h11.Request, body: bytes) -> Request:
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(head.method.decode("ascii"), head.target.decode("ascii"), headers, body)
