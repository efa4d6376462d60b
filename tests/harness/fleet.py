"""A fleet of processes for one deployment: platform, backend servers and entry instances."""

import json
from collections.abc import Iterable
from pathlib import Path

import msgspec
import tomli_w

from rattanrelay.emulator.config import (
    BalancerConfig,
    EmulatorConfig,
    InstanceListConfig,
    ProxyConfig,
    ServerConfig,
    StoreConfig,
)
from rattanrelay.emulator.deployments import DEPLOYMENTS, Deployment, located, next_snapshot
from rattanrelay.emulator.journal import Run

from .client import AdminClient, CallerClient, ControlClient, http_call
from .processes import HarnessError, Process, Processes, free_ports

__all__ = ["ADMIN_TOKEN", "Entry", "Fleet"]

HOST = "127.0.0.1"
#: Last byte of the IP address of the first entry instance that has its own peer address.
FIRST_PEER_HOST = 11
#: Time after any arrival, which selects journals without runs.
AFTER_ALL_RUNS_S = 1e12
ADMIN_TOKEN = "test-token-of-the-operators"


class Entry:
    """An entry instance: its process, addresses and clients."""

    def __init__(self, name: str, domain: str, ports: list[int], peer_host: str = HOST) -> None:
        self.name = name
        self.domain = domain
        callers, peers, admin = ports
        self.callers = f"{HOST}:{callers}"
        self.peers = f"{peer_host}:{peers}"
        self.admin = f"{HOST}:{admin}"
        #: Peer address that the other instances connect to.
        self.advertised = self.peers
        self.process: Process | None = None
        self.caller_client = CallerClient(self.callers)
        self.admin_client = AdminClient(self.admin, ADMIN_TOKEN)

    @property
    def peer_host(self) -> str:
        """IP address from which this instance opens its peer links."""
        return self.peers.rpartition(":")[0]

    def settings(self, store: str, instances: str, token_file: Path) -> dict:
        """Return the settings of the instance."""
        proxied = self.advertised != self.peers
        return {
            **({"advertise": _address(self.advertised)} if proxied else {}),
            "instance": self.name,
            "failure_domain": self.domain,
            "callers": _address(self.callers),
            "peers": _address(self.peers),
            "admin": _address(self.admin),
            "store": _address(store),
            "instance_list": _address(instances),
            "admin_tokens": [
                {
                    "team": "operators",
                    "file": str(token_file),
                    "scopes": ["read", "edit", "operate", "metrics"],
                }
            ],
        }


