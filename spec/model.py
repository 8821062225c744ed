"""Models of the protocol and their exhaustive check.

A model has a start, steps and properties, over states that are named tuples. Faults
are steps like any other. Conditions that the protocol relies on are named guards; a
mutation removes one of them, and its check must then find a run that breaks a
property.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

__all__ = ["Guards", "Model", "Result", "Steps", "check_model"]

STATES_BOUND = 3_000_000
FIRST_STATES_BOUND = 40_000

Steps = Iterator[tuple[str, NamedTuple]]


@dataclass(frozen=True, slots=True)
class Guards:
    """The guards of a model, of which a mutation lacks one."""

    names: tuple[str, ...]
    removed: str = ""

    def holds(self, name: str, condition: bool) -> bool:
        """Return a condition that the protocol relies on; true where it is removed."""
        if name not in self.names:
            raise ValueError(f"no guard {name}")
        return condition or name == self.removed

    def lacks(self, name: str) -> bool:
        """Tell whether a guard is removed, for steps that it keeps from existing."""
        return self.holds(name, False)


@dataclass(frozen=True, slots=True)
class Model:
    """A part of the protocol.

    Attributes
    ----------
    name : str
    bounds : str
        What is bounded, for a person.
    start : named tuple
    steps : callable
        Yields what each step is called and the state it leads to.
    properties : dict of str to callable
        Conditions that must hold in every state reached.
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
    """What a check found.

    Attributes
    ----------
    states : int
        States that were looked at.
    whole : bool
        Whether those are all that can be reached.
    broken : str
        Property that a run breaks; empty if none.
    run : list of str
        Steps of that run, a shortest one.
    seconds : float
    """

    states: int
    whole: bool
    broken: str = ""
    run: list[str] = field(default_factory=list)
    seconds: float = 0.0


def check_model(model: Model, removed: str = "") -> Result:
    """Look at every state that a model, or a mutation of it, can reach."""
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
    began = time.monotonic()
    found = _search(protocol, bool(removed))
    seconds = time.monotonic() - began
    result = Result(found["reachable_states"], found["exhaustive"], seconds=seconds)
    for name, verdict in found["properties"].items():
        if verdict["holds"] is False:
            result.broken = name
            result.run = [_label(step) for step in verdict["counterexample"][1:]]
            break
    return result


def _search(protocol: Protocol, is_mutation: bool) -> dict[str, Any]:
    """Search all states; for a mutation, only as far as a first broken property."""
    bound = FIRST_STATES_BOUND if is_mutation else STATES_BOUND
    while True:
        found = check_safety(protocol, bound)
        verdicts = [verdict["holds"] for verdict in found["properties"].values()]
        if found["exhaustive"] or bound >= STATES_BOUND or False in verdicts:
            return found
        bound *= 4


def _label(step: dict[str, Any]) -> str:
    return str(step.get("via") or step.get("label") or step.get("action") or step)
