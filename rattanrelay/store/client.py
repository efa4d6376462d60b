"""Client for the key-value service: reads, compare-and-swap and watches, each with a timeout."""

from typing import NamedTuple
from urllib.parse import quote

import msgspec

from ..errors import RelayError
from ..http import Request, Response
from .calls import StoreCalls

__all__ = ["ABSENT", "CALL_TIMEOUT_S", "WATCH_TIMEOUT_S", "Entry", "StoreClient"]

#: Expected version in a compare-and-swap that requires that the key does not exist.
ABSENT = 0

CALL_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 25.0
WATCH_GRACE_S = 2.0


class Entry(NamedTuple):
    """A stored value with the version that the service assigned to it."""

    key: str
    value: bytes
    version: int


class StoreClient(StoreCalls):
    """Reads, writes and watches of one store; `timeout` in seconds applies to reads and writes."""

    def __init__(self, host: str, port: int, *, timeout: float = CALL_TIMEOUT_S) -> None:
        super().__init__(host, port)
        self.timeout = timeout

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist.

        Raises `store_unavailable`.
        """
        response = await self.call("read", Request("GET", _path(key)), self.timeout)
        return _entry(key, response)

    async def put(self, key: str, value: bytes, expected: int | None) -> Entry:
        """Write a value if the stored version is `expected`, and return the new entry.

        With `ABSENT` the key must not exist, with None the write is unconditional. Raises
        `version_conflict` if nothing was written, or `store_unavailable`, with `ran="unknown"` if
        the write may have taken effect.
        """
        target = _path(key)
        if expected is not None:
            target += f"?if_version={expected}"
        response = await self.call("write", Request("PUT", target, body=value), self.timeout)
        if response.status == 409:
            raise RelayError("version_conflict", key, step="store write", peer=self.peer)
        version = int(response.headers["x-version"])
        return Entry(key, value, version)

    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete a key if its version is `expected`, or unconditionally with None.

        A missing key is no error. Raises as `put`.
        """
        target = _path(key)
        if expected is not None:
            target += f"?if_version={expected}"
        response = await self.call("write", Request("DELETE", target), self.timeout)
        if response.status == 409:
            raise RelayError("version_conflict", key, step="store delete", peer=self.peer)

    async def list(self, prefix: str) -> list[str]:
        """Return the keys that start with `prefix`; raises `store_unavailable`."""
        target = f"/v1/keys?prefix={quote(prefix, safe='')}"
        response = await self.call("read", Request("GET", target), self.timeout)
        return msgspec.json.decode(response.body, type=list[str])

    async def watch(self, key: str, after: int) -> Entry | None:
        """Wait until the version of a key is not `after` and return its entry.

        Returns None if the key does not exist or did not change within `WATCH_TIMEOUT_S`. Raises
        `store_unavailable`.
        """
        target = f"/v1/watch/{quote(key, safe='')}?after={after}&timeout={WATCH_TIMEOUT_S}"
        limit = WATCH_TIMEOUT_S + WATCH_GRACE_S
        response = await self.call("watch", Request("GET", target), limit)
        if response.status == 204:
            return None
        return _entry(key, response)


def _path(key: str) -> str:
    return f"/v1/kv/{quote(key, safe='')}"


def _entry(key: str, response: Response) -> Entry | None:
    if response.status == 404:
        return None
    return Entry(key, response.body, int(response.headers["x-version"]))
