"""Serve one request by a searcher of its service, or by scatter-gather over its shards."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import NamedTuple

import trio

from ..decide.choice import pick
from ..decide.crashes import CrashRecord
from ..decide.grouping import plan_groups
from ..decide.name_hashes import join_hashes, split_hashes
from ..decide.pacing import MAX_PAUSE_S
from ..decide.placement import Kind, Offer, place
from ..decide.records import greatest_records, needed_parts
from ..decide.refusal import (
    NO_SEARCHER,
    QUARANTINED,
    RATE_LIMITED,
    RETRY_AFTER_S,
    Refusal,
    permitted_status,
    refusal,
)
from ..decide.timing import (
    MIN_HEDGE_S,
    SHARD_HEDGE_SHARE,
    first_message_due_at,
    hedge_delay,
    likely_latency,
    response_due_at,
    silence_delay,
)
from ..errors import RelayError
from ..http import HttpConnection, Response
from ..log import event, traceback
from ..wire import GatheredPart, GatheredParts, GatherShards, HeaderField
from ..wire.link import Emit, PeerLink
from .background import Background
from .connections import Retry
from .deployment import DeploymentState
from .metrics import RelayMetrics
from .model import Route
from .peers import Peer, Peers
from .quarantine import Quarantine
from .searchers import HOP_HEADERS, ExpectedCost, Outcome, Searcher, SubRequest

__all__ = ["DelegatedScatter", "RequestSummary", "Scatter", "refusal_response"]

#: Time in seconds within which a sub-request whose response is no longer needed may still complete,
#: so that its connection can be reused and its latency is measured.
LATE_RESPONSE_GRACE_S = 0.2
#: First pause in seconds before a request that was refused is sent again; doubles each time.
FIRST_RETRY_PAUSE_S = 0.02
#: Maximum number of sub-requests for one shard, including refused ones.
MAX_SENDS = 6
#: Time in seconds reserved for the response of another instance to travel back.
PEER_RETURN_MARGIN_S = 0.003
#: Number of further checks for a message of a silent instance before it is suspected, and the time
#: between two checks in seconds. While this instance is busy, its timers expire together with the
#: arrival of messages, and a message reaches its request two iterations of the event loop later.
PEER_CHECKS = 2
PEER_CHECK_S = 0.001
#: Shards of silent instances that are taken over at once, and the minimum time in seconds until the
#: next ones: sending their sub-requests takes about as long on half a core. If many shards are
#: silent at once, the delay is usually in this instance, and their parts may have arrived.
TAKE_OVER_SHARDS = 20
SUSPICION_GAP_S = 0.008
#: Time in seconds for which a suspected instance gets no requests.
SUSPECTED_PAUSE_S = 0.2
#: Maximum size in bytes of the response of one shard. All parts of a request are held at the same
#: time, in the memory of a small instance.
MAX_PART_BYTES = 256 * 1024
#: Share of a route's target for which a request waits for searchers that take none now.
PATIENCE_SHARE = 0.25
#: Shortest time in seconds after which a caller is told to come back to a searcher with a limit.
MIN_RETRY_AFTER_S = 0.05
#: Time in seconds of a deadline that is reserved for the response to reach the caller.
RETURN_MARGIN_S = 0.015


class RequestSummary(NamedTuple):
    """Outcome of a request and counts of its sub-requests, for the log."""

    reason: str
    #: Number of sub-requests sent to searchers.
    sent: int
    hedges: int
    retries: int
    #: Reason why each missing shard has no response, by service.
    missing: dict[str, str]


class _Shard:
    """State of one shard of a request, or of the single service of a request without shards."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.answer: Response | None = None
        #: Last response of a searcher that reported a failure.
        self.failure: Response | None = None
        #: Cancel scopes of the sub-requests in flight, by their number.
        self.in_flight: dict[int, trio.CancelScope] = {}
        #: Searchers of the sub-requests that were sent on kept connections, by their number.
        self.kept: dict[int, Searcher] = {}
        self.tried: set[Searcher] = set()
        #: Those of them whose response was malformed. They get the request no more: each repeat
        #: would add to the time until the caller gets its response.
        self.malformed: set[Searcher] = set()
        self.sends = 0
        #: Whether a searcher may have received a request for it.
        self.reached = False
        self.may_have_run = False
        #: Whether another instance is gathering it.
        self.delegated = False
        #: Mark of the only searcher to which both instances may send a request.
        self.shared_mark: bytes | None = None
        #: Whether the other instance chooses all searchers but that one.
        self.peer_chooses = False
        #: Whether no further sub-request will be sent.
        self.exhausted = False
        self.reason = ""
        self.pause = FIRST_RETRY_PAUSE_S

    @property
    def settled(self) -> bool:
        """Whether it has a response or can no longer get one."""
        return self.answer is not None or (
            self.exhausted and not self.in_flight and not self.delegated
        )

    def permitted(self, searchers: list[Searcher], attempts: int) -> list[Searcher]:
        """Return the searchers to which this instance may send the request."""
        if self.malformed:
            searchers = [one for one in searchers if one not in self.malformed]
        if self.shared_mark is None:
            return searchers
        own = 0 if self.peer_chooses else attempts - 1
        if sum(searcher.name_hash != self.shared_mark for searcher in self.tried) < own:
            return searchers
        return [one for one in searchers if one.name_hash == self.shared_mark or one in self.tried]

    def delegate(self, searcher: Searcher) -> None:
        """Let another instance gather it; this instance may then use only the given searcher."""
        self.delegated = self.peer_chooses = True
        self.shared_mark = searcher.name_hash

    def reclaim(self) -> None:
        """Take it back from the other instance, for which no searcher has run it."""
        self.delegated = self.peer_chooses = False
        self.shared_mark = None

    @property
    def may_be_running(self) -> bool:
        """Whether a searcher may be running a request for it."""
        return bool(self.in_flight) or self.delegated


