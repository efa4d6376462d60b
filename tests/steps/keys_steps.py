"""Steps for callers that are known by their keys."""

from functools import partial

import trio
from behave import given, then, when
from relay_steps import build, one_service

from rattanrelay.decide.access import RevocationBound
from rattanrelay.emulator.faultproxy import ProxyFaults
from rattanrelay.platform.documents import HEADERS
from tests.harness.relay_world import BOUNDS, StandInSearcher, run_on_mock_clock

KEY, NEW_KEY = "5yu2bsp73yswk9dwif38", "82p5wbr9bc582dm2buc7"
WORKSPACE = "crew"
#: Time in seconds in which requests may not run any more after the removal of their key.
REVOKED_S = 5.0
#: Time between two requests of each caller, and duration of the trouble, in seconds.
ASK_GAP_S = 0.1
TROUBLE_S = 9.0
SETTLE_S = 3.0
#: Length of the time in which an instance has no proof, in seconds.
UNPROVEN_S = 9.0

KEYS = {
    "no key": {},
    "a good key": {HEADERS.api_key: KEY},
    "an unknown key": {HEADERS.api_key: "unknown"},
    "two good keys": {HEADERS.api_key: f"{KEY}, {KEY}"},
    "a good key in upper case": {HEADERS.api_key: KEY.upper()},
    "the name of a workspace": {HEADERS.api_key: WORKSPACE},
}


def tenants(*keys):
    """Return the workspaces of a configuration, of which one holds some keys."""
    return [{"name": WORKSPACE, "api_keys": list(keys)}, {"name": "other", "api_keys": ["other"]}]


@given("a service whose callers need keys")
def keyed_service(context):
    one_service(context, 2)
    context.world.route("open", service="svc", public=True)
    context.world.tenants = tenants(KEY)


@given("a service whose callers need no keys")
def plain_service(context):
    one_service(context, 2)


@given("a service of {count:d} shards whose callers need keys")
def keyed_shards(context, count):
    services = [f"shard-{number}" for number in range(count)]
    build(context, [StandInSearcher(f"{name}-0", name, "a") for name in services])
    context.world.route("one", gather=services, top_k=5, min_shard_ratio=1.0)
    context.world.tenants = tenants(KEY)


def ask(context, route="one", **headers):
    async def scenario():
        async with context.world.open() as world:
            _, context.response = await world.ask(route, **headers)

    run_on_mock_clock(scenario)


@when("a client asks with a good key and names another workspace")
def ask_as_other(context):
    ask(context, headers={HEADERS.api_key: KEY, HEADERS.workspace: "other"})


@when("a client asks with {key}")
def ask_with(context, key):
    ask(context, headers=KEYS[key])


@when("a client asks on a public route with {key}")
def ask_public(context, key):
    ask(context, "open", headers=KEYS[key])


@then("it gets status {status:d}")
def gets_status(context, status):
    assert context.response.status == status, context.response


def passed_on(context):
    """Return the headers of all requests that searchers got."""
    return [request.headers for one in context.searchers for request in one.requests]


@then("the searcher got the workspace of the key, and no key")
def got_workspace(context):
    got = passed_on(context)
    assert got and all(one.get(HEADERS.workspace) == WORKSPACE for one in got), got
    assert not any(HEADERS.api_key in one or KEY in one.values() for one in got), got


@then("the searcher got no key, and {workspace}")
def got_no_key(context, workspace):
    got = passed_on(context)
    expected = WORKSPACE if workspace == "the workspace of the key" else None
    assert got and all(one.get(HEADERS.workspace) == expected for one in got), got
    assert not any(HEADERS.api_key in one for one in got), got


@then("the searcher got both headers as the client sent them")
def got_both(context):
    (got,) = passed_on(context)
    assert (got[HEADERS.api_key], got[HEADERS.workspace]) == (KEY, "other"), got


@then("no searcher got a request")
def got_nothing(context):
    assert not passed_on(context), passed_on(context)


@when("a version replaces the key")
def replace_key(context):
    async def scenario():
        async with context.world.open() as world:
            world.tenants = tenants(NEW_KEY)
            world.configure()
            await trio.sleep(1.0)
            _, context.old = await world.ask("one", headers={HEADERS.api_key: KEY})
            _, context.new = await world.ask("one", headers={HEADERS.api_key: NEW_KEY})

    run_on_mock_clock(scenario)


@then("the old key gets status 401 and the new one 200 within 1 s")
def key_replaced(context):
    assert (context.old.status, context.new.status) == (401, 200), (context.old, context.new)


