"""Forwarding of one TCP connection with shaping that can change while it runs."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from .gate import RESET_ON_CLOSE

__all__ = ["HEALTHY", "ConnectionCut", "Shape", "forward", "reset_on_close"]

RECEIVE_BYTES = 65536

#: Chunks that are under way in one direction before the sender is slowed down.
MAX_CHUNKS = 256


class Shape(NamedTuple):
    """Treatment of the bytes of one direction; times in ms, sizes in bytes.

    Bytes that are held are delivered, in order, once the hold ends, as TCP does after a partition.
    """

    held: bool = False
    delay_ms: float = 0.0
    #: Total bytes after which the connection is cut.
    cut_after: int | None = None
    #: Largest piece that is sent at once, 0 for no limit, and the pause between two pieces.
    piece_bytes: int = 0
    piece_gap_ms: float = 0.5


HEALTHY = Shape()


class ConnectionCut(Exception):
    """The shape asks for the connection to be reset."""


class Chunk(NamedTuple):
    """Bytes, empty for the end of the stream, and the time at which they arrived."""

    arrived: float
    data: bytes


async def forward(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    shape: Callable[[], Shape],
    changed: Callable[[], Awaitable[None]],
    count: Callable[[int], None],
) -> None:
    """Forward one direction until its end; `changed` waits for another shape.

    Raises `ConnectionCut` at the byte where the shape cuts.
    """
    send, receive = trio.open_memory_channel[Chunk](MAX_CHUNKS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read, source, send)
        await _Writer(sink, shape, changed, count).run(receive)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make the close of a stream send a reset."""
    try:
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return


async def _read(source: trio.SocketStream, chunks: trio.MemorySendChannel[Chunk]) -> None:
    async with chunks:
        while True:
            data = await source.receive_some(RECEIVE_BYTES)
            await chunks.send(Chunk(trio.current_time(), data))
            if not data:
                return


class _Writer:
    """The sending side of one direction."""

    def __init__(self, sink, shape, changed, count) -> None:
        self.sink = sink
        self.shape = shape
        self.changed = changed
        self.count = count
        self.total = 0

    async def run(self, chunks: trio.MemoryReceiveChannel[Chunk]) -> None:
        async for chunk in chunks:
            await trio.sleep_until(chunk.arrived + self.shape().delay_ms / 1000)
            await self._wait_while_held()
            if not chunk.data:
                await self.sink.send_eof()
                return
            await self._send(chunk.data)

    async def _send(self, data: bytes) -> None:
        while data:
            await self._wait_while_held()
            shape = self.shape()
            size = min(len(data), shape.piece_bytes or len(data))
            if shape.cut_after is not None:
                size = min(size, max(shape.cut_after - self.total, 0))
            await self._send_piece(data[:size])
            if shape.cut_after is not None and self.total >= shape.cut_after:
                raise ConnectionCut
            data = data[size:]
            if data:
                await trio.sleep(shape.piece_gap_ms / 1000)

    async def _send_piece(self, piece: bytes) -> None:
        if piece:
            await self.sink.send_all(piece)
            self.total += len(piece)
            self.count(len(piece))

    async def _wait_while_held(self) -> None:
        while self.shape().held:
            await self.changed()
