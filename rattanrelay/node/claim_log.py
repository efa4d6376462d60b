"""Writes the claims and outcomes of a bucket to the store, batched into compare-and-swaps."""

import math
from typing import NamedTuple

import trio

from ..decide.claims import (
    Claim,
    Finish,
    Operation,
    Release,
    Slice,
    Verdict,
    apply_operations,
    decode_slice,
    encode_slice,
    finished_record,
)
from ..errors import DECODE_ERRORS, RelayError
from ..log import event
from ..store import StoreClient
from ..store.client import ABSENT

__all__ = ["FLUSH_INTERVAL_S", "ClaimLog"]

FLUSH_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.1
MAX_SWAP_TRIES = 8
#: Operations that may wait for the store; further claims are refused.
MAX_WAITING = 2000
#: Slices whose records are cached in memory.
MAX_CACHED_SLICES = 24


class _Pending:
    """An operation that waits for the store; an abandoned claim is released once it is settled."""

    def __init__(self, store_key: str, operation: Operation) -> None:
        self.store_key = store_key
        self.operation = operation
        self.abandoned = False
        self.verdict: Verdict | None = None
        self.done = trio.Event()

    def settle(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.done.set()


class _Cached(NamedTuple):
    records: Slice
    version: int


class ClaimLog:
    """The claims of one bucket: a queue of operations and the task that writes them."""

    def __init__(self, store: StoreClient, name: str) -> None:
        self.store = store
        self.name = name
        self.cache: dict[str, _Cached] = {}
        self._queue: list[_Pending] = []
        self._wake = trio.Event()
        self._empty = trio.Event()
        self._next_write = -math.inf

    @property
    def waiting(self) -> int:
        """Number of operations that are not settled yet."""
        return len(self._queue)

    def known_record(self, store_key: str, key: str):
        """Return the newest record of a key that is queued or cached, None if there is none."""
        for pending in self._queue:
            operation = pending.operation
            if isinstance(operation, Finish) and operation.key == key:
                return finished_record(operation)
        cached = self.cache.get(store_key)
        return cached.records.get(key) if cached else None

    async def claim(self, store_key: str, claim: Claim) -> Verdict:
        """Write a claim and return the verdict.

        If the wait is cancelled, the claim is released once it is settled. Raises
        `store_unavailable` when too many operations are waiting.
        """
        if len(self._queue) >= MAX_WAITING:
            raise RelayError("store_unavailable", "too many claims are waiting", step="write claim")
        pending = _Pending(store_key, claim)
        self._enqueue(pending)
        try:
            await pending.done.wait()
        except trio.Cancelled:
            pending.abandoned = True
            if pending.verdict is not None:
                self._release(pending)
            raise
        return pending.verdict

    def record(self, store_key: str, operation: Operation) -> None:
        """Queue an outcome or a release, which is written as soon as the store accepts it."""
        self._enqueue(_Pending(store_key, operation))

    async def flushed(self) -> None:
        """Return when no operation is waiting."""
        while self._queue:
            await self._empty.wait()

    async def serve(self) -> None:
        """Write queued operations until cancelled, at most once per `FLUSH_INTERVAL_S`."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep_until(self._next_write)
            while self._queue:
                self._next_write = trio.current_time() + FLUSH_INTERVAL_S
                if not await self._flush():
                    await trio.sleep(RETRY_DELAY_S)
                await trio.sleep_until(self._next_write)
            empty, self._empty = self._empty, trio.Event()
            empty.set()

    def _enqueue(self, pending: _Pending) -> None:
        self._queue.append(pending)
        self._wake.set()

    def _release(self, pending: _Pending) -> None:
        if pending.verdict.kind == "granted":
            claim = pending.operation
            self._enqueue(_Pending(pending.store_key, Release(claim.key, claim.claim_id)))

    async def _flush(self) -> bool:
        """Write the operations of the first queued slice; return whether the store accepted."""
        store_key = self._queue[0].store_key
        batch = [pending for pending in self._queue if pending.store_key == store_key]
        try:
            verdicts = await self._swap(store_key, [pending.operation for pending in batch])
        except RelayError as error:
            self.cache.pop(store_key, None)
            event("claims.write_failed", bucket=self.name, code=error.code, waiting=self.waiting)
            return False
        self._queue = [pending for pending in self._queue if pending not in batch]
        for pending, verdict in zip(batch, verdicts, strict=True):
            pending.settle(verdict)
            if pending.abandoned:
                self._release(pending)
        return True

    async def _swap(self, store_key: str, operations: list[Operation]) -> list[Verdict]:
        for _ in range(MAX_SWAP_TRIES):
            fresh = store_key not in self.cache
            cached = await self._read(store_key) if fresh else self.cache[store_key]
            records, verdicts, changed = apply_operations(cached.records, operations)
            if not changed and not fresh and _any_unknown(verdicts):
                # Another coordinator may have stored the outcome since the slice was read.
                del self.cache[store_key]
                continue
            if not changed:
                return verdicts
            try:
                entry = await self.store.put(store_key, encode_slice(records), cached.version)
            except RelayError as error:
                # If the write got no answer, the next read shows whether it took effect: the
                # slice then has the claim ids of this batch, and applying it again changes nothing.
                self.cache.pop(store_key, None)
                if error.code != "version_conflict":
                    raise
                continue
            self._remember(store_key, _Cached(records, entry.version))
            return verdicts
        raise RelayError(
            "store_unavailable", "too many concurrent writes of the slice", step="write claim"
        )

    async def _read(self, store_key: str) -> _Cached:
        entry = await self.store.get(store_key)
        if entry is None:
            return self._remember(store_key, _Cached({}, ABSENT))
        try:
            records = decode_slice(entry.value)
        except DECODE_ERRORS as error:
            raise RelayError(
                "store_unavailable", "the stored slice is malformed", step="read claims"
            ) from error
        return self._remember(store_key, _Cached(records, entry.version))

    def _remember(self, store_key: str, cached: _Cached) -> _Cached:
        self.cache.pop(store_key, None)
        self.cache[store_key] = cached
        while len(self.cache) > MAX_CACHED_SLICES:
            del self.cache[next(iter(self.cache))]
        return cached


def _any_unknown(verdicts: list[Verdict]) -> bool:
    return any(verdict.kind == "unknown" for verdict in verdicts)
