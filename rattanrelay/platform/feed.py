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
#: Changes of searchers within this time are read by one call, in seconds for each instance of the
#: fleet: every change wakes all of them, so that calls would grow with the square of the fleet.
GATHER_S = 0.02
#: Longest such time, in seconds; leaving searchers serve for at least 3 s.
LONGEST_GATHER_S = 0.8
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
#: Time for which an instance stays listed without renewal, and how often it renews, in seconds.
LEASE_S = 15.0
RENEW_S = 4.0
INSTANCE_PREFIX = "rattanrelay/instances/"


class PlatformFeed:
    """Implements `Feed` by watches of the store."""

    def __init__(self, store: Listen, instance: Instance, rng: random.Random) -> None:
        self.store = PlatformStore(store.host, store.port)
        self.instance = instance
        self.rng = rng
        self.lease: int | None = None
        self.leaving = False

    @property
    def calls(self) -> dict[str, int]:
        """Calls to the store by kind."""
        return self.store.calls

    async def run(self, knowledge: Knowledge, peers: Peers) -> None:
        """Keep the knowledge and the list of instances up to date until cancelled."""
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
                    page = await self.store.watch(prefix, revision, WATCH_WAIT_S)
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
                await trio.sleep(min(LONGEST_GATHER_S, GATHER_S * knowledge.instances))

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
        while True:
            try:
                if not self.leaving:
                    await self._renew()
                page = await self.store.list(INSTANCE_PREFIX, stale=True)
                instances = _instances(page.items)
                knowledge.take_instances(
                    {instance.name: instance.domain for instance in instances},
                    trio.current_time(),
                )
                peers.take_instances(instances)
            except RelayError as error:
                event("instances.unknown", reason=str(error), known=knowledge.instances)
            await trio.sleep(RENEW_S * self.rng.uniform(0.8, 1.2))

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
