"""Interfaces between the tasks of one daemon."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Generic, NamedTuple, Protocol, TypeVar

import trio

from ..decide.ownership import Member
from ..table import Catalog, Table
from ..wire import ActionResult, Cancel, RunAction, ShardResults, SubQuery

__all__ = [
    "ClaimsPort",
    "Configuration",
    "DispatchPort",
    "Latest",
    "Member",
    "MembersPort",
    "PeersPort",
]

T = TypeVar("T")


class Latest(Generic[T]):
    """A value that one task publishes and other tasks read or wait for."""

    def __init__(self, value: T) -> None:
        self.value = value
        self.version = 0
        self._changed = trio.Event()

    def set(self, value: T) -> None:
        """Publish a value and wake all waiting tasks."""
        self.value = value
        self.version += 1
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_after(self, version: int) -> T:
        """Return the value once its version is higher than `version`."""
        while self.version <= version:
            await self._changed.wait()
        return self.value


class Configuration(NamedTuple):
    """The table in force (None before the first one) and the catalog of each service."""

    table: Table | None = None
    catalogs: dict[str, Catalog] = {}


class MembersPort(Protocol):
    """Membership and ownership, as published by the members task."""

    instance: str

    @property
    def epoch(self) -> int:
        """Epoch of the adopted view, 0 before the first one."""

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the adopted view."""

    def owner(self, name: str) -> Member | None:
        """Return the member that owns a backend server or claim bucket, None without a view."""

    def may_dispatch(self, server: str) -> bool:
        """Return whether this instance may send work to a backend server now.

        It may only while it owns the server, has finished the takeover and holds a quorum lease.
        """

    def takeover_pending(self, server: str) -> bool:
        """Return whether a takeover of a server from instances that still answer is pending."""

    def lease_left(self) -> float:
        """Return the remaining time of the quorum lease in seconds, 0.0 if it is not held."""


class PeersPort(Protocol):
    """Calls to other instances by name."""

    async def call(self, instance: str, message: tuple, timeout: float) -> tuple:
        """Send a message and return its reply; raises `peer_unavailable` or the peer's error."""

    def stream(self, instance: str, message: tuple) -> AbstractAsyncContextManager:
        """Send a message; the context manager yields an async iterator over the answer."""

    async def notify(self, instance: str, message: tuple) -> None:
        """Send a message that has no reply; errors are ignored."""


class DispatchPort(Protocol):
    """The owner side: sends work to the backend servers that this instance owns."""

    async def run(self, query: SubQuery, emit: Callable[[ShardResults], Awaitable[None]]) -> None:
        """Run the targets of a sub-query and emit each shard result as soon as it arrives."""

    async def cancel(self, message: Cancel) -> None:
        """Cancel one target of a running sub-query; no result is emitted for it."""

    async def run_action(self, message: RunAction) -> ActionResult:
        """Run a claimed non-idempotent request once.

        The outcome is `not_run` only if the request certainly did not run.
        """

    async def release(self, server: str) -> None:
        """Stop accepting work for a server; return when its work and connections have ended."""


class ClaimsPort(Protocol):
    """Coordinator of non-idempotent requests."""

    async def submit(self, action) -> ActionResult:
        """Run an `Action` at most once, here or at the coordinator of its key."""
