"""The view document of a cell and the quorum lease that grants dispatch under a view."""

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
    "RestoreWait",
    "View",
    "decode_view",
    "encode_view",
    "majority",
    "view_key",
]

#: A lease ends this long after the acknowledged heartbeats were sent.
LEASE_S = 2.0
#: A sub-request carries an absolute deadline at most this far ahead.
MAX_SUBREQUEST_S = 2.0
#: Added to each wait for another process, for clocks that run at different rates.
CLOCK_MARGIN_S = 0.25


#: In this time after a view was written back, holders of a newer one write that back.
RESTORE_WAIT_S = 3.0


class Departed(NamedTuple):
    """A former member that is not yet known to have stopped.

    `removed` is the epoch of its removal. `gone` says that its process has ended, so only
    sub-requests that it has already sent can still run.
    """

    member: Member
    removed: int
    gone: bool = False


class PastView(NamedTuple):
    """An earlier view under which a lease could still be held.

    `waiting` lists the members that are not yet known to have adopted a later epoch or ended.
    `weights` has the weights of the members in their order; it is empty when all are 1.
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
    lost a still newer view then, so a change of it waits for `RESTORE_WAIT_S`. `weights_revision`
    is the revision of the table from which the weights of the members come, 0 when all are 1 from
    the start.
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
        """Return the member that is this process, None when it is not in the view."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None


def view_key(cell: str) -> str:
    """Return the store key and document name of a cell's view."""
    return f"view/{cell}"


def encode_view(view: View) -> bytes:
    """Encode a view as JSON: named tuples become arrays in field order.

    Fields at the end that have their default are left out, so that instances of a version without
    such a field read the view while nobody uses it.
    """
    return msgspec.json.encode(_shortened(view))


def _shortened(value: Any) -> Any:
    """Return a value with each named tuple as a list without defaults at its end."""
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


class RestoreWait:
    """Says when the stored view may be changed, after it was written back."""

    def __init__(self) -> None:
        self.version = 0
        self.since = -math.inf

    def over(self, view: View, version: int, now: float) -> bool:
        """Say whether a view with this store version may be changed now."""
        if version != self.version:
            self.version = version
            self.since = now
        return not view.restored or now >= self.since + RESTORE_WAIT_S


class QuorumLease:
    """The lease of one process; times in seconds on its own monotonic clock."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.epoch = 0
        self.others: frozenset[Identity] = frozenset()
        #: The lease holds before this time.
        self.until = -math.inf
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.acked: dict[Identity, float] = {}

    def adopt(self, epoch: int, members: Iterable[Identity], now: float, *, keep: bool) -> None:
        """Start to collect acknowledgements for an epoch.

        With `keep`, what remains of the earlier lease still counts. All heartbeats of the earlier
        epoch were sent before `now`, so it ends at most `LEASE_S` later.
        """
        identities = frozenset(members)
        member = self.me in identities
        self.epoch = epoch
        self.others = identities - {self.me} if member else frozenset()
        self.sent.clear()
        self.acked.clear()
        self.until = min(self.until, now + LEASE_S) if keep and member else -math.inf
        if member and not self.others:
            self.until = math.inf

    def beat(self, now: float) -> int:
        """Record that a heartbeat is about to be sent; return its sequence number."""
        self.sequence += 1
        self.sent[self.sequence] = now
        for sequence in [key for key, time in self.sent.items() if time < now - LEASE_S]:
            del self.sent[sequence]
        return self.sequence

    def acknowledge(self, identity: Identity, epoch: int, sequence: int) -> None:
        """Take an acknowledgement; those of other epochs or unknown heartbeats do not count."""
        sent = self.sent.get(sequence)
        if epoch != self.epoch or sent is None or identity not in self.others:
            return
        self.acked[identity] = max(sent, self.acked.get(identity, sent))
        needed = majority(len(self.others) + 1) - 1
        times = sorted(self.acked.values(), reverse=True)
        if len(times) >= needed:
            self.until = max(self.until, times[needed - 1] + LEASE_S)

    def holds(self, now: float) -> bool:
        """Say whether the lease holds."""
        return now < self.until

    def left(self, now: float) -> float:
        """Return for how many seconds the lease still holds, at most `LEASE_S`."""
        return max(0.0, min(LEASE_S, self.until - now))
