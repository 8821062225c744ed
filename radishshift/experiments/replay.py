"""A recorded load played again through the decisions of hosts that decide apart.

Hosts, engines and notes between hosts run in virtual time. The decisions are those of
`radishshift/decisions/`; beside them stand baselines for the choice of an endpoint and
for that of a model.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import xxhash
from absl import flags

from radishshift.bench import experiment
from radishshift.decisions.model_choice import (
    MIN_CONFIDENCE,
    interpolated_time_s,
    next_model,
)
from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.placing import EndpointView, PlacementRequest, Placer
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.experiments.fake_engines import FakeEngine, FakeJob, VirtualTime
from radishshift.gateway.deployment import Member
from radishshift.gateway.dispatch import TOKENS_PER_PROMPT_UNIT

__all__ = ["LoadRow", "Outcome", "Replay", "read_load"]

FLAGS = flags.FLAGS
flags.DEFINE_string("replay_load", "examples/loads/market-day.jsonl", "Recorded load.")
flags.DEFINE_list("replay_hosts", ["3", "6", "73"], "Hosts that decide apart.")
flags.DEFINE_integer("replay_engines", 6, "Engines.")
flags.DEFINE_list("replay_speeds", ["1", "2"], "Factors on the pace of the load.")
flags.DEFINE_integer("replay_parts", 153, "Parts of prompts that requests share.")
flags.DEFINE_float("replay_skew", 0.3, "Exponent of their popularity.")

OBJECTIVE_S = 3.0  # to the first event, as on the recorded day
NOTES_EVERY_S = 0.5  # as hosts exchange them
SHARED = 0.4  # of a prompt is shared with others, as on the recorded day
DRAIN_S = 30.0  # after the last arrival
LATE_WORTH, POOR_WORTH = 0.3, 0.05  # of a request that is late, or poorly answered
CONFIDENCE_NOISE = 15.0  # points by which a model's opinion of its answer is off


@dataclass(frozen=True, slots=True)
class Model:
    """A size of model: its price, its time for a token read, what it can answer.

    Attributes
    ----------
    cost : float
        For 1,000 tokens generated; tokens read count a quarter.
    read_share : float
        Time to read a token against the largest model's.
    strength : float
        Hardest request that it answers well, of 1.
    """

    cost: float
    read_share: float
    strength: float


MODELS = {
    "small": Model(0.016, 0.2, 0.55),
    "middle": Model(0.12, 0.6, 0.75),
    "large": Model(0.25, 1.0, 0.95),
}
COSTS = {name: model.cost for name, model in MODELS.items()}
NAMES = tuple(MODELS)


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


@dataclass
class _Request:
    row: LoadRow
    came: float
    part: int
    hardness: float
    confidences: dict[str, float]
    model: str = ""
    first_at: float | None = None
    cost: float = 0.0


@dataclass
class Outcome:
    """What came of one way of deciding.

    Attributes
    ----------
    late, poor, unserved : int
        Requests whose first event came after the objective, whose model could not
        answer them, and that got none.
    """

    first_s: list[float] = field(default_factory=list)
    late: int = 0
    poor: int = 0
    unserved: int = 0
    worth: float = 0.0
    cost: float = 0.0

    def summary(self, requests: int) -> dict[str, float]:
        """Return the figures that are compared, by request."""
        return {
            "worth": round(self.worth / requests, 4),
            "cost": round(self.cost / requests, 4),
            "late_share": round(self.late / requests, 4),
            "poor_share": round(self.poor / requests, 4),
            "unserved_share": round(self.unserved / requests, 4),
            "p99_first_s": round(float(np.quantile(self.first_s or [0.0], 0.99)), 3),
        }


Place = Callable[["_Host", PlacementRequest], Member]
Escalate = Callable[["_Host", _Request, str], str | None]
_PLACES: dict[str, Place] = {}
_CASCADES: dict[str, tuple[str, Escalate]] = {}


def _place(name: str) -> Callable[[Place], Place]:
    """Register a way to choose endpoints."""

    def register(func: Place) -> Place:
        _PLACES[name] = func
        return func

    return register


def _cascade(name: str, first: str) -> Callable[[Escalate], Escalate]:
    """Register a way to choose models, with the one that is asked first."""

    def register(func: Escalate) -> Escalate:
        _CASCADES[name] = (first, func)
        return func

    return register


@_place("placer")
def _by_placer(host: "_Host", question: PlacementRequest) -> Member:
    return host.placer.choose(host.members, question, host.run.time.now)


@_place("random")
def _at_random(host: "_Host", question: PlacementRequest) -> Member:
    return host.members[host.run.rng.integers(len(host.members))]


@_place("least-own")
def _least_own(host: "_Host", question: PlacementRequest) -> Member:
    return min(host.members, key=lambda member: host.placer.view(member).in_flight)


@_place("home")
def _at_home(host: "_Host", question: PlacementRequest) -> Member:
    """Take the part's own endpoint, however busy it is."""
    return host.members[_number(question.affinity) % len(host.members)]


