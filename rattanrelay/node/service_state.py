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

    def take_budget(self, price: float, row: ServiceRow, now: float) -> bool:
        """Pay for an extra sub-request; False when it must not be sent."""
        if price <= 0.0:
            return True
        overloaded = self.overload.holds(row.warm_latency_ms / 1000, now)
        return self.budget.take(price, overloaded=overloaded)
