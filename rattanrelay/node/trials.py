"""Trials of queries that may crash servers: who runs one, who waits, and what each showed."""

from itertools import count

import trio

from ..decide.canary import Canary
from ..decide.coordinator import End
from ..decide.proven import request_fingerprint
from ..log import event
from .subrequest import Outcome

__all__ = ["REFUSALS", "SECOND_TRIAL", "Trial", "Trials", "end_of"]

#: Kind of a sub-query whose first trial lost a server; a second loss blocks its fingerprint.
SECOND_TRIAL = "suspect"

#: Why a request may not run, by the verdict on its trial.
REFUSALS = {"blocked": "request_blocked", "suspect": "request_suspect"}


class Trials:
    """Canary state of this instance; `prefix` makes the ids of its losses unique."""

    def __init__(self, prefix: str) -> None:
        self.canary = Canary()
        self.prefix = prefix
        self.numbers = count(1)
        self.ended = trio.Event()

    def new_id(self) -> str:
        """Return an id of a trial, which is also the id of its loss."""
        return f"{self.prefix}.{next(self.numbers)}"

    def note(self, name: str, end: End, loss: str = "", *, second: bool = False) -> None:
        """Take what a trial showed here; `loss` is the id of a loss, a new one if it is empty."""
        now = trio.current_time()
        if end == "succeeded":
            self.canary.succeeded(name, now)
        elif end == "lost":
            blocked = self.canary.lost(name, loss or self.new_id(), now, second=second)
            event("server_lost_in_trial", fingerprint=name, blocked=blocked)

    def wake(self) -> None:
        """Let all who wait for a trial look again."""
        ended, self.ended = self.ended, trio.Event()
        ended.set()


class Trial:
    """One request that wants to run as a canary.

    `second` says that its first trial lost a server; an earlier loss then counts as well.
    """

    def __init__(self, trials: Trials, service: str, body: bytes, *, second: bool = False) -> None:
        self.trials = trials
        self.name = request_fingerprint(service, body)
        self.second = second
        self.running = False

    def blocked(self) -> str:
        """Return the reason if the fingerprint is blocked, else an empty text."""
        blocked = self.trials.canary.is_blocked(self.name, trio.current_time())
        return "request_blocked" if blocked else ""

    async def begin(self, deadline: float) -> str:
        """Wait while another trial runs; return why the request may not run, empty if it may."""
        while True:
            ended = self.trials.ended
            now = trio.current_time()
            verdict = self.trials.canary.begin(self.name, now, second=self.second)
            if verdict in REFUSALS:
                return REFUSALS[verdict]
            if verdict != "wait":
                self.running = verdict == "trial"
                return ""
            with trio.move_on_at(deadline) as scope:
                await ended.wait()
            if scope.cancelled_caught:
                return "deadline"

    def settle(self, outcome: Outcome) -> None:
        """Note what the trial showed; only the first outcome counts."""
        if not self.running:
            return
        self.running = False
        self.trials.canary.ended(self.name)
        self.trials.note(self.name, end_of(outcome), second=self.second)
        self.trials.wake()

    def abandon(self) -> None:
        """Note that nothing was sent."""
        self.settle(Outcome("no_replica", "not_run"))


def end_of(outcome: Outcome) -> End:
    """Return what the outcome of a trial shows; lost means that the server may have crashed."""
    if not outcome.reason:
        return "succeeded"
    if (outcome.reason, outcome.ran) == ("connection_lost", "unknown"):
        return "lost"
    return "ended"
