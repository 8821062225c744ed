"""Cost of meeting quality targets with a planner, against baselines and an oracle.

Requests, prices and answer qualities are synthetic. The baselines always use the
largest version, or a fixed cascade of two; the oracle knows the mean quality of each
plan.
"""

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
flags.DEFINE_integer("cascade_requests", 120_000, "Total number of requests.")
flags.DEFINE_float("cascade_hours", 8.0, "Virtual time span, in hours.")
flags.DEFINE_integer("cascade_customers", 10, "Customers; three of them are large.")
flags.DEFINE_float(
    "cascade_price_span", 50.0, "Ratio of the highest price to the lowest."
)
flags.DEFINE_float("cascade_quality_low", 0.45, "Mean quality of the cheapest version.")
flags.DEFINE_float(
    "cascade_quality_high", 0.92, "Mean quality of the most expensive version."
)
flags.DEFINE_float(
    "cascade_quality_spread", 0.05, "Standard deviation of qualities from the trend."
)
flags.DEFINE_float(
    "cascade_prior_error", 0.08, "Standard deviation of the owners' estimates."
)
flags.DEFINE_float(
    "cascade_drift", 0.08, "Standard deviation of the drift at half time."
)
flags.DEFINE_float(
    "cascade_hardness", 0.6, "Share of quality variance due to a request's hardness."
)
flags.DEFINE_float(
    "cascade_rating_noise", 0.2, "Standard deviation of a rating at quality 0.5."
)
flags.DEFINE_float(
    "cascade_judge_noise", 0.2, "Standard deviation of a score at quality 0.5."
)
flags.DEFINE_float(
    "cascade_judge_bias", 0.03, "Standard deviation of the judge's biases."
)
flags.DEFINE_float("cascade_rating_lag_s", 300.0, "Mean delay of a rating, in seconds.")
flags.DEFINE_float("cascade_rating_lost", 0.2, "Share of ratings that are never given.")
flags.DEFINE_float(
    "cascade_judge_cost", 0.2, "Price of a score relative to the cheapest answer."
)
flags.DEFINE_list("cascade_parameters", [], "Planner parameters as NAME=VALUE.")
flags.DEFINE_string("cascade_planner", "target-mix", "Planner to measure.")

VERSION_COUNT = 8
START_TIME_S = 1_000_000.0
CLASS_NAMES = ("season-plan", "quick-check", "draft", "tagging")
CLASS_SHARES = (0.2, 0.35, 0.25, 0.2)
CLASS_DEADLINES_S = (120.0, 3.0, 90.0, 20.0)
CLASS_PROMPT_TOKENS = (1500, 120, 900, 300)
CLASS_COMPLETION_TOKENS = (600, 40, 400, 20)
TARGET_RANGE = (0.70, 0.85)
QUALITY_FLOOR = 0.4
ANSWER_SPREAD = 0.9  # standard deviation of an answer's quality on the probit scale
LOWEST_PROMPT_PRICE = 100
JUDGE_TIME_S = 0.15
RECOVERY_BLOCK_S = 300.0
RECOVERY_TOLERANCE = 0.01
RECOVERY_WINDOW_BLOCKS = 6


@dataclass(slots=True)
class Workload:
    """Requests, and the outcome of each at each version; hidden from the planner.

    The outcomes are matrices with a row per request and a column per version.
    """

    arrival_times: np.ndarray
    customers: np.ndarray
    classes: np.ndarray
    prompt_tokens: np.ndarray
    completion_tokens: np.ndarray
    quality: np.ndarray
    ratings: np.ndarray
    scores: np.ndarray
    answer_s: np.ndarray
    costs: np.ndarray
    targets: np.ndarray
    versions: tuple[ModelVersion, ...]

    @property
    def after_drift(self) -> np.ndarray:
        """Return a mask of the requests that arrive after the drift."""
        return self.arrival_times >= START_TIME_S + FLAGS.cascade_hours * 1800


def _draw_noisy(
    rng: np.random.Generator, mean: np.ndarray, deviation: float
) -> np.ndarray:
    """Draw from beta distributions with a standard deviation given at mean 0.5."""
    concentration = max(0.3, 0.25 / deviation**2 - 1)
    mean = np.clip(mean, 1e-3, 1 - 1e-3)
    return rng.beta(mean * concentration, (1 - mean) * concentration)


