"""Following keys of the store, by the few instances that are chosen to watch them."""

from collections.abc import Awaitable, Callable

import trio

from ..errors import RelayError
from .backoff import Backoff
from .client import ABSENT, Entry, StoreClient

__all__ = ["WATCHERS", "follow", "watch_while"]

#: Instances of a cell that watch each document.
WATCHERS = 2
PAUSE_S = 1.0
#: Time between looks whether a waiting watch is still wanted.
LOOK_S = 0.5


async def follow(
    store: StoreClient,
    key: str,
    *,
    wanted: Callable[[], bool],
    take: Callable[[Entry], Awaitable[None]],
    missing: Callable[[], Awaitable[None]],
    failed: Callable[[RelayError], None],
    backoff: Backoff,
) -> None:
    """Give each new entry of a key to `take` while `wanted()` is true, until cancelled.

    `missing` is called when the store has no such key, and `failed` with each error of a call,
    after which `backoff` sets the pause.
    """
    version = ABSENT
    while True:
        if not wanted():
            await trio.sleep(PAUSE_S)
            continue
        started = trio.current_time()
        try:
            entry = await watch_while(store, key, version, wanted)
            backoff.succeeded()
            if entry is not None:
                await take(entry)
                version = entry.version
                continue
            if trio.current_time() < started + PAUSE_S:
                # A watch that ends early found no such key.
                await missing()
        except RelayError as error:
            failed(error)
            await trio.sleep(backoff.failed())
            continue
        await trio.sleep(PAUSE_S)


async def watch_while(
    store: StoreClient, key: str, after: int, wanted: Callable[[], bool]
) -> Entry | None:
    """Wait for a version other than `after` while `wanted()` is true.

    None when nothing changed in time or the watch is not wanted any more. The store counts a
    waiting watch as a call, and one that is left open lasts for `WATCH_TIMEOUT_S`: after a change
    of the view, or while a member is suspect for a moment, a document would have three watchers.
    """
    entry: Entry | None = None
    failure: RelayError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_unless, wanted, nursery.cancel_scope)
        try:
            entry = await store.watch(key, after)
        except RelayError as error:
            # A nursery would wrap it in an exception group.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return entry


async def _cancel_unless(wanted: Callable[[], bool], scope: trio.CancelScope) -> None:
    while wanted():  # noqa: ASYNC110
        await trio.sleep(LOOK_S)
    scope.cancel()
