"""Steps for claims of non-idempotent requests."""

import random
import time
import uuid
from collections import Counter

import trio
import trio.testing
import uuid6
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide import claims
from rattanrelay.errors import RelayError
from rattanrelay.node.claims import Claims
from rattanrelay.node.ports import Configuration, Latest, Member
from rattanrelay.store import Entry
from rattanrelay.table import Catalog, DomainRow, ServerRow, ServiceRow, Shard, Snapshot, Table
from rattanrelay.wire import Action, ActionResult

#: Wall time at time 0 of the mock clock.
WALL_START_S = 1_800_000_000.0


class FaultyStore:
    """A key-value store in memory whose calls may fail, and whose writes may get no answer."""

    def __init__(self, chance, fault_share):
        self.values = {}
        self.chance = chance
        self.fault_share = fault_share
        self.writes = 0

    async def get(self, key):
        await trio.sleep(self.chance.uniform(0.0005, 0.004))
        self._maybe_fail("not_run")
        value = self.values.get(key)
        return Entry(key, *value) if value else None

    async def put(self, key, value, expected):
        self.writes += 1
        await trio.sleep(self.chance.uniform(0.0005, 0.004))
        self._maybe_fail("not_run")
        stored = self.values.get(key)
        if (stored[1] if stored else 0) != expected:
            raise RelayError("version_conflict", key)
        self.values[key] = (value, expected + 1)
        self._maybe_fail("unknown")
        return Entry(key, value, expected + 1)

    async def list(self, prefix):
        return [key for key in self.values if key.startswith(prefix)]

    async def delete(self, key, expected=None):
        self.values.pop(key, None)

    def _maybe_fail(self, ran):
        if self.chance.random() < self.fault_share:
            raise RelayError("store_unavailable", "injected", ran=ran)


class Backend:
    """Runs actions and counts the runs of each, against which the steps check the answers."""

    def __init__(self, chance, faulty=True):
        self.chance = chance
        self.faulty = faulty
        self.runs = Counter()

    async def run_action(self, message):
        draw = self.chance.random() if self.faulty else 1.0
        if draw < 0.15:
            return ActionResult("not_run", "shedding")
        await trio.sleep(self.chance.uniform(0, 0.05))
        self.runs[message.body] += 1
        if draw < 0.3:
            return ActionResult("unknown", "connection_lost")
        return ActionResult("done", "", "", b"box " + message.body)


class RefusesAtDeadline:
    """Refuses each action at its deadline; the refusal arrives `delay` seconds later."""

    def __init__(self, delay):
        self.delay = delay

    async def run_action(self, message):
        await trio.sleep(message.deadline_ms / 1000 - wall() + self.delay)
        return ActionResult("not_run", "deadline")


class StaticMembers:
    """Ownership that never changes; `owner` may name another instance."""

    epoch = 1

    def __init__(self, owner):
        self.member = Member(owner, "1", "127.0.0.1:1", "a")

    def owner(self, name):
        return self.member if name.startswith("claims/") else Member("self", "1", "", "a")


class Peers:
    """Calls other coordinators directly; some calls are lost or time out."""

    def __init__(self, nodes, chance):
        self.nodes = nodes
        self.chance = chance

    async def call(self, instance, message, timeout):
        if self.chance.random() < 0.2:
            raise RelayError("peer_unavailable", "injected", ran="unknown")
        with trio.move_on_after(timeout):
            return await self.nodes[instance].coordinate(message)
        raise RelayError("peer_unavailable", "no answer", ran="unknown")


def configuration():
    table = Table(
        1,
        services={"booking": ServiceRow("booking")},
        domains={"oviedo": DomainRow("oviedo")},
        servers={"b1": ServerRow("b1", "booking", "oviedo", "127.0.0.1:1 127.0.0.1:2")},
    )
    shard = Shard("s0", ("b1/0", "b1/1"))
    return Configuration(table, {"booking": Catalog("booking", 1, (Snapshot("v1", (shard,)),))})


def new_key(chance, now):
    """Return a version 7 UUID for a wall time."""
    bits = int(now * 1000) << 80 | chance.getrandbits(80)
    bits = bits & ~(0xF << 76) | 7 << 76
    return str(uuid.UUID(int=bits & ~(3 << 62) | 2 << 62))


def wall():
    return WALL_START_S + trio.current_time()


