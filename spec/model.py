"""Models of the protocol and their exhaustive check.

A model consists of a start state, steps (its transitions) and properties (its
invariants). States are named tuples, and faults are ordinary steps. The conditions that
the protocol relies on are named guards. A mutation removes one guard, and its check
must then find a counterexample: a run that breaks a property.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

__all__ = ["Guards", "Model", "Result", "Steps", "check_model"]

MAX_STATES = 3_000_000
INITIAL_MUTATION_STATES = 40_000

Steps = Iterator[tuple[str, NamedTuple]]


@dataclass(frozen=True, slots=True)
class Guards:
    """The guards of a model, one of which a mutation removes."""

    names: tuple[str, ...]
    removed: str = ""

    def holds(self, name: str, condition: bool) -> bool:
        """Return the guarded condition, or true if the guard is removed."""
        if name not in self.names:
            raise ValueError(f"unknown guard {name}")
        return condition or name == self.removed

    def lacks(self, name: str) -> bool:
        """Return whether a guard is removed, for steps that only a mutation has."""
        return self.holds(name, False)


@dataclass(frozen=True, slots=True)
class Model:
    """A part of the protocol.

    Attributes
    ----------
    name : str
    bounds : str
        Bounds of the model, as shown in the output.
    start : named tuple
    steps : callable
        Yields the label of each possible step and the state that it leads to.
    properties : dict of str to callable
        Conditions that must hold in every reachable state.
    guards : tuple of str
    """

    name: str
    bounds: str
    start: Any
    steps: Callable[[Guards, Any], Steps]
    properties: dict[str, Callable[[Any], bool]]
    guards: tuple[str, ...]


@dataclass(slots=True)
class Result:
    """Result of a check.

    Attributes
    ----------
    state_count : int
        Number of states searched.
    exhaustive : bool
        Whether these are all reachable states.
    broken_property : str
        Property that the counterexample breaks; empty if none.
    counterexample : list of str
        Labels of the steps of a shortest run that breaks the property.
    duration_s : float
    """

    state_count: int
    exhaustive: bool
    broken_property: str = ""
    counterexample: list[str] = field(default_factory=list)
    duration_s: float = 0.0


def check_model(model: Model, removed: str = "") -> Result:
    """Search every state that a model, or a mutation of it, can reach."""
    guards = Guards(model.guards, removed)
    state_type = type(model.start)
    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=state_type._fields,
        initial=model.start,
        transitions=lambda state: list(model.steps(guards, state_type(*state))),
        invariants={
            name: lambda values, holds=holds: holds(state_type(**values))
            for name, holds in model.properties.items()
        },
    )
    started_at = time.monotonic()
    report = _search(protocol, bool(removed))
    duration_s = time.monotonic() - started_at
    result = Result(
        report["reachable_states"], report["exhaustive"], duration_s=duration_s
    )
    for name, verdict in report["properties"].items():
        if verdict["holds"] is False:
            result.broken_property = name
            result.counterexample = [
                _step_label(step) for step in verdict["counterexample"][1:]
            ]
            break
    return result


def _search(protocol: Protocol, is_mutation: bool) -> dict[str, Any]:
    """Search all states; for a mutation, only until a property is found broken."""
    max_states = INITIAL_MUTATION_STATES if is_mutation else MAX_STATES
    while True:
        report = check_safety(protocol, max_states)
        verdicts = [verdict["holds"] for verdict in report["properties"].values()]
        if report["exhaustive"] or max_states >= MAX_STATES or False in verdicts:
            return report
        max_states *= 4


def _step_label(step: dict[str, Any]) -> str:
    return str(step.get("via") or step.get("label") or step.get("action") or step)
