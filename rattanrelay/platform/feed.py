"""Follows the platform's store: configuration, searchers and instances."""

import random
from collections.abc import Callable

import msgspec
import trio

from ..errors import RelayError
from ..log import event
from ..relay import Instance, Knowledge, Listen, Peers
from ..store.backoff import Backoff
from . import documents
from .store import HistoryGone, Item, PlatformStore

__all__ = ["PlatformFeed"]

#: A watch without changes ends after this time; an outage shows at most a second later.
WATCH_WAIT_S = 3.0
#: The same for the searchers in a fleet of `MANY_INSTANCES` or more, where most calls are such
#: watches; the watch of the configuration still shows an outage.
LONG_WATCH_WAIT_S = 8.0
MANY_INSTANCES = 30
#: Changes of searchers within this time are read by one call, in seconds for each instance of the
#: fleet: every change wakes all of them, so that calls would grow with the square of the fleet.
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
INSTANCE_PREFIX = "rattanrelay/instances/"


class PlatformFeed:
    """Implements `Feed` by watches of the store."""

    def __init__(self, store: Listen, instance: Instance, rng: random.Random) -> None:
        self.store = PlatformStore(store.host, store.port)
        self.instance = instance
        self.rng = rng
        self.lease: int | None = None
        self.leaving = False
        self.started = 0.0

    @property
    def calls(self) -> dict[str, int]:
        """Calls to the store by kind."""
        return self.store.calls

    async def run(self, knowledge: Knowledge, peers: Peers) -> None:
        """Keep the knowledge and the list of instances up to date until cancelled."""
        self.started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._follow, knowledge, documents.OPERATOR_PREFIX, self._take_operator
            )
            nursery.start_soon(
                self._follow, knowledge, documents.SEARCHER_PREFIX, self._take_searchers
            )
            nursery.start_soon(self._stay_listed, knowledge, peers)

    async def leave(self) -> None:
        """Take the instance off the list; errors are logged."""
        self.leaving = True
        if self.lease is not None:
            try:
                await self.store.end(self.lease)
            except RelayError as error:
                event("instance.leave_failed", reason=str(error))

    async def _follow(self, knowledge: Knowledge, prefix: str, take: Callable) -> None:
        """Read everything under a prefix, then its changes; `take` gets both."""
        backoff = Backoff(self.rng, first=FIRST_PAUSE_S, longest=LONGEST_PAUSE_S)
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    page = await self.store.list(prefix)
                    whole = True
                else:
                    wait = self._watch_wait(prefix, knowledge.instances)
                    page = await self.store.watch(prefix, revision, wait)
                    whole = False
            except HistoryGone:
                event("store.history_gone", prefix=prefix, revision=revision)
                revision = None
                continue
            except RelayError as error:
                knowledge.lost_store(str(error))
                await trio.sleep(backoff.failed())
                continue
            backoff.succeeded()
            knowledge.regained_store(trio.current_time())
            take(knowledge, page.items, whole)
            revision = page.store_revision if whole else max(revision, page.store_revision)
            if page.items and not whole and prefix == documents.SEARCHER_PREFIX:
                await trio.sleep(self._gather_time(knowledge))

    def _gather_time(self, knowledge: Knowledge) -> float:
        longest = LONGEST_GATHER_SHARE * knowledge.bounds.drain
        if trio.current_time() < self.started + SETTLE_S:
            return longest
        return min(longest, max(LEAST_GATHER_S, GATHER_S * knowledge.instances))

    def _watch_wait(self, prefix: str, instances: int) -> float:
        many = instances >= MANY_INSTANCES and prefix == documents.SEARCHER_PREFIX
        return LONG_WATCH_WAIT_S if many else WATCH_WAIT_S

    def _take_operator(self, knowledge: Knowledge, items: list[Item], whole: bool) -> None:
        out = set() if whole else set(knowledge.out_domains)
        for item in items:
            domain = documents.out_domain(item.key)
            if domain is not None:
                if item.value is None:
                    out.discard(domain)
                else:
                    out.add(domain)
            elif item.key == documents.CONFIG_KEY and item.value is not None:
                self._take_configuration(knowledge, item)
        knowledge.take_out_domains(frozenset(out))

    def _take_configuration(self, knowledge: Knowledge, item: Item) -> None:
        try:
            catalog = documents.catalog(item.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event("configuration.rejected", revision=item.revision, reason=str(error))
            return
        knowledge.take_catalog(catalog)

    def _take_searchers(self, knowledge: Knowledge, items: list[Item], whole: bool) -> None:
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

    async def _stay_listed(self, knowledge: Knowledge, peers: Peers) -> None:
        """Keep this instance's entry under a lease, and read the others'."""
        read_at = 0.0
        while True:
            try:
                if not self.leaving:
                    await self._renew()
                now = trio.current_time()
                if now >= read_at:
                    read_at = now + READ_S * knowledge.instances
                    await self._read_instances(knowledge, peers)
            except RelayError as error:
                event("instances.unknown", reason=str(error), known=knowledge.instances)
            await trio.sleep(RENEW_S * self.rng.uniform(0.8, 1.2))

    async def _read_instances(self, knowledge: Knowledge, peers: Peers) -> None:
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
