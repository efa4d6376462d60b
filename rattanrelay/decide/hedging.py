"""When to send a hedge: after the 95th percentile of recent sub-request latency."""

__all__ = ["LatencyWindow"]

#: Number of recent latencies that are kept.
WINDOW = 512
#: The percentile is computed again after this many new latencies.
REFRESH = 64
#: No hedge is sent before this many latencies are known.
MIN_SAMPLES = 20
PERCENTILE = 0.95
#: Shortest hedge delay, in seconds; an earlier hedge would cost more than it can save.
MIN_DELAY_S = 0.002


class LatencyWindow:
    """Recent latencies of the sub-requests of one service, in seconds.

    A shard that a hedge answered counts with the time since its first sub-request: without it, the
    percentile would be too low while replicas are slow.
    """

    def __init__(self) -> None:
        self.samples: list[float] = []
        self.next = 0
        self.until_refresh = MIN_SAMPLES
        self._delay: float | None = None

    def add(self, latency: float) -> None:
        """Add a latency; it replaces the oldest one of a full window."""
        if len(self.samples) < WINDOW:
            self.samples.append(latency)
        else:
            self.samples[self.next] = latency
            self.next = (self.next + 1) % WINDOW
        self.until_refresh -= 1
        if not self.until_refresh:
            self._refresh()

    def add_unfinished(self, elapsed: float) -> None:
        """Add a sub-request without a result after `elapsed` seconds.

        It counts only if that is longer than the hedge delay.
        """
        if self._delay is not None and elapsed > self._delay:
            self.add(elapsed)

    def delay(self) -> float | None:
        """Return the hedge delay in seconds, None before `MIN_SAMPLES` latencies are known."""
        return self._delay

    def _refresh(self) -> None:
        self.until_refresh = REFRESH
        ordered = sorted(self.samples)
        index = min(len(ordered) - 1, int(len(ordered) * PERCENTILE))
        self._delay = max(MIN_DELAY_S, ordered[index])
