"""Retries of the shards of a query: on other replicas, at a new owner, or after a backoff."""

from typing import TYPE_CHECKING

from ..decide.budget import retry_price
from ..decide.selection import choose_replica
from .attempts import NEVER, ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["MAX_REROUTES", "Retries"]

#: Initial delay before a shard whose replicas have no owner is planned again; doubles each time.
REROUTE_DELAY_S = 0.01
#: Reroutes of a shard soon after a change of the table, the view or the snapshot.
MAX_REROUTES = 5
#: Reroutes of a shard when there was no recent change.
MAX_REROUTES_WITHOUT_CHANGE = 2
#: Initial delay before all replicas of a shard are tried again; doubles with each round.
BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5


class Retries:
    """The shards of a scatter that wait for a retry, each with the trio time when it is due."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter
        self.waiting: list[tuple[float, ShardState]] = []

    def __bool__(self) -> bool:
        return bool(self.waiting)

    def next_at(self) -> float:
        """Return when the next retry is due, infinity if none is waiting."""
        return min((at for at, _ in self.waiting), default=NEVER)

    def plan(self, shard: ShardState, cost: float, reason: str, now: float) -> None:
        """Schedule a retry of a shard that failed for `reason`, if one is possible.

        An untried replica is tried at once if the budget covers `cost`. The policy `coverage`
        tries all replicas again after a backoff.
        """
        scatter = self.scatter
        if scatter.lacks_snapshot(shard) and scatter.may_restart(now):
            scatter.restart = True
            return
        if scatter.untried(shard):
            if scatter.spend(cost, now):
                self.waiting.append((now, shard))
                return
        elif self.reroute(shard, reason, now):
            return
        if scatter.row.policy == "coverage" and scatter.usable(shard):
            self._schedule_round(shard, now)

    def reroute(self, shard: ShardState, reason: str, now: float) -> bool:
        """Schedule a shard to be planned again after a short delay if it has no owner.

        Returns whether it did. The other instance may have handed the server over, or this
        instance may not know the new view yet. Nothing was sent to a server, so the retry adds no
        load.
        """
        changing = self.scatter.state.owners_may_change(now)
        limit = MAX_REROUTES if changing else MAX_REROUTES_WITHOUT_CHANGE
        if reason != "no_owner" or shard.reroutes >= limit:
            return False
        self.waiting.append((now + REROUTE_DELAY_S * 2**shard.reroutes, shard))
        shard.reroutes += 1
        shard.tried.clear()
        return True

    def send(self, now: float) -> None:
        """Send the retries that are due."""
        if not self.waiting:
            return
        due = [shard for at, shard in self.waiting if at <= now]
        self.waiting = [entry for entry in self.waiting if entry[0] > now]
        if any(shard.reroutes for shard in due):
            self.scatter.refresh()
        selected = []
        for shard in due:
            replica = choose_replica(self.scatter.untried(shard), now, self.scatter.ports.rng)
            if replica is not None:
                if self._may_send(shard, now):
                    selected.append((shard, replica))
            elif not shard.planned.candidates:
                self.reroute(shard, shard.planned.reason, now)
        self.scatter.send(selected, "retry", now)

    def _may_send(self, shard: ShardState, now: float) -> bool:
        """Take the first retry of a new round from the budget, or wait for another round.

        Further retries of a round were taken from the budget when they were scheduled.
        """
        if not shard.rounds or shard.tried:
            return True
        reason = self.scatter.gather.reasons.get(shard.planned.name, "")
        if self.scatter.spend(retry_price(reason), now):
            return True
        self._schedule_round(shard, now)
        return False

    def _schedule_round(self, shard: ShardState, now: float) -> None:
        """Schedule another round over all replicas, after exponential backoff with jitter."""
        delay = min(MAX_BACKOFF_S, BACKOFF_S * 2**shard.rounds)
        shard.rounds += 1
        shard.tried.clear()
        self.waiting.append((now + delay * (0.5 + self.scatter.ports.rng.random()), shard))
