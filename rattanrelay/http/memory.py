"""Bound on the memory of responses that are received, over all connections of a process.

Each response has a size limit of its own, but a process receives many at once, and a faulty server
may send each of them up to that limit on a slow connection.
"""

from typing import Protocol

__all__ = ["UNCOUNTED_BYTES", "HeldBody", "Receiver", "ResponseMemory"]

#: Bytes of a response that are not counted; most responses are smaller.
UNCOUNTED_BYTES = 16 * 1024


class Receiver(Protocol):
    """Receives one response at a time."""

    def abandon(self) -> None:
        """Discard the response that is being received and close its connection."""


class ResponseMemory:
    """Abandons the largest unfinished response if all of them together exceed `limit` bytes.

    Complete responses count until nothing refers to them or another account counts them.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held: dict[Receiver, int] = {}
        self.total = 0
        #: Bytes of complete responses, counted if they are larger than `UNCOUNTED_BYTES`.
        self.complete = 0
        #: Number of responses that were abandoned.
        self.abandoned = 0

    def record(self, receiver: Receiver, size: int) -> None:
        """Record the size in bytes of a receiver's response; may abandon any response."""
        self.total += size - self.held.get(receiver, 0)
        self.held[receiver] = size
        while self.total + self.complete > self.limit and self.held:
            largest = max(self.held, key=self.held.__getitem__)
            self.release(largest)
            self.abandoned += 1
            largest.abandon()

    def release(self, receiver: Receiver) -> None:
        """Record that a receiver's response has ended."""
        self.total -= self.held.pop(receiver, 0)

    def hold(self, body: bytearray) -> bytes:
        """Return the body of a complete response, which counts if it is large."""
        return HeldBody(body, self) if len(body) > UNCOUNTED_BYTES else bytes(body)


class HeldBody(bytes):
    """Body of a complete response that counts until it is freed or `release` is called."""

    memory: ResponseMemory | None

    def __new__(cls, body: bytearray, memory: ResponseMemory) -> "HeldBody":
        """Copy a body and count it."""
        held = super().__new__(cls, body)
        held.memory = memory
        memory.complete += len(held)
        return held

    def release(self) -> None:
        """Count it no longer."""
        if self.memory is not None:
            self.memory.complete -= len(self)
            self.memory = None

    def __del__(self) -> None:
        """Count it no longer."""
        self.release()
