"""The HTTP interface for callers: validates requests and formats responses."""

import re
import traceback
import uuid
from typing import Any

import msgspec
import trio
import uuid6

from ..errors import DECODE_ERRORS, RelayError, response_status
from ..http import Request, Response, json_response
from ..log import event
from ..metrics import Metrics
from ..wire import Action, ActionResult
from .entry import Entry
from .query import Answer, Query

__all__ = ["CallerApi"]

MAX_TIMEOUT_MS = 60_000
MAX_HITS = 1000
MAX_CLASSES = 16
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
NUMBER = re.compile(r"[0-9]{1,9}")
SERVICE_PATH = re.compile(r"/v1/services/([^/]+)/(query|actions)")


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a query."""

    filter: dict[str, Any]
    limit: int = 10


class ActionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a non-idempotent request."""

    route: str
    action: dict[str, Any]


_QUERY = msgspec.json.Decoder(QueryBody)
_ACTION = msgspec.json.Decoder(ActionBody)


class CallerApi:
    """Handles the requests of callers; `handle` turns every error into a response."""

    def __init__(self, entry: Entry, metrics: Metrics, *, ready=lambda: "") -> None:
        self.entry = entry
        self.metrics = metrics
        #: Additional readiness check of the daemon; returns a reason, empty if it is ready.
        self.ready = ready
        self.draining = False
        self.classes = {"default"}

    def stop(self) -> None:
        """Report the instance as not ready; requests on open connections are still served."""
        self.draining = True

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        request_id = str(uuid6.uuid7())
        started = trio.current_time()
        service = code = ""
        try:
            probe = self._probe(request)
            if probe is not None:
                return probe
            request_id = _name(request, "x-request-id", request_id)
            service, kind = _route(request)
            answer = await getattr(self, f"_{kind}")(request, service, request_id)
        except RelayError as error:
            code = error.code
            answer = _error_response(request_id, error)
        except Exception as error:
            code = "internal"
            event("request_failed", request_id=request_id, error=_describe(error))
            failure = RelayError("internal", "an internal error", ran="unknown")
            answer = _error_response(request_id, failure)
        self._count(service, answer.status, code)
        event(
            "request",
            request_id=request_id,
            service=service,
            status=answer.status,
            code=code,
            ms=round((trio.current_time() - started) * 1000, 2),
        )
        answer.headers["x-request-id"] = request_id
        if self.draining or self.entry.out_of_service():
            answer.headers["connection"] = "close"
        return answer

    def _count(self, service: str, status: int, code: str) -> None:
        """Count the response; unknown or not yet used services share the label `none`."""
        known = service if service in self.entry.services else "none"
        if code:
            self.metrics.refusals.inc({"service": known, "code": code})
        outcome = "done" if status < 400 else "refused"
        self.metrics.answers.inc({"service": known, "outcome": outcome})

    def _probe(self, request: Request) -> Response | None:
        path = _path(request)
        if path not in ("/healthz", "/readyz"):
            return None
        if request.method != "GET":
            raise RelayError("method_not_allowed", f"{path} takes GET", step="route")
        if path == "/healthz":
            return json_response(200, {"status": "ok"})
        reason = self.not_ready_reason()
        return json_response(503 if reason else 200, {"ready": not reason, "reason": reason})

    def not_ready_reason(self) -> str:
        """Return why this instance should get no new connections, empty if it is ready."""
        if self.draining:
            return "stopping"
        return self.entry.not_ready_reason() or self.ready()

    async def _query(self, request: Request, service: str, request_id: str) -> Response:
        body = _decode(_QUERY, request.body)
        if not 1 <= body.limit <= MAX_HITS:
            raise RelayError("bad_body", f"limit must be 1 to {MAX_HITS}", step="read body")
        row = self.entry.service_row(service)
        timeout = min(row.timeout_ms, _timeout_ms(request))
        query = Query(
            request_id,
            service,
            _name(request, "x-tenant"),
            msgspec.json.encode({"filter": body.filter, "limit": body.limit}, order="sorted"),
            body.limit,
            trio.current_time() + timeout / 1000,
            self._class(request),
        )
        return _query_response(await self.entry.query(query))

    async def _actions(self, request: Request, service: str, request_id: str) -> Response:
        key = _key(request)
        body = _decode(_ACTION, request.body)
        row = self.entry.service_row(service)
        timeout = min(row.timeout_ms, _timeout_ms(request))
        action = Action(
            key,
            service,
            body.route,
            _name(request, "x-tenant"),
            msgspec.json.encode(body.action, order="sorted"),
            int(self.entry.wall() * 1000) + timeout,
            request_id,
        )
        return _action_response(request_id, await self.entry.run_action(action))

    def _class(self, request: Request) -> str:
        """Return the request class; new names beyond `MAX_CLASSES` share the class `other`."""
        name = _name(request, "x-class", "default")
        if name not in self.classes:
            if len(self.classes) >= MAX_CLASSES:
                return "other"
            self.classes.add(name)
        return name


