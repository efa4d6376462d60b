"""The canaries of a query: it runs on one shard before it is sent to the others."""

from typing import TYPE_CHECKING

import trio

from ..decide.budget import FULL_PRICE, retry_price
from ..decide.proven import canary_order
from ..decide.selection import Replica
from .attempts import ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["CanaryRun"]

#: Reasons by which a canary may have crashed its server.
CANARY_LOST = frozenset({"connection_lost", "request_suspect"})
#: Servers lost with canaries of one query before the query is blocked.
MAX_CANARIES_LOST = 2
#: Canaries of one query that may be sent before the query is given up.
MAX_CANARY_TARGETS = 6
#: A canary that has run for this many hedge delays is joined by a second one.
CANARY_PATIENCE = 3.0


class CanaryRun:
    """Sends the canaries of a scatter, which keeps their failures in `canary_failures`."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter

    async def prove(self, fingerprint: str) -> bool:
        """Run the query on one shard first; True once it succeeded there.

        After a lost server there is one more trial, of kind `suspect`, on another replica. When
        the shard's replicas lack the snapshot, the query restarts with another one.
        """
        failures = self.scatter.canary_failures = []
        self.scatter.state.budget.earn(1)
        kind = "canary"
        for shard, replica in self._targets(fingerprint):
            seen = len(failures)
            now = trio.current_time()
            if (seen or self.scatter.open) and not self.scatter.pay(self._price(), now):
                break
            self.scatter.launch([(shard, replica)], kind, now, canary=True)
            await self._wait(seen)
            if self.scatter.gather.answered:
                self.scatter.canary_failures = None
                return True
            if self.scatter.gone(shard) and self.scatter.may_restart(trio.current_time()):
                self.scatter.restart = True
                return False
            lost = sum(reason in CANARY_LOST for reason in failures)
            if "request_blocked" in failures or lost >= MAX_CANARIES_LOST:
                self.scatter.block()
                return False
            kind = "suspect" if lost else "canary"
        await self._wait_for_last()
        return self.scatter.gather.answered > 0

    def _price(self) -> float:
        return FULL_PRICE if self.scatter.open else retry_price(self.scatter.canary_failures[-1])

    async def _wait_for_last(self) -> None:
        """Wait for a canary that is still open; without a success the query ends."""
        while self.scatter.open and not self.scatter.gather.answered:
            await self._wait(len(self.scatter.canary_failures))
        if not self.scatter.gather.answered:
            failures = self.scatter.canary_failures
            reason = failures[-1] if failures else "no_replica"
            for name in self.scatter.gather.pending:
                self.scatter.gather.reasons.setdefault(name, reason)
        self.scatter.canary_failures = None

    def _targets(self, fingerprint: str) -> list[tuple[ShardState, Replica]]:
        """Return shards and replicas in an order that all instances share."""
        targets = []
        for name in canary_order(fingerprint, list(self.scatter.shards)):
            shard = self.scatter.shards[name]
            replicas = {replica.name: replica for replica in shard.planned.candidates}
            targets += [(shard, replicas[one]) for one in canary_order(fingerprint, list(replicas))]
            if len(targets) >= MAX_CANARY_TARGETS:
                break
        return targets[:MAX_CANARY_TARGETS]

    async def _wait(self, seen: int) -> None:
        """Wait until a canary succeeded or failed, or a straggling one needs a second one."""
        scatter = self.scatter
        delay = scatter.state.latencies.delay()
        hedge = delay is not None and scatter.row.hedge and scatter.open == 1 and not seen
        patience = delay * CANARY_PATIENCE if hedge else float("inf")
        with trio.move_on_after(patience):
            while not scatter.gather.answered and len(scatter.canary_failures) == seen:
                scatter.wake = trio.Event()
                await scatter.wake.wait()