def _draw_mean_qualities(rng: np.random.Generator) -> np.ndarray:
    """Return mean qualities by half of the time span, class and version."""
    trend = np.linspace(
        FLAGS.cascade_quality_low, FLAGS.cascade_quality_high, VERSION_COUNT
    )
    spread = FLAGS.cascade_quality_spread
    before_drift = trend + rng.normal(0, spread, (len(CLASS_NAMES), VERSION_COUNT))
    before_drift[:, -1] = FLAGS.cascade_quality_high
    after_drift = before_drift + rng.normal(0, FLAGS.cascade_drift, before_drift.shape)
    after_drift[:, -1] = FLAGS.cascade_quality_high
    return np.clip(np.stack([before_drift, after_drift]), 0.1, 0.97)


def _make_versions(
    rng: np.random.Generator, means: np.ndarray
) -> tuple[ModelVersion, ...]:
    price_span = FLAGS.cascade_price_span
    prices = LOWEST_PROMPT_PRICE * price_span ** (
        np.arange(VERSION_COUNT) / (VERSION_COUNT - 1)
    )
    estimates = means[0] + rng.normal(0, FLAGS.cascade_prior_error, means[0].shape)
    estimates = np.clip(estimates, 0.05, 0.98)
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
            quality=dict(zip(CLASS_NAMES, estimates[:, number].tolist(), strict=True)),
            limits=Limits(1e9, 1e9, 10**6),
        )
        for number in range(VERSION_COUNT)
    )


def make_workload(rng: np.random.Generator) -> Workload:
    """Return a random workload as configured by flags."""
    count = FLAGS.cascade_requests
    arrival_times = START_TIME_S + np.sort(
        rng.uniform(0, FLAGS.cascade_hours * 3600, count)
    )
    weights = np.where(np.arange(FLAGS.cascade_customers) < 3, 4.0, 1.0)
    customers = rng.choice(len(weights), count, p=weights / weights.sum())
    classes = rng.choice(len(CLASS_NAMES), count, p=CLASS_SHARES)
    sizes = rng.lognormal(-0.08, 0.4, count)
    prompt = np.maximum(1, np.array(CLASS_PROMPT_TOKENS)[classes] * sizes).astype(int)
    completion = np.array(CLASS_COMPLETION_TOKENS)[classes] * sizes
    completion = np.maximum(1, completion).astype(int)
    means = _draw_mean_qualities(rng)
    versions = _make_versions(rng, means)
    half = (arrival_times >= START_TIME_S + FLAGS.cascade_hours * 1800).astype(int)
    mean_quality = means[half, classes]
    request_scale = math.sqrt(FLAGS.cascade_hardness)
    version_scale = math.sqrt(1 - FLAGS.cascade_hardness)
    noise = request_scale * rng.normal(size=(count, 1))
    noise = noise + version_scale * rng.normal(size=(count, VERSION_COUNT))
    latent_mean = special.ndtri(mean_quality) * math.sqrt(1 + ANSWER_SPREAD**2)
    quality = special.ndtr(latent_mean + ANSWER_SPREAD * noise)
    token_s = np.linspace(0.008, 0.035, VERSION_COUNT)
    first_token_s = np.linspace(0.1, 0.3, VERSION_COUNT)
    answer_s = first_token_s + completion[:, None] * token_s
    answer_s *= rng.lognormal(0, 0.2, answer_s.shape)
    prompt_prices = np.array([version.prompt_price for version in versions])
    completion_prices = np.array([version.completion_price for version in versions])
    costs = prompt[:, None] * prompt_prices + completion[:, None] * completion_prices
    judge_bias = rng.normal(0, FLAGS.cascade_judge_bias, VERSION_COUNT)
    targets = rng.uniform(*TARGET_RANGE, (FLAGS.cascade_customers, len(CLASS_NAMES)))
    return Workload(
        arrival_times,
        customers,
        classes,
        prompt,
        completion,
        quality,
        _draw_noisy(rng, quality, FLAGS.cascade_rating_noise),
        _draw_noisy(rng, quality + judge_bias, FLAGS.cascade_judge_noise),
        answer_s,
        costs.astype(float),
        targets,
        versions,
    )


def _judge_costs(workload: Workload) -> np.ndarray:
    return FLAGS.cascade_judge_cost * workload.costs[:, 0]


@dataclass(slots=True)
class Results:
    """Quality, cost and time of the answers, by request."""

    quality: np.ndarray
    cost: np.ndarray
    elapsed_s: np.ndarray
    cascaded: np.ndarray


