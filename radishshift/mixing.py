"""The planner that mixes plans so that each customer's mean quality is kept.

For each task class the plans (one version; or a cheap one whose answer is kept if a
judge's score is high enough, else a dear one) lie in the plane of expected cost and
quality. Only those on the upper hull are of use: a mean between two corners is met
at least cost by taking the one or the other at random. A balance for each customer
and class says by how much the answers given so far are above or below the target.
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

HOPE = 2.5


def _to_explore(
    table: PlanTable,
    context: PlanningContext,
    account: QualityAccount,
    settings: PlannerSettings,
    wanted: float,
) -> ModelVersion | None:
    """Return the least known version that may make the mix cheaper."""
    floor = context.quality.floor
    budget = settings.floor_share * (account.answers + 1)
    found = None
    for item in table.known.values():
        quality = item.quality
        if quality.error <= settings.explore_error or quality.mean < floor:
            continue
        hopeful = quality.mean + HOPE * quality.error
        if not table.improves(wanted, item.cost, hopeful):
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
    """Take the cheapest mix of plans whose mean quality meets the target."""
    settings = PlannerSettings.of(context)
    table = find_table(context, evidence, accounts)
    account = accounts.account(context.customer, context.task_class.name)
    draw, explore_draw, rate_draw, score_draw = accounts.rng.random(4)
    wanted = account.wanted(context.quality.target, settings.margin)
    wanted -= accounts.bias(context.task_class.name)
    if explore_draw < settings.explore_share:
        version = _to_explore(table, context, account, settings, wanted)
        if version is not None:
            return Plan((PlanStep(version),), rate=True, score=True, explores=True)
    plan = table.mix(wanted, draw).plan
    rate = rate_draw < settings.rated_share
    score = rate or score_draw < settings.scored_share
    return Plan(plan.steps, rate=rate, score=score)


@planner("cheap-first")
def cheap_first(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Try the cheapest version, and the dearest if a fixed score is not reached."""

    def cost(version: ModelVersion) -> int:
        return version.cost(context.prompt_tokens, context.completion_tokens)

    cheap = min(context.candidates, key=cost)
    dear = max(context.candidates, key=cost)
    time_s = answer_time_bound_s(cheap, context, evidence)
    time_s += (
        answer_time_bound_s(dear, context, evidence)
        + PlannerSettings.of(context).judge_s
    )
    in_time = context.now + time_s <= context.deadline
    may_judge = context.can_judge and context.task_class.cascade
    if cheap is dear or not in_time or not may_judge:
        return Plan((PlanStep(dear),))
    score = ACCEPT_SCORE.of(context.parameters)
    return Plan((PlanStep(cheap, score), PlanStep(dear)))


def record_answer_quality(
    context: PlanningContext,
    plan: Plan,
    answered_by: int,
    score: float | None,
    evidence: Evidence,
    accounts: QualityAccounts,
) -> float:
    """Put an answer on its customer's account; return its expected quality.

    Parameters
    ----------
    answered_by : int
        Number of the step whose answer was given.
    score : float or None
        Score of the first step's answer, if it was judged.
    """
    table = find_table(context, evidence, accounts)
    class_name = context.task_class.name
    expected = _expected(table, plan, answered_by, score, class_name, evidence)
    account = accounts.account(context.customer, class_name)
    excess = expected + accounts.bias(class_name) - context.quality.target
    account.surplus += excess
    account.answers += 1
    return expected


def _expected(
    table: PlanTable,
    plan: Plan,
    answered_by: int,
    score: float | None,
    class_name: str,
    evidence: Evidence,
) -> float:
    first = table.known[plan.steps[0].version.name]
    if answered_by == 0:
        if score is None or first.bin_quality is None:
            return first.quality.mean
        return float(first.bin_quality[score_bin(score)])
    second = table.known[plan.steps[answered_by].version.name]
    if first.thresholds is None or score is None:
        return second.quality.mean
    number = int(np.abs(np.array(ACCEPT_SCORES) - plan.steps[0].accept_score).argmin())
    rejected = float(first.thresholds.rejected[number])
    return float(second_step_quality(first, second, rejected, class_name, evidence))
