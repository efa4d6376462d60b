"""Steps for the admission of bytes and connections to the memory account."""

import random
from functools import partial

import trio
from behave import then, when

from rattanrelay.decide.intake import (
    FILE_FDS,
    MB,
    PATIENCE_S,
    SMALL_BYTES,
    Intake,
    IntakeLimits,
    Lane,
    Stage,
    derive_limits,
)
from rattanrelay.http.intake import Account, RequestBody

BUDGET = 2 * MB
CONNECTIONS = 32
ORDINARY_BYTES = 2000
STEPS = 400


def _limits():
    connections = dict.fromkeys(Lane, CONNECTIONS)
    return IntakeLimits(BUDGET, MB, MB, connections, CONNECTIONS)


class _CrowdOfKeys:
    """Random connections of some addresses on one account."""

    def __init__(self, seed: int, addresses: tuple[str, ...]) -> None:
        self.rng = random.Random(seed)
        self.intake = Intake(_limits())
        self.addresses = addresses
        self.now = 0.0
        self.keys: set[str] = set()
        self.closed: set[str] = set()
        self.largest = 0
        self.number = 0

    def open(self, address: str, lane: Lane = Lane.CLIENTS) -> str:
        self.number += 1
        key = f"{address}/{self.number}"
        closed = self.intake.open(key, lane, address, self.now)
        self._drop(closed)
        if key not in closed:
            self.keys.add(key)
        return key

    def read(self, key: str, most: int) -> bool:
        """Ask once; read what is allowed, at most `most` bytes, and return whether it was."""
        verdict = self.intake.ask(key, self.now)
        self._drop(verdict.closed)
        if key in verdict.closed or not verdict.size:
            return False
        held = self.intake.entries[key].held + min(verdict.size, most)
        self.intake.record(key, held, self.now)
        self._check()
        return True

    def step(self) -> None:
        """Let one of the crowd do something."""
        rng = self.rng
        self.now += rng.choice((0.0, 0.001, 0.1, 2.0))
        action = rng.choice(("open", "read", "read", "read", "finish", "run", "grow", "close"))
        crowd = sorted(key for key in self.keys if key.partition("/")[0] in self.addresses)
        if action == "open" or not crowd:
            self.open(rng.choice(self.addresses), rng.choice(tuple(Lane)))
            return
        key = rng.choice(crowd)
        if action == "read":
            self.read(key, rng.choice((1, 1000, 65536)))
        elif action == "finish":
            self.intake.record(key, 0, self.now)
            self.intake.record_stage(key, Stage.OPEN, self.now)
        elif action == "run":
            self.intake.record_stage(key, Stage.BUSY, self.now)
        elif action == "grow":
            # A response that is not read is larger than what was asked for.
            self.intake.record(key, rng.randrange(2 * BUDGET), self.now)
            self._drop(self.intake.shrink(key, self.now))
        else:
            self.intake.remove(key)
            self.keys.discard(key)
        self._check()

    def _drop(self, keys) -> None:
        self.closed |= set(keys)
        self.keys -= set(keys)

    def _check(self) -> None:
        entries = self.intake.entries.values()
        assert self.intake.total == sum(entry.held for entry in entries)
        assert self.intake.total == sum(self.intake.by_address.values())
        assert all(self.intake.counts[lane] <= CONNECTIONS for lane in Lane), self.intake.counts
        assert {entry.key for entry in entries} == self.keys
        self.largest = max(self.largest, self.intake.total)


@when("{count:d} random crowds read, finish, run and close")
def random_crowds(context, count):
    context.crowds = []
    for seed in range(count):
        crowd = _CrowdOfKeys(seed, ("a", "b", "c"))
        for _ in range(STEPS):
            crowd.step()
        context.crowds.append(crowd)


@then("the bytes held never exceeded the budget, and the sums match the connections")
def within_budget(context):
    assert max(crowd.largest for crowd in context.crowds) <= BUDGET
    # Without a crowd that reached the budget the check would say nothing.
    assert max(crowd.largest for crowd in context.crowds) > 0.9 * BUDGET


@when("after each of {count:d} random crowds an ordinary request of 2,000 bytes arrives")
def ordinary_after_crowds(context, count):
    context.admitted = []
    for seed in range(count):
        crowd = _CrowdOfKeys(seed, ("a", "b", "c"))
        for _ in range(STEPS):
            crowd.step()
        key = crowd.open(crowd.rng.choice(("a", "elsewhere")))
        context.admitted.append(key in crowd.keys and crowd.read(key, ORDINARY_BYTES))


@then("it was admitted each time, and at most one turn was needed")
def admitted_each_time(context):
    assert all(context.admitted), context.admitted.count(False)


