"""Steps for simulated cells: `Membership` objects, a store and faults in simulated time."""

import heapq
import itertools
import random

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.lease import MAX_SUBREQUEST_S, RestoreGuard, decode_view, encode_view
from rattanrelay.decide.membership import (
    FetchView,
    Membership,
    ProposeView,
    ReadStore,
    SendHeartbeat,
)
from rattanrelay.decide.ownership import Member
from rattanrelay.decide.piggyback import initiates
from rattanrelay.decide.succession import Weights, with_stopped

SERVERS = [f"server-{number}" for number in range(6)]
TICK_S = 0.1
STORE_TIMEOUT_S = 1.0
MAX_CLOCK_DRIFT = 0.03
SETTLE_S = 90.0
MAX_TABLE_DELAY_S = 4.0


class Process:
    """One incarnation of an instance, with its own clock offset and rate."""

    def __init__(self, world, name, number, address):
        self.world = world
        self.member = Member(name, f"i{number}", address, f"domain-{number % 3}")
        self.offset = world.chance.uniform(0, 1000)
        self.rate = 1 + world.chance.choice((-1, 0, 1)) * MAX_CLOCK_DRIFT
        self.core = Membership(self.member, "main", self.clock())
        self.alive = True
        self.frozen = False
        self.inbox = []
        #: Start and end of the last work at each server, in true time.
        self.work = {}
        self.store_busy_until = 0.0
        self.restore_guard = RestoreGuard()
        world.at(world.chance.uniform(0, MAX_TABLE_DELAY_S), self.get_table)

    def get_table(self):
        """Use the newest table; called at random times, so that tables differ for a moment."""
        if self.frozen:
            self.inbox.append((Process.get_table, ()))
        elif self.alive:
            self.core.use_weights(self.world.weights)

    def clock(self):
        return self.offset + self.rate * self.world.now

    @property
    def deadline(self):
        """Latest end of a sub-request that is sent now."""
        return self.world.now + MAX_SUBREQUEST_S / self.rate

    def holding(self):
        return [server for server, (_, end) in self.work.items() if end > self.world.now]

    def may_dispatch(self, server):
        return self.core.may_dispatch(server, self.clock())

    def dispatch(self):
        """Start work at each server where that is permitted; most of it is short."""
        now = self.clock()
        if not self.core.lease.holds(now):
            return
        for server in SERVERS:
            if self.core.may_dispatch(server, now):
                chance = self.world.chance
                share = 1.0 if chance.random() < 0.05 else chance.uniform(0.01, 0.15)
                self.begin(server, self.world.now + share * (self.deadline - self.world.now))

    def begin(self, server, end):
        old = self.work.get(server, (0.0, 0.0))
        self.work[server] = (self.world.now, max(end, old[1]))
        self.world.check(self, server)

    def suspend(self):
        """Stop observing this process: assume the longest work that it may have in flight.

        A check just before may have permitted one more sub-request, and none is known to end early.
        """
        for server in SERVERS:
            if self.may_dispatch(server):
                self.begin(server, self.deadline)
            elif server in self.work and self.work[server][1] > self.world.now:
                start, _ = self.work[server]
                self.work[server] = (start, start + MAX_SUBREQUEST_S / self.rate)


