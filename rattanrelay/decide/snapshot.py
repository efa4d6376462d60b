"""Choice of the snapshot to which a query is pinned."""

from collections.abc import Iterable

from ..table import Catalog, Shard, Snapshot

__all__ = ["SnapshotKnowledge"]

#: Seconds until a searcher that lacked a snapshot is asked again, since it may have loaded it.
LACKING_EXPIRY_S = 5.0


class SnapshotKnowledge:
    """Snapshots that searchers of one service are known to lack."""

    def __init__(self) -> None:
        #: Expiry time by searcher and snapshot.
        self.lacking: dict[tuple[str, str], float] = {}
        #: Number of changes of `lacking`, for callers that cache a choice.
        self.version = 0

    def record_missing(self, searcher: str, snapshot: str, held: Iterable[str], now: float) -> None:
        """Record that a searcher lacks a snapshot and has those in `held`."""
        self.lacking[searcher, snapshot] = now + LACKING_EXPIRY_S
        for name in held:
            if name != snapshot:
                self.lacking.pop((searcher, name), None)
        self.version += 1

    def record_held(self, searcher: str, snapshot: str) -> None:
        """Record that a searcher answered with a snapshot."""
        if self.lacking and self.lacking.pop((searcher, snapshot), None) is not None:
            self.version += 1

    def expire(self, now: float) -> None:
        """Discard expired records."""
        old = [pair for pair, until in self.lacking.items() if until <= now]
        for pair in old:
            del self.lacking[pair]
        if old:
            self.version += 1

    def replicas(self, shard: Shard, snapshot: str) -> tuple[str, ...]:
        """Return the searchers of a shard that are not known to lack the snapshot."""
        if not self.lacking:
            return shard.searchers
        return tuple(name for name in shard.searchers if (name, snapshot) not in self.lacking)

    def held_share(self, snapshot: Snapshot) -> float:
        """Return the share of shards that have a replica not known to lack the snapshot."""
        if not snapshot.shards:
            return 0.0
        held = sum(1 for shard in snapshot.shards if self.replicas(shard, snapshot.name))
        return held / len(snapshot.shards)

    def choose(self, catalog: Catalog) -> Snapshot | None:
        """Return the newest snapshot that all shards can serve, else the one that most shards have.

        Returns None if the catalog has no snapshots.
        """
        best, best_share = None, -1.0
        for snapshot in catalog.snapshots:
            share = self.held_share(snapshot)
            if share == 1.0:
                return snapshot
            if share > best_share:
                best, best_share = snapshot, share
        return best
