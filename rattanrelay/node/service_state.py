"""What an instance has observed of one service."""

from ..decide.admission import Admission, Overload
from ..decide.budget import Budget
from ..decide.hedging import LatencyWindow
from ..decide.proven import ProvenRequests
from ..decide.selection import Replica
from ..decide.snapshot import SnapshotKnowledge
from ..table import ServiceRow
from .plan import Plan

__all__ = ["ServiceState"]

#: A planned change of owners has ended this long after the table or the view changed.
MOVE_S = 2.0


class ServiceState:
    """Observations of one service; lost on exit."""

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
        #: Time at which the table, view or snapshot of the plan last changed.
        self.planned_at = -MOVE_S

    def is_moving(self, now: float) -> bool:
        """Say whether the owners of backend servers may just be changing."""
        return now < self.planned_at + MOVE_S

    def take_budget(self, price: float, row: ServiceRow, now: float) -> bool:
        """Pay for an extra sub-request; False when it must not be sent."""
        if price <= 0.0:
            return True
        overloaded = self.overload.holds(row.warm_latency_ms / 1000, now)
        return self.budget.take(price, overloaded=overloaded)
