"""Connections, slots and queue of one searcher; each connection is a task that owns its socket."""

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from ..decide.fairqueue import Entry, FairQueue
from ..decide.lease import CLOCK_MARGIN_S, MAX_SUBREQUEST_S
from ..decide.patience import ShortestTime
from ..decide.slots import Slots
from ..errors import RelayError
from ..http import HttpConnection, Request, Response
from .connection import Connect, Control, Worker
from .subrequest import Outcome, SubRequest, cancel_request, judge

__all__ = [
    "CONNECT_TIMEOUT_S",
    "CONTROL_TIMEOUT_S",
    "Pool",
    "Supervisor",
]

CONNECT_TIMEOUT_S = 1.0
#: Pause after a connection that could not be opened.
RECONNECT_S = 0.05
CONTROL_TIMEOUT_S = 1.0


class Supervisor(Protocol):
    """What a pool asks and tells about its searcher."""

    def refusal(self) -> str:
        """Return why no new work may be sent now, empty if it may."""

    def may_queue(self, reason: str) -> bool:
        """Say whether work that is refused for `reason` may wait in the queue for its end."""

    def may_connect(self) -> bool:
        """Say whether a connection may be opened now."""

    def allowance(self) -> int:
        """Return how many slots may be in use now."""

    def answered(self, response: Response, outcome: Outcome) -> None:
        """Note an answer that fits its request."""

    def lost(self) -> None:
        """Note a connection that broke while the server worked on a request."""

    async def crashed(self, boot_id: str, since: float) -> bool:
        """Say whether the server of this boot may have ended; `since` is trio time."""

    def dropped(self) -> None:
        """Note an idle connection that the server closed: it may have started anew."""

    def unreachable(self) -> None:
        """Note a connection that could not be opened."""

    def request_id(self) -> str:
        """Return a new request id."""

    def weight(self, tenant: str) -> float:
        """Return the weight of a tenant."""

    def sent(self, job: SubRequest) -> None:
        """Note a sub-request that is being written."""


