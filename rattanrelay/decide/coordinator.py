"""The coordinator of a fingerprint, which grants its trials one at a time for the whole fleet."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Literal, NamedTuple

from .canary import Canary
from .ownership import ranked

__all__ = ["COORDINATORS", "Lease", "TrialCoordinator", "TrialResult", "Verdict", "coordinators"]

#: The coordinator and its standby. The standby is asked while the coordinator cannot be reached,
#: and becomes the coordinator when that leaves the view.
COORDINATORS = 2

#: Most remembered reports on trials without a lease; the oldest are evicted first.
MAX_ENDED_EARLY = 1000

#: Answer to a request for a trial. `trial`: run as the only trial. `proven`: run without a trial.
#: `wait`: ask again later. `blocked`, `suspect`: refuse. `confirm`: ask the other members first.
Verdict = Literal["trial", "proven", "wait", "blocked", "suspect", "confirm"]

#: Result of a trial: a success, a lost server, or no evidence.
TrialResult = Literal["succeeded", "lost", "ended"]


class Lease(NamedTuple):
    """The only trial of a fingerprint that may be running, and until when it may run."""

    trial: str
    until: float


def coordinators(instances: Iterable[str], name: str) -> tuple[str, ...]:
    """Return the coordinator and the standby of a fingerprint among the members of a view."""
    return tuple(ranked(instances, name)[:COORDINATORS])


class TrialCoordinator:
    """Trials that this instance has granted; times are seconds on the caller's clock.

    Blocks and losses are kept in `canary`. A lease that expires without a report counts as a loss:
    the requesting instance may have died after its trial crashed a server, and no other process
    would count that. If nothing was lost, the cost is a suspected fingerprint, which gets one more
    trial.
    """

    def __init__(self, canary: Canary) -> None:
        self.canary = canary
        self.leases: dict[str, Lease] = {}
        #: Trials whose end was reported before they were requested: after a pause of this instance,
        #: both messages are waiting and may be processed in any order.
        self.ended_early: OrderedDict[str, None] = OrderedDict()

    def begin(self, name: str, trial: str, hold_s: float, now: float) -> Verdict:
        """Request a trial that has certainly ended after `hold_s` seconds.

        After the verdict `trial`, a call of `end` should follow. After `confirm` the trial is
        reserved, and a call of `confirm` or `end` must follow.
        """
        self._expire_one(name, now)
        if self.canary.is_blocked(name, now):
            return "blocked"
        if self.canary.is_proven(name, now):
            return "proven"
        if name in self.leases or trial in self.ended_early:
            return "wait"
        self.leases[name] = Lease(trial, now + hold_s)
        return "confirm" if self.canary.is_suspect(name, now) else "trial"

    def confirm(self, name: str, trial: str, now: float, *, complete: bool) -> Verdict:
        """Decide on a reserved second trial after the other members were asked.

        `complete` means that each other member has recorded the first loss and that the losses it
        knows were merged here. A later coordinator then knows of the first loss, so it cannot
        grant two more trials.
        """
        blocked = self.canary.is_blocked(name, now)
        if complete and not blocked and self._holds(name, trial):
            return "trial"
        self.end(name, trial, "ended", now)
        return "blocked" if blocked else "suspect"

    def end(self, name: str, trial: str, end: TrialResult, now: float) -> None:
        """Process the report on a trial.

        A loss counts whenever it is reported, but only once. A success counts only while the trial
        has its lease: afterwards a later trial may have lost a server.
        """
        held = self._holds(name, trial)
        if held:
            del self.leases[name]
        else:
            self._record_early_end(trial)
        if end == "lost":
            self.canary.lost(name, trial, now)
        elif end == "succeeded" and held:
            self.canary.succeeded(name, now)

    def expire(self, now: float) -> list[str]:
        """Count expired trials without a report as losses; return their fingerprints."""
        return [name for name in list(self.leases) if self._expire_one(name, now)]

    def _record_early_end(self, trial: str) -> None:
        self.ended_early[trial] = None
        if len(self.ended_early) > MAX_ENDED_EARLY:
            self.ended_early.popitem(last=False)

    def _expire_one(self, name: str, now: float) -> bool:
        lease = self.leases.get(name)
        if lease is None or now < lease.until:
            return False
        self.end(name, lease.trial, "lost", now)
        return True

    def _holds(self, name: str, trial: str) -> bool:
        lease = self.leases.get(name)
        return lease is not None and lease.trial == trial
