"""An open connection of a pool and the channel through which its task gets work."""

import select
from collections.abc import Awaitable, Callable

import trio

from ..http import HttpConnection, Request
from .subrequest import SubRequest

__all__ = ["Connect", "ControlRequest", "Worker"]

#: Opens a connection to a host and port; raises `connect_failed`.
Connect = Callable[[str, int], Awaitable[HttpConnection]]


class ControlRequest:
    """A request that needs no slot: a cancellation or a status poll; `expires` is trio time."""

    def __init__(self, request: Request, expires: float, done: Callable) -> None:
        self.request = request
        self.expires = expires
        self.done = done


class Worker:
    """An open connection and the channel through which its task gets work."""

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection
        #: Whether the server has answered a request on the connection.
        self.has_answered = False
        #: Whether the task was told to close the connection.
        self.closing = False
        self.sender, self.receiver = trio.open_memory_channel[SubRequest | ControlRequest](1)
        #: Cancelled at a deadline that is set for each request; this ends the connection.
        self.scope = trio.CancelScope()
        #: The request in flight, of either kind.
        self.job: SubRequest | None = None
        self.control: ControlRequest | None = None
        self.poll = select.poll()
        self.socket = getattr(connection.stream, "socket", None)
        if self.socket is not None:
            self.poll.register(self.socket.fileno(), select.POLLIN)

    def is_stale(self) -> bool:
        """Return whether the server closed the idle connection or sent unexpected bytes on it."""
        return self.socket is not None and bool(self.poll.poll(0))
