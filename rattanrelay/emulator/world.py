"""A deployment in one process: real daemons with emulators of the outside systems."""

import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

from ..errors import RelayError
from ..http import HttpConnection, Request, Response
from ..node.daemon import Daemon
from ..settings import Address, AdminToken, Settings
from ..store import StoreClient
from ..store.client import ABSENT
from .config import EmulatorConfig, InstanceListConfig, StoreConfig
from .deployments import Deployment, located
from .run import Emulator, run_emulator

__all__ = ["OPERATOR_TOKEN", "World", "open_world"]

HOST = "127.0.0.1"
OPERATOR_TOKEN = "demo-operator-token"
POLL_S = 0.05


class World:
    """A running deployment: its emulator, its daemons and calls to their interfaces."""

    def __init__(self, deployment: Deployment, emulator: Emulator) -> None:
        self.deployment = deployment
        self.emulator = emulator
        self.daemons: list[Daemon] = []

    @property
    def callers(self) -> list[str]:
        """Addresses of the caller interfaces of all daemons as `host:port`."""
        return [daemon.addresses.callers for daemon in self.daemons]

    async def call(self, service: str, body: dict, tenant: str, instance: int = 0) -> Response:
        """Send a query to the caller interface of an instance."""
        headers = {"x-tenant": tenant, "content-type": "application/json"}
        target = f"/v1/services/{service}/query"
        request = Request("POST", target, headers, msgspec.json.encode(body))
        return await _exchange(self.callers[instance % len(self.callers)], request)

    async def act(self, service: str, body: dict, tenant: str, key: str, instance: int) -> Response:
        """Send a non-idempotent request to the caller interface of an instance."""
        headers = {"x-tenant": tenant, "idempotency-key": key}
        target = f"/v1/services/{service}/actions"
        request = Request("POST", target, headers, msgspec.json.encode(body))
        return await _exchange(self.callers[instance % len(self.callers)], request)

    async def administer(self, method: str, target: str, body=None, instance: int = 0) -> Response:
        """Send an operator's request to the administration interface of an instance."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}", "content-type": "application/json"}
        data = b"" if body is None else msgspec.json.encode(body)
        address = self.daemons[instance].addresses.admin
        return await _exchange(address, Request(method, target, headers, data))

    async def wait_ready(self, limit: float) -> None:
        """Wait until each daemon is ready and may dispatch to all servers that it owns.

        Raises `RelayError` with the code `not_ready` after `limit` seconds.
        """
        for _ in range(round(limit / POLL_S)):
            if all(self._is_ready(daemon) for daemon in self.daemons):
                return
            await trio.sleep(POLL_S)
        raise RelayError(
            "not_ready", f"deployment not ready within {limit} s", step="start deployment"
        )

    def _is_ready(self, daemon: Daemon) -> bool:
        if daemon.callers.not_ready_reason():
            return False
        if len(daemon.members.members) != len(self.daemons):
            return False
        name = daemon.settings.instance
        servers = self.deployment.table.servers
        owned = [server for server in servers if daemon.members.owner(server).instance == name]
        return all(daemon.members.may_dispatch(server) for server in owned)


@asynccontextmanager
async def open_world(deployment: Deployment, instances: int):
    """Run a deployment with the first `instances` rows of its instances; yields a `World`."""
    config = EmulatorConfig(
        servers=list(deployment.servers), store=StoreConfig(), instance_list=InstanceListConfig()
    )
    with tempfile.TemporaryDirectory() as folder:
        token = Path(folder) / "operator.token"
        token.write_text(OPERATOR_TOKEN, "utf-8")
        async with trio.open_nursery() as nursery:
            emulator = await nursery.start(run_emulator, config)
            addresses = emulator.addresses()
            deployment = located(deployment, addresses["searchers"])
            await _fill_store(addresses["store"], deployment)
            world = World(deployment, emulator)
            for name in list(deployment.table.instances)[:instances]:
                settings = _settings(name, deployment, addresses, token)
                daemon = Daemon(settings)
                world.daemons.append(daemon)
                await nursery.start(daemon.run)
                await _register(addresses["instances"], daemon)
            yield world
            nursery.cancel_scope.cancel()


async def _fill_store(address: str, deployment: Deployment) -> None:
    host, _, port = address.rpartition(":")
    client = StoreClient(host, int(port))
    for key, value in deployment.store_values().items():
        await client.put(key, value.encode(), ABSENT)


async def _register(address: str, daemon: Daemon) -> None:
    settings = daemon.settings
    entry = {
        "instance": settings.instance,
        "address": daemon.addresses.peers,
        "failure_domain": settings.failure_domain,
        "state": "live",
    }
    target = f"/v1/instances/{settings.instance}"
    await _exchange(address, Request("PUT", target, body=msgspec.json.encode(entry)))


def _settings(name: str, deployment: Deployment, addresses: dict, token: Path) -> Settings:
    any_port = Address(HOST, 0)
    return Settings(
        instance=name,
        failure_domain=deployment.table.instances[name].failure_domain,
        callers=any_port,
        peers=any_port,
        admin=any_port,
        store=_address(addresses["store"]),
        instance_list=_address(addresses["instances"]),
        admin_tokens=[AdminToken("operators", str(token), ["read", "edit", "operate"])],
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


async def _exchange(address: str, request: Request) -> Response:
    host, _, port = address.rpartition(":")
    connection = await HttpConnection.open(host, int(port))
    try:
        return await connection.request(request)
    finally:
        await connection.aclose()
