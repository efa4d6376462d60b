"""Counts and latency histograms of a load run."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from .arrivals import Arrival

__all__ = ["PERCENTILES", "Recorder", "RequestStats"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class RequestStats:
    """Counts and latency histogram of one group of requests; latencies in microseconds."""

    def __init__(self) -> None:
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.codes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.shards = 0
        self.answered = 0
        self.complete = 0

    def add(self, latency_s: float, status: int, answer: dict) -> None:
        """Record one answer; a request without status 200 is counted but its latency is ignored."""
        self.outcomes[answer.get("outcome", "unknown")] += 1
        if status != 200:
            self.codes[answer.get("code", f"status_{status}")] += 1
            return
        self.latency.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(latency_s * 1e6))))
        coverage = answer.get("coverage")
        if coverage is None:
            return
        self.shards += coverage["shards"]
        self.answered += coverage["answered"]
        self.complete += coverage["shards"] == coverage["answered"]
        self.reasons.update(item["reason"] for item in coverage["missing"])

    def summary(self) -> dict:
        """Return counts, percentiles in ms and coverage as JSON values."""
        done = self.latency.get_total_count()
        return {
            "requests": sum(self.outcomes.values()),
            "done": done,
            "outcomes": dict(self.outcomes),
            "codes": dict(self.codes),
            "latency_ms": {
                f"p{value:g}": round(self.latency.get_value_at_percentile(value) / 1000, 2)
                for value in PERCENTILES
            },
            "max_ms": round(self.latency.get_max_value() / 1000, 2),
            "coverage": round(self.answered / self.shards, 6) if self.shards else None,
            "complete": round(self.complete / done, 6) if done else None,
            "missing": dict(self.reasons),
        }


class Recorder:
    """Statistics of a load run in total, by phase and by tenant."""

    def __init__(self) -> None:
        self.total = RequestStats()
        self.phases: dict[str, RequestStats] = {}
        self.tenants: dict[str, RequestStats] = {}

    def add(self, arrival: Arrival, latency_s: float, status: int, answer: dict) -> None:
        """Record the answer to one arrival."""
        groups = (
            self.total,
            self.phases.setdefault(str(arrival.phase), RequestStats()),
            self.tenants.setdefault(arrival.tenant, RequestStats()),
        )
        for stats in groups:
            stats.add(latency_s, status, answer)

    def summary(self) -> dict:
        """Return the statistics of all groups as JSON values."""
        return {
            "total": self.total.summary(),
            "phases": {name: stats.summary() for name, stats in self.phases.items()},
            "tenants": {name: stats.summary() for name, stats in self.tenants.items()},
        }
