"""Interpreter of the state charts of this package, which logs each change of state."""

from functools import cache
from pathlib import Path

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from ..log import event as log_event

__all__ = ["Chart", "leaf_states", "load_chart", "missing_transitions"]


@cache
def load_chart(name: str) -> Statechart:
    """Return the validated chart of `<name>.yaml`; raises `StatechartError` of sismic."""
    return import_from_yaml(filepath=str(Path(__file__).with_name(f"{name}.yaml")))


def leaf_states(chart: Statechart) -> tuple[str, ...]:
    """Return the names of the states of a chart that have no substates, sorted."""
    return tuple(sorted(state for state in chart.states if not chart.children_for(state)))


def missing_transitions(chart: Statechart) -> tuple[tuple[str, str], ...]:
    """Return each (state, event) for which a leaf state has no transition.

    A complete chart has none.
    """
    events = sorted({transition.event for transition in chart.transitions})
    return tuple(
        (state, event)
        for state in leaf_states(chart)
        for event in events
        if not any(transition.event == event for transition in chart.transitions_from(state))
    )


@cache
def _without_effect(name: str) -> frozenset[tuple[str, str]]:
    """Return each (state, event) whose transitions have no target, guard or action.

    The interpreter takes about 0.2 ms for an event, and status polls cause many that change
    nothing; `Chart.send` returns without it for these.
    """
    transitions: dict[tuple[str, str], list] = {}
    for transition in load_chart(name).transitions:
        transitions.setdefault((transition.source, transition.event), []).append(transition)
    return frozenset(
        key
        for key, found in transitions.items()
        if not any(
            transition.target or transition.guard or transition.action for transition in found
        )
    )


class Chart:
    """State machine of one subject, run by a chart that has a single active leaf state."""

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
        """Process an event and return whether the state has changed.

        `cause` is logged with a change. Raises ValueError for an event that is not in the chart.
        """
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
