"""Serving one request: to one searcher of a service, or to one of each shard and merged."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import NamedTuple

import trio

from ..decide.choice import pick
from ..decide.grouping import plan_groups
from ..decide.marks import pack, unpack
from ..decide.patience import answer_by, hedge_after
from ..decide.records import greatest_records, needed_parts
from ..decide.refusal import NO_SEARCHER, NOT_SERVED, Refusal, refusal
from ..errors import RelayError
from ..http import Response
from ..log import event, traceback
from ..wire import GatheredPart, GatheredParts, GatherShards, HeaderField
from ..wire.link import Emit
from .fleet import Knowledge
from .metrics import RelayMetrics
from .model import Route
from .peers import Peer, Peers
from .searchers import HOP_HEADERS, Outcome, Searcher, SubRequest

__all__ = ["DelegatedScatter", "Report", "Scatter", "refusal_response"]

#: A sub-request whose response is not needed any more may end within this time, in seconds, so
#: that its connection can be used again and its latency is known.
LINGER_S = 0.2
#: First pause before a searcher that refused gets the request again; doubles each time, in seconds.
REFUSED_PAUSE_S = 0.02
#: Sub-requests for one shard, refused ones included.
MAX_SENDS = 6
#: Time kept of a request's answer time for the way back from another instance, in seconds.
PEER_RETURN_S = 0.003
#: Time by which another instance may miss the moment of its first message, in seconds.
PEER_LATE_S = 0.012
#: Looks for a message of a silent instance before it is doubted, and the time between two, in
#: seconds. While this instance is busy its timers and the messages that have arrived are due
#: together; a message reaches its request two turns of the loop later.
PEER_LOOKS = 2
PEER_LOOK_S = 0.001
#: Time between the turns of two silent instances, in seconds: asking for a group of parts takes
#: about as long on half a core. Many silent ones at once are mostly a sign of delays here.
DOUBT_GAP_S = 0.008
#: Time for which an instance that was silent is not asked, in seconds.
PEER_DOUBT_S = 0.2
#: Time kept of a deadline for the way of the response to the caller, in seconds.
RETURN_S = 0.015


class Report(NamedTuple):
    """What decided the outcome of a request, for its log line."""

    reason: str
    #: Requests sent to searchers.
    sent: int
    hedges: int
    retries: int
    #: Reason of each missing shard, by service.
    missing: dict[str, str]


class _Part:
    """One shard of a request, or its only service."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.answer: Response | None = None
        #: Last response of a searcher that reported a failure.
        self.failure: Response | None = None
        self.flying: dict[int, trio.CancelScope] = {}
        self.tried: set[Searcher] = set()
        self.sends = 0
        self.reached = False
        self.may_have_run = False
        #: Another instance gathers it.
        self.handed_over = False
        #: Mark of the only searcher that two instances may both ask for it.
        self.shared: bytes | None = None
        #: Whether the other instance chooses the searchers beside that one.
        self.chosen_elsewhere = False
        self.over = False
        self.reason = ""
        self.pause = REFUSED_PAUSE_S

    @property
    def settled(self) -> bool:
        """Whether nothing more will come."""
        return self.answer is not None or (self.over and not self.flying and not self.handed_over)

    def permitted(self, searchers: list[Searcher], attempts: int) -> list[Searcher]:
        """Return those of the searchers that may get the request from this instance."""
        if self.shared is None:
            return searchers
        own = 0 if self.chosen_elsewhere else attempts - 1
        if sum(searcher.mark != self.shared for searcher in self.tried) < own:
            return searchers
        return [one for one in searchers if one.mark == self.shared or one in self.tried]

    def share(self, searcher: Searcher) -> None:
        """Let another instance gather it, which leaves this one searcher to ask."""
        self.handed_over = self.chosen_elsewhere = True
        self.shared = searcher.mark

    def release(self) -> None:
        """Note that no searcher has run it for the other instance."""
        self.handed_over = self.chosen_elsewhere = False
        self.shared = None

    @property
    def open_elsewhere(self) -> bool:
        """Whether a searcher may be at work on it."""
        return bool(self.flying) or self.handed_over