class _DelegatedGroup:
    """Shards that another instance gathers; `pending` holds those that it has not reported."""

    def __init__(self, peer: Peer, pending: dict[str, _Shard]) -> None:
        self.peer = peer
        self.pending = pending
        self.responded = False
        self.scope = trio.CancelScope()


class Scatter:
    """One request being served; `background` outlives it and runs the sub-requests."""

    def __init__(
        self,
        deployment: DeploymentState,
        peers: Peers,
        quarantine: Quarantine,
        metrics: RelayMetrics,
        background: Background,
        rng: random.Random,
        route: Route,
        sub: SubRequest,
        arrived: float,
    ) -> None:
        self.deployment = deployment
        self.peers = peers
        self.quarantine = quarantine
        self.metrics = metrics
        self.background = background
        self.rng = rng
        self.route = route
        self.sub = sub._replace(max_body=MAX_PART_BYTES) if route.shards else sub
        self.arrived = arrived
        self.route_name = route.name
        self.latency = deployment.latency(route)
        services = route.shards or (deployment.next_service(route),)
        self.shards = [_Shard(service) for service in services]
        #: Number of shards without which there is no response.
        self.needed = needed_parts(len(services), route.min_share if route.shards else 1.0)
        #: Time at which a response with enough shards is sent.
        self.soft_deadline = response_due_at(arrived, route.target)
        #: Time until which a request waits for searchers that take none now.
        self.patient_until = arrived + PATIENCE_SHARE * route.target
        self.hedges = 0
        self.retries = 0
        self.sent = 0
        #: Number of sub-requests whose connection ended, and of those that succeeded.
        self.broken = 0
        self.succeeded = 0
        self.refused: Refusal | None = None
        self.closed = False
        #: Merged records of the shards that other instances gathered.
        self.gathered_records: list[bytes] = []
        self._groups: list[_DelegatedGroup] = []
        #: Time from which the next silent instance may be suspected.
        self._next_suspicion_at = 0.0
        self._wake = trio.Event()
        self._kind: Kind | None = None
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._timer_order = count()

    async def run(self) -> Response:
        """Serve the request and return the response for the caller."""
        now = trio.current_time()
        served = sum(self.deployment.serves(shard.service, now) for shard in self.shards)
        if served < self.needed:
            return self._refuse(self.refusal(NO_SEARCHER))
        wait = self._wait_for_needed(now) if self.deployment.restricted(now) else 0.0
        if wait and now + wait > self.patient_until:
            return self._refuse(self._rate_limited(wait))
        try:
            for shard in self._delegate(now):
                self._launch(shard, now)
            return await self._until_decided()
        finally:
            self._close()

    @property
    def may_have_run(self) -> bool:
        """Whether any searcher may have run or may still run it, asked by any instance."""
        return any(shard.may_have_run or shard.may_be_running for shard in self.shards)

    def refusal(self, reason: str, *, timed_out: bool = False) -> Refusal:
        """Return the response if the request is not served, from what may have run."""
        return refusal(reason, may_have_run=self.may_have_run, timed_out=timed_out)

    @property
    def summary(self) -> RequestSummary:
        """Outcome so far, for the log."""
        missing = {
            shard.service: shard.reason or "no_answer_in_time"
            for shard in self.shards
            if shard.answer is None
        }
        reason = self.refused.reason if self.refused else ""
        return RequestSummary(reason, self.sent, self.hedges, self.retries, missing)

    @property
    def kind(self) -> Kind:
        """Kind of the request; looked up only for searchers that tell their load."""
        if self._kind is None:
            self._kind = self.deployment.kind(self.route, self.sub, trio.current_time())
        return self._kind

    async def _until_decided(self) -> Response:
        while True:
            now = trio.current_time()
            self._fire_timers(now)
            response = self._decide(now)
            if response is not None:
                return response
            until = self.sub.deadline
            if now < self.soft_deadline:
                until = min(until, self.soft_deadline)
            if self._timers:
                until = min(until, self._timers[0][0])
            self._wake = trio.Event()
            with trio.move_on_at(until):
                await self._wake.wait()
            if self.route.shards and now < self.soft_deadline <= trio.current_time():
                self.deployment.lag.add(trio.current_time() - self.soft_deadline)

    def _decide(self, now: float) -> Response | None:
        """Return the response if it is due, else None."""
        answered = sum(shard.answer is not None for shard in self.shards)
        settled = sum(shard.settled for shard in self.shards)
        late = now >= self.sub.deadline
        if not self.route.shards:
            return self._decide_single(self.shards[0], late)
        if answered >= self.needed and (
            settled == len(self.shards) or now >= self.soft_deadline or late
        ):
            return self._merged_response()
        open_shards = len(self.shards) - settled
        if late or answered + open_shards < self.needed:
            reasons = [
                shard.reason for shard in self.shards if shard.answer is None and shard.reason
            ]
            reason = "deadline" if late else _base_reason(reasons[0] if reasons else NO_SEARCHER)
            if reason == RATE_LIMITED:
                return self._refuse(self._rate_limited(self._wait_for_needed(now)))
            return self._refuse(self.refusal(reason, timed_out=late))
        return None

    def _decide_single(self, shard: _Shard, late: bool) -> Response | None:
        if shard.answer is not None:
            return self._relayed_response(shard.answer)
        if not shard.settled and not late:
            return None
        if shard.failure is not None and not shard.in_flight:
            return self._relayed_response(shard.failure)
        reason = "deadline" if late else _base_reason(shard.reason or NO_SEARCHER)
        if reason == RATE_LIMITED:
            return self._refuse(self._rate_limited(self._wait_for(shard, trio.current_time())))
        return self._refuse(self.refusal(reason, timed_out=late))

    def _launch(
        self, shard: _Shard, now: float, *, hedge: bool = False, again: Searcher | None = None
    ) -> bool:
        """Send a sub-request to a searcher; return False if none can be sent now.

        It goes to the searcher `again`, on a new connection, or to the one that is expected to
        respond first.
        """
        if self.quarantine.time_left(self.sub, shard.service):
            self._hold_quarantined(shard, now)
            return False
        searcher = again or self._choose(shard, now, sending=True)
        deployment = self.deployment
        if searcher is None:
            if not hedge:
                self._schedule_retry(shard, now)
                retry = partial(self._retry_waiting, shard)
                deployment.connections.add(shard.service, shard, retry)
            return False
        window = deployment.extra_window(shard.service)
        limits = deployment.bounds.extra
        extra = shard.reached
        if not extra:
            window.record_first(now, limits)
        elif not window.reserve(now, limits, deployment.floor_divisor(shard.service), hedge=hedge):
            self.metrics.denied.inc({"role": "hedge" if hedge else "retry"})
            if not hedge:
                shard.exhausted = True
                shard.reason = shard.reason or "budget"
            return False
        shard.reached = True
        shard.sends += 1
        shard.tried.add(searcher)
        self.sent += 1
        self.hedges += hedge
        self.retries += shard.sends > 1 and not hedge
        counted = deployment.record_send(searcher, now)
        scope = trio.CancelScope()
        number = shard.sends
        shard.in_flight[number] = scope
        connection = searcher.reserve(
            deployment.connections_to(shard.service),
            reuse=self.sub.idempotent and again is None,
            keep=deployment.keeps_connection(searcher),
        )
        likely, expected = self.latency.median, None
        if self._by_cost(searcher):
            kind = self.kind
            likely = likely_latency(searcher.work.state(now)[0], kind.expected, kind.deviation)
            expected = searcher.expect_cost(kind, now)
        self.background.start_soon(
            self._send, shard, number, searcher, scope, hedge, extra, counted, connection, expected
        )
        if connection is not None:
            shard.kept[number] = searcher
            delay = silence_delay(max(likely, self.latency.median))
            self._schedule(now + delay, partial(self._suspect_connection, shard, number))
        if self.sub.idempotent and number < self.route.attempts:
            if expected is None:
                latency = searcher.estimate.expected_latency(likely, now)
                delay = hedge_delay(latency, likely)
            else:
                delay = hedge_delay(likely, likely)
                if self.route.shards:
                    delay = min(delay, max(MIN_HEDGE_S, SHARD_HEDGE_SHARE * self.route.target))
            self._schedule(now + delay, partial(self._hedge, shard))
        return True

    def _suspect_connection(self, shard: _Shard, number: int, now: float) -> None:
        """Send a sub-request again on a new connection if all in flight may be on silent ones."""
        searcher = shard.kept[number]
        if shard.answer is not None or shard.exhausted or number not in shard.in_flight:
            return
        if not shard.kept.keys() >= shard.in_flight.keys():
            return
        if not searcher.usable(now) or self.deployment.wait(searcher, now):
            return
        if not self.deployment.all_connections.room(shard.service):
            return
        if self._launch(shard, now, hedge=True, again=searcher):
            event(
                "connection.silent", request=self.sub.request_id, searcher=searcher.record.searcher
            )
            shard.may_have_run = True
            shard.in_flight[number].cancel()

    async def _send(
        self,
        shard: _Shard,
        number: int,
        searcher: Searcher,
        scope: trio.CancelScope,
        hedge: bool,
        extra: bool,
        counted: bool,
        connection: HttpConnection | None,
        expected: ExpectedCost | None,
    ) -> None:
        started = trio.current_time()
        outcome = None
        with scope:
            try:
                outcome = await searcher.exchange(
                    self.sub, self.latency.median, scope, connection, expected
                )
            except Exception as error:
                event("subrequest.failed", request=self.sub.request_id, reason=traceback(error))
                outcome = Outcome("lost", "internal")
        if scope.cancelled_caught and trio.current_time() >= self.sub.deadline:
            outcome = searcher.record_no_answer()
        del shard.in_flight[number]
        role = "hedge" if hedge else "first" if number == 1 else "retry"
        kind = "cancelled" if outcome is None else outcome.kind
        self.metrics.subrequest_counts[role, kind] += 1
        if outcome is None:
            return
        if outcome.succeeded:
            self.succeeded += 1
            self.latency.add(trio.current_time() - started)
            self.quarantine.record_success(self.sub, shard.service)
        elif outcome.broken:
            # A searcher that has sent a response, although a malformed one, may still be running.
            self.broken += not outcome.malformed
            record = partial(self.quarantine.record_broken, gathered=bool(self.route.shards))
            self.background.start_soon(record, self.sub, searcher, lambda: self.succeeded > 0)
        if not outcome.reached:
            self._refund_unsent(shard, extra)
            if counted:
                searcher.pacer.cold_window.refund()
        if outcome.malformed:
            shard.malformed.add(searcher)
        if not self.closed:
            self._record_outcome(shard, outcome)
            self._wake.set()

    def _hold_quarantined(self, shard: _Shard, now: float) -> None:
        """Give a shard up, or wait while other parts in flight may refute the quarantine."""
        if shard.in_flight:
            return
        if any(other.in_flight for other in self.shards):
            self._schedule_retry(shard, now)
        else:
            shard.exhausted = True
        shard.reason = QUARANTINED

    def _record_outcome(self, shard: _Shard, outcome: Outcome) -> None:
        if outcome.kind != "refused":
            shard.may_have_run = True
        if outcome.kind == "answer" and (outcome.succeeded or not self.route.shards):
            if outcome.answered:
                shard.answer = shard.answer or outcome.response
                self._limit_in_flight(shard)
                return
            shard.failure = outcome.response
        shard.reason = outcome.reason or "searcher_failed"
        if shard.answer is None and not shard.in_flight:
            self._plan_retry(shard, outcome)

    def _refund_unsent(self, shard: _Shard, extra: bool) -> None:
        """Refund the budget of a sub-request that never left this instance."""
        if extra:
            self.deployment.extra_window(shard.service).refund()
        elif not shard.in_flight:
            # No searcher has received the request, so the next sub-request is the first again.
            shard.reached = False
            self.deployment.extra_window(shard.service).refund_first()

    def _plan_retry(self, shard: _Shard, outcome: Outcome) -> None:
        """Send the request to another searcher now, schedule a retry, or give the shard up."""
        now = trio.current_time()
        if shard.may_have_run and not self.sub.idempotent:
            shard.exhausted = True
            return
        if shard.sends >= MAX_SENDS:
            shard.exhausted = True
            return
        waits = CrashRecord.retry_waits(self.broken, self.succeeded)
        untried = len(shard.tried) < self.route.attempts
        if untried and not waits and self._choose(shard, now) is not None:
            self._launch(shard, now)
            return
        self._schedule_retry(shard, now)

    def _schedule_retry(self, shard: _Shard, now: float) -> None:
        """Schedule a retry after a pause, or give the shard up if the deadline is too close."""
        left = self._left(shard, now)
        wait = min((self.deployment.wait(searcher, now) for searcher in left), default=0.0)
        if wait and now + wait > self.patient_until:
            shard.exhausted = True
            shard.reason = RATE_LIMITED
            return
        at = now + max(shard.pause, wait)
        shard.pause *= 2.0
        if at >= self.sub.deadline - RETURN_MARGIN_S or not left:
            shard.exhausted = True
            shard.reason = shard.reason or NO_SEARCHER
            return
        self._schedule(at, partial(self._retry, shard))

    def _wait_for(self, shard: _Shard, now: float) -> float:
        """Return the seconds until a searcher of a shard takes a request again."""
        waits = [self.deployment.wait(searcher, now) for searcher in self._serving(shard, now)]
        return min(waits, default=0.0)

    def _wait_for_needed(self, now: float) -> float:
        """Return the seconds until enough shards have a searcher that takes a request."""
        waits = sorted(self._wait_for(shard, now) for shard in self.shards)
        return waits[self.needed - 1]

    def _rate_limited(self, wait: float) -> Refusal:
        """Return the refusal of a request whose searchers take none for some seconds."""
        refused = self.refusal(RATE_LIMITED)
        if not refused.retry_after:
            return refused
        # Spread, so that those who wait for the same searcher do not return together.
        seconds = min(max(MIN_RETRY_AFTER_S, wait), MAX_PAUSE_S) * self.rng.uniform(1.0, 1.5)
        return refused._replace(retry_after=seconds)

    def _serving(self, shard: _Shard, now: float) -> list[Searcher]:
        """Return the searchers that may get the shard's request, now or after a pause."""
        serving = list(self.deployment.serving(shard.service, now))
        return shard.permitted(serving, self.route.attempts)

    def _left(self, shard: _Shard, now: float) -> list[Searcher]:
        """Return the searchers that this very request may still be sent to.

        Once `attempts` searchers have got it, others may serve only later requests.
        """
        serving = self._serving(shard, now)
        if len(shard.tried) < self.route.attempts:
            return serving
        return [searcher for searcher in serving if searcher in shard.tried]

    def _choose(self, shard: _Shard, now: float, *, sending: bool = False) -> Searcher | None:
        """Return the searcher that is expected to respond first; `sending` logs the choice."""
        new_connection = not self.sub.idempotent
        usable = self.deployment.usable(shard.service, now)
        usable = shard.permitted(usable, self.route.attempts)
        if len(shard.tried) >= self.route.attempts:
            usable = [searcher for searcher in usable if searcher in shard.tried]
        else:
            usable = [searcher for searcher in usable if searcher not in shard.tried] or (
                usable if not shard.in_flight else []
            )
        not_paused = [searcher for searcher in usable if searcher.paused_until <= now]
        usable = not_paused or usable
        if len(usable) <= 1:
            return usable[0] if usable else None
        median_latency, domain = self.latency.median, self.deployment.domain
        if any(self._by_cost(searcher) for searcher in usable):
            cost = self.kind.expected
            offers = [
                searcher.offer(cost, median_latency, domain, now, new_connection=new_connection)
                for searcher in usable
            ]
            searcher = usable[place(offers, [self.rng.random() for _ in usable])]
            if sending and self.deployment.log_choices:
                self._log_choice(shard, searcher, usable, offers, now)
            return searcher
        candidates = [
            searcher.candidate(median_latency, domain, now, new_connection=new_connection)
            for searcher in usable
        ]
        return usable[pick(candidates, [self.rng.random() for _ in usable])]

    @staticmethod
    def _by_cost(searcher: Searcher) -> bool:
        """Return whether requests to a searcher are placed by cost: if it tells its pace."""
        return searcher.told is not None and searcher.told.paced

    def _log_choice(
        self,
        shard: _Shard,
        chosen: Searcher,
        usable: list[Searcher],
        offers: list[Offer],
        now: float,
    ) -> None:
        event(
            "searcher.chosen",
            request=self.sub.request_id,
            service=shard.service,
            searcher=chosen.record.searcher,
            cost_ms=round(1000 * self.kind.expected, 1),
            confidence=round(self.kind.confidence, 2),
            offers={
                searcher.record.searcher: _offer_fields(searcher, offer, now)
                for searcher, offer in zip(usable, offers, strict=True)
            },
        )

    def _delegate(self, now: float) -> list[_Shard]:
        """Delegate shards to other instances as planned; return those that this one gathers."""
        if not self.route.shards:
            return self.shards
        deployment = self.deployment
        instances = self.peers.domains(now)
        if not instances:
            return self.shards
        domains_of = {
            shard.service: deployment.domains_of(shard.service, now) for shard in self.shards
        }
        deployment.gather_rate.add(now)
        plan = plan_groups(
            deployment.instance,
            deployment.domain,
            self.route.shards,
            domains_of,
            instances,
            deployment.gather_rate.at(now),
            deployment.cores_of,
        )
        by_service = {shard.service: shard for shard in self.shards}
        own_shards = [by_service[service] for service in plan.direct]
        gathered: dict[str, list[_Shard]] = {}
        for run in plan.runs:
            shards = [by_service[service] for service in run.shards]
            peer = self.peers.choose(run.instances, self.latency.median)
            if peer is None:
                own_shards += shards
            else:
                gathered.setdefault(peer.instance.name, []).extend(shards)
        for name, shards in gathered.items():
            peer = self.peers.known[name]
            group = []
            for shard in shards:
                searcher = deployment.searcher_near(
                    shard.service, peer.instance.domain, self.sub.request_id, now
                )
                if searcher is None:
                    own_shards.append(shard)
                    continue
                shard.delegate(searcher)
                group.append(shard)
            if not group:
                continue
            if not PeerLink.frames.reserve(len(self.sub.body)):
                # A message has a copy of the body, which all sub-requests of this instance share.
                for shard in group:
                    shard.reclaim()
                own_shards += group
                continue
            delegated_group = _DelegatedGroup(peer, {shard.service: shard for shard in group})
            self._groups.append(delegated_group)
            self.background.start_soon(self._gather_through_peer, delegated_group)
        return own_shards

    async def _gather_through_peer(self, group: _DelegatedGroup) -> None:
        """Let another instance gather a group; gather the shards that it does not report here."""
        started = trio.current_time()
        first_after = hedge_delay(self.latency.median, self.latency.median)
        reason = "peer_unavailable"
        reserved = len(self.sub.body)
        with group.scope:
            try:
                message = self._gather_message(group, started, first_after)
                silent_at = first_message_due_at(
                    started,
                    first_after,
                    lag=self.deployment.lag.quantile,
                    cores=self.deployment.cores,
                )
                self._schedule(silent_at, partial(self._suspect_peer, group, PEER_CHECKS))
                overdue_at = self.soft_deadline + PEER_CHECK_S
                self._schedule(overdue_at, partial(self._check_overdue, group))
                async with (
                    self.peers.linked(group.peer) as link,
                    link.open_stream(message) as items,
                ):
                    # The frame is queued and counts there.
                    PeerLink.frames.free(reserved)
                    reserved = 0
                    del message
                    async for item in items:
                        if not group.responded:
                            group.responded = True
                            now = trio.current_time()
                            group.peer.estimate.record_response(
                                now - started, self.latency.median, now
                            )
                        self._accept_gathered(item, group)
            except RelayError as error:
                reason = error.code
                peer = group.peer.instance.name
                event("gather.failed", request=self.sub.request_id, peer=peer, reason=str(error))
                if error.ran == "not_run":
                    for shard in group.pending.values():
                        shard.reclaim()
            except Exception as error:
                reason = "internal"
                event("gather.failed", request=self.sub.request_id, reason=traceback(error))
            finally:
                PeerLink.frames.free(reserved)
        if not self.closed:
            self._reclaim(group, reason)

    def _suspect_peer(self, group: _DelegatedGroup, checks_left: int, now: float) -> None:
        """Suspect the other instance if it is silent, and gather its shards from here too."""
        if group.responded or not group.pending:
            return
        if checks_left:
            self._schedule(now + PEER_CHECK_S, partial(self._suspect_peer, group, checks_left - 1))
            return
        if now < self._next_suspicion_at:
            self._schedule(self._next_suspicion_at, partial(self._suspect_peer, group, 0))
            return
        self._next_suspicion_at = now + SUSPICION_GAP_S
        group.peer.estimate.record_unanswered(now - self.arrived, self.latency.median, now)
        group.peer.pause(SUSPECTED_PAUSE_S)
        self.peers.check_link(group.peer)
        event("gather.silent", request=self.sub.request_id, peer=group.peer.instance.name)
        for shard in group.pending.values():
            shard.reached = True
        self._take_over(group, tuple(group.pending), now)

    def _check_overdue(self, group: _DelegatedGroup, now: float) -> None:
        """Check the link to an instance that has not reported all shards when they were due."""
        if group.pending:
            self.peers.check_link(group.peer)

    def _take_over(self, group: _DelegatedGroup, services: tuple[str, ...], now: float) -> None:
        """Send requests for shards that the other instance has not reported, some at a time."""
        pending = [group.pending[service] for service in services if service in group.pending]
        for shard in pending[:TAKE_OVER_SHARDS]:
            if shard.answer is None and not shard.in_flight:
                self._launch(shard, now, hedge=True)
        rest = tuple(shard.service for shard in pending[TAKE_OVER_SHARDS:])
        if rest:
            self._next_suspicion_at = max(self._next_suspicion_at, now) + SUSPICION_GAP_S
            self._schedule(now + SUSPICION_GAP_S, partial(self._take_over, group, rest))

    def _reclaim(self, group: _DelegatedGroup, reason: str) -> None:
        """Gather the shards that the other instance did not report."""
        now = trio.current_time()
        for shard in group.pending.values():
            if shard.delegated:
                shard.reached = shard.may_have_run = True
                shard.delegated = False
            shard.reason = shard.reason or reason
            if shard.answer is None and not shard.in_flight:
                self._launch(shard, now)
        self._wake.set()

    def _gather_message(
        self, group: _DelegatedGroup, now: float, first_after: float
    ) -> GatherShards:
        sub, route = self.sub, self.route
        answer = max(
            self.soft_deadline - now - PEER_RETURN_MARGIN_S - self.deployment.lag.quantile, 0.0
        )
        return GatherShards(
            sub.request_id,
            self.route_name,
            sub.method,
            sub.target,
            tuple(HeaderField(name, value) for name, value in sub.headers.items()),
            sub.body,
            tuple(group.pending),
            route.attempts,
            route.top_k,
            int(route.target * 1e6),
            int(answer * 1e6),
            int(max(sub.deadline - now - PEER_RETURN_MARGIN_S, 0.0) * 1e6),
            int(first_after * 1e6),
            join_hashes(shard.shared_mark for shard in group.pending.values()),
        )

    def _accept_gathered(self, item: GatheredParts, group: _DelegatedGroup) -> None:
        """Accept shards that another instance reports; it gave up those without a signature."""
        if self.closed:
            return
        now = trio.current_time()
        accepted = 0
        for row in item.parts:
            shard = group.pending.pop(row.shard, None)
            if shard is None:
                continue
            shard.delegated = False
            if row.signature:
                # The other instance has merged this shard's records into its message, so a response
                # that this instance has received itself is dropped.
                shard.answer = Response(200, {self.deployment.names.signature: row.signature})
                shard.may_have_run = True
                self._limit_in_flight(shard)
                accepted += 1
                continue
            shard.exhausted = row.reason == QUARANTINED
            if not row.may_have_run:
                shard.reclaim()
            shard.reached = shard.reached or row.reached
            shard.may_have_run = shard.may_have_run or row.may_have_run
            shard.reason = row.reason
            if shard.answer is None and not shard.in_flight and not shard.exhausted:
                self._schedule_retry(shard, now)
        if accepted:
            self.succeeded += accepted
            self.gathered_records.append(item.records)
        self._wake.set()

    def _fire_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)

    def _hedge(self, shard: _Shard, now: float) -> None:
        """Send a hedge if the request in flight has no response yet."""
        hedge_allowed = shard.answer is None and not shard.exhausted and shard.in_flight
        if hedge_allowed and len(shard.tried) < self.route.attempts:
            self._launch(shard, now, hedge=True)

    def _retry(self, shard: _Shard, now: float) -> None:
        if shard.answer is None and not shard.exhausted and not shard.in_flight:
            self._launch(shard, now)

    def _retry_waiting(self, shard: _Shard, now: float) -> Retry:
        """Send the request of a shard that waits for a connection, if one is free."""
        done = self.closed or shard.answer is not None or shard.exhausted or shard.delegated
        if done or shard.in_flight:
            return Retry.DONE
        if self._choose(shard, now) is None:
            return Retry.WAITING
        self._launch(shard, now)
        self._wake.set()
        return Retry.SENT

    def _schedule(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._timer_order), action))
        # Another task may set a timer while the request's task sleeps until a later one.
        self._wake.set()

    def _limit_in_flight(self, shard: _Shard) -> None:
        """Let the sub-requests in flight complete within a short time, then cancel them."""
        until = trio.current_time() + LATE_RESPONSE_GRACE_S
        for scope in shard.in_flight.values():
            scope.deadline = min(scope.deadline, until)

    def _close(self) -> None:
        self.closed = True
        # Timers refer to this object, whose bodies would stay until the garbage collector runs.
        self._timers.clear()
        for shard in self.shards:
            self.deployment.connections.remove(shard.service, shard)
        if self.succeeded:
            self.quarantine.record_answer(self.sub)
        if not self.sub.idempotent:
            return
        for group in self._groups:
            group.scope.cancel()
        for shard in self.shards:
            self._limit_in_flight(shard)

    def _merged_response(self) -> Response:
        names = self.deployment.names
        answers = [shard.answer for shard in self.shards if shard.answer is not None]
        for shard in self.shards:
            if shard.answer is None:
                reason = shard.reason.partition(":")[0] or "no_answer_in_time"
                self.metrics.missing.inc({"reason": reason})
        headers = {
            names.request_id: self.sub.request_id,
            names.part_signatures: ", ".join(answer.headers[names.signature] for answer in answers),
            names.missing_shards: str(len(self.shards) - len(answers)),
        }
        bodies = [answer.body for answer in answers] + self.gathered_records
        return Response(200, headers, greatest_records(bodies, self.route.top_k))

    def _relayed_response(self, answer: Response) -> Response:
        """Return a searcher's response; not if its status denies that the request has run."""
        if permitted_status(answer.status, may_have_run=self.may_have_run) != answer.status:
            return self._refuse(self.refusal(f"searcher_failed: status {answer.status}"))
        headers = {name: value for name, value in answer.headers.items() if name not in HOP_HEADERS}
        headers.pop(self.deployment.names.load, None)
        return Response(answer.status, headers, answer.body)

    def _refuse(self, refused: Refusal) -> Response:
        self.refused = refused
        return refusal_response(refused, self.sub.request_id, self.deployment)


