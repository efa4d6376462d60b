"""Documents with revisions: which one is in force, what a peer lacks, and when to write."""

import math
from collections.abc import Iterable, Mapping
from typing import Literal, NamedTuple

__all__ = [
    "COMPARE_WAIT_S",
    "FULL_DIGEST_EVERY_S",
    "DigestFeed",
    "Held",
    "Readiness",
    "Replicas",
    "WriteOutcome",
    "settle_write",
]

#: The whole digest is repeated to each peer after this time.
FULL_DIGEST_EVERY_S = 30.0
#: Digests that wait for an acknowledgement, for each peer.
MAX_DIGESTS_IN_FLIGHT = 8

#: A starting process that read the store waits this long for the digest of a peer.
COMPARE_WAIT_S = 3.0

#: `applied`, `pending` (not seen yet, and it may still be applied) or `lost` to another write.
WriteOutcome = Literal["applied", "pending", "lost"]


class Held(NamedTuple):
    """A document that is in force."""

    revision: int
    value: bytes


class Replicas:
    """The documents that one process holds; each is only replaced by a higher revision."""

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}

    def revision(self, name: str) -> int:
        """Return the revision in force, 0 without one."""
        held = self.held.get(name)
        return held.revision if held else 0

    def offer(self, name: str, revision: int, value: bytes) -> bool:
        """Take a document if its revision is higher; return whether it was taken."""
        if revision <= self.revision(name):
            return False
        self.held[name] = Held(revision, value)
        return True

    def digest(self) -> dict[str, int]:
        """Return the revisions in force by name."""
        return {name: held.revision for name, held in self.held.items()}

    def lacking(self, digest: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return the entries of a peer's digest that are newer than what is held."""
        return [(name, revision) for name, revision in digest if revision > self.revision(name)]

    def newer_than_stored(self, name: str, stored: int) -> Held | None:
        """Return what to write back to a store that has revision `stored`, None if nothing."""
        held = self.held.get(name)
        return held if held is not None and held.revision > stored else None


class DigestFeed:
    """Sends each peer only the digest entries that it has not acknowledged yet."""

    def __init__(self) -> None:
        self.confirmed: dict[str, dict[str, int]] = {}
        self.in_flight: dict[str, dict[int, dict[str, int]]] = {}
        self.full_at: dict[str, float] = {}

    def entries(
        self, peer: str, sequence: int, digest: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Return the entries to put into the heartbeat `sequence` to a peer."""
        if now >= self.full_at.get(peer, now):
            self.full_at[peer] = now + FULL_DIGEST_EVERY_S
            self.confirmed[peer] = {}
        known = self.confirmed[peer]
        changed = {name: rev for name, rev in digest.items() if known.get(name) != rev}
        if changed:
            waiting = self.in_flight.setdefault(peer, {})
            waiting[sequence] = changed
            while len(waiting) > MAX_DIGESTS_IN_FLIGHT:
                del waiting[min(waiting)]
        return changed

    def acknowledged(self, peer: str, sequence: int) -> None:
        """Take that a peer has received the heartbeat `sequence`."""
        entries = self.in_flight.get(peer, {}).pop(sequence, None)
        if entries:
            self.confirmed.setdefault(peer, {}).update(entries)

    def keep(self, peers: Iterable[str]) -> None:
        """Forget all other peers."""
        kept = set(peers)
        for table in (self.confirmed, self.in_flight, self.full_at):
            for peer in set(table) - kept:
                del table[peer]


class Readiness:
    """A process is ready once it has a table and has checked that no newer one is in force.

    The check is a comparison of digests with each reachable peer. A read of the store together with
    one comparison is enough as well. Since the store can return older data, its read alone counts
    only without other members, or after `COMPARE_WAIT_S`.
    """

    def __init__(self) -> None:
        self.store_read = False
        self.compared: set[str] = set()

    def ready(
        self,
        has_table: bool,
        reachable: Iterable[str],
        *,
        alone: bool = False,
        waited: float = math.inf,
    ) -> bool:
        """Say whether the process is ready, given the peers that it reaches now.

        `alone` says that there are no other members, `waited` how long the process has had a view.
        """
        if not has_table:
            return False
        peers = set(reachable)
        if self.store_read and (alone or self.compared or waited >= COMPARE_WAIT_S):
            return True
        return bool(peers) and peers <= self.compared


def settle_write(
    written: Held, expected: int, stored_version: int, stored: Held | None
) -> WriteOutcome:
    """Judge an unanswered write from a later read.

    `expected` and `stored_version` are store versions (0: no such key).
    """
    if stored is not None and stored == written:
        return "applied"
    return "pending" if stored_version == expected else "lost"
