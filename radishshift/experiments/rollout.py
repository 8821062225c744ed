"""Exposure of requests to bad versions during a roll-out, under several policies.

Many roll-outs are simulated in parallel, one evaluation interval after another.
Counts are random; the sequential test is that of production. The delay until a host
knows another's counts is measured first, by sending rows through the real gossip
sections along the ring of heartbeats.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.evidence import Outcome
from radishshift.guard import METRICS, Arm, Guard
from radishshift.guard_pool import GuardPool
from radishshift.hosts import Host
from radishshift.membership import successors

__all__ = ["run_rollout"]

FLAGS = flags.FLAGS
flags.DEFINE_list("rollout_hosts", ["6", "48", "380"], "Entry hosts.")
flags.DEFINE_float("rollout_requests_s", 26.0, "Requests per second and host.")
flags.DEFINE_integer("rollout_alone_trials", 4, "Good roll-outs without pooling.")
flags.DEFINE_integer("rollout_trials", 4, "Roll-outs of each bad version.")
flags.DEFINE_integer("rollout_good_trials", 100, "Roll-outs of a good version.")
flags.DEFINE_float("rollout_errors", 0.01, "Error rate of the stable version.")
flags.DEFINE_float("rollout_slow", 0.05, "Slow share of stable answers.")
flags.DEFINE_float("rollout_quality", 0.8, "Mean rating of the stable version.")
flags.DEFINE_float("rollout_rated", 0.1, "Share of answers that are rated.")
flags.DEFINE_float("rollout_rating_lag_s", 60.0, "Delay of ratings, in seconds.")
flags.DEFINE_float("rollout_heartbeat_s", 2.0, "Heartbeat interval, in seconds.")
flags.DEFINE_float("rollout_step_s", 120.0, "Minimum step duration, in seconds.")
flags.DEFINE_integer("rollout_step_attempts", 200, "Minimum attempts per step.")
flags.DEFINE_list(
    "rollout_points", ["1", "2", "5", "20"], "Degradation in percentage points."
)

STEPS = (0.001, 0.01, 0.05, 0.2, 0.5)
HORIZON_EVALUATIONS = 2400
EVALUATION_INTERVAL_S = 1.0
RATING_CONCENTRATION = 8.0
THRESHOLD_DIFFERENCE = 0.01
THRESHOLD_ATTEMPTS_MIN = 100
BAD_KINDS = ("bad_from_start", "bad_at_half")
POLICIES = ("observer", "pooled", "alone", "threshold")


def pooling_delay_s(hosts: int, rng: np.random.Generator) -> float:
    """Measure the mean time until a host has another's counts, in seconds."""
    names = [f"host-{number:03}" for number in range(hosts)]
    pools = {}
    for name in names:
        pool = GuardPool(f"{name}/1", Host(name, "mbeya", "tz-south", "", 1))
        pool.set_compared(frozenset({"new"}))
        pools[name] = pool
    source = pools[names[0]]
    source.record_outcome(Outcome("new", "e", "c", "draft", True, 0.1, 0.0, 1.0, 0))
    source.publish(1.0)
    phases_s = rng.uniform(0, FLAGS.rollout_heartbeat_s, hosts)
    receivers_by_sender = {name: successors(names, name) for name in names}
    heartbeats = sorted(
        (phase_s, name) for phase_s, name in zip(phases_s, names, strict=True)
    )
    received_at = {names[0]: 0.0}
    round_number = 0
    while len(received_at) < hosts:
        for phase_s, name in heartbeats:
            now = round_number * FLAGS.rollout_heartbeat_s + phase_s
            for other in receivers_by_sender[name]:
                _send_heartbeat(pools[name], pools[other], now)
                if other not in received_at and "new" in pools[other]._pooled:
                    received_at[other] = now
        round_number += 1
    return float(np.mean(list(received_at.values()))) - float(phases_s[0]) / 2


