"""The view document of a cell and the quorum lease that permits dispatch under a view."""

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from .ownership import Identity, Member

__all__ = [
    "CLOCK_MARGIN_S",
    "LEASE_S",
    "MAX_SUBREQUEST_S",
    "RESTORE_WAIT_S",
    "Departed",
    "PastView",
    "QuorumLease",
    "RestoreGuard",
    "View",
    "decode_view",
    "encode_view",
    "majority",
    "view_key",
]

#: A lease expires this long after the acknowledged heartbeats were sent.
LEASE_S = 2.0
#: The absolute deadline of a sub-request is at most this far in the future.
MAX_SUBREQUEST_S = 2.0
#: Added to each wait for another process because clocks run at different rates.
CLOCK_MARGIN_S = 0.25


#: Time after a view was written back in which holders of a newer one write back theirs.
RESTORE_WAIT_S = 3.0


class Departed(NamedTuple):
    """A former member that is not yet known to have stopped.

    `removed` is the epoch of its removal. `gone` means that its process has ended, so that only
    sub-requests that it has already sent can still run.
    """

    member: Member
    removed: int
    gone: bool = False


class PastView(NamedTuple):
    """An earlier view under which a lease could still be held.

    `waiting` lists the members that are not yet known to have adopted a later epoch or ended.
    `weights` has the weights of the members in their order and is empty when all are 1.
    """

    epoch: int
    members: tuple[Identity, ...]
    waiting: tuple[Identity, ...]
    weights: tuple[int, ...] = ()

    def shares(self) -> dict[Identity, int]:
        """Return the weight of each member."""
        weights = self.weights or (1,) * len(self.members)
        return dict(zip(self.members, weights, strict=True))


class View(NamedTuple):
    """The view document of a cell; `members` is sorted by instance name.

    `restored` marks a view that was written back to a store with older data. The store may have
    lost an even newer view, so the view is not changed for `RESTORE_WAIT_S`. `weights_revision` is
    the revision of the table that the weights of the members come from, 0 while no table has
    changed them from 1.
    """

    cell: str
    epoch: int
    members: tuple[Member, ...]
    departed: tuple[Departed, ...] = ()
    history: tuple[PastView, ...] = ()
    restored: bool = False
    weights_revision: int = 0

    def shares(self) -> dict[Identity, int]:
        """Return the weight of each member."""
        return {member.identity: member.weight for member in self.members}

    def member(self, identity: Identity | None) -> Member | None:
        """Return the member with this identity, None when it is not in the view."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None


def view_key(cell: str) -> str:
    """Return the store key and document name of a cell's view."""
    return f"view/{cell}"


def encode_view(view: View) -> bytes:
    """Encode a view as JSON: named tuples become arrays in field order.

    Trailing fields that have their default are omitted, so that instances of a version without such
    a field can read the view as long as the field is not used.
    """
    return msgspec.json.encode(_shortened(view))


def _shortened(value: Any) -> Any:
    """Return a value with each named tuple as a list without trailing defaults."""
    if not isinstance(value, tuple):
        return value
    fields = [_shortened(field) for field in value]
    defaults = getattr(value, "_field_defaults", {})
    for name in reversed(getattr(value, "_fields", ())):
        if name not in defaults or getattr(value, name) != defaults[name]:
            break
        fields.pop()
    return fields


def decode_view(data: bytes) -> View:
    """Decode a view; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(data, type=View)


def majority(size: int) -> int:
    """Return how many of `size` members form a majority."""
    return size // 2 + 1


class RestoreGuard:
    """Delays changes of the stored view after it was written back."""

    def __init__(self) -> None:
        self.version = 0
        self.since = -math.inf

    def may_change(self, view: View, version: int, now: float) -> bool:
        """Return whether a view with this store version may be changed now.

        The wait starts when a version is seen for the first time.
        """
        if version != self.version:
            self.version = version
            self.since = now
        return not view.restored or now >= self.since + RESTORE_WAIT_S


class QuorumLease:
    """The lease of one process; times are seconds on its monotonic clock."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.epoch = 0
        self.others: frozenset[Identity] = frozenset()
        #: End of the lease.
        self.expires_at = -math.inf
        self.sequence = 0
        #: When recent heartbeats were sent, by sequence number.
        self.sent_at: dict[int, float] = {}
        #: When the last heartbeat that each member acknowledged was sent.
        self.acked: dict[Identity, float] = {}

    def adopt(self, epoch: int, members: Iterable[Identity], now: float, *, keep: bool) -> None:
        """Start collecting acknowledgements for an epoch.

        With `keep`, the rest of the earlier lease remains valid. All heartbeats of the earlier
        epoch were sent before `now`, so it ends at most `LEASE_S` later.
        """
        identities = frozenset(members)
        member = self.me in identities
        self.epoch = epoch
        self.others = identities - {self.me} if member else frozenset()
        self.sent_at.clear()
        self.acked.clear()
        self.expires_at = min(self.expires_at, now + LEASE_S) if keep and member else -math.inf
        if member and not self.others:
            self.expires_at = math.inf

    def record_heartbeat(self, now: float) -> int:
        """Record that a heartbeat is about to be sent; return its sequence number."""
        self.sequence += 1
        self.sent_at[self.sequence] = now
        for sequence in [key for key, time in self.sent_at.items() if time < now - LEASE_S]:
            del self.sent_at[sequence]
        return self.sequence

    def acknowledge(self, identity: Identity, epoch: int, sequence: int) -> None:
        """Record an acknowledgement; those of other epochs or unknown heartbeats are ignored."""
        sent_at = self.sent_at.get(sequence)
        if epoch != self.epoch or sent_at is None or identity not in self.others:
            return
        self.acked[identity] = max(sent_at, self.acked.get(identity, sent_at))
        needed = majority(len(self.others) + 1) - 1
        times = sorted(self.acked.values(), reverse=True)
        if len(times) >= needed:
            self.expires_at = max(self.expires_at, times[needed - 1] + LEASE_S)

    def holds(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.expires_at

    def remaining(self, now: float) -> float:
        """Return for how many seconds the lease is still valid, at most `LEASE_S`."""
        return max(0.0, min(LEASE_S, self.expires_at - now))
