"""A sub-request to a searcher, the check of its response and its outcome."""

from collections.abc import Callable
from typing import Literal, NamedTuple

import msgspec

from ..errors import DECODE_ERRORS, Ran
from ..http import Request, Response

__all__ = [
    "REFUSALS",
    "Outcome",
    "SubRequest",
    "cancel_request",
    "check_response",
    "status_request",
]

#: Codes with which a server states that nothing ran, by HTTP status.
REFUSALS = {409: ("snapshot_gone",), 503: ("shedding", "draining"), 504: ("deadline",)}

#: Status of the answer to a sub-request that was cancelled.
CANCELLED_STATUS = 499

Kind = Literal["search", "action"]

_encode = msgspec.json.encode


class Outcome(NamedTuple):
    """Result of a sub-request; `reason` is empty on success. Times in seconds."""

    reason: str
    ran: Ran
    payload: bytes = b""
    held: tuple[str, ...] = ()
    service: float = 0.0
    queued: float = 0.0
    in_flight: int = 0
    limit: int = 0


class SubRequest:
    """A request to one searcher for one shard; `deadline` is trio time, `deadline_ms` Unix.

    `labels` are those of its metrics. `finish` is called once with the outcome for the requester.
    `on_settled`, if set, is called once with the outcome of the work itself, also if the requester
    has abandoned it before. `request_id`, `sent_deadline_ms` and `free_at` are set when a slot is
    reserved, `boot_id` (of the server, empty if unknown) when the request is written.
    """

    def __init__(
        self,
        kind: Kind,
        shard: str,
        snapshot: str,
        body: bytes,
        tenant: str,
        deadline: float,
        deadline_ms: int,
        labels: dict[str, str],
        finish: Callable[["SubRequest", Outcome], None],
    ) -> None:
        self.kind = kind
        self.shard = shard
        self.snapshot = snapshot
        self.body = body
        self.tenant = tenant
        self.deadline = deadline
        self.deadline_ms = deadline_ms
        self.labels = labels
        self.on_finish = finish
        self.on_settled: Callable[[Outcome], None] | None = None
        self.queued_at = 0.0
        self.started_at = 0.0
        self.request_id = ""
        self.sent_deadline_ms = 0
        self.free_at = 0.0
        self.boot_id = ""
        self.finished = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome of the work; later calls have no effect."""
        settled, self.on_settled = self.on_settled, None
        if settled is not None:
            settled(outcome)
        self.abandon(outcome)

    def abandon(self, outcome: Outcome) -> None:
        """Report an outcome to the requester while the work may go on; later ones are discarded."""
        if not self.finished:
            self.finished = True
            self.on_finish(self, outcome)

    def request(self) -> Request:
        """Return the HTTP request."""
        if self.kind == "search":
            head = _encode({"shard": self.shard, "snapshot": self.snapshot})
            body = head[:-1] + b',"query":' + self.body + b"}"
        else:
            body = _encode({"shard": self.shard})[:-1] + b',"action":' + self.body + b"}"
        headers = {
            "content-type": "application/json",
            "x-request-id": self.request_id,
            "x-deadline": str(self.sent_deadline_ms),
        }
        return Request("POST", f"/{self.kind}", headers, body)


class _Answer(msgspec.Struct):
    """Checked fields of an answer or refusal; the payload is passed on as it is."""

    request_id: str = ""
    shard: str = ""
    snapshot: str = ""
    complete: bool = False
    code: str = ""
    snapshots: tuple[str, ...] = ()


_DECODER = msgspec.json.Decoder(_Answer)


def check_response(job: SubRequest, response: Response) -> Outcome:
    """Return the outcome of a sub-request after a check that the response belongs to it.

    A response without the id of the request, or an answer without its shard, is a `bad_answer`: it
    may belong to another request, so it is not known whether this one ran.
    """
    try:
        answer = _DECODER.decode(response.body)
    except DECODE_ERRORS:
        return Outcome("bad_answer", "unknown")
    echo = answer.request_id or response.headers.get("x-request-id", "")
    if echo != job.request_id:
        return Outcome("bad_answer", "unknown")
    if answer.code in REFUSALS.get(response.status, ()):
        return Outcome(answer.code, "not_run", held=answer.snapshots)
    if (response.status, answer.code) == (CANCELLED_STATUS, "cancelled"):
        return Outcome("cancelled", "unknown")
    if response.status != 200 or answer.shard != job.shard or not answer.complete:
        return Outcome("bad_answer", "unknown")
    if job.kind == "search" and answer.snapshot != job.snapshot:
        return Outcome("snapshot_mismatch", "done")
    return Outcome("", "done", response.body, answer.snapshots)


def cancel_request(request_id: str) -> Request:
    """Return the request that cancels a sub-request at its server."""
    headers = {"content-type": "application/json", "x-request-id": request_id}
    return Request("POST", "/cancel", headers, _encode({"request_id": request_id}))


def status_request() -> Request:
    """Return the request that polls the status of a server."""
    return Request("GET", "/status")
