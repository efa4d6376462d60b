"""Data of the emulated store, with a history for stale reads and rollbacks."""

from collections import deque
from typing import NamedTuple

__all__ = ["ABSENT", "Change", "StoreData", "Stored"]

#: Version of a key that does not exist.
ABSENT = 0

#: Maximum size of the keys and former values in the history; the oldest are evicted first.
MAX_HISTORY_BYTES = 64 * 1024 * 1024


class Stored(NamedTuple):
    """A value and its version."""

    value: bytes
    version: int


class Change(NamedTuple):
    """A write that took effect: what it replaced, and when (Unix seconds)."""

    time: float
    key: str
    version: int
    before: Stored | None


class StoreData:
    """Values by key; one counter gives all versions, so a re-created key gets a new one."""

    def __init__(self) -> None:
        self.values: dict[str, Stored] = {}
        self.version = ABSENT
        self.history: deque[Change] = deque()
        self.history_bytes = 0

    def get(self, key: str) -> Stored | None:
        """Return the value of a key."""
        return self.values.get(key)

    def get_as_of(self, key: str, time: float) -> Stored | None:
        """Return the value of a key at a time, or the oldest one that the history holds."""
        found = self.values.get(key)
        for change in reversed(self.history):
            if change.time <= time:
                break
            if change.key == key:
                found = change.before
        return found

    def put(self, key: str, value: bytes, expected: int | None, now: float) -> Stored | None:
        """Write a value; returns None if `expected` is a version other than the current one."""
        if not self._matches(key, expected):
            return None
        self.version += 1
        self._record_change(key, now)
        self.values[key] = Stored(value, self.version)
        return self.values[key]

    def delete(self, key: str, expected: int | None, now: float) -> bool:
        """Remove a key; returns False if `expected` is a version other than the current one."""
        if not self._matches(key, expected):
            return False
        if key in self.values:
            self.version += 1
            self._record_change(key, now)
            del self.values[key]
        return True

    def roll_back(self, version: int, *, reuse_versions: bool) -> set[str]:
        """Undo all changes after a version and return the keys that changed.

        With `reuse_versions`, later writes get the versions of the undone ones again, as after a
        backup is restored.
        """
        changed = set()
        while self.history and self.history[-1].version > version:
            change = self.history.pop()
            self.history_bytes -= _size(change)
            changed.add(change.key)
            self._restore(change)
        if reuse_versions and changed:
            self.version = version
        return changed

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, sorted."""
        return sorted(key for key in self.values if key.startswith(prefix))

    def _matches(self, key: str, expected: int | None) -> bool:
        if expected is None:
            return True
        stored = self.values.get(key)
        return expected == (stored.version if stored else ABSENT)

    def _record_change(self, key: str, now: float) -> None:
        change = Change(now, key, self.version, self.values.get(key))
        self.history.append(change)
        self.history_bytes += _size(change)
        while self.history_bytes > MAX_HISTORY_BYTES:
            self.history_bytes -= _size(self.history.popleft())

    def _restore(self, change: Change) -> None:
        if change.before is None:
            self.values.pop(change.key, None)
        else:
            self.values[change.key] = change.before


def _size(change: Change) -> int:
    return len(change.key) + (len(change.before.value) if change.before else 0)
