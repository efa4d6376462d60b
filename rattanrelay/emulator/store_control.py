"""Control routes of the store and of the instance list."""

import msgspec

from ..http import Request
from .control import control, decode
from .instances import InstanceList
from .store import KeyValueStore, StoreFaults

__all__ = []


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change (`set`); the others stay, unless `reset` clears them first."""

    set: dict = {}
    reset: bool = False


class RollBackOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Version to restore, and whether later writes reuse the versions after it."""

    version: int
    reuse_versions: bool = True


class WriteOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Values to write by key, as text and without a counted call."""

    values: dict[str, str]


class InstanceListOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Lag of further changes in ms, and whether the service is down; None keeps a value."""

    lag_ms: float | None = None
    down: bool | None = None


@control("GET", "/control/store")
async def store_state(emulator, request: Request) -> dict:
    """Return the counts of calls, the faults and the versions of the keys."""
    store = _store(emulator)
    return {
        "address": store.address,
        "version": store.data.version,
        "keys": {key: stored.version for key, stored in store.data.values.items()},
        "faults": msgspec.to_builtins(store.faults),
        "calls": store.log.summary(),
    }


@control("GET", "/control/store/calls")
async def store_calls(emulator, request: Request) -> list[dict]:
    """Return the recorded calls in the order in which they ended."""
    return [call._asdict() for call in _store(emulator).log.calls]


@control("POST", "/control/store/clear")
async def clear_calls(emulator, request: Request) -> None:
    """Discard the recorded calls and their counts."""
    _store(emulator).log.clear()


@control("POST", "/control/store/faults")
async def store_faults(emulator, request: Request) -> dict:
    """Change faults and return the active ones."""
    order = decode(request, FaultOrder)
    store = _store(emulator)
    base = {} if order.reset else msgspec.to_builtins(store.faults)
    store.set_faults(msgspec.convert({**base, **order.set}, StoreFaults))
    return msgspec.to_builtins(store.faults)


@control("POST", "/control/store/rollback")
async def roll_back(emulator, request: Request) -> list[str]:
    """Restore an older state and return the keys that changed."""
    order = decode(request, RollBackOrder)
    store = _store(emulator)
    return sorted(store.roll_back(order.version, reuse_versions=order.reuse_versions))


@control("POST", "/control/store/write")
async def write_values(emulator, request: Request) -> dict[str, int]:
    """Write values and return their versions."""
    store = _store(emulator)
    values = decode(request, WriteOrder).values
    return {key: store.put(key, value.encode()).version for key, value in values.items()}


@control("GET", "/control/instances")
async def instance_list(emulator, request: Request) -> dict:
    """Return the visible entries and the names of instances with pending changes."""
    service = _instances(emulator)
    return {
        "address": service.address,
        "visible": service.list(),
        "pending": [change.name for change in service.pending],
        "reads": service.reads,
        "changes": service.changes,
    }


@control("POST", "/control/instances")
async def set_instance_list(emulator, request: Request) -> None:
    """Change the lag of the instance list, or stop or start it."""
    order = decode(request, InstanceListOrder)
    service = _instances(emulator)
    if order.lag_ms is not None:
        service.lag_ms = order.lag_ms
    if order.down is not None:
        service.set_down(order.down)


def _store(emulator) -> KeyValueStore:
    if emulator.store is None:
        raise ValueError("this process hosts no store")
    return emulator.store


def _instances(emulator) -> InstanceList:
    if emulator.instances is None:
        raise ValueError("this process hosts no instance list")
    return emulator.instances
