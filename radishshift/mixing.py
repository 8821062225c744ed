"""The planner that mixes plans so that each customer's mean quality is kept.

For each task class the plans (one version; or a cheap one whose answer is kept if a
judge's score is high enough, else a dear one) lie in the plane of expected cost and
quality. Only those on the upper hull are of use: a mean between two corners is met
at least cost by taking the one or the other at random. A balance for each customer
and class says by how much the answers given so far are above or below the target.
"""

import math
from dataclasses import dataclass

import numpy as np

from radishshift.cascade import Plan, PlanQuestion, PlanStep, planner
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
    estimate,
    score_bin,
)
from radishshift.policy_parameters import parameter
from radishshift.quality import QualityAccount, QualityAccounts

__all__ = [
    "PlanTable",
    "Prospect",
    "account_for",
    "build_table",
    "expected_whole_s",
    "find_table",
]

ACCEPT_BINS = np.arange(3, SCORE_BINS)
ACCEPT_SCORES = tuple((ACCEPT_BINS / SCORE_BINS).tolist())
USEFUL_SHARE = 0.02
SCORE_SLOPE = 0.7
HARDNESS_SHARE = 0.6
BIN_WEIGHT = 10.0
PAIR_WEIGHT = 20.0
HOPE = 2.5
RISK_DEVIATIONS = 2.0
TIME_DEVIATIONS = 3.5
TABLE_CHANGES = 40
TABLE_S = 60.0
TABLES_MAX = 1000
BUDGET_STEP = 1.1
MARGIN = parameter(
    "target-mix.margin", 1.5, (0, 10), "Requests' worth of quality kept in hand."
)
CAUTION = parameter(
    "target-mix.caution", 0.25, (0, 5), "Standard errors taken off an estimate."
)
EXPLORE_SHARE = parameter(
    "target-mix.explore-share", 0.05, (0, 1), "Most requests used to learn."
)
EXPLORE_ERROR = parameter(
    "target-mix.explore-error", 0.03, (0, 1), "Standard error that is small enough."
)
FLOOR_SHARE = parameter(
    "target-mix.floor-share", 0.005, (0, 1), "Most requests near the floor."
)
RATED_SHARE = parameter(
    "target-mix.rated-share", 0.1, (0, 1), "Share of answers that is rated."
)
SCORED_SHARE = parameter(
    "target-mix.scored-share", 0.2, (0, 1), "Share of answers that is judged to learn."
)
JUDGE_COST = parameter(
    "judge.cost-nano", 0.0, (0, 1e12), "Cost of judging an answer, in billionths."
)
JUDGE_TIME = parameter(
    "judge.time-s", 0.1, (0, 60), "Time that judging an answer takes, in seconds."
)
ACCEPT_SCORE = parameter(
    "cheap-first.accept-score", 0.7, (0, 1), "Score that ends the plan cheap-first."
)
BIN_MIDDLES = (np.arange(SCORE_BINS) + 0.5) / SCORE_BINS


@dataclass(frozen=True, slots=True)
class _Settings:
    margin: float
    caution: float
    explore_share: float
    explore_error: float
    floor_share: float
    rated_share: float
    scored_share: float
    judge_cost: float
    judge_s: float

    @classmethod
    def of(cls, question: PlanQuestion) -> "_Settings":
        values = question.parameters
        return cls(
            margin=MARGIN.of(values),
            caution=CAUTION.of(values),
            explore_share=EXPLORE_SHARE.of(values),
            explore_error=EXPLORE_ERROR.of(values),
            floor_share=FLOOR_SHARE.of(values),
            rated_share=RATED_SHARE.of(values),
            scored_share=SCORED_SHARE.of(values),
            judge_cost=JUDGE_COST.of(values),
            judge_s=JUDGE_TIME.of(values),
        )