@when("{count:d} random crowds of four addresses run beside a caller with an eighth of the budget")
def beside_modest(context, count):
    context.lost = []
    for seed in range(count):
        crowd = _CrowdOfKeys(seed, ("a", "b", "c", "d"))
        modest = [crowd.open("modest") for _ in range(CONNECTIONS // 8)]
        for _ in range(STEPS):
            crowd.step()
            # Often enough that the listener is full most of the time.
            if crowd.rng.random() < 0.3:
                crowd.open(crowd.rng.choice(crowd.addresses))
            key = crowd.rng.choice(modest)
            if key in crowd.keys:
                held = crowd.intake.by_address.get("modest", 0)
                if held + 65536 <= BUDGET // 8:
                    crowd.read(key, 65536)
                else:
                    crowd.intake.record(key, 0, crowd.now)
        context.lost += [key for key in modest if key in crowd.closed]


@then("no connection of that caller was closed")
def modest_kept(context):
    assert not context.lost, len(context.lost)


@when("a large message finds the budget used up by others that make progress")
def large_waits(context):
    crowd = context.crowd = _CrowdOfKeys(1, ("a",))
    context.large = crowd.open("a")
    crowd.intake.record(context.large, 100_000, 0.0)
    context.largest = crowd.open("a")
    crowd.intake.record(context.largest, BUDGET - 200_000, 0.0)
    crowd.intake.record(crowd.open("a"), 100_000, 0.0)


@then("it waits 0.25 s, and then gets room by closing the largest")
def then_goes_on(context):
    crowd = context.crowd
    verdict = crowd.intake.ask(context.large, 0.0)
    assert (verdict.size, verdict.wait, verdict.closed) == (0, PATIENCE_S, ()), verdict
    verdict = crowd.intake.ask(context.large, PATIENCE_S)
    assert verdict.size > 0 and verdict.closed == (context.largest,), verdict


@when("a listener with 32 connections of one address gets another one")
def one_more(context):
    crowd = context.crowd = _CrowdOfKeys(1, ("a",))
    context.opened = []
    for number in range(CONNECTIONS):
        crowd.now = float(number)
        context.opened.append(crowd.open("a"))
    # The oldest one runs a request, and the next one has just received a byte.
    crowd.intake.record_stage(context.opened[0], Stage.BUSY, crowd.now)
    crowd.intake.record(context.opened[1], 1, crowd.now)
    crowd.open("a")


@then("the two that had waited longest were closed")
def longest_closed(context):
    assert context.crowd.closed == set(context.opened[2:4]), context.crowd.closed


@when("all links to a listener have been used by instances, and a stranger connects")
def stranger(context):
    crowd = context.crowd = _CrowdOfKeys(1, ("a",))
    for _ in range(CONNECTIONS):
        crowd.intake.record_stage(crowd.open("a", Lane.PEERS), Stage.BUSY, 0.0)
    context.key = crowd.open("elsewhere", Lane.PEERS)


@then("the stranger is refused")
def stranger_refused(context):
    assert context.crowd.closed == {context.key}, context.crowd.closed


@when("limits are derived from {memory:d} MB and {descriptors:d} descriptors")
def derived(context, memory, descriptors):
    context.memory, context.descriptors = memory, descriptors
    context.limits = derive_limits(memory * MB, descriptors)


@then("they fit into both, and hold at least {messages:d} MB of messages and {clients:d} clients")
def fitting(context, messages, clients):
    limits = context.limits
    assert limits.messages >= messages * MB, limits
    assert limits.connections[Lane.CLIENTS] >= clients, limits
    if context.memory:
        sockets = sum(limits.connections.values()) + limits.searchers
        assert sockets <= context.descriptors - FILE_FDS, limits
        held = limits.messages + limits.buffers + limits.responses
        assert held <= (context.memory - 40) * MB, limits


@when("bodies whose clients have left use three quarters of the budget")
def detached_bodies(context):
    context.intake = Intake(_limits())
    context.bodies = [RequestBody(BUDGET // 4) for _ in range(3)]
    for body in context.bodies:
        body.detach(context.intake)
    for key in ("ordinary", "large", "other"):
        context.intake.open(key, Lane.CLIENTS, "a", 0.0)
    for key in ("large", "other"):
        context.intake.record(key, SMALL_BYTES, 0.0)


@then("a large message is refused after 0.25 s, and closes no other connection")
def large_refused(context):
    assert context.intake.ask("large", 1.0).wait == PATIENCE_S
    assert context.intake.ask("large", 1.0 + PATIENCE_S).closed == ("large",)


@then("an ordinary request is admitted at once")
def small_admitted(context):
    verdict = context.intake.ask("ordinary", 2.0)
    assert verdict.size >= ORDINARY_BYTES and not verdict.closed, verdict


@then("the large message is admitted when the bodies are freed")
def large_admitted(context):
    assert context.intake.detached == 3 * (BUDGET // 4), context.intake.detached
    context.bodies.clear()
    assert context.intake.detached == 0
    verdict = context.intake.ask("other", 3.0)
    assert verdict.size and not verdict.closed, verdict


@when("connections are closed for lack of memory, and the first one fails to close")
def failing_close(context):
    context.abandoned = []

    def fail():
        raise AttributeError("no share")

    async def scenario():
        account = Account(_limits())
        shares = [
            account.open(Lane.CLIENTS, "a", partial(context.abandoned.append, number))
            for number in range(3)
        ]
        shares[0].abandon = fail
        account.close_for_memory(tuple(shares))
        context.opened = account.open(Lane.CLIENTS, "a", fail)

    trio.run(scenario)


@then("the others are closed, and the account goes on")
def others_closed(context):
    assert context.abandoned == [1, 2], context.abandoned
    assert context.opened is not None
