"""Heartbeats that travel in the acknowledgements of another member's heartbeats."""

import xxhash

from .ownership import Identity

__all__ = ["CARRIED_WITHIN_S", "Piggyback", "calls", "short_id"]

#: A carried heartbeat is acknowledged by the caller's next heartbeat, half a second later as a
#: rule. Without one in this time, or if it took longer, this process sends its own heartbeats:
#: with a tick and a round trip they are then acknowledged before the lease ends.
CARRIED_WITHIN_S = 0.75


def calls(one: Identity, other: Identity) -> bool:
    """Say whether the first of two members sends the heartbeats of the pair; about half do."""
    low, high = sorted((one.instance, other.instance))
    low_calls = xxhash.xxh64_intdigest(f"{low}\0{high}".encode()) % 2 == 0
    return (one.instance == low) == low_calls


def short_id(identity: Identity) -> int:
    """Return the number, 1 to 2**63 - 1, that stands for a known process in messages."""
    text = f"{identity.instance}\0{identity.incarnation}"
    return xxhash.xxh64_intdigest(text.encode()) >> 1 or 1


class Piggyback:
    """State of one process under its adopted view; times in seconds on its own clock."""

    def __init__(self) -> None:
        #: Carried heartbeats of other members that the next heartbeat to them acknowledges.
        self.owed: dict[Identity, int] = {}
        #: When each caller last acknowledged a carried heartbeat of this process in time.
        self.confirmed: dict[Identity, float] = {}

    def reset(self) -> None:
        """Start again with own heartbeats to all members."""
        self.owed.clear()
        self.confirmed.clear()

    def received(self, sender: Identity, sequence: int) -> None:
        """Take a heartbeat that an acknowledgement carried."""
        self.owed[sender] = sequence

    def settle(self, sender: Identity) -> int:
        """Return the heartbeat to acknowledge to a member now, 0 for none."""
        return self.owed.pop(sender, 0)

    def acknowledged(self, caller: Identity, sent: float | None, now: float) -> None:
        """Take an acknowledgement of a heartbeat sent at a time, None if that is not known."""
        if sent is not None and now - sent <= CARRIED_WITHIN_S:
            self.confirmed[caller] = now

    def carries(self, caller: Identity) -> bool:
        """Say whether the heartbeats to a member travel in acknowledgements."""
        return caller in self.confirmed

    def lapsed(self, now: float) -> set[Identity]:
        """Return the members that need a heartbeat of their own from now on."""
        late = {key for key, time in self.confirmed.items() if now - time > CARRIED_WITHIN_S}
        for key in late:
            del self.confirmed[key]
        return late