@dataclass(frozen=True, slots=True)
class Prospect:
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
    prospects : list of Prospect
        Corners of the upper hull of quality over cost.
    known : dict of str to _Known
    changes : int
    expires : float
        Instant.
    """

    prospects: list[Prospect]
    known: dict[str, _Known]
    changes: int
    expires: float

    def bracket(self, wanted: float) -> tuple[Prospect, Prospect]:
        """Return the corners whose mix gives `wanted`; twice one if it is outside."""
        lower = self.prospects[0]
        if lower.cautious >= wanted:
            return lower, lower
        for upper in self.prospects[1:]:
            if upper.cautious >= wanted:
                return lower, upper
            lower = upper
        return lower, lower

    def mix(self, wanted: float, draw: float) -> Prospect:
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


def expected_whole_s(
    version: ModelVersion, question: PlanQuestion, evidence: Evidence
) -> float:
    """Return the time that an answer of a version hardly ever exceeds, in seconds.

    With none seen yet it is the objective of the class.
    """
    task_class = question.task_class
    duration = evidence.durations.get((version.name, task_class.name))
    if duration is None:
        return task_class.objectives.whole_answer_s
    return duration.bound_s(TIME_DEVIATIONS)


def _know(
    version: ModelVersion,
    question: PlanQuestion,
    evidence: Evidence,
    size: tuple[float, float],
) -> _Known:
    class_name = question.task_class.name
    known = evidence.known(Cell(version.name, class_name))
    counts = known.counts
    prior = version.quality.get(class_name, 0.5)
    quality = estimate(known, prior, evidence.score_offset(class_name))
    bin_quality = None
    thresholds = None
    if counts[SCORED].sum() >= SCORES_MIN:
        shares = counts[SCORED] / counts[SCORED].sum()
        bin_quality = _bin_quality(counts, quality.mean, shares)
        thresholds = _Thresholds.of(shares, bin_quality)
    return _Known(
        version=version,
        cost=version.cost(*size),
        whole_s=expected_whole_s(version, question, evidence),
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


def _low(quality: QualityEstimate) -> float:
    return quality.mean - RISK_DEVIATIONS * quality.error


def _direct(known: _Known, settings: _Settings) -> Prospect:
    quality = known.quality
    cautious = quality.mean - settings.caution * quality.error
    plan = Plan((PlanStep(known.version),))
    return Prospect(plan, known.cost, quality.mean, cautious)


def second_quality(
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
    counts = evidence.known(cell).counts
    total = counts[RATING_SUM] + PAIR_WEIGHT * prior
    return total / (counts[RATINGS] + PAIR_WEIGHT)


def _cascades(
    first: _Known,
    second: _Known,
    class_name: str,
    evidence: Evidence,
    settings: _Settings,
) -> list[Prospect]:
    thresholds = first.thresholds
    again = second_quality(first, second, thresholds.rejected, class_name, evidence)
    missed = 1 - thresholds.accepted
    quality = thresholds.gained + missed * again
    error = first.quality.error * thresholds.accepted + second.quality.error * missed
    cautious = quality - settings.caution * error
    cost = first.cost + settings.judge_cost + missed * second.cost
    return [
        Prospect(
            Plan((PlanStep(first.version, score), PlanStep(second.version))),
            float(cost[number]),
            float(quality[number]),
            float(cautious[number]),
        )
        for number, score in enumerate(ACCEPT_SCORES)
        if USEFUL_SHARE < thresholds.accepted[number] < 1 - USEFUL_SHARE
    ]


def _hull(prospects: list[Prospect]) -> list[Prospect]:
    corners: list[Prospect] = []
    for new in sorted(prospects, key=lambda item: (item.cost, -item.cautious)):
        if corners and new.cautious <= corners[-1].cautious:
            continue
        while len(corners) > 1 and _below(corners[-2], corners[-1], new):
            corners.pop()
        corners.append(new)
    return corners


def _below(left: Prospect, middle: Prospect, right: Prospect) -> bool:
    to_middle = (middle.cautious - left.cautious) * (right.cost - left.cost)
    to_right = (right.cautious - left.cautious) * (middle.cost - left.cost)
    return to_middle <= to_right


def build_table(
    question: PlanQuestion,
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
    settings = _Settings.of(question)
    known = {
        version.name: _know(version, question, evidence, size)
        for version in question.candidates
    }
    floor = question.quality.floor
    usable = [item for item in known.values() if _low(item.quality) >= floor]
    usable = usable or [max(known.values(), key=lambda item: item.quality.mean)]
    prospects = [_direct(item, settings) for item in usable]
    if question.can_judge and question.task_class.cascade:
        for first in usable:
            for second in usable:
                time_s = first.whole_s + settings.judge_s + second.whole_s
                if first.cost >= second.cost or time_s > budget_s:
                    continue
                if first.thresholds is not None:
                    prospects += _cascades(
                        first, second, question.task_class.name, evidence, settings
                    )
    expires = question.now + TABLE_S
    return PlanTable(_hull(prospects), known, evidence.changes, expires)


def find_table(
    question: PlanQuestion, evidence: Evidence, accounts: QualityAccounts
) -> PlanTable:
    """Return the table of a class, built anew if much has been learned since."""
    budget_s = max(1e-3, question.deadline - question.now)
    step = math.floor(math.log(budget_s, BUDGET_STEP) + 1e-6)
    names = tuple(version.name for version in question.candidates)
    floor = question.quality.floor
    key = (question.task_class.name, names, step, floor, question.can_judge)
    table = accounts.tables.get(key)
    size = accounts.typical_size(
        question.task_class.name, question.prompt_tokens, question.completion_tokens
    )
    if (
        table is None
        or evidence.changes - table.changes >= TABLE_CHANGES
        or question.now >= table.expires
        or question.now < table.expires - TABLE_S
    ):
        table = build_table(question, evidence, BUDGET_STEP**step, size)
        if len(accounts.tables) >= TABLES_MAX:
            accounts.tables.clear()
        accounts.tables[key] = table
    return table


def _to_explore(
    table: PlanTable,
    question: PlanQuestion,
    account: QualityAccount,
    settings: _Settings,
    wanted: float,
) -> ModelVersion | None:
    """Return the least known version that may make the mix cheaper."""
    floor = question.quality.floor
    budget = settings.floor_share * (account.answers + 1)
    found = None
    for item in table.known.values():
        quality = item.quality
        if quality.error <= settings.explore_error or quality.mean < floor:
            continue
        hopeful = quality.mean + HOPE * quality.error
        if not table.improves(wanted, item.cost, hopeful):
            continue
        if _low(quality) < floor and account.risky_tries + 1 > budget:
            continue
        if found is None or quality.error > found.quality.error:
            found = item
    if found is None:
        return None
    account.risky_tries += _low(found.quality) < floor
    return found.version


@planner("target-mix")
def target_mix(
    question: PlanQuestion, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Take the cheapest mix of plans whose mean quality meets the target."""
    settings = _Settings.of(question)
    table = find_table(question, evidence, accounts)
    account = accounts.account(question.customer, question.task_class.name)
    draw, explore_draw, rate_draw, score_draw = accounts.rng.random(4)
    wanted = account.wanted(question.quality.target, settings.margin)
    wanted -= accounts.bias(question.task_class.name)
    if explore_draw < settings.explore_share:
        version = _to_explore(table, question, account, settings, wanted)
        if version is not None:
            return Plan((PlanStep(version),), rate=True, score=True, explores=True)
    plan = table.mix(wanted, draw).plan
    rate = rate_draw < settings.rated_share
    score = rate or score_draw < settings.scored_share
    return Plan(plan.steps, rate=rate, score=score)


