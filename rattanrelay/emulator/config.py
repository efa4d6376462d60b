"""Configuration of an emulator process, in TOML or JSON."""

import tomllib
from pathlib import Path

import msgspec

from ..errors import RelayError

__all__ = [
    "BalancerConfig",
    "ControlConfig",
    "EmulatorConfig",
    "InstanceListConfig",
    "ProxyConfig",
    "ServerConfig",
    "StoreConfig",
    "load_config",
]


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the parts; each listens on the loopback interface by default."""

    host: str = "127.0.0.1"


class ControlConfig(Part):
    """Listener of the control interface (faults, journals)."""

    port: int = 0


class ServerConfig(Part):
    """A backend server; slots, cold slots and connections are per searcher, times in ms."""

    name: str
    service: str
    failure_domain: str
    #: One port for each searcher; 0 lets the kernel choose.
    ports: list[int]
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    cold_slots: int = 1
    #: Median service time, and shape and spread of its distribution (see `service_time`).
    service_ms: float = 10.0
    service_shape: str = "lognormal"
    service_spread: float = 0.25
    #: Whether the searchers are cold when the process starts.
    starts_cold: bool = False
    #: Number of completed requests after which a cold searcher gains one slot.
    warm_work: int = 8
    #: Time after which a cold searcher is warm whatever it has completed; 0 means never.
    warm_ms: float = 0.0
    cold_factor: float = 3.0
    #: Reaction of a cold searcher to requests above its allowed slots: `crash` or `shed`.
    cold_overload: str = "crash"
    crash_down_ms: float = 500.0
    seed: int = 1
    #: Shards held, by index of the searcher (as text) and snapshot.
    holdings: dict[str, dict[str, list[str]]] = {}


class StoreConfig(Part):
    """Key-value service; rate limits are in calls per second, 0 means no limit."""

    port: int = 0
    read_rate: float = 0.0
    write_rate: float = 0.0
    #: Initial values by key, as text.
    values: dict[str, str] = {}


class InstanceListConfig(Part):
    """Instance list; a change becomes visible after `lag_ms`."""

    port: int = 0
    lag_ms: float = 0.0


class BalancerConfig(Part):
    """TCP round-robin balancer; `targets` are `host:port` of caller listeners.

    A target's health is checked with `GET /readyz` every `check_ms`; a target that fails its checks
    stays in use for `lag_ms`. `checks` maps a target to the address of its health check, if that is
    another one.
    """

    port: int = 0
    targets: list[str] = []
    checks: dict[str, str] = {}
    check_ms: float = 500.0
    lag_ms: float = 1000.0


class ProxyConfig(Part):
    """A route of the fault-injecting TCP proxy."""

    name: str
    target: str
    port: int = 0


class EmulatorConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Configuration of all services that a process hosts."""

    control: ControlConfig = msgspec.field(default_factory=ControlConfig)
    servers: list[ServerConfig] = []
    store: StoreConfig | None = None
    instance_list: InstanceListConfig | None = None
    balancers: list[BalancerConfig] = []
    proxies: list[ProxyConfig] = []


def load_config(path: str | Path) -> EmulatorConfig:
    """Read a configuration file.

    Raises `RelayError` with the code `bad_settings` that names the file and the cause.
    """
    file = Path(path)
    decode = msgspec.json.decode if file.suffix == ".json" else tomllib.loads
    try:
        return msgspec.convert(decode(file.read_text("utf-8")), EmulatorConfig)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise RelayError("bad_settings", f"{file}: {error}", step="read emulator file") from error
