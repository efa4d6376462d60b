"""HTTP client that the commands use for the administration and caller interfaces."""

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
    "load_tls_context",
    "open_admin",
    "read_addresses",
]

ADMIN_VARIABLE = "RATTANRELAY_ADMIN"
TOKEN_VARIABLE = "RATTANRELAY_TOKEN_FILE"
CALLERS_VARIABLE = "RATTANRELAY_CALLERS"

#: Longer than an edit takes, which waits up to 5 s for the store and then 1 s for the peers.
CALL_TIMEOUT_S = 10.0


class Address(NamedTuple):
    """Host and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class AdminClient:
    """Client of the administration interface of the first instance that can be reached."""

    def __init__(self, addresses: list[Address], token: str) -> None:
        self.addresses = addresses
        self.token = token

    def call(
        self, method: str, path: str, body=None, headers: dict[str, str] | None = None
    ) -> Response:
        """Send a request and return the response; text is sent as CSV, other bodies as JSON.

        Raises `RelayError` with the code in an error response, with `connect_failed` when no
        instance can be reached, or with `deadline` when no response arrives in time.
        """
        request = self._request(method, path, body, headers)
        for address in self.addresses[:-1]:
            try:
                return check_response(address, trio.run(exchange, address, request))
            except RelayError as error:
                if error.code != "connect_failed":
                    raise
        return check_response(self.addresses[-1], trio.run(exchange, self.addresses[-1], request))

    def get_each(self, path: str) -> list[Response | RelayError]:
        """Return the response of each instance to a GET request, or its error if it fails."""
        results: list[Response | RelayError] = []
        for address in self.addresses:
            try:
                results.append(AdminClient([address], self.token).call("GET", path))
            except RelayError as error:
                results.append(error)
        return results

    def _request(self, method: str, path: str, body, headers) -> Request:
        sent = {"authorization": f"Bearer {self.token}", **(headers or {})}
        operator = _login_name()
        if NAME_PATTERN.fullmatch(operator):
            sent["x-operator"] = operator
        if isinstance(body, str):
            return Request(method, path, {**sent, "content-type": "text/csv"}, body.encode())
        data = b"" if body is None else msgspec.json.encode(body)
        return Request(method, path, {**sent, "content-type": "application/json"}, data)


async def exchange(
    address: Address, request: Request, tls: ssl.SSLContext | None = None
) -> Response:
    """Send one request over a new connection; raises `deadline` after `CALL_TIMEOUT_S`."""
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            connection = await HttpConnection.open(address.host, address.port, tls)
            try:
                return await connection.request(request)
            finally:
                await connection.aclose()
    except trio.TooSlowError:
        text = f"no answer in {CALL_TIMEOUT_S:.0f} s"
        raise RelayError(
            "deadline", text, step="wait for answer", peer=str(address), ran="unknown"
        ) from None


def check_response(address: Address, response: Response) -> Response:
    """Return a successful response; raises the `RelayError` that an error response describes."""
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
    raise RelayError(code, text, step="answer", peer=str(address), ran=ran)


def open_admin(admin: str, token_file: str) -> AdminClient:
    """Return a client for the options; empty options are taken from the environment."""
    addresses = read_addresses("--admin", admin, ADMIN_VARIABLE)
    return AdminClient(addresses, _read_token(token_file or os.environ.get(TOKEN_VARIABLE, "")))


def read_addresses(option: str, given: str, variable: str) -> list[Address]:
    """Return the comma-separated addresses in an option or, if it is empty, in a variable.

    Raises `bad_arguments`.
    """
    source = option if given else variable
    text = given or os.environ.get(variable, "")
    if not text:
        allowed = f"give {option} host:port or set {variable}"
        raise RelayError("bad_arguments", f"no address: {allowed}", step="read arguments")
    return [_parse_address(source, part.strip()) for part in text.split(",")]


def load_tls_context(ca_file: str) -> ssl.SSLContext | None:
    """Return a TLS context that trusts the certificates of a PEM file, None if no file is given.

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
    """Return the login name, or an empty text for a user without one."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return ""


def _parse_address(source: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        allowed = "host:port with a port from 1 to 65535"
        raise RelayError(
            "bad_arguments", f"{source}: value {text!r} is not allowed: {allowed}", step="read"
        )
    return Address(host, int(port))


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
