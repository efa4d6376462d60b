"""The entry side of an instance: merges one answer for each query of a caller."""

import itertools
import math
import time
from collections import Counter
from random import Random

import trio

from ..decide.admission import Ticket, tenant_cap
from ..decide.proven import request_fingerprint
from ..errors import CODES, RelayError
from ..metrics import Metrics
from ..table import ServiceRow, Table, TenantRow
from ..wire import Action, ActionResult
from .attempts import NEVER
from .plan import Plan, build_plan
from .ports import ClaimsPort, Configuration, DispatchPort, Latest, MembersPort, PeersPort
from .query import Answer, Query
from .scatter import Scatter, ScatterPorts
from .service_state import ServiceState

__all__ = ["Entry"]

#: Hedge delays that must be left until the deadline for a query to restart.
RESTART_DELAYS = 2.0
#: Hedge delay that is assumed until enough latencies are known.
DEFAULT_HEDGE_DELAY_S = 0.02


class Entry:
    """Runs queries by scatter-gather over the owners of their shards.

    Its state is kept in memory only.
    """

    def __init__(
        self,
        configuration: Latest[Configuration],
        members: MembersPort,
        peers: PeersPort,
        dispatch: DispatchPort,
        claims: ClaimsPort,
        metrics: Metrics,
        *,
        instance: str,
        wall=time.time,
        rng: Random | None = None,
    ) -> None:
        self.configuration = configuration
        self.members = members
        self.claims = claims
        self.metrics = metrics
        self.instance = instance
        self.wall = wall
        self.rng = rng or Random()
        self.ports = ScatterPorts(instance, peers, dispatch, self.rng)
        self.services: dict[str, ServiceState] = {}
        self._query_numbers = itertools.count(1)
        self._id_prefix = f"{self.rng.getrandbits(32):08x}"

    def not_ready_reason(self) -> str:
        """Return why this instance should get no new connections, empty if it is ready."""
        table = self.configuration.value.table
        if table is None:
            return "no table yet"
        if not self.members.epoch:
            return "not a member of a view yet"
        return "out of service" if self.out_of_service() else ""

    def out_of_service(self) -> bool:
        """Return whether operators took this instance or its failure domain out of service."""
        table = self.configuration.value.table
        row = table.instances.get(self.instance) if table else None
        if row is None:
            return False
        domain = table.domains.get(row.failure_domain)
        return row.state == "out" or (domain is not None and domain.state == "out")

    def service_row(self, name: str) -> ServiceRow:
        """Return the row of a service; raises `not_ready`, `unknown_service` or `no_replica`."""
        row = self._table().services.get(name)
        if row is None:
            text = f"service {name!r} is not in the table"
            raise RelayError("unknown_service", text, step="check service")
        if row.state == "out":
            raise RelayError("no_replica", f"service {name!r} is out", step="check service")
        return row

    def tenant_row(self, name: str) -> TenantRow:
        """Return the row of a tenant; raises `unknown_tenant`."""
        row = self._table().tenants.get(name)
        if row is None:
            text = f"tenant {name!r} is not in the table"
            raise RelayError("unknown_tenant", text, step="check tenant")
        return row

    async def query(self, query: Query) -> Answer:
        """Run a query; raises `RelayError` if it is refused or no shard answers."""
        row = self.service_row(query.service)
        tenant = self.tenant_row(query.tenant)
        state = self._state(query.service)
        started = trio.current_time()
        ticket = self._request_admission(state, tenant, query.deadline, started)
        try:
            await self._wait_for_admission(state, ticket)
            answer = await self._run(query, row, state, started)
        finally:
            self._release(state, ticket)
        self._count_answer(query, answer, trio.current_time() - started)
        return answer

    async def run_action(self, action: Action) -> ActionResult:
        """Run a non-idempotent request at most once, at the coordinator of its key."""
        self.service_row(action.svc)
        tenant = self.tenant_row(action.tenant)
        state = self._state(action.svc)
        now = trio.current_time()
        deadline = now + action.deadline_ms / 1000 - self.wall()
        ticket = self._request_admission(state, tenant, deadline, now)
        try:
            await self._wait_for_admission(state, ticket)
            return await self.claims.submit(action)
        finally:
            self._release(state, ticket)

    # Admission.

    def _request_admission(
        self, state: ServiceState, tenant: TenantRow, deadline: float, now: float
    ) -> Ticket:
        if deadline <= now:
            raise RelayError("deadline_passed", "the deadline has passed", step="admission")
        cap = tenant_cap(tenant.max_in_flight, len(self.members.members))
        return state.admission.arrive(tenant.name, max(1, tenant.weight), cap, now, deadline)

    async def _wait_for_admission(self, state: ServiceState, ticket: Ticket) -> None:
        """Wait until the ticket is admitted; raises `overloaded` if that takes too long."""
        if ticket.state == "waiting":
            admitted = trio.Event()
            ticket.wake = admitted.set
            with trio.move_on_at(ticket.wait_until):
                await admitted.wait()
        if ticket.state != "admitted":
            self._record_refusal(state, ticket)
            admission = state.admission
            text = (
                f"the share of tenant {ticket.tenant!r} is used up: {admission.in_flight} queries "
                f"in flight, limit {admission.limit.value:.1f}"
            )
            raise RelayError("overloaded", text, step="admission")

    def _record_refusal(self, state: ServiceState, ticket: Ticket) -> None:
        """Record a refused query as an overload signal for each of its shards.

        Admission control keeps the owners' queues short, so they alone would not show an
        overload. A tenant at its cap is not evidence of an overloaded service.
        """
        tenant = state.admission.tenants[ticket.tenant]
        if tenant.in_flight < tenant.cap:
            shards = len(state.plan.shards) if state.plan else 1
            state.overload.record(shards, shards, 0.0, trio.current_time())

    def _release(self, state: ServiceState, ticket: Ticket) -> None:
        if ticket.state == "admitted":
            state.admission.leave(ticket, trio.current_time())
        else:
            state.admission.give_up(ticket)

    # One query.

    async def _run(
        self, query: Query, row: ServiceRow, state: ServiceState, started: float
    ) -> Answer:
        soft_deadline = started + row.soft_deadline_ms / 1000 if row.policy == "tail" else NEVER
        fingerprint = request_fingerprint(query.service, query.body)
        proven = not row.canary or state.proven.is_proven(fingerprint, started)
        first = await self._scatter(query, row, state, soft_deadline, "" if proven else fingerprint)
        best = first
        if first.restart:
            proven = proven or first.gather.answered > 0
            canary = "" if proven else fingerprint
            try:
                second = await self._scatter(query, row, state, soft_deadline, canary, first)
            except RelayError as error:
                if first.may_have_run:
                    error.ran = "unknown"
                raise
            best = max(second, first, key=lambda scatter: scatter.gather.answered)
        if row.canary and best.gather.answered:
            state.proven.record_success(fingerprint, started)
        return self._answer(query, best)

    async def _scatter(
        self,
        query: Query,
        row: ServiceRow,
        state: ServiceState,
        soft_deadline: float,
        canary: str,
        earlier: Scatter | None = None,
    ) -> Scatter:
        """Run the query against one snapshot.

        From the trio time `soft_deadline` on, the `min_answered` share of the service's row is
        enough. `earlier` is the scatter that was abandoned to restart with another snapshot.
        """
        now = trio.current_time()
        plan = self._plan(query.service, state, now)

        def may_restart(at: float) -> bool:
            left = query.deadline - at
            return earlier is None and self._may_restart(query.service, state, plan, left)

        scatter = Scatter(
            query,
            f"{query.request_id}/{self._id_prefix}.{next(self._query_numbers)}",
            plan,
            self.members.epoch,
            row=row,
            state=state,
            ports=self.ports,
            unix_offset=self.wall() - now,
            may_restart=may_restart,
            may_have_run=earlier is not None and earlier.may_have_run,
            replan=lambda: self._current_plan(query.service, state),
        )
        try:
            min_answered = max(1, math.ceil(row.min_answered * len(plan.shards)))
            await scatter.run(
                query.deadline, canary, soft_deadline=soft_deadline, min_answered=min_answered
            )
        except RelayError:
            state.proven.forget(request_fingerprint(query.service, query.body))
            raise
        finally:
            self._record_signals(query, row, state, scatter, now)
        return scatter

    def _may_restart(self, service: str, state: ServiceState, plan: Plan, time_left: float) -> bool:
        """Return whether another snapshot is held by more shards and there is time to query it."""
        delay = state.latencies.delay() or DEFAULT_HEDGE_DELAY_S
        if time_left < RESTART_DELAYS * delay:
            return False
        catalog = self.configuration.value.catalogs.get(service)
        snapshot = state.knowledge.choose(catalog) if catalog else None
        return snapshot is not None and snapshot.name != plan.snapshot

    def _plan(self, service: str, state: ServiceState, now: float) -> Plan:
        state.knowledge.expire(now)
        key = (self.configuration.version, self.members.epoch, state.knowledge.version)
        if state.plan is not None and state.plan_key == key:
            return state.plan
        catalog = self.configuration.value.catalogs.get(service)
        snapshot = state.knowledge.choose(catalog) if catalog else None
        if snapshot is None:
            text = f"service {service!r} has no catalog yet"
            raise RelayError("not_ready", text, step="choose snapshot")
        plan = build_plan(self._table(), self.members, snapshot, state.knowledge, state.replicas)
        state.plan_key, state.plan = key, plan
        state.planned_at = now
        return plan

    def _current_plan(self, service: str, state: ServiceState) -> Plan | None:
        try:
            return self._plan(service, state, trio.current_time())
        except RelayError:
            return None

    def _answer(self, query: Query, scatter: Scatter) -> Answer:
        gather = scatter.gather
        coverage = gather.coverage()
        if not coverage.answered and coverage.shards:
            reasons = Counter(missing.reason for missing in coverage.missing)
            reason = reasons.most_common(1)[0][0]
            code = reason if reason in CODES else "no_replica"
            text = f"none of {coverage.shards} shards answered: {dict(reasons)}"
            ran = "unknown" if scatter.may_have_run else "not_run"
            raise RelayError(code, text, step="gather", ran=ran)
        return Answer(query.request_id, gather.snapshot, coverage, gather.hits(), gather.count)

    # Observations.

    def _record_signals(
        self,
        query: Query,
        row: ServiceRow,
        state: ServiceState,
        scatter: Scatter,
        started: float,
    ) -> None:
        """Record the load signals of a query for overload detection, admission and metrics."""
        now = trio.current_time()
        total = scatter.sent.total()
        state.overload.record(total, scatter.congested, scatter.queue_us / 1e6, now)
        signals = scatter.congested + scatter.late
        state.admission.limit.finished(total, signals, now, started)
        for kind, count in scatter.sent.items():
            if count:
                self.metrics.subrequests.add({"service": query.service, "kind": kind}, count)

    def _count_answer(self, query: Query, answer: Answer, elapsed: float) -> None:
        service = {"service": query.service}
        coverage = answer.coverage
        labels = {**service, "tenant": query.tenant, "class": query.request_class}
        self.metrics.latency.observe(labels, elapsed)
        self.metrics.coverage.observe(service, coverage.answered / max(1, coverage.shards))
        self.metrics.shards.add({**service, "result": "answered"}, coverage.answered)
        for reason, count in Counter(missing.reason for missing in coverage.missing).items():
            self.metrics.shards.add({**service, "result": reason}, count)

    def _state(self, service: str) -> ServiceState:
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceState()
        return state

    def _table(self) -> Table:
        table = self.configuration.value.table
        if table is None:
            raise RelayError("not_ready", "no table yet", step="read table")
        return table
