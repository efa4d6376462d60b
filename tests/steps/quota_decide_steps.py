"""Steps for the quotas that instances keep together, on plain objects without sockets."""

import random
from functools import partial

import trio
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.quota import (
    LENT_S,
    RESERVE_USED_S,
    BucketLimit,
    QuotaBounds,
    QuotaBucket,
    Reserve,
    ShareBook,
    allowance,
    bucket_limit,
    most_allowed,
)
from rattanrelay.relay import Workspace
from tests.harness.quota_fleet import most_in_window, play

RATE, BURST, HEADROOM = 10.0, 10.0, 2.0
LIMIT = BucketLimit(RATE, BURST + HEADROOM)
#: Steps of a history, the more frequent ones named several times.
OPS = [*["ask"] * 8, *["deliver"] * 8, *["take"] * 8, "release", "release late", "owner", "voter"]
PAUSES = (0.0, 0.0, 0.0, 0.02, 0.1, 0.5, 1.2)


@then("in {count:d} random histories of 4 voters and 3 owners the grants keep the quota exactly")
def exact(context, count):
    @settings(max_examples=count)
    @for_all(seed=st.integers(0, 2**32))
    def holds(seed):
        history = History(random.Random(seed))
        for _ in range(250):
            if history.rng.random() < 0.05:
                history.change_owner()
            getattr(history, history.rng.choice(OPS).replace(" ", "_"))()
            history.check()
            history.now += history.rng.choice(PAUSES)

    holds()


class History:
    """Voters and owners whose messages arrive in any order, late or never."""

    def __init__(self, rng):
        self.rng, self.now, self.stamp = rng, 0.0, 0
        self.books = [ShareBook(0.0, restarted=False) for _ in range(4)]
        self.buckets = [self.bucket() for _ in range(3)]
        self.questions, self.replies, self.releases, self.grants = [], [], [], []
        #: The owner that most ask, and whether it spends its tokens.
        self.one, self.spends = 0, True

    def bucket(self):
        return QuotaBucket(LIMIT, self.now)

    def pick(self, rows):
        return rows.pop(self.rng.randrange(len(rows))) if rows else None

    def change_owner(self):
        self.one, self.spends = self.rng.randrange(3), self.rng.random() < 0.6
        self.now += self.rng.choice((0.0, 0.0, 1.5, 2.6))

    def ask(self):
        one = self.one if self.rng.random() < 0.9 else self.rng.randrange(3)
        for voter in range(4):
            self.stamp += 1
            self.questions.append((one, self.buckets[one], voter, self.stamp, self.now))

    def deliver(self):
        for _ in range(self.rng.randrange(6)):
            if row := self.pick(self.questions):
                one, bucket, voter, stamp, asked_at = row
                offer = self.books[voter].lend("crowd", str(one), 0.25, self.now, stamp)
                self.replies.append((bucket, voter, offer, stamp, asked_at))
        for _ in range(self.rng.randrange(6)):
            if (row := self.pick(self.replies)) and row[2] and row[0] in self.buckets:
                bucket, voter, offer, stamp, asked_at = row
                if bucket.add_share(voter, offer, asked_at, self.now):
                    bucket.stamps = {**getattr(bucket, "stamps", {}), voter: stamp}

    def take(self):
        bucket = self.buckets[self.one]
        while self.spends and bucket.take(self.now):
            self.grants.append(self.now)

    def release(self):
        one = self.one
        bucket = self.buckets[one]
        # Answers to earlier questions are not used any more.
        self.replies = [row for row in self.replies if row[0] is not bucket]
        self.questions = [
            (*row[:1], None, *row[2:]) if row[1] is bucket else row for row in self.questions
        ]
        for voter, idle in bucket.release(self.now).items():
            self.releases.append((voter, str(one), bucket.stamps[voter], idle))

    def release_late(self):
        for _ in range(4):
            if row := self.pick(self.releases):
                self.books[row[0]].release("crowd", *row[1:], self.now)

    def owner(self):
        self.buckets[self.rng.randrange(3)] = self.bucket()

    def voter(self):
        if self.rng.random() < 0.3:
            self.books[self.rng.randrange(4)] = ShareBook(self.now)

    def check(self):
        held = [
            name
            for one in self.buckets
            for name, share in one.shares.items()
            if share.expires > self.now
        ]
        assert len(held) == len(set(held)), "a share is in two places"
        for first, at in enumerate(self.grants[-60:]):
            count = len(self.grants[-60:]) - first
            allowed = BURST + HEADROOM + RATE * (self.now - at)
            assert count <= allowed + 1e-6, (count, allowed)


