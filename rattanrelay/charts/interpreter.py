"""Runs the state charts of this package; each transition between states is logged."""

from functools import cache
from pathlib import Path

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from ..log import event as log_event

__all__ = ["Chart", "load_chart", "unanswered"]


@cache
def load_chart(name: str) -> Statechart:
    """Read and validate the chart in `<name>.yaml`; raises sismic's `StatechartError`."""
    return import_from_yaml(filepath=str(Path(__file__).with_name(f"{name}.yaml")))


def unanswered(chart: Statechart) -> tuple[tuple[str, str], ...]:
    """Return each (state, event) that the chart leaves open; all leaves must answer all events."""
    events = sorted({transition.event for transition in chart.transitions})
    leaves = [state for state in chart.states if not chart.children_for(state)]
    return tuple(
        (state, event)
        for state in sorted(leaves)
        for event in events
        if not any(step.event == event for step in chart.transitions_from(state))
    )


class Chart:
    """One life of a subject in a chart with a single active leaf state."""

    def __init__(self, name: str, subject: str) -> None:
        self.name = name
        self.subject = subject
        self.chart = load_chart(name)
        self.events = frozenset(transition.event for transition in self.chart.transitions)
        self.interpreter = Interpreter(self.chart)
        self.interpreter.execute()
        self.state = self.interpreter.configuration[-1]

    def send(self, event: str, cause: str = "") -> bool:
        """Process an event; True if the state is another one. Raises ValueError if unknown."""
        if event not in self.events:
            raise ValueError(f"chart {self.name} has no event {event!r}")
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
