"""Responses to requests that are not served.

Some statuses state that the request has not run and never will. `permitted_status` decides whether
a response may have one of them, for every response that an instance creates or relays.
"""

from typing import NamedTuple

__all__ = [
    "BAD_GATEWAY",
    "GATEWAY_TIMEOUT",
    "NOT_RUN_STATUSES",
    "RETRY_AFTER_S",
    "Refusal",
    "permitted_status",
    "refusal",
    "register_reason",
]

#: Statuses which state that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Statuses that leave open whether the request has run.
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Refusal(NamedTuple):
    """Status, reason, and the seconds until another attempt may succeed (0 if none is stated)."""

    status: int
    reason: str
    retry_after: float


#: Seconds until another attempt may succeed, by the reason why a request has not run.
RETRY_AFTER_S: dict[str, float] = {}
#: Statuses other than 503, by reason.
REASON_STATUSES: dict[str, int] = {}


def register_reason(name: str, retry_after: float, status: int = 503) -> str:
    """Register a reason for which a request is refused before it runs, and return its name.

    Raises `ValueError` if the reason is already registered.
    """
    if name in RETRY_AFTER_S:
        raise ValueError(f"reason {name!r} is registered twice")
    RETRY_AFTER_S[name] = retry_after
    if status != 503:
        REASON_STATUSES[name] = status
    return name


#: The instance stops; another one accepts the next connection at once.
STOPPING = register_reason("stopping", 0.01)
#: The instance starts; it reads the configuration within this time once the store responds.
NOT_READY = register_reason("not_ready", 0.3)
#: No searcher is known; an instance with newer entries of the store may know one.
NO_SEARCHER = register_reason("no_searcher", 0.05)
#: The searchers shed load while a queue of a few requests is full; it empties in about this time.
SHED = register_reason("shed", 0.1)
#: The request has ended several searchers that ran it; it is refused for a longer time.
QUARANTINED = register_reason("quarantined", 600.0)
#: The searchers have stated that they take no more requests now.
RATE_LIMITED = register_reason("rate_limited", 0.25)
#: The configuration may be out of date, so that the key cannot be checked; another instance may be
#: in touch with the store.
UNVERIFIED_KEY = register_reason("unverified_key", 0.05)
#: The workspace has used up its quota.
QUOTA = register_reason("quota", 0.1, 429)
#: No instance can be reached that may tell whether the workspace has used up its quota.
QUOTA_UNKNOWN = register_reason("quota_unknown", 0.2, 429)
#: All connections to a service are in use.
NO_CONNECTION = register_reason("no_connection", 0.05)
#: The request was not sent in time.
SLOW_REQUEST = register_reason("slow_request", 0.0, 408)
#: The memory of a request that is not complete is needed for others.
INCOMPLETE = register_reason("incomplete", 1.0)


def permitted_status(status: int, *, may_have_run: bool, otherwise: int = BAD_GATEWAY) -> int:
    """Return a status for the response to a request; `otherwise` in place of a false statement.

    `may_have_run` is whether any searcher, asked by any instance, may have run the request or may
    still run it.
    """
    return otherwise if may_have_run and status in NOT_RUN_STATUSES else status


def refusal(reason: str, *, may_have_run: bool, timed_out: bool = False) -> Refusal:
    """Return the response to a request that is not served.

    The status is that of the reason if the request has not run; otherwise 504 after a timeout and
    else 502.
    """
    status = permitted_status(
        REASON_STATUSES.get(reason, 503),
        may_have_run=may_have_run,
        otherwise=GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY,
    )
    retry_after = 0.0 if may_have_run else RETRY_AFTER_S.get(reason, 0.1)
    return Refusal(status, reason, retry_after)
