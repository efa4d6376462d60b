"""Steps for features with real processes."""

import time

from behave import given, then, when

from rattanrelay.emulator.corpus import expected_answer
from tests.harness import ActionKey, Fleet, wait_until
from tests.harness.cell import dispatching, open_fleet, wait_owned
from tests.harness.traffic import Traffic

#: Seconds of traffic before and after a fault; no bound depends on it.
SETTLE_S = 1.5
OUTAGE_S = 4.0


@given('a fleet of "{deployment}" with {count:d} instances and all services')
def fleet_with_all_services(context, deployment, count):
    open_fleet(context, Fleet(deployment, entries=count, backend_processes=2))


@given('a fleet of "{deployment}" with {count:d} instances and services "{names}"')
def fleet_with_services(context, deployment, count, names):
    services = tuple(name.strip() for name in names.split(","))
    options = {"services": services, "scale": 0.5, "proxied_store": True}
    open_fleet(context, Fleet(deployment, entries=count, backend_processes=2, **options))


@given("callers that send queries and resend reservations through all instances")
def callers(context):
    context.traffic = Traffic(
        context.fleet,
        query_services=("logging",),
        action_services=("sample-booking",),
    )
    context.traffic.__enter__()
    context.add_cleanup(context.traffic.stop)
    time.sleep(SETTLE_S)


@when("each service is queried through each instance and through the balancer")
def query_everything(context):
    clients = [entry.caller_client for entry in context.fleet.entries.values()]
    context.answers = []
    for service in context.fleet.deployment.catalogs:
        for client in [*clients, context.fleet.balancer]:
            # The first queries reach cold servers and may exceed the soft deadline.
            query = {"filter": {"term": client.address}, "limit": 5}
            reply = wait_until(
                lambda client=client, service=service, query=query: _complete(
                    client, service, query
                ),
                f"{service} answers completely",
            )
            context.answers.append((service, query, reply))


def _complete(client, service, query):
    reply = client.query(service, query["filter"], query["limit"], timeout_ms=5000)
    answer = reply.json()
    if reply.status != 200 or answer["coverage"]["missing"]:
        return None
    return answer


@then("each answer is complete and equals the merged results of all shards")
def answers_equal(context):
    assert context.answers
    for service, query, answer in context.answers:
        shards = context.fleet.deployment.shards(service)
        wanted = expected_answer(shards, answer["snapshot"], query)
        assert answer["coverage"] == {
            "shards": len(shards),
            "answered": len(shards),
            "missing": [],
        }
        assert answer["hits"] == wanted["hits"], service
        assert answer["count"] == wanted["count"], service


@then("no searcher recorded more work or connections than its row allows")
def no_violations(context):
    assert not context.fleet.violations(), context.fleet.violations()[:3]


@when('instance "{name}" is killed')
def kill(context, name):
    context.fleet.entries[name].process.kill()


@when('instance "{name}" is started again')
def restart(context, name):
    context.fleet.start_entry(name)
    context.fleet.wait_ready(name)


@when('instance "{name}" is frozen until the others have taken over, then resumed')
def freeze(context, name):
    process = context.fleet.entries[name].process
    process.pause()
    others = [one for one in context.fleet.entries.values() if one.name != name]
    servers = set(context.fleet.deployment.table.servers)

    def taken_over():
        held = [dispatching(entry) for entry in others]
        return set().union(*held) == servers

    wait_until(taken_over, "the others own all servers")
    process.resume()
    time.sleep(SETTLE_S)


@when("the store goes down")
def store_down(context):
    context.fleet.platform.set_store_faults(down="refuse")


@when("the store returns")
def store_returns(context):
    context.fleet.platform.set_store_faults()


@when("the store applies writes without answering them for a while")
def silent_writes(context):
    context.fleet.platform.set_store_faults(lose_answers=-1)
    time.sleep(OUTAGE_S)
    context.fleet.platform.set_store_faults()


@then("each backend server gets an owner that may dispatch")
def owned(context):
    wait_owned(context.fleet)


@then("queries through the other instances still get answers")
def answers_continue(context):
    start = time.time()
    wait_until(
        lambda: sum(one.status == 200 for one in context.traffic.since(start, "query")) >= 50,
        "50 answers while the store is down",
    )


@then("a new reservation is refused as not run")
def refused(context):
    client = next(
        entry.caller_client for entry in context.fleet.entries.values() if entry.process.running
    )
    key = ActionKey.new()
    reply = client.act("sample-booking", key, {"reserve": key}, key)
    answer = reply.json()
    assert (answer["outcome"], reply.status) == ("not_run", 503), answer


@then("every answer was correct, no key ran twice and no limit was exceeded")
def all_correct(context):
    context.traffic.stop()
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]
    assert not context.traffic.untrue_actions(), context.traffic.untrue_actions()[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]
    outcomes = [one.answer.get("outcome") for one in context.traffic.since(0, "action")]
    assert outcomes.count("done") > 10, len(outcomes)


@then("no request was cut off and every answer was correct")
def no_request_cut_off(context):
    context.traffic.stop()
    broken = [one for one in context.traffic.since(0) if not one.status]
    assert not broken, broken[:3]
