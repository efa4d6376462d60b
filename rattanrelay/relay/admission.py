"""Waits and refusals of requests while this instance or the searchers of a service are short."""

import math
import random
import time
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

import trio

from ..decide.load import ToldLoad
from ..decide.records import needed_parts
from ..decide.refusal import refusal
from ..decide.room import Demand, Room, Ticket
from ..log import event, traceback
from .background import Background
from .deployment import DeploymentState
from .metrics import RelayMetrics
from .model import Route, Workspace

__all__ = ["Admission"]

#: Units of work of the own processor for a request besides those of its sub-requests.
OWN_UNITS = 2
#: Time in seconds for which a told load counts, and the searchers of a service that are looked at.
FRESH_S = 2.0
LOOKED_AT = 16
#: Shards that are looked at before all are: a queue at most of them would show there.
SAMPLED_SHARDS = 4
#: Share of the searchers of a service whose load must be known to call it full.
KNOWN_SHARE = 0.5
#: Time in seconds after which the work of a busy period is measured although it goes on.
LONGEST_PERIOD_S = 1.0


class _Queue(NamedTuple):
    """The shortest queue of some searchers in usual times, when it was told, and all slots.

    `length` is None if a searcher has no queue or too few of them have told their load.
    """

    length: float | None
    at: float
    slots: int


