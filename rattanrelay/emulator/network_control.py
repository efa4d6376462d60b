"""Control routes of the fault-injecting proxy and of the balancers."""

from typing import Literal

import msgspec

from ..http import Request
from .balancer import Balancer
from .control import control, decode
from .faultproxy import ProxyFaults, ProxyRoute

__all__ = []


class RouteOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Names of routes, where an empty list selects all; `source` selects the clients of a host."""

    routes: list[str] = []
    source: str = ""


class ProxyFaultOrder(RouteOrder):
    """Faults to change (`set`); the others stay, unless `reset` clears them first."""

    set: dict = {}
    reset: bool = False


class SilenceOrder(RouteOrder):
    """Connections to make silent, and in which direction."""

    direction: Literal["to_target", "to_client", "both"] = "both"


class BalancerOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Changes to the balancer with an index; None keeps a value."""

    index: int = 0
    targets: list[str] | None = None
    checks: dict[str, str] = {}
    lag_ms: float | None = None


@control("GET", "/control/proxies")
async def list_routes(emulator, request: Request) -> dict:
    """Return all routes by name."""
    return {name: _describe_route(route) for name, route in emulator.proxy.routes.items()}


@control("POST", "/control/proxies/faults")
async def proxy_faults(emulator, request: Request) -> list[str]:
    """Change the faults of the routes; returns the names given."""
    order = decode(request, ProxyFaultOrder)
    for route in _routes(emulator, order):
        active = route.faults_for(order.source) if order.source else route.faults
        base = {} if order.reset else msgspec.to_builtins(active)
        route.set_faults(msgspec.convert({**base, **order.set}, ProxyFaults), order.source)
    return order.routes


@control("POST", "/control/proxies/cut")
async def cut(emulator, request: Request) -> int:
    """Reset open connections and return their number."""
    order = decode(request, RouteOrder)
    return sum(route.cut(order.source) for route in _routes(emulator, order))


@control("POST", "/control/proxies/silence")
async def silence(emulator, request: Request) -> int:
    """Make open connections silent for good and return their number."""
    order = decode(request, SilenceOrder)
    return sum(route.silence(order.direction, order.source) for route in _routes(emulator, order))


@control("POST", "/control/proxies/heal")
async def heal(emulator, request: Request) -> list[str]:
    """Remove all faults of the routes; returns the names given."""
    order = decode(request, RouteOrder)
    for route in _routes(emulator, order):
        route.heal()
    return order.routes


@control("GET", "/control/balancers")
async def list_balancers(emulator, request: Request) -> list[dict]:
    """Return all balancers with their targets."""
    return [_describe_balancer(balancer) for balancer in emulator.balancers]


@control("POST", "/control/balancers")
async def set_balancer(emulator, request: Request) -> dict:
    """Change the targets or the lag of a balancer."""
    order = decode(request, BalancerOrder)
    if not 0 <= order.index < len(emulator.balancers):
        raise ValueError(f"this process hosts {len(emulator.balancers)} balancers")
    balancer = emulator.balancers[order.index]
    if order.lag_ms is not None:
        balancer.lag_ms = order.lag_ms
    if order.targets is not None:
        balancer.set_targets(order.targets, order.checks)
        await balancer.check_all()
    return _describe_balancer(balancer)


def _routes(emulator, order: RouteOrder) -> list[ProxyRoute]:
    names = order.routes or list(emulator.proxy.routes)
    return [emulator.proxy.routes[name] for name in names]


def _describe_route(route: ProxyRoute) -> dict:
    return {
        "address": route.address,
        "target": route.target,
        "faults": msgspec.to_builtins(route.faults),
        "faults_by_source": msgspec.to_builtins(route.faults_by_source),
        "connections": route.connections,
        "open": len(route.open),
        "cuts": route.cuts,
        "bytes": route.bytes,
    }


def _describe_balancer(balancer: Balancer) -> dict:
    targets = {
        name: {
            "in_use": target.in_use,
            "connections": target.connections,
            "failed_connections": target.failed_connections,
        }
        for name, target in balancer.targets.items()
    }
    return {"address": balancer.address, "refused": balancer.refused, "targets": targets}
