"""Ports that stay reserved while their listener is closed, and the search for free ports."""

import errno
import os
import random
import socket

import trio

__all__ = ["PortReservation", "free_ports", "split_address"]

#: Below the ephemeral range of Linux (32768), so that no outgoing connection takes the port.
FIRST_FREE_PORT = 10_000
LAST_FREE_PORT = 32_000
#: Environment variable with a range `first-end` within these limits. Fleets that run concurrently
#: need ranges of their own: a port returned to one fleet and not bound yet looks free to another.
PORTS_VARIABLE = "RATTANRELAY_FREE_PORTS"

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
    """Return ports that are not bound now and that no earlier call returned.

    Raises `OSError` when the range does not contain enough of them.
    """
    rng = random.Random(os.urandom(8))
    ports: list[int] = []
    candidates = _port_range()
    for port in rng.sample(candidates, len(candidates)):
        if len(ports) == count:
            return ports
        if port not in _returned_ports and _is_free(host, port):
            ports.append(port)
            _returned_ports.add(port)
    raise OSError(errno.EADDRINUSE, f"fewer than {count} free ports in the range")


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
