"""Steps for tasks of an instance that fail, and for odd entries of instances."""

from unittest import mock

import msgspec
from behave import then, when
from readers_steps import _known_after, _readers_after_settling, _write_changes
from relay_steps import send_requests

from rattanrelay.platform.feed import INSTANCE_PREFIX
from rattanrelay.relay.quarantine import Quarantine
from rattanrelay.relay.searchers import Searcher
from tests.harness.relay_world import run_on_mock_clock

OWNERS = {cls.__name__: cls for cls in (Quarantine, Searcher)}

#: Entries of instances that name no address: name, host, port, failure domain, cores.
ODD_INSTANCES = [
    ["odd-1", "::1%\0", 80, "a", 9.0],
    ["odd-2", "\u2028", 80, "b", 9.0],
    ["odd-3", "127.0.0.1", 70_000, "a", 9.0],
    ["odd-4", "127.0.0.1", -1, "b", 9.0],
    ["odd-5", "127.0.0.1", 10**30, "a", 9.0],
    ["odd-6", "localhost", 80, "b", 9.0],
    ["odd-7", "a" * 300, 80, "a", 9.0],
]


@when("{task} raises an unexpected error while a client asks {count:d} times")
def task_fails(context, task, count):
    owner, _, name = task.partition(".")

    async def fail(*args, **kwargs):
        raise ValueError("unexpected")

    fail.__qualname__ = task

    async def scenario():
        await send_requests(context, count)

    with mock.patch.object(OWNERS[owner], name, fail):
        run_on_mock_clock(scenario)


@then('the metrics of the instance count failures of "{task}"')
def failures_counted(context, task):
    (daemon,) = context.world.daemons.values()
    assert daemon.background.failed[task] > 0, daemon.background.failed


@when("odd entries appear among the instances, and then the configuration and a searcher change")
def odd_instances(context):
    async def scenario():
        async with context.world.open() as world:
            await _readers_after_settling(world)
            for entry in ODD_INSTANCES:
                world.store.write(INSTANCE_PREFIX + entry[0], msgspec.json.encode(entry))
            for at in list(world.daemons):
                await world.ask("one", at=at)
            await _write_changes(world)
            context.known_after = await _known_after(world)
            daemons = world.daemons.values()
            context.odd_peers = {
                name for daemon in daemons for name in daemon.peers.known if name.startswith("odd")
            }

    run_on_mock_clock(scenario)


@then("no instance has taken one of these entries for another instance")
def none_taken(context):
    assert not context.odd_peers, context.odd_peers
