"""Incremental parsing of one response by llhttp, for connections that a pool reuses."""

import httptools

from .model import Response

__all__ = ["MalformedResponse", "ResponseParser"]

#: Bytes of status line and headers after which a response counts as malformed.
MAX_HEAD_BYTES = 64 * 1024
#: The bodies of other responses without a length end with the connection.
NO_BODY = frozenset({204, 304})


class MalformedResponse(Exception):
    """The bytes are no response in HTTP/1.1."""


class ResponseParser:
    """Collects the bytes of one response; informational responses are skipped.

    The callbacks whose names begin with `on_` are called by the parser.
    """

    def __init__(self, max_body: int, *, head_only: bool = False) -> None:
        self.max_body = max_body
        #: The request was a HEAD, so that the response has no body whatever its headers say.
        self.head_only = head_only
        self.headers: dict[str, str] = {}
        self.body = b""
        self.status = 0
        self.complete = False
        #: Whether another request may follow on the connection.
        self.reusable = False
        #: Whether the headers state where the body ends.
        self.framed = False
        self.in_body = False
        self.received = 0
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Add bytes; raises `MalformedResponse` for what is no response or too long."""
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What follows a complete response belongs to no request, and is not parsed.
            if not self.complete:
                raise MalformedResponse(str(error)) from error
            self.reusable = False
        if not self.in_body and not self.complete and self.received > MAX_HEAD_BYTES:
            raise MalformedResponse(f"headers exceed {MAX_HEAD_BYTES} bytes")
        if len(self.body) > self.max_body:
            raise MalformedResponse(f"answer exceeds {self.max_body} bytes")

    def end(self) -> None:
        """Take the end of the connection, which completes a response without a length."""
        if self.in_body and not self.framed:
            self.complete = True

    def response(self) -> Response:
        """Return the response once it is complete."""
        return Response(self.status, self.headers, self.body)

    def on_message_begin(self) -> None:
        """Begin a response; a second one in the same bytes is left out."""
        if self.complete:
            self.reusable = False
            return
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self.complete:
            self.headers[name.decode("ascii", "replace").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        if self.complete:
            return
        status = self.status = self.parser.get_status_code()
        if status < 200:
            return
        coding = self.headers.get("transfer-encoding", "").lower()
        chunked = coding == "chunked"
        self.framed = chunked or "content-length" in self.headers or status in NO_BODY
        self.in_body = True
        if self.head_only:
            self.complete = True

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        if not self.complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
        if not self.complete and self.in_body:
            self.complete = True
            self.reusable = self.framed and self.parser.should_keep_alive()
