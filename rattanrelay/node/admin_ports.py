"""What the administration API needs of the other tasks."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypedDict

from ..wire import Document
from .ports import Configuration, Latest, MembersPort

__all__ = ["DocumentsPort", "MembershipPort", "Status", "StatusSource"]


class Status(TypedDict, total=False):
    """Live state as this instance knows it; only `searchers` may name rows of teams."""

    ready: bool
    #: Why callers should not use this instance, empty when it is ready.
    reason: str
    #: Seconds for which the quorum lease still holds, 0 when it does not.
    lease_left_s: float
    #: Conditions that hold now, such as `store_down` or `no_quorum`.
    degraded: list[str]
    #: Last known revision of each document by instance and document name.
    revisions: dict[str, dict[str, int]]
    #: Searchers that this instance owns, each with `searcher`, `server` and its state.
    searchers: list[dict[str, Any]]
    #: Fingerprints of blocked requests, each with `fingerprint` and `seconds_left`.
    blocked: list[dict[str, Any]]
    #: Calls to the store by kind since the start.
    store_calls: dict[str, int]
    #: Former members that are not known to have stopped.
    departed: list[str]
    #: State of the planned stop, the seconds in it, and the ended phases.
    drain: dict[str, Any]


#: Returns the live state now.
StatusSource = Callable[[], Status | Awaitable[Status]]


class DocumentsPort(Protocol):
    """The documents task: what is in force here, and edits in the store."""

    configuration: Latest[Configuration]

    async def edit(self, name: str, change: Callable[[bytes | None], bytes]) -> Document:
        """Apply `change` in the store; it is called again with the newer value after a lost swap.

        Raises what `change` raises, or `store_unavailable`, `version_conflict`, `outcome_unknown`.
        """


class MembershipPort(MembersPort, Protocol):
    """The members task, with the statement that an instance has stopped."""

    async def confirm_stopped(self, instance: str) -> object:
        """Record that all processes of an instance have stopped."""
