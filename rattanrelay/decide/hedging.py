"""When to send a hedge: after the 95th percentile of recent sub-request latency."""

__all__ = ["LatencyWindow"]

#: Number of recent latencies that are kept.
WINDOW = 512
#: The percentile is computed again after this many new latencies.
REFRESH = 64
#: No hedge is sent before this many latencies are known.
MIN_SAMPLES = 20
PERCENTILE = 0.95
#: A hedge earlier than this would cost more than it can save, in seconds.
MIN_DELAY_S = 0.002


class LatencyWindow:
    """Recent latencies of the sub-requests of one service, in seconds.

    A shard that a hedge answered counts with the time since its first sub-request. Leaving it
    out would lower the percentile while replicas are slow.
    """

    def __init__(self) -> None:
        self.samples: list[float] = []
        self.next = 0
        self.until_refresh = MIN_SAMPLES
        self._delay: float | None = None

    def add(self, latency: float) -> None:
        """Add a latency; the oldest one leaves a full window."""
        if len(self.samples) < WINDOW:
            self.samples.append(latency)
        else:
            self.samples[self.next] = latency
            self.next = (self.next + 1) % WINDOW
        self.until_refresh -= 1
        if not self.until_refresh:
            self._refresh()

    def add_unfinished(self, elapsed: float) -> None:
        """Add a sub-request without a result; shorter times than the delay say nothing."""
        if self._delay is not None and elapsed > self._delay:
            self.add(elapsed)

    def delay(self) -> float | None:
        """Return the hedge delay in seconds, None while too little is known."""
        return self._delay

    def _refresh(self) -> None:
        self.until_refresh = REFRESH
        ordered = sorted(self.samples)
        index = min(len(ordered) - 1, int(len(ordered) * PERCENTILE))
        self._delay = max(MIN_DELAY_S, ordered[index])
