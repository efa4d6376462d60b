"""Interfaces of the other tasks that the administration API uses."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypedDict

from ..wire import Document
from .ports import Configuration, Latest, MembersPort

__all__ = ["DocumentsPort", "MembershipPort", "Status", "StatusSource"]


class Status(TypedDict, total=False):
    """Live state as known to this instance.

    Only `searchers` may name rows of teams; the administration API filters it by team.
    """

    ready: bool
    #: Why callers should not use this instance, empty when it is ready.
    reason: str
    #: Seconds until the quorum lease expires, 0 when it has expired.
    lease_left_s: float
    #: Degraded conditions at present, such as `store_down` or `no_quorum`.
    degraded: list[str]
    #: Last known revision of each document by instance and document name.
    revisions: dict[str, dict[str, int]]
    #: Searchers of the servers that this instance owns, each with `searcher`, `server` and state.
    searchers: list[dict[str, Any]]
    #: Fingerprints of blocked requests, each with `fingerprint` and `seconds_left`.
    blocked: list[dict[str, Any]]
    #: Number of calls to the store by kind, since the start of the process.
    store_calls: dict[str, int]
    #: Former members that are not known to have stopped.
    departed: list[str]
    #: State of the planned stop, the time in this state in seconds, and the phases that ended.
    drain: dict[str, Any]


#: Function that returns the current status, or an awaitable of it.
StatusSource = Callable[[], Status | Awaitable[Status]]


class DocumentsPort(Protocol):
    """The documents task: the configuration in force on this instance, and edits in the store."""

    configuration: Latest[Configuration]

    async def edit(self, name: str, change: Callable[[bytes | None], bytes]) -> Document:
        """Replace a document in the store by the result of `change`, and return the new document.

        `change` gets the stored value, or None if there is none. It is called again with the newer
        value if another write came first.

        Raises what `change` raises, or `store_unavailable`, `version_conflict`, `outcome_unknown`.
        """


class MembershipPort(MembersPort, Protocol):
    """The members task, extended by confirming that an instance has stopped."""

    async def confirm_stopped(self, instance: str) -> object:
        """Record that all processes of an instance have stopped."""
