"""Feed from the platform's store: configuration, searchers and instances."""

import random
from collections.abc import Sequence

import msgspec
import trio

from ..decide.store_readers import MIN_FLEET_WITH_READERS, readers_for
from ..errors import RelayError
from ..log import event
from ..relay import Change, DeploymentState, Instance, Item, Listen, Peer, Peers, StoreSharing
from ..store.backoff import Backoff
from ..wire import Handlers
from . import documents
from .store import HistoryGone, PlatformStore

__all__ = ["PlatformFeed"]

#: Time in seconds after which a watch without changes ends; an outage of the store is noticed at
#: most a second later.
WATCH_WAIT_S = 3.0
#: The same for the configuration while others follow this instance: a configuration must be in
#: force within 5 s, in which followers have to notice that their reader is cut off from the store.
FOLLOWED_WAIT_S = 1.5
#: Time in seconds, for each instance that reads the store, in which changes of searchers are
#: batched into one call: every change wakes all readers, so calls would grow with their square.
BATCH_S = 0.02
MIN_BATCH_S = 0.15
#: Longest batching time, as a share of the time for which a draining searcher still serves.
MAX_BATCH_SHARE = 0.3
#: Time in seconds after the start in which other instances may not be known yet.
STARTUP_S = 10.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
#: Duration of an instance's lease, and period of its renewal, in seconds.
LEASE_S = 15.0
RENEW_PERIOD_S = 4.0
#: Time between two reads of the list of instances, in seconds for each listed instance.
INSTANCES_READ_S = 0.2
#: Mean time in seconds between two attempts to find a reader to follow.
READER_CHECK_S = 1.0
#: Time in seconds after the start after which this instance reads the store if no reader answers.
FIRST_LIST_S = 0.5
#: Time in seconds for which a reader that failed or does not read the store is avoided.
READER_PAUSE_S = 4.0
#: The same until `STARTUP_S` after the start, when the reader may still be starting too; shorter
#: than the time between two attempts.
STARTING_READER_PAUSE_S = 0.5
INSTANCE_PREFIX = "rattanrelay/instances/"


