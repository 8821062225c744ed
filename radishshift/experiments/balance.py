"""Six hosts choose endpoints apart; one endpoint turns slow and one leaves."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import xxhash
from absl import flags

from radishshift.balance import BalancingContext, balancer, choose
from radishshift.bench import experiment
from radishshift.endpoints import Endpoint
from radishshift.experiments.fake_engines import FakeEngine, FakeJob, VirtualTime
from radishshift.loads import Candidate, EndpointLoads, LoadReport
from radishshift.prefix_caches import PrefixCaches

FLAGS = flags.FLAGS
flags.DEFINE_integer("balance_hosts", 6, "Entry hosts.")
flags.DEFINE_integer("balance_endpoints", 8, "Endpoints.")
flags.DEFINE_integer("balance_prefixes", 150, "Distinct prefixes.")
flags.DEFINE_float("balance_skew", 1.0, "Exponent of the prefixes' popularity.")
flags.DEFINE_float("balance_unique_share", 0.2, "Share of prompts that share none.")
flags.DEFINE_float("balance_lag_s", 2.0, "Lag of load reports.")
flags.DEFINE_float("balance_event_lag_s", 1.5, "Lag of cache events.")
flags.DEFINE_float("balance_event_loss", 0.05, "Share of cache events lost.")
flags.DEFINE_float("balance_slow", 2.5, "Factor on the slow endpoint's steps.")
flags.DEFINE_list("balance_loads", ["0.6", "0.8", "0.95"], "Of what is left.")

WARM_UP_S = 10.0
SLOW_AT = 25.0
LEAVE_AT = 40.0
END = 60.0
LIST_LAG_S = 2.0
REPORT_PERIOD_S = 1.0
BASELINES = ("random", "round-robin", "least-outstanding", "shortest-report")
POLICIES = (*BASELINES, "ideal-affinity", "bounded-affinity")
_RNG = np.random.default_rng(0)
_TURNS: dict[str, int] = {}


@balancer("random")
def _random(context: BalancingContext, candidates: list[Candidate]) -> Candidate:
    return candidates[_RNG.integers(len(candidates))]


@balancer("round-robin")
def _round_robin(context: BalancingContext, candidates: list[Candidate]) -> Candidate:
    turn = _TURNS.get(context.host, 0)
    _TURNS[context.host] = turn + 1
    return candidates[turn % len(candidates)]


@balancer("shortest-report")
def _shortest_report(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Join the shortest queue by the reports alone; ties at random."""
    best = min(candidate.load for candidate in candidates)
    ties = [candidate for candidate in candidates if candidate.load == best]
    return ties[_RNG.integers(len(ties))]


@balancer("ideal-affinity")
def _ideal_affinity(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Take the prefix's own endpoint, however busy it is."""
    prefix = context.prefix_digest.to_bytes(8)
    return min(
        candidates,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            prefix + candidate.endpoint.name.encode()
        ),
    )


@dataclass
class _Result:
    first_s: list[float] = field(default_factory=list)
    whole_s: list[float] = field(default_factory=list)
    shared: int = 0
    hits: int = 0
    failures: int = 0
    unfinished: int = 0
    peaks: list[float] = field(default_factory=list)


class _ReportLoads(EndpointLoads):
    """Loads as the reports have them, for the baseline that knows no more."""

    def candidates(self, endpoints, now, cached=frozenset()):
        for endpoint in endpoints:
            report = self._load(endpoint).report
            count = 0 if report is None else report.running + report.waiting
            yield Candidate(endpoint, 0, 0.0, float(count))


class _Host:
    def __init__(self, run: "_Run", name: str) -> None:
        self.run = run
        self.name = name
        reports_alone = run.policy == "shortest-report"
        self.loads = _ReportLoads() if reports_alone else EndpointLoads()
        self.loads.host_count = FLAGS.balance_hosts
        self.caches = PrefixCaches()
        self.listed = list(run.endpoints)

    def send(self, request: "_Request", tries: int = 0) -> None:
        run = self.run
        now = run.time.now
        context = BalancingContext(
            "advice",
            "mbeya",
            request.prefix,
            now,
            self.name,
            self.caches.seen(request.prefix),
        )
        holders = self.caches.holders(request.prefix)
        endpoint = choose(
            run.policy, context, self.loads.candidates(self.listed, now, holders)
        )
        self.caches.record_sent(request.prefix, endpoint.name)
        self.loads.record_start(endpoint, now)
        sent = now

        def first(now: float) -> None:
            self.loads.record_first_token(endpoint, now - sent, now)
            run.count_first(request, job, now)

        def done(now: float, ok: bool) -> None:
            self.loads.record_end(endpoint, now, ok)
            if ok:
                run.count_whole(request, now)
            elif tries < 2 and not request.started:
                self.send(request, tries + 1)
            else:
                run.result.failures += request.counted

        job = FakeJob(
            request.prompt,
            request.completion,
            first,
            done,
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
        )
        run.engines[endpoint.name].submit(job)


@dataclass
class _Request:
    arrived: float
    prefix: int
    prefix_tokens: int
    prompt: int
    completion: int
    counted: bool
    started: bool = False


