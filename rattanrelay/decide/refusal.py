"""What a caller is told when its request is not served.

A refusal states that the request has not run and never will. It is given only when no searcher can
have started it; all other failures leave that open.
"""

from typing import NamedTuple

__all__ = ["NOT_SERVED", "Refusal", "refusal", "register_reason"]


class Refusal(NamedTuple):
    """Status, reason and the seconds after which another attempt may succeed (0: none stated)."""

    status: int
    reason: str
    retry_after: float


#: Seconds until another attempt may succeed, by the reason why a request has not run.
NOT_SERVED: dict[str, float] = {}


def register_reason(name: str, retry_after: float) -> str:
    """Add a reason for which a request is refused unrun."""
    if name in NOT_SERVED:
        raise ValueError(f"reason {name!r} is registered twice")
    NOT_SERVED[name] = retry_after
    return name


#: The instance stops: another one takes the next connection at once.
STOPPING = register_reason("stopping", 0.01)
#: Start-up reads the configuration within this time once the store answers.
NOT_READY = register_reason("not_ready", 0.3)
#: An instance with newer entries may know a searcher.
NO_SEARCHER = register_reason("no_searcher", 0.05)
#: Searchers shed while a queue of a few requests is full; it empties in about this time.
SHED = register_reason("shed", 0.1)
#: Connections to a service are all in use.
NO_CONNECTION = register_reason("no_connection", 0.05)


def refusal(reason: str, *, may_have_run: bool, timed_out: bool = False) -> Refusal:
    """Return the response to a request that is not served."""
    if may_have_run:
        return Refusal(504 if timed_out else 502, reason, 0.0)
    return Refusal(503, reason, NOT_SERVED.get(reason, 0.1))
