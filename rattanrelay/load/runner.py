"""Open-loop sending: each request is sent at its scheduled time, regardless of responses."""

import itertools
import ssl
from random import Random
from typing import NamedTuple

import msgspec
import trio

from ..errors import RelayError
from ..http import HttpConnection, Request, Response
from .arrivals import Arrival, Phase, arrivals
from .recorder import Recorder

__all__ = ["Clients", "LoadPlan", "run_load"]

#: Time that the client waits for an answer beyond the timeout of the request.
ANSWER_GRACE_S = 5.0
#: Idle connections that are kept for each target.
MAX_IDLE_CONNECTIONS = 256


class LoadPlan(NamedTuple):
    """Settings of a load run; `targets` are `host:port` of caller listeners, used round-robin."""

    targets: tuple[str, ...]
    service: str
    phases: tuple[Phase, ...]
    shares: dict[str, float]
    seed: int = 1
    timeout_ms: int = 1000
    limit: int = 10
    #: Number of different query bodies; the first use of each costs a canary request.
    distinct: int = 50


class Clients:
    """Pools of connections by target, with TLS if a context is given."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self.tls = tls
        self.idle: dict[str, list[HttpConnection]] = {}

    async def send(self, target: str, request: Request) -> Response:
        """Send one request over an idle or new connection; raises `RelayError`."""
        idle = self.idle.setdefault(target, [])
        connection = idle.pop() if idle else await self._open(target)
        try:
            response = await connection.request(request)
        except BaseException:
            await connection.aclose()
            raise
        if connection.usable and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            await connection.aclose()
        return response

    async def _open(self, target: str) -> HttpConnection:
        host, _, port = target.rpartition(":")
        return await HttpConnection.open(host, int(port), self.tls)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for connection in itertools.chain(*self.idle.values()):
            await connection.aclose()


async def run_load(plan: LoadPlan, *, clients: Clients | None = None) -> Recorder:
    """Run a plan and return its recorded results."""
    recorder = Recorder()
    clients = clients or Clients()
    targets = itertools.cycle(plan.targets)
    start = trio.current_time()
    schedule = arrivals(list(plan.phases), plan.shares, Random(plan.seed))
    async with trio.open_nursery() as nursery:
        for arrival in schedule:
            await trio.sleep_until(start + arrival.at)
            nursery.start_soon(_send, plan, clients, next(targets), arrival, start, recorder)
    await clients.aclose()
    return recorder


async def _send(
    plan: LoadPlan,
    clients: Clients,
    target: str,
    arrival: Arrival,
    start: float,
    recorder: Recorder,
) -> None:
    request = _request(plan, arrival)
    status = 0
    answer = {"outcome": "unknown", "code": "no_answer"}
    try:
        with trio.fail_after(plan.timeout_ms / 1000 + ANSWER_GRACE_S):
            response = await clients.send(target, request)
        status = response.status
        answer = response.json()
    except RelayError as error:
        answer = {"outcome": error.ran, "code": f"client_{error.code}"}
    except (trio.TooSlowError, msgspec.DecodeError):
        pass
    recorder.add(arrival, trio.current_time() - start - arrival.at, status, answer)


def _request(plan: LoadPlan, arrival: Arrival) -> Request:
    headers = {
        "content-type": "application/json",
        "x-tenant": arrival.tenant,
        "x-request-id": f"load-{plan.seed}-{arrival.number}",
        "x-timeout-ms": str(plan.timeout_ms),
    }
    body = {"filter": {"term": f"t{arrival.number % plan.distinct}"}, "limit": plan.limit}
    return Request("POST", f"/v1/services/{plan.service}/query", headers, msgspec.json.encode(body))
