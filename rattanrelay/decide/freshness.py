"""Freshness of what an instance knows of the searchers.

The load: entries of searchers change one by one, in bursts while an index is divided anew, and by
thousands while an instance is cut off. Batching keeps the calls of its readers few, and must not
delay a change that is older already.

A searcher that leaves, or whose entry is gone, serves for a known time. In it lies the whole way of
the change: a reader's pause and watch, one that has gone silent and its repetition, the message to
the followers, a lost reader or link and the choice of another one, and the grace period of an entry
that is gone. `FreshnessTimes` divides that time among them.
"""

from typing import NamedTuple

__all__ = ["WATCH_GRACE_S", "FreshnessTimes", "WatchPace", "freshness_times", "known_within"]

#: Share of the time for which a searcher that leaves still serves, in which all instances that
#: reach the store have stopped sending to it.
KNOWN_SHARE = 0.85
#: Least time in seconds between the two.
LEAST_MARGIN_S = 0.5
#: Longest time in seconds between two answers of the store, and the same as a share of that time,
#: for an instance that reads for itself, and for one that reads for others, which learn later.
LONGEST_CYCLE_S = 1.3
CYCLE_SHARE = 0.4
SHARED_CYCLE_SHARE = 0.2
#: Time in seconds after the end of a watch's wait at which the call times out.
WATCH_GRACE_S = 0.5
#: Time in seconds for delays of messages and tasks.
DELAY_S = 0.1
#: Time in seconds after which a reader without changes sends a heartbeat.
HEARTBEAT_S = 0.7
#: Answers with fewer changes than this are complete: even large entries fit into one answer.
SHORT_ANSWER = 8
#: Time in seconds for which a watch waits that shows whether there are more changes.
PROBE_WAIT_S = 0.05


def known_within(drain: float) -> float:
    """Return the time in seconds from the store's acknowledgement of a change to the last request.

    `drain` is the time for which a searcher that leaves still serves.
    """
    return max(0.0, min(KNOWN_SHARE * drain, drain - LEAST_MARGIN_S))


class FreshnessTimes(NamedTuple):
    """Times of the way from the store to a request; in seconds."""

    #: Longest time between two answers of the store, for an instance that reads for itself.
    cycle: float
    #: The same for an instance that reads for others.
    shared_cycle: float
    #: Age of a reader's state at which it is passed on no more: a watch and its repetition on a new
    #: connection had no answer.
    passed_on: float
    #: Age of the state at which a follower leaves its reader, whatever it hears from it.
    followed: float


def freshness_times(drain: float) -> FreshnessTimes:
    """Return the times if a searcher that leaves still serves for `drain` seconds."""
    shared = min(LONGEST_CYCLE_S, SHARED_CYCLE_SHARE * drain)
    passed_on = shared + 2 * WATCH_GRACE_S + PROBE_WAIT_S + DELAY_S
    return FreshnessTimes(
        min(LONGEST_CYCLE_S, CYCLE_SHARE * drain), shared, passed_on, passed_on + HEARTBEAT_S
    )


class WatchPace:
    """Pause and wait of the next watch of a prefix; times in seconds."""

    def __init__(self, cycle: float) -> None:
        #: Longest time without an answer while nothing changes.
        self.cycle = cycle
        #: Whether all changes up to the last answer are known.
        self.caught_up = False
        #: Pause before the next call, in which changes are batched.
        self.pause = 0.0
        #: Largest number of changes in an answer. The store states no limit of it.
        self.longest_answer = 0

    @property
    def wait(self) -> float:
        """Time for which the next watch waits for a change."""
        return max(PROBE_WAIT_S, self.cycle - self.pause) if self.caught_up else PROBE_WAIT_S

    def record_failure(self) -> None:
        """Record that a call had no answer, so that changes may be missing."""
        self.caught_up = False
        self.pause = 0.0

    def record_list(self) -> None:
        """Record a list of all items."""
        self.caught_up = True
        self.pause = 0.0

    def record_changes(self, changes: int, to_latest: bool, batch: float) -> None:
        """Record an answer with some changes.

        `to_latest` is whether it covers more than these changes, so that none can follow them.
        Changes are batched for `batch` seconds, unless the answer may be a full one.
        """
        full = changes >= max(SHORT_ANSWER, self.longest_answer / 2)
        self.longest_answer = max(self.longest_answer, changes)
        self.caught_up = to_latest or not full
        longest = max(0.0, self.cycle - PROBE_WAIT_S)
        self.pause = min(batch, longest) if self.caught_up and changes else 0.0
