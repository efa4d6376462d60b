"""Grace periods for searchers and instances whose entries are missing from the store.

An entry disappears when its searcher leaves, and also when it expires because it could not be
renewed while the store was unavailable. In the second case it reappears soon after the store does.
"""

from collections.abc import Iterable

from .freshness import known_within

__all__ = ["MISSING_ENTRY_GRACE_S", "REGISTRATION_GRACE_S", "grace_until", "unlisted_in_use"]

#: Entries that expired in an outage of the store reappear within about this time, in seconds.
MISSING_ENTRY_GRACE_S = 2.0
#: Time from a change of an entry until this instance acts on it, in seconds.
REACTION_S = 0.2
#: Time in seconds after an outage of the store in which the instances whose leases have expired
#: register again: two of their renewals.
REGISTRATION_GRACE_S = 9.0


def unlisted_in_use(
    known: Iterable[str], listed: Iterable[str], now: float, store_back: float | None
) -> set[str]:
    """Return the known instances that are no longer listed and stay in use.

    `store_back` is when the store last became available to this instance, None while it is not. In
    an outage the leases of all instances may expire, although they serve.
    """
    if store_back is not None and now >= store_back + REGISTRATION_GRACE_S:
        return set()
    return set(known) - set(listed)


def grace_until(now: float, store_back: float | None, drain: float, *, age: float = 0.0) -> float:
    """Return until when a searcher with a missing entry may still be used.

    `store_back` is when the store last became available to this instance, None while it is not.
    `drain` is the time for which a leaving searcher still serves. Only its return distinguishes an
    entry that expired in a short outage from one whose searcher left. The entry may have been
    missing for `age` seconds before this instance noticed.
    """
    if store_back is None:
        return now + MISSING_ENTRY_GRACE_S
    if now < store_back + MISSING_ENTRY_GRACE_S:
        age = 0.0
    left = known_within(drain) - REACTION_S - age
    return max(now, store_back) + max(0.0, min(MISSING_ENTRY_GRACE_S, left))
