"""Choice of the versions that a request is tried on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from radishshift.catalogue import ModelVersion
from radishshift.contracts import QualityTarget, TaskClass
from radishshift.errors import NotAllowedError
from radishshift.evidence import Evidence
from radishshift.quality import QualityAccounts

__all__ = [
    "Plan",
    "PlanStep",
    "PlanningContext",
    "make_plan",
    "planner",
    "planner_names",
]


@dataclass(frozen=True, slots=True)
class PlanStep:
    """One version of a plan.

    Attributes
    ----------
    version : ModelVersion
    accept_score : float
        Score that the answer needs for the plan to end here; 0 takes any answer.
    """

    version: ModelVersion
    accept_score: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Versions to try, in order; the last one's answer is taken as it is.

    Attributes
    ----------
    steps : tuple of PlanStep
    rate : bool
        Whether each answer that comes of it is to be rated.
    score : bool
        Whether the first answer is to be scored, though it is given as it is.
    explores : bool
        Whether the plan is taken to learn of its version.
    """

    steps: tuple[PlanStep, ...]
    rate: bool = False
    score: bool = False
    explores: bool = False


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """What a planner decides by.

    Attributes
    ----------
    customer : str
    task_class : TaskClass
    quality : QualityTarget
    candidates : tuple of ModelVersion
        Versions that are allowed, take new sessions and have an endpoint.
    prompt_tokens, completion_tokens : int
        Estimates.
    deadline, now : float
        Instants.
    can_judge : bool
        Whether a judge is in reach that scores an answer at once.
    parameters : mapping of str to float
        The catalogue's settings of policies.
    """

    customer: str
    task_class: TaskClass
    quality: QualityTarget
    candidates: tuple[ModelVersion, ...]
    prompt_tokens: int
    completion_tokens: int
    deadline: float
    now: float
    can_judge: bool = False
    parameters: Mapping[str, float] = field(default_factory=dict)


Planner = Callable[[PlanningContext, Evidence, QualityAccounts], Plan]

_PLANNERS: dict[str, Planner] = {}


def planner(name: str) -> Callable[[Planner], Planner]:
    """Register a planner under the name that the catalogue uses."""

    def register(func: Planner) -> Planner:
        _PLANNERS[name] = func
        return func

    return register


def planner_names() -> list[str]:
    """Return the names that a catalogue may give."""
    return sorted(_PLANNERS)


def make_plan(
    name: str, context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Return the plan of the planner of that name.

    Raises
    ------
    NotAllowedError
        There is no candidate.
    """
    if not context.candidates:
        raise NotAllowedError("the contract allows no version that takes new work")
    return _PLANNERS[name](context, evidence, accounts)


@planner("cheapest-sufficient")
def cheapest_sufficient(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Take the cheapest version expected to meet the target, or the best one."""

    def cost(version: ModelVersion) -> int:
        return version.cost(context.prompt_tokens, context.completion_tokens)

    def quality(version: ModelVersion) -> float:
        task_class = context.task_class.name
        prior = version.quality.get(task_class, 0.5)
        return evidence.quality(version.name, task_class, prior).mean

    sufficient = [
        version
        for version in context.candidates
        if quality(version) >= context.quality.target
    ]
    if sufficient:
        return Plan((PlanStep(min(sufficient, key=cost)),))
    return Plan((PlanStep(max(context.candidates, key=quality)),))