class Admission:
    """Lets requests in, makes them wait or refuses them; drives a `Room`."""

    def __init__(
        self,
        deployment: DeploymentState,
        metrics: RelayMetrics,
        rng: random.Random,
        cut_at: Callable[[], float],
    ) -> None:
        self.deployment = deployment
        self.metrics = metrics
        #: Returns the time at which a planned stop cuts requests off.
        self.cut_at = cut_at
        self.room = Room(deployment.cores, rng)
        self.background: Background | None = None
        self.polling = False
        #: Routes of the requests that wait.
        self.routes: dict[Ticket, Route] = {}
        self.in_flight = 0
        self._next_shard = 0
        #: Units and processor time since the start of the busy period.
        self._units = 0
        self._busy_since = (0.0, 0.0)

    async def enter(
        self, request_id: str, route: Route, workspace: Workspace | None, deadline: float
    ) -> Ticket:
        """Return the ticket of a request that may start, or one with a refusal.

        After an error in the decision the request may start. A ticket must be given to `leave`.
        """
        priority = workspace.priority if workspace is not None else None
        demand = Demand(
            workspace.name if workspace is not None else "",
            route.priority if priority is None else priority,
            route.name,
            route.shards or tuple(part.service for part in route.split),
            (len(route.shards) or 1) + OWN_UNITS,
            route.target,
            deadline,
        )
        now = trio.current_time()
        if not self.deployment.has_workspaces:
            return _unlimited(demand, now)
        try:
            if self.room.needs_lag(demand, now):
                now = await self._measure_lag()
            self._look(demand, route, now)
            ticket = self.room.arrive(demand, now)
        except Exception as error:
            event("admission.failed", request=request_id, reason=traceback(error))
            return _unlimited(demand, now)
        if ticket.state == "waiting":
            await self._wait(ticket, route, request_id)
        if ticket.state == "started":
            self._count_start(demand.units, now)
        if ticket.reason and ticket.state != "ended":
            outcome = "refused" if ticket.refusal is not None else "waited"
            self._report(ticket, request_id, outcome)
        return ticket

    def leave(self, ticket: Ticket, *, answered: bool) -> None:
        """Record that a request has ended."""
        if ticket.state != "started":
            return
        now = trio.current_time()
        self._count_end(ticket.demand.units, now)
        try:
            self.room.end(ticket, now, answered=answered)
        except Exception as error:
            event("admission.failed", reason=traceback(error))

    def begin_gather(self, shards: int) -> float | None:
        """Count work that is done for another instance; return it for `end_gather`."""
        if not self.deployment.has_workspaces:
            return None
        now = trio.current_time()
        self._count_start(shards, now)
        return self.room.begin_work(shards, now)

    def end_gather(self, shards: int, work: float | None) -> None:
        """Record the end of work for another instance."""
        if work is None:
            return
        now = trio.current_time()
        self._count_end(shards, now)
        self.room.end_work(work, now)

    def refuse_waiting(self) -> None:
        """Refuse all that wait, since this instance refuses new requests as well."""
        self.room.stop(trio.current_time(), self.cut_at(), refuse_all=True)

    async def _wait(self, ticket: Ticket, route: Route, request_id: str) -> None:
        woken = trio.Event()
        ticket.wake = woken.set
        self.routes[ticket] = route
        if not self.polling and self.background is not None:
            self.polling = True
            self.background.start_soon(self._poll)
        try:
            # The room refuses a request in time; the limit holds if the task that asks it fails.
            with trio.move_on_at(ticket.demand.deadline):
                await woken.wait()
        except trio.Cancelled:
            # The caller has left, perhaps at the moment at which its request was let in.
            self.room.end(ticket, trio.current_time(), answered=False)
            self._report(ticket, request_id, "left")
            raise
        finally:
            del self.routes[ticket]
        if ticket.state == "waiting":
            self.room.end(ticket, trio.current_time(), answered=False)
            ticket.state = "refused"
            ticket.refusal = refusal(ticket.reason, may_have_run=False)

    async def _poll(self) -> None:
        """Look again and again at those that wait, until none does."""
        room = self.room
        try:
            while (pause := room.next_poll(trio.current_time())) is not None:
                due = trio.current_time() + pause
                await trio.sleep_until(due)
                now = trio.current_time()
                room.tell_lag(now - due, now)
                cut_at = self.cut_at()
                if cut_at < math.inf:
                    room.stop(now, cut_at)
                looked_at = {}
                for ticket, route in self.routes.items():
                    looked_at.setdefault(ticket.demand.service, (ticket.demand, route))
                for demand, route in looked_at.values():
                    self._look(demand, route, now)
                room.poll(now)
        except Exception as error:
            event("admission.failed", reason=traceback(error))
            self._start_over()
        finally:
            self.polling = False

    def _start_over(self) -> None:
        """Let all in that wait after an error, and forget what may be inconsistent."""
        self.room = Room(self.deployment.cores, self.room.rng)
        for ticket in list(self.routes):
            if ticket.state == "waiting":
                ticket.state = "ended"
                ticket.wake()

    async def _measure_lag(self) -> float:
        """Measure the time of two passes of the event loop; return the time after them."""
        started = trio.current_time()
        await trio.lowlevel.checkpoint()
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        self.room.tell_lag(now - started, now)
        return now

    def _look(self, demand: Demand, route: Route, now: float) -> None:
        """Tell the room what the searchers of a route have told."""
        self.room.processor.cores = self.deployment.cores
        queue = self._gather_queue(route, now) if route.shards else self._split_queue(route, now)
        if queue is None:
            return
        senders = 1
        if queue.length is not None and not route.shards:
            senders = self.deployment.instances
        self.room.tell_queue(demand, queue.length, queue.at, queue.slots, senders)

    def _split_queue(self, route: Route, now: float) -> _Queue | None:
        by_service = self.deployment.by_service
        return _shortest_queue(
            [
                searcher.told
                for part in route.split
                for searcher in islice(by_service.get(part.service, ()), LOOKED_AT)
                if searcher.usable(now)
            ],
            now,
        )

    def _gather_queue(self, route: Route, now: float) -> _Queue | None:
        """Return the queue that a gathered response needs to wait for, of so many of its shards."""
        shards, first = route.shards, self._next_shard
        self._next_shard = first + SAMPLED_SHARDS
        for number in range(first, first + SAMPLED_SHARDS):
            queue = self._shard_queue(shards[number % len(shards)], now)
            if queue is None or queue.length is None:
                return queue
        queues = [self._shard_queue(shard, now) or _Queue(None, now, 1) for shard in shards]
        queues.sort(key=lambda queue: queue.length or 0.0)
        return queues[needed_parts(len(shards), route.min_share) - 1]

    def _shard_queue(self, shard: str, now: float) -> _Queue | None:
        searchers = islice(self.deployment.by_service.get(shard, ()), LOOKED_AT)
        return _shortest_queue([one.told for one in searchers if one.usable(now)], now)

    def _count_start(self, units: int, now: float) -> None:
        if not self.in_flight:
            self._units, self._busy_since = 0, (now, time.process_time())
        self.in_flight += 1

    def _count_end(self, units: int, now: float) -> None:
        """Measure the processor time of a unit over each time with requests in flight.

        `process_time` states the work that was done; no decision depends on when it is read.
        """
        self.in_flight -= 1
        self._units += units
        started, used = self._busy_since
        if not self.in_flight or now - started > LONGEST_PERIOD_S:
            spent = time.process_time()
            self.room.tell_work(self._units, spent - used)
            self._units, self._busy_since = 0, (now, spent)

    def _report(self, ticket: Ticket, request_id: str, outcome: str) -> None:
        waited = trio.current_time() - ticket.arrived
        reason = ticket.refusal.reason if ticket.refusal is not None else ticket.reason
        self.metrics.admission.inc({"outcome": outcome, "reason": reason})
        if waited:
            self.metrics.admission_wait.observe({"reason": reason}, waited)
        event(
            f"admission.{outcome}",
            request=request_id,
            route=ticket.demand.route,
            workspace=ticket.workspace or None,
            rank=ticket.rank,
            reason=reason,
            waited_ms=round(waited * 1000, 1),
            waiting=self.room.waiting,
            processor_ms=round(self.room.processor.level(trio.current_time()) * 1000, 1),
        )


def _unlimited(demand: Demand, now: float) -> Ticket:
    """Return the ticket of a request that starts without being counted."""
    ticket = Ticket(demand, 0.0, now)
    ticket.state = "ended"
    return ticket


def _shortest_queue(loads: list[ToldLoad | None], now: float) -> _Queue | None:
    """Return the shortest queue of the searchers of a service; None if none told its load."""
    known = newest = slots = 0
    shortest = math.inf
    for told in loads:
        if told is None:
            continue
        newest = max(newest, told.at)
        if now - told.at > FRESH_S:
            continue
        if not told.waiting:
            return _Queue(None, told.at, told.slots)
        known += 1
        slots += told.slots
        shortest = min(shortest, (told.waiting + 1) / told.slots * told.pace)
    if known and known >= KNOWN_SHARE * len(loads):
        return _Queue(shortest, newest, slots)
    # What was told counts no more from this time on.
    return _Queue(None, newest + FRESH_S, 1) if newest else None
