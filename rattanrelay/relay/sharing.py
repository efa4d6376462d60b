"""Changes of the store that few instances read and pass on to the others."""

import zlib
from collections.abc import Callable, Iterable
from contextlib import aclosing
from typing import NamedTuple

import msgspec
import trio

from ..errors import RelayError
from ..wire import FollowStore, Handlers, PeerLink, StoreChange
from ..wire.link import Emit

__all__ = ["Change", "Item", "StoreSharing"]

#: A reader without changes sends a message after this time, in seconds.
HEARTBEAT_S = 0.7
#: A reader counts as lost after this time without a message, in seconds: two heartbeats and the
#: time for a list of all searchers on a slow link.
SILENT_S = 1.8
#: Changes that wait for one follower; a list of searchers and some seconds of changes.
FOLLOWER_CHANGES = 64
#: Level of zlib. Entries of searchers are alike: 278 of them take 55 KB, and 9 KB at the fastest.
COMPRESSION = 1


class Item(NamedTuple):
    """A stored value; `value` is None for a removed key."""

    key: str
    value: bytes | None
    revision: int


class Change(NamedTuple):
    """Changed items under a prefix, or all of them, as of a revision of the store."""

    prefix: str
    items: tuple[Item, ...]
    whole: bool
    revision: int


class StoreSharing:
    """What this instance knows of some prefixes of the store, and who follows it.

    `take` is called with each change, whether this instance read it or was sent it.
    """

    def __init__(self, prefixes: Iterable[str], take: Callable[[Change], None]) -> None:
        self.take = take
        self.items: dict[str, dict[str, Item]] = {prefix: {} for prefix in prefixes}
        #: Revision that is known completely, by prefix; None before the first list.
        self.revisions: dict[str, int | None] = dict.fromkeys(self.items)
        #: Whether this instance reads the store itself, and the store answers it.
        self.reading = False
        self._followers: set[trio.MemorySendChannel] = set()
        self._lists: dict[str, StoreChange] = {}

    @property
    def followed(self) -> bool:
        """Whether other instances follow this one."""
        return bool(self._followers)

    def serve(self, handlers: Handlers) -> None:
        """Let other instances follow this one."""
        handlers.on_stream(FollowStore)(self._share)

    def took(self, change: Change) -> None:
        """Take a change that this instance has read, and pass it on."""
        if self._take_newer(change) and self._followers:
            message = _message(change)
            for follower in list(self._followers):
                try:
                    follower.send_nowait(message)
                except (trio.WouldBlock, trio.BrokenResourceError):
                    # It begins anew with a list.
                    self._followers.discard(follower)
                    follower.close()

    def forget(self, prefix: str) -> None:
        """Note that the history after the known revision is gone, so that a list is needed."""
        self.revisions[prefix] = None

    async def follow(self, link: PeerLink, heard: Callable[[], bool]) -> None:
        """Take the changes that another instance reads until `heard` returns False.

        It is called with each message from when everything known here is known there too. Raises
        `RelayError` when the other instance is silent or does not read the store.
        """
        waiting = set(self.items)
        async with link.stream_of(FollowStore()) as stream, aclosing(stream) as messages:
            while True:
                with trio.move_on_after(SILENT_S):
                    message = await anext(messages, None)
                    if message is None:
                        raise RelayError("peer_unavailable", "the reader ended", step="follow")
                    waiting -= self._take_message(message)
                    if not waiting and not heard():
                        return
                    continue
                raise RelayError("peer_unavailable", "the reader is silent", step="follow")

    def _take_message(self, message: StoreChange) -> set[str]:
        """Take a change of a reader; return the prefixes that are up to date with it."""
        if message.prefix not in self.items:
            return set()
        items = tuple(_decode(message.items))
        change = Change(message.prefix, items, message.whole, message.revision)
        return {message.prefix} if self._take_newer(change) else set()

    def _take_newer(self, change: Change) -> bool:
        """Take what is newer than what is known; False for a change that is older as a whole.

        A change from a reader and the response to an own call may overtake each other.
        """
        known = self.revisions[change.prefix]
        if known is not None and change.revision < known:
            return False
        if known is not None and not change.whole:
            newer = tuple(item for item in change.items if item.revision > known)
            change = change._replace(items=newer)
        self._keep(change)
        return True

    def _keep(self, change: Change) -> None:
        items = self.items[change.prefix]
        if change.whole:
            items.clear()
        for item in change.items:
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        self.revisions[change.prefix] = change.revision
        self._lists.pop(change.prefix, None)
        self.take(change)

    async def _share(self, message: FollowStore, emit: Emit) -> None:
        """Send all items, then each change, and a heartbeat while there is none."""
        self._check_reading()
        sender, receiver = trio.open_memory_channel[StoreChange](FOLLOWER_CHANGES)
        for prefix in self.items:
            sender.send_nowait(self._list(prefix))
        self._followers.add(sender)
        try:
            while True:
                change = StoreChange()
                with trio.move_on_after(HEARTBEAT_S):
                    change = await receiver.receive()
                self._check_reading()
                await emit(change)
        except trio.EndOfChannel:
            raise RelayError("store_unavailable", "too many changes wait", step="share") from None
        finally:
            self._followers.discard(sender)
            sender.close()

    def _check_reading(self) -> None:
        if not self.reading or None in self.revisions.values():
            raise RelayError("store_unavailable", "this instance does not read", step="share")

    def _list(self, prefix: str) -> StoreChange:
        known = self._lists.get(prefix)
        if known is None:
            items = tuple(self.items[prefix].values())
            known = _message(Change(prefix, items, True, self.revisions[prefix]))
            self._lists[prefix] = known
        return known


def _message(change: Change) -> StoreChange:
    data = zlib.compress(msgspec.msgpack.encode(change.items), COMPRESSION)
    return StoreChange(change.prefix, change.whole, change.revision, data)


def _decode(data: bytes) -> list[Item]:
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=list[Item])
    except (zlib.error, msgspec.DecodeError) as error:
        raise RelayError("bad_answer", f"unreadable change: {error}", step="follow") from error
