"""Steps for features that edit the table of real processes."""

import threading
import time

from behave import given, then, when

from tests.harness import Fleet, wait_until
from tests.harness.cell import open_fleet, running, stored_table, table_revision

#: Seconds within which an accepted edit is in force on each instance (design, G10).
IN_FORCE_S = 7.0
SAMPLE_S = 0.02
#: Samples of the watch that must be exceeded once each instance has the accepted table.
MIN_SAMPLES = 10
ROUNDS = 3
#: Store delay that makes two edits read the same version before either of them writes.
OVERLAP_MS = 100.0
#: Message delay, short enough for heartbeats to reach a quorum.
MESSAGE_DELAY_MS = 200.0


class RevisionWatch:
    """Sample readiness and table revision of each instance in a thread."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.accepted = 0
        self.older = []
        self.samples = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def has_sampled(self, count):
        """Return whether more than `count` samples were taken; fail if the thread has ended."""
        assert self.thread.is_alive(), f"the watch ended early, after {self.samples} samples"
        return self.samples > count

    def _run(self):
        while not self.stopping.wait(SAMPLE_S):
            for entry in running(self.fleet):
                self._sample(entry)

    def _sample(self, entry):
        accepted = self.accepted
        try:
            ready = entry.caller_client.ready()
            revision = table_revision(entry)
        except OSError:
            return
        self.samples += 1
        if ready and revision < accepted:
            self.older.append((entry.name, revision, accepted))


@given("a fleet with routes of its own for each of {count:d} instances")
def routed_fleet(context, count):
    _open_routed(context, count, ())


@given('a fleet with routes of its own for each of {count:d} instances, without "{name}"')
def routed_fleet_without(context, count, name):
    _open_routed(context, count, (name,))


def _open_routed(context, count, left_out):
    options = {"services": ("logging", "sample-booking"), "scale": 0.3}
    fleet = Fleet("norte", entries=count, own_routes=True, **options)
    names = tuple(name for name in fleet.entries if name not in left_out)
    open_fleet(context, fleet, names)
    context.queue = 16


def _set_queue(entry, service, value, before=None):
    body = {"value": value} if before is None else {"value": value, "before": before}
    return entry.admin_client.call("PUT", f"/v1/table/services/{service}/queue", body)


def _queues(entry):
    rows = entry.admin_client.call("GET", "/v1/table/services").json()["rows"]
    return {name: row["queue"] for name, row in rows.items()}


def _at_once(*edits):
    """Run edits in threads and return their replies."""
    replies = [None] * len(edits)

    def run(index):
        replies[index] = edits[index]()

    threads = [threading.Thread(target=run, args=(index,)) for index in range(len(edits))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


def _wait_in_force(context, queues):
    entries = running(context.fleet)
    wait_until(
        lambda: all(queues.items() <= _queues(entry).items() for entry in entries),
        f"{queues} in force on each instance",
    )


@when("two operators change different rows at the same moment")
def different_rows(context):
    one, other, _ = running(context.fleet)
    context.fleet.platform.set_store_faults(slow_ms=OVERLAP_MS)
    for number in range(1, ROUNDS + 1):
        context.wanted = {"logging": 20 + number, "sample-booking": 40 + number}
        context.replies = _at_once(
            lambda: _set_queue(one, "logging", context.wanted["logging"]),
            lambda: _set_queue(other, "sample-booking", context.wanted["sample-booking"]),
        )
        assert [reply.status for reply in context.replies] == [200, 200], context.replies


@then("both edits are accepted and in force on each instance")
def both_in_force(context):
    _wait_in_force(context, context.wanted)
    calls = context.fleet.platform.get("store/calls")
    lost = [call for call in calls if (call["key"], call["status"]) == ("table", 409)]
    assert lost, "no compare-and-swap failed, so the edits did not overlap"


@when("two operators change the same cell at the same moment")
def same_cell(context):
    one, other, _ = running(context.fleet)
    before = context.wanted["logging"]
    context.replies = _at_once(
        lambda: _set_queue(one, "logging", 61, before),
        lambda: _set_queue(other, "logging", 62, before),
    )
    context.fleet.platform.set_store_faults()


@then("one edit is accepted and the other operator is told what was written")
def one_edit_conflicts(context):
    by_status = {reply.status: reply for reply in context.replies}
    assert sorted(by_status) == [200, 409], context.replies
    written = 61 if context.replies[0].status == 200 else 62
    problem = by_status[409].json()
    assert problem["code"] == "edit_conflict", problem
    assert problem["outcome"] == "not_run", problem
    assert str(written) in problem["detail"], problem
    _wait_in_force(context, {"logging": written})


@when('all instances but "{name}" are cut from the store')
def cut_from_store(context, name):
    context.fleet.cut_store(*(one for one in context.fleet.entries if one != name))


@when('an operator changes a cell through "{name}"')
def edit_through(context, name):
    fleet = context.fleet
    context.version_before = fleet.platform.get("store")["version"]
    context.calls_before = len(fleet.platform.get("store/calls"))
    context.queue += 1
    reply = _set_queue(fleet.entries[name], "logging", context.queue)
    context.accepted_at = time.time()
    assert reply.status == 200, reply
    context.accepted = reply.json()["revision"]
    _wait_in_force(context, {"logging": context.queue})
    context.in_force_at = time.time()
    context.watch = RevisionWatch(fleet)
    context.watch.accepted = context.accepted
    context.add_cleanup(context.watch.stop)


@then("the edit is in force on each instance within 7 s")
def in_force_in_time(context):
    assert context.in_force_at - context.accepted_at <= IN_FORCE_S
    assert stored_table(context.fleet).services["logging"].queue == context.queue


@when('the store has the state before that edit and is reached by "{name}" only')
def restored_for_one(context, name):
    context.fleet.cut_store(*(one for one in context.fleet.entries if one != name))
    _roll_back(context)


@when("messages between the instances are late")
def late_messages(context):
    context.fleet.delay_peers(MESSAGE_DELAY_MS)


@when('instance "{name}" is started until it is ready')
def start_until_ready(context, name):
    context.fleet.start_entry(name)
    context.fleet.wait_ready(name)


@when("all routes work again")
def routes_work(context):
    context.fleet.heal_routes()


@then("no ready instance has ever had an older table than the accepted one")
def never_older(context):
    for entry in running(context.fleet):
        wait_until(lambda entry=entry: _has_accepted(context, entry), "the accepted table")
    # After a quick repair the watch has taken only a few samples so far.
    watch = context.watch
    before = watch.samples
    wait_until(
        lambda: watch.has_sampled(before + MIN_SAMPLES),
        f"more than {MIN_SAMPLES} samples by the watch after the first {before}",
    )
    watch.stop()
    assert watch.samples - before > MIN_SAMPLES, (before, watch.samples)
    assert not watch.older, watch.older[:5]


def _has_accepted(context, entry):
    return entry.caller_client.ready() and table_revision(entry) >= context.accepted


@when("the store goes down and returns with the state before that edit")
def roll_back(context):
    platform = context.fleet.platform
    platform.set_store_faults(down="refuse")
    _roll_back(context)
    platform.set_store_faults()


def _roll_back(context):
    changed = context.fleet.platform.post("store/rollback", version=context.version_before)
    assert "table" in changed, changed


@then("the store has the accepted table again")
def repaired(context):
    wait_until(
        lambda: stored_table(context.fleet).revision >= context.accepted,
        "the accepted table is in the store",
    )
    assert stored_table(context.fleet).services["logging"].queue == context.queue


@when("the store refuses all connections")
def refuse_all(context):
    context.fleet.platform.set_store_faults(down="refuse")


@when("the platform's list is down as well")
def list_down(context):
    context.fleet.platform.post("instances", down=True)


@when('instance "{name}" starts without any source of a table')
def start_without_table(context, name):
    context.started = context.fleet.start_entry(name)
    wait_until(
        lambda: context.started.process.log.read_text().count("documents.store_error") >= 2,
        "the instance has tried to read the table",
    )


@then("the instance without a table is not ready")
def not_ready(context):
    assert not context.started.caller_client.ready()
    reply = context.started.caller_client.query("logging")
    assert reply.status == 503 and reply.json()["outcome"] == "not_run", reply


@when("the platform's list returns")
def list_returns(context):
    context.fleet.platform.post("instances", down=False)


@then("the instance without a table becomes ready with the accepted table while the store is down")
def ready_by_peers(context):
    context.fleet.wait_ready(context.started.name)
    assert table_revision(context.started) >= context.accepted
    assert context.fleet.platform.get("store")["faults"]["down"] == "refuse"


@when("the store answers the next edit with {loss} after it took effect")
def lose_answer(context, loss):
    context.fleet.platform.set_store_faults(lose_answers=1, lose_by=loss, prefix="table")


@then("the edit was read back, is stored once and is in force on each instance")
def settled(context):
    calls = context.fleet.platform.get("store/calls")[context.calls_before :]
    own = [call for call in calls if call["key"] == "table" and call["kind"] != "watch"]
    lost = next(index for index, call in enumerate(own) if not call["status"])
    assert own[lost]["applied"] and any(one["kind"] == "read" for one in own[lost + 1 :]), own
    history = stored_table(context.fleet).history
    assert [entry.changes[0].after for entry in history] == [context.queue], history
    _wait_in_force(context, {"logging": context.queue})


@when('the store applies an edit through "{name}", answers nothing and goes down')
def applied_then_down(context, name):
    platform = context.fleet.platform
    # The other instances are cut from the store, so that only one can read the write before it
    # goes down.
    context.fleet.cut_store(*(one for one in context.fleet.entries if one != name))
    platform.set_store_faults(lose_answers=-1, prefix="table")
    before = platform.get("store")["keys"]["table"]
    context.queue += 1

    def edit():
        context.reply = _set_queue(context.fleet.entries[name], "logging", context.queue)

    thread = threading.Thread(target=edit)
    thread.start()
    wait_until(lambda: platform.get("store")["keys"]["table"] != before, "the write took effect")
    platform.set_store_faults(down="refuse")
    thread.join()


@then("the operator is told that the outcome is unknown")
def told_unknown(context):
    problem = context.reply.json()
    assert context.reply.status != 200, problem
    assert (problem["code"], problem["outcome"]) == ("outcome_unknown", "unknown"), problem


@when("the store returns with the edit")
def returns_with_edit(context):
    context.fleet.platform.set_store_faults()
    context.fleet.heal_routes()


@then("the edit is in force on each instance")
def in_force(context):
    _wait_in_force(context, {"logging": context.queue})
