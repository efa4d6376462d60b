"""Client connections: one request at a time, cancelled if the client disconnects."""

import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

import h11
import trio

from ..decide.intake import Stage
from ..decide.refusal import INCOMPLETE, SLOW_REQUEST, Refusal, refusal
from ..decide.timing import ROUND_TRIP_S
from ..http import Request, Response
from ..http.intake import STEPS_PER_TURN, Account, RequestBody, Share
from ..http.memory import UNCOUNTED_BYTES, HeldBody
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

#: Bytes that are buffered beyond a request while it is served.
MAX_AHEAD_BYTES = 65536
#: Bytes that the parser gets at once, which bounds those that it holds.
PARSED_BYTES = 16 * 1024
#: Bytes per second at which a body arrives on average, beyond the idle timeout; a client that sends
#: one byte now and then would occupy its connection for hours.
MIN_BODY_RATE = 4096
#: Bytes for sizes and extensions of chunks for each byte of a body, beyond `max_header`; a chunk of
#: one byte takes five.
MAX_CHUNK_OVERHEAD = 8
#: Bytes of a head from which on it is parsed in turn; most heads are smaller.
LARGE_HEAD_BYTES = 4096
#: Memory of a header beyond its bytes: two objects and their places in two dictionaries.
HEADER_MEMORY = 250
#: Responses up to this size are sent in one system call, longer ones without a copy.
JOINED_BYTES = 64 * 1024
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
    account: Account

    @property
    def limits(self) -> ClientLimits:
        """Limits in force."""


class _BadRequest(NamedTuple):
    status: int
    reason: str


def _encoded(refused: Refusal) -> bytes:
    """Return a response without a body that closes its connection."""
    return (
        f"HTTP/1.1 {refused.status} {HTTPStatus(refused.status).phrase}\r\n"
        f"retry-after: {refused.retry_after:g}\r\n"
        "connection: close\r\ncontent-length: 0\r\n\r\n"
    ).encode()


