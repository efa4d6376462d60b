"""Membership of this instance: heartbeats, the view document and the right to dispatch."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

import trio

from ..charts.interpreter import Chart
from ..decide.lease import View, decode_view, encode_view
from ..decide.membership import Effect, FetchView, Membership, ProposeView, ReadStore, SendHeartbeat
from ..decide.ownership import Identity, Member
from ..decide.revision import DigestFeed
from ..decide.succession import Weights, with_stopped
from ..errors import DECODE_ERRORS, RelayError
from ..log import event
from ..store import StoreClient
from ..store.backoff import Backoff
from ..wire import (
    BlockedRequest,
    Document,
    DocumentRevision,
    Handlers,
    Heartbeat,
    HeartbeatAck,
    Pull,
)
from .heartbeat import HeartbeatEncoder, revisions
from .peers import Peers
from .ports import Latest
from .view_store import ViewStore, log_store_error

__all__ = ["Members"]

TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 1.0
STORE_QUEUE_SIZE = 2
#: Longest backoff between reads of the view while the store does not answer.
READ_RETRY_LIMIT_S = 4.0
CONTACT_INTERVAL_S = 2.0
MAX_CONTACTS = 16
#: Time from the start until an empty store gets a first view although listed instances do not
#: answer: the store may have lost its data while they hold a view.
FIRST_VIEW_WAIT_S = 5.0
#: Attempts to write an operator's change of the view while others change it as well.
CONFIRM_ATTEMPTS = 10
CONFIRM_RETRY_S = 0.5


async def _no_contacts() -> list[Member]:
    return []


class Members:
    """Membership of this instance in its cell; implements `MembersPort`.

    `digest()` returns the revisions of all documents; `on_digest(instance, entries,
    whole)` receives those that a peer reports, `whole` if they are all of the peer's. Each
    heartbeat has all entries that the peer has not acknowledged.
    `unreleased_servers()` returns the backend servers with work or connections here, `blocked()`
    the blocked and suspect fingerprints; `on_blocked(entries)` receives those of a peer.
    `contacts()` returns possible members from the platform's list, for an instance outside the
    view.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        address: str,
        failure_domain: str,
        cell: str,
        store: StoreClient,
        peers: Peers,
        *,
        digest: Callable[[], dict[str, int]] = dict,
        on_digest: Callable[[str, Iterable[DocumentRevision], bool], None] = lambda *_: None,
        unreleased_servers: Callable[[], Iterable[str]] = tuple,
        blocked: Callable[[], Iterable[BlockedRequest]] = tuple,
        on_blocked: Callable[[Iterable[BlockedRequest]], None] = lambda _: None,
        contacts: Callable[[], Awaitable[list[Member]]] = _no_contacts,
        rng: Random | None = None,
    ) -> None:
        self.rng = rng or Random(instance)
        self.read_backoff = Backoff(self.rng, longest=READ_RETRY_LIMIT_S)
        self.next_read_at = -float("inf")
        self.instance = instance
        self.me = Member(instance, incarnation, address, failure_domain)
        self.cell = cell
        self.view_store = ViewStore(
            store, cell, lambda: self.membership.view, self._adopt, self.is_selected, self.rng
        )
        self.key = self.view_store.key
        self.peers = peers
        self.digest = digest
        self.on_digest = on_digest
        self.unreleased_servers = unreleased_servers
        self.blocked = blocked
        self.on_blocked = on_blocked
        self.contacts = contacts
        self.membership = Membership(self.me, cell, trio.current_time())
        self.digest_feed = DigestFeed()
        self.chart = Chart("instance", instance)
        self.conditions: tuple[str, ...] = ()
        #: The adopted view.
        self.view: Latest[View | None] = Latest(None)
        self.heartbeat_encoder = HeartbeatEncoder(self.me.identity)
        self.traffic = self.heartbeat_encoder.traffic
        self.fetching: set[str] = set()
        self.contacted_at = -float("inf")
        self.contact_unanswered = False
        #: Set when this process stops: its row in the table is ignored from then on.
        self.stopping = False
        self.started_at = trio.current_time()
        self._store_effects, self._store_queue = trio.open_memory_channel[Effect](STORE_QUEUE_SIZE)
        #: Set to run the next tick at once, as after a new view.
        self._tick_now = trio.Event()
        self._nursery: trio.Nursery | None = None

    # MembersPort.

    @property
    def epoch(self) -> int:
        """Epoch of the adopted view, 0 before the first."""
        return self.membership.epoch

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the adopted view."""
        return self.membership.members

    def owner(self, name: str) -> Member | None:
        """Return the member that owns a backend server or claim bucket, None without a view."""
        return self.membership.owner(name)

    def may_dispatch(self, server: str) -> bool:
        """Return whether this instance may send work to a backend server now."""
        return self.membership.may_dispatch(server, trio.current_time())

    def takeover_pending(self, server: str) -> bool:
        """Return whether instances that answer are about to hand over a backend server."""
        return self.membership.takeover_pending(server, trio.current_time())

    def lease_left(self) -> float:
        """Return the seconds until the quorum lease expires, 0.0 if it is not held."""
        return self.membership.lease.remaining(trio.current_time())

    @property
    def state(self) -> str:
        """Current state of the chart `instance`."""
        return self.chart.state

    # Use by the daemon and other tasks.

    def register(self, handlers: Handlers) -> None:
        """Register the handler for heartbeats."""
        handlers.on(Heartbeat)(self.on_heartbeat)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take part in the cell until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._serve_store)
            nursery.start_soon(self.view_store.watch)
            task_status.started()
            while True:
                self._run_effects(self.membership.tick(trio.current_time()))
                self._update_chart()
                with trio.move_on_after(TICK_S):
                    await self._tick_now.wait()
                self._tick_now = trio.Event()

    async def leave_view(self) -> None:
        """Leave the view for good; return when this instance is not in it.

        It requires that `serve` runs, and does not return while the store is down.
        """
        self.set_wanted(False)
        self.stopping = True
        while self.membership.is_member:  # noqa: ASYNC110
            await trio.sleep(TICK_S / 2)
        event("members.left", epoch=self.epoch, holding=list(self.servers_to_release()))

    async def hand_over(self) -> None:
        """Return when no work is left here and the members of the view without it know that."""
        while self.servers_to_release() or not self.membership.has_left():  # noqa: ASYNC110
            await trio.sleep(TICK_S / 2)
        event("members.handed_over", epoch=self.epoch)

    def set_wanted(self, wanted: bool) -> None:
        """Set whether this instance should be a member, according to its row of the table.

        It has no effect once the instance has begun to stop.
        """
        if self.stopping:
            return
        if wanted != self.membership.wanted:
            event("members.wanted", wanted=wanted, epoch=self.epoch)
        self.membership.set_wanted(wanted, trio.current_time())
        self._tick_now.set()

    def use_weights(self, weights: Weights) -> None:
        """Use the weights of the table; the live member of lowest rank writes them to the view."""
        self.membership.use_weights(weights)
        self._tick_now.set()

    async def confirm_stopped(self, instance: str) -> View:
        """Record the operator's confirmation that the lost processes of an instance have stopped.

        It applies to departed processes and to a member that does not answer. Raises `not_ready`
        without a view, `bad_request` if the instance still answers, `store_unavailable` or
        `version_conflict`.
        """
        for _ in range(CONFIRM_ATTEMPTS):
            view = await self._confirm_once(instance)
            if view is not None:
                return view
            await trio.sleep(CONFIRM_RETRY_S)
        if any(member.instance == instance for member in self.members):
            raise RelayError("bad_request", f"{instance} still answers", step="confirm stopped")
        raise RelayError("version_conflict", self.key, step="confirm stopped")

    async def _confirm_once(self, instance: str) -> View | None:
        """Return the view with the confirmation, None if the attempt has to be repeated."""
        entry, stored = await self.view_store.read()
        if stored is not None:
            self._adopt(stored)
        view = self.membership.view
        if view is None:
            raise RelayError("not_ready", "no view yet", step="confirm stopped")
        if stored is None or stored.epoch < view.epoch:
            await self.view_store.write_back(entry, stored)
            return None
        now = trio.current_time()
        silent = self.membership.unreachable(now)
        if not _has_unconfirmed(instance, view, silent):
            listed = any(member.instance == instance for member in view.members)
            return None if listed else view
        target = with_stopped(view, instance, silent, self.membership.evidence, now)
        if not await self.view_store.change(target, entry, stored):
            return None
        event("members.confirmed_stopped", instance=instance, epoch=target.epoch)
        return target

    def document(self) -> Document:
        """Return the adopted view as a document, with revision 0 if there is none."""
        view = self.membership.view
        return Document(self.key, view.epoch, encode_view(view)) if view else Document(self.key, 0)

    def adopt_document(self, document: Document) -> bool:
        """Adopt a view from a peer if it is newer; return whether it was adopted."""
        try:
            view = decode_view(document.value)
        except DECODE_ERRORS as error:
            event("members.bad_view", error=str(error))
            return False
        return self._adopt(view)

    def servers_to_release(self) -> tuple[str, ...]:
        """Return the backend servers of other owners at which this instance still has work."""
        return self.membership.servers_to_release(self.unreleased_servers())

    def is_selected(self, name: str, count: int) -> bool:
        """Return whether this is one of the `count` live members ranked first for a name."""
        return self.membership.is_selected(name, count, trio.current_time())

    async def on_heartbeat(self, message: Heartbeat) -> HeartbeatAck:
        """Acknowledge a heartbeat with the adopted epoch.

        If the number of the sender is unknown, the acknowledgement confirms no epoch; the sender
        then sends its name in the next heartbeat.
        """
        now = trio.current_time()
        self.heartbeat_encoder.received(message)
        sender = self._sender(message)
        releasing = self.servers_to_release()
        if sender is not None:
            self._process_heartbeat(sender, message, releasing, now)
        ack = HeartbeatAck(
            epoch=self.membership.ack_epoch(sender, message.epoch),
            sequence=message.sequence,
            holding=releasing,
        )
        if self.membership.view is None or self.membership.view.member(sender) is None:
            ack = ack._replace(digest=revisions(self.digest()), whole=True)
        elif message.sender:
            ack = self._piggyback(ack, sender, message.epoch, now)
        return self.heartbeat_encoder.ack(ack, message)

    def _process_heartbeat(
        self, sender: Identity, message: Heartbeat, releasing: tuple[str, ...], now: float
    ) -> None:
        if message.acked:
            self.digest_feed.acknowledged("/".join(sender), message.acked)
            self._run_effects(
                self.membership.on_piggybacked_ack(
                    sender, message.epoch, message.acked, message.holding, now
                )
            )
        self._run_effects(self.membership.on_heartbeat(sender, message.epoch, releasing, now))
        self.on_digest(sender.instance, message.digest, bool(message.whole))
        if message.blocked:
            self.on_blocked(message.blocked)

    def _piggyback(self, ack: HeartbeatAck, to: Identity, epoch: int, now: float) -> HeartbeatAck:
        """Return the acknowledgement, with a heartbeat of this process piggybacked if due."""
        sequence = self.membership.piggybacked_heartbeat(to, epoch, now)
        if not sequence:
            return ack
        entries = self.digest_feed.entries("/".join(to), sequence, self.digest(), now)
        return ack._replace(
            carried=sequence,
            digest=revisions(entries.revisions),
            whole=entries.whole,
            blocked=tuple(self.blocked()),
        )

    def _sender(self, message: Heartbeat | HeartbeatAck) -> Identity | None:
        """Return the process that sent a message, None if its number is unknown."""
        if message.instance:
            return Identity(message.instance, message.incarnation)
        return self.membership.identity_by_number.get(message.sender)

    def _update_chart(self) -> None:
        """Send the current conditions to the chart if one of them has changed."""
        conditions = (
            "wanted" if self.membership.wanted else "unwanted",
            "joined" if self.membership.is_member else "removed",
            "quorum" if self.lease_left() > 0 else "quorum_lost",
        )
        if conditions == self.conditions:
            return
        self.conditions = conditions
        for condition in conditions:
            self.chart.send(condition, cause=f"epoch {self.epoch}")

    # Effects.

    def _run_effects(self, effects: list[Effect]) -> None:
        if self._nursery is None:
            return
        for effect in effects:
            if isinstance(effect, SendHeartbeat):
                self._nursery.start_soon(self._send_heartbeat, effect)
            elif isinstance(effect, FetchView):
                self._start_fetch(effect.instance)
            else:
                self._queue_store_effect(effect)

    def _queue_store_effect(self, effect: Effect) -> None:
        try:
            self._store_effects.send_nowait(effect)
        except trio.WouldBlock:
            event("members.store_busy", effect=type(effect).__name__)

    async def _send_heartbeat(self, heartbeat: SendHeartbeat) -> None:
        to = heartbeat.to.identity
        peer = "/".join(to)
        now = trio.current_time()
        entries = self.digest_feed.entries(peer, heartbeat.sequence, self.digest(), now)
        acked = self.membership.piggybacked_ack(to, heartbeat.epoch)
        message = Heartbeat(
            epoch=heartbeat.epoch,
            sequence=heartbeat.sequence,
            digest=revisions(entries.revisions),
            whole=entries.whole,
            blocked=tuple(self.blocked()),
            acked=acked,
            holding=self.servers_to_release() if acked else (),
        )
        message = self.heartbeat_encoder.heartbeat(to, message)
        try:
            ack = await self.peers.call(heartbeat.to.instance, message, HEARTBEAT_TIMEOUT_S)
        except RelayError:
            self.heartbeat_encoder.failed(to)
            return
        self.heartbeat_encoder.received(ack)
        self.digest_feed.acknowledged(peer, heartbeat.sequence)
        self._process_ack(heartbeat, ack)

    def _process_ack(self, heartbeat: SendHeartbeat, ack: HeartbeatAck) -> None:
        sender = self._sender(ack)
        agreed = sender == heartbeat.to.identity and ack.epoch == self.epoch
        self.heartbeat_encoder.answered(heartbeat.to.identity, ack, agreed=agreed)
        if sender is None:
            return
        if ack.digest or ack.carried or ack.whole:
            self.on_digest(sender.instance, ack.digest, bool(ack.whole))
        if ack.blocked:
            self.on_blocked(ack.blocked)
        now = trio.current_time()
        self._run_effects(
            self.membership.on_ack(sender, ack.epoch, heartbeat.sequence, ack.holding, now)
        )
        if ack.carried:
            self.membership.on_piggybacked_heartbeat(sender, ack.epoch, ack.carried)

    def _start_fetch(self, instance: str) -> None:
        if instance not in self.fetching:
            self.fetching.add(instance)
            self._nursery.start_soon(self._fetch, instance)

    async def _fetch(self, instance: str) -> bool:
        """Ask an instance for its view; return whether it answered."""
        try:
            reply = await self.peers.call(instance, Pull(self.key, self.epoch), FETCH_TIMEOUT_S)
        except RelayError:
            return False
        finally:
            self.fetching.discard(instance)
        if reply.value:
            self.adopt_document(reply)
        return True

    async def _serve_store(self) -> None:
        async for effect in self._store_queue:
            try:
                if isinstance(effect, ProposeView):
                    await self.view_store.propose(effect)
                elif isinstance(effect, ReadStore):
                    await self._refresh()
            except RelayError as error:
                log_store_error(error)

    async def _refresh(self) -> None:
        """Read the view from the store and, while not a member, from the platform's contacts."""
        if not self.membership.is_member:
            await self._fetch_from_contacts()
        if trio.current_time() < self.next_read_at:
            return
        try:
            entry, view = await self.view_store.read()
        except RelayError:
            self.next_read_at = trio.current_time() + self.read_backoff.record_failure()
            raise
        self.read_backoff.record_success()
        if entry is not None and view is None:
            return
        now = trio.current_time()
        if view is None and self.contact_unanswered and now < self.started_at + FIRST_VIEW_WAIT_S:
            return
        before = self.epoch
        self._run_effects(self.membership.on_store_read(view, trio.current_time()))
        self._publish(before)

    async def _fetch_from_contacts(self) -> None:
        if trio.current_time() < self.contacted_at + CONTACT_INTERVAL_S:
            return
        self.contacted_at = trio.current_time()
        listed = await self.contacts()
        if listed:
            self.membership.list_instances(member.address for member in listed)
        contacts = [member for member in listed if member.address != self.me.address]
        known = {member.instance for member in self.members}
        new = [member for member in contacts if member.instance not in known][:MAX_CONTACTS]
        self._update_peers(new)
        self.contact_unanswered = False
        async with trio.open_nursery() as nursery:
            for member in new:
                nursery.start_soon(self._fetch_from_contact, member.instance)

    async def _fetch_from_contact(self, instance: str) -> None:
        if instance not in self.fetching:
            self.fetching.add(instance)
            if not await self._fetch(instance):
                self.contact_unanswered = True

    def _adopt(self, view: View) -> bool:
        before = self.epoch
        self._run_effects(self.membership.adopt_view(view, trio.current_time()))
        return self._publish(before)

    def _publish(self, before: int) -> bool:
        """Publish the adopted view if its epoch is not `before`; return whether it is new."""
        view = self.membership.view
        if view is None or view.epoch == before:
            return False
        event(
            "members.view",
            epoch=view.epoch,
            members=[member.instance for member in view.members],
            departed=[entry.member.instance for entry in view.departed],
            member=self.membership.is_member,
        )
        self._update_peers([])
        self.view.set(view)
        self._tick_now.set()
        return True

    def _update_peers(self, contacts: list[Member]) -> None:
        view = self.membership.view
        members = list(view.members) if view else []
        departed = [entry.member for entry in view.departed] if view else []
        known = {member.instance: member for member in (*contacts, *departed, *members)}
        self.peers.update(known.values())
        identities = [member.identity for member in (*members, *departed)]
        self.digest_feed.retain_peers("/".join(identity) for identity in identities)
        self.heartbeat_encoder.retain(identities)


def _has_unconfirmed(instance: str, view: View, silent: list[Member]) -> bool:
    """Return whether a process of an instance is lost and not known to have ended."""
    departed = [entry.member for entry in view.departed if not entry.gone]
    return any(member.instance == instance for member in (*silent, *departed))
