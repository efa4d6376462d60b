"""Feed from the platform's store: configuration, searchers and instances."""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec
import trio

from ..decide.canary import BLOCK_S, SharedEntry
from ..decide.freshness import WatchPace, freshness_times
from ..decide.missing_entries import unlisted_in_use
from ..decide.store_readers import MIN_FLEET_WITH_READERS, readers_for
from ..errors import RelayError
from ..http.plain import is_ipv4
from ..log import event
from ..relay import Change, DeploymentState, Instance, Item, Listen, Peer, Peers, StoreSharing
from ..store import NoResponse
from ..store.backoff import Backoff
from ..wire import Handlers
from . import documents
from .store import HistoryGone, Page, PlatformStore

__all__ = ["PlatformFeed"]

#: Time in seconds, for each instance that reads the store, in which changes of searchers are
#: batched into one call: every change wakes all readers, so calls would grow with their square.
BATCH_S = 0.02
MIN_BATCH_S = 0.15
#: Longest batching time, as a share of the time for which a draining searcher still serves.
MAX_BATCH_SHARE = 0.2
#: Time in seconds after the start in which other instances may not be known yet.
STARTUP_S = 10.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
#: The same for an instance with readers, which are back first after an outage. Otherwise the calls
#: in an outage would grow with the fleet.
FOLLOWER_FIRST_PAUSE_S = 3.0
FOLLOWER_LONGEST_PAUSE_S = 8.0
#: Duration of an instance's lease, and period of its renewal, in seconds.
LEASE_S = 15.0
RENEW_PERIOD_S = 4.0
#: Time in seconds within which a new entry appears in the list, of which stale answers are old.
LISTED_S = 8.0
#: Time between two reads of the list of instances, in seconds for each listed instance. Until
#: `STARTUP_S` after the start it is read with each renewal: others may be starting too, and a stale
#: answer can be seconds old.
INSTANCES_READ_S = 0.2
#: Longest wait in seconds of a watch of the instances. A change ends it at once; a watch that has
#: gone silent is noticed later than for searchers, whose changes have a bound in time.
INSTANCES_CYCLE_S = 4.0
#: Mean time in seconds between two attempts to find a reader to follow.
READER_CHECK_S = 1.0
#: Time in seconds without a reader after which this instance reads the store. Reading it costs two
#: lists and two watches, which each change wakes.
UNFOLLOWED_S = 0.5
#: Time in seconds in which the instances of a fleet that starts for the first time register.
REGISTRATION_S = 1.0
#: Time in seconds for which a reader that failed or does not read the store is avoided, and the
#: longest one; it doubles with each failure in a row, since going over to a reader and back costs
#: two lists.
READER_PAUSE_S = 4.0
LONGEST_READER_PAUSE_S = 30.0
#: The same until `STARTUP_S` after the start, when the reader may still be starting too.
STARTING_READER_PAUSE_S = 0.1
#: `READER_CHECK_S` until then.
STARTING_CHECK_S = 0.2
#: Time in seconds after a restore of the store in which operators and searchers write again what it
#: has lost. Until then, what had left or was taken out stays so.
HOLD_S = 5.0
INSTANCE_PREFIX = "rattanrelay/instances/"
QUARANTINE_PREFIX = "rattanrelay/quarantine/"
#: An answer of the store is logged if its changes may be this old, in seconds, or are this many.
LATE_S = 2.0
MANY_CHANGES = 100
#: Prefixes of which instances exchange the state while the store does not answer one of them.
SHARED_PREFIXES = (documents.OPERATOR_PREFIX, documents.SEARCHER_PREFIX)
#: Number of attempts to keep a quarantine in the store.
SAVE_ATTEMPTS = 5


