"""Decode the settings file that the platform writes into the relay's settings."""

import os
from pathlib import Path
from typing import Annotated

import msgspec

from ..decide.access import RevocationBound
from ..decide.cold_start import ColdLimits
from ..decide.extra_window import ExtraLimits
from ..decide.intake import MB, derive_limits
from ..decide.quota import QuotaBounds
from ..errors import RelayError
from ..relay import Bounds, Listen, RelaySettings
from ..settings import MAX_PORT, Port, decode_settings, not_allowed_text

__all__ = ["METRICS_PORT", "SETTINGS_VARIABLE", "load", "settings_path"]

#: Environment variable with the path of the file.
SETTINGS_VARIABLE = "RATTANRELAY_BOOT"
#: Port of `metrics` in deploy/system.toml.
METRICS_PORT = 9464

#: `host:port`.
AddressText = Annotated[str, msgspec.Meta(pattern=r"^.+:[0-9]{1,5}$")]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Duration = Annotated[float, msgspec.Meta(gt=0)]


class _Addresses(msgspec.Struct):
    #: Address of the listener for clients.
    front: AddressText
    #: Address of the listener for the balancer's checks.
    ready: AddressText


class _Bounds(msgspec.Struct):
    retry_budget_ratio: Amount = 0.2
    retry_budget_min: Amount = 0.0
    budget_window_s: Duration = 10.0
    warmup_overshoot: Amount = 1.0
    warmup_slack: Amount = 0.0
    #: Time for which a draining searcher still serves.
    drain_ms: Amount = 3000.0
    #: Time from SIGTERM to SIGKILL.
    grace_s: Amount = 6.0
    #: Time after the acknowledgement of a key's removal from which it must not be used.
    revoke_ms: Duration = 5000.0
    #: Whether that also holds for instances that cannot learn of the removal.
    strict_revoke: bool = False
    #: By how much the requests of a workspace may exceed its quota in any window of this length:
    #: a share of the quota, and a number of requests.
    quota_window_s: Duration = 5.0
    quota_overshoot: Amount = 0.1
    quota_slack: Amount = 20.0


class _Limits(msgspec.Struct):
    #: Share of the processor that the process gets.
    cpu_share: Duration = 1.0
    #: Speed of that processor as a multiple of one core's, not a number of cores.
    cpu_cores: Duration = 1.0
    #: Memory in MB beyond which the process is killed, and descriptors that it may open; 0 or
    #: missing: not known.
    memory_mb: Amount = 0.0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Log(msgspec.Struct):
    #: Whether each choice of a searcher that tells its load is logged.
    choices: bool = False


class _Store(msgspec.Struct):
    address: AddressText


class _File(msgspec.Struct):
    node_name: Text
    #: Failure domain of the instance.
    zone: Text
    listen_addrs: _Addresses
    platform: _Store
    #: First and last port for messages between instances.
    internal_ports: Annotated[list[Port], msgspec.Meta(min_length=1)]
    #: Period with which searchers renew their entries.
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    log: _Log = msgspec.field(default_factory=_Log)
    #: True only while the whole fleet starts for the first time.
    bootstrap: bool = False


def settings_path() -> Path:
    """Return the path of the settings file; raises `bad_settings` if the variable is not set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise RelayError("bad_settings", f"{SETTINGS_VARIABLE} is not set", step="read settings")
    return Path(path)


def load(path: Path) -> RelaySettings:
    """Read and check the file; raises `bad_settings` that names the invalid key."""
    file = decode_settings(path, _File, strict=False)
    bounds = file.bounds
    clients = _listen("listen_addrs.front", file.listen_addrs.front)
    return RelaySettings(
        instance=file.node_name,
        domain=file.zone,
        clients=clients,
        ready=_listen("listen_addrs.ready", file.listen_addrs.ready),
        metrics=Listen(clients.host, METRICS_PORT),
        peers=Listen(clients.host, file.internal_ports[0]),
        store=_listen("platform.address", file.platform.address),
        bounds=Bounds(
            extra=ExtraLimits(
                bounds.retry_budget_ratio, bounds.retry_budget_min, bounds.budget_window_s
            ),
            cold=ColdLimits(bounds.warmup_overshoot, bounds.warmup_slack),
            drain=bounds.drain_ms / 1000.0,
            stop_grace=bounds.grace_s,
            revocation=RevocationBound(bounds.revoke_ms / 1000.0, bounds.strict_revoke),
            quota=QuotaBounds(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack),
        ),
        first_start=file.bootstrap,
        cores=file.limits.cpu_share * file.limits.cpu_cores,
        intake=derive_limits(int(file.limits.memory_mb * MB), file.limits.max_fds),
        log_choices=file.log.choices,
    )


def _listen(key: str, text: str) -> Listen:
    host, _, port = text.rpartition(":")
    if int(port) > MAX_PORT:
        problem = not_allowed_text(key, text, f"a port up to {MAX_PORT}")
        raise RelayError("bad_settings", problem, step="check settings")
    return Listen(host, int(port))