@when("a full share expires, another owner gets it, and then the first one again")
def share_returns(context):
    book = ShareBook(0.0, restarted=False)
    context.first, other = (QuotaBucket(LIMIT, 0.0) for _ in range(2))
    context.before = []
    for now, name, bucket in (
        (0.0, "a", context.first),
        (LENT_S + 0.1, "b", other),
        (2.0 * (LENT_S + 0.1), "a", context.first),
    ):
        bucket.add_share(0, book.lend("crowd", name, 1.0, now), now, now)
        context.before.append(bucket.tokens)


@then("the first one has only what the share has earned since")
def earned_since(context):
    assert context.before[0] == BURST + HEADROOM and context.before[2] < 1.1, context.before


async def kills(fleet):
    while True:
        await trio.sleep(fleet.rng.uniform(0.3, 3.0))
        name = fleet.rng.choice(list(fleet.nodes))
        fleet.kill(name)
        await trio.sleep(fleet.rng.uniform(0.1, 4.0))
        await fleet.start(name)


async def lists(fleet):
    while True:
        await trio.sleep(fleet.rng.uniform(0.2, 2.0))
        for node in list(fleet.nodes.values()):
            node.see(fleet.rng.sample(fleet.names, fleet.size - fleet.rng.randint(0, 2)))


