"""State of one query: messages to owners, open sub-requests and shards."""

import trio

from ..decide.selection import Replica
from ..wire import Target
from .plan import PlannedShard

__all__ = ["NEVER", "Attempt", "Message", "ShardState"]

#: A trio time that is never reached.
NEVER = float("inf")


class Message:
    """A message to an owner; `left` counts the targets whose results are still needed."""

    __slots__ = ("deadline", "left", "owner", "scope", "targets")

    def __init__(self, owner: str, deadline: float) -> None:
        self.owner = owner
        self.deadline = deadline
        self.targets: list[Target] = []
        self.left = 0
        self.scope = trio.CancelScope()


class Attempt:
    """An open sub-request to one replica."""

    __slots__ = ("message", "replica", "sent_at")

    def __init__(self, replica: Replica, message: Message, sent_at: float) -> None:
        self.replica = replica
        self.message = message
        self.sent_at = sent_at


class ShardState:
    """A shard of the query with its open sub-requests and the replicas tried in this round."""

    __slots__ = ("attempts", "first_sent", "hedged", "planned", "reroutes", "rounds", "tried")

    def __init__(self, planned: PlannedShard) -> None:
        self.planned = planned
        self.attempts: list[Attempt] = []
        self.tried: list[Replica] = []
        self.first_sent = 0.0
        self.hedged = False
        self.rounds = 0
        self.reroutes = 0
