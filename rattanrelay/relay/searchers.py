"""State of one searcher: its connections, requests in flight and observed latencies."""

import errno
import math
from collections.abc import Callable
from typing import Literal, NamedTuple

import trio

from ..decide.choice import IN_FLIGHT_SHARE, Candidate, Estimate
from ..decide.load import ToldLoad, parse_load
from ..decide.name_hashes import name_hash
from ..decide.pacing import Pacer
from ..decide.placement import Kind, Offer, ServiceLoad, Work
from ..decide.refusal import NOT_RUN_STATUSES
from ..decide.timing import silence_delay
from ..errors import RelayError
from ..http import MAX_RESPONSE_BYTES, HttpConnection, InvalidResponse, Request, Response
from ..log import event
from .connections import ConnectionCount
from .model import HeaderNames, SearcherRecord

__all__ = ["Outcome", "Searcher", "SubRequest"]

#: Timeout for a new connection in seconds; searchers accept one within a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
#: Expected time for a new connection in seconds, until one was measured.
INITIAL_CONNECT_TIME_S = 0.008
#: Share of a searcher's connections that all instances together use; the rest is for instances that
#: do not know of each other yet.
CONNECTION_SHARE = 0.85
#: An idle connection is not reused during this last part of the searcher's timeout, in seconds.
IDLE_MARGIN_S = 0.6
#: Timeout of idle connections in seconds if the searcher states none.
IDLE_TIMEOUT_S = 20.0
#: First backoff in seconds after a failed connection; doubles with each consecutive failure.
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 2.0
#: Time in seconds for which a refused connection shows that a searcher has ended.
REFUSAL_VALID_S = 0.5
#: Time in seconds in which the other connections of a searcher that has ended break as well.
END_CHECK_WAIT_S = 0.02
#: Status with which a searcher turns a request away.
BUSY = 503
#: Status with which another searcher at the same address refuses a request.
MISDIRECTED = 421

#: Response headers that apply to one connection only, or that the relay sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class SubRequest(NamedTuple):
    """A caller's request as it is sent to searchers; `deadline` is a time of trio's clock."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    idempotent: bool
    #: Maximum size of the body of a response, in bytes.
    max_body: int = MAX_RESPONSE_BYTES


class Outcome(NamedTuple):
    """Outcome of a sub-request.

    `answer`: the searcher sent a complete response. `refused`: the request has not run. `lost`: it
    may have run, and there is no usable response.
    """

    kind: Literal["answer", "refused", "lost"]
    reason: str
    response: Response | None = None
    #: Whether the request may have reached the searcher.
    reached: bool = True
    #: Whether the connection ended or became unusable before the response was complete.
    broken: bool = False
    #: Whether the response is malformed, so that the searcher does not get the request again.
    malformed: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the searcher answered with a status of 2xx."""
        return self.response is not None and 200 <= self.response.status < 300

    @property
    def answered(self) -> bool:
        """Whether the response is final; a searcher that ran the request may still have failed."""
        if self.kind != "answer":
            return False
        status = self.response.status
        return status < 500 and status not in NOT_RUN_STATUSES


class ExpectedCost(NamedTuple):
    """A request whose cost is expected and learned; its number in the searcher's work, its kind."""

    token: int
    kind: Kind


class _Idle(NamedTuple):
    connection: HttpConnection
    #: Time of its last response.
    since: float
    #: Time until which it may be reused.
    until: float


