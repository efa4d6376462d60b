"""Construction of the next view of a cell from the adopted one."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .evidence import Evidence, is_replaced_by
from .lease import Departed, PastView, View
from .ownership import Identity, Member

__all__ = [
    "Weights",
    "first_view",
    "reweighted",
    "with_member",
    "with_stopped",
    "with_weights",
    "without",
]


class Weights(NamedTuple):
    """Weights of instances in a revision of the table; an instance without a row has 1."""

    revision: int = 0
    by_instance: Mapping[str, int] = {}

    def of(self, member: Member) -> int:
        """Return the weight of a member."""
        return self.by_instance.get(member.instance, 1)


def first_view(cell: str, me: Member) -> View:
    """Return the view of a cell that has none yet."""
    return View(cell, 1, (me,))


def with_member(view: View, me: Member, evidence: Evidence, now: float) -> View:
    """Return the next view with a starting or returning process.

    Processes at its address and earlier processes of its instance are replaced by it.
    """
    old = [
        member
        for member in view.members
        if member.identity != me.identity
        and (is_replaced_by(member, me) or member.instance == me.instance)
    ]
    kept = [
        member for member in view.members if member not in old and member.identity != me.identity
    ]
    gone = [member for member in old if is_replaced_by(member, me)]
    removed = [member for member in old if member not in gone]
    return _next(view, (*kept, me), removed, gone, me, evidence, now)


def without(view: View, removed: Iterable[Member], evidence: Evidence, now: float) -> View:
    """Return the next view without the given members, which are suspected or leave."""
    removed = list(removed)
    members = [member for member in view.members if member not in removed]
    return _next(view, members, removed, (), None, evidence, now)


def reweighted(view: View, weights: Weights) -> View:
    """Return the view with the weights of a table.

    Returns the same view if it already has these weights or those of a newer revision, so that an
    instance which still holds an older table does not undo a change.
    """
    members = tuple(member._replace(weight=weights.of(member)) for member in view.members)
    if members == view.members or weights.revision < view.weights_revision:
        return view
    return view._replace(members=members, weights_revision=weights.revision)


def with_weights(view: View, weights: Weights, evidence: Evidence, now: float) -> View:
    """Return the next view, with the same members and the weights of a table."""
    return reweighted(without(view, (), evidence, now), weights)


def with_stopped(
    view: View, instance: str, silent: Iterable[Member], evidence: Evidence, now: float
) -> View:
    """Return the next view after an operator confirmed that an instance has stopped.

    This applies to its departed processes, and to its process in the view if that is one of
    `silent`. A live process of the same instance is a later one that has replaced them.
    """
    gone = [member for member in silent if member.instance == instance]
    members = [member for member in view.members if member not in gone]
    departed = tuple(
        entry._replace(gone=True) if entry.member.instance == instance else entry
        for entry in view.departed
    )
    return _next(view._replace(departed=departed), members, (), gone, None, evidence, now)


def _next(
    view: View,
    members: Iterable[Member],
    removed: Iterable[Member],
    gone: Iterable[Member],
    author: Member | None,
    evidence: Evidence,
    now: float,
) -> View:
    epoch = view.epoch + 1
    members = tuple(sorted(members))
    present = {member.identity for member in members}
    departed = [
        _marked(entry, evidence, author)
        for entry in view.departed
        if entry.member.identity not in present and not evidence.has_stopped(entry, view, now)
    ]
    departed += [Departed(member, epoch) for member in removed]
    departed += [Departed(member, epoch, gone=True) for member in gone]
    ended = {entry.member.identity for entry in departed if entry.gone}
    current = PastView(view.epoch, _identities(view), _identities(view), _weights(view))
    history = [
        past._replace(waiting=_without(evidence.pending_members(past), ended))
        for past in (*view.history, current)
        if not evidence.has_expired(past, now)
    ]
    return View(
        view.cell,
        epoch,
        members,
        tuple(departed),
        tuple(history),
        weights_revision=view.weights_revision,
    )


def _marked(entry: Departed, evidence: Evidence, author: Member | None) -> Departed:
    """Mark a departed member as gone when its process is known to have ended."""
    gone = entry.gone or entry.member.identity in evidence.ended
    if author is not None and is_replaced_by(entry.member, author):
        gone = True
    return entry._replace(gone=gone)


def _identities(view: View) -> tuple[Identity, ...]:
    return tuple(member.identity for member in view.members)


def _weights(view: View) -> tuple[int, ...]:
    weights = tuple(member.weight for member in view.members)
    return () if set(weights) == {1} else weights


def _without(identities: tuple[Identity, ...], ended: set[Identity]) -> tuple[Identity, ...]:
    return tuple(identity for identity in identities if identity not in ended)