class _Group:
    """Parts that another instance gathers; `waiting` has those that it has not answered."""

    def __init__(self, peer: Peer, waiting: dict[str, _Part]) -> None:
        self.peer = peer
        self.waiting = waiting
        self.heard = False
        self.scope = trio.CancelScope()


class Scatter:
    """One request on its way; `background` outlives it and runs the sub-requests."""

    def __init__(
        self,
        knowledge: Knowledge,
        peers: Peers,
        metrics: RelayMetrics,
        background: trio.Nursery,
        rng: random.Random,
        route: Route,
        sub: SubRequest,
        arrived: float,
    ) -> None:
        self.knowledge = knowledge
        self.peers = peers
        self.metrics = metrics
        self.background = background
        self.rng = rng
        self.route = route
        self.sub = sub
        self.arrived = arrived
        self.kind = route.name
        self.latency = knowledge.latency(route)
        services = route.shards or (knowledge.next_service(route),)
        self.parts = [_Part(service) for service in services]
        self.needed = needed_parts(len(services), route.min_share if route.shards else 1.0)
        self.soft = answer_by(arrived, route.target)
        self.hedges = 0
        self.retries = 0
        self.sent = 0
        self.refused: Refusal | None = None
        self.closed = False
        #: Records of parts that other instances gathered.
        self.gathered: list[bytes] = []
        self._groups: list[_Group] = []
        #: When the next silent instance may be asked around.
        self._next_doubt = 0.0
        self._wake = trio.Event()
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()

    async def run(self) -> Response:
        """Return the response to the caller."""
        now = trio.current_time()
        served = sum(self.knowledge.serves(part.service, now) for part in self.parts)
        if served < self.needed:
            return self._refuse(refusal(NO_SEARCHER, may_have_run=False))
        try:
            for part in self._hand_over(now):
                self._launch(part, now)
            return await self._until_decided()
        finally:
            self._close()

    @property
    def report(self) -> Report:
        """What decided the outcome."""
        missing = {
            part.service: part.reason or "no_answer_in_time"
            for part in self.parts
            if part.answer is None
        }
        reason = self.refused.reason if self.refused else ""
        return Report(reason, self.sent, self.hedges, self.retries, missing)

    async def _until_decided(self) -> Response:
        while True:
            now = trio.current_time()
            self._fire_timers(now)
            response = self._decide(now)
            if response is not None:
                return response
            until = self.sub.deadline
            if now < self.soft:
                until = min(until, self.soft)
            if self._timers:
                until = min(until, self._timers[0][0])
            self._wake = trio.Event()
            with trio.move_on_at(until):
                await self._wake.wait()
            if self.route.shards and now < self.soft <= trio.current_time():
                self.knowledge.lag.add(trio.current_time() - self.soft)

    def _decide(self, now: float) -> Response | None:
        """Return the response if it is time for one."""
        answered = sum(part.answer is not None for part in self.parts)
        settled = sum(part.settled for part in self.parts)
        late = now >= self.sub.deadline
        if not self.route.shards:
            return self._decide_single(self.parts[0], late)
        if answered >= self.needed and (settled == len(self.parts) or now >= self.soft or late):
            return self._merged()
        open_parts = len(self.parts) - settled
        if late or answered + open_parts < self.needed:
            may_have_run = any(part.may_have_run or part.open_elsewhere for part in self.parts)
            reasons = [part.reason for part in self.parts if part.answer is None and part.reason]
            reason = "deadline" if late else _known(reasons[0] if reasons else NO_SEARCHER)
            return self._refuse(refusal(reason, may_have_run=may_have_run, timed_out=late))
        return None

    def _decide_single(self, part: _Part, late: bool) -> Response | None:
        if part.answer is not None:
            return self._passed(part.answer)
        if not part.settled and not late:
            return None
        if part.failure is not None and not part.flying:
            return self._passed(part.failure)
        may_have_run = part.may_have_run or bool(part.flying)
        reason = "deadline" if late else _known(part.reason or NO_SEARCHER)
        return self._refuse(refusal(reason, may_have_run=may_have_run, timed_out=late))

    def _launch(self, part: _Part, now: float, *, hedge: bool = False) -> bool:
        """Send the part's request to a searcher; False when there is none or no budget."""
        searcher = self._choose(part, now)
        if searcher is None:
            if not hedge:
                self._later(part, now)
            return False
        knowledge = self.knowledge
        window = knowledge.extras(part.service)
        limits = knowledge.bounds.extra
        extra = part.reached
        if not extra:
            window.first(now, limits)
        elif not window.take(now, limits, knowledge.instances, hedge=hedge):
            self.metrics.denied.inc({"role": "hedge" if hedge else "retry"})
            if not hedge:
                part.over = True
                part.reason = part.reason or "budget"
            return False
        part.reached = True
        part.sends += 1
        part.tried.add(searcher)
        self.sent += 1
        self.hedges += hedge
        self.retries += part.sends > 1 and not hedge
        knowledge.sending(searcher, now)
        scope = trio.CancelScope()
        number = part.sends
        part.flying[number] = scope
        self.background.start_soon(self._send, part, number, searcher, scope, hedge, extra)
        if self.sub.idempotent and number < self.route.attempts:
            expected = searcher.estimate.expected(self.latency.usual, now)
            delay = hedge_after(expected, self.latency.usual)
            self._at(now + delay, partial(self._hedge, part))
        return True

    async def _send(
        self,
        part: _Part,
        number: int,
        searcher: Searcher,
        scope: trio.CancelScope,
        hedge: bool,
        extra: bool,
    ) -> None:
        started = trio.current_time()
        outcome = None
        with scope:
            try:
                outcome = await searcher.exchange(self.sub, self.latency.usual, scope)
            except Exception as error:
                event("subrequest.failed", request=self.sub.request_id, reason=traceback(error))
                outcome = Outcome("lost", "internal")
        if scope.cancelled_caught and trio.current_time() >= self.sub.deadline:
            outcome = searcher.silent()
        del part.flying[number]
        role = "hedge" if hedge else "first" if number == 1 else "retry"
        kind = "cancelled" if outcome is None else outcome.kind
        self.metrics.subrequest_counts[role, kind] += 1
        if outcome is None:
            return
        if outcome.succeeded:
            self.latency.add(trio.current_time() - started)
        if not outcome.reached:
            self._unsent(part, extra)
        if not self.closed:
            self._take(part, outcome)
            self._wake.set()

    def _take(self, part: _Part, outcome: Outcome) -> None:
        if outcome.kind == "answer" and (outcome.succeeded or not self.route.shards):
            if outcome.response.status < 500:
                part.answer = part.answer or outcome.response
                self._stop(part)
                return
            part.failure = outcome.response
        if outcome.kind != "refused":
            part.may_have_run = True
        part.reason = outcome.reason or "searcher_failed"
        if part.answer is None and not part.flying:
            self._try_again(part, outcome)

    def _unsent(self, part: _Part, extra: bool) -> None:
        """Take back the count of a request that never left this instance."""
        if extra:
            self.knowledge.extras(part.service).refund()
        elif not part.flying:
            # No searcher has seen the request, so the next one is the first to do so.
            part.reached = False
            self.knowledge.extras(part.service).refund_first()

    def _try_again(self, part: _Part, outcome: Outcome) -> None:
        """Decide whether the part's request goes to another searcher, or later to the same one."""
        now = trio.current_time()
        if part.may_have_run and not self.sub.idempotent:
            part.over = True
            return
        if part.sends >= MAX_SENDS:
            part.over = True
            return
        if len(part.tried) < self.route.attempts and self._choose(part, now) is not None:
            self._launch(part, now)
            return
        self._later(part, now)

    def _later(self, part: _Part, now: float) -> None:
        """Try the part again after a pause if its deadline allows that."""
        at = now + part.pause
        part.pause *= 2.0
        if at >= self.sub.deadline - RETURN_S or not self._serving(part, now):
            part.over = True
            part.reason = part.reason or NO_SEARCHER
            return
        self._at(at, partial(self._retry, part))

    def _serving(self, part: _Part, now: float) -> list[Searcher]:
        """Return the searchers that may get the part's request, now or soon."""
        serving = list(self.knowledge.serving(part.service, now))
        return part.permitted(serving, self.route.attempts)

    def _choose(self, part: _Part, now: float) -> Searcher | None:
        fresh = not self.sub.idempotent
        usable = self.knowledge.usable(part.service, now, fresh=fresh)
        usable = part.permitted(usable, self.route.attempts)
        if len(part.tried) >= self.route.attempts:
            usable = [searcher for searcher in usable if searcher in part.tried]
        else:
            usable = [searcher for searcher in usable if searcher not in part.tried] or (
                usable if not part.flying else []
            )
        rested = [searcher for searcher in usable if searcher.paused_until <= now]
        usable = rested or usable
        if len(usable) <= 1:
            return usable[0] if usable else None
        usual, domain = self.latency.usual, self.knowledge.domain
        candidates = [searcher.candidate(usual, domain, now, fresh=fresh) for searcher in usable]
        return usable[pick(candidates, [self.rng.random() for _ in usable])]

    def _hand_over(self, now: float) -> list[_Part]:
        """Hand shards to other instances where that is better; return the parts that stay."""
        if not self.route.shards:
            return self.parts
        knowledge = self.knowledge
        instances = self.peers.domains(now)
        if not instances:
            return self.parts
        domains_of = {part.service: knowledge.domains_of(part.service, now) for part in self.parts}
        plan = plan_groups(
            knowledge.instance, knowledge.domain, self.route.shards, domains_of, instances
        )
        by_service = {part.service: part for part in self.parts}
        stay = [by_service[service] for service in plan.direct]
        for run in plan.runs:
            parts = [by_service[service] for service in run.shards]
            peer = self.peers.choose(run.instances, self.latency.usual)
            if peer is None:
                stay += parts
                continue
            group = []
            for part in parts:
                near = knowledge.near(part.service, peer.instance.domain, self.sub.request_id, now)
                if near is None:
                    stay.append(part)
                    continue
                part.share(near)
                group.append(part)
            if not group:
                continue
            handed = _Group(peer, {part.service: part for part in group})
            self._groups.append(handed)
            self.background.start_soon(self._ask_peer, handed)
        return stay

    async def _ask_peer(self, group: _Group) -> None:
        """Let another instance gather a group; what it does not answer is asked for from here."""
        started = trio.current_time()
        first_after = hedge_after(self.latency.usual, self.latency.usual)
        reason = "peer_unavailable"
        with group.scope:
            try:
                message = self._message(group, started, first_after)
                silent_at = started + first_after + PEER_LATE_S + 2.0 * self.knowledge.lag.usual
                self._at(silent_at, partial(self._doubt, group, PEER_LOOKS))
                async with self.peers.linked(group.peer) as link, link.stream_of(message) as items:
                    async for item in items:
                        if not group.heard:
                            group.heard = True
                            now = trio.current_time()
                            group.peer.estimate.answered(now - started, self.latency.usual, now)
                        self._take_gathered(item, group)
            except RelayError as error:
                reason = error.code
                peer = group.peer.instance.name
                event("gather.failed", request=self.sub.request_id, peer=peer, reason=str(error))
                if error.ran == "not_run":
                    for part in group.waiting.values():
                        part.release()
        if not self.closed:
            self._take_back(group, reason)

    def _doubt(self, group: _Group, looks: int, now: float) -> None:
        """Ask for the parts from here too if the other instance is silent."""
        if group.heard or not group.waiting:
            return
        if looks:
            self._at(now + PEER_LOOK_S, partial(self._doubt, group, looks - 1))
            return
        if now < self._next_doubt:
            self._at(self._next_doubt, partial(self._doubt, group, 0))
            return
        self._next_doubt = now + DOUBT_GAP_S
        group.peer.estimate.unanswered(now - self.arrived, self.latency.usual, now)
        group.peer.pause(PEER_DOUBT_S)
        event("gather.silent", request=self.sub.request_id, peer=group.peer.instance.name)
        for part in group.waiting.values():
            part.reached = True
            if part.answer is None and not part.flying:
                self._launch(part, now, hedge=True)

    def _take_back(self, group: _Group, reason: str) -> None:
        """Ask from here for the parts that the other instance did not answer."""
        now = trio.current_time()
        for part in group.waiting.values():
            if part.handed_over:
                part.reached = part.may_have_run = True
                part.handed_over = False
            part.reason = part.reason or reason
            if part.answer is None and not part.flying:
                self._launch(part, now)
        self._wake.set()

    def _message(self, group: _Group, now: float, first_after: float) -> GatherShards:
        sub, route = self.sub, self.route
        answer = max(self.soft - now - PEER_RETURN_S - self.knowledge.lag.usual, 0.0)
        return GatherShards(
            sub.request_id,
            self.kind,
            sub.method,
            sub.target,
            tuple(HeaderField(name, value) for name, value in sub.headers.items()),
            sub.body,
            tuple(group.waiting),
            route.attempts,
            route.top_k,
            int(route.target * 1e6),
            int(answer * 1e6),
            int(max(sub.deadline - now - PEER_RETURN_S, 0.0) * 1e6),
            int(first_after * 1e6),
            pack(part.shared for part in group.waiting.values()),
        )

    def _take_gathered(self, item: GatheredParts, group: _Group) -> None:
        """Take the parts that another instance has; it tries no more for those that it lacks."""
        if self.closed:
            return
        now = trio.current_time()
        taken = 0
        for row in item.parts:
            part = group.waiting.pop(row.shard, None)
            if part is None:
                continue
            part.handed_over = False
            if row.signature:
                # The records hold this part's, so an answer that came to this instance is left out.
                part.answer = Response(200, {self.knowledge.names.signature: row.signature})
                self._stop(part)
                taken += 1
                continue
            if not row.may_have_run:
                part.release()
            part.reached = part.reached or row.reached
            part.may_have_run = part.may_have_run or row.may_have_run
            part.reason = row.reason
            if part.answer is None and not part.flying:
                self._later(part, now)
        if taken:
            self.gathered.append(item.records)
        self._wake.set()

    def _fire_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)

    def _hedge(self, part: _Part, now: float) -> None:
        """Send a second request if the first one has no answer yet."""
        wanted = part.answer is None and not part.over and part.flying
        if wanted and len(part.tried) < self.route.attempts:
            self._launch(part, now, hedge=True)

    def _retry(self, part: _Part, now: float) -> None:
        if part.answer is None and not part.over and not part.flying:
            self._launch(part, now)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._order), action))
        # Another task may set a timer while the request's own one waits for a later one.
        self._wake.set()

    def _stop(self, part: _Part) -> None:
        """Give the sub-requests that lost a short time to end by themselves."""
        until = trio.current_time() + LINGER_S
        for scope in part.flying.values():
            scope.deadline = min(scope.deadline, until)

    def _close(self) -> None:
        self.closed = True
        if not self.sub.idempotent:
            return
        for group in self._groups:
            group.scope.cancel()
        for part in self.parts:
            self._stop(part)

    def _merged(self) -> Response:
        names = self.knowledge.names
        answers = [part.answer for part in self.parts if part.answer is not None]
        for part in self.parts:
            if part.answer is None:
                reason = part.reason.partition(":")[0] or "no_answer_in_time"
                self.metrics.missing.inc({"reason": reason})
        headers = {
            names.request_id: self.sub.request_id,
            names.part_signatures: ", ".join(answer.headers[names.signature] for answer in answers),
            names.missing_shards: str(len(self.parts) - len(answers)),
        }
        bodies = [answer.body for answer in answers] + self.gathered
        return Response(200, headers, greatest_records(bodies, self.route.top_k))

    def _passed(self, answer: Response) -> Response:
        headers = {name: value for name, value in answer.headers.items() if name not in HOP_HEADERS}
        headers.pop(self.knowledge.names.load, None)
        return Response(answer.status, headers, answer.body)

    def _refuse(self, refused: Refusal) -> Response:
        self.refused = refused
        return refusal_response(refused, self.sub.request_id, self.knowledge)


