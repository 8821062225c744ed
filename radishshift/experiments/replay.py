"""Replay of a recorded load through hosts that decide independently of each other.

Hosts, engines and gossip run in virtual time. The replay compares the decisions of
`radishshift/decisions/` with baselines for the choice of an endpoint and of a model.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import xxhash
from absl import flags

from radishshift.bench import experiment
from radishshift.decisions.fleet_size import FleetSize
from radishshift.decisions.model_choice import (
    MIN_CONFIDENCE,
    interpolated_time_s,
    next_model,
)
from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.placing import (
    COORDINATED_REMOTE_COST,
    PlacementRequest,
    Placer,
)
from radishshift.decisions.retry_budget import HostRetryBudget, SlackShare
from radishshift.experiments.fake_engines import FakeEngine, FakeJob, VirtualTime
from radishshift.gateway.deployment import Member
from radishshift.gateway.dispatch import TOKENS_PER_PROMPT_UNIT

__all__ = ["LoadRow", "Outcome", "Replay", "enlarge", "read_load"]

FLAGS = flags.FLAGS
flags.DEFINE_string("replay_load", "examples/loads/market-day.jsonl", "Recorded load.")
flags.DEFINE_list("replay_hosts", ["3", "6", "73"], "Numbers of hosts.")
flags.DEFINE_integer("replay_engines", 6, "Number of engines.")
flags.DEFINE_list("replay_speeds", ["1", "2"], "Speed-up factors.")
flags.DEFINE_integer("replay_copies", 1, "Copies of the load, shifted in time.")
flags.DEFINE_integer("replay_centres", 3, "Number of data centres.")
flags.DEFINE_integer("replay_slots", 64, "Requests that an engine runs at once.")
flags.DEFINE_integer("replay_parts", 153, "Number of shared prompt parts.")
flags.DEFINE_float("replay_skew", 0.3, "Zipf exponent of the parts.")

FIRST_EVENT_OBJECTIVE_S = 3.0  # as on the recorded day
GOSSIP_INTERVAL_S = 0.5  # as between real hosts
# Of a large fleet without coordinators a host hears from some hosts only.
SAMPLED_PEERS = 20
SHARED_PROMPT_SHARE = 0.4  # of a prompt's tokens, as on the recorded day
DRAIN_TIME_S = 30.0  # after the last arrival
LATE_WORTH, INADEQUATE_WORTH = 0.3, 0.05  # relative to a good answer in time
CONFIDENCE_NOISE_POINTS = 15.0  # standard deviation of a model's confidence


@dataclass(frozen=True, slots=True)
class Model:
    """A model size with its price, prefill time and ability.

    Attributes
    ----------
    cost : float
        Price of 1,000 generated tokens; prompt tokens cost a quarter.
    prefill_time_ratio : float
        Prefill time per token relative to the largest model's.
    strength : float
        Greatest hardness of a request, from 0 to 1, that it answers well.
    """

    cost: float
    prefill_time_ratio: float
    strength: float


MODELS = {
    "small": Model(0.016, 0.2, 0.55),
    "middle": Model(0.12, 0.6, 0.75),
    "large": Model(0.25, 1.0, 0.95),
}
COSTS = {name: model.cost for name, model in MODELS.items()}
MODEL_NAMES = tuple(MODELS)


class LoadRow(msgspec.Struct, frozen=True):
    """One request of a recorded load."""

    at_s: float
    host: int
    route: int
    prompt_tokens: int
    answer_tokens: int


def read_load(path: str) -> list[LoadRow]:
    """Read a load, one JSON object a line."""
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    return [msgspec.json.decode(line, type=LoadRow) for line in lines]


def enlarge(load: list[LoadRow], copies: int, end_s: float) -> list[LoadRow]:
    """Return a load of several copies, shifted in time, up to an instant."""
    length_s = load[-1].at_s
    rows = [
        msgspec.structs.replace(
            row,
            at_s=(row.at_s + copy * length_s / copies) % length_s,
            host=row.host + 6 * copy,
        )
        for copy in range(copies)
        for row in load
    ]
    return sorted((row for row in rows if row.at_s < end_s), key=lambda row: row.at_s)


@dataclass
class _Request:
    row: LoadRow
    arrived_at: float
    prompt_part: int
    hardness: float
    confidences: dict[str, float]
    model: str = ""
    first_at: float | None = None
    cost: float = 0.0


@dataclass
class Outcome:
    """Results of one replay.

    Attributes
    ----------
    first_s : list of float
        Times to the first event.
    late, inadequate, unserved : int
        Numbers of requests whose first event came after the objective, whose model
        was too weak for them, and that got no event.
    worth, cost : float
        Sums over all requests.
    """

    first_s: list[float] = field(default_factory=list)
    late: int = 0
    inadequate: int = 0
    unserved: int = 0
    worth: float = 0.0
    cost: float = 0.0

    def summary(self, request_count: int) -> dict[str, float]:
        """Return the compared metrics, as means and shares over the requests."""
        return {
            "worth": round(self.worth / request_count, 4),
            "cost": round(self.cost / request_count, 4),
            "late_share": round(self.late / request_count, 4),
            "poor_share": round(self.inadequate / request_count, 4),
            "unserved_share": round(self.unserved / request_count, 4),
            "p99_first_s": round(float(np.quantile(self.first_s or [0.0], 0.99)), 3),
        }


EndpointPolicy = Callable[["_Host", PlacementRequest], Member]
Escalation = Callable[["_Host", _Request, str], str | None]
_ENDPOINT_POLICIES: dict[str, EndpointPolicy] = {}
_CASCADES: dict[str, tuple[str, Escalation]] = {}


def _endpoint_policy(name: str) -> Callable[[EndpointPolicy], EndpointPolicy]:
    """Register a policy that chooses endpoints."""

    def register(func: EndpointPolicy) -> EndpointPolicy:
        _ENDPOINT_POLICIES[name] = func
        return func

    return register


def _cascade(name: str, first: str) -> Callable[[Escalation], Escalation]:
    """Register a policy that escalates from a first model to larger ones."""

    def register(func: Escalation) -> Escalation:
        _CASCADES[name] = (first, func)
        return func

    return register


@_endpoint_policy("placer")
def _use_placer(host: "_Host", placement: PlacementRequest) -> Member:
    return host.placer.choose(host.members, placement, host.run.time.now)


@_endpoint_policy("random")
def _choose_random(host: "_Host", placement: PlacementRequest) -> Member:
    return host.members[host.run.rng.integers(len(host.members))]


@_endpoint_policy("least-own")
def _choose_least_in_flight(host: "_Host", placement: PlacementRequest) -> Member:
    return min(host.members, key=lambda member: host.placer.view(member).in_flight)


@_endpoint_policy("home")
def _choose_by_hash(host: "_Host", placement: PlacementRequest) -> Member:
    """Choose by a hash of model and prompt part, whatever the endpoint's load."""
    return host.members[_hash(placement.affinity) % len(host.members)]


