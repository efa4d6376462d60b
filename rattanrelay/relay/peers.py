"""Other instances: links to them, their availability, and the state that they share."""

import random
from collections.abc import Iterable
from contextlib import asynccontextmanager
from typing import Annotated, NamedTuple

import msgspec
import trio

from ..decide.choice import Candidate, Estimate, pick
from ..errors import DECODE_ERRORS, RelayError
from ..http.plain import PlainStream
from ..log import event
from ..settings import MAX_PORT
from ..wire import Document, Handlers, PeerLink, Pull
from .background import Background
from .deployment import DeploymentState
from .model import Catalog, SearcherRecord

__all__ = ["Instance", "Peer", "Peers", "SharedState"]

CONNECT_TIMEOUT_S = 0.25
#: Expected time in seconds for a new link: a round trip between failure domains and a task start.
INITIAL_CONNECT_TIME_S = 0.005
CALL_TIMEOUT_S = 0.5
#: Time in seconds for which an instance that failed gets no requests.
PAUSE_S = 1.0
#: Time in seconds for which a stopping instance gets no requests.
STOPPING_PAUSE_S = 5.0
#: Time in seconds for which the link to an instance that is no longer listed stays open for the
#: requests in flight.
LINGER_S = 2.0
#: Period in seconds of pulling another instance's state while the store does not answer.
PULL_PERIOD_S = 0.5
#: Requests of this instance that another one can gather concurrently.
PEER_SLOTS = 4
#: Name of the document with an instance's state.
KNOWLEDGE = "knowledge"


class Instance(NamedTuple):
    """Name, address and failure domain of an instance."""

    name: str
    #: IPv4 address in dotted decimal form.
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    domain: str
    #: Speed of its processor in cores; entries of older builds do not state it.
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class SharedState(NamedTuple):
    """State that one instance sends to another that cannot reach the store."""

    catalog: Catalog
    records: list[SearcherRecord]
    excluded_domains: list[str]
    #: History and revision of the store up to which it has all changes, by prefix.
    positions: dict[str, tuple[int, int]] = {}


