"""Heartbeats piggybacked on the acknowledgements of another member's heartbeats.

Of each pair of members one, the initiator, sends heartbeats of its own; the heartbeats of the other
one travel in its acknowledgements.
"""

import xxhash

from .ownership import Identity

__all__ = ["CARRIED_WITHIN_S", "Piggyback", "initiates", "short_id"]

#: A piggybacked heartbeat is acknowledged by the initiator's next heartbeat, usually half a second
#: later. If that takes longer than this time, or does not happen, this process sends heartbeats of
#: its own; including a tick and a round trip they are then acknowledged before the lease ends.
CARRIED_WITHIN_S = 0.75


def initiates(one: Identity, other: Identity) -> bool:
    """Return whether the first of two members is the initiator of the pair, chosen by hash."""
    low, high = sorted((one.instance, other.instance))
    low_initiates = xxhash.xxh64_intdigest(f"{low}\0{high}".encode()) % 2 == 0
    return (one.instance == low) == low_initiates


def short_id(identity: Identity) -> int:
    """Return the number, 1 to 2**63 - 1, that stands for a known process in messages."""
    text = f"{identity.instance}\0{identity.incarnation}"
    return xxhash.xxh64_intdigest(text.encode()) >> 1 or 1


class Piggyback:
    """Piggybacking state of one process under its adopted view; times are seconds on its clock."""

    def __init__(self) -> None:
        #: Piggybacked heartbeats of other members; the next heartbeat to each acknowledges its one.
        self.unacknowledged: dict[Identity, int] = {}
        #: When each initiator last acknowledged a piggybacked heartbeat of this process in time.
        self.confirmed_at: dict[Identity, float] = {}

    def reset(self) -> None:
        """Return to separate heartbeats to all members."""
        self.unacknowledged.clear()
        self.confirmed_at.clear()

    def record_heartbeat(self, sender: Identity, sequence: int) -> None:
        """Record a heartbeat that was piggybacked on an acknowledgement."""
        self.unacknowledged[sender] = sequence

    def take_unacknowledged(self, sender: Identity) -> int:
        """Return the heartbeat to acknowledge to a member now, 0 for none."""
        return self.unacknowledged.pop(sender, 0)

    def record_acknowledgement(self, initiator: Identity, sent: float | None, now: float) -> None:
        """Record an acknowledgement of a heartbeat that was sent at `sent`, None if unknown."""
        if sent is not None and now - sent <= CARRIED_WITHIN_S:
            self.confirmed_at[initiator] = now

    def is_carried(self, initiator: Identity) -> bool:
        """Return whether the heartbeats to a member are piggybacked on acknowledgements."""
        return initiator in self.confirmed_at

    def expire(self, now: float) -> set[Identity]:
        """Discard old confirmations; return the members that need separate heartbeats again."""
        late = {key for key, time in self.confirmed_at.items() if now - time > CARRIED_WITHIN_S}
        for key in late:
            del self.confirmed_at[key]
        return late
