"""Steps for searchers that leave while older state about them arrives."""

from behave import then, when

from rattanrelay.platform.documents import HEADERS
from rattanrelay.relay import DeploymentState, SearcherRecord
from tests.harness.relay_world import BOUNDS

READY = SearcherRecord("s1", "svc", "127.0.0.1", 1, "a", 2, False, 0.0, 1000)
OTHER = READY._replace(searcher="s2")


@when("a searcher {leaves}, and then {older} arrives")
def leaves_and_older(context, leaves, older):
    context.deployment = deployment = DeploymentState("entry-1", "a", HEADERS, BOUNDS)
    deployment.mark_store_available(0.0)
    deployment.apply_record(READY, 0.0)
    assert _used(deployment, 0.0)
    if leaves == "is listed as draining":
        deployment.apply_record(READY._replace(draining=True), 1.0)
    else:
        deployment.searchers["s1"].pacer.leaving = True
    if older.startswith("a list without it"):
        deployment.mark_missing("s1", 2.0)
        deployment.remove_expired(9.0)
        assert "s1" not in deployment.searchers
    if older.startswith("the former state"):
        deployment.apply_shared_records([OTHER], 2.0)
        deployment.apply_shared_records([READY, OTHER], 3.0)
    else:
        deployment.apply_record(READY, 10.0)


@then("it gets no requests, but gets them after its next start")
def stays_out(context):
    assert not _used(context.deployment, 10.0)
    context.deployment.apply_record(READY._replace(started=2000), 11.0)
    assert _used(context.deployment, 11.0)


def _used(deployment, now):
    return "s1" in deployment.searchers and deployment.searchers["s1"].usable(now)
