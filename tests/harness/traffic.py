"""Caller threads that send queries and non-idempotent requests and check each answer."""

import random
import threading
import time
from collections import Counter
from typing import NamedTuple

from rattanrelay.emulator.corpus import canonical, expected_answer

from .client import ActionKey, CallerClient
from .fleet import Fleet

__all__ = ["Sent", "Traffic", "check_query_answer"]

PAUSE_S = 0.01
DISTINCT_QUERIES = 20


class Sent(NamedTuple):
    """One attempt; `error` is the transport error or the reason why the answer is wrong."""

    at: float
    instance: str
    kind: str
    key: str
    status: int
    answer: dict
    error: str = ""


def check_query_answer(fleet: Fleet, service: str, query: dict, answer: dict) -> str:
    """Return the error in an answer to a query, or an empty text if it is correct.

    An answer must name each shard of its snapshot once, as answered or as missing with a reason,
    and its hits and count must be those of the answered shards of that snapshot.
    """
    snapshots = {one.name: one for one in fleet.deployment.catalogs[service].snapshots}
    snapshot = snapshots.get(answer["snapshot"])
    if snapshot is None:
        return f"unknown snapshot {answer['snapshot']}"
    coverage = answer["coverage"]
    names = [shard.name for shard in snapshot.shards]
    missing = {item["shard"]: item["reason"] for item in coverage["missing"]}
    if coverage["shards"] != len(names) or not missing.keys() <= set(names):
        return f"coverage does not fit the snapshot: {coverage}"
    if not all(missing.values()) or coverage["answered"] != len(names) - len(missing):
        return f"coverage does not add up: {coverage}"
    wanted = expected_answer([one for one in names if one not in missing], snapshot.name, query)
    if answer["count"] != wanted["count"] or answer["hits"] != wanted["hits"]:
        return f"not the answer of the covered shards: count {answer['count']}"
    return ""


class Traffic:
    """Context manager that sends requests to all instances in turn until stopped."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        query_services: tuple[str, ...] = (),
        action_services: tuple[str, ...] = (),
        threads: int = 4,
        balanced: bool = False,
        resend: int = 2,
        seed: int = 1,
        timeout_ms: int = 1000,
        distinct_queries: int = DISTINCT_QUERIES,
    ) -> None:
        self.fleet = fleet
        self.distinct_queries = distinct_queries
        self.query_services = query_services
        self.action_services = action_services
        self.balanced = balanced
        self.resend = resend
        self.timeout_ms = timeout_ms
        self.sent: list[Sent] = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 1000 + number), number))
            for number in range(threads)
        ]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def since(self, start: float, kind: str = "") -> list[Sent]:
        """Return the attempts sent from a Unix time on, of one kind or of all."""
        with self._lock:
            return [one for one in self.sent if one.at >= start and kind in ("", one.kind)]

    def wrong(self) -> list[Sent]:
        """Return the attempts with a wrong answer."""
        return [one for one in self.since(0) if one.status and one.error]

    def actions(self) -> dict[str, list[Sent]]:
        """Return the attempts of each non-idempotent request by key."""
        found: dict[str, list[Sent]] = {}
        for one in self.since(0, "action"):
            found.setdefault(one.key, []).append(one)
        return found

    def untrue_actions(self) -> list[str]:
        """Return the non-idempotent outcomes that disagree with the records of the searchers."""
        runs: Counter[str] = Counter()
        for service in self.action_services:
            for journal in self.fleet.journals(services=[service]).values():
                for run in journal["runs"]:
                    if run["kind"] == "action" and run["ran"]:
                        runs[run["body"]] += 1
        wrong = []
        for key, attempts in self.actions().items():
            count = runs[canonical({"reserve": key}).decode()]
            outcomes = {one.answer.get("outcome", "broken") for one in attempts}
            if count > 1:
                wrong.append(f"{key} ran {count} times")
            if "done" in outcomes and count != 1:
                wrong.append(f"{key} is done but ran {count} times")
            if outcomes == {"not_run"} and count:
                wrong.append(f"{key} is not_run but ran {count} times")
        return wrong

    def _run(self, chance: random.Random, number: int) -> None:
        names = list(self.fleet.entries)
        turn = number
        while not self._stop.is_set():
            turn += 1
            kinds = self.query_services + self.action_services
            service = kinds[turn % len(kinds)]
            if service in self.action_services and service not in self.query_services:
                self._act(service, chance, names)
            else:
                self._query(service, chance, names[turn % len(names)])
            time.sleep(PAUSE_S)

    def _client(self, name: str) -> CallerClient:
        return self.fleet.balancer if self.balanced else self.fleet.entries[name].caller_client

    def _query(self, service: str, chance: random.Random, name: str) -> None:
        query = {"filter": {"term": f"t{chance.randrange(self.distinct_queries)}"}, "limit": 5}

        def send():
            client = self._client(name)
            return client.query(service, query["filter"], 5, timeout_ms=self.timeout_ms)

        def check(answer: dict) -> str:
            return check_query_answer(self.fleet, service, query, answer)

        self._attempt(name, "query", "", send, check)

    def _act(self, service: str, chance: random.Random, names: list[str]) -> None:
        """Send one key through several instances, the first two at once and the others later."""
        key = ActionKey.new()
        action = {"reserve": key}
        chosen = [chance.choice(names) for _ in range(1 + self.resend)]

        def attempt(name: str) -> None:
            def send():
                client = self._client(name)
                return client.act(service, key, action, key, timeout_ms=self.timeout_ms)

            self._attempt(name, "action", key, send, lambda answer: "")

        parallel = [threading.Thread(target=attempt, args=(name,)) for name in chosen[:2]]
        for thread in parallel:
            thread.start()
        for thread in parallel:
            thread.join()
        for name in chosen[2:]:
            attempt(name)

    def _attempt(self, name: str, kind: str, key: str, send, check) -> None:
        at = time.time()
        try:
            reply = send()
        except OSError as error:
            one = Sent(at, name, kind, key, 0, {}, f"{type(error).__name__}: {error}")
        else:
            answer = reply.json()
            wrong = check(answer) if reply.status == 200 else ""
            if reply.status != 200 and "outcome" not in answer:
                wrong = f"refusal without an outcome: {answer}"
            one = Sent(at, name, kind, key, reply.status, answer, wrong)
        with self._lock:
            self.sent.append(one)
