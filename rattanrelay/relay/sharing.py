"""Sharing of the store's changes: a few readers watch the store and forward to followers."""

import math
import zlib
from collections.abc import Callable, Iterable
from contextlib import aclosing
from typing import NamedTuple

import msgspec
import trio

from ..decide.freshness import HEARTBEAT_S, freshness_times
from ..errors import DECODE_ERRORS, RelayError
from ..wire import FollowStore, Handlers, PeerLink, StoreChange
from ..wire.link import Emit

__all__ = ["Change", "Item", "StoreSharing"]

#: Time in seconds for which a searcher that leaves still serves, until the feed states it.
DRAIN_S = 3.0

#: Time in seconds without a message after which a reader counts as lost: two heartbeats and the
#: time for a list of all searchers on a slow link.
SILENCE_TIMEOUT_S = 1.8
#: Maximum number of queued changes for a follower: the lists and some seconds of changes.
FOLLOWER_CHANGES = 64
#: Level of zlib. Entries of searchers are similar: 278 of them take 55 KB, and 9 KB at level 1.
COMPRESSION = 1
#: Maximum size of an uncompressed change in bytes: entries of 100,000 searchers.
MAX_CHANGE_BYTES = 32 * 1024 * 1024


class Item(NamedTuple):
    """A stored value; `value` is None for a removed key."""

    key: str
    value: bytes | None
    revision: int


class Change(NamedTuple):
    """Changed items under a prefix, or all items if `whole`, as of a revision of the store."""

    prefix: str
    items: tuple[Item, ...]
    whole: bool
    revision: int
    #: Longest time in seconds for which it may have been in the store before it was read.
    age: float = 0.0
    #: The history to which the revision belongs; revisions start again in a later one.
    era: int = 0
    #: Whether it is the first one of its history, and the former one was known here.
    restored: bool = False


