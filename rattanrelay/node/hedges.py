"""Hedges of a query: a second sub-request to another replica of a shard that is slow to answer."""

from typing import TYPE_CHECKING

from ..decide.budget import FULL_PRICE
from ..decide.selection import Replica, choose_replica
from .attempts import NEVER, ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["Hedges"]


class Hedges:
    """The sub-requests of a scatter that may be hedged; each shard is hedged at most once."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter
        #: Send time of the oldest sub-request that may still be hedged.
        self.oldest = NEVER

    def note_sent(self, now: float) -> None:
        """Note that sub-requests were sent now."""
        self.oldest = min(self.oldest, now)

    def send(self, now: float) -> float:
        """Hedge the sub-requests that are due; return when the next one is due.

        A replica whose slots are all in use gets no hedge: it would wait there as well, and make
        the queue of a hot shard longer. Nor does one that failed recently.
        """
        scatter = self.scatter
        delay = scatter.state.latencies.delay()
        if delay is None or not scatter.row.hedge or not scatter.open:
            return NEVER
        if now < self.oldest + delay:
            return self.oldest + delay
        wave = []
        oldest = NEVER
        for shard in self._single():
            sent_at = shard.attempts[0].sent_at
            if now < sent_at + delay:
                oldest = min(oldest, sent_at)
                continue
            shard.hedged = True
            replica = self._replica(shard, now)
            if replica is not None and scatter.pay(FULL_PRICE, now):
                wave.append((shard, replica))
        scatter.launch(wave, "hedge", now)
        # The hedges themselves are never hedged.
        self.oldest = oldest
        return oldest + delay

    def _single(self) -> list[ShardState]:
        """Return the pending shards with one open sub-request that has no hedge yet."""
        pending = (self.scatter.shards[name] for name in self.scatter.gather.pending)
        return [shard for shard in pending if not shard.hedged and len(shard.attempts) == 1]

    def _replica(self, shard: ShardState, now: float) -> Replica | None:
        suited = [one for one in self.scatter.untried(shard) if one.suits_hedge(now)]
        return choose_replica(suited, now, self.scatter.ports.rng)
