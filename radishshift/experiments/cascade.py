"""Cost at the quality target, against baselines and an oracle."""

import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import numpy as np
from absl import flags
from scipy import optimize, special

from radishshift import mixing
from radishshift.bench import experiment
from radishshift.cascade import Plan, PlanningContext, make_plan
from radishshift.catalogue import ModelVersion, VersionState
from radishshift.contracts import Limits, Objectives, QualityTarget, TaskClass
from radishshift.evidence import SCORE_BINS, Cell, Evidence, Outcome
from radishshift.quality import QualityAccounts

__all__ = ["run_cascade"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("cascade_requests", 120_000, "Requests in all.")
flags.DEFINE_float("cascade_hours", 8.0, "Virtual time that they take, in hours.")
flags.DEFINE_integer("cascade_customers", 10, "Customers; three of them are large.")
flags.DEFINE_float("cascade_price_span", 50.0, "Dearest price over the cheapest.")
flags.DEFINE_float("cascade_quality_low", 0.45, "Mean quality of the cheapest.")
flags.DEFINE_float("cascade_quality_high", 0.92, "Mean quality of the dearest.")
flags.DEFINE_float("cascade_quality_spread", 0.05, "Deviation about the trend.")
flags.DEFINE_float("cascade_prior_error", 0.08, "Deviation of the owners' guesses.")
flags.DEFINE_float("cascade_drift", 0.08, "Deviation of the drift half-way.")
flags.DEFINE_float(
    "cascade_hardness", 0.6, "Part of an answer's spread due to hardness."
)
flags.DEFINE_float("cascade_rating_noise", 0.2, "Deviation of a rating at quality 0.5.")
flags.DEFINE_float("cascade_judge_noise", 0.2, "Deviation of a score at quality 0.5.")
flags.DEFINE_float("cascade_judge_bias", 0.03, "Deviation of the judge's biases.")
flags.DEFINE_float("cascade_rating_lag_s", 300.0, "Mean lag of a rating, in seconds.")
flags.DEFINE_float("cascade_rating_lost", 0.2, "Share of ratings that never come.")
flags.DEFINE_float("cascade_judge_cost", 0.2, "Price of a score over the cheapest's.")
flags.DEFINE_list("cascade_parameters", [], "Planner's parameters, NAME=VALUE.")
flags.DEFINE_string("cascade_planner", "target-mix", "Planner to measure.")

VERSIONS = 8
START = 1_000_000.0
CLASS_NAMES = ("season-plan", "quick-check", "draft", "tagging")
CLASS_SHARES = (0.2, 0.35, 0.25, 0.2)
CLASS_DEADLINES_S = (120.0, 3.0, 90.0, 20.0)
CLASS_PROMPT_TOKENS = (1500, 120, 900, 300)
CLASS_COMPLETION_TOKENS = (600, 40, 400, 20)
TARGETS = (0.70, 0.85)
FLOOR = 0.4
ANSWER_SPREAD = 0.9
BASE_PRICE = 100
JUDGE_S = 0.15
RECOVERY_BLOCK_S = 300.0
RECOVERY_SLACK = 0.01
RECOVERY_BLOCKS = 6


@dataclass(slots=True)
class Workload:
    """Requests and what each version would make of them; hidden from the policy."""

    times: np.ndarray
    customers: np.ndarray
    classes: np.ndarray
    prompt_tokens: np.ndarray
    completion_tokens: np.ndarray
    quality: np.ndarray
    ratings: np.ndarray
    scores: np.ndarray
    whole_s: np.ndarray
    costs: np.ndarray
    targets: np.ndarray
    versions: tuple[ModelVersion, ...]

    @property
    def late_half(self) -> np.ndarray:
        """Tell which requests come after the drift."""
        return self.times >= START + FLAGS.cascade_hours * 1800


def _noisy(rng: np.random.Generator, mean: np.ndarray, deviation: float) -> np.ndarray:
    weight = max(0.3, 0.25 / deviation**2 - 1)
    mean = np.clip(mean, 1e-3, 1 - 1e-3)
    return rng.beta(mean * weight, (1 - mean) * weight)


def _hidden_means(rng: np.random.Generator) -> np.ndarray:
    """Return mean qualities by half, class and version."""
    trend = np.linspace(FLAGS.cascade_quality_low, FLAGS.cascade_quality_high, VERSIONS)
    spread = FLAGS.cascade_quality_spread
    first = trend + rng.normal(0, spread, (len(CLASS_NAMES), VERSIONS))
    first[:, -1] = FLAGS.cascade_quality_high
    second = first + rng.normal(0, FLAGS.cascade_drift, first.shape)
    second[:, -1] = FLAGS.cascade_quality_high
    return np.clip(np.stack([first, second]), 0.1, 0.97)


def _catalogue(rng: np.random.Generator, means: np.ndarray) -> tuple[ModelVersion, ...]:
    span = FLAGS.cascade_price_span
    prices = BASE_PRICE * span ** (np.arange(VERSIONS) / (VERSIONS - 1))
    guesses = means[0] + rng.normal(0, FLAGS.cascade_prior_error, means[0].shape)
    guesses = np.clip(guesses, 0.05, 0.98)
    return tuple(
        ModelVersion(
            name=f"model-{number // 2}.v{number % 2}",
            model=f"model-{number // 2}",
            owner="bench",
            state=VersionState.SERVING,
            canary_share=0.0,
            stable="",
            prompt_price=round(prices[number]),
            completion_price=round(prices[number] * 4),
            quality=dict(zip(CLASS_NAMES, guesses[:, number].tolist(), strict=True)),
            limits=Limits(1e9, 1e9, 10**6),
        )
        for number in range(VERSIONS)
    )


def make_workload(rng: np.random.Generator) -> Workload:
    """Return a workload of the flags' shape."""
    count = FLAGS.cascade_requests
    times = START + np.sort(rng.uniform(0, FLAGS.cascade_hours * 3600, count))
    weights = np.where(np.arange(FLAGS.cascade_customers) < 3, 4.0, 1.0)
    customers = rng.choice(len(weights), count, p=weights / weights.sum())
    classes = rng.choice(len(CLASS_NAMES), count, p=CLASS_SHARES)
    sizes = rng.lognormal(-0.08, 0.4, count)
    prompt = np.maximum(1, np.array(CLASS_PROMPT_TOKENS)[classes] * sizes).astype(int)
    completion = np.array(CLASS_COMPLETION_TOKENS)[classes] * sizes
    completion = np.maximum(1, completion).astype(int)
    means = _hidden_means(rng)
    versions = _catalogue(rng, means)
    half = (times >= START + FLAGS.cascade_hours * 1800).astype(int)
    by_request = means[half, classes]
    hardness = math.sqrt(FLAGS.cascade_hardness)
    own = math.sqrt(1 - FLAGS.cascade_hardness)
    noise = hardness * rng.normal(size=(count, 1))
    noise = noise + own * rng.normal(size=(count, VERSIONS))
    level = special.ndtri(by_request) * math.sqrt(1 + ANSWER_SPREAD**2)
    quality = special.ndtr(level + ANSWER_SPREAD * noise)
    token_s = np.linspace(0.008, 0.035, VERSIONS)
    first_token_s = np.linspace(0.1, 0.3, VERSIONS)
    whole_s = first_token_s + completion[:, None] * token_s
    whole_s *= rng.lognormal(0, 0.2, whole_s.shape)
    prompt_prices = np.array([version.prompt_price for version in versions])
    completion_prices = np.array([version.completion_price for version in versions])
    costs = prompt[:, None] * prompt_prices + completion[:, None] * completion_prices
    judge_bias = rng.normal(0, FLAGS.cascade_judge_bias, VERSIONS)
    targets = rng.uniform(*TARGETS, (FLAGS.cascade_customers, len(CLASS_NAMES)))
    return Workload(
        times,
        customers,
        classes,
        prompt,
        completion,
        quality,
        _noisy(rng, quality, FLAGS.cascade_rating_noise),
        _noisy(rng, quality + judge_bias, FLAGS.cascade_judge_noise),
        whole_s,
        costs.astype(float),
        targets,
        versions,
    )


def _judge_costs(work: Workload) -> np.ndarray:
    return FLAGS.cascade_judge_cost * work.costs[:, 0]


@dataclass(slots=True)
class Given:
    """What the answers given were worth, cost and took."""

    quality: np.ndarray
    cost: np.ndarray
    took_s: np.ndarray
    cascaded: np.ndarray


class Replay:
    """Runs a planner over a workload under virtual time."""

    def __init__(self, work: Workload, rng: np.random.Generator) -> None:
        self.work = work
        self.rng = rng
        self.evidence = Evidence()
        self.accounts = QualityAccounts(rng)
        self.number = {version.name: n for n, version in enumerate(work.versions)}
        self.classes = tuple(
            TaskClass(name, 0, deadline_s, True, Objectives(0.75, 0.058, 60, 0.95))
            for name, deadline_s in zip(CLASS_NAMES, CLASS_DEADLINES_S, strict=True)
        )
        self.waiting: list[tuple[float, int, Cell, float, float | None]] = []
        self.corrections: dict[int, tuple[str, float]] = {}
        self.judge_costs = _judge_costs(work)
        pairs = [item.partition("=") for item in FLAGS.cascade_parameters]
        self.parameters = {name: float(value) for name, _, value in pairs}
        count = len(work.times)
        self.given = Given(*(np.zeros(count) for _ in range(3)), np.zeros(count, bool))

    def run(self) -> Given:
        """Answer every request in turn."""
        for index in range(len(self.work.times)):
            now = float(self.work.times[index])
            self._take_ratings(now)
            context = self._planning_context(index, now)
            plan = make_plan(
                FLAGS.cascade_planner, context, self.evidence, self.accounts
            )
            self._answer(index, context, plan, now)
        return self.given

    def _planning_context(self, index: int, now: float) -> PlanningContext:
        work = self.work
        task_class = self.classes[work.classes[index]]
        customer = work.customers[index]
        target = float(work.targets[customer, work.classes[index]])
        return PlanningContext(
            customer=f"customer-{customer}",
            task_class=task_class,
            quality=QualityTarget(target, FLOOR),
            candidates=work.versions,
            prompt_tokens=int(work.prompt_tokens[index]),
            completion_tokens=int(work.completion_tokens[index]),
            deadline=now + task_class.deadline_s,
            now=now,
            can_judge=True,
            parameters={
                "judge.cost-nano": float(self.judge_costs[index]),
                "judge.time-s": JUDGE_S,
                **self.parameters,
            },
        )

    def _answer(
        self, index: int, context: PlanningContext, plan: Plan, now: float
    ) -> None:
        work, given = self.work, self.given
        score = None
        after = ""
        for step_number, step in enumerate(plan.steps):
            version = self.number[step.version.name]
            given.cost[index] += work.costs[index, version]
            given.took_s[index] += work.whole_s[index, version]
            self._record(index, version, context, now)
            first = step_number == 0
            seen = None
            if first and (len(plan.steps) > 1 or plan.score):
                seen = self._judge(index, version, context, now)
                given.cost[index] += self.judge_costs[index]
            cell = Cell(step.version.name, context.task_class.name, after)
            if plan.rate:
                self._ask_rating(index, version, cell, seen, now)
            score = seen if first else score
            if step_number + 1 == len(plan.steps) or seen >= step.accept_score:
                break
            given.took_s[index] += JUDGE_S
            given.cascaded[index] = True
            after = step.version.name
        given.quality[index] = work.quality[index, version]
        expected = mixing.record_answer_quality(
            context, plan, step_number, score, self.evidence, self.accounts
        )
        if plan.rate and not plan.explores:
            excess = work.ratings[index, version] - expected
            self.corrections[index] = (context.task_class.name, float(excess))

    def _record(
        self, index: int, version: int, context: PlanningContext, now: float
    ) -> None:
        whole_s = float(self.work.whole_s[index, version])
        outcome = Outcome(
            self.work.versions[version].name,
            "endpoint",
            context.customer,
            context.task_class.name,
            True,
            whole_s,
            0.0,
            whole_s,
            0,
        )
        self.evidence.record(outcome, now)

    def _judge(
        self, index: int, version: int, context: PlanningContext, now: float
    ) -> float:
        score = float(self.work.scores[index, version])
        name = self.work.versions[version].name
        self.evidence.record_score(Cell(name, context.task_class.name), score, now)
        return score

    def _ask_rating(
        self, index: int, version: int, cell: Cell, score: float | None, now: float
    ) -> None:
        if self.rng.random() < FLAGS.cascade_rating_lost:
            return
        due = now + self.rng.exponential(FLAGS.cascade_rating_lag_s)
        rating = float(self.work.ratings[index, version])
        heapq.heappush(self.waiting, (due, index, cell, rating, score))

    def _take_ratings(self, now: float) -> None:
        while self.waiting and self.waiting[0][0] <= now:
            _, index, cell, rating, score = heapq.heappop(self.waiting)
            self.evidence.record_rating(cell, rating, score, now)
            correction = self.corrections.pop(index, None)
            if correction is not None:
                self.accounts.record_rating_excess(*correction)


def _plan_values(
    work: Workload, chosen: np.ndarray, class_number: int
) -> tuple[np.ndarray, np.ndarray]:
    """Return mean quality and cost of every plan over the chosen requests."""
    quality = work.quality[chosen]
    costs = work.costs[chosen]
    scores = work.scores[chosen]
    whole_s = work.whole_s[chosen]
    judge_costs = _judge_costs(work)[chosen]
    deadline_s = CLASS_DEADLINES_S[class_number]
    qualities = list(quality.mean(axis=0))
    prices = list(costs.mean(axis=0))
    for first in range(VERSIONS):
        for second in range(first + 1, VERSIONS):
            both_s = whole_s[:, first] + JUDGE_S + whole_s[:, second]
            in_time = np.quantile(both_s, 0.999) <= deadline_s
            for accept_bin in range(3, SCORE_BINS):
                kept = scores[:, first] >= accept_bin / SCORE_BINS
                worth = np.where(kept, quality[:, first], quality[:, second])
                paid = costs[:, first] + judge_costs + ~kept * costs[:, second]
                qualities.append(worth.mean() if in_time else 0.0)
                prices.append(paid.mean() if in_time else 1e18)
    return np.array(qualities), np.array(prices)


def oracle_cost(work: Workload, foresight: bool) -> float:
    """Return the least cost with hidden qualities known, by linear programs.

    Parameters
    ----------
    foresight : bool
        Whether the drift is known before it comes, so that quality may be moved from
        one half to the other; else each half meets the target by itself.
    """
    total = 0.0
    for class_number in range(len(CLASS_NAMES)):
        of_class = work.classes == class_number
        halves = [of_class & ~work.late_half, of_class & work.late_half]
        values = [_plan_values(work, half, class_number) for half in halves]
        for customer in range(FLAGS.cascade_customers):
            mine = work.customers == customer
            target = float(work.targets[customer, class_number])
            spans = [
                (value, int((half & mine).sum()))
                for value, half in zip(values, halves, strict=True)
            ]
            if foresight:
                total += _least_cost(spans, target)
            else:
                total += sum(_least_cost([span], target) for span in spans)
    return total


def _least_cost(
    spans: list[tuple[tuple[np.ndarray, np.ndarray], int]], target: float
) -> float:
    plans = len(spans[0][0][0])
    count = sum(count for _, count in spans)
    costs = np.concatenate([count * price for (_, price), count in spans])
    worth = np.concatenate([count * quality for (quality, _), count in spans])
    whole = np.kron(np.eye(len(spans)), np.ones(plans))
    solved = optimize.linprog(
        costs / costs.min(),
        A_ub=[-worth],
        b_ub=[-target * count],
        A_eq=whole,
        b_eq=np.ones(len(spans)),
        method="highs",
    )
    return float(solved.fun * costs.min())


def _worst(work: Workload, given: Given) -> dict[str, Any]:
    excess = {}
    for customer in range(FLAGS.cascade_customers):
        for class_number, name in enumerate(CLASS_NAMES):
            mine = (work.customers == customer) & (work.classes == class_number)
            mean = given.quality[mine].mean()
            excess[f"customer-{customer}/{name}"] = float(
                mean - work.targets[customer, class_number]
            )
    worst = min(excess, key=excess.get)
    below = sum(value < 0 for value in excess.values())
    return {
        "worst": worst,
        "worst_excess": round(excess[worst], 4),
        "below_target": below,
        "cells": len(excess),
    }


def _recovery_s(work: Workload, given: Given) -> float:
    """Return how long after the drift the slowest class was last below target."""
    drift = START + FLAGS.cascade_hours * 1800
    slowest = 0.0
    blocks = int(FLAGS.cascade_hours * 1800 // RECOVERY_BLOCK_S)
    excess = given.quality - work.targets[work.customers, work.classes]
    for class_number in range(len(CLASS_NAMES)):
        of_class = (work.classes == class_number) & work.late_half
        block = ((work.times[of_class] - drift) // RECOVERY_BLOCK_S).astype(int)
        sums = np.bincount(block, excess[of_class], blocks + 1)
        counts = np.bincount(block, minlength=blocks + 1)
        for start in range(max(1, blocks - RECOVERY_BLOCKS)):
            end = start + RECOVERY_BLOCKS
            if sums[start:end].sum() >= -RECOVERY_SLACK * counts[start:end].sum():
                break
        slowest = max(slowest, start * RECOVERY_BLOCK_S)
    return slowest


def _static_cascade(work: Workload) -> tuple[float, float]:
    first, second = 2, VERSIONS - 1
    kept = work.scores[:, first] >= 0.7
    paid = work.costs[:, first] + _judge_costs(work) + ~kept * work.costs[:, second]
    worth = np.where(kept, work.quality[:, first], work.quality[:, second])
    return float(paid.sum()), float(worth.mean())


def _halves(work: Workload, amounts: np.ndarray) -> list[float]:
    return [
        float(amounts[~work.late_half].sum()),
        float(amounts[work.late_half].sum()),
    ]


@experiment("cascade")
def run_cascade(seed: int) -> Mapping[str, Any]:
    """Measure a planner's cost at the quality target."""
    rng = np.random.default_rng(seed)
    work = make_workload(rng)
    given = Replay(work, rng).run()
    quick = work.classes == CLASS_NAMES.index("quick-check")
    late = given.took_s > CLASS_DEADLINES_S[1]
    large_late = work.whole_s[:, -1] > CLASS_DEADLINES_S[1]
    large = float(work.costs[:, -1].sum())
    oracle = oracle_cost(work, foresight=False)
    foresight = oracle_cost(work, foresight=True)
    static_cost, static_quality = _static_cascade(work)
    cost = float(given.cost.sum())
    targets = work.targets[work.customers, work.classes]
    return {
        "quality": round(float(given.quality.mean()), 4),
        "quality_target": round(float(targets.mean()), 4),
        **_worst(work, given),
        "cost": round(cost),
        "cost_always_large": round(large),
        "cost_static_cascade": round(static_cost),
        "quality_static_cascade": round(static_quality, 4),
        "cost_oracle": round(oracle),
        "cost_oracle_foresight": round(foresight),
        "cost_over_large": round(cost / large, 4),
        "cost_over_oracle": round(cost / oracle, 4),
        "cost_over_foresight": round(cost / foresight, 4),
        "cost_halves": [round(value) for value in _halves(work, given.cost)],
        "cascaded_share": round(float(given.cascaded.mean()), 4),
        "late_quick_checks_share": round(float(late[quick].mean()), 5),
        "late_quick_checks_share_large": round(float(large_late[quick].mean()), 5),
        "recovery_s": _recovery_s(work, given),
    }
