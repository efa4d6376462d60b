"""Check of the containers in an encoded thrift struct before it is decoded.

The decoder loops over as many items as a container claims. Items of a type that thrift does not
define take no bytes, so such a loop would not end with the frame.
"""

import struct

__all__ = ["check_containers"]

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
#: Size in bytes of the types with a fixed size: bool, byte, double, i16, i32 and i64.
_FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
#: Maximum depth of nested structs and containers; messages between instances have two.
_MAX_DEPTH = 8

#: Maximum number of items of a container; a query over all shards of a service has hundreds.
_MAX_ITEMS = 65_536

_read_length = struct.Struct(">i").unpack_from


def check_containers(body: bytes) -> None:
    """Check that the values of an encoded struct are of known types, within its bytes and few.

    Raises `ValueError` otherwise. The work is linear in the number of bytes.
    """
    try:
        end = _end_of_struct(body, 0, 1)
    except (IndexError, struct.error) as error:
        raise ValueError(f"the struct continues beyond its {len(body)} bytes") from error
    if end > len(body):
        raise ValueError(f"the struct ends at byte {end} of {len(body)}")


def _end_of_struct(body: bytes, at: int, depth: int) -> int:
    """Return the position after the struct that begins at `at`."""
    while (kind := body[at]) != _STOP:
        at += 3
        at = _end_of_value(body, at, kind, depth)
    return at + 1


def _end_of_value(body: bytes, at: int, kind: int, depth: int) -> int:
    """Return the position after a value of the type `kind` that begins at `at`."""
    size = _FIXED_SIZES.get(kind)
    if size is not None:
        return at + size
    if kind == _STRING:
        return _end_of_string(body, at)
    if depth > _MAX_DEPTH:
        raise ValueError(f"more than {_MAX_DEPTH} nested values at byte {at}")
    if kind == _STRUCT:
        return _end_of_struct(body, at, depth + 1)
    if kind in (_LIST, _SET):
        return _end_of_items(body, at + 1, (body[at],), depth + 1)
    if kind == _MAP:
        return _end_of_items(body, at + 2, (body[at], body[at + 1]), depth + 1)
    raise ValueError(f"unknown type {kind} at byte {at}")


def _end_of_string(body: bytes, at: int) -> int:
    length = _read_length(body, at)[0]
    if length < 0:
        raise ValueError(f"string of {length} bytes at byte {at}")
    return at + 4 + length


def _end_of_items(body: bytes, at: int, kinds: tuple[int, ...], depth: int) -> int:
    """Return the position after the items of a container, whose count begins at `at`.

    Each item has one value of each of `kinds`.
    """
    count = _read_length(body, at)[0]
    # Each item takes at least one byte.
    if not 0 <= count <= min(len(body) - at - 4, _MAX_ITEMS):
        raise ValueError(f"container of {count} items at byte {at}")
    at += 4
    for _ in range(count):
        for kind in kinds:
            at = _end_of_value(body, at, kind, depth)
    return at
