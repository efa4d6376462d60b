"""Client of the platform's metadata store."""

import base64
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from ..decide.freshness import WATCH_GRACE_S
from ..errors import DECODE_ERRORS, RelayError
from ..http import Request, Response
from ..log import event
from ..relay import Item
from ..store import NoResponse, StoreCalls

__all__ = ["HistoryGone", "Page", "PlatformStore"]

CALL_TIMEOUT_S = 1.0
JSON = {"content-type": "application/json"}
#: Header with a number that rises each time the store returns from a copy.
ERA = "store-era"


class HistoryGone(Exception):
    """Raised when the store has discarded changes after the requested revision."""


class Page(NamedTuple):
    """Items or changes, and the revision of the store up to which they are complete."""

    items: list[Item]
    store_revision: int
    #: The history to which the revisions belong; they start again in a later one.
    era: int = 0

    @property
    def to_latest(self) -> bool:
        """Whether no change can follow the last one; a full answer ends with its revision."""
        return all(item.revision < self.store_revision for item in self.items)


class _Item(msgspec.Struct):
    key: str
    revision: int
    #: Value in Base64; missing for a removed key.
    value: str | None = None
    #: True for a removed key.
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Watch(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _Lease(msgspec.Struct):
    lease: int
    #: Granted duration, which may differ from the requested one.
    ttl_ms: int


class PlatformStore(StoreCalls):
    """Reads, watches, writes and leases; each call raises `store_unavailable` without an answer."""

    #: The latest history from which the store has answered.
    era = 0

    async def call(self, kind: str, request: Request, timeout: float) -> Response:
        """Send a request as `StoreCalls.call` does; an answer from before a restore is none."""
        response = await super().call(kind, request, timeout)
        era = _era(response)
        if era < self.era:
            text = f"an answer of era {era} in era {self.era}"
            raise NoResponse("store_unavailable", text, step=f"store {kind}", peer=self.peer)
        if era > self.era:
            event("store.era", era=era, before=self.era)
            self.era = era
        return response

    async def list(self, prefix: str, *, stale: bool = False) -> Page:
        """Return all items under a prefix, with the lowest store revision of their pages."""
        items: list[Item] = []
        oldest: int | None = None
        era = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["allow_stale"] = "1"
            kind = "stale_read" if stale else "read"
            response = await self._get(kind, "/kv-range", query, CALL_TIMEOUT_S)
            page = self._decode(response, _Range)
            if era not in (None, self.era):
                return await self.list(prefix, stale=stale)
            era = self.era
            items += [_item(item) for item in page.items]
            oldest = page.store_revision if oldest is None else min(oldest, page.store_revision)
            if not page.has_more or not page.items:
                return Page(items, oldest, era)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait: float) -> Page:
        """Wait up to `wait` seconds for changes after a revision; raises `HistoryGone`."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait * 1000)}
        response = await self._get("watch", "/kv-watch", query, wait + WATCH_GRACE_S)
        if response.status == 410:
            raise HistoryGone
        page = self._decode(response, _Watch)
        return Page([_item(item) for item in page.events], page.store_revision, _era(response))

    async def lease(self, seconds: float) -> int:
        """Return a new lease."""
        body = msgspec.json.encode({"ttl_ms": int(seconds * 1000)})
        response = await self.call(
            "write", Request("POST", "/kv-lease", JSON, body), CALL_TIMEOUT_S
        )
        return self._decode(response, _Lease).lease

    async def keep(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        request = Request("POST", f"/kv-keep/{lease}", JSON, b"{}")
        return (await self.call("keep", request, CALL_TIMEOUT_S)).status == 200

    async def end(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        request = Request("DELETE", f"/kv-lease-end/{lease}", JSON)
        await self.call("write", request, CALL_TIMEOUT_S)

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key under a lease; return False if the store refuses, as for an ended lease."""
        text = base64.b64encode(value).decode("ascii")
        body = {"expected_revision": [], "remove": []}
        body["puts"] = [{"key": key, "value": text, "lease": lease}]
        request = Request("POST", "/kv-txn", JSON, msgspec.json.encode(body))
        response = await self.call("write", request, CALL_TIMEOUT_S)
        return response.status == 200

    async def _get(self, kind: str, path: str, query: dict, timeout: float) -> Response:
        request = Request("GET", f"{path}?{urlencode(query)}")
        return await self.call(kind, request, timeout)

    def _decode(self, response: Response, kind: type):
        if response.status != 200:
            text = f"status {response.status}"
            raise RelayError("store_unavailable", text, step="store read", peer=self.peer)
        try:
            return msgspec.json.decode(response.body, type=kind)
        except DECODE_ERRORS as error:
            text = f"malformed response: {error}"
            raise RelayError("bad_answer", text, step="store read", peer=self.peer) from error


def _era(response: Response) -> int:
    text = response.headers.get(ERA, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _item(item: _Item) -> Item:
    if item.tombstone or item.value is None:
        return Item(item.key, None, item.revision)
    return Item(item.key, base64.b64decode(item.value), item.revision)
