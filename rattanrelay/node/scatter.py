"""Scatter-gather of one query: sub-queries to the owners of its shards, hedges and retries.

The first sub-requests go out in one message to each owner. Hedges and retries are sent in separate
messages. A message is cancelled once none of its targets is needed any more. To keep the cost per
shard at a few object accesses, a shard has no task, timer or log line of its own.
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

#: Failure reasons that signal congestion of a service.
CONGESTION = frozenset({"queue_full", "shedding"})
#: Failure reasons for which replica selection does not penalize the searcher. They are not caused
#: by the searcher, or its reported load already covers them. A penalty for a full queue would move
#: all work to the other replicas and fill their queues in turn.
NO_PENALTY = CONGESTION | {"request_blocked", "request_suspect", "snapshot_gone", "too_late"}
#: Errors of a whole message that affect every replica behind its owner.
OWNER_FAILURES = frozenset({"connect_failed", "no_quorum", "peer_unavailable", "stopping"})

#: Time after the deadline of a sub-request during which the owner's answer is still accepted.
EXPIRE_MARGIN_S = 0.05
#: A sub-request is late if it waited in its owner's queue for this many warm latencies. If only
#: missed deadlines counted, congestion would be detected only when shards are already missing.
LATE_QUEUE_FACTOR = 2.0


class ScatterPorts:
    """The parts of the instance that a scatter uses."""

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
        self.soft_deadline = NEVER
        #: Answered shards that are enough to end the query from the soft deadline on.
        self.min_answered = 0
        #: Open messages whose sub-requests expire before the deadline of the query.
        self.expiring: list[Message] = []
        self.may_restart = may_restart
        #: Returns the plan for the current table and view, None if there is none.
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
        self.late_us = row.warm_latency_ms * 1000 * LATE_QUEUE_FACTOR
        #: Whether a server may have run a part of the query.
        self.may_have_run = may_have_run
        self.restart = False
        self.error: RelayError | None = None
        self.canary_failures: list[str] | None = None
        self.wake = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        deadline: float,
        canary: str = "",
        *,
        soft_deadline: float = NEVER,
        min_answered: int = 0,
    ) -> Gather:
        """Return the gathered results once they are complete or at `deadline` (trio time).

        From the trio time `soft_deadline` on, `min_answered` answered shards are enough to end the
        query. `canary` is the fingerprint of a query that must first succeed on one shard; empty
        if none is needed. Raises `request_blocked` if the query is blocked because it crashes
        backend servers.
        """
        self.deadline = deadline
        self.soft_deadline = soft_deadline
        self.min_answered = min_answered
        async with trio.open_nursery() as self.nursery:
            self.nursery.cancel_scope.deadline = deadline
            if not canary or await CanaryRun(self).prove(canary):
                self._send_first()
                await self._wait_until_settled()
            self.nursery.cancel_scope.cancel()
        self._close()
        if self.error is not None:
            raise self.error
        return self.gather

    # First sub-requests, and the loop that waits for results and sends hedges and retries.

    def _send_first(self) -> None:
        now = trio.current_time()
        rng = self.ports.rng
        selected = []
        for shard in self.shards.values():
            planned = shard.planned
            if planned.name not in self.gather.pending or shard.attempts:
                continue
            replica = choose_replica(planned.candidates, now, rng)
            if replica is None:
                self.gather.fail(planned.name, planned.reason)
                self.retries.reroute(shard, planned.reason, now)
            else:
                selected.append((shard, replica))
        self.state.budget.add_tokens(len(selected))
        self.send(selected, "query", now)

    async def _wait_until_settled(self) -> None:
        """Wait until the query is settled; send hedges and retries when they are due."""
        while not self._settled():
            now = trio.current_time()
            expire_at = self._expire(now)
            self.retries.send(now)
            hedge_at = self.hedges.send(now)
            soft_deadline = self.soft_deadline if now < self.soft_deadline else NEVER
            wake_at = min(hedge_at, expire_at, soft_deadline, self.retries.next_at())
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
        if self.gather.answered >= self.min_answered and trio.current_time() >= self.soft_deadline:
            return True
        return not self.open and not self.retries

    # Messages to owners.

    def send(
        self,
        selected: Iterable[tuple[ShardState, Replica]],
        kind: str,
        now: float,
        canary: bool = False,
    ) -> None:
        """Send a sub-request to each selected replica, with one message to each owner."""
        messages: dict[str, Message] = {}
        deadline = min(self.deadline, now + MAX_SUBREQUEST_S)
        owners = self.plan.owners
        count = 0
        for shard, replica in selected:
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
            self.hedges.record_sent(now)
        self.open += count
        self.sent[kind] += count
        for message in messages.values():
            message.left = len(message.targets)
            self.nursery.start_soon(
                self._send_message, message, self._sub_query(message, kind, canary)
            )
        if deadline < self.deadline:
            self.expiring += messages.values()

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

    async def _send_message(self, message: Message, sub: SubQuery) -> None:
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
            self._penalize_owner(message.owner)
        if message.left > 0:
            reason, ran = (error.code, error.ran) if error else ("bad_answer", "unknown")
            self._fail_remaining(message, reason, ran)

    async def _stream(self, owner: str, sub: SubQuery) -> RelayError | None:
        """Receive the results of a message; return the error that ended the stream, if any.

        The error is caught inside the block, because a nursery in the context manager would wrap
        it in an exception group.
        """
        async with self.ports.peers.stream(owner, sub) as items:
            try:
                async for batch in items:
                    await self._receive(batch)
            except RelayError as error:
                return error
        return None

    def _penalize_owner(self, owner: str) -> None:
        """Record a failure of each replica of an owner, so that no query has to try each one."""
        now = trio.current_time()
        servers = {
            server for server, member in self.plan.owners.items() if member.instance == owner
        }
        for replica in self.state.replicas.values():
            if replica.server in servers:
                replica.fail(now)

    def _fail_remaining(self, message: Message, reason: str, ran: str) -> None:
        """Fail the targets for which a message ended without a result."""
        now = trio.current_time()
        for target in message.targets:
            shard = self.shards[target.shard]
            for attempt in shard.attempts:
                if attempt.message is message:
                    self._handle_failure(shard, attempt, reason, now, ran)
                    break
        self._wake_if_due()

    def _expire(self, now: float) -> float:
        """Fail sub-requests without an answer after their deadline; return when to check again."""
        for message in self.expiring:
            if message.left and message.deadline + EXPIRE_MARGIN_S <= now:
                self._fail_remaining(message, "deadline", "unknown")
                message.scope.cancel()
        self.expiring = [message for message in self.expiring if message.left]
        return min((message.deadline + EXPIRE_MARGIN_S for message in self.expiring), default=NEVER)

    # Results.

    async def _receive(self, batch: ShardResults) -> None:
        now = trio.current_time()
        for result in batch.results:
            self._handle_result(result, now)
        self._wake_if_due()

    def _wake_if_due(self) -> None:
        if self.retries or self.canary_failures is not None or self._settled():
            self.wake.set()

    def _handle_result(self, result: ShardResult, now: float) -> None:
        """Handle one result; discard it if it belongs to no open sub-request."""
        shard = self.shards.get(result.shard)
        if shard is None or result.query_id != self.query_id:
            return
        for attempt in shard.attempts:
            if attempt.replica.name == result.searcher:
                break
        else:
            return
        self.queue_us += result.queue_us
        queued = result.queue_us > self.late_us
        attempt.replica.record_wait(queued, now)
        if queued and self._all_replicas_queued(shard, now):
            self.late += 1
        if result.status != "ok":
            self._handle_refusal(shard, attempt, result, now)
            return
        verdict = self.gather.add(result.query_id, result.shard, result.snapshot, result.payload)
        if verdict != "counted":
            self._handle_failure(shard, attempt, verdict, now)
            return
        # The time in the owner's queue is excluded, since the reported load already reflects it.
        latency = max(0.0, now - attempt.sent_at - result.queue_us / 1e6)
        attempt.replica.observe(latency, result.in_flight, result.limit, now)
        self.state.knowledge.record_held(result.searcher, result.snapshot)
        self.state.latencies.add(now - shard.first_sent)
        self._remove(shard, attempt)
        if shard.attempts:
            self._cancel_others(shard, now)

    def _all_replicas_queued(self, shard: ShardState, now: float) -> bool:
        """Return whether sub-requests wait long at every replica of a shard.

        A queue at only one slow replica does not mean that the service is congested: choosing the
        other replicas shortens it, sending fewer queries does not.
        """
        return all(replica.waited_recently(now) for replica in shard.planned.candidates)

    def _handle_refusal(
        self, shard: ShardState, attempt: Attempt, result: ShardResult, now: float
    ) -> None:
        if result.reason == "snapshot_gone":
            knowledge = self.state.knowledge
            knowledge.record_missing(result.searcher, self.plan.snapshot, result.held, now)
        elif result.reason in CONGESTION:
            self.congested += 1
        attempt.replica.record_load(result.in_flight, result.limit, now)
        self._handle_failure(shard, attempt, result.reason, now)

    def _remove(self, shard: ShardState, attempt: Attempt) -> None:
        """Remove a sub-request that is no longer open."""
        shard.attempts.remove(attempt)
        attempt.replica.outstanding -= 1
        attempt.message.left -= 1
        self.open -= 1

    def _cancel_others(self, shard: ShardState, now: float) -> None:
        """Cancel the remaining sub-requests of a shard after one of them has answered.

        A message without other targets is cancelled as a whole.
        """
        name = shard.planned.name
        for attempt in list(shard.attempts):
            attempt.replica.record_unfinished(now - attempt.sent_at, now)
            self._remove(shard, attempt)
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
            await self.ports.peers.notify(owner, cancel)

    # Failures.

    def _handle_failure(
        self, shard: ShardState, attempt: Attempt, reason: str, now: float, ran: str = "unknown"
    ) -> None:
        self._remove(shard, attempt)
        name = shard.planned.name
        self.gather.fail(name, reason)
        if reason not in NO_PENALTY:
            attempt.replica.fail(now)
        cost = retry_price(reason, ran)
        if cost >= FULL_PRICE:
            self.may_have_run = True
        if self.canary_failures is not None:
            self.canary_failures.append(reason)
        elif reason == "request_blocked":
            self.block()
        elif not shard.attempts and name in self.gather.pending:
            self.retries.plan(shard, cost, reason, now)

    def refresh(self) -> None:
        """Switch to the current owners and replicas of the same snapshot."""
        plan = self.replan()
        if plan is None or plan is self.plan or plan.snapshot != self.plan.snapshot:
            return
        self.plan = plan
        for planned in plan.shards:
            shard = self.shards.get(planned.name)
            if shard is not None:
                shard.planned = planned

    def spend(self, cost: float, now: float) -> bool:
        """Take `cost` from the budget for an extra sub-request; return whether it may be sent."""
        return self.state.spend_budget(cost, self.row, now)

    def usable(self, shard: ShardState) -> list[Replica]:
        """Return the replicas of a shard that are not known to lack the snapshot."""
        lacking = self.state.knowledge.lacking
        candidates = shard.planned.candidates
        if not lacking:
            return list(candidates)
        return [
            replica for replica in candidates if (replica.name, self.plan.snapshot) not in lacking
        ]

    def untried(self, shard: ShardState) -> list[Replica]:
        """Return the usable replicas that were not tried in the current round."""
        return [replica for replica in self.usable(shard) if replica not in shard.tried]

    def lacks_snapshot(self, shard: ShardState) -> bool:
        """Return whether every replica of a shard is known to lack the snapshot."""
        return bool(shard.planned.candidates) and not self.usable(shard)

    def block(self) -> None:
        """End the query with `request_blocked`, because it crashes backend servers."""
        ran = "unknown" if self.may_have_run or self.open or self.gather.answered else "not_run"
        self.error = RelayError(
            "request_blocked",
            "the request crashed backend servers and is blocked",
            step="canary",
            ran=ran,
        )

    # End.

    def _close(self) -> None:
        """Close the sub-requests that are still open, and count them as late at the deadline."""
        self.may_have_run = self.may_have_run or self.gather.answered > 0
        if not self.open:
            return
        now = trio.current_time()
        self.may_have_run = True
        abandoned = self.restart or self.error is not None
        for shard in self.shards.values():
            for attempt in shard.attempts:
                attempt.replica.outstanding -= 1
                if not abandoned:
                    attempt.replica.record_unfinished(now - attempt.sent_at, now)
            if shard.attempts:
                self.gather.fail(shard.planned.name, "deadline")
                if not abandoned:
                    self.late += 1
                    self.state.latencies.add_unfinished(now - shard.first_sent)