@_cascade("smallest-first", "small")
def _escalate_by_confidence(host: "_Host", req: _Request, model: str) -> str | None:
    remaining_s = req.arrived_at + FIRST_EVENT_OBJECTIVE_S - host.run.time.now
    return next_model(
        MODEL_NAMES,
        model,
        req.confidences[model],
        lambda larger: host.expected_first_event_s(req, larger),
        remaining_s,
    )


@_cascade("fixed-threshold", "small")
def _escalate_to_largest(host: "_Host", req: _Request, model: str) -> str | None:
    """Escalate straight to the largest model, whatever its time."""
    unsure = req.confidences[model] < MIN_CONFIDENCE
    return "large" if unsure and model != "large" else None


@_cascade("always-large", "large")
def _stay_with_large(host: "_Host", req: _Request, model: str) -> str | None:
    return None


@_cascade("always-small", "small")
def _stay_with_small(host: "_Host", req: _Request, model: str) -> str | None:
    return None


@_cascade("oracle", "small")
def _escalate_with_hindsight(host: "_Host", req: _Request, model: str) -> str | None:
    """Escalate once, to the smallest model that answers the request well."""
    if req.hardness <= MODELS[model].strength:
        return None
    able = [name for name in MODEL_NAMES if MODELS[name].strength >= req.hardness]
    return able[0] if able else None


