"""Trials of non-idempotent requests at this instance, under a lease from their coordinator."""

import math

import trio

from ..decide.coordinator import TrialResult, coordinators
from ..decide.proven import request_fingerprint
from ..errors import RelayError
from ..log import event
from ..wire import BeginTrial, EndTrial
from .coordinator import REPORT_MARGIN_S, Coordinator
from .subrequest import Outcome
from .trials import REFUSAL_REASONS, trial_end

__all__ = ["LeasedTrial"]

#: Time after which the standby is asked because the coordinator has not answered. It is longer than
#: a request waits at the coordinator.
ASK_TIMEOUT_S = 0.4
#: Delay before asking again when neither the coordinator nor its standby has answered, as during a
#: change of the view.
ASK_RETRY_S = 0.05
REPORT_TIMEOUT_S = 0.3
REPORT_RETRY_S = 0.05


class LeasedTrial:
    """One non-idempotent request that runs as a trial unless its fingerprint is proven here.

    Call `begin` before anything is sent to a server, and `settle` with the outcome of the request.
    """

    def __init__(
        self, coordinator: Coordinator, nursery: trio.Nursery, service: str, body: bytes
    ) -> None:
        self.coordinator = coordinator
        self.trials = coordinator.trials
        self.nursery = nursery
        self.name = request_fingerprint(service, body)
        #: The instance that granted the trial and the id of the trial.
        self.granted: tuple[str, str] | None = None
        self.deadline = math.inf

    async def begin(self, deadline: float) -> str:
        """Ask for the trial; return why the request may not run, empty if it may."""
        self.deadline = deadline
        reason = "deadline"
        while trio.current_time() < deadline:
            now = trio.current_time()
            if self.trials.canary.is_blocked(self.name, now):
                return "request_blocked"
            if self.trials.canary.is_proven(self.name, now):
                return ""
            verdict = await self._ask_coordinators()
            if verdict in REFUSAL_REASONS:
                return REFUSAL_REASONS[verdict]
            if verdict in ("trial", "proven"):
                return ""
            reason = "deadline" if verdict == "wait" else "peer_unavailable"
            if verdict != "wait":
                await trio.sleep(ASK_RETRY_S)
        return reason

    def settle(self, outcome: Outcome) -> None:
        """Record the outcome of the trial and report it; only the first one counts."""
        if self.granted is None:
            return
        (instance, trial), self.granted = self.granted, None
        end = trial_end(outcome)
        self.trials.record(self.name, end, trial)
        self._report(instance, trial, end)

    async def _ask_coordinators(self) -> str:
        """Ask the coordinator, or its standby if the coordinator cannot be reached."""
        members = self.coordinator.members
        verdict = "elsewhere"
        for instance in coordinators([member.instance for member in members.members], self.name):
            verdict = await self._ask(instance)
            if verdict not in ("elsewhere", "unreachable"):
                break
        return verdict

    async def _ask(self, instance: str) -> str:
        trial = self.trials.new_id()
        left = max(0.0, self.deadline - trio.current_time())
        message = BeginTrial(trial, self.name, math.ceil(left * 1000))
        verdict = "unknown"
        try:
            if instance == self.coordinator.members.instance:
                answer = await self.coordinator.begin(message)
            else:
                answer = await self.coordinator.peers.call(
                    instance, message, min(left, ASK_TIMEOUT_S)
                )
            verdict = answer.verdict
        except RelayError as error:
            if error.ran == "not_run":
                return "unreachable"
        finally:
            # The coordinator may have granted the trial although no answer arrived.
            if verdict == "unknown":
                self._report(instance, trial, "ended")
        if verdict == "trial":
            self.granted = instance, trial
        return "unreachable" if verdict == "unknown" else verdict

    def _report(self, instance: str, trial: str, end: TrialResult) -> None:
        message = EndTrial(trial, self.name, end)
        if instance == self.coordinator.members.instance:
            self.coordinator.end(message)
            return
        self.nursery.start_soon(self._send_report, instance, message)

    async def _send_report(self, instance: str, message: EndTrial) -> None:
        """Send the report until it is accepted or the lease of the trial has expired."""
        until = max(self.deadline, trio.current_time()) + REPORT_MARGIN_S
        while trio.current_time() < until:
            try:
                await self.coordinator.peers.call(instance, message, REPORT_TIMEOUT_S)
                return
            except RelayError:
                await trio.sleep(REPORT_RETRY_S)
        event("trial_not_reported", peer=instance, fingerprint=self.name, outcome=message.outcome)
