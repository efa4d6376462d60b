"""Instances as processes, and the store and searchers of a soak run behind fault proxies."""

import os
import random
import signal
from collections.abc import Iterable

import tomli_w
import trio

from rattanrelay.emulator.config import ProxyConfig
from rattanrelay.emulator.faultproxy import FaultProxy, ProxyFaults
from tests.harness.processes import Process, Processes
from tests.harness.relay_world import StandInSearcher, StandInStore, free_port

__all__ = [
    "DRAIN_S",
    "GRACE_S",
    "MEMORY_MB",
    "SHARDS",
    "ProxiedSearcher",
    "SoakInstance",
    "SoakWorld",
]

SHARDS = 8
COPIES = 2
DRAIN_S = 3.0
GRACE_S = 4.0
#: Limits in the settings of the instances.
MEMORY_MB = 96
MAX_FDS = 1024
HOST = "127.0.0.1"
DOMAINS = ("a", "b")
#: Seconds within which a started instance must be ready, with ample room for a busy machine.
START_LIMIT_S = 30.0


class ProxiedSearcher(StandInSearcher):
    """A searcher that is reached through a proxy."""

    #: Time of `trio.current_time()` at which its entry became draining.
    drained_at: float | None = None


class SoakInstance:
    """An instance process, its settings and the faults injected into it."""

    def __init__(self, name: str, domain: str, host: str) -> None:
        self.name = name
        self.domain = domain
        self.host = host
        self.front = free_port()
        self.ready = free_port()
        self.peers = free_port()
        self.process: Process | None = None
        #: Time at which its last fault ended; infinite during a fault.
        self.disturbed_until = 0.0
        self.terminated = False
        self.frozen = False

    def undisturbed(self, now: float, span: float) -> bool:
        """Return whether its last fault ended at least `span` seconds ago."""
        return now - self.disturbed_until >= span

    def settings(self, store: str) -> dict:
        """Return the settings that the platform would write to a file."""
        return {
            "node_name": self.name,
            "zone": self.domain,
            "internal_ports": [self.peers, self.peers + 10],
            "listen_addrs": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
            },
            "bounds": {
                "drain_ms": int(DRAIN_S * 1000),
                "grace_s": GRACE_S,
                "retry_budget_ratio": 0.2,
                "retry_budget_min": 30,
                "budget_window_s": 10,
                "warmup_overshoot": 1.5,
                "warmup_slack": 5,
            },
            "platform": {"address": store},
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
        }


