"""Errors with a code, the step and peer that failed, and whether the request ran."""

from typing import Literal, NamedTuple

import msgspec

from .decide.refusal import BAD_GATEWAY, GATEWAY_TIMEOUT, permitted_status

__all__ = [
    "CODES",
    "DECODE_ERRORS",
    "ErrorCode",
    "Ran",
    "RelayError",
    "register_code",
    "response_status",
]

#: Status for a code that this version does not know. An instance of a later version may send such a
#: code, or have stored it with the outcome of a request.
UNKNOWN_CODE_STATUS = 503

#: What is known about the execution of a request at a backend server.
Ran = Literal["not_run", "done", "unknown"]


#: What decoding raises for malformed data, also for values that are nested too deeply.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class ErrorCode(NamedTuple):
    """A stable error code, the HTTP status that it maps to, and a description."""

    name: str
    status: int
    meaning: str


CODES: dict[str, ErrorCode] = {}


def register_code(name: str, status: int, meaning: str) -> ErrorCode:
    """Add a code to the registry and return it; raises ValueError for a name that is registered."""
    if name in CODES:
        raise ValueError(f"error code {name!r} is registered twice")
    code = ErrorCode(name, status, meaning)
    CODES[name] = code
    return code


def response_status(code: str, ran: str) -> int:
    """Return the HTTP status of a response with an error code.

    `ran` is an outcome as in `Ran`. A status which states that the request has not run is replaced
    by 504 if that is unknown, and by 502 if the request has run.
    """
    known = CODES.get(code)
    return permitted_status(
        UNKNOWN_CODE_STATUS if known is None else known.status,
        may_have_run=ran != "not_run",
        otherwise=BAD_GATEWAY if ran == "done" else GATEWAY_TIMEOUT,
    )


class RelayError(Exception):
    """An error with a registered code.

    `step` and `peer` name the operation that failed and the remote side, empty if there is none;
    `ran` states what is known about the execution of the request.
    """

    def __init__(
        self, code: str, message: str, *, step: str = "", peer: str = "", ran: Ran = "not_run"
    ) -> None:
        if code not in CODES:
            raise ValueError(f"error code {code!r} is not registered")
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.ran = ran

    @property
    def status(self) -> int:
        """HTTP status of the response to a caller."""
        return response_status(self.code, self.ran)

    def __str__(self) -> str:
        parts = [("step", self.step), ("peer", self.peer)]
        where = ", ".join(f"{name} {value}" for name, value in parts if value)
        return f"{self.code}: {self.message}" + (f" ({where})" if where else "")


# Requests of callers.
register_code("bad_request", 400, "The request is malformed")
register_code("bad_header", 400, "A header has a value that is not allowed")
register_code("bad_body", 400, "The body is not valid JSON or has no value for a required field")
register_code("deadline_passed", 400, "The deadline of the request had passed on arrival")
register_code("missing_key", 400, "A non-idempotent request has no Idempotency-Key")
register_code("bad_key", 400, "The Idempotency-Key is not a UUID of version 7")
register_code("key_expired", 409, "The Idempotency-Key lies outside the claim window")
register_code("key_reused", 409, "The Idempotency-Key was used with another body")
register_code("not_found", 404, "No such path")
register_code("unknown_service", 404, "The service is not in the table")
register_code("method_not_allowed", 405, "The path does not support this method")
register_code("request_timeout", 408, "The client sent its request too slowly")
register_code("body_too_large", 413, "The body exceeds the size limit")
register_code("headers_too_large", 431, "The headers exceed the size limit")
register_code("request_blocked", 422, "The request is blocked because it crashed backend servers")
register_code("unknown_tenant", 403, "The tenant is not in the table")
# Capacity and availability.
register_code(
    "overloaded", 429, "The share of the tenant or the capacity of the service is exhausted"
)
register_code("queue_full", 429, "The queue of a searcher is full")
register_code("stopping", 503, "The instance is shutting down")
register_code("not_ready", 503, "The instance has no table yet")
register_code("no_quorum", 503, "The instance may not dispatch without a majority of its view")
register_code("no_owner", 503, "No instance currently owns the backend server")
register_code("no_replica", 503, "No replica of the shard can accept work")
register_code("store_unavailable", 503, "The platform's key-value service does not answer")
register_code("peer_unavailable", 503, "Another instance does not answer")
register_code("connect_failed", 503, "A connection could not be opened")
register_code("connection_lost", 502, "A connection broke before the answer was complete")
register_code("connection_cut", 502, "A connection broke, and the server did not restart")
register_code(
    "bad_answer", 502, "A peer sent a response that is malformed or does not match the request"
)
register_code("too_late", 504, "The time until the deadline is shorter than the searcher needs")
register_code("deadline", 504, "The deadline passed before the answer was complete")
register_code("outcome_unknown", 504, "It is not known whether the request ran")
register_code("internal", 500, "An internal error")
# Reasons for a missing shard: refusals of backend servers and results that are not merged.
register_code("snapshot_gone", 503, "The searcher does not hold the snapshot")
register_code("snapshot_mismatch", 502, "The searcher answered from another snapshot")
register_code("shedding", 503, "The backend server sheds load")
register_code("draining", 503, "The backend server is about to stop")
register_code(
    "request_suspect", 503, "A server was lost while it ran the request, which is tried elsewhere"
)
# Configuration.
register_code("bad_settings", 400, "A setting is missing or has a value that is not allowed")
register_code("bad_arguments", 400, "A command-line argument is missing or not allowed")
register_code("bad_table", 400, "The table has a cell that is not allowed")
register_code("edit_conflict", 409, "Another operator changed the same cell")
register_code("version_conflict", 409, "The stored version is not the expected one")
register_code("precondition_failed", 412, "If-Match does not name the current revision")
register_code("unauthorized", 401, "The token is missing or not known")
register_code("forbidden", 403, "The token does not permit this operation")
