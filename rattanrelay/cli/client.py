"""HTTP calls of the commands to the administration and caller interfaces."""

import getpass
import os
import ssl
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from ..errors import CODES, RelayError
from ..http import HttpConnection, Request, Response
from ..table.columns import NAME_PATTERN

__all__ = [
    "ADMIN_VARIABLE",
    "CALLERS_VARIABLE",
    "TOKEN_VARIABLE",
    "AdminClient",
    "exchange",
    "open_admin",
    "read_addresses",
    "read_trust",
]

ADMIN_VARIABLE = "RATTANRELAY_ADMIN"
TOKEN_VARIABLE = "RATTANRELAY_TOKEN_FILE"
CALLERS_VARIABLE = "RATTANRELAY_CALLERS"

#: An edit waits for the store for up to 5 s and then for the peers for 1 s.
CALL_TIMEOUT_S = 10.0


class Place(NamedTuple):
    """Address of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class AdminClient:
    """Calls to the administration interface of the first instance that can be reached."""

    def __init__(self, places: list[Place], token: str) -> None:
        self.places = places
        self.token = token

    def call(
        self, method: str, path: str, body=None, headers: dict[str, str] | None = None
    ) -> Response:
        """Send a request; text is sent as CSV, other bodies as JSON.

        Raises the error of the server with its code, `connect_failed` when no instance can be
        reached, or `deadline` when there is no answer in time.
        """
        request = self._request(method, path, body, headers)
        for place in self.places[:-1]:
            try:
                return checked(place, trio.run(exchange, place, request))
            except RelayError as error:
                if error.code != "connect_failed":
                    raise
        return checked(self.places[-1], trio.run(exchange, self.places[-1], request))

    def each(self, path: str) -> list[Response | RelayError]:
        """Read a path from each instance; an instance that fails has its error in the list."""
        results: list[Response | RelayError] = []
        for place in self.places:
            try:
                results.append(AdminClient([place], self.token).call("GET", path))
            except RelayError as error:
                results.append(error)
        return results

    def _request(self, method: str, path: str, body, headers) -> Request:
        sent = {"authorization": f"Bearer {self.token}", **(headers or {})}
        person = _login_name()
        if NAME_PATTERN.fullmatch(person):
            sent["x-operator"] = person
        if isinstance(body, str):
            return Request(method, path, {**sent, "content-type": "text/csv"}, body.encode())
        data = b"" if body is None else msgspec.json.encode(body)
        return Request(method, path, {**sent, "content-type": "application/json"}, data)


async def exchange(place: Place, request: Request, tls: ssl.SSLContext | None = None) -> Response:
    """Send one request over a new connection; raises `deadline` when there is no answer."""
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            connection = await HttpConnection.open(place.host, place.port, tls)
            try:
                return await connection.request(request)
            finally:
                await connection.aclose()
    except trio.TooSlowError:
        text = f"no answer in {CALL_TIMEOUT_S:.0f} s"
        raise RelayError(
            "deadline", text, step="wait for answer", peer=str(place), ran="unknown"
        ) from None


def checked(place: Place, response: Response) -> Response:
    """Return a successful response; raises the error that another one describes."""
    if response.status < 400:
        return response
    try:
        problem = response.json()
        code, text = problem["code"], problem.get("detail") or problem.get("message", "")
        ran = problem.get("outcome", "unknown")
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
        code, text, ran = "", f"status {response.status}", "unknown"
    if code not in CODES:
        code, text = "bad_answer", f"status {response.status}, code {code!r}: {text}"
    raise RelayError(code, text, step="answer", peer=str(place), ran=ran)


def open_admin(admin: str, token_file: str) -> AdminClient:
    """Return a client for the given options, or for the environment where they are empty."""
    places = read_addresses("--admin", admin, ADMIN_VARIABLE)
    return AdminClient(places, _read_token(token_file or os.environ.get(TOKEN_VARIABLE, "")))


def read_addresses(option: str, given: str, variable: str) -> list[Place]:
    """Return the addresses in an option or a variable, separated by commas.

    Raises `bad_arguments`.
    """
    source = option if given else variable
    text = given or os.environ.get(variable, "")
    if not text:
        allowed = f"give {option} host:port or set {variable}"
        raise RelayError("bad_arguments", f"no address: {allowed}", step="read arguments")
    return [_place(source, part.strip()) for part in text.split(",")]


def read_trust(ca_file: str) -> ssl.SSLContext | None:
    """Return a TLS context that trusts the certificates of a PEM file, None without a file.

    Raises `bad_arguments`.
    """
    if not ca_file:
        return None
    try:
        return ssl.create_default_context(cafile=ca_file)
    except OSError as error:
        reason = "no PEM certificates" if isinstance(error, ssl.SSLError) else error.strerror
        text = f"--ca-file: value {ca_file!r} is not allowed: {reason}"
        raise RelayError("bad_arguments", text, step="read arguments") from None


def _login_name() -> str:
    """Return the login name, empty for a user without one."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return ""


def _place(source: str, text: str) -> Place:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        allowed = "host:port with a port from 1 to 65535"
        raise RelayError(
            "bad_arguments", f"{source}: value {text!r} is not allowed: {allowed}", step="read"
        )
    return Place(host, int(port))


def _read_token(path: str) -> str:
    if not path:
        text = f"no token: give --token-file or set {TOKEN_VARIABLE}"
        raise RelayError("bad_arguments", text, step="read arguments")
    try:
        token = Path(path).read_text("ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "the file is not ASCII"
        raise RelayError("bad_arguments", f"{path}: {reason}", step="read token") from None
    if not token.isprintable() or not token:
        text = f"{path}: the file must hold one printable token"
        raise RelayError("bad_arguments", text, step="read token")
    return token