class DelegatedScatter(Scatter):
    """Shards that this instance gathers for another one, which merges and decides."""

    def __init__(self, *args, marks: bytes, first_at: float, answer_at: float, emit: Emit) -> None:
        super().__init__(*args)
        self.first_at = first_at
        # This instance is as late with the message as with everything else.
        self.soft = answer_at - self.knowledge.lag.usual
        self.emit = emit
        if marks:
            for part, shared in zip(self.parts, unpack(marks), strict=True):
                part.shared = shared
        self._emitted: set[str] = set()

    async def gather(self) -> None:
        """Send what is in at the first moment, at the time for the answer, and as it comes."""
        now = trio.current_time()
        moments = sorted({min(self.first_at, self.soft), self.soft, self.sub.deadline})
        try:
            for part in self.parts:
                self._launch(part, now)
            while len(self._emitted) < len(self.parts) and now < self.sub.deadline:
                self._fire_timers(now)
                settled = [part for part in self.parts if part.settled]
                while moments and moments[0] <= now:
                    moments.pop(0)
                    if len(self._emitted) < len(settled) or now < self.soft:
                        await self._emit(settled)
                done = len(settled) == len(self.parts)
                if (done or now >= self.soft) and len(self._emitted) < len(settled):
                    await self._emit(settled)
                until = moments[0] if moments else self.sub.deadline
                if self._timers:
                    until = min(until, self._timers[0][0])
                self._wake = trio.Event()
                if len(self._emitted) < len(self.parts):
                    with trio.move_on_at(until):
                        await self._wake.wait()
                now = trio.current_time()
        finally:
            self._close()

    async def _emit(self, settled: list[_Part]) -> None:
        """Send the parts that were not sent before; none says that this instance is at work."""
        new = [part for part in settled if part.service not in self._emitted]
        self._emitted.update(part.service for part in new)
        name = self.knowledge.names.signature
        rows = tuple(
            (
                GatheredPart(part.service, part.answer.headers[name])
                if part.answer is not None
                else GatheredPart(part.service, "", part.reason, part.may_have_run, part.reached)
            )
            for part in new
        )
        bodies = [part.answer.body for part in new if part.answer is not None]
        await self.emit(GatheredParts(rows, greatest_records(bodies, self.route.top_k)))


def refusal_response(refused: Refusal, request_id: str, knowledge: Knowledge) -> Response:
    """Return the response for a request that is not served."""
    headers = {"content-type": "text/plain"}
    if request_id:
        headers[knowledge.names.request_id] = request_id
    if refused.retry_after > 0.0:
        headers["retry-after"] = f"{refused.retry_after:.2f}"
    return Response(refused.status, headers, f"{refused.reason}\n".encode())


def _known(reason: str) -> str:
    """Return the reason without its details, so that its retry time is found."""
    short = reason.partition(":")[0]
    return short if short in NOT_SERVED else reason
