"""Requests, responses and limits of the HTTP layer."""

from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

__all__ = ["HttpLimits", "Request", "Response", "json_response"]


class HttpLimits(NamedTuple):
    """Limits of a listener; times in seconds, sizes in bytes."""

    max_body: int = 1024 * 1024
    max_headers: int = 16 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0


class Request(NamedTuple):
    """A request; header names are lower-case."""

    method: str
    target: str
    headers: dict[str, str] = {}
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """Path of the target, decoded, without the query string."""
        return unquote(urlsplit(self.target).path)

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query string; the last value of a repeated name is used."""
        pairs = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in pairs.items()}


class Response(NamedTuple):
    """A response; header names are lower-case."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""

    def json(self):
        """Return the body decoded as JSON."""
        return msgspec.json.decode(self.body)


def json_response(status: int, value, headers: dict[str, str] | None = None) -> Response:
    """Return a response with `value` as its JSON body."""
    merged = {"content-type": "application/json", **(headers or {})}
    return Response(status, merged, msgspec.json.encode(value))
