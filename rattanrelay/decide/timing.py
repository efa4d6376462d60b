"""Hedge delays, response times and the latency statistics from which they are computed.

Nearly every query over many shards meets a searcher that pauses or is slow. A hedge costs one more
request, and a partial response just before the caller's target latency is worth more than the
complete response after it.
"""

import math
from collections import deque
from statistics import median

__all__ = [
    "RecentLag",
    "RecentLatency",
    "RecentMinimum",
    "RecentRate",
    "can_finish",
    "first_message_due_at",
    "hedge_delay",
    "likely_latency",
    "response_due_at",
    "silence_delay",
]

#: Number of latencies over which the median of a kind of request is taken.
LATENCY_SAMPLES = 64
#: The median is computed again after this many new latencies.
REFRESH = 8
#: Number of lags that are kept, and the quantile of them that the next request is expected to have:
#: most responses are in time then, and a single long lag changes little.
LAG_SAMPLES = 32
LAG_QUANTILE = 0.8
#: A shortest duration is kept for at least this time and at most twice that, in seconds. A searcher
#: that becomes faster is noticed by the next work that is short enough to be sent, or when the old
#: minimum expires.
MINIMUM_WINDOW_S = 1.0
#: Time over which rates are measured in seconds, and most events that are kept for it: an instance
#: of a large fleet gets a request every few seconds, and a busy one hundreds in each.
RATE_WINDOW_S = 20.0
RATE_EVENTS = 256
#: A hedge is sent after this multiple of the median latency; 1.6 times the median is the 91st
#: percentile where the latency is spread by a factor of 1.4.
HEDGE_FACTOR = 1.6
#: A request to a searcher that tells its load is likely answered within its wait, its expected cost
#: and this multiple of the mean deviation of such costs. In benchmarks.placement, hedges by the
#: expected cost alone raised the mean latency where costs were unknown by 32% at 0.7 of capacity,
#: and by 8% with this multiple.
DEVIATIONS = 2.0
#: Longest hedge delay for a shard, as a share of the target: the hedge must be answered before the
#: partial response is sent.
SHARD_HEDGE_SHARE = 0.4
#: Shortest hedge delay, in seconds: two round trips between failure domains and the time until a
#: task is scheduled.
MIN_HEDGE_S = 0.006
#: Multiple of the median latency, and shortest time in seconds, without any response after which a
#: kept connection may have gone silent: longer than the pauses of searchers that work.
SILENCE_FACTOR = 4.0
MIN_SILENCE_S = 0.25
#: Share of the target latency after which a response with enough parts is sent at the latest.
TARGET_SHARE = 0.88
#: Time for accepting and reading the request, merging the parts and scheduling the task, in seconds
#: of one core.
HANDLING_S = 0.006
#: Time by which the first message of an instance that gathers for this one may be late, in seconds
#: of one core: it sends its own requests first, and this instance handles the messages of others.
FIRST_MESSAGE_MARGIN_S = 0.012
#: Multiple of its usual time that a request needs to be complete before a stop cuts it off.
FINISH_FACTOR = 2.5
#: Round-trip time to a client for which the kernel reports none, in seconds.
ROUND_TRIP_S = 0.006


class RecentLatency:
    """Median of the recent latencies of one kind of request, in seconds."""

    def __init__(self, initial: float) -> None:
        self.samples: list[float] = []
        self.next = 0
        self.until_refresh = 1
        self.median = initial

    def add(self, latency: float) -> None:
        """Add the latency of a complete response."""
        if len(self.samples) < LATENCY_SAMPLES:
            self.samples.append(latency)
        else:
            self.samples[self.next] = latency
            self.next = (self.next + 1) % LATENCY_SAMPLES
        self.until_refresh -= 1
        if self.until_refresh <= 0:
            self.until_refresh = REFRESH if len(self.samples) >= REFRESH else 1
            self.median = median(self.samples)


