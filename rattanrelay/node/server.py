"""A searcher of a backend server as its owner sees it: life, ramp, status polls and pool."""

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ..charts.interpreter import Chart
from ..decide.limits import Limit
from ..decide.ramp import Ramp
from ..http import HttpConnection, Response
from ..metrics import Metrics
from ..table import ServerRow, ServiceRow
from .connection import Connect
from .pool import CONTROL_TIMEOUT_S, Pool
from .ports import MembersPort
from .subrequest import Outcome, SubRequest, status_request

__all__ = ["Rows", "Searcher", "SearcherStatus", "Surroundings"]

STATUS_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.25
HANDOVER_POLL_S = 0.01
#: Status polls without an answer after which a searcher counts as lost.
SILENT_POLLS = 2
#: A leaving searcher counts as back this long after it last said that it leaves; reports lag.
LEAVING_HOLD_S = 5.0

#: Time after a broken connection in which a status poll may show that the server did not restart.
CONFIRM_S = 0.5

LEAVING_STATES = frozenset(("leaving", "draining"))
#: Why a searcher in this state takes no new work.
REFUSED_STATES = {"leaving": "draining", "lost": "connect_failed", "out": "no_replica"}


class Surroundings(NamedTuple):
    """What all searchers of a dispatcher share; `wall` returns Unix seconds."""

    members: MembersPort
    metrics: Metrics
    nursery: trio.Nursery
    wall: Callable[[], float]
    rng: random.Random
    request_id: Callable[[], str]
    weight: Callable[[str], float]
    connect: Connect = HttpConnection.open


class Rows(NamedTuple):
    """The rows that hold for a searcher, its limit, and whether one of the rows is out."""

    server: ServerRow
    service: ServiceRow
    limit: Limit
    out: bool


