"""Frames on a stream: length, kind, type code and call id, then a thrift struct."""

import struct
from enum import IntEnum
from typing import NamedTuple

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from ..errors import RelayError
from .messages import MESSAGES, from_struct, struct_of, type_code

__all__ = ["MAX_FRAME_BYTES", "Frame", "FrameKind", "FrameReader", "encode_frame"]

MAX_FRAME_BYTES = 8 * 1024 * 1024

_HEADER = struct.Struct(">IBBQ")


class FrameKind(IntEnum):
    """How a frame takes part in a call."""

    CALL = 0
    CAST = 1
    STREAM = 2
    REPLY = 3
    ITEM = 4
    END = 5
    ERROR = 6
    CANCEL = 7


class Frame(NamedTuple):
    """A decoded frame; `message` is None for END and CANCEL."""

    kind: FrameKind
    call_id: int
    message: tuple | None


def encode_frame(kind: FrameKind, call_id: int, message: tuple | None = None) -> bytes:
    """Encode one frame; a message must be a class of `MESSAGES`."""
    if message is None:
        return _HEADER.pack(0, kind, 0, call_id)
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(message)
    protocol.write_message_end()
    body = buffer.getvalue()
    return _HEADER.pack(len(body), kind, type_code(type(message)), call_id) + body


def _decode_body(code: int, body: bytes) -> tuple:
    cls = MESSAGES.get(code)
    if cls is None:
        raise RelayError("bad_answer", f"unknown message type {code}", step="decode frame")
    target = struct_of(cls)()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(target)
    except Exception as error:
        raise RelayError("bad_answer", f"malformed {cls.__name__}", step="decode frame") from error
    return from_struct(target)


class FrameReader:
    """Collects bytes and yields the frames that are complete."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes; return the complete frames in order."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= _HEADER.size:
            length, kind, code, call_id = _HEADER.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                raise RelayError("bad_answer", f"frame of {length} bytes", step="decode frame")
            end = _HEADER.size + length
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[_HEADER.size : end])
            del self.buffer[:end]
            message = _decode_body(code, body) if code else None
            frames.append(Frame(FrameKind(kind), call_id, message))
        return frames
