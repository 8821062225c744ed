"""Distributed rate limits under demand that is skewed between hosts and shifts.

The policy that divides limits by demand is compared with equal parts per host and
with one central limiter.
"""

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
flags.DEFINE_float("limits_rate", 4.0, "Allowed requests per second and host.")
flags.DEFINE_float("limits_demand", 1.5, "Demand as a multiple of the limit.")
flags.DEFINE_float("limits_skew", 0.7, "Zipf exponent of arrivals by host.")
flags.DEFINE_float("limits_moving", 0.25, "Share of hosts whose arrivals shift.")
flags.DEFINE_integer("limits_peers", 4, "Peers that a host gossips with per second.")
flags.DEFINE_float("limits_loss", 0.02, "Share of heartbeats lost.")

TICK_S = 0.1
ALLOWANCE_INTERVAL_S = 1.0
RENEWAL_INTERVAL_S = 5.0
WARM_UP_S = 15.0
DEMAND_SHIFTS_AT_S = (22.0, 34.0)
REPLACEMENT_AT_S = 28.0
PARTITION_AT_S = 45.0
END_S = 58.0
WINDOW_S = 10.0
TOKENS_PER_REQUEST = 500
MEAN_REQUEST_DURATION_S = 2.0
LIMIT_KINDS = ("requests", "tokens", "concurrency")


def _make_contract(kind: str, hosts: int) -> Contract:
    rate = FLAGS.limits_rate * hosts
    limits = {
        "requests": Limits(rate, 1e9, 10**6),
        "tokens": Limits(1e9, rate * TOKENS_PER_REQUEST, 10**6),
        "concurrency": Limits(1e9, 1e9, int(rate * MEAN_REQUEST_DURATION_S)),
    }[kind]
    return Contract(kind, (), frozenset(), 1.0, limits, {}, "")


class _EqualShares(LimitShares):
    """Baseline that gives each host an equal part of a limit, whatever the demand."""

    def __init__(self, me: Host, hosts: int) -> None:
        super().__init__(me)
        self._host_share = 1 / hosts

    def allowance(self, customer: str, limits: Limits) -> Allowance:
        host_share = self._host_share
        return Allowance(
            limits.requests_per_s * host_share,
            limits.tokens_per_s * host_share,
            limits.concurrency * host_share,
        )


