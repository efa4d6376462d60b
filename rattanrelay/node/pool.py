"""Connections, slots and queue of one searcher; one task serves each connection."""

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from ..decide.fairqueue import Entry, FairQueue
from ..decide.lease import CLOCK_MARGIN_S, MAX_SUBREQUEST_S
from ..decide.slots import Slots
from ..decide.timing import RecentMinimum
from ..errors import RelayError
from ..http import HttpConnection, Request, Response
from .connection import Connect, ControlRequest, Worker
from .subrequest import Outcome, SubRequest, cancel_request, check_response

__all__ = [
    "CONNECT_TIMEOUT_S",
    "CONTROL_TIMEOUT_S",
    "Pool",
    "Supervisor",
]

CONNECT_TIMEOUT_S = 1.0
#: Minimum pause before the next attempt after a connection could not be opened.
RECONNECT_S = 0.05
CONTROL_TIMEOUT_S = 1.0


class Supervisor(Protocol):
    """Decides for a pool what may be sent, and is told what the pool observes."""

    def refusal(self) -> str:
        """Return the reason why no new work may be sent now, empty if it may."""

    def may_queue(self, reason: str) -> bool:
        """Return whether work may wait in the queue until `reason` to refuse it has passed."""

    def may_connect(self) -> bool:
        """Return whether a connection may be opened now."""

    def allowance(self) -> int:
        """Return how many slots may be in use now."""

    def response_received(self, response: Response, outcome: Outcome) -> None:
        """Record the outcome of a response to a sub-request."""

    def connection_lost(self) -> None:
        """Record a connection that broke while the server worked on a request."""

    async def may_have_crashed(self, boot_id: str, since: float) -> bool:
        """Return whether the server process of a boot may have ended since a trio time."""

    def idle_connection_closed(self) -> None:
        """Record that the server closed an idle connection: it may have restarted."""

    def connect_failed(self) -> None:
        """Record a connection that could not be opened."""

    def request_id(self) -> str:
        """Return a new request id."""

    def weight(self, tenant: str) -> float:
        """Return the weight of a tenant."""

    def sent(self, job: SubRequest) -> None:
        """Record a sub-request that is about to be written."""


