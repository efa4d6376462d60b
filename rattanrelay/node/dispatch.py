"""The owner side: sends work to the backend servers that this instance owns."""

import random
import time
from collections.abc import Callable
from itertools import count

import trio

from ..decide.canary import SharedEntry
from ..decide.lease import CLOCK_MARGIN_S, MAX_SUBREQUEST_S
from ..decide.settling import SettlingLimits
from ..http import HttpConnection
from ..log import event
from ..metrics import Metrics
from ..table import Table, server_of
from ..wire import (
    Accepted,
    ActionResult,
    BlockedRequest,
    Cancel,
    Handlers,
    RunAction,
    SubQuery,
)
from .batch import ActionRun, Batch, Emit, OpenJobs, action_result, check_json
from .connection import Connect
from .coordinator import Coordinator
from .leased_trial import LeasedTrial
from .ports import Configuration, Latest, MembersPort, PeersPort
from .server import Rows, Searcher, SearcherStatus, Surroundings
from .subrequest import Outcome
from .trials import SECOND_TRIAL, Trial, Trials

__all__ = ["Dispatcher"]

HOUSEKEEPING_INTERVAL_S = 0.25
#: Time within which a table is in force on every instance.
CONFIGURATION_SPREAD_S = 7.0
#: Time after which no work is in progress that was sent under an earlier table.
SETTLE_S = CONFIGURATION_SPREAD_S + MAX_SUBREQUEST_S + CLOCK_MARGIN_S