class World:
    """Processes, network and store; events run in the order of true time."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        self.processes = []
        self.stored = (0, None)
        #: All values that the store has held.
        self.values = []
        self.store_down = False
        self.store_answers = 1.0
        #: Addresses of the processes that cannot reach the store.
        self.store_cuts = set()
        self.cuts = set()
        self.loss = 0.0
        self.max_delay = 0.01
        self.checks = 0
        #: Weights in the newest table.
        self.weights = Weights()

    # Time.

    def at(self, delay, action, *args):
        heapq.heappush(self.events, (self.now + delay, next(self.order), action, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = end

    def delay(self):
        return self.chance.uniform(0.001, self.max_delay)

    # Processes.

    def live(self):
        return [process for process in self.processes if process.alive]

    def start(self, name, address=None):
        number = next(self.numbers)
        process = Process(self, name, number, address or f"10.0.0.{number}:1")
        self.processes.append(process)
        self.tick(process)
        return process

    def tick(self, process):
        if not process.alive:
            return
        self.at(TICK_S / process.rate, self.tick, process)
        if not process.frozen:
            if not process.core.is_member:
                process.core.list_instances(other.member.address for other in self.live())
            self.carry_out(process, process.core.tick(process.clock()))
            self.watch(process)
            process.dispatch()

    def watch(self, process):
        """Check the store about once a second if this process is one of the two watchers."""
        if self.stored[1] is None or self.chance.random() > TICK_S:
            return
        if process.core.is_selected("watch", 2, process.clock()):
            self.at(self.delay(), self.hand_over, process, self.write_back, ())

    def kill(self, process):
        if not process.frozen:
            process.suspend()
        process.alive = False

    def freeze(self, process):
        if not process.frozen:
            process.suspend()
            process.frozen = True

    def thaw(self, process):
        process.frozen = False
        waiting, process.inbox = process.inbox, []
        for action, args in waiting:
            action(process, *args)
        process.dispatch()

    def check(self, process, server):
        """Check that no other process has work at the server, which ownership must prevent."""
        self.checks += 1
        for other in self.processes:
            end = other.work.get(server, (0.0, 0.0))[1]
            assert other is process or end <= self.now, (
                f"{server} gets work from {process.member.identity} at {self.now:.3f}, "
                f"and has work from {other.member.identity} until {end:.3f}"
            )

    # Messages.

    def carry_out(self, process, effects):
        for effect in effects:
            if isinstance(effect, SendHeartbeat):
                args = (process.member, effect.epoch, effect.sequence)
                self.send(process, effect.to.address, self.on_heartbeat, args)
            elif isinstance(effect, FetchView):
                self.fetch(process, effect.instance)
            elif isinstance(effect, ProposeView | ReadStore):
                self.use_store(process, effect)

    def send(self, process, address, action, args):
        copies = 0 if self.chance.random() < self.loss else 1
        copies += self.chance.random() < 0.02
        for _ in range(copies):
            self.at(self.delay(), self.deliver, process.member.address, address, action, args)

    def deliver(self, source, address, action, args):
        if (source, address) in self.cuts:
            return
        for process in self.live():
            if process.member.address == address:
                self.hand_over(process, action, args)

    def hand_over(self, process, action, args):
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append((action, args))
            return
        action(process, *args)
        process.dispatch()

    def on_heartbeat(self, process, sender, epoch, sequence):
        core = process.core
        releasing = core.servers_to_release(process.holding())
        effects = core.on_heartbeat(sender.identity, epoch, releasing, process.clock())
        self.carry_out(process, effects)
        acked = core.ack_epoch(sender.identity, epoch)
        releasing = core.servers_to_release(process.holding())
        args = (process.member.identity, acked, sequence, releasing)
        self.send(process, sender.address, self.on_ack, args)

    def on_ack(self, process, identity, epoch, sequence, releasing):
        core = process.core
        self.carry_out(process, core.on_ack(identity, epoch, sequence, releasing, process.clock()))

    def fetch(self, process, instance):
        for member in [other.member for other in self.live() if other.member.instance == instance]:
            self.send(process, member.address, self.on_fetch, (process.member.address,))

    def on_fetch(self, process, address):
        if process.core.view is not None:
            self.send(process, address, self.on_view, (encode_view(process.core.view),))

    def on_view(self, process, data):
        self.carry_out(process, process.core.adopt_view(decode_view(data), process.clock()))

    # The store: a read, followed for a proposal by a compare-and-swap on the version read.

    def use_store(self, process, effect):
        if process.store_busy_until <= self.now:
            process.store_busy_until = self.now + STORE_TIMEOUT_S
            self.at(self.delay(), self.read, process, effect)

    def read(self, process, effect):
        if not self.store_down and process.member.address not in self.store_cuts:
            self.answer(process, self.on_read, (effect, *self.stored))

    def answer(self, process, action, args):
        if self.chance.random() < self.store_answers:
            self.at(self.delay(), self.hand_over, process, action, args)

    def on_read(self, process, effect, version, data):
        view = decode_view(data) if data is not None else None
        process.store_busy_until = 0.0
        if isinstance(effect, ReadStore):
            self.carry_out(process, process.core.on_store_read(view, process.clock()))
        elif view is not None and view.epoch > effect.base:
            self.carry_out(process, process.core.adopt_view(view, process.clock()))
        elif effect.base > (view.epoch if view else 0):
            self.write_back(process)
        elif view is None or process.restore_guard.may_change(view, version, process.clock()):
            process.store_busy_until = self.now + STORE_TIMEOUT_S
            self.at(self.delay(), self.swap, process, version, effect.view)

    def swap(self, process, version, view):
        if self.store_down:
            return
        applied = self.stored[0] == version
        if applied:
            self.stored = (version + 1, encode_view(view))
            self.values.append(self.stored[1])
        self.answer(process, self.on_swapped, (self.stored[1],))

    def on_swapped(self, process, data):
        process.store_busy_until = 0.0
        self.on_view(process, data)

    def revert(self, steps):
        """Restore an earlier value of the store; watching members write their view back."""
        if self.values:
            self.stored = (self.stored[0] + 1, self.values[-1 - steps % len(self.values)])

    def write_back(self, process):
        version, data = self.stored
        view = process.core.view
        cut = self.store_down or process.member.address in self.store_cuts
        if view is None or cut:
            return
        if decode_view(data).epoch < view.epoch:
            self.stored = (version + 1, encode_view(view._replace(restored=True)))

    def confirm_stopped(self, dead):
        """Confirm as the operator that the lost processes of an instance have stopped, if so."""
        name = dead.member.instance
        for process in self.live():
            core = process.core
            if core.view is None or process.frozen:
                continue
            silent = core.unreachable(process.clock())
            lost = [*silent, *(entry.member for entry in core.view.departed)]
            lost = [member for member in lost if member.instance == name]
            ended = {member.identity for member in lost}
            if any(other.member.identity in ended for other in self.live()):
                continue
            view = with_stopped(core.view, name, silent, core.evidence, process.clock())
            self.use_store(process, ProposeView(core.epoch, view))
            return

    def confirm_all(self):
        """Confirm for each dead process that the stored view still lists."""
        for process in self.processes:
            if not process.alive and self.listed(process):
                self.confirm_stopped(process)
                self.run(2.0)

    def listed(self, dead):
        view = decode_view(self.stored[1])
        departed = [entry.member for entry in view.departed if not entry.gone]
        listed = [member.identity for member in (*departed, *view.members)]
        return dead.member.identity in listed

    # The table.

    def edit_weight(self, instance, weight, max_delay=MAX_TABLE_DELAY_S):
        """Change a weight; each process gets the new table after its own random delay."""
        weights = {**self.weights.by_instance, instance: weight}
        self.weights = Weights(self.weights.revision + 1, weights)
        for process in self.live():
            self.at(self.chance.uniform(0, max_delay), process.get_table)

    def weights_in_force(self):
        """Return whether the stored view has the weights of the newest table."""
        members = decode_view(self.stored[1]).members
        return all(member.weight == self.weights.of(member) for member in members)

    # Checks.

    def owners(self):
        return {
            server: [process for process in self.live() if process.may_dispatch(server)]
            for server in SERVERS
        }

    def all_owned(self):
        return all(len(found) == 1 for found in self.owners().values())

    def seconds_until_owned(self, limit, *, confirm=False):
        begin = self.now
        while not self.all_owned() and self.now < begin + limit:
            self.run(0.1)
            if confirm:
                self.confirm_all()
        assert self.all_owned(), self.describe()
        return self.now - begin

    def describe(self):
        lines = [f"{server}: {len(found)}" for server, found in self.owners().items()]
        for process in self.live():
            core = process.core
            lines.append(
                f"{process.member.identity} epoch {core.epoch} member {core.is_member} "
                f"lease {core.lease.remaining(process.clock()):.2f} "
                f"pending {core.takeover.pending} "
                f"departed {core.view.departed if core.view else ()}"
            )
        return "\n".join(lines)


class CombiningWorld(World):
    """A world in which heartbeats and acknowledgements are piggybacked on each other.

    The daemon combines them in the same way.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.heartbeats_sent = 0
        self.carried_acks = 0
        #: A process that answers but sends no heartbeats, and the processes that sent some to it.
        self.mute = None
        self.heartbeat_senders = set()

    def carry_out(self, process, effects):
        for effect in effects:
            if not isinstance(effect, SendHeartbeat):
                super().carry_out(process, [effect])
                continue
            if process is self.mute:
                continue
            if self.mute is not None and effect.to == self.mute.member:
                self.heartbeat_senders.add(process.member.identity)
            self.heartbeats_sent += 1
            acked = process.core.piggybacked_ack(effect.to.identity, effect.epoch)
            releasing = process.core.servers_to_release(process.holding()) if acked else ()
            args = (process.member, effect.epoch, effect.sequence, acked, releasing)
            self.send(process, effect.to.address, self.on_combined_heartbeat, args)

    def on_combined_heartbeat(self, process, sender, epoch, sequence, acked, releasing):
        core = process.core
        if acked:
            self.carried_acks += 1
            clock = process.clock()
            effects = core.on_piggybacked_ack(sender.identity, epoch, acked, releasing, clock)
            self.carry_out(process, effects)
        releasing = core.servers_to_release(process.holding())
        effects = core.on_heartbeat(sender.identity, epoch, releasing, process.clock())
        self.carry_out(process, effects)
        adopted = core.ack_epoch(sender.identity, epoch)
        releasing = core.servers_to_release(process.holding())
        carried = core.piggybacked_heartbeat(sender.identity, epoch, process.clock())
        args = (process.member.identity, adopted, sequence, releasing, carried)
        self.send(process, sender.address, self.on_combined_ack, args)

    def on_combined_ack(self, process, identity, epoch, sequence, releasing, carried):
        self.on_ack(process, identity, epoch, sequence, releasing)
        if carried:
            process.core.on_piggybacked_heartbeat(identity, epoch, carried)


