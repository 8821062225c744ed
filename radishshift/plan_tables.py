"""Tables of the cost-efficient plans of a task class.

A plan is a single version, or a cascade: a cheap version whose answer is kept if the
judge's score is high enough, followed by an expensive one. Only plans on the upper
convex hull of quality over cost are kept: any mean quality between two corners is
reached at least cost by choosing between the two at random.
"""

import math
from dataclasses import dataclass

import numpy as np

from radishshift.cascade import Plan, PlanningContext, PlanStep
from radishshift.catalogue import ModelVersion
from radishshift.evidence import (
    PAIRED,
    PAIRED_RATING_SUM,
    RATING_SUM,
    RATINGS,
    SCORE_BINS,
    SCORED,
    SCORES_MIN,
    Cell,
    Evidence,
    QualityEstimate,
    estimate_quality,
)
from radishshift.planner_settings import PlannerSettings
from radishshift.quality import QualityAccounts

__all__ = [
    "ACCEPT_SCORES",
    "PlanEstimate",
    "PlanTable",
    "answer_time_bound_s",
    "build_table",
    "find_table",
    "quality_lower_bound",
    "second_step_quality",
]

ACCEPT_BINS = np.arange(3, SCORE_BINS)
ACCEPT_SCORES = tuple((ACCEPT_BINS / SCORE_BINS).tolist())
# A threshold is used only if it accepts, and rejects, more than this share of answers.
ACCEPTED_SHARE_MIN = 0.02
# Assumed increase of the quality of an answer for an increase of its score.
PRIOR_QUALITY_PER_SCORE = 0.7
# Part of the first version's shortfall on a request that the second is assumed to have.
SHORTFALL_CARRYOVER = 0.6
BIN_PRIOR_WEIGHT = 10.0  # in ratings
PAIR_PRIOR_WEIGHT = 20.0  # in ratings
QUALITY_BOUND_STD_ERRORS = 2.0
TIME_BOUND_DEVIATIONS = 3.5  # standard deviations of the time to answer
TABLE_CHANGES_MAX = 40  # changes of the evidence after which a table is rebuilt
TABLE_TTL_S = 60.0
TABLES_MAX = 1000
BUDGET_STEP_RATIO = 1.1
BIN_MIDPOINTS = (np.arange(SCORE_BINS) + 0.5) / SCORE_BINS


@dataclass(frozen=True, slots=True)
class PlanEstimate:
    """A plan with its expected cost and quality.

    Attributes
    ----------
    plan : Plan
    cost : float
        In billionths of the currency unit.
    quality : float
        Expected quality.
    conservative_quality : float
        Expected quality less `caution` standard errors.
    """

    plan: Plan
    cost: float
    quality: float
    conservative_quality: float


@dataclass(frozen=True, slots=True)
class _Thresholds:
    """Outcome of a first step for each threshold of `ACCEPT_SCORES`.

    Attributes
    ----------
    accepted_share : ndarray
        Share of the answers that reach the threshold.
    accepted_quality : ndarray
        Mean over all answers of the quality of the accepted ones; others count 0.
    rejected_quality : ndarray
        Mean quality of the answers under the threshold.
    """

    accepted_share: np.ndarray
    accepted_quality: np.ndarray
    rejected_quality: np.ndarray

    @classmethod
    def from_scores(cls, shares: np.ndarray, bin_quality: np.ndarray) -> "_Thresholds":
        share_below = np.concatenate([[0.0], np.cumsum(shares)])
        quality_below = np.concatenate([[0.0], np.cumsum(shares * bin_quality)])
        rejected_quality = quality_below / np.maximum(share_below, 1e-9)
        return cls(
            1 - share_below[ACCEPT_BINS],
            quality_below[-1] - quality_below[ACCEPT_BINS],
            rejected_quality[ACCEPT_BINS],
        )


@dataclass(slots=True)
class _VersionEstimate:
    """Estimates of one version in a task class."""

    version: ModelVersion
    cost: float
    answer_time_s: float
    quality: QualityEstimate
    bin_quality: np.ndarray | None
    thresholds: _Thresholds | None