class Pool:
    """Sends the sub-requests of one searcher within its limits.

    `connections` is the limit on open connections, `connect_s` the pause between opening two.
    `wall` returns Unix seconds, `connect` opens a connection. All tasks run in `nursery`.
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
        self.connections = 0
        self.connect_s = 0.0
        self.slots = Slots()
        self.queue = FairQueue(0)
        self.shortest = ShortestTime()
        self.jobs: dict[int, SubRequest] = {}
        self.controls: deque[Control] = deque()
        self.workers: set[Worker] = set()
        #: Number of idle connections that were told to close and have not yet.
        self.leaving = 0
        self.idle: list[Worker] = []
        self.connecting = False
        self.closing = False
        self.next_connect = 0.0
        self.ended = trio.Event()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.workers) + self.connecting

    @property
    def load(self) -> int:
        """Number of sub-requests in progress or queued."""
        return self.slots.in_use + len(self.queue)

    @property
    def empty(self) -> bool:
        """True when no work is in progress or queued and no connection is open."""
        return not (self.load or self.workers or self.connecting)

    def submit(self, job: SubRequest) -> None:
        """Queue a sub-request; it is refused at once if it cannot be sent."""
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
        self.pump()

    def forget(self, job: SubRequest) -> bool:
        """Take a sub-request out of the queue; False if it is not queued."""
        if self.queue.cancel(id(job)) is None:
            return False
        del self.jobs[id(job)]
        return True

    def cancel(self, job: SubRequest) -> None:
        """Ask the server to cancel a sub-request that was sent; it keeps its slot until then."""
        if self.slots.cancel(job.request_id):
            done = partial(self._cancelled, job.request_id)
            self.control(cancel_request(job.request_id), job.free_at, done)

    def control(self, request: Request, expires: float, done: Callable) -> None:
        """Send a request that needs no slot; `done` gets the response, or None without one.

        It is dropped without a call of `done` if no connection is free before `expires`.
        """
        self.controls.append(Control(request, expires, done))
        self.pump()

    def refuse(self, job: SubRequest, reason: str) -> None:
        """Finish a sub-request of which nothing was written."""
        job.finish(self.measured(job, Outcome(reason, "not_run")))

    def refuse_queued(self, reason: str) -> None:
        """Refuse all queued sub-requests."""
        for entry in self.queue.drain():
            self.refuse(self.jobs.pop(entry.key), reason)

    def measured(self, job: SubRequest, outcome: Outcome) -> Outcome:
        """Add times and load to an outcome."""
        now = trio.current_time()
        started = job.started_at or now
        return outcome._replace(
            service=now - started if job.started_at else 0.0,
            queued=started - job.queued_at if job.queued_at else 0.0,
            in_flight=self.load,
            limit=self.supervisor.allowance(),
        )

    def pump(self) -> None:
        """Give work to idle connections as far as the limits allow; open one if it is needed."""
        now = trio.current_time()
        self._drop_late_controls(now)
        while self.controls and self.idle:
            self.idle.pop().sender.send_nowait(self.controls.popleft())
        while self.idle and len(self.queue) and self.slots.in_use < self.supervisor.allowance():
            self._start_next(now)
        if self.controls or len(self.queue):
            self._connect_if_needed()
        if self.closing or len(self.workers) > self.connections:
            self._close_idle()

    def close(self) -> None:
        """Take no new work; each connection is closed when the queue and its work have ended."""
        self.closing = True
        self._close_idle()

    def reopen(self) -> None:
        """Take work again after `close`."""
        self.closing = False
        if self.ended.is_set():
            self.ended = trio.Event()

    def _start_next(self, now: float) -> None:
        popped = self.queue.pop(now + self.shortest.at(now))
        for entry in popped.late:
            reason = "deadline" if entry.deadline <= now else "too_late"
            self.refuse(self.jobs.pop(entry.key), reason)
        if popped.entry is None:
            return
        job = self.jobs.pop(popped.entry.key)
        job.request_id = self.supervisor.request_id()
        self._set_deadline(job)
        self.slots.take(job.request_id, job.free_at, self.supervisor.allowance())
        self.idle.pop().sender.send_nowait(job)

    def _set_deadline(self, job: SubRequest) -> None:
        """Set the absolute deadline and the time at which the slot is free in any case.

        The Unix time is read before trio's, and both before the check of the lease: a pause in
        between can only make the deadline earlier and the slot be held longer.
        """
        unix_ms = int(self.wall() * 1000)
        now = trio.current_time()
        job.sent_deadline_ms = min(job.deadline_ms, unix_ms + int(MAX_SUBREQUEST_S * 1000))
        left = max(job.sent_deadline_ms - unix_ms, 0) / 1000
        job.started_at = now
        job.free_at = now + left + CLOCK_MARGIN_S

    def _drop_late_controls(self, now: float) -> None:
        while self.controls and self.controls[0].expires <= now:
            self.controls.popleft()

    # Connections

    def _connect_if_needed(self) -> None:
        room = self.supervisor.allowance() - self.slots.in_use
        wanted = min(len(self.queue), max(room, 0)) + len(self.controls)
        if wanted <= len(self.idle) or self.connecting:
            return
        if self.open_connections < self.connections:
            self.connecting = True
            self.nursery.start_soon(self._connect)

    async def _connect(self) -> None:
        connection = None
        try:
            await trio.sleep_until(self.next_connect)
            if not self.supervisor.may_connect():
                self.refuse_queued(self.supervisor.refusal() or "no_owner")
                return
            self.next_connect = trio.current_time() + self.connect_s
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                connection = await self.connect(self.host, self.port)
        except RelayError:
            pass
        finally:
            self.connecting = False
        if connection is None:
            self.controls.clear()
            self.next_connect = trio.current_time() + max(self.connect_s, RECONNECT_S)
            self.supervisor.unreachable()
            return
        worker = Worker(connection)
        self.workers.add(worker)
        self.nursery.start_soon(self._work, worker)
        self._ready(worker)

    async def _work(self, worker: Worker) -> None:
        """Serve one connection until it is closed.

        The scope's deadline is that of the request in progress. A connection whose request was
        given up is not used again, so one scope serves them all.
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
            self.leaving -= worker.leaving
            self.pump()

    async def _serve(self, worker: Worker) -> None:
        async for job in worker.receiver:
            if isinstance(job, Control):
                await self._run_control(worker, job)
            else:
                await self._run(worker, job)
            if not worker.connection.usable or worker.scope.cancel_called:
                return
            worker.scope.deadline = math.inf
            self._ready(worker)

    def _ready(self, worker: Worker) -> None:
        self.idle.append(worker)
        self.pump()

    def _close_idle(self) -> None:
        """Close idle connections above the limit, all of them when the pool is closing."""
        done = self.closing and not len(self.queue)
        limit = 0 if done else self.connections
        while self.idle and len(self.workers) - self.leaving > limit:
            worker = self.idle.pop()
            worker.leaving = True
            worker.sender.close()
            self.leaving += 1
        if self.closing and self.empty:
            self.ended.set()

    # Requests

    async def _run_control(self, worker: Worker, control: Control) -> None:
        if worker.is_stale():
            self._drop(worker)
            self.controls.appendleft(control)
            return
        response = None
        worker.control = control
        worker.scope.deadline = trio.current_time() + CONTROL_TIMEOUT_S
        try:
            response = await worker.connection.request(control.request)
        except RelayError:
            self.supervisor.dropped()
        worker.control = None
        worker.served = worker.served or response is not None
        control.done(response)

    def _drop(self, worker: Worker) -> None:
        """Note a connection that the server closed; one that it never used is not replaced at once.

        A server that accepts and closes connections would otherwise be asked without a pause.
        """
        worker.connection.usable = False
        if not worker.served:
            self.next_connect = max(self.next_connect, trio.current_time() + RECONNECT_S)
        self.supervisor.dropped()

    async def _run(self, worker: Worker, job: SubRequest) -> None:
        request = job.request()
        if worker.is_stale():
            self._drop(worker)
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
            self._broken(job, error)
            return
        worker.job = None
        self._answered(worker, job, response)

    def _timed_out(self, job: SubRequest) -> None:
        """Finish a sub-request whose answer did not come until its work had certainly ended."""
        self.slots.free(job.request_id)
        job.finish(self.measured(job, Outcome("deadline", "unknown")))

    def _requeue(self, job: SubRequest) -> None:
        """Queue a sub-request again whose connection closed before anything was written."""
        self.slots.free(job.request_id)
        job.started_at = 0.0
        if job.finished:
            self.refuse(job, "cancelled")
        elif trio.current_time() >= job.deadline:
            self.refuse(job, "deadline")
        else:
            self._enqueue(job)

    def _answered(self, worker: Worker, job: SubRequest, response: Response) -> None:
        worker.served = True
        outcome = judge(job, response)
        if outcome.reason == "bad_answer":
            worker.connection.usable = False
            self._free_later(job)
        else:
            self.slots.free(job.request_id)
        if outcome.reason == "snapshot_mismatch":
            worker.connection.usable = False
        outcome = self.measured(job, outcome)
        if not outcome.reason:
            self.shortest.add(outcome.service, trio.current_time())
        self.supervisor.answered(response, outcome)
        job.finish(outcome)

    def _broken(self, job: SubRequest, error: RelayError) -> None:
        if error.ran == "not_run":
            self.slots.free(job.request_id)
        else:
            self._free_later(job)
            self.supervisor.lost()
        outcome = self.measured(job, Outcome(error.code, error.ran))
        if error.ran != "not_run" and job.on_settled is not None:
            self.nursery.start_soon(self._settle_broken, job, outcome)
        else:
            job.finish(outcome)

    async def _settle_broken(self, job: SubRequest, outcome: Outcome) -> None:
        """Finish a trial whose connection broke, once it is known whether its server restarted.

        A cut connection to a server that goes on is no sign of a request that crashes servers.
        """
        if not await self.supervisor.crashed(job.boot_id, trio.current_time()):
            outcome = outcome._replace(reason="connection_cut")
        job.finish(outcome)

    def _cancelled(self, request_id: str, response: Response | None) -> None:
        if response is None or response.status != 200:
            return
        try:
            stopped = response.json().get("cancelled", 0)
        except (ValueError, AttributeError):
            return
        if stopped and self.slots.free(request_id):
            self.pump()

    def _free_later(self, job: SubRequest) -> None:
        self.nursery.start_soon(self._free_at, job)

    async def _free_at(self, job: SubRequest) -> None:
        await trio.sleep_until(job.free_at)
        self.slots.free(job.request_id)
        self.pump()
