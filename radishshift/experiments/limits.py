"""Customers' limits over many hosts, with arrivals that are skewed and move."""

import asyncio
import heapq
from collections import defaultdict
from typing import Any

import msgspec
import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.contracts import Contract, Limits
from radishshift.data_centre_shares import DataCentreShares
from radishshift.errors import LimitError
from radishshift.hosts import Host
from radishshift.limit_shares import Allowance, LimitShares
from radishshift.limits import Limiter
from radishshift.platform import MemoryPlatform

FLAGS = flags.FLAGS
flags.DEFINE_list("limits_hosts", ["6", "48"], "Fleet sizes; 380 takes over a minute.")
flags.DEFINE_float("limits_rate", 4.0, "Requests a second allowed for each host.")
flags.DEFINE_float("limits_demand", 1.5, "Demand over the limit.")
flags.DEFINE_float("limits_skew", 0.7, "Exponent of the hosts' shares of arrivals.")
flags.DEFINE_float("limits_moving", 0.25, "Share of hosts whose arrivals move.")
flags.DEFINE_integer("limits_peers", 4, "Peers that a host exchanges with a second.")
flags.DEFINE_float("limits_loss", 0.02, "Share of heartbeats lost.")

TICK_S = 0.1
STEP_S = 1.0
RENEW_S = 5.0
WARM_UP_S = 15.0
MOVE_AT = (22.0, 34.0)
REPLACE_AT = 28.0
CUT_AT = 45.0
END_S = 58.0
WINDOW_S = 10.0
TOKENS = 500
HELD_S = 2.0
KINDS = ("requests", "tokens", "concurrency")


def _contract(kind: str, hosts: int) -> Contract:
    rate = FLAGS.limits_rate * hosts
    limits = {
        "requests": Limits(rate, 1e9, 10**6),
        "tokens": Limits(1e9, rate * TOKENS, 10**6),
        "concurrency": Limits(1e9, 1e9, int(rate * HELD_S)),
    }[kind]
    return Contract(kind, (), frozenset(), 1.0, limits, {}, "")


class _EqualShares(LimitShares):
    """Each host holds an equal part whatever the demand: the baseline."""

    def __init__(self, me: Host, hosts: int) -> None:
        super().__init__(me)
        self._part = 1 / hosts

    def allowance(self, customer: str, limits: Limits) -> Allowance:
        part = self._part
        return Allowance(
            limits.requests_per_s * part,
            limits.tokens_per_s * part,
            limits.concurrency * part,
        )


