"""Quarantine of requests that end the searchers that run them.

Each repeat of such a request ends further searchers, whichever instance sends it. Evidence is a
searcher that ended while it ran the request. Innocent requests also run on searchers that end, but
mostly succeed elsewhere, so a success refutes all earlier evidence.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from .canary import Canary, SharedEntry
from .name_hashes import name_hash

__all__ = ["SEARCHERS_TO_QUARANTINE", "CrashRecord", "loss_id", "request_fingerprint"]

#: Number of searchers that a request ends before it is quarantined.
SEARCHERS_TO_QUARANTINE = 3
#: Time in seconds for which an answered request is no suspect, and the most such requests that are
#: remembered. One that comes often would otherwise collect the ends of unrelated searchers.
ANSWERED_S = 60.0
MAX_ANSWERED = 4096


def request_fingerprint(method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request: 32 hexadecimal digits, the same for its repeats."""
    head = "\0".join((method, host.lower(), target, "")).encode()
    return xxhash.xxh128_hexdigest(head + body)


def loss_id(searcher: str, started: int) -> str:
    """Return the identifier of the end of one incarnation of a searcher."""
    return f"{name_hash(searcher).hex()}-{started}"


class CrashRecord:
    """Searchers that ended while they ran a request; times are those of the caller's clock.

    A request is quarantined as a whole if nothing of it succeeded. If only the searchers of some
    services end, it is quarantined for these, so that the others still answer.
    """

    def __init__(self) -> None:
        self.canary = Canary(SEARCHERS_TO_QUARANTINE)
        #: Time of the last answer to each request, the oldest first.
        self.answered: OrderedDict[str, float] = OrderedDict()

    @property
    def empty(self) -> bool:
        """Whether nothing is recorded, as nearly always."""
        return not self.canary.losses and not self.canary.blocks

    def time_left(self, fingerprint: str, service: str, now: float) -> float:
        """Return for how many seconds a request is quarantined for a service; 0 if it is not.

        An empty service means the request as a whole.
        """
        names = (fingerprint, _part(fingerprint, service)) if service else (fingerprint,)
        blocked = [self.canary.blocks[one] for one in names if self.canary.is_blocked(one, now)]
        return max(blocked) - now if blocked else 0.0

    def record_end(
        self,
        fingerprint: str,
        service: str,
        loss: str,
        now: float,
        *,
        gathered: bool = False,
        succeeded: bool = False,
    ) -> bool:
        """Record that a searcher of a service ended; return whether the request is quarantined.

        `gathered` states whether the request goes to several services, and `succeeded` whether
        another searcher has answered it.
        """
        quarantined = gathered and self.canary.lost(_part(fingerprint, service), loss, now)
        if not succeeded and not self.was_answered(fingerprint, now):
            quarantined |= self.canary.lost(fingerprint, loss, now)
        return quarantined

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record that a request was answered, at least by a part of its searchers."""
        self.answered[fingerprint] = now
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)

    def was_answered(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered here some time ago."""
        return now - self.answered.get(fingerprint, -math.inf) < ANSWERED_S

    def record_success(self, fingerprint: str, service: str, now: float) -> None:
        """Discard the evidence against a request that a searcher of a service has answered."""
        for name in (fingerprint, _part(fingerprint, service)):
            if name in self.canary.losses or name in self.canary.blocks:
                self.canary.refute(name, now)

    def evidence(self, fingerprint: str, service: str, now: float) -> tuple[SharedEntry, ...]:
        """Return what is recorded of a request, for other instances."""
        whole = self.canary.entries_of(fingerprint, now)
        return whole + self.canary.entries_of(_part(fingerprint, service), now)

    def merge(self, entries: Iterable[SharedEntry], now: float) -> list[SharedEntry]:
        """Add the evidence of another instance; return the quarantines that are new.

        Evidence against requests that were answered here is left out.
        """
        entries = [
            entry for entry in entries if not self.was_answered(entry.name.partition("@")[0], now)
        ]
        names = dict.fromkeys(entry.name.partition("@")[0] for entry in entries)
        known = {name for name in names if self.canary.is_blocked(name, now)}
        self.canary.merge(entries, now)
        return [
            SharedEntry(name, int(self.canary.blocks[name] - now))
            for name in names
            if name not in known and self.canary.is_blocked(name, now)
        ]

    @staticmethod
    def retry_waits(broken: int, answered: int) -> bool:
        """Return whether a request waits for more evidence before it is sent to further searchers.

        `broken` connections of it ended without a response, and `answered` responses arrived.
        """
        return broken >= SEARCHERS_TO_QUARANTINE and not answered


def _part(fingerprint: str, service: str) -> str:
    return f"{fingerprint}/{name_hash(service).hex()}"
