"""Exposure to bad versions under roll-out, by several guards.

Many trials run side by side in steps of a look. Counts are drawn; the test is the one
that serves. How late a host knows of another's counts is measured first, by passing
rows through the sections that serve along the ring of heartbeats.
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
flags.DEFINE_float("rollout_requests_s", 26.0, "Requests a second of each host.")
flags.DEFINE_integer("rollout_alone_trials", 4, "Good trials with hosts alone.")
flags.DEFINE_integer("rollout_trials", 4, "Trials of each bad version.")
flags.DEFINE_integer("rollout_good_trials", 100, "Trials of a good version.")
flags.DEFINE_float("rollout_errors", 0.01, "Share of errors of the stable version.")
flags.DEFINE_float("rollout_slow", 0.05, "Share of slow answers of the stable one.")
flags.DEFINE_float("rollout_quality", 0.8, "Mean rating of the stable version.")
flags.DEFINE_float("rollout_rated", 0.1, "Share of answers that are rated.")
flags.DEFINE_float("rollout_rating_lag_s", 60.0, "Lag of ratings, in seconds.")
flags.DEFINE_float("rollout_heartbeat_s", 2.0, "Time between heartbeats, in seconds.")
flags.DEFINE_float("rollout_step_s", 120.0, "Least time of a step, in seconds.")
flags.DEFINE_integer("rollout_step_attempts", 200, "Least attempts of a step.")
flags.DEFINE_list("rollout_points", ["1", "2", "5", "20"], "How much worse, in points.")

STEPS = (0.001, 0.01, 0.05, 0.2, 0.5)
HORIZON_S = 2400
LOOK_S = 1.0
RATING_WEIGHT = 8.0
THRESHOLD_POINTS = 0.01
THRESHOLD_ATTEMPTS = 100
KINDS = ("bad_from_start", "bad_at_half")
POLICIES = ("observer", "pooled", "alone", "threshold")


def pooling_delay_s(hosts: int, rng: np.random.Generator) -> float:
    """Return the mean time until a host holds another's counts, in seconds."""
    names = [f"host-{number:03}" for number in range(hosts)]
    pools = {}
    for name in names:
        pool = GuardPool(f"{name}/1", Host(name, "mbeya", "tz-south", "", 1))
        pool.set_compared(frozenset({"new"}))
        pools[name] = pool
    source = pools[names[0]]
    source.record_outcome(Outcome("new", "e", "c", "draft", True, 0.1, 0.0, 1.0, 0))
    source.publish(1.0)
    phases = rng.uniform(0, FLAGS.rollout_heartbeat_s, hosts)
    ring = {name: successors(names, name) for name in names}
    due = sorted((phase, name) for phase, name in zip(phases, names, strict=True))
    knows = {names[0]: 0.0}
    beat = 0
    while len(knows) < hosts:
        for phase, name in due:
            now = beat * FLAGS.rollout_heartbeat_s + phase
            for other in ring[name]:
                _beat(pools[name], pools[other], now)
                if other not in knows and "new" in pools[other]._pooled:
                    knows[other] = now
        beat += 1
    return float(np.mean(list(knows.values()))) - float(phases[0]) / 2


def _beat(sender: GuardPool, receiver: GuardPool, now: float) -> None:
    value = sender.section.outgoing(receiver.section._me, now)
    if value is not None:
        receiver.section.incoming(sender.section._me, value, now)


@dataclass(slots=True)
class Trials:
    """Roll-outs side by side under one policy.

    Attributes
    ----------
    share : ndarray
    exposed : ndarray
        Requests run on the new version since it turned bad.
    stopped_at, full_at : ndarray
        Seconds; infinite for never.
    """

    share: np.ndarray
    step_began: np.ndarray
    step_attempts: np.ndarray
    exposed: np.ndarray
    stopped_at: np.ndarray
    full_at: np.ndarray

    @classmethod
    def start(cls, count: int) -> "Trials":
        """Return trials at the first step."""
        return cls(
            np.full(count, STEPS[0]),
            np.zeros(count),
            np.zeros(count),
            np.zeros(count),
            np.full(count, math.inf),
            np.full(count, math.inf),
        )

    @property
    def open(self) -> np.ndarray:
        """Tell which trials are neither stopped nor complete."""
        return np.isinf(self.stopped_at) & np.isinf(self.full_at)