def make_action(key, body, timeout=0.5):
    deadline = int((wall() + timeout) * 1000)
    return Action(key, "booking", "box-1", "crew", body, deadline, uuid.uuid4().hex)


class World:
    """Several coordinators over one store and one backend on a mock clock."""

    def __init__(self, seed, fault_share, instances=3, faulty=True):
        self.chance = random.Random(seed)
        self.store = FaultyStore(self.chance, fault_share)
        self.backend = Backend(self.chance, faulty)
        self.nodes = {}
        for index in range(instances):
            # Each instance takes another one for the coordinator, as after a change of the view.
            others = instances > 1
            members = StaticMembers(f"i{(index + seed) % instances}" if others else "self")
            self.nodes[f"i{index}"] = Claims(
                Latest(configuration()),
                members,
                Peers(self.nodes, self.chance),
                self.store,
                self.backend,
                instance="self",
                wall=wall,
            )
        self.answers = []

    async def send(self, name, key, body, delay=0.0):
        await trio.sleep(delay)
        action = make_action(key, body)
        try:
            result = await self.nodes[name].submit(action)
        except RelayError as error:
            result = ActionResult("unknown", str(error))
        self.answers.append((key, body, result))

    def run(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                for node in self.nodes.values():
                    await nursery.start(node.serve)
                with trio.fail_after(600):
                    await scenario(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@when("{count:d} random runs resend keys to several coordinators over a faulty store")
def random_runs(context, count):
    context.worlds = []
    for seed in range(count):
        world = World(seed, fault_share=(0.0, 0.1, 0.4)[seed % 3])
        world.run(_resend_everything)
        context.worlds.append(world)


async def _resend_everything(world):
    keys = [new_key(world.chance, wall()) for _ in range(6)]
    async with trio.open_nursery() as nursery:
        for key in keys:
            for _ in range(world.chance.randint(2, 6)):
                name = world.chance.choice(list(world.nodes))
                delay = world.chance.choice((0.0, 0.0, 0.02, 0.3, 1.5))
                nursery.start_soon(world.send, name, key, key.encode(), delay)


@then("no key ran more than once")
def ran_once(context):
    for world in context.worlds:
        assert not [body for body, runs in world.backend.runs.items() if runs > 1]


@then("each answer agrees with what the backend ran")
def answers_agree(context):
    seen = Counter()
    for world in context.worlds:
        for key, body, result in world.answers:
            seen[result.outcome] += 1
            if result.outcome == "done":
                assert world.backend.runs[body] == 1, key
                assert result.payload == b"box " + body, result
        for key, body, _ in world.answers:
            outcomes = {item[2].outcome for item in world.answers if item[0] == key}
            if outcomes == {"not_run"}:
                results = [item[2] for item in world.answers if item[0] == key]
                assert world.backend.runs[body] == 0, results
    assert seen["done"] and seen["not_run"] and seen["unknown"], seen


@when("the store is down and a new key and a key that ran before are sent")
def store_down(context):
    world = World(1, fault_share=0.0, instances=1, faulty=False)
    key = {}

    async def scenario(world):
        key["old"], key["new"] = (new_key(world.chance, wall()) for _ in range(2))
        await world.send("i0", key["old"], b"old")
        world.store.fault_share = 1.0
        await world.send("i0", key["new"], b"new")
        await world.send("i0", key["old"], b"old")

    world.run(scenario)
    context.world = world


@then('the new key is refused with "{code}" as not run and the old key has its outcome')
def refused_and_repeated(context, code):
    new, old = (item[2] for item in context.world.answers[-2:])
    assert (new.outcome, new.code) == ("not_run", code), new
    assert (old.outcome, old.payload) == ("done", b"box old"), old
    assert context.world.backend.runs == Counter({b"old": 1})


@when("a key is sent again with another body")
def other_body(context):
    world = World(1, fault_share=0.0, instances=1, faulty=False)

    async def scenario(world):
        key = new_key(world.chance, wall())
        await world.send("i0", key, b"one")
        await world.send("i0", key, b"two")

    world.run(scenario)
    context.world = world


@then('the second body is refused with "{code}" and did not run')
def body_refused(context, code):
    result = context.world.answers[-1][2]
    assert (result.outcome, result.code) == ("not_run", code), result
    assert context.world.backend.runs[b"two"] == 0


@given("keys of random ages")
def random_ages(context):
    chance = random.Random(5)
    now = WALL_START_S
    context.aged = [(age, new_key(chance, now - age)) for age in range(-20, 4000, 13)]


@then("exactly the keys within the claim window are accepted and no accepted key's slice expires")
def window(context):
    now = WALL_START_S
    for age, key in context.aged:
        try:
            created = claims.key_time(key, now)
        except RelayError as error:
            assert error.code == "key_expired"
            assert not -claims.FUTURE_SKEW_S <= age <= claims.CLAIM_WINDOW_S, age
            continue
        assert -claims.FUTURE_SKEW_S <= age <= claims.CLAIM_WINDOW_S, age
        assert claims.expired_slices([claims.slice_key(key, created)], now) == []


@then('a key that is no version 7 UUID is refused with "{code}"')
def no_v7(context, code):
    for key in ("", "x", str(uuid.UUID(int=1, version=4))):
        try:
            claims.key_time(key, WALL_START_S)
        except RelayError as error:
            assert error.code == code
        else:
            raise AssertionError(f"{key!r} was accepted")
    assert claims.key_time(str(uuid6.uuid7()), time.time())


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from("cfr"), st.sampled_from("kl"), st.sampled_from("xyz"), st.sampled_from("pq")
    ),
    max_size=24,
)


