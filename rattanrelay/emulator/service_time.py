"""Distributions of the service time; `shape` registers each under a name."""

import math
import random
from collections.abc import Callable

__all__ = ["SHAPES", "draw_service_time", "shape"]

#: Takes a random generator, the median and the spread; returns a time in the unit of the median.
Distribution = Callable[[random.Random, float, float], float]

SHAPES: dict[str, Distribution] = {}


def shape(name: str) -> Callable[[Distribution], Distribution]:
    """Register a distribution under a name."""

    def add(function: Distribution) -> Distribution:
        SHAPES[name] = function
        return function

    return add


def draw_service_time(name: str, rng: random.Random, median: float, spread: float) -> float:
    """Return a service time from the named distribution, in the unit of `median`."""
    return SHAPES[name](rng, median, spread)


@shape("constant")
def constant(rng: random.Random, median: float, spread: float) -> float:
    """Return the median."""
    return median


@shape("uniform")
def uniform(rng: random.Random, median: float, spread: float) -> float:
    """Return a uniform time between `1 - spread` and `1 + spread` times the median."""
    return median * rng.uniform(1 - spread, 1 + spread)


@shape("lognormal")
def lognormal(rng: random.Random, median: float, spread: float) -> float:
    """Return a log-normal time; `spread` is the standard deviation of its logarithm."""
    return rng.lognormvariate(math.log(median), spread) if median > 0 else 0.0
