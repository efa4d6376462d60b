"""Membership of one process in its cell: views, failure detector and permission to dispatch."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .evidence import Evidence, is_replaced_by
from .lease import QuorumLease, View, majority
from .ownership import Identity, Member, owner, score
from .piggyback import Piggyback, initiates, short_id
from .succession import Weights, first_view, reweighted, with_member, with_weights, without
from .takeover import Takeover

__all__ = [
    "HEARTBEAT_S",
    "SUSPECT_AFTER_S",
    "Effect",
    "FetchView",
    "Membership",
    "ProposeView",
    "ReadStore",
    "SendHeartbeat",
]

HEARTBEAT_S = 0.5
#: A member that has not acknowledged the adopted epoch for this time is suspected.
SUSPECT_AFTER_S = 1.5
#: A member without an acknowledgement for this time may become suspected soon. Removals wait until
#: it has acknowledged again or is suspected.
SILENT_AFTER_S = 0.75
#: Each live member waits this much longer before it proposes than the one ranked before it, so that
#: two members rarely propose at the same time.
STAGGER_S = 0.5
#: A process without a quorum delays its proposal by this time, so that the other side of a
#: partition proposes first.
MINORITY_DELAY_S = 1.5
#: After a gap of this length between ticks the process was paused and restarts its failure
#: detector.
PAUSE_GAP_S = 1.0
#: Time after which a proposal without a result is repeated.
PROPOSE_RETRY_S = 1.0
#: Time between reads of the store while this process is outside the view or without a quorum.
READ_RETRY_S = 1.0
#: First and longest delay before a process outside the view adds itself, by how many members it
#: reaches: all, a majority, or fewer. The delay doubles with each recent removal of this process,
#: so that a lasting one-way partition does not keep changing the view.
FULL_REACH_DELAYS_S = (0.0, 30.0)
MAJORITY_REACH_DELAYS_S = (5.0, 120.0)
MINORITY_REACH_DELAYS_S = (15.0, 300.0)
#: The delay doubles from at least this value.
REJOIN_DELAY_S = 1.0
#: A joining process waits at most this time for a table as new as the one that the weights in the
#: view come from. With an older table it would take servers over by a wrong weight and return them.
TABLE_WAIT_S = 3.0
#: Removals of this process within this time count for its rejoin delay.
REMOVALS_WINDOW_S = 600.0
#: Grace period after which a process that should leave stops dispatching, even if the view without
#: it could not be written.
LEAVE_GRACE_S = 1.0
#: Least time between two heartbeats that are sent ahead of schedule to a member that has just
#: adopted the epoch.
QUICK_HEARTBEAT_S = 0.05
MAX_CACHED_OWNERS = 100_000


class SendHeartbeat(NamedTuple):
    """Effect: send a heartbeat with this epoch and sequence number to a member."""

    to: Member
    epoch: int
    sequence: int


class ProposeView(NamedTuple):
    """Effect: write a view if the stored one still has epoch `base` (0: none is stored)."""

    base: int
    view: View


class ReadStore(NamedTuple):
    """Effect: read the view from the store and pass the result back to `Membership`."""


class FetchView(NamedTuple):
    """Effect: ask an instance for its view, which may have a higher epoch."""

    instance: str


Effect = SendHeartbeat | ProposeView | ReadStore | FetchView


class Membership:
    """Membership state machine of one process: methods take the time and return effects.

    The caller carries the effects out. Times are seconds on the monotonic clock of the process.
    """

    def __init__(self, me: Member, cell: str, now: float) -> None:
        self.me = me
        self.cell = cell
        self.view: View | None = None
        self.lease = QuorumLease(me.identity)
        self.evidence = Evidence()
        self.takeover = Takeover(me.identity)
        self.piggyback = Piggyback()
        #: Members and departed members of the adopted view by the number that stands for them in
        #: messages.
        self.identity_by_number: dict[int, Identity] = {}
        #: Whether this process should be a member; false, for example, while it shuts down.
        self.wanted = True
        self.unwanted_since = math.inf
        #: Members to which this process has acknowledged, as a departed one, that it has no work
        #: left.
        self.idle_known_to: set[Identity] = set()
        #: Whether a later process of the same instance has taken the place of this one in the view.
        self.superseded = False
        #: Cached owners by name under the adopted view.
        self.owners: dict[str, Member | None] = {}
        #: Time of the last acknowledgement of the adopted epoch, and of any epoch, by member.
        self.acknowledged_at: dict[Identity, float] = {}
        self.contacted_at: dict[Identity, float] = {}
        #: When this process was removed from the view, within `REMOVALS_WINDOW_S`.
        self.removals: list[float] = []
        self.last_tick = now
        self.next_heartbeat = now
        self.next_propose = now
        self.next_read = now
        self.next_refresh = now
        self.join_since = now
        #: Number of requests for a member's view since this process left; selects the next member.
        self.fetches = 0
        #: Time of the last heartbeat ahead of schedule, by member.
        self.quick_heartbeat_at: dict[Identity, float] = {}
        #: Addresses on the platform's list of instances, None until it has been read.
        self.listed: frozenset[str] | None = None
        self.store_empty = False
        #: Since when departed members can be removed from the view, None while there are none.
        self.cleanable_since: float | None = None
        #: Weights in the table that this process holds, and since when those of the view differ.
        self.weights = Weights()
        self.weights_differ_since: float | None = None

    # Queries.

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
        """Return whether this process is in the adopted view."""
        return self.view is not None and self.view.member(self.me.identity) is not None

    def owner(self, name: str) -> Member | None:
        """Return the owner of a name under the adopted view."""
        if name not in self.owners:
            if len(self.owners) >= MAX_CACHED_OWNERS:
                self.owners.clear()
            self.owners[name] = owner(self.members, name)
        return self.owners[name]

    def may_dispatch(self, server: str, now: float) -> bool:
        """Return whether this process may send work to a backend server now."""
        if not self.lease.holds(now) or now >= self.unwanted_since + LEAVE_GRACE_S:
            return False
        if self.owner(server) != self.me:
            return False
        return self.takeover.has_taken_over(server, self.evidence, now)

    def takeover_pending(self, server: str, now: float) -> bool:
        """Return whether this process is about to take a server over from processes that answer.

        False while a former owner does not answer: the takeover then takes seconds.
        """
        if not self.lease.holds(now) or not self.wanted or self.owner(server) != self.me:
            return False
        if self.takeover.has_taken_over(server, self.evidence, now):
            return False
        return all(
            self._is_reachable(one, now)
            for one in self.takeover.pending_processes(self.evidence, now)
        )

    def servers_to_release(self, busy: Iterable[str]) -> tuple[str, ...]:
        """Return those of the busy backend servers that this process does not own."""
        return tuple(server for server in busy if self.owner(server) != self.me)

    def suspects(self, now: float) -> list[Member]:
        """Return the members that have not acknowledged the epoch within `SUSPECT_AFTER_S`."""
        return [member for member in self._others() if self._silence(member, now) > SUSPECT_AFTER_S]

    def unreachable(self, now: float) -> list[Member]:
        """Return the suspected members that have not answered heartbeats of any epoch either."""
        return [
            member for member in self.suspects(now) if not self._is_reachable(member.identity, now)
        ]

    def live(self, now: float) -> list[Member]:
        """Return the members that are not suspected, this process included."""
        suspects = self.suspects(now)
        return [member for member in self.members if member not in suspects]

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority of the view is not suspected."""
        return len(self.live(now)) >= majority(len(self.members))

    def is_selected(self, name: str, count: int, now: float) -> bool:
        """Return whether this process is among the `count` live members ranked first for a name."""
        mine = score(self.me.instance, name)
        others = [member for member in self.live(now) if member != self.me]
        higher = sum(score(member.instance, name) > mine for member in others)
        return self.is_member and higher < count

    # Events.

    def tick(self, now: float) -> list[Effect]:
        """Return the effects that are due; called periodically."""
        if now - self.last_tick > PAUSE_GAP_S:
            self._restart_detection(now)
        self.last_tick = now
        expired = self.piggyback.expire(now)
        effects = self._due_heartbeats(now) or self._heartbeats_to(expired, now)
        if not self.is_member:
            effects += self._join(now) if self.wanted else self._refresh_view(now)
        elif not self.wanted:
            effects += self._propose(now, without(self.view, [self.me], self.evidence, now))
        else:
            effects += self._detect(now)
        return effects

    def on_heartbeat(
        self, sender: Identity, epoch: int, releasing: Iterable[str], now: float
    ) -> list[Effect]:
        """Process a received heartbeat.

        The acknowledgement contains the result of `ack_epoch` and `releasing`, the servers at which
        this process has work but which it does not own.
        """
        if not self.is_member and epoch == self.epoch and not tuple(releasing):
            self.idle_known_to.add(sender)
        return self._on_epoch(sender, epoch, now)

    def ack_epoch(self, sender: Identity | None, epoch: int) -> int:
        """Return the epoch to put in the acknowledgement of a heartbeat for `epoch`.

        It equals `epoch` only if this process has adopted that epoch and the sender is a member of
        its view. -1 acknowledges only that this process is reachable.
        """
        if self.view is None or (epoch == self.epoch and self.view.member(sender) is None):
            return -1
        return self.epoch

    def on_ack(
        self, sender: Identity, epoch: int, sequence: int, releasing: Iterable[str], now: float
    ) -> list[Effect]:
        """Process an acknowledgement of a heartbeat that this process sent."""
        self.contacted_at[sender] = now
        releasing = frozenset(releasing)
        effects = self._on_epoch(sender, epoch, now, acked=True)
        if self.view is not None and epoch == self.epoch:
            self.acknowledged_at[sender] = now
            self.lease.acknowledge(sender, epoch, sequence)
            self.takeover.acknowledge(sender, sequence, releasing)
            if not releasing and self.view.member(sender) is None:
                self.evidence.record_idle(sender, epoch)
        return effects

    def piggybacked_heartbeat(self, initiator: Identity, epoch: int, now: float) -> int:
        """Return the heartbeat to send with the acknowledgement of one for `epoch`, 0 for none."""
        agreed = epoch == self.epoch and self.is_member and self.view.member(initiator) is not None
        return (
            self.lease.record_heartbeat(now)
            if agreed and initiates(initiator, self.me.identity)
            else 0
        )

    def on_piggybacked_heartbeat(self, sender: Identity, epoch: int, sequence: int) -> None:
        """Process a heartbeat piggybacked on an acknowledgement.

        `piggybacked_ack` acknowledges it.
        """
        if epoch == self.epoch and self.is_member and self.view.member(sender) is not None:
            self.piggyback.record_heartbeat(sender, sequence)

    def piggybacked_ack(self, to: Identity, epoch: int) -> int:
        """Return the heartbeat that the next heartbeat for `epoch` acknowledges, 0 for none.

        Adopting a view discards the heartbeats of earlier epochs, so they are never acknowledged.
        """
        return self.piggyback.take_unacknowledged(to) if epoch == self.epoch else 0

    def on_piggybacked_ack(
        self, sender: Identity, epoch: int, sequence: int, releasing: Iterable[str], now: float
    ) -> list[Effect]:
        """Process an acknowledgement piggybacked on a heartbeat for `epoch`."""
        if epoch == self.epoch:
            self.piggyback.record_acknowledgement(sender, self.lease.sent_at.get(sequence), now)
        return self.on_ack(sender, epoch, sequence, releasing, now)

    def adopt_view(self, view: View, now: float) -> list[Effect]:
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
        self.identity_by_number = {
            short_id(identity): identity for identity in (*departed, *identities)
        }
        self.lease.adopt(view.epoch, identities, now, keep=kept)
        self.evidence.adopted_epochs[self.me.identity] = view.epoch
        self.evidence.update(view, now)
        floor = now - SUSPECT_AFTER_S + SILENT_AFTER_S
        self.acknowledged_at = {
            key: max(self.acknowledged_at.get(key, now), floor) for key in identities
        }
        self.contacted_at = {key: time for key, time in self.contacted_at.items() if time > floor}
        self.quick_heartbeat_at = {}
        self.idle_known_to = set() if self.is_member else self.idle_known_to
        self.cleanable_since = None
        self.weights_differ_since = None
        self.next_propose = now
        if was_member and not self.is_member:
            self._on_removal(now)
        self.next_heartbeat = now
        return self._due_heartbeats(now)

    def on_store_read(self, view: View | None, now: float) -> list[Effect]:
        """Process the result of reading the store, None if it has no view."""
        self.store_empty = view is None
        return self.adopt_view(view, now) if view is not None else []

    def set_wanted(self, wanted: bool, now: float) -> None:
        """Set whether this process should be a member."""
        if wanted and not self.wanted:
            self.join_since = now
        if wanted != self.wanted:
            self.unwanted_since = math.inf if wanted else now
        self.wanted = wanted

    def list_instances(self, addresses: Iterable[str]) -> None:
        """Set the addresses on the platform's list of instances, which may be out of date."""
        self.listed = frozenset(addresses)

    def use_weights(self, weights: Weights) -> None:
        """Set the weights of a table; they take effect once they are in the view."""
        self.weights = weights

    def has_left(self) -> bool:
        """Return whether this process is out of the view and all members know that it is idle."""
        if self.is_member:
            return False
        departed = self.view.departed if self.view else ()
        if all(entry.member.identity != self.me.identity for entry in departed):
            return True
        return all(member.identity in self.idle_known_to for member in self.members)

    # Helpers.

    def _others(self) -> list[Member]:
        return [member for member in self.members if member != self.me]

    def _silence(self, member: Member, now: float) -> float:
        return now - self.acknowledged_at.get(member.identity, -math.inf)

    def _restart_detection(self, now: float) -> None:
        self.acknowledged_at = dict.fromkeys(self.acknowledged_at, now)
        self.contacted_at = {}
        self.piggyback.reset()
        self.join_since = now

    def _on_epoch(
        self, sender: Identity, epoch: int, now: float, *, acked: bool = False
    ) -> list[Effect]:
        self.evidence.record_epoch(sender, epoch, self.view, now)
        if epoch > self.epoch:
            return [FetchView(sender.instance)]
        if epoch < self.epoch or acked or not self.takeover.awaits(sender):
            return []
        return self._quick_heartbeat(sender, now)

    def _quick_heartbeat(self, sender: Identity, now: float) -> list[Effect]:
        """Send a heartbeat at once to a member that has just adopted the epoch."""
        member = next((peer for peer in self._peers() if peer.identity == sender), None)
        if (
            member is None
            or now < self.quick_heartbeat_at.get(sender, -math.inf) + QUICK_HEARTBEAT_S
        ):
            return []
        self.quick_heartbeat_at[sender] = now
        return [SendHeartbeat(member, self.epoch, self.lease.record_heartbeat(now))]

    def _due_heartbeats(self, now: float) -> list[Effect]:
        if now < self.next_heartbeat or self.view is None:
            return []
        self.next_heartbeat = now + HEARTBEAT_S
        peers = [member.identity for member in self._peers()]
        return self._heartbeats_to(
            {peer for peer in peers if not self.piggyback.is_carried(peer)}, now
        )

    def _heartbeats_to(self, peers: set[Identity], now: float) -> list[Effect]:
        if not peers:
            return []
        sequence = self.lease.record_heartbeat(now)
        to = [member for member in self._peers() if member.identity in peers]
        return [SendHeartbeat(member, self.epoch, sequence) for member in to]

    def _peers(self) -> list[Member]:
        """Return the other members and the departed ones that may still be running."""
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
        return [ProposeView(view.epoch - 1, view)]

    def _read(self, now: float) -> list[Effect]:
        if now < self.next_read:
            return []
        self.next_read = now + READ_RETRY_S
        return [ReadStore()]

    def _on_removal(self, now: float) -> None:
        recent = [time for time in self.removals if time > now - REMOVALS_WINDOW_S]
        self.removals = [*recent, now]
        self.join_since = now

    def _join(self, now: float) -> list[Effect]:
        view = self._view_with_self(now)
        return (view is not None and self._propose(now, view)) or self._read(now)

    def _refresh_view(self, now: float) -> list[Effect]:
        """Ask the members in turn for their view.

        A process that has left receives no heartbeats, but its callers still need the owners.
        """
        if now < self.next_refresh or not self.members:
            return []
        self.next_refresh = now + HEARTBEAT_S
        self.fetches += 1
        return [FetchView(self.members[self.fetches % len(self.members)].instance)]

    def _view_with_self(self, now: float) -> View | None:
        """Return the view that adds this process, None while it has to wait."""
        if self.view is None:
            first = reweighted(first_view(self.cell, self.me), self.weights)
            return first if self.store_empty else None
        same = [member for member in self.members if member.instance == self.me.instance]
        self.superseded = bool(same and self.removals and not is_replaced_by(same[0], self.me))
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
        reached = [member for member in others if self._is_reachable(member.identity, now)]
        if len(reached) == len(others):
            return self._rejoin_backoff(FULL_REACH_DELAYS_S)
        if len(reached) >= majority(len(others)):
            return self._rejoin_backoff(MAJORITY_REACH_DELAYS_S)
        listed = [member for member in others if member.address in (self.listed or ())]
        if len(listed) >= majority(len(others)):
            return math.inf
        return self._rejoin_backoff(MINORITY_REACH_DELAYS_S)

    def _rejoin_backoff(self, delays: tuple[float, float]) -> float:
        """Return the delay, doubled for each recent removal after the first, within its limits."""
        first, last = delays
        repeats = len(self.removals) - 1
        return min(last, max(first, REJOIN_DELAY_S) * 2**repeats) if repeats > 0 else first

    def _is_reachable(self, identity: Identity, now: float) -> bool:
        return now - self.contacted_at.get(identity, -math.inf) < SUSPECT_AFTER_S

    def _has_ended(self, member: Member, now: float) -> bool:
        """Return whether the process of a member has ended.

        True if this process has replaced it at its address or in its instance, or if another
        process of the instance has answered.
        """
        if member.instance == self.me.instance or is_replaced_by(member, self.me):
            return True
        return any(
            identity.instance == member.instance and self._is_reachable(identity, now)
            for identity in self.contacted_at
            if identity != member.identity
        )

    def _detect(self, now: float) -> list[Effect]:
        rank = self.live(now).index(self.me)
        suspects = self.suspects(now)
        if not suspects:
            return self._reweight(now, rank) or self._remove_stopped(now, rank)
        effects = []
        if self._removal_due(suspects, rank, now):
            view = without(self.view, suspects, self.evidence, now)
            effects = self._propose(now, view)
        return effects or ([] if self.has_quorum(now) else self._read(now))

    def _removal_due(self, suspects: list[Member], rank: int, now: float) -> bool:
        """Return whether it is this process's turn to remove the suspected members.

        It waits for members without a recent acknowledgement that are not yet suspected, so that
        the loss of a failure domain is one change of the view.
        """
        first = min(self.acknowledged_at.get(member.identity, now) for member in suspects)
        due = first + SUSPECT_AFTER_S + rank * STAGGER_S
        due += 0.0 if self.has_quorum(now) else MINORITY_DELAY_S
        silences = [self._silence(member, now) for member in self._others()]
        undecided = any(SILENT_AFTER_S < silence <= SUSPECT_AFTER_S for silence in silences)
        return now >= due and not undecided

    def _reweight(self, now: float, rank: int) -> list[Effect]:
        """Propose the weights of the table when those of the view differ."""
        if reweighted(self.view, self.weights) == self.view:
            self.weights_differ_since = None
            return []
        if self.weights_differ_since is None:
            self.weights_differ_since = now
        if now < self.weights_differ_since + rank * STAGGER_S:
            return []
        return self._propose(now, with_weights(self.view, self.weights, self.evidence, now))

    def _remove_stopped(self, now: float, rank: int) -> list[Effect]:
        """Propose a view without the departed members that have stopped.

        Members that join later then need no proof that those have stopped.
        """
        stopped = [
            entry
            for entry in self.view.departed
            if self.evidence.has_stopped(entry, self.view, now)
        ]
        if not stopped or now < self._cleaning_due(now, rank):
            return []
        return self._propose(now, without(self.view, (), self.evidence, now))

    def _cleaning_due(self, now: float, rank: int) -> float:
        """Return when a live member of this rank should remove the stopped departed members."""
        if self.cleanable_since is None:
            self.cleanable_since = now
        return self.cleanable_since + rank * STAGGER_S
