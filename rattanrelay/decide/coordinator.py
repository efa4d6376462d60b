"""The coordinator of a fingerprint's trials: it grants them one at a time for the whole fleet."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Literal, NamedTuple

from .canary import Canary
from .ownership import ranked

__all__ = ["COORDINATORS", "End", "Lease", "TrialCoordinator", "Verdict", "coordinators"]

#: The coordinator and its standby. The standby is asked while the coordinator cannot be reached. It
#: is also the one that becomes coordinator when the coordinator leaves the view.
COORDINATORS = 2

#: Reports on trials that are not held which are remembered; the oldest are forgotten first.
MAX_WITHDRAWN = 1000

#: Run it as the only trial, run it freely, ask again later, refuse it, or confirm with the other
#: members first.
Verdict = Literal["trial", "proven", "wait", "blocked", "suspect", "confirm"]

#: What a trial showed: a success, a lost server, or nothing.
End = Literal["succeeded", "lost", "ended"]


class Lease(NamedTuple):
    """The one trial of a fingerprint that may be running, and until when that is possible."""

    trial: str
    until: float


def coordinators(instances: Iterable[str], name: str) -> tuple[str, ...]:
    """Return the coordinator and the standby of a fingerprint among the members of a view."""
    return tuple(ranked(instances, name)[:COORDINATORS])


class TrialCoordinator:
    """Trials that this instance has granted; times are seconds on the caller's clock.

    Blocks and losses are those of `canary`. A lease that ends without a report counts as a loss:
    the asker may have died after its trial crashed a server, and nobody else would count that.
    The cost is a suspect fingerprint, which has one more trial, when nothing was lost.
    """

    def __init__(self, canary: Canary) -> None:
        self.canary = canary
        self.leases: dict[str, Lease] = {}
        #: Trials that were reported as ended before they were asked for: after a pause of this
        #: instance, both messages wait and may be handled in any order.
        self.withdrawn: OrderedDict[str, None] = OrderedDict()

    def begin(self, name: str, trial: str, hold_s: float, now: float) -> Verdict:
        """Ask for a trial that has ended for certain after `hold_s`.

        After `trial`, `end` should follow. After `confirm` the trial is reserved, and `confirm` or
        `end` must follow.
        """
        self._expire_one(name, now)
        if self.canary.is_blocked(name, now):
            return "blocked"
        if self.canary.is_proven(name, now):
            return "proven"
        if name in self.leases or trial in self.withdrawn:
            return "wait"
        self.leases[name] = Lease(trial, now + hold_s)
        return "confirm" if self.canary.is_suspect(name, now) else "trial"

    def confirm(self, name: str, trial: str, now: float, *, complete: bool) -> Verdict:
        """Decide on a reserved second trial after the other members were asked.

        `complete` says that each other member has taken over the first loss and that the losses
        they know were merged. A later coordinator then knows of the first loss, so it cannot grant
        two trials as well.
        """
        blocked = self.canary.is_blocked(name, now)
        if complete and not blocked and self._holds(name, trial):
            return "trial"
        self.end(name, trial, "ended", now)
        return "blocked" if blocked else "suspect"

    def end(self, name: str, trial: str, end: End, now: float) -> None:
        """Take the report on a trial.

        A loss counts whenever it is reported, but once. A success counts only under the lease:
        after it, a later trial may have lost a server.
        """
        held = self._holds(name, trial)
        if held:
            del self.leases[name]
        else:
            self._withdraw(trial)
        if end == "lost":
            self.canary.lost(name, trial, now)
        elif end == "succeeded" and held:
            self.canary.succeeded(name, now)

    def expire(self, now: float) -> list[str]:
        """Count trials without a report as losses; return their fingerprints."""
        return [name for name in list(self.leases) if self._expire_one(name, now)]

    def _withdraw(self, trial: str) -> None:
        self.withdrawn[trial] = None
        if len(self.withdrawn) > MAX_WITHDRAWN:
            self.withdrawn.popitem(last=False)

    def _expire_one(self, name: str, now: float) -> bool:
        lease = self.leases.get(name)
        if lease is None or now < lease.until:
            return False
        self.end(name, lease.trial, "lost", now)
        return True

    def _holds(self, name: str, trial: str) -> bool:
        lease = self.leases.get(name)
        return lease is not None and lease.trial == trial
