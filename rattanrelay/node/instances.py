"""The platform's list of instances, which lags behind; the source of first contacts."""

from typing import NamedTuple

import msgspec
import trio

from ..decide.ownership import Member
from ..errors import DECODE_ERRORS, RelayError
from ..http import HttpConnection, Request

__all__ = ["Contact", "InstanceList"]

LIST_TIMEOUT_S = 1.0


class Contact(NamedTuple):
    """An entry of the list; `address` is `host:port` of the peer listener."""

    instance: str
    address: str
    failure_domain: str
    state: str

    def as_member(self) -> Member:
        """Return the entry as a peer whose incarnation is not known."""
        return Member(self.instance, "", self.address, self.failure_domain)


class _Entry(msgspec.Struct):
    instance: str
    address: str
    failure_domain: str = ""
    state: str = "live"


class InstanceList:
    """Client of `GET /v1/instances`."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    async def contacts(self) -> list[Contact]:
        """Return the listed instances that are not leaving, none if the list cannot be read."""
        try:
            with trio.fail_after(LIST_TIMEOUT_S):
                entries = await self._fetch()
        except (trio.TooSlowError, RelayError, *DECODE_ERRORS):
            return []
        contacts = [
            Contact(entry.instance, entry.address, entry.failure_domain, entry.state)
            for entry in entries
        ]
        return [contact for contact in contacts if contact.state != "leaving"]

    async def _fetch(self) -> list[_Entry]:
        connection = await HttpConnection.open(self.host, self.port)
        try:
            response = await connection.request(Request("GET", "/v1/instances"))
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()
        if response.status != 200:
            return []
        return msgspec.json.decode(response.body, type=list[_Entry])
