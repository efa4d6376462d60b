"""The view document in the store: compare-and-swap writes, write-backs, and the watch."""

from collections.abc import Callable
from random import Random

import trio

from ..decide.lease import RestoreGuard, View, decode_view, encode_view, view_key
from ..decide.membership import ProposeView
from ..errors import DECODE_ERRORS, RelayError
from ..log import event
from ..store import WATCHERS, Entry, StoreClient, follow
from ..store.backoff import Backoff
from ..store.client import ABSENT

__all__ = ["ViewStore", "log_store_error"]


class ViewStore:
    """Reads and changes the stored view of a cell.

    `held()` returns the adopted view, `learn(view)` adopts one if it is newer, and
    `is_selected(name, count)` returns whether this instance is among the first `count` members for
    a name. Methods that call the store raise `store_unavailable`.
    """

    def __init__(
        self,
        store: StoreClient,
        cell: str,
        held: Callable[[], View | None],
        learn: Callable[[View], bool],
        is_selected: Callable[[str, int], bool],
        rng: Random,
    ) -> None:
        self.store = store
        self.key = view_key(cell)
        self.held = held
        self.learn = learn
        self.is_selected = is_selected
        self.backoff = Backoff(rng)
        self.restore_guard = RestoreGuard()

    async def read(self) -> tuple[Entry | None, View | None]:
        """Return the entry and its view; a malformed view is logged and returned as None."""
        entry = await self.store.get(self.key)
        return entry, self._decode(entry) if entry else None

    async def propose(self, proposal: ProposeView) -> None:
        """Write a view if the stored one is still its base.

        Otherwise adopt the stored view if it is newer, or write back the adopted one.
        """
        entry, stored = await self.read()
        held = self.held()
        if stored is not None and stored.epoch > proposal.base:
            self.learn(stored)
        elif proposal.base > (stored.epoch if stored else 0):
            await self.write_back(entry, stored)
        elif held is None or proposal.view.epoch > held.epoch:
            await self.change(proposal.view, entry, stored)

    async def change(self, view: View, entry: Entry | None, stored: View | None) -> bool:
        """Replace the stored view; return False if that has to wait or another write came first."""
        if stored is not None:
            now = trio.current_time()
            if not self.restore_guard.may_change(stored, entry.version, now):
                return False
        return await self._swap(view, entry)

    async def write_back(self, entry: Entry | None, stored: View | None) -> None:
        """Write the adopted view to a store that has an older one or none."""
        view = self.held()
        event("members.older_view", stored=stored.epoch if stored else 0, held=view.epoch)
        await self._swap(view._replace(restored=True), entry)

    async def watch(self) -> None:
        """While this instance is a watcher, adopt newer stored views and overwrite older ones."""
        await follow(
            self.store,
            self.key,
            wanted=self._watches,
            on_entry=self._compare,
            on_missing=self._restore_missing,
            on_error=log_store_error,
            backoff=self.backoff,
        )

    def _watches(self) -> bool:
        return self.is_selected("watch", WATCHERS)

    async def _swap(self, view: View, entry: Entry | None) -> bool:
        expected = entry.version if entry else ABSENT
        try:
            await self.store.put(self.key, encode_view(view), expected)
        except RelayError as error:
            if error.code == "version_conflict":
                await self._adopt_stored()
                return False
            if error.code == "store_unavailable" and error.ran == "unknown":
                # Only a read shows whether the write took effect.
                return await self._adopt_stored() == view
            raise
        self.learn(view)
        return True

    async def _adopt_stored(self) -> View | None:
        _, stored = await self.read()
        if stored is not None:
            self.learn(stored)
        return stored

    async def _restore_missing(self) -> None:
        entry, _ = await self.read()
        if entry is None and self.held() is not None:
            await self.write_back(None, None)

    async def _compare(self, entry: Entry) -> None:
        stored = self._decode(entry)
        held = self.held()
        if stored is None:
            return
        if held is not None and stored.epoch < held.epoch:
            await self.write_back(entry, stored)
        else:
            self.learn(stored)

    def _decode(self, entry: Entry) -> View | None:
        try:
            return decode_view(entry.value)
        except DECODE_ERRORS as error:
            event("members.bad_view", error=str(error), version=entry.version)
            return None


def log_store_error(error: RelayError) -> None:
    """Log a call that the store did not answer."""
    event("members.store_error", code=error.code, error=error.message)