@dataclass(slots=True)
class PlanTable:
    """The cost-efficient plans of a task class, cheapest first.

    Attributes
    ----------
    plans : list of PlanEstimate
        Corners of the upper convex hull of quality over cost.
    estimates : dict of str to _VersionEstimate
        By name of the version.
    changes : int
        Value of `Evidence.changes` when the table was built.
    expires : float
        Clock reading, in seconds.
    """

    plans: list[PlanEstimate]
    estimates: dict[str, _VersionEstimate]
    changes: int
    expires: float

    def bracket(self, required_quality: float) -> tuple[PlanEstimate, PlanEstimate]:
        """Return the corners on both sides of a quality.

        Outside the range of the table it is the nearest corner twice.
        """
        lower = self.plans[0]
        if lower.conservative_quality >= required_quality:
            return lower, lower
        for upper in self.plans[1:]:
            if upper.conservative_quality >= required_quality:
                return lower, upper
            lower = upper
        return lower, lower

    def choose_plan(self, required_quality: float, draw: float) -> PlanEstimate:
        """Return the plan for a random draw from 0 to 1.

        The mean conservative quality over uniform draws is the required one, if that
        lies between those of the first and the last plan.
        """
        lower, upper = self.bracket(required_quality)
        if lower is upper:
            return lower
        share = (required_quality - lower.conservative_quality) / (
            upper.conservative_quality - lower.conservative_quality
        )
        return upper if draw < share else lower

    def improves(self, required_quality: float, cost: float, quality: float) -> bool:
        """Return whether a plan of that cost and quality would make the mix cheaper."""
        lower, upper = self.bracket(required_quality)
        if upper is not lower:
            slope = (upper.conservative_quality - lower.conservative_quality) / (
                upper.cost - lower.cost
            )
            return quality > lower.conservative_quality + slope * (cost - lower.cost)
        if lower.conservative_quality >= required_quality:
            return cost < lower.cost and quality >= required_quality
        return quality > lower.conservative_quality


def answer_time_bound_s(
    version: ModelVersion, context: PlanningContext, evidence: Evidence
) -> float:
    """Return a time that answers of a version rarely exceed, in seconds.

    It is the objective of the class until an answer has been observed.
    """
    task_class = context.task_class
    duration = evidence.durations.get((version.name, task_class.name))
    if duration is None:
        return task_class.objectives.complete_answer_s
    return duration.bound_s(TIME_BOUND_DEVIATIONS)


def _estimate_version(
    version: ModelVersion,
    context: PlanningContext,
    evidence: Evidence,
    mean_size: tuple[float, float],
) -> _VersionEstimate:
    class_name = context.task_class.name
    recent = evidence.recent_counts(Cell(version.name, class_name))
    counts = recent.counts
    prior = version.quality.get(class_name, 0.5)
    quality = estimate_quality(recent, prior, evidence.score_offset(class_name))
    bin_quality = None
    thresholds = None
    if counts[SCORED].sum() >= SCORES_MIN:
        shares = counts[SCORED] / counts[SCORED].sum()
        bin_quality = _bin_quality(counts, quality.mean, shares)
        thresholds = _Thresholds.from_scores(shares, bin_quality)
    return _VersionEstimate(
        version=version,
        cost=version.cost(*mean_size),
        answer_time_s=answer_time_bound_s(version, context, evidence),
        quality=quality,
        bin_quality=bin_quality,
        thresholds=thresholds,
    )


def _bin_quality(counts: np.ndarray, mean: float, shares: np.ndarray) -> np.ndarray:
    """Return the expected quality of the answers in each bin of scores.

    The ratings in each bin are shrunk towards a prior that increases with the score.
    All bins are then shifted so that their mean is the quality of the version.
    """
    mean_score = float(shares @ BIN_MIDPOINTS)
    prior = np.clip(
        mean + PRIOR_QUALITY_PER_SCORE * (BIN_MIDPOINTS - mean_score), 0.0, 1.0
    )
    sums = counts[PAIRED_RATING_SUM] + BIN_PRIOR_WEIGHT * prior
    by_bin = sums / (counts[PAIRED] + BIN_PRIOR_WEIGHT)
    return np.clip(by_bin + mean - float(shares @ by_bin), 0.0, 1.0)


def quality_lower_bound(quality: QualityEstimate) -> float:
    """Return the lower confidence bound of an estimate."""
    return quality.mean - QUALITY_BOUND_STD_ERRORS * quality.error


def _single_step(estimate: _VersionEstimate, settings: PlannerSettings) -> PlanEstimate:
    quality = estimate.quality
    conservative_quality = quality.mean - settings.caution * quality.error
    plan = Plan((PlanStep(estimate.version),))
    return PlanEstimate(plan, estimate.cost, quality.mean, conservative_quality)


def second_step_quality(
    first: _VersionEstimate,
    second: _VersionEstimate,
    rejected_quality: float | np.ndarray,
    class_name: str,
    evidence: Evidence,
) -> float | np.ndarray:
    """Return the expected quality of `second` on requests that `first` failed.

    Requests on which the first version falls short are harder for the second too: part
    of the shortfall is carried over to the prior.

    Parameters
    ----------
    rejected_quality : float or ndarray
        Expected quality of the rejected answers of `first`.
    """
    prior = second.quality.mean - SHORTFALL_CARRYOVER * (
        first.quality.mean - rejected_quality
    )
    cell = Cell(second.version.name, class_name, first.version.name)
    counts = evidence.recent_counts(cell).counts
    total = counts[RATING_SUM] + PAIR_PRIOR_WEIGHT * prior
    return total / (counts[RATINGS] + PAIR_PRIOR_WEIGHT)


