"""Steps for what responses state about requests that may have run."""

import trio
from behave import given, then, when

from rattanrelay.platform.documents import HEADERS
from tests.harness.relay_world import run_on_mock_clock
from tests.steps.relay_steps import one_service, runs_of, send_requests

RETRY_AFTER = "0.2"


@given("a service with 2 searchers that run each request and answer {status:d} {pause} Retry-After")
def failing_searchers(context, status, pause):
    one_service(context, 2)
    for searcher in context.searchers:
        fail(searcher, status, "" if pause == "without a" else RETRY_AFTER)


@given("a service whose first of 2 searchers runs each request and answers {status:d}")
def one_failing_searcher(context, status):
    one_service(context, 2)
    fail(context.searchers[0], status)


def fail(searcher, status, retry_after=""):
    searcher.mode = "fail"
    searcher.failure_status = status
    searcher.retry_after = retry_after


@when("a client asks once with an idempotent request")
def ask_idempotent(context):
    run_on_mock_clock(lambda: send_requests(context, 1, method="POST", body=b"x"))


@when("a client asks once, and again when they answer as usual")
def ask_again_later(context):
    async def scenario():
        async with context.world.open() as world:
            first = await world.ask("one")
            for searcher in context.searchers:
                searcher.mode = "good"
            context.replies = [first, await world.ask("one")]

    run_on_mock_clock(scenario)


@then("it gets status {first:d}, and then {second:d}")
def statuses_in_turn(context, first, second):
    assert [response.status for _, response in context.replies] == [first, second]


@then("it gets status {status:d} without a signature and the request ran once")
def unsigned_failure(context, status):
    own_failure(context, status)
    assert runs_of(context, context.replies[0][0]) == 1


@then("it gets status {status:d} without a signature and the request ran at both searchers")
def unsigned_failure_of_both(context, status):
    own_failure(context, status)
    assert all(context.replies[0][0] in searcher.ran for searcher in context.searchers)


def own_failure(context, status):
    ((request_id, response),) = context.replies
    assert response.status == status, response
    assert HEADERS.signature not in response.headers, response
    assert "retry-after" not in response.headers, response
    assert response.headers[HEADERS.request_id] == request_id


@then("it gets status {status:d} with the signature and the Retry-After of a searcher")
def relayed_failure(context, status):
    ((request_id, response),) = context.replies
    assert (response.status, response.body) == (status, b"broken"), response
    signatures = {searcher.signature(request_id) for searcher in context.searchers}
    assert response.headers[HEADERS.signature] in signatures
    assert response.headers["retry-after"] == RETRY_AFTER


@given("the searchers of {count:d} shards shed each request {pause} Retry-After")
def some_shards_shed(context, count, pause):
    for searcher in context.searchers:
        if searcher.service in context.set[:count]:
            searcher.mode = "shed"
            searcher.retry_after = "" if pause == "without a" else RETRY_AFTER


@given("all searchers sign their answers with nothing and shed later requests")
def blank_signatures(context):
    for searcher in context.searchers:
        searcher.mode = "blank"
        searcher.later_mode = "shed"


@then("it gets status {status:d} without a signature, and {count:d} shards ran the request")
def failed_gather(context, status, count):
    own_failure(context, status)
    request_id = context.replies[0][0]
    ran = {searcher.service for searcher in context.searchers if request_id in searcher.ran}
    assert len(ran) == count, ran


@when("the instance in a stops while it gathers")
def stop_while_gathering(context):
    async def scenario():
        async with context.world.open() as world, trio.open_nursery() as clients:
            clients.start_soon(ask, world)
            await trio.sleep(0.1)
            world.daemons["entry-1"].stop("test")

    async def ask(world):
        context.replies = [await world.ask("long", deadline_ms=20_000)]

    context.world.route("long", gather=context.set, top_k=20, timeout_ms=20_000)
    run_on_mock_clock(scenario)
