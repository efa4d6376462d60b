"""Admission of queries at the entry: an adaptive limit and weighted fair shares of it."""

import math
from collections import deque
from typing import Literal

__all__ = ["Admission", "ConcurrencyLimit", "Overload", "Ticket", "tenant_cap"]

INITIAL_LIMIT = 32.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1000.0
#: The limit changes at most once in this time, in seconds.
WINDOW_S = 0.1
#: Queries added to the limit in a window without congestion. All instances raise their limits
#: at the same time, so a whole query each would exceed the capacity of a small service.
INCREASE = 0.4
#: Above this share of refused or late sub-requests the limit does not rise.
CONGESTED_SHARE = 0.05
#: Longest wait for admission, in seconds.
MAX_WAIT_S = 0.025
#: Number of queries of one tenant that may wait even if its share of the limit is smaller.
MIN_WAITING = 4
#: A wait takes at most this share of the time left until the deadline.
MAX_WAIT_SHARE = 0.25

#: Half-life of a tenant's average use, and of the slots that are kept free for it, in seconds.
SHARE_HALF_LIFE_S = 1.0
#: A tenant whose recent demand is below this many slots is not active.
MIN_DEMAND = 0.25
#: While the limit is used up, a tenant is admitted up to this many times its share. Queries that
#: arrive at random exceed a share of a few slots for a moment although their average is below it.
BURST_SHARES = 2.0

#: Time constant of the overload signals, in seconds.
OVERLOAD_MEMORY_S = 1.0
#: The service is overloaded while more than this share of its sub-requests is refused.
OVERLOAD_SHARE = 0.02
#: Fewer refusals than this, weighted by age, do not count as overload.
OVERLOAD_MIN_REFUSALS = 2.0


class ConcurrencyLimit:
    """Adaptive limit of the queries of one service that this instance has in flight.

    The limit rises by `INCREASE` in each window in which it was used, and falls by half of the
    share of sub-requests that were shed, refused by a full queue or late. The decrease is
    proportional to the share because in a query over many shards almost always one is refused. The
    queries of one round trip lower the limit to half at most: queries that started under a higher
    limit say nothing about the lower one, and would lower it repeatedly, far below the capacity.
    """

    def __init__(self) -> None:
        self.value = INITIAL_LIMIT
        self.window_start = 0.0
        #: Start of the current round trip, and the limit below which its queries do not lower it.
        self.round_start = -math.inf
        self.floor = 0.0
        self.peak = 0
        self.sub_requests = 0
        self.signals = 0

    def started(self, in_flight: int) -> None:
        """Record the number of queries in flight after one has started."""
        self.peak = max(self.peak, in_flight)

    def finished(
        self, sub_requests: int, signals: int, now: float, started: float = math.inf
    ) -> None:
        """Record the congestion signals of a query, and adapt the limit once in a window."""
        if signals and started >= self.round_start:
            self.round_start = now
            self.floor = self.value / 2
        self.sub_requests += sub_requests
        self.signals += signals
        if now - self.window_start >= WINDOW_S and self.sub_requests:
            self._adapt(now)

    def _adapt(self, now: float) -> None:
        share = min(1.0, self.signals / self.sub_requests)
        used = self.peak >= self.value / 2
        if share:
            self.value = max(self.value * (1.0 - share / 2), min(self.value, self.floor))
        if used and share <= CONGESTED_SHARE:
            self.value += INCREASE
        self.value = min(MAX_LIMIT, max(MIN_LIMIT, self.value))
        self.window_start = now
        self.peak = self.sub_requests = self.signals = 0


