"""Deterministic search results, from which a test can compute the expected answer."""

import random
from collections.abc import Iterable
from typing import TypedDict

import msgspec
import xxhash

__all__ = [
    "DEFAULT_LIMIT",
    "Hit",
    "ShardAnswer",
    "canonical",
    "expected_answer",
    "query_digest",
    "search_shard",
]

#: Maximum number of hits when the query has no `limit`.
DEFAULT_LIMIT = 10

MIN_MATCHES = 3
MAX_MATCHES = 40

#: Low enough that equal scores occur, which a merge has to order by key.
SCORE_DIGITS = 2


class Hit(TypedDict):
    """A hit; `snapshot` and `query` identify the index and the query that produced it."""

    key: str
    score: float
    shard: str
    snapshot: str
    query: str


class ShardAnswer(TypedDict):
    """Best hits first (score descending, then key) and the count of all matches."""

    hits: list[Hit]
    count: int


def canonical(value) -> bytes:
    """Return the canonical JSON of a value, with sorted object keys."""
    return msgspec.json.encode(value, order="sorted")


def query_digest(query) -> str:
    """Return the hex digest of a query without its limit."""
    if isinstance(query, dict):
        query = {name: value for name, value in query.items() if name != "limit"}
    return xxhash.xxh64(canonical(query)).hexdigest()


def search_shard(shard: str, snapshot: str, query) -> ShardAnswer:
    """Return the answer that every replica of a shard gives to a query."""
    digest = query_digest(query)
    rng = random.Random(xxhash.xxh64_intdigest(f"{snapshot}\n{shard}\n{digest}".encode()))
    count = rng.randint(MIN_MATCHES, MAX_MATCHES)
    scores = sorted((round(rng.random(), SCORE_DIGITS) for _ in range(count)), reverse=True)
    hits = [
        Hit(
            key=f"{shard}:{rng.getrandbits(32):08x}",
            score=score,
            shard=shard,
            snapshot=snapshot,
            query=digest,
        )
        for score in scores
    ]
    return ShardAnswer(hits=sorted(hits, key=_rank)[: _limit(query)], count=count)


def expected_answer(shards: Iterable[str], snapshot: str, query) -> ShardAnswer:
    """Return the merged answer of the given shards of one snapshot."""
    answers = [search_shard(shard, snapshot, query) for shard in shards]
    hits = sorted((hit for answer in answers for hit in answer["hits"]), key=_rank)
    count = sum(answer["count"] for answer in answers)
    return ShardAnswer(hits=hits[: _limit(query)], count=count)


def _rank(hit: Hit) -> tuple[float, str]:
    return -hit["score"], hit["key"]


def _limit(query) -> int:
    limit = query.get("limit", DEFAULT_LIMIT) if isinstance(query, dict) else DEFAULT_LIMIT
    return limit if isinstance(limit, int) and limit >= 0 else DEFAULT_LIMIT