@_cascade("smallest-first", "small")
def _by_choice(host: "_Host", req: _Request, model: str) -> str | None:
    left_s = req.came + OBJECTIVE_S - host.run.time.now
    return next_model(
        NAMES,
        model,
        req.confidences[model],
        lambda larger: host.expected_s(req, larger),
        left_s,
    )


@_cascade("fixed-threshold", "small")
def _fixed(host: "_Host", req: _Request, model: str) -> str | None:
    """Go on to the largest model, whatever its time."""
    poor = req.confidences[model] < MIN_CONFIDENCE
    return "large" if poor and model != "large" else None


@_cascade("always-large", "large")
def _large(host: "_Host", req: _Request, model: str) -> str | None:
    return None


@_cascade("always-small", "small")
def _small(host: "_Host", req: _Request, model: str) -> str | None:
    return None


@_cascade("oracle", "small")
def _oracle(host: "_Host", req: _Request, model: str) -> str | None:
    """Go on, once, to the least model that answers the request well."""
    if req.hardness <= MODELS[model].strength:
        return None
    able = [name for name in NAMES if MODELS[name].strength >= req.hardness]
    return able[0] if able else None


class _Host:
    """One host: what it decides by, and what it knows of the others."""

    def __init__(self, run: "Replay", number: int) -> None:
        self.run = run
        self.placer = Placer()
        self.times = MovingAverages()
        self.budget = HostRetryBudget(0.9, 10.0, 52.0)
        self.budget.hosts = run.hosts_count
        self.members = [
            Member(name, "advice", "", f"dc-{index % 3}", "v1", 64, 1)
            for index, name in enumerate(run.engines)
        ]
        self.data_centre = f"dc-{number % 3}"

    def expected_s(self, req: _Request, model: str) -> float:
        """Return how long a model is thought to take to its first event."""
        mean_s = {name: self.times.mean_s((req.row.route, name)) for name in NAMES}
        known = {name: time_s for name, time_s in mean_s.items() if time_s}
        return interpolated_time_s(model, known, COSTS) * _units(req)

    def arrive(self, req: _Request) -> None:
        """Take a caller's request."""
        self.budget.request_received(self.run.time.now)
        self.send(req, _CASCADES[self.run.cascade][0])

    def send(self, req: _Request, model: str) -> None:
        """Send one attempt, and a next one where its answer is poor."""
        run = self.run
        sent = run.time.now
        affinity = f"{model} {req.part}"
        shared = int(SHARED * req.row.prompt_tokens)
        prefill_ktokens = COSTS[model] / COSTS["large"] * req.row.prompt_tokens / 1000
        question = PlacementRequest(
            "advice", self.data_centre, affinity, shared, prefill_ktokens
        )
        member = _PLACES[run.place](self, question)
        view = self.placer.view(member)
        view.attempt_started(prefill_ktokens)
        req.model = model
        req.cost += MODELS[model].cost * req.row.prompt_tokens / 4000

        def first(now: float) -> None:
            view.prefill_done(prefill_ktokens)
            took_s = (now - sent) / _units(req)
            view.record_latency_ratio(self.times.ratio((req.row.route, model), took_s))
            larger = _CASCADES[run.cascade][1](self, req, model)
            if larger is not None and self.budget.try_acquire(now):
                job.cancelled = True
                self.send(req, larger)
                return
            req.first_at = now
            req.cost += MODELS[model].cost * req.row.answer_tokens / 1000

        def done(now: float, ok: bool) -> None:
            view.attempt_ended()

        share = MODELS[model].read_share
        job = FakeJob(
            max(1, int(share * req.row.prompt_tokens)),
            req.row.answer_tokens,
            first,
            done,
            prefix=_number(affinity),
            prefix_tokens=int(share * shared),
        )
        run.engines[member.name].submit(job)