class Fleet:
    """Context manager that runs the emulators; `start_entries` starts the entry instances.

    `platform` controls the process with store, instance list, balancer and proxies; `backends`
    controls the processes with the backend servers, which are spread over `backend_processes`.
    With `proxied_store`, entries reach the store through the proxy route `store`. With
    `proxied_servers`, they reach each searcher through the proxy route of its name. With
    `own_routes`, each entry has a proxy route `store-{entry}` of its own to the store, and the
    other entries reach its peer listener through the route `peers-{entry}`, each from an IP address
    of its own.
    """

    def __init__(
        self,
        deployment: str = "norte",
        *,
        entries: int = 3,
        backend_processes: int = 1,
        instance_lag_ms: float = 500.0,
        balancer_lag_ms: float = 500.0,
        proxied_store: bool = False,
        proxied_servers: bool = False,
        own_routes: bool = False,
        limits: dict[str, int] | None = None,
        **options,
    ) -> None:
        self.own_routes = own_routes
        #: Limits of memory and descriptors in the settings of each entry.
        self.limits = limits or {}
        self.processes = Processes()
        self.deployment: Deployment = DEPLOYMENTS[deployment](instances=entries, **options)
        self.entries = self._make_entries()
        self.backend_processes = backend_processes
        self.instance_lag_ms = instance_lag_ms
        self.balancer_lag_ms = balancer_lag_ms
        self.proxied_store = proxied_store
        self.proxied_servers = proxied_servers
        self.searcher_addresses: dict[str, str] = {}
        self.platform: ControlClient | None = None
        self.backends: list[ControlClient] = []
        self.hosts: dict = {}

    def __enter__(self) -> "Fleet":
        try:
            self._start_backends()
            self._start_platform()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and remove their files."""
        self.processes.close()

    @property
    def balancer(self) -> CallerClient:
        """Caller client that goes through the balancer."""
        return CallerClient(self.hosts["balancers"][0])

    @property
    def store_address(self) -> str:
        """Address at which the entry instances reach the store."""
        return self.hosts["proxies"]["store"] if self.proxied_store else self.hosts["store"]

    def start_entries(self, names: Iterable[str] = ()) -> None:
        """Start the named entry instances, by default all, and wait until they are ready."""
        chosen = [self.entries[name] for name in names or self.entries]
        for entry in chosen:
            self.start_entry(entry.name)
        for entry in chosen:
            self.wait_ready(entry.name)

    def start_entry(self, name: str) -> Entry:
        """Start one entry instance, or start it again, without waiting."""
        entry = self.entries[name]
        if entry.process is not None:
            entry.process.start()
            return entry
        token_file = self.processes.write("operators.token", ADMIN_TOKEN.encode())
        settings = entry.settings(self._store_of(name), self.hosts["instances"], token_file)
        data = tomli_w.dumps({**self.limits, **settings}).encode()
        path = self.processes.write(f"{name}.toml", data)
        entry.process = self.processes.start_daemon(name, path)
        return entry

    def wait_ready(self, name: str) -> None:
        """Wait until an entry instance reports that it is ready."""
        entry = self.entries[name]
        entry.process.wait_ready(entry.caller_client.ready)

    def list_instance(self, name: str, state: str = "live") -> None:
        """Write an entry instance into the platform's instance list, as the platform would."""
        entry = self.entries[name]
        body = {"address": entry.advertised, "failure_domain": entry.domain, "state": state}
        data = json.dumps(body).encode()
        http_call(self.hosts["instances"], "PUT", f"/v1/instances/{name}", data)

    def searchers(self) -> dict:
        """Return state and journal summary of all searchers."""
        return {name: one for control in self.backends for name, one in control.searchers().items()}

    def journals(self, since: float = 0.0, **select) -> dict:
        """Return the journals of the selected searchers of all processes."""
        found = [control.journals(since, **select) for control in self.backends]
        return {name: journal for journals in found for name, journal in journals.items()}

    def runs(self, since: float = 0.0, **select) -> list[Run]:
        """Return the runs of the selected searchers; `since` is Unix seconds of the arrival."""
        journals = self.journals(since, **select).values()
        return [msgspec.convert(run, Run) for journal in journals for run in journal["runs"]]

    def post(self, path: str, select: dict, **body) -> list[str]:
        """Post to a control route of each process that hosts selected searchers.

        Return the searchers' names; `select` has the fields of `emulator.backend.Selection`.
        """
        done: list[str] = []
        for control in self.backends:
            if control.journals(AFTER_ALL_RUNS_S, **select):
                done += control.post(path, select=select, **body)
        if not done:
            raise HarnessError(f"no searcher is selected by {select}")
        return done

    def violations(self) -> list[tuple[str, dict]]:
        """Return all violations, each with the name of its searcher."""
        return [
            (name, violation)
            for name, journal in self.journals().items()
            for violation in journal["violations"]
        ]

    def add_snapshot(self, service: str, name: str, shards: int = 0) -> None:
        """Let the searchers hold a newer snapshot, then put it into the service's catalog.

        A positive `shards` repartitions the service into that many; 0 keeps the number.
        """
        self.deployment, holdings = next_snapshot(self.deployment, service, name, shards)
        for control in self.backends:
            own = control.searchers().keys() & holdings.keys()
            control.post("searchers/hold", holdings={one: holdings[one] for one in sorted(own)})
        key = f"catalog/{service}"
        self.platform.post("store/write", values={key: self.deployment.store_values()[key]})

    def drop_snapshot(self, service: str, name: str) -> None:
        """Let the searchers of a service drop a snapshot; the catalog still lists it."""
        self.post("searchers/drop", {"services": [service]}, snapshots=[name])

    def control_of(self, searcher: str) -> ControlClient:
        """Return the control client of the process that hosts a searcher."""
        return next(control for control in self.backends if searcher in control.searchers())

    def cut_store(self, *names: str) -> None:
        """Black-hole all traffic between the named entry instances and the store."""
        self.platform.set_proxy_faults(*(f"store-{name}" for name in names), black_hole="both")

    def cut_peers(self, source: str, target: str, direction: str = "both") -> None:
        """Black-hole the links that `source` opens to `target`.

        `direction` is `to_target`, `to_client` (the answers) or `both`.
        """
        self.platform.set_proxy_faults(
            f"peers-{target}", source=self.entries[source].peer_host, black_hole=direction
        )

    def delay_peers(self, delay_ms: float) -> None:
        """Delay all bytes between the entry instances in each direction."""
        routes = (f"peers-{name}" for name in self.entries)
        self.platform.set_proxy_faults(*routes, delay_ms=delay_ms)

    def heal_routes(self) -> None:
        """Remove the faults of all proxy routes."""
        self.platform.post("proxies/heal")

    def _store_of(self, name: str) -> str:
        return self.hosts["proxies"][f"store-{name}"] if self.own_routes else self.store_address

    def _make_entries(self) -> dict[str, Entry]:
        rows = self.deployment.table.instances.values()
        ports = iter(free_ports(3 * len(rows)))
        entries = {}
        for number, row in enumerate(rows):
            host = f"127.0.0.{FIRST_PEER_HOST + number}" if self.own_routes else HOST
            own = [next(ports) for _ in range(3)]
            entries[row.name] = Entry(row.name, row.failure_domain, own, host)
        return entries

    def _proxies(self, store_port: int) -> list[ProxyConfig]:
        routes = {"store": f"{HOST}:{store_port}"}
        if self.own_routes:
            for name, entry in self.entries.items():
                routes[f"store-{name}"] = routes["store"]
                routes[f"peers-{name}"] = entry.peers
        return [ProxyConfig(name=name, target=target) for name, target in routes.items()]

    def _start_backends(self) -> None:
        for number in range(self.backend_processes):
            servers: list[ServerConfig] = list(
                self.deployment.servers[number :: self.backend_processes]
            )
            control = self._start_emulator(f"backends-{number}", EmulatorConfig(servers=servers))
            self.backends.append(control)
            self.searcher_addresses.update(control.get("hosts")["searchers"])
        self.deployment = located(self.deployment, self.searcher_addresses)

    def _start_platform(self) -> None:
        [store_port] = free_ports(1)
        routes = self._proxies(store_port)
        if self.proxied_servers:
            routes += self._server_routes()
        config = EmulatorConfig(
            store=StoreConfig(port=store_port, values=self.deployment.store_values()),
            instance_list=InstanceListConfig(lag_ms=self.instance_lag_ms),
            balancers=[
                BalancerConfig(
                    targets=[entry.callers for entry in self.entries.values()],
                    lag_ms=self.balancer_lag_ms,
                )
            ],
            proxies=routes,
        )
        self.platform = self._start_emulator("platform", config)
        self.hosts = self.platform.get("hosts")
        if self.own_routes:
            for name, entry in self.entries.items():
                entry.advertised = self.hosts["proxies"][f"peers-{name}"]

    def _server_routes(self) -> list[ProxyConfig]:
        """Return a proxy route for each searcher, and set its address in the table."""
        targets = self.searcher_addresses.items()
        routes = [
            ProxyConfig(name=name, target=target, port=port)
            for (name, target), port in zip(targets, free_ports(len(targets)), strict=True)
        ]
        proxied = {route.name: f"{HOST}:{route.port}" for route in routes}
        self.deployment = located(self.deployment, proxied)
        return routes

    def _start_emulator(self, name: str, config: EmulatorConfig) -> ControlClient:
        [port] = free_ports(1)
        config.control.port = port
        path = self.processes.write(f"{name}.json", msgspec.json.encode(config))
        process = self.processes.start_emulator(name, path)
        control = ControlClient(f"{HOST}:{port}")
        process.wait_ready(lambda: control.get("hosts"))
        return control


def _address(text: str) -> dict:
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port)}
