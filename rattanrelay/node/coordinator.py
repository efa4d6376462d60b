"""Coordinator of the trials of non-idempotent requests: grants trials to other instances."""

import trio

from ..decide.canary import SharedEntry
from ..decide.coordinator import TrialCoordinator, Verdict, coordinators
from ..decide.lease import CLOCK_MARGIN_S
from ..errors import RelayError
from ..log import event
from ..wire import (
    Accepted,
    BeginTrial,
    BlockedRequest,
    EndTrial,
    Handlers,
    KnownLosses,
    ShareLosses,
    TrialVerdict,
)
from .ports import MembersPort, PeersPort
from .server import RESTART_CHECK_TIMEOUT_S
from .trials import Trials

__all__ = ["REPORT_MARGIN_S", "Coordinator"]

#: Time that a requesting instance waits for the end of another trial before it has to ask again.
MAX_WAIT_S = 0.1
#: Time within which every member must answer before a second trial is granted.
SHARE_TIMEOUT_S = 0.2
REPORT_MARGIN_S = 1.0
#: Time that a trial's lease lasts beyond the deadline of the request. It covers the clock margin in
#: which the work may go on, the check of a broken connection, and resending a lost report.
TRIAL_MARGIN_S = CLOCK_MARGIN_S + RESTART_CHECK_TIMEOUT_S + REPORT_MARGIN_S


class Coordinator:
    """Grants trials as their coordinator and exchanges losses with the other instances."""

    def __init__(self, trials: Trials, members: MembersPort, peers: PeersPort) -> None:
        self.trials = trials
        self.members = members
        self.peers = peers
        self.state = TrialCoordinator(trials.canary)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.on(BeginTrial)(self.begin)
        handlers.on(ShareLosses)(self.share)

        @handlers.on(EndTrial)
        async def end(message: EndTrial) -> Accepted:
            self.end(message)
            return Accepted(True)

    async def begin(self, message: BeginTrial) -> TrialVerdict:
        """Return the verdict for an instance that asks for a trial."""
        name, trial = message.fingerprint, message.trial
        deadline = trio.current_time() + message.left_ms / 1000
        wait_until = min(deadline, trio.current_time() + MAX_WAIT_S)
        while self._is_responsible(name):
            now = trio.current_time()
            if now >= deadline:
                return TrialVerdict("wait")
            ended = self.trials.ended
            verdict = self.state.begin(name, trial, deadline + TRIAL_MARGIN_S - now, now)
            if verdict == "confirm":
                verdict = await self._confirm(name, trial)
            if verdict != "wait" or now >= wait_until:
                return TrialVerdict(verdict)
            with trio.move_on_at(wait_until):
                await ended.wait()
        return TrialVerdict("elsewhere")

    def end(self, message: EndTrial) -> None:
        """Record the outcome of a trial that an instance reports."""
        now = trio.current_time()
        self.state.end(message.fingerprint, message.trial, message.outcome, now)
        self.trials.wake_waiters()

    async def share(self, message: ShareLosses) -> KnownLosses:
        """Merge the received losses of a fingerprint and return those known here."""
        self.expire()
        self._merge_losses(message.losses)
        return KnownLosses(self._known_losses(message.fingerprint))

    def expire(self) -> None:
        """Count trials whose lease has expired without a report as losses."""
        for name in self.state.expire(trio.current_time()):
            event("trial_lease_expired", fingerprint=name)
            self.trials.wake_waiters()

    def _is_responsible(self, name: str) -> bool:
        """Return whether this instance is coordinator or standby and holds its quorum lease."""
        instances = [member.instance for member in self.members.members]
        chosen = self.members.instance in coordinators(instances, name)
        return chosen and self.members.lease_left() > 0

    async def _confirm(self, name: str, trial: str) -> Verdict:
        """Ask all other members before a second trial; a trial that may not run is released."""
        epoch = self.members.epoch
        complete = False
        try:
            complete = await self._share_with_all(name)
        finally:
            complete = complete and epoch == self.members.epoch and self._is_responsible(name)
            now = trio.current_time()
            verdict = self.state.confirm(name, trial, now, complete=complete)
            if verdict != "trial":
                self.trials.wake_waiters()
        return verdict

    async def _share_with_all(self, name: str) -> bool:
        """Exchange losses with all other members; return whether all have answered."""
        others = {member.instance for member in self.members.members} - {self.members.instance}
        message = ShareLosses(name, self._known_losses(name))
        answered = []
        async with trio.open_nursery() as nursery:
            for instance in others:
                nursery.start_soon(self._share_with, instance, message, answered)
        return len(answered) == len(others)

    async def _share_with(self, instance: str, message: ShareLosses, answered: list[str]) -> None:
        try:
            reply = await self.peers.call(instance, message, SHARE_TIMEOUT_S)
        except RelayError as error:
            event("losses_not_shared", peer=instance, code=error.code)
            return
        self._merge_losses(reply.losses)
        answered.append(instance)

    def _known_losses(self, name: str) -> tuple[BlockedRequest, ...]:
        known = self.trials.canary.entries_of(name, trio.current_time())
        return tuple(BlockedRequest(*entry) for entry in known)

    def _merge_losses(self, entries: tuple[BlockedRequest, ...]) -> None:
        shared = [SharedEntry(*entry) for entry in entries]
        self.trials.canary.merge(shared, trio.current_time())