# Faults.


def _pick(items, number):
    return items[number % len(items)] if items else None


def _apply(world, kind, first, second):
    """Carry out one operation of a schedule; in some states it has no effect."""
    live = world.live()
    process = _pick(live, first)
    other = _pick(live, second)
    if kind == "start" and len(live) < 6:
        world.start(f"entry-{next(world.numbers)}")
    elif process is None:
        return
    elif kind == "kill" and len(live) > 1:
        world.kill(process)
    elif kind == "restart":
        world.kill(process)
        world.at(second % 5, _restart, world, process)
    elif kind == "freeze":
        world.freeze(process)
        world.at(0.2 + second % 9, _thaw, world, process)
    elif kind == "weight":
        world.edit_weight(process.member.instance, WEIGHTS[second % len(WEIGHTS)])
    elif kind == "leave" and len(live) > 1:
        process.core.set_wanted(False, process.clock())
    elif kind == "return":
        process.core.set_wanted(True, process.clock())
    elif kind == "cut":
        world.cuts.add((process.member.address, other.member.address))
    elif kind == "split":
        _split(world, live, first, second)
    elif kind == "heal":
        world.cuts.clear()
        world.store_cuts.clear()
    elif kind == "replace" and len(live) < 6:
        world.freeze(process)
        world.at(0.2 + second % 9, _thaw, world, process)
        world.start(process.member.instance)
    elif kind == "loss":
        world.loss = (first % 5) / 10
        world.max_delay = (0.01, 0.1, 0.6, 1.5)[second % 4]
    elif kind == "store":
        world.store_down = first % 3 == 0
        world.store_answers = (1.0, 0.5, 0.0)[second % 3]
    elif kind == "revert":
        world.revert(first % 8)
    elif kind == "confirm":
        dead = [process for process in world.processes if not process.alive]
        if dead:
            world.confirm_stopped(_pick(dead, first))


