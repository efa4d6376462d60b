"""Which requests start, wait or are refused while the capacity of an instance is short.

Two things can be short: the instance's own processor and the searchers of a service. Each has a
level, the time in seconds until a request that starts now would have its turn. A request starts if
the level lets its answer meet the target of its route, waits if an answer is still expected within
its deadline, and is refused otherwise. Nothing here does I/O; times are those of the caller's
clock, in seconds.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Literal, NamedTuple

from .refusal import STOPPING, Refusal, refusal, register_reason
from .turns import REMEMBERED_S, TurnQueue

__all__ = ["PROCESSOR_SHORT", "SEARCHERS_FULL", "Demand", "Room", "Ticket"]

#: The own processor cannot answer in time; another instance may.
PROCESSOR_SHORT = register_reason("processor_short", 0.1)
#: All searchers of the service have requests that wait.
SEARCHERS_FULL = register_reason("searchers_full", 0.25)

#: Requests that wait at most: with bodies of 256 KB each, 32 MB of a small instance.
MAX_WAITING = 128
#: Work of the own processor for one unit in seconds of a core, until it was measured; a unit is a
#: request to a searcher. Measured values outside these factors of it are not believed.
INITIAL_WORK_S = 0.0002
WORK_RANGE = (0.25, 4.0)
#: Rank of work for other instances, which is not refused; and work in seconds that counts as none.
OTHERS_RANK = -1
NO_WORK_S = 1e-9
#: Weight of a new measurement in an average, and that of a longer or shorter time of a route. A
#: route that was slow for some seconds would otherwise be refused for long after that.
GAIN = 0.2
GAIN_UP = 0.1
GAIN_DOWN = 0.4
#: The work that is due is at most this multiple of the lags of a short time, which end with this
#: half-life in seconds. The rest of the work of a gathered request begins when its searchers
#: respond, so the event loop is punctual for a moment before.
LAG_FACTOR = 4.0
LAG_HALF_LIFE_S = 0.1
#: Time in seconds for which a measured lag holds if no work is added.
LAG_VALID_S = 0.03
#: Usual time of a route as a share of its target, until one was measured.
INITIAL_USUAL_SHARE = 0.3
#: Shortest usual time in seconds: a level in multiples of it has to mean something.
MIN_USUAL_S = 0.001
#: Lowest level up to which requests start, as a share of the target: a route whose usual time is
#: longer than its target would otherwise never get a second request in flight.
MIN_LEVEL_SHARE = 0.25
#: Share of that level for requests that are less urgent than others of the last seconds, so that an
#: urgent one finds room.
HEADROOM_SHARE = 0.2
#: Time in seconds for which the rank of the most urgent request counts.
URGENT_MEMORY_S = 5.0
#: Share of the time until the latest start up to which a request starts although its target may be
#: missed: only what runs tells how the queues are, and a wait that ends too late gains nothing.
DEADLINE_SHARE = 0.6
#: A workspace crowds if it has started this multiple of the mean of the workspaces of the last
#: seconds; its requests leave the same room as less urgent ones. Half-life of these counts in
#: seconds, and the count of a workspace that is forgotten.
CROWD_FACTOR = 2.0
USE_HALF_LIFE_S = 2.0
MIN_USE = 0.1
#: What other instances add to the queues of a service while this one adds a request, as a share of
#: their number: they know the same, but not all of them have a request to add.
OTHERS_SHARE = 0.25
#: Time in seconds for which the queue of a searcher is taken to fall no faster than it did.
TREND_VALID_S = 1.0
#: Shortest time in seconds without news after which a request is sent to full searchers.
PROBE_PAUSE_S = 0.1
#: Time in seconds without news after which requests are sent that are among the most urgent and
#: whose workspace does not crowd: a queue that may have drained is no reason to refuse them.
STALE_S = 0.25
#: Shortest time between two reports from which a trend is taken, in seconds.
TREND_GAP_S = 0.05
#: Bounds in seconds of the time until the next look at those that wait.
MIN_POLL_S = 0.005
MAX_POLL_S = 0.05
#: Shortest time in seconds that a caller is told to wait, and the part of its remaining time up to
#: which callers wait before they try again.
MIN_RETRY_AFTER_S = 0.02
RETRY_SHARE = 1.0 / 3.0
#: Multiple of the expected time of the drain that callers are told, and the spread of what they are
#: told: callers that were refused together return one after the other.
RETRY_FACTOR = 1.5
RETRY_SPREAD = (0.3, 1.0)
#: Part of the expected wait of the last request in a queue beyond which it is refused early: the
#: measured drain is that of a few requests.
HOPELESS_FACTOR = 0.8
#: Routes and services that are remembered.
MAX_REMEMBERED = 4096


class Demand(NamedTuple):
    """A request that asks to start."""

    workspace: str
    #: Rank; 0 is the most urgent.
    rank: int
    route: str
    #: The services that it uses; requests with the same key share their searchers.
    service: Hashable
    #: Number of requests to searchers, the units of work of the own processor.
    units: int
    target: float
    deadline: float


class Ticket:
    """A request in the state machine."""

    __slots__ = (
        "arrived",
        "cost",
        "counted",
        "demand",
        "level",
        "rank",
        "reason",
        "refusal",
        "started",
        "state",
        "wake",
        "work",
        "workspace",
    )

    def __init__(self, demand: Demand, work: float, now: float) -> None:
        self.demand = demand
        self.workspace = demand.workspace
        self.rank = demand.rank
        self.arrived = now
        #: Work of the own processor in seconds.
        self.work = work
        #: What it takes of the capacity for which it waits.
        self.cost = float(max(1, demand.units))
        #: Whether it counts as in flight at its service.
        self.counted = False
        self.state: Literal["waiting", "started", "refused", "ended"] = "waiting"
        #: What was short when it arrived, empty if nothing.
        self.reason = ""
        self.refusal: Refusal | None = None
        self.started = math.inf
        #: Expected wait within the capacity, from its start.
        self.level = 0.0
        #: Called when it starts or is refused after a wait.
        self.wake: Callable[[], None] = _nothing


class _Processor:
    """Work that the own processor owes to the requests in flight."""

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.unit_work = INITIAL_WORK_S
        self.owed = 0.0
        self.at = -math.inf
        #: Highest lag of a short time, and its time.
        self.recent_lag = 0.0
        self.recent_at = 0.0
        #: Time of the last measured lag, minus infinity if work was added since.
        self.lag_at = -math.inf
        #: Work of the requests in flight, as it was at their starts.
        self.in_flight = 0.0
        #: The same by rank.
        self.by_rank: dict[int, float] = {}

    def work(self, units: int) -> float:
        """Return the time that some units take if nothing else runs."""
        return units * self.unit_work / max(self.cores, 0.05)

    def level(self, now: float) -> float:
        level = self.owed - (now - self.at)
        if level <= 0.0:
            return 0.0
        return level if level < self.in_flight else self.in_flight

    def level_for(self, rank: int, now: float) -> float:
        """Return the level without the work of less urgent requests, for which none should wait."""
        level = self.level(now)
        if level:
            level = min(level, sum(work for one, work in self.by_rank.items() if one <= rank))
        return level

    def add(self, work: float, rank: int, now: float) -> None:
        self.owed, self.at = self.level(now) + work, now
        self.by_rank[rank] = self.by_rank.get(rank, 0.0) + work
        self.in_flight += work
        self.lag_at = -math.inf

    def remove(self, work: float, rank: int, now: float) -> None:
        level = self.level(now)
        left = self.by_rank.get(rank, 0.0) - work
        if left > NO_WORK_S:
            self.by_rank[rank] = left
            self.in_flight = sum(self.by_rank.values())
        else:
            self.by_rank.pop(rank, None)
            self.in_flight = sum(self.by_rank.values()) if self.by_rank else 0.0
        self.owed, self.at = min(level, self.in_flight), now

    def tell_lag(self, lag: float, now: float) -> None:
        """Correct the level by a lag that was just measured."""
        recent = self.recent_lag * 0.5 ** ((now - self.recent_at) / LAG_HALF_LIFE_S)
        self.recent_lag, self.recent_at = max(lag, recent), now
        level = self.level(now)
        self.owed, self.at = min(max(level, lag), LAG_FACTOR * self.recent_lag), now
        self.lag_at = now

    def tell_work(self, units: int, seconds: float) -> None:
        low, high = (INITIAL_WORK_S * factor for factor in WORK_RANGE)
        sample = min(max(seconds / units, low), high)
        self.unit_work += GAIN * (sample - self.unit_work)


class _Service:
    """Queues of the searchers of a service, as their responses told them last."""

    def __init__(self, usual: float) -> None:
        #: Time of a request without a queue.
        self.usual = usual
        self.full = False
        self.owed = 0.0
        self.at = -math.inf
        #: Time and queue of the last report, and the change of the level per second.
        self.told_at = -math.inf
        self.told = 0.0
        self.trend = -1.0
        self.slots = 1
        self.senders = 1
        self.in_flight = 0
        self.last_start = -math.inf

    def level(self, now: float) -> float:
        passed = now - self.at
        if not passed > 0.0:
            return self.owed
        slow = min(passed, max(0.0, self.told_at + TREND_VALID_S - self.at))
        return max(0.0, self.owed + self.trend * slow - (passed - slow))

    def share(self) -> float:
        """Return by how much the level rises with a request of this instance, with those of others.

        Answers the load of many instances that learn at the same time that there is room.
        """
        return self.usual / self.slots * max(1.0, OTHERS_SHARE * self.senders)

    def tell(self, queue: float | None, at: float, slots: int, senders: int) -> None:
        if at <= self.told_at:
            return
        if queue is None:
            self.full, self.trend, self.owed = False, -1.0, 0.0
        else:
            self.slots, self.senders = max(1, slots), senders
            wait = queue * self.usual
            gap = at - self.told_at
            if self.full and gap >= TREND_GAP_S:
                change = min(0.0, max(-1.0, (wait - self.told) / gap))
                self.trend += 0.5 * (change - self.trend)
            self.full, self.told, self.owed = True, wait, wait
        self.told_at = self.at = at

    def may_start(self, limit: float, now: float, *, preferred: bool) -> bool:
        if self.level(now) <= limit:
            return True
        age = now - self.told_at
        if preferred and age >= STALE_S:
            return True
        # Only answers tell how the queues are now. What all instances send for that is at most what
        # the searchers can do, and lets none of them be shut out by the others.
        pause = self.usual / self.slots * self.senders
        return age >= PROBE_PAUSE_S and not self.in_flight and now - self.last_start >= pause

    def start(self, waited: bool, now: float) -> None:
        self.in_flight += 1
        self.last_start = now
        if self.full or waited:
            self.owed, self.at = self.level(now) + self.share(), max(now, self.at)


class _Line:
    """Requests that wait for the searchers of a service or, with them, for the processor."""

    def __init__(self) -> None:
        self.queue = TurnQueue()
        #: Time of the last request that did not start at once.
        self.used_at = -math.inf
        self.last_start = -math.inf
        #: Measured time in seconds between the starts of requests, per unit of their cost.
        self.gap = 0.0

    def started(self, cost: float, now: float) -> None:
        gap = (now - self.last_start) / cost
        if math.isfinite(gap):
            self.gap += GAIN * (gap - self.gap) if self.gap else gap
        self.last_start = now if len(self.queue) else -math.inf


class _Uses:
    """What each workspace has started in the last seconds; the oldest is forgotten first."""

    def __init__(self) -> None:
        self.uses: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.total = 0.0
        self.at = 0.0

    def add(self, workspace: str, cost: float, now: float) -> None:
        use, at = self.uses.get(workspace, (0.0, now))
        self.uses[workspace] = (use * _decay(now - at) + cost, now)
        self.uses.move_to_end(workspace)
        self.total = self.total * _decay(now - self.at) + cost
        self.at = now
        oldest, (use, at) = next(iter(self.uses.items()))
        if len(self.uses) > MAX_REMEMBERED or use * _decay(now - at) < MIN_USE:
            del self.uses[oldest]

    def crowds(self, workspace: str, now: float) -> bool:
        """Return whether a workspace has started much more than the others."""
        use, at = self.uses.get(workspace, (0.0, now))
        if not use or len(self.uses) < 2:
            return False
        mean = self.total * _decay(now - self.at) / len(self.uses)
        return use * _decay(now - at) > CROWD_FACTOR * mean


class Room:
    """Admits, queues or refuses the requests of one instance."""

    def __init__(self, cores: float, rng: random.Random) -> None:
        #: Used for the spread of Retry-After only.
        self.rng = rng
        self.processor = _Processor(cores)
        self.services: OrderedDict[Hashable, _Service] = OrderedDict()
        self.lines: dict[Hashable, _Line] = {}
        self.waiting = 0
        #: Usual time of each route, from its start without a queue.
        self.usual: OrderedDict[str, float] = OrderedDict()
        self.uses = _Uses()
        #: Rank of the most urgent request of the last seconds, and the time of the last one of it.
        self.urgent_rank = math.inf
        self.urgent_at = -math.inf
        #: Time at which a planned stop cuts requests off.
        self.cut_at = math.inf
        #: Rank of the most urgent request that waits for the processor.
        self.processor_rank = math.inf

    def tell_lag(self, lag: float, now: float) -> None:
        """Record by how much the event loop was late just now."""
        self.processor.tell_lag(lag, now)

    def tell_work(self, units: int, seconds: float) -> None:
        """Record the seconds of a core that some units took."""
        self.processor.tell_work(units, seconds)

    def tell_queue(
        self, demand: Demand, queue: float | None, at: float, slots: int, senders: int
    ) -> None:
        """Record what the searchers of a service told at a time.

        `queue` is the shortest queue as a multiple of the usual time of a request, None if one has
        no queue or its load is not known. `slots` is the number of all slots, and `senders` the
        number of instances that send to the service.
        """
        service = self.services.get(demand.service)
        if service is None:
            if queue is None:
                return
            service = self._service(demand)
        service.tell(queue, at, slots, senders)

    def needs_lag(self, demand: Demand, now: float) -> bool:
        """Return whether a lag must be measured before a request is decided on."""
        processor = self.processor
        if now - processor.lag_at <= LAG_VALID_S:
            return False
        level = processor.level_for(demand.rank, now)
        return level > 0.0 and level > self._processor_limit(demand, now)

    def arrive(self, demand: Demand, now: float) -> Ticket:
        """Return the ticket of a request that has started, waits or is refused."""
        if demand.rank <= self.urgent_rank or now - self.urgent_at > URGENT_MEMORY_S:
            self.urgent_rank, self.urgent_at = demand.rank, now
        ticket = Ticket(demand, self.processor.work(demand.units), now)
        line = self.lines.get(demand.service)
        reason = self._short_of(demand, now)
        if (line is None or not len(line.queue)) and not reason:
            self._start(ticket, now, waited=False)
            return ticket
        first = line.queue.first() if line is not None else None
        ticket.reason = reason or first.reason
        if line is None:
            line = self.lines[demand.service] = _Line()
        line.used_at = now
        if now + self._expected_wait(line, ticket, now) > self._latest_start(ticket):
            self._refuse(ticket, line, now)
            return ticket
        if self.waiting >= MAX_WAITING and not self._evict(line, ticket, now):
            self._refuse(ticket, line, now)
            return ticket
        line.queue.push(ticket)
        self.waiting += 1
        self.poll(now)
        return ticket

    def end(self, ticket: Ticket, now: float, *, answered: bool) -> None:
        """Record that a request has ended, or that its caller has left."""
        if ticket.state == "waiting":
            self._remove(ticket)
        elif ticket.state == "started":
            self.processor.remove(ticket.work, ticket.rank, now)
            service = self.services.get(ticket.demand.service)
            if service is not None and ticket.counted:
                service.in_flight = max(0, service.in_flight - 1)
            if answered:
                self._learn(ticket, now)
        else:
            return
        ticket.state = "ended"
        self.poll(now)

    def begin_work(self, units: int, now: float) -> float:
        """Count work that is done for another instance, and return it for `end_work`."""
        work = self.processor.work(units)
        self.processor.add(work, OTHERS_RANK, now)
        return work

    def end_work(self, work: float, now: float) -> None:
        """Record the end of work for another instance."""
        self.processor.remove(work, OTHERS_RANK, now)
        self.poll(now)

    def poll(self, now: float) -> None:
        """Start those for which there is room, and refuse those for which it is too late."""
        self.processor_rank = math.inf
        if not self.lines:
            return
        for key, line in sorted(self.lines.items(), key=_most_urgent):
            for ticket in line.queue.all():
                if now > self._latest_start(ticket):
                    self._refuse(ticket, line, now)
                    self._remove(ticket)
                    ticket.wake()
            self._refuse_hopeless(line, now)
            while (ticket := line.queue.first()) is not None:
                reason = self._short_of(ticket.demand, now, waits=True)
                if reason:
                    if reason == PROCESSOR_SHORT:
                        self.processor_rank = min(self.processor_rank, ticket.rank)
                    break
                line.queue.start(ticket, now)
                self.waiting -= 1
                line.started(ticket.cost, now)
                self._start(ticket, now, waited=True)
                ticket.wake()
            if not len(line.queue) and now - line.used_at > REMEMBERED_S:
                del self.lines[key]

    def stop(self, now: float, cut_at: float, *, refuse_all: bool = False) -> None:
        """Refuse those that a planned stop would cut off at a time, or all that wait."""
        self.cut_at = cut_at
        for line in list(self.lines.values()):
            for ticket in line.queue.all():
                if refuse_all or now + self._usual(ticket.demand) > cut_at:
                    ticket.state = "refused"
                    ticket.refusal = refusal(STOPPING, may_have_run=False)
                    self._remove(ticket)
                    ticket.wake()

    def next_poll(self, now: float) -> float | None:
        """Return the seconds until `poll` must be called again, None if nothing waits."""
        if not self.waiting:
            return None
        if self.processor_rank < math.inf:
            return min(MAX_POLL_S, max(MIN_POLL_S, 0.5 * self.processor.level(now)))
        return MAX_POLL_S

    def _short_of(self, demand: Demand, now: float, *, waits: bool = False) -> str:
        """Return the reason why a request may not start now, empty if it may."""
        # One that waits for the processor goes before all that are less urgent.
        if demand.rank > self.processor_rank:
            return PROCESSOR_SHORT
        level = self.processor.level_for(demand.rank, now)
        if level and level > self._processor_limit(demand, now):
            return PROCESSOR_SHORT
        service = self.services.get(demand.service)
        if service is None or not (service.full or waits):
            return ""
        limit = self._service_limit(demand, now)
        if service.may_start(limit, now, preferred=self._preferred(demand, now)):
            return ""
        return SEARCHERS_FULL

    def _processor_limit(self, demand: Demand, now: float) -> float:
        """Return the level of the processor up to which a request starts."""
        usual = self._usual(demand)
        limit = min(demand.target, demand.deadline - now) - usual
        return self._with_headroom(max(limit, MIN_LEVEL_SHARE * demand.target), demand, now)

    def _service_limit(self, demand: Demand, now: float) -> float:
        """Return the level of the searchers up to which a request starts."""
        usual = self._usual(demand)
        left = demand.deadline - now - usual
        limit = max(min(demand.target - usual, left), DEADLINE_SHARE * left)
        return self._with_headroom(max(limit, MIN_LEVEL_SHARE * demand.target), demand, now)

    def _with_headroom(self, limit: float, demand: Demand, now: float) -> float:
        return limit if self._preferred(demand, now) else limit * HEADROOM_SHARE

    def _preferred(self, demand: Demand, now: float) -> bool:
        """Return whether it is among the most urgent of the last seconds and does not crowd."""
        if demand.rank > self.urgent_rank and now - self.urgent_at <= URGENT_MEMORY_S:
            return False
        return not self.uses.crowds(demand.workspace, now)

    def _usual(self, demand: Demand) -> float:
        return self.usual.get(demand.route, INITIAL_USUAL_SHARE * demand.target)

    def _latest_start(self, ticket: Ticket) -> float:
        demand = ticket.demand
        usual = self._usual(demand)
        return min(demand.deadline - usual, self.cut_at - usual)

    def _level(self, demand: Demand, now: float) -> float:
        service = self.services.get(demand.service)
        return self.processor.level(now) + (service.level(now) if service is not None else 0.0)

    def _expected_wait(self, line: _Line, ticket: Ticket, now: float) -> float:
        """Return the seconds until a request starts that is added now."""
        demand = ticket.demand
        level = self.processor.level_for(demand.rank, now)
        above = max(0.0, level - self._processor_limit(demand, now))
        service = self.services.get(demand.service)
        if service is not None:
            above = max(above, service.level(now) - self._service_limit(demand, now))
        return above + line.queue.ahead(ticket) * self._drain(line, ticket)

    def _drain(self, line: _Line, ticket: Ticket) -> float:
        """Return the seconds per unit of cost in which waiting requests start."""
        if line.gap:
            return line.gap
        service = self.services.get(ticket.demand.service)
        if ticket.reason == PROCESSOR_SHORT or service is None:
            return ticket.work / ticket.cost
        return service.share() / ticket.cost

    def _start(self, ticket: Ticket, now: float, *, waited: bool) -> None:
        ticket.state = "started"
        ticket.started = now
        ticket.level = self._level(ticket.demand, now)
        self.processor.add(ticket.work, ticket.rank, now)
        self.uses.add(ticket.workspace, ticket.cost, now)
        service = self.services.get(ticket.demand.service)
        if service is not None:
            service.start(waited, now)
            ticket.counted = True

    def _refuse(self, ticket: Ticket, line: _Line, now: float) -> None:
        """Refuse a request, with the time until the queue has drained as far as callers wait."""
        demand = ticket.demand
        usual = self._usual(demand)
        start = now + self._expected_wait(line, ticket, now)
        needed = max(start + usual - demand.deadline, 0.0) + self._drain(line, ticket) * ticket.cost
        left = max(0.0, demand.deadline - now)
        after = RETRY_FACTOR * needed
        if (1.0 - RETRY_SHARE) * left > usual:
            after = min(after, RETRY_SHARE * left)
        after = max(MIN_RETRY_AFTER_S, after * self.rng.uniform(*RETRY_SPREAD))
        ticket.state = "refused"
        refused = refusal(ticket.reason, may_have_run=False)
        ticket.refusal = refused._replace(retry_after=after)
        line.queue.refused(ticket, now)

    def _refuse_hopeless(self, line: _Line, now: float) -> None:
        """Refuse the last one if the queue drains too slowly, so that it may try elsewhere."""
        last = line.queue.victim(None)
        if last is None or not line.gap:
            return
        wait = (line.queue.ahead(last) - last.cost) * line.gap
        if now + HOPELESS_FACTOR * wait > self._latest_start(last):
            self._refuse(last, line, now)
            self._remove(last)
            last.wake()

    def _evict(self, line: _Line, arriving: Ticket, now: float) -> bool:
        """Refuse a waiting request in favour of one that arrives, if one has to give way."""
        longest = max(self.lines.values(), key=lambda one: len(one.queue))
        victim = line.queue.victim(arriving)
        if victim is None and len(longest.queue) > len(line.queue) + 1:
            line, victim = longest, longest.queue.victim(None)
        if victim is None:
            return False
        self._refuse(victim, line, now)
        self._remove(victim)
        victim.wake()
        return True

    def _remove(self, ticket: Ticket) -> None:
        self.lines[ticket.demand.service].queue.remove(ticket)
        self.waiting -= 1

    def _learn(self, ticket: Ticket, now: float) -> None:
        """Learn the usual time of a route from an answer, without its expected queue."""
        demand = ticket.demand
        usual = self._usual(demand)
        sample = (now - ticket.started) * usual / (usual + ticket.level)
        sample = max(sample, MIN_USUAL_S)
        known = demand.route in self.usual
        gain = GAIN_UP if sample > usual else GAIN_DOWN
        self.usual[demand.route] = usual + gain * (sample - usual) if known else sample
        if len(self.usual) > MAX_REMEMBERED:
            self.usual.popitem(last=False)
        service = self.services.get(demand.service)
        if service is not None:
            service.usual = self.usual[demand.route]

    def _service(self, demand: Demand) -> _Service:
        service = self.services[demand.service] = _Service(self._usual(demand))
        if len(self.services) > MAX_REMEMBERED:
            self.services.popitem(last=False)
        return service


def _most_urgent(item: tuple[Hashable, _Line]) -> int:
    return min(item[1].queue.ranks, default=0)


def _decay(seconds: float) -> float:
    return 0.5 ** (seconds / USE_HALF_LIFE_S)


def _nothing() -> None:
    pass
