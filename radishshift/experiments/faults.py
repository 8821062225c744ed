"""A whole fleet under a seeded schedule of faults, with an audit of its results.

Callers use models, sessions and a booking service at six hosts in three data centres.
Meanwhile hosts are killed, paused and drained, data centres are cut off from each
other, the platform becomes unreachable, endpoints go silent or crash, a version is
withdrawn and poison requests are sent; several faults may overlap. After all faults
have ended, the audit compares the callers' requests and answers with the runs of the
endpoints and with the ledger.
"""

import asyncio
import random
from collections import Counter
from dataclasses import replace
from typing import Any

from absl import flags

from radishshift.bench import experiment
from radishshift.experiments.fault_callers import Audit, Callers
from radishshift.experiments.fault_world import (
    CLOCK,
    DATA_CENTRES,
    TOKENS_PER_ANSWER,
    MemoryHost,
    World,
)
from radishshift.ledger import read_ledger
from radishshift.objects import Kind
from radishshift.virtual_time import run_virtually

__all__ = ["measure_faults"]

FLAGS = flags.FLAGS
flags.DEFINE_float("faults_gap_s", 1.5, "Mean interval between faults, in seconds.")

WITHDRAWN_VERSION = "farm-advice-large.v2"
SETTLE_TIME_S = 90.0
MIN_KILL_INTERVAL_S = 6.0
MAX_PROPAGATION_S = 5.0


