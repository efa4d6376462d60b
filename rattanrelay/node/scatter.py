"""One query: sub-queries to the owners of its shards, and their results."""

from collections.abc import Iterable
from contextlib import aclosing
from random import Random

import trio

from ..decide.gather import Gather
from ..decide.selection import Replica, choose_replica
from ..errors import RelayError
from ..wire import ShardResult, ShardResults, SubQuery, Target
from .plan import Plan
from .ports import DispatchPort, PeersPort
from .query import Query

__all__ = ["Scatter"]


class Scatter:
    """Runs the sub-queries of one query against one snapshot."""

    def __init__(
        self,
        query: Query,
        query_id: str,
        plan: Plan,
        epoch: int,
        *,
        instance: str,
        peers: PeersPort,
        dispatch: DispatchPort,
        deadline_ms: int,
        rng: Random,
    ) -> None:
        self.query = query
        self.query_id = query_id
        self.plan = plan
        self.epoch = epoch
        self.instance = instance
        self.peers = peers
        self.dispatch = dispatch
        self.deadline_ms = deadline_ms
        self.rng = rng
        self.gather = Gather(
            query_id, plan.snapshot, [shard.name for shard in plan.shards], query.limit
        )
        self.asked: dict[str, Replica] = {}
        self.sent_at: dict[str, float] = {}
        self.open = 0
        self.done = trio.Event()

    async def run(self, deadline: float) -> Gather:
        """Return the gathered results once they are complete or at `deadline` (trio time)."""
        with trio.move_on_at(deadline):
            async with trio.open_nursery() as nursery:
                self._launch(nursery)
                if self.open:
                    await self.done.wait()
                nursery.cancel_scope.cancel()
        self._settle()
        return self.gather

    def _launch(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        groups: dict[str, list[Target]] = {}
        owners = self.plan.owners
        for shard in self.plan.shards:
            replica = choose_replica(shard.candidates, now, self.rng)
            if replica is None:
                self.gather.fail(shard.name, shard.reason)
                continue
            replica.outstanding += 1
            self.asked[shard.name] = replica
            self.sent_at[shard.name] = now
            owner = owners[replica.server].instance
            groups.setdefault(owner, []).append(Target(shard.name, replica.name))
        for owner, targets in groups.items():
            self.open += 1
            nursery.start_soon(self._ask, owner, tuple(targets))

    async def _ask(self, owner: str, targets: tuple[Target, ...]) -> None:
        sub = SubQuery(
            self.query_id,
            self.query.service,
            self.plan.snapshot,
            self.query.tenant,
            self.query.body,
            self.deadline_ms,
            self.epoch,
            targets,
        )
        try:
            if owner == self.instance:
                await self.dispatch.run(sub, self._receive)
            else:
                await self._stream(owner, sub)
        except RelayError as error:
            self._fail(targets, error.code)
        self._fail(targets, "bad_answer")
        self.open -= 1
        if not self.open:
            self.done.set()

    async def _stream(self, owner: str, sub: SubQuery) -> None:
        async with self.peers.stream(owner, sub) as items, aclosing(items):
            async for batch in items:
                await self._receive(batch)

    async def _receive(self, batch: ShardResults) -> None:
        now = trio.current_time()
        for result in batch.results:
            self._take(result, now)
        if self.gather.complete:
            self.done.set()

    def _take(self, result: ShardResult, now: float) -> None:
        replica = self.asked.get(result.shard)
        if replica is None or replica.name != result.searcher:
            return
        if result.status != "ok":
            replica.fail(now)
            self.gather.fail(result.shard, result.reason)
            return
        verdict = self.gather.add(result.query_id, result.shard, result.snapshot, result.payload)
        if verdict == "counted":
            replica.observe(now - self.sent_at[result.shard], result.in_flight, now)
        elif verdict in ("snapshot_mismatch", "bad_answer"):
            replica.fail(now)
            self.gather.fail(result.shard, verdict)

    def _fail(self, targets: Iterable[Target], reason: str) -> None:
        for target in targets:
            if target.shard in self.gather.pending and target.shard not in self.gather.reasons:
                self.gather.fail(target.shard, reason)

    def _settle(self) -> None:
        for replica in self.asked.values():
            replica.outstanding -= 1