class Pool:
    """Sends the sub-requests of one searcher within its limits.

    `max_connections` limits the open connections, `connect_interval_s` is the minimum time in
    seconds between two attempts to open one. `wall` returns Unix seconds, `connect` opens a
    connection. All tasks run in `nursery`.
    """

    def __init__(
        self,
        searcher: str,
        address: str,
        supervisor: Supervisor,
        nursery: trio.Nursery,
        wall: Callable[[], float],
        connect: Connect = HttpConnection.open,
    ) -> None:
        self.searcher = searcher
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.supervisor = supervisor
        self.nursery = nursery
        self.wall = wall
        self.connect = connect
        self.max_connections = 0
        self.connect_interval_s = 0.0
        self.slots = Slots()
        self.queue = FairQueue(0)
        self.shortest_time = RecentMinimum()
        self.jobs: dict[int, SubRequest] = {}
        self.controls: deque[ControlRequest] = deque()
        self.workers: set[Worker] = set()
        #: Number of connections that were told to close and are still open.
        self.closing_workers = 0
        self.idle: list[Worker] = []
        self.connecting = False
        self.closing = False
        self.next_connect_at = 0.0
        self.ended = trio.Event()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.workers) + self.connecting

    @property
    def load(self) -> int:
        """Number of sub-requests in flight or queued."""
        return self.slots.in_use + len(self.queue)

    @property
    def empty(self) -> bool:
        """True when no work is in flight or queued and no connection is open."""
        return not (self.load or self.workers or self.connecting)

    def submit(self, job: SubRequest) -> None:
        """Queue a sub-request, or refuse it at once if it may be neither sent nor queued."""
        reason = "no_owner" if self.closing else self.supervisor.refusal()
        if reason and (self.closing or not self.supervisor.may_queue(reason)):
            self.refuse(job, reason)
            return
        job.queued_at = trio.current_time()
        self._enqueue(job)

    def _enqueue(self, job: SubRequest) -> None:
        weight = self.supervisor.weight(job.tenant)
        pushed = self.queue.push(Entry(id(job), job.tenant, job.deadline), weight)
        if pushed.evicted is not None:
            self.refuse(self.jobs.pop(pushed.evicted.key), "queue_full")
        if not pushed.accepted:
            self.refuse(job, "queue_full")
            return
        self.jobs[id(job)] = job
        self.assign_work()

    def remove_queued(self, job: SubRequest) -> bool:
        """Remove a sub-request from the queue; return whether it was queued."""
        if self.queue.cancel(id(job)) is None:
            return False
        del self.jobs[id(job)]
        return True

    def cancel(self, job: SubRequest) -> None:
        """Ask the server to cancel a sent sub-request; its slot stays reserved until then."""
        if self.slots.cancel(job.request_id):
            done = partial(self._handle_cancelled, job.request_id)
            self.send_control(cancel_request(job.request_id), job.free_at, done)

    def send_control(self, request: Request, expires: float, done: Callable) -> None:
        """Send a request that needs no slot; `done` gets the response, or None if there is none.

        The request is discarded without a call of `done` if no connection is idle before `expires`
        (trio time), or if a connection for it cannot be opened.
        """
        self.controls.append(ControlRequest(request, expires, done))
        self.assign_work()

    def refuse(self, job: SubRequest, reason: str) -> None:
        """Finish a sub-request that was not written to a connection."""
        job.finish(self.with_measurements(job, Outcome(reason, "not_run")))

    def refuse_queued(self, reason: str) -> None:
        """Refuse all queued sub-requests."""
        for entry in self.queue.drain():
            self.refuse(self.jobs.pop(entry.key), reason)

    def with_measurements(self, job: SubRequest, outcome: Outcome) -> Outcome:
        """Return the outcome with its times, the load and the allowance."""
        now = trio.current_time()
        started = job.started_at or now
        return outcome._replace(
            service=now - started if job.started_at else 0.0,
            queued=started - job.queued_at if job.queued_at else 0.0,
            in_flight=self.load,
            limit=self.supervisor.allowance(),
        )

    def assign_work(self) -> None:
        """Send work on idle connections within the limits; open a connection if one is missing."""
        now = trio.current_time()
        self._expire_controls(now)
        while self.controls and self.idle:
            self.idle.pop().sender.send_nowait(self.controls.popleft())
        while self.idle and len(self.queue) and self.slots.in_use < self.supervisor.allowance():
            self._start_next(now)
        if self.controls or len(self.queue):
            self._connect_if_needed()
        if self.closing or len(self.workers) > self.max_connections:
            self._close_idle()

    def close(self) -> None:
        """Accept no new work; connections are closed when the queue and their work have ended."""
        self.closing = True
        self._close_idle()

    def reopen(self) -> None:
        """Accept work again after `close`."""
        self.closing = False
        if self.ended.is_set():
            self.ended = trio.Event()

    def _start_next(self, now: float) -> None:
        popped = self.queue.pop(now + self.shortest_time.at(now))
        for entry in popped.late:
            reason = "deadline" if entry.deadline <= now else "too_late"
            self.refuse(self.jobs.pop(entry.key), reason)
        if popped.entry is None:
            return
        job = self.jobs.pop(popped.entry.key)
        job.request_id = self.supervisor.request_id()
        self._set_deadline(job)
        self.slots.reserve(job.request_id, job.free_at, self.supervisor.allowance())
        self.idle.pop().sender.send_nowait(job)

    def _set_deadline(self, job: SubRequest) -> None:
        """Set the absolute deadline and the time by which the work has certainly ended.

        The Unix clock is read before trio's, and both before the lease is checked: a pause of the
        process in between makes the deadline earlier or the slot stay reserved longer.
        """
        unix_ms = int(self.wall() * 1000)
        now = trio.current_time()
        job.sent_deadline_ms = min(job.deadline_ms, unix_ms + int(MAX_SUBREQUEST_S * 1000))
        left = max(job.sent_deadline_ms - unix_ms, 0) / 1000
        job.started_at = now
        job.free_at = now + left + CLOCK_MARGIN_S

    def _expire_controls(self, now: float) -> None:
        while self.controls and self.controls[0].expires <= now:
            self.controls.popleft()

    # Connections

    def _connect_if_needed(self) -> None:
        free_slots = self.supervisor.allowance() - self.slots.in_use
        wanted = min(len(self.queue), max(free_slots, 0)) + len(self.controls)
        if wanted <= len(self.idle) or self.connecting:
            return
        if self.open_connections < self.max_connections:
            self.connecting = True
            self.nursery.start_soon(self._connect)

    async def _connect(self) -> None:
        connection = None
        try:
            await trio.sleep_until(self.next_connect_at)
            if not self.supervisor.may_connect():
                self.refuse_queued(self.supervisor.refusal() or "no_owner")
                return
            self.next_connect_at = trio.current_time() + self.connect_interval_s
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                connection = await self.connect(self.host, self.port)
        except RelayError:
            pass
        finally:
            self.connecting = False
        if connection is None:
            self.controls.clear()
            self.next_connect_at = trio.current_time() + max(self.connect_interval_s, RECONNECT_S)
            self.supervisor.connect_failed()
            return
        worker = Worker(connection)
        self.workers.add(worker)
        self.nursery.start_soon(self._work, worker)
        self._mark_idle(worker)

    async def _work(self, worker: Worker) -> None:
        """Serve one connection until it is closed.

        The deadline of the scope is that of the request in flight. A connection on which a request
        timed out is not used again, so one scope is enough for all requests.
        """
        try:
            with worker.scope:
                await self._serve(worker)
            if worker.job is not None:
                self._timed_out(worker.job)
            if worker.control is not None:
                worker.control.done(None)
        finally:
            if worker in self.idle:
                self.idle.remove(worker)
            with trio.CancelScope(shield=True):
                await worker.connection.aclose()
            self.workers.discard(worker)
            self.closing_workers -= worker.closing
            self.assign_work()

    async def _serve(self, worker: Worker) -> None:
        async for job in worker.receiver:
            if isinstance(job, ControlRequest):
                await self._run_control(worker, job)
            else:
                await self._run(worker, job)
            if not worker.connection.usable or worker.scope.cancel_called:
                return
            worker.scope.deadline = math.inf
            self._mark_idle(worker)

    def _mark_idle(self, worker: Worker) -> None:
        self.idle.append(worker)
        self.assign_work()

    def _close_idle(self) -> None:
        """Close idle connections above the limit, which is 0 when a closing pool has no queue."""
        unused = self.closing and not len(self.queue)
        limit = 0 if unused else self.max_connections
        while self.idle and len(self.workers) - self.closing_workers > limit:
            worker = self.idle.pop()
            worker.closing = True
            worker.sender.close()
            self.closing_workers += 1
        if self.closing and self.empty:
            self.ended.set()

    # Requests

    async def _run_control(self, worker: Worker, control: ControlRequest) -> None:
        if worker.is_stale():
            self._discard_stale(worker)
            self.controls.appendleft(control)
            return
        response = None
        worker.control = control
        worker.scope.deadline = trio.current_time() + CONTROL_TIMEOUT_S
        try:
            response = await worker.connection.request(control.request)
        except RelayError:
            self.supervisor.idle_connection_closed()
        worker.control = None
        worker.has_answered = worker.has_answered or response is not None
        control.done(response)

    def _discard_stale(self, worker: Worker) -> None:
        """Discard a connection that the server closed while it was idle.

        If it never carried a response, the next one is opened after a pause: a server that accepts
        and closes connections would otherwise get attempts without a pause.
        """
        worker.connection.usable = False
        if not worker.has_answered:
            self.next_connect_at = max(self.next_connect_at, trio.current_time() + RECONNECT_S)
        self.supervisor.idle_connection_closed()

    async def _run(self, worker: Worker, job: SubRequest) -> None:
        request = job.request()
        if worker.is_stale():
            self._discard_stale(worker)
            self._requeue(job)
            return
        reason = "cancelled" if job.finished else self.supervisor.refusal()
        if reason:
            self.slots.free(job.request_id)
            self.refuse(job, reason)
            return
        self.supervisor.sent(job)
        worker.job = job
        worker.scope.deadline = job.free_at
        try:
            response = await worker.connection.request(request)
        except RelayError as error:
            worker.job = None
            self._handle_failure(job, error)
            return
        worker.job = None
        self._handle_response(worker, job, response)

    def _timed_out(self, job: SubRequest) -> None:
        """Finish a sub-request that got no response by the time its work has certainly ended."""
        self.slots.free(job.request_id)
        job.finish(self.with_measurements(job, Outcome("deadline", "unknown")))

    def _requeue(self, job: SubRequest) -> None:
        """Queue a sub-request again whose connection was closed before anything was written."""
        self.slots.free(job.request_id)
        job.started_at = 0.0
        if job.finished:
            self.refuse(job, "cancelled")
        elif trio.current_time() >= job.deadline:
            self.refuse(job, "deadline")
        else:
            self._enqueue(job)

    def _handle_response(self, worker: Worker, job: SubRequest, response: Response) -> None:
        worker.has_answered = True
        outcome = check_response(job, response)
        if outcome.reason == "bad_answer":
            worker.connection.usable = False
            self._free_later(job)
        else:
            self.slots.free(job.request_id)
        if outcome.reason == "snapshot_mismatch":
            worker.connection.usable = False
        outcome = self.with_measurements(job, outcome)
        if not outcome.reason:
            self.shortest_time.add(outcome.service, trio.current_time())
        self.supervisor.response_received(response, outcome)
        job.finish(outcome)

    def _handle_failure(self, job: SubRequest, error: RelayError) -> None:
        if error.ran == "not_run":
            self.slots.free(job.request_id)
        else:
            self._free_later(job)
            self.supervisor.connection_lost()
        outcome = self.with_measurements(job, Outcome(error.code, error.ran))
        if error.ran != "not_run" and job.on_settled is not None:
            self.nursery.start_soon(self._settle_broken, job, outcome)
        else:
            job.finish(outcome)

    async def _settle_broken(self, job: SubRequest, outcome: Outcome) -> None:
        """Finish a trial whose connection broke, once it is known whether its server restarted.

        A broken connection to a server that still runs is no evidence that the request crashes
        servers.
        """
        if not await self.supervisor.may_have_crashed(job.boot_id, trio.current_time()):
            outcome = outcome._replace(reason="connection_cut")
        job.finish(outcome)

    def _handle_cancelled(self, request_id: str, response: Response | None) -> None:
        if response is None or response.status != 200:
            return
        try:
            stopped = response.json().get("cancelled", 0)
        except (ValueError, AttributeError):
            return
        if stopped and self.slots.free(request_id):
            self.assign_work()

    def _free_later(self, job: SubRequest) -> None:
        self.nursery.start_soon(self._free_at, job)

    async def _free_at(self, job: SubRequest) -> None:
        await trio.sleep_until(job.free_at)
        self.slots.free(job.request_id)
        self.assign_work()
