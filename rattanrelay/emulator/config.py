"""The file that says what one emulator process hosts (TOML or JSON)."""

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
    """Common base; all addresses are on the loopback interface by default."""

    host: str = "127.0.0.1"


class ControlConfig(Part):
    """Listener for faults and journals."""

    port: int = 0


class ServerConfig(Part):
    """A backend server; slots, connections and cold slots hold for each searcher, times in ms."""

    name: str
    service: str
    failure_domain: str
    #: One port for each searcher; 0 lets the kernel choose.
    ports: list[int]
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    cold_slots: int = 1
    #: Median service time and the shape of its distribution, see `service_time`.
    service_ms: float = 10.0
    service_shape: str = "lognormal"
    service_spread: float = 0.25
    #: Whether the searchers are cold when the process starts.
    starts_cold: bool = False
    #: Completed requests after which a cold searcher bears one more slot.
    warm_work: int = 8
    #: Time after which a cold searcher is warm whatever its work; 0 means never.
    warm_ms: float = 0.0
    cold_factor: float = 3.0
    #: `crash` or `shed`: what a cold searcher does with work above its cold slots.
    cold_overload: str = "crash"
    crash_down_ms: float = 500.0
    seed: int = 1
    #: Shards that each searcher holds, by searcher index as text, then snapshot.
    holdings: dict[str, dict[str, list[str]]] = {}


class StoreConfig(Part):
    """Key-value service; limits in calls a second, 0 means no limit."""

    port: int = 0
    read_rate: float = 0.0
    write_rate: float = 0.0
    #: First values by key, as text.
    values: dict[str, str] = {}


class InstanceListConfig(Part):
    """Instance list; a change is visible after `lag_ms`."""

    port: int = 0
    lag_ms: float = 0.0


class BalancerConfig(Part):
    """TCP round-robin balancer; `targets` are `host:port` of caller listeners.

    A target's health is read from `GET /readyz` every `check_ms`; a change counts after `lag_ms`.
    `checks` gives the health address of a target when it is another one.
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
    """All that one process hosts."""

    control: ControlConfig = msgspec.field(default_factory=ControlConfig)
    servers: list[ServerConfig] = []
    store: StoreConfig | None = None
    instance_list: InstanceListConfig | None = None
    balancers: list[BalancerConfig] = []
    proxies: list[ProxyConfig] = []


def load_config(path: str | Path) -> EmulatorConfig:
    """Read a configuration file; raises `bad_settings` that names the file and the cause."""
    file = Path(path)
    decode = msgspec.json.decode if file.suffix == ".json" else tomllib.loads
    try:
        return msgspec.convert(decode(file.read_text("utf-8")), EmulatorConfig)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise RelayError("bad_settings", f"{file}: {error}", step="read emulator file") from error
