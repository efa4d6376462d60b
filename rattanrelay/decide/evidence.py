"""What a process knows of the end of other processes and of earlier views."""

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

__all__ = ["Evidence", "replaced"]

#: After this time the sub-requests of a process that has ended have ended as well.
ENDED_WAIT_S = MAX_SUBREQUEST_S + CLOCK_MARGIN_S
#: After this time the leases under a retired view and their sub-requests have ended.
RETIRED_WAIT_S = LEASE_S + MAX_SUBREQUEST_S + CLOCK_MARGIN_S


def replaced(member: Member, by: Member) -> bool:
    """Say whether `by` is a later process at the address of `member`, so `member` has ended."""
    return member.address == by.address and member.identity != by.identity


class Evidence:
    """Collects what heartbeats and views say; times in seconds on the own clock."""

    def __init__(self) -> None:
        #: Highest epoch that a process is known to have adopted.
        self.adopted: dict[Identity, int] = {}
        #: Departed processes without work, each with the highest epoch at which it said so.
        self.idle: dict[Identity, int] = {}
        #: Processes known to have ended or to have adopted their own removal: the epoch of that
        #: removal, since a process may return and be removed again, and when it became known.
        self.ended: dict[Identity, tuple[int, float]] = {}
        #: When a majority of an earlier view became known to have left it.
        self.retired: dict[int, float] = {}

    def heard(self, identity: Identity, epoch: int, view: View | None, now: float) -> None:
        """Take the epoch that a process says it has adopted."""
        if epoch > self.adopted.get(identity, -1):
            self.adopted[identity] = epoch
            if view is not None:
                self.review(view, now)

    def heard_idle(self, identity: Identity, epoch: int) -> None:
        """Take that a process that is no member of the view of this epoch has no work left.

        A member's acknowledgement does not say this: it leaves out work at servers of its own.
        """
        self.idle[identity] = max(epoch, self.idle.get(identity, epoch))

    def review(self, view: View, now: float) -> None:
        """Derive what the adopted view and the known epochs imply; drop what is irrelevant."""
        departed = {entry.member.identity: entry for entry in view.departed}
        self.ended = {
            key: known
            for key, known in self.ended.items()
            if key in departed and known[0] == departed[key].removed
        }
        for identity, entry in departed.items():
            left = self.adopted.get(identity, -1) >= entry.removed
            if entry.gone or left or any(replaced(entry.member, by) for by in view.members):
                self.ended.setdefault(identity, (entry.removed, now))
        epochs = {past.epoch for past in view.history}
        self.retired = {key: time for key, time in self.retired.items() if key in epochs}
        for past in view.history:
            waiting = self.waiting(past)
            if len(past.members) - len(waiting) >= majority(len(past.members)):
                self.retired.setdefault(past.epoch, now)
        self._forget(view)

    def waiting(self, past: PastView) -> tuple[Identity, ...]:
        """Return the members of an earlier view that may still acknowledge its epoch."""
        return tuple(
            identity
            for identity in past.waiting
            if identity not in self.ended and self.adopted.get(identity, -1) <= past.epoch
        )

    def quiet(self, entry: Departed, view: View, now: float) -> bool:
        """Say whether a departed member can have no more work at any backend server."""
        if self.is_idle(entry):
            return True
        identity = entry.member.identity
        ended = self.ended.get(identity)
        if ended is not None and now >= ended[1] + ENDED_WAIT_S:
            return True
        return all(self.over(past, now) for past in view.history if identity in past.members)

    def is_idle(self, entry: Departed) -> bool:
        """Say whether a departed member has said after its removal that it has no work left."""
        return self.idle.get(entry.member.identity, -1) >= entry.removed

    def over(self, past: PastView, now: float) -> bool:
        """Say whether no lease under an earlier view and no work under such a lease is left."""
        retired = self.retired.get(past.epoch)
        return retired is not None and now >= retired + RETIRED_WAIT_S

    def _forget(self, view: View) -> None:
        known = {member.identity for member in view.members}
        known |= {entry.member.identity for entry in view.departed}
        known |= {identity for past in view.history for identity in past.waiting}
        self.adopted = {key: epoch for key, epoch in self.adopted.items() if key in known}
        self.idle = {key: epoch for key, epoch in self.idle.items() if key in known}
