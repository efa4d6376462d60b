"""Steps for the coordinator of trials: a model fleet with a request that always crashes."""

import math

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.canary import BLOCK_S, Canary
from rattanrelay.decide.coordinator import TrialCoordinator, coordinators
from rattanrelay.decide.lease import LEASE_S, majority

NAME = "f"
NAMES = ("a", "b", "c", "d")
#: The work of a trial ends `RUN_S` after the request for it, and its lease `MARGIN_S` later.
RUN_S, MARGIN_S = 2.0, 1.0
#: Remaining times are exchanged as whole seconds, so a copy of a loss expires a little earlier.
WINDOW_S = BLOCK_S - 5
#: After a change of the view, trials granted under the earlier view can crash for this long.
CHANGE_LAG_S = LEASE_S + RUN_S + MARGIN_S


class Process:
    """One instance of the model; `quorum_at` is when a majority last had the same view."""

    def __init__(self, view):
        self.canary = Canary()
        self.coordinator = TrialCoordinator(self.canary)
        self.view = view
        self.quorum_at = 0.0


class Model:
    """Instances with lost messages, changes of the view, restarts and a request that crashes.

    A process that joins or restarts knows the losses of the others before the next change of the
    view, because heartbeats are exchanged more often than processes are replaced.
    """

    def __init__(self):
        self.now = 0.0
        self.view = (0, NAMES[:3])
        self.fleet = {name: Process(self.view) for name in NAMES}
        self.cut = None
        #: Start and end of each period in which a standby answered, and the standbys that do now.
        self.standby_periods = []
        self.standbys = set()
        self.newcomer = None
        self.running = []
        self.numbers = 0
        self.crashes = []
        self.allowed = []

    def ask(self, asker, answered):
        """Ask the coordinator, then its standby.

        If not `answered`, the verdict is lost, and a trial that was granted does not run.
        """
        for rank, name in enumerate(coordinators(self.fleet[asker].view[1], NAME)):
            if self._begin(asker, name, answered) != "unreachable":
                self._note_answer(name, rank)
                return

    def _note_answer(self, name, rank):
        """Record which standbys answer, until the coordinator answers again."""
        if rank and name not in self.standbys:
            self.standbys.add(name)
            self.standby_periods.append([self.now, math.inf])
        elif not rank and self.standbys:
            self.standbys.clear()
            for period in self.standby_periods:
                period[1] = min(period[1], self.now)

    def _begin(self, asker, name, answered):
        if asker != name and self._cut_off_from(asker, name):
            return "unreachable"
        process = self.fleet[name]
        if (
            name not in coordinators(process.view[1], NAME)
            or self.now > process.quorum_at + LEASE_S
        ):
            return "unreachable"
        self.numbers += 1
        trial = f"t{self.numbers}"
        verdict = process.coordinator.begin(NAME, trial, RUN_S + MARGIN_S, self.now)
        if verdict == "confirm":
            complete = self._share(name)
            verdict = process.coordinator.confirm(NAME, trial, self.now, complete=complete)
        if verdict == "trial" and answered:
            self.running.append((asker, name, trial, self.now + RUN_S))
        if not answered:
            return "unreachable"
        return verdict

    def _share(self, name):
        complete = True
        for other in self.fleet[name].view[1]:
            if self._cut_off_from(name, other):
                complete = False
                continue
            self.fleet[other].coordinator.expire(self.now)
            mine, theirs = self.fleet[name].canary, self.fleet[other].canary
            theirs.merge(mine.entries_of(NAME, self.now), self.now)
            mine.merge(theirs.entries_of(NAME, self.now), self.now)
        return complete

    def end(self, pick, kind):
        """End a running trial: it crashed, with or without a report, or did not run."""
        if not self.running:
            return
        asker, name, trial, _ = self.running.pop(pick % len(self.running))
        if kind == "not run":
            self.fleet[name].coordinator.end(NAME, trial, "ended", self.now)
            return
        self.crashes.append(self.now)
        if kind == "asker died":
            return
        self.fleet[asker].canary.lost(NAME, trial, self.now)
        if kind == "reported" and not self._cut_off_from(asker, name):
            self.fleet[name].coordinator.end(NAME, trial, "lost", self.now)

    def run(self, asker):
        """Send a request; a trial crashes at once and is reported."""
        self.ask(asker, True)
        self.end(0, "reported")

    def beat(self, sender, receiver):
        """Deliver a heartbeat."""
        if not self._cut_off_from(sender, receiver):
            entries = self.fleet[sender].canary.entries_to_share(self.now)
            self.fleet[receiver].canary.merge(entries, self.now)

    def wait(self, seconds):
        """Advance the time; work that is still running crashes at its end without a report.

        All processes adopt the newest view within `CHANGE_LAG_S`.
        """
        target = self.now + seconds
        while due := [one for one in self.running if one[3] <= target]:
            first = min(due, key=lambda one: one[3])
            self.now = max(self.now, first[3])
            self.end(self.running.index(first), "asker died")
        self.now = target
        if seconds > CHANGE_LAG_S:
            self.adopt_all()

    def change(self, name):
        """Add a process to the view or remove it; at least two remain."""
        self._inform_newcomer()
        epoch, members = self.view
        joins = name not in members
        changed = (*members, name) if joins else tuple(one for one in members if one != name)
        if len(changed) < 2:
            return
        if coordinators(changed, NAME)[0] != coordinators(members, NAME)[0]:
            self._allow()
        self.view = (epoch + 1, changed)
        if joins:
            self.newcomer = name

    def restart(self, name):
        """Replace a process, which loses its state."""
        self._inform_newcomer()
        if name == coordinators(self.view[1], NAME)[0]:
            self._allow()
        self.fleet[name] = Process(self.view)
        self.newcomer = name
        self.standbys.discard(name)

    def cut_off(self, name):
        """Cut a process off from the others, or reconnect it."""
        self.cut = None if self.cut else name

    def adopt(self, name):
        """Let a process adopt the newest view."""
        self.fleet[name].view = self.view

    def adopt_all(self):
        """Let all processes adopt the newest view."""
        for name in NAMES:
            self.adopt(name)

    def replace_coordinator(self):
        """Remove the coordinator; all processes adopt the view at once."""
        self.change(coordinators(self.view[1], NAME)[0])
        self.adopt_all()

    def check(self):
        """Check the bound on the crashes in the last `WINDOW_S`."""
        for process in self.fleet.values():
            members = process.view[1]
            alike = sum(self.fleet[one].view == process.view for one in members)
            if alike >= majority(len(members)):
                process.quorum_at = self.now
        recent = [at for at in self.crashes if at > self.now - WINDOW_S]
        since = self.now - WINDOW_S - CHANGE_LAG_S
        allowed = sum(at > since for at in self.allowed)
        allowed += sum(end > since for _, end in self.standby_periods)
        assert len(recent) <= 2 + allowed, (recent, allowed)

    def _inform_newcomer(self):
        if self.newcomer:
            for other in self.view[1]:
                entries = self.fleet[other].canary.entries_to_share(self.now)
                self.fleet[self.newcomer].canary.merge(entries, self.now)

    def _cut_off_from(self, one, other):
        return one != other and self.cut in (one, other)

    def _allow(self):
        self.allowed.append(self.now)


