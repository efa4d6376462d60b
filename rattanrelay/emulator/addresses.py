"""Ports that stay reserved while their listener is closed, and free ports for configurations."""

import errno
import os
import random
import socket

import trio

__all__ = ["PortReservation", "free_ports", "split_address"]

#: Below the ephemeral range of Linux (32768), so that no outgoing connection takes the port.
FIRST_FREE_PORT = 10_000
LAST_FREE_PORT = 32_000
#: Environment variable with a range `first-end` within these, for fleets that run side by side: a
#: port that one fleet was given and has not bound yet looks free to the other.
PORTS_VARIABLE = "RATTANRELAY_FREE_PORTS"

BACKLOG = 1024

#: Ports that this process was given before and may not have bound yet.
_given: set[int] = set()


class PortReservation:
    """A bound socket that never listens: connections are refused, the port stays ours."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.socket = _bound(host, port)
        self.port = self.socket.getsockname()[1]

    @property
    def address(self) -> str:
        """The reserved address as `host:port`."""
        return f"{self.host}:{self.port}"

    def listen(self) -> trio.SocketListener:
        """Open a listener on the port; closing it makes the port refuse again."""
        listening = _bound(self.host, self.port)
        listening.listen(BACKLOG)
        return trio.SocketListener(trio.socket.from_stdlib_socket(listening))

    def close(self) -> None:
        """Give the port back."""
        self.socket.close()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that nothing is bound to now and that no earlier call returned."""
    chance = random.Random(os.urandom(8))
    ports: list[int] = []
    candidates = _port_range()
    for port in chance.sample(candidates, len(candidates)):
        if len(ports) == count:
            return ports
        if port not in _given and _is_free(host, port):
            ports.append(port)
            _given.add(port)
    raise OSError(errno.EADDRINUSE, f"{count} free ports were not found")


def _port_range() -> range:
    text = os.environ.get(PORTS_VARIABLE, f"{FIRST_FREE_PORT}-{LAST_FREE_PORT}")
    first, _, end = text.partition("-")
    return range(int(first), int(end))


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _bound(host: str, port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
