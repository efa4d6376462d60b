"""What the connections of misbehaving clients send, by the name of the misbehaviour."""

from collections.abc import Callable

from rattanrelay.platform.documents import HEADERS

__all__ = ["BYTES_OF", "FLOODS", "MAX_BODY", "MAX_HEADER", "QUERY_PATH", "request_head"]

#: Limits of the configuration; the usual ones.
MAX_HEADER = 16_384
MAX_BODY = 262_144
#: Path of a query, and the largest body that `rattanrelay serve` takes.
QUERY_PATH = "/v1/services/logging/query"
MAX_QUERY = 1024 * 1024
#: Bytes of each write of a crowd that sends piece by piece.
PIECE = 1024
#: A body that fits into one system call together with its head.
JOINED_BODY = 15_000

#: What each connection of a crowd sends, by the name of the misbehaviour.
FLOODS: dict[str, Callable[[], bytes]] = {}


def flood(name: str):
    """Return a decorator that registers a function returning the bytes of one connection."""

    def register(function: Callable[[], bytes]) -> Callable[[], bytes]:
        FLOODS[name] = function
        return function

    return register


def request_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request whose deadline is after the end of any scenario."""
    named = ("Host: test.example", f"{HEADERS.deadline_ms}: 100000", *lines)
    return "\r\n".join([f"{method} {path} HTTP/1.1", *named, "", ""]).encode()


def _query(body: bytes) -> bytes:
    return (
        request_head("POST", QUERY_PATH, f"Content-Length: {len(body)}", "X-Tenant: tenant-1")
        + body
    )


def _complete(path: str, size: int = MAX_BODY) -> bytes:
    return request_head("POST", path, f"Content-Length: {size}") + b"x" * size


@flood("a body that stops one byte short")
@flood("a body that stops one byte short, piece by piece")
def short_body() -> bytes:
    """Return a request with all but the last byte of the largest body."""
    return request_head("POST", "/box/1", f"Content-Length: {MAX_BODY}") + b"x" * (MAX_BODY - 1)


@flood("one large chunk that stops short")
def short_chunk() -> bytes:
    """Return a request with all but the last byte of one chunk of the largest body."""
    size = f"{MAX_BODY:x}\r\n".encode()
    head = request_head("POST", "/box/1", "Transfer-Encoding: chunked")
    return head + size + b"x" * (MAX_BODY - 1)


@flood("40,000 chunks of one byte and no end")
def small_chunks() -> bytes:
    """Return a request with many small chunks."""
    return request_head("POST", "/box/1", "Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 40_000


@flood("chunks of one byte with extensions of 15,000 bytes and no end")
def extensions() -> bytes:
    """Return a request whose chunks consist of extensions for the most part."""
    chunk = b"1;" + b"e" * 15_000 + b"\r\nx\r\n"
    return request_head("POST", "/box/1", "Transfer-Encoding: chunked") + chunk * 40


@flood("headers just under the limit and a body that stops one byte short")
def many_headers() -> bytes:
    """Return a request with as many short headers as the limit allows, and a short body."""
    lines = [f"h{number}: 1" for number in range(1_650)]
    head = request_head("POST", "/box/1", f"Content-Length: {MAX_BODY // 2}", *lines)
    assert 0.9 * MAX_HEADER < len(head) < MAX_HEADER, len(head)
    return head + b"x" * (MAX_BODY // 2 - 1)


@flood("headers just under the limit and no end")
def endless_headers() -> bytes:
    """Return headers that stop just under the limit."""
    lines = [f"h{number}: 1" for number in range(1_650)]
    return request_head("POST", "/box/1", *lines)[:-2]


@flood("pipelined requests behind a slow one")
def pipelined() -> bytes:
    """Return a request that takes long, and many others."""
    other = request_head("POST", "/box/1", "Content-Length: 4096") + b"x" * 4096
    return request_head("GET", "/slow/1") + other * 120


@flood("Expect: 100-continue and silence")
def expecting() -> bytes:
    """Return the headers of a request whose body waits for an interim response."""
    return request_head("POST", "/box/1", f"Content-Length: {MAX_BODY}", "Expect: 100-continue")


@flood("requests whose responses nobody reads")
def unread() -> bytes:
    """Return requests with large responses."""
    return request_head("GET", "/large/1") * 4


@flood("no byte")
def nothing() -> bytes:
    """Return nothing."""
    return b""


@flood("a complete body to one searcher")
def complete_body() -> bytes:
    """Return a request with the largest body."""
    return _complete("/box/1")


@flood("a complete body in chunks to one searcher")
def complete_chunks() -> bytes:
    """Return a request with the largest body in chunks."""
    chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    head = request_head("POST", "/box/1", "Transfer-Encoding: chunked")
    return head + chunk * (MAX_BODY // 4096) + b"0\r\n\r\n"


@flood("a complete body to 24 shards")
def gathered_body() -> bytes:
    """Return a request with the largest body to all shards."""
    return _complete("/all/1")


@flood("pipelined complete bodies to 24 shards")
def gathered_bodies() -> bytes:
    """Return several requests with the largest body to all shards."""
    return _complete("/all/1") * 4


@flood("a complete body to 24 shards that read slowly")
def gathered_body_read_slowly() -> bytes:
    """Return a request with the largest body to shards whose searchers read slowly."""
    return _complete("/all-slow/1")


@flood("pipelined bodies of 15,000 bytes to 24 shards that read slowly")
def joined_bodies_read_slowly() -> bytes:
    """Return requests with smaller bodies to shards whose searchers read slowly."""
    return _complete("/all-slow/1", JOINED_BODY) * 8


@flood("a complete body to a searcher that reads slowly")
def body_read_slowly() -> bytes:
    """Return a request with the largest body to a searcher that reads slowly."""
    return _complete("/reads-slowly/1")


@flood("a complete body that must not be repeated to a searcher that reads slowly")
def body_read_slowly_once() -> bytes:
    """Return the same request on a route that is not idempotent."""
    return _complete("/once/1")


@flood("20 pipelined requests whose responses nobody reads")
def unread_small() -> bytes:
    """Return requests with small responses."""
    return request_head("GET", "/box/1") * 20


@flood("requests to 24 shards whose responses nobody reads")
def unread_gathered() -> bytes:
    """Return requests to all shards."""
    return request_head("GET", "/all/1") * 20


@flood("a query that stops one byte short")
def short_query() -> bytes:
    """Return a query with all but the last byte of the largest body."""
    return _query(b"x" * MAX_QUERY)[:-1]


@flood("a query in one chunk that stops short")
def short_query_chunk() -> bytes:
    """Return a query with all but the last byte of one chunk of the largest body."""
    head = request_head("POST", QUERY_PATH, "Transfer-Encoding: chunked", "X-Tenant: tenant-1")
    return head + f"{MAX_QUERY:x}\r\n".encode() + b"x" * (MAX_QUERY - 1)


@flood("a query in 40,000 chunks of one byte and no end")
def small_query_chunks() -> bytes:
    """Return a query with many small chunks."""
    head = request_head("POST", QUERY_PATH, "Transfer-Encoding: chunked", "X-Tenant: tenant-1")
    return head + b"1\r\nx\r\n" * 40_000


@flood("a complete query")
def complete_query() -> bytes:
    """Return a query with a large filter, which goes to all shards."""
    return _query(b'{"filter": {"core": "%s"}}' % (b"x" * (MAX_QUERY - 100)))


@flood("queries whose responses nobody reads")
def unread_queries() -> bytes:
    """Return queries with small filters."""
    return _query(b'{"filter": {"core": 1}, "limit": 1000}') * 20


@flood("bytes that are no frame")
def no_frame() -> bytes:
    """Return bytes with an unknown kind of frame."""
    return b"\xff" * MAX_BODY


@flood("a frame header with a length of 4 GB")
def huge_frame() -> bytes:
    """Return the header of a frame that is longer than any, and some of its bytes."""
    return b"\xff\xff\xff\xff" + bytes(10) + b"x" * MAX_BODY


@flood("a frame of 8 MB that stops short")
def long_frame() -> bytes:
    """Return the header of the longest frame and a part of its bytes."""
    return (8 * 1024 * 1024).to_bytes(4, "big") + bytes([0, 1]) + bytes(8) + b"x" * 1_000_000


#: Bytes of a single write, by the name of the misbehaviour; others send as much as is taken.
BYTES_OF = {"a body that stops one byte short, piece by piece": PIECE}
