"""Settings of a daemon, read from a TOML file and validated."""

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
    "not_allowed_text",
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
    """The file of an administration token, its team, its scopes and the services it is for."""

    team: Name
    file: str
    scopes: list[Annotated[str, msgspec.Meta(pattern=r"^(read|edit|operate|metrics)$")]]
    services: list[str] = []


class Tls(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """PEM files with the certificate chain and the private key of the caller listener."""

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
    #: Address at which other instances connect; by default that of the peer listener.
    advertise: Address | None = None
    cell: Name = "main"
    log_file: str = ""
    stop_timeout: PositiveSeconds = 15.0
    balancer_grace: Annotated[float, msgspec.Meta(ge=0, le=600)] = 3.0
    request_timeout: PositiveSeconds = 10.0
    max_body: Annotated[int, msgspec.Meta(ge=1024, le=8 * 1024 * 1024)] = 1024 * 1024
    #: Memory in MB beyond which the process is killed, and descriptors that it may open; 0 if they
    #: are not known.
    memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0
    admin_tokens: list[AdminToken] = []
    tls: Tls | None = None


def load_settings(path: str | Path) -> Settings:
    """Return the validated settings of a daemon from a file; raises `bad_settings`."""
    return decode_settings(path, Settings)


def decode_settings(path: str | Path, kind: type[T], *, strict: bool = True) -> T:
    """Return the struct `kind` decoded from a TOML file.

    Unless `strict`, numbers may also be written as strings. Raises `bad_settings` with a message
    that names the file, the key, its value and the values that are allowed.
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
    """Rewrite an error of msgspec ("Expected ... - at `$.a.b`") with the key and its value."""
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
    return not_allowed_text(path, value, allowed)


def not_allowed_text(key: str, value: object, allowed: str) -> str:
    """Return the error text for a key whose value is not allowed."""
    return f"key {key}: value {value!r} is not allowed: {allowed}"
