"""Multiplexed connections between instances.

A message is a call with one reply, a call with a stream of replies, or a notification without a
reply. A call without a message asks whether the link still works.
"""

import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

from ..decide.intake import SMALL_BYTES, Lane, Stage
from ..errors import CODES, RelayError
from ..http.intake import STEPS_PER_TURN, Account, Share
from ..log import event, traceback
from .framing import Frame, FrameKind, FrameReader, encode_frame
from .messages import Failure

__all__ = ["Emit", "FrameMemory", "Handlers", "PeerLink", "open_link", "serve_peers"]

#: Sends one item of a stream of replies.
Emit = Callable[[tuple], Awaitable[None]]

RECEIVE_BYTES = 65536
WRITE_QUEUE_FRAMES = 1024
STREAM_QUEUE_ITEMS = 4096
#: Bytes of frames that wait to be sent by a process whose limits are not known.
MAX_WAITING_BYTES = 32 * 1024 * 1024
#: Time in seconds between two regular checks of a link.
CHECK_PERIOD_S = 10.0
#: Time in seconds in which an instance that works answers a check for which a request waits, and
#: one for which nothing waits.
CHECK_TIMEOUT_S = 0.25
REGULAR_CHECK_TIMEOUT_S = 1.0
#: Further times in seconds to wait for bytes: while this instance is busy, its timers expire
#: together with the arrival of messages, which are read two iterations of the event loop later.
LATE_READ_S = (0.001, 0.001)
#: Time in seconds without any bytes after which the server side closes a connection: two checks of
#: a client, and half a period for late ones.
CLIENT_SILENCE_S = 2.5 * CHECK_PERIOD_S


class Handlers:
    """Message handlers of an instance by message class, registered with decorators."""

    def __init__(self) -> None:
        self.calls: dict[type, Callable] = {}
        self.streams: dict[type, Callable] = {}

    def on(self, cls: type):
        """Return a decorator that registers `async (message) -> message | None`.

        The handler receives calls and notifications of `cls`; its result for a notification is
        ignored.
        """

        def register(handler):
            self.calls[cls] = handler
            return handler

        return register

    def on_stream(self, cls: type):
        """Return a decorator that registers `async (message, emit) -> None`.

        The handler sends each item of the stream with `emit`.
        """

        def register(handler):
            self.streams[cls] = handler
            return handler

        return register


class FrameMemory:
    """Bytes of frames that wait to be sent on all links of a process.

    A frame with the body of a request is a copy of it, one for each instance that gathers a part.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        #: Bytes that wait, and those that are reserved for frames which do not wait yet.
        self.waiting = 0
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve room for the body of a frame; return False if there is none.

        Small ones need no room. `free` ends the reservation.
        """
        if size > SMALL_BYTES:
            if self.waiting + self.reserved + size > self.limit:
                return False
            self.reserved += size
        return True

    def free(self, size: int) -> None:
        """End a reservation: the frame waits now, or is not sent."""
        if size > SMALL_BYTES:
            self.reserved -= size