@dataclass(frozen=True, slots=True)
class Cases:
    """What is rolled out in each of the trials that run side by side.

    Attributes
    ----------
    names : list of str
        By trial.
    at_half : ndarray of bool
        Whether it turns bad at half traffic only.
    worse : dict of str to ndarray
        How much worse it is, from 0 to 1, by metric.
    """

    names: list[str]
    at_half: np.ndarray
    worse: dict[str, np.ndarray]

    @classmethod
    def good(cls, count: int) -> "Cases":
        """Return trials of a version that is as good as the stable one."""
        nothing = {metric.name: np.zeros(count) for metric in METRICS}
        return cls(["good"] * count, np.zeros(count, bool), nothing)

    @classmethod
    def bad(cls, count: int) -> "Cases":
        """Return as many trials of each bad version."""
        rows = [
            (kind, metric.name, float(points))
            for kind in KINDS
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


class _Policy:
    """Decides from the counts as they come to be known."""

    def __init__(self, name: str, hosts: int, count: int, delay_s: float) -> None:
        self.name = name
        self.delay = round(delay_s / LOOK_S) if name in ("pooled", "threshold") else 0
        self.groups = hosts if name == "alone" else 1
        shape = (count, self.groups)
        self.guard = Guard(0.01, shape)
        self.pending: list[tuple[dict[str, Arm], dict[str, Arm]]] = []
        self.sums = {metric.name: [Arm.empty(shape)] * 2 for metric in METRICS}

    def worse(
        self, canary: dict[str, Arm], stable: dict[str, Arm], step: np.ndarray
    ) -> np.ndarray:
        """Take in a look's counts; tell which trials are to be stopped."""
        self.guard.start_step(len(STEPS), step[:, None])
        self.pending.append((canary, stable))
        if len(self.pending) <= self.delay:
            return np.zeros(canary["errors"].count.shape[0], bool)
        canary, stable = self.pending.pop(0)
        if self.name == "threshold":
            return self._over_threshold(canary, stable)
        found = self.guard.update(canary, stable)
        return np.any(list(found.values()), axis=0).any(axis=-1)

    def _over_threshold(
        self, canary: dict[str, Arm], stable: dict[str, Arm]
    ) -> np.ndarray:
        bad = np.zeros(canary["errors"].count.shape[0], bool)
        for name, (old_canary, old_stable) in self.sums.items():
            new = old_canary.plus(canary[name])
            base = old_stable.plus(stable[name])
            self.sums[name] = [new, base]
            count = np.maximum(new.count, 1)
            gap = new.total / count - base.total / np.maximum(base.count, 1)
            enough = new.count >= THRESHOLD_ATTEMPTS
            bad |= (enough & (gap > THRESHOLD_POINTS)).any(axis=-1)
        return bad


def _draw(
    rng: np.random.Generator, counts: np.ndarray, metric: str, mean: np.ndarray
) -> Arm:
    if metric != "quality":
        total = rng.binomial(counts, np.broadcast_to(mean, counts.shape))
        total = total.astype(float)
        return Arm(counts.astype(float), total, total)
    spread = np.sqrt(mean * (1 - mean) / (RATING_WEIGHT + 1))
    low, high = mean - spread, mean + spread
    upper = rng.binomial(counts, 0.5)
    lower = counts - upper
    total = lower * low + upper * high
    squares = lower * low**2 + upper * high**2
    return Arm(counts.astype(float), total, squares)


def _usual(metric: str) -> float:
    means = {
        "errors": FLAGS.rollout_errors,
        "latency": FLAGS.rollout_slow,
        "quality": 1 - FLAGS.rollout_quality,
    }
    return means[metric]


def run_trials(
    hosts: int, cases: Cases, policy_name: str, delay_s: float, rng: np.random.Generator
) -> Trials:
    """Roll out until each trial is stopped or complete, or the horizon is reached."""
    count = len(cases.names)
    trials = Trials.start(count)
    policy = _Policy(policy_name, hosts, count, delay_s)
    rate = hosts * FLAGS.rollout_requests_s * LOOK_S / policy.groups
    lag = round(FLAGS.rollout_rating_lag_s / LOOK_S)
    rated: list[tuple[Arm, Arm]] = []
    shape = (count, policy.groups)
    for look in range(HORIZON_S):
        is_open = trials.open
        if not is_open.any():
            break
        bad = ~cases.at_half | (trials.share >= STEPS[-1])
        canary, stable = {}, {}
        share = np.where(is_open, trials.share, 0.0)[:, None]
        ran = rng.poisson(rate * share, shape)
        others = rng.poisson(rate * (1 - share) * is_open[:, None], shape)
        for metric in METRICS:
            name = metric.name
            mean = np.full((count, 1), _usual(name))
            worse = mean + (cases.worse[name] * bad)[:, None]
            if name != "quality":
                canary[name] = _draw(rng, ran, name, worse)
                stable[name] = _draw(rng, others, name, mean)
                continue
            seen = rng.binomial(ran, FLAGS.rollout_rated)
            seen_others = rng.binomial(others, FLAGS.rollout_rated)
            arms = _draw(rng, seen, name, worse), _draw(rng, seen_others, name, mean)
            rated.append(arms)
            canary[name] = stable[name] = Arm.empty(shape)
            if len(rated) > lag:
                canary[name], stable[name] = rated.pop(0)
        trials.exposed += ran.sum(axis=1) * bad * is_open
        trials.step_attempts += ran.sum(axis=1)
        now = (look + 1) * LOOK_S
        widened = _widen(trials, is_open, now)
        stop = policy.worse(canary, stable, widened) & is_open
        trials.stopped_at[stop] = now
    return trials


def _widen(trials: Trials, is_open: np.ndarray, now: float) -> np.ndarray:
    ready = is_open & (now - trials.step_began >= FLAGS.rollout_step_s)
    ready &= trials.step_attempts >= FLAGS.rollout_step_attempts
    at = np.searchsorted(STEPS, trials.share)
    last = ready & (at == len(STEPS) - 1)
    trials.full_at[last] = now
    on = ready & ~last
    trials.share[on] = np.array(STEPS)[at[on] + 1]
    trials.step_began[on] = now
    trials.step_attempts[on] = 0
    return on


def _exposure(trials: Trials) -> dict[str, Any]:
    return {
        "median": round(float(np.median(trials.exposed)), 1),
        "p95": round(float(np.quantile(trials.exposed, 0.95)), 1),
        "not_stopped_share": round(float(np.isinf(trials.stopped_at).mean()), 4),
    }


def _by_name(cases: Cases, trials: Trials) -> dict[str, float]:
    names = np.array(cases.names)
    return {
        name: float(np.median(trials.exposed[names == name]))
        for name in dict.fromkeys(cases.names)
    }


def _measure(hosts: int, rng: np.random.Generator) -> dict[str, Any]:
    delay_s = pooling_delay_s(hosts, rng)
    result: dict[str, Any] = {"pooling_delay_s": round(delay_s, 2)}
    medians = {}
    for policy in POLICIES:
        alone = policy == "alone"
        good_count = FLAGS.rollout_alone_trials if alone else FLAGS.rollout_good_trials
        bad_count = 1 if alone else FLAGS.rollout_trials
        good = run_trials(hosts, Cases.good(good_count), policy, delay_s, rng)
        cases = Cases.bad(bad_count)
        trials = run_trials(hosts, cases, policy, delay_s, rng)
        medians[policy] = _by_name(cases, trials)
        full = good.full_at[np.isfinite(good.full_at)]
        result[policy] = {
            "exposed_requests": _exposure(trials),
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
    """Measure exposure, false stops and time to full, by policy and size."""
    rng = np.random.default_rng(seed)
    return {
        f"hosts_{hosts}": _measure(int(hosts), rng) for hosts in FLAGS.rollout_hosts
    }
