"""Distributions of the service time; a decorator registers each shape."""

import math
import random
from collections.abc import Callable

__all__ = ["SHAPES", "draw", "shape"]

#: Takes the source of randomness, the median and the spread; returns a time in the median's unit.
Shape = Callable[[random.Random, float, float], float]

SHAPES: dict[str, Shape] = {}


def shape(name: str) -> Callable[[Shape], Shape]:
    """Register a shape under a name."""

    def add(function: Shape) -> Shape:
        SHAPES[name] = function
        return function

    return add


def draw(name: str, chance: random.Random, median: float, spread: float) -> float:
    """Return one service time of the named shape."""
    return SHAPES[name](chance, median, spread)


@shape("constant")
def constant(chance: random.Random, median: float, spread: float) -> float:
    """Return the median."""
    return median


@shape("uniform")
def uniform(chance: random.Random, median: float, spread: float) -> float:
    """Return a time within `spread` (a fraction) of the median."""
    return median * chance.uniform(1 - spread, 1 + spread)


@shape("lognormal")
def lognormal(chance: random.Random, median: float, spread: float) -> float:
    """Return a time with the given median; `spread` is the deviation of its logarithm."""
    return chance.lognormvariate(math.log(median), spread) if median > 0 else 0.0