class PlatformFeed:
    """Implements `Feed` by watches of the store, or by following an instance that watches it."""

    def __init__(
        self, store: Listen, instance: Instance, rng: random.Random, *, first_start: bool = False
    ) -> None:
        self.store = PlatformStore(store.host, store.port)
        self.instance = instance
        self.rng = rng
        #: Whether the other instances register at the same time as this one.
        self.first_start = first_start
        self.lease: int | None = None
        #: The history of the store in which the lease was granted.
        self.lease_era = 0
        self.leaving = False
        #: Whether the last list of instances has this one, and the time of its registration.
        self.is_listed = False
        self.registered_at = 0.0
        #: Number of instances from which some of them read the store for the others.
        self.min_instances = MIN_FLEET_WITH_READERS
        self.started = 0.0
        self.deployment: DeploymentState | None = None
        self.change_handlers = {
            documents.OPERATOR_PREFIX: self._apply_operator,
            documents.SEARCHER_PREFIX: self._apply_searchers,
            INSTANCE_PREFIX: self._apply_instances,
        }
        self.sharing = StoreSharing(self.change_handlers, self._apply, [INSTANCE_PREFIX])
        #: Cancel scope of this instance's own watches while it reads the store itself.
        self.direct_scope: trio.CancelScope | None = None
        #: Time until which lists may lack what is written again, by prefix.
        self._held_until = dict.fromkeys(self.change_handlers, -math.inf)
        self._nursery: trio.Nursery | None = None
        #: Set when the store answers a call after a failed one.
        self._store_back = trio.Event()
        #: Whether other instances read the store for this one.
        self.follows = False
        #: Whether this instance reads the store for others.
        self.is_reader = False
        #: Instances in the store, as this instance or its reader watches them.
        self.listed: list[Instance] = []
        self.peers: Peers | None = None
        #: Name of the reader that this instance follows.
        self.reader = ""
        #: Time until which each failed reader is avoided.
        self._avoided_until: dict[str, float] = {}
        #: Number of failures in a row of each reader while the store answered this instance.
        self._reader_failures: Counter[str] = Counter()
        #: Time at which each reader failed last.
        self._reader_failed_at: dict[str, float] = {}
        self._next_read_at = 0.0

    @property
    def calls(self) -> dict[str, int]:
        """Calls to the store by kind."""
        return self.store.calls

    @property
    def searchers_unknown_for(self) -> float:
        """Seconds in which changes of searchers may have been missed; 0 before the first list."""
        return self.sharing.unknown_for(documents.SEARCHER_PREFIX)

    def serve(self, handlers: Handlers) -> None:
        """Let other instances follow this one."""
        self.sharing.serve(handlers)

    async def run(self, deployment: DeploymentState, peers: Peers) -> None:
        """Keep the deployment state and the list of instances up to date until cancelled."""
        self.started = trio.current_time()
        self.deployment = deployment
        self.peers = peers
        self.sharing.times = freshness_times(deployment.bounds.drain)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self.first_start:
                await self._try_register()
                await trio.sleep(REGISTRATION_S)
            await self._try_read_instances()
            nursery.start_soon(self._keep_registered)
            nursery.start_soon(self._follow_or_read, peers, nursery)

    async def leave(self) -> None:
        """Remove this instance from the list; errors are logged."""
        self.leaving = True
        if self._lease_valid:
            try:
                await self.store.end(self.lease)
            except RelayError as error:
                event("instance.leave_failed", reason=str(error))

    async def save_quarantine(self, entry: SharedEntry) -> None:
        """Keep a quarantine for instances that start; errors are logged."""
        key = QUARANTINE_PREFIX + entry.name
        backoff = Backoff(self.rng)
        for _ in range(SAVE_ATTEMPTS):
            try:
                lease = await self.store.lease(entry.seconds_left)
                if await self.store.put(key, msgspec.json.encode(entry.name), lease):
                    return
            except RelayError as error:
                event("quarantine.not_saved", fingerprint=entry.name, reason=str(error))
            await trio.sleep(backoff.record_failure())

    async def quarantines(self) -> list[SharedEntry]:
        """Return the quarantines that are kept; raises `RelayError`."""
        if self.first_start:
            return []
        page = await self.store.list(QUARANTINE_PREFIX, stale=True)
        names = [item.key.removeprefix(QUARANTINE_PREFIX) for item in page.items]
        return [SharedEntry(name, int(BLOCK_S)) for name in names]

    async def _follow_or_read(self, peers: Peers, nursery: trio.Nursery) -> None:
        """Follow a reader if there is one, and read the store otherwise.

        The loss of a reader wakes all its followers, so each tries the other readers first.
        """
        reread = False
        nursery.start_soon(self._read_if_unfollowed, nursery)
        while True:
            while (reader := self._choose_reader(peers)) is not None:
                self.follows, self.is_reader = True, False
                if await self._follow(reader, peers):
                    nursery.start_soon(self._read_if_unfollowed, nursery)
            self.follows = bool(self._readers(peers))
            self.is_reader = not self.follows and len(peers.known) + 1 >= self.min_instances
            if not self.follows:
                self._read_directly(nursery)
            starting = trio.current_time() < self.started + STARTUP_S
            period = STARTING_CHECK_S if starting else READER_CHECK_S
            await trio.sleep(period * self.rng.uniform(0.8, 1.2))
            if (reader := self._reader_to_probe(peers)) and await self._follow(reader, peers):
                nursery.start_soon(self._read_if_unfollowed, nursery)
            if not reread and trio.current_time() >= self.started + REGISTRATION_S:
                # Instances that start at the same time are missing from the first list.
                reread = True
                await self._try_read_instances()

    def _choose_reader(self, peers: Peers) -> Peer | None:
        """Return the reader to follow, or None if this instance has to read the store itself."""
        now = trio.current_time()
        for name in self._readers(peers):
            if self._avoided_until.get(name, now) <= now:
                return peers.known[name]
        return None

    def _reader_to_probe(self, peers: Peers) -> Peer | None:
        """Return the reader that failed first if the store does not answer this instance.

        In an outage all readers fail, and are back before their pauses end.
        """
        readers = self._readers(peers)
        if not readers or self.deployment.store_available_since is not None:
            return None
        return peers.known[min(readers, key=lambda name: self._reader_failed_at.get(name, 0.0))]

    def _readers(self, peers: Peers) -> tuple[str, ...]:
        """Return the names of the readers, none if this instance has to read the store itself."""
        domains = {name: peer.instance.domain for name, peer in peers.known.items()}
        cores = {name: peer.instance.cores for name, peer in peers.known.items()}
        own_name, domain = self.instance.name, self.instance.domain
        cores[own_name] = self.instance.cores
        return readers_for(own_name, domain, domains, self.min_instances, cores)

    async def _follow(self, reader: Peer, peers: Peers) -> bool:
        """Follow a reader until it fails or another one is preferred; return whether it began."""
        name = reader.instance.name

        def keep_following() -> bool:
            self.deployment.mark_store_available(trio.current_time())
            if self.reader != name:
                self.reader = name
                del self._reader_failures[name]
                event("store.read_by", reader=name)
                self._stop_reading()
            return self._choose_reader(peers) is reader

        reason = "another reader is preferred"
        try:
            if not await self._follow_link(reader, peers, keep_following):
                await self._follow_link(reader, peers, keep_following, last=True)
        except RelayError as error:
            reason = str(error)
            now = trio.current_time()
            self._reader_failed_at[name] = now
            self._avoided_until[name] = now + self._reader_pause(name, now)
        followed = self.reader == name
        self.reader = ""
        event("store.reader_left", reader=name, reason=reason)
        return followed

    async def _follow_link(
        self, reader: Peer, peers: Peers, keep_following: Callable[[], bool], *, last: bool = False
    ) -> bool:
        """Follow a reader; return False if the link to it has gone silent.

        Raises `RelayError` if the reader fails, or with `last` for any end.
        """
        link = await peers.link(reader)
        if last and not await link.check():
            raise RelayError("peer_unavailable", "a new link is silent too", step="follow")
        try:
            await self.sharing.follow(link, keep_following)
        except RelayError:
            if last or link.closed or await link.check():
                raise
            return False
        return True

    def _reader_pause(self, name: str, now: float) -> float:
        """Count a failure of a reader and return for how long to avoid it, in seconds."""
        if now < self.started + STARTUP_S:
            return STARTING_READER_PAUSE_S
        if self.deployment.store_available_since is None:
            return READER_PAUSE_S
        self._reader_failures[name] += 1
        doublings = min(self._reader_failures[name] - 1, 8)
        return min(LONGEST_READER_PAUSE_S, READER_PAUSE_S * 2.0**doublings)

    async def _read_if_unfollowed(self, nursery: trio.Nursery) -> None:
        """Read the store if this instance follows no reader some time after this call."""
        await trio.sleep(UNFOLLOWED_S)
        if not self.reader:
            self._read_directly(nursery)

    def _read_directly(self, nursery: trio.Nursery) -> None:
        if self.direct_scope is None:
            self.direct_scope = trio.CancelScope()
            nursery.start_soon(self._read_store, self.direct_scope)

    def _stop_reading(self) -> None:
        self.sharing.stop_reading()
        if self.direct_scope is not None:
            self.direct_scope.cancel()
            self.direct_scope = None

    async def _read_store(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, documents.OPERATOR_PREFIX)
                nursery.start_soon(self._watch, documents.SEARCHER_PREFIX)
                # Only a reader watches the instances: a change of one would wake all others.
                while not self.is_reader:  # noqa: ASYNC110
                    await trio.sleep(STARTING_CHECK_S)
                nursery.start_soon(self._watch, INSTANCE_PREFIX)

    async def _watch(self, prefix: str) -> None:
        """Keep reading the changes under a prefix, starting with a list if one is needed."""
        deployment, sharing = self.deployment, self.sharing
        reader_backoff = Backoff(self.rng, first=FIRST_PAUSE_S, longest=LONGEST_PAUSE_S)
        follower_backoff = Backoff(
            self.rng, first=FOLLOWER_FIRST_PAUSE_S, longest=FOLLOWER_LONGEST_PAUSE_S
        )
        times = freshness_times(deployment.bounds.drain)
        pace = WatchPace(times.cycle)
        #: Whether the last call failed, and whether one without a response was repeated at once.
        failed = repeated = False
        while True:
            backoff = follower_backoff if self.follows else reader_backoff
            if prefix == INSTANCE_PREFIX:
                pace.cycle = INSTANCES_CYCLE_S
            else:
                pace.cycle = times.shared_cycle if self.is_reader else times.cycle
            known = sharing.revisions[prefix]
            started = trio.current_time()
            try:
                if known is None:
                    page = await self.store.list(prefix)
                else:
                    page = await self.store.watch(prefix, known, pace.wait)
            except HistoryGone:
                event("store.history_gone", prefix=prefix, revision=known)
                sharing.invalidate(prefix)
                continue
            except RelayError as error:
                pace.record_failure()
                if isinstance(error, NoResponse) and not (failed or repeated):
                    repeated = True
                    # The connection may have gone silent or been cut; the next call uses a new one.
                    event("store.call_repeated", prefix=prefix, reason=str(error))
                    continue
                failed = True
                sharing.record_failure(prefix)
                deployment.mark_store_unavailable(str(error))
                # The store is back for all lists as soon as it answers for one of them.
                with trio.move_on_after(backoff.record_failure()):
                    await self._store_back.wait()
                continue
            if known is not None and page.era != sharing.eras[prefix]:
                sharing.invalidate(prefix)
                continue
            unknown = sharing.unknown_for(prefix)
            age = pace.pause if pace.caught_up and known is not None else unknown
            self._log_late(prefix, page, known is None, unknown)
            if failed:
                self._store_back.set()
                self._store_back = trio.Event()
            failed = repeated = False
            backoff.record_success()
            deployment.mark_store_available(trio.current_time())
            sharing.publish(
                Change(prefix, tuple(page.items), known is None, page.store_revision, age, page.era)
            )
            if known is None:
                pace.record_list()
            else:
                batch = 0.0 if prefix == documents.OPERATOR_PREFIX else self._batch_time()
                pace.record_changes(len(page.items), page.to_latest, batch)
            if pace.caught_up:
                sharing.record_known(prefix)
                if prefix == documents.OPERATOR_PREFIX:
                    # The answer may have been read long after the store sent it.
                    deployment.record_configuration_known(started)
            if pace.pause:
                await trio.sleep(pace.pause)

    def _log_late(self, prefix: str, page: Page, whole: bool, unknown: float) -> None:
        """Log an answer with many changes, or with changes that may be old."""
        if page.items and (unknown >= LATE_S or len(page.items) >= MANY_CHANGES):
            event(
                "store.changes",
                prefix=prefix,
                changes=len(page.items),
                whole=whole,
                revision=page.store_revision,
                to_latest=whole or page.to_latest,
                unknown_s=round(unknown, 3),
            )

    def _batch_time(self) -> float:
        deployment = self.deployment
        longest = MAX_BATCH_SHARE * deployment.bounds.drain
        if trio.current_time() < self.started + STARTUP_S:
            return longest
        readers = deployment.domains if self.sharing.followed else deployment.instances
        return min(longest, max(MIN_BATCH_S, BATCH_S * readers))

    def _apply(self, change: Change) -> None:
        now = trio.current_time()
        if change.restored:
            event("store.restored", prefix=change.prefix, era=change.era, revision=change.revision)
            self.deployment.mark_store_restored(now)
            self._nursery.start_soon(self._apply_again, change.prefix)
            self._held_until[change.prefix] = now + HOLD_S
        if change.prefix in SHARED_PREFIXES:
            self.deployment.positions[change.prefix] = change.era, change.revision
        self.change_handlers[change.prefix](change)

    async def _apply_again(self, prefix: str) -> None:
        """Apply the state under a prefix some time after a restore, as the store has it then."""
        await trio.sleep(HOLD_S)
        items, revision = self.sharing.items[prefix], self.sharing.revisions[prefix]
        if revision is not None:
            self._apply(
                Change(prefix, tuple(items.values()), True, revision, era=self.sharing.eras[prefix])
            )

    def _holds(self, change: Change) -> bool:
        """Return whether a list may lack what is written again after a restore."""
        return change.whole and trio.current_time() < self._held_until[change.prefix]

    def _apply_operator(self, change: Change) -> None:
        deployment = self.deployment
        keep = not change.whole or self._holds(change)
        out = set(deployment.excluded_domains) if keep else set()
        for item in change.items:
            domain = documents.out_domain(item.key)
            if domain is not None:
                if item.value is None:
                    out.discard(domain)
                else:
                    out.add(domain)
            elif item.key == documents.CONFIG_KEY and item.value is not None:
                self._apply_configuration(item)
        deployment.set_excluded_domains(frozenset(out))

    def _apply_configuration(self, item: Item) -> None:
        try:
            catalog = documents.catalog(item.value)
        except ValueError as error:
            event("configuration.rejected", revision=item.revision, reason=str(error))
            return
        self.deployment.apply_catalog(catalog)

    def _apply_searchers(self, change: Change) -> None:
        deployment = self.deployment
        now = trio.current_time()
        present = set()
        for item in change.items:
            name = item.key.removeprefix(documents.SEARCHER_PREFIX)
            if item.value is None:
                deployment.mark_missing(name, now, change.age)
                continue
            record = documents.searcher_record(item.key, item.value)
            if record is None:
                event("searcher.unreadable", searcher=name, revision=item.revision)
                deployment.mark_missing(name, now, change.age)
                continue
            if self._holds(change) and deployment.has_gone(record):
                continue
            present.add(name)
            deployment.apply_record(record, now)
        if change.whole:
            for name in set(deployment.searchers) - present:
                deployment.mark_missing(name, now, change.age)
            if not deployment.searchers_listed:
                deployment.searchers_listed = True
                event("searchers.listed", searchers=len(present))

    def _apply_instances(self, change: Change) -> None:
        self.listed = _instances(self.sharing.items[INSTANCE_PREFIX].values())
        self._use_instances(self.listed)

    def _use_instances(self, instances: Sequence[Instance]) -> None:
        """Use the listed instances, and for a time those that an outage has removed."""
        deployment, peers, now = self.deployment, self.peers, trio.current_time()
        names = {instance.name for instance in instances}
        self.is_listed = self.instance.name in names
        kept = unlisted_in_use(peers.known, names, now, deployment.store_available_since)
        instances = [*instances, *(peers.known[name].instance for name in sorted(kept))]
        domains = {instance.name: instance.domain for instance in instances}
        deployment.update_instances(domains, now)
        peers.update_instances(instances)

    @property
    def _instances_watched(self) -> bool:
        """Whether this instance or its reader watches the list of instances."""
        read = self.sharing.revisions[INSTANCE_PREFIX] is not None
        return read and bool(self.reader or self.is_reader)

    async def _try_register(self) -> None:
        """Register this instance; errors are logged, and `_keep_registered` repeats the attempt."""
        try:
            await self._renew()
        except RelayError as error:
            event("instance.not_registered", reason=str(error))

    async def _try_read_instances(self) -> None:
        """Read the list of instances, from which readers are chosen; errors are logged."""
        try:
            await self._read_instances()
        except RelayError as error:
            event("instances.unknown", reason=str(error), known=self.deployment.instances)

    async def _keep_registered(self) -> None:
        """Keep this instance's entry under a lease, and read the entries of the others."""
        while True:
            try:
                if not self.leaving:
                    await self._renew()
                if self._instances_watched:
                    self._use_instances(self.listed)
                elif trio.current_time() >= self._next_read_at:
                    await self._read_instances()
            except RelayError as error:
                event("instances.unknown", reason=str(error), known=self.deployment.instances)
            await trio.sleep(RENEW_PERIOD_S * self.rng.uniform(0.8, 1.2))

    async def _read_instances(self) -> None:
        deployment = self.deployment
        now = trio.current_time()
        if now >= self.started + STARTUP_S:
            self._next_read_at = now + INSTANCES_READ_S * deployment.instances
        page = await self.store.list(INSTANCE_PREFIX, stale=True)
        if not self._instances_watched:
            self._use_instances(_instances(page.items))

    @property
    def _lease_valid(self) -> bool:
        """Whether the lease was granted in the present history; others may have its number now."""
        return self.lease is not None and self.lease_era == self.store.era

    async def _renew(self) -> None:
        """Renew the lease; write the entry again if it is gone, as can happen under a lease."""
        if self._lease_valid and await self.store.keep(self.lease) and self._lease_valid:
            if self.is_listed or trio.current_time() < self.registered_at + LISTED_S:
                return
            event("instance.not_listed")
        else:
            self.lease = await self.store.lease(LEASE_S)
            self.lease_era = self.store.era
        self.registered_at = trio.current_time()
        key = INSTANCE_PREFIX + self.instance.name
        if not await self.store.put(key, msgspec.json.encode(self.instance), self.lease):
            self.lease = None


def _instances(items: Iterable[Item]) -> list[Instance]:
    """Decode the list of instances; unreadable entries are logged and left out.

    Fields that a newer build may have added at the end are ignored.
    """
    instances = []
    for item in items:
        try:
            fields = documents.decode_json(item.value or b"", list)
            instance = msgspec.convert(fields[: len(Instance._fields)], Instance)
            if not is_ipv4(instance.host) or item.key != INSTANCE_PREFIX + instance.name:
                raise ValueError(f"no IPv4 address {instance.host!r}, or the name of another key")
            instances.append(instance)
        except (ValueError, msgspec.ValidationError) as error:
            event("instance.unreadable", key=item.key, reason=str(error))
    return instances