class SearcherStatus(NamedTuple):
    """What an operator sees of a searcher; `boot_id` is empty before the first answer."""

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

    def __init__(self, name: str, address: str, rows: Rows, around: Surroundings) -> None:
        self.name = name
        self.server = rows.server.name
        self.address = address
        self.around = around
        self.rows = rows
        self.chart = Chart("backend_server", name)
        self.ramp = Ramp(rows.server.cold_slots)
        self.boot_id = ""
        self.announced = ""
        self.last_leaving = -LEAVING_HOLD_S
        self.silent_polls = 0
        self.poll_busy_until = 0.0
        self.polled_at = 0.0
        self.unreachable_at = -1.0
        #: When the last answered status poll was asked.
        self.confirmed_at = -1.0
        self.news = trio.Event()
        self.unconfirmed_since: float | None = None
        self.wake = trio.Event()
        self.owned = True
        #: Whether work waits in the queue for the end of a handover.
        self.awaiting = False
        self.pool = Pool(name, address, self, around.nursery, around.wall, around.connect)
        self.polling = trio.CancelScope()
        self.update(rows)

    # Changes from outside

    def update(self, rows: Rows) -> None:
        """Apply the rows of a new table."""
        self.rows = rows
        self.pool.connections = rows.limit.connections
        self.pool.connect_s = rows.server.connect_ms / 1000
        self.pool.queue.capacity = rows.service.queue
        if rows.out != (self.chart.state == "out"):
            self._send("taken_out" if rows.out else "returned", "row changed")
        self.settle()

    def give_up(self) -> None:
        """Take no new work because another instance owns the server; close as work ends."""
        self.owned = False
        self.settle()
        self.pool.close()

    def take_up(self) -> None:
        """Take work again for a server that this instance owns again."""
        if not self.owned:
            self.owned = True
            self.pool.reopen()
            self._send("cold", "owned again")

    async def release(self) -> None:
        """Take no new work; return when queue, work and connections have ended."""
        self.pool.close()
        await self.pool.ended.wait()

    def settle(self) -> None:
        """Refuse queued work that may not be sent any more, or send what now may be sent."""
        reason = self.refusal()
        if reason and not (self.awaiting and self.may_queue(reason)):
            self.pool.refuse_queued(reason)
        self.pool.pump()

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

    # What the pool asks

    def refusal(self) -> str:
        """Return why no new work may be sent now, empty if it may."""
        reason = REFUSED_STATES.get(self.chart.state)
        if reason is not None:
            return reason
        if self.rows.limit.slots <= 0:
            return "no_replica"
        return self._no_authority()

    def may_queue(self, reason: str) -> bool:
        """Let work wait while the server is about to be handed over by its former owner."""
        if reason != "no_owner" or not self.owned:
            return False
        if not self.around.members.handover_pending(self.server):
            return False
        if not self.awaiting:
            self.awaiting = True
            self.around.nursery.start_soon(self._await_handover)
        return True

    async def _await_handover(self) -> None:
        """Send or refuse what waits in the queue as soon as the handover has ended."""
        while self.owned and self.around.members.handover_pending(self.server):  # noqa: ASYNC110
            await trio.sleep(HANDOVER_POLL_S)
        self.awaiting = False
        self.settle()

    def may_connect(self) -> bool:
        """Say whether a connection may be opened now."""
        return not self._no_authority()

    def allowance(self) -> int:
        """Return how many slots may be in use now."""
        if self.awaiting or self.chart.state in REFUSED_STATES:
            return 0
        allowed = self.ramp.allowance(self.rows.limit.slots)
        if self.unconfirmed_since is not None:
            return min(allowed, max(self.rows.server.cold_slots, 1))
        return allowed

    def request_id(self) -> str:
        """Return a new request id."""
        return self.around.request_id()

    def weight(self, tenant: str) -> float:
        """Return the weight of a tenant."""
        return self.around.weight(tenant)

    def sent(self, job: SubRequest) -> None:
        """Note the boot that gets a sub-request; count actions, as the entry counts searches."""
        job.boot_id = self.boot_id
        if job.kind == "action":
            self.around.metrics.subrequests.inc(job.labels)

    # What the pool tells

    def answered(self, response: Response, outcome: Outcome) -> None:
        """Note the answer to a sub-request."""
        if outcome.reason == "bad_answer":
            return
        self._note_headers(response)
        if outcome.reason in ("", "deadline"):
            self._count_latency(outcome.service)
        elif outcome.reason == "shedding":
            self._note_shed()
        elif outcome.reason == "draining":
            self._note_leaving("refused work")
        if self.chart.state == "unknown":
            self._send("reached", "first answer")

    def lost(self) -> None:
        """Note a connection that broke while the server worked on a request."""
        self._send("lost", "connection broke during a request")

    async def crashed(self, boot_id: str, since: float) -> bool:
        """Say whether the server of this boot may have ended; True if it is not known in time."""
        self.wake.set()
        with trio.move_on_after(CONFIRM_S):
            while self.unreachable_at < since:
                if self.confirmed_at >= since:
                    return not boot_id or boot_id != self.boot_id
                await self.news.wait()
        return True

    def dropped(self) -> None:
        """Note an idle connection that the server closed.

        The server may have started anew, so it gets the slots of a cold one until a status poll
        shows the same boot id.
        """
        self.unconfirmed_since = trio.current_time()
        self.wake.set()

    def unreachable(self) -> None:
        """Note a connection that could not be opened."""
        self.poll_busy_until = 0.0
        self.unreachable_at = trio.current_time()
        self._send("lost", "connection could not be opened")
        self._tell_news()

    # Status polls

    async def poll(self) -> None:
        """Ask for the status until cancelled: slowly, and faster while the searcher is lost."""
        await trio.sleep(self.around.rng.uniform(0, PROBE_INTERVAL_S))
        with self.polling:
            while True:
                self._ask_status()
                soon = self.chart.state == "lost" or self.unconfirmed_since is not None
                with trio.move_on_after(PROBE_INTERVAL_S if soon else STATUS_INTERVAL_S):
                    await self.wake.wait()
                self.wake = trio.Event()

    def _ask_status(self) -> None:
        now = trio.current_time()
        idle = now >= self.poll_busy_until and not self.pool.closing
        if idle and self.rows.limit.connections and self.may_connect():
            self.polled_at = now
            self.poll_busy_until = now + 2 * CONTROL_TIMEOUT_S
            self.pool.control(status_request(), now + CONTROL_TIMEOUT_S, self._saw_status)

    def _saw_status(self, response: Response | None) -> None:
        self.poll_busy_until = 0.0
        if response is None or response.status != 200:
            self._count_silent()
            return
        self.silent_polls = 0
        self._note_headers(response)
        self.confirmed_at = self.polled_at
        self._tell_news()
        if self.unconfirmed_since is not None and self.polled_at >= self.unconfirmed_since:
            self.unconfirmed_since = None
        try:
            state = _STATUS.decode(response.body).state
        except msgspec.DecodeError:
            return
        if state in LEAVING_STATES:
            self._note_leaving("status")
        elif trio.current_time() - self.last_leaving >= LEAVING_HOLD_S:
            self._send("reached", "status")

    def _count_silent(self) -> None:
        self.silent_polls += 1
        if self.silent_polls >= SILENT_POLLS:
            self._send("lost", "no answer to status polls")

    # Evidence

    def _tell_news(self) -> None:
        news, self.news = self.news, trio.Event()
        news.set()

    def _no_authority(self) -> str:
        if not self.owned:
            return "no_owner"
        members = self.around.members
        if members.may_dispatch(self.server):
            return ""
        return "no_owner" if members.lease_left() > 0 else "no_quorum"

    def _note_headers(self, response: Response) -> None:
        """Look for a new boot and for an announced change of state."""
        boot_id = response.headers.get("x-boot-id", "")
        if boot_id and boot_id != self.boot_id:
            known, self.boot_id = self.boot_id, boot_id
            if known:
                self.last_leaving = -LEAVING_HOLD_S
                self._send("cold", "new boot id")
        announced = response.headers.get("x-state", "")
        if announced in LEAVING_STATES:
            self._note_leaving("announced")
        if announced != self.announced:
            self.announced = announced
            if announced == "cold" and self.chart.state in ("warm", "ramping"):
                self._send("cold", "announced")

    def _note_leaving(self, cause: str) -> None:
        self.last_leaving = trio.current_time()
        self._send("draining", cause)

    def _note_shed(self) -> None:
        if self.ramp.shed(self.rows.limit.slots, self.rows.server.cold_slots):
            self._send("shed", "refused work")

    def _count_latency(self, service_s: float) -> None:
        warm_s = self.rows.service.warm_latency_ms / 1000
        change = self.ramp.answer(service_s, warm_s, self.rows.limit.slots)
        if change == "slow":
            self._send("cold", "slow answers")
        elif change != "none":
            self._send(change, "answers in time")

    def _send(self, event: str, cause: str) -> None:
        changed = self.chart.send(event, cause)
        if event == "cold" or (changed and self.chart.state == "cold"):
            self.ramp.restart(self.rows.server.cold_slots)
        if changed:
            self.wake.set()
            self.settle()
