"""Heartbeat messages: how they identify the sender, and counts of messages and bytes."""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..decide.ownership import Identity
from ..decide.piggyback import short_id
from ..wire import DocumentRevision, FrameKind, Heartbeat, HeartbeatAck, encode_frame

__all__ = ["HeartbeatEncoder", "revisions"]


class HeartbeatEncoder:
    """Adds the sender to heartbeats: its number if the peer knows it, else its full identity."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.number = short_id(me)
        #: Peers that know the number: they send numbers and have acknowledged the adopted epoch.
        self.number_known_by: set[Identity] = set()
        #: Numbers of messages and bytes, acknowledgements included, by direction.
        self.traffic: Counter[str] = Counter()

    def heartbeat(self, to: Identity, message: Heartbeat) -> Heartbeat:
        """Return a heartbeat with its sender."""
        return self._prepare(self._with_sender(message, short=to in self.number_known_by))

    def ack(self, ack: HeartbeatAck, to: Heartbeat) -> HeartbeatAck:
        """Return an acknowledgement with its sender.

        A peer that sends its number and has the same epoch knows the number of this process, and it
        knows the sequence number from its own call, so both identity and sequence are omitted.
        """
        short = bool(to.sender) and ack.epoch == to.epoch
        return self._prepare(
            self._with_sender(ack._replace(sequence=0 if short else ack.sequence), short)
        )

    def received(self, message: Heartbeat | HeartbeatAck) -> None:
        """Count a received message."""
        self._count("in", _omit_defaults(message))

    def answered(self, by: Identity, ack: HeartbeatAck, *, agreed: bool) -> None:
        """Record an acknowledgement; `agreed` tells that the peer has the adopted epoch."""
        self.number_known_by.discard(by)
        if agreed and ack.sender:
            self.number_known_by.add(by)

    def failed(self, peer: Identity) -> None:
        """Record that a peer has not answered: another process may have replaced it."""
        self.number_known_by.discard(peer)

    def retain(self, peers: Iterable[Identity]) -> None:
        """Discard all other peers."""
        self.number_known_by &= set(peers)

    def _with_sender(self, message, short: bool):
        if short:
            return message._replace(sender=self.number)
        return message._replace(
            instance=self.me.instance, incarnation=self.me.incarnation, sender=self.number
        )

    def _prepare(self, message):
        message = _omit_defaults(message)
        self._count("out", message)
        return message

    def _count(self, direction: str, message: tuple) -> None:
        self.traffic[f"{direction}_messages"] += 1
        frame = encode_frame(FrameKind.CALL, 0, message)
        self.traffic[f"{direction}_bytes"] += len(frame)


def revisions(digest: Mapping[str, int]) -> tuple[DocumentRevision, ...]:
    """Return a digest in the form of a message field."""
    return tuple(DocumentRevision(name, revision) for name, revision in digest.items())


def _omit_defaults(message):
    """Return the message without its empty and zero fields, which have these as defaults."""
    return type(message)(*(field or None for field in message))
