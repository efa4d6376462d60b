"""Encoding of frames: length, kind, type code and call id, followed by a thrift struct."""

import struct
from enum import IntEnum
from typing import NamedTuple

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from ..errors import RelayError
from .containers import check_containers
from .messages import MESSAGES, from_struct, struct_of, type_code

__all__ = ["MAX_FRAME_BYTES", "Frame", "FrameKind", "FrameReader", "encode_frame"]

MAX_FRAME_BYTES = 8 * 1024 * 1024

_HEADER = struct.Struct(">IBBQ")


class FrameKind(IntEnum):
    """The role of a frame in a call."""

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
    """Return an encoded frame; the class of `message` must be in `MESSAGES`."""
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
        check_containers(body)
        TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(target)
    except Exception as error:
        raise RelayError("bad_answer", f"malformed {cls.__name__}", step="decode frame") from error
    return from_struct(target)


def _decode_kind(kind: int) -> FrameKind:
    try:
        return FrameKind(kind)
    except ValueError as error:
        raise RelayError("bad_answer", f"unknown frame kind {kind}", step="decode frame") from error


class FrameReader:
    """Incremental decoder of frames from received bytes."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that are now complete, in order.

        Raises `bad_answer` for a frame that is too long, malformed or of an unknown message type.
        """
        self.buffer += data
        frames = []
        while len(self.buffer) >= _HEADER.size:
            length, kind, code, call_id = _HEADER.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                raise RelayError(
                    "bad_answer",
                    f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}",
                    step="decode frame",
                )
            # Checked before the frame is complete: its bytes would be kept until then.
            frame_kind = _decode_kind(kind)
            end = _HEADER.size + length
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[_HEADER.size : end])
            del self.buffer[:end]
            message = _decode_body(code, body) if code else None
            frames.append(Frame(frame_kind, call_id, message))
        return frames
