"""Which workspace sends a request, and proof that the keys of the configuration still hold.

An instance that does not read the store itself asks one that may know more for the age of its
configuration. The reply counts from the time at which it was asked for, so neither a slow link nor
a suspended process makes a configuration look younger than it is.
"""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ..decide.access import Access, check_key
from ..errors import RelayError
from ..log import event
from ..wire import AskConfigurationAge, ConfigurationAge, Handlers
from .background import Background
from .deployment import DeploymentState
from .model import Route, Workspace
from .peers import Peer, Peers

__all__ = ["Caller", "CallerAccess"]

#: Time in seconds between two questions for the age of the configuration, and the age up to which
#: none is asked: that of an instance that reads the store itself.
ASK_PERIOD_S = 0.5
KNOWN_S = 0.4
#: Timeout of a question, and pause after one without a proof, in seconds.
ASK_TIMEOUT_S = 0.25
RETRY_PAUSE_S = 0.1
#: Pause in seconds before the first proof: callers wait for it after a start of all instances.
FIRST_PAUSE_S = 0.03
#: Instances that are asked at the same time after the first one gave no proof.
ASKED_AFTER_FAILURE = 2
#: Longest age in seconds that a reply states.
LONGEST_AGE_S = 3600.0


class Caller(NamedTuple):
    """Who sends a request: a workspace, or None where the route or configuration needs no key."""

    access: Access
    workspace: Workspace | None = None


class CallerAccess:
    """Checks the keys of requests, and keeps the proof that the configuration is current."""

    def __init__(
        self,
        deployment: DeploymentState,
        peers: Peers,
        rng: random.Random,
        reader: Callable[[], str],
    ) -> None:
        self.deployment = deployment
        self.peers = peers
        self.rng = rng
        #: Returns the name of the instance that reads the store for this one, if any.
        self.reader = reader

    def start(self, background: Background, handlers: Handlers) -> None:
        """Register the handler for other instances, and ask them as long as keys are needed."""
        handlers.on(AskConfigurationAge)(self._answer)
        background.repeat(self._keep_known)

    def identify(self, key: str, route: Route, now: float) -> Caller:
        """Return who sends a request with a key, empty if it has none."""
        catalog = self.deployment.catalog
        if catalog.workspaces is None:
            return Caller(Access.GRANTED)
        age = self.deployment.configuration_age(now)
        check = check_key(key, catalog.keys, age, self.deployment.bounds.revocation)
        if check.access is Access.GRANTED:
            return Caller(check.access, catalog.workspaces[check.workspace])
        return Caller(Access.GRANTED if route.public else check.access)

    def forwarded(self, headers: dict[str, str], caller: Caller) -> dict[str, str]:
        """Return the headers for a searcher, with the name of the workspace, without the key."""
        if self.deployment.catalog.workspaces is None:
            return headers
        names = self.deployment.names
        kept = {
            name: value
            for name, value in headers.items()
            if name not in (names.api_key, names.workspace)
        }
        if caller.workspace is not None:
            kept[names.workspace] = caller.workspace.name
        return kept

    async def _answer(self, message: AskConfigurationAge) -> ConfigurationAge:
        catalog = self.deployment.catalog
        age = self.deployment.configuration_age(trio.current_time())
        if catalog is None or age > LONGEST_AGE_S:
            return ConfigurationAge()
        return ConfigurationAge(catalog.version, int(age * 1e6))

    async def _keep_known(self) -> None:
        while True:
            catalog = self.deployment.catalog
            if catalog is None or catalog.workspaces is None:
                await trio.sleep(FIRST_PAUSE_S if catalog is None else ASK_PERIOD_S)
                continue
            pause = ASK_PERIOD_S
            age = self.deployment.configuration_age(trio.current_time())
            if age > KNOWN_S and not await self._ask(1, self.reader()):
                await self._ask(ASKED_AFTER_FAILURE)
                pause = FIRST_PAUSE_S if math.isinf(age) else RETRY_PAUSE_S
            await trio.sleep(pause * self.rng.uniform(0.8, 1.2))

    async def _ask(self, count: int, first: str = "") -> bool:
        """Ask some instances for a proof, `first` if it is known; return whether one gave it."""
        now = trio.current_time()
        available = [peer for peer in self.peers.known.values() if peer.paused_until <= now]
        asked = [peer for peer in available if peer.instance.name == first]
        asked = asked or self.rng.sample(available, min(count, len(available)))
        before = self.deployment.configuration_known_at
        async with trio.open_nursery() as nursery:
            for peer in asked:
                nursery.start_soon(self._ask_one, peer)
        return self.deployment.configuration_known_at > before

    async def _ask_one(self, peer: Peer) -> None:
        asked_at = trio.current_time()
        version = self.deployment.catalog.version
        try:
            reply = await self.peers.call(peer, AskConfigurationAge(version), ASK_TIMEOUT_S)
        except RelayError as error:
            event("configuration.age_unknown", peer=peer.instance.name, reason=str(error))
            return
        # A newer version is still on its way to this instance.
        if reply.age_us >= 0 and reply.version <= self.deployment.catalog.version:
            self.deployment.record_configuration_known(asked_at - reply.age_us / 1e6)
