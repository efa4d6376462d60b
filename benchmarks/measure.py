"""Clocks and a straight-line fit for the measurements."""

import json
import time
import tracemalloc
from collections.abc import Callable, Sequence

__all__ = ["cpu_per_call", "fit", "memory_of", "print_line"]


def print_line(**fields) -> None:
    """Print one result as a JSON line."""
    print(json.dumps(fields), flush=True)


def cpu_per_call(call: Callable[[], object], count: int) -> float:
    """Return processor microseconds for each of `count` calls."""
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6


def memory_of(build: Callable[[], object]) -> tuple[object, int]:
    """Return what `build` returns and the bytes that it holds."""
    tracemalloc.start()
    value = build()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return value, held


def fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)) / spread
    return slope, mean_y - slope * mean_x