class Searcher:
    """State of one incarnation of a searcher; times are those of trio's clock."""

    def __init__(
        self,
        record: SearcherRecord,
        names: HeaderNames,
        now: float,
        service: ServiceLoad | None = None,
    ) -> None:
        self.record = record
        self.names = names
        #: Service under which its connections are counted; a newer entry may name another one.
        self.service = record.service
        #: Short form of its name, used between instances.
        self.name_hash = name_hash(record.searcher)
        self.pacer = Pacer(record.searcher, now + record.cold_for)
        #: End of the grace period if its entry is missing from the store, else None.
        self.grace_until: float | None = None
        #: Whether it is no longer a known searcher, or another one answers at its address.
        self.removed = False
        #: Time until which other searchers are preferred after a failed connection.
        self.paused_until = 0.0
        self.failures_in_row = 0
        self.estimate = Estimate()
        #: Load that its last response told, None before the first one.
        self.told: ToldLoad | None = None
        #: Its remaining work, from the told load and this instance's requests.
        self.work = Work(service or ServiceLoad())
        #: Whether it has sent a response.
        self.responded = False
        self.connect_time = INITIAL_CONNECT_TIME_S
        #: Number of connections that are open or reserved for a request, idle ones included.
        self.open_connections = 0
        #: Connections to all searchers together.
        self.all_connections = ConnectionCount()
        #: Most connections that this instance may have, from its last reservation.
        self.connection_limit = 1
        #: Whether idle connections are kept, from the last reservation.
        self.keeps_idle = True
        #: Called when a connection becomes idle or is closed.
        self.freed: Callable[[], None] = lambda: None
        #: Whether opening a connection in advance has been tried.
        self.preconnected = False
        #: Time after which each request in flight is overdue, by a number for each request.
        self.in_flight: dict[int, float] = {}
        #: Time at which it last refused a connection.
        self.refused_at = -math.inf
        self._end_check = trio.Lock()
        self._next_token = 0
        self._idle: list[_Idle] = []

    def update(self, record: SearcherRecord, now: float) -> None:
        """Apply a newer entry of the same incarnation."""
        if record.cold_for > 0 and record.cold_for != self.record.cold_for:
            self.pacer.cold_until = now + record.cold_for
        self.record = record
        self.grace_until = None

    def usable(self, now: float) -> bool:
        """Return whether it may get new requests."""
        if self.removed or self.record.draining or self.pacer.leaving:
            return False
        return self.grace_until is None or now < self.grace_until

    def candidate(
        self, median_latency: float, domain: str, now: float, *, new_connection: bool
    ) -> Candidate:
        """Return its data for replica selection; `new_connection` excludes idle connections."""
        overdue = max((now - end for end in self.in_flight.values()), default=0.0)
        return Candidate(
            expected=self.estimate.expected_latency(median_latency, now),
            failure_rate=self.estimate.current_failure_rate(now),
            in_flight=len(self.in_flight),
            slots=self.record.slots,
            excess_wait=max(0.0, overdue),
            connect_time=0.0 if self._idle and not new_connection else self.connect_time,
            own_domain=self.record.domain == domain,
            entry_missing=self.grace_until is not None,
        )

    def offer(
        self, cost: float, median_latency: float, domain: str, now: float, *, new_connection: bool
    ) -> Offer:
        """Return what a request of a likely cost can expect of it; the cost is in seconds.

        For a searcher that has not told its load, the time of the work is expected as from
        `median_latency` and the requests in flight. One that has not responded yet gets a first
        request as if it were idle.
        """
        if self.told is not None:
            expected = self.work.expect(cost, now)
        else:
            latency = self.estimate.expected_latency(median_latency, now)
            waiting = IN_FLIGHT_SHARE * len(self.in_flight) / max(self.record.slots, 1)
            overdue = max((now - end for end in self.in_flight.values()), default=0.0)
            wait = None if self.responded or self.in_flight else 0.0
            expected = wait, latency * (1.0 + waiting), latency, max(0.0, overdue)
        return Offer(
            *expected,
            self.estimate.current_failure_rate(now),
            0.0 if self._idle and not new_connection else self.connect_time,
            self.record.domain == domain,
            self.grace_until is not None,
        )

    def connection_available(self, limit: int) -> bool:
        """Return whether a connection is idle, or another one may be opened within `limit`.

        A request that needs a new connection replaces an idle one.
        """
        return bool(self._idle) or (self.open_connections < limit and self._room)

    def reserve(self, limit: int, *, reuse: bool, keep: bool = True) -> HttpConnection | None:
        """Take an idle connection for a request, or count one that the request will open.

        Counted when the searcher is chosen, since requests that arrive together are all sent before
        the first of their connections is open. With `keep`, connections stay open when they are
        idle.
        """
        self.connection_limit, self.keeps_idle = limit, keep
        connection = self._reuse_idle() if reuse else None
        if connection is None:
            full = self.open_connections >= limit or not self._room
            if full and self._idle:
                self._close(self._idle.pop(0).connection)
            self._count()
        return connection

    async def exchange(
        self,
        sub: SubRequest,
        median_latency: float,
        scope: trio.CancelScope,
        connection: HttpConnection | None,
        expected: ExpectedCost | None = None,
    ) -> Outcome:
        """Send a request and classify the response; raises nothing but `trio.Cancelled`.

        `connection` is what `reserve` returned. The request runs in `scope`, whose deadline becomes
        that of the request before the request is sent. `expected` is what `expect_cost` returned.
        """
        started = trio.current_time()
        token = self._next_token = self._next_token + 1
        self.in_flight[token] = started + 2.0 * max(
            median_latency, self.estimate.expected_latency(median_latency, started)
        )
        outcome = None
        try:
            outcome = await self._exchange(sub, scope, connection)
        except trio.Cancelled:
            now = trio.current_time()
            if expected is not None:
                self.work.record_unanswered(expected.token, now)
            if now - started >= silence_delay(median_latency):
                self.close_idle(started)
            self.estimate.record_unanswered(now - started, median_latency, now)
            raise
        finally:
            del self.in_flight[token]
            if outcome is None and expected is not None:
                self.work.record_end(expected.token)
        if expected is not None:
            self._learn_cost(outcome, *expected)
        self._observe(outcome, trio.current_time() - started, median_latency)
        return outcome

    def expect_cost(self, kind: Kind, now: float) -> ExpectedCost | None:
        """Count a request that is about to be sent as work; None if no load is known.

        Counted when the searcher is chosen, as in `reserve`.
        """
        if self.told is None:
            return None
        token = self._next_token = self._next_token + 1
        self.work.record_sent(token, kind.expected, now)
        return ExpectedCost(token, kind)

    def record_no_answer(self) -> Outcome:
        """Record that a request had no response at its deadline; return the outcome."""
        self.close_idle()
        self.estimate.record_failure(trio.current_time())
        return Outcome("lost", "no_answer")

    async def preconnect(self) -> None:
        """Open a connection in advance; after a failure the searcher is avoided for a time."""
        if self.open_connections or not self.all_connections.keeps_idle:
            return
        self._count()
        try:
            connection = await self._connect()
        except RelayError as error:
            self._back_off()
            event("searcher.unreachable", searcher=self.record.searcher, reason=error.message)
            return
        self._release(connection, None)

    async def has_ended(self) -> bool:
        """Return whether it refuses connections; one that it accepts is kept for other requests."""
        async with self._end_check:
            if trio.current_time() - self.refused_at < REFUSAL_VALID_S:
                return True
            if not await self._can_open():
                return False
            self._count()
            try:
                connection = await self._connect()
            except RelayError:
                self._back_off()
                return trio.current_time() - self.refused_at < REFUSAL_VALID_S
        self._release(connection, None)
        return False

    async def _can_open(self) -> bool:
        """Return whether a connection may be opened for a check, in place of an idle one.

        If the limit is used up by requests, wait for those whose connections have ended as well.
        """
        for pause in (0.0, END_CHECK_WAIT_S):
            await trio.sleep(pause)
            if self._idle and self.open_connections >= self.connection_limit:
                self._close(self._idle.pop(0).connection)
            if self.open_connections < self.connection_limit and self._room:
                return True
        return False

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Close the idle connections without a response since a time, or all of them."""
        idle, self._idle = self._idle, []
        for one in idle:
            if one.since < unused_since:
                self._close(one.connection)
            else:
                self._idle.append(one)

    def close_expired_idle(self, now: float) -> None:
        """Close the idle connections that have expired or were closed by the searcher."""
        kept = []
        for idle in self._idle:
            if idle.until > now and not idle.connection.stale() and not self._over_limit:
                kept.append(idle)
            else:
                self._close(idle.connection)
        self._idle = kept

    @property
    def _over_limit(self) -> bool:
        """Whether there are more connections than allowed, as after the start of an instance."""
        return self.open_connections > self.connection_limit

    @property
    def _room(self) -> bool:
        return self.all_connections.room(self.service)

    @property
    def _keeps_idle(self) -> bool:
        return self.keeps_idle and self.all_connections.keeps_idle

    async def _exchange(
        self, sub: SubRequest, scope: trio.CancelScope, connection: HttpConnection | None
    ) -> Outcome:
        reused = connection is not None
        if connection is None:
            try:
                connection = await self._connect()
            except RelayError as error:
                self._back_off()
                return Outcome("refused", f"connect_failed: {error.message}", reached=False)
        remaining = sub.deadline - trio.current_time()
        if remaining <= 0.0 or not self.usable(trio.current_time()):
            self._release(connection, None)
            return Outcome("refused", "too_late", reached=False)
        request = self._request(sub, remaining)
        scope.deadline = min(scope.deadline, sub.deadline)
        try:
            response = await connection.request(request, sub.max_body)
        except InvalidResponse as error:
            self._close(connection)
            event(
                "response.malformed",
                searcher=self.record.searcher,
                request=sub.request_id,
                reason=error.fault,
            )
            reason = f"malformed_response: {error.fault}"
            return Outcome("lost", reason, broken=True, malformed=True)
        except RelayError as error:
            self._close(connection)
            return Outcome("lost", error.message, broken=error.code == "connection_lost")
        except BaseException:
            self._close(connection)
            raise
        return self._classify(sub, connection, response, reused=reused)

    def _request(self, sub: SubRequest, remaining: float) -> Request:
        headers = dict(sub.headers)
        headers[self.names.request_id] = sub.request_id
        headers[self.names.deadline_ms] = str(max(1, math.floor(remaining * 1000)))
        headers[self.names.expected_searcher] = self.record.searcher
        return Request(sub.method, sub.target, headers, sub.body)

    def _classify(
        self, sub: SubRequest, connection: HttpConnection, response: Response, *, reused: bool
    ) -> Outcome:
        headers = response.headers
        answered = headers.get(self.names.request_id)
        # A late copy on a reused connection may come without an identifier.
        unnamed = reused and answered is None and self.names.signature in headers
        if unnamed or (answered is not None and answered != sub.request_id):
            # This response belongs to an earlier request; the one to this request may follow.
            self._close(connection)
            return Outcome("lost", "response_of_other_request")
        self._apply_statements(response)
        if sub.idempotent:
            self._release(connection, headers.get("keep-alive"))
        else:
            # Non-idempotent requests always open a new connection, so this one is not reused.
            self._close(connection)
        signed = bool(headers.get(self.names.signature))
        denied = self.names.not_run in headers
        # A signature proves that this searcher has run the request, unless the response denies it.
        if response.status == MISDIRECTED and (denied or not signed):
            if not self.removed:
                event("searcher.replaced", searcher=self.record.searcher, host=self.record.host)
            self.removed = True
            self.close_idle()
            return Outcome("refused", "other_searcher")
        if denied:
            return Outcome("refused", "shed")
        if not signed or (response.status < 300 and answered is None):
            connection.close_now()
            return Outcome("lost", "unsigned_response")
        if "content-encoding" in headers:
            return Outcome("lost", "encoded_response")
        return Outcome("answer", "", response)

    def _apply_statements(self, response: Response) -> None:
        """Apply what a response states about the requests that the searcher takes."""
        now, headers = trio.current_time(), response.headers
        self.responded = True
        told = parse_load(headers.get(self.names.load), now)
        if told is not None:
            self.told = told
            self.work.record_load(told)
        if headers.get(self.names.leaving) == "1" and not self.pacer.leaving:
            self.pacer.leaving = True
            self.close_idle()
            event("searcher.leaving", searcher=self.record.searcher, service=self.record.service)
        limit = _amount(headers.get(self.names.limit))
        if limit != self.pacer.limit:
            before = self.pacer.limit
            event("searcher.limit", searcher=self.record.searcher, limit=limit, before=before)
        self.pacer.set_limit(limit, now)
        pause = _amount(headers.get("retry-after"))
        if response.status == BUSY and pause:
            self.pacer.pause(pause, now)

    def _observe(self, outcome: Outcome, latency: float, median_latency: float) -> None:
        now = trio.current_time()
        if outcome.answered:
            self.failures_in_row = 0
            self.estimate.record_response(latency, median_latency, now)
        else:
            self.estimate.record_failure(now)

    def _learn_cost(self, outcome: Outcome, token: int, kind: Kind) -> None:
        if not outcome.answered:
            self.work.record_end(token)
            return
        now = trio.current_time()
        cost = self.work.record_answer(token, now)
        kind.observe(cost, now)

    def _back_off(self) -> None:
        backoff = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures_in_row)
        self.failures_in_row = min(self.failures_in_row + 1, 8)
        self.paused_until = trio.current_time() + backoff

    def _reuse_idle(self) -> HttpConnection | None:
        now = trio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if idle.until > now and not idle.connection.stale():
                return idle.connection
            self._close(idle.connection)
        return None

    async def _connect(self) -> HttpConnection:
        """Open a connection that has been counted; one that fails is no longer counted."""
        started = trio.current_time()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                connection = await HttpConnection.open(self.record.host, self.record.port)
        except trio.TooSlowError:
            self._uncount()
            text = f"no answer in {CONNECT_TIMEOUT_S} s"
            raise RelayError("connect_failed", text, peer=self.record.searcher) from None
        except RelayError as error:
            self._uncount()
            if getattr(error.__cause__, "errno", None) == errno.ECONNREFUSED:
                self.refused_at = trio.current_time()
                self.pacer.record_process_end(self.refused_at)
            raise
        except BaseException:
            self._uncount()
            raise
        self.failures_in_row = 0
        self.paused_until = 0.0
        self.connect_time += 0.3 * (trio.current_time() - started - self.connect_time)
        return connection

    def _release(self, connection: HttpConnection, keep_alive: str | None) -> None:
        """Keep a connection as idle, or close it if it cannot be reused."""
        if not connection.usable or self.removed or self.record.draining or self.pacer.leaving:
            self._close(connection)
            return
        stated_timeout = _idle_timeout(keep_alive)
        lifetime = IDLE_TIMEOUT_S if stated_timeout is None else stated_timeout - IDLE_MARGIN_S
        if lifetime <= 0.0 or self._over_limit or not self._keeps_idle:
            self._close(connection)
            return
        now = trio.current_time()
        self._idle.append(_Idle(connection, now, now + lifetime))
        self.freed()

    def _close(self, connection: HttpConnection) -> None:
        connection.close_now()
        self._uncount()

    def _count(self) -> None:
        self.open_connections += 1
        self.all_connections.add(self.service)

    def _uncount(self) -> None:
        self.open_connections -= 1
        self.all_connections.remove(self.service)
        self.freed()


def _amount(text: str | None) -> float | None:
    """Return the number in a header, or None unless it is finite and not negative."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None


def _idle_timeout(keep_alive: str | None) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, or None if it states none."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
