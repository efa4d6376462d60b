"""Steps for the number of calls to the store."""

import time
from collections import Counter

from behave import then, when

from tests.harness import wait_until
from tests.harness.cell import wait_owned
from tests.harness.client import http_call

INSTANCES = 3400
READS_PER_S = 2000.0
WRITES_PER_S = 300.0
WATCHERS = 2
#: Seconds in which retries reach their longest backoff after the store has changed its state.
SETTLE_S = 8.0
#: Seconds within which the store answers the watches that a write ends.
WATCH_END_S = 0.5
FAULTS = {
    "quiet": {},
    "refusing": {"down": "refuse"},
    "slow": {"slow_ms": 3000.0},
    "hanging": {"down": "hang"},
}


def _counts(context):
    """Return the calls by kind, and the connections to the store by instance and in total."""
    platform = context.fleet.platform
    counts = Counter(platform.get("store")["calls"]["counts"])
    routes = platform.get("proxies")
    for name in context.fleet.entries:
        counts[f"store-{name}"] = routes[f"store-{name}"]["connections"]
        counts["connections"] += counts[f"store-{name}"]
    return counts


@when("the store is {state} for {seconds:g} s of its own clock")
def observe(context, state, seconds):
    context.fleet.platform.set_store_faults(**FAULTS[state])
    context.state = state
    _pass_time(SETTLE_S if FAULTS[state] else 1.0)
    count_calls(context, seconds)


@when("{seconds:g} s of the store's own clock pass")
def count_calls(context, seconds):
    before = _counts(context)
    context.seconds = _pass_time(seconds)
    context.calls = _counts(context) - before


def _pass_time(seconds):
    """Wait for some seconds and return the elapsed time in seconds."""
    start = time.monotonic()
    wait_until(lambda: time.monotonic() >= start + seconds, f"{seconds} s")
    return time.monotonic() - start


@then("the calls of each instance, times 3400, stay within the store's rates")
def within_rates(context):
    calls = context.calls
    made = sum(calls[kind] for kind in ("read", "list", "watch", "write", "lease"))
    # A store that refuses connections counts no calls, so each connection counts as a call. An
    # instance whose call timed out opens a new connection for the next one.
    attempts = made if context.state == "quiet" else max(made, calls["connections"])
    rate = attempts / context.seconds / len(context.fleet.entries) * INSTANCES
    print(f"{context.state}: {dict(calls)} in {context.seconds:.1f} s, {rate:.0f} calls/s")
    assert rate <= READS_PER_S, (rate, calls)


@then("the store is not written to, and each document has at most 2 watchers")
def no_writes(context):
    assert context.calls["write"] == context.calls["lease"] == 0, context.calls
    context.fleet.platform.set_store_faults()
    wait_until(lambda: _watchers(context, "table"), "the table is watched")
    for name in context.fleet.platform.get("store")["keys"]:
        count = _watchers(context, name)
        assert count <= WATCHERS, (name, count)


def _watchers(context, name):
    """Write the stored value again and return how many watches the write ended."""
    fleet = context.fleet
    value = http_call(fleet.hosts["store"], "GET", f"/v1/kv/{name.replace('/', '%2F')}").body
    version = fleet.platform.post("store/write", values={name: value.decode()})[name]
    time.sleep(WATCH_END_S)
    calls = fleet.platform.get("store/calls")
    return sum((one["kind"], one["version"]) == ("watch", version) for one in calls)


@when("all instances are killed and started again")
def restart_all(context):
    fleet = context.fleet
    for entry in fleet.entries.values():
        entry.process.kill()
    before = _counts(context)
    fleet.start_entries()
    wait_owned(fleet)
    context.calls = _counts(context) - before


@when("all instances are killed and started again while the store is {state}")
def restart_without_store(context, state):
    fleet = context.fleet
    for entry in fleet.entries.values():
        entry.process.kill()
    fleet.platform.set_store_faults(**FAULTS[state])
    context.state = state
    for entry in fleet.entries.values():
        fleet.start_entry(entry.name)
    for entry in fleet.entries.values():
        wait_until(lambda entry=entry: _listens(entry), f"{entry.name} listens")
    _pass_time(SETTLE_S)


def _listens(entry):
    return http_call(entry.callers, "GET", "/healthz").status == 200


@then("each instance has called the store and becomes ready once it answers")
def called_and_ready(context):
    fleet = context.fleet
    assert all(context.calls[f"store-{name}"] > 0 for name in fleet.entries), context.calls
    assert not any(entry.caller_client.ready() for entry in fleet.entries.values())
    fleet.platform.set_store_faults()
    for name in fleet.entries:
        fleet.wait_ready(name)
    wait_owned(fleet)


@then("each instance took at most {reads:d} reads and {writes:d} writes")
def restart_calls(context, reads, writes):
    calls, count = context.calls, len(context.fleet.entries)
    print(f"restart: {dict(calls)}")
    assert calls["read"] + calls["list"] <= reads * count, calls
    assert 0 < calls["write"] <= writes * count, calls
