"""Ports that stay reserved while their listener is closed, and the search for free ports."""

import atexit
import errno
import fcntl
import os
import random
import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import trio

__all__ = ["PortReservation", "free_ports", "split_address"]

#: Below the ephemeral range of Linux (32768), so that no outgoing connection takes the port.
FIRST_FREE_PORT = 10_000
LAST_FREE_PORT = 32_000
#: Environment variable with a range `first-end` within these limits.
PORTS_VARIABLE = "RATTANRELAY_FREE_PORTS"
#: Directory with a file for each port that a process was given, which holds the process's id: such
#: a port may not be bound yet and would look free to another process.
CLAIMS = Path(tempfile.gettempdir()) / f"rattanrelay-ports-{os.getuid()}"

BACKLOG = 1024

#: Ports that `free_ports` has returned in this process; they may not be bound yet.
_returned_ports: set[int] = set()


class PortReservation:
    """A bound socket that never listens: it refuses connections and keeps the port reserved."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.socket = _bind_socket(host, port)
        self.port = self.socket.getsockname()[1]

    @property
    def address(self) -> str:
        """The reserved address as `host:port`."""
        return f"{self.host}:{self.port}"

    def listen(self) -> trio.SocketListener:
        """Open a listener on the port; once it is closed, the port refuses connections again."""
        listening_socket = _bind_socket(self.host, self.port)
        listening_socket.listen(BACKLOG)
        return trio.SocketListener(trio.socket.from_stdlib_socket(listening_socket))

    def close(self) -> None:
        """Release the port."""
        self.socket.close()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that are not bound now and that no other call has returned.

    This holds for all running processes on this machine.

    Raises `OSError` when the range does not contain enough of them.
    """
    rng = random.Random(os.urandom(8))
    ports: list[int] = []
    candidates = _port_range()
    with _claims_locked():
        for port in rng.sample(candidates, len(candidates)):
            if len(ports) == count:
                return ports
            if port not in _returned_ports and _is_free(host, port) and _claim(port):
                ports.append(port)
                _returned_ports.add(port)
    raise OSError(errno.EADDRINUSE, f"fewer than {count} free ports in the range")


@contextmanager
def _claims_locked() -> Iterator[None]:
    CLAIMS.mkdir(exist_ok=True)
    with (CLAIMS / "lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _claim(port: int) -> bool:
    """Claim a port for this process; return False if another one that is running has it."""
    path = CLAIMS / str(port)
    if path.exists() and _is_running(int(path.read_text() or 0)):
        return False
    if not _returned_ports:
        atexit.register(_release_claims, os.getpid())
    path.write_text(str(os.getpid()))
    return True


def _release_claims(owner: int) -> None:
    if os.getpid() == owner:
        with _claims_locked():
            for port in _returned_ports:
                (CLAIMS / str(port)).unlink(missing_ok=True)


def _is_running(process: int) -> bool:
    if process in (0, os.getpid()):
        return False
    try:
        os.kill(process, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass
    return True


def _port_range() -> range:
    text = os.environ.get(PORTS_VARIABLE, f"{FIRST_FREE_PORT}-{LAST_FREE_PORT}")
    first, _, end = text.partition("-")
    return range(int(first), int(end))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _bind_socket(host: str, port: int) -> socket.socket:
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound_socket.bind((host, port))
    except OSError:
        bound_socket.close()
        raise
    return bound_socket