class SoakWorld:
    """The store, searchers, proxies and instances of one soak run."""

    def __init__(self, rng: random.Random, instances: int) -> None:
        self.rng = rng
        self.store = StandInStore()
        self.processes = Processes()
        # The metrics port is fixed, so soaks that run side by side need addresses of their own.
        network = "127.{}.{}".format(*divmod(free_port(), 256))
        self.instances = [
            SoakInstance(f"entry-{number}", DOMAINS[number % 2], f"{network}.{20 + number}")
            for number in range(instances)
        ]
        self.searchers: list[ProxiedSearcher] = []
        self.proxies: dict[str, FaultProxy] = {}
        self.version = 1
        self.set_number = 0
        #: All sets of shards that a configuration version has named.
        self.sets: list[frozenset[str]] = []
        #: Services among which the split routes divide requests.
        self.split = ["one-x"]
        #: Time at which the last fault of the store ended; infinite during a fault.
        self.store_disturbed_until = 0.0
        self._nursery: trio.Nursery | None = None
        self._scopes: dict[str, trio.CancelScope] = {}

    async def open(self, nursery: trio.Nursery) -> None:
        """Start searchers, store listeners and instances; wait until all instances are ready."""
        self._nursery = nursery
        await self.start_shards()
        for copy in range(4):
            await self.start_searcher(f"one-{copy}", "one-x", DOMAINS[copy % 2])
        self.configure()
        for instance in self.instances:
            await nursery.start(self.store.serve, instance.name)
            target = f"{HOST}:{self.store.ports[instance.name]}"
            await self._proxy(f"store/{instance.name}", target)
            link = f"instance/{instance.name}"
            proxy = await self._proxy(link, f"{instance.host}:{instance.peers}")
            self.store.listed_ports[instance.name] = _port(proxy, link)
            self._write_settings(instance)
            self.launch(instance)
        with trio.fail_after(START_LIMIT_S):
            for instance in self.instances:
                while not await self.is_ready(instance):  # noqa: ASYNC110
                    await trio.sleep(0.1)

    async def start_shards(self) -> None:
        """Start the searchers of the next set of shards."""
        self.set_number += 1
        names = [f"set{self.set_number}-{shard}" for shard in range(SHARDS)]
        self.sets.append(frozenset(names))
        for service in names:
            for copy in range(COPIES):
                await self.start_searcher(f"{service}-{copy}", service, DOMAINS[copy])

    async def start_searcher(self, name: str, service: str, domain: str) -> ProxiedSearcher:
        """Start one searcher and write its entry."""
        records = b"".join(self.rng.randbytes(16) for _ in range(6))
        searcher = ProxiedSearcher(name, service, domain, work=0.01, records=records)
        searcher.pause = 0.05
        searcher.phase = self.rng.uniform(0.0, 3.0)
        self.searchers.append(searcher)
        scope = self._scopes[name] = trio.CancelScope()

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with scope:
                await searcher.run(task_status=task_status)

        await self._nursery.start(run)
        proxy = await self._proxy(f"searcher/{name}", f"{HOST}:{searcher.port}")
        searcher.listed_port = _port(proxy, f"searcher/{name}")
        self.store.write(f"servers/{name}", searcher.entry())
        return searcher

    def stop_searcher(self, searcher: ProxiedSearcher) -> None:
        """End a searcher; its connections are reset."""
        self._scopes[searcher.name].cancel()
        self.proxies[f"searcher/{searcher.name}"].routes[f"searcher/{searcher.name}"].cut()

    def drain(self, searchers: Iterable[ProxiedSearcher]) -> None:
        """Set the entries of searchers in the store to draining."""
        for searcher in searchers:
            searcher.drained_at = trio.current_time()
            self.store.write(f"servers/{searcher.name}", searcher.entry(state="draining"))

    def configure(self) -> None:
        """Write a new configuration version with the newest set of shards."""
        self.version += self.rng.randint(1, 4)
        route = {"hostname": "test.example", "timeout_ms": 1500, "priority": 1, "attempts": 2}
        parts = [{"service": service, "weight": 1} for service in self.split]
        shards = sorted(self.sets[-1])
        routes = [
            {**route, "name": "one", "prefix": "/one/", "type": "idempotent"}
            | {"traffic_split": parts, "target_latency_ms": 300},
            {**route, "name": "once", "prefix": "/once/", "type": "non_idempotent"}
            | {"traffic_split": parts, "target_latency_ms": 300},
            {**route, "name": "all", "prefix": "/all/", "type": "idempotent"}
            | {"gather": shards, "top_k": 10, "min_shard_ratio": 0.75, "target_latency_ms": 200},
        ]
        services = [
            {"name": name, "max_connections": 40, "warmup_per_s": 0.0}
            for name in sorted({searcher.service for searcher in self.searchers})
        ]
        document = {"version": self.version, "routes": routes, "services": services, "limits": {}}
        self.store.write("op/config", document)

    def set_faults(self, name: str, faults: ProxyFaults, *, cut: bool = False) -> None:
        """Put faults on a proxy, and reset its open connections if asked."""
        route = self.proxies[name].routes[name]
        route.set_faults(faults)
        if cut:
            route.cut()

    def silence(self, names: Iterable[str], direction: str) -> None:
        """Make the open connections of proxies silent for good."""
        for name in names:
            self.proxies[name].routes[name].silence(direction)

    def launch(self, instance: SoakInstance) -> None:
        """Start the process of an instance, or start it again."""
        instance.terminated = instance.frozen = False
        if instance.process is None:
            os.environ["RATTANRELAY_BOOT"] = str(self._settings_path(instance))
            instance.process = self.processes.start(instance.name, "-m", "rattanrelay.platform")
            return
        os.environ["RATTANRELAY_BOOT"] = str(self._settings_path(instance))
        instance.process.start()

    def send(self, instance: SoakInstance, number: int) -> None:
        """Send a signal if the process runs."""
        if instance.process.running:
            instance.process.signal(number)
            instance.frozen = number == signal.SIGSTOP

    async def is_ready(self, instance: SoakInstance) -> bool:
        """Return whether the instance passes the health check of the balancer."""
        with trio.move_on_after(1.0):
            try:
                stream = await trio.open_tcp_stream(instance.host, instance.ready)
                async with stream:
                    await stream.send_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                    return b" 200 " in (await stream.receive_some(100))[:20]
            except (OSError, trio.BrokenResourceError):
                return False
        return False

    async def _proxy(self, name: str, target: str) -> FaultProxy:
        proxy = self.proxies[name] = FaultProxy([ProxyConfig(name=name, target=target)])
        await self._nursery.start(proxy.run)
        return proxy

    def _write_settings(self, instance: SoakInstance) -> None:
        store = self.proxies[f"store/{instance.name}"].addresses()[f"store/{instance.name}"]
        data = tomli_w.dumps(instance.settings(store)).encode()
        self.processes.write(f"{instance.name}.toml", data)

    def _settings_path(self, instance: SoakInstance):
        return self.processes.directory / f"{instance.name}.toml"


def _port(proxy: FaultProxy, name: str) -> int:
    return int(proxy.addresses()[name].rpartition(":")[2])
