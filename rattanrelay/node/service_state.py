"""The state that an instance keeps about one service."""

from ..decide.admission import Admission, Overload
from ..decide.budget import Budget
from ..decide.hedging import LatencyWindow
from ..decide.proven import ProvenRequests
from ..decide.selection import Replica
from ..decide.snapshot import SnapshotKnowledge
from ..table import ServiceRow
from .plan import Plan

__all__ = ["ServiceState"]

#: Time after a change of the table or the view within which a planned change of owners completes.
OWNER_CHANGE_S = 2.0


class ServiceState:
    """Observations of one service, kept in memory only."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.knowledge = SnapshotKnowledge()
        self.latencies = LatencyWindow()
        self.budget = Budget()
        self.overload = Overload()
        self.admission = Admission()
        self.proven = ProvenRequests()
        self.plan_key: tuple = ()
        self.plan: Plan | None = None
        #: Time at which the plan was last rebuilt after a change of table, view or snapshot.
        self.planned_at = -OWNER_CHANGE_S

    def owners_may_change(self, now: float) -> bool:
        """Return whether owners of backend servers may be changing now."""
        return now < self.planned_at + OWNER_CHANGE_S

    def spend_budget(self, cost: float, row: ServiceRow, now: float) -> bool:
        """Take `cost` from the budget for an extra sub-request; return whether it may be sent."""
        if cost <= 0.0:
            return True
        overloaded = self.overload.is_overloaded(row.warm_latency_ms / 1000, now)
        return self.budget.take(cost, overloaded=overloaded)