class DelegatedScatter(Scatter):
    """Shards that this instance gathers for another one, which decides on the response."""

    def __init__(self, *args, marks: bytes, first_at: float, answer_at: float, emit: Emit) -> None:
        super().__init__(*args)
        self.first_at = first_at
        # A message is late by about the recent lag of this instance, so it is scheduled earlier.
        self.soft_deadline = answer_at - self.deployment.lag.quantile
        self.emit = emit
        if marks:
            for shard, shared in zip(self.shards, split_hashes(marks), strict=True):
                shard.shared_mark = shared
        self._emitted: set[str] = set()

    async def gather(self) -> None:
        """Send settled shards at the first time, at the soft deadline, and then as they settle."""
        now = trio.current_time()
        send_times = sorted(
            {min(self.first_at, self.soft_deadline), self.soft_deadline, self.sub.deadline}
        )
        try:
            for shard in self.shards:
                self._launch(shard, now)
            while len(self._emitted) < len(self.shards) and now < self.sub.deadline:
                self._fire_timers(now)
                settled = [shard for shard in self.shards if shard.settled]
                while send_times and send_times[0] <= now:
                    send_times.pop(0)
                    if len(self._emitted) < len(settled) or now < self.soft_deadline:
                        await self._emit(settled)
                done = len(settled) == len(self.shards)
                if (done or now >= self.soft_deadline) and len(self._emitted) < len(settled):
                    await self._emit(settled)
                until = send_times[0] if send_times else self.sub.deadline
                if self._timers:
                    until = min(until, self._timers[0][0])
                self._wake = trio.Event()
                if len(self._emitted) < len(self.shards):
                    with trio.move_on_at(until):
                        await self._wake.wait()
                now = trio.current_time()
        finally:
            self._close()

    async def _emit(self, settled: list[_Shard]) -> None:
        """Send the shards not sent before; an empty message shows that this instance is working."""
        new = [shard for shard in settled if shard.service not in self._emitted]
        self._emitted.update(shard.service for shard in new)
        name = self.deployment.names.signature
        rows = tuple(
            (
                GatheredPart(shard.service, shard.answer.headers[name])
                if shard.answer is not None
                else GatheredPart(
                    shard.service, "", shard.reason, shard.may_have_run, shard.reached
                )
            )
            for shard in new
        )
        bodies = [shard.answer.body for shard in new if shard.answer is not None]
        await self.emit(GatheredParts(rows, greatest_records(bodies, self.route.top_k)))


def refusal_response(refused: Refusal, request_id: str, deployment: DeploymentState) -> Response:
    """Return the response for a refused request."""
    headers = {"content-type": "text/plain"}
    if request_id:
        headers[deployment.names.request_id] = request_id
    if refused.retry_after > 0.0:
        headers["retry-after"] = f"{refused.retry_after:.2f}"
    return Response(refused.status, headers, f"{refused.reason}\n".encode())


def _offer_fields(searcher: Searcher, offer: Offer, now: float) -> dict:
    """Return the inputs of a choice for the log; times in milliseconds."""
    told = searcher.told
    return {
        "wait": None if offer.wait is None else round(1000 * offer.wait, 1),
        "work": round(1000 * offer.work, 1),
        "silent": round(1000 * offer.silent, 1),
        "failure_rate": round(offer.failure_rate, 2),
        "in_flight": len(searcher.in_flight),
        "told": told and f"{told.running},{told.waiting},{told.slots},{told.pace:g}",
        "told_age": told and round(1000 * (now - told.at)),
    }


def _base_reason(reason: str) -> str:
    """Return the reason without its details if its bare form is a known refusal."""
    short = reason.partition(":")[0]
    return short if short in RETRY_AFTER_S else reason
