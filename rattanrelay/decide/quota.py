"""Fleet-wide quotas: which instance grants requests of a workspace, and how many.

The load: a workspace sends several times its rate through all instances at once, while instances
are killed, cut off, suspended and listed differently. The quota of a workspace is divided into
equal shares, one for each of its voters. A voter lends its share to one owner at a time. An owner
grants from a token bucket that refills in proportion to the shares it holds. A share is never in
two places, so the sum over all owners keeps the limit, whatever each of them knows of the others.
`docs/design/quotas.md` has the proof.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .ownership import ranked

__all__ = [
    "HELD_S",
    "LENT_S",
    "OWNERS",
    "RESERVE_USED_S",
    "VOTERS",
    "BucketLimit",
    "Grant",
    "LocalAllowance",
    "QuotaBounds",
    "QuotaBucket",
    "Ranking",
    "Reserve",
    "ShareBook",
    "ShareOffer",
    "allowance",
    "bucket_limit",
    "most_allowed",
]

#: Number of shares of a quota, as far as there are instances. Renewing them costs an owner one
#: message each, and a voter that is lost takes one of them along until it is no longer listed.
VOTERS = 8
#: Instances that are asked for a permit if it is not known who holds the shares: the owner and its
#: deputy.
OWNERS = 2
#: Time in seconds for which a voter lends its share, counted from the arrival of the question.
LENT_S = 1.5
#: Time in seconds for which an owner uses a share, counted from when it asked for it. The rest is
#: for clocks that run at different speeds.
HELD_S = 1.35
#: Time in seconds for which a voter remembers a share that is not lent, and an owner the tokens of
#: a share that it lost. It has to be longer than any window of a quota.
REMEMBERED_S = 60.0
#: Parts of the slack for requests that are admitted without shares, in any window: by the owner, by
#: its deputy, and by the next instances, one each. All of it can be used twice in a window, since
#: an instance that restarts forgets what it has used.
OWNER_ALLOWANCE = 0.1
DEPUTY_ALLOWANCE = 0.05
OTHERS_ALLOWANCE = 0.1
#: Tokens beyond the burst. Without them, the bucket of a workspace with a burst of 1 would hold
#: less than a token as soon as one share is missing.
HEADROOM = 2.0
#: Part of a quota that is kept for lists of instances that differ, and the time in seconds by which
#: a request may run later than its permit was granted.
LISTS_SHARE = 0.03
#: Part of what the bound leaves beyond rate and burst for permits in reserve; the rest enlarges the
#: refill.
RESERVE_SHARE = 0.75
#: Time in seconds for which an instance may use a permit in reserve, counted from its question, and
#: for which its owner counts it.
RESERVE_USED_S = 10.0
RESERVE_COUNTED_S = 10.2
#: Fill of the bucket from which permits are given into reserve, so that none waits unused while
#: requests are refused.
RESERVE_FILL = 0.5
PERMIT_AGE_S = 0.1
#: Part of the shares from which an owner refuses in the name of all; one with fewer may not be
#: the owner in the view of others.
ENOUGH_SHARES = 0.5
#: Smallest and largest wait in seconds that a refusal states.
SHORTEST_WAIT_S = 0.05
LONGEST_WAIT_S = 5.0


class QuotaBounds(NamedTuple):
    """How far the sum of all instances may exceed a quota in any window; times in seconds."""

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


def most_allowed(rate: float, burst: float, bounds: QuotaBounds) -> float:
    """Return how many requests of a workspace may run in any window."""
    return (rate * bounds.window + burst) * (1.0 + bounds.overshoot) + bounds.slack


def allowance(rank: int, slack: float) -> int:
    """Return how many requests the instance of a rank may admit in a window without shares.

    In a large fleet only the first ones may admit any, since equal parts would be less than one.
    """
    if rank < OWNERS:
        return int((OWNER_ALLOWANCE, DEPUTY_ALLOWANCE)[rank] * slack)
    return int(rank - OWNERS < int(OTHERS_ALLOWANCE * slack))


class BucketLimit(NamedTuple):
    """Refill rate in tokens per second and size of the bucket of a whole quota."""

    rate: float
    size: float
    #: Permits that instances may hold in reserve.
    reserve: int = 0


def bucket_limit(rate: float, burst: float, bounds: QuotaBounds) -> BucketLimit:
    """Return the bucket that grants most within what may run in any window.

    A quota allows rate times window, and the burst, in each window. A bucket that refills at the
    bare rate grants the burst only once, so a busy workspace would be refused below its quota.
    """
    quota = rate * bounds.window + burst
    allowances = 2.0 * bounds.slack * (OWNER_ALLOWANCE + DEPUTY_ALLOWANCE + OTHERS_ALLOWANCE)
    reserved = allowances + LISTS_SHARE * quota + PERMIT_AGE_S * rate
    total = max(most_allowed(rate, burst, bounds) - reserved, 0.0)
    spare = total - rate * bounds.window - burst - HEADROOM
    reserve = int(RESERVE_SHARE * max(spare, 0.0))
    total -= reserve
    refill = (total - burst - HEADROOM) / bounds.window
    refill = min(max(refill, min(rate, total / bounds.window)), quota / bounds.window)
    return BucketLimit(refill, total - refill * bounds.window, reserve)


class Ranking:
    """Ranks of the listed instances for each workspace: the owner, its deputy and the voters."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.names = frozenset({instance})
        #: Number of instances that may be running, listed or not.
        self.count = 1
        #: Speed of the processors of instances in cores, by name.
        self.cores: dict[str, float] = {}
        self._top: dict[str, tuple[str, ...]] = {}

    def update(self, names: Iterable[str], count: int, cores: Mapping[str, float]) -> None:
        """Apply the names of all other listed instances, and the number of those that may run."""
        if self.names != (listed := frozenset(names) | {self.instance}) or self.cores != cores:
            self.names, self.cores = listed, dict(cores)
            self._top.clear()
        self.count = max(count, len(listed))

    def top(self, workspace: str) -> tuple[str, ...]:
        """Return the voters of a workspace, the owner first.

        Each request waits for the owner, so one with less than a core comes after the others.
        """
        top = self._top.get(workspace)
        if top is None:
            names = ranked(self.names, workspace)
            names.sort(key=lambda name: -min(self.cores.get(name, 1.0), 1.0))
            top = self._top[workspace] = tuple(names[:VOTERS])
        return top

    def weight(self, workspace: str) -> float:
        """Return the part of a workspace's quota that this instance lends; 0 for none."""
        return 1.0 / min(self.count, VOTERS) if self.instance in self.top(workspace) else 0.0

    def allowance(self, workspace: str, slack: float) -> int:
        """Return how many requests this instance may admit in a window without shares."""
        top = self.top(workspace)
        return allowance(top.index(self.instance), slack) if self.instance in top else 0


