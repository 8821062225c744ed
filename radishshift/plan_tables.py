"""Plans that are worth taking for a task class, by expected cost and quality.

A plan is one version, or a cheap one whose answer is kept if a judge's score is high
enough, else a dear one. Only plans on the upper hull of quality over cost are of use:
a mean between two corners is met at least cost by taking the one or the other at
random.
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
USEFUL_SHARE = 0.02
SCORE_SLOPE = 0.7
HARDNESS_SHARE = 0.6
BIN_WEIGHT = 10.0
PAIR_WEIGHT = 20.0
RISK_DEVIATIONS = 2.0
TIME_DEVIATIONS = 3.5
TABLE_CHANGES = 40
TABLE_S = 60.0
TABLES_MAX = 1000
BUDGET_STEP = 1.1
BIN_MIDDLES = (np.arange(SCORE_BINS) + 0.5) / SCORE_BINS


@dataclass(frozen=True, slots=True)
class PlanEstimate:
    """A plan with what is expected of it.

    Attributes
    ----------
    plan : Plan
    cost : float
        In billionths of the currency unit.
    quality : float
        Expected quality.
    cautious : float
        The same less some of its standard error.
    """

    plan: Plan
    cost: float
    quality: float
    cautious: float


@dataclass(frozen=True, slots=True)
class _Thresholds:
    """What comes of taking a first answer at each of `ACCEPT_SCORES`.

    Attributes
    ----------
    accepted : ndarray
        Share of the answers that are taken.
    gained : ndarray
        Mean over all answers of the quality of those taken, others counting 0.
    rejected : ndarray
        Mean quality of the answers that are not taken.
    """

    accepted: np.ndarray
    gained: np.ndarray
    rejected: np.ndarray

    @classmethod
    def of(cls, shares: np.ndarray, bin_quality: np.ndarray) -> "_Thresholds":
        below = np.concatenate([[0.0], np.cumsum(shares)])
        lost = np.concatenate([[0.0], np.cumsum(shares * bin_quality)])
        rejected = lost / np.maximum(below, 1e-9)
        return cls(
            1 - below[ACCEPT_BINS],
            lost[-1] - lost[ACCEPT_BINS],
            rejected[ACCEPT_BINS],
        )


@dataclass(slots=True)
class _Known:
    """What is known of one version in a class."""

    version: ModelVersion
    cost: float
    whole_s: float
    quality: QualityEstimate
    bin_quality: np.ndarray | None
    thresholds: _Thresholds | None


@dataclass(slots=True)
class PlanTable:
    """The useful plans of a class, from cheap to good.

    Attributes
    ----------
    prospects : list of PlanEstimate
        Corners of the upper hull of quality over cost.
    known : dict of str to _Known
    changes : int
    expires : float
        Instant.
    """

    prospects: list[PlanEstimate]
    known: dict[str, _Known]
    changes: int
    expires: float

    def bracket(self, wanted: float) -> tuple[PlanEstimate, PlanEstimate]:
        """Return the corners whose mix gives `wanted`; twice one if it is outside."""
        lower = self.prospects[0]
        if lower.cautious >= wanted:
            return lower, lower
        for upper in self.prospects[1:]:
            if upper.cautious >= wanted:
                return lower, upper
            lower = upper
        return lower, lower

    def mix(self, wanted: float, draw: float) -> PlanEstimate:
        """Return a plan such that the mean over draws is `wanted`, if it can be."""
        lower, upper = self.bracket(wanted)
        if lower is upper:
            return lower
        share = (wanted - lower.cautious) / (upper.cautious - lower.cautious)
        return upper if draw < share else lower

    def improves(self, wanted: float, cost: float, quality: float) -> bool:
        """Tell whether a plan of that cost and quality would make the mix cheaper."""
        lower, upper = self.bracket(wanted)
        if upper is not lower:
            slope = (upper.cautious - lower.cautious) / (upper.cost - lower.cost)
            return quality > lower.cautious + slope * (cost - lower.cost)
        if lower.cautious >= wanted:
            return cost < lower.cost and quality >= wanted
        return quality > lower.cautious


def answer_time_bound_s(
    version: ModelVersion, context: PlanningContext, evidence: Evidence
) -> float:
    """Return the time that an answer of a version hardly ever exceeds, in seconds.

    With none seen yet it is the objective of the class.
    """
    task_class = context.task_class
    duration = evidence.durations.get((version.name, task_class.name))
    if duration is None:
        return task_class.objectives.whole_answer_s
    return duration.bound_s(TIME_DEVIATIONS)


def _know(
    version: ModelVersion,
    context: PlanningContext,
    evidence: Evidence,
    size: tuple[float, float],
) -> _Known:
    class_name = context.task_class.name
    known = evidence.recent_counts(Cell(version.name, class_name))
    counts = known.counts
    prior = version.quality.get(class_name, 0.5)
    quality = estimate_quality(known, prior, evidence.score_offset(class_name))
    bin_quality = None
    thresholds = None
    if counts[SCORED].sum() >= SCORES_MIN:
        shares = counts[SCORED] / counts[SCORED].sum()
        bin_quality = _bin_quality(counts, quality.mean, shares)
        thresholds = _Thresholds.of(shares, bin_quality)
    return _Known(
        version=version,
        cost=version.cost(*size),
        whole_s=answer_time_bound_s(version, context, evidence),
        quality=quality,
        bin_quality=bin_quality,
        thresholds=thresholds,
    )


def _bin_quality(counts: np.ndarray, mean: float, shares: np.ndarray) -> np.ndarray:
    mean_score = float(shares @ BIN_MIDDLES)
    prior = np.clip(mean + SCORE_SLOPE * (BIN_MIDDLES - mean_score), 0.0, 1.0)
    sums = counts[PAIRED_RATING_SUM] + BIN_WEIGHT * prior
    by_bin = sums / (counts[PAIRED] + BIN_WEIGHT)
    return np.clip(by_bin + mean - float(shares @ by_bin), 0.0, 1.0)


def quality_lower_bound(quality: QualityEstimate) -> float:
    """Return the least quality that an estimate leaves likely."""
    return quality.mean - RISK_DEVIATIONS * quality.error


def _direct(known: _Known, settings: PlannerSettings) -> PlanEstimate:
    quality = known.quality
    cautious = quality.mean - settings.caution * quality.error
    plan = Plan((PlanStep(known.version),))
    return PlanEstimate(plan, known.cost, quality.mean, cautious)


def second_step_quality(
    first: _Known,
    second: _Known,
    rejected: float | np.ndarray,
    class_name: str,
    evidence: Evidence,
) -> float | np.ndarray:
    """Return the expected quality of `second` on what `first` failed at.

    Parameters
    ----------
    rejected : float or ndarray
        Expected quality of the answers of `first` that were rejected.
    """
    prior = second.quality.mean - HARDNESS_SHARE * (first.quality.mean - rejected)
    cell = Cell(second.version.name, class_name, first.version.name)
    counts = evidence.recent_counts(cell).counts
    total = counts[RATING_SUM] + PAIR_WEIGHT * prior
    return total / (counts[RATINGS] + PAIR_WEIGHT)


def _cascades(
    first: _Known,
    second: _Known,
    class_name: str,
    evidence: Evidence,
    settings: PlannerSettings,
) -> list[PlanEstimate]:
    thresholds = first.thresholds
    again = second_step_quality(
        first, second, thresholds.rejected, class_name, evidence
    )
    missed = 1 - thresholds.accepted
    quality = thresholds.gained + missed * again
    error = first.quality.error * thresholds.accepted + second.quality.error * missed
    cautious = quality - settings.caution * error
    cost = first.cost + settings.judge_cost + missed * second.cost
    return [
        PlanEstimate(
            Plan((PlanStep(first.version, score), PlanStep(second.version))),
            float(cost[number]),
            float(quality[number]),
            float(cautious[number]),
        )
        for number, score in enumerate(ACCEPT_SCORES)
        if USEFUL_SHARE < thresholds.accepted[number] < 1 - USEFUL_SHARE
    ]


def _hull(prospects: list[PlanEstimate]) -> list[PlanEstimate]:
    corners: list[PlanEstimate] = []
    for new in sorted(prospects, key=lambda item: (item.cost, -item.cautious)):
        if corners and new.cautious <= corners[-1].cautious:
            continue
        while len(corners) > 1 and _below(corners[-2], corners[-1], new):
            corners.pop()
        corners.append(new)
    return corners


def _below(left: PlanEstimate, middle: PlanEstimate, right: PlanEstimate) -> bool:
    to_middle = (middle.cautious - left.cautious) * (right.cost - left.cost)
    to_right = (right.cautious - left.cautious) * (middle.cost - left.cost)
    return to_middle <= to_right


def build_table(
    context: PlanningContext,
    evidence: Evidence,
    budget_s: float,
    size: tuple[float, float],
) -> PlanTable:
    """Return the plans worth taking for a class, within a time.

    Parameters
    ----------
    budget_s : float
        Time that a plan of two steps may take, in seconds.
    size : tuple of float
        Tokens of a usual prompt and answer of the class.
    """
    settings = PlannerSettings.of(context)
    known = {
        version.name: _know(version, context, evidence, size)
        for version in context.candidates
    }
    floor = context.quality.floor
    usable = [
        item for item in known.values() if quality_lower_bound(item.quality) >= floor
    ]
    usable = usable or [max(known.values(), key=lambda item: item.quality.mean)]
    prospects = [_direct(item, settings) for item in usable]
    if context.can_judge and context.task_class.cascade:
        for first in usable:
            for second in usable:
                time_s = first.whole_s + settings.judge_s + second.whole_s
                if first.cost >= second.cost or time_s > budget_s:
                    continue
                if first.thresholds is not None:
                    prospects += _cascades(
                        first, second, context.task_class.name, evidence, settings
                    )
    expires = context.now + TABLE_S
    return PlanTable(_hull(prospects), known, evidence.changes, expires)


def find_table(
    context: PlanningContext, evidence: Evidence, accounts: QualityAccounts
) -> PlanTable:
    """Return the table of a class, built anew if much has been learned since."""
    budget_s = max(1e-3, context.deadline - context.now)
    step = math.floor(math.log(budget_s, BUDGET_STEP) + 1e-6)
    names = tuple(version.name for version in context.candidates)
    floor = context.quality.floor
    key = (context.task_class.name, names, step, floor, context.can_judge)
    table = accounts.tables.get(key)
    size = accounts.update_mean_size(
        context.task_class.name, context.prompt_tokens, context.completion_tokens
    )
    if (
        table is None
        or evidence.changes - table.changes >= TABLE_CHANGES
        or context.now >= table.expires
        or context.now < table.expires - TABLE_S
    ):
        table = build_table(context, evidence, BUDGET_STEP**step, size)
        if len(accounts.tables) >= TABLES_MAX:
            accounts.tables.clear()
        accounts.tables[key] = table
    return table
