"""Faulty answers of a searcher; `answer_fault` registers each by name."""

from collections.abc import Callable
from typing import NamedTuple

from ..http import Response, json_response
from .gate import WHOLE_ANSWER, GatedStream

__all__ = ["ANSWER_FAULTS", "Answer", "answer_fault"]


class Answer(NamedTuple):
    """The correct body of an answer, its headers and the connection on which it is sent."""

    body: dict
    headers: dict[str, str]
    stream: GatedStream

    def with_body(self, **changes) -> Response:
        """Return the answer with some fields of its body changed."""
        return json_response(200, {**self.body, **changes}, self.headers)


Fault = Callable[[Answer], Response]

ANSWER_FAULTS: dict[str, Fault] = {}

OTHER_REQUEST_ID = "another-request"
OTHER_SHARD = "another-shard"
OTHER_SNAPSHOT = "another-snapshot"


def answer_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def add(function: Fault) -> Fault:
        ANSWER_FAULTS[name] = function
        return function

    return add


@answer_fault("empty")
def empty(answer: Answer) -> Response:
    """Return an answer without a body."""
    return Response(200, answer.headers, b"")


@answer_fault("truncated")
def truncated(answer: Answer) -> Response:
    """Return an answer whose connection closes in the middle of the body."""
    response = answer.with_body()
    answer.stream.withheld = len(response.body) // 2
    return response


@answer_fault("malformed_json")
def malformed_json(answer: Answer) -> Response:
    """Return a correct HTTP message whose body is not JSON."""
    body = answer.with_body().body[:-2]
    return Response(200, answer.headers, body)


@answer_fault("malformed_http")
def malformed_http(answer: Answer) -> Response:
    """Return an answer that is replaced by bytes that are not an HTTP message."""
    answer.stream.replacement = b"HTP/0 \x00\xff not an answer\r\n\r\n"
    return answer.with_body()


@answer_fault("other_request")
def other_request(answer: Answer) -> Response:
    """Return an answer with the id of another request."""
    return answer.with_body(request_id=OTHER_REQUEST_ID)


@answer_fault("other_shard")
def other_shard(answer: Answer) -> Response:
    """Return an answer with the name of another shard."""
    return answer.with_body(shard=OTHER_SHARD)


@answer_fault("other_snapshot")
def other_snapshot(answer: Answer) -> Response:
    """Return an answer with another snapshot than the requested one."""
    return answer.with_body(snapshot=OTHER_SNAPSHOT)


@answer_fault("incomplete")
def incomplete(answer: Answer) -> Response:
    """Return an answer that is marked as incomplete and lacks the second half of its hits."""
    hits = answer.body.get("hits", [])
    return answer.with_body(hits=hits[: len(hits) // 2], complete=False)


@answer_fault("missing_fields")
def missing_fields(answer: Answer) -> Response:
    """Return an answer with no fields but the request id and the shard."""
    kept = {name: answer.body[name] for name in ("request_id", "shard") if name in answer.body}
    return json_response(200, kept, answer.headers)


@answer_fault("error")
def error(answer: Answer) -> Response:
    """Return a status 500, which leaves open whether the work ran."""
    return json_response(500, {"code": "internal"}, answer.headers)


@answer_fault("reset")
def reset(answer: Answer) -> Response:
    """Return an answer whose connection is reset after the work, before any byte is sent."""
    answer.stream.reset_on_close()
    answer.stream.withheld = WHOLE_ANSWER
    return answer.with_body()


@answer_fault("repeated")
def repeated(answer: Answer) -> Response:
    """Return an answer that is sent twice on the connection."""
    answer.stream.repeats = True
    return answer.with_body()
