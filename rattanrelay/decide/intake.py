"""Which connections may read how much, and which are closed first when memory is short.

All connections that others open to a process draw on one budget of bytes. When it is short, large
messages wait, and the connections that hold the most for the longest time are closed, those of the
address that holds most before others. A message up to `SMALL_BYTES` never waits.
"""

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "MB",
    "QUEUED_BUFFER_BYTES",
    "READ_BYTES",
    "SMALL_BYTES",
    "SMALL_READ_BYTES",
    "Intake",
    "IntakeLimits",
    "Lane",
    "Stage",
    "Verdict",
    "derive_limits",
]

MB = 1024 * 1024
#: Bytes of one read while there is room, and while there is little.
READ_BYTES = 64 * 1024
SMALL_READ_BYTES = 4 * 1024
#: Messages up to this size find room at once; most requests are smaller.
SMALL_BYTES = 32 * 1024
#: Share of the budget that only messages up to `SMALL_BYTES` may use.
SMALL_SHARE = 0.25
#: Share of the budget, and of the connections of a lane, that is freed at once when either is
#: exhausted: the search for what to close looks at all connections.
FREED_SHARE = 1 / 16
#: Time in seconds for which a large message waits for room before connections are closed for it; in
#: normal operation other messages end within it.
PATIENCE_S = 0.25
#: Time in seconds that is added to the time without progress, so that of the connections that have
#: just made progress the largest is closed first.
AGE_OFFSET_S = 1.0

#: Memory of a process without load, which takes 36 to 40 MB, and some growth of its state.
BASE_BYTES = 44 * MB
#: Shares of the remaining memory: bytes of messages that come in, buffers of the kernel for
#: connections of others, connections that wait to be accepted, send buffers of own connections,
#: frames that wait to be sent to other instances, connections, and responses that are being
#: received. The rest is for everything else.
MESSAGE_SHARE = 0.25
BUFFER_SHARE = 0.2
QUEUE_SHARE = 0.15
SEND_SHARE = 0.1
FRAME_SHARE = 0.05
CONNECTION_SHARE = 0.15
RESPONSE_SHARE = 0.25
#: Memory of a connection and its tasks.
CONNECTION_BYTES = 12 * 1024
MAX_RESPONSE_BYTES = 32 * MB
MIN_RESPONSE_BYTES = 2 * MB
#: Bounds of the size of a buffer as it is set; the kernel uses up to twice of it.
MIN_BUFFER_BYTES = 8 * 1024
MAX_BUFFER_BYTES = 128 * 1024
#: Memory of the two buffers of a connection for each byte of the size that is set.
BUFFER_FACTOR = 4
#: Share of the unused memory for buffers that one connection gets.
BUFFER_PART = 1 / 32
#: Least size of the send buffer of an own connection; most requests fit into it.
MIN_SEND_BYTES = 16 * 1024
#: Bytes that the kernel takes for a connection that is not accepted. While an instance of 152 MB
#: parsed large heads, it held 72 MB with a queue of 1,024.
QUEUED_BYTES = 64 * 1024
#: Size of the receive buffer of such a connection, of which the kernel uses up to twice.
QUEUED_BUFFER_BYTES = QUEUED_BYTES // 2
MIN_QUEUED = 64
MAX_QUEUED = 1024
#: Memory and descriptors of a process whose settings state none.
DEFAULT_MEMORY_BYTES = 1024 * MB
DEFAULT_FDS = 8192
#: Descriptors for files.
FILE_FDS = 200
MIN_CONNECTIONS = 8
#: Balancers and monitoring open a few connections.
MAX_CHECK_CONNECTIONS = 32


class Lane(IntEnum):
    """The listener of a connection."""

    CLIENTS = 0
    READINESS = 1
    METRICS = 2
    PEERS = 3


#: Shares of the sockets for connections that clients, other instances, balancers and monitoring
#: open, and of those to other instances. The rest is for connections to searchers.
CLIENT_SOCKETS = 0.30
PEER_SOCKETS = 0.12
CHECK_SOCKETS = 0.05
#: Sockets for listeners and the store, and for connections that are being closed or opened.
OTHER_SOCKETS = 24


class Stage(IntEnum):
    """What a connection does; those of a later stage are closed last."""

    #: It waits for a message or receives one, or its response is not read.
    OPEN = 0
    #: Its message is being handled, or it is a link that another instance has used.
    BUSY = 1


class IntakeLimits(NamedTuple):
    """Limits of a process; sizes in bytes."""

    #: Bytes of all messages that are being received or handled.
    messages: int
    #: Memory of the kernel's buffers of connections that others open, apart from their minimum.
    buffers: int
    #: Bytes of responses that are being received.
    responses: int
    #: Number of connections by lane.
    connections: dict[Lane, int]
    #: Number of connections to searchers.
    searchers: int
    #: Number of connections that wait to be accepted, on a listener.
    queued: int = MAX_QUEUED
    #: Size of the send buffer of a connection to a searcher or another instance.
    send_buffer: int = MIN_SEND_BYTES
    #: Bytes of frames with large bodies that wait to be sent to other instances, and as many of
    #: bodies that are handled for them.
    frames: int = MB


