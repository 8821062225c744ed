"""Plans of the versions to try for a request, and the registry of planners."""

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
        Least judge score at which the answer is returned and the plan ends; 0 accepts
        any answer.
    """

    version: ModelVersion
    accept_score: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Versions to try in order; the answer of the last one is returned unjudged.

    Attributes
    ----------
    steps : tuple of PlanStep
    rate : bool
        Whether to request a rating of each answer that the plan produces.
    score : bool
        Whether to have the first answer scored for learning, even if its score does
        not decide whether it is returned.
    explores : bool
        Whether the plan was chosen to learn about its version (exploration).
    """

    steps: tuple[PlanStep, ...]
    rate: bool = False
    score: bool = False
    explores: bool = False


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Inputs of a planner for one request.

    Attributes
    ----------
    customer : str
    task_class : TaskClass
    quality : QualityTarget
    candidates : tuple of ModelVersion
        Versions that the contract allows, that accept new sessions and that have an
        endpoint.
    prompt_tokens, completion_tokens : int
        Estimated token counts.
    deadline, now : float
        Clock readings, in seconds.
    can_judge : bool
        Whether the judge that scores answers synchronously is available.
    parameters : mapping of str to float
        Policy parameters set in the catalogue.
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
    """Register a planner under its name in the catalogue."""

    def register(func: Planner) -> Planner:
        _PLANNERS[name] = func
        return func

    return register


def planner_names() -> list[str]:
    """Return the planner names that a catalogue may use."""
    return sorted(_PLANNERS)


def make_plan(
    name: str, context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Return the plan that the named planner makes.

    Raises
    ------
    NotAllowedError
        There is no candidate version.
    """
    if not context.candidates:
        raise NotAllowedError(
            "the contract allows no version that accepts new requests"
        )
    return _PLANNERS[name](context, evidence, accounts)


@planner("cheapest-sufficient")
def cheapest_sufficient(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Choose the cheapest version expected to meet the target, else the best one."""

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
