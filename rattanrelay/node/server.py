"""A searcher of a backend server that this instance owns: state, ramp, status polls and pool."""

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ..charts.interpreter import Chart
from ..decide.limits import Limit
from ..decide.ramp import Ramp
from ..errors import DECODE_ERRORS
from ..http import HttpConnection, Response
from ..metrics import Metrics
from ..table import ServerRow, ServiceRow
from .connection import Connect
from .pool import CONTROL_TIMEOUT_S, Pool
from .ports import MembersPort
from .subrequest import Outcome, SubRequest, status_request

__all__ = ["Rows", "Searcher", "SearcherContext", "SearcherStatus"]

STATUS_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.25
HANDOVER_POLL_S = 0.01
#: Consecutive status polls without an answer after which a searcher is in state `lost`.
MAX_UNANSWERED_POLLS = 2
#: A searcher is taken as back only this long after its last report that it leaves: reports lag.
LEAVING_HOLD_S = 5.0

#: Time after a broken connection within which a status poll can rule out a restart.
RESTART_CHECK_TIMEOUT_S = 0.5

LEAVING_STATES = frozenset(("leaving", "draining"))
#: Reasons of refusals by the state of the searcher.
REFUSED_STATES = {"leaving": "draining", "lost": "connect_failed", "out": "no_replica"}


class SearcherContext(NamedTuple):
    """Dependencies of all searchers of a dispatcher; `wall` returns Unix seconds."""

    members: MembersPort
    metrics: Metrics
    nursery: trio.Nursery
    wall: Callable[[], float]
    rng: random.Random
    request_id: Callable[[], str]
    weight: Callable[[str], float]
    connect: Connect = HttpConnection.open


class Rows(NamedTuple):
    """Rows of the table for a searcher, its limit, and whether one of the rows is `out`."""

    server: ServerRow
    service: ServiceRow
    limit: Limit
    out: bool


class SearcherStatus(NamedTuple):
    """Snapshot of a searcher for operators; `boot_id` is empty before the first answer."""

    searcher: str
    server: str
    state: str
    owned: bool
    slots_in_use: int
    limit: int
    allowance: int
    queued: int
    connections: int
    boot_id: str


class _Status(msgspec.Struct):
    """Body of `GET /status`; other fields are ignored."""

    state: str = ""


_STATUS = msgspec.json.Decoder(_Status)