def _restart(world, process):
    """Start the same instance at the same address unless another process has taken it."""
    address = process.member.address
    if all(other.member.address != address for other in world.live()):
        world.start(process.member.instance, address)


def _thaw(world, process):
    if process.alive and process.frozen:
        world.thaw(process)


def _split(world, live, first, second):
    """Partition the cell into two sides, and sometimes cut one of them off from the store."""
    sides = [[], []]
    for index, process in enumerate(live):
        sides[first >> index & 1].append(process.member.address)
    for one in sides[0]:
        for other in sides[1]:
            world.cuts |= {(one, other), (other, one)}
    world.store_cuts = set(((), *sides)[second % 3])


def _end_faults(world):
    world.cuts.clear()
    world.store_cuts.clear()
    world.loss = 0.0
    world.max_delay = 0.01
    world.store_down = False
    world.store_answers = 1.0
    world.run(10.0)
    for process in world.live():
        _thaw(world, process)
        process.core.set_wanted(True, process.clock())
    names = {process.member.instance for process in world.live()}
    if not any(world.weights.by_instance.get(name, 1) for name in names):
        world.edit_weight(min(names), 1)


OPERATIONS = [
    *("start", "kill", "restart", "replace", "leave", "return", "confirm", "revert"),
    *("weight",) * 2,
    *("freeze", "cut", "split", "heal", "loss", "store") * 2,
]
WEIGHTS = (0, 1, 2, 5, 100)
SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from(OPERATIONS),
        st.integers(0, 59),
        st.integers(0, 59),
        st.sampled_from((0.0, 0.05, 0.3, 0.7, 1.6, 2.5, 5.0)),
    ),
    min_size=10,
    max_size=40,
)