class PlatformFeed:
    """Implements `Feed` by watches of the store, or by following an instance that watches it."""

    def __init__(self, store: Listen, instance: Instance, rng: random.Random) -> None:
        self.store = PlatformStore(store.host, store.port)
        self.instance = instance
        self.rng = rng
        self.lease: int | None = None
        self.leaving = False
        #: Number of instances from which some of them read the store for the others.
        self.min_instances = MIN_FLEET_WITH_READERS
        self.started = 0.0
        self.deployment: DeploymentState | None = None
        self.change_handlers = {
            documents.OPERATOR_PREFIX: self._apply_operator,
            documents.SEARCHER_PREFIX: self._apply_searchers,
        }
        self.sharing = StoreSharing(self.change_handlers, self._apply)
        #: Cancel scope of this instance's own watches while it reads the store itself.
        self.direct_scope: trio.CancelScope | None = None
        #: Name of the reader that this instance follows.
        self.reader = ""
        #: Time until which each failed reader is avoided.
        self._avoided_until: dict[str, float] = {}
        self._next_read_at = 0.0

    @property
    def calls(self) -> dict[str, int]:
        """Calls to the store by kind."""
        return self.store.calls

    def serve(self, handlers: Handlers) -> None:
        """Let other instances follow this one."""
        self.sharing.serve(handlers)

    async def run(self, deployment: DeploymentState, peers: Peers) -> None:
        """Keep the deployment state and the list of instances up to date until cancelled."""
        self.started = trio.current_time()
        self.deployment = deployment
        async with trio.open_nursery() as nursery:
            await self._try_read_instances(peers)
            nursery.start_soon(self._keep_registered, peers)
            nursery.start_soon(self._follow_or_read, peers, nursery)

    async def leave(self) -> None:
        """Remove this instance from the list; errors are logged."""
        self.leaving = True
        if self.lease is not None:
            try:
                await self.store.end(self.lease)
            except RelayError as error:
                event("instance.leave_failed", reason=str(error))

    async def _follow_or_read(self, peers: Peers, nursery: trio.Nursery) -> None:
        """Follow a reader if there is one, and read the store otherwise."""
        if self._choose_reader(peers) is not None:
            nursery.start_soon(self._read_if_late, nursery)
        reread = False
        while True:
            reader = self._choose_reader(peers)
            if reader is not None:
                await self._follow(reader, peers)
            self._read_directly(nursery)
            await trio.sleep(READER_CHECK_S * self.rng.uniform(0.8, 1.2))
            if not reread:
                # Instances that start at the same time are missing from the first list.
                reread = True
                await self._try_read_instances(peers)

    def _choose_reader(self, peers: Peers) -> Peer | None:
        """Return the reader to follow, or None if this instance has to read the store itself."""
        now = trio.current_time()
        domains = {name: peer.instance.domain for name, peer in peers.known.items()}
        own_name, domain = self.instance.name, self.instance.domain
        for name in readers_for(own_name, domain, domains, self.min_instances):
            if self._avoided_until.get(name, now) <= now:
                return peers.known[name]
        return None

    async def _follow(self, reader: Peer, peers: Peers) -> None:
        """Follow a reader until it fails or another one is preferred."""
        name = reader.instance.name

        def keep_following() -> bool:
            self.deployment.mark_store_available(trio.current_time())
            if self.reader != name:
                self.reader = name
                event("store.read_by", reader=name)
                self._stop_reading()
            return self._choose_reader(peers) is reader

        reason = "another reader is preferred"
        try:
            await self.sharing.follow(await peers.link(reader), keep_following)
        except RelayError as error:
            reason = str(error)
            now = trio.current_time()
            started_up = now >= self.started + STARTUP_S
            self._avoided_until[name] = now + (
                READER_PAUSE_S if started_up else STARTING_READER_PAUSE_S
            )
        self.reader = ""
        event("store.reader_left", reader=name, reason=reason)

    async def _read_if_late(self, nursery: trio.Nursery) -> None:
        await trio.sleep(FIRST_LIST_S)
        if not self.reader:
            self._read_directly(nursery)

    def _read_directly(self, nursery: trio.Nursery) -> None:
        if self.direct_scope is None:
            self.direct_scope = trio.CancelScope()
            nursery.start_soon(self._read_store, self.direct_scope)

    def _stop_reading(self) -> None:
        self.sharing.reading_store = False
        if self.direct_scope is not None:
            self.direct_scope.cancel()
            self.direct_scope = None

    async def _read_store(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for prefix in self.change_handlers:
                    nursery.start_soon(self._watch, prefix)

    async def _watch(self, prefix: str) -> None:
        """Keep reading the changes under a prefix, starting with a list if one is needed."""
        deployment, sharing = self.deployment, self.sharing
        backoff = Backoff(self.rng, first=FIRST_PAUSE_S, longest=LONGEST_PAUSE_S)
        while True:
            known = sharing.revisions[prefix]
            try:
                if known is None:
                    page = await self.store.list(prefix)
                else:
                    page = await self.store.watch(prefix, known, self._watch_wait(prefix))
            except HistoryGone:
                event("store.history_gone", prefix=prefix, revision=known)
                sharing.invalidate(prefix)
                continue
            except RelayError as error:
                sharing.reading_store = False
                deployment.mark_store_unavailable(str(error))
                await trio.sleep(backoff.record_failure())
                continue
            backoff.record_success()
            deployment.mark_store_available(trio.current_time())
            sharing.publish(Change(prefix, tuple(page.items), known is None, page.store_revision))
            sharing.reading_store = True
            if page.items and known is not None and prefix == documents.SEARCHER_PREFIX:
                await trio.sleep(self._batch_time())

    def _batch_time(self) -> float:
        deployment = self.deployment
        longest = MAX_BATCH_SHARE * deployment.bounds.drain
        if trio.current_time() < self.started + STARTUP_S:
            return longest
        readers = deployment.domains if self.sharing.followed else deployment.instances
        return min(longest, max(MIN_BATCH_S, BATCH_S * readers))

    def _watch_wait(self, prefix: str) -> float:
        followed = self.sharing.followed and prefix == documents.OPERATOR_PREFIX
        return FOLLOWED_WAIT_S if followed else WATCH_WAIT_S

    def _apply(self, change: Change) -> None:
        self.change_handlers[change.prefix](change.items, change.whole)

    def _apply_operator(self, items: Sequence[Item], whole: bool) -> None:
        deployment = self.deployment
        out = set() if whole else set(deployment.excluded_domains)
        for item in items:
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
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event("configuration.rejected", revision=item.revision, reason=str(error))
            return
        self.deployment.apply_catalog(catalog)

    def _apply_searchers(self, items: Sequence[Item], whole: bool) -> None:
        deployment = self.deployment
        now = trio.current_time()
        present = set()
        for item in items:
            name = item.key.removeprefix(documents.SEARCHER_PREFIX)
            if item.value is None:
                deployment.mark_missing(name, now)
                continue
            record = documents.searcher_record(item.key, item.value)
            if record is None:
                event("searcher.unreadable", searcher=name, revision=item.revision)
                deployment.mark_missing(name, now)
                continue
            present.add(name)
            deployment.apply_record(record, now)
        if whole:
            for name in set(deployment.searchers) - present:
                deployment.mark_missing(name, now)
            if not deployment.searchers_listed:
                deployment.searchers_listed = True
                event("searchers.listed", searchers=len(present))

    async def _try_read_instances(self, peers: Peers) -> None:
        """Read the list of instances, from which readers are chosen; errors are logged."""
        try:
            await self._read_instances(peers)
        except RelayError as error:
            event("instances.unknown", reason=str(error), known=self.deployment.instances)

    async def _keep_registered(self, peers: Peers) -> None:
        """Keep this instance's entry under a lease, and read the entries of the others."""
        while True:
            try:
                if not self.leaving:
                    await self._renew()
                if trio.current_time() >= self._next_read_at:
                    await self._read_instances(peers)
            except RelayError as error:
                event("instances.unknown", reason=str(error), known=self.deployment.instances)
            await trio.sleep(RENEW_PERIOD_S * self.rng.uniform(0.8, 1.2))

    async def _read_instances(self, peers: Peers) -> None:
        deployment = self.deployment
        self._next_read_at = trio.current_time() + INSTANCES_READ_S * deployment.instances
        page = await self.store.list(INSTANCE_PREFIX, stale=True)
        instances = _instances(page.items)
        domains = {instance.name: instance.domain for instance in instances}
        deployment.update_instances(domains, trio.current_time())
        peers.update_instances(instances)

    async def _renew(self) -> None:
        if self.lease is not None and await self.store.keep(self.lease):
            return
        self.lease = await self.store.lease(LEASE_S)
        key = INSTANCE_PREFIX + self.instance.name
        await self.store.put(key, msgspec.json.encode(self.instance), self.lease)


def _instances(items: list[Item]) -> list[Instance]:
    """Decode the list of instances; unreadable entries are logged and left out."""
    instances = []
    for item in items:
        try:
            instances.append(msgspec.json.decode(item.value or b"", type=Instance))
        except msgspec.DecodeError as error:
            event("instance.unreadable", key=item.key, reason=str(error))
    return instances
