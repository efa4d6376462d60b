"""The entry side of an instance: one merged answer for each query of a caller."""

import itertools
import time
from random import Random

import trio

from ..decide.gather import Gather
from ..decide.selection import Replica
from ..decide.snapshot import SnapshotKnowledge
from ..errors import RelayError
from ..metrics import Metrics
from ..table import ServiceRow, Table
from ..wire import Action, ActionResult
from .plan import Plan, build_plan
from .ports import ClaimsPort, Configuration, DispatchPort, Latest, MembersPort, PeersPort
from .query import Answer, Query
from .scatter import Scatter

__all__ = ["Entry"]

#: Longest time a sub-request may run, in seconds; takeovers wait for it (design 2.1).
MAX_SUBREQUEST_S = 2.0


class ServiceState:
    """What this instance has observed of one service."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.knowledge = SnapshotKnowledge()
        self.plan_key: tuple = ()
        self.plan: Plan | None = None


class Entry:
    """Scatters queries over the owners of their shards; state is lost on exit."""

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
        self.peers = peers
        self.dispatch = dispatch
        self.claims = claims
        self.metrics = metrics
        self.instance = instance
        self.wall = wall
        self.rng = rng or Random()
        self.services: dict[str, ServiceState] = {}
        self._numbers = itertools.count(1)
        self._tag = f"{self.rng.getrandbits(32):08x}"

    def not_ready_reason(self) -> str:
        """Say why this instance cannot serve queries yet; empty when it can."""
        if self.configuration.value.table is None:
            return "no table yet"
        if not self.members.epoch:
            return "not a member of a view yet"
        return ""

    def service_row(self, name: str) -> ServiceRow:
        """Return the row of a service; raises `not_ready` or `unknown_service`."""
        row = self._table().services.get(name)
        if row is None:
            text = f"service {name!r} is not in the table"
            raise RelayError("unknown_service", text, step="check service")
        return row

    def check_tenant(self, name: str) -> None:
        """Raise `unknown_tenant` unless the tenant is in the table."""
        if name not in self._table().tenants:
            text = f"tenant {name!r} is not in the table"
            raise RelayError("unknown_tenant", text, step="check tenant")

    async def query(self, query: Query) -> Answer:
        """Run a query; raises `RelayError` when no shard answered."""
        row = self.service_row(query.service)
        self.check_tenant(query.tenant)
        now = trio.current_time()
        if query.deadline <= now:
            raise RelayError("deadline_passed", "the deadline has passed", step="start query")
        deadline = query.deadline
        if row.policy == "tail":
            deadline = min(deadline, now + row.soft_deadline_ms / 1000)
        state = self.services.setdefault(query.service, ServiceState())
        plan = self._plan(query.service, state, now)
        left = min(deadline - now, MAX_SUBREQUEST_S)
        scatter = Scatter(
            query,
            f"{query.request_id}/{self._tag}{next(self._numbers)}",
            plan,
            self.members.epoch,
            instance=self.instance,
            peers=self.peers,
            dispatch=self.dispatch,
            deadline_ms=int((self.wall() + left) * 1000),
            rng=self.rng,
        )
        gather = await scatter.run(deadline)
        return self._answer(query, gather)

    async def act(self, action: Action) -> ActionResult:
        """Run a non-idempotent request at most once through the coordinator of its key."""
        self.service_row(action.svc)
        self.check_tenant(action.tenant)
        return await self.claims.submit(action)

    def _table(self) -> Table:
        table = self.configuration.value.table
        if table is None:
            raise RelayError("not_ready", "no table yet", step="read table")
        return table

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
        state.plan_key = key
        state.plan = build_plan(
            self._table(), self.members, snapshot, state.knowledge, state.replicas
        )
        return state.plan

    def _answer(self, query: Query, gather: Gather) -> Answer:
        coverage = gather.coverage()
        if not coverage.answered and coverage.shards:
            reason = coverage.missing[0].reason
            text = f"none of {coverage.shards} shards answered"
            raise RelayError(reason, text, step="gather", ran="unknown")
        return Answer(query.request_id, gather.snapshot, coverage, gather.hits(), gather.count)
