"""Steps for watches of documents."""

import math

import trio
from behave import then, when
from trio.testing import MockClock

from rattanrelay.errors import RelayError
from rattanrelay.store import Entry, watch_while

ENTRY = Entry("table", b"new", 2)
ERROR = RelayError("store_unavailable", "no answer", step="store watch")


class WaitingStore:
    """A store whose watch ends with a result after some seconds; `open` counts open watches."""

    def __init__(self, ends_after, result):
        self.ends_after = ends_after
        self.result = result
        self.open = 0

    async def watch(self, key, after):
        self.open += 1
        try:
            await trio.sleep(self.ends_after)
        finally:
            self.open -= 1
        if isinstance(self.result, RelayError):
            raise self.result
        return self.result


def _watch(context, store, wanted_for):
    async def main():
        start = trio.current_time()

        def wanted():
            return trio.current_time() < start + wanted_for

        try:
            context.result = await watch_while(store, "table", 1, wanted)
        except RelayError as error:
            context.result = error
        context.seconds = trio.current_time() - start

    context.store = store
    trio.run(main, clock=MockClock(autojump_threshold=0))


@when("a watch that is wanted for {seconds:g} s waits for a value that does not change")
def unwanted(context, seconds):
    _watch(context, WaitingStore(25.0, None), seconds)


@when("a wanted watch waits for a store that {does} after {seconds:g} s")
def wanted(context, does, seconds):
    result = {"answers": ENTRY, "fails": ERROR}[does]
    _watch(context, WaitingStore(seconds, result), math.inf)


@then("it returns nothing after at most {seconds:g} s and no call is left open")
def ended_early(context, seconds):
    assert context.result is None, context.result
    assert context.seconds <= seconds, context.seconds
    assert context.store.open == 0


@then("it {ends} after {seconds:g} s and no call is left open")
def ended_with_call(context, ends, seconds):
    expected = {"returns the value": ENTRY, "raises store_unavailable": ERROR}[ends]
    assert context.result is expected, context.result
    assert context.seconds == seconds, context.seconds
    assert context.store.open == 0