def derive_limits(memory: int = 0, descriptors: int = 0) -> IntakeLimits:
    """Return the limits of a process with so many bytes and descriptors; 0 if they are unknown."""
    memory = memory or DEFAULT_MEMORY_BYTES
    descriptors = descriptors or DEFAULT_FDS
    spare = max(memory - BASE_BYTES, memory // 8)
    sockets = max(descriptors - FILE_FDS, descriptors // 2)
    affordable = int(spare * CONNECTION_SHARE / CONNECTION_BYTES)

    def count(share: float, most: int) -> int:
        return max(MIN_CONNECTIONS, min(int(sockets * share), most))

    checks = count(CHECK_SOCKETS, min(MAX_CHECK_CONNECTIONS, affordable))
    connections = {
        Lane.CLIENTS: count(CLIENT_SOCKETS, affordable),
        Lane.READINESS: checks,
        Lane.METRICS: checks,
        Lane.PEERS: count(PEER_SOCKETS, affordable),
    }
    to_peers = int(sockets * PEER_SOCKETS)
    rest = sockets - sum(connections.values()) - to_peers - OTHER_SOCKETS
    searchers = max(MIN_CONNECTIONS, rest)
    send_buffer = int(spare * SEND_SHARE / (searchers + to_peers))
    return IntakeLimits(
        messages=int(spare * MESSAGE_SHARE),
        buffers=int(spare * BUFFER_SHARE),
        responses=max(MIN_RESPONSE_BYTES, min(MAX_RESPONSE_BYTES, int(spare * RESPONSE_SHARE))),
        connections=connections,
        searchers=searchers,
        queued=max(MIN_QUEUED, min(MAX_QUEUED, int(spare * QUEUE_SHARE / QUEUED_BYTES))),
        frames=int(spare * FRAME_SHARE),
        send_buffer=max(MIN_SEND_BYTES, min(MAX_BUFFER_BYTES, send_buffer)),
    )


class Verdict(NamedTuple):
    """Answer to a connection that has bytes to read."""

    #: Bytes that it may read now.
    size: int = 0
    #: Time in seconds after which it asks again, unless bytes are released before.
    wait: float = 0.0
    #: Connections to close first; if it is one of them, it reads nothing.
    closed: tuple[Hashable, ...] = ()


class _Entry:
    """One connection."""

    __slots__ = ("address", "buffer", "held", "key", "lane", "progress", "stage", "waiting_since")

    def __init__(self, key: Hashable, lane: Lane, address: str, now: float, buffer: int) -> None:
        self.key = key
        self.lane = lane
        self.address = address
        self.buffer = buffer
        self.stage = Stage.OPEN
        self.held = 0
        #: Time at which bytes were received last, or a message ended.
        self.progress = now
        self.waiting_since: float | None = None

    def rank(self, now: float) -> tuple[int, float]:
        """Return a value that is greatest for the connection to be closed first."""
        return -self.stage, self.held * (now - self.progress + AGE_OFFSET_S)

    def connection_rank(self, now: float) -> tuple[int, float]:
        """Return the same for a lack of connections; the bytes of one that waits do not matter."""
        return self.rank(now) if self.stage is Stage.BUSY else (-self.stage, now - self.progress)


class Intake:
    """Connections of one process with the bytes that they hold."""

    def __init__(self, limits: IntakeLimits) -> None:
        self.limits = limits
        self.entries: dict[Hashable, _Entry] = {}
        #: Bytes held by all connections, and by those of each address.
        self.total = 0
        self.by_address: dict[str, int] = {}
        #: Bytes of requests that still run although their connections have ended.
        self.detached = 0
        #: Bytes of large bodies of calls that are handled for other instances.
        self.calls = 0
        self.counts: dict[Lane, int] = dict.fromkeys(Lane, 0)
        #: Sum of the sizes of buffers beyond their minimum.
        self.buffers = 0

    def open(self, key: Hashable, lane: Lane, address: str, now: float) -> tuple[Hashable, ...]:
        """Add a connection and return those to close, which are removed; it may be one of them."""
        buffer = self._next_buffer()
        closed = ()
        limit = self.limits.connections[lane]
        if self.counts[lane] >= limit:
            closed = self._spare_connections(lane, max(1, int(limit * FREED_SHARE)), now)
            if not closed:
                return (key,)
        self.entries[key] = _Entry(key, lane, address, now, buffer)
        self.counts[lane] += 1
        self.buffers += buffer - MIN_BUFFER_BYTES
        return closed

    def buffer(self, key: Hashable) -> int:
        """Return the size of the receive and the send buffer to set for a connection."""
        return self.entries[key].buffer

    def remove(self, key: Hashable) -> None:
        """Remove a connection, if it is still there."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self._hold(entry, 0)
            self.counts[entry.lane] -= 1
            self.buffers -= entry.buffer - MIN_BUFFER_BYTES

    def record(self, key: Hashable, held: int, now: float) -> None:
        """Record the bytes that a connection holds after it has received some or released some."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.progress = now
            self._hold(entry, held)

    def record_stage(self, key: Hashable, stage: Stage, now: float) -> None:
        """Record what a connection does from now on."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.stage = stage
            entry.progress = now

    def ask(self, key: Hashable, now: float) -> Verdict:
        """Return how much a connection may read now."""
        entry = self.entries.get(key)
        if entry is None:
            return Verdict(closed=(key,))
        budget = self.limits.messages
        freed = int(budget * FREED_SHARE)
        # Closing connections frees nothing of what is detached: only large messages give way to it.
        limit = int(budget * (1 - SMALL_SHARE)) - self.detached
        if limit - self.total >= READ_BYTES:
            entry.waiting_since = None
            return Verdict(READ_BYTES)
        small = entry.held + SMALL_READ_BYTES <= SMALL_BYTES
        if small:
            limit = budget
        if limit - self.total >= SMALL_READ_BYTES:
            entry.waiting_since = None
            return Verdict(SMALL_READ_BYTES)
        if not small:
            if entry.waiting_since is None:
                entry.waiting_since = now
            waited = now - entry.waiting_since
            if waited < PATIENCE_S:
                return Verdict(wait=PATIENCE_S - waited)
            if limit <= freed:
                self.remove(key)
                return Verdict(closed=(key,))
        closed = self._make_room(entry, limit - freed, now, spare_self=small)
        if key in closed:
            return Verdict(closed=closed)
        entry.waiting_since = None
        return Verdict(SMALL_READ_BYTES, closed=closed)

    def begin_call(self, size: int) -> bool:
        """Count the body of a call of another instance; return False if there is no room for it.

        Small ones need none, and a single one always finds room.
        """
        if size > SMALL_BYTES:
            if self.calls and self.calls + size > self.limits.frames:
                return False
            self.calls += size
        return True

    def end_call(self, size: int) -> None:
        """Count the body of a call no longer."""
        if size > SMALL_BYTES:
            self.calls -= size

    def shrink(self, key: Hashable, now: float) -> tuple[Hashable, ...]:
        """Return connections to close because one holds more than fits; it may be one of them."""
        if self.total <= self.limits.messages or key not in self.entries:
            return ()
        target = int(self.limits.messages * (1 - FREED_SHARE))
        return self._make_room(self.entries[key], target, now, spare_self=False)

    def _make_room(
        self, asker: _Entry, target: int, now: float, *, spare_self: bool
    ) -> tuple[Hashable, ...]:
        """Remove connections until `SMALL_READ_BYTES` fit below `target`."""
        ranked: dict[str, list[_Entry]] = {}
        for entry in self.entries.values():
            if entry.held and not (spare_self and entry is asker):
                ranked.setdefault(entry.address, []).append(entry)
        for entries in ranked.values():
            entries.sort(key=lambda entry: entry.rank(now))
        closed = []
        while ranked and self.total + SMALL_READ_BYTES > target:
            # By what it holds, an address gives way before all that hold less.
            address = max(ranked, key=self.by_address.__getitem__)
            entry = ranked[address].pop()
            if not ranked[address]:
                del ranked[address]
            closed.append(entry.key)
            self.remove(entry.key)
            if entry is asker:
                break
        return tuple(closed)

    def _spare_connections(self, lane: Lane, count: int, now: float) -> tuple[Hashable, ...]:
        """Remove connections of a lane, those of the address that has most of them first.

        Those that have waited longest are removed. If none of the address waits, one that is busy
        is removed, since slow requests could keep all others out; links of other instances stay.
        """
        ranked: dict[str, list[_Entry]] = {}
        numbers: dict[str, int] = {}
        for entry in self.entries.values():
            if entry.lane is lane:
                numbers[entry.address] = numbers.get(entry.address, 0) + 1
                if entry.stage is Stage.OPEN or lane is not Lane.PEERS:
                    ranked.setdefault(entry.address, []).append(entry)
        for entries in ranked.values():
            entries.sort(key=lambda entry: entry.connection_rank(now))
        closed = []
        while ranked and len(closed) < count:
            address = max(ranked, key=numbers.__getitem__)
            entry = ranked[address].pop()
            if closed and entry.stage is Stage.BUSY:
                break
            numbers[address] -= 1
            if not ranked[address]:
                del ranked[address]
            closed.append(entry.key)
            self.remove(entry.key)
        return tuple(closed)

    def _hold(self, entry: _Entry, held: int) -> None:
        change = held - entry.held
        if not change:
            return
        entry.held = held
        self.total += change
        held_there = self.by_address.get(entry.address, 0) + change
        if held_there:
            self.by_address[entry.address] = held_there
        else:
            del self.by_address[entry.address]

    def _next_buffer(self) -> int:
        unused = self.limits.buffers - BUFFER_FACTOR * self.buffers
        part = int(unused * BUFFER_PART)
        return max(MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, part))
