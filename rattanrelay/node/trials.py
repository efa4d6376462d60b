"""Trials of requests that may crash servers: which one runs, which wait, and their outcomes."""

from itertools import count

import trio

from ..decide.canary import Canary
from ..decide.coordinator import TrialResult
from ..decide.proven import request_fingerprint
from ..log import event
from .subrequest import Outcome

__all__ = ["REFUSAL_REASONS", "SECOND_TRIAL", "Trial", "Trials", "trial_end"]

#: Kind of a sub-query whose first trial lost a server; another loss blocks its fingerprint.
SECOND_TRIAL = "suspect"

#: Reason why a request may not run, by the verdict on its trial.
REFUSAL_REASONS = {"blocked": "request_blocked", "suspect": "request_suspect"}


class Trials:
    """Canary state of this instance; `prefix` makes its trial ids unique among instances."""

    def __init__(self, prefix: str) -> None:
        self.canary = Canary()
        self.prefix = prefix
        self.trial_numbers = count(1)
        self.ended = trio.Event()

    def new_id(self) -> str:
        """Return a new id for a trial, which also identifies its loss."""
        return f"{self.prefix}.{next(self.trial_numbers)}"

    def record(self, name: str, end: TrialResult, loss: str = "", *, second: bool = False) -> None:
        """Record how a trial ended; `loss` is the id of its loss, by default a new one."""
        now = trio.current_time()
        if end == "succeeded":
            self.canary.succeeded(name, now)
        elif end == "lost":
            blocked = self.canary.lost(name, loss or self.new_id(), now, second=second)
            event("server_lost_in_trial", fingerprint=name, blocked=blocked)

    def wake_waiters(self) -> None:
        """Wake all tasks that wait for the end of a trial."""
        ended, self.ended = self.ended, trio.Event()
        ended.set()


class Trial:
    """One request that is to run as a canary.

    `second` means that its first trial lost a server; an earlier loss then counts as well.
    """

    def __init__(self, trials: Trials, service: str, body: bytes, *, second: bool = False) -> None:
        self.trials = trials
        self.name = request_fingerprint(service, body)
        self.second = second
        self.running = False

    def blocked(self) -> str:
        """Return the reason if the fingerprint is blocked, else an empty string."""
        blocked = self.trials.canary.is_blocked(self.name, trio.current_time())
        return "request_blocked" if blocked else ""

    async def begin(self, deadline: float) -> str:
        """Wait while another trial runs; return why the request may not run, empty if it may."""
        while True:
            ended = self.trials.ended
            now = trio.current_time()
            verdict = self.trials.canary.begin(self.name, now, second=self.second)
            if verdict in REFUSAL_REASONS:
                return REFUSAL_REASONS[verdict]
            if verdict != "wait":
                self.running = verdict == "trial"
                return ""
            with trio.move_on_at(deadline) as scope:
                await ended.wait()
            if scope.cancelled_caught:
                return "deadline"

    def settle(self, outcome: Outcome) -> None:
        """Record the outcome of the trial; only the first one counts."""
        if not self.running:
            return
        self.running = False
        self.trials.canary.ended(self.name)
        self.trials.record(self.name, trial_end(outcome), second=self.second)
        self.trials.wake_waiters()

    def abandon(self) -> None:
        """End the trial because nothing was sent."""
        self.settle(Outcome("no_replica", "not_run"))


def trial_end(outcome: Outcome) -> TrialResult:
    """Return how a trial ended by its outcome; `lost` means that the server may have crashed."""
    if not outcome.reason:
        return "succeeded"
    if (outcome.reason, outcome.ran) == ("connection_lost", "unknown"):
        return "lost"
    return "ended"
