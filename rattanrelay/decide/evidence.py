"""Evidence that other processes have stopped and that leases under earlier views have ended."""

from .lease import (
    CLOCK_MARGIN_S,
    LEASE_S,
    MAX_SUBREQUEST_S,
    Departed,
    PastView,
    View,
    majority,
)
from .ownership import Identity, Member

__all__ = ["Evidence", "is_replaced_by"]

#: Time after the end of a process in which its sub-requests may still run.
ENDED_WAIT_S = MAX_SUBREQUEST_S + CLOCK_MARGIN_S
#: Time after a majority has left a view in which its leases and their sub-requests may still run.
RETIRED_WAIT_S = LEASE_S + MAX_SUBREQUEST_S + CLOCK_MARGIN_S


def is_replaced_by(member: Member, other: Member) -> bool:
    """Return whether `other` is another process at the address of `member`, which has ended."""
    return member.address == other.address and member.identity != other.identity


class Evidence:
    """Evidence from heartbeats and views; times are seconds on the clock of this process."""

    def __init__(self) -> None:
        #: Highest epoch that a process is known to have adopted.
        self.adopted_epochs: dict[Identity, int] = {}
        #: Departed processes without work: the highest epoch for which each acknowledged that.
        self.idle_epochs: dict[Identity, int] = {}
        #: Processes known to have ended or to have adopted their own removal: the epoch of the
        #: removal, because a process may return and be removed again, and when it became known.
        self.ended: dict[Identity, tuple[int, float]] = {}
        #: When it became known that a majority of an earlier view has left it, by epoch.
        self.retired_at: dict[int, float] = {}

    def record_epoch(self, identity: Identity, epoch: int, view: View | None, now: float) -> None:
        """Record the epoch that a process has adopted according to its message."""
        if epoch > self.adopted_epochs.get(identity, -1):
            self.adopted_epochs[identity] = epoch
            if view is not None:
                self.update(view, now)

    def record_idle(self, identity: Identity, epoch: int) -> None:
        """Record that a process outside the view of this epoch has no work left.

        The acknowledgement of a member is no evidence for this: it omits work at the servers that
        the member owns.
        """
        self.idle_epochs[identity] = max(epoch, self.idle_epochs.get(identity, epoch))

    def update(self, view: View, now: float) -> None:
        """Derive what the adopted view and the known epochs imply; discard outdated evidence."""
        departed = {entry.member.identity: entry for entry in view.departed}
        self.ended = {
            key: known
            for key, known in self.ended.items()
            if key in departed and known[0] == departed[key].removed
        }
        for identity, entry in departed.items():
            left = self.adopted_epochs.get(identity, -1) >= entry.removed
            if (
                entry.gone
                or left
                or any(is_replaced_by(entry.member, other) for other in view.members)
            ):
                self.ended.setdefault(identity, (entry.removed, now))
        epochs = {past.epoch for past in view.history}
        self.retired_at = {key: time for key, time in self.retired_at.items() if key in epochs}
        for past in view.history:
            pending = self.pending_members(past)
            if len(past.members) - len(pending) >= majority(len(past.members)):
                self.retired_at.setdefault(past.epoch, now)
        self._forget(view)

    def pending_members(self, past: PastView) -> tuple[Identity, ...]:
        """Return the members of an earlier view that may still acknowledge its epoch."""
        return tuple(
            identity
            for identity in past.waiting
            if identity not in self.ended and self.adopted_epochs.get(identity, -1) <= past.epoch
        )

    def has_stopped(self, entry: Departed, view: View, now: float) -> bool:
        """Return whether a departed member certainly has no more work at any backend server."""
        if self.is_idle(entry):
            return True
        identity = entry.member.identity
        ended = self.ended.get(identity)
        if ended is not None and now >= ended[1] + ENDED_WAIT_S:
            return True
        return all(self.has_expired(past, now) for past in view.history if identity in past.members)

    def is_idle(self, entry: Departed) -> bool:
        """Return whether a departed member has acknowledged after its removal that it is idle."""
        return self.idle_epochs.get(entry.member.identity, -1) >= entry.removed

    def has_expired(self, past: PastView, now: float) -> bool:
        """Return whether all leases under an earlier view and the work under them have ended."""
        retired_at = self.retired_at.get(past.epoch)
        return retired_at is not None and now >= retired_at + RETIRED_WAIT_S

    def _forget(self, view: View) -> None:
        known = {member.identity for member in view.members}
        known |= {entry.member.identity for entry in view.departed}
        known |= {identity for past in view.history for identity in past.waiting}
        self.adopted_epochs = {
            key: epoch for key, epoch in self.adopted_epochs.items() if key in known
        }
        self.idle_epochs = {key: epoch for key, epoch in self.idle_epochs.items() if key in known}