# A request that is not complete has not been handed over, so that it has not run.
_SLOW = refusal(SLOW_REQUEST, may_have_run=False)
_ABANDONED_RESPONSE = _encoded(refusal(INCOMPLETE, may_have_run=False))


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
        #: Its part of the memory account; None until `run` has been called.
        self.share: Share | None = None
        self._received = trio.Event()
        self._consumed = trio.Event()
        self._connection_scope: trio.CancelScope | None = None
        #: Whether a request has arrived in part and has not been handed over.
        self._reading = False
        #: Body of the request that is being read, and parsing steps that it has taken.
        self._body = bytearray()
        self._steps = 0
        #: Bytes of the request that were handed to the parser.
        self._parsed = 0
        self._reader: _RequestReader | None = None
        #: Body of the request that is being served.
        self._served_body = b""
        #: Bytes held beside the buffer and the body: what the parser may hold, headers, a request
        #: that is being served, and a response that is not sent.
        self._other_bytes = 0

    async def run(self, share: Share) -> None:
        """Serve until the client disconnects, exceeds a limit, or the instance closes it."""
        self.share = share
        try:
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(self._receive)
                await self._serve()
                nursery.cancel_scope.cancel()
        finally:
            self._detach_body()
            share.close()
            self.stream.close()

    def abandon(self) -> None:
        """Free the memory of the connection and close it; refuse a request that has not run."""
        if self._reading and self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self.stream.send_some(_ABANDONED_RESPONSE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.client_gone = True
        self._reading = False
        self.buffer.clear()
        self._body.clear()
        self._detach_body()
        if self._reader is not None:
            self._reader.head = None
        # Closed here and not when its tasks end, since others are accepted before that.
        self.stream.close()
        if self._connection_scope is not None:
            self._connection_scope.cancel()

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
                await self.stream.wait_input()
                size = await self.share.draw()
                if not size:
                    return
                data = self.stream.receive_now(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if data is None:
                continue
            if not data:
                self.client_gone = True
                self._received.set()
                if self.request_scope is not None:
                    self.request_scope.cancel()
                return
            self.buffer += data
            self._record()
            self._received.set()
            while len(self.buffer) > MAX_AHEAD_BYTES:
                self._consumed = trio.Event()
                await self._consumed.wait()

    def _record(self) -> None:
        self.share.record(len(self.buffer) + len(self._body) + self._other_bytes)

    async def _serve(self) -> None:
        while await self._wait_for_request():
            self.idle = False
            arrived = trio.current_time()
            self._reading = True
            request = await self._read_request(arrived)
            if isinstance(request, _BadRequest):
                await self._reject(request)
                return
            if request is None or not self._reading:
                return
            self._reading = False
            round_trip = self.stream.round_trip_time() or ROUND_TRIP_S
            self.share.record_stage(Stage.BUSY)
            self._served_body = request.body
            response = await self._handle(request, Arrival(arrived, round_trip, self.first))
            self._detach_body()
            self.share.record_stage(Stage.OPEN)
            self.first = False
            if response is None:
                return
            head_only = request.method == "HEAD"
            request = None
            self._other_bytes = 0
            if not await self._send(response, head_only):
                return
            if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
                return
            self.h11.start_next_cycle()
            self._other_bytes = 0
            self._record()
            self.idle = True

    def _detach_body(self) -> None:
        """Leave the body of the request to its sub-requests, of which some may still run."""
        body, self._served_body = self._served_body, b""
        # A connection that is abandoned before it runs has no share yet, and no body.
        if body:
            self.share.detach(body)

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
        """Read one request; return None if the client disconnected."""
        limits = self.front.limits
        reader = self._reader = _RequestReader(limits)
        until = arrived + limits.header_timeout
        latest = math.inf
        self._body = reader.body
        self._steps = 0
        self._parsed = len(self.h11.trailing_data[0])
        while True:
            try:
                event = await self._next_event(in_head=reader.head is None)
            except h11.RemoteProtocolError as error:
                return _BadRequest(error.error_status_hint or 400, str(error))
            if event is h11.NEED_DATA:
                if self.h11.they_are_waiting_for_100_continue:
                    await self._continue()
                if not await self._wait_for_bytes(min(until, latest)):
                    return (
                        None
                        if self.client_gone or not self._reading
                        else _BadRequest(_SLOW.status, "the request was not sent in time")
                    )
                data = bytes(self.buffer[:PARSED_BYTES])
                del self.buffer[:PARSED_BYTES]
                self.h11.receive_data(data)
                self._parsed += len(data)
                self._other_bytes = reader.head_memory + len(data)
                self._record()
                if reader.head is not None:
                    reader.received += len(data)
                    latest = reader.latest()
                self._consumed.set()
            elif isinstance(event, h11.Request):
                if bad := reader.take_head(event):
                    return bad
            elif isinstance(event, h11.Data):
                reader.body += event.data
                until = trio.current_time() + limits.idle_timeout
                if bad := reader.check_body():
                    return bad
            elif isinstance(event, h11.EndOfMessage):
                if not self._reading:
                    return None
                request = reader.request()
                self._body = bytearray()
                self._reader = None
                ahead = len(self.h11.trailing_data[0])
                self._other_bytes = reader.head_memory + len(request.body) + ahead
                self._record()
                return request
            else:
                return None

    async def _next_event(self, *, in_head: bool):
        """Return the next event; after many of a request, only in turn with other connections.

        Parsing a chunk takes some microseconds, so that thousands of small ones would hold up all
        other connections. A large head takes some milliseconds, and about 1 MB until it is parsed.
        """
        self._steps += 1
        if self._steps % STEPS_PER_TURN == 0 or (in_head and self._parsed > LARGE_HEAD_BYTES):
            async with self.front.account.turns:
                await trio.lowlevel.checkpoint()
        return self.h11.next_event()

    async def _continue(self) -> None:
        data = self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.client_gone = True

    async def _reject(self, bad: _BadRequest) -> None:
        self.front.account.refused[bad.status] += 1
        self._reading = False
        self.buffer.clear()
        self._body.clear()
        self._other_bytes = 0
        self._record()
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
        body = b"" if head_only else response.body
        try:
            data = self.h11.send(h11.Response(status_code=response.status, headers=encoded))
            if body:
                # The body is not copied: a client that reads slowly holds it once.
                self.h11.send_with_data_passthrough(h11.Data(data=body))
            self.h11.send(h11.EndOfMessage())
            with trio.move_on_after(self.front.limits.idle_timeout):
                await self._send_parts(data, body)
                return True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        event("client.silent", unsent_of=len(data) + len(body))
        return False

    async def _send_parts(self, head: bytes, body: bytes) -> None:
        if len(body) <= JOINED_BYTES:
            head, body = head + body, b""
        for part in (head, body):
            sent = self.stream.send_some(part) if part else 0
            if sent < len(part):
                # Counted only while the client does not read, which most do at once.
                self._other_bytes = len(head) + len(body)
                self._record()
                if isinstance(body, HeldBody):
                    body.release()
                with memoryview(part) as view:
                    await self.stream.send_all(view[sent:])


class _RequestReader:
    """Head and body of a request that is being read."""

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.head: Request | None = None
        self.body = bytearray()
        #: Bytes that were received after the head, and memory that the head takes.
        self.received = 0
        self.head_memory = 0
        #: Time at which the head was complete.
        self.headed_at = math.inf

    def take_head(self, event: h11.Request) -> _BadRequest | None:
        """Decode the head; return why the request is refused, if it is."""
        self.headed_at = trio.current_time()
        head = self.head = _request(event)
        count = len(event.headers)
        self.head_memory = len(event.target) + count * HEADER_MEMORY
        self.head_memory += sum(len(name) + len(value) for name, value in event.headers)
        stated = head.headers.get("content-length", "")
        if stated.isdecimal() and int(stated) > self.limits.max_body:
            return self._too_large()
        return None

    def latest(self) -> float:
        """Return the time until which the next bytes of the body must arrive."""
        return self.headed_at + self.limits.idle_timeout + self.received / MIN_BODY_RATE

    def check_body(self) -> _BadRequest | None:
        """Return why the request is refused, if the bytes so far are too many."""
        if len(self.body) > self.limits.max_body:
            return self._too_large()
        allowed = self.limits.max_header + MAX_CHUNK_OVERHEAD * (len(self.body) + PARSED_BYTES)
        if self.received - len(self.body) > allowed:
            return _BadRequest(413, "too many bytes of chunk sizes and extensions")
        return None

    def request(self) -> Request:
        """Return the complete request."""
        body = RequestBody(self.body) if len(self.body) > UNCOUNTED_BYTES else bytes(self.body)
        return self.head._replace(body=body)

    def _too_large(self) -> _BadRequest:
        return _BadRequest(413, f"the body exceeds {self.limits.max_body} bytes")


def _request(head: h11.Request) -> Request:
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(head.method.decode("ascii"), head.target.decode("ascii"), headers)
