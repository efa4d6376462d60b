"""Steps for tasks of an instance that fail."""

from unittest import mock

from behave import then, when
from relay_steps import send_requests

from rattanrelay.relay.quarantine import Quarantine
from rattanrelay.relay.searchers import Searcher
from tests.harness.relay_world import run_on_mock_clock

OWNERS = {cls.__name__: cls for cls in (Quarantine, Searcher)}


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
