"""Other instances: links to them, which of them answer, and their shared knowledge."""

import random
from collections.abc import Iterable
from contextlib import asynccontextmanager
from typing import NamedTuple

import msgspec
import trio

from ..decide.choice import Candidate, Estimate, pick
from ..errors import RelayError
from ..http.plain import PlainStream
from ..log import event
from ..wire import Document, Handlers, PeerLink, Pull
from .fleet import Knowledge
from .model import Catalog, SearcherRecord

__all__ = ["Instance", "Peer", "Peers", "Shared"]

CONNECT_TIMEOUT_S = 0.25
#: Expected time for a new link: a round trip between failure domains and a task's start.
CONNECT_S = 0.005
CALL_TIMEOUT_S = 0.5
#: Time for which an instance that failed is not asked, in seconds.
PAUSE_S = 1.0
#: Time for which one that is stopping is not asked, in seconds.
STOPPING_PAUSE_S = 5.0
#: Period of the questions to other instances while the store is away, in seconds.
ASK_S = 0.5
#: Requests of this instance that another one gathers side by side without waiting.
PEER_SLOTS = 4
#: Name under which an instance shares what it knows.
KNOWLEDGE = "knowledge"


class Instance(NamedTuple):
    """How another instance is reached."""

    name: str
    host: str
    port: int
    domain: str


class Shared(NamedTuple):
    """What one instance tells another."""

    catalog: Catalog
    records: list[SearcherRecord]
    out_domains: list[str]


class Peer:
    """One other instance and this one's link to it."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.link: PeerLink | None = None
        self.estimate = Estimate()
        self.in_flight = 0
        self.paused_until = 0.0

    def pause(self, seconds: float) -> None:
        """Ask it nothing for a time."""
        self.paused_until = trio.current_time() + seconds

    def drop_link(self) -> None:
        """Close the link; its calls fail."""
        if self.link is not None:
            self.link.close()
            self.link.stream.close()
            self.link = None


class Peers:
    """All other instances that the store lists."""

    def __init__(self, knowledge: Knowledge, rng: random.Random) -> None:
        self.knowledge = knowledge
        self.rng = rng
        self.known: dict[str, Peer] = {}
        self._background: trio.Nursery | None = None

    def start(self, background: trio.Nursery, handlers: Handlers) -> None:
        """Run the links in a nursery, and answer what other instances ask."""
        self._background = background
        handlers.on(Pull)(self._share)
        background.start_soon(self._ask_while_away)

    def take_instances(self, instances: Iterable[Instance]) -> None:
        """Take the list of instances; one that is missing or moved gets no more requests."""
        listed = {item.name: item for item in instances if item.name != self.knowledge.instance}
        for name in [name for name in self.known if name not in listed]:
            self.known.pop(name).drop_link()
        for name, instance in listed.items():
            peer = self.known.get(name)
            if peer is None or peer.instance != instance:
                if peer is not None:
                    peer.drop_link()
                self.known[name] = Peer(instance)

    def domains(self, now: float) -> dict[str, str]:
        """Return the failure domain of each instance that may be asked."""
        return {
            name: peer.instance.domain
            for name, peer in self.known.items()
            if peer.paused_until <= now
        }

    def choose(self, names: Iterable[str], usual: float) -> Peer | None:
        """Return the instance that is expected to answer first."""
        now = trio.current_time()
        peers = [self.known[name] for name in names if name in self.known]
        if not peers:
            return None
        candidates = [
            Candidate(
                expected=peer.estimate.expected(usual, now),
                failures=peer.estimate.failures(now),
                in_flight=peer.in_flight,
                slots=PEER_SLOTS,
                overdue=0.0,
                connect=0.0 if peer.link else CONNECT_S,
                own_domain=False,
                doubtful=False,
            )
            for peer in peers
        ]
        return peers[pick(candidates, [self.rng.random() for _ in peers])]

    @asynccontextmanager
    async def linked(self, peer: Peer):
        """Yield an open link; raises `RelayError` and pauses the instance if there is none."""
        link = await self.link(peer)
        peer.in_flight += 1
        try:
            yield link
        except RelayError as error:
            peer.estimate.failed(trio.current_time())
            peer.pause(STOPPING_PAUSE_S if error.code == "stopping" else PAUSE_S)
            raise
        finally:
            peer.in_flight -= 1

    async def link(self, peer: Peer) -> PeerLink:
        """Return an open link; raises `RelayError` and pauses the instance if there is none."""
        if peer.link is None or peer.link.closed:
            peer.link = await self._connect(peer)
        return peer.link

    async def _connect(self, peer: Peer) -> PeerLink:
        instance = peer.instance
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await PlainStream.connect(instance.host, instance.port)
        except (OSError, trio.TooSlowError) as error:
            peer.pause(PAUSE_S)
            text = str(error) or f"no answer in {CONNECT_TIMEOUT_S} s"
            raise RelayError("peer_unavailable", text, peer=instance.name) from error
        link = PeerLink(stream, instance.name)
        self._background.start_soon(self._run, link)
        return link

    async def _run(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            link.stream.close()

    async def _share(self, message: Pull) -> Document:
        knowledge = self.knowledge
        if message.name != KNOWLEDGE or not knowledge.complete or knowledge.store_back is None:
            raise RelayError("store_unavailable", "nothing newer is known here", step="share")
        shared = Shared(
            knowledge.catalog,
            [
                searcher.record
                for searcher in knowledge.searchers.values()
                if searcher.doubt_until is None
            ],
            sorted(knowledge.out_domains),
        )
        return Document(KNOWLEDGE, knowledge.catalog.version, msgspec.msgpack.encode(shared))

    async def _ask_while_away(self) -> None:
        """Take over the knowledge of another instance while the store does not answer this one."""
        while True:
            await trio.sleep(ASK_S * self.rng.uniform(0.8, 1.2))
            if self.knowledge.store_back is not None or not self.known:
                continue
            now = trio.current_time()
            rested = [peer for peer in self.known.values() if peer.paused_until <= now]
            if not rested:
                continue
            peer = self.rng.choice(rested)
            try:
                with trio.fail_after(CALL_TIMEOUT_S):
                    async with self.linked(peer) as link:
                        document = await link.call(Pull(KNOWLEDGE, 0))
                shared = msgspec.msgpack.decode(document.value, type=Shared)
            except trio.TooSlowError:
                peer.drop_link()
                peer.pause(PAUSE_S)
                continue
            except (RelayError, msgspec.DecodeError) as error:
                event("knowledge.not_shared", peer=peer.instance.name, reason=str(error))
                continue
            self._take(peer.instance.name, shared)

    def _take(self, name: str, shared: Shared) -> None:
        knowledge = self.knowledge
        if knowledge.store_back is not None:
            return
        if knowledge.catalog is not None and shared.catalog.version < knowledge.catalog.version:
            return
        now = trio.current_time()
        knowledge.take_catalog(shared.catalog)
        knowledge.take_out_domains(frozenset(shared.out_domains))
        knowledge.take_shared_records(shared.records, now)
        event(
            "knowledge.shared",
            peer=name,
            version=shared.catalog.version,
            searchers=len(shared.records),
        )