class Overload:
    """Overload detection for a service, by its recent refusals and queueing times.

    The counts decay with the time constant `OVERLOAD_MEMORY_S`.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self.refused = 0.0
        self.queued = 0.0
        self.updated_at = 0.0

    def record(self, total: int, refused: int, queued: float, now: float) -> None:
        """Record the sub-requests of a query; `queued` is the sum of their seconds in queues."""
        self._decay(now)
        self.total += total
        self.refused += refused
        self.queued += queued

    def is_overloaded(self, warm_latency: float, now: float) -> bool:
        """Return whether the service is overloaded now; `warm_latency` is in seconds."""
        self._decay(now)
        if self.total < 1.0:
            return False
        refusing = self.refused >= OVERLOAD_MIN_REFUSALS
        if refusing and self.refused > OVERLOAD_SHARE * self.total:
            return True
        return self.queued > warm_latency * self.total

    def _decay(self, now: float) -> None:
        factor = math.exp(-(now - self.updated_at) / OVERLOAD_MEMORY_S)
        self.total *= factor
        self.refused *= factor
        self.queued *= factor
        self.updated_at = now


class Ticket:
    """A query that asks for admission; `wait_until` bounds its wait."""

    __slots__ = ("state", "tenant", "wait_until", "wake")

    def __init__(self, tenant: str, wait_until: float) -> None:
        self.tenant = tenant
        self.wait_until = wait_until
        self.state: Literal["admitted", "waiting", "refused", "ended"] = "refused"
        #: Callback on admission, set by a caller that waits.
        self.wake = None


class _Tenant:
    """Queries of one tenant, and its recent use and demand in slots."""

    __slots__ = ("average", "cap", "in_flight", "seen_at", "waiting", "wanted", "weight")

    def __init__(self, now: float) -> None:
        self.weight = 1.0
        self.cap = 1
        self.in_flight = 0
        self.waiting: deque[Ticket] = deque()
        #: Decayed average of `in_flight` and decayed peak of the demand, both as of `seen_at`.
        self.average = 0.0
        self.wanted = 0.0
        self.seen_at = now

    def update(self, now: float) -> None:
        """Bring the average and the peak up to date; called before `in_flight` changes."""
        if now <= self.seen_at:
            return
        factor = 0.5 ** ((now - self.seen_at) / SHARE_HALF_LIFE_S)
        self.average = self.average * factor + self.in_flight * (1.0 - factor)
        self.wanted = max(self.wanted * factor, self.in_flight + len(self.waiting))
        self.seen_at = now

    def enter(self, now: float) -> None:
        """Count a query as in flight."""
        self.update(now)
        self.in_flight += 1

    def leave(self, now: float) -> None:
        """Count a query as ended."""
        self.update(now)
        self.in_flight -= 1

    def wait(self, ticket: Ticket, now: float) -> None:
        """Queue a query."""
        self.update(now)
        self.waiting.append(ticket)
        self.wanted = max(self.wanted, self.in_flight + len(self.waiting))

    def demand(self) -> float:
        """Return the recent demand in slots, at most the cap."""
        return min(self.cap, self.wanted)

    def use(self) -> float:
        """Return the average use divided by the weight."""
        return self.average / self.weight


class Admission:
    """Admits queries of one service up to a limit and shares it between tenants.

    A slot is room for one query in flight. While the limit is used up, the next free slot goes to
    the waiting tenant with the least average use for its weight (weighted max-min fairness). The
    average is taken over about a second, since a limit of a few slots cannot be divided at each
    moment. A tenant above its share leaves free those slots that other tenants demanded recently
    within their shares: waits are short, so a tenant whose queries arrive at random would otherwise
    seldom find a free slot. Any tenant may use all other slots.

    These reserved slots are not enough when a share is only a few slots: other tenants use the
    slots of an idle tenant, and seldom release them within the wait of its next query. A tenant
    whose average use is below its share is therefore admitted although the limit is used up. Such
    an overshoot is bounded by what other tenants use above their shares, and these tenants get no
    slot until the queries in flight are below the limit again.
    """

    def __init__(self) -> None:
        self.limit = ConcurrencyLimit()
        self.in_flight = 0
        self.tenants: dict[str, _Tenant] = {}

    def arrive(self, name: str, weight: float, cap: int, now: float, deadline: float) -> Ticket:
        """Return a ticket that is admitted, waits or is refused."""
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self.tenants[name] = _Tenant(now)
        tenant.weight = weight
        tenant.cap = cap
        wait = min(MAX_WAIT_S, (deadline - now) * MAX_WAIT_SHARE)
        ticket = Ticket(name, now + wait)
        if tenant.in_flight >= tenant.cap:
            return ticket
        ticket.state = "waiting"
        tenant.wait(ticket, now)
        self._fill(now)
        if ticket.state == "waiting" and len(tenant.waiting) > self._queue_bound(tenant):
            self.give_up(ticket)
        return ticket

    def leave(self, ticket: Ticket, now: float) -> None:
        """End an admitted query, and admit waiting ones."""
        tenant = self.tenants[ticket.tenant]
        ticket.state = "ended"
        tenant.leave(now)
        self.in_flight -= 1
        self._fill(now)

    def give_up(self, ticket: Ticket) -> None:
        """End the wait of a ticket that was not admitted."""
        if ticket.state == "waiting":
            ticket.state = "refused"
            self.tenants[ticket.tenant].waiting.remove(ticket)

    def _fill(self, now: float) -> None:
        while True:
            tenant = self._next_tenant(now)
            if tenant is None:
                return
            ticket = tenant.waiting.popleft()
            self._admit(tenant, ticket, now)
            if ticket.wake is not None:
                ticket.wake()

    def _next_tenant(self, now: float) -> _Tenant | None:
        """Return the tenant with the least use for its weight that may be admitted, if any."""
        waiting = self._waiting(now)
        if not waiting:
            return None
        active = self._active(now)
        unit_share = self.limit.value / sum(one.weight for one in active)
        if self.in_flight < int(self.limit.value):
            best = min(waiting, key=_Tenant.use)
            return best if self._may_use(best, active, unit_share) else None
        below = [one for one in waiting if one.use() < unit_share]
        entitled = self._entitled(below, self._overshoot(active, unit_share), unit_share)
        return min(entitled, key=_Tenant.use, default=None)

    def _waiting(self, now: float) -> list[_Tenant]:
        """Return the waiting tenants below their caps; queries that waited too long are refused."""
        found = []
        for tenant in self.tenants.values():
            while tenant.waiting and tenant.waiting[0].wait_until < now:
                tenant.waiting.popleft().state = "refused"
            if tenant.waiting and tenant.in_flight < tenant.cap:
                found.append(tenant)
        return found

    def _active(self, now: float) -> list[_Tenant]:
        """Return the tenants that share the limit now."""
        for tenant in self.tenants.values():
            tenant.update(now)
        return [one for one in self.tenants.values() if one.demand() >= MIN_DEMAND]

    def _overshoot(self, active: list[_Tenant], unit_share: float) -> float:
        """Return how many queries may be in flight above the limit, at most as many as the limit.

        This is what tenants use above their shares on average. They took the slots of the others,
        and get none until the queries in flight are below the limit again. It is the average, since
        tenants that all demand more than their shares exceed them by turns for a moment.
        """
        excess = sum(max(0.0, one.average - unit_share * one.weight) for one in active)
        return min(self.limit.value, excess)

    def _entitled(self, below: list[_Tenant], overshoot: float, unit_share: float) -> list[_Tenant]:
        """Return those of the tenants below their shares that get a slot above the limit.

        Averages lag behind a limit that was just lowered. Queries of tenants above their shares
        that were in flight before must not block tenants within their shares.
        """
        if self.in_flight + 1 <= self.limit.value + overshoot:
            return [one for one in below if one.in_flight < BURST_SHARES * unit_share * one.weight]
        if self.in_flight > int(self.limit.value):
            return [one for one in below if one.in_flight + 1 <= unit_share * one.weight]
        return []

    def _may_use(self, tenant: _Tenant, active: list[_Tenant], unit_share: float) -> bool:
        """Return whether a tenant may use a free slot.

        It may while less than half of the limit is in flight or its average use is below its share,
        and otherwise if the slot is not reserved for the recent demand of others.
        This is called only for the waiting tenant with the least use for its weight: if that one
        is above its share, so are the others that wait.
        """
        if self.in_flight < self.limit.value / 2 or tenant.average < unit_share * tenant.weight:
            return True
        others = (one for one in active if one is not tenant)
        wanted = (min(one.demand(), unit_share * one.weight) - one.in_flight for one in others)
        reserved = sum(max(0.0, slots) for slots in wanted)
        return self.in_flight + 1 + reserved <= self.limit.value

    def _admit(self, tenant: _Tenant, ticket: Ticket, now: float) -> None:
        ticket.state = "admitted"
        tenant.enter(now)
        self.in_flight += 1
        self.limit.started(self.in_flight)

    def _queue_bound(self, tenant: _Tenant) -> int:
        """Return how many queries of a tenant may wait: about its share of the limit."""
        active = (t.weight for t in self.tenants.values() if t.in_flight or t.waiting)
        total = max(tenant.weight, sum(active))
        return max(MIN_WAITING, int(self.limit.value * tenant.weight / total))


def tenant_cap(max_in_flight: int, instances: int) -> int:
    """Return the part of a tenant's fleet-wide limit that one of `instances` instances may use."""
    return max(1, max_in_flight // max(1, instances))
