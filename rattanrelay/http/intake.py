"""The memory account of a process for the connections that others open to it."""

import socket
from collections import Counter
from collections.abc import Callable, Iterable

import trio

from ..decide.intake import Intake, IntakeLimits, Lane, Stage, derive_limits
from ..log import event, traceback

__all__ = ["Account", "RequestBody", "Share"]

#: Parsing steps of one connection per iteration of the event loop; a step takes some microseconds.
STEPS_PER_TURN = 64


class Account:
    """Connections of a process, what they hold, and the turns in which they parse."""

    def __init__(self, limits: IntakeLimits | None = None) -> None:
        self.intake = Intake(limits or derive_limits())
        #: Held by the connection that parses a message of many parts: one per iteration of the
        #: event loop, so that others are served in between.
        self.turns = trio.Lock()
        #: Connections that were closed for lack of memory, those closed for lack of connections by
        #: lane, and reads that waited for memory.
        self.closed_for_memory = 0
        self.closed_for_connections = dict.fromkeys(Lane, 0)
        self.waited = 0
        #: Requests that were refused while they were read, by status.
        self.refused: Counter[int] = Counter()
        self._released: trio.Event | None = None

    def open(self, lane: Lane, address: str, abandon: Callable[[], None]) -> "Share | None":
        """Return the share of a new connection, or None if there is no room for it.

        `abandon` closes the connection at once; it has no checkpoint.
        """
        share = Share(self, abandon)
        closed = self.intake.open(share, lane, address, trio.current_time())
        self.closed_for_connections[lane] += len(closed)
        _abandon(other for other in closed if other is not share)
        return None if share in closed else share

    def close_for_memory(self, shares: tuple) -> None:
        """Close connections that have been removed from the account."""
        self.closed_for_memory += len(shares)
        _abandon(shares)
        self.wake()

    def wake(self) -> None:
        """Let connections that wait for memory ask again."""
        if self._released is not None:
            self._released.set()
            self._released = None

    async def wait_released(self, seconds: float) -> None:
        """Wait until bytes are released, at most for some seconds."""
        self.waited += 1
        if self._released is None:
            self._released = trio.Event()
        with trio.move_on_after(seconds):
            await self._released.wait()


class Share:
    """The part of the account that one connection holds."""

    def __init__(self, account: Account, abandon: Callable[[], None]) -> None:
        self.account = account
        self.abandon = abandon
        self.held = 0

    async def draw(self) -> int:
        """Return how many bytes may be read now, 0 if the connection has been abandoned.

        Has no checkpoint unless memory is short. The caller reads without a checkpoint and records
        what it holds then.
        """
        intake = self.account.intake
        while True:
            verdict = intake.ask(self, trio.current_time())
            if verdict.closed:
                self.account.close_for_memory(verdict.closed)
            if verdict.size or self in verdict.closed:
                return verdict.size
            await self.account.wait_released(verdict.wait)

    def record(self, held: int) -> None:
        """Record the bytes that the connection holds; this and others may be abandoned."""
        released = held < self.held
        self.held = held
        account = self.account
        account.intake.record(self, held, trio.current_time())
        if released:
            account.wake()
        elif closed := account.intake.shrink(self, trio.current_time()):
            account.close_for_memory(closed)

    def record_stage(self, stage: Stage) -> None:
        """Record what the connection does from now on."""
        self.account.intake.record_stage(self, stage, trio.current_time())

    def set_buffers(self, sock: socket.socket | trio.socket.SocketType) -> None:
        """Limit the bytes that the kernel holds for a connection that is not read, on each side."""
        size = self.account.intake.buffer(self)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def detach(self, body: bytes) -> None:
        """Count the body of a request until it is freed, not as part of the connection any more."""
        if isinstance(body, RequestBody):
            body.detach(self.account.intake)

    def close(self) -> None:
        """Remove the connection from the account."""
        # The connection refers to this object: what it holds would stay until the garbage collector
        # runs, which counts objects and not bytes.
        self.abandon = _nothing
        self.account.intake.remove(self)
        self.account.wake()


def _abandon(shares: Iterable[Share]) -> None:
    """Close connections; one that fails to close leaves the others and the process alone."""
    for share in shares:
        try:
            share.abandon()
        except Exception as error:
            event("connection.abandon_failed", reason=traceback(error))


def _nothing() -> None:
    """Abandon a connection that has been closed."""


class RequestBody(bytes):
    """Body of a request, which sub-requests may use after the client's connection has ended."""

    intake: Intake | None = None

    def detach(self, intake: Intake) -> None:
        """Count it until it is freed."""
        if self.intake is None:
            self.intake = intake
            intake.detached += len(self)

    def __del__(self) -> None:
        """Count it no longer."""
        if self.intake is not None:
            self.intake.detached -= len(self)