async def cuts(fleet):
    while True:
        await trio.sleep(fleet.rng.uniform(0.3, 3.0))
        fleet.cut = set(fleet.rng.sample(fleet.names, fleet.rng.randint(1, fleet.size // 2)))
        await trio.sleep(fleet.rng.uniform(0.5, 6.0))
        fleet.cut = set()


async def delays(fleet):
    while True:
        fleet.latency = fleet.rng.choice((0.001, 0.02, 0.06, 0.5, 2.0))
        fleet.loss = fleet.rng.choice((0.0, 0.0, 0.1, 0.5))
        await trio.sleep(fleet.rng.uniform(0.3, 3.0))


async def versions(fleet):
    while True:
        await trio.sleep(fleet.rng.uniform(0.3, 3.0))
        row = Workspace("crowd", None, fleet.rng.uniform(1.0, RATE), fleet.rng.uniform(0.0, BURST))
        for node in list(fleet.nodes.values()):
            await trio.sleep(fleet.rng.uniform(0.0, 0.2))
            node.deployment.catalog.workspaces = {"crowd": row}


TROUBLES = {function.__name__: function for function in (kills, lists, cuts, delays, versions)}


async def crowd_in_trouble(fleet, names):
    await fleet.start(first_start=True)
    for name in names:
        fleet.nursery.start_soon(TROUBLES[name], fleet)
    await fleet.load(30.0, 60.0)
    return most_in_window(fleet.ran["crowd"]), fleet.allowed()


@then(
    "with {size:d} instances and {trouble}, no window has more requests than allowed in {n:d} plays"
)
def bounded(context, size, trouble, n):
    @settings(max_examples=n)
    @for_all(seed=st.integers(0, 2**32))
    def holds(seed):
        most, allowed = play(crowd_in_trouble, trouble.split(","), size=size, seed=seed)
        assert 0 < most <= allowed, (most, allowed)

    holds()


async def unlist(fleet, owner):
    for node in list(fleet.nodes.values()):
        node.see([name for name in fleet.names if name != owner])
        await trio.sleep(0.02)


async def restart(fleet, owner):
    fleet.kill(owner)
    await fleet.start(owner)


async def kill(fleet, owner):
    fleet.kill(owner)


EVENTS = {
    "the owner is unlisted": unlist,
    "the owner restarts": restart,
    "the owner is killed": kill,
}


@when("{size:d} instances get requests at 0.8 of the rate for 20 s while {what}")
def within(context, size, what):
    async def scenario(fleet):
        await fleet.start(first_start=True)
        fleet.nursery.start_soon(partial(fleet.load, 20.0, 0.8 * RATE, regular=True))
        await trio.sleep(8.0)
        if what in EVENTS:
            await EVENTS[what](fleet, fleet.owners()[0])
        await trio.sleep(13.0)
        return fleet

    context.fleet = play(scenario, size=size)
    assert context.fleet.cores_of[context.fleet.owners()[0]] == 1.0, "a slow owner"


@then("at most {refused:d} of them are refused, and they wait {wait:g} ms on average")
def served(context, refused, wait):
    fleet = context.fleet
    assert len(fleet.refused["crowd"]) <= refused, fleet.refused
    assert sum(fleet.waits) <= len(fleet.waits) * wait / 1000.0, max(fleet.waits)


@when("61 instances get five times the quota of one workspace and 0.6 of that of 9 others")
def crowd_beside_others(context):
    rows = {f"w{number}": Workspace(f"w{number}", None, 5.0, 5.0) for number in range(9)}

    async def scenario(fleet):
        await fleet.start(first_start=True)
        for name in rows:
            fleet.nursery.start_soon(partial(fleet.load, 20.0, 3.0, name, regular=True))
        await fleet.load(20.0, 50.0)
        return fleet

    rows["crowd"] = Workspace("crowd", None, RATE, BURST)
    context.fleet = play(scenario, size=61, workspaces=rows)


@then("no request of the others is refused")
def others_served(context):
    refused = {name: times for name, times in context.fleet.refused.items() if times}
    assert refused.keys() == {"crowd"}, refused


@then("the crowding one gets between {least:g} and {most:g} of its quota, within the bound")
def crowd_limited(context, least, most):
    quota = RATE * 20.0 + BURST
    ran = context.fleet.ran["crowd"]
    assert least * quota <= len(ran) <= most * quota, len(ran)
    assert most_in_window(ran) <= most_allowed(RATE, BURST, QuotaBounds()), most_in_window(ran)


@when("an instance gets requests for 20 s over links of 60 ms or more each way")
def slow_links(context):
    async def scenario(fleet):
        await fleet.start(first_start=True)
        fleet.names = [name for name in fleet.names if name not in fleet.owners()]
        await fleet.load(20.0, 20.0)
        return fleet

    context.fleet = play(scenario, size=3, latency=0.12)


@when("an instance that knows no other one gets requests in its first {seconds:g} s")
def alone(context, seconds):
    async def scenario(fleet):
        await fleet.start()
        await fleet.load(seconds, 20.0)
        return fleet

    context.fleet = play(scenario, size=1)


@then("only its local allowance is used")
def only_local(context):
    most = most_in_window(context.fleet.ran["crowd"])
    assert 0 < most <= 3, most


@when("3 instances get requests of a workspace without a limit")
def unlimited(context):
    async def scenario(fleet):
        await fleet.start()
        await fleet.load(5.0, 20.0)
        return fleet

    context.fleet = play(scenario, size=3, workspaces={"crowd": Workspace("crowd")})


@then("no message was sent")
def silent(context):
    fleet = context.fleet
    assert not fleet.messages and not fleet.refused["crowd"] and fleet.ran["crowd"]
    assert not any(node.quotas.owned or node.quotas.lent for node in fleet.nodes.values())


@when("300 workspaces send a request and then one of them does after 100 s")
def many(context):
    rows = {f"w{number}": Workspace(f"w{number}", None, 5.0, 5.0) for number in range(300)}

    async def scenario(fleet):
        await fleet.start(first_start=True)
        for name in rows:
            await fleet.ask(name)
        await trio.sleep(100.0)
        for name in fleet.names:
            await fleet.ask("w7", name)
        await trio.sleep(1.0)
        return [(len(one.quotas.owned), len(one.quotas.lent)) for one in fleet.nodes.values()]

    context.kept = play(scenario, size=3, workspaces=rows)


@then("each instance has state of at most {count:d} workspaces")
def little_state(context, count):
    assert all(max(kept) <= count for kept in context.kept), context.kept


@then("any bucket with the allowances of {count:d} instances, used twice, stays within its quota")
def bucket_within(context, count):
    @for_all(rate=st.floats(0.1, 500.0), burst=st.floats(0.0, 500.0))
    def holds(rate, burst):
        bounds = QuotaBounds()
        limit = bucket_limit(rate, burst, bounds)
        allowances = sum(allowance(rank, bounds.slack) for rank in range(count))
        granted = limit.rate * bounds.window + limit.size + limit.reserve + 2 * allowances
        assert granted <= most_allowed(rate, burst, bounds), (limit, granted)
        assert limit.rate >= 0.99 * rate and limit.size >= 1.0, limit

    holds()


@when("{size:d} instances get requests at {part:g} of the rate for 12 s, and for 20 s more")
def in_calm(context, size, part):
    async def scenario(fleet):
        await fleet.start(first_start=True)
        # A new owner gives no permits into reserve until those of a former one have expired.
        await fleet.load(12.0, part * RATE)
        fleet.waits.clear()
        await fleet.load(20.0, part * RATE)
        return fleet

    context.fleet = play(scenario, size=size)


@then("at least {part:g} of the later requests wait for no message")
def no_wait(context, part):
    waits = context.fleet.waits
    assert sum(not wait for wait in waits) >= part * len(waits), waits


@when("an owner that has long been ready gets the shares of another one")
def late_owner(context):
    book = ShareBook(0.0, restarted=False)
    one, other = (QuotaBucket(LIMIT._replace(reserve=4), 0.0) for _ in range(2))
    reserve = Reserve()
    for now in range(1, 15):
        one.add_share(0, book.lend("crowd", "a", 1.0, now), now, now)
    context.offers = []
    for step in range(1, 16):
        now = 14.0 + LENT_S + step
        other.add_share(0, book.lend("crowd", "b", 1.0, now), now, now)
        context.offers.append((step, reserve.offer("instance", other, now)))


@then("it gives no permit into reserve until those of the other one have expired")
def no_early_reserve(context):
    early = [step for step, offered in context.offers if offered and step <= RESERVE_USED_S]
    assert not early and context.offers[-1][1], context.offers