class ShareOffer(NamedTuple):
    """The share of a quota that a voter lends to the owner that asked for it."""

    #: Part of the quota.
    weight: float
    #: Changes whenever the share goes to another owner.
    term: int
    #: Time in seconds for which nobody has held the share.
    idle: float


class _Lent(NamedTuple):
    owner: str
    term: int
    until: float
    #: Stamp of the owner's last question.
    stamp: int
    #: Time at which it was lent or given back last.
    at: float


class ShareBook:
    """The shares that an instance lends, each to one owner at a time.

    An instance that has started does not know what it lent before, so it lends nothing until that
    has expired, unless the whole fleet starts for the first time.
    """

    def __init__(self, started: float, *, restarted: bool = True) -> None:
        #: Time from which shares are lent, and since which those not lent yet have been idle.
        self.lends_from = started + LENT_S if restarted else started
        self.idle_since = self.lends_from if restarted else -math.inf
        #: By workspace; the one that was lent last is at the end.
        self.lent: OrderedDict[str, _Lent] = OrderedDict()
        self._term = int(started * 1e6)

    def lend(
        self, workspace: str, owner: str, weight: float, now: float, stamp: int = 0
    ) -> ShareOffer | None:
        """Lend the share of a workspace to an owner; None if another one may still use it.

        `stamp` rises with each question of an owner.
        """
        self._forget(now)
        lent = self.lent.get(workspace)
        if now < self.lends_from or weight <= 0.0:
            return None
        if lent is None:
            idle = now - self.idle_since
        elif lent.owner != owner and now < lent.until:
            return None
        else:
            idle = max(0.0, now - lent.until)
        if lent is None or lent.owner != owner:
            self._term += 1
            lent = _Lent(owner, self._term, now, stamp, now)
        self.lent[workspace] = lent._replace(until=now + LENT_S, stamp=stamp, at=now)
        self.lent.move_to_end(workspace)
        return ShareOffer(weight, lent.term, idle)

    def holder(self, workspace: str, now: float) -> tuple[str, float]:
        """Return the owner to which a share is lent, empty if to none, and for how long."""
        lent = self.lent.get(workspace)
        return (lent.owner, lent.until - now) if lent and now < lent.until else ("", 0.0)

    def release(self, workspace: str, owner: str, stamp: int, idle: float, now: float) -> None:
        """Take back a share from its owner, as if it had been idle for some time.

        A release that was overtaken by a later question of the owner is ignored.
        """
        lent = self.lent.get(workspace)
        if lent is not None and lent.owner == owner and lent.stamp == stamp and now < lent.until:
            self.lent[workspace] = lent._replace(until=now - idle, at=now)
            self.lent.move_to_end(workspace)

    def _forget(self, now: float) -> None:
        while self.lent:
            workspace, lent = next(iter(self.lent.items()))
            if now < lent.at + LENT_S + REMEMBERED_S:
                return
            del self.lent[workspace]