@planner("cheap-first")
def cheap_first(
    question: PlanQuestion, evidence: Evidence, accounts: QualityAccounts
) -> Plan:
    """Try the cheapest version, and the dearest if a fixed score is not reached."""

    def cost(version: ModelVersion) -> int:
        return version.cost(question.prompt_tokens, question.completion_tokens)

    cheap = min(question.candidates, key=cost)
    dear = max(question.candidates, key=cost)
    time_s = expected_whole_s(cheap, question, evidence)
    time_s += (
        expected_whole_s(dear, question, evidence) + _Settings.of(question).judge_s
    )
    in_time = question.now + time_s <= question.deadline
    may_judge = question.can_judge and question.task_class.cascade
    if cheap is dear or not in_time or not may_judge:
        return Plan((PlanStep(dear),))
    score = ACCEPT_SCORE.of(question.parameters)
    return Plan((PlanStep(cheap, score), PlanStep(dear)))


def account_for(
    question: PlanQuestion,
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
    table = find_table(question, evidence, accounts)
    class_name = question.task_class.name
    expected = _expected(table, plan, answered_by, score, class_name, evidence)
    account = accounts.account(question.customer, class_name)
    excess = expected + accounts.bias(class_name) - question.quality.target
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
    return float(second_quality(first, second, rejected, class_name, evidence))
