"""Canary runs: a query is tried on one shard before it is sent to the others."""

from typing import TYPE_CHECKING

import trio

from ..decide.budget import FULL_PRICE, retry_price
from ..decide.proven import canary_order
from ..decide.selection import Replica
from .attempts import ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["CanaryRun"]

#: Failure reasons with which a canary may have crashed its server.
CANARY_LOSS_REASONS = frozenset({"connection_lost", "request_suspect"})
#: Servers that canaries of one query may have crashed before the query is blocked.
MAX_CANARIES_LOST = 2
#: Canaries that are sent for one query before it is abandoned.
MAX_CANARY_TARGETS = 6
#: Hedge delays after which a canary without an answer gets a second one.
SECOND_CANARY_DELAYS = 3.0


class CanaryRun:
    """Sends the canaries of a scatter, which records failures in its `canary_failures`."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter

    async def prove(self, fingerprint: str) -> bool:
        """Run the query on one shard first; return whether it succeeded there.

        After a canary that may have crashed a server there is one more trial, of kind `suspect`,
        on a replica of another shard, so that no shard loses both of its replicas. When the
        replicas of the shard lack the snapshot, the query restarts with another snapshot.
        """
        failures = self.scatter.canary_failures = []
        self.scatter.state.budget.add_tokens(1)
        kind = "canary"
        targets = self._targets(fingerprint)
        while targets:
            shard, replica = targets.pop(0)
            known_failures = len(failures)
            now = trio.current_time()
            if (known_failures or self.scatter.open) and not self.scatter.spend(self._cost(), now):
                break
            self.scatter.send([(shard, replica)], kind, now, canary=True)
            await self._wait(known_failures)
            if self.scatter.gather.answered:
                self.scatter.canary_failures = None
                return True
            if self.scatter.lacks_snapshot(shard) and self.scatter.may_restart(trio.current_time()):
                self.scatter.restart = True
                return False
            lost = sum(reason in CANARY_LOSS_REASONS for reason in failures)
            if "request_blocked" in failures or lost >= MAX_CANARIES_LOST:
                self.scatter.block()
                return False
            if lost:
                kind = "suspect"
                targets = _prefer_other_shards(shard, targets)
        await self._wait_for_last()
        return self.scatter.gather.answered > 0

    def _cost(self) -> float:
        return FULL_PRICE if self.scatter.open else retry_price(self.scatter.canary_failures[-1])

    async def _wait_for_last(self) -> None:
        """Wait for canaries that are still open; if none succeeds, record why the query failed."""
        while self.scatter.open and not self.scatter.gather.answered:
            await self._wait(len(self.scatter.canary_failures))
        if not self.scatter.gather.answered:
            failures = self.scatter.canary_failures
            reason = failures[-1] if failures else "no_replica"
            for name in self.scatter.gather.pending:
                self.scatter.gather.reasons.setdefault(name, reason)
        self.scatter.canary_failures = None

    def _targets(self, fingerprint: str) -> list[tuple[ShardState, Replica]]:
        """Return shards and replicas in an order that is the same on all instances."""
        targets = []
        for shard_name in canary_order(fingerprint, list(self.scatter.shards)):
            shard = self.scatter.shards[shard_name]
            replicas = {replica.name: replica for replica in shard.planned.candidates}
            targets += [
                (shard, replicas[name]) for name in canary_order(fingerprint, list(replicas))
            ]
            if len(targets) >= MAX_CANARY_TARGETS:
                break
        return targets[:MAX_CANARY_TARGETS]

    async def _wait(self, known_failures: int) -> None:
        """Wait until a canary succeeds or fails, or until it is time for a second one."""
        scatter = self.scatter
        delay = scatter.state.latencies.delay()
        hedge = delay is not None and scatter.row.hedge and scatter.open == 1 and not known_failures
        timeout = delay * SECOND_CANARY_DELAYS if hedge else float("inf")
        with trio.move_on_after(timeout):
            while not scatter.gather.answered and len(scatter.canary_failures) == known_failures:
                scatter.wake = trio.Event()
                await scatter.wake.wait()


def _prefer_other_shards(
    lost: ShardState, targets: list[tuple[ShardState, Replica]]
) -> list[tuple[ShardState, Replica]]:
    """Return the targets of other shards than the one that lost a server, if there are any."""
    excluded = {replica.name for replica in lost.planned.candidates}
    return [target for target in targets if target[1].name not in excluded] or targets
