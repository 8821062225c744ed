"""Retry policies while one endpoint fails, and while all endpoints fail."""

from collections.abc import Callable
from typing import Any

import numpy as np
from absl import flags

from radishshift.balance import BalancingContext, choose
from radishshift.bench import experiment
from radishshift.endpoints import Endpoint
from radishshift.errors import EndpointError
from radishshift.experiments.fake_engines import VirtualTime
from radishshift.loads import EndpointLoads
from radishshift.retries import RetryBudget

FLAGS = flags.FLAGS
flags.DEFINE_integer("retries_hosts", 6, "Entry hosts.")
flags.DEFINE_integer("retries_endpoints", 5, "Endpoints.")
flags.DEFINE_float("retries_rate", 60.0, "Requests per second over all hosts.")
flags.DEFINE_list(
    "retries_failing", ["0.2", "0.5", "1"], "Error rates of failing endpoints."
)

END_S = 120.0
FAULT_START_S = 10.0
ATTEMPTS_MAX = 4
SUCCESS_DURATION_S = 0.3
FAILURE_DURATION_S = 0.02
DEADLINE_S = 5.0


class _UnlimitedBudget(RetryBudget):
    """Baseline that always retries before the deadline."""

    def allows(self, error, idempotent, deadline, now):
        return now < deadline


class _NoBudget(RetryBudget):
    """Baseline that never retries."""

    def allows(self, error, idempotent, deadline, now):
        return False


class _Run:
    def __init__(
        self,
        seed: int,
        make_budget: Callable[[], RetryBudget],
        failure_shares: dict[str, float],
        with_ejection: bool,
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.failure_shares = failure_shares
        count = FLAGS.retries_endpoints
        self.endpoints = [
            Endpoint(f"e{n}", "", "mbeya", frozenset({"advice"}), 32, False)
            for n in range(count)
        ]
        self.with_ejection = with_ejection
        self.hosts = [
            (make_budget(), EndpointLoads()) for _ in range(FLAGS.retries_hosts)
        ]
        self.offered = self.attempts = self.succeeded = 0

    def run(self) -> dict[str, float]:
        self._arrive()
        self.time.run_until(END_S)
        self.time.run_until(END_S + DEADLINE_S)
        return {
            "success": round(self.succeeded / self.offered, 4),
            "amplification": round(self.attempts / self.offered, 4),
        }

    def _arrive(self) -> None:
        now = self.time.now
        if now >= END_S:
            return
        budget, loads = self.hosts[self.rng.integers(len(self.hosts))]
        budget.request_received()
        prefix = int(self.rng.integers(1, 2**62))
        self.offered += now >= FAULT_START_S
        self._attempt(budget, loads, prefix, now, set())
        gap_s = self.rng.exponential(1 / FLAGS.retries_rate)
        self.time.at(now + gap_s, self._arrive)

    def _attempt(
        self, budget, loads, prefix: int, arrived_at: float, tried_names: set
    ) -> None:
        now = self.time.now
        untried = [
            endpoint for endpoint in self.endpoints if endpoint.name not in tried_names
        ]
        if not untried:
            return
        context = BalancingContext("advice", "mbeya", prefix, now, "host")
        candidates = loads.candidates(untried, now)
        endpoint = choose("bounded-affinity", context, candidates)
        tried_names.add(endpoint.name)
        loads.record_start(endpoint, now)
        self.attempts += arrived_at >= FAULT_START_S
        fault_active = now >= FAULT_START_S
        fails = fault_active and self.rng.random() < self.failure_shares.get(
            endpoint.name, 0.0
        )

        def on_end() -> None:
            now = self.time.now
            loads.record_end(endpoint, now, not fails or not self.with_ejection)
            if not fails:
                self.succeeded += arrived_at >= FAULT_START_S
                return
            error = EndpointError("simulated failure of an attempt")
            if len(tried_names) < ATTEMPTS_MAX and budget.allows(
                error, True, arrived_at + DEADLINE_S, now
            ):
                self._attempt(budget, loads, prefix, arrived_at, tried_names)

        self.time.at(
            now + (FAILURE_DURATION_S if fails else SUCCESS_DURATION_S), on_end
        )


@experiment("retries")
def retries(seed: int) -> dict[str, Any]:
    """Compare budgeted retries with and without ejection, naive retries and none."""
    policies = {
        "budgeted": (RetryBudget, True),
        "budgeted_without_ejection": (RetryBudget, False),
        "naive": (_UnlimitedBudget, False),
        "none": (_NoBudget, False),
    }
    names = [f"e{n}" for n in range(FLAGS.retries_endpoints)]
    results: dict[str, Any] = {}
    for share in FLAGS.retries_failing:
        for case, failure_shares in (
            ("one", {"e1": float(share)}),
            ("all", dict.fromkeys(names, float(share))),
        ):
            results[f"{case} failing {share}"] = {
                policy: _Run(seed, budget, failure_shares, with_ejection).run()
                for policy, (budget, with_ejection) in policies.items()
            }
    return results
