"""Replication of documents with revisions: acceptance, digests for peers and readiness."""

import math
from collections.abc import Iterable, Mapping
from typing import Literal, NamedTuple

__all__ = [
    "COMPARE_WAIT_S",
    "FULL_DIGEST_EVERY_S",
    "Digest",
    "DigestFeed",
    "HeldDocument",
    "HeldDocuments",
    "Readiness",
    "WriteOutcome",
    "resolve_write",
]

#: Time after which the complete digest is sent to each peer again.
FULL_DIGEST_EVERY_S = 30.0
#: Most unacknowledged digests that are remembered for each peer.
MAX_DIGESTS_IN_FLIGHT = 8

#: How long a starting process that has read the store waits for the digest of a peer.
COMPARE_WAIT_S = 3.0

#: `applied`, `pending` (not visible, but it may still be applied) or `lost` to another write.
WriteOutcome = Literal["applied", "pending", "lost"]


class HeldDocument(NamedTuple):
    """A document that is in force, as stored."""

    revision: int
    value: bytes


class HeldDocuments:
    """The documents that one process holds; only a higher revision replaces a document."""

    def __init__(self) -> None:
        self.held: dict[str, HeldDocument] = {}

    def revision(self, name: str) -> int:
        """Return the revision in force, 0 without one."""
        held = self.held.get(name)
        return held.revision if held else 0

    def accept(self, name: str, revision: int, value: bytes) -> bool:
        """Accept a document if its revision is higher; return whether it was accepted."""
        if revision <= self.revision(name):
            return False
        self.held[name] = HeldDocument(revision, value)
        return True

    def digest(self) -> dict[str, int]:
        """Return the revisions in force by name."""
        return {name: held.revision for name, held in self.held.items()}

    def newer_entries(self, digest: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return the entries of a peer's digest that are newer than the documents held here."""
        return [(name, revision) for name, revision in digest if revision > self.revision(name)]

    def newer_than_stored(self, name: str, stored: int) -> HeldDocument | None:
        """Return the document if it is newer than revision `stored` in the store, else None."""
        held = self.held.get(name)
        return held if held is not None and held.revision > stored else None


class Digest(NamedTuple):
    """Revisions by document name; `whole` if they are those of all documents of the sender."""

    revisions: dict[str, int]
    whole: bool


class DigestFeed:
    """Selects the digest entries to send: those that a peer has not acknowledged yet."""

    def __init__(self) -> None:
        #: Revisions that each peer has acknowledged, by name.
        self.confirmed: dict[str, dict[str, int]] = {}
        #: Entries in unacknowledged heartbeats, by peer and sequence number.
        self.in_flight: dict[str, dict[int, dict[str, int]]] = {}
        self.next_full_at: dict[str, float] = {}

    def entries(self, peer: str, sequence: int, digest: Mapping[str, int], now: float) -> Digest:
        """Return the entries for the heartbeat to a peer with this sequence number."""
        if now >= self.next_full_at.get(peer, now):
            self.next_full_at[peer] = now + FULL_DIGEST_EVERY_S
            self.confirmed[peer] = {}
        known = self.confirmed[peer]
        changed = {name: rev for name, rev in digest.items() if known.get(name) != rev}
        if changed:
            waiting = self.in_flight.setdefault(peer, {})
            waiting[sequence] = changed
            while len(waiting) > MAX_DIGESTS_IN_FLIGHT:
                del waiting[min(waiting)]
        return Digest(changed, whole=not known)

    def acknowledged(self, peer: str, sequence: int) -> None:
        """Record that a peer has acknowledged the heartbeat with this sequence number."""
        entries = self.in_flight.get(peer, {}).pop(sequence, None)
        if entries:
            self.confirmed.setdefault(peer, {}).update(entries)

    def retain_peers(self, peers: Iterable[str]) -> None:
        """Discard the state of all peers that are not in `peers`."""
        kept = set(peers)
        for table in (self.confirmed, self.in_flight, self.next_full_at):
            for peer in set(table) - kept:
                del table[peer]


class Readiness:
    """Whether a starting process has a table and has checked that no newer one is in force.

    The check is a comparison of digests with each reachable peer, or a read of the store together
    with one comparison. Only a whole digest counts: a peer leaves out the revisions that this
    instance has acknowledged, perhaps through an earlier process. Since the store can return older
    data, a read alone is sufficient only without other members, or after `COMPARE_WAIT_S`.
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
        """Return whether the process is ready, given the peers that it reaches now.

        `alone` means that there are no other members. `waited` is for how many seconds the process
        has had a view.
        """
        if not has_table:
            return False
        peers = set(reachable)
        if self.store_read and (alone or self.compared or waited >= COMPARE_WAIT_S):
            return True
        return bool(peers) and peers <= self.compared


def resolve_write(
    written: HeldDocument, expected: int, stored_version: int, stored: HeldDocument | None
) -> WriteOutcome:
    """Return the outcome of an unanswered write according to a later read.

    `expected` and `stored_version` are store versions (0: no such key).
    """
    if stored is not None and stored == written:
        return "applied"
    return "pending" if stored_version == expected else "lost"