def _send_heartbeat(sender: GuardPool, receiver: GuardPool, now: float) -> None:
    value = sender.section.outgoing(receiver.section._me, now)
    if value is not None:
        receiver.section.incoming(sender.section._me, value, now)


@dataclass(slots=True)
class Rollouts:
    """State of roll-outs that are simulated in parallel under one policy.

    Attributes
    ----------
    share : ndarray
        Share of traffic that the new version gets.
    exposed : ndarray
        Requests run on the new version since it turned bad.
    stopped_at, completed_at : ndarray
        Seconds from the start until the roll-out was stopped or complete; infinite
        for never.
    """

    share: np.ndarray
    step_started_at: np.ndarray
    step_attempts: np.ndarray
    exposed: np.ndarray
    stopped_at: np.ndarray
    completed_at: np.ndarray

    @classmethod
    def start(cls, count: int) -> "Rollouts":
        """Return roll-outs at the first step."""
        return cls(
            np.full(count, STEPS[0]),
            np.zeros(count),
            np.zeros(count),
            np.zeros(count),
            np.full(count, math.inf),
            np.full(count, math.inf),
        )

    @property
    def active(self) -> np.ndarray:
        """Return a mask of the roll-outs that are neither stopped nor complete."""
        return np.isinf(self.stopped_at) & np.isinf(self.completed_at)


@dataclass(frozen=True, slots=True)
class Cases:
    """Versions rolled out in the simulated roll-outs.

    Attributes
    ----------
    names : list of str
        Name of the case, by roll-out.
    at_half : ndarray of bool
        Whether the new version turns bad only at half of the traffic.
    worse : dict of str to ndarray
        By how much the new version is worse, from 0 to 1, by metric.
    """

    names: list[str]
    at_half: np.ndarray
    worse: dict[str, np.ndarray]

    @classmethod
    def good(cls, count: int) -> "Cases":
        """Return cases of a version that is as good as the stable one."""
        no_difference = {metric.name: np.zeros(count) for metric in METRICS}
        return cls(["good"] * count, np.zeros(count, bool), no_difference)

    @classmethod
    def bad(cls, count: int) -> "Cases":
        """Return `count` cases of each bad version."""
        rows = [
            (kind, metric.name, float(points))
            for kind in BAD_KINDS
            for metric in METRICS
            for points in FLAGS.rollout_points
            for _ in range(count)
        ]
        worse = {
            metric.name: np.array(
                [points / 100 * (name == metric.name) for _, name, points in rows]
            )
            for metric in METRICS
        }
        names = [f"{kind}_{name}_{points:g}" for kind, name, points in rows]
        at_half = np.array([kind == "bad_at_half" for kind, _, _ in rows])
        return cls(names, at_half, worse)


class _StopPolicy:
    """Decides which roll-outs to stop, from counts that become known with a delay.

    The policies "observer" and "pooled" test the sums over all hosts, without delay or
    with that of gossip; "alone" tests each host's counts separately; "threshold"
    compares pooled means with a fixed limit.
    """

    def __init__(self, name: str, hosts: int, count: int, delay_s: float) -> None:
        self.name = name
        self.delay_evaluations = (
            round(delay_s / EVALUATION_INTERVAL_S)
            if name in ("pooled", "threshold")
            else 0
        )
        self.groups = hosts if name == "alone" else 1
        shape = (count, self.groups)
        self.guard = Guard(0.01, shape)
        self.pending: list[tuple[dict[str, Arm], dict[str, Arm]]] = []
        self.sums = {metric.name: [Arm.empty(shape)] * 2 for metric in METRICS}

    def find_worse(
        self, canary: dict[str, Arm], stable: dict[str, Arm], advanced: np.ndarray
    ) -> np.ndarray:
        """Add an interval's counts; return a mask of the roll-outs to be stopped."""
        self.guard.start_step(len(STEPS), advanced[:, None])
        self.pending.append((canary, stable))
        if len(self.pending) <= self.delay_evaluations:
            return np.zeros(canary["errors"].count.shape[0], bool)
        canary, stable = self.pending.pop(0)
        if self.name == "threshold":
            return self._over_threshold(canary, stable)
        regressions = self.guard.update(canary, stable)
        return np.any(list(regressions.values()), axis=0).any(axis=-1)

    def _over_threshold(
        self, canary: dict[str, Arm], stable: dict[str, Arm]
    ) -> np.ndarray:
        bad = np.zeros(canary["errors"].count.shape[0], bool)
        for name, (canary_before, stable_before) in self.sums.items():
            canary_sums = canary_before.plus(canary[name])
            stable_sums = stable_before.plus(stable[name])
            self.sums[name] = [canary_sums, stable_sums]
            count = np.maximum(canary_sums.count, 1)
            difference = canary_sums.total / count - stable_sums.total / np.maximum(
                stable_sums.count, 1
            )
            has_enough = canary_sums.count >= THRESHOLD_ATTEMPTS_MIN
            bad |= (has_enough & (difference > THRESHOLD_DIFFERENCE)).any(axis=-1)
        return bad


