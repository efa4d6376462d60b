"""An emulator process: the services of its configuration and the control listener."""

import time
from collections.abc import Callable

import trio

from ..http import Request, Response
from ..log import event
from . import backend_control, network_control, store_control  # noqa: F401  (control routes)
from .backend import Backends
from .balancer import Balancer
from .config import EmulatorConfig
from .control import control, handle_control
from .endpoint import Endpoint
from .faultproxy import FaultProxy
from .instances import InstanceList
from .store import KeyValueStore

__all__ = ["Emulator", "run_emulator"]


class Emulator:
    """The hosted services; create it inside a trio run. `now` returns Unix seconds."""

    def __init__(self, config: EmulatorConfig, now: Callable[[], float] = time.time) -> None:
        self.backends = Backends(config.servers, now)
        self.store = KeyValueStore(config.store, now) if config.store else None
        self.instances = InstanceList(config.instance_list, now) if config.instance_list else None
        self.balancers = [Balancer(balancer) for balancer in config.balancers]
        self.proxy = FaultProxy(config.proxies)
        self.endpoint = Endpoint(config.control.host, config.control.port, self._handle)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the control listener starts last."""
        try:
            async with trio.open_nursery() as nursery:
                for service in self._services():
                    await nursery.start(service.run)
                await nursery.start(self.endpoint.serve_until_shut)
                event("emulator_ready", control=self.endpoint.address)
                task_status.started(self)
        finally:
            self.endpoint.release()

    def addresses(self) -> dict:
        """Return the addresses of all hosted services."""
        return {
            "control": self.endpoint.address,
            "searchers": self.backends.addresses(),
            "store": self.store.address if self.store else None,
            "instances": self.instances.address if self.instances else None,
            "balancers": [balancer.address for balancer in self.balancers],
            "proxies": self.proxy.addresses(),
        }

    def _services(self) -> list:
        single = (self.backends, self.store, self.instances, self.proxy)
        return [service for service in single if service] + self.balancers

    async def _handle(self, request: Request) -> Response:
        return await handle_control(self, request)


@control("GET", "/control/hosts")
async def hosts(emulator: Emulator, request: Request) -> dict:
    """Return the addresses of all hosted services."""
    return emulator.addresses()


async def run_emulator(config: EmulatorConfig, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Run the configured services until cancelled; `started` receives the `Emulator`."""
    await Emulator(config).run(task_status)
