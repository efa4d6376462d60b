"""One token bucket for hedges, retries and reconnects of a service, and the price of a retry.

A retry after a failure that does not exclude execution repeats work and costs 1 token. A retry
after a refusal by a server costs `REFUSED_PRICE`, since a refusal takes far less of the server than
a search. A retry of a sub-request that never reached a server is free, since it is the first
sub-request that a server receives.
"""

__all__ = ["FREE_PRICE", "FULL_PRICE", "REFUSED_PRICE", "Budget", "retry_price"]

#: Tokens that each first sub-request adds.
RATIO = 0.02
#: Capacity of the token bucket.
BURST = 10.0

#: Prices of a retry, in tokens.
FULL_PRICE = 1.0
REFUSED_PRICE = 0.1
FREE_PRICE = 0.0

#: Reasons with which a server or its owner's queue states that nothing ran.
REFUSED = frozenset({"draining", "queue_full", "shedding", "snapshot_gone", "too_late"})
#: Reasons for a failure before a server was reached.
UNREACHED = frozenset(
    {
        "connect_failed",
        "no_owner",
        "no_quorum",
        "no_replica",
        "not_ready",
        "request_blocked",
        "request_suspect",
        "stopping",
    }
)


def retry_price(reason: str, ran: str = "unknown") -> float:
    """Return the price in tokens of a retry after a failure with this reason."""
    if reason in REFUSED:
        return REFUSED_PRICE
    if reason in UNREACHED or (reason == "peer_unavailable" and ran == "not_run"):
        return FREE_PRICE
    return FULL_PRICE


class Budget:
    """Token bucket: extra sub-requests stay within `RATIO` of the first ones and a burst."""

    def __init__(self) -> None:
        self.tokens = BURST

    def add_tokens(self, first: int) -> None:
        """Add the tokens for a number of first sub-requests."""
        self.tokens = min(BURST, self.tokens + RATIO * first)

    def take(self, price: float, *, overloaded: bool) -> bool:
        """Pay for an extra sub-request and return whether it may be sent."""
        if price <= 0.0:
            return True
        if overloaded or self.tokens < price:
            return False
        self.tokens -= price
        return True