class _Host:
    """A simulated host with its averages and its retry budget.

    Hosts with a coordinator use its placer, others a placer of their own.
    """

    def __init__(self, run: "Replay", number: int, placer: Placer) -> None:
        self.run = run
        self.placer = placer
        self.times = MovingAverages()
        fleet_size = FleetSize()
        fleet_size.observe(run.hosts_count, 0.0)
        self.budget = HostRetryBudget(0.9, 10.0, 52.0, SlackShare(fleet_size, 0.0))
        self.members = [
            Member(name, "advice", "", f"dc-{index % run.centres}", "v1", 64, 1)
            for index, name in enumerate(run.engines)
        ]
        self.data_centre = f"dc-{number % run.centres}"

    def expected_first_event_s(self, req: _Request, model: str) -> float:
        """Return the expected time to a model's first event."""
        mean_s = {
            name: self.times.mean_s((req.row.route, name)) for name in MODEL_NAMES
        }
        known = {name: time_s for name, time_s in mean_s.items() if time_s}
        return interpolated_time_s(model, known, COSTS) * _prompt_units(req)

    def arrive(self, req: _Request) -> None:
        """Receive a request of a caller."""
        self.budget.request_received(self.run.time.now)
        self.send(req, _CASCADES[self.run.cascade][0])

    def send(self, req: _Request, model: str) -> None:
        """Send an attempt; at its first event the cascade may escalate the request."""
        run = self.run
        sent_at = run.time.now
        affinity = f"{model} {req.prompt_part}"
        shared_tokens = int(SHARED_PROMPT_SHARE * req.row.prompt_tokens)
        # As in `gateway/dispatch.py`, hosts weight prompt tokens by the model's price;
        # they don't know `prefill_time_ratio`, which the engines apply.
        prefill_ktokens = COSTS[model] / COSTS["large"] * req.row.prompt_tokens / 1000
        placement = PlacementRequest(
            "advice",
            self.data_centre,
            affinity,
            shared_tokens,
            prefill_ktokens,
            parts=[(affinity, shared_tokens)],
            prompt_tokens=req.row.prompt_tokens,
        )
        if run.coordinated:
            placement = replace(
                placement, remote_cost=COORDINATED_REMOTE_COST, sees_prompts=True
            )
        member = _ENDPOINT_POLICIES[run.place](self, placement)
        view = self.placer.view(member)
        view.attempt_started(prefill_ktokens)
        req.model = model
        req.cost += MODELS[model].cost * req.row.prompt_tokens / 4000

        def on_first_token(now: float) -> None:
            view.prefill_done(prefill_ktokens)
            time_per_unit_s = (now - sent_at) / _prompt_units(req)
            view.record_latency_ratio(
                self.times.observe((req.row.route, model), time_per_unit_s)
            )
            larger = _CASCADES[run.cascade][1](self, req, model)
            if larger is not None and self.budget.try_acquire(now):
                job.cancelled = True
                self.send(req, larger)
                return
            req.first_at = now
            req.cost += MODELS[model].cost * req.row.answer_tokens / 1000

        def on_done(now: float, ok: bool) -> None:
            view.attempt_ended()

        prefill_ratio = MODELS[model].prefill_time_ratio
        job = FakeJob(
            max(1, int(prefill_ratio * req.row.prompt_tokens)),
            req.row.answer_tokens,
            on_first_token,
            on_done,
            prefix=_hash(affinity),
            prefix_tokens=int(prefill_ratio * shared_tokens),
        )
        run.engines[member.name].submit(job)


