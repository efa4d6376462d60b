"""Watches that end when this instance is no longer one of those that should watch."""

from collections.abc import Callable

import trio

from ..errors import RelayError
from .client import Entry, StoreClient

__all__ = ["watch_while"]

#: Time between looks whether the watch is still wanted.
LOOK_S = 0.5


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
