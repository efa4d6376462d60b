"""One query: sub-queries to the owners of its shards, hedges, retries, and their results.

The first wave sends one message to each owner. Further waves (hedges, retries) have messages of
their own. A message is cancelled once none of its targets is wanted any more. The work for each
shard is kept to a few object accesses; there is no task, timer or log line for a shard.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

import trio

from ..decide.budget import FULL_PRICE, retry_price
from ..decide.gather import Gather
from ..decide.lease import MAX_SUBREQUEST_S
from ..decide.selection import Replica, choose_replica
from ..errors import RelayError
from ..table import ServiceRow
from ..wire import Cancel, ShardResult, ShardResults, SubQuery, Target
from .attempts import NEVER, Attempt, Message, ShardState
from .canary import CanaryRun
from .hedges import Hedges
from .plan import Plan
from .ports import DispatchPort, PeersPort
from .query import Query
from .retries import Retries
from .service_state import ServiceState

__all__ = ["CONGESTION", "Scatter", "ScatterPorts"]

#: Reasons that signal congestion of a service.
CONGESTION = frozenset({"queue_full", "shedding"})
#: Reasons that say nothing about the searcher itself, or no more than its load does. A penalty for
#: a full queue would move all work to the other replicas and fill their queues in turn.
NO_PENALTY = CONGESTION | {"request_blocked", "request_suspect", "snapshot_gone", "too_late"}
#: Errors of a whole message that hold for each replica of its owner.
OWNER_FAILURES = frozenset({"connect_failed", "no_quorum", "peer_unavailable", "stopping"})

#: Time after the deadline of a sub-request in which its owner's answer may still arrive.
EXPIRE_MARGIN_S = 0.05
#: A sub-request is late if it waited in its owner's queue for this many warm latencies. Waiting
#: for the deadline to pass would notice congestion only when shards are already missing.
LATE_QUEUE = 2.0


class ScatterPorts:
    """What a scatter needs of its instance."""

    def __init__(
        self, instance: str, peers: PeersPort, dispatch: DispatchPort, rng: Random
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.dispatch = dispatch
        self.rng = rng


class Scatter:
    """Runs the sub-queries of one query against one snapshot."""

    def __init__(
        self,
        query: Query,
        query_id: str,
        plan: Plan,
        epoch: int,
        *,
        row: ServiceRow,
        state: ServiceState,
        ports: ScatterPorts,
        unix_offset: float,
        may_restart: Callable[[float], bool] = lambda now: False,
        may_have_run: bool = False,
        replan: Callable[[], Plan | None] = lambda: None,
    ) -> None:
        self.query = query
        self.query_id = query_id
        self.plan = plan
        self.epoch = epoch
        self.row = row
        self.state = state
        self.ports = ports
        #: Unix time minus trio time, in seconds.
        self.unix_offset = unix_offset
        self.deadline = 0.0
        self.soft = NEVER
        self.enough = 0
        #: Messages whose sub-requests must end before the query does.
        self.limited: list[Message] = []
        self.may_restart = may_restart
        #: Returns the plan for the present table and view, None if there is none.
        self.replan = replan
        self.shards = {planned.name: ShardState(planned) for planned in plan.shards}
        self.gather = Gather(query_id, plan.snapshot, self.shards, query.limit)
        self.open = 0
        self.hedges = Hedges(self)
        self.retries = Retries(self)
        self.sent: Counter[str] = Counter()
        self.congested = 0
        self.late = 0
        self.queue_us = 0
        self.late_us = row.warm_latency_ms * 1000 * LATE_QUEUE
        #: True once a server may have run a part of the query.
        self.may_have_run = may_have_run
        self.restart = False
        self.error: RelayError | None = None
        self.canary_failures: list[str] | None = None
        self.wake = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run(
        self, deadline: float, canary: str = "", *, soft: float = NEVER, enough: int = 0
    ) -> Gather:
        """Return the gathered results once they are complete or at `deadline` (trio time).

        From the time `soft` on, `enough` answered shards end the query as well.
        `canary` is the fingerprint of a query that must be proven on one shard first. Raises
        `request_blocked`, or the reason for which no canary could run.
        """
        self.deadline = deadline
        self.soft = soft
        self.enough = enough
        async with trio.open_nursery() as self.nursery:
            self.nursery.cancel_scope.deadline = deadline
            if not canary or await CanaryRun(self).prove(canary):
                self._launch_first()
                await self._drive()
            self.nursery.cancel_scope.cancel()
        self._close()
        if self.error is not None:
            raise self.error
        return self.gather

    # First wave, and the loop that waits for results, hedges and retries.

    def _launch_first(self) -> None:
        now = trio.current_time()
        rng = self.ports.rng
        wave = []
        for shard in self.shards.values():
            planned = shard.planned
            if planned.name not in self.gather.pending or shard.attempts:
                continue
            replica = choose_replica(planned.candidates, now, rng)
            if replica is None:
                self.gather.fail(planned.name, planned.reason)
                self.retries.reroute(shard, planned.reason, now)
            else:
                wave.append((shard, replica))
        self.state.budget.earn(len(wave))
        self.launch(wave, "query", now)

    async def _drive(self) -> None:
        """Wait until all shards are settled; send hedges and retries when they are due."""
        while not self._settled():
            now = trio.current_time()
            expire_at = self._expire(now)
            self.retries.send(now)
            hedge_at = self.hedges.send(now)
            soft = self.soft if now < self.soft else NEVER
            wake_at = min(hedge_at, expire_at, soft, self.retries.next_at())
            if self._settled():
                return
            self.wake = trio.Event()
            if wake_at == NEVER:
                await self.wake.wait()
                continue
            with trio.move_on_at(wake_at):
                await self.wake.wait()

    def _settled(self) -> bool:
        if self.gather.complete or self.restart or self.error is not None:
            return True
        if self.gather.answered >= self.enough and trio.current_time() >= self.soft:
            return True
        return not self.open and not self.retries

    # Messages to owners.

    def launch(
        self,
        wave: Iterable[tuple[ShardState, Replica]],
        kind: str,
        now: float,
        canary: bool = False,
    ) -> None:
        messages: dict[str, Message] = {}
        deadline = min(self.deadline, now + MAX_SUBREQUEST_S)
        owners = self.plan.owners
        count = 0
        for shard, replica in wave:
            owner = owners[replica.server].instance
            message = messages.get(owner)
            if message is None:
                message = messages[owner] = Message(owner, deadline)
            message.targets.append(Target(shard.planned.name, replica.name))
            shard.attempts.append(Attempt(replica, message, now))
            shard.tried.append(replica)
            shard.first_sent = shard.first_sent or now
            replica.outstanding += 1
            count += 1
        if count and not canary:
            self.hedges.note_sent(now)
        self.open += count
        self.sent[kind] += count
        for message in messages.values():
            message.left = len(message.targets)
            self.nursery.start_soon(self._ask, message, self._sub_query(message, kind, canary))
        if deadline < self.deadline:
            self.limited += messages.values()

    def _sub_query(self, message: Message, kind: str, canary: bool) -> SubQuery:
        return SubQuery(
            self.query_id,
            self.query.service,
            self.plan.snapshot,
            self.query.tenant,
            self.query.body,
            int((self.unix_offset + message.deadline) * 1000),
            self.epoch,
            tuple(message.targets),
            kind,
            canary,
        )

    async def _ask(self, message: Message, sub: SubQuery) -> None:
        error = None
        with message.scope:
            try:
                if message.owner == self.ports.instance:
                    await self.ports.dispatch.run(sub, self._receive)
                else:
                    error = await self._stream(message.owner, sub)
            except RelayError as raised:
                error = raised
        if error is not None and error.code in OWNER_FAILURES:
            self._avoid_owner(message.owner)
        if message.left > 0:
            reason, ran = (error.code, error.ran) if error else ("bad_answer", "unknown")
            self._fail_rest(message, reason, ran)

    async def _stream(self, owner: str, sub: SubQuery) -> RelayError | None:
        """Receive the results of a message; returns the error that ended them.

        The error is caught inside the block, since a nursery in the context manager would wrap
        it in an exception group.
        """
        async with self.ports.peers.stream(owner, sub) as items:
            try:
                async for batch in items:
                    await self._receive(batch)
            except RelayError as error:
                return error
        return None

    def _avoid_owner(self, owner: str) -> None:
        """Give each replica of an owner a failure, so that not every one has to fail first."""
        now = trio.current_time()
        servers = {server for server, one in self.plan.owners.items() if one.instance == owner}
        for replica in self.state.replicas.values():
            if replica.server in servers:
                replica.fail(now)

    def _fail_rest(self, message: Message, reason: str, ran: str) -> None:
        """Fail the targets of a message that ended without results for them."""
        now = trio.current_time()
        for target in message.targets:
            shard = self.shards[target.shard]
            for attempt in shard.attempts:
                if attempt.message is message:
                    self._failed(shard, attempt, reason, now, ran)
                    break
        self._wake_if_due()

    def _expire(self, now: float) -> float:
        """Fail sub-requests whose owner is silent after their deadline; return the next time."""
        for message in self.limited:
            if message.left and message.deadline + EXPIRE_MARGIN_S <= now:
                self._fail_rest(message, "deadline", "unknown")
                message.scope.cancel()
        self.limited = [message for message in self.limited if message.left]
        return min((one.deadline + EXPIRE_MARGIN_S for one in self.limited), default=NEVER)

    # Results.

    async def _receive(self, batch: ShardResults) -> None:
        now = trio.current_time()
        for result in batch.results:
            self._take(result, now)
        self._wake_if_due()

    def _wake_if_due(self) -> None:
        if self.retries or self.canary_failures is not None or self._settled():
            self.wake.set()

    def _take(self, result: ShardResult, now: float) -> None:
        """Count or refuse one result; a result that nobody waits for is dropped."""
        shard = self.shards.get(result.shard)
        if shard is None or result.query_id != self.query_id:
            return
        for attempt in shard.attempts:
            if attempt.replica.name == result.searcher:
                break
        else:
            return
        self.queue_us += result.queue_us
        waited = result.queue_us > self.late_us
        attempt.replica.note_wait(waited, now)
        if waited and self._all_wait(shard, now):
            self.late += 1
        if result.status != "ok":
            self._refused(shard, attempt, result, now)
            return
        verdict = self.gather.add(result.query_id, result.shard, result.snapshot, result.payload)
        if verdict != "counted":
            self._failed(shard, attempt, verdict, now)
            return
        # Without the wait in the owner's queue, which the load already stands for.
        latency = max(0.0, now - attempt.sent_at - result.queue_us / 1e6)
        attempt.replica.observe(latency, result.in_flight, result.limit, now)
        self.state.knowledge.holds(result.searcher, result.snapshot)
        self.state.latencies.add(now - shard.first_sent)
        self._end(shard, attempt)
        if shard.attempts:
            self._cancel_losers(shard, now)

    def _all_wait(self, shard: ShardState, now: float) -> bool:
        """Say whether work waits long at each replica of a shard.

        A queue at one slow replica is no congestion of the service: fewer queries would not
        shorten it, but choosing the others does.
        """
        return all(replica.keeps_waiting(now) for replica in shard.planned.candidates)

    def _refused(
        self, shard: ShardState, attempt: Attempt, result: ShardResult, now: float
    ) -> None:
        if result.reason == "snapshot_gone":
            knowledge = self.state.knowledge
            knowledge.lacks(result.searcher, self.plan.snapshot, result.held, now)
        elif result.reason in CONGESTION:
            self.congested += 1
        attempt.replica.note_load(result.in_flight, result.limit, now)
        self._failed(shard, attempt, result.reason, now)

    def _end(self, shard: ShardState, attempt: Attempt) -> None:
        """Close an open sub-request."""
        shard.attempts.remove(attempt)
        attempt.replica.outstanding -= 1
        attempt.message.left -= 1
        self.open -= 1

    def _cancel_losers(self, shard: ShardState, now: float) -> None:
        """Cancel the other sub-requests of a shard, or their message if it has no other target."""
        name = shard.planned.name
        for attempt in list(shard.attempts):
            attempt.replica.overtaken(now - attempt.sent_at, now)
            self._end(shard, attempt)
            message = attempt.message
            if message.left:
                cancel = Cancel(self.query_id, name, attempt.replica.name)
                self.nursery.start_soon(self._send_cancel, message.owner, cancel)
            else:
                message.scope.cancel()

    async def _send_cancel(self, owner: str, cancel: Cancel) -> None:
        if owner == self.ports.instance:
            await self.ports.dispatch.cancel(cancel)
        else:
            await self.ports.peers.cast(owner, cancel)

    # Failures.

    def _failed(
        self, shard: ShardState, attempt: Attempt, reason: str, now: float, ran: str = "unknown"
    ) -> None:
        self._end(shard, attempt)
        name = shard.planned.name
        self.gather.fail(name, reason)
        if reason not in NO_PENALTY:
            attempt.replica.fail(now)
        price = retry_price(reason, ran)
        if price >= FULL_PRICE:
            self.may_have_run = True
        if self.canary_failures is not None:
            self.canary_failures.append(reason)
        elif reason == "request_blocked":
            self.block()
        elif not shard.attempts and name in self.gather.pending:
            self.retries.plan(shard, price, reason, now)

    def refresh(self) -> None:
        """Use the present owners and replicas of the same snapshot."""
        plan = self.replan()
        if plan is None or plan is self.plan or plan.snapshot != self.plan.snapshot:
            return
        self.plan = plan
        for planned in plan.shards:
            shard = self.shards.get(planned.name)
            if shard is not None:
                shard.planned = planned

    def pay(self, price: float, now: float) -> bool:
        """Pay for an extra sub-request; False when it must not be sent."""
        return self.state.take_budget(price, self.row, now)

    def usable(self, shard: ShardState) -> list[Replica]:
        """Return the replicas of a shard that are not known to lack the snapshot."""
        lacking = self.state.knowledge.lacking
        candidates = shard.planned.candidates
        if not lacking:
            return list(candidates)
        return [one for one in candidates if (one.name, self.plan.snapshot) not in lacking]

    def untried(self, shard: ShardState) -> list[Replica]:
        """Return the usable replicas that were not asked in this round."""
        return [replica for replica in self.usable(shard) if replica not in shard.tried]

    def gone(self, shard: ShardState) -> bool:
        """Say whether each replica of a shard is known to lack the snapshot."""
        return bool(shard.planned.candidates) and not self.usable(shard)

    def block(self) -> None:
        """End the query as one that crashes servers."""
        ran = "unknown" if self.may_have_run or self.open or self.gather.answered else "not_run"
        self.error = RelayError(
            "request_blocked",
            "the request crashed backend servers and is blocked",
            step="canary",
            ran=ran,
        )

    # End.

    def _close(self) -> None:
        """Settle the sub-requests that are still open; at the deadline they are late."""
        self.may_have_run = self.may_have_run or self.gather.answered > 0
        if not self.open:
            return
        now = trio.current_time()
        self.may_have_run = True
        given_up = self.restart or self.error is not None
        for shard in self.shards.values():
            for attempt in shard.attempts:
                attempt.replica.outstanding -= 1
                if not given_up:
                    attempt.replica.overtaken(now - attempt.sent_at, now)
            if shard.attempts:
                self.gather.fail(shard.planned.name, "deadline")
                if not given_up:
                    self.late += 1
                    self.state.latencies.add_unfinished(now - shard.first_sent)
