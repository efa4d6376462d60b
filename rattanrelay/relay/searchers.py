"""One searcher as this instance sees it: connections, requests in flight and observations."""

import math
from typing import Literal, NamedTuple

import trio

from ..decide.choice import Candidate, Estimate
from ..decide.marks import mark
from ..decide.warmth import ColdPace
from ..errors import RelayError
from ..http import HttpConnection, Request, Response
from ..log import event
from .model import HeaderNames, SearcherRecord

__all__ = ["Outcome", "Searcher", "SubRequest"]

#: Time for a new connection; searchers take a few milliseconds to accept one.
CONNECT_TIMEOUT_S = 0.25
#: Expected time for a new connection until one was measured.
CONNECT_S = 0.008
#: Part of a searcher's connections that the instances use together; the rest covers instances
#: that do not know of each other yet.
CONNECTION_SHARE = 0.85
#: A kept connection is not used in the last part of the searcher's idle timeout, in seconds.
IDLE_MARGIN_S = 0.6
#: Idle connections are dropped after this time where the searcher states no timeout, in seconds.
IDLE_S = 20.0
#: First pause after a failed connection; doubles with each failure in a row, in seconds.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
#: Status by which another searcher at the address refuses a request.
MISDIRECTED = 421

#: Response headers that concern one connection only, or that this program sets itself.
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
    """A request of a caller as it goes to searchers; `deadline` on the runtime's clock."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    idempotent: bool


class Outcome(NamedTuple):
    """What became of a sub-request.

    `answer`: a complete response of the searcher. `refused`: it has not run. `lost`: it may have
    run, and there is no usable response.
    """

    kind: Literal["answer", "refused", "lost"]
    reason: str
    response: Response | None = None
    #: Whether the request may have reached the searcher.
    reached: bool = True

    @property
    def succeeded(self) -> bool:
        """Whether the searcher answered with success."""
        return self.response is not None and 200 <= self.response.status < 300


class _Idle(NamedTuple):
    connection: HttpConnection
    #: Time until which it may be used.
    until: float


class Searcher:
    """State of one incarnation of a searcher; times on the runtime's clock."""

    def __init__(self, record: SearcherRecord, names: HeaderNames, now: float) -> None:
        self.record = record
        self.names = names
        self.mark = mark(record.searcher)
        self.cold_until = now + record.cold_for
        self.doubt_until: float | None = None
        self.gone = False
        self.paused_until = 0.0
        self.failures_in_row = 0
        self.estimate = Estimate()
        self.cold_pace = ColdPace()
        self.connect_time = CONNECT_S
        self.open = 0
        #: Whether a connection was opened ahead of requests.
        self.warmed = False
        #: Expected ends of the requests in flight, by the identity of the sub-request's task.
        self.in_flight: dict[int, float] = {}
        self._next_token = 0
        self._idle: list[_Idle] = []

    def update(self, record: SearcherRecord, now: float) -> None:
        """Take a newer entry of the same incarnation."""
        if record.cold_for > 0 and record.cold_for != self.record.cold_for:
            self.cold_until = now + record.cold_for
        self.record = record
        self.doubt_until = None

    def usable(self, now: float) -> bool:
        """Return whether new requests may go there at all."""
        if self.gone or self.record.draining:
            return False
        return self.doubt_until is None or now < self.doubt_until

    def candidate(self, usual: float, domain: str, now: float, *, fresh: bool) -> Candidate:
        """Return what decides whether it gets a request; `fresh` asks for a new connection."""
        overdue = max((now - end for end in self.in_flight.values()), default=0.0)
        return Candidate(
            expected=self.estimate.expected(usual, now),
            failures=self.estimate.failures(now),
            in_flight=len(self.in_flight),
            slots=self.record.slots,
            overdue=max(0.0, overdue),
            connect=0.0 if self._idle and not fresh else self.connect_time,
            own_domain=self.record.domain == domain,
            doubtful=self.doubt_until is not None,
        )

    def has_room(self, limit: int, *, fresh: bool) -> bool:
        """Return whether a connection is idle, or may be opened within `limit`."""
        return (bool(self._idle) and not fresh) or self.open < limit

    async def exchange(self, sub: SubRequest, usual: float, scope: trio.CancelScope) -> Outcome:
        """Send a request and classify what comes back; never raises but for a cancellation.

        `scope` is the one in which it runs, which ends at the deadline once the request is sent.
        """
        started = trio.current_time()
        token = self._next_token = self._next_token + 1
        self.in_flight[token] = started + 2.0 * max(usual, self.estimate.expected(usual, started))
        try:
            outcome = await self._exchange(sub, scope)
        except trio.Cancelled:
            now = trio.current_time()
            self.estimate.unanswered(now - started, usual, now)
            raise
        finally:
            del self.in_flight[token]
        self._observe(outcome, trio.current_time() - started, usual)
        return outcome

    def silent(self) -> Outcome:
        """Note that a request had no answer at its deadline."""
        self.drop_idle()
        self.estimate.failed(trio.current_time())
        return Outcome("lost", "no_answer")

    async def warm_up(self) -> None:
        """Open a connection ahead of the first request; a failure pauses the searcher."""
        try:
            connection = await self._connect()
        except RelayError as error:
            self._pause()
            event("searcher.unreachable", searcher=self.record.searcher, reason=error.message)
            return
        self._keep(connection, None)

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._close(self._idle.pop().connection)

    def drop_expired(self, now: float) -> None:
        """Close the idle connections that are too old to be used."""
        kept = []
        for idle in self._idle:
            if idle.until > now and not idle.connection.stale():
                kept.append(idle)
            else:
                self._close(idle.connection)
        self._idle = kept

    async def _exchange(self, sub: SubRequest, scope: trio.CancelScope) -> Outcome:
        connection = None if not sub.idempotent else self._take_idle()
        if connection is None:
            try:
                connection = await self._connect()
            except RelayError as error:
                self._pause()
                return Outcome("refused", f"connect_failed: {error.message}", reached=False)
        left = sub.deadline - trio.current_time()
        if left <= 0.0 or not self.usable(trio.current_time()):
            self._keep(connection, None)
            return Outcome("refused", "too_late", reached=False)
        request = self._request(sub, left)
        scope.deadline = min(scope.deadline, sub.deadline)
        try:
            response = await connection.request(request)
        except RelayError as error:
            self._close(connection)
            return Outcome("lost", error.message)
        except BaseException:
            self._close(connection)
            raise
        return self._classify(sub, connection, response)

    def _request(self, sub: SubRequest, left: float) -> Request:
        headers = dict(sub.headers)
        headers[self.names.request_id] = sub.request_id
        headers[self.names.deadline_ms] = str(max(1, math.floor(left * 1000)))
        headers[self.names.expected_searcher] = self.record.searcher
        return Request(sub.method, sub.target, headers, sub.body)

    def _classify(self, sub: SubRequest, connection: HttpConnection, response: Response) -> Outcome:
        headers = response.headers
        answered = headers.get(self.names.request_id)
        if answered is not None and answered != sub.request_id:
            # The response to an earlier request; the one to this request may still follow.
            self._close(connection)
            return Outcome("lost", "response_of_other_request")
        if sub.idempotent:
            self._keep(connection, headers.get("keep-alive"))
        else:
            # Requests that run once open a connection of their own, so nothing would use this one.
            self._close(connection)
        if response.status == MISDIRECTED:
            self.gone = True
            self.drop_idle()
            return Outcome("refused", "other_searcher")
        if self.names.not_run in headers:
            return Outcome("refused", "shed")
        signed = self.names.signature in headers
        if not signed or (response.status < 300 and answered is None):
            connection.close_now()
            return Outcome("lost", "unsigned_response")
        if "content-encoding" in headers:
            return Outcome("lost", "encoded_response")
        return Outcome("answer", "", response)

    def _observe(self, outcome: Outcome, latency: float, usual: float) -> None:
        now = trio.current_time()
        if outcome.kind == "answer" and outcome.response.status < 500:
            self.failures_in_row = 0
            self.estimate.answered(latency, usual, now)
        else:
            self.estimate.failed(now)

    def _pause(self) -> None:
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.failures_in_row)
        self.failures_in_row = min(self.failures_in_row + 1, 8)
        self.paused_until = trio.current_time() + pause

    def _take_idle(self) -> HttpConnection | None:
        now = trio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if idle.until > now and not idle.connection.stale():
                return idle.connection
            self._close(idle.connection)
        return None

    async def _connect(self) -> HttpConnection:
        self.open += 1
        started = trio.current_time()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                connection = await HttpConnection.open(self.record.host, self.record.port)
        except trio.TooSlowError:
            self.open -= 1
            text = f"no answer in {CONNECT_TIMEOUT_S} s"
            raise RelayError("connect_failed", text, peer=self.record.searcher) from None
        except BaseException:
            self.open -= 1
            raise
        self.failures_in_row = 0
        self.paused_until = 0.0
        self.connect_time += 0.3 * (trio.current_time() - started - self.connect_time)
        return connection

    def _keep(self, connection: HttpConnection, keep_alive: str | None) -> None:
        """Put a connection back, or close it if it cannot be used again."""
        if not connection.usable or self.gone or self.record.draining:
            self._close(connection)
            return
        stated = _idle_timeout(keep_alive)
        lasts = IDLE_S if stated is None else stated - IDLE_MARGIN_S
        if lasts <= 0.0:
            self._close(connection)
            return
        self._idle.append(_Idle(connection, trio.current_time() + lasts))

    def _close(self, connection: HttpConnection) -> None:
        self.open -= 1
        connection.close_now()


def _idle_timeout(keep_alive: str | None) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, None when there is none."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
