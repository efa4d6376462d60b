"""Metrics of a daemon and their exposition for `/metrics`."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["COVERAGE_BUCKETS", "LATENCY_BUCKETS_S", "Collectors", "Metrics"]

LATENCY_BUCKETS_S = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.13, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0
]  # fmt: skip

COVERAGE_BUCKETS = [0.0, 0.5, 0.66, 0.9, 0.95, 0.99, 0.999, 1.0]


class Collectors:
    """Collectors of one process in their own registry."""

    def __init__(self, instance: str) -> None:
        self.registry = Registry()
        self.labels = {"instance": instance}

    def add(self, kind, name: str, doc: str, **options):
        """Return a new collector of class `kind`, named `rattanrelay_<name>`."""
        # The default is the global registry of the library, which accepts each name only once.
        options["registry"] = self.registry
        return kind(f"rattanrelay_{name}", doc, const_labels=self.labels, **options)

    def text(self, accept: str = "text/plain") -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its headers for the given `Accept` value."""
        content, headers = render(self.registry, [accept])
        return content, {name.lower(): value for name, value in headers.items()}


class Metrics(Collectors):
    """Collectors of one daemon."""

    def __init__(self, instance: str) -> None:
        super().__init__(instance)
        self.latency = self.add(
            Histogram,
            "query_latency_seconds",
            "Latency of answers by service, tenant and class",
            buckets=LATENCY_BUCKETS_S,
        )
        self.coverage = self.add(
            Histogram,
            "query_coverage",
            "Fraction of the shards that an answer covers, by service",
            buckets=COVERAGE_BUCKETS,
        )
        self.admission_limit = self.add(
            Gauge, "admission_limit", "Limit on the queries in flight at this instance, by service"
        )
        self.answers = self.add(Counter, "answers_total", "Answers by service and outcome")
        self.refusals = self.add(Counter, "refusals_total", "Refusals by service and code")
        self.shards = self.add(Counter, "shards_total", "Shards by service and result or reason")
        self.subrequests = self.add(
            Counter,
            "subrequests_total",
            "Sub-requests by service and kind (query, hedge, retry, canary, suspect)",
        )
        self.slots = self.add(Gauge, "slots_in_use", "Slots in use by searcher")
        self.slot_limit = self.add(Gauge, "slots_limit", "Current limit on slots by searcher")
        self.store_calls = self.add(Gauge, "store_calls_total", "Calls to the store by kind")
        self.revision = self.add(Gauge, "document_revision", "Revision in force by document")
        self.drain_state = self.add(
            Gauge, "drain_state", "1 for the current state of the planned stop, 0 for the others"
        )
        self.drain_phase = self.add(
            Gauge, "drain_phase_seconds", "Duration of each completed phase of the planned stop"
        )
        self.degraded = self.add(Gauge, "degraded", "1 for each condition that holds, by reason")