class _Fleet:
    """Hosts of several data centres, joined by lossy heartbeats."""

    def __init__(self, seed: int, count: int, policy: str) -> None:
        self.rng = np.random.default_rng(seed)
        self.policy = policy
        self.count = count
        centres = 4 if count > 100 else 3
        self.centres = [f"dc{number}" for number in range(centres)]
        self.hosts = [self._host(number, 0) for number in range(count)]
        self.contracts = {kind: _contract(kind, count) for kind in KINDS}
        self.limits = {k: contract.limits for k, contract in self.contracts.items()}
        self.central = Limiter()
        self.shares = [self._make_shares(host) for host in self.hosts]
        self.limiters = [Limiter(shares) for shares in self.shares]
        self.platform = MemoryPlatform()
        self.renewers = {
            name: DataCentreShares(self.platform, name) for name in self.centres
        }
        self.cut: set[str] = set()
        self.bytes_sent = 0
        self.granted: dict[str, list[float]] = {kind: [] for kind in KINDS}
        self.granted_by_centre: dict[str, list[float]] = defaultdict(list)
        self.ends: list[tuple[float, int, int, str, Any, Limiter]] = []
        self.running = dict.fromkeys(KINDS, 0)
        self._number = 0
        self.weights = {kind: self._skewed() for kind in KINDS}

    def _host(self, number: int, incarnation: int) -> Host:
        centre = self.centres[number % len(self.centres)]
        name = f"{centre}-entry-{number}" + (f"-{incarnation}" if incarnation else "")
        return Host(name, centre, "region", "", incarnation)

    def _make_shares(self, host: Host) -> LimitShares:
        if self.policy == "equal":
            return _EqualShares(host, self.count)
        return LimitShares(host)

    def _skewed(self) -> np.ndarray:
        weights = 1.0 / np.arange(1, self.count + 1) ** FLAGS.limits_skew
        return self.rng.permutation(weights / weights.sum())

    def _move(self) -> None:
        """Let some hosts swap their parts of the arrivals."""
        moving = max(2, round(FLAGS.limits_moving * self.count))
        for weights in self.weights.values():
            chosen = self.rng.choice(self.count, moving, replace=False)
            weights[chosen] = weights[np.roll(chosen, 1)]

    def replace_some(self) -> None:
        """Replace a twentieth of the hosts, one at least."""
        chosen = self.rng.choice(self.count, max(1, self.count // 20), replace=False)
        for index in chosen:
            self.hosts[index] = self._host(int(index), 1)
            self.shares[index] = self._make_shares(self.hosts[index])
            self.limiters[index] = Limiter(self.shares[index])

    def exchange(self, now: float) -> None:
        """Let each host pass its section to a few peers of its data centre."""
        by_centre = defaultdict(list)
        for index, host in enumerate(self.hosts):
            by_centre[host.data_centre].append(index)
        for indices in by_centre.values():
            count = len(indices)
            steps = {1, count // 3 or 1, count // 2 or 1}
            for step in sorted(steps)[: FLAGS.limits_peers // 2]:
                for place in range(count):
                    one, other = indices[place], indices[(place + step) % count]
                    if one != other:
                        self._send(one, other, now)
                        self._send(other, one, now)

    def _send(self, index: int, other: int, now: float) -> None:
        value = self.shares[index].section.outgoing(self.hosts[other], now)
        if value is None:
            return
        if now > WARM_UP_S:
            self.bytes_sent += len(msgspec.json.encode(value))
        if self.rng.random() >= FLAGS.limits_loss:
            section = self.shares[other].section
            section.incoming(self.hosts[index], value, now)

    def step(self, now: float) -> None:
        """Work out the allowances of every host."""
        live = {
            name: [host for host in self.hosts if not self._apart(name, host)]
            for name in self.centres
        }
        for host, shares, limiter in zip(
            self.hosts, self.shares, self.limiters, strict=True
        ):
            demands = limiter.demands(now)
            recent = limiter.recent_demands(now)
            shares.step(demands, recent, self.limits, live[host.data_centre], now)

    def _apart(self, centre: str, host: Host) -> bool:
        if centre == host.data_centre:
            return False
        return centre in self.cut or host.data_centre in self.cut

    async def renew(self, now: float) -> None:
        """Let one host of each data centre renew its share at the platform."""
        for number, name in enumerate(self.centres):
            if name in self.cut:
                continue
            shares = self.shares[number]
            held = await self.renewers[name].renew(
                shares.total_demand(), self.limits, self.centres, now
            )
            shares.publish_shares(held, now)

    def tick(self, now: float) -> None:
        """Let a tenth of a second's requests come."""
        while self.ends and self.ends[0][0] <= now:
            _, _, index, kind, grant, limiter = heapq.heappop(self.ends)
            limiter.settle(grant, TOKENS)
            self.running[kind] -= 1
        for kind in KINDS:
            rate = FLAGS.limits_demand * FLAGS.limits_rate * self.count
            counts = self.rng.poisson(rate * TICK_S * self.weights[kind])
            granted = 0
            by_centre = dict.fromkeys(self.centres, 0)
            for index in np.flatnonzero(counts):
                taken = self._ask(int(index), kind, int(counts[index]), now)
                granted += taken
                by_centre[self.hosts[index].data_centre] += taken
            if kind == "concurrency":
                granted = self.running[kind]
            self.granted[kind].append(granted)
            for name, taken in by_centre.items():
                self.granted_by_centre[f"{kind}/{name}"].append(taken)

    def _ask(self, index: int, kind: str, count: int, now: float) -> int:
        limiter = self.limiters[index]
        if self.policy == "central":
            limiter = self.central
        taken = 0
        for _ in range(count):
            try:
                grant = limiter.acquire(self.contracts[kind], TOKENS, now)
            except LimitError:
                continue
            taken += 1
            self.running[kind] += 1
            self._number += 1
            end = now + float(self.rng.exponential(HELD_S))
            item = (end, self._number, index, kind, grant, limiter)
            heapq.heappush(self.ends, item)
        return taken

    async def run(self) -> None:
        """Run through moves, replacements and a cut."""
        moves = list(MOVE_AT)
        replaced = False
        for number in range(int(END_S / TICK_S)):
            now = number * TICK_S
            if moves and now >= moves[0]:
                moves.pop(0)
                self._move()
            if now >= REPLACE_AT and not replaced:
                replaced = True
                self.replace_some()
            if now >= CUT_AT and not self.cut:
                self.cut = {self.centres[-1]}
                self._move()
            if number % int(STEP_S / TICK_S) == 0 and self.policy == "shares":
                self.step(now)
                self.exchange(now)
            if number % int(RENEW_S / TICK_S) == 0 and self.policy == "shares":
                await self.renew(now)
            self.tick(now)

    def report(self) -> dict[str, Any]:
        """Return how far grants were over and under the limits."""
        return {
            "connected": self._errors(WARM_UP_S, CUT_AT),
            "cut_off": self._errors(CUT_AT, END_S),
            "bytes_per_host_s": round(
                self.bytes_sent / max(1.0, self.count * (END_S - WARM_UP_S)), 1
            ),
        }

    def _errors(self, begin: float, end: float) -> dict[str, float]:
        width = int(WINDOW_S / TICK_S)
        over = []
        unused = []
        for kind in KINDS:
            values = np.array(self.granted[kind])
            values = values[int(begin / TICK_S) : int(end / TICK_S)]
            if kind == "concurrency":
                whole = self.limits[kind].concurrency
                over.append(values.max() / whole - 1)
                unused.append(1 - values.mean() / whole)
                continue
            whole = FLAGS.limits_rate * self.count * WINDOW_S
            windows = np.convolve(values, np.ones(width), "valid")
            over.append(windows.max() / whole - 1)
            rate = values.sum() / ((end - begin) * FLAGS.limits_rate * self.count)
            unused.append(1 - rate)
        result = {"overshoot": max(over), "unused_under_demand": max(unused)}
        for kind, one, other in zip(KINDS, over, unused, strict=True):
            result[f"{kind}_over"] = one
            result[f"{kind}_unused"] = other
        return {name: round(float(value), 4) for name, value in result.items()}


@experiment("limits")
def limits(seed: int) -> dict[str, Any]:
    """Compare shares that follow demand with an equal split and one counter."""
    results: dict[str, Any] = {}
    for count in FLAGS.limits_hosts:
        results[count] = {}
        for policy in ("shares", "equal", "central"):
            fleet = _Fleet(seed, int(count), policy)
            asyncio.run(fleet.run())
            results[count][policy] = fleet.report()
    return {"hosts": results}
