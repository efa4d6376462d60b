"""Keeps trials of non-idempotent requests for the fleet: answers the instances that ask for one."""

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
from .server import CONFIRM_S
from .trials import Trials

__all__ = ["REPORT_MARGIN_S", "Coordinator"]

#: How long an asker is kept waiting for the end of another trial before it is told to ask again.
WAIT_S = 0.1
#: A second trial is refused if a member does not answer in this time.
SHARE_TIMEOUT_S = 0.2
REPORT_MARGIN_S = 1.0
#: A lease lasts this much longer than the deadline of the request: the work may go on for the
#: clock margin, a broken connection is looked into, and the report is sent again when it is lost.
TRIAL_MARGIN_S = CLOCK_MARGIN_S + CONFIRM_S + REPORT_MARGIN_S


class Coordinator:
    """The trials that this instance keeps, and the losses that it exchanges with the others."""

    def __init__(self, trials: Trials, members: MembersPort, peers: PeersPort) -> None:
        self.trials = trials
        self.members = members
        self.peers = peers
        self.core = TrialCoordinator(trials.canary)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.on(BeginTrial)(self.begin)
        handlers.on(ShareLosses)(self.share)

        @handlers.on(EndTrial)
        async def end(message: EndTrial) -> Accepted:
            self.end(message)
            return Accepted(True)

    async def begin(self, message: BeginTrial) -> TrialVerdict:
        """Answer an instance that asks for a trial."""
        name, trial = message.fingerprint, message.trial
        last = trio.current_time() + message.left_ms / 1000
        patience = min(last, trio.current_time() + WAIT_S)
        while self._keeps(name):
            now = trio.current_time()
            if now >= last:
                return TrialVerdict("wait")
            ended = self.trials.ended
            verdict = self.core.begin(name, trial, last + TRIAL_MARGIN_S - now, now)
            if verdict == "confirm":
                verdict = await self._confirm(name, trial)
            if verdict != "wait" or now >= patience:
                return TrialVerdict(verdict)
            with trio.move_on_at(patience):
                await ended.wait()
        return TrialVerdict("elsewhere")

    def end(self, message: EndTrial) -> None:
        """Take the report on a trial."""
        now = trio.current_time()
        self.core.end(message.fingerprint, message.trial, message.outcome, now)
        self.trials.wake()

    async def share(self, message: ShareLosses) -> KnownLosses:
        """Take over the losses of a fingerprint and return those known here."""
        self.expire()
        self._merge(message.losses)
        return KnownLosses(self._known(message.fingerprint))

    def expire(self) -> None:
        """Count the trials whose lease ended without a report as losses."""
        for name in self.core.expire(trio.current_time()):
            event("trial_lease_expired", fingerprint=name)
            self.trials.wake()

    def _keeps(self, name: str) -> bool:
        """Say whether this instance is coordinator or standby under a view that still holds."""
        instances = [member.instance for member in self.members.members]
        chosen = self.members.instance in coordinators(instances, name)
        return chosen and self.members.lease_left() > 0

    async def _confirm(self, name: str, trial: str) -> Verdict:
        """Ask all other members before a second trial; the trial is released if it may not run."""
        epoch = self.members.epoch
        complete = False
        try:
            complete = await self._share_with_all(name)
        finally:
            complete = complete and epoch == self.members.epoch and self._keeps(name)
            now = trio.current_time()
            verdict = self.core.confirm(name, trial, now, complete=complete)
            if verdict != "trial":
                self.trials.wake()
        return verdict

    async def _share_with_all(self, name: str) -> bool:
        """Exchange losses with each other member; True if all have answered."""
        others = {member.instance for member in self.members.members} - {self.members.instance}
        message = ShareLosses(name, self._known(name))
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
        self._merge(reply.losses)
        answered.append(instance)

    def _known(self, name: str) -> tuple[BlockedRequest, ...]:
        known = self.trials.canary.known(name, trio.current_time())
        return tuple(BlockedRequest(*entry) for entry in known)

    def _merge(self, entries: tuple[BlockedRequest, ...]) -> None:
        shared = [SharedEntry(*entry) for entry in entries]
        self.trials.canary.merge(shared, trio.current_time())
