"""When a searcher whose entry is missing counts as gone.

An entry disappears when its searcher leaves, and also when it could not be renewed while the store
was away. In the second case it is back soon after the store's return.
"""

__all__ = ["DOUBT_FOR_S", "doubt_until"]

#: Entries that lapsed in an outage are back within about this time, in seconds.
DOUBT_FOR_S = 2.0
#: Time from the change of an entry until this instance acts on it, in seconds.
NOTICE_S = 0.7


def doubt_until(now: float, store_back: float | None, drain: float) -> float:
    """Return until when a searcher with a missing entry may still be used.

    `store_back` is when this instance last regained the store, None while it is away. `drain` is
    the time for which a leaving searcher still serves. A searcher that left during a
    short outage can still be told from one that lapsed only by its return.
    """
    if store_back is None:
        return now + DOUBT_FOR_S
    return max(now, store_back) + max(0.0, min(DOUBT_FOR_S, drain - NOTICE_S))
