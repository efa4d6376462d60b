"""Control routes of the backend servers: faults, lifecycle, holdings and journals."""

import msgspec

from ..http import Request
from .answers import ANSWER_FAULTS
from .backend import Selection
from .control import control, decode
from .faults import SearcherFaults
from .searcher import Searcher

__all__ = ["describe_searcher"]


class Target(msgspec.Struct, forbid_unknown_fields=True):
    """Body that selects searchers; the base of the other bodies."""

    select: Selection = msgspec.field(default_factory=Selection)


class JournalOrder(Target):
    """Body that also limits the runs to those that arrived at `since` (Unix seconds) or later."""

    since: float = 0.0


class FaultOrder(Target):
    """Faults to change (`set`); the others stay, unless `reset` clears them first."""

    set: dict = {}
    reset: bool = False


class CrashOrder(Target):
    """Body of a crash; `down_ms` defaults to `crash_down_ms` of the server."""

    down_ms: float | None = None


class HoldOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Shards by searcher and snapshot; they replace the shards held of that snapshot."""

    holdings: dict[str, dict[str, list[str]]]


class DropOrder(Target):
    """Snapshots to drop."""

    snapshots: list[str] = []


def describe_searcher(searcher: Searcher) -> dict:
    """Return the state of a searcher and the summary of its journal as JSON values."""
    return {
        "address": searcher.address,
        "server": searcher.server.name,
        "service": searcher.server.service,
        "failure_domain": searcher.server.failure_domain,
        "state": searcher.state,
        "boot_id": searcher.boot_id,
        "boots": searcher.boots,
        "crashes": searcher.crashes,
        "leaving_since": searcher.leaving_since,
        "holdings": {name: sorted(shards) for name, shards in searcher.holdings.items()},
        "faults": msgspec.to_builtins(searcher.faults),
        **searcher.journal.summary(),
    }


@control("GET", "/control/searchers")
async def list_searchers(emulator, request: Request) -> dict:
    """Return all searchers by name."""
    searchers = emulator.backends.searchers
    return {name: describe_searcher(searcher) for name, searcher in searchers.items()}


@control("POST", "/control/searchers/journal")
async def journals(emulator, request: Request) -> dict:
    """Return the journals of the selected searchers by name."""
    order = decode(request, JournalOrder)
    selected = emulator.backends.select(order.select)
    return {searcher.name: searcher.journal.report(order.since) for searcher in selected}


@control("POST", "/control/searchers/clear")
async def clear(emulator, request: Request) -> list[str]:
    """Clear the journals of the selected searchers; returns their names."""
    return _apply_to_selected(
        emulator, decode(request, Target), lambda searcher: searcher.journal.clear()
    )


@control("POST", "/control/searchers/faults")
async def faults(emulator, request: Request) -> list[str]:
    """Change the faults of the selected searchers; returns their names."""
    order = decode(request, FaultOrder)
    if order.set.get("answer", "") not in ("", *ANSWER_FAULTS):
        raise ValueError(f"answer must be one of {', '.join(ANSWER_FAULTS)}")

    def change(searcher: Searcher) -> None:
        base = {} if order.reset else msgspec.to_builtins(searcher.faults)
        searcher.faults = msgspec.convert({**base, **order.set}, SearcherFaults)

    return _apply_to_selected(emulator, order, change)


@control("POST", "/control/searchers/crash")
async def crash(emulator, request: Request) -> list[str]:
    """Crash the selected searchers; returns their names."""
    order = decode(request, CrashOrder)
    return _apply_to_selected(emulator, order, lambda searcher: searcher.crash(order.down_ms))


@control("POST", "/control/searchers/leave")
async def leave(emulator, request: Request) -> list[str]:
    """Let the selected searchers start to leave; returns their names."""
    return _apply_to_selected(emulator, decode(request, Target), Searcher.leave)


@control("POST", "/control/searchers/return")
async def return_to_service(emulator, request: Request) -> list[str]:
    """Let the selected searchers accept work again, cold; returns their names."""
    return _apply_to_selected(emulator, decode(request, Target), Searcher.return_to_service)


@control("POST", "/control/searchers/cool")
async def become_cold(emulator, request: Request) -> list[str]:
    """Make the selected searchers cold without reporting it; returns their names."""
    return _apply_to_selected(emulator, decode(request, Target), Searcher.become_cold)


@control("POST", "/control/searchers/hold")
async def hold(emulator, request: Request) -> list[str]:
    """Change the shards that the named searchers hold; returns their names."""
    order = decode(request, HoldOrder)
    for name in order.holdings:
        if name not in emulator.backends.searchers:
            raise KeyError(name)
    for name, held in order.holdings.items():
        holdings = emulator.backends.searchers[name].holdings
        holdings.update({snapshot: set(shards) for snapshot, shards in held.items()})
    return sorted(order.holdings)


@control("POST", "/control/searchers/drop")
async def drop(emulator, request: Request) -> list[str]:
    """Remove snapshots from the selected searchers; returns their names."""
    order = decode(request, DropOrder)

    def drop_snapshots(searcher: Searcher) -> None:
        for snapshot in order.snapshots:
            searcher.holdings.pop(snapshot, None)

    return _apply_to_selected(emulator, order, drop_snapshots)


def _apply_to_selected(emulator, order: Target, change) -> list[str]:
    selected = emulator.backends.select(order.select)
    if not selected:
        raise ValueError("the selection matches no searcher")
    for searcher in selected:
        change(searcher)
    return [searcher.name for searcher in selected]
