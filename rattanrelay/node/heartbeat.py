"""Messages of the heartbeat: how they name their sender, and their count."""

from collections import Counter
from collections.abc import Iterable

from ..decide.ownership import Identity
from ..decide.piggyback import short_id
from ..wire import DocumentRevision, FrameKind, Heartbeat, HeartbeatAck, encode_frame

__all__ = ["HeartbeatForm", "revisions"]


class HeartbeatForm:
    """Names this process by its number to peers that know it, and by its name to others."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.number = short_id(me)
        #: Processes that understand numbers and have acknowledged the adopted epoch.
        self.knowing: set[Identity] = set()
        #: Messages and bytes of heartbeats and their acknowledgements by direction and kind.
        self.traffic: Counter[str] = Counter()

    def heartbeat(self, to: Identity, message: Heartbeat) -> Heartbeat:
        """Return a heartbeat with its sender."""
        return self._out(self._named(message, short=to in self.knowing))

    def ack(self, ack: HeartbeatAck, to: Heartbeat) -> HeartbeatAck:
        """Return an acknowledgement with its sender; a peer of the same epoch knows this process.

        The caller knows the sequence number of its own call.
        """
        short = bool(to.sender) and ack.epoch == to.epoch
        return self._out(self._named(ack._replace(sequence=0 if short else ack.sequence), short))

    def received(self, message: Heartbeat | HeartbeatAck) -> None:
        """Count a message that arrived."""
        self._count("in", _sparse(message))

    def answered(self, by: Identity, ack: HeartbeatAck, *, agreed: bool) -> None:
        """Take whether a process has acknowledged the adopted epoch."""
        self.knowing.discard(by)
        if agreed and ack.sender:
            self.knowing.add(by)

    def failed(self, peer: Identity) -> None:
        """Take that a peer has not answered; another process may take its place."""
        self.knowing.discard(peer)

    def keep(self, peers: Iterable[Identity]) -> None:
        """Forget all other peers."""
        self.knowing &= set(peers)

    def _named(self, message, short: bool):
        if short:
            return message._replace(sender=self.number)
        return message._replace(
            instance=self.me.instance, incarnation=self.me.incarnation, sender=self.number
        )

    def _out(self, message):
        message = _sparse(message)
        self._count("out", message)
        return message

    def _count(self, direction: str, message: tuple) -> None:
        self.traffic[f"{direction}_messages"] += 1
        frame = encode_frame(FrameKind.CALL, 0, message)
        self.traffic[f"{direction}_bytes"] += len(frame)


def revisions(digest: dict[str, int]) -> tuple[DocumentRevision, ...]:
    """Return a digest as it is sent."""
    return tuple(DocumentRevision(name, revision) for name, revision in digest.items())


def _sparse(message):
    """Leave out the fields that have their default."""
    return type(message)(*(field or None for field in message))
