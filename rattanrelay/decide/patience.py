"""How long a request waits: for a second searcher, and for the last parts of a response.

The decisions answer queries over many shards, of which nearly every one meets a searcher that
pauses or is slow: a hedge costs one request, and a response just before the caller's target is
worth more than the whole response after it.
"""

import math
from collections import deque
from statistics import median

__all__ = ["RecentLag", "RecentLatency", "ShortestTime", "answer_by", "hedge_after"]

#: Latencies that are kept for the usual latency of a kind of request.
SAMPLES = 64
#: The median is computed again after this many new latencies.
REFRESH = 8
#: Lags that are kept, and the one that is expected of the next request: most responses are in time
#: then, and a single long one changes little.
LAG_SAMPLES = 32
LAG_QUANTILE = 0.8
#: Time for which the shortest time counts at least, in seconds; twice that at most. A searcher that
#: becomes faster is noticed by the next work that is short enough to be sent, or after this time.
SHORTEST_MEMORY_S = 1.0
#: A hedge is sent after this multiple of the usual latency; 1.6 is its 91st percentile where the
#: latency is spread by a factor of 1.4.
HEDGE_FACTOR = 1.6
#: No hedge is sent earlier, in seconds: two round trips between failure domains and a wake-up.
MIN_HEDGE_S = 0.006
#: Share of the target after which a response with enough parts is sent at the latest.
TARGET_SHARE = 0.88
#: Time for reading the request, merging and waking up, in seconds.
HANDLING_S = 0.006
#: Round trip to a client where the kernel does not tell it, in seconds.
ROUND_TRIP_S = 0.006


class RecentLatency:
    """Median of the recent latencies of one kind of request, in seconds."""

    def __init__(self, initial: float) -> None:
        self.samples: list[float] = []
        self.next = 0
        self.until_refresh = 1
        self.usual = initial

    def add(self, latency: float) -> None:
        """Add the latency of a complete response."""
        if len(self.samples) < SAMPLES:
            self.samples.append(latency)
        else:
            self.samples[self.next] = latency
            self.next = (self.next + 1) % SAMPLES
        self.until_refresh -= 1
        if self.until_refresh <= 0:
            self.until_refresh = REFRESH if len(self.samples) >= REFRESH else 1
            self.usual = median(self.samples)


class ShortestTime:
    """Shortest time that recent work took, in seconds; work with less time left cannot end."""

    def __init__(self) -> None:
        self.since = -math.inf
        self.before = math.inf
        self.current = math.inf

    def add(self, taken: float, now: float) -> None:
        """Add the time that completed work took."""
        self._forget(now)
        self.current = min(self.current, taken)

    def at(self, now: float) -> float:
        """Return the shortest time, 0 if none is known."""
        self._forget(now)
        shortest = min(self.before, self.current)
        return 0.0 if math.isinf(shortest) else shortest

    def _forget(self, now: float) -> None:
        if now - self.since >= 2 * SHORTEST_MEMORY_S:
            self.before = self.current = math.inf
            self.since = now
        elif now - self.since >= SHORTEST_MEMORY_S:
            self.before, self.current = self.current, math.inf
            self.since += SHORTEST_MEMORY_S


class RecentLag:
    """How late this instance acts on a due time, in seconds, while its processor is busy."""

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=LAG_SAMPLES)
        self.usual = 0.0

    def add(self, lag: float) -> None:
        """Add the time between a due time and the moment at which it was acted on."""
        self.samples.append(max(0.0, lag))
        ordered = sorted(self.samples)
        self.usual = ordered[int(LAG_QUANTILE * (len(ordered) - 1))]


def hedge_after(expected: float, usual: float) -> float:
    """Return the seconds until a hedge.

    A searcher that is known to be slow gets no more time than the usual one.
    """
    return max(MIN_HEDGE_S, HEDGE_FACTOR * min(expected, usual))


def answer_by(
    arrived: float,
    target: float,
    round_trip: float = ROUND_TRIP_S,
    *,
    new: bool = False,
    lag: float = 0.0,
) -> float:
    """Return the time at which a response with enough parts is sent.

    The caller counts from before its request left, and on a new connection from before that was
    open; both take a round trip to the client. An instance that acts with a `lag` has also read the
    request that late.
    """
    path = round_trip * (2.0 if new else 1.0) + HANDLING_S + 2.0 * lag
    return arrived + max(target * 0.5, min(TARGET_SHARE * target, target - path))