def _draw(
    rng: np.random.Generator, counts: np.ndarray, metric: str, mean: np.ndarray
) -> Arm:
    """Draw the sums of `counts` values.

    Errors and slow answers are 0 or 1. Ratings take two values, with the mean and the
    variance of a beta distribution.
    """
    if metric != "quality":
        total = rng.binomial(counts, np.broadcast_to(mean, counts.shape))
        total = total.astype(float)
        return Arm(counts.astype(float), total, total)
    deviation = np.sqrt(mean * (1 - mean) / (RATING_CONCENTRATION + 1))
    low, high = mean - deviation, mean + deviation
    upper = rng.binomial(counts, 0.5)
    lower = counts - upper
    total = lower * low + upper * high
    squares = lower * low**2 + upper * high**2
    return Arm(counts.astype(float), total, squares)


def _stable_mean(metric: str) -> float:
    means = {
        "errors": FLAGS.rollout_errors,
        "latency": FLAGS.rollout_slow,
        "quality": 1 - FLAGS.rollout_quality,
    }
    return means[metric]


def simulate_rollouts(
    hosts: int, cases: Cases, policy_name: str, delay_s: float, rng: np.random.Generator
) -> Rollouts:
    """Simulate roll-outs until each is stopped or complete, or up to the horizon."""
    count = len(cases.names)
    rollouts = Rollouts.start(count)
    policy = _StopPolicy(policy_name, hosts, count, delay_s)
    requests_per_group = (
        hosts * FLAGS.rollout_requests_s * EVALUATION_INTERVAL_S / policy.groups
    )
    rating_delay = round(FLAGS.rollout_rating_lag_s / EVALUATION_INTERVAL_S)
    pending_ratings: list[tuple[Arm, Arm]] = []
    shape = (count, policy.groups)
    for evaluation in range(HORIZON_EVALUATIONS):
        is_active = rollouts.active
        if not is_active.any():
            break
        bad = ~cases.at_half | (rollouts.share >= STEPS[-1])
        canary, stable = {}, {}
        share = np.where(is_active, rollouts.share, 0.0)[:, None]
        canary_counts = rng.poisson(requests_per_group * share, shape)
        stable_counts = rng.poisson(
            requests_per_group * (1 - share) * is_active[:, None], shape
        )
        for metric in METRICS:
            name = metric.name
            stable_mean = np.full((count, 1), _stable_mean(name))
            canary_mean = stable_mean + (cases.worse[name] * bad)[:, None]
            if name != "quality":
                canary[name] = _draw(rng, canary_counts, name, canary_mean)
                stable[name] = _draw(rng, stable_counts, name, stable_mean)
                continue
            canary_ratings = rng.binomial(canary_counts, FLAGS.rollout_rated)
            stable_ratings = rng.binomial(stable_counts, FLAGS.rollout_rated)
            arms = (
                _draw(rng, canary_ratings, name, canary_mean),
                _draw(rng, stable_ratings, name, stable_mean),
            )
            pending_ratings.append(arms)
            canary[name] = stable[name] = Arm.empty(shape)
            if len(pending_ratings) > rating_delay:
                canary[name], stable[name] = pending_ratings.pop(0)
        rollouts.exposed += canary_counts.sum(axis=1) * bad * is_active
        rollouts.step_attempts += canary_counts.sum(axis=1)
        now = (evaluation + 1) * EVALUATION_INTERVAL_S
        advanced = _advance_steps(rollouts, is_active, now)
        stop = policy.find_worse(canary, stable, advanced) & is_active
        rollouts.stopped_at[stop] = now
    return rollouts


