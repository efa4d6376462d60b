"""Backend servers that a process may dispatch to: held since earlier views or taken over."""

from typing import NamedTuple

from .evidence import Evidence
from .lease import View
from .ownership import Identity, weighted_score

__all__ = ["Takeover"]

#: Most completed takeovers that are remembered.
MAX_HOLDINGS = 4


class Rival(NamedTuple):
    """Another member of a view with its weight, and the weight of this process in that view."""

    instance: str
    weight: int
    own_weight: int


class Holding(NamedTuple):
    """Servers held since a completed takeover.

    These are the servers for which the instance has a higher score than all `rivals`, the other
    members of all views since then. `excluded` are servers where a former owner still had work.
    """

    rivals: frozenset[Rival]
    excluded: frozenset[str]


class Takeover:
    """State of the takeover by one process under the view that it has adopted."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.view: View | None = None
        self.holdings: list[Holding] = []
        #: By process that acknowledged the epoch: the sequence number of its last acknowledgement
        #: and the servers that it does not own but still has work at.
        self.still_held: dict[Identity, tuple[int, frozenset[str]]] = {}
        #: Other members that have not acknowledged the epoch.
        self.pending: set[Identity] = set()
        self.departed: set[Identity] = set()
        self.departed_stopped = False

    def adopt(self, view: View, evidence: Evidence, now: float) -> bool:
        """Adopt a view; return whether this process keeps the servers that it held before."""
        previous = self.view
        kept = self._completed(evidence, now) + self.holdings if previous else []
        between = self._rivals_between(previous, view)
        self.holdings = []
        if between is not None:
            self.holdings = _reduced(
                [Holding(held.rivals | between, held.excluded) for held in kept]
            )
        self.view = view
        self.still_held = {}
        others = {member.identity for member in view.members} - {self.me}
        self.pending = others if view.member(self.me) else others | {self.me}
        self.departed = {entry.member.identity for entry in view.departed}
        self.departed_stopped = not view.departed
        return between is not None

    def acknowledge(self, identity: Identity, sequence: int, holding: frozenset[str]) -> None:
        """Record an acknowledgement of the adopted epoch.

        `holding` are the servers at which the process still has work but which it does not own.
        They can only become fewer under one view.
        """
        if not any(identity in known for known in (self.pending, self.departed, self.still_held)):
            return
        self.pending.discard(identity)
        known = self.still_held.get(identity)
        if known is None:
            self.still_held[identity] = (sequence, holding)
        elif sequence > known[0]:
            self.still_held[identity] = (sequence, known[1] & holding)

    def awaits(self, identity: Identity) -> bool:
        """Return whether an acknowledgement of this process is still missing."""
        return identity in self.pending or (
            identity in self.departed and identity not in self.still_held
        )

    def pending_processes(self, evidence: Evidence, now: float) -> set[Identity]:
        """Return the processes that the takeover still waits for."""
        if self.view is None:
            return set()
        departed = {
            entry.member.identity
            for entry in self.view.departed
            if entry.member.identity not in self.still_held
            and not evidence.has_stopped(entry, self.view, now)
        }
        return self.pending | departed

    def has_taken_over(self, server: str, evidence: Evidence, now: float) -> bool:
        """Return whether no former owner can have work at a server that this process owns."""
        released = not any(server in held for _, held in self.still_held.values())
        if released and self.is_complete(evidence, now):
            return True
        return any(self._holds(holding, server) for holding in self.holdings)

    def is_complete(self, evidence: Evidence, now: float) -> bool:
        """Return whether all members have acknowledged and all departed members have stopped.

        A departed member that acknowledges the epoch has stopped, except for the work that it
        reports.
        """
        if self.view is None or self.pending:
            return False
        if not self.departed_stopped:
            self.departed_stopped = all(
                entry.member.identity in self.still_held
                or evidence.has_stopped(entry, self.view, now)
                for entry in self.view.departed
            )
        return self.departed_stopped

    def _completed(self, evidence: Evidence, now: float) -> list[Holding]:
        if not self.is_complete(evidence, now):
            return []
        rivals = self._rivals(self.view.shares())
        excluded = frozenset().union(*(held for _, held in self.still_held.values()))
        return [Holding(rivals, excluded)]

    def _rivals(self, shares: dict[Identity, int]) -> frozenset[Rival]:
        """Return the other members of a view of which this process is a member."""
        own = shares[self.me]
        return frozenset(
            Rival(identity.instance, weight, own)
            for identity, weight in shares.items()
            if identity.instance != self.me.instance
        )

    def _rivals_between(self, previous: View | None, view: View) -> frozenset[Rival] | None:
        """Return the other members of all views after `previous` up to `view`.

        None when this process was not a member of all of them, or when one of them is unknown.
        """
        if previous is None or previous.member(self.me) is None or view.member(self.me) is None:
            return None
        rivals = self._rivals(view.shares())
        past = {past.epoch: past.shares() for past in view.history}
        for epoch in range(previous.epoch + 1, view.epoch):
            shares = past.get(epoch)
            if shares is None or self.me not in shares:
                return None
            rivals |= self._rivals(shares)
        return rivals

    def _holds(self, holding: Holding, server: str) -> bool:
        if server in holding.excluded:
            return False
        return all(self._wins(rival, server) for rival in holding.rivals)

    def _wins(self, rival: Rival, server: str) -> bool:
        mine = weighted_score(self.me.instance, rival.own_weight, server)
        return mine > weighted_score(rival.instance, rival.weight, server)


def _reduced(holdings: list[Holding]) -> list[Holding]:
    """Return the newest holdings without those that a newer one includes."""
    kept: list[Holding] = []
    for holding in holdings:
        included = any(
            other.rivals <= holding.rivals and other.excluded <= holding.excluded for other in kept
        )
        if not included:
            kept.append(holding)
    return kept[:MAX_HOLDINGS]