class Replay:
    """A load played through hosts that decide in one way.

    Parameters
    ----------
    load : list of LoadRow
    hosts : int
    engines : int
    speed : float
        Factor on the pace of the load.
    place, cascade : str
        Names of the ways to choose endpoints and models.
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
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.time = VirtualTime()
        self.place = place
        self.cascade = cascade
        self.hosts_count = hosts
        names = [f"e{number}" for number in range(engines)]
        self.engines = {
            name: FakeEngine(self.time, name, 64, 450_000, 450_000) for name in names
        }
        for engine in self.engines.values():
            engine.prefill_token_s = 0.00007  # the largest model's on the recorded day
            engine.base_s = 0.004
            engine.per_answer_s = 0.0001
        self._hosts = [_Host(self, number) for number in range(hosts)]
        popularity = np.arange(1, parts + 1) ** -skew
        popularity /= popularity.sum()
        self._requests = [self._request(row, speed, popularity) for row in load]

    def _request(self, row: LoadRow, speed: float, popularity: np.ndarray) -> _Request:
        hardness = float(self.rng.random())
        opinions = {
            name: 55.0
            + 100 * (model.strength - hardness)
            + CONFIDENCE_NOISE * float(self.rng.standard_normal())
            for name, model in MODELS.items()
        }
        part = int(self.rng.choice(len(popularity), p=popularity))
        return _Request(row, row.at_s / speed, part, hardness, opinions)

    def _tell(self) -> None:
        """Let each host know what the others have in flight."""
        for name in self.engines:
            total = sum(self._view(host, name).load for host in self._hosts)
            for host in self._hosts:
                view = self._view(host, name)
                view.others_load = total - view.load

    def _view(self, host: _Host, name: str) -> EndpointView:
        return host.placer.view(host.members[list(self.engines).index(name)])

    def run(self) -> Outcome:
        """Play the load to its end."""
        for number, req in enumerate(self._requests):
            # A recorded host stands for several where more are played.
            host = self._hosts[(req.row.host + 6 * number) % len(self._hosts)]
            self.time.at(req.came, lambda host=host, req=req: host.arrive(req))
        self.time.every(NOTES_EVERY_S, self._tell)
        self.time.run_until(self._requests[-1].came + DRAIN_S)
        return self._judge()

    def _judge(self) -> Outcome:
        outcome = Outcome()
        for req in self._requests:
            outcome.cost += req.cost
            if req.first_at is None:
                outcome.unserved += 1
                continue
            took_s = req.first_at - req.came
            outcome.first_s.append(took_s)
            late = took_s > OBJECTIVE_S
            poor = req.hardness > MODELS[req.model].strength
            outcome.late += late
            outcome.poor += poor
            worth = POOR_WORTH if poor else 1.0
            outcome.worth += worth * (LATE_WORTH if late else 1.0)
        return outcome


def _number(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _units(req: _Request) -> float:
    return 1 + req.row.prompt_tokens / TOKENS_PER_PROMPT_UNIT


@experiment("replay")
def replay(seed: int) -> dict[str, Any]:
    """Compare ways to choose endpoints and models over a recorded load."""
    load = read_load(FLAGS.replay_load)

    def play(hosts: int, speed: float, **ways: str) -> dict[str, float]:
        run = Replay(
            load,
            hosts,
            FLAGS.replay_engines,
            speed,
            seed=seed,
            parts=FLAGS.replay_parts,
            skew=FLAGS.replay_skew,
            **ways,
        )
        return run.run().summary(len(load))

    rows = []
    for speed in map(float, FLAGS.replay_speeds):
        for hosts in map(int, FLAGS.replay_hosts):
            for place in _PLACES:
                found = play(hosts, speed, place=place)
                rows.append({"speed": speed, "hosts": hosts, "place": place, **found})
        for cascade in _CASCADES:
            found = play(6, speed, cascade=cascade)
            rows.append({"speed": speed, "hosts": 6, "cascade": cascade, **found})
    return {"experiment": "replay", "seed": seed, "requests": len(load), "rows": rows}
