"""Merge of the shard results of one query on one snapshot."""

from collections.abc import Iterable
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ..errors import DECODE_ERRORS

__all__ = ["Coverage", "Gather", "Missing", "ShardPayload", "Verdict", "decode_payload"]

#: Whether a result was merged, or the reason why not.
Verdict = Literal["counted", "duplicate", "crossed", "snapshot_mismatch", "bad_answer"]


class RankedHit(msgspec.Struct, gc=False):
    """The fields by which a hit is ranked; all others are passed on without being decoded here."""

    key: str
    score: float


class ShardPayload(msgspec.Struct):
    """Payload of a shard result: the hits and the number of matches."""

    hits: list[RankedHit]
    count: Annotated[int, msgspec.Meta(ge=0)]
    shard: str = ""
    snapshot: str = ""


class FullPayload(msgspec.Struct):
    """The same payload with all fields of the hits."""

    hits: list[dict[str, Any]]


class Missing(NamedTuple):
    """A shard that the answer does not cover, and the reason."""

    shard: str
    reason: str


class Coverage(NamedTuple):
    """How many shards the snapshot has, how many are in the answer, and which are missing."""

    shards: int
    answered: int
    missing: tuple[Missing, ...]


_RANKED = msgspec.json.Decoder(ShardPayload)
_FULL = msgspec.json.Decoder(FullPayload)

#: The kept hits are trimmed to the best ones when there are more than this many times the limit.
TRIM_FACTOR = 4


def decode_payload(payload: bytes) -> ShardPayload | None:
    """Decode the payload of a shard result; return None if it is malformed."""
    try:
        return _RANKED.decode(payload)
    except DECODE_ERRORS:
        return None


class Gather:
    """Scatter-gather state of one query: merges each shard once and keeps the best hits.

    Results of another query, another snapshot or an unknown shard are never merged. The best
    hits are those with the highest score; equal scores are ordered by key.
    """

    def __init__(self, query_id: str, snapshot: str, shards: Iterable[str], limit: int) -> None:
        self.query_id = query_id
        self.snapshot = snapshot
        self.pending = dict.fromkeys(shards)
        self.shards = tuple(self.pending)
        self.limit = limit
        self.count = 0
        self.reasons: dict[str, str] = {}
        #: Hits as (-score, key, serial number of the payload, index in it).
        self._best: list[tuple[float, str, int, int]] = []
        self._payloads: list[bytes] = []
        #: Hits with a score below this one cannot be among the best.
        self._cutoff = float("-inf")

    @property
    def answered(self) -> int:
        """Number of shards whose result is merged."""
        return len(self.shards) - len(self.pending)

    @property
    def complete(self) -> bool:
        """Whether all shards are merged."""
        return not self.pending

    def add(self, query_id: str, shard: str, snapshot: str, payload: bytes) -> Verdict:
        """Merge the successful result of a shard, unless it is a duplicate or does not match."""
        if query_id != self.query_id:
            return "crossed"
        if shard not in self.pending:
            return "duplicate" if shard in self.shards else "crossed"
        if snapshot != self.snapshot:
            return "snapshot_mismatch"
        decoded = decode_payload(payload)
        if decoded is None or decoded.shard not in ("", shard):
            return "bad_answer"
        if decoded.snapshot not in ("", self.snapshot):
            return "snapshot_mismatch"
        self._merge(decoded, payload)
        del self.pending[shard]
        self.reasons.pop(shard, None)
        return "counted"

    def fail(self, shard: str, reason: str) -> None:
        """Record why a shard has no result so far; a later result removes the reason."""
        if shard in self.pending:
            self.reasons[shard] = reason

    def coverage(self, reason_in_flight: str = "deadline") -> Coverage:
        """Return the coverage; missing shards without a failure get `reason_in_flight`."""
        missing = tuple(
            Missing(shard, self.reasons.get(shard, reason_in_flight)) for shard in self.pending
        )
        return Coverage(len(self.shards), self.answered, missing)

    def hits(self) -> list[dict[str, Any]]:
        """Return the best hits, best first."""
        self._trim()
        decoded: dict[int, list[dict[str, Any]]] = {}
        hits = []
        for _, _, serial, index in self._best:
            if serial not in decoded:
                decoded[serial] = _FULL.decode(self._payloads[serial]).hits
            hits.append(decoded[serial][index])
        return hits

    def _merge(self, payload: ShardPayload, data: bytes) -> None:
        """Add the count and the hits that may be among the best."""
        self.count += payload.count
        serial = len(self._payloads)
        cutoff = self._cutoff
        best = [
            (-hit.score, hit.key, serial, index)
            for index, hit in enumerate(payload.hits)
            if hit.score >= cutoff
        ]
        if best:
            self._payloads.append(data)
            self._best += best
            if len(self._best) > TRIM_FACTOR * self.limit:
                self._trim()

    def _trim(self) -> None:
        self._best.sort()
        del self._best[self.limit :]
        if len(self._best) == self.limit:
            self._cutoff = -self._best[-1][0]