def _advance_steps(rollouts: Rollouts, is_active: np.ndarray, now: float) -> np.ndarray:
    ready = is_active & (now - rollouts.step_started_at >= FLAGS.rollout_step_s)
    ready &= rollouts.step_attempts >= FLAGS.rollout_step_attempts
    step_index = np.searchsorted(STEPS, rollouts.share)
    completing = ready & (step_index == len(STEPS) - 1)
    rollouts.completed_at[completing] = now
    advancing = ready & ~completing
    rollouts.share[advancing] = np.array(STEPS)[step_index[advancing] + 1]
    rollouts.step_started_at[advancing] = now
    rollouts.step_attempts[advancing] = 0
    return advancing


def _exposure_summary(rollouts: Rollouts) -> dict[str, Any]:
    return {
        "median": round(float(np.median(rollouts.exposed)), 1),
        "p95": round(float(np.quantile(rollouts.exposed, 0.95)), 1),
        "not_stopped_share": round(float(np.isinf(rollouts.stopped_at).mean()), 4),
    }


def _median_exposure_by_name(cases: Cases, rollouts: Rollouts) -> dict[str, float]:
    names = np.array(cases.names)
    return {
        name: float(np.median(rollouts.exposed[names == name]))
        for name in dict.fromkeys(cases.names)
    }


def _measure(hosts: int, rng: np.random.Generator) -> dict[str, Any]:
    delay_s = pooling_delay_s(hosts, rng)
    result: dict[str, Any] = {"pooling_delay_s": round(delay_s, 2)}
    medians = {}
    for policy in POLICIES:
        per_host = policy == "alone"
        good_count = (
            FLAGS.rollout_alone_trials if per_host else FLAGS.rollout_good_trials
        )
        bad_count = 1 if per_host else FLAGS.rollout_trials
        good = simulate_rollouts(hosts, Cases.good(good_count), policy, delay_s, rng)
        cases = Cases.bad(bad_count)
        rollouts = simulate_rollouts(hosts, cases, policy, delay_s, rng)
        medians[policy] = _median_exposure_by_name(cases, rollouts)
        full = good.completed_at[np.isfinite(good.completed_at)]
        result[policy] = {
            "exposed_requests": _exposure_summary(rollouts),
            "false_stops": round(float(np.isfinite(good.stopped_at).mean()), 4),
            "good_trials": good_count,
            "time_to_full_s": float(np.median(full)) if len(full) else None,
        }
    ratios = {
        name: round(medians["pooled"][name] / max(1.0, exposed), 2)
        for name, exposed in medians["observer"].items()
    }
    result["pooled_over_observer"] = ratios
    result["pooled_over_observer_median"] = float(np.median(list(ratios.values())))
    return result


@experiment("rollout")
def run_rollout(seed: int) -> Mapping[str, Any]:
    """Measure exposure, false stops and time to completion, by policy and size."""
    rng = np.random.default_rng(seed)
    return {
        f"hosts_{hosts}": _measure(int(hosts), rng) for hosts in FLAGS.rollout_hosts
    }