ASKER = st.sampled_from(NAMES)
PICK = st.integers(0, 3)
ENDS = st.sampled_from(["reported", "reported", "unreported", "asker died", "not run"])
SHORT_WAITS = (0.1, 0.5, 1.0, 2.5, 4.0)
WAITS = st.sampled_from((*SHORT_WAITS, 100.0, 300.0))
ASKS = st.tuples(st.just("ask"), ASKER, st.just(True))
STEADY = (
    ASKS,
    st.tuples(st.just("end"), PICK, ENDS),
    st.tuples(st.just("beat"), ASKER, ASKER),
    st.tuples(st.just("wait"), st.sampled_from(SHORT_WAITS)),
)
CHANGES = (
    st.tuples(st.just("wait"), WAITS),
    st.tuples(st.just("ask"), ASKER, st.booleans()),
    st.tuples(st.just("change"), ASKER),
    st.tuples(st.just("adopt"), ASKER),
    st.tuples(st.just("adopt"), ASKER),
    st.tuples(st.just("restart"), ASKER),
    st.tuples(st.just("cut_off"), ASKER),
)


#: Short runs in which the coordinator is replaced between reported losses, the case that the
#: exchange of losses before a second trial guards against.
REPLACEMENTS = (
    st.tuples(st.just("run"), ASKER),
    st.tuples(st.just("run"), ASKER),
    st.tuples(st.just("replace_coordinator")),
    st.tuples(st.just("cut_off"), ASKER),
)


