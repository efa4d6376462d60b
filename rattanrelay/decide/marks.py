"""The searchers that a request may be sent to, as two instances tell each other.

A request for a shard may reach a few searchers only, whichever instance sends it. The instance that
asks another one to gather chooses them, since both may know different searchers at the time.
"""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["MARK_BYTES", "mark", "pack", "unpack"]

#: Bytes of a searcher's mark; two of three searchers share one in one of a billion shards.
MARK_BYTES = 4
NO_MARK = bytes(MARK_BYTES)


def mark(searcher: str) -> bytes:
    """Return the short form of a searcher's name."""
    return xxhash.xxh32_digest(searcher.encode())


def pack(rows: Iterable[Iterable[bytes]], width: int) -> bytes:
    """Return rows of at most `width` marks each as one string."""
    return b"".join(b"".join(row).ljust(width * MARK_BYTES, b"\0") for row in rows)


def unpack(data: bytes, count: int) -> Sequence[frozenset[bytes]]:
    """Return the marks of `count` rows; raises `ValueError` for a wrong length."""
    size, rest = divmod(len(data), count * MARK_BYTES)
    if rest:
        raise ValueError(f"{len(data)} bytes of marks for {count} rows")
    return [
        frozenset(
            data[start : start + MARK_BYTES]
            for start in range(row * size * MARK_BYTES, (row + 1) * size * MARK_BYTES, MARK_BYTES)
        )
        - {NO_MARK}
        for row in range(count)
    ]
