"""The planners `target-mix` and `cheap-first`.

`target-mix` keeps the mean answer quality of each customer at its target for the least
cost. The plans of a task class (see `plan_tables`) are points of expected cost and
quality; a mean quality between two corners of their upper convex hull is reached at
least cost by choosing between the two at random. An account for each customer and
class records how far the answers given so far are above or below the target.
"""

import numpy as np

from radishshift.cascade import Plan, PlanningContext, PlanStep, planner
from radishshift.catalogue import ModelVersion
from radishshift.evidence import (
    Evidence,
    score_bin,
)
from radishshift.plan_tables import (
    ACCEPT_SCORES,
    PlanTable,
    answer_time_bound_s,
    find_table,
    quality_lower_bound,
    second_step_quality,
)
from radishshift.planner_settings import ACCEPT_SCORE, PlannerSettings
from radishshift.quality import QualityAccount, QualityAccounts

__all__ = ["record_answer_quality"]

OPTIMISM_STD_ERRORS = 2.5


def _choose_exploration(
    table: PlanTable,
    context: PlanningContext,
    account: QualityAccount,
    settings: PlannerSettings,
    required_quality: float,
) -> ModelVersion | None:
    """Return the most uncertain version that may make the mix cheaper, if any.

    A version whose quality may be below the floor is tried only within the budget that
    `floor_share` gives the account.
    """
    floor = context.quality.floor
    budget = settings.floor_share * (account.answers + 1)
    found = None
    for item in table.estimates.values():
        quality = item.quality
        if quality.error <= settings.explore_error or quality.mean < floor:
            continue
        optimistic_quality = quality.mean + OPTIMISM_STD_ERRORS * quality.error
        if not table.improves(required_quality, item.cost, optimistic_quality):
            continue
        if quality_lower_bound(quality) < floor and account.risky_tries + 1 > budget:
            continue
        if found is None or quality.error > found.quality.error:
            found = item
    if found is None:
        return None
    account.risky_tries += quality_lower_bound(found.quality) < floor
    return found.version


@planner("target-mix")
def target_mix(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Choose from the cheapest mix of plans whose mean quality meets the target."""
    settings = PlannerSettings.of(context)
    table = find_table(context, evidence, accounts)
    account = accounts.account(context.customer, context.task_class.name)
    draw, explore_draw, rate_draw, score_draw = accounts.rng.random(4)
    required_quality = account.required_quality(context.quality.target, settings.margin)
    required_quality -= accounts.bias(context.task_class.name)
    if explore_draw < settings.explore_share:
        version = _choose_exploration(
            table, context, account, settings, required_quality
        )
        if version is not None:
            return Plan((PlanStep(version),), rate=True, score=True, explores=True)
    plan = table.choose_plan(required_quality, draw).plan
    rate = rate_draw < settings.rated_share
    score = rate or score_draw < settings.scored_share
    return Plan(plan.steps, rate=rate, score=score)


@planner("cheap-first")
def cheap_first(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Try the cheapest version, then the most expensive if its score is too low."""

    def cost(version: ModelVersion) -> int:
        return version.cost(context.prompt_tokens, context.completion_tokens)

    cheapest = min(context.candidates, key=cost)
    most_expensive = max(context.candidates, key=cost)
    time_s = answer_time_bound_s(cheapest, context, evidence)
    time_s += (
        answer_time_bound_s(most_expensive, context, evidence)
        + PlannerSettings.of(context).judge_s
    )
    in_time = context.now + time_s <= context.deadline
    may_judge = context.can_judge and context.task_class.cascade
    if cheapest is most_expensive or not in_time or not may_judge:
        return Plan((PlanStep(most_expensive),))
    score = ACCEPT_SCORE.of(context.parameters)
    return Plan((PlanStep(cheapest, score), PlanStep(most_expensive)))


def record_answer_quality(
    context: PlanningContext,
    plan: Plan,
    answered_by: int,
    score: float | None,
    evidence: Evidence,
    accounts: QualityAccounts,
) -> float:
    """Record an answer on the account of its customer; return its expected quality.

    Parameters
    ----------
    answered_by : int
        Index of the step whose answer was returned to the caller.
    score : float or None
        Judge score of the first step's answer, if there is one.
    """
    table = find_table(context, evidence, accounts)
    class_name = context.task_class.name
    expected = _expected_quality(table, plan, answered_by, score, class_name, evidence)
    account = accounts.account(context.customer, class_name)
    excess = expected + accounts.bias(class_name) - context.quality.target
    account.surplus += excess
    account.answers += 1
    return expected


def _expected_quality(
    table: PlanTable,
    plan: Plan,
    answered_by: int,
    score: float | None,
    class_name: str,
    evidence: Evidence,
) -> float:
    first = table.estimates[plan.steps[0].version.name]
    if answered_by == 0:
        if score is None or first.bin_quality is None:
            return first.quality.mean
        return float(first.bin_quality[score_bin(score)])
    second = table.estimates[plan.steps[answered_by].version.name]
    if first.thresholds is None or score is None:
        return second.quality.mean
    number = int(np.abs(np.array(ACCEPT_SCORES) - plan.steps[0].accept_score).argmin())
    rejected_quality = float(first.thresholds.rejected_quality[number])
    return float(
        second_step_quality(first, second, rejected_quality, class_name, evidence)
    )
