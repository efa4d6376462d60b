"""Steps for the pure decisions of the owner side."""

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.charts.interpreter import Chart, load_chart, missing_transitions
from rattanrelay.decide.canary import BLOCK_S, Canary
from rattanrelay.decide.fairqueue import Entry, FairQueue
from rattanrelay.decide.limits import apportion, effective_limits, transition_limits
from rattanrelay.decide.ramp import RUN_LENGTH, Ramp
from rattanrelay.decide.slots import Slots
from rattanrelay.table import DomainRow, ServerRow, ServiceRow, Table, server_of

MARGIN = 0.25
STATES = st.sampled_from(["in", "in", "in", "out"])
DOMAINS = st.sampled_from("ab")


@st.composite
def edited_tables(draw):
    """A table whose rows bind, and the same table after edits of weights, states and limits."""
    cap, weight, count = st.integers(0, 8), st.integers(0, 4), st.integers(0, 4)
    rows = {}
    for number in range(draw(st.integers(2, 6))):
        name, service, domain = f"s{number}", draw(st.sampled_from("lm")), draw(DOMAINS)
        rows[name] = ServerRow(name, service, domain, "h:1 h:2", draw(count), 10 * draw(count))
    tables = []
    for revision in (1, 2):
        domains = {name: DomainRow(name, draw(cap), draw(weight), draw(STATES)) for name in "ab"}
        services = {name: ServiceRow(name, max_in_flight=draw(cap)) for name in "lm"}
        servers = {
            name: row._replace(weight=draw(weight), state=draw(STATES))
            for name, row in rows.items()
        }
        tables.append(Table(revision, services, domains, servers))
    if draw(st.booleans()):
        del tables[1].servers["s0"]
    return tables


def group_sums(table, slots):
    """Return the slots by row name of domains and services."""
    sums = {}
    for searcher, count in slots.items():
        row = table.servers[server_of(searcher)]
        for name in (row.failure_domain, row.service):
            sums[name] = sums.get(name, 0) + count
    return sums


def caps_of(table):
    return {name: row.max_in_flight for name, row in {**table.domains, **table.services}.items()}


