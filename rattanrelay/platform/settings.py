"""The settings file that the platform writes, decoded into the relay's settings."""

import os
import tomllib
from pathlib import Path

import msgspec

from ..decide.extras import ExtraLimits
from ..decide.warmth import ColdLimits
from ..errors import RelayError
from ..relay import Bounds, Listen, RelaySettings

__all__ = ["METRICS_PORT", "SETTINGS_VARIABLE", "load", "settings_path"]

#: Environment variable with the path of the file.
SETTINGS_VARIABLE = "RATTANRELAY_BOOT"
#: Port of `metrics` in deploy/system.toml.
METRICS_PORT = 9464


class _Addresses(msgspec.Struct):
    #: Listener of clients.
    front: str
    #: Listener of the balancer's checks.
    ready: str


class _Bounds(msgspec.Struct):
    retry_budget_ratio: float = 0.2
    retry_budget_min: float = 0.0
    budget_window_s: float = 10.0
    warmup_overshoot: float = 1.0
    warmup_slack: float = 0.0
    #: Time for which a leaving searcher still serves.
    drain_ms: float = 3000.0
    #: Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct):
    node_name: str
    #: Failure domain of the instance.
    zone: str
    listen_addrs: _Addresses
    platform: _Store
    #: First and last port of the instances' own messages.
    internal_ports: list[int]
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Return the path of the settings file; raises `bad_settings` when none is named."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise RelayError("bad_settings", f"{SETTINGS_VARIABLE} is not set", step="read settings")
    return Path(path)


def load(path: Path) -> RelaySettings:
    """Read and check the file; raises `bad_settings` with the key that is wrong."""
    try:
        file = msgspec.convert(tomllib.loads(path.read_text("utf-8")), _File, strict=False)
    except OSError as error:
        raise RelayError("bad_settings", f"{path}: {error}", step="read settings") from error
    except (ValueError, msgspec.ValidationError) as error:
        raise RelayError("bad_settings", f"{path}: {error}", step="check settings") from error
    bounds = file.bounds
    clients = address(file.listen_addrs.front)
    return RelaySettings(
        instance=file.node_name,
        domain=file.zone,
        clients=clients,
        ready=address(file.listen_addrs.ready),
        metrics=Listen(clients.host, METRICS_PORT),
        peers=Listen(clients.host, file.internal_ports[0]),
        store=address(file.platform.address),
        bounds=Bounds(
            extra=ExtraLimits(
                bounds.retry_budget_ratio, bounds.retry_budget_min, bounds.budget_window_s
            ),
            cold=ColdLimits(bounds.warmup_overshoot, bounds.warmup_slack),
            drain=bounds.drain_ms / 1000.0,
            stop_grace=bounds.grace_s,
        ),
    )


def address(text: str) -> Listen:
    """Return `host:port` as an address; raises `bad_settings`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise RelayError("bad_settings", f"{text!r} is no address", step="check settings")
    return Listen(host, int(port))
