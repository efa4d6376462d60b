"""Quarantine of requests that end their searchers, over all instances.

An instance reports the end of a searcher to the two collectors of the request's fingerprint. These
count the ends that all instances have seen, tell all instances of a quarantine, and keep it in the
store for instances that start.
"""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from ..decide.canary import SharedEntry
from ..decide.coordinator import coordinators
from ..decide.crashes import CrashRecord, loss_id, request_fingerprint
from ..errors import RelayError
from ..log import event
from ..store.backoff import Backoff
from ..wire import (
    Accepted,
    BlockedRequest,
    Handlers,
    KnownLosses,
    Quarantined,
    ShareLosses,
)
from .background import Background
from .deployment import DeploymentState
from .peers import Peer, Peers
from .searchers import Searcher, SubRequest

__all__ = ["Quarantine", "QuarantineStore"]

#: Time in seconds in which a success may still refute the end of a searcher before it is reported.
REPORT_DELAY_S = 0.2
#: Number of times that an instance is told of a quarantine until it confirms, and the time between
#: two in seconds. One that misses all learns of it when it reports an end itself.
TELL_ATTEMPTS = 4
TELL_PAUSE_S = 1.0
#: Instances that are told at the same time.
TELL_CONCURRENTLY = 20


class QuarantineStore(Protocol):
    """Keeps quarantines for instances that start."""

    async def save_quarantine(self, entry: SharedEntry) -> None:
        """Keep a quarantine for its remaining time; errors are logged."""

    async def quarantines(self) -> list[SharedEntry]:
        """Return the quarantines that are kept; raises `RelayError`."""


class Quarantine:
    """Fingerprints of requests that end searchers, as known to this instance."""

    def __init__(
        self,
        deployment: DeploymentState,
        peers: Peers,
        store: QuarantineStore,
        rng: random.Random,
    ) -> None:
        self.deployment = deployment
        self.peers = peers
        self.store = store
        self.rng = rng
        self.record = CrashRecord()
        self._background: Background | None = None

    def start(self, background: Background, handlers: Handlers) -> None:
        """Register the handlers for other instances' messages; run tasks in a nursery."""
        self._background = background
        handlers.on(ShareLosses)(self._collect)
        handlers.on(Quarantined)(self._accept)
        background.start_soon(self._load)

    @staticmethod
    def fingerprint(sub: SubRequest) -> str:
        """Return the fingerprint of a request."""
        return request_fingerprint(sub.method, sub.headers.get("host", ""), sub.target, sub.body)

    def time_left(self, sub: SubRequest, service: str = "") -> float:
        """Return for how many seconds a request may not be sent to a service; 0 if it may."""
        if self.record.empty:
            return 0.0
        return self.record.time_left(self.fingerprint(sub), service, trio.current_time())

    def record_success(self, sub: SubRequest, service: str) -> None:
        """Record that a searcher of a service has answered a request."""
        if not self.record.empty:
            self.record.record_success(self.fingerprint(sub), service, trio.current_time())

    def record_answer(self, sub: SubRequest) -> None:
        """Record that at least a part of the searchers of a request has answered."""
        self.record.record_answer(self.fingerprint(sub), trio.current_time())

    async def record_broken(
        self, sub: SubRequest, searcher: Searcher, answered: Callable[[], bool], *, gathered: bool
    ) -> None:
        """Check whether a searcher has ended that closed the connection of a request.

        `answered` returns whether another searcher has answered the request, `gathered` states
        whether it goes to several services.
        """
        leaving = searcher.record.draining or searcher.pacer.leaving
        if leaving or not await searcher.has_ended():
            return
        now = trio.current_time()
        name, service = self.fingerprint(sub), searcher.record.service
        loss = loss_id(searcher.record.searcher, searcher.record.started)
        quarantined = self.record.record_end(
            name, service, loss, now, gathered=gathered, succeeded=answered()
        )
        event(
            "searcher.ended",
            searcher=searcher.record.searcher,
            request=sub.request_id,
            fingerprint=name,
            answered=answered(),
            quarantined=quarantined,
        )
        self._background.start_soon(self._report, name, service)

    def apply(self, entries: Iterable[SharedEntry]) -> list[SharedEntry]:
        """Add evidence or quarantines of other instances; return the quarantines that are new."""
        new = self.record.merge(entries, trio.current_time())
        for entry in new:
            event("request.quarantined", fingerprint=entry.name, seconds=entry.seconds_left)
        return new

    async def _load(self) -> None:
        """Read the quarantines from before the start of this instance."""
        backoff = Backoff(self.rng)
        while True:
            try:
                self.apply(await self.store.quarantines())
                return
            except RelayError as error:
                event("quarantine.not_loaded", reason=str(error))
            await trio.sleep(backoff.record_failure())

    async def _report(self, name: str, service: str) -> None:
        await trio.sleep(REPORT_DELAY_S)
        entries = self.record.evidence(name, service, trio.current_time())
        if not entries:
            return
        deployment = self.deployment
        for collector in coordinators({deployment.instance, *self.peers.known}, name):
            peer = self.peers.known.get(collector)
            if peer is not None:
                self._background.start_soon(self._report_to, peer, name, entries)
            elif collector == deployment.instance:
                quarantines = [entry for entry in entries if "@" not in entry.name]
                self._background.start_soon(self._tell_all, quarantines)

    async def _report_to(self, peer: Peer, name: str, entries: tuple[SharedEntry, ...]) -> None:
        losses = tuple(BlockedRequest(*entry) for entry in entries)
        try:
            reply = await self.peers.call(peer, ShareLosses(name, losses))
        except RelayError as error:
            event("searcher.end_not_reported", peer=peer.instance.name, reason=str(error))
            return
        self.apply(SharedEntry(*entry) for entry in reply.losses)

    async def _collect(self, message: ShareLosses) -> KnownLosses:
        """Count the ends that another instance reports; return what is known here."""
        new = self.apply(SharedEntry(*entry) for entry in message.losses)
        self._background.start_soon(self._tell_all, new)
        now = trio.current_time()
        known = [
            entry
            for name in dict.fromkeys(loss.fingerprint.partition("@")[0] for loss in message.losses)
            for entry in self.record.canary.entries_of(name, now)
        ]
        return KnownLosses(tuple(BlockedRequest(*entry) for entry in known))

    async def _accept(self, message: Quarantined) -> Accepted:
        self.apply(SharedEntry(*entry) for entry in message.requests)
        return Accepted(True)

    async def _tell_all(self, quarantines: list[SharedEntry]) -> None:
        """Tell all other instances of new quarantines, and keep them for those that start."""
        if not quarantines:
            return
        for entry in quarantines:
            self._background.start_soon(self.store.save_quarantine, entry)
        message = Quarantined(tuple(BlockedRequest(*entry) for entry in quarantines))
        untold = set(self.peers.known)
        for attempt in range(TELL_ATTEMPTS):
            await trio.sleep(TELL_PAUSE_S if attempt else 0.0)
            limiter = trio.CapacityLimiter(TELL_CONCURRENTLY)
            async with trio.open_nursery() as nursery:
                for name in untold & self.peers.known.keys():
                    nursery.start_soon(self._tell, name, message, untold, limiter)

    async def _tell(
        self, name: str, message: Quarantined, untold: set[str], limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            peer = self.peers.known.get(name)
            if peer is None:
                return
            try:
                await self.peers.call(peer, message)
            except RelayError as error:
                event("quarantine.not_told", peer=name, reason=str(error))
                return
            untold.discard(name)