class _Fleet:
    """Hosts of several data centres that gossip by lossy heartbeats."""

    def __init__(self, seed: int, count: int, policy: str) -> None:
        self.rng = np.random.default_rng(seed)
        self.policy = policy
        self.count = count
        data_centre_count = 4 if count > 100 else 3
        self.data_centres = [f"dc{number}" for number in range(data_centre_count)]
        self.hosts = [self._make_host(number, 0) for number in range(count)]
        self.contracts = {kind: _make_contract(kind, count) for kind in LIMIT_KINDS}
        self.limits = {k: contract.limits for k, contract in self.contracts.items()}
        self.central = Limiter()
        self.shares = [self._make_shares(host) for host in self.hosts]
        self.limiters = [Limiter(shares) for shares in self.shares]
        self.platform = MemoryPlatform()
        self.data_centre_shares = {
            name: DataCentreShares(self.platform, name) for name in self.data_centres
        }
        self.partitioned: set[str] = set()
        self.bytes_sent = 0
        self.admitted_counts: dict[str, list[float]] = {
            kind: [] for kind in LIMIT_KINDS
        }
        self.admitted_by_data_centre: dict[str, list[float]] = defaultdict(list)
        self.pending_ends: list[tuple[float, int, int, str, Any, Limiter]] = []
        self.in_flight = dict.fromkeys(LIMIT_KINDS, 0)
        self._request_number = 0
        self.weights = {kind: self._skewed_weights() for kind in LIMIT_KINDS}

    def _make_host(self, number: int, incarnation: int) -> Host:
        data_centre = self.data_centres[number % len(self.data_centres)]
        name = f"{data_centre}-entry-{number}" + (
            f"-{incarnation}" if incarnation else ""
        )
        return Host(name, data_centre, "region", "", incarnation)

    def _make_shares(self, host: Host) -> LimitShares:
        if self.policy == "equal":
            return _EqualShares(host, self.count)
        return LimitShares(host)

    def _skewed_weights(self) -> np.ndarray:
        weights = 1.0 / np.arange(1, self.count + 1) ** FLAGS.limits_skew
        return self.rng.permutation(weights / weights.sum())

    def _shift_demand(self) -> None:
        """Permute the arrival rates of some hosts."""
        shifted = max(2, round(FLAGS.limits_moving * self.count))
        for weights in self.weights.values():
            chosen = self.rng.choice(self.count, shifted, replace=False)
            weights[chosen] = weights[np.roll(chosen, 1)]

    def replace_hosts(self) -> None:
        """Replace a twentieth of the hosts, but at least one, by new incarnations."""
        chosen = self.rng.choice(self.count, max(1, self.count // 20), replace=False)
        for index in chosen:
            self.hosts[index] = self._make_host(int(index), 1)
            self.shares[index] = self._make_shares(self.hosts[index])
            self.limiters[index] = Limiter(self.shares[index])

    def gossip(self, now: float) -> None:
        """Send the limit section of each host to a few peers of its data centre."""
        by_data_centre = defaultdict(list)
        for index, host in enumerate(self.hosts):
            by_data_centre[host.data_centre].append(index)
        for indices in by_data_centre.values():
            count = len(indices)
            offsets = {1, count // 3 or 1, count // 2 or 1}
            for offset in sorted(offsets)[: FLAGS.limits_peers // 2]:
                for position in range(count):
                    sender, receiver = (
                        indices[position],
                        indices[(position + offset) % count],
                    )
                    if sender != receiver:
                        self._send(sender, receiver, now)
                        self._send(receiver, sender, now)

    def _send(self, sender: int, receiver: int, now: float) -> None:
        value = self.shares[sender].section.outgoing(self.hosts[receiver], now)
        if value is None:
            return
        if now > WARM_UP_S:
            self.bytes_sent += len(msgspec.json.encode(value))
        if self.rng.random() >= FLAGS.limits_loss:
            section = self.shares[receiver].section
            section.incoming(self.hosts[sender], value, now)

    def step(self, now: float) -> None:
        """Update the allowances of every host."""
        live = {
            name: [host for host in self.hosts if not self._is_partitioned(name, host)]
            for name in self.data_centres
        }
        for host, shares, limiter in zip(
            self.hosts, self.shares, self.limiters, strict=True
        ):
            demands = limiter.demands(now)
            recent = limiter.recent_demands(now)
            shares.update(demands, recent, self.limits, live[host.data_centre], now)

    def _is_partitioned(self, from_data_centre: str, host: Host) -> bool:
        if from_data_centre == host.data_centre:
            return False
        return (
            from_data_centre in self.partitioned or host.data_centre in self.partitioned
        )

    async def renew(self, now: float) -> None:
        """Let one host per connected data centre renew the share at the platform."""
        for number, name in enumerate(self.data_centres):
            if name in self.partitioned:
                continue
            shares = self.shares[number]
            platform_shares = await self.data_centre_shares[name].renew(
                shares.total_demand(), self.limits, self.data_centres, now
            )
            shares.publish_shares(platform_shares, now)

    def tick(self, now: float) -> None:
        """End the requests that are due, and admit those of one tick.

        Counts requests admitted or, under a limit of concurrency, in flight.
        """
        while self.pending_ends and self.pending_ends[0][0] <= now:
            _, _, index, kind, grant, limiter = heapq.heappop(self.pending_ends)
            limiter.settle(grant, TOKENS_PER_REQUEST)
            self.in_flight[kind] -= 1
        for kind in LIMIT_KINDS:
            rate = FLAGS.limits_demand * FLAGS.limits_rate * self.count
            counts = self.rng.poisson(rate * TICK_S * self.weights[kind])
            admitted_count = 0
            by_data_centre = dict.fromkeys(self.data_centres, 0)
            for index in np.flatnonzero(counts):
                admitted = self._acquire(int(index), kind, int(counts[index]), now)
                admitted_count += admitted
                by_data_centre[self.hosts[index].data_centre] += admitted
            if kind == "concurrency":
                admitted_count = self.in_flight[kind]
            self.admitted_counts[kind].append(admitted_count)
            for name, admitted in by_data_centre.items():
                self.admitted_by_data_centre[f"{kind}/{name}"].append(admitted)

    def _acquire(self, index: int, kind: str, count: int, now: float) -> int:
        limiter = self.limiters[index]
        if self.policy == "central":
            limiter = self.central
        admitted = 0
        for _ in range(count):
            try:
                grant = limiter.acquire(self.contracts[kind], TOKENS_PER_REQUEST, now)
            except LimitError:
                continue
            admitted += 1
            self.in_flight[kind] += 1
            self._request_number += 1
            end = now + float(self.rng.exponential(MEAN_REQUEST_DURATION_S))
            item = (end, self._request_number, index, kind, grant, limiter)
            heapq.heappush(self.pending_ends, item)
        return admitted

    async def run(self) -> None:
        """Simulate shifts of demand, replacements of hosts and a partition."""
        pending_shifts = list(DEMAND_SHIFTS_AT_S)
        replaced = False
        for number in range(int(END_S / TICK_S)):
            now = number * TICK_S
            if pending_shifts and now >= pending_shifts[0]:
                pending_shifts.pop(0)
                self._shift_demand()
            if now >= REPLACEMENT_AT_S and not replaced:
                replaced = True
                self.replace_hosts()
            if now >= PARTITION_AT_S and not self.partitioned:
                self.partitioned = {self.data_centres[-1]}
                self._shift_demand()
            if (
                number % int(ALLOWANCE_INTERVAL_S / TICK_S) == 0
                and self.policy == "shares"
            ):
                self.step(now)
                self.gossip(now)
            if (
                number % int(RENEWAL_INTERVAL_S / TICK_S) == 0
                and self.policy == "shares"
            ):
                await self.renew(now)
            self.tick(now)

    def report(self) -> dict[str, Any]:
        """Return how far admitted requests were above and below the limits."""
        return {
            "connected": self._errors(WARM_UP_S, PARTITION_AT_S),
            "cut_off": self._errors(PARTITION_AT_S, END_S),
            "bytes_per_host_s": round(
                self.bytes_sent / max(1.0, self.count * (END_S - WARM_UP_S)), 1
            ),
        }

    def _errors(self, begin: float, end: float) -> dict[str, float]:
        width = int(WINDOW_S / TICK_S)
        overshoot = []
        unused = []
        for kind in LIMIT_KINDS:
            values = np.array(self.admitted_counts[kind])
            values = values[int(begin / TICK_S) : int(end / TICK_S)]
            if kind == "concurrency":
                limit = self.limits[kind].concurrency
                overshoot.append(values.max() / limit - 1)
                unused.append(1 - values.mean() / limit)
                continue
            limit = FLAGS.limits_rate * self.count * WINDOW_S
            windows = np.convolve(values, np.ones(width), "valid")
            overshoot.append(windows.max() / limit - 1)
            rate = values.sum() / ((end - begin) * FLAGS.limits_rate * self.count)
            unused.append(1 - rate)
        result = {"overshoot": max(overshoot), "unused_under_demand": max(unused)}
        for kind, overshoot_share, unused_share in zip(
            LIMIT_KINDS, overshoot, unused, strict=True
        ):
            result[f"{kind}_over"] = overshoot_share
            result[f"{kind}_unused"] = unused_share
        return {name: round(float(value), 4) for name, value in result.items()}


@experiment("limits")
def limits(seed: int) -> dict[str, Any]:
    """Compare demand-based shares with an equal split and a central limiter."""
    results: dict[str, Any] = {}
    for count in FLAGS.limits_hosts:
        results[count] = {}
        for policy in ("shares", "equal", "central"):
            fleet = _Fleet(seed, int(count), policy)
            asyncio.run(fleet.run())
            results[count][policy] = fleet.report()
    return {"hosts": results}