def _path(request: Request) -> str:
    try:
        return request.path
    except ValueError as error:
        text = "the request target is malformed"
        raise RelayError("bad_request", text, step="route") from error


def _route(request: Request) -> tuple[str, str]:
    match = SERVICE_PATH.fullmatch(_path(request))
    if match is None or not NAME.fullmatch(match[1]):
        raise RelayError("not_found", "no such path", step="route")
    if request.method != "POST":
        raise RelayError("method_not_allowed", "the path takes POST", step="route")
    return match[1], match[2]


def _name(request: Request, header: str, default: str | None = None) -> str:
    value = request.headers.get(header, default)
    if value is None:
        raise RelayError("bad_header", f"header {header} is missing", step="read headers")
    if not NAME.fullmatch(value):
        text = f"header {header} must be 1 to 64 letters, digits or ._:-"
        raise RelayError("bad_header", text, step="read headers")
    return value


def _timeout_ms(request: Request) -> int:
    value = request.headers.get("x-timeout-ms")
    if value is None:
        return MAX_TIMEOUT_MS
    if not NUMBER.fullmatch(value):
        text = "header x-timeout-ms must be a whole number of milliseconds"
        raise RelayError("bad_header", text, step="read headers")
    if int(value) == 0:
        raise RelayError("deadline_passed", "the timeout is 0 ms", step="read headers")
    return min(int(value), MAX_TIMEOUT_MS)


def _key(request: Request) -> str:
    value = request.headers.get("idempotency-key")
    if value is None:
        raise RelayError("missing_key", "header idempotency-key is missing", step="read headers")
    try:
        key = uuid.UUID(value)
    except ValueError:
        key = None
    if key is None or key.version != 7 or str(key) != value.lower():
        text = "header idempotency-key must be a UUID of version 7"
        raise RelayError("bad_key", text, step="read headers")
    return str(key)


def _decode(decoder: msgspec.json.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as error:
        raise RelayError("bad_body", str(error), step="read body") from error


def _describe(error: BaseException) -> str:
    """Return the type, text and location of an unexpected error, for the log only."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    location = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{location}"


def _error_response(request_id: str, error: RelayError) -> Response:
    body = {
        "request_id": request_id,
        "outcome": error.ran,
        "code": error.code,
        "message": error.message,
    }
    return json_response(error.status, body)


def _query_response(answer: Answer) -> Response:
    coverage = answer.coverage
    body = {
        "request_id": answer.request_id,
        "outcome": "done",
        "snapshot": answer.snapshot,
        "coverage": {
            "shards": coverage.shards,
            "answered": coverage.answered,
            "missing": [{"shard": shard, "reason": reason} for shard, reason in coverage.missing],
        },
        "hits": answer.hits,
        "count": answer.count,
    }
    return json_response(200, body)


def _action_response(request_id: str, result: ActionResult) -> Response:
    body: dict[str, Any] = {"request_id": request_id, "outcome": result.outcome}
    if result.code or result.outcome != "done":
        code = result.code or "outcome_unknown"
        status = response_status(code, result.outcome)
        return json_response(status, {**body, "code": code, "message": result.message})
    body["result"] = msgspec.Raw(result.payload or b"null")
    return json_response(200, body)
