"""Serving one request: to one searcher of a service, or to one of each shard and merged."""

import heapq
import random
from itertools import count
from typing import NamedTuple

import trio

from ..decide.choice import pick
from ..decide.patience import answer_by, hedge_after
from ..decide.records import greatest_records, needed_parts
from ..decide.refusal import NO_SEARCHER, NOT_SERVED, Refusal, refusal
from ..http import Response
from .fleet import Knowledge
from .metrics import RelayMetrics
from .model import Route
from .searchers import HOP_HEADERS, Outcome, Searcher, SubRequest

__all__ = ["Report", "Scatter"]

#: A sub-request whose response is not needed any more may end within this time, in seconds, so
#: that its connection can be used again and its latency is known.
LINGER_S = 0.2
#: First pause before a searcher that refused gets the request again; doubles each time, in seconds.
REFUSED_PAUSE_S = 0.02
#: Sub-requests for one shard, refused ones included.
MAX_SENDS = 6
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
        self.over = False
        self.reason = ""
        self.pause = REFUSED_PAUSE_S

    @property
    def settled(self) -> bool:
        """Whether nothing more will come."""
        return self.answer is not None or (self.over and not self.flying)


class Scatter:
    """One request on its way; `background` outlives it and runs the sub-requests."""

    def __init__(
        self,
        knowledge: Knowledge,
        metrics: RelayMetrics,
        background: trio.Nursery,
        rng: random.Random,
        route: Route,
        sub: SubRequest,
        arrived: float,
    ) -> None:
        self.knowledge = knowledge
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
        self._wake = trio.Event()
        self._timers: list[tuple[float, int, _Part, bool]] = []
        self._order = count()

    async def run(self) -> Response:
        """Return the response to the caller."""
        now = trio.current_time()
        served = sum(self.knowledge.serves(part.service, now) for part in self.parts)
        if served < self.needed:
            return self._refuse(refusal(NO_SEARCHER, may_have_run=False))
        try:
            for part in self.parts:
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
            may_have_run = any(part.may_have_run or part.flying for part in self.parts)
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
        if not part.reached:
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
        self.background.start_soon(self._send, part, number, searcher, scope, hedge)
        if self.sub.idempotent and number < self.route.attempts:
            expected = searcher.estimate.expected(self.kind, self.latency.usual, now)
            delay = hedge_after(expected, self.latency.usual)
            self._at(now + delay, part, hedge=True)
        return True

    async def _send(
        self, part: _Part, number: int, searcher: Searcher, scope: trio.CancelScope, hedge: bool
    ) -> None:
        started = trio.current_time()
        outcome = None
        with scope:
            outcome = await searcher.exchange(self.sub, self.kind, self.latency.usual)
        del part.flying[number]
        role = "hedge" if hedge else "first" if number == 1 else "retry"
        kind = "cancelled" if outcome is None else outcome.kind
        self.metrics.subrequests.inc({"role": role, "outcome": kind})
        if outcome is None:
            return
        if outcome.succeeded:
            self.latency.add(trio.current_time() - started)
        if not self.closed:
            self._take(part, outcome, searcher)
            self._wake.set()

    def _take(self, part: _Part, outcome: Outcome, searcher: Searcher) -> None:
        if outcome.kind == "answer" and (outcome.succeeded or not self.route.shards):
            if outcome.response.status < 500:
                part.answer = part.answer or outcome.response
                self._stop(part)
                return
            part.failure = outcome.response
        if outcome.kind != "refused":
            part.may_have_run = True
        elif not outcome.reached and not part.flying and part.sends == 1:
            # No searcher has seen the request, so the next one is the first to do so.
            part.reached = False
        part.reason = outcome.reason or "searcher_failed"
        if part.answer is None and not part.flying:
            self._try_again(part, outcome)

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
        if at >= self.sub.deadline - RETURN_S or not self.knowledge.serves(part.service, now):
            part.over = True
            part.reason = part.reason or NO_SEARCHER
            return
        self._at(at, part, hedge=False)

    def _choose(self, part: _Part, now: float) -> Searcher | None:
        fresh = not self.sub.idempotent
        usable = self.knowledge.usable(part.service, now, fresh=fresh)
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
        candidates = [
            searcher.candidate(self.kind, usual, domain, now, fresh=fresh) for searcher in usable
        ]
        return usable[pick(candidates, [self.rng.random() for _ in usable])]

    def _fire_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, part, hedge = heapq.heappop(self._timers)
            if part.answer is not None or part.over:
                continue
            if hedge and part.flying and len(part.tried) < self.route.attempts:
                self._launch(part, now, hedge=True)
            elif not hedge and not part.flying:
                self._launch(part, now)

    def _at(self, when: float, part: _Part, *, hedge: bool) -> None:
        heapq.heappush(self._timers, (when, next(self._order), part, hedge))

    def _stop(self, part: _Part) -> None:
        """Give the sub-requests that lost a short time to end by themselves."""
        until = trio.current_time() + LINGER_S
        for scope in part.flying.values():
            scope.deadline = min(scope.deadline, until)

    def _close(self) -> None:
        self.closed = True
        if not self.sub.idempotent:
            return
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
        body = greatest_records((answer.body for answer in answers), self.route.top_k)
        return Response(200, headers, body)

    def _passed(self, answer: Response) -> Response:
        headers = {name: value for name, value in answer.headers.items() if name not in HOP_HEADERS}
        headers.pop(self.knowledge.names.load, None)
        return Response(answer.status, headers, answer.body)

    def _refuse(self, refused: Refusal) -> Response:
        self.refused = refused
        return refusal_response(refused, self.sub.request_id, self.knowledge)


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
