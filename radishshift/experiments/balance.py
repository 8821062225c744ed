"""Load balancing by hosts that choose independently, in virtual time.

One endpoint slows down, and later another one leaves. Hosts learn of loads, cached
prefixes and the departure with a delay.
"""

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
flags.DEFINE_float("balance_skew", 1.0, "Zipf exponent of prefix popularity.")
flags.DEFINE_float(
    "balance_unique_share", 0.2, "Share of prompts with a unique prefix."
)
flags.DEFINE_float("balance_lag_s", 2.0, "Delay of load reports, in seconds.")
flags.DEFINE_float("balance_event_lag_s", 1.5, "Delay of cache events, in seconds.")
flags.DEFINE_float("balance_event_loss", 0.05, "Share of cache events lost.")
flags.DEFINE_float("balance_slow", 2.5, "Factor by which one endpoint slows down.")
flags.DEFINE_list(
    "balance_loads",
    ["0.6", "0.8", "0.95"],
    "Offered loads relative to the remaining capacity.",
)

WARM_UP_S = 10.0
SLOWDOWN_AT_S = 25.0
DEPARTURE_AT_S = 40.0
END_S = 60.0
DISCOVERY_DELAY_S = 2.0
REPORT_INTERVAL_S = 1.0
BASELINES = ("random", "round-robin", "least-outstanding", "shortest-report")
POLICIES = (*BASELINES, "ideal-affinity", "bounded-affinity")
_RNG = np.random.default_rng(0)
_TURN_BY_HOST: dict[str, int] = {}


@balancer("random")
def _random(context: BalancingContext, candidates: list[Candidate]) -> Candidate:
    return candidates[_RNG.integers(len(candidates))]


@balancer("round-robin")
def _round_robin(context: BalancingContext, candidates: list[Candidate]) -> Candidate:
    turn = _TURN_BY_HOST.get(context.host, 0)
    _TURN_BY_HOST[context.host] = turn + 1
    return candidates[turn % len(candidates)]


@balancer("shortest-report")
def _shortest_report(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Choose the shortest reported queue; break ties at random."""
    best = min(candidate.load for candidate in candidates)
    ties = [candidate for candidate in candidates if candidate.load == best]
    return ties[_RNG.integers(len(ties))]


@balancer("ideal-affinity")
def _ideal_affinity(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Choose the endpoint that the prefix hashes to, whatever its load."""
    prefix = context.prefix_digest.to_bytes(8)
    return min(
        candidates,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            prefix + candidate.endpoint.name.encode()
        ),
    )


@dataclass
class _Result:
    first_token_s: list[float] = field(default_factory=list)
    answer_s: list[float] = field(default_factory=list)
    shared_prefix_requests: int = 0
    cache_hits: int = 0
    failures: int = 0
    unfinished: int = 0  # includes failures, which `_summarize` subtracts
    peak_to_mean: list[float] = field(default_factory=list)


class _ReportLoads(EndpointLoads):
    """Loads from endpoint reports alone, for the shortest-report baseline."""

    def candidates(self, endpoints, now, cached=frozenset()):
        for endpoint in endpoints:
            report = self._load(endpoint).report
            count = 0 if report is None else report.running + report.waiting
            yield Candidate(endpoint, 0, 0.0, float(count))


class _Host:
    def __init__(self, run: "_Run", name: str) -> None:
        self.run = run
        self.name = name
        reports_only = run.policy == "shortest-report"
        self.loads = _ReportLoads() if reports_only else EndpointLoads()
        self.loads.host_count = FLAGS.balance_hosts
        self.caches = PrefixCaches()
        self.known_endpoints = list(run.endpoints)

    def send(self, request: "_Request", retries: int = 0) -> None:
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
            run.policy,
            context,
            self.loads.candidates(self.known_endpoints, now, holders),
        )
        self.caches.record_sent(request.prefix, endpoint.name)
        self.loads.record_start(endpoint, now)
        sent_at = now

        def on_first_token(now: float) -> None:
            self.loads.record_first_token(endpoint, now - sent_at, now)
            run.count_first_token(request, job, now)

        def on_done(now: float, ok: bool) -> None:
            self.loads.record_end(endpoint, now, ok)
            if ok:
                run.count_answer(request, now)
            elif retries < 2 and not request.started:
                # No retry once the first token of an answer has arrived.
                self.send(request, retries + 1)
            else:
                run.result.failures += request.measured

        job = FakeJob(
            request.prompt_tokens,
            request.completion_tokens,
            on_first_token,
            on_done,
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
        )
        run.engines[endpoint.name].submit(job)


@dataclass
class _Request:
    arrived_at: float
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    completion_tokens: int
    measured: bool
    started: bool = False


