"""Protection from requests that crash servers: trials, losses and blocks by fingerprint."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Literal, NamedTuple

__all__ = [
    "BLOCK_S",
    "LOSSES_TO_BLOCK",
    "PROVEN_S",
    "Canary",
    "SharedEntry",
    "Verdict",
]

#: How long a fingerprint stays blocked, and how long a single loss is remembered.
BLOCK_S = 600.0
#: How long after a success requests with this fingerprint run without a canary.
PROVEN_S = 600.0
LOSSES_TO_BLOCK = 2
#: Most fingerprints in each map; the oldest are evicted first.
MAX_TRACKED = 10_000
#: Most entries in one heartbeat.
MAX_SHARED = 32
#: A peer's entry replaces the local one only if it lasts this much longer. Otherwise transport
#: delays would prolong an entry that instances send back and forth.
MERGE_SLACK_S = 5.0

#: Separates the fingerprint of a suspect from the id of its loss in a shared entry.
_LOSS_MARK = "@"

#: `trial`: run as the only trial. `proven`: run without a trial. `wait`: wait for the trial in
#: progress. `blocked`: refuse. `suspect`: leave the second trial to another replica.
Verdict = Literal["trial", "proven", "wait", "blocked", "suspect"]


class SharedEntry(NamedTuple):
    """A block (`fingerprint`) or one loss (`fingerprint@loss`) with its remaining time."""

    name: str
    seconds_left: int


class Canary:
    """Trials and losses by fingerprint; times are seconds on the caller's clock.

    Losses are a set of ids that instances exchange, so that neither the order nor the repetition of
    messages matters, and no loss is counted twice.
    """

    def __init__(self, losses_to_block: int = LOSSES_TO_BLOCK) -> None:
        self.losses_to_block = losses_to_block
        self.running: set[str] = set()
        self.proven: OrderedDict[str, float] = OrderedDict()
        self.losses: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.blocks: OrderedDict[str, float] = OrderedDict()

    def is_blocked(self, name: str, now: float) -> bool:
        """Return whether a fingerprint is blocked."""
        until = self.blocks.get(name)
        if until is None:
            return False
        if until <= now:
            del self.blocks[name]
            return False
        return True

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether a server was lost with this fingerprint without a success since then."""
        return any(until > now for until in self.losses.get(name, {}).values())

    def is_proven(self, name: str, now: float) -> bool:
        """Return whether a fingerprint succeeded recently."""
        return self.proven.get(name, now) > now

    def begin(self, name: str, now: float, *, second: bool = False) -> Verdict:
        """Request to run a request; after `trial`, `succeeded`, `lost` or `ended` must be called.

        `second` means that this is the one further trial that a suspected fingerprint gets.
        """
        if self.is_blocked(name, now):
            return "blocked"
        if self.is_proven(name, now):
            return "proven"
        if name in self.running:
            return "wait"
        if self.is_suspect(name, now) and not second:
            return "suspect"
        self.running.add(name)
        return "trial"

    def succeeded(self, name: str, now: float) -> None:
        """Record a success: the fingerprint is proven and no longer suspected."""
        self.running.discard(name)
        self.losses.pop(name, None)
        _remember(self.proven, name, now + PROVEN_S)

    def refute(self, name: str, now: float) -> None:
        """Record a success that shows that the losses had another cause; it ends a block."""
        self.blocks.pop(name, None)
        self.succeeded(name, now)

    def ended(self, name: str) -> None:
        """Record the end of a trial without evidence, for example because it was refused."""
        self.running.discard(name)

    def lost(self, name: str, loss: str, now: float, *, second: bool = False) -> bool:
        """Record that a server was lost in a trial; return whether the fingerprint is now blocked.

        `loss` identifies this loss among those of all instances. `second` means that the trial
        followed a loss at another owner, which may not have been shared yet.
        """
        self.running.discard(name)
        self.proven.pop(name, None)
        if second:
            self._block(name, now + BLOCK_S, now)
            return True
        return self._add_loss(name, loss, now + BLOCK_S, now)

    def entries_to_share(self, now: float) -> tuple[SharedEntry, ...]:
        """Return blocks, then losses, each newest first, for the next heartbeat."""
        entries = [(name, until) for name, until in reversed(self.blocks.items())]
        for name in reversed(self.losses):
            entries += self._losses_of(name)
        return _remaining(entries, now)[:MAX_SHARED]

    def entries_of(self, name: str, now: float) -> tuple[SharedEntry, ...]:
        """Return the block or the losses of one fingerprint."""
        if self.is_blocked(name, now):
            return _remaining([(name, self.blocks[name])], now)
        return _remaining(self._losses_of(name), now)

    def merge(self, entries: Iterable[SharedEntry], now: float) -> None:
        """Merge the blocks and losses that another instance shares."""
        for entry in entries:
            left = min(entry.seconds_left, BLOCK_S)
            name, mark, loss = entry.name.partition(_LOSS_MARK)
            if left <= 0:
                continue
            if not mark:
                self._block(name, now + left, now)
            elif not self.is_proven(name, now):
                self._add_loss(name, loss, now + left, now)

    def _losses_of(self, name: str) -> list[tuple[str, float]]:
        losses = self.losses.get(name, {})
        return [(f"{name}{_LOSS_MARK}{loss}", until) for loss, until in losses.items()]

    def _add_loss(self, name: str, loss: str, until: float, now: float) -> bool:
        if self.is_blocked(name, now):
            return True
        losses = {known: end for known, end in self.losses.get(name, {}).items() if end > now}
        losses.setdefault(loss, until)
        _remember(self.losses, name, losses)
        if len(losses) < self.losses_to_block:
            return False
        self._block(name, max(losses.values()), now)
        return True

    def _block(self, name: str, until: float, now: float) -> None:
        known = self.blocks.get(name, now)
        if until > known + MERGE_SLACK_S or known <= now:
            _remember(self.blocks, name, until)
        self.losses.pop(name, None)
        self.proven.pop(name, None)


def _remaining(entries: Iterable[tuple[str, float]], now: float) -> tuple[SharedEntry, ...]:
    shared = [SharedEntry(name, int(until - now)) for name, until in entries]
    return tuple(entry for entry in shared if entry.seconds_left > 0)


def _remember(entries: OrderedDict, name: str, value) -> None:
    entries[name] = value
    entries.move_to_end(name)
    while len(entries) > MAX_TRACKED:
        entries.popitem(last=False)