class Replay:
    """Runs a planner over a workload under virtual time."""

    def __init__(self, workload: Workload, rng: np.random.Generator) -> None:
        self.workload = workload
        self.rng = rng
        self.evidence = Evidence()
        self.accounts = QualityAccounts(rng)
        self.version_numbers = {
            version.name: n for n, version in enumerate(workload.versions)
        }
        self.classes = tuple(
            TaskClass(name, 0, deadline_s, True, Objectives(0.75, 0.058, 60, 0.95))
            for name, deadline_s in zip(CLASS_NAMES, CLASS_DEADLINES_S, strict=True)
        )
        self.pending_ratings: list[tuple[float, int, Cell, float, float | None]] = []
        # Class and rating excess of a request, by its index, until a rating is due.
        self.rating_excess_by_request: dict[int, tuple[str, float]] = {}
        self.judge_costs = _judge_costs(workload)
        pairs = [item.partition("=") for item in FLAGS.cascade_parameters]
        self.parameters = {name: float(value) for name, _, value in pairs}
        count = len(workload.arrival_times)
        self.results = Results(
            *(np.zeros(count) for _ in range(3)), np.zeros(count, bool)
        )

    def run(self) -> Results:
        """Answer every request in order of arrival."""
        for index in range(len(self.workload.arrival_times)):
            now = float(self.workload.arrival_times[index])
            self._record_due_ratings(now)
            context = self._planning_context(index, now)
            plan = make_plan(
                FLAGS.cascade_planner, context, self.evidence, self.accounts
            )
            self._execute_plan(index, context, plan, now)
        return self.results

    def _planning_context(self, index: int, now: float) -> PlanningContext:
        workload = self.workload
        task_class = self.classes[workload.classes[index]]
        customer = workload.customers[index]
        target = float(workload.targets[customer, workload.classes[index]])
        return PlanningContext(
            customer=f"customer-{customer}",
            task_class=task_class,
            quality=QualityTarget(target, QUALITY_FLOOR),
            candidates=workload.versions,
            prompt_tokens=int(workload.prompt_tokens[index]),
            completion_tokens=int(workload.completion_tokens[index]),
            deadline=now + task_class.deadline_s,
            now=now,
            can_judge=True,
            parameters={
                "judge.cost-nano": float(self.judge_costs[index]),
                "judge.time-s": JUDGE_TIME_S,
                **self.parameters,
            },
        )

    def _execute_plan(
        self, index: int, context: PlanningContext, plan: Plan, now: float
    ) -> None:
        """Run the plan's steps until an answer is accepted.

        Records the request's cost, time and quality, and schedules its ratings. Plans
        have at most two steps, so only the first answer is judged.
        """
        workload, results = self.workload, self.results
        score = None
        previous_version = ""
        for step_number, step in enumerate(plan.steps):
            version = self.version_numbers[step.version.name]
            results.cost[index] += workload.costs[index, version]
            results.elapsed_s[index] += workload.answer_s[index, version]
            self._record_outcome(index, version, context, now)
            is_first = step_number == 0
            judge_score = None
            if is_first and (len(plan.steps) > 1 or plan.score):
                judge_score = self._judge(index, version, context, now)
                results.cost[index] += self.judge_costs[index]
            cell = Cell(step.version.name, context.task_class.name, previous_version)
            if plan.rate:
                self._schedule_rating(index, version, cell, judge_score, now)
            score = judge_score if is_first else score
            if step_number + 1 == len(plan.steps) or judge_score >= step.accept_score:
                break
            results.elapsed_s[index] += JUDGE_TIME_S
            results.cascaded[index] = True
            previous_version = step.version.name
        results.quality[index] = workload.quality[index, version]
        expected = mixing.record_answer_quality(
            context, plan, step_number, score, self.evidence, self.accounts
        )
        if plan.rate and not plan.explores:
            excess = workload.ratings[index, version] - expected
            self.rating_excess_by_request[index] = (
                context.task_class.name,
                float(excess),
            )

    def _record_outcome(
        self, index: int, version: int, context: PlanningContext, now: float
    ) -> None:
        answer_s = float(self.workload.answer_s[index, version])
        outcome = Outcome(
            self.workload.versions[version].name,
            "endpoint",
            context.customer,
            context.task_class.name,
            True,
            answer_s,
            0.0,
            answer_s,
            0,
        )
        self.evidence.record(outcome, now)

    def _judge(
        self, index: int, version: int, context: PlanningContext, now: float
    ) -> float:
        score = float(self.workload.scores[index, version])
        name = self.workload.versions[version].name
        self.evidence.record_score(Cell(name, context.task_class.name), score, now)
        return score

    def _schedule_rating(
        self, index: int, version: int, cell: Cell, score: float | None, now: float
    ) -> None:
        if self.rng.random() < FLAGS.cascade_rating_lost:
            return
        due = now + self.rng.exponential(FLAGS.cascade_rating_lag_s)
        rating = float(self.workload.ratings[index, version])
        heapq.heappush(self.pending_ratings, (due, index, cell, rating, score))

    def _record_due_ratings(self, now: float) -> None:
        while self.pending_ratings and self.pending_ratings[0][0] <= now:
            _, index, cell, rating, score = heapq.heappop(self.pending_ratings)
            self.evidence.record_rating(cell, rating, score, now)
            class_and_excess = self.rating_excess_by_request.pop(index, None)
            if class_and_excess is not None:
                self.accounts.record_rating_excess(*class_and_excess)


