"""Requests of a searcher: admission, execution, cancellation and their journal entries."""

from typing import TYPE_CHECKING

import msgspec
import trio

from ..http import Request, Response, json_response
from .answers import ANSWER_FAULTS, Answer
from .corpus import canonical, query_digest, search_shard
from .gate import GatedStream
from .journal import Run, Violation
from .service_time import draw_service_time

if TYPE_CHECKING:
    from .searcher import Searcher

__all__ = ["CANCELLED_STATUS", "Work"]

#: HTTP status of the answer to a cancelled request.
CANCELLED_STATUS = 499

REFUSAL_STATUS = {
    "snapshot_gone": 409,
    "shedding": 503,
    "draining": 503,
    "deadline": 504,
    "cancelled": CANCELLED_STATUS,
    #: Never sent, since the crash resets the connection first.
    "crashed": 503,
}


class Order(msgspec.Struct):
    """Body of `POST /search` and `POST /action`."""

    shard: str
    snapshot: str = ""
    query: msgspec.Raw = msgspec.Raw(b"null")
    action: msgspec.Raw = msgspec.Raw(b"null")


class CancelOrder(msgspec.Struct):
    """Body of `POST /cancel`; an empty shard selects all shards of the request."""

    request_id: str
    shard: str = ""


class Work:
    """Requests in flight at one searcher, by their number in the journal."""

    def __init__(self, searcher: "Searcher") -> None:
        self.searcher = searcher
        self.journal = searcher.journal
        self.next_number = 1
        self.running: dict[int, tuple[Run, trio.CancelScope]] = {}

    async def serve(self, kind: str, request: Request) -> Response:
        """Admit, run and answer a request of kind `search` or `action`."""
        try:
            order = msgspec.json.decode(request.body, type=Order)
            payload = msgspec.json.decode(order.query if kind == "search" else order.action)
            deadline = _deadline(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return self._response(400, {"code": "bad_request", "message": str(error)})
        run = self._record_arrival(kind, request, order, payload, deadline)
        refusal = self._refusal(run)
        if refusal is not None:
            return self._refuse(run, refusal)
        stream = self.searcher.endpoint.stream_of(request)
        outcome = await self._run(run, request.body, stream)
        if outcome != "done":
            if self.searcher.faults.hang:
                await stream.wait_client_gone()
            return self._refusal_response(run, outcome)
        return self._answer(run, payload, stream)

    def cancel(self, request: Request) -> Response:
        """Cancel the runs of a request id; their slots are free when this returns."""
        try:
            order = msgspec.json.decode(request.body, type=CancelOrder)
        except msgspec.MsgspecError as error:
            return self._response(400, {"code": "bad_request", "message": str(error)})
        stopped = 0
        if not self.searcher.faults.ignore_cancel:
            stopped = self._cancel_runs(order)
        return self._response(200, {"request_id": order.request_id, "cancelled": stopped})

    def record_crashed_runs(self) -> None:
        """Record the runs that a crash ended as `crashed`; actions may have had their effect."""
        for run, _ in list(self.running.values()):
            self._finish(run, "crashed", ran=True)

    def _record_arrival(self, kind: str, request: Request, order: Order, payload, deadline) -> Run:
        body = query_digest(payload) if kind == "search" else canonical(payload).decode()
        run = Run(
            number=self.next_number,
            request_id=request.headers.get("x-request-id", ""),
            kind=kind,
            shard=order.shard,
            snapshot=order.snapshot,
            body=body,
            boot_id=self.searcher.boot_id,
            peer=request.peer,
            deadline=deadline,
            arrived=self.searcher.now(),
            connection=self.searcher.endpoint.stream_of(request).number,
        )
        self.next_number += 1
        self.journal.record_arrival(run)
        return run

    def _refusal(self, run: Run) -> str | None:
        """Return the code of the refusal, or None if the request may run.

        A request that arrives after its deadline is refused before anything else is checked. The
        limits are checked next, so that a request above them is a violation even if it would also
        be refused for another reason.
        """
        searcher = self.searcher
        self._drop_expired(run.arrived)
        if run.deadline is not None and run.arrived >= run.deadline:
            return "deadline"
        reached = self.journal.working + 1
        if reached > searcher.server.slots:
            self._record_violation(run, "slots", reached, searcher.server.slots)
            return "shedding"
        if reached > searcher.warmth.allowed_slots():
            return self._reject_cold_overload(run, reached)
        if searcher.leaving and not searcher.faults.leaving_accepts:
            return "draining"
        if run.kind == "search" and run.shard not in searcher.holdings.get(run.snapshot, ()):
            return "snapshot_gone"
        if searcher.faults.shed or searcher.rng.random() < searcher.faults.shed_share:
            return "shedding"
        return None

    def _drop_expired(self, now: float) -> None:
        """End the runs whose deadline has passed, even if their tasks have not been scheduled yet.

        A client may reuse the slot from the deadline on. Without this, a busy event loop of the
        emulator would record such a reuse as a violation.
        """
        expired = [
            (run, scope)
            for run, scope in self.running.values()
            if run.deadline is not None and run.deadline <= now
        ]
        for run, scope in expired:
            self._finish(run, "deadline", ran=False)
            scope.cancel()

    def _reject_cold_overload(self, run: Run, reached: int) -> str:
        warmth = self.searcher.warmth
        kind = "cold" if warmth.announced else "cold_unannounced"
        self._record_violation(run, kind, reached, warmth.allowed_slots())
        if self.searcher.server.cold_overload == "crash":
            self.searcher.crash()
            return "crashed"
        return "shedding"

    def _record_violation(self, run: Run, kind: str, reached: int, limit: int) -> None:
        self.journal.record_violation(Violation(run.arrived, kind, run.request_id, reached, limit))

    async def _run(self, run: Run, body: bytes, stream: GatedStream) -> str:
        """Occupy a slot for the service time and return the outcome."""
        self.journal.start(run, self.searcher.now())
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            self.running[run.number] = (run, scope)
            nursery.start_soon(self._watch_client, run, stream)
            if run.deadline is not None:
                scope.deadline = trio.current_time() + run.deadline - self.searcher.now()
            await self._work(run, body)
            self._finish(run, "done", ran=True)
            scope.cancel()
        if run.number in self.running:
            self._finish(run, "deadline", ran=False)
        return run.outcome

    async def _work(self, run: Run, body: bytes) -> None:
        searcher = self.searcher
        faults = searcher.faults
        if faults.crash_marker and faults.crash_marker.encode() in body:
            await trio.sleep(faults.crash_after_ms / 1000)
            searcher.crash()
            await trio.sleep_forever()
        if faults.hang:
            await trio.sleep_forever()
        server = searcher.server
        service_ms = draw_service_time(
            server.service_shape, searcher.rng, server.service_ms, server.service_spread
        )
        factor = faults.straggle * searcher.warmth.factor()
        await trio.sleep(service_ms * factor / 1000)

    async def _watch_client(self, run: Run, stream: GatedStream) -> None:
        await stream.wait_client_gone()
        run.client_gone = True
        stream.mark_ended()

    def _finish(self, run: Run, outcome: str, *, ran: bool) -> None:
        del self.running[run.number]
        self.journal.finish(run, self.searcher.now(), outcome, ran=ran)
        if outcome == "done":
            self.searcher.warmth.record_completion()

    def _cancel_runs(self, order: CancelOrder) -> int:
        matching = [
            (run, scope)
            for run, scope in self.running.values()
            if run.request_id == order.request_id and order.shard in ("", run.shard)
        ]
        for run, scope in matching:
            self._finish(run, "cancelled", ran=False)
            scope.cancel()
        return len(matching)

    def _refuse(self, run: Run, code: str) -> Response:
        self.journal.finish(run, self.searcher.now(), code, ran=False)
        return self._refusal_response(run, code)

    def _refusal_response(self, run: Run, code: str) -> Response:
        body = {
            "code": code,
            "request_id": run.request_id,
            "shard": run.shard,
            "snapshot": run.snapshot,
        }
        if code == "snapshot_gone":
            body["snapshots"] = self._snapshots_of(run.shard)
        return self._response(REFUSAL_STATUS[code], body)

    def _snapshots_of(self, shard: str) -> list[str]:
        holdings = self.searcher.holdings
        return sorted(snapshot for snapshot, shards in holdings.items() if shard in shards)

    def _answer(self, run: Run, payload, stream: GatedStream) -> Response:
        body = {"request_id": run.request_id, "shard": run.shard, "complete": True}
        if run.kind == "search":
            body["snapshot"] = run.snapshot
            body.update(search_shard(run.shard, run.snapshot, payload))
        else:
            body["outcome"] = "done"
            body["result"] = {"receipt": f"{self.searcher.name}#{run.number}"}
        fault = self._take_answer_fault(run.kind)
        if fault:
            return ANSWER_FAULTS[fault](Answer(body, self.searcher.reports.headers(), stream))
        return self._response(200, body)

    def _take_answer_fault(self, kind: str) -> str:
        faults = self.searcher.faults
        name = faults.answer if kind in faults.answer_kinds else ""
        if name and faults.answer_count > 0:
            faults.answer_count -= 1
            if faults.answer_count == 0:
                faults.answer = ""
        return name

    def _response(self, status: int, body: dict) -> Response:
        return json_response(status, body, self.searcher.reports.headers())


def _deadline(request: Request) -> float | None:
    """Return the deadline of a request (`X-Deadline`, in Unix ms) in Unix seconds."""
    text = request.headers.get("x-deadline")
    return None if text is None else int(text) / 1000
