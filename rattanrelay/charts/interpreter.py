"""Runs the state charts of this package; each transition between states is logged."""

from functools import cache
from pathlib import Path

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from ..log import event as log_event

__all__ = ["Chart", "leaf_states", "load_chart", "unanswered"]


@cache
def load_chart(name: str) -> Statechart:
    """Read and validate the chart in `<name>.yaml`; raises sismic's `StatechartError`."""
    return import_from_yaml(filepath=str(Path(__file__).with_name(f"{name}.yaml")))


def leaf_states(chart: Statechart) -> tuple[str, ...]:
    """Return the states of a chart that have no states in them."""
    return tuple(sorted(state for state in chart.states if not chart.children_for(state)))


def unanswered(chart: Statechart) -> tuple[tuple[str, str], ...]:
    """Return each (state, event) that the chart leaves open; all leaves must answer all events."""
    events = sorted({transition.event for transition in chart.transitions})
    return tuple(
        (state, event)
        for state in leaf_states(chart)
        for event in events
        if not any(step.event == event for step in chart.transitions_from(state))
    )


@cache
def _without_effect(name: str) -> frozenset[tuple[str, str]]:
    """Return each (state, event) that the chart answers without a target, guard or action.

    Interpreting such an event takes about 0.2 ms, and status polls cause many of them.
    """
    steps: dict[tuple[str, str], list] = {}
    for step in load_chart(name).transitions:
        steps.setdefault((step.source, step.event), []).append(step)
    return frozenset(
        key
        for key, found in steps.items()
        if not any(step.target or step.guard or step.action for step in found)
    )


class Chart:
    """One life of a subject in a chart with a single active leaf state."""

    def __init__(self, name: str, subject: str) -> None:
        self.name = name
        self.subject = subject
        self.chart = load_chart(name)
        self.leaves = leaf_states(self.chart)
        self.events = frozenset(transition.event for transition in self.chart.transitions)
        self.without_effect = _without_effect(name)
        self.interpreter = Interpreter(self.chart)
        self.interpreter.execute()
        self.state = self.interpreter.configuration[-1]

    def send(self, event: str, cause: str = "") -> bool:
        """Process an event; True if the state is another one. Raises ValueError if unknown."""
        if event not in self.events:
            raise ValueError(f"chart {self.name} has no event {event!r}")
        if (self.state, event) in self.without_effect:
            return False
        before = self.state
        self.interpreter.queue(event)
        self.interpreter.execute()
        self.state = self.interpreter.configuration[-1]
        if self.state == before:
            return False
        log_event(
            "state_changed",
            chart=self.name,
            subject=self.subject,
            before=before,
            after=self.state,
            event=event,
            cause=cause,
        )
        return True
