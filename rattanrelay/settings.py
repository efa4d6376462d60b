"""Settings of a daemon, read from TOML with strict checks."""

import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from .errors import RelayError

__all__ = [
    "MAX_PORT",
    "Address",
    "AdminToken",
    "Port",
    "Settings",
    "decode_settings",
    "load_settings",
    "not_allowed",
]

T = TypeVar("T")

MAX_PORT = 65535
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class Address(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An IP address and a TCP port; port 0 lets the kernel choose one."""

    host: str
    port: Port


class AdminToken(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An administration token, read from a file, for a team and its scopes."""

    team: Name
    file: str
    scopes: list[Annotated[str, msgspec.Meta(pattern=r"^(read|edit|operate|metrics)$")]]
    services: list[str] = []


class Tls(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Certificate chain and key of the caller listener, in PEM files."""

    certificate: str
    key: str


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one daemon; times in seconds, sizes in bytes."""

    instance: Name
    failure_domain: Name
    callers: Address
    peers: Address
    admin: Address
    store: Address
    instance_list: Address
    #: Peer address that the other instances use; by default that of the peer listener.
    advertise: Address | None = None
    cell: Name = "main"
    log_file: str = ""
    stop_timeout: PositiveSeconds = 15.0
    balancer_grace: Annotated[float, msgspec.Meta(ge=0, le=600)] = 3.0
    request_timeout: PositiveSeconds = 10.0
    max_body: Annotated[int, msgspec.Meta(ge=1024, le=8 * 1024 * 1024)] = 1024 * 1024
    admin_tokens: list[AdminToken] = []
    tls: Tls | None = None


def load_settings(path: str | Path) -> Settings:
    """Read and check the settings file of a daemon; raises `bad_settings`."""
    return decode_settings(path, Settings)


def decode_settings(path: str | Path, kind: type[T], *, strict: bool = True) -> T:
    """Read a TOML file as a struct; without `strict`, numbers may also be written as text.

    Raises `bad_settings` with a message that names file, key, value and what is allowed.
    """
    file = Path(path)
    try:
        raw = tomllib.loads(file.read_text("utf-8"))
    except OSError as error:
        raise RelayError(
            "bad_settings", f"{file}: {error.strerror}", step="read settings"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise RelayError("bad_settings", f"{file}: {error}", step="read settings") from error
    try:
        return msgspec.convert(raw, kind, strict=strict)
    except msgspec.ValidationError as error:
        text = f"{file}: {_describe(raw, str(error))}"
        raise RelayError("bad_settings", text, step="check settings") from error


def _describe(raw: dict, text: str) -> str:
    """Turn "Expected ... - at `$.a.b`" into key, value and what is allowed."""
    allowed, _, where = text.partition(" - at `$")
    path = where.rstrip("`").lstrip(".")
    if not path:
        return allowed
    value = raw
    for part in path.replace("[", ".").replace("]", "").split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return f"key {path}: {allowed}"
    return not_allowed(path, value, allowed)


def not_allowed(key: str, value: object, allowed: str) -> str:
    """Return the text for a key whose value is wrong."""
    return f"key {key}: value {value!r} is not allowed: {allowed}"