def _plan_values(
    workload: Workload, selected: np.ndarray, class_number: int
) -> tuple[np.ndarray, np.ndarray]:
    """Return mean quality and cost of every plan over the selected requests.

    Plans are single versions and cascades of two with each threshold of acceptance.
    Cascades whose 99.9 % quantile of time exceeds the deadline get a prohibitive cost.
    """
    quality = workload.quality[selected]
    costs = workload.costs[selected]
    scores = workload.scores[selected]
    answer_s = workload.answer_s[selected]
    judge_costs = _judge_costs(workload)[selected]
    deadline_s = CLASS_DEADLINES_S[class_number]
    qualities = list(quality.mean(axis=0))
    prices = list(costs.mean(axis=0))
    for first in range(VERSION_COUNT):
        for second in range(first + 1, VERSION_COUNT):
            cascade_s = answer_s[:, first] + JUDGE_TIME_S + answer_s[:, second]
            in_time = np.quantile(cascade_s, 0.999) <= deadline_s
            for accept_bin in range(3, SCORE_BINS):
                accepted = scores[:, first] >= accept_bin / SCORE_BINS
                obtained_quality = np.where(
                    accepted, quality[:, first], quality[:, second]
                )
                plan_costs = (
                    costs[:, first] + judge_costs + ~accepted * costs[:, second]
                )
                # The cost of a plan that is too slow keeps it out of the solution.
                qualities.append(obtained_quality.mean() if in_time else 0.0)
                prices.append(plan_costs.mean() if in_time else 1e18)
    return np.array(qualities), np.array(prices)


def oracle_cost(workload: Workload, foresight: bool) -> float:
    """Return the least cost with mean qualities known, by linear programs.

    Parameters
    ----------
    foresight : bool
        Whether the drift is known in advance, so that one half may fall short of the
        target if the other makes up for it; else each half meets the target by itself.
    """
    total = 0.0
    for class_number in range(len(CLASS_NAMES)):
        in_class = workload.classes == class_number
        halves = [in_class & ~workload.after_drift, in_class & workload.after_drift]
        values = [_plan_values(workload, half, class_number) for half in halves]
        for customer in range(FLAGS.cascade_customers):
            selected = workload.customers == customer
            target = float(workload.targets[customer, class_number])
            periods = [
                (value, int((half & selected).sum()))
                for value, half in zip(values, halves, strict=True)
            ]
            if foresight:
                total += _least_cost(periods, target)
            else:
                total += sum(_least_cost([period], target) for period in periods)
    return total


def _least_cost(
    periods: list[tuple[tuple[np.ndarray, np.ndarray], int]], target: float
) -> float:
    plans = len(periods[0][0][0])
    count = sum(count for _, count in periods)
    costs = np.concatenate([count * price for (_, price), count in periods])
    quality_sums = np.concatenate([count * quality for (quality, _), count in periods])
    share_sums = np.kron(np.eye(len(periods)), np.ones(plans))
    solution = optimize.linprog(
        costs / costs.min(),
        A_ub=[-quality_sums],
        b_ub=[-target * count],
        A_eq=share_sums,
        b_eq=np.ones(len(periods)),
        method="highs",
    )
    return float(solution.fun * costs.min())


