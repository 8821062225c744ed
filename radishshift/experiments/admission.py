"""Admission control under overload, with a mix of task classes.

Entry hosts send requests to simulated endpoints in virtual time, with their real
admission queues or without any, at loads from below to above the capacity.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from absl import flags

from radishshift.admission_queue import AdmissionQueue, Ticket
from radishshift.bench import experiment
from radishshift.concurrency_limit import ConcurrencyLimit
from radishshift.contracts import Contract, Limits, Objectives, TaskClass
from radishshift.errors import OverloadedError
from radishshift.experiments.fake_engines import FakeEngine, FakeJob, VirtualTime

FLAGS = flags.FLAGS
flags.DEFINE_integer("admission_hosts", 6, "Entry hosts that share the endpoints.")
flags.DEFINE_integer("admission_endpoints", 5, "Model endpoints.")
flags.DEFINE_float("admission_duration_s", 120.0, "Measured virtual time, in seconds.")
flags.DEFINE_float(
    "admission_quick_share", 0.5, "Share of requests that are quick checks."
)
flags.DEFINE_float("admission_slow", 1.0, "Factor by which engine steps are slower.")
flags.DEFINE_list(
    "admission_loads",
    ["0.5", "0.8", "1", "1.5", "2", "3"],
    "Offered loads relative to capacity.",
)

WARM_UP_S = 20.0
CUSTOMER_COUNT = 10
CUSTOMER_WEIGHTS = (1.0, 1.0, 2.0, 1.0, 4.0, 1.0, 1.0, 2.0, 1.0, 1.0)
# Share of requests that customer 0 sends on top of an even share of the rest.
GREEDY_CUSTOMER_SHARE = 0.3


@dataclass(frozen=True)
class _RequestKind:
    task_class: TaskClass
    share: float
    prompt_tokens: int
    completion_tokens: int


def _request_kinds() -> list[_RequestKind]:
    quick_share = FLAGS.admission_quick_share
    other_share = 1.0 - quick_share

    def make_kind(name, priority, deadline_s, share, prompt_tokens, completion_tokens):
        objectives = Objectives(0.75, 0.058, deadline_s, 0.95)
        queue_s = 0.5 if priority == 0 else 0.25 * deadline_s
        task_class = TaskClass(
            name, priority, deadline_s, False, objectives, queue_s=queue_s
        )
        return _RequestKind(task_class, share, prompt_tokens, completion_tokens)

    return [
        make_kind("quick-check", 0, 5.0, quick_share, 200, 30),
        make_kind("draft", 1, 30.0, 0.3 * other_share, 1000, 200),
        make_kind("season-plan", 2, 120.0, 0.2 * other_share, 1500, 400),
        make_kind("tagging", 3, 60.0, 0.5 * other_share, 400, 10),
    ]


@dataclass
class _Result:
    """Sums over measured requests; `by_class` counts those offered and answered."""

    offered: int = 0
    answered: int = 0
    goodput_tokens: float = 0.0
    first_token_s: dict[str, list[float]] = field(default_factory=dict)
    by_class: dict[str, list[int]] = field(default_factory=dict)
    offered_tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    answered_tokens: dict[tuple[str, str], float] = field(default_factory=dict)
    refusal_delays_s: list[float] = field(default_factory=list)
    refused_after_waiting: int = 0
    refused_past_latest_start: int = 0


class _Host:
    """An entry host with a real admission queue in front of simulated engines."""

    def __init__(self, simulation: "_Simulation", name: str) -> None:
        self.simulation = simulation
        self.queue = simulation.make_queue()
        self.in_flight = {engine.name: 0 for engine in simulation.engines}

    def receive(
        self, kind: _RequestKind, customer: str, weight: float, token_counts
    ) -> None:
        simulation = self.simulation
        now = simulation.time.now
        contract = Contract(
            customer, (), frozenset(), weight, Limits(1e9, 1e9, 10**6), {}, ""
        )
        prompt_tokens, completion_tokens = token_counts
        cost = prompt_tokens + completion_tokens
        measured = now >= WARM_UP_S
        if measured:
            simulation.result.offered += 1
            simulation.result.by_class.setdefault(kind.task_class.name, [0, 0])[0] += 1
            key = (kind.task_class.name, customer)
            simulation.result.offered_tokens[key] = (
                simulation.result.offered_tokens.get(key, 0.0) + cost
            )
        deadline = now + kind.task_class.deadline_s

        def on_decision(error: OverloadedError | None) -> None:
            if error is None:
                self._send(kind, ticket, customer, token_counts, measured)
            elif measured:
                waited_s = simulation.time.now - now
                simulation.result.refusal_delays_s.append(waited_s)
                simulation.result.refused_after_waiting += waited_s > 0.1
                past_latest_start = simulation.time.now > ticket.latest_start + 0.1
                simulation.result.refused_past_latest_start += (
                    waited_s > 0.1 and past_latest_start
                )

        ticket = Ticket(kind.task_class, contract, cost, now, deadline, on_decision)
        if self.queue is None:
            self._send(kind, ticket, customer, token_counts, measured)
            return
        try:
            self.queue.offer(ticket, now)
        except OverloadedError:
            if measured:
                simulation.result.refusal_delays_s.append(0.0)
            return
        if ticket.started is None:
            simulation.time.at(
                ticket.latest_start, lambda: self.queue.expire(ticket.latest_start)
            )

    def _send(
        self, kind: _RequestKind, ticket: Ticket, customer, token_counts, measured
    ) -> None:
        simulation = self.simulation
        fewest = min(self.in_flight.values())
        names = [name for name, count in self.in_flight.items() if count == fewest]
        name = names[simulation.rng.integers(len(names))]
        self.in_flight[name] += 1
        sent_at = simulation.time.now

        def on_first_token(now: float) -> None:
            if self.queue is not None:
                self.queue.concurrency.record_first_token(
                    kind.task_class, now - sent_at
                )
            if measured:
                times = simulation.result.first_token_s.setdefault(
                    kind.task_class.name, []
                )
                times.append(now - ticket.arrived)

        def on_done(now: float, ok: bool) -> None:
            self.in_flight[name] -= 1
            if self.queue is not None:
                self.queue.finish(ticket, ticket.cost, now)
            if now <= ticket.deadline and WARM_UP_S <= now <= simulation.end:
                simulation.count_answer(kind, customer, ticket)

        job = FakeJob(*token_counts, on_first_token, on_done, kind.task_class.priority)
        simulation.engines_by_name[name].submit(job)


class _Simulation:
    def __init__(
        self, seed: int, rate: float, make_queue: Callable[[], AdmissionQueue | None]
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.rate = rate
        self.make_queue = make_queue
        self.kinds = _request_kinds()
        self.engines = [
            FakeEngine(self.time, f"e{n}") for n in range(FLAGS.admission_endpoints)
        ]
        for engine in self.engines:
            engine.slowdown = FLAGS.admission_slow
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        self.hosts = [_Host(self, f"h{n}") for n in range(FLAGS.admission_hosts)]
        self.result = _Result()
        self.end = WARM_UP_S + FLAGS.admission_duration_s

    def run(self) -> _Result:
        self._schedule_next_arrival()
        self.time.run_until(self.end)
        return self.result

    def count_answer(self, kind: _RequestKind, customer: str, ticket: Ticket) -> None:
        result = self.result
        result.answered += 1
        result.goodput_tokens += ticket.cost
        result.by_class.setdefault(kind.task_class.name, [0, 0])[1] += 1
        key = (kind.task_class.name, customer)
        result.answered_tokens[key] = result.answered_tokens.get(key, 0.0) + ticket.cost

    def _schedule_next_arrival(self) -> None:
        gap_s = self.rng.exponential(1 / self.rate)
        self.time.at(self.time.now + gap_s, self._arrive)

    def _arrive(self) -> None:
        shares = [kind.share for kind in self.kinds]
        kind = self.kinds[self.rng.choice(len(self.kinds), p=shares)]
        number = 0
        if self.rng.random() > GREEDY_CUSTOMER_SHARE:
            number = int(self.rng.integers(CUSTOMER_COUNT))
        host = self.hosts[self.rng.integers(len(self.hosts))]
        spread = self.rng.lognormal(0.0, 0.4, 2)
        token_counts = (
            max(1, int(kind.prompt_tokens * spread[0])),
            max(2, int(kind.completion_tokens * spread[1])),
        )
        host.receive(kind, f"c{number}", CUSTOMER_WEIGHTS[number], token_counts)
        self._schedule_next_arrival()


def _report(result: _Result) -> dict[str, Any]:
    def quantile(name: str, q: float) -> float:
        return round(float(np.quantile(result.first_token_s.get(name, [np.inf]), q)), 3)

    refused = result.refusal_delays_s
    return {
        "goodput_tokens_s": round(result.goodput_tokens / FLAGS.admission_duration_s),
        "quick_first_p50_s": quantile("quick-check", 0.5),
        "quick_first_p95_s": quantile("quick-check", 0.95),
        "served_share": {
            name: round(served / max(1, offered), 3)
            for name, (offered, served) in sorted(result.by_class.items())
        },
        "refused": len(refused),
        "refused_within_100ms_share": round(
            1 - result.refused_after_waiting / max(1, len(refused)), 4
        ),
        "refused_late": result.refused_past_latest_start,
        "refused_after_max_s": round(max(refused, default=0.0), 3),
    }


def _fair_shares(demands: dict[str, float], remaining: float) -> dict[str, float]:
    """Divide a total among customers by weighted max-min fairness.

    No customer gets more than its demand; what it leaves goes to the others.
    """
    shares = dict.fromkeys(demands, 0.0)
    unmet_tokens = dict(demands)
    while unmet_tokens and remaining > 1e-6:
        weight = sum(CUSTOMER_WEIGHTS[int(name[1:])] for name in unmet_tokens)
        level = min(
            unmet / CUSTOMER_WEIGHTS[int(name[1:])]
            for name, unmet in unmet_tokens.items()
        )
        level = min(level, remaining / weight)
        for name in list(unmet_tokens):
            granted = level * CUSTOMER_WEIGHTS[int(name[1:])]
            shares[name] += granted
            remaining -= granted
            unmet_tokens[name] -= granted
            if unmet_tokens[name] <= 1e-6:
                del unmet_tokens[name]
    return shares


def _fairness(result: _Result) -> dict[str, float]:
    """Compare the tokens answered for customers with their fair shares."""
    fair: dict[str, float] = {}
    for task_class in result.by_class:
        offered_tokens = {
            customer: cost
            for (name, customer), cost in result.offered_tokens.items()
            if name == task_class
        }
        total = sum(
            cost
            for (name, _), cost in result.answered_tokens.items()
            if name == task_class
        )
        for customer, share in _fair_shares(offered_tokens, total).items():
            fair[customer] = fair.get(customer, 0.0) + share
    errors = {}
    for customer, share in fair.items():
        answered_tokens = sum(
            cost
            for (_, name), cost in result.answered_tokens.items()
            if name == customer
        )
        errors[customer] = answered_tokens / share - 1
    return {
        "share_shortfall_worst": round(-min(errors.values()), 4),
        "share_excess_worst": round(max(errors.values()), 4),
    }


def _make_adaptive_queue() -> AdmissionQueue:
    return AdmissionQueue(ConcurrencyLimit(2000))


def _make_no_queue() -> None:
    return None


@experiment("admission")
def admission(seed: int) -> dict[str, Any]:
    """Compare an admission queue with none over a range of loads."""
    capacity = _capacity(seed)
    results = {}
    for load in FLAGS.admission_loads:
        rate = float(load) * capacity["requests_s"]
        adaptive = _Simulation(seed, rate, _make_adaptive_queue).run()
        results[load] = {
            "admission": _report(adaptive) | _fairness(adaptive),
            "none": _report(_Simulation(seed, rate, _make_no_queue).run()),
        }
    goodput = {
        load: result["admission"]["goodput_tokens_s"]
        for load, result in results.items()
    }
    loads = FLAGS.admission_loads
    return {
        "capacity": capacity,
        "loads": results,
        "goodput_highest_to_capacity": round(
            goodput[loads[-1]] / goodput.get("1", goodput[loads[0]]), 3
        ),
    }


def _capacity(seed: int) -> dict[str, float]:
    """Find the capacity without admission control, by bisection on the request rate.

    A rate is too high if the final queues exceed a tenth of the measured requests.
    """
    run = _Simulation(seed, 1.0, _make_no_queue)
    shares = np.array([kind.share for kind in run.kinds])
    run.rate = 1.0
    low, high = 1.0, 400.0
    for _ in range(9):
        rate = (low + high) / 2
        probe = _Simulation(seed, rate, _make_no_queue)
        probe.end = 40.0
        probe.run()
        backlog = sum(engine.queued for engine in probe.engines)
        if backlog > 0.1 * probe.result.offered:
            high = rate
        else:
            low = rate
    tokens = sum(
        share * (kind.prompt_tokens + kind.completion_tokens)
        for share, kind in zip(shares, run.kinds, strict=True)
    )
    tokens *= float(np.exp(0.4**2 / 2))
    return {"requests_s": round(low, 1), "tokens_s": round(low * tokens)}
