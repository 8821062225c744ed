"""Market day: more work than there is room for, in mixed classes."""

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
flags.DEFINE_float("admission_duration_s", 120.0, "Measured virtual time.")
flags.DEFINE_float("admission_quick_share", 0.5, "Share of quick checks in requests.")
flags.DEFINE_float("admission_slow", 1.0, "Factor on the time of every step.")
flags.DEFINE_list(
    "admission_loads", ["0.5", "0.8", "1", "1.5", "2", "3"], "Offered over capacity."
)

WARM_UP_S = 20.0
CUSTOMERS = 10
WEIGHTS = (1.0, 1.0, 2.0, 1.0, 4.0, 1.0, 1.0, 2.0, 1.0, 1.0)
GREEDY_SHARE = 0.3


@dataclass(frozen=True)
class _Kind:
    task_class: TaskClass
    share: float
    prompt: int
    completion: int


def _kinds() -> list[_Kind]:
    quick = FLAGS.admission_quick_share
    rest = 1.0 - quick

    def made(name, priority, deadline_s, share, prompt, completion):
        objectives = Objectives(0.75, 0.058, deadline_s, 0.95)
        queue_s = 0.5 if priority == 0 else 0.25 * deadline_s
        task_class = TaskClass(
            name, priority, deadline_s, False, objectives, queue_s=queue_s
        )
        return _Kind(task_class, share, prompt, completion)

    return [
        made("quick-check", 0, 5.0, quick, 200, 30),
        made("draft", 1, 30.0, 0.3 * rest, 1000, 200),
        made("season-plan", 2, 120.0, 0.2 * rest, 1500, 400),
        made("tagging", 3, 60.0, 0.5 * rest, 400, 10),
    ]


@dataclass
class _Result:
    offered: int = 0
    answered: int = 0
    good_tokens: float = 0.0
    first_s: dict[str, list[float]] = field(default_factory=dict)
    by_class: dict[str, list[int]] = field(default_factory=dict)
    wanted: dict[tuple[str, str], float] = field(default_factory=dict)
    got: dict[tuple[str, str], float] = field(default_factory=dict)
    refused_after_s: list[float] = field(default_factory=list)
    refused_waiting: int = 0
    refused_by_surprise: int = 0


class _Host:
    """One entry host: real admission before fake engines."""

    def __init__(self, run: "_Market", name: str) -> None:
        self.run = run
        self.pool = run.make_pool()
        self.in_flight = {engine.name: 0 for engine in run.engines}

    def come(self, kind: _Kind, customer: str, weight: float, sizes) -> None:
        run = self.run
        now = run.time.now
        contract = Contract(
            customer, (), frozenset(), weight, Limits(1e9, 1e9, 10**6), {}, ""
        )
        prompt, completion = sizes
        cost = prompt + completion
        counted = now >= WARM_UP_S
        if counted:
            run.result.offered += 1
            run.result.by_class.setdefault(kind.task_class.name, [0, 0])[0] += 1
            key = (kind.task_class.name, customer)
            run.result.wanted[key] = run.result.wanted.get(key, 0.0) + cost
        deadline = now + kind.task_class.deadline_s

        def decide(error: OverloadedError | None) -> None:
            if error is None:
                self._send(kind, ticket, customer, sizes, counted)
            elif counted:
                waited_s = run.time.now - now
                run.result.refused_after_s.append(waited_s)
                run.result.refused_waiting += waited_s > 0.1
                late = run.time.now > ticket.latest_start + 0.1
                run.result.refused_by_surprise += waited_s > 0.1 and late

        ticket = Ticket(kind.task_class, contract, cost, now, deadline, decide)
        if self.pool is None:
            self._send(kind, ticket, customer, sizes, counted)
            return
        try:
            self.pool.offer(ticket, now)
        except OverloadedError:
            if counted:
                run.result.refused_after_s.append(0.0)
            return
        if ticket.started is None:
            run.time.at(
                ticket.latest_start, lambda: self.pool.expire(ticket.latest_start)
            )

    def _send(self, kind: _Kind, ticket: Ticket, customer, sizes, counted) -> None:
        run = self.run
        low = min(self.in_flight.values())
        names = [name for name, count in self.in_flight.items() if count == low]
        name = names[run.rng.integers(len(names))]
        self.in_flight[name] += 1
        sent = run.time.now

        def first(now: float) -> None:
            if self.pool is not None:
                self.pool.concurrency.record_first_token(kind.task_class, now - sent)
            if counted:
                times = run.result.first_s.setdefault(kind.task_class.name, [])
                times.append(now - ticket.arrived)

        def done(now: float, ok: bool) -> None:
            self.in_flight[name] -= 1
            if self.pool is not None:
                self.pool.finish(ticket, ticket.cost, now)
            if now <= ticket.deadline and WARM_UP_S <= now <= run.end:
                run.count(kind, customer, ticket)

        job = FakeJob(*sizes, first, done, kind.task_class.priority)
        run.engines_by_name[name].submit(job)