class _Run:
    def __init__(self, seed: int, policy: str, rate: float, calm: bool = False) -> None:
        global _RNG
        _RNG = np.random.default_rng(seed + 1)
        _TURNS.clear()
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.policy = policy
        self.rate = rate
        self.result = _Result()
        names = [f"e{number}" for number in range(FLAGS.balance_endpoints)]
        self.endpoints = [
            Endpoint(name, "", "mbeya", frozenset({"advice"}), 32, False)
            for name in names
        ]
        self.engines = {
            name: FakeEngine(self.time, name, kv_tokens=60_000, cache_tokens=24_000)
            for name in names
        }
        for engine in self.engines.values():
            engine.prefill_token_s = 0.0001
        self.hosts = [_Host(self, f"h{n}") for n in range(FLAGS.balance_hosts)]
        self._make_prefixes()
        self._follow_caches()
        self.time.every(REPORT_PERIOD_S, self._report)
        if not calm:
            self.time.at(SLOW_AT, self._turn_slow)
            self.time.at(LEAVE_AT, self._start_leaving)

    def run(self, end: float = END) -> _Result:
        self._next()
        self.time.run_until(end)
        return self.result

    def _make_prefixes(self) -> None:
        count = FLAGS.balance_prefixes
        popularity = 1.0 / np.arange(1, count + 1) ** FLAGS.balance_skew
        self.popularity = popularity / popularity.sum()
        self.prefix_sizes = self.rng.integers(400, 1500, count)
        self.prefix_names = self.rng.integers(1, 2**63, count)

    def _follow_caches(self) -> None:
        for name, engine in self.engines.items():
            numbers = iter(range(1, 10**9))
            engine.on_cache_change = self._teller(name, numbers)

    def _teller(self, name: str, numbers) -> Callable[[int, bool], None]:
        def tell(prefix: int, stored: bool) -> None:
            number = next(numbers)
            if self.rng.random() < FLAGS.balance_event_loss:
                return
            instant = self.time.now + FLAGS.balance_event_lag_s
            for host in self.hosts:
                self.time.at(
                    instant,
                    lambda host=host: host.caches.apply_event(
                        name, number, prefix, stored
                    ),
                )

        return tell

    def _report(self) -> None:
        now = self.time.now
        alive = [engine for engine in self.engines.values() if not engine.stopped]
        counts = [len(engine.running) + engine.queued for engine in alive]
        if now > WARM_UP_S:
            self.result.peaks.append(max(counts) / max(1.0, float(np.mean(counts))))
        for engine in alive:
            report = LoadReport(now, len(engine.running), engine.queued)
            for host in self.hosts:
                self.time.at(
                    now + FLAGS.balance_lag_s,
                    lambda host=host, name=engine.name, report=report: (
                        host.loads.record_report(name, report)
                    ),
                )

    def _turn_slow(self) -> None:
        self.engines["e1"].slowdown = FLAGS.balance_slow

    def _start_leaving(self) -> None:
        def unlist() -> None:
            for host in self.hosts:
                host.listed = [e for e in host.listed if e.name != "e2"]

        self.time.at(LEAVE_AT + LIST_LAG_S, unlist)
        self.time.at(LEAVE_AT + 2 * LIST_LAG_S, self.engines["e2"].stop)

    def _next(self) -> None:
        gap_s = self.rng.exponential(1 / self.rate)
        self.time.at(self.time.now + gap_s, self._arrive)

    def _arrive(self) -> None:
        now = self.time.now
        own = max(20, int(self.rng.lognormal(5.3, 0.5)))
        completion = max(4, int(self.rng.lognormal(4.2, 0.6)))
        prefix, size = int(self.rng.integers(1, 2**63)), 0
        if self.rng.random() > FLAGS.balance_unique_share:
            index = self.rng.choice(len(self.popularity), p=self.popularity)
            prefix = int(self.prefix_names[index])
            size = int(self.prefix_sizes[index])
        counted = WARM_UP_S < now < END - 5.0
        request = _Request(now, prefix, size, own + size, completion, counted)
        self.result.unfinished += counted
        self.hosts[self.rng.integers(len(self.hosts))].send(request)
        self._next()

    def count_first(self, request: _Request, job: FakeJob, now: float) -> None:
        if request.started:
            return
        request.started = True
        if not request.counted:
            return
        self.result.first_s.append(now - request.arrived)
        if request.prefix_tokens:
            self.result.shared += 1
            self.result.hits += job.hit

    def count_whole(self, request: _Request, now: float) -> None:
        if request.counted:
            self.result.whole_s.append(now - request.arrived)
            self.result.unfinished -= 1


def _report(result: _Result) -> dict[str, Any]:
    def quantiles(values: list[float]) -> dict[str, float]:
        found = np.quantile(values or [np.inf], [0.5, 0.95, 0.99])
        return {
            name: round(float(value), 3)
            for name, value in zip(("p50", "p95", "p99"), found, strict=True)
        }

    return {
        "first_token_s": quantiles(result.first_s),
        "whole_answer_s": quantiles(result.whole_s),
        "prefix_hit_share": round(result.hits / max(1, result.shared), 3),
        "failures": result.failures,
        "unfinished": result.unfinished - result.failures,
        "busiest_to_mean_p95": round(float(np.quantile(result.peaks, 0.95)), 2),
    }


def _capacity(seed: int) -> float:
    """Return the requests a second that endpoints bear while all is well."""
    low, high = 5.0, 400.0
    for _ in range(8):
        rate = (low + high) / 2
        run = _Run(seed, "least-outstanding", rate, calm=True)
        run.run(25.0)
        backlog = sum(engine.queued for engine in run.engines.values())
        if backlog > 2 * FLAGS.balance_endpoints:
            high = rate
        else:
            low = rate
    return low


@experiment("balance")
def balance(seed: int) -> dict[str, Any]:
    """Compare balancers at several loads of what is left after the faults."""
    count = FLAGS.balance_endpoints
    left = (count - 2 + 1 / FLAGS.balance_slow) / count
    capacity = _capacity(seed) * left
    loads = {}
    for load in FLAGS.balance_loads:
        rate = capacity * float(load)
        loads[load] = {
            policy: _report(_Run(seed, policy, rate).run()) for policy in POLICIES
        }
    return {"capacity_requests_s": round(capacity, 1), "loads": loads}
