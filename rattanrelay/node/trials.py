"""Trials of queries that may crash servers: who runs one, who waits, and what each showed."""

from itertools import count

import trio

from ..decide.canary import Canary
from ..decide.proven import request_fingerprint
from ..log import event
from .subrequest import Outcome

__all__ = ["SECOND_TRIAL", "Trial", "Trials", "was_lost"]

#: Kind of a sub-query whose first trial lost a server; a second loss blocks its fingerprint.
SECOND_TRIAL = "suspect"


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
        now = trio.current_time()
        canary = self.trials.canary
        if not outcome.reason:
            canary.succeeded(self.name, now)
        elif was_lost(outcome):
            loss = self.trials.new_id()
            blocked = canary.lost(self.name, loss, now, second=self.second)
            event("server_lost_in_trial", fingerprint=self.name, blocked=blocked)
        else:
            canary.ended(self.name)
        self.trials.wake()

    def abandon(self) -> None:
        """Note that nothing was sent."""
        self.settle(Outcome("no_replica", "not_run"))


def was_lost(outcome: Outcome) -> bool:
    """Say whether the server may have crashed while it ran the request."""
    return (outcome.reason, outcome.ran) == ("connection_lost", "unknown")