def _worst_excess(workload: Workload, results: Results) -> dict[str, Any]:
    excess = {}
    for customer in range(FLAGS.cascade_customers):
        for class_number, name in enumerate(CLASS_NAMES):
            selected = (workload.customers == customer) & (
                workload.classes == class_number
            )
            mean = results.quality[selected].mean()
            excess[f"customer-{customer}/{name}"] = float(
                mean - workload.targets[customer, class_number]
            )
    worst = min(excess, key=excess.get)
    below = sum(value < 0 for value in excess.values())
    return {
        "worst": worst,
        "worst_excess": round(excess[worst], 4),
        "below_target": below,
        "cells": len(excess),
    }


def _recovery_s(workload: Workload, results: Results) -> float:
    """Return the time from the drift until the slowest class meets its targets again.

    A class has recovered at the first window whose mean quality is at most
    `RECOVERY_TOLERANCE` below the targets.
    """
    drift_time = START_TIME_S + FLAGS.cascade_hours * 1800
    slowest = 0.0
    blocks = int(FLAGS.cascade_hours * 1800 // RECOVERY_BLOCK_S)
    excess = results.quality - workload.targets[workload.customers, workload.classes]
    for class_number in range(len(CLASS_NAMES)):
        in_class = (workload.classes == class_number) & workload.after_drift
        block_numbers = (
            (workload.arrival_times[in_class] - drift_time) // RECOVERY_BLOCK_S
        ).astype(int)
        sums = np.bincount(block_numbers, excess[in_class], blocks + 1)
        counts = np.bincount(block_numbers, minlength=blocks + 1)
        for start in range(max(1, blocks - RECOVERY_WINDOW_BLOCKS)):
            end = start + RECOVERY_WINDOW_BLOCKS
            if sums[start:end].sum() >= -RECOVERY_TOLERANCE * counts[start:end].sum():
                break
        slowest = max(slowest, start * RECOVERY_BLOCK_S)
    return slowest


def _static_cascade(workload: Workload) -> tuple[float, float]:
    first, second = 2, VERSION_COUNT - 1
    accepted = workload.scores[:, first] >= 0.7
    plan_costs = (
        workload.costs[:, first]
        + _judge_costs(workload)
        + ~accepted * workload.costs[:, second]
    )
    obtained_quality = np.where(
        accepted, workload.quality[:, first], workload.quality[:, second]
    )
    return float(plan_costs.sum()), float(obtained_quality.mean())


def _sums_by_half(workload: Workload, amounts: np.ndarray) -> list[float]:
    return [
        float(amounts[~workload.after_drift].sum()),
        float(amounts[workload.after_drift].sum()),
    ]


@experiment("cascade")
def run_cascade(seed: int) -> Mapping[str, Any]:
    """Measure a planner's cost of meeting quality targets."""
    rng = np.random.default_rng(seed)
    workload = make_workload(rng)
    results = Replay(workload, rng).run()
    quick = workload.classes == CLASS_NAMES.index("quick-check")
    late = results.elapsed_s > CLASS_DEADLINES_S[1]
    large_late = workload.answer_s[:, -1] > CLASS_DEADLINES_S[1]
    large = float(workload.costs[:, -1].sum())
    oracle = oracle_cost(workload, foresight=False)
    foresight = oracle_cost(workload, foresight=True)
    static_cost, static_quality = _static_cascade(workload)
    cost = float(results.cost.sum())
    targets = workload.targets[workload.customers, workload.classes]
    return {
        "quality": round(float(results.quality.mean()), 4),
        "quality_target": round(float(targets.mean()), 4),
        **_worst_excess(workload, results),
        "cost": round(cost),
        "cost_always_large": round(large),
        "cost_static_cascade": round(static_cost),
        "quality_static_cascade": round(static_quality, 4),
        "cost_oracle": round(oracle),
        "cost_oracle_foresight": round(foresight),
        "cost_over_large": round(cost / large, 4),
        "cost_over_oracle": round(cost / oracle, 4),
        "cost_over_foresight": round(cost / foresight, 4),
        "cost_halves": [
            round(value) for value in _sums_by_half(workload, results.cost)
        ],
        "cascaded_share": round(float(results.cascaded.mean()), 4),
        "late_quick_checks_share": round(float(late[quick].mean()), 5),
        "late_quick_checks_share_large": round(float(large_late[quick].mean()), 5),
        "recovery_s": _recovery_s(workload, results),
    }