@then("any order of claims, outcomes and releases grants a key to one holder at a time")
def one_holder(context):
    @settings(max_examples=400)
    @for_all(OPERATIONS)
    def check(steps):
        records, holder, finished = {}, {}, set()
        for kind, key, claim_id, digest in steps:
            operation = {
                "c": claims.Claim(key, digest, claim_id),
                "f": claims.Finish(key, digest, claim_id, "", b""),
                "r": claims.Release(key, claim_id),
            }[kind]
            records, (verdict,), _ = claims.apply_operations(records, [operation])
            if verdict.kind == "granted":
                assert holder.get(key, claim_id) == claim_id
                assert key not in finished
                holder[key] = claim_id
            if kind == "r" and holder.get(key) == claim_id and key not in finished:
                del holder[key]
            if kind == "f" and holder.get(key) == claim_id:
                finished.add(key)
                assert records[key].state == "done"
            assert records == claims.decode_slice(claims.encode_slice(records))

    check()


@when("a new key is sent to a searcher that refuses at its deadline, {delay:d} ms away")
def refuse_at_deadline(context, delay):
    world = World(1, fault_share=0.0, instances=1)
    world.nodes["i0"].dispatch = RefusesAtDeadline(delay / 1000)

    async def scenario(world):
        await world.send("i0", new_key(world.chance, wall()), b"late")

    world.run(scenario)
    context.world = world


@then('it is refused with "{code}" as not run')
def refused(context, code):
    [(_, _, result)] = context.world.answers
    assert (result.outcome, result.code) == ("not_run", code), result


class MovingMembers(StaticMembers):
    """Ownership of the backend server that moves to this instance at the time `moves_at`."""

    def __init__(self, moves_at):
        super().__init__("self")
        self.moves_at = moves_at

    def owner(self, name):
        moved = trio.current_time() >= self.moves_at
        return self.member if moved or name.startswith("claims/") else Member("former", "1", "", "")


class FormerOwner:
    """Refuses and counts all requests."""

    def __init__(self):
        self.refusals = 0

    async def call(self, instance, message, timeout):
        await trio.sleep(0.01)
        self.refusals += 1
        return ActionResult("not_run", "no_owner")


@when("a request is sent with {left:g} s left and the ownership moves after {seconds:g} s")
def moving_owner(context, left, seconds):
    world = context.world = World(1, fault_share=0.0, instances=1, faulty=False)
    context.former = world.nodes["i0"].peers = FormerOwner()
    world.nodes["i0"].members = MovingMembers(seconds)

    async def scenario(world):
        key = new_key(world.chance, wall())
        context.result = await world.nodes["i0"].submit(make_action(key, b"one", left))

    world.run(scenario)


@then("the request is {outcome} after {count:d} refusals by the former owner")
def moved_outcome(context, outcome, count):
    result, runs = context.result, context.world.backend.runs
    assert outcome in (result.outcome, result.code), result
    assert (result.outcome, runs[b"one"]) in (("done", 1), ("not_run", 0)), (result, runs)
    assert context.former.refusals == count, context.former.refusals
