"""Steps for the coordinator of trials: several instances that call each other directly."""

from collections import Counter

import trio
import trio.testing
from behave import given, then, when

from rattanrelay.decide.coordinator import coordinators
from rattanrelay.decide.proven import request_fingerprint
from rattanrelay.errors import RelayError
from rattanrelay.node.coordinator import TRIAL_MARGIN_S, Coordinator
from rattanrelay.node.leased_trial import LeasedTrial
from rattanrelay.node.ports import Member
from rattanrelay.node.subrequest import Outcome
from rattanrelay.node.trials import Trials
from rattanrelay.wire import BeginTrial, EndTrial, Handlers

SERVICE, BODY = "booking", b'{"reserve":"box-1"}'
NAME = request_fingerprint(SERVICE, BODY)
HOP_S, RUN_S, DEADLINE_S = 0.001, 0.05, 1.0


class View:
    """A view that never changes."""

    epoch = 1

    def __init__(self, instance, names):
        self.instance = instance
        self.members = tuple(Member(name, "1", "127.0.0.1:1", "a") for name in names)

    def lease_left(self):
        return 2.0


class Calls:
    """Calls the handlers of other instances.

    Calls to `unreachable` instances are lost, and so are answers to `BeginTrial` of instances in
    `answers_lost`.
    """

    def __init__(self, world):
        self.world = world

    async def call(self, instance, message, timeout):
        with trio.move_on_after(timeout):
            await trio.sleep(HOP_S)
            if instance in self.world.unreachable:
                await trio.sleep_forever()
            self.world.counts[type(message), instance] += 1
            reply = await self.world.handlers[instance].calls[type(message)](message)
            if instance in self.world.answers_lost and isinstance(message, BeginTrial):
                await trio.sleep_forever()
            return reply
        raise RelayError("peer_unavailable", "no answer", ran="unknown")


class World:
    """Instances with their coordinators, and the number of servers that the request crashed."""

    def __init__(self, count):
        names = [f"i{number}" for number in range(count)]
        self.coordinator, self.standby = coordinators(names, NAME)
        self.other = next(name for name in names if name not in (self.coordinator, self.standby))
        self.unreachable, self.answers_lost = set(), set()
        self.counts = Counter()
        self.crashes, self.done, self.begun = 0, 0, []
        self.refusals = []
        self.coordinators, self.handlers = {}, {}
        for name in names:
            self.coordinators[name] = Coordinator(Trials(name), View(name, names), Calls(self))
            self.handlers[name] = Handlers()
            self.coordinators[name].register(self.handlers[name])

    async def send(self, name, *, crash, deadline_s=DEADLINE_S, fails=False):
        """Send the request through an instance, which reports no outcome if it `fails`."""
        trial = LeasedTrial(self.coordinators[name], self.nursery, SERVICE, BODY)
        reason = await trial.begin(trio.current_time() + deadline_s)
        if reason:
            self.refusals.append(reason)
            return
        self.begun.append(trio.current_time())
        await trio.sleep(RUN_S)
        self.crashes += crash
        self.done += not crash
        lost = Outcome("connection_lost", "unknown")
        if not fails:
            trial.settle(lost if crash else Outcome("", "done"))

    async def expire_periodically(self):
        while True:
            await trio.sleep(0.25)
            for coordinator in self.coordinators.values():
                coordinator.expire()

    def run(self, scenario):
        async def main():
            with trio.fail_after(600):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    nursery.start_soon(self.expire_periodically)
                    await scenario(self)
                    await trio.sleep(1)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@given("{count:d} instances that keep trials")
def world(context, count):
    context.world = World(count)


@when("the crashing request is sent {count:d} times through each instance at once")
def send_everywhere(context, count):
    async def scenario(world):
        for _ in range(count):
            async with trio.open_nursery() as nursery:
                for name in world.coordinators:
                    nursery.start_soon(lambda name=name: world.send(name, crash=True))

    context.world.run(scenario)


async def _send_in_turn(world, count):
    for _ in range(count):
        await world.send(world.other, crash=True)


@when("the coordinator does not answer and the crashing request is sent {count:d} times")
def unreachable_coordinator(context, count):
    context.world.unreachable = {context.world.coordinator}
    context.world.run(lambda world: _send_in_turn(world, count))


@when("neither the coordinator nor its standby answers and the request is sent {count:d} times")
def all_unreachable(context, count):
    context.world.unreachable = {context.world.coordinator, context.world.standby}
    context.world.run(lambda world: _send_in_turn(world, count))


@then('it crashed {count:d} servers and the others were refused with "{reasons}"')
def crashed(context, count, reasons):
    found = context.world
    assert found.crashes == count, found.crashes
    assert found.refusals[-2:] == reasons.split(), found.refusals


@when("the answers of the coordinator are lost and the harmless request is sent twice")
def lost_answers(context):
    async def scenario(world):
        world.answers_lost = {world.coordinator}
        await world.send(world.other, crash=False, deadline_s=3.0)
        world.answers_lost = set()
        await world.send(world.standby, crash=False)
        await trio.sleep(10)

    context.world.run(scenario)


@then("both ran, and no instance counts a loss")
def no_loss(context):
    found = context.world
    assert (found.done, found.refusals) == (2, []), (found.done, found.refusals)
    assert found.counts[EndTrial, found.coordinator] >= 1
    assert not any(one.trials.canary.entries_of(NAME, 0.0) for one in found.coordinators.values())


@when("the requesting instance fails during its trial and another one asks with {left:g} s left")
def failing_instance(context, left):
    async def scenario(world):
        await world.send(world.other, crash=True, fails=True)
        await world.send(world.standby, crash=True, deadline_s=left)

    context.world.run(scenario)


@then("the second trial begins when the lease of the first one has ended")
def after_lease(context):
    first, second = context.world.begun
    assert second >= first - HOP_S + DEADLINE_S + TRIAL_MARGIN_S, (first, second)
    assert context.world.crashes == 2
    assert context.world.coordinators[context.world.coordinator].trials.canary.is_blocked(
        NAME, second
    )


@when("the harmless request is sent {count:d} times through one instance")
def send_harmless(context, count):
    async def scenario(world):
        for _ in range(count):
            await world.send(world.other, crash=False)

    context.world.run(scenario)


@then("the coordinator was asked {count:d} times")
def asked(context, count):
    found = context.world
    assert found.done == 5
    assert found.counts[BeginTrial, found.coordinator] == count, found.counts