class Replay:
    """A load replayed with one choice of policies.

    Parameters
    ----------
    load : list of LoadRow
    hosts : int
    engines : int
    speed : float
        Speed-up factor of the load.
    place, cascade : str
        Names of the policies that choose endpoints and models.
    seed : int
    parts : int
        Number of prompt parts that requests share.
    skew : float
        Zipf exponent of the popularity of the parts.
    centres : int
        Number of data centres.
    slots : int
        Requests that an engine runs at once.
    fleet : str
        What hosts know of the load of the others: `complete`, all of it at each round
        of gossip; `sampled`, that of `SAMPLED_PEERS` hosts, scaled up; `coordinated`,
        one host of each data centre places for all.
    """

    def __init__(
        self,
        load: Iterable[LoadRow],
        hosts: int,
        engines: int,
        speed: float,
        place: str = "placer",
        cascade: str = "smallest-first",
        seed: int = 1,
        parts: int = 153,
        skew: float = 0.3,
        centres: int = 3,
        slots: int = 64,
        fleet: str = "complete",
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.place = place
        self.cascade = cascade
        self.hosts_count = hosts
        self.centres = centres
        self._fleet = fleet
        self.coordinated = fleet == "coordinated"
        self._sampling = np.random.default_rng(seed)
        names = [f"e{number}" for number in range(engines)]
        self.engines = {
            name: FakeEngine(self.time, name, slots, 450_000, 450_000) for name in names
        }
        for engine in self.engines.values():
            engine.prefill_token_s = 0.00007  # the largest model's on the recorded day
            engine.base_s = 0.004
            engine.per_answer_s = 0.0001
        deciders = centres if self.coordinated else hosts
        self._placers = [Placer() for _ in range(deciders)]
        self._hosts = [
            _Host(self, number, self._placers[number % deciders])
            for number in range(hosts)
        ]
        popularity = np.arange(1, parts + 1) ** -skew
        popularity /= popularity.sum()
        self._requests = [self._make_request(row, speed, popularity) for row in load]

    def _make_request(
        self, row: LoadRow, speed: float, popularity: np.ndarray
    ) -> _Request:
        hardness = float(self.rng.random())
        confidences = {
            name: 55.0
            + 100 * (model.strength - hardness)
            + CONFIDENCE_NOISE_POINTS * float(self.rng.standard_normal())
            for name, model in MODELS.items()
        }
        prompt_part = int(self.rng.choice(len(popularity), p=popularity))
        return _Request(row, row.at_s / speed, prompt_part, hardness, confidences)

    def _gossip(self) -> None:
        """Tell each placer the load of the others on each engine."""
        for member in self._hosts[0].members:
            views = [placer.view(member) for placer in self._placers]
            loads = np.array([view.load for view in views])
            others = loads.sum() - loads
            if self._fleet == "sampled":
                shape = (len(views), SAMPLED_PEERS)
                heard = self._sampling.integers(len(views), size=shape)
                others = loads[heard].sum(axis=1) * (len(views) - 1) / SAMPLED_PEERS
            for view, others_load in zip(views, others, strict=True):
                view.others_load = float(others_load)

    def run(self) -> Outcome:
        """Replay the whole load and return the outcome."""
        for number, req in enumerate(self._requests):
            # The load was recorded at 6 hosts. With 6 simulated hosts each receives the
            # requests of one recorded host; with more, the requests of a recorded host
            # are spread over several; with 3, each receives those of two.
            host = self._hosts[(req.row.host + 6 * number) % len(self._hosts)]
            self.time.at(req.arrived_at, lambda host=host, req=req: host.arrive(req))
        self.time.every(GOSSIP_INTERVAL_S, self._gossip)
        self.time.run_until(self._requests[-1].arrived_at + DRAIN_TIME_S)
        return self._evaluate()

    def _evaluate(self) -> Outcome:
        outcome = Outcome()
        for req in self._requests:
            outcome.cost += req.cost
            if req.first_at is None:
                outcome.unserved += 1
                continue
            first_event_s = req.first_at - req.arrived_at
            outcome.first_s.append(first_event_s)
            late = first_event_s > FIRST_EVENT_OBJECTIVE_S
            inadequate = req.hardness > MODELS[req.model].strength
            outcome.late += late
            outcome.inadequate += inadequate
            worth = INADEQUATE_WORTH if inadequate else 1.0
            outcome.worth += worth * (LATE_WORTH if late else 1.0)
        return outcome


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _prompt_units(req: _Request) -> float:
    return 1 + req.row.prompt_tokens / TOKENS_PER_PROMPT_UNIT


@experiment("replay")
def replay(seed: int) -> dict[str, Any]:
    """Compare policies that choose endpoints and models on a recorded load."""
    load = read_load(FLAGS.replay_load)
    if FLAGS.replay_copies > 1:
        load = enlarge(load, FLAGS.replay_copies, load[-1].at_s)

    def run_replay(hosts: int, speed: float, **policies: str) -> dict[str, float]:
        simulation = Replay(
            load,
            hosts,
            FLAGS.replay_engines,
            speed,
            seed=seed,
            parts=FLAGS.replay_parts,
            skew=FLAGS.replay_skew,
            centres=FLAGS.replay_centres,
            slots=FLAGS.replay_slots,
            **policies,
        )
        return simulation.run().summary(len(load))

    rows = []
    for speed in map(float, FLAGS.replay_speeds):
        for hosts in map(int, FLAGS.replay_hosts):
            for place in _ENDPOINT_POLICIES:
                metrics = run_replay(hosts, speed, place=place)
                rows.append({"speed": speed, "hosts": hosts, "place": place, **metrics})
            for fleet in ("sampled", "coordinated") if hosts > SAMPLED_PEERS else ():
                metrics = run_replay(hosts, speed, fleet=fleet)
                rows.append({"speed": speed, "hosts": hosts, "fleet": fleet, **metrics})
        for cascade in _CASCADES:
            # 6 is the number of recorded hosts.
            metrics = run_replay(6, speed, cascade=cascade)
            rows.append({"speed": speed, "hosts": 6, "cascade": cascade, **metrics})
    return {"experiment": "replay", "seed": seed, "requests": len(load), "rows": rows}
