"""Fingerprints of queries that succeeded recently and therefore need no canary."""

import xxhash

__all__ = ["ProvenRequests", "canary_order", "request_fingerprint"]

#: How long a success is remembered, in seconds.
PROVEN_S = 600.0
MAX_PROVEN = 50_000


def request_fingerprint(service: str, body: bytes) -> str:
    """Return the fingerprint of a query: 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(service.encode() + b"\n" + body)


def canary_order(fingerprint: str, names: list[str]) -> list[str]:
    """Return names in the order in which each instance tries them for this fingerprint.

    All instances get the same first name and so the same owner, which handles all canaries of the
    fingerprint.
    """
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{fingerprint}\n{name}".encode()))


class ProvenRequests:
    """Fingerprints with the time of their last success; the oldest are evicted first."""

    def __init__(self) -> None:
        self.proven_at: dict[str, float] = {}

    def record_success(self, fingerprint: str, now: float) -> None:
        """Record a success."""
        self.proven_at.pop(fingerprint, None)
        self.proven_at[fingerprint] = now
        if len(self.proven_at) > MAX_PROVEN:
            del self.proven_at[next(iter(self.proven_at))]

    def forget(self, fingerprint: str) -> None:
        """Discard a fingerprint, so that its next query needs a canary."""
        self.proven_at.pop(fingerprint, None)

    def is_proven(self, fingerprint: str, now: float) -> bool:
        """Return whether the fingerprint succeeded recently."""
        proven_at = self.proven_at.get(fingerprint)
        return proven_at is not None and now - proven_at < PROVEN_S