@then("no limit of any random table exceeds its rows")
def limits_hold(context):
    @for_all(edited_tables())
    def check(edited):
        table = edited[1]
        limits = effective_limits(table)
        caps = caps_of(table)
        sums = group_sums(table, {name: limit.slots for name, limit in limits.items()})
        assert all(total <= caps[name] for name, total in sums.items())
        for name, limit in limits.items():
            row = table.servers[server_of(name)]
            states = table.domains[row.failure_domain].state, table.services[row.service].state
            assert 0 <= limit.slots <= row.slots
            assert limit.connections <= max(1, row.connections // 4)
            assert (limit.connections > 0) == (limit.slots > 0)
            if "out" in (row.state, *states):
                assert limit.slots == 0
        mirrored = table._replace(servers=dict(reversed(table.servers.items())))
        assert effective_limits(mirrored) == limits, "the order of the rows matters"

    check()


@then("random shares are whole, within their caps and use up the total")
def shares_exact(context):
    claim = st.tuples(st.integers(0, 5), st.integers(0, 9))

    @for_all(st.integers(0, 60), st.lists(claim, max_size=10))
    def check(total, claims):
        named = [(f"n{number}", *claim) for number, claim in enumerate(claims)]
        shares = apportion(total, named)
        usable = sum(cap for _, weight, cap in named if weight > 0)
        assert sum(shares.values()) == min(total, usable)
        for name, weight, cap in named:
            assert 0 <= shares[name] <= (cap if weight > 0 else 0)
        open_names = [(name, weight) for name, weight, cap in named if 0 < shares[name] < cap]
        for one, heavy in open_names:
            for other, light in open_names:
                assert heavy < light or shares[one] >= shares[other] - 1

    check()


@then("instances with any mix of a table and its successor keep the sums within the larger rows")
def transition_holds(context):
    @settings(max_examples=500)
    @for_all(edited_tables())
    def check(edited):
        old, new = edited
        target = effective_limits(new)
        transition = transition_limits([old], new)
        assert all(limit.slots <= target[name].slots for name, limit in transition.items())
        highest = {name: limit.slots for name, limit in effective_limits(old).items()}
        for name, limit in transition.items():
            highest[name] = max(limit.slots, highest[name])
        caps, old_caps = caps_of(new), caps_of(old)
        for group, total in group_sums(old, highest).items():
            assert total <= max(caps[group], old_caps[group]), (group, highest)

    check()


@then("random work, answers, cancellations and losses never put more work on a server than slots")
def slots_hold(context):
    actions = st.sampled_from(["take", "answer", "lose", "cancel", "confirm", "wait"])

    @for_all(st.lists(st.tuples(actions, st.integers(0, 7)), max_size=60), st.integers(0, 4))
    def check(steps, limit):
        slots, running, now, number = Slots(), {}, 0.0, 0
        for action, pick in steps:
            work = sorted(running)[pick % len(running)] if running else None
            if action == "take":
                number += 1
                deadline = now + pick / 2
                if slots.reserve(f"r{number}", deadline + MARGIN, limit):
                    running[f"r{number}"] = deadline
            elif action == "wait":
                now += pick / 3
                running = {name: end for name, end in running.items() if end > now}
                slots.expire(now)
            elif work and action in ("answer", "confirm"):
                del running[work]
                assert slots.free(work) and not slots.free(work)
            elif work and action == "lose":
                del running[work]
            elif work and action == "cancel":
                assert slots.cancel(work) or work in slots.cancelled
            assert len(running) <= limit
            assert running.keys() <= slots.held.keys()
            assert slots.next_expiry() > now

    check()


@then("random pushes, pops and cancellations keep the queue bounded and lose no entry")
def queue_holds(context):
    step = st.tuples(
        st.sampled_from(["push", "push", "pop", "cancel", "wait"]),
        st.sampled_from(["x", "y", "z"]),
        st.integers(0, 9),
    )

    @for_all(st.lists(step, max_size=60), st.integers(0, 5))
    def check(steps, capacity):
        queue, now, queued, last = FairQueue(capacity), 0.0, {}, {}
        for number, (action, tenant, value) in enumerate(steps):
            if action == "push":
                entry = Entry(number, tenant, now + value)
                pushed = queue.push(entry, 1.0 + "xyz".index(tenant))
                if pushed.accepted:
                    queued[number] = entry
                if pushed.evicted:
                    assert pushed.accepted and pushed.evicted.tenant != tenant
                    assert queued.pop(pushed.evicted.key) == pushed.evicted
            elif action == "pop":
                popped = queue.pop(now)
                for late in popped.late:
                    assert queued.pop(late.key).deadline <= now
                if popped.entry:
                    assert queued.pop(popped.entry.key).deadline > now
                    assert popped.entry.key > last.get(popped.entry.tenant, -1)
                    last[popped.entry.tenant] = popped.entry.key
                else:
                    assert not queued
            elif action == "cancel" and queued:
                key = sorted(queued)[value % len(queued)]
                assert queue.cancel(key) == queued.pop(key)
                assert queue.cancel(key) is None
            else:
                now += value
            assert len(queue) == len(queued) <= capacity
        assert {entry.key for entry in queue.drain()} == queued.keys()

    check()


@then("a tenant of weight {weight:d} gets {low:d} to {high:d} of {count:d} turns of a full queue")
def fair_turns(context, weight, low, high, count):
    queue, served = FairQueue(16), 0
    for number in range(count):
        for copy in range(20 if not number else 8):
            queue.push(Entry(("flood", number, copy), "flood", 1e9), 1)
        for copy in range(8):
            queue.push(Entry(("other", number, copy), "other", 1e9), weight)
        served += queue.pop(0.0).entry.tenant == "other"
    assert low <= served <= high, served


@then("a random ramp stays within its bounds and grows only after fast answers")
def ramp_holds(context):
    event = st.sampled_from(["fast", "fast", "fast", "middle", "slow", "shed", "restart"])

    @for_all(st.lists(event, max_size=120), st.integers(1, 9), st.integers(0, 3))
    def check(events, limit, cold):
        ramp, fast, floor = Ramp(cold), 0, min(limit, max(cold, 1))
        for name in events:
            before = ramp.allowance(limit)
            if name == "restart":
                ramp.restart(cold)
                assert ramp.allowance(limit) == floor
            elif name == "shed":
                assert ramp.on_shed(limit, cold) == (ramp.allowance(limit) < before)
                assert ramp.allowance(limit) == max(before // 2, floor)
            else:
                latency = {"fast": 2.0, "middle": 3.0, "slow": 5.0}[name]
                ramp.record_answer(latency, 1.0, limit)
            fast = fast + 1 if name == "fast" else 0
            now = ramp.allowance(limit)
            assert floor <= now <= limit
            assert now <= before + 1
            if now > before:
                assert fast >= RUN_LENGTH
                fast = 0

    check()


@then("the {count:d}th slow answer from a warm searcher shows that it is cold")
def slow_answers(context, count):
    ramp = Ramp(1)
    ramp.allowed = None
    changes = [ramp.record_answer(5.0, 1.0, 2) for _ in range(count)]
    assert changes == ["none"] * (count - 1) + ["slow"], changes


@then("a request that crashes each server crashes 2 in each block period at one owner")
def two_crashes(context):
    @for_all(st.lists(st.floats(0.1, 200.0), min_size=5, max_size=60))
    def check(waits):
        canary, now, crashes = Canary(), 0.0, []
        for number, wait in enumerate(waits):
            now += wait
            second = canary.is_suspect("f", now)
            verdict = canary.begin("f", now, second=second)
            if verdict == "trial":
                assert canary.begin("f", now, second=True) == "wait", "two trials at once"
                canary.lost("f", f"l{number}", now)
                crashes.append(now)
            else:
                assert verdict == "blocked"
            assert sum(now - crash < BLOCK_S for crash in crashes) <= 2

    check()


@then("instances that exchange losses in any order agree on what is blocked")
def merge_agrees(context):
    losses = st.lists(st.tuples(st.integers(0, 2), st.sampled_from("fgh")), max_size=8)
    pairs = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=12)

    @for_all(losses, pairs)
    def check(lost, exchanges):
        nodes = [Canary() for _ in range(3)]
        for number, (node, name) in enumerate(lost):
            nodes[node].lost(name, f"l{number}", 0.0)
        rounds = [(one, other) for one in range(3) for other in range(3)] * 2
        for sender, receiver in exchanges + rounds:
            nodes[receiver].merge(nodes[sender].entries_to_share(1.0), 1.0)
        for name in "fgh":
            count = sum(one == name for _, one in lost)
            for node in nodes:
                assert node.is_blocked(name, 2.0) == (count >= 2)
                assert node.is_suspect(name, 2.0) == (count == 1)
                assert not node.is_blocked(name, BLOCK_S + 10)

    check()


@then("a fingerprint that succeeded runs without a trial until a peer shares a block of it")
def proven_until_blocked(context):
    canary, peer = Canary(), Canary()
    assert canary.begin("f", 0.0) == "trial"
    canary.succeeded("f", 0.0)
    assert canary.begin("f", 1.0) == "proven"
    for number in range(2):
        peer.lost("f", f"p{number}", 1.0)
    canary.merge(peer.entries_to_share(1.0), 1.0)
    assert canary.begin("f", 2.0) == "blocked"


@then("chart {name} answers each event in each state")
def chart_complete(context, name):
    chart = load_chart(name)
    assert missing_transitions(chart) == ()
    context.states = {state for state in chart.states if not chart.children_for(state)}
    context.reached = set()


@when('a {name} chart gets "{events}" it is in state "{state}"')
def chart_run(context, name, events, state):
    chart = Chart(name, "test")
    for event in filter(None, events.split()):
        chart.send(event)
    assert chart.state == state, chart.state
    context.reached.add(state)


@then("each state was reached")
def all_reached(context):
    assert context.reached == context.states, context.states - context.reached


@then("a chart refuses an event that it does not know")
def unknown_event(context):
    try:
        Chart("backend_server", "test").send("explode")
    except ValueError:
        return
    raise AssertionError("the event was accepted")
