"""What the tasks of one daemon offer to each other."""

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
    """The newest value of something that one task publishes and others read or wait for."""

    def __init__(self, value: T) -> None:
        self.value = value
        self.version = 0
        self._changed = trio.Event()

    def set(self, value: T) -> None:
        """Publish a value and wake all who wait."""
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
    """Membership and ownership as the members task publishes them."""

    instance: str

    @property
    def epoch(self) -> int:
        """Epoch of the adopted view, 0 before the first."""

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the adopted view."""

    def owner(self, name: str) -> Member | None:
        """Return the member that owns a backend server or claim bucket, None without a view."""

    def may_dispatch(self, server: str) -> bool:
        """Say whether this instance may send work to a backend server now.

        True only while it owns the server, its takeover has ended and its quorum lease holds.
        """

    def handover_pending(self, server: str) -> bool:
        """Say whether a backend server is about to be taken over from instances that answer."""

    def lease_left(self) -> float:
        """Return for how many seconds the quorum lease still holds, 0.0 when it does not."""


class PeersPort(Protocol):
    """Calls to other instances by name."""

    async def call(self, instance: str, message: tuple, timeout: float) -> tuple:
        """Send a message and return its reply; raises `peer_unavailable` or the peer's error."""

    def stream(self, instance: str, message: tuple) -> AbstractAsyncContextManager:
        """Send a message; the block receives an async iterator over the answer items."""

    async def cast(self, instance: str, message: tuple) -> None:
        """Send a message that has no reply; errors are dropped."""


class DispatchPort(Protocol):
    """The owner side: sends work to the backend servers that this instance owns."""

    async def run(self, query: SubQuery, emit: Callable[[ShardResults], Awaitable[None]]) -> None:
        """Run the targets of a sub-query and emit each shard result as soon as it is there."""

    async def cancel(self, message: Cancel) -> None:
        """Give up one target of a running sub-query; it emits no result for it."""

    async def act(self, order: RunAction) -> ActionResult:
        """Run a claimed non-idempotent request once; the result says `not_run` only if true."""

    async def release(self, server: str) -> None:
        """Take no new work for a server; return when its work and connections have ended."""


class ClaimsPort(Protocol):
    """Coordinator of non-idempotent requests."""

    async def submit(self, action) -> ActionResult:
        """Run an `Action` at most once, here or at the coordinator of its key."""