class Searcher:
    """Decides what may be sent to one searcher now; its pool sends it."""

    def __init__(self, name: str, address: str, rows: Rows, context: SearcherContext) -> None:
        self.name = name
        self.server = rows.server.name
        self.address = address
        self.context = context
        self.rows = rows
        self.chart = Chart("backend_server", name)
        self.ramp = Ramp(rows.server.cold_slots)
        self.boot_id = ""
        self.announced_state = ""
        self.last_leaving_at = -LEAVING_HOLD_S
        self.unanswered_polls = 0
        self.poll_busy_until = 0.0
        self.polled_at = 0.0
        self.unreachable_at = -1.0
        #: Trio time at which the last answered status poll was sent.
        self.confirmed_at = -1.0
        self.evidence_changed = trio.Event()
        self.restart_suspected_at: float | None = None
        self.wake = trio.Event()
        self.owned = True
        #: Whether queued work waits for the end of a handover.
        self.awaiting_handover = False
        self.pool = Pool(name, address, self, context.nursery, context.wall, context.connect)
        self.polling = trio.CancelScope()
        self.update(rows)

    # Changes from outside

    def update(self, rows: Rows) -> None:
        """Apply the rows of a new table."""
        self.rows = rows
        self.pool.max_connections = rows.limit.connections
        self.pool.connect_interval_s = rows.server.connect_ms / 1000
        self.pool.queue.capacity = rows.service.queue
        if rows.out != (self.chart.state == "out"):
            self._send_event("taken_out" if rows.out else "returned", "row changed")
        self.settle()

    def lose_ownership(self) -> None:
        """Accept no new work because another instance owns the server; close as work ends."""
        self.owned = False
        self.settle()
        self.pool.close()

    def regain_ownership(self) -> None:
        """Accept work again for a server that this instance owns again."""
        if not self.owned:
            self.owned = True
            self.pool.reopen()
            self._send_event("cold", "owned again")

    async def release(self) -> None:
        """Accept no new work; return when queue, work and connections have ended."""
        self.pool.close()
        await self.pool.ended.wait()

    def settle(self) -> None:
        """Refuse queued work that may no longer be sent; send what may be sent now."""
        reason = self.refusal()
        if reason and not (self.awaiting_handover and self.may_queue(reason)):
            self.pool.refuse_queued(reason)
        self.pool.assign_work()

    def status(self) -> SearcherStatus:
        """Return a snapshot for the status page."""
        return SearcherStatus(
            self.name,
            self.server,
            self.chart.state,
            self.owned,
            self.pool.slots.in_use,
            self.rows.limit.slots,
            self.allowance(),
            len(self.pool.queue),
            self.pool.open_connections,
            self.boot_id,
        )

    # Questions of the pool

    def refusal(self) -> str:
        """Return the reason why no new work may be sent now, empty if it may."""
        reason = REFUSED_STATES.get(self.chart.state)
        if reason is not None:
            return reason
        if self.rows.limit.slots <= 0:
            return "no_replica"
        return self._ownership_refusal()

    def may_queue(self, reason: str) -> bool:
        """Return whether work may wait for the former owner to hand over the server."""
        if reason != "no_owner" or not self.owned:
            return False
        if not self.context.members.takeover_pending(self.server):
            return False
        if not self.awaiting_handover:
            self.awaiting_handover = True
            self.context.nursery.start_soon(self._await_handover)
        return True

    async def _await_handover(self) -> None:
        """Wait for the end of the handover, then send or refuse the queued work."""
        while self.owned and self.context.members.takeover_pending(self.server):  # noqa: ASYNC110
            await trio.sleep(HANDOVER_POLL_S)
        self.awaiting_handover = False
        self.settle()

    def may_connect(self) -> bool:
        """Return whether a connection may be opened now."""
        return not self._ownership_refusal()

    def allowance(self) -> int:
        """Return how many slots may be in use now."""
        if self.awaiting_handover or self.chart.state in REFUSED_STATES:
            return 0
        allowed = self.ramp.allowance(self.rows.limit.slots)
        if self.restart_suspected_at is not None:
            return min(allowed, max(self.rows.server.cold_slots, 1))
        return allowed

    def request_id(self) -> str:
        """Return a new request id."""
        return self.context.request_id()

    def weight(self, tenant: str) -> float:
        """Return the weight of a tenant."""
        return self.context.weight(tenant)

    def sent(self, job: SubRequest) -> None:
        """Record the boot that gets a sub-request; count actions (the entry counts searches)."""
        job.boot_id = self.boot_id
        if job.kind == "action":
            self.context.metrics.subrequests.inc(job.labels)

    # Observations of the pool

    def response_received(self, response: Response, outcome: Outcome) -> None:
        """Record the outcome of a response to a sub-request."""
        if outcome.reason == "bad_answer":
            return
        self._read_headers(response)
        if outcome.reason in ("", "deadline"):
            self._record_latency(outcome.service)
        elif outcome.reason == "shedding":
            self._record_shed()
        elif outcome.reason == "draining":
            self._record_leaving("refused work")
        if self.chart.state == "unknown":
            self._send_event("reached", "first answer")

    def connection_lost(self) -> None:
        """Record a connection that broke while the server worked on a request."""
        self._send_event("lost", "connection broke during a request")

    async def may_have_crashed(self, boot_id: str, since: float) -> bool:
        """Return whether the server process of a boot may have ended since a trio time.

        True if no status poll rules it out in time.
        """
        self.wake.set()
        with trio.move_on_after(RESTART_CHECK_TIMEOUT_S):
            while self.unreachable_at < since:
                if self.confirmed_at >= since:
                    return not boot_id or boot_id != self.boot_id
                await self.evidence_changed.wait()
        return True

    def idle_connection_closed(self) -> None:
        """Record that the server closed an idle connection.

        The server may have restarted, so it gets the slots of a cold one until an answered status
        poll shows whether the boot id has changed.
        """
        self.restart_suspected_at = trio.current_time()
        self.wake.set()

    def connect_failed(self) -> None:
        """Record a connection that could not be opened."""
        self.poll_busy_until = 0.0
        self.unreachable_at = trio.current_time()
        self._send_event("lost", "connection could not be opened")
        self._notify_evidence()

    # Status polls

    async def poll(self) -> None:
        """Poll the status until cancelled, faster while it is lost or may have restarted."""
        await trio.sleep(self.context.rng.uniform(0, PROBE_INTERVAL_S))
        with self.polling:
            while True:
                self._request_status()
                probing = self.chart.state == "lost" or self.restart_suspected_at is not None
                with trio.move_on_after(PROBE_INTERVAL_S if probing else STATUS_INTERVAL_S):
                    await self.wake.wait()
                self.wake = trio.Event()

    def _request_status(self) -> None:
        now = trio.current_time()
        idle = now >= self.poll_busy_until and not self.pool.closing
        if idle and self.rows.limit.connections and self.may_connect():
            self.polled_at = now
            self.poll_busy_until = now + 2 * CONTROL_TIMEOUT_S
            self.pool.send_control(status_request(), now + CONTROL_TIMEOUT_S, self._handle_status)

    def _handle_status(self, response: Response | None) -> None:
        self.poll_busy_until = 0.0
        if response is None or response.status != 200:
            self._count_unanswered()
            return
        self.unanswered_polls = 0
        self._read_headers(response)
        self.confirmed_at = self.polled_at
        self._notify_evidence()
        if self.restart_suspected_at is not None and self.polled_at >= self.restart_suspected_at:
            self.restart_suspected_at = None
        try:
            state = _STATUS.decode(response.body).state
        except DECODE_ERRORS:
            return
        if state in LEAVING_STATES:
            self._record_leaving("status")
        elif trio.current_time() - self.last_leaving_at >= LEAVING_HOLD_S:
            self._send_event("reached", "status")

    def _count_unanswered(self) -> None:
        self.unanswered_polls += 1
        if self.unanswered_polls >= MAX_UNANSWERED_POLLS:
            self._send_event("lost", "no answer to status polls")

    # Evidence

    def _notify_evidence(self) -> None:
        evidence_changed, self.evidence_changed = self.evidence_changed, trio.Event()
        evidence_changed.set()

    def _ownership_refusal(self) -> str:
        if not self.owned:
            return "no_owner"
        members = self.context.members
        if members.may_dispatch(self.server):
            return ""
        return "no_owner" if members.lease_left() > 0 else "no_quorum"

    def _read_headers(self, response: Response) -> None:
        """Read the boot id and the announced state."""
        boot_id = response.headers.get("x-boot-id", "")
        if boot_id and boot_id != self.boot_id:
            known, self.boot_id = self.boot_id, boot_id
            if known:
                self.last_leaving_at = -LEAVING_HOLD_S
                self._send_event("cold", "new boot id")
        announced = response.headers.get("x-state", "")
        if announced in LEAVING_STATES:
            self._record_leaving("announced")
        if announced != self.announced_state:
            self.announced_state = announced
            if announced == "cold" and self.chart.state in ("warm", "ramping"):
                self._send_event("cold", "announced")

    def _record_leaving(self, cause: str) -> None:
        self.last_leaving_at = trio.current_time()
        self._send_event("draining", cause)

    def _record_shed(self) -> None:
        if self.ramp.on_shed(self.rows.limit.slots, self.rows.server.cold_slots):
            self._send_event("shed", "refused work")

    def _record_latency(self, service_s: float) -> None:
        warm_s = self.rows.service.warm_latency_ms / 1000
        change = self.ramp.record_answer(service_s, warm_s, self.rows.limit.slots)
        if change == "slow":
            self._send_event("cold", "slow answers")
        elif change != "none":
            self._send_event(change, "answers in time")

    def _send_event(self, event: str, cause: str) -> None:
        changed = self.chart.send(event, cause)
        if event == "cold" or (changed and self.chart.state == "cold"):
            self.ramp.restart(self.rows.server.cold_slots)
        if changed:
            self.wake.set()
            self.settle()
