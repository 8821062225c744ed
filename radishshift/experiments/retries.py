"""Retries while one endpoint fails, and while all of them do."""

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
flags.DEFINE_float("retries_rate", 60.0, "Requests a second over all hosts.")
flags.DEFINE_list("retries_failing", ["0.2", "0.5", "1"], "Shares that fail.")

END_S = 120.0
FAULT_AT = 10.0
TRIES_MAX = 4
SERVED_S = 0.3
FAILED_S = 0.02
DEADLINE_S = 5.0


class _NaiveBudget(RetryBudget):
    """Retries always: the baseline."""

    def allows(self, error, idempotent, deadline, now):
        return now < deadline


class _NoBudget(RetryBudget):
    """Retries never: the baseline."""

    def allows(self, error, idempotent, deadline, now):
        return False


class _Run:
    def __init__(
        self,
        seed: int,
        budget: Callable[[], RetryBudget],
        failing: dict[str, float],
        ejects: bool,
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.failing = failing
        count = FLAGS.retries_endpoints
        self.endpoints = [
            Endpoint(f"e{n}", "", "mbeya", frozenset({"advice"}), 32, False)
            for n in range(count)
        ]
        self.ejects = ejects
        self.hosts = [(budget(), EndpointLoads()) for _ in range(FLAGS.retries_hosts)]
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
        self.offered += now >= FAULT_AT
        self._try(budget, loads, prefix, now, set())
        gap_s = self.rng.exponential(1 / FLAGS.retries_rate)
        self.time.at(now + gap_s, self._arrive)

    def _try(self, budget, loads, prefix: int, arrived: float, tried: set) -> None:
        now = self.time.now
        left = [endpoint for endpoint in self.endpoints if endpoint.name not in tried]
        if not left:
            return
        context = BalancingContext("advice", "mbeya", prefix, now, "host")
        candidates = loads.candidates(left, now)
        endpoint = choose("bounded-affinity", context, candidates)
        tried.add(endpoint.name)
        loads.record_start(endpoint, now)
        self.attempts += arrived >= FAULT_AT
        faulty = now >= FAULT_AT
        fails = faulty and self.rng.random() < self.failing.get(endpoint.name, 0.0)

        def end() -> None:
            now = self.time.now
            loads.record_end(endpoint, now, not fails or not self.ejects)
            if not fails:
                self.succeeded += arrived >= FAULT_AT
                return
            error = EndpointError("failed on purpose")
            if len(tried) < TRIES_MAX and budget.allows(
                error, True, arrived + DEADLINE_S, now
            ):
                self._try(budget, loads, prefix, arrived, tried)

        self.time.at(now + (FAILED_S if fails else SERVED_S), end)


@experiment("retries")
def retries(seed: int) -> dict[str, Any]:
    """Compare budgeted retries and ejection with naive retries and with none."""
    policies = {
        "budgeted": (RetryBudget, True),
        "budgeted_without_ejection": (RetryBudget, False),
        "naive": (_NaiveBudget, False),
        "none": (_NoBudget, False),
    }
    names = [f"e{n}" for n in range(FLAGS.retries_endpoints)]
    results: dict[str, Any] = {}
    for share in FLAGS.retries_failing:
        for case, failing in (
            ("one", {"e1": float(share)}),
            ("all", dict.fromkeys(names, float(share))),
        ):
            results[f"{case} failing {share}"] = {
                policy: _Run(seed, budget, failing, ejects).run()
                for policy, (budget, ejects) in policies.items()
            }
    return results
