"""Merge of the shard results of one query against one snapshot."""

import heapq
from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

import msgspec

__all__ = ["Coverage", "Gather", "Missing", "ShardPayload", "Verdict", "decode_payload"]

#: What became of an offered result.
Verdict = Literal["counted", "duplicate", "crossed", "snapshot_mismatch", "bad_answer"]


class ShardPayload(msgspec.Struct):
    """Answer of one shard: hits with at least `key` and `score`, and the number of matches."""

    hits: list[dict[str, Any]] = []
    count: int = 0


class Missing(NamedTuple):
    """A shard that the answer does not cover, and why."""

    shard: str
    reason: str


class Coverage(NamedTuple):
    """How many shards the snapshot has, how many are in the answer, and which are missing."""

    shards: int
    answered: int
    missing: tuple[Missing, ...]


_DECODER = msgspec.json.Decoder(ShardPayload)


def decode_payload(payload: bytes) -> ShardPayload | None:
    """Decode the answer of a shard; None when it is malformed."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _rank(hit: tuple) -> tuple:
    return hit[0], hit[1]


class Gather:
    """Counts each shard of one snapshot once and keeps the best hits.

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
        self._best: list[tuple] = []

    @property
    def answered(self) -> int:
        """Number of shards whose result is counted."""
        return len(self.shards) - len(self.pending)

    @property
    def complete(self) -> bool:
        """True once each shard is counted."""
        return not self.pending

    def add(self, query_id: str, shard: str, snapshot: str, payload: bytes) -> Verdict:
        """Count the successful result of a shard, unless it must not be merged."""
        if query_id != self.query_id:
            return "crossed"
        if shard not in self.pending:
            return "duplicate" if shard in self.shards else "crossed"
        if snapshot != self.snapshot:
            return "snapshot_mismatch"
        decoded = decode_payload(payload)
        if decoded is None or not self._merge(decoded):
            return "bad_answer"
        del self.pending[shard]
        self.reasons.pop(shard, None)
        return "counted"

    def fail(self, shard: str, reason: str) -> None:
        """Note why a shard has no result so far; a later result replaces the reason."""
        if shard in self.pending:
            self.reasons[shard] = reason

    def coverage(self, reason_in_flight: str = "deadline") -> Coverage:
        """Return the coverage; shards without a noted failure get `reason_in_flight`."""
        missing = tuple(
            Missing(shard, self.reasons.get(shard, reason_in_flight)) for shard in self.pending
        )
        return Coverage(len(self.shards), self.answered, missing)

    def hits(self) -> list[dict[str, Any]]:
        """Return the best hits, best first."""
        self._trim()
        return [hit for _, _, hit in self._best]

    def _merge(self, payload: ShardPayload) -> bool:
        """Add the hits and the count; False and no change when a hit is malformed."""
        try:
            ranked = [(-hit["score"], hit["key"], hit) for hit in payload.hits]
            ranked.sort(key=_rank)
        except (KeyError, TypeError):
            return False
        if ranked and not all(type(key) is str for _, key, _ in ranked):
            return False
        self._best += ranked[: self.limit]
        self.count += payload.count
        if len(self._best) > 16 * self.limit:
            self._trim()
        return True

    def _trim(self) -> None:
        self._best = heapq.nsmallest(self.limit, self._best, key=_rank)
