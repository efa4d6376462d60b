"""Permits that instances lend each other for searchers whose rate is too low to divide."""

import math
import random

import trio

from ..decide.pacing import rate_holders
from ..errors import RelayError
from ..log import event
from ..wire import BorrowPermit, Handlers, KnownRate
from .background import Background
from .deployment import DeploymentState
from .peers import Peer, Peers
from .searchers import Searcher

__all__ = ["Permits"]

#: The next request for a permit comes after up to this multiple of the wait that the last reply
#: stated, so that those who wait for the same permit do not ask together.
WAIT_SPREAD = 2.0
#: Longest wait in seconds, and highest rate in requests per second, that a message states.
LONGEST_WAIT_S = 600.0
MAX_LIMIT = 1e12


class Permits:
    """Borrows permits from the instances that divide a searcher's rate, and lends them.

    Both sides tell what they know of the rate: an answer that states none any more ends the limit
    at each instance that asks.
    """

    def __init__(self, deployment: DeploymentState, peers: Peers, rng: random.Random) -> None:
        self.deployment = deployment
        self.peers = peers
        self.rng = rng
        self._background: Background | None = None

    def start(self, background: Background, handlers: Handlers) -> None:
        """Register the handler for other instances, and borrow whenever a request needs that."""
        self._background = background
        handlers.on(BorrowPermit)(self._lend)
        self.deployment.permit_needed = self._begin

    def _begin(self, searcher: Searcher) -> None:
        searcher.pacer.borrowing = True
        self._background.start_soon(self._borrow, searcher)

    async def _borrow(self, searcher: Searcher) -> None:
        pacer, record = searcher.pacer, searcher.record
        wait, lent = 0.0, False
        try:
            peer = self._holder(searcher)
            if peer is not None:
                asked = BorrowPermit(record.searcher, record.started, *self._known(searcher))
                reply = await self.peers.call(peer, asked)
                self._learn(searcher, reply.limit_milli, reply.heard_us, peer.instance.name)
                lent, wait = reply.lent, reply.wait_us / 1e6
                if lent:
                    pacer.record_loan(trio.current_time())
        except RelayError as error:
            event("permit.not_borrowed", searcher=record.searcher, reason=str(error))
        finally:
            now = trio.current_time()
            if pacer.borrowing:
                pacer.record_denial(wait * self.rng.uniform(1.0, WAIT_SPREAD), now)
        if not lent and pacer.take_own_permit(self.deployment.instances, now):
            event("permit.taken", searcher=record.searcher, heard_s=_seconds(now - pacer.heard_at))

    def _holder(self, searcher: Searcher) -> Peer | None:
        """Return another instance that has a part of a searcher's rate, None if there is none."""
        now = trio.current_time()
        limit, fleet = searcher.pacer.limit, self.deployment.fleet
        names = set(rate_holders(searcher.record.searcher, limit, fleet)) & self.peers.known.keys()
        peers = [self.peers.known[name] for name in sorted(names)]
        available = [peer for peer in peers if peer.paused_until <= now]
        return self.rng.choice(available) if available else None

    async def _lend(self, message: BorrowPermit) -> KnownRate:
        searcher = self.deployment.searchers.get(message.searcher)
        if searcher is None or searcher.record.started != message.started:
            return KnownRate()
        self._learn(searcher, message.limit_milli, message.heard_us, "")
        now = trio.current_time()
        lent = searcher.usable(now) and self.deployment.lend(searcher, now)
        wait = 0.0 if lent else min(self.deployment.wait(searcher, now), LONGEST_WAIT_S)
        return KnownRate(*self._known(searcher), lent, int(wait * 1e6))

    @staticmethod
    def _known(searcher: Searcher) -> tuple[int, int]:
        pacer = searcher.pacer
        age = trio.current_time() - pacer.heard_at
        limit = -1 if pacer.limit is None else round(min(pacer.limit, MAX_LIMIT) * 1000)
        return limit, -1 if math.isinf(age) else int(age * 1e6)

    @staticmethod
    def _learn(searcher: Searcher, limit_milli: int, heard_us: int, peer: str) -> None:
        """Apply what another instance knows if it heard from the searcher later than this one."""
        now = trio.current_time()
        pacer, heard_at = searcher.pacer, now - heard_us / 1e6
        if heard_us < 0 or heard_at <= pacer.heard_at:
            return
        limit = None if limit_milli < 0 else limit_milli / 1000
        if limit != pacer.limit:
            age = _seconds(now - heard_at)
            name, before = searcher.record.searcher, pacer.limit
            event("searcher.limit", searcher=name, limit=limit, before=before, peer=peer, age_s=age)
        pacer.set_limit(limit, now, heard_at)


def _seconds(age: float) -> float:
    return -1.0 if math.isinf(age) else round(age, 3)
