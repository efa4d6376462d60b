"""Many instances that share quotas, as plain objects on a mock clock without sockets."""

import random
from types import SimpleNamespace

import trio
import trio.testing

from rattanrelay.decide.quota import QuotaBounds, most_allowed
from rattanrelay.errors import RelayError
from rattanrelay.relay import Workspace
from rattanrelay.relay.background import Background
from rattanrelay.relay.quotas import Quotas
from rattanrelay.wire import Handlers

__all__ = ["WINDOW_S", "QuotaFleet", "most_in_window", "play"]

BOUNDS = QuotaBounds()
WINDOW_S = BOUNDS.window


def most_in_window(times) -> int:
    """Return the largest number of requests that ran in one window."""
    ran, first, most = sorted(times), 0, 0
    for index, at in enumerate(ran):
        while ran[first] < at - WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most


def play(scenario, *args, **options):
    """Run an async function with a fleet and `args`; `options` are those of the fleet."""

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = QuotaFleet(nursery, **options)
            result = await scenario(fleet, *args)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class _Node:
    """One process of an instance."""

    def __init__(self, fleet, name, first_start) -> None:
        self.fleet = fleet
        self.scope = trio.CancelScope()
        self.handlers = Handlers()
        self.deployment = SimpleNamespace(
            instance=name,
            bounds=SimpleNamespace(quota=BOUNDS),
            catalog=SimpleNamespace(workspaces=fleet.workspaces),
            instances=fleet.size,
            cores_of=fleet.cores_of,
        )
        self.peers = SimpleNamespace(known={}, link=self._link, check_link=lambda peer: None)
        self.see(fleet.names)
        self.quotas = Quotas(
            self.deployment,
            self.peers,
            SimpleNamespace(quota=SimpleNamespace(inc=lambda labels: None)),
            first_start=first_start,
        )

    def see(self, names) -> None:
        """Let this instance list the named ones."""
        self.peers.known = {one: one for one in names if one != self.deployment.instance}

    async def run(self, task_status) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.quotas.start(Background(nursery), self.handlers)
                task_status.started()
                await trio.sleep_forever()

    async def _link(self, peer):
        async def call(message):
            return await self.fleet.call(self.deployment.instance, peer, message)

        return SimpleNamespace(call=call)


class QuotaFleet:
    """Instances with links that lose and delay messages, and what ran of each workspace."""

    def __init__(self, nursery, *, seed=1, size=8, latency=0.001, workspaces=None) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.size = size
        self.latency = latency
        self.names = [f"entry-{number}" for number in range(size)]
        self.workspaces = workspaces or {"crowd": Workspace("crowd", None, 10.0, 10.0)}
        #: Every other instance has half a core.
        self.cores_of = {name: 0.5 + 0.5 * (number % 2) for number, name in enumerate(self.names)}
        self.nodes: dict[str, _Node] = {}
        #: Share of messages that are lost, and the part of the fleet that is cut off.
        self.loss = 0.0
        self.cut: set[str] = set()
        self.messages = 0
        #: Times of requests that ran, and of those refused, by workspace.
        self.ran: dict[str, list[float]] = {name: [] for name in self.workspaces}
        self.refused: dict[str, list[float]] = {name: [] for name in self.workspaces}
        self.waits: list[float] = []

    async def start(self, *names, first_start=False) -> None:
        for name in names or self.names:
            self.nodes[name] = _Node(self, name, first_start)
            await self.nursery.start(self.nodes[name].run)

    def kill(self, name) -> None:
        self.nodes.pop(name).scope.cancel()

    async def call(self, sender, receiver, message):
        """Deliver a message even if the sender does not wait for the reply any more."""
        done, replies = trio.Event(), []
        self.nursery.start_soon(self._deliver, sender, receiver, message, replies, done)
        await done.wait()
        if isinstance(replies[0], Exception):
            raise replies[0]
        return replies[0]

    async def _deliver(self, sender, receiver, message, replies, done) -> None:
        self.messages += 1
        if not await self._passes(sender, receiver):
            return
        node = self.nodes.get(receiver)
        if node is None:
            replies.append(RelayError("peer_unavailable", "refused", peer=receiver))
        else:
            try:
                replies.append(await node.handlers.calls[type(message)](message))
            except RelayError as error:
                replies.append(error)
        if self.nodes.get(receiver) is node and await self._passes(receiver, sender):
            done.set()

    async def _passes(self, sender, receiver) -> bool:
        await trio.sleep(self.latency * self.rng.uniform(0.5, 1.5))
        apart = (sender in self.cut) != (receiver in self.cut)
        return not apart and self.rng.random() >= self.loss

    async def ask(self, workspace="crowd", at=None) -> bool | None:
        """Send one request to an instance; return whether it ran, None if there is no instance."""
        node = self.nodes.get(at or self.rng.choice(self.names))
        if node is None:
            return None
        asked_at = trio.current_time()
        decision = await node.quotas.admit(self.workspaces[workspace])
        if self.nodes.get(node.deployment.instance) is not node:
            return None
        self.waits.append(trio.current_time() - asked_at)
        (self.ran if decision.admitted else self.refused)[workspace].append(trio.current_time())
        return decision.admitted

    async def load(self, seconds, rate, workspace="crowd", regular=False) -> None:
        """Send requests to random instances."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            self.nursery.start_soon(self.ask, workspace)
            await trio.sleep(1.0 / rate if regular else self.rng.expovariate(rate))

    def owners(self, workspace="crowd") -> tuple[str, ...]:
        """Return the owner of a workspace and its deputy, as the first instance knows them."""
        node = next(iter(self.nodes.values()))
        node.quotas.ranking.update(node.peers.known, self.size, self.cores_of)
        return node.quotas.ranking.top(workspace)[:2]

    def allowed(self, workspace="crowd") -> float:
        row = self.workspaces[workspace]
        return most_allowed(row.rate, row.burst, BOUNDS)
