"""Membership of one process in its cell: views, failure detection and the right to dispatch."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .evidence import Evidence, replaced
from .lease import QuorumLease, View, majority
from .ownership import Identity, Member, owner, score
from .piggyback import Piggyback, calls, short_id
from .succession import Weights, first_view, reweighted, with_member, with_weights, without
from .takeover import Takeover

__all__ = [
    "HEARTBEAT_S",
    "SUSPECT_AFTER_S",
    "Beat",
    "Effect",
    "Fetch",
    "Membership",
    "Propose",
    "ReadStore",
]

HEARTBEAT_S = 0.5
#: A member that has not acknowledged the adopted epoch for this time is suspect.
SUSPECT_AFTER_S = 1.5
#: A member that is silent for this time may become suspect soon; the proposal waits for it.
SILENT_AFTER_S = 0.75
#: Each further rank among the live members waits this much longer before it proposes.
STAGGER_S = 0.5
#: A process without a quorum lets the other side of a partition propose first.
MINORITY_DELAY_S = 1.5
#: A process that was not called for this time has been paused and starts to listen anew.
PAUSE_GAP_S = 1.0
#: A proposal without a result is repeated after this time.
PROPOSE_RETRY_S = 1.0
#: Time between reads of the store while this process is outside the view or without a quorum.
READ_RETRY_S = 1.0
#: Delays before a process outside the view adds itself, by what it reaches. They double with each
#: recent removal of this process, so that a lasting one-way cut does not keep changing the view.
FULL_REACH_DELAYS_S = (0.0, 30.0)
MAJORITY_REACH_DELAYS_S = (5.0, 120.0)
BLIND_DELAYS_S = (15.0, 300.0)
REJOIN_DELAY_S = 1.0
#: A process joins without the table from which the weights in the view come after this time. It
#: would take servers with a wrong weight and give them back.
TABLE_WAIT_S = 3.0
REMOVALS_WINDOW_S = 600.0
#: A process that should leave but cannot write the view stops to dispatch after this time.
LEAVE_GRACE_S = 1.0
#: A fresh heartbeat goes to a member that has just reached the epoch, at most this often.
QUICK_BEAT_S = 0.05
MAX_CACHED_OWNERS = 100_000


class Beat(NamedTuple):
    """Send a heartbeat with this epoch and sequence number to a member."""

    to: Member
    epoch: int
    sequence: int


class Propose(NamedTuple):
    """Write a view if the stored one still has epoch `base` (0: none is stored)."""

    base: int
    view: View


class ReadStore(NamedTuple):
    """Read the view from the store and hand the result to `stored`."""


class Fetch(NamedTuple):
    """Ask an instance for its view, which has a higher epoch."""

    instance: str


Effect = Beat | Propose | ReadStore | Fetch


class Membership:
    """State of one process; the methods take the time and return the effects to carry out.

    Times are seconds on the monotonic clock of the process.
    """

    def __init__(self, me: Member, cell: str, now: float) -> None:
        self.me = me
        self.cell = cell
        self.view: View | None = None
        self.lease = QuorumLease(me.identity)
        self.evidence = Evidence()
        self.takeover = Takeover(me.identity)
        self.piggyback = Piggyback()
        #: Members and departed members of the adopted view by their number in messages.
        self.numbered: dict[int, Identity] = {}
        #: False while this process should not be a member, as when it shuts down.
        self.wanted = True
        self.unwanted_since = math.inf
        #: Members that have received an acknowledgement without work from this process.
        self.told: set[Identity] = set()
        self.superseded = False
        self.owners: dict[str, Member | None] = {}
        #: Last acknowledgement of the adopted epoch, and of any epoch, by member.
        self.heard: dict[Identity, float] = {}
        self.contact: dict[Identity, float] = {}
        self.removals: list[float] = []
        self.last_tick = now
        self.next_beat = now
        self.next_propose = now
        self.next_read = now
        self.next_follow = now
        self.join_since = now
        #: Number of members asked for their view after this process has left.
        self.followed = 0
        self.quick: dict[Identity, float] = {}
        #: Addresses on the platform's list of instances, None while it is not known.
        self.listed: frozenset[str] | None = None
        self.store_empty = False
        self.quiet_since: float | None = None
        #: Weights in the table that this process holds, and since when the view has others.
        self.weights = Weights()
        self.differs_since: float | None = None

    # What other parts ask.

    @property
    def epoch(self) -> int:
        """Epoch of the adopted view, 0 before the first."""
        return self.view.epoch if self.view else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the adopted view."""
        return self.view.members if self.view else ()

    @property
    def is_member(self) -> bool:
        """Say whether this process is in the adopted view."""
        return self.view is not None and self.view.member(self.me.identity) is not None

    def owner(self, name: str) -> Member | None:
        """Return the owner of a name under the adopted view."""
        if name not in self.owners:
            if len(self.owners) >= MAX_CACHED_OWNERS:
                self.owners.clear()
            self.owners[name] = owner(self.members, name)
        return self.owners[name]

    def may_dispatch(self, server: str, now: float) -> bool:
        """Say whether this process may send work to a backend server now."""
        if not self.lease.holds(now) or now >= self.unwanted_since + LEAVE_GRACE_S:
            return False
        if self.owner(server) != self.me:
            return False
        return self.takeover.taken(server, self.evidence, now)

    def handover_pending(self, server: str, now: float) -> bool:
        """Say whether this process is about to take a server over from processes that answer.

        False while a former owner is silent: the takeover then takes seconds.
        """
        if not self.lease.holds(now) or not self.wanted or self.owner(server) != self.me:
            return False
        if self.takeover.taken(server, self.evidence, now):
            return False
        return all(self._touched(one, now) for one in self.takeover.awaited(self.evidence, now))

    def giving_up(self, busy: Iterable[str]) -> tuple[str, ...]:
        """Return those of the busy backend servers that this process does not own."""
        return tuple(server for server in busy if self.owner(server) != self.me)

    def suspects(self, now: float) -> list[Member]:
        """Return the members that have not acknowledged the epoch for too long."""
        return [member for member in self._others() if self._silence(member, now) > SUSPECT_AFTER_S]

    def silent(self, now: float) -> list[Member]:
        """Return the suspects that have not answered at all, whatever epoch they are at."""
        return [member for member in self.suspects(now) if not self._touched(member.identity, now)]

    def live(self, now: float) -> list[Member]:
        """Return the members that are not suspect, this process included."""
        suspects = self.suspects(now)
        return [member for member in self.members if member not in suspects]

    def has_quorum(self, now: float) -> bool:
        """Say whether a majority of the view is not suspect."""
        return len(self.live(now)) >= majority(len(self.members))

    def chosen(self, name: str, count: int, now: float) -> bool:
        """Say whether this process is among the `count` live members ranked first for a name."""
        mine = score(self.me.instance, name)
        others = [member for member in self.live(now) if member != self.me]
        higher = sum(score(member.instance, name) > mine for member in others)
        return self.is_member and higher < count

    # What happens.

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        if now - self.last_tick > PAUSE_GAP_S:
            self._listen_anew(now)
        self.last_tick = now
        lapsed = self.piggyback.lapsed(now)
        effects = self._beats_due(now) or self._beats_to(lapsed, now)
        if not self.is_member:
            effects += self._join(now) if self.wanted else self._follow(now)
        elif not self.wanted:
            effects += self._propose(now, without(self.view, [self.me], self.evidence, now))
        else:
            effects += self._detect(now)
        return effects

    def on_heartbeat(
        self, sender: Identity, epoch: int, giving_up: Iterable[str], now: float
    ) -> list[Effect]:
        """Take a heartbeat; it is acknowledged with `ack_epoch` and `giving_up`."""
        if not self.is_member and epoch == self.epoch and not tuple(giving_up):
            self.told.add(sender)
        return self._hear(sender, epoch, now)

    def ack_epoch(self, sender: Identity | None, epoch: int) -> int:
        """Return the epoch to put in the acknowledgement of a heartbeat for `epoch`.

        It equals `epoch` only if this process has adopted it and has the sender in that view. -1
        acknowledges nothing but that this process is reachable.
        """
        if self.view is None or (epoch == self.epoch and self.view.member(sender) is None):
            return -1
        return self.epoch

    def on_ack(
        self, sender: Identity, epoch: int, sequence: int, giving_up: Iterable[str], now: float
    ) -> list[Effect]:
        """Take an acknowledgement of a heartbeat of this process."""
        self.contact[sender] = now
        giving_up = frozenset(giving_up)
        effects = self._hear(sender, epoch, now, acked=True)
        if self.view is not None and epoch == self.epoch:
            self.heard[sender] = now
            self.lease.acknowledge(sender, epoch, sequence)
            self.takeover.acknowledge(sender, sequence, giving_up)
            if not giving_up and self.view.member(sender) is None:
                self.evidence.heard_idle(sender, epoch)
        return effects

    def carried_beat(self, caller: Identity, epoch: int, now: float) -> int:
        """Return the heartbeat to send in the acknowledgement of one for `epoch`, 0 for none."""
        agreed = epoch == self.epoch and self.is_member and self.view.member(caller) is not None
        return self.lease.beat(now) if agreed and calls(caller, self.me.identity) else 0

    def on_carried_beat(self, sender: Identity, epoch: int, sequence: int) -> None:
        """Take a heartbeat that an acknowledgement carried; `carried_ack` acknowledges it."""
        if epoch == self.epoch and self.is_member and self.view.member(sender) is not None:
            self.piggyback.received(sender, sequence)

    def carried_ack(self, to: Identity, epoch: int) -> int:
        """Return the heartbeat that the next heartbeat for `epoch` acknowledges, 0 for none.

        An adopted view drops those of earlier epochs, so that they are never acknowledged.
        """
        return self.piggyback.settle(to) if epoch == self.epoch else 0

    def on_carried_ack(
        self, sender: Identity, epoch: int, sequence: int, giving_up: Iterable[str], now: float
    ) -> list[Effect]:
        """Take an acknowledgement that a heartbeat for `epoch` carried."""
        if epoch == self.epoch:
            self.piggyback.acknowledged(sender, self.lease.sent.get(sequence), now)
        return self.on_ack(sender, epoch, sequence, giving_up, now)

    def learn(self, view: View, now: float) -> list[Effect]:
        """Adopt a view from the store or a peer if its epoch is higher than the adopted one."""
        if view.epoch <= self.epoch and self.view is not None:
            return []
        was_member = self.is_member
        kept = self.takeover.adopt(view, self.evidence, now)
        self.view = view
        self.me = view.member(self.me.identity) or self.me
        self.owners = {}
        self.piggyback.reset()
        identities = [member.identity for member in view.members]
        departed = [entry.member.identity for entry in view.departed]
        self.numbered = {short_id(identity): identity for identity in (*departed, *identities)}
        self.lease.adopt(view.epoch, identities, now, keep=kept)
        self.evidence.adopted[self.me.identity] = view.epoch
        self.evidence.review(view, now)
        floor = now - SUSPECT_AFTER_S + SILENT_AFTER_S
        self.heard = {key: max(self.heard.get(key, now), floor) for key in identities}
        self.contact = {key: time for key, time in self.contact.items() if time > floor}
        self.quick = {}
        self.told = set() if self.is_member else self.told
        self.quiet_since = None
        self.differs_since = None
        self.next_propose = now
        if was_member and not self.is_member:
            self._removed(now)
        self.next_beat = now
        return self._beats_due(now)

    def stored(self, view: View | None, now: float) -> list[Effect]:
        """Take the result of reading the store."""
        self.store_empty = view is None
        return self.learn(view, now) if view is not None else []

    def want(self, wanted: bool, now: float) -> None:
        """Set whether this process should be a member."""
        if wanted and not self.wanted:
            self.join_since = now
        if wanted != self.wanted:
            self.unwanted_since = math.inf if wanted else now
        self.wanted = wanted

    def list_instances(self, addresses: Iterable[str]) -> None:
        """Take the addresses on the platform's list; it lags behind."""
        self.listed = frozenset(addresses)

    def use_weights(self, weights: Weights) -> None:
        """Take the weights of a table; they have no effect before they are in the view."""
        self.weights = weights

    def has_left(self) -> bool:
        """Say whether this process is out of the view and the members know that it is idle."""
        if self.is_member:
            return False
        departed = self.view.departed if self.view else ()
        if all(entry.member.identity != self.me.identity for entry in departed):
            return True
        return all(member.identity in self.told for member in self.members)

    # Details.

    def _others(self) -> list[Member]:
        return [member for member in self.members if member != self.me]

    def _silence(self, member: Member, now: float) -> float:
        return now - self.heard.get(member.identity, -math.inf)

    def _listen_anew(self, now: float) -> None:
        self.heard = dict.fromkeys(self.heard, now)
        self.contact = {}
        self.piggyback.reset()
        self.join_since = now

    def _hear(
        self, sender: Identity, epoch: int, now: float, *, acked: bool = False
    ) -> list[Effect]:
        self.evidence.heard(sender, epoch, self.view, now)
        if epoch > self.epoch:
            return [Fetch(sender.instance)]
        if epoch < self.epoch or acked or not self.takeover.awaits(sender):
            return []
        return self._quick_beat(sender, now)

    def _quick_beat(self, sender: Identity, now: float) -> list[Effect]:
        """Ask a member that has just reached the epoch for its acknowledgement at once."""
        member = next((peer for peer in self._peers() if peer.identity == sender), None)
        if member is None or now < self.quick.get(sender, -math.inf) + QUICK_BEAT_S:
            return []
        self.quick[sender] = now
        return [Beat(member, self.epoch, self.lease.beat(now))]

    def _beats_due(self, now: float) -> list[Effect]:
        if now < self.next_beat or self.view is None:
            return []
        self.next_beat = now + HEARTBEAT_S
        peers = [member.identity for member in self._peers()]
        return self._beats_to({peer for peer in peers if not self.piggyback.carries(peer)}, now)

    def _beats_to(self, peers: set[Identity], now: float) -> list[Effect]:
        if not peers:
            return []
        sequence = self.lease.beat(now)
        to = [member for member in self._peers() if member.identity in peers]
        return [Beat(member, self.epoch, sequence) for member in to]

    def _peers(self) -> list[Member]:
        """Return the other members and the departed ones that may still run."""
        departed = [
            entry.member
            for entry in self.view.departed
            if not entry.gone and not self.evidence.is_idle(entry)
        ]
        return [member for member in (*self.members, *departed) if member != self.me]

    def _propose(self, now: float, view: View) -> list[Effect]:
        if now < self.next_propose:
            return []
        self.next_propose = now + PROPOSE_RETRY_S
        return [Propose(view.epoch - 1, view)]

    def _read(self, now: float) -> list[Effect]:
        if now < self.next_read:
            return []
        self.next_read = now + READ_RETRY_S
        return [ReadStore()]

    def _removed(self, now: float) -> None:
        recent = [time for time in self.removals if time > now - REMOVALS_WINDOW_S]
        self.removals = [*recent, now]
        self.join_since = now

    def _join(self, now: float) -> list[Effect]:
        view = self._joined(now)
        return (view is not None and self._propose(now, view)) or self._read(now)

    def _follow(self, now: float) -> list[Effect]:
        """Ask one member after another for its view.

        A process that has left gets no heartbeats, but its callers still need the owners.
        """
        if now < self.next_follow or not self.members:
            return []
        self.next_follow = now + HEARTBEAT_S
        self.followed += 1
        return [Fetch(self.members[self.followed % len(self.members)].instance)]

    def _joined(self, now: float) -> View | None:
        """Return the view that adds this process, None while it has to wait."""
        if self.view is None:
            first = reweighted(first_view(self.cell, self.me), self.weights)
            return first if self.store_empty else None
        same = [member for member in self.members if member.instance == self.me.instance]
        self.superseded = bool(same and self.removals and not replaced(same[0], self.me))
        if self.superseded or now < self.join_since + self._join_delay(now):
            return None
        return reweighted(with_member(self.view, self.me, self.evidence, now), self.weights)

    def _join_delay(self, now: float) -> float:
        """Return how long this process waits before it adds itself to the view."""
        reach = self._reach_delay(now)
        has_table = self.weights.revision >= self.view.weights_revision
        return reach if has_table else max(reach, TABLE_WAIT_S)

    def _reach_delay(self, now: float) -> float:
        others = [member for member in self.members if not self._has_ended(member, now)]
        reached = [member for member in others if self._touched(member.identity, now)]
        if len(reached) == len(others):
            return self._repeated(FULL_REACH_DELAYS_S)
        if len(reached) >= majority(len(others)):
            return self._repeated(MAJORITY_REACH_DELAYS_S)
        listed = [member for member in others if member.address in (self.listed or ())]
        if len(listed) >= majority(len(others)):
            return math.inf
        return self._repeated(BLIND_DELAYS_S)

    def _repeated(self, delays: tuple[float, float]) -> float:
        """Return the delay after the recent removals of this process, within its limits."""
        first, last = delays
        repeats = len(self.removals) - 1
        return min(last, max(first, REJOIN_DELAY_S) * 2**repeats) if repeats > 0 else first

    def _touched(self, identity: Identity, now: float) -> bool:
        return now - self.contact.get(identity, -math.inf) < SUSPECT_AFTER_S

    def _has_ended(self, member: Member, now: float) -> bool:
        """Say whether another process has answered at the address of a member, or is this one."""
        if member.instance == self.me.instance or replaced(member, self.me):
            return True
        return any(
            identity.instance == member.instance and self._touched(identity, now)
            for identity in self.contact
            if identity != member.identity
        )

    def _detect(self, now: float) -> list[Effect]:
        rank = self.live(now).index(self.me)
        suspects = self.suspects(now)
        if not suspects:
            return self._reweight(now, rank) or self._clean(now, rank)
        effects = []
        if self._removal_due(suspects, rank, now):
            view = without(self.view, suspects, self.evidence, now)
            effects = self._propose(now, view)
        return effects or ([] if self.has_quorum(now) else self._read(now))

    def _removal_due(self, suspects: list[Member], rank: int, now: float) -> bool:
        """Say whether it is this process's turn to remove the suspects.

        It waits for members that are silent but not yet suspect, so that the loss of a failure
        domain is one change of the view.
        """
        first = min(self.heard.get(member.identity, now) for member in suspects)
        due = first + SUSPECT_AFTER_S + rank * STAGGER_S
        due += 0.0 if self.has_quorum(now) else MINORITY_DELAY_S
        silences = [self._silence(member, now) for member in self._others()]
        wavering = any(SILENT_AFTER_S < silence <= SUSPECT_AFTER_S for silence in silences)
        return now >= due and not wavering

    def _reweight(self, now: float, rank: int) -> list[Effect]:
        """Put the weights of the table into the view when it has others."""
        if reweighted(self.view, self.weights) == self.view:
            self.differs_since = None
            return []
        if self.differs_since is None:
            self.differs_since = now
        if now < self.differs_since + rank * STAGGER_S:
            return []
        return self._propose(now, with_weights(self.view, self.weights, self.evidence, now))

    def _clean(self, now: float, rank: int) -> list[Effect]:
        """Remove departed members that have stopped, so that later members need not prove it."""
        quiet = [
            entry for entry in self.view.departed if self.evidence.quiet(entry, self.view, now)
        ]
        if not quiet or now < self._clean_due(now, rank):
            return []
        return self._propose(now, without(self.view, (), self.evidence, now))

    def _clean_due(self, now: float, rank: int) -> float:
        """Return when this process should clean the view, given its rank among the live ones."""
        if self.quiet_since is None:
            self.quiet_since = now
        return self.quiet_since + rank * STAGGER_S