@given("3 instances of a service with strict revocation within 5 s")
def strict_fleet(context):
    searchers = [StandInSearcher(f"s{number}", "svc", "a") for number in range(2)]
    instances = [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")]
    build(context, searchers, instances=instances)
    context.world.route("one", service="svc")
    context.world.tenants = tenants(KEY)
    context.world.bounds = BOUNDS._replace(revocation=RevocationBound(REVOKED_S, True))
    context.world.proxied = True
    #: Instance, time of sending and status of each request.
    context.asked = []


async def ask_each(context, world, seconds):
    """Send requests to each instance for some seconds, and record what happened to them."""
    end = trio.current_time() + seconds

    async def ask_one(name):
        sent = trio.current_time()
        request_id, response = await world.ask(
            "one", at=name, headers={HEADERS.api_key: KEY}, deadline_ms=400
        )
        ran = any(request_id in searcher.ran for searcher in context.searchers)
        context.asked.append((name, sent, response.status, ran))

    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            for name in world.daemons:
                nursery.start_soon(ask_one, name)
            await trio.sleep(ASK_GAP_S)


def isolate(world):
    """Cut the links between instances, and the third one off the store."""
    for name, route in world.proxies.items():
        if name.startswith("instance/"):
            route.set_faults(ProxyFaults(refuse=True))
            route.cut()
    world.store.set_mode("refuse", "entry-3")


TROUBLES = {
    "the store refuses one instance and the others are reached": lambda world: (
        world.store.set_mode("refuse", "entry-3")
    ),
    "the store refuses all instances": lambda world: world.store.set_mode("refuse"),
    "one instance reaches neither the store nor the others": isolate,
}


def hold_up(world):
    """Cut the links between instances, and hold up what the store sends to the third one."""
    isolate(world)
    world.store.set_mode("up", "entry-3")
    world.proxies["store/entry-3"].set_faults(ProxyFaults(black_hole="to_client"))


TROUBLES["the answers of the store to one instance are held up"] = hold_up


async def release_held(world, after):
    await trio.sleep(after)
    world.proxies["store/entry-3"].set_faults(ProxyFaults())


@when("the key is removed while {trouble}")
def remove_key(context, trouble):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            TROUBLES[trouble](world)
            # The answer that was held up is delivered late, as it was sent before the removal.
            world._nursery.start_soon(release_held, world, TROUBLE_S / 2)
            await trio.sleep(0.2)
            world.tenants = tenants(NEW_KEY)
            world.configure()
            context.removed_at = trio.current_time()
            await ask_each(context, world, TROUBLE_S)

    run_on_mock_clock(scenario)


@then("no request that was sent later than 5 s after the removal runs")
def none_ran(context):
    late = context.removed_at + REVOKED_S
    ran = [one for one in context.asked if one[3] and one[1] > late]
    assert not ran, ran
    # The instances that learn of the removal at once would make this pass without any strictness.
    assert any(one[3] for one in context.asked), "no request has run at all"


@then("no instance answers 401 to a key that it cannot check")
def unchecked(context):
    # All instances but the isolated one may have learned of the removal.
    statuses = {status for name, _, status, _ in context.asked if name == "entry-3"}
    assert statuses <= {200, 401, 503}, statuses


@when("the store refuses one instance for {seconds:d} s")
def refuse_one(context, seconds):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            world.store.set_mode("refuse", "entry-3")
            await ask_each(context, world, seconds)

    run_on_mock_clock(scenario)


@then("all requests with the good key are answered")
def all_answered(context):
    other = [one for one in context.asked if one[2] != 200]
    assert context.asked and not other, other[:5]


@when("one instance reaches neither the store nor the others for {seconds:d} s")
def isolate_for(context, seconds):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            context.cut_at = trio.current_time()
            isolate(world)
            world._nursery.start_soon(partial(heal_later, world, seconds))
            await ask_each(context, world, seconds + 6.0)

    run_on_mock_clock(scenario)


async def heal_later(world, seconds):
    await trio.sleep(seconds)
    for route in world.proxies.values():
        route.set_faults(ProxyFaults())
    world.store.set_mode("up", "entry-3")


def statuses_of_third(context, start, end):
    return {
        status
        for name, sent, status, _ in context.asked
        if name == "entry-3" and start <= sent - context.cut_at < end
    }


@then("its requests are refused with 503 from 4.5 s on")
def refused_unproven(context):
    refused = statuses_of_third(context, 4.5, UNPROVEN_S)
    assert refused == {503}, refused
    assert not any(one[3] for one in context.asked if one[2] == 503), "a refused request has run"


@then("they are answered again within 4 s after that")
def answered_again(context):
    answered = statuses_of_third(context, UNPROVEN_S + 4.0, UNPROVEN_S + 6.0)
    assert answered == {200}, answered
