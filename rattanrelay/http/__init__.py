"""HTTP/1.1 on trio streams: a server loop built on h11 and a client connection on llhttp."""

from .client import MAX_RESPONSE_BYTES, HttpConnection, InvalidResponse
from .model import HttpLimits, Request, Response, json_response
from .server import serve_http

__all__ = [
    "MAX_RESPONSE_BYTES",
    "HttpConnection",
    "HttpLimits",
    "InvalidResponse",
    "Request",
    "Response",
    "json_response",
    "serve_http",
]
