"""HTTP/1.1 on trio streams by h11: a server loop and a client connection."""

from .client import HttpConnection
from .model import HttpLimits, Request, Response, json_response
from .server import serve_http

__all__ = ["HttpConnection", "HttpLimits", "Request", "Response", "json_response", "serve_http"]