class _Run:
    def __init__(
        self, seed: int, policy: str, rate: float, without_faults: bool = False
    ) -> None:
        global _RNG
        _RNG = np.random.default_rng(seed + 1)
        _TURN_BY_HOST.clear()
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
        self._subscribe_to_caches()
        self.time.every(REPORT_INTERVAL_S, self._send_load_reports)
        if not without_faults:
            self.time.at(SLOWDOWN_AT_S, self._slow_down)
            self.time.at(DEPARTURE_AT_S, self._remove_endpoint)

    def run(self, end: float = END_S) -> _Result:
        self._schedule_next_arrival()
        self.time.run_until(end)
        return self.result

    def _make_prefixes(self) -> None:
        count = FLAGS.balance_prefixes
        popularity = 1.0 / np.arange(1, count + 1) ** FLAGS.balance_skew
        self.popularity = popularity / popularity.sum()
        self.prefix_token_counts = self.rng.integers(400, 1500, count)
        self.prefix_digests = self.rng.integers(1, 2**63, count)

    def _subscribe_to_caches(self) -> None:
        for name, engine in self.engines.items():
            event_numbers = iter(range(1, 10**9))
            engine.on_cache_change = self._cache_event_publisher(name, event_numbers)

    def _cache_event_publisher(
        self, name: str, event_numbers
    ) -> Callable[[int, bool], None]:
        def publish(prefix: int, stored: bool) -> None:
            event_number = next(event_numbers)
            if self.rng.random() < FLAGS.balance_event_loss:
                return
            receives_at = self.time.now + FLAGS.balance_event_lag_s
            for host in self.hosts:
                self.time.at(
                    receives_at,
                    lambda host=host: host.caches.apply_event(
                        name, event_number, prefix, stored
                    ),
                )

        return publish

    def _send_load_reports(self) -> None:
        now = self.time.now
        live_engines = [
            engine for engine in self.engines.values() if not engine.stopped
        ]
        counts = [len(engine.running) + engine.queued for engine in live_engines]
        if now > WARM_UP_S:
            self.result.peak_to_mean.append(
                max(counts) / max(1.0, float(np.mean(counts)))
            )
        for engine in live_engines:
            report = LoadReport(now, len(engine.running), engine.queued)
            for host in self.hosts:
                self.time.at(
                    now + FLAGS.balance_lag_s,
                    lambda host=host, name=engine.name, report=report: (
                        host.loads.record_report(name, report)
                    ),
                )

    def _slow_down(self) -> None:
        """Slow down endpoint e1."""
        self.engines["e1"].slowdown = FLAGS.balance_slow

    def _remove_endpoint(self) -> None:
        """Remove endpoint e2.

        Hosts stop choosing it after the discovery delay; its engine stops after twice
        that delay.
        """

        def remove_from_hosts() -> None:
            for host in self.hosts:
                host.known_endpoints = [
                    e for e in host.known_endpoints if e.name != "e2"
                ]

        self.time.at(DEPARTURE_AT_S + DISCOVERY_DELAY_S, remove_from_hosts)
        self.time.at(DEPARTURE_AT_S + 2 * DISCOVERY_DELAY_S, self.engines["e2"].stop)

    def _schedule_next_arrival(self) -> None:
        gap_s = self.rng.exponential(1 / self.rate)
        self.time.at(self.time.now + gap_s, self._arrive)

    def _arrive(self) -> None:
        now = self.time.now
        unique_tokens = max(20, int(self.rng.lognormal(5.3, 0.5)))
        completion_tokens = max(4, int(self.rng.lognormal(4.2, 0.6)))
        prefix, prefix_tokens = int(self.rng.integers(1, 2**63)), 0
        if self.rng.random() > FLAGS.balance_unique_share:
            index = self.rng.choice(len(self.popularity), p=self.popularity)
            prefix = int(self.prefix_digests[index])
            prefix_tokens = int(self.prefix_token_counts[index])
        measured = WARM_UP_S < now < END_S - 5.0
        request = _Request(
            now,
            prefix,
            prefix_tokens,
            unique_tokens + prefix_tokens,
            completion_tokens,
            measured,
        )
        self.result.unfinished += measured
        self.hosts[self.rng.integers(len(self.hosts))].send(request)
        self._schedule_next_arrival()

    def count_first_token(self, request: _Request, job: FakeJob, now: float) -> None:
        if request.started:
            return
        request.started = True
        if not request.measured:
            return
        self.result.first_token_s.append(now - request.arrived_at)
        if request.prefix_tokens:
            self.result.shared_prefix_requests += 1
            self.result.cache_hits += job.hit

    def count_answer(self, request: _Request, now: float) -> None:
        if request.measured:
            self.result.answer_s.append(now - request.arrived_at)
            self.result.unfinished -= 1


def _summarize(result: _Result) -> dict[str, Any]:
    def quantiles(values: list[float]) -> dict[str, float]:
        at_quantiles = np.quantile(values or [np.inf], [0.5, 0.95, 0.99])
        return {
            name: round(float(value), 3)
            for name, value in zip(("p50", "p95", "p99"), at_quantiles, strict=True)
        }

    return {
        "first_token_s": quantiles(result.first_token_s),
        "whole_answer_s": quantiles(result.answer_s),
        "prefix_hit_share": round(
            result.cache_hits / max(1, result.shared_prefix_requests), 3
        ),
        "failures": result.failures,
        "unfinished": result.unfinished - result.failures,
        "busiest_to_mean_p95": round(float(np.quantile(result.peak_to_mean, 0.95)), 2),
    }


def _capacity(seed: int) -> float:
    """Find the request rate that endpoints sustain without faults, by bisection.

    A rate is too high if more than two requests per endpoint are queued at the end.
    """
    low, high = 5.0, 400.0
    for _ in range(8):
        rate = (low + high) / 2
        run = _Run(seed, "least-outstanding", rate, without_faults=True)
        run.run(25.0)
        backlog = sum(engine.queued for engine in run.engines.values())
        if backlog > 2 * FLAGS.balance_endpoints:
            high = rate
        else:
            low = rate
    return low


@experiment("balance")
def balance(seed: int) -> dict[str, Any]:
    """Compare balancers at several shares of the capacity left after the faults."""
    count = FLAGS.balance_endpoints
    # One endpoint leaves and another one slows down.
    remaining_share = (count - 2 + 1 / FLAGS.balance_slow) / count
    capacity = _capacity(seed) * remaining_share
    loads = {}
    for load in FLAGS.balance_loads:
        rate = capacity * float(load)
        loads[load] = {
            policy: _summarize(_Run(seed, policy, rate).run()) for policy in POLICIES
        }
    return {"capacity_requests_s": round(capacity, 1), "loads": loads}
