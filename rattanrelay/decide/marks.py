"""The searcher that two instances may both ask for a part, as one tells the other.

A request for a shard may reach a few searchers only, whichever instance sends it. Of these the
instance that gathers the part chooses all but one by what it has observed. The last one is named by
the instance that asked it, which sends the request there itself when the other one falls silent.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["MARK_BYTES", "mark", "pack", "unpack"]

#: Bytes of a searcher's mark; two of three searchers share one in one of a billion shards.
MARK_BYTES = 4


def mark(searcher: str) -> bytes:
    """Return the short form of a searcher's name."""
    return xxhash.xxh32_digest(searcher.encode())


def pack(marks: Iterable[bytes]) -> bytes:
    """Return the marks of some shards as one string."""
    return b"".join(marks)


def unpack(data: bytes) -> list[bytes]:
    """Return the marks of some shards; raises `ValueError` for a wrong length."""
    if len(data) % MARK_BYTES:
        raise ValueError(f"{len(data)} bytes are no marks of {MARK_BYTES} bytes each")
    return [data[start : start + MARK_BYTES] for start in range(0, len(data), MARK_BYTES)]
