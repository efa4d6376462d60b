"""Short hashes of searcher names, by which one instance names searchers to another.

A request for a shard may reach only a few searchers, whichever instance sends it. The instance that
gathers the part chooses all but one of them by its own observations. The last one is named by the
instance that handed the part over, which sends the request to that searcher itself if the other
instance does not respond.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["HASH_BYTES", "join_hashes", "name_hash", "split_hashes"]

#: Length of a hash in bytes; two of three searchers share one for one shard in a billion.
HASH_BYTES = 4


def name_hash(searcher: str) -> bytes:
    """Return the hash of a searcher's name."""
    return xxhash.xxh32_digest(searcher.encode())


def join_hashes(hashes: Iterable[bytes]) -> bytes:
    """Return the hashes of the searchers of some shards as one byte string."""
    return b"".join(hashes)


def split_hashes(data: bytes) -> list[bytes]:
    """Return the hashes in a byte string; raise `ValueError` if its length is wrong."""
    if len(data) % HASH_BYTES:
        raise ValueError(f"{len(data)} bytes are no multiple of the hash length {HASH_BYTES}")
    return [data[start : start + HASH_BYTES] for start in range(0, len(data), HASH_BYTES)]