def run_model(steps):
    """Run the steps and check the bound after each; return the number of crashes."""
    model = Model()
    for action, *arguments in steps:
        getattr(model, action)(*arguments)
        model.check()
    model.wait(RUN_S)
    model.check()
    return len(model.crashes)


@then(
    "a crashing request crashes at most {count:d} servers while requesters die and reports are lost"
)
def steady_bound(context, count):
    most = []

    @settings(max_examples=600)
    @for_all(st.lists(st.one_of(*STEADY), min_size=10, max_size=60))
    def check(steps):
        most.append(run_model(steps))

    check()
    assert max(most) == count, max(most)


@then("each change of the coordinator and each standby allows at most one more crash")
def changing_bound(context):
    longer = st.lists(st.one_of(*STEADY, ASKS, ASKS, *CHANGES), min_size=10, max_size=80)
    shorter = st.lists(st.one_of(*REPLACEMENTS), min_size=5, max_size=20)
    for runs in (longer, shorter):

        @settings(max_examples=1000)
        @for_all(runs)
        def check(steps):
            run_model(steps)

        check()


@given("a coordinator that granted a trial for {seconds:g} s")
def granted(context, seconds):
    context.coordinator = TrialCoordinator(Canary())
    assert context.coordinator.begin(NAME, "t1", seconds, 0.0) == "trial"


@then("another requester waits for {seconds:g} s, and the fingerprint is suspected after that")
def waits_for_lease(context, seconds):
    coordinator = context.coordinator
    assert coordinator.begin(NAME, "t2", 1.0, seconds - 0.01) == "wait"
    assert coordinator.expire(seconds) == [NAME]
    assert coordinator.begin(NAME, "t3", 1.0, seconds) == "confirm"
    assert coordinator.confirm(NAME, "t3", seconds, complete=False) == "suspect"
    assert coordinator.begin(NAME, "t4", 1.0, seconds) == "confirm"
    assert coordinator.confirm(NAME, "t4", seconds, complete=True) == "trial"


@given("a coordinator that got the report on a trial before the request for it")
def overtaken(context):
    context.coordinator = TrialCoordinator(Canary())
    context.coordinator.end(NAME, "t1", "ended", 0.0)


@then("it does not grant that trial, and another requester does not wait")
def not_granted(context):
    assert context.coordinator.begin(NAME, "t1", 3.0, 0.1) == "wait"
    assert context.coordinator.begin(NAME, "t2", 3.0, 0.1) == "trial"


@then("a success that is reported after {seconds:g} s does not clear the loss")
def late_success(context, seconds):
    context.coordinator.expire(seconds)
    context.coordinator.end(NAME, "t1", "succeeded", seconds)
    assert context.coordinator.canary.is_suspect(NAME, seconds)
    assert not context.coordinator.canary.is_proven(NAME, seconds)
