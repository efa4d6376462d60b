"""Incremental parsing of a single response with llhttp, for connections that are reused."""

import httptools

from .model import Response

__all__ = ["MalformedResponse", "ResponseParser"]

#: Maximum size of status line and headers; a response with longer ones is malformed.
MAX_HEAD_BYTES = 64 * 1024
#: Maximum number of bytes for sizes and extensions of chunks, for each byte of the body; a chunk of
#: one byte takes five.
MAX_CHUNK_OVERHEAD = 8
#: Range of the statuses that HTTP defines. llhttp accepts any three digits.
MIN_STATUS = 100
MAX_STATUS = 599
#: Informational responses that we have not asked for: no request is sent with `Expect:
#: 100-continue` or `Upgrade`, and 101 would end HTTP on the connection.
UNREQUESTED_STATUSES = frozenset({100, 101})
#: Maximum number of informational responses before the final one. Servers send one or two; without
#: a limit, one that sends them slowly would occupy a request until its deadline.
MAX_INFORMATIONAL = 16
#: Statuses without a body. Any other response without a length ends with the connection.
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class MalformedResponse(Exception):
    """Raised when the received bytes are not an HTTP/1.1 response or exceed a limit."""


class ResponseParser:
    """Parser of one response; informational responses are skipped.

    The methods whose names begin with `on_` are callbacks of llhttp.
    """

    def __init__(self, max_body: int, *, head_only: bool = False) -> None:
        self.max_body = max_body
        #: Whether the request was a HEAD; its response has no body, whatever the headers state.
        self.head_only = head_only
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.status = 0
        #: Number of informational responses that were skipped.
        self.informational = 0
        #: Why the response is malformed although llhttp accepts it, else empty.
        self.fault = ""
        self.complete = False
        #: Whether the connection can be used for another request.
        self.reusable = False
        #: Whether the end of the body follows from the status and headers.
        self.framed = False
        self.in_body = False
        self.received = 0
        #: Number of bytes up to the end of the headers.
        self.head_bytes = 0
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises `MalformedResponse` for bytes that are invalid or too many."""
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # `HttpParserUpgrade`, which is no `HttpParserError`, is raised after a status 101.
            # Bytes after a complete response belong to no request; they only prevent reuse.
            if not self.complete:
                raise MalformedResponse(self.fault or str(error)) from error
            self.reusable = False
        if self.fault:
            raise MalformedResponse(self.fault)
        body = len(self.body)
        if body > self.max_body:
            raise MalformedResponse(f"body exceeds {self.max_body} bytes")
        if self.complete:
            return
        if not self.in_body and self.received > MAX_HEAD_BYTES:
            raise MalformedResponse(f"headers exceed {MAX_HEAD_BYTES} bytes")
        if self.received - body > MAX_HEAD_BYTES + MAX_CHUNK_OVERHEAD * body:
            raise MalformedResponse("too many bytes of chunk sizes, extensions and trailers")

    @property
    def held(self) -> int:
        """Number of bytes of the response that are kept, at most."""
        return self.head_bytes + len(self.body) if self.in_body else self.received

    def discard(self) -> None:
        """Free the memory of the response, which cannot be completed any more."""
        self.headers = {}
        self.body = bytearray()

    def close(self) -> None:
        """Free the memory of the response and the parser, which cannot be used any more.

        llhttp's parser and this object refer to each other, so that the body would stay until the
        garbage collector runs.
        """
        self.discard()
        self.parser = None

    def end(self) -> None:
        """Handle the end of the connection, which completes a response without a length."""
        if self.in_body and not self.framed:
            self.complete = True

    def response(self) -> Response:
        """Return the response; `complete` must be true."""
        return Response(self.status, self.headers, bytes(self.body))

    def on_message_begin(self) -> None:
        """Start a response; another one after the complete one is ignored."""
        if self.complete or self.fault:
            self.reusable = False
            return
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailers are ignored, since they would replace headers."""
        if not self.in_body:
            self.headers[name.decode("ascii", "replace").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Determine how the body ends; an informational response is skipped."""
        if self.complete or self.fault:
            return
        status = self.status = self.parser.get_status_code()
        self.fault = self._status_fault(status)
        if self.fault or status < 200:
            return
        coding = self.headers.get("transfer-encoding", "").lower()
        chunked = coding == "chunked"
        self.framed = chunked or "content-length" in self.headers or status in STATUSES_WITHOUT_BODY
        self.in_body = True
        self.head_bytes = min(self.received, MAX_HEAD_BYTES)
        if self.head_only:
            self.complete = True

    def _status_fault(self, status: int) -> str:
        """Return why a response with this status is malformed, or an empty text."""
        if not MIN_STATUS <= status <= MAX_STATUS:
            return f"status {status:03d}"
        if status >= 200:
            return ""
        if status in UNREQUESTED_STATUSES:
            return f"status {status} that was not asked for"
        if "transfer-encoding" in self.headers or self.headers.get("content-length", "0") != "0":
            return f"status {status} with a body"
        self.informational += 1
        if self.informational > MAX_INFORMATIONAL:
            return f"more than {MAX_INFORMATIONAL} informational responses"
        return ""

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        if self.in_body and not self.complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Mark the response as complete and determine whether the connection can be reused."""
        if not self.complete and self.in_body:
            self.complete = True
            self.reusable = self.framed and self.parser.should_keep_alive()