class StoreSharing:
    """Items of some prefixes of the store, and the followers of this instance.

    `on_change` is called with each change, whether this instance read or received it.
    """

    def __init__(
        self,
        prefixes: Iterable[str],
        on_change: Callable[[Change], None],
        untimed: Iterable[str] = (),
    ) -> None:
        self.on_change = on_change
        #: Prefixes whose changes may come late, so that their age does not matter.
        self.untimed = frozenset(untimed)
        self.items: dict[str, dict[str, Item]] = {prefix: {} for prefix in prefixes}
        #: Revision up to which all changes are known, by prefix; None if a list is needed.
        self.revisions: dict[str, int | None] = dict.fromkeys(self.items)
        #: The history of the store to which each revision belongs, by prefix.
        self.eras = dict.fromkeys(self.items, 0)
        self.times = freshness_times(DRAIN_S)
        #: Time until which this instance passes its state on, by prefix; in the past if the last
        #: call failed, or if this instance does not read the store.
        self.current_until = dict.fromkeys(self.items, -math.inf)
        #: Time at which all items under a prefix were known to be current, by prefix.
        self.known_at = dict.fromkeys(self.items, -math.inf)
        self._followers: set[trio.MemorySendChannel] = set()
        self._snapshots: dict[str, StoreChange] = {}

    @property
    def followed(self) -> bool:
        """Whether other instances follow this one."""
        return bool(self._followers)

    @property
    def current(self) -> bool:
        """Whether this instance reads the store and knows all of its recent changes."""
        old = trio.current_time() > min(self.current_until.values())
        return not old and None not in self.revisions.values()

    def serve(self, handlers: Handlers) -> None:
        """Register the handler for followers."""
        handlers.on_stream(FollowStore)(self._serve_follower)

    def publish(self, change: Change) -> None:
        """Apply a change that this instance has read, and queue it for the followers."""
        if self._apply_newer(change) and self._followers:
            message = _message(change)
            for follower in list(self._followers):
                try:
                    follower.send_nowait(message)
                except (trio.WouldBlock, trio.BrokenResourceError):
                    # The follower starts again with a list.
                    self._drop_follower(follower)

    def _drop_follower(self, follower: trio.MemorySendChannel) -> None:
        self._followers.discard(follower)
        follower.close()

    def record_known(self, prefix: str) -> None:
        """Record that this instance has read all changes under a prefix."""
        now = self.known_at[prefix] = trio.current_time()
        untimed = prefix in self.untimed
        self.current_until[prefix] = math.inf if untimed else now + self.times.passed_on

    def unknown_for(self, prefix: str) -> float:
        """Return the seconds in which changes may have been missed, 0 before the first list."""
        known_at = self.known_at[prefix]
        return 0.0 if known_at == -math.inf else trio.current_time() - known_at

    def record_failure(self, prefix: str) -> None:
        """Record that calls failed, so that changes may be unknown, and end all followers."""
        self.current_until[prefix] = -math.inf
        for follower in list(self._followers):
            self._drop_follower(follower)

    def stop_reading(self) -> None:
        """Record that this instance no longer reads the store itself."""
        self.current_until = dict.fromkeys(self.items, -math.inf)

    def invalidate(self, prefix: str) -> None:
        """Require a list, because the store has discarded the history after the known revision."""
        self.revisions[prefix] = None

    async def follow(self, link: PeerLink, keep_following: Callable[[], bool]) -> None:
        """Apply the changes that another instance reads until `keep_following` returns False.

        That is called after each message, once the reader has caught up with what is known here.
        Raises `RelayError` if the reader is silent or does not read the store.
        """
        pending = set(self.items)
        async with link.open_stream(FollowStore()) as stream, aclosing(stream) as messages:
            while True:
                with trio.move_on_at(self._reader_lost_at(bool(pending))):
                    message = await anext(messages, None)
                    if message is None:
                        raise RelayError(
                            "peer_unavailable", "the reader closed the stream", step="follow"
                        )
                    # The first change has all that was missed since the last reader's last message.
                    first = message.prefix in pending
                    age = self.unknown_for(message.prefix) if first else message.age_us / 1e6
                    pending -= self._apply_message(message, age)
                    if not pending:
                        known_at = trio.current_time() - message.unknown_us / 1e6
                        self.known_at = dict.fromkeys(self.items, known_at)
                    if not pending and not keep_following():
                        return
                    continue
                raise RelayError(
                    "peer_unavailable", "the reader sent no message in time", step="follow"
                )

    def _reader_lost_at(self, starting: bool) -> float:
        """Return the time at which a reader without a message counts as lost."""
        silent = trio.current_time() + SILENCE_TIMEOUT_S
        if starting:
            return silent
        return min(silent, min(self.known_at.values()) + self.times.followed)

    def _apply_message(self, message: StoreChange, age: float = 0.0) -> set[str]:
        """Apply a change from a reader; return its prefix unless it is older than what is known."""
        if message.prefix not in self.items:
            return set()
        items = tuple(_decode(message.items))
        change = Change(message.prefix, items, message.whole, message.revision, age, message.era)
        return {message.prefix} if self._apply_newer(change) else set()

    def _apply_newer(self, change: Change) -> bool:
        """Apply the newer items of a change; return False if all of it is older than what is known.

        A store that returns from a copy begins a new history, in which revisions are given out
        again. A change from a reader and a response of the store may overtake each other.
        """
        known, era = self.revisions[change.prefix], self.eras[change.prefix]
        if change.era != era:
            if change.era < era or not change.whole:
                return False
            self.eras[change.prefix] = change.era
            self._apply(change._replace(restored=era > 0))
            return True
        if known is not None and change.revision < known:
            return False
        if known is not None and not change.whole:
            newer = tuple(item for item in change.items if item.revision > known)
            change = change._replace(items=newer)
        self._apply(change)
        return True

    def _apply(self, change: Change) -> None:
        items = self.items[change.prefix]
        if change.whole:
            items.clear()
        for item in change.items:
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        self.revisions[change.prefix] = change.revision
        self._snapshots.pop(change.prefix, None)
        self.on_change(change)

    async def _serve_follower(self, message: FollowStore, emit: Emit) -> None:
        """Send all items, then each change, and heartbeats while there are no changes."""
        self._check_reading()
        sender, receiver = trio.open_memory_channel[StoreChange](FOLLOWER_CHANGES)
        for prefix in self.items:
            sender.send_nowait(self._snapshot(prefix))
        self._followers.add(sender)
        try:
            while True:
                change = StoreChange()
                with trio.move_on_after(HEARTBEAT_S):
                    change = await receiver.receive()
                self._check_reading()
                timed = self.items.keys() - self.untimed
                unknown = max(self.unknown_for(prefix) for prefix in timed)
                await emit(change._replace(unknown_us=int(unknown * 1e6)))
        except trio.EndOfChannel:
            self._check_reading()
            raise RelayError("store_unavailable", "too many queued changes", step="share") from None
        finally:
            self._followers.discard(sender)
            sender.close()

    def _check_reading(self) -> None:
        if not self.current:
            raise RelayError(
                "store_unavailable", "this instance does not read the store", step="share"
            )

    def _snapshot(self, prefix: str) -> StoreChange:
        snapshot = self._snapshots.get(prefix)
        if snapshot is None:
            items = tuple(self.items[prefix].values())
            change = Change(prefix, items, True, self.revisions[prefix], era=self.eras[prefix])
            snapshot = _message(change)
            self._snapshots[prefix] = snapshot
        return snapshot


def _message(change: Change) -> StoreChange:
    data = zlib.compress(msgspec.msgpack.encode(change.items), COMPRESSION)
    age = int(change.age * 1e6)
    return StoreChange(change.prefix, change.whole, change.revision, data, age, change.era)


def _decode(data: bytes) -> list[Item]:
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, MAX_CHANGE_BYTES)
        if not inflater.eof:
            text = f"incomplete, or longer than {MAX_CHANGE_BYTES} bytes"
            raise RelayError("bad_answer", f"malformed change: {text}", step="follow")
        return msgspec.msgpack.decode(content, type=list[Item])
    except (zlib.error, *DECODE_ERRORS) as error:
        raise RelayError("bad_answer", f"malformed change: {error}", step="follow") from error