class Dispatcher:
    """Runs sub-queries and actions on searchers within their limits; implements `DispatchPort`.

    `wall` returns Unix seconds; `connect` opens connections to searchers.
    """

    def __init__(
        self,
        configuration: Latest[Configuration],
        members: MembersPort,
        peers: PeersPort,
        metrics: Metrics,
        *,
        wall: Callable[[], float] = time.time,
        rng: random.Random,
        connect: Connect = HttpConnection.open,
    ) -> None:
        self.configuration = configuration
        self.members = members
        self.metrics = metrics
        self.wall = wall
        self.rng = rng
        self.connect = connect
        self.searchers: dict[str, Searcher] = {}
        self.limits = SettlingLimits()
        #: Servers whose owner under the epoch is known, and those of them that are owned here.
        self.judged: set[str] = set()
        self.mine: set[str] = set()
        self.judged_epoch = 0
        #: True while a searcher with a new address waits for the end of work at the old one.
        self.moving = False
        self.open_jobs: OpenJobs = {}
        self.around: Surroundings | None = None
        self.seen: tuple[int, int] | None = None
        #: Slots in use and allowed by searcher, as last set in the metrics.
        self.gauges: dict[str, tuple[int, int]] = {}
        self._prefix = f"{members.instance}-{rng.getrandbits(64):016x}"
        self.trials = Trials(self._prefix)
        self.coordinator = Coordinator(self.trials, members, peers)
        self._numbers = count(1)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all tasks of the owner side until cancelled."""
        async with trio.open_nursery() as nursery:
            self.around = Surroundings(
                self.members,
                self.metrics,
                nursery,
                self.wall,
                self.rng,
                self._request_id,
                self._weight,
                self.connect,
            )
            self.sync()
            nursery.start_soon(self._follow_configuration)
            task_status.started()
            while True:
                await trio.sleep(HOUSEKEEPING_INTERVAL_S)
                self._keep_house()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.on_stream(SubQuery)(self.run)
        handlers.on(RunAction)(self.act)
        self.coordinator.register(handlers)

        @handlers.on(Cancel)
        async def cancel(message: Cancel) -> Accepted:
            await self.cancel(message)
            return Accepted(True)

    async def run(self, query: SubQuery, emit: Emit) -> None:
        """Run the targets of a sub-query and emit each shard result as soon as it is there.

        Work that has not ended when this is cancelled is cancelled at the servers.
        """
        self.sync()
        batch = self._batch(query)
        reason = await self._admit(batch)
        if reason:
            batch.refuse(reason)
        else:
            batch.start()
        try:
            await batch.emit_all(emit)
        finally:
            batch.withdraw()

    async def act(self, order: RunAction) -> ActionResult:
        """Run a claimed non-idempotent request once; the result says `not_run` only if true."""
        self.sync()
        check_json(order.body)
        searcher = self.searchers.get(order.searcher)
        if searcher is None:
            return action_result(Outcome(self.absence(order.searcher), "not_run"))
        deadline = self.trio_time(order.deadline_ms)
        trial = None
        if searcher.rows.service.canary:
            trial = LeasedTrial(self.coordinator, self.around.nursery, order.svc, order.body)
            reason = await trial.begin(deadline)
            if reason:
                return action_result(Outcome(reason, "not_run"))
        return await ActionRun(order, searcher, deadline, trial).run()

    async def cancel(self, message: Cancel) -> None:
        """Give up one target of a running sub-query; it emits no result for it."""
        entry = self.open_jobs.get((message.query_id, message.shard, message.searcher))
        if entry is not None:
            batch, job = entry
            batch.cancel(job)

    async def release(self, server: str) -> None:
        """Take no new work for a server; return when its work and connections have ended."""
        async with trio.open_nursery() as nursery:
            for searcher in self.searchers.values():
                if searcher.server == server:
                    nursery.start_soon(searcher.release)

    def holding(self) -> tuple[str, ...]:
        """Return the servers that are not owned any more and whose work has not ended."""
        self.sync()
        self._drop_ended()
        held = {one.server for one in self.searchers.values() if not one.owned}
        return tuple(sorted(held))

    def held(self) -> tuple[SearcherStatus, ...]:
        """Return the state of each searcher that this instance owns or still holds."""
        return tuple(self.searchers[name].status() for name in sorted(self.searchers))

    def blocked(self) -> tuple[BlockedRequest, ...]:
        """Return the blocks and losses of fingerprints for the heartbeat."""
        entries = self.trials.canary.shared(trio.current_time())
        return tuple(BlockedRequest(*entry) for entry in entries)

    def see_blocked(self, entries: tuple[BlockedRequest, ...]) -> None:
        """Take over the blocks and losses that another instance shares."""
        shared = [SharedEntry(entry.fingerprint, entry.seconds_left) for entry in entries]
        self.trials.canary.merge(shared, trio.current_time())

    def absence(self, searcher: str) -> str:
        """Return why there is no searcher of this name here."""
        table = self.configuration.value.table
        if table is None or server_of(searcher) not in table.servers:
            return "no_replica"
        return "no_owner"

    def trio_time(self, deadline_ms: int) -> float:
        """Convert a deadline in Unix milliseconds to trio's clock."""
        left = deadline_ms / 1000 - self.wall()
        return trio.current_time() + left

    def _batch(self, query: SubQuery) -> Batch:
        deadline = self.trio_time(query.deadline_ms)
        return Batch(query, deadline, self.searchers, self.absence, self.open_jobs)

    async def _admit(self, batch: Batch) -> str:
        """Wait for the turn of a canary; return why the sub-query may not run, empty if it may."""
        query = batch.query
        table = self.configuration.value.table
        service = table.services.get(query.svc) if table else None
        if service is None or not service.canary:
            return ""
        trial = Trial(self.trials, query.svc, query.body, second=query.kind == SECOND_TRIAL)
        if not query.canary:
            return trial.blocked()
        reason = await trial.begin(batch.deadline)
        batch.trial = trial
        return reason

    # Configuration and ownership

    def sync(self) -> None:
        """Apply a new table or view; cheap when there is none."""
        seen = (self.configuration.version, self.members.epoch)
        if seen == self.seen or self.around is None:
            return
        self.seen = seen
        table = self.configuration.value.table
        if table is None:
            return
        self._set_limits(table)
        wanted = self._owned(table)
        for name in list(self.searchers):
            if name not in wanted and self.searchers[name].owned:
                self.searchers[name].give_up()
        for name, (address, rows) in wanted.items():
            self._take(name, address, rows)
        self._drop_ended()

    def _set_limits(self, table: Table) -> None:
        """Set the limits of a table, and for a while those of the tables before it as well."""
        now = trio.current_time()
        self.limits.expire(now)
        if table is not self.limits.table:
            self.limits.replace(table, now + SETTLE_S)

    def _owned(self, table: Table) -> dict[str, tuple[str, Rows]]:
        """Return address and rows of each searcher that this instance owns."""
        wanted = {}
        for name in sorted(self._mine(table)):
            row = table.servers[name]
            service = table.services.get(row.service)
            domain = table.domains.get(row.failure_domain)
            if service is None or domain is None:
                continue
            out = "out" in (row.state, service.state, domain.state)
            for searcher, address in zip(row.searchers, row.addresses.split(), strict=True):
                wanted[searcher] = address, Rows(row, service, self.limits.limit(searcher), out)
        return wanted

    def _mine(self, table: Table) -> set[str]:
        """Return the servers of the table that this instance owns under the adopted view."""
        if self.judged_epoch != self.members.epoch:
            self.judged_epoch = self.members.epoch
            self.judged = set()
            self.mine = set()
        new = table.servers.keys() - self.judged
        self.mine.update(name for name in new if self._owns(name))
        self.judged |= new
        return self.mine & table.servers.keys()

    def _owns(self, server: str) -> bool:
        owner = self.members.owner(server)
        return owner is not None and owner.instance == self.members.instance

    def _take(self, name: str, address: str, rows: Rows) -> None:
        searcher = self.searchers.get(name)
        if searcher is not None and searcher.address != address:
            searcher.give_up()
            self.moving = True
            return
        if searcher is None:
            searcher = self.searchers[name] = Searcher(name, address, rows, self.around)
            self.around.nursery.start_soon(searcher.poll)
            event("searcher_taken", searcher=name, address=address, epoch=self.members.epoch)
            return
        searcher.take_up()
        searcher.update(rows)

    def _drop_ended(self) -> None:
        for name, searcher in list(self.searchers.items()):
            if not searcher.owned and searcher.pool.empty:
                searcher.polling.cancel()
                del self.searchers[name]
                self._set_gauges(name, 0, 0)
                event("searcher_given_up", searcher=name, epoch=self.members.epoch)

    async def _follow_configuration(self) -> None:
        version = -1
        while True:
            await self.configuration.wait_after(version)
            version = self.configuration.version
            self.sync()

    def _keep_house(self) -> None:
        settled = trio.current_time() >= self.limits.next_expiry()
        if settled or self.moving:
            self.moving = False
            self.seen = None
        self.sync()
        self._drop_ended()
        self.coordinator.expire()
        for name, searcher in self.searchers.items():
            searcher.settle()
            self._set_gauges(name, searcher.pool.slots.in_use, searcher.allowance())

    def _set_gauges(self, searcher: str, in_use: int, allowance: int) -> None:
        if self.gauges.get(searcher) == (in_use, allowance):
            return
        self.gauges[searcher] = in_use, allowance
        labels = {"searcher": searcher}
        self.metrics.slots.set(labels, in_use)
        self.metrics.slot_limit.set(labels, allowance)

    def _request_id(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    def _weight(self, tenant: str) -> float:
        table = self.configuration.value.table
        row = table.tenants.get(tenant) if table else None
        return float(row.weight) if row else 1.0
