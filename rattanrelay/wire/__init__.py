"""Thrift messages between instances, their framing and their links."""

from .framing import MAX_FRAME_BYTES, Frame, FrameKind, FrameReader, encode_frame
from .link import Handlers, PeerLink, open_link, serve_peers
from .messages import *  # noqa: F403
from .messages import __all__ as _messages

__all__ = [
    "MAX_FRAME_BYTES",
    "Frame",
    "FrameKind",
    "FrameReader",
    "Handlers",
    "PeerLink",
    "encode_frame",
    "open_link",
    "serve_peers",
    *_messages,
]