class RecentMinimum:
    """Shortest duration of recent work, in seconds; work with less time left cannot complete.

    It is the minimum over the current window and the one before.
    """

    def __init__(self) -> None:
        self.window_start = -math.inf
        self.previous = math.inf
        self.current = math.inf

    def add(self, taken: float, now: float) -> None:
        """Add the duration of completed work."""
        self._expire(now)
        self.current = min(self.current, taken)

    def at(self, now: float) -> float:
        """Return the shortest recent duration, 0 if none is known."""
        self._expire(now)
        shortest = min(self.previous, self.current)
        return 0.0 if math.isinf(shortest) else shortest

    def _expire(self, now: float) -> None:
        if now - self.window_start >= 2 * MINIMUM_WINDOW_S:
            self.previous = self.current = math.inf
            self.window_start = now
        elif now - self.window_start >= MINIMUM_WINDOW_S:
            self.previous, self.current = self.current, math.inf
            self.window_start += MINIMUM_WINDOW_S


class RecentRate:
    """Number of events per second over the last `RATE_WINDOW_S`, lower in the first of these."""

    def __init__(self) -> None:
        self.times: deque[float] = deque(maxlen=RATE_EVENTS)

    def add(self, now: float) -> None:
        """Count an event."""
        self.times.append(now)

    def at(self, now: float) -> float:
        """Return the rate; a high one is that of the last `RATE_EVENTS`."""
        while self.times and now - self.times[0] > RATE_WINDOW_S:
            self.times.popleft()
        if len(self.times) == RATE_EVENTS:
            return RATE_EVENTS / max(now - self.times[0], 1e-3)
        return len(self.times) / RATE_WINDOW_S


class RecentLag:
    """Delay with which this instance acts on a due time, in seconds; a busy processor raises it."""

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=LAG_SAMPLES)
        self.quantile = 0.0

    def add(self, lag: float) -> None:
        """Add the time between a due time and the moment at which it was acted on."""
        self.samples.append(max(0.0, lag))
        ordered = sorted(self.samples)
        self.quantile = ordered[int(LAG_QUANTILE * (len(ordered) - 1))]


def can_finish(now: float, cut_at: float, median_latency: float) -> bool:
    """Return whether a request that arrives now is likely complete before it is cut off.

    `median_latency` is that of its route's recent sub-requests.
    """
    return now + FINISH_FACTOR * median_latency <= cut_at


def hedge_delay(expected: float, median_latency: float) -> float:
    """Return the hedge delay in seconds, from the searcher's expected and the median latency.

    A searcher that is known to be slow gets no more time than the median latency allows.
    """
    return max(MIN_HEDGE_S, HEDGE_FACTOR * min(expected, median_latency))


def likely_latency(wait: float, cost: float, deviation: float) -> float:
    """Return the seconds within which most requests of a kind are answered.

    `wait` is the expected time until a slot is free, `cost` the mean cost of the kind and
    `deviation` its mean deviation.
    """
    return wait + cost + DEVIATIONS * deviation


def silence_delay(median_latency: float) -> float:
    """Return the time without a response after which a kept connection is suspected, in seconds.

    The requests in flight on such connections would otherwise all wait for their deadlines.
    """
    return max(MIN_SILENCE_S, SILENCE_FACTOR * median_latency)


def first_message_due_at(
    asked: float, first_after: float, *, lag: float = 0.0, cores: float = 1.0
) -> float:
    """Return the time after which an instance that was asked to gather is suspected; in seconds.

    It sends its first message `first_after` seconds after it was asked. Suspecting an instance that
    works costs as many requests as it gathers shards, on the processor that serves the caller. The
    `lag` of this instance delays both the question and the message. The other instances are taken
    to have as many `cores` as this one.
    """
    return asked + first_after + FIRST_MESSAGE_MARGIN_S / min(cores, 1.0) + 2.0 * lag


def response_due_at(
    arrived: float,
    target: float,
    round_trip: float = ROUND_TRIP_S,
    *,
    new: bool = False,
    lag: float = 0.0,
    cores: float = 1.0,
) -> float:
    """Return the time at which a response with enough parts is sent; times in seconds.

    The caller measures from the moment it sends its request, which costs one `round_trip`; on a
    `new` connection it measures from the start of the connect, which costs another one. The `lag`
    of this instance counts twice, since it also delayed the reading of the request. An instance
    with a part of a core, as `cores` states, needs more time for its own work.
    """
    handling = HANDLING_S / min(cores, 1.0)
    overhead = round_trip * (2.0 if new else 1.0) + handling + 2.0 * lag
    return arrived + max(target * 0.5, min(TARGET_SHARE * target, target - overhead))
