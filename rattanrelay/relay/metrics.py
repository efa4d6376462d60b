"""Counters and latency histograms of the relay."""

import collections

from aioprometheus import Counter, Gauge, Histogram

from ..decide.load import ToldLoad
from ..decide.placement import Costs
from ..http.intake import Account
from ..metrics import LATENCY_BUCKETS_S, Collectors

__all__ = ["RelayMetrics"]

#: Workspaces that are counted by name, since each one is a time series.
MAX_WORKSPACES = 200


class RelayMetrics(Collectors):
    """Collectors of one instance that relays requests."""

    def __init__(self, instance: str) -> None:
        super().__init__(instance)
        self.latency = self.add(
            Histogram,
            "request_seconds",
            "Time from a request's first byte to its response, by route and status",
            buckets=LATENCY_BUCKETS_S,
        )
        self.requests = self.add(Counter, "requests_total", "Requests by route, status and reason")
        self.subrequests = self.add(
            Counter, "subrequests_total", "Requests to searchers by role and outcome"
        )
        #: Requests to searchers by role and outcome; copied to the collector when it is read.
        self.subrequest_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.workspaces = self.add(
            Counter, "workspace_requests_total", "Requests by workspace and reason"
        )
        self.workspace_names: set[str] = set()
        self.missing = self.add(
            Counter, "missing_parts_total", "Shards that a response left out, by reason"
        )
        self.denied = self.add(
            Counter, "extra_denied_total", "Hedges and retries that the budget did not allow"
        )
        self.admission = self.add(
            Counter,
            "admission_total",
            "Requests that waited or were refused for lack of capacity, by outcome and reason",
        )
        self.admission_wait = self.add(
            Histogram,
            "admission_wait_seconds",
            "Time for which such requests waited, by reason",
            buckets=LATENCY_BUCKETS_S,
        )
        self.admission_waiting = self.add(Gauge, "admission_waiting", "Requests that wait now")
        self.version = self.add(Gauge, "configuration_version", "Version in force")
        self.searchers = self.add(Gauge, "searchers", "Searchers known")
        self.store_calls = self.add(Gauge, "store_calls_total", "Calls to the store by kind")
        self.store_up = self.add(Gauge, "store_up", "1 while the store answers this instance")
        self.state_age = self.add(
            Gauge,
            "searchers_unknown_seconds",
            "Time in which changes of searchers may have been missed",
        )
        self.limited_searchers = self.add(
            Gauge,
            "limited_searchers",
            "Searchers that state a rate, by whether this instance has a part of it",
        )
        self.limit_age = self.add(
            Gauge, "limit_age_seconds", "Time since the oldest of these statements was heard"
        )
        self.unfinished_bytes = self.add(
            Gauge, "unfinished_response_bytes", "Bytes held of responses that are being received"
        )
        self.responses_abandoned = self.add(
            Counter, "responses_abandoned_total", "Responses abandoned for lack of memory"
        )
        self.intake_bytes = self.add(
            Gauge, "intake_bytes", "Bytes held of messages that come in, and their limit, by kind"
        )
        self.intake_connections = self.add(
            Gauge, "intake_connections", "Connections opened by others, by listener and kind"
        )
        self.intake_closed = self.add(
            Counter, "intake_closed_total", "Connections closed for lack of room, by what lacked"
        )
        self.intake_waits = self.add(
            Counter, "intake_waits_total", "Reads that waited for memory of the intake"
        )
        self.refused = self.add(
            Counter, "requests_refused_total", "Requests refused while they were read, by status"
        )
        self.searcher_connections = self.add(
            Gauge, "searcher_connections", "Connections to searchers, and their limit, by kind"
        )
        self.complete_bytes = self.add(
            Gauge, "complete_response_bytes", "Bytes held of large responses that are complete"
        )
        self.tasks_failed = self.add(
            Counter, "tasks_failed_total", "Tasks that ended by an unexpected error, by function"
        )
        self.quota = self.add(
            Counter, "quota_total", "Requests of workspaces with a limit, by decision"
        )
        self.quota_workspaces = self.add(
            Gauge, "quota_workspaces", "Workspaces of which state is kept here, by role"
        )
        self.told_searchers = self.add(Gauge, "told_searchers", "Searchers that tell their load")
        self.told_requests = self.add(
            Gauge, "told_requests", "Requests and slots that they told last, by state"
        )
        self.told_age = self.add(Gauge, "told_age_seconds", "Mean age of the told loads")
        self.costs = self.add(
            Counter,
            "placement_cost_seconds_total",
            "Cost of answered requests, expected and actual, by route",
        )
        self.cost_answers = self.add(
            Counter,
            "placement_answers_total",
            "Answered requests by route and whether their cost was off by more than twice",
        )
        self.log_dropped = self.add(Gauge, "log_lines_dropped", "Log lines that were dropped")

    def update_intake(self, account: Account) -> None:
        """Set the collectors of the memory account."""
        limits = account.intake.limits
        self.intake_bytes.set({"kind": "held"}, account.intake.total)
        self.intake_bytes.set({"kind": "detached"}, account.intake.detached)
        self.intake_bytes.set({"kind": "limit"}, limits.messages)
        for lane, count in account.intake.counts.items():
            listener = lane.name.lower()
            self.intake_connections.set({"listener": listener, "kind": "open"}, count)
            limit = limits.connections[lane]
            self.intake_connections.set({"listener": listener, "kind": "limit"}, limit)
            closed = account.closed_for_connections[lane]
            self.intake_closed.set({"lack": f"{listener} connections"}, closed)
        self.intake_closed.set({"lack": "memory"}, account.closed_for_memory)
        self.intake_waits.set({}, account.waited)
        for status, count in account.refused.items():
            self.refused.set({"status": str(status)}, count)

    def show_placement(self, told: list[ToldLoad], costs: Costs, now: float) -> None:
        """Set the collectors of told loads and of expected and actual costs."""
        self.told_searchers.set({}, len(told))
        for state in ("running", "waiting", "slots"):
            self.told_requests.set({"state": state}, sum(getattr(one, state) for one in told))
        self.told_age.set({}, sum(now - one.at for one in told) / max(len(told), 1))
        for route, totals in costs.totals.items():
            self.costs.set({"route": route, "kind": "expected"}, totals.expected)
            self.costs.set({"route": route, "kind": "actual"}, totals.actual)
            self.cost_answers.set({"route": route, "off": "no"}, totals.answers - totals.off)
            self.cost_answers.set({"route": route, "off": "yes"}, totals.off)

    def text(self, accept: str = "text/plain") -> tuple[bytes, dict[str, str]]:
        """Return the exposition text with current counts, and its headers."""
        for (role, outcome), count in self.subrequest_counts.items():
            self.subrequests.set({"role": role, "outcome": outcome}, count)
        return super().text(accept)

    def count_workspace(self, name: str, reason: str) -> None:
        """Count a request of a workspace; those beyond a number of workspaces count together."""
        if name not in self.workspace_names:
            if len(self.workspace_names) >= MAX_WORKSPACES:
                name = "other"
            else:
                self.workspace_names.add(name)
        self.workspaces.inc({"workspace": name, "reason": reason})
