"""Merging of the parts of a gathered response into the greatest records of all parts."""

import heapq
from collections.abc import Iterable

__all__ = ["RECORD_BYTES", "greatest_records", "needed_parts"]

#: Size of a record; a shorter remainder at the end of a part is ignored.
RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records in descending order; duplicates are kept."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in parts
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))


def needed_parts(shards: int, min_share: float) -> int:
    """Return the least number of parts, at least 1, that reaches `min_share` of `shards`."""
    needed = 1
    while needed < shards and needed / shards < min_share:
        needed += 1
    return needed
