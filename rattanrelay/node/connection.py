"""An open connection of a pool with the channel through which its task gets work."""

import select
from collections.abc import Awaitable, Callable

import trio

from ..http import HttpConnection, Request
from .subrequest import SubRequest

__all__ = ["Connect", "Control", "Worker"]

#: Opens a connection to a host and port; raises `connect_failed`.
Connect = Callable[[str, int], Awaitable[HttpConnection]]


class Control:
    """A request without a slot: a cancellation or a status poll."""

    def __init__(self, request: Request, expires: float, done: Callable) -> None:
        self.request = request
        self.expires = expires
        self.done = done


class Worker:
    """An open connection and the channel through which its task gets work."""

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection
        #: Whether the server has answered on it.
        self.served = False
        #: Whether it was told to close.
        self.leaving = False
        self.sender, self.receiver = trio.open_memory_channel[SubRequest | Control](1)
        #: Ends the connection at a deadline that is set for each request.
        self.scope = trio.CancelScope()
        #: The request that is in progress.
        self.job: SubRequest | None = None
        self.control: Control | None = None
        self.poll = select.poll()
        self.socket = getattr(connection.stream, "socket", None)
        if self.socket is not None:
            self.poll.register(self.socket.fileno(), select.POLLIN)

    def is_stale(self) -> bool:
        """Say whether the server has closed the idle connection or sent stray bytes on it."""
        return self.socket is not None and bool(self.poll.poll(0))
