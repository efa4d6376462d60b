"""Schedules of request arrivals, determined by a seed and independent of responses."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

__all__ = ["Arrival", "Phase", "arrivals", "parse_phases", "parse_shares"]


class Phase(NamedTuple):
    """A part of a schedule that lasts `seconds`, with `rate` arrivals a second."""

    seconds: float
    rate: float


class Arrival(NamedTuple):
    """A request that is sent `at` seconds after the start, in the phase with index `phase`."""

    number: int
    at: float
    tenant: str
    phase: int


def parse_phases(text: str) -> list[Phase]:
    """Parse phases such as `10x200,5x400`, seconds and arrivals a second; raises `ValueError`."""
    phases = []
    for part in text.split(","):
        seconds, separator, rate = part.partition("x")
        try:
            phase = Phase(float(seconds), float(rate))
        except ValueError:
            separator = ""
        if not separator or phase.seconds <= 0 or phase.rate <= 0:
            raise ValueError(f"phase {part!r} is not SECONDSxRATE with positive numbers")
        phases.append(phase)
    return phases


def parse_shares(text: str) -> dict[str, float]:
    """Parse tenant shares such as `a=1,b=10`, by default 1; raises `ValueError`."""
    shares = {}
    for part in text.split(","):
        name, separator, value = part.partition("=")
        try:
            share = float(value) if separator else 1.0
        except ValueError:
            share = 0.0
        if not name or share <= 0:
            raise ValueError(f"tenant {part!r} is not NAME or NAME=SHARE with a positive share")
        shares[name] = share
    return shares


def arrivals(phases: list[Phase], shares: dict[str, float], rng: Random) -> Iterator[Arrival]:
    """Yield Poisson arrivals over all phases; tenants are drawn in proportion to their shares."""
    names = list(shares)
    weights = list(shares.values())
    number = 0
    start = 0.0
    for index, phase in enumerate(phases):
        at = start + rng.expovariate(phase.rate)
        while at < start + phase.seconds:
            yield Arrival(number, at, rng.choices(names, weights)[0], index)
            number += 1
            at += rng.expovariate(phase.rate)
        start += phase.seconds
