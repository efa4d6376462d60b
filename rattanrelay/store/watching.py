"""Watches of keys of the store, kept only by the few instances that are chosen for each key."""

from collections.abc import Awaitable, Callable

import trio

from ..errors import RelayError
from .backoff import Backoff
from .client import ABSENT, Entry, StoreClient

__all__ = ["WATCHERS", "follow", "watch_while"]

#: Number of instances of a cell that watch each document.
WATCHERS = 2
PAUSE_S = 1.0
#: Interval of the checks whether an open watch is still wanted.
CHECK_INTERVAL_S = 0.5


async def follow(
    store: StoreClient,
    key: str,
    *,
    wanted: Callable[[], bool],
    on_entry: Callable[[Entry], Awaitable[None]],
    on_missing: Callable[[], Awaitable[None]],
    on_error: Callable[[RelayError], None],
    backoff: Backoff,
) -> None:
    """Call `on_entry` with each new entry of a key while `wanted()` is true; run until cancelled.

    `on_missing` is called when the key does not exist, and `on_error` with the error of a call that
    failed; `backoff` then gives the delay until the next call.
    """
    version = ABSENT
    while True:
        if not wanted():
            await trio.sleep(PAUSE_S)
            continue
        started = trio.current_time()
        try:
            entry = await watch_while(store, key, version, wanted)
            backoff.record_success()
            if entry is not None:
                await on_entry(entry)
                version = entry.version
                continue
            if trio.current_time() < started + PAUSE_S:
                # A watch that returns nothing this early found that the key does not exist.
                await on_missing()
        except RelayError as error:
            on_error(error)
            await trio.sleep(backoff.record_failure())
            continue
        await trio.sleep(PAUSE_S)


async def watch_while(
    store: StoreClient, key: str, after: int, wanted: Callable[[], bool]
) -> Entry | None:
    """Watch a key as `StoreClient.watch` does, but only while `wanted()` is true.

    Returns None also when the watch is no longer wanted. The store counts an open watch as a call,
    and one that is not cancelled lasts for up to `WATCH_TIMEOUT_S`: a document would have three
    watchers after a change of the view, or after a member was suspected for a moment.
    """
    entry: Entry | None = None
    failure: RelayError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_unless, wanted, nursery.cancel_scope)
        try:
            entry = await store.watch(key, after)
        except RelayError as error:
            # Raised outside of the nursery, which would wrap it in an exception group.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return entry


async def _cancel_unless(wanted: Callable[[], bool], scope: trio.CancelScope) -> None:
    while wanted():  # noqa: ASYNC110
        await trio.sleep(CHECK_INTERVAL_S)
    scope.cancel()
