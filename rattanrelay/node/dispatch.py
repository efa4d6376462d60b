"""Dispatch of sub-requests to the backend servers that this instance owns."""

import random
import time
from collections.abc import Callable
from itertools import count

import trio

from ..decide.canary import SharedEntry
from ..decide.lease import CLOCK_MARGIN_S, MAX_SUBREQUEST_S
from ..decide.transition import TransitionLimits
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
from .server import Rows, Searcher, SearcherContext, SearcherStatus
from .subrequest import Outcome
from .trials import SECOND_TRIAL, Trial, Trials

__all__ = ["Dispatcher"]

HOUSEKEEPING_INTERVAL_S = 0.25
#: A new table is in force on every instance within this time.
CONFIGURATION_PROPAGATION_S = 7.0
#: No work that was sent under an earlier table is in flight after this time.
SETTLE_S = CONFIGURATION_PROPAGATION_S + MAX_SUBREQUEST_S + CLOCK_MARGIN_S


class Dispatcher:
    """Runs sub-queries and actions on searchers within their limits; implements `DispatchPort`.

    `wall` returns Unix seconds; `connect` opens a connection to a searcher.
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
        self.limits = TransitionLimits()
        #: Servers whose owner in the view of `ownership_epoch` was looked up, and those owned here.
        self.ownership_known: set[str] = set()
        self.owned_servers: set[str] = set()
        self.ownership_epoch = 0
        #: True while work at the old address of a searcher that has a new one has to end.
        self.address_changed = False
        self.open_jobs: OpenJobs = {}
        self.context: SearcherContext | None = None
        self.applied_versions: tuple[int, int] | None = None
        #: Slots in use and allowance of each searcher, as last set in the metrics.
        self.gauges: dict[str, tuple[int, int]] = {}
        self._prefix = f"{members.instance}-{rng.getrandbits(64):016x}"
        self.trials = Trials(self._prefix)
        self.coordinator = Coordinator(self.trials, members, peers)
        self._numbers = count(1)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of the dispatcher until cancelled."""
        async with trio.open_nursery() as nursery:
            self.context = SearcherContext(
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
                self._run_housekeeping()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.on_stream(SubQuery)(self.run)
        handlers.on(RunAction)(self.run_action)
        self.coordinator.register(handlers)

        @handlers.on(Cancel)
        async def cancel(message: Cancel) -> Accepted:
            await self.cancel(message)
            return Accepted(True)

    async def run(self, query: SubQuery, emit: Emit) -> None:
        """Run the targets of a sub-query and emit each shard result as it arrives.

        When this is cancelled, the work in flight is cancelled at the servers.
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
            batch.cancel_all()

    async def run_action(self, message: RunAction) -> ActionResult:
        """Run a claimed non-idempotent request once.

        The outcome is `not_run` only if it is certain that nothing ran.
        """
        self.sync()
        check_json(message.body)
        searcher = self.searchers.get(message.searcher)
        if searcher is None:
            return action_result(Outcome(self.absence_reason(message.searcher), "not_run"))
        deadline = self.trio_time(message.deadline_ms)
        trial = None
        if searcher.rows.service.canary:
            trial = LeasedTrial(self.coordinator, self.context.nursery, message.svc, message.body)
            reason = await trial.begin(deadline)
            if reason:
                return action_result(Outcome(reason, "not_run"))
        return await ActionRun(message, searcher, deadline, trial).run()

    async def cancel(self, message: Cancel) -> None:
        """Cancel one target of a running sub-query, which then emits no result for it."""
        entry = self.open_jobs.get((message.query_id, message.shard, message.searcher))
        if entry is not None:
            batch, job = entry
            batch.cancel(job)

    async def release(self, server: str) -> None:
        """Accept no new work for a server; return when its work and connections have ended."""
        async with trio.open_nursery() as nursery:
            for searcher in self.searchers.values():
                if searcher.server == server:
                    nursery.start_soon(searcher.release)

    def unreleased_servers(self) -> tuple[str, ...]:
        """Return the servers that this instance no longer owns but still has work at."""
        self.sync()
        self._remove_ended()
        servers = {one.server for one in self.searchers.values() if not one.owned}
        return tuple(sorted(servers))

    def searcher_statuses(self) -> tuple[SearcherStatus, ...]:
        """Return the status of each searcher that this instance owns or still has work at."""
        return tuple(self.searchers[name].status() for name in sorted(self.searchers))

    def blocked(self) -> tuple[BlockedRequest, ...]:
        """Return the blocked and suspect fingerprints to send in heartbeats."""
        entries = self.trials.canary.entries_to_share(trio.current_time())
        return tuple(BlockedRequest(*entry) for entry in entries)

    def merge_blocked(self, entries: tuple[BlockedRequest, ...]) -> None:
        """Merge the blocked and suspect fingerprints that another instance has sent."""
        shared = [SharedEntry(entry.fingerprint, entry.seconds_left) for entry in entries]
        self.trials.canary.merge(shared, trio.current_time())

    def absence_reason(self, searcher: str) -> str:
        """Return the reason why this instance does not have the searcher."""
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
        return Batch(query, deadline, self.searchers, self.absence_reason, self.open_jobs)

    async def _admit(self, batch: Batch) -> str:
        """Wait until a canary may run; return the reason to refuse the sub-query, empty if none."""
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
        """Apply a new table or view; do nothing if neither has changed."""
        versions = (self.configuration.version, self.members.epoch)
        if versions == self.applied_versions or self.context is None:
            return
        self.applied_versions = versions
        table = self.configuration.value.table
        if table is None:
            return
        self._set_limits(table)
        owned = self._owned_searchers(table)
        for name in list(self.searchers):
            if name not in owned and self.searchers[name].owned:
                self.searchers[name].lose_ownership()
        for name, (address, rows) in owned.items():
            self._apply_rows(name, address, rows)
        self._remove_ended()

    def _set_limits(self, table: Table) -> None:
        """Apply the limits of a table, together with those of earlier tables until they expire."""
        now = trio.current_time()
        self.limits.expire(now)
        if table is not self.limits.table:
            self.limits.replace(table, now + SETTLE_S)

    def _owned_searchers(self, table: Table) -> dict[str, tuple[str, Rows]]:
        """Return the address and the rows of each searcher that this instance owns."""
        owned = {}
        for name in sorted(self._owned_servers(table)):
            row = table.servers[name]
            service = table.services.get(row.service)
            domain = table.domains.get(row.failure_domain)
            if service is None or domain is None:
                continue
            out = "out" in (row.state, service.state, domain.state)
            for searcher, address in zip(row.searchers, row.addresses.split(), strict=True):
                owned[searcher] = address, Rows(row, service, self.limits.limit(searcher), out)
        return owned

    def _owned_servers(self, table: Table) -> set[str]:
        """Return the servers of the table that this instance owns in the adopted view."""
        if self.ownership_epoch != self.members.epoch:
            self.ownership_epoch = self.members.epoch
            self.ownership_known = set()
            self.owned_servers = set()
        new = table.servers.keys() - self.ownership_known
        self.owned_servers.update(name for name in new if self._owns(name))
        self.ownership_known |= new
        return self.owned_servers & table.servers.keys()

    def _owns(self, server: str) -> bool:
        owner = self.members.owner(server)
        return owner is not None and owner.instance == self.members.instance

    def _apply_rows(self, name: str, address: str, rows: Rows) -> None:
        searcher = self.searchers.get(name)
        if searcher is not None and searcher.address != address:
            searcher.lose_ownership()
            self.address_changed = True
            return
        if searcher is None:
            searcher = self.searchers[name] = Searcher(name, address, rows, self.context)
            self.context.nursery.start_soon(searcher.poll)
            event("searcher.owned", searcher=name, address=address, epoch=self.members.epoch)
            return
        searcher.regain_ownership()
        searcher.update(rows)

    def _remove_ended(self) -> None:
        for name, searcher in list(self.searchers.items()):
            if not searcher.owned and searcher.pool.empty:
                searcher.polling.cancel()
                del self.searchers[name]
                self._set_gauges(name, 0, 0)
                event("searcher.released", searcher=name, epoch=self.members.epoch)

    async def _follow_configuration(self) -> None:
        version = -1
        while True:
            await self.configuration.wait_after(version)
            version = self.configuration.version
            self.sync()

    def _run_housekeeping(self) -> None:
        settled = trio.current_time() >= self.limits.next_expiry()
        if settled or self.address_changed:
            self.address_changed = False
            self.applied_versions = None
        self.sync()
        self._remove_ended()
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