class Grant(NamedTuple):
    """Answer of an owner; if it has too few shares to decide, another one may hold them."""

    granted: bool
    decided: bool = True
    #: Time in seconds until another request may be granted.
    wait: float = 0.0


class _Share(NamedTuple):
    weight: float
    term: int
    expires: float


class _Expired(NamedTuple):
    """Tokens of a share at the time at which it expired."""

    term: int
    tokens: float
    at: float


class QuotaBucket:
    """Token bucket of an owner for one workspace, in proportion to the shares that it holds."""

    def __init__(self, limit: BucketLimit, now: float) -> None:
        self.tokens = 0.0
        self.shares: dict[str, _Share] = {}
        self.expired: dict[str, _Expired] = {}
        #: Time up to which the bucket is refilled.
        self.at = now
        #: Time at which it last got a share that another owner may have held before.
        self.gained_at = now
        #: Requests refused lately that were told to come again.
        self.promised = 0.0
        self.set_limit(limit, now)

    def set_limit(self, limit: BucketLimit, now: float) -> None:
        """Apply a limit from now on."""
        if self.shares or self.expired:
            self.advance(now)
        self.rate, self.size, self.reserve = limit
        self.tokens = min(self.tokens, self.size * self.weight)

    @property
    def weight(self) -> float:
        """Part of the quota that this owner holds."""
        return sum(share.weight for share in self.shares.values())

    def advance(self, now: float) -> None:
        """Refill the bucket, and take out the tokens of shares that have expired."""
        due = [item for item in self.shares.items() if item[1].expires <= now]
        for voter, share in sorted(due, key=lambda item: item[1].expires):
            self._refill(share.expires)
            part = self._remove(voter)
            self.expired[voter] = _Expired(share.term, part, share.expires)
        self._refill(now)

    def add_share(self, voter: str, offer: ShareOffer, asked_at: float, now: float) -> bool:
        """Add the share of a voter, or renew it; return whether it can be used."""
        self.advance(now)
        expires = asked_at + HELD_S
        if expires <= now:
            return False
        share = self.shares.get(voter)
        if share is None or share.term != offer.term:
            if share is not None:
                self._remove(voter)
            earned = offer.idle * self.rate * offer.weight
            before = self.expired.pop(voter, None)
            if before is not None and before.term == offer.term:
                # Nobody else has held it meanwhile.
                earned = before.tokens + (now - before.at) * self.rate * offer.weight
            else:
                self.gained_at = now
            self.tokens += min(earned, self.size * offer.weight)
        self.shares[voter] = _Share(offer.weight, offer.term, expires)
        self.tokens = min(self.tokens, self.size * self.weight)
        return True

    def take(self, now: float) -> bool:
        """Take a token for one request; return whether there was one."""
        self.advance(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refuse(self, now: float) -> Grant:
        """Return the answer to a request for which there is no token."""
        self.advance(now)
        weight = self.weight
        if weight < ENOUGH_SHARES:
            return Grant(False, False, SHORTEST_WAIT_S)
        # Later requests are told to come later, so that they do not come together.
        wait = (1.0 - self.tokens + self.promised) / (self.rate * weight)
        self.promised += 1.0
        return Grant(False, True, min(max(wait, SHORTEST_WAIT_S), LONGEST_WAIT_S))

    def release(self, now: float) -> dict[str, float]:
        """Give up all shares; return by voter the time in which each earns its tokens."""
        self.advance(now)
        idle = {}
        for voter, share in list(self.shares.items()):
            idle[voter] = self._remove(voter) / (self.rate * share.weight)
        return idle

    def refund(self, now: float) -> None:
        """Take back a permit with which no request has run."""
        self.advance(now)
        self.tokens = min(self.tokens + 1.0, self.size * self.weight)

    def _refill(self, to: float) -> None:
        if to <= self.at:
            return
        weight = self.weight
        earned = (to - self.at) * self.rate * weight
        self.tokens = min(self.tokens + earned, self.size * weight)
        self.promised = max(0.0, self.promised - earned)
        self.at = to

    def _remove(self, voter: str) -> float:
        """Remove a share and return the tokens that went with it."""
        weight = self.weight
        part = self.tokens * self.shares.pop(voter).weight / weight
        # With the last share goes all, also what rounding has left.
        self.tokens = self.tokens - part if self.shares else 0.0
        return part

    def forget(self, now: float) -> bool:
        """Forget what matters no more; return whether nothing is left."""
        self.advance(now)
        for voter in [one for one, lost in self.expired.items() if now > lost.at + REMEMBERED_S]:
            del self.expired[voter]
        return not self.shares and not self.expired


class Reserve:
    """Permits that instances hold in reserve, at most one each, as their owner counts them.

    They let the next request of a workspace wait for no message. Answers the load of requests whose
    target is a few times longer than such a message takes.
    """

    def __init__(self) -> None:
        self.held: dict[str, float] = {}

    def offer(self, instance: str, bucket: QuotaBucket, now: float) -> bool:
        """Return whether an instance gets a permit into reserve, which is taken from the bucket.

        An instance that asks has used its former one, or never got it.
        """
        bucket.advance(now)
        self.held = {name: until for name, until in self.held.items() if until > now}
        most = int(bucket.reserve * bucket.weight + 1e-9)
        # Those of a former owner of a share must have expired.
        if now < bucket.gained_at + RESERVE_COUNTED_S or (
            instance not in self.held and len(self.held) >= most
        ):
            return False
        if bucket.tokens < RESERVE_FILL * bucket.size * bucket.weight or not bucket.take(now):
            return False
        self.held[instance] = now + RESERVE_COUNTED_S
        return True


class LocalAllowance:
    """Requests that an instance admits without shares, a few in each window."""

    def __init__(self) -> None:
        self.used: deque[float] = deque()

    def take(self, count: int, window: float, now: float) -> bool:
        """Return whether one more request may run now, and count it if so."""
        while self.used and self.used[0] <= now - window:
            self.used.popleft()
        if len(self.used) >= count:
            return False
        self.used.append(now)
        return True

    def refund(self) -> None:
        """Take back the last request, which has not run."""
        if self.used:
            self.used.pop()

    def idle(self, window: float, now: float) -> bool:
        """Return whether nothing was used in the last window."""
        return not self.used or self.used[-1] <= now - window