class _FaultSchedule:
    """A random schedule of faults.

    The result counts a fault under the name of its method, without the underscore.
    """

    def __init__(self, world: World, audit: Audit, rng: random.Random) -> None:
        self._world = world
        self._audit = audit
        self._rng = rng
        self._last_kill_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Inject faults until the load ends, then wait until all have ended."""
        faults = (
            self._kill_host,
            self._pause_host,
            self._drain_host,
            self._cut_link,
            self._lose_platform,
            self._lose_replies,
            self._silence,
            self._crash_endpoint,
        )
        end = CLOCK.now() + FLAGS.faults_seconds
        withdraw_at = CLOCK.now() + FLAGS.faults_seconds / 3
        while CLOCK.now() < end:
            await asyncio.sleep(self._rng.expovariate(1.0 / FLAGS.faults_gap_s))
            self._start_fault(self._rng.choice(faults))
            if CLOCK.now() >= withdraw_at:
                withdraw_at = float("inf")
                self._start_fault(self._withdraw)
        await asyncio.gather(*self._tasks)

    def _start_fault(self, fault) -> None:
        self._audit.faults[fault.__name__.strip("_")] += 1
        task = asyncio.create_task(fault())
        self._tasks.add(task)

    def _pick_host(self) -> MemoryHost | None:
        hosts = self._world.live_hosts()
        return self._rng.choice(hosts) if len(hosts) > 3 else None

    async def _kill_host(self) -> None:
        host = self._pick_host()
        if host is None or CLOCK.now() < self._last_kill_at + MIN_KILL_INTERVAL_S:
            return
        self._last_kill_at = CLOCK.now()
        await host.kill()
        await asyncio.sleep(2.0)
        await self._world.start_host(host.name)

    async def _drain_host(self) -> None:
        host = self._pick_host()
        if host is None:
            return
        self._audit.cut_by_shutdown += await host.drain()
        await self._world.start_host(host.name)

    async def _pause_host(self) -> None:
        host = self._pick_host()
        if host is None:
            return
        host.paused = True
        host.platform_link.faults.slow_s = 5.0
        self._world.update_links()
        await asyncio.sleep(self._rng.choice([1.0, 4.0, 12.0]))
        host.paused = False
        self._audit.isolated_until[host.name] = CLOCK.now()
        host.platform_link.faults.slow_s = 0.005
        self._world.update_links()

    async def _cut_link(self) -> None:
        cut = frozenset(self._rng.sample(DATA_CENTRES, 2))
        self._world.cuts.add(cut)
        self._world.update_links()
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        self._world.cuts.discard(cut)
        self._world.update_links()

    async def _lose_platform(self) -> None:
        data_centres = self._rng.choice(
            [DATA_CENTRES, DATA_CENTRES[:1], DATA_CENTRES[1:]]
        )
        hosts = [
            host
            for host in self._world.hosts.values()
            if host.data_centre in data_centres
        ]
        for host in hosts:
            host.platform_link.faults.down = True
        await asyncio.sleep(self._rng.uniform(1.0, 8.0))
        for host in hosts:
            host.platform_link.faults.down = not host.live
            self._audit.isolated_until[host.name] = CLOCK.now()

    async def _lose_replies(self) -> None:
        for host in self._world.live_hosts():
            host.platform_link.faults.lost_replies = self._rng.randrange(3)
            host.platform_link.faults.lost_writes = self._rng.randrange(3)
            host.platform_link.faults.conflicts = self._rng.randrange(3)

    async def _silence(self) -> None:
        self._rng.choice(list(self._world.endpoints.values())).silenced_count += 1

    async def _crash_endpoint(self) -> None:
        self._rng.choice(list(self._world.endpoints.values())).crash(3.0)

    async def _withdraw(self) -> None:
        platform = self._world.platform
        item = await platform.get(Kind.ENTRY, WITHDRAWN_VERSION)
        spec = item.spec | {"state": "withdrawn"}
        await platform.update(replace(item, spec=spec))
        self._audit.withdrawn_at = CLOCK.now()


def _count_withdrawn_runs(world: World, audit: Audit) -> int:
    """Count runs of the withdrawn version by hosts that had time to learn of it."""
    count = 0
    for endpoint in world.endpoints.values():
        for run in endpoint.runs:
            isolated_until = audit.isolated_until.get(run.host, 0.0)
            known_at = max(audit.withdrawn_at, isolated_until) + MAX_PROPAGATION_S
            down = world.hosts[run.host].platform_link.faults.down
            count += (
                run.served_name == WITHDRAWN_VERSION and run.at > known_at and not down
            )
    return count


def _count_wrong_answers(audit: Audit) -> dict[str, int]:
    counts = Counter(crossed=0, truncated=0)
    for request in audit.requests:
        if request.outcome != "answered":
            continue
        if request.kind == "book":
            counts["crossed"] += bytes(request.sink.data) != request.name.encode()
            continue
        words = request.sink.words()
        expected = [f"{request.name}/{number} " for number in range(TOKENS_PER_ANSWER)]
        foreign = [word for word in words if word not in expected]
        counts["crossed"] += bool(foreign)
        counts["truncated"] += not request.sink.complete or words != expected
    return dict(counts)


async def _summarize_bills(world: World, audit: Audit) -> dict[str, int]:
    ledger = await read_ledger(world.platform)
    bill_counts = Counter(bill.request_id for bill in ledger.bills.values())
    lost_count = len(world.lost_runs)
    answered = [req.name for req in audit.requests if req.outcome == "answered"]
    return {
        "unbilled": sum(bill_counts[name] == 0 for name in answered),
        "billed_twice": sum(count > 1 for count in bill_counts.values()),
        "duplicate_runs_not_charged": len(ledger.duplicates),
        "bills_alone_at_a_kill": lost_count,
    }


def _count_repeated_calls(world: World) -> int:
    runs = Counter(
        run.request_id
        for endpoint in world.endpoints.values()
        for run in endpoint.runs
        if run.served_name == "booking-desk"
    )
    return sum(count > 1 for count in runs.values())


def _served_share(world: World, audit: Audit) -> float:
    """Return the share answered of the requests that a reachable endpoint could serve.

    Not counted are poison requests, sessions of the withdrawn version, and calls whose
    host or connection broke while they ran, as those may not be run again.
    """
    servable = [
        request
        for request in audit.requests
        if request.servable
        and request.kind != "poison"
        and request.name not in world.uncertain_calls
        and request.outcome != "withdrawn"
    ]
    answered = sum(request.outcome == "answered" for request in servable)
    return round(answered / max(1, len(servable)), 5)


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    world = World(random.Random(rng.random()))
    audit = Audit()
    await world.build()
    await asyncio.sleep(2.0)
    callers = Callers(world, audit, random.Random(rng.random()))
    faults = _FaultSchedule(world, audit, random.Random(rng.random()))
    await asyncio.gather(callers.send_all(), faults.run())
    await asyncio.sleep(SETTLE_TIME_S)
    outcomes = Counter(request.outcome for request in audit.requests)
    answered = outcomes["answered"]
    lost_count = sum(outcomes[name] for name in ("none", "cut", "hung"))
    return {
        "requests": len(audit.requests),
        "answered": answered,
        "refused": len(audit.requests) - answered - lost_count,
        "outcomes": dict(outcomes),
        "calls_left_unsure": len(world.uncertain_calls),
        "faults": dict(audit.faults),
        "doubled": _count_repeated_calls(world),
        "lost_answers": lost_count,
        **_count_wrong_answers(audit),
        **await _summarize_bills(world, audit),
        "false_not_run": audit.false_not_run,
        "withdrawn_runs": _count_withdrawn_runs(world, audit),
        "session_moves": audit.session_moves,
        "cut_by_shutdown": audit.cut_by_shutdown,
        "max_crashes_per_poison": max(world.crashes.values(), default=0),
        "available_share": _served_share(world, audit),
    }


@experiment("faults")
def measure_faults(seed: int) -> dict[str, Any]:
    """Run a fleet under faults and audit its results."""
    return run_virtually(_run(seed))
