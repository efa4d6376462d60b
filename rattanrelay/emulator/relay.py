"""Forwarding of a TCP connection with traffic shaping that can change meanwhile."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from .gate import RESET_ON_CLOSE

__all__ = ["HEALTHY", "ConnectionCut", "Shape", "forward", "reset_on_close"]

RECEIVE_BYTES = 65536

#: Maximum number of chunks in flight in one direction, above which backpressure sets in.
MAX_CHUNKS = 256


class Shape(NamedTuple):
    """Traffic shaping of one direction; times in ms, sizes in bytes.

    Bytes that are held back are delivered in order afterwards, as TCP does after a partition.
    """

    held: bool = False
    delay_ms: float = 0.0
    #: Total number of bytes after which the connection is reset.
    cut_after: int | None = None
    #: Largest piece that is sent at once, 0 for no limit; `piece_gap_ms` is the pause between two.
    piece_bytes: int = 0
    piece_gap_ms: float = 0.5


HEALTHY = Shape()


class ConnectionCut(Exception):
    """Raised when the connection must be reset at `cut_after` bytes."""


class Chunk(NamedTuple):
    """Received bytes, empty at the end of the stream, and their arrival on trio's clock."""

    arrived: float
    data: bytes


async def forward(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    shape: Callable[[], Shape],
    changed: Callable[[], Awaitable[None]],
    count: Callable[[int], None],
) -> None:
    """Forward one direction until its end.

    `shape` returns the current shape, `changed` waits until it changes, and `count` receives the
    number of bytes of each piece sent. Raises `ConnectionCut` after `cut_after` bytes.
    """
    send, receive = trio.open_memory_channel[Chunk](MAX_CHUNKS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read, source, send)
        await _Writer(sink, shape, changed, count).run(receive)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make the close of a stream send a reset (RST)."""
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
