"""Quotas of workspaces: permits of their owners, and the shares that instances lend to owners.

Nothing here runs, and no message is sent, until a request of a workspace with a limit arrives.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

import trio

from ..decide.quota import (
    ENOUGH_SHARES,
    OWNERS,
    RESERVE_USED_S,
    Grant,
    LocalAllowance,
    QuotaBucket,
    Ranking,
    Reserve,
    ShareBook,
    ShareOffer,
    bucket_limit,
)
from ..decide.refusal import QUOTA, QUOTA_UNKNOWN
from ..errors import RelayError
from ..log import event, traceback
from ..wire import AskQuota, Handlers, QuotaPurpose, QuotaReply
from .background import Background
from .deployment import DeploymentState
from .metrics import RelayMetrics
from .model import Workspace
from .peers import Peers

__all__ = ["QuotaDecision", "Quotas"]

#: Time in seconds that a request waits for a permit, and the part of it for the first instance that
#: is asked; a permit that comes later is not used.
PERMIT_TIMEOUT_S = 0.1
FIRST_TIMEOUT_S = 0.07
#: Time in seconds for which a request waits for the first shares of an owner.
COLLECT_S = 0.05
#: Timeout in seconds of a question for a share. It must be shorter than the time for which a share
#: is held.
SHARE_TIMEOUT_S = 0.25
#: Period in seconds of renewing shares; two renewals fit into the time for which they are held.
RENEW_S = 0.5
#: Pause in seconds before an owner without enough shares asks again, and least wait of a request
#: that no owner has decided on.
RETRY_S = 0.15
#: Shortest and longest pause in seconds before an instance asks again for shares that are lent to
#: another one; it doubles with each attempt. The first ones are for shares that are being given up.
BLOCKED_RETRY_S = (0.03, 1.0)
#: Time in seconds without a request after which an instance asks for shares no more: collecting
#: them again for the next request costs fewer messages.
IDLE_S = 1.5
#: Time in seconds for which an instance that did not reply is asked last.
AVOID_S = 1.0
#: Period in seconds of comparing the list of instances, and of removing unused state.
LIST_PERIOD_S = 0.2
CLEAN_PERIOD_S = 10.0
#: Time in seconds after the start in which an instance that knows no other one lends no shares: it
#: may not have read the list yet, and would lend whole quotas. The second one is for a fleet that
#: starts for the first time.
ALONE_S = (10.0, 2.0)
PPB = 1_000_000_000
#: Longest time in seconds that a message states.
LONGEST_S = 86_400.0


class QuotaDecision(NamedTuple):
    """Whether a request may run, and else the seconds until another attempt may succeed."""

    admitted: bool
    retry_after: float = 0.0
    #: Reason of a refusal.
    reason: str = ""
    #: Name of the instance that granted the permit, empty for one of this instance's allowance.
    source: str | None = None


ADMITTED = QuotaDecision(True)


class _Owned:
    """A workspace whose permits this instance grants."""

    def __init__(self, bucket: QuotaBucket) -> None:
        self.bucket = bucket
        self.reserve = Reserve()
        #: Time of the last request for which this instance has to hold shares.
        self.needed_at = -math.inf
        #: Whether a task asks for shares, and whether that is for the first ones.
        self.kept = False
        self.collecting = False
        #: In the last round: the part of the quota that is lent to each other instance, the part
        #: of voters that do not list this instance, and the time of the next lapse of a share.
        self.holders: dict[str, float] = {}
        self.unlisted = 0.0
        self.lapses_at = math.inf
        #: Pause in seconds before the next round if the shares are lent to others.
        self.backoff = BLOCKED_RETRY_S[0]
        #: Rises when all shares are given up; shares that were asked for before are not used.
        self.generation = 0
        #: Stamp of the last question to which a voter has lent its share.
        self.stamps: dict[str, int] = {}
        self.changed = trio.Event()

    @property
    def holder(self) -> str:
        """The other instance that holds most of the shares, empty if there is none."""
        name = max(self.holders, key=self.holders.get, default="")
        return name if self.holders.get(name, 0.0) >= ENOUGH_SHARES else ""

    def notify(self) -> None:
        """Wake the requests that wait for shares."""
        self.changed.set()
        self.changed = trio.Event()


class Quotas:
    """Admits requests of workspaces with a limit, and takes part in dividing the quotas."""

    def __init__(
        self,
        deployment: DeploymentState,
        peers: Peers,
        metrics: RelayMetrics,
        *,
        first_start: bool = False,
    ) -> None:
        self.deployment = deployment
        self.peers = peers
        self.metrics = metrics
        self.first_start = first_start
        self.ranking = Ranking(deployment.instance)
        self.book: ShareBook | None = None
        self.owned: dict[str, _Owned] = {}
        self.allowances: dict[str, LocalAllowance] = {}
        #: The permit that this instance holds in reserve: until when, and who granted it.
        self.reserves: dict[str, tuple[float, str]] = {}
        #: The instance that decided on the last request of a workspace.
        self.holders: dict[str, str] = {}
        #: Time until which an instance is asked last, by name.
        self.avoided: dict[str, float] = {}
        #: Whether this instance stops, so that others take its place.
        self.leaving = False
        self._background: Background | None = None
        self._listed_at = self._cleaned_at = -math.inf
        self._alone_from = math.inf
        self._stamp = 0

    def start(self, background: Background, handlers: Handlers) -> None:
        """Register the handler for other instances."""
        self._background = background
        now = trio.current_time()
        self.book = ShareBook(now, restarted=not self.first_start)
        self._alone_from = now + ALONE_S[self.first_start]
        handlers.on(AskQuota)(self._answer)

    @property
    def lent(self) -> Collection[str]:
        """Workspaces of which this instance has lent its share."""
        return self.book.lent if self.book is not None else ()

    async def admit(self, workspace: Workspace | None) -> QuotaDecision:
        """Decide whether a request may run; one that is admitted counts against the quota."""
        if workspace is None or workspace.rate <= 0.0:
            return ADMITTED
        try:
            decision = await self._admit(workspace)
        except Exception as error:
            event("quota.failed", workspace=workspace.name, reason=traceback(error))
            decision = self._admit_locally(workspace, QUOTA_UNKNOWN)
        kind = "permit" if decision.source else "local"
        self.metrics.quota.inc({"decision": decision.reason or kind})
        return decision

    def refund(self, workspace: Workspace, decision: QuotaDecision) -> None:
        """Give back the permit of a request that has reached no searcher."""
        name = workspace.name
        if decision.source == "" and name in self.allowances:
            self.allowances[name].refund()
        elif decision.source == self.deployment.instance and name in self.owned:
            self.owned[name].bucket.refund(trio.current_time())
        elif decision.source:
            message = AskQuota(name, self.deployment.instance, QuotaPurpose.REFUND)
            self._background.start_soon(self._send, decision.source, message)

    async def _admit(self, workspace: Workspace) -> QuotaDecision:
        asked_at = trio.current_time()
        reserved_until, granted_by = self.reserves.pop(workspace.name, (-math.inf, ""))
        if asked_at < reserved_until:
            self._background.start_soon(self._replenish, workspace.name, granted_by)
            return QuotaDecision(True, source=granted_by)
        deadline = asked_at + PERMIT_TIMEOUT_S
        self._update(asked_at)
        # An instance that did not reply is asked only if no other one decides.
        owners = sorted(
            self._owners(workspace.name), key=lambda name: self.avoided.get(name, 0.0) > asked_at
        )
        asked: set[str] = set()
        wait = 0.0
        while owners and (now := trio.current_time()) < deadline:
            name = owners.pop(0)
            asked.add(name)
            timeout = min(FIRST_TIMEOUT_S, deadline - now)
            grant, holder = await self._ask_permit(name, workspace, timeout)
            if grant is None or not (grant.granted or grant.decided):
                self.holders.pop(workspace.name, None)
                if holder in self.ranking.names and holder not in asked:
                    owners = [holder, *(other for other in owners if other != holder)]
                wait = max(wait, grant.wait) if grant else wait
                continue
            self.holders[workspace.name] = name
            if not grant.granted:
                return self._refused(workspace, grant.wait, QUOTA, name)
            if trio.current_time() < deadline:
                return QuotaDecision(True, source=name)
        return self._admit_locally(workspace, QUOTA_UNKNOWN, wait)

    def _owners(self, workspace: str) -> list[str]:
        """Return the instances to ask for a permit, the most likely owner first."""
        top = self.ranking.top(workspace)
        if self.leaving:
            top = tuple(name for name in top if name != self.deployment.instance)
        holder = self.holders.get(workspace, "")
        known = [holder] if holder in self.ranking.names else []
        return [*known, *(name for name in top[:OWNERS] if name != holder)]

    async def _ask_permit(
        self, name: str, workspace: Workspace, timeout: float
    ) -> tuple[Grant | None, str]:
        """Ask an instance for a permit; return its answer, and who holds the shares instead."""
        if name == self.deployment.instance:
            return await self._grant(workspace)
        message = AskQuota(workspace.name, self.deployment.instance)
        asked_at = trio.current_time()
        try:
            reply = await self._call(name, message, timeout)
        except RelayError as error:
            now = trio.current_time()
            if self.avoided.get(name, 0.0) <= now:
                event("quota.no_reply", workspace=workspace.name, owner=name, reason=str(error))
            self.avoided[name] = now + AVOID_S
            return None, ""
        self.avoided.pop(name, None)
        self._keep_reserve(workspace.name, name, asked_at, reply)
        return Grant(reply.granted, reply.decided, reply.wait_us / 1e6), reply.holder

    def _keep_reserve(self, workspace: str, name: str, asked_at: float, reply: QuotaReply) -> None:
        if reply.reserved:
            self.reserves[workspace] = asked_at + RESERVE_USED_S, name

    async def _replenish(self, workspace: str, name: str) -> None:
        """Ask for another permit in reserve in place of one that was used."""
        asked_at = trio.current_time()
        message = AskQuota(workspace, self.deployment.instance, QuotaPurpose.RESERVE)
        try:
            reply = await self._call(name, message, SHARE_TIMEOUT_S)
        except RelayError as error:
            event("quota.not_told", peer=name, purpose=message.purpose, reason=str(error))
            return
        self._keep_reserve(workspace, name, asked_at, reply)

    def _admit_locally(self, workspace: Workspace, reason: str, wait: float = 0.0) -> QuotaDecision:
        if self._take_allowance(workspace.name, trio.current_time()):
            return QuotaDecision(True, source="")
        return self._refused(workspace, max(wait, RETRY_S), reason, "")

    def _take_allowance(self, workspace: str, now: float) -> bool:
        """Return whether this instance may admit a request without shares, and count it if so."""
        bounds = self.deployment.bounds.quota
        used = self.allowances.setdefault(workspace, LocalAllowance())
        count = self.ranking.allowance(workspace, bounds.slack)
        return used.take(count, bounds.window + PERMIT_TIMEOUT_S, now)

    @staticmethod
    def _refused(workspace: Workspace, wait: float, reason: str, owner: str) -> QuotaDecision:
        event(
            "quota.refused",
            workspace=workspace.name,
            rate=workspace.rate,
            burst=workspace.burst,
            reason=reason,
            owner=owner,
            retry_after=round(wait, 3),
        )
        return QuotaDecision(False, wait, reason)

    async def _answer(self, message: AskQuota) -> QuotaReply:
        now = trio.current_time()
        catalog = self.deployment.catalog
        workspaces = (catalog.workspaces if catalog else None) or {}
        workspace = workspaces.get(message.workspace)
        if workspace is None or workspace.rate <= 0.0:
            return QuotaReply()
        self._update(now)
        if message.purpose == QuotaPurpose.SHARE:
            return self._lend(message, now)
        if message.purpose == QuotaPurpose.RELEASE:
            idle = message.idle_us / 1e6
            self.book.release(message.workspace, message.asker, message.stamp, idle, now)
        elif message.purpose == QuotaPurpose.REFUND:
            if message.workspace in self.owned:
                self.owned[message.workspace].bucket.refund(now)
        else:
            if self.leaving and not self._holds_shares(message.workspace, now):
                raise RelayError("stopping", "this instance refuses new requests", step="quota")
            grant, holder = await self._grant(workspace)
            owned = self.owned[workspace.name]
            reserving = message.purpose == QuotaPurpose.RESERVE
            if reserving and grant.granted:
                owned.bucket.refund(trio.current_time())
            reserved = grant.granted and owned.reserve.offer(
                message.asker, owned.bucket, trio.current_time()
            )
            granted = grant.granted and not reserving
            wait_us = int(grant.wait * 1e6)
            return QuotaReply(granted, grant.decided, holder, wait_us, reserved=reserved)
        return QuotaReply(True)

    def _lend(self, message: AskQuota, now: float) -> QuotaReply:
        workspace, owner = message.workspace, message.asker
        if owner not in self.ranking.names:
            # Others cannot ask it for permits.
            return QuotaReply(holder=self.book.holder(workspace, now)[0], unlisted=True)
        lends = not self.leaving and (self.ranking.count > 1 or now >= self._alone_from)
        weight = self.ranking.weight(workspace) if lends else 0.0
        offer = self.book.lend(workspace, owner, weight, now, message.stamp)
        if offer is None:
            holder, left = self.book.holder(workspace, now)
            return QuotaReply(holder=holder, wait_us=int(left * 1e6))
        idle_us = int(min(offer.idle, LONGEST_S) * 1e6)
        weight_ppb = int(offer.weight * PPB)
        return QuotaReply(True, weight_ppb=weight_ppb, term=offer.term, idle_us=idle_us)

    def _holds_shares(self, workspace: str, now: float) -> bool:
        owned = self.owned.get(workspace)
        if owned is None:
            return False
        owned.bucket.advance(now)
        return bool(owned.bucket.shares)

    async def _grant(self, workspace: Workspace) -> tuple[Grant, str]:
        """Grant one permit or refuse it; return also who holds the shares if not this instance."""
        now = trio.current_time()
        owned = self._own(workspace, now)
        owned.needed_at = now
        if not owned.kept and not self.leaving:
            owned.kept = owned.collecting = True
            self._background.start_soon(self._keep_shares, workspace.name, owned)
        granted = owned.bucket.take(now)
        with trio.move_on_at(now + COLLECT_S):
            while not granted and owned.collecting:
                await owned.changed.wait()
                granted = owned.bucket.take(trio.current_time())
        if granted:
            return Grant(True), ""
        grant = owned.bucket.refuse(now := trio.current_time())
        if grant.decided:
            return grant, ""
        if self._take_allowance(workspace.name, now):
            return Grant(True), ""
        wait = min(max(owned.lapses_at - now, grant.wait), BLOCKED_RETRY_S[1])
        return grant._replace(wait=wait), owned.holder

    def _own(self, workspace: Workspace, now: float) -> _Owned:
        owned = self.owned.get(workspace.name)
        limit = bucket_limit(workspace.rate, workspace.burst, self.deployment.bounds.quota)
        if owned is None:
            bucket = QuotaBucket(limit, now)
            owned = self.owned[workspace.name] = _Owned(bucket)
        else:
            owned.bucket.set_limit(limit, now)
        return owned

    async def _keep_shares(self, workspace: str, owned: _Owned) -> None:
        """Collect the shares of a workspace, and renew them as long as requests come."""
        try:
            while True:
                await self._ask_shares(workspace, owned)
                owned.collecting = False
                owned.notify()
                await trio.sleep(self._pause(workspace, owned, trio.current_time()))
                now = trio.current_time()
                self._update(now)
                owned.bucket.advance(now)
                if self.leaving or now - owned.needed_at > IDLE_S:
                    return
                owned.collecting = not owned.bucket.shares and not owned.holder
        finally:
            owned.kept = owned.collecting = False
            owned.notify()

    def _pause(self, workspace: str, owned: _Owned, now: float) -> float:
        """Return the seconds until the next round of questions for shares."""
        if owned.unlisted >= ENOUGH_SHARES and owned.bucket.shares:
            # Another instance is asked by most, so it needs the shares.
            self._give_up(workspace, owned, now)
        owned.bucket.advance(now)
        shortest, longest = BLOCKED_RETRY_S
        if owned.bucket.weight >= ENOUGH_SHARES:
            owned.backoff = shortest
            return RENEW_S
        if not owned.holders and not owned.unlisted:
            return RETRY_S
        pause = owned.backoff
        owned.backoff = min(2.0 * pause, longest)
        return min(max(owned.lapses_at - now, shortest), pause)

    async def _ask_shares(self, workspace: str, owned: _Owned) -> None:
        """Ask all voters of a workspace for their shares."""
        owned.holders, owned.unlisted, owned.lapses_at = {}, 0.0, math.inf
        generation = owned.generation
        async with trio.open_nursery() as nursery:
            for voter in self.ranking.top(workspace):
                nursery.start_soon(self._ask_share, workspace, owned, voter, generation)

    async def _ask_share(self, workspace: str, owned: _Owned, voter: str, generation: int) -> None:
        asked_at = trio.current_time()
        self._stamp = stamp = max(self._stamp + 1, int(asked_at * 1e6))
        own = self.deployment.instance
        message = AskQuota(workspace, own, QuotaPurpose.SHARE, stamp=stamp)
        try:
            if voter == own:
                reply = self._lend(message, asked_at)
            else:
                reply = await self._call(voter, message, SHARE_TIMEOUT_S)
        except RelayError:
            return
        now = trio.current_time()
        part = 1.0 / len(self.ranking.top(workspace))
        if reply.granted:
            # A share that was asked for before all were given up may be lent to another one.
            if owned.generation == generation:
                owned.stamps[voter] = stamp
                offer = ShareOffer(reply.weight_ppb / PPB, reply.term, reply.idle_us / 1e6)
                owned.bucket.add_share(voter, offer, asked_at, now)
                owned.notify()
            return
        owned.unlisted += part * reply.unlisted
        if reply.holder not in ("", own):
            owned.holders[reply.holder] = owned.holders.get(reply.holder, 0.0) + part
            owned.lapses_at = min(owned.lapses_at, now + reply.wait_us / 1e6)

    def _give_up(self, workspace: str, owned: _Owned, now: float) -> None:
        """Give all shares of a workspace back to their voters, with their tokens."""
        owned.generation += 1
        own = self.deployment.instance
        for voter, idle in owned.bucket.release(now).items():
            stamp = owned.stamps.get(voter, 0)
            if voter == own:
                self.book.release(workspace, own, stamp, idle, now)
                continue
            idle_us = int(min(idle, LONGEST_S) * 1e6)
            message = AskQuota(workspace, own, QuotaPurpose.RELEASE, stamp=stamp, idle_us=idle_us)
            self._background.start_soon(self._send, voter, message)
        event("quota.given_up", workspace=workspace)

    def leave(self) -> None:
        """Give all shares back and lend none any more, since this instance stops."""
        self.leaving = True
        now = trio.current_time()
        for workspace, owned in self.owned.items():
            if owned.bucket.shares:
                self._give_up(workspace, owned, now)

    async def _send(self, name: str, message: AskQuota) -> None:
        """Send a message whose loss does no harm."""
        try:
            await self._call(name, message, SHARE_TIMEOUT_S)
        except RelayError as error:
            event("quota.not_told", peer=name, purpose=message.purpose, reason=str(error))

    async def _call(self, name: str, message: AskQuota, timeout: float) -> QuotaReply:
        """Send a message and return its reply; raises `RelayError`.

        An instance that is slow to reply may still serve other requests, so it is not paused.
        """
        peer = self.peers.known.get(name)
        if peer is None:
            raise RelayError("peer_unavailable", "not listed any more", peer=name)
        with trio.move_on_after(timeout):
            link = await self.peers.link(peer)
            return await link.call(message)
        self.peers.check_link(peer)
        raise RelayError("peer_unavailable", f"no reply in {timeout:.3f} s", peer=name)

    def _update(self, now: float) -> None:
        if now - self._listed_at >= LIST_PERIOD_S:
            self._listed_at = now
            deployment = self.deployment
            self.ranking.update(self.peers.known, deployment.instances, deployment.cores_of)
        if now - self._cleaned_at >= CLEAN_PERIOD_S:
            self._cleaned_at = now
            self._clean(now)

    def _clean(self, now: float) -> None:
        """Remove the state of workspaces that are not used any more."""
        window = self.deployment.bounds.quota.window
        for name in [
            name
            for name, owned in self.owned.items()
            if not owned.kept and owned.bucket.forget(now)
        ]:
            del self.owned[name]
        for name in [name for name, one in self.allowances.items() if one.idle(2 * window, now)]:
            del self.allowances[name]
        kept = self.deployment.catalog.workspaces or {}
        self.holders = {name: one for name, one in self.holders.items() if name in kept}
        self.avoided = {name: until for name, until in self.avoided.items() if until > now}
        self.reserves = {name: one for name, one in self.reserves.items() if one[0] > now}
