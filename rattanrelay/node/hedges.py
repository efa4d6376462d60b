"""Hedges of a query: a second sub-request to another replica when a shard is slow to answer."""

from typing import TYPE_CHECKING

from ..decide.budget import FULL_PRICE
from ..decide.selection import Replica, choose_replica
from .attempts import NEVER, ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["Hedges"]


class Hedges:
    """Hedges the sub-requests of a scatter, each shard at most once."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter
        #: Send time of the oldest sub-request that may still be hedged.
        self.oldest_sent_at = NEVER

    def record_sent(self, now: float) -> None:
        """Record that sub-requests were sent at the time `now`."""
        self.oldest_sent_at = min(self.oldest_sent_at, now)

    def send(self, now: float) -> float:
        """Hedge the sub-requests that are due; return when the next one is due.

        A replica whose slots are all in use gets no hedge, because the hedge would wait there too
        and lengthen the queue of a hot shard. A replica that failed recently gets none either.
        """
        scatter = self.scatter
        delay = scatter.state.latencies.delay()
        if delay is None or not scatter.row.hedge or not scatter.open:
            return NEVER
        if now < self.oldest_sent_at + delay:
            return self.oldest_sent_at + delay
        selected = []
        oldest_sent_at = NEVER
        for shard in self._not_hedged():
            sent_at = shard.attempts[0].sent_at
            if now < sent_at + delay:
                oldest_sent_at = min(oldest_sent_at, sent_at)
                continue
            shard.hedged = True
            replica = self._choose(shard, now)
            if replica is not None and scatter.spend(FULL_PRICE, now):
                selected.append((shard, replica))
        scatter.send(selected, "hedge", now)
        # Hedges are not hedged in turn.
        self.oldest_sent_at = oldest_sent_at
        return oldest_sent_at + delay

    def _not_hedged(self) -> list[ShardState]:
        """Return the pending shards with a single open sub-request that was not hedged."""
        pending = (self.scatter.shards[name] for name in self.scatter.gather.pending)
        return [shard for shard in pending if not shard.hedged and len(shard.attempts) == 1]

    def _choose(self, shard: ShardState, now: float) -> Replica | None:
        suitable = [replica for replica in self.scatter.untried(shard) if replica.suits_hedge(now)]
        return choose_replica(suitable, now, self.scatter.ports.rng)
