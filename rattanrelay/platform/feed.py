"""Follows the platform's store: configuration, searchers and instances."""

import random
from collections.abc import Sequence

import msgspec
import trio

from ..decide.reading import MANY_INSTANCES, readers_for
from ..errors import RelayError
from ..log import event
from ..relay import Change, Instance, Item, Knowledge, Listen, Peer, Peers, StoreSharing
from ..store.backoff import Backoff
from ..wire import Handlers
from . import documents
from .store import HistoryGone, PlatformStore

__all__ = ["PlatformFeed"]

#: A watch without changes ends after this time; an outage shows at most a second later.
WATCH_WAIT_S = 3.0
#: The same for the configuration while others follow this instance: they have to notice within the
#: time in which a configuration must be in force, 5 s, that their reader is cut off.
FOLLOWED_WAIT_S = 1.5
#: Changes of searchers within this time are read by one call, in seconds for each instance that
#: reads: every change wakes all of them, so that calls would grow with their square.
GATHER_S = 0.02
LEAST_GATHER_S = 0.15
#: Longest such time, as a share of the time for which a leaving searcher still serves.
LONGEST_GATHER_SHARE = 0.3
#: Time after the start in which the other instances may not be known yet, in seconds.
SETTLE_S = 10.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
#: Time for which an instance stays listed without renewal, and how often it renews, in seconds.
LEASE_S = 15.0
RENEW_S = 4.0
#: Time between two reads of the list of instances, in seconds for each of them.
READ_S = 0.2
#: Pause between two looks for a reader to follow, in seconds.
LOOK_S = 1.0
#: Time after the start for which a reader is waited for before this instance reads, in seconds.
FIRST_LIST_S = 0.5
#: Time for which a reader that did not read is not followed, in seconds.
READER_PAUSE_S = 4.0
#: The same until `SETTLE_S` after the start, when the reader may have started as late; shorter than
#: the pause between two looks.
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
        #: Instances from which on the fleet has readers.
        self.many = MANY_INSTANCES
        self.started = 0.0
        self.knowledge: Knowledge | None = None
        self.takers = {
            documents.OPERATOR_PREFIX: self._take_operator,
            documents.SEARCHER_PREFIX: self._take_searchers,
        }
        self.sharing = StoreSharing(self.takers, self._take)
        #: Scope of this instance's own watches while it reads the store itself.
        self.direct: trio.CancelScope | None = None
        #: The reader that this instance follows.
        self.reader = ""
        self._avoided: dict[str, float] = {}
        self._read_at = 0.0

    @property
    def calls(self) -> dict[str, int]:
        """Calls to the store by kind."""
        return self.store.calls

    def serve(self, handlers: Handlers) -> None:
        """Let other instances follow this one."""
        self.sharing.serve(handlers)

    async def run(self, knowledge: Knowledge, peers: Peers) -> None:
        """Keep the knowledge and the list of instances up to date until cancelled."""
        self.started = trio.current_time()
        self.knowledge = knowledge
        async with trio.open_nursery() as nursery:
            await self._look_around(peers)
            nursery.start_soon(self._stay_listed, peers)
            nursery.start_soon(self._keep_informed, peers, nursery)

    async def leave(self) -> None:
        """Take the instance off the list; errors are logged."""
        self.leaving = True
        if self.lease is not None:
            try:
                await self.store.end(self.lease)
            except RelayError as error:
                event("instance.leave_failed", reason=str(error))

    async def _keep_informed(self, peers: Peers, nursery: trio.Nursery) -> None:
        """Follow a reader where the fleet has them, and read the store otherwise."""
        if self._choose_reader(peers) is not None:
            nursery.start_soon(self._read_if_late, nursery)
        looked = False
        while True:
            reader = self._choose_reader(peers)
            if reader is not None:
                await self._follow(reader, peers)
            self._read_directly(nursery)
            await trio.sleep(LOOK_S * self.rng.uniform(0.8, 1.2))
            if not looked:
                # Instances that start at once are not listed yet when the first of them look.
                looked = True
                await self._look_around(peers)

    def _choose_reader(self, peers: Peers) -> Peer | None:
        """Return the reader to follow; None if this instance has to read, or no reader is known."""
        now = trio.current_time()
        domains = {name: peer.instance.domain for name, peer in peers.known.items()}
        me, domain = self.instance.name, self.instance.domain
        for name in readers_for(me, domain, domains, self.many):
            if self._avoided.get(name, now) <= now:
                return peers.known[name]
        return None

    async def _follow(self, reader: Peer, peers: Peers) -> None:
        """Follow a reader until it is lost or another one is better."""
        name = reader.instance.name

        def heard() -> bool:
            self.knowledge.regained_store(trio.current_time())
            if self.reader != name:
                self.reader = name
                event("store.read_by", reader=name)
                self._stop_reading()
            return self._choose_reader(peers) is reader

        reason = "another reader is better"
        try:
            await self.sharing.follow(await peers.link(reader), heard)
        except RelayError as error:
            reason = str(error)
            now = trio.current_time()
            settled = now >= self.started + SETTLE_S
            self._avoided[name] = now + (READER_PAUSE_S if settled else STARTING_READER_PAUSE_S)
        self.reader = ""
        event("store.reader_left", reader=name, reason=reason)

    async def _read_if_late(self, nursery: trio.Nursery) -> None:
        await trio.sleep(FIRST_LIST_S)
        if not self.reader:
            self._read_directly(nursery)

    def _read_directly(self, nursery: trio.Nursery) -> None:
        if self.direct is None:
            self.direct = trio.CancelScope()
            nursery.start_soon(self._read_store, self.direct)

    def _stop_reading(self) -> None:
        self.sharing.reading = False
        if self.direct is not None:
            self.direct.cancel()
            self.direct = None

    async def _read_store(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for prefix in self.takers:
                    nursery.start_soon(self._watch, prefix)

    async def _watch(self, prefix: str) -> None:
        """Read everything under a prefix where that is not known, then its changes."""
        knowledge, sharing = self.knowledge, self.sharing
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
                sharing.forget(prefix)
                continue
            except RelayError as error:
                sharing.reading = False
                knowledge.lost_store(str(error))
                await trio.sleep(backoff.failed())
                continue
            backoff.succeeded()
            knowledge.regained_store(trio.current_time())
            sharing.took(Change(prefix, tuple(page.items), known is None, page.store_revision))
            sharing.reading = True
            if page.items and known is not None and prefix == documents.SEARCHER_PREFIX:
                await trio.sleep(self._gather_time())

    def _gather_time(self) -> float:
        knowledge = self.knowledge
        longest = LONGEST_GATHER_SHARE * knowledge.bounds.drain
        if trio.current_time() < self.started + SETTLE_S:
            return longest
        readers = knowledge.domains if self.sharing.followed else knowledge.instances
        return min(longest, max(LEAST_GATHER_S, GATHER_S * readers))

    def _watch_wait(self, prefix: str) -> float:
        followed = self.sharing.followed and prefix == documents.OPERATOR_PREFIX
        return FOLLOWED_WAIT_S if followed else WATCH_WAIT_S

    def _take(self, change: Change) -> None:
        self.takers[change.prefix](change.items, change.whole)

    def _take_operator(self, items: Sequence[Item], whole: bool) -> None:
        knowledge = self.knowledge
        out = set() if whole else set(knowledge.out_domains)
        for item in items:
            domain = documents.out_domain(item.key)
            if domain is not None:
                if item.value is None:
                    out.discard(domain)
                else:
                    out.add(domain)
            elif item.key == documents.CONFIG_KEY and item.value is not None:
                self._take_configuration(item)
        knowledge.take_out_domains(frozenset(out))

    def _take_configuration(self, item: Item) -> None:
        try:
            catalog = documents.catalog(item.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event("configuration.rejected", revision=item.revision, reason=str(error))
            return
        self.knowledge.take_catalog(catalog)

    def _take_searchers(self, items: Sequence[Item], whole: bool) -> None:
        knowledge = self.knowledge
        now = trio.current_time()
        present = set()
        for item in items:
            name = item.key.removeprefix(documents.SEARCHER_PREFIX)
            if item.value is None:
                knowledge.lose_record(name, now)
                continue
            record = documents.searcher_record(item.key, item.value)
            if record is None:
                event("searcher.unreadable", searcher=name, revision=item.revision)
                knowledge.lose_record(name, now)
                continue
            present.add(name)
            knowledge.take_record(record, now)
        if whole:
            for name in set(knowledge.searchers) - present:
                knowledge.lose_record(name, now)
            if not knowledge.listed:
                knowledge.listed = True
                event("searchers.listed", searchers=len(present))

    async def _look_around(self, peers: Peers) -> None:
        """Read the list of instances, in which readers stand, before anything else."""
        try:
            await self._read_instances(peers)
        except RelayError as error:
            event("instances.unknown", reason=str(error), known=self.knowledge.instances)

    async def _stay_listed(self, peers: Peers) -> None:
        """Keep this instance's entry under a lease, and read the others'."""
        while True:
            try:
                if not self.leaving:
                    await self._renew()
                if trio.current_time() >= self._read_at:
                    await self._read_instances(peers)
            except RelayError as error:
                event("instances.unknown", reason=str(error), known=self.knowledge.instances)
            await trio.sleep(RENEW_S * self.rng.uniform(0.8, 1.2))

    async def _read_instances(self, peers: Peers) -> None:
        knowledge = self.knowledge
        self._read_at = trio.current_time() + READ_S * knowledge.instances
        page = await self.store.list(INSTANCE_PREFIX, stale=True)
        instances = _instances(page.items)
        domains = {instance.name: instance.domain for instance in instances}
        knowledge.take_instances(domains, trio.current_time())
        peers.take_instances(instances)

    async def _renew(self) -> None:
        if self.lease is not None and await self.store.keep(self.lease):
            return
        self.lease = await self.store.lease(LEASE_S)
        key = INSTANCE_PREFIX + self.instance.name
        await self.store.put(key, msgspec.json.encode(self.instance), self.lease)


def _instances(items: list[Item]) -> list[Instance]:
    """Decode the list of instances; an unreadable entry is left out."""
    instances = []
    for item in items:
        try:
            instances.append(msgspec.json.decode(item.value or b"", type=Instance))
        except msgspec.DecodeError as error:
            event("instance.unreadable", key=item.key, reason=str(error))
    return instances
