"""Steps for the parsing of responses."""

from behave import then, when

from rattanrelay.errors import RelayError
from rattanrelay.http import HttpConnection, Request
from rattanrelay.http.parsing import MalformedResponse, ResponseParser

LIMIT = 4096
BODY = b"0123456789abcdef" * 4
OK = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"X-Signature: one\r\n"
LENGTH = b"content-length: 64\r\n"
WHOLE = OK + SIGNED + LENGTH + b"\r\n" + BODY
CHUNKS = OK + SIGNED + b"transfer-encoding: chunked\r\n\r\n40\r\n" + BODY
FORMS = {
    "with a length": WHOLE,
    "in chunks": CHUNKS + b"\r\n0\r\n\r\n",
    "with a length of 0": OK + SIGNED + b"content-length: 0\r\n\r\n",
    "after an informational one": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + WHOLE,
    "that closes its connection": OK + SIGNED + b"connection: close\r\n" + LENGTH + b"\r\n" + BODY,
    "in HTTP/1.0": WHOLE.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "without a length, then the end": OK + SIGNED + b"\r\n" + BODY,
    "followed by another one": WHOLE + WHOLE.replace(b"one", b"two").replace(b"0123", b"xxxx"),
    "followed by garbage": WHOLE + b"\x00\x01stray",
    "cut in its body": WHOLE[:-1],
    "cut in its headers": WHOLE[:30],
    "cut in its chunks": CHUNKS,
    "with two different lengths": OK + LENGTH + b"content-length: 65\r\n\r\n" + BODY + b"x",
    "with a length and chunks": OK + LENGTH + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "that is garbage": b"\x16\x03\x01 no response at all\r\n\r\n",
    "with endless headers": OK + b"x-filler: 0123456789abcdef\r\n" * 4000,
    "with a body over the limit": OK + b"content-length: 5000\r\n\r\n" + b"x" * 5000,
}
#: Sizes in bytes of the pieces in which the parser gets a response.
SIZES = (1, 2, 3, 5, 7, 16, 33, 64, 100, 1000, 70000)


@when("a response {form} is parsed in pieces of every size")
def parse_pieces(context, form):
    context.parsed = [_parse(FORMS[form], size) for size in SIZES]
    context.empty = form == "with a length of 0"


def _parse(data, size):
    """Return the parser after the last piece that a reader would feed to it, or the error."""
    parser = ResponseParser(LIMIT)
    try:
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
            if parser.complete:
                return parser
        parser.end()
    except MalformedResponse as error:
        return error
    return parser


def _check_complete(context, parser):
    response = parser.response()
    assert parser.complete and response.status == 200, (parser.complete, response)
    assert response.headers["x-signature"] == "one", response
    assert response.body == (b"" if context.empty else BODY), response


@then("it is complete and reusable")
def complete_reusable(context):
    for parser in context.parsed:
        _check_complete(context, parser)
        assert parser.reusable


@then("it is complete and not reusable")
def complete_not_reusable(context):
    for parser in context.parsed:
        _check_complete(context, parser)
        assert not parser.reusable


@then("it is complete and not reusable at once")
def complete_followed(context):
    for parser in context.parsed:
        _check_complete(context, parser)
    # With one piece the parser sees the bytes that follow.
    assert not context.parsed[-1].reusable


@then("it is incomplete")
def incomplete(context):
    assert not any(parser.complete for parser in context.parsed), context.parsed


@then("it is malformed")
def malformed(context):
    assert all(isinstance(one, MalformedResponse) for one in context.parsed), context.parsed


@when("a request whose header holds a line break is encoded")
def encode_break(context):
    connection = HttpConnection(None, "127.0.0.1:1")
    try:
        connection._encode(Request("GET", "/", {"x-note": "a\r\nhost: other"}))
    except RelayError as error:
        context.error = error


@then('it fails with "{code}"')
def encoding_failed(context, code):
    assert context.error.code == code, context.error
