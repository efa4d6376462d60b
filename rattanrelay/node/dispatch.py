"""The owner side: sends work to the backend servers that this instance owns."""

import random
import time
from collections.abc import Awaitable, Callable
from itertools import count

import msgspec
import trio

from ..decide.limits import Limit, effective_limits
from ..errors import CODES, RelayError
from ..http import HttpConnection
from ..metrics import Metrics
from ..table import Table, server_of
from ..wire import (
    Accepted,
    ActionResult,
    BlockedRequest,
    Cancel,
    Handlers,
    RunAction,
    ShardResult,
    ShardResults,
    SubQuery,
    Target,
)
from .pool import Connect
from .ports import Configuration, Latest, MembersPort
from .server import Rows, Searcher, SearcherStatus, Surroundings
from .subrequest import Outcome, SubRequest

__all__ = ["Dispatcher"]

Emit = Callable[[ShardResults], Awaitable[None]]

HOUSEKEEPING_INTERVAL_S = 0.25

#: Error codes for reasons of sub-requests that are not error codes themselves.
ACTION_CODES = {
    "shedding": "overloaded",
    "draining": "no_replica",
    "out": "no_replica",
    "snapshot_gone": "no_replica",
    "cancelled": "deadline",
}


class Dispatcher:
    """Runs sub-queries and actions on searchers within their limits; implements `DispatchPort`.

    `wall` returns Unix seconds; `connect` opens connections to searchers.
    """

    def __init__(
        self,
        configuration: Latest[Configuration],
        members: MembersPort,
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
        self.limits: dict[str, Limit] = {}
        self.open: dict[tuple[str, str, str], tuple[_Batch, SubRequest]] = {}
        self.around: Surroundings | None = None
        self.seen: tuple[int, int] | None = None
        self._prefix = f"{members.instance}-{rng.getrandbits(64):016x}"
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

        @handlers.on(Cancel)
        async def cancel(order: Cancel) -> Accepted:
            return Accepted(self.cancel(order))

    async def run(self, query: SubQuery, emit: Emit) -> None:
        """Run the targets of a sub-query and emit each shard result as soon as it is there.

        Work that has not ended when this is cancelled is cancelled at the servers.
        """
        self.sync()
        batch = _Batch(self, query)
        try:
            batch.start()
            await batch.emit_all(emit)
        finally:
            batch.withdraw()

    async def act(self, order: RunAction) -> ActionResult:
        """Run a claimed non-idempotent request once; the result says `not_run` only if true."""
        self.sync()
        _check_json(order.body)
        searcher = self.searchers.get(order.searcher)
        if searcher is None:
            return _action_result(Outcome(self.absence(order.searcher), "not_run"))
        return await _Act(order, searcher, self.trio_time(order.deadline_ms)).run()

    def cancel(self, order: Cancel) -> bool:
        """Give up one sub-request; False if it is not in progress."""
        entry = self.open.get((order.query_id, order.shard, order.searcher))
        if entry is None:
            return False
        batch, job = entry
        batch.cancel(job)
        return True

    async def release(self, server: str) -> None:
        """Take no new work for a server; return when its work and connections have ended."""
        async with trio.open_nursery() as nursery:
            for searcher in self.searchers.values():
                if searcher.server == server:
                    nursery.start_soon(searcher.release)

    def holding(self) -> tuple[str, ...]:
        """Return the servers that are not owned any more and whose work has not ended."""
        self.sync()
        held = {one.server for one in self.searchers.values() if not one.owned}
        return tuple(sorted(held))

    def held(self) -> tuple[SearcherStatus, ...]:
        """Return the state of each searcher that this instance owns or still holds."""
        return tuple(self.searchers[name].status() for name in sorted(self.searchers))

    def blocked(self) -> tuple[BlockedRequest, ...]:
        """Return the blocked fingerprints for the heartbeat."""
        return ()

    def see_blocked(self, entries: tuple[BlockedRequest, ...]) -> None:
        """Take over the blocked fingerprints of another instance."""

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
        self.limits = effective_limits(table)
        wanted = self._owned(table)
        for name in list(self.searchers):
            if name not in wanted:
                self.searchers[name].give_up()
        for name, (address, rows) in wanted.items():
            self._take(name, address, rows)
        self._drop_ended()

    def _owned(self, table: Table) -> dict[str, tuple[str, Rows]]:
        """Return address and rows of each searcher that this instance owns."""
        wanted = {}
        for row in table.servers.values():
            owner = self.members.owner(row.name)
            if owner is None or owner.instance != self.members.instance:
                continue
            service = table.services[row.service]
            domain = table.domains[row.failure_domain]
            out = "out" in (row.state, service.state, domain.state)
            for name, address in zip(row.searchers, row.addresses.split(), strict=True):
                wanted[name] = address, Rows(row, service, self.limits[name], out)
        return wanted

    def _take(self, name: str, address: str, rows: Rows) -> None:
        searcher = self.searchers.get(name)
        if searcher is not None and searcher.address != address:
            searcher.give_up()
            self.seen = None
            return
        if searcher is None:
            searcher = self.searchers[name] = Searcher(name, address, rows, self.around)
            self.around.nursery.start_soon(searcher.poll)
            return
        searcher.take_up()
        searcher.update(rows)

    def _drop_ended(self) -> None:
        for name, searcher in list(self.searchers.items()):
            if not searcher.owned and searcher.pool.empty:
                searcher.polling.cancel()
                del self.searchers[name]

    async def _follow_configuration(self) -> None:
        version = -1
        while True:
            await self.configuration.wait_after(version)
            version = self.configuration.version
            self.sync()

    def _keep_house(self) -> None:
        self.sync()
        self._drop_ended()
        for name, searcher in self.searchers.items():
            searcher.settle()
            labels = {"searcher": name}
            self.metrics.slots.set(labels, searcher.pool.slots.in_use)
            self.metrics.slot_limit.set(labels, searcher.allowance())

    def _request_id(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    def _weight(self, tenant: str) -> float:
        table = self.configuration.value.table
        row = table.tenants.get(tenant) if table else None
        return float(row.weight) if row else 1.0


class _Batch:
    """The targets of one sub-query and the results that are ready to be emitted."""

    def __init__(self, dispatcher: Dispatcher, query: SubQuery) -> None:
        _check_json(query.body)
        self.dispatcher = dispatcher
        self.query = query
        self.deadline = dispatcher.trio_time(query.deadline_ms)
        self.labels = {"service": query.svc, "kind": query.kind}
        self.jobs: dict[SubRequest, Target] = {}
        self.ready: list[ShardResult] = []
        self.wake = trio.Event()

    def start(self) -> None:
        """Submit all targets."""
        for target in self.query.targets:
            searcher = self.dispatcher.searchers.get(target.searcher)
            if searcher is None:
                reason = self.dispatcher.absence(target.searcher)
                self._add(target, Outcome(reason, "not_run"))
                continue
            self._submit(target, searcher)

    async def emit_all(self, emit: Emit) -> None:
        """Emit results until each target has one, at the deadline the failures that remain."""
        while self.jobs or self.ready:
            if not self.ready:
                with trio.move_on_at(self.deadline):
                    await self.wake.wait()
                if not self.ready:
                    self._expire()
            self.wake = trio.Event()
            results, self.ready = tuple(self.ready), []
            await emit(ShardResults(results))

    def cancel(self, job: SubRequest) -> None:
        """Give up one sub-request."""
        searcher = self.dispatcher.searchers.get(self.jobs[job].searcher)
        job.finish(Outcome("cancelled", "unknown"))
        if searcher is not None:
            searcher.pool.withdraw(job)

    def withdraw(self) -> None:
        """Give up all that has not ended."""
        for job in list(self.jobs):
            self.cancel(job)

    def _submit(self, target: Target, searcher: Searcher) -> None:
        query = self.query
        job = SubRequest(
            "search",
            target.shard,
            query.snapshot,
            query.body,
            query.tenant,
            self.deadline,
            query.deadline_ms,
            self.labels,
            self._finished,
        )
        self.jobs[job] = target
        self.dispatcher.open[query.query_id, target.shard, target.searcher] = (self, job)
        searcher.pool.submit(job)

    def _finished(self, job: SubRequest, outcome: Outcome) -> None:
        target = self.jobs.pop(job)
        key = (self.query.query_id, target.shard, target.searcher)
        if self.dispatcher.open.get(key, (None, None))[1] is job:
            del self.dispatcher.open[key]
        self._add(target, outcome)

    def _add(self, target: Target, outcome: Outcome) -> None:
        self.ready.append(_shard_result(self.query, target, outcome))
        self.wake.set()

    def _expire(self) -> None:
        """Fail what has no answer at the deadline; the server drops its part by itself."""
        for job, target in list(self.jobs.items()):
            searcher = self.dispatcher.searchers.get(target.searcher)
            if searcher is not None:
                searcher.pool.forget(job)
            job.finish(Outcome("deadline", "unknown"))


class _Act:
    """One run of a non-idempotent request."""

    def __init__(self, order: RunAction, searcher: Searcher, deadline: float) -> None:
        self.searcher = searcher
        self.deadline = deadline
        self.ended = trio.Event()
        self.outcome: Outcome | None = None
        self.job = SubRequest(
            "action",
            order.shard,
            "",
            order.body,
            order.tenant,
            deadline,
            order.deadline_ms,
            {"service": order.svc, "kind": "action"},
            self._finished,
        )

    async def run(self) -> ActionResult:
        """Wait for the outcome; work that was sent is waited for until its slot is free."""
        pool = self.searcher.pool
        pool.submit(self.job)
        try:
            with trio.move_on_at(self.deadline):
                await self.ended.wait()
        finally:
            if pool.forget(self.job):
                self.job.finish(Outcome("deadline", "not_run"))
        await self.ended.wait()
        return _action_result(self.outcome)

    def _finished(self, job: SubRequest, outcome: Outcome) -> None:
        self.outcome = outcome
        self.ended.set()


def _check_json(body: bytes) -> None:
    """Raise `bad_body` unless the body is one JSON value, since it becomes part of another."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RelayError("bad_body", str(error), step="check body") from error


def _shard_result(query: SubQuery, target: Target, outcome: Outcome) -> ShardResult:
    return ShardResult(
        query.query_id,
        target.shard,
        target.searcher,
        "failed" if outcome.reason else "ok",
        outcome.reason,
        "" if outcome.reason else query.snapshot,
        outcome.payload,
        outcome.held,
        int(outcome.service * 1e6),
        int(outcome.queued * 1e6),
        outcome.in_flight,
        outcome.limit,
    )


def _action_result(outcome: Outcome) -> ActionResult:
    if not outcome.reason:
        return ActionResult("done", payload=outcome.payload)
    if outcome.ran == "not_run":
        code = ACTION_CODES.get(outcome.reason, outcome.reason)
        return ActionResult("not_run", code if code in CODES else "internal", outcome.reason)
    return ActionResult("unknown", "outcome_unknown", outcome.reason)
