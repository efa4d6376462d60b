"""Retries of the shards of a query: on other replicas, at a new owner, or after a wait."""

from typing import TYPE_CHECKING

from ..decide.budget import retry_price
from ..decide.selection import choose_replica
from .attempts import NEVER, ShardState

if TYPE_CHECKING:
    from .scatter import Scatter

__all__ = ["MAX_REROUTES", "Retries"]

#: First wait before a shard whose replicas have no owner is planned anew; it doubles each time.
REROUTE_S = 0.01
#: New plans for a shard while ownership moves, and without a sign that it does.
MAX_REROUTES = 5
MAX_BLIND_REROUTES = 2
#: First wait before all replicas of a shard are tried again; it doubles with each round.
BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5


class Retries:
    """The shards of a scatter that are asked again, each with its time (trio's clock)."""

    def __init__(self, scatter: "Scatter") -> None:
        self.scatter = scatter
        self.waiting: list[tuple[float, ShardState]] = []

    def __bool__(self) -> bool:
        return bool(self.waiting)

    def next_at(self) -> float:
        """Return when the next retry is due, infinity if none waits."""
        return min((at for at, _ in self.waiting), default=NEVER)

    def plan(self, shard: ShardState, price: float, reason: str, now: float) -> None:
        """Decide whether and when a shard that failed for `reason` is asked again.

        An untried replica is asked at once if the budget pays `price`. Policy `coverage` tries
        all replicas again after a wait.
        """
        scatter = self.scatter
        if scatter.gone(shard) and scatter.may_restart(now):
            scatter.restart = True
            return
        if scatter.untried(shard):
            if scatter.pay(price, now):
                self.waiting.append((now, shard))
                return
        elif self.reroute(shard, reason, now):
            return
        if scatter.row.policy == "coverage" and scatter.usable(shard):
            self._wait(shard, now)

    def reroute(self, shard: ShardState, reason: str, now: float) -> bool:
        """Plan a shard anew after a short wait if its owner is just changing.

        The asked instance may have handed the server over, or this instance may not know the new
        view yet. Nothing was sent to a server, so a retry adds no load.
        """
        moving = self.scatter.state.is_moving(now)
        limit = MAX_REROUTES if moving else MAX_BLIND_REROUTES
        if reason != "no_owner" or shard.reroutes >= limit:
            return False
        self.waiting.append((now + REROUTE_S * 2**shard.reroutes, shard))
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
        wave = []
        for shard in due:
            replica = choose_replica(self.scatter.untried(shard), now, self.scatter.ports.rng)
            if replica is not None:
                if self._may_send(shard, now):
                    wave.append((shard, replica))
            elif not shard.planned.candidates:
                self.reroute(shard, shard.planned.reason, now)
        self.scatter.launch(wave, "retry", now)

    def _may_send(self, shard: ShardState, now: float) -> bool:
        """Pay for the first retry of a new round, or wait once more; the others are paid."""
        if not shard.rounds or shard.tried:
            return True
        reason = self.scatter.gather.reasons.get(shard.planned.name, "")
        if self.scatter.pay(retry_price(reason), now):
            return True
        self._wait(shard, now)
        return False

    def _wait(self, shard: ShardState, now: float) -> None:
        """Try all replicas again after a growing wait."""
        wait = min(MAX_BACKOFF_S, BACKOFF_S * 2**shard.rounds)
        shard.rounds += 1
        shard.tried.clear()
        self.waiting.append((now + wait * (0.5 + self.scatter.ports.rng.random()), shard))