class _Market:
    def __init__(
        self, seed: int, rate: float, make_pool: Callable[[], AdmissionQueue | None]
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.rate = rate
        self.make_pool = make_pool
        self.kinds = _kinds()
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
        self._next()
        self.time.run_until(self.end)
        return self.result

    def count(self, kind: _Kind, customer: str, ticket: Ticket) -> None:
        result = self.result
        result.answered += 1
        result.good_tokens += ticket.cost
        result.by_class.setdefault(kind.task_class.name, [0, 0])[1] += 1
        key = (kind.task_class.name, customer)
        result.got[key] = result.got.get(key, 0.0) + ticket.cost

    def _next(self) -> None:
        gap_s = self.rng.exponential(1 / self.rate)
        self.time.at(self.time.now + gap_s, self._arrive)

    def _arrive(self) -> None:
        shares = [kind.share for kind in self.kinds]
        kind = self.kinds[self.rng.choice(len(self.kinds), p=shares)]
        # One customer asks for far more than its share.
        number = 0
        if self.rng.random() > GREEDY_SHARE:
            number = int(self.rng.integers(CUSTOMERS))
        host = self.hosts[self.rng.integers(len(self.hosts))]
        spread = self.rng.lognormal(0.0, 0.4, 2)
        sizes = (
            max(1, int(kind.prompt * spread[0])),
            max(2, int(kind.completion * spread[1])),
        )
        host.come(kind, f"c{number}", WEIGHTS[number], sizes)
        self._next()


def _report(run: _Result) -> dict[str, Any]:
    def quantile(name: str, q: float) -> float:
        return round(float(np.quantile(run.first_s.get(name, [np.inf]), q)), 3)

    refused = run.refused_after_s
    return {
        "goodput_tokens_s": round(run.good_tokens / FLAGS.admission_duration_s),
        "quick_first_p50_s": quantile("quick-check", 0.5),
        "quick_first_p95_s": quantile("quick-check", 0.95),
        "served_share": {
            name: round(served / max(1, offered), 3)
            for name, (offered, served) in sorted(run.by_class.items())
        },
        "refused": len(refused),
        "refused_within_100ms_share": round(
            1 - run.refused_waiting / max(1, len(refused)), 4
        ),
        "refused_late": run.refused_by_surprise,
        "refused_after_max_s": round(max(refused, default=0.0), 3),
    }


def _fair_shares(wanted: dict[str, float], total: float) -> dict[str, float]:
    """Return what each customer gets of a total if shared fairly by weight."""
    shares = dict.fromkeys(wanted, 0.0)
    hungry = dict(wanted)
    while hungry and total > 1e-6:
        weight = sum(WEIGHTS[int(name[1:])] for name in hungry)
        level = min(need / WEIGHTS[int(name[1:])] for name, need in hungry.items())
        level = min(level, total / weight)
        for name in list(hungry):
            given = level * WEIGHTS[int(name[1:])]
            shares[name] += given
            total -= given
            hungry[name] -= given
            if hungry[name] <= 1e-6:
                del hungry[name]
    return shares


def _fairness(run: _Result) -> dict[str, float]:
    """Return how far customers are from their fair shares of what was answered."""
    fair: dict[str, float] = {}
    for task_class in run.by_class:
        wanted = {
            customer: cost
            for (name, customer), cost in run.wanted.items()
            if name == task_class
        }
        total = sum(cost for (name, _), cost in run.got.items() if name == task_class)
        for customer, share in _fair_shares(wanted, total).items():
            fair[customer] = fair.get(customer, 0.0) + share
    errors = {}
    for customer, share in fair.items():
        got = sum(cost for (_, name), cost in run.got.items() if name == customer)
        errors[customer] = got / share - 1
    return {
        "share_shortfall_worst": round(-min(errors.values()), 4),
        "share_excess_worst": round(max(errors.values()), 4),
    }


def _adaptive() -> AdmissionQueue:
    return AdmissionQueue(ConcurrencyLimit(2000))


def _fixed_fifo() -> None:
    return None


@experiment("admission")
def admission(seed: int) -> dict[str, Any]:
    """Compare admission with none over a range of loads."""
    capacity = _capacity(seed)
    results = {}
    for load in FLAGS.admission_loads:
        rate = float(load) * capacity["requests_s"]
        adaptive = _Market(seed, rate, _adaptive).run()
        results[load] = {
            "admission": _report(adaptive) | _fairness(adaptive),
            "none": _report(_Market(seed, rate, _fixed_fifo).run()),
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
    """Return what the endpoints do when they are never idle and never asked twice."""
    run = _Market(seed, 1.0, _fixed_fifo)
    rates = np.array([kind.share for kind in run.kinds])
    run.rate = 1.0
    low, high = 1.0, 400.0
    for _ in range(9):
        rate = (low + high) / 2
        trial = _Market(seed, rate, _fixed_fifo)
        trial.end = 40.0
        trial.run()
        backlog = sum(engine.queued for engine in trial.engines)
        if backlog > 0.1 * trial.result.offered:
            high = rate
        else:
            low = rate
    tokens = sum(
        share * (kind.prompt + kind.completion)
        for share, kind in zip(rates, run.kinds, strict=True)
    )
    tokens *= float(np.exp(0.4**2 / 2))
    return {"requests_s": round(low, 1), "tokens_s": round(low * tokens)}