def _cell(seed, size, kind=World):
    world = kind(seed)
    for number in range(size):
        world.start(f"entry-{number}")
    world.run(5.0)
    return world


def _run_schedule(seed, schedule, kind=World):
    world = _cell(seed, 4, kind)
    for kind, first, second, gap in schedule:
        _apply(world, kind, first, second)
        world.run(gap)
    _end_faults(world)
    world.seconds_until_owned(SETTLE_S, confirm=True)
    world.run(10.0)
    assert world.weights_in_force() and world.all_owned(), world.describe()
    return world


@when("{count:d} random fault schedules run in simulated cells")
def random_schedules(context, count):
    context.checks = 0

    @settings(max_examples=count)
    @hypothesis_given(st.integers(0, 2**32), SCHEDULES)
    def run(seed, schedule):
        context.checks += _run_schedule(seed, schedule).checks

    run()


@then("at least {count:d} dispatches were checked for a second owner")
def enough_checks(context, count):
    assert context.checks >= count, context.checks


@when("{count:d} random fault schedules run in simulated cells with combined heartbeats")
def random_combined_schedules(context, count):
    context.checks = 0
    context.carried_acks = 0

    @settings(max_examples=count)
    @hypothesis_given(st.integers(0, 2**32), SCHEDULES)
    def run(seed, schedule):
        world = _run_schedule(seed, schedule, CombiningWorld)
        context.checks += world.checks
        context.carried_acks += world.carried_acks

    run()


@then("at least {count:d} acknowledgements came with a heartbeat")
def enough_carried(context, count):
    assert context.carried_acks >= count, context.carried_acks


# Single faults in a cell of processes with three domains.


@given("a simulated cell of {count:d}")
def simulated_cell(context, count):
    _open_cell(context, count, World)


@given("a simulated cell of {count:d} with combined heartbeats")
def combining_cell(context, count):
    _open_cell(context, count, CombiningWorld)


def _open_cell(context, count, kind):
    context.world = _cell(count, count, kind)
    context.world.seconds_until_owned(10.0)
    context.epoch = _epoch(context.world)
    context.owned = context.world.owners()
    context.killed = []


def _epoch(world):
    return decode_view(world.stored[1]).epoch


def _kill(context, process):
    context.world.kill(process)
    context.killed.append(process)


@when("a process is killed")
def kill_one(context):
    _kill(context, context.owned[SERVERS[0]][0])


@when("a process leaves gracefully")
def leave_one(context):
    process = context.owned[SERVERS[0]][0]
    process.core.set_wanted(False, process.clock())


@when("the simulated store goes down")
def store_down(context):
    context.world.store_down = True


@when("the simulated store comes back")
def store_up(context):
    context.world.store_down = False


@when("{seconds:d} simulated seconds pass")
def pass_time(context, seconds):
    context.world.run(seconds)


@when("two of three domains are killed")
def kill_domains(context):
    for process in context.world.live():
        if process.member.failure_domain != "domain-0":
            _kill(context, process)


@when("the killed processes start again at their addresses")
def restart_killed(context):
    for process in context.killed:
        context.world.start(process.member.instance, process.member.address)


@when("the operator confirms that the killed processes have stopped")
def confirm_killed(context):
    context.world.confirm_all()


@when("one of three domains is cut off")
def cut_domain(context):
    world = context.world
    for process in world.live():
        for other in world.live():
            domains = {process.member.failure_domain, other.member.failure_domain}
            if "domain-0" in domains and len(domains) == 2:
                world.cuts.add((process.member.address, other.member.address))