class _FrameWriter:
    """Writes queued frames to a stream; all frames that are ready go in one system call."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.sender, self.receiver = trio.open_memory_channel[bytes](WRITE_QUEUE_FRAMES)
        #: Bytes of the frames that wait to be sent.
        self.waiting = 0
        self.ended = False

    async def send(self, frame: bytes) -> None:
        """Queue a frame; raises `trio.BrokenResourceError` after the end of `run`."""
        with self._counted(frame):
            await self.sender.send(frame)

    def send_nowait(self, frame: bytes) -> None:
        """Queue a frame; raises `trio.WouldBlock` as well if the queue is full."""
        with self._counted(frame):
            self.sender.send_nowait(frame)

    @contextmanager
    def _counted(self, frame: bytes) -> Iterator[None]:
        if self.ended:
            raise trio.BrokenResourceError("the link has ended")
        self._count(len(frame))
        try:
            yield
        except BaseException:
            if not self.ended:
                self._count(-len(frame))
            raise

    async def run(self) -> None:
        try:
            async for frame in self.receiver:
                ready = self.receiver.statistics().current_buffer_used
                batch = [self.receiver.receive_nowait() for _ in range(ready)]
                data = b"".join((frame, *batch))
                del frame, batch
                await self.stream.send_all(data)
                self._count(-len(data))
        finally:
            self.ended = True
            self.receiver.close()
            self._count(-self.waiting)

    def _count(self, size: int) -> None:
        self.waiting += size
        PeerLink.frames.waiting += size


class PeerLink:
    """The client side of a connection to another instance."""

    #: Frames that wait to be sent on all links of the process.
    frames = FrameMemory(MAX_WAITING_BYTES)

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        self.stream = stream
        self.peer = peer
        self.closed = False
        self.writer = _FrameWriter(stream)
        self._ids = itertools.count(1)
        self._in_flight: dict[int, trio.MemorySendChannel] = {}
        #: Set when bytes arrive during a check; None without one.
        self._heard: trio.Event | None = None
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Read and write frames until the connection ends, then fail all calls in flight."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.writer.run)
                    nursery.start_soon(self._check_regularly)
                    await self._read()
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError, RelayError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """End `run`, fail all calls in flight and refuse new ones."""
        self.closed = True
        self._scope.cancel()
        channels = list(self._in_flight.values())
        self._in_flight.clear()
        for channel in channels:
            channel.close()

    async def check(self, timeout: float = CHECK_TIMEOUT_S) -> bool:
        """Return whether the link works; if nothing arrives in `timeout` seconds, close it.

        A connection can go silent for good without ever ending, while new ones to the same instance
        work. While another check runs, this one returns at once.
        """
        if self.closed or self._heard is not None:
            return not self.closed
        self._heard = heard = trio.Event()
        try:
            with trio.move_on_after(timeout):
                await self._send(encode_frame(FrameKind.CALL, next(self._ids)))
                await heard.wait()
            for seconds in LATE_READ_S:
                with trio.move_on_after(seconds):
                    await heard.wait()
        except RelayError:
            self.close()
        finally:
            self._heard = None
        if not heard.is_set() and not self.closed:
            event("link.silent", peer=self.peer, in_flight=len(self._in_flight))
            self.close()
        return not self.closed

    async def _check_regularly(self) -> None:
        """Check the link, in use or not: the other side expects bytes from this one as well."""
        while not self.closed:
            await trio.sleep(CHECK_PERIOD_S)
            await self.check(REGULAR_CHECK_TIMEOUT_S)

    async def call(self, message: tuple) -> tuple:
        """Send a message and return its reply.

        Raises `RelayError` with the failure of the handler, or `peer_unavailable` if the connection
        is closed; `ran` is then "not_run" if the message was not sent, else "unknown".
        """
        async with self._open(FrameKind.CALL, message) as channel:
            async for frame in channel:
                if frame.kind is FrameKind.REPLY:
                    return frame.message
                raise self._error_from(frame)
        raise self._unavailable()

    async def notify(self, message: tuple) -> None:
        """Send a message that has no reply; raises `peer_unavailable`."""
        await self._send(encode_frame(FrameKind.CAST, 0, message))

    @asynccontextmanager
    async def open_stream(self, message: tuple):
        """Send a message and yield an async iterator over the items of its replies.

        Leaving the block before the end of the stream cancels the call at the peer. Raises the same
        errors as `call`.
        """
        async with self._open(FrameKind.STREAM, message) as channel:
            yield self._items(channel)

    async def _items(self, channel) -> AsyncIterator[tuple]:
        async for frame in channel:
            if frame.kind is FrameKind.END:
                return
            if frame.kind is not FrameKind.ITEM:
                raise self._error_from(frame)
            yield frame.message
        raise self._unavailable()

    @asynccontextmanager
    async def _open(self, kind: FrameKind, message: tuple):
        if self.closed:
            raise self._unavailable("not_run")
        call_id = next(self._ids)
        sender, receiver = trio.open_memory_channel[Frame](STREAM_QUEUE_ITEMS)
        self._in_flight[call_id] = sender
        try:
            await self._send(encode_frame(kind, call_id, message))
            yield receiver
        finally:
            if self._in_flight.pop(call_id, None) is not None and not self.closed:
                self._cancel(call_id)
            sender.close()
            receiver.close()

    def _cancel(self, call_id: int) -> None:
        try:
            self.writer.send_nowait(encode_frame(FrameKind.CANCEL, call_id))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed = True

    async def _send(self, data: bytes) -> None:
        try:
            await self.writer.send(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise self._unavailable("not_run") from None

    async def _read(self) -> None:
        reader = FrameReader()
        while data := await self.stream.receive_some(RECEIVE_BYTES):
            if self._heard is not None:
                self._heard.set()
            for frame in reader.feed(data):
                self._deliver(frame)

    def _deliver(self, frame: Frame) -> None:
        channel = self._in_flight.get(frame.call_id)
        if channel is None:
            return
        if frame.kind in (FrameKind.REPLY, FrameKind.END, FrameKind.ERROR):
            del self._in_flight[frame.call_id]
        try:
            channel.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._in_flight.pop(frame.call_id, None)
            channel.close()

    def _error_from(self, frame: Frame) -> RelayError:
        failure = frame.message
        if not isinstance(failure, Failure):
            text = "error frame without a failure"
            return RelayError("bad_answer", text, step="peer call", peer=self.peer, ran="unknown")
        code = failure.code if failure.code in CODES else "internal"
        return RelayError(
            code, failure.message, step=failure.step, peer=failure.peer, ran=failure.ran
        )

    def _unavailable(self, ran: str = "unknown") -> RelayError:
        return RelayError(
            "peer_unavailable",
            "the connection to the peer is closed",
            step="peer call",
            peer=self.peer,
            ran=ran,
        )


@asynccontextmanager
async def open_link(host: str, port: int):
    """Connect to an instance and yield a running `PeerLink`; raises `connect_failed`."""
    peer = f"{host}:{port}"
    try:
        stream = await trio.open_tcp_stream(host, port)
    except OSError as error:
        raise RelayError("connect_failed", str(error), step="peer connect", peer=peer) from error
    async with stream, trio.open_nursery() as nursery:
        link = PeerLink(stream, peer)
        nursery.start_soon(link.run)
        try:
            yield link
        finally:
            link.close()
            nursery.cancel_scope.cancel()


class _PeerConnection:
    """The server side of a connection; each call runs in its own task."""

    def __init__(self, stream: trio.SocketStream, handlers: Handlers) -> None:
        self.stream = stream
        self.handlers = handlers
        self.share: Share | None = None
        self.reader = FrameReader()
        self._scope = trio.CancelScope()
        self.writer = _FrameWriter(stream)
        self.scopes: dict[int, trio.CancelScope] = {}
        #: Time at which bytes arrived last.
        self.received_at = trio.current_time()
        #: Whether the client checks its links.
        self.checked = False

    async def run(self, share: Share | None = None) -> None:
        self.share = share
        if share is not None:
            share.set_buffers(self.stream.socket)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.writer.run)
                    nursery.start_soon(self._end_if_silent, nursery.cancel_scope)
                    while data := await self._receive():
                        self.received_at = trio.current_time()
                        await self._handle_frames(self.reader.feed(data), nursery)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError, RelayError):
            pass

    def abandon(self) -> None:
        """Free the memory of the connection and close it."""
        self.reader.buffer.clear()
        self.stream.socket.close()
        self._scope.cancel()

    async def _receive(self) -> bytes:
        """Return the next bytes, for which there is room in the account."""
        if self.share is None:
            return await self.stream.receive_some(RECEIVE_BYTES)
        await trio.lowlevel.wait_readable(self.stream.socket)
        size = await self.share.draw()
        if not size:
            return b""
        data = await self.stream.receive_some(size)
        self.share.record(len(self.reader.buffer) + len(data))
        return data

    async def _handle_frames(self, frames: list[Frame], nursery: trio.Nursery) -> None:
        for number, frame in enumerate(frames, start=1):
            self._handle_frame(frame, nursery)
            if number % STEPS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
        if self.share is not None:
            self.share.record(len(self.reader.buffer))
            if frames:
                # Only other instances send frames; their links are closed last.
                self.share.record_stage(Stage.BUSY)

    def _handle_frame(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.kind is FrameKind.CANCEL:
            scope = self.scopes.get(frame.call_id)
            if scope is not None:
                scope.cancel()
        elif frame.kind in (FrameKind.CALL, FrameKind.CAST, FrameKind.STREAM):
            scope = trio.CancelScope()
            # Registered before the task runs: the same read may also contain the cancellation.
            if frame.kind is not FrameKind.CAST:
                self.scopes[frame.call_id] = scope
            nursery.start_soon(self._serve, frame, scope)

    async def _end_if_silent(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` if a client that checks its links sends nothing for a long time."""
        while True:
            await trio.sleep_until(self.received_at + CLIENT_SILENCE_S)
            silent = trio.current_time() >= self.received_at + CLIENT_SILENCE_S
            if silent and not self.checked:
                self.received_at = trio.current_time()
            elif silent:
                event("link.client_silent", running=len(self.scopes))
                scope.cancel()
                return

    async def _serve(self, frame: Frame, scope: trio.CancelScope) -> None:
        with scope:
            try:
                await trio.lowlevel.checkpoint_if_cancelled()
                with self._counted(frame):
                    await self._answer(frame)
            except RelayError as error:
                await self._send_failure(frame, error)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except Exception as error:
                text = f"{type(error).__name__}: {error}"
                await self._send_failure(frame, RelayError("internal", text, ran="unknown"))
            finally:
                if frame.kind is not FrameKind.CAST:
                    self.scopes.pop(frame.call_id, None)

    @contextmanager
    def _counted(self, frame: Frame) -> Iterator[None]:
        """Count the body of a message while it is handled; raises `peer_unavailable`."""
        size = len(getattr(frame.message, "body", b""))
        if self.share is None:
            yield
            return
        intake = self.share.account.intake
        if not intake.begin_call(size):
            raise RelayError("peer_unavailable", "memory is short", step="peer call")
        try:
            yield
        finally:
            intake.end_call(size)

    async def _answer(self, frame: Frame) -> None:
        if frame.kind is FrameKind.CALL and frame.message is None:
            self.checked = True
            await self.writer.send(encode_frame(FrameKind.REPLY, frame.call_id))
            return
        streamed = frame.kind is FrameKind.STREAM
        handlers = self.handlers.streams if streamed else self.handlers.calls
        handler = handlers.get(type(frame.message))
        if handler is None:
            name = type(frame.message).__name__
            raise RelayError("bad_request", f"no handler for {name}", step="peer call")
        if streamed:
            await handler(frame.message, self._emitter(frame.call_id))
            await self.writer.send(encode_frame(FrameKind.END, frame.call_id))
            return
        reply = await handler(frame.message)
        if frame.kind is FrameKind.CALL:
            await self.writer.send(encode_frame(FrameKind.REPLY, frame.call_id, reply))

    def _emitter(self, call_id: int) -> Emit:
        async def emit(item: tuple) -> None:
            await self.writer.send(encode_frame(FrameKind.ITEM, call_id, item))

        return emit

    async def _send_failure(self, frame: Frame, error: RelayError) -> None:
        if frame.kind is FrameKind.CAST:
            return
        failure = Failure(error.code, error.message, error.step, error.peer, error.ran)
        data = encode_frame(FrameKind.ERROR, frame.call_id, failure)
        try:
            await self.writer.send(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def serve_peers(
    handlers: Handlers, listeners: list[trio.SocketListener], account: Account | None = None
) -> None:
    """Accept connections of other instances and handle their messages until cancelled.

    They draw on `account` if there is one.
    """

    async def serve(stream: trio.SocketStream) -> None:
        connection = _PeerConnection(stream, handlers)
        share = None
        if account is not None:
            share = account.open(Lane.PEERS, _address_of(stream), connection.abandon)
            if share is None:
                return
        try:
            await connection.run(share)
        except Exception as error:
            event("link.failed", reason=traceback(error))
        finally:
            if share is not None:
                share.close()

    await trio.serve_listeners(serve, listeners)


def _address_of(stream: trio.SocketStream) -> str:
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""