def _cascades(
    first: _VersionEstimate,
    second: _VersionEstimate,
    class_name: str,
    evidence: Evidence,
    settings: PlannerSettings,
) -> list[PlanEstimate]:
    thresholds = first.thresholds
    second_quality = second_step_quality(
        first, second, thresholds.rejected_quality, class_name, evidence
    )
    rejected_share = 1 - thresholds.accepted_share
    quality = thresholds.accepted_quality + rejected_share * second_quality
    error = (
        first.quality.error * thresholds.accepted_share
        + second.quality.error * rejected_share
    )
    conservative_quality = quality - settings.caution * error
    cost = first.cost + settings.judge_cost + rejected_share * second.cost
    return [
        PlanEstimate(
            Plan((PlanStep(first.version, score), PlanStep(second.version))),
            float(cost[number]),
            float(quality[number]),
            float(conservative_quality[number]),
        )
        for number, score in enumerate(ACCEPT_SCORES)
        if ACCEPTED_SHARE_MIN
        < thresholds.accepted_share[number]
        < 1 - ACCEPTED_SHARE_MIN
    ]


def _hull(plans: list[PlanEstimate]) -> list[PlanEstimate]:
    corners: list[PlanEstimate] = []
    for new in sorted(plans, key=lambda item: (item.cost, -item.conservative_quality)):
        if corners and new.conservative_quality <= corners[-1].conservative_quality:
            continue
        while len(corners) > 1 and _is_on_or_below_line(corners[-2], corners[-1], new):
            corners.pop()
        corners.append(new)
    return corners


def _is_on_or_below_line(
    left: PlanEstimate, middle: PlanEstimate, right: PlanEstimate
) -> bool:
    # Both sides are multiplied by the cost differences.
    middle_rise = (middle.conservative_quality - left.conservative_quality) * (
        right.cost - left.cost
    )
    line_rise = (right.conservative_quality - left.conservative_quality) * (
        middle.cost - left.cost
    )
    return middle_rise <= line_rise


def build_table(
    context: PlanningContext,
    evidence: Evidence,
    budget_s: float,
    mean_size: tuple[float, float],
) -> PlanTable:
    """Return the cost-efficient plans of a task class within a time budget.

    Parameters
    ----------
    budget_s : float
        Longest time that a plan of two steps may take, in seconds.
    mean_size : tuple of float
        Mean tokens of prompts and of answers in the class.
    """
    settings = PlannerSettings.of(context)
    estimates = {
        version.name: _estimate_version(version, context, evidence, mean_size)
        for version in context.candidates
    }
    floor = context.quality.floor
    usable = [
        item
        for item in estimates.values()
        if quality_lower_bound(item.quality) >= floor
    ]
    usable = usable or [max(estimates.values(), key=lambda item: item.quality.mean)]
    plans = [_single_step(item, settings) for item in usable]
    if context.can_judge and context.task_class.cascade:
        for first in usable:
            for second in usable:
                time_s = first.answer_time_s + settings.judge_s + second.answer_time_s
                if first.cost >= second.cost or time_s > budget_s:
                    continue
                if first.thresholds is not None:
                    plans += _cascades(
                        first, second, context.task_class.name, evidence, settings
                    )
    expires = context.now + TABLE_TTL_S
    return PlanTable(_hull(plans), estimates, evidence.changes, expires)


def find_table(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> PlanTable:
    """Return the cached table of a task class.

    It is rebuilt after enough new evidence, when it expires, and when the clock has
    stepped back to before it was built: its expiry would be too far ahead then.
    """
    budget_s = max(1e-3, context.deadline - context.now)
    step = math.floor(math.log(budget_s, BUDGET_STEP_RATIO) + 1e-6)
    names = tuple(version.name for version in context.candidates)
    floor = context.quality.floor
    key = (context.task_class.name, names, step, floor, context.can_judge)
    table = accounts.tables.get(key)
    mean_size = accounts.update_mean_size(
        context.task_class.name, context.prompt_tokens, context.completion_tokens
    )
    if (
        table is None
        or evidence.changes - table.changes >= TABLE_CHANGES_MAX
        or context.now >= table.expires
        or context.now < table.expires - TABLE_TTL_S
    ):
        table = build_table(context, evidence, BUDGET_STEP_RATIO**step, mean_size)
        if len(accounts.tables) >= TABLES_MAX:
            accounts.tables.clear()
        accounts.tables[key] = table
    return table
