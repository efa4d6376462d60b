"""Which backend servers a process may treat as its own: held before, or taken over."""

from typing import NamedTuple

from .evidence import Evidence
from .lease import View
from .ownership import Identity, weighted_score

__all__ = ["Takeover"]

MAX_HOLDINGS = 4


class Rival(NamedTuple):
    """Another member of a view with its weight, and the weight of this process in that view."""

    instance: str
    weight: int
    own_weight: int


class Holding(NamedTuple):
    """Servers held since a completed takeover.

    These are the servers for which the instance has the highest score among `rivals`, the other
    members of all views since then, except those that were still being given up to it.
    """

    rivals: frozenset[Rival]
    excluded: frozenset[str]


class Takeover:
    """Takeover state of one process under the view that it has adopted."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.view: View | None = None
        self.holdings: list[Holding] = []
        #: What each other member that acknowledged the epoch said that it still gives up.
        self.given_up: dict[Identity, tuple[int, frozenset[str]]] = {}
        self.waiting: set[Identity] = set()
        self.departed: set[Identity] = set()
        self.departed_quiet = False

    def adopt(self, view: View, evidence: Evidence, now: float) -> bool:
        """Adopt a view; return whether what was held before is still held."""
        previous = self.view
        kept = self._completed(evidence, now) + self.holdings if previous else []
        between = self._rivals_between(previous, view)
        self.holdings = []
        if between is not None:
            self.holdings = _reduced(
                [Holding(held.rivals | between, held.excluded) for held in kept]
            )
        self.view = view
        self.given_up = {}
        others = {member.identity for member in view.members} - {self.me}
        self.waiting = others if view.member(self.me) else others | {self.me}
        self.departed = {entry.member.identity for entry in view.departed}
        self.departed_quiet = not view.departed
        return between is not None

    def acknowledge(self, identity: Identity, sequence: int, holding: frozenset[str]) -> None:
        """Take an acknowledgement of the adopted epoch; what is given up only shrinks."""
        if not any(identity in known for known in (self.waiting, self.departed, self.given_up)):
            return
        self.waiting.discard(identity)
        known = self.given_up.get(identity)
        if known is None:
            self.given_up[identity] = (sequence, holding)
        elif sequence > known[0]:
            self.given_up[identity] = (sequence, known[1] & holding)

    def awaits(self, identity: Identity) -> bool:
        """Say whether an acknowledgement of this process is still missing."""
        return identity in self.waiting or (
            identity in self.departed and identity not in self.given_up
        )

    def awaited(self, evidence: Evidence, now: float) -> set[Identity]:
        """Return the processes without which the takeover is not complete."""
        if self.view is None:
            return set()
        departed = {
            entry.member.identity
            for entry in self.view.departed
            if entry.member.identity not in self.given_up
            and not evidence.quiet(entry, self.view, now)
        }
        return self.waiting | departed

    def taken(self, server: str, evidence: Evidence, now: float) -> bool:
        """Say whether a server that the view assigns to this process is free of former owners."""
        given_up = not any(server in held for _, held in self.given_up.values())
        if given_up and self.complete(evidence, now):
            return True
        return any(self._holds(holding, server) for holding in self.holdings)

    def complete(self, evidence: Evidence, now: float) -> bool:
        """Say whether all members have acknowledged and all departed members have stopped.

        A departed member that acknowledges the epoch has stopped, except for what it gives up.
        """
        if self.view is None or self.waiting:
            return False
        if not self.departed_quiet:
            self.departed_quiet = all(
                entry.member.identity in self.given_up or evidence.quiet(entry, self.view, now)
                for entry in self.view.departed
            )
        return self.departed_quiet

    def _completed(self, evidence: Evidence, now: float) -> list[Holding]:
        if not self.complete(evidence, now):
            return []
        rivals = self._rivals(self.view.shares())
        excluded = frozenset().union(*(held for _, held in self.given_up.values()))
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

        None when this process was not a member of all of them, or when one is not known.
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
    """Drop the holdings that another one includes; keep the newest ones."""
    kept: list[Holding] = []
    for holding in holdings:
        included = any(
            other.rivals <= holding.rivals and other.excluded <= holding.excluded for other in kept
        )
        if not included:
            kept.append(holding)
    return kept[:MAX_HOLDINGS]