@when("one process no longer reaches another one")
def cut_one_way(context):
    one, other = context.world.live()[2:4]
    context.world.cuts.add((one.member.address, other.member.address))


@when("a process crashes and restarts {count:d} times")
def crash_repeatedly(context, count):
    world = context.world
    for _ in range(count):
        process = world.live()[0]
        world.kill(process)
        world.start(process.member.instance, process.member.address)
        world.run(0.7)


@then("each server has one owner within {limit:f} simulated seconds")
def owned_in_time(context, limit):
    seconds = context.world.seconds_until_owned(limit)
    assert seconds <= limit, seconds


@when("the weight of a process changes to {weight:d} in all tables")
def weight_changes(context, weight):
    context.process = context.owned[SERVERS[0]][0]
    context.world.edit_weight(context.process.member.instance, weight, max_delay=0.0)


@when("the weight of a process changes to {weight:d} in one table only")
def weight_changes_in_one(context, weight):
    world = context.world
    context.process = context.owned[SERVERS[0]][0]
    world.weights = Weights(1, {context.process.member.instance: weight})
    world.live()[-1].get_table()


@then("that process owns no server")
def owns_nothing(context):
    owners = context.world.owners()
    assert not any(context.process in found for found in owners.values()), owners


@then("the servers of the other processes have kept their owners")
def others_kept(context):
    owners = context.world.owners()
    others = [name for name, found in context.owned.items() if found != [context.process]]
    assert others and all(owners[name] == context.owned[name] for name in others), owners


@then("the epoch has risen by {count:d}")
def epoch_has_risen(context, count):
    assert _epoch(context.world) == context.epoch + count, _epoch(context.world)


@then("in {seconds:d} simulated seconds at most {beats:d} heartbeats are sent")
def few_beats(context, seconds, beats):
    before = context.world.heartbeats_sent
    context.world.run(seconds)
    assert 0 < context.world.heartbeats_sent - before <= beats, (
        context.world.heartbeats_sent - before
    )


@then("in {seconds:d} simulated seconds no live process has less than {least:f} s of its lease")
def lease_left(context, seconds, least):
    world = context.world
    end = world.now + seconds
    while world.now < end:
        world.run(0.02)
        for process in world.live():
            left = process.core.lease.remaining(process.clock())
            assert left >= least, (process.member.instance, left)


@when("a process answers but sends no heartbeats")
def mute_one(context):
    context.world.mute = context.owned[SERVERS[0]][0]


@then("within {limit:f} simulated seconds each process that it called sends it a heartbeat")
def beaten_in_time(context, limit):
    world = context.world
    called = [
        one for one in world.live() if initiates(world.mute.member.identity, one.member.identity)
    ]
    assert 0 < len(called) < 8, "the process initiates heartbeats to no or to all others"
    world.run(limit)
    assert world.heartbeat_senders >= {
        one.member.identity for one in called if one is not world.mute
    }


@when("all messages take up to {delay:f} s")
def slow_messages(context, delay):
    context.world.max_delay = delay


@then("the epoch is as before")
def same_epoch(context):
    assert _epoch(context.world) == context.epoch


@then("the live processes own the servers that they owned before")
def still_owned(context):
    owners = context.world.owners()
    kept = [server for server, (process,) in context.owned.items() if process.alive]
    assert kept and all(owners[server] == context.owned[server] for server in kept), owners


@then("the servers of the killed processes have no owner")
def not_owned(context):
    owners = context.world.owners()
    lost = [server for server, (process,) in context.owned.items() if not process.alive]
    assert lost and not any(owners[server] for server in lost), owners


@then("no process of the domain that is cut off may dispatch")
def cut_off_is_silent(context):
    dispatching = [process for found in context.world.owners().values() for process in found]
    assert not any(process.member.failure_domain == "domain-0" for process in dispatching)


@then("the view has changed at most {count:d} times")
def few_changes(context, count):
    changes = _epoch(context.world) - context.epoch
    assert changes <= count, changes


@then("the stored view lists at most {views:d} earlier views and {departed:d} departed members")
def small_view(context, views, departed):
    view = decode_view(context.world.stored[1])
    assert len(view.history) <= views and len(view.departed) <= departed, view