class Peer:
    """Another instance and the link to it."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.link: PeerLink | None = None
        self.estimate = Estimate()
        self.in_flight = 0
        #: Time until which it gets no requests.
        self.paused_until = 0.0

    def pause(self, seconds: float) -> None:
        """Send it no requests for some seconds."""
        self.paused_until = trio.current_time() + seconds

    def drop_link(self) -> None:
        """Close the link, which fails its calls in flight."""
        if self.link is not None:
            self.link.close()
            self.link.stream.close()
            self.link = None


class Peers:
    """All other instances that the store lists."""

    def __init__(self, deployment: DeploymentState, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.known: dict[str, Peer] = {}
        self._background: Background | None = None

    def start(self, background: Background, handlers: Handlers) -> None:
        """Register the handler for pulls and run the tasks of the links in a nursery."""
        self._background = background
        handlers.on(Pull)(self._answer_pull)
        background.repeat(self._pull_while_store_unavailable)

    def update_instances(self, instances: Iterable[Instance]) -> None:
        """Apply the list of instances; close the links to those that are missing or have moved.

        An instance is no longer listed as soon as it begins to stop, and completes its requests.
        """
        listed = {item.name: item for item in instances if item.name != self.deployment.instance}
        for name in [name for name in self.known if name not in listed]:
            peer = self.known.pop(name)
            if peer.in_flight:
                self._background.start_soon(self._drop_later, peer)
            else:
                peer.drop_link()
        deployment = self.deployment
        deployment.cores_of = {name: instance.cores for name, instance in listed.items()}
        deployment.cores_of[deployment.instance] = deployment.cores
        for name, instance in listed.items():
            peer = self.known.get(name)
            if peer is None or peer.instance != instance:
                if peer is not None:
                    peer.drop_link()
                self.known[name] = Peer(instance)

    async def _drop_later(self, peer: Peer) -> None:
        await trio.sleep(LINGER_S)
        peer.drop_link()

    def domains(self, now: float) -> dict[str, str]:
        """Return the failure domain of each instance that is not paused."""
        return {
            name: peer.instance.domain
            for name, peer in self.known.items()
            if peer.paused_until <= now
        }

    def choose(self, names: Iterable[str], median_latency: float) -> Peer | None:
        """Return the instance that is expected to answer first; None if none of them is known."""
        now = trio.current_time()
        peers = [self.known[name] for name in names if name in self.known]
        if not peers:
            return None
        candidates = [
            Candidate(
                expected=peer.estimate.expected_latency(median_latency, now),
                failure_rate=peer.estimate.current_failure_rate(now),
                in_flight=peer.in_flight,
                slots=PEER_SLOTS,
                excess_wait=0.0,
                connect_time=0.0 if peer.link else INITIAL_CONNECT_TIME_S,
                own_domain=False,
                entry_missing=False,
            )
            for peer in peers
        ]
        return peers[pick(candidates, [self.rng.random() for _ in peers])]

    @asynccontextmanager
    async def linked(self, peer: Peer):
        """Yield an open link; a `RelayError` while it is used pauses the instance."""
        link = await self.link(peer)
        peer.in_flight += 1
        try:
            yield link
        except RelayError as error:
            peer.estimate.record_failure(trio.current_time())
            peer.pause(STOPPING_PAUSE_S if error.code == "stopping" else PAUSE_S)
            raise
        finally:
            peer.in_flight -= 1

    async def link(self, peer: Peer) -> PeerLink:
        """Return an open link; if there is none, pause the instance and raise `RelayError`."""
        if peer.link is None or peer.link.closed:
            peer.link = await self._connect(peer)
        return peer.link

    async def call(self, peer: Peer, message: tuple, timeout: float = CALL_TIMEOUT_S) -> tuple:
        """Send a message and return its reply; raises `RelayError`.

        An instance that does not reply in `timeout` seconds is paused, and its link is checked.
        """
        try:
            with trio.fail_after(timeout):
                async with self.linked(peer) as link:
                    return await link.call(message)
        except trio.TooSlowError:
            peer.pause(PAUSE_S)
            self.check_link(peer)
            text = f"no reply in {timeout} s"
            raise RelayError("peer_unavailable", text, peer=peer.instance.name) from None

    def check_link(self, peer: Peer) -> None:
        """Begin to check the link to an instance that was silent; a dead one is closed."""
        if peer.link is not None:
            self._background.start_soon(peer.link.check)

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

    async def _answer_pull(self, message: Pull) -> Document:
        deployment = self.deployment
        if (
            message.name != KNOWLEDGE
            or not deployment.complete
            or deployment.store_available_since is None
        ):
            raise RelayError(
                "store_unavailable", "this instance has no current state to share", step="share"
            )
        shared = SharedState(
            deployment.catalog,
            [
                searcher.record
                for searcher in deployment.searchers.values()
                if searcher.grace_until is None
            ],
            sorted(deployment.excluded_domains),
            deployment.positions,
        )
        return Document(KNOWLEDGE, deployment.catalog.version, msgspec.msgpack.encode(shared))

    async def _pull_while_store_unavailable(self) -> None:
        """Pull and apply the state of other instances while the store does not answer this one."""
        while True:
            await trio.sleep(PULL_PERIOD_S * self.rng.uniform(0.8, 1.2))
            if self.deployment.store_available_since is not None or not self.known:
                continue
            now = trio.current_time()
            available = [peer for peer in self.known.values() if peer.paused_until <= now]
            if not available:
                continue
            peer = self.rng.choice(available)
            try:
                document = await self.call(peer, Pull(KNOWLEDGE, 0))
                shared = msgspec.msgpack.decode(document.value, type=SharedState)
            except (RelayError, *DECODE_ERRORS) as error:
                event("knowledge.not_shared", peer=peer.instance.name, reason=str(error))
                continue
            self._apply(peer.instance.name, shared)

    def _apply(self, name: str, shared: SharedState) -> None:
        deployment = self.deployment
        if deployment.store_available_since is not None:
            return
        if deployment.catalog is not None and shared.catalog.version < deployment.catalog.version:
            return
        known = {prefix: deployment.positions.get(prefix, (0, 0)) for prefix in shared.positions}
        if any(position < known[prefix] for prefix, position in shared.positions.items()):
            event("knowledge.older", peer=name, positions=shared.positions, known=known)
            return
        deployment.positions.update(shared.positions)
        now = trio.current_time()
        deployment.apply_catalog(shared.catalog)
        deployment.set_excluded_domains(frozenset(shared.excluded_domains))
        deployment.apply_shared_records(shared.records, now)
        event(
            "knowledge.shared",
            peer=name,
            version=shared.catalog.version,
            searchers=len(shared.records),
        )
