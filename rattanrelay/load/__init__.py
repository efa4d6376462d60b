"""Open-loop load generator that measures latency from the intended send time."""

from .arrivals import Arrival, Phase, arrivals
from .recorder import Recorder
from .report import render_json, render_table
from .runner import LoadPlan, run_load

__all__ = [
    "Arrival",
    "LoadPlan",
    "Phase",
    "Recorder",
    "arrivals",
    "render_json",
    "render_table",
    "run_load",
]
