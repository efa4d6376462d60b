"""A request that ran once is answered 503, which promises that it has not run."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    HOST_NAME,
    PREFIX,
    Client,
    Instance,
    Searcher,
    Store,
    free_network,
    main,
    now,
)

ZONES = ("oviedo", "torrelavega", "ponferrada")
SEARCHERS = 8
#: Clients of each instance, which send one request after the other.
CLIENTS = 4
#: Share of the requests that a searcher in trouble fails, and for how many seconds it does.
FAILED_SHARE = 0.4
GREY_S = 6.5
#: Status with which it fails; its answers do not say that the request has not run.
STATUS = 503
#: Statuses that promise to a client that its request has not run.
PROMISES = (408, 421, 429, 503)


def configuration() -> dict:
    """Return a configuration with a route whose requests must run once at most."""
    return {
        "version": 10,
        "routes": [
            {
                "name": "book",
                "hostname": HOST_NAME,
                "prefix": "/book/",
                "type": "non_idempotent",
                "timeout_ms": 4000,
                "target_latency_ms": 400,
                "priority": 1,
                "attempts": 2,
                "service": "shelf-locator",
            }
        ],
        "services": [{"name": "shelf-locator", "max_connections": 110}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 30000,
        },
    }


class GreySearcher(Searcher):
    """A searcher that fails some requests after it has run them."""

    grey_until = 0.0
    failures = 0.0

    async def answer(self, request, writer, head) -> None:
        if now() < self.grey_until:
            self.failures += FAILED_SHARE
        if self.failures < 1.0:
            await super().answer(request, writer, head)
            return
        self.failures -= 1.0
        request_id = head[PREFIX + "Request-Id"]
        self.record(f"{self.name} ran {request_id} and answers {STATUS}")
        signed = head | {PREFIX + "Server-Signature": f"{self.name}.{request_id}"}
        await self.send(writer, STATUS, signed)


async def play(record, temporary, trouble) -> str:
    store = Store(record)
    expiry = asyncio.create_task(store.expire_leases())
    network = free_network()
    searchers, instances = [], []
    try:
        for number in range(SEARCHERS):
            zone = ZONES[number % 3]
            searcher = GreySearcher(record, f"i-{number}", "shelf-locator", zone, work_s=0.05)
            await searcher.start()
            searchers.append(searcher)
            store.write(f"servers/{searcher.name}", searcher.entry())
        store.write("op/config", configuration())
        for number, zone in enumerate(ZONES):
            port = await store.port()
            instance = Instance(f"edge-{zone}-1", zone, f"{network}.{number + 10}", temporary)
            instances.append((instance, port))
            await instance.start(port, bootstrap=True)
        for instance, _ in instances:
            await instance.wait_ready()
        await asyncio.sleep(3.0)
        client = Client(record, 4000)
        if trouble:
            record(f"{searchers[0].name} fails some requests after it has run them")
            searchers[0].grey_until = now() + GREY_S
        until = now() + GREY_S + 1.0

        async def ask(instance: Instance) -> None:
            number = 0
            while now() < until:
                number += 1
                await client.send(instance, f"/book/{number}", "POST", b"box=4711")

        await asyncio.gather(*[ask(instance) for instance, _ in instances for _ in range(CLIENTS)])
        ran = {request_id for searcher in searchers for request_id in searcher.ran}
        untrue = [
            (request_id, status)
            for _, request_id, _, status in client.answers
            if status in PROMISES and request_id in ran
        ]
        served = sum(status == 200 for _, _, _, status in client.answers)
        record(f"{served} of {len(client.answers)} requests were served")
        if untrue:
            return (
                f"REFUSED: {len(untrue)} requests that had run were answered "
                f"{sorted({status for _, status in untrue})}, the first {untrue[0][0]}"
            )
        return ""
    finally:
        expiry.cancel()
        for instance, port in instances:
            await instance.end()
            await port.stop()
        for searcher in searchers:
            await searcher.stop()


main(FOLDER, play)
