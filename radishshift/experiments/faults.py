"""The whole fleet under a seeded schedule of faults, and an audit of what it did.

Callers ask models, keep sessions and book machines at six hosts of three data
centres. Meanwhile hosts are killed, paused and drained, data centres cut, the
platform taken away, endpoints silenced and crashed, a version withdrawn, and poison
requests sent, several at once. Then all heals and settles, and the audit compares
what callers sent and got, what endpoints ran, and the ledger.
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
    TOKENS,
    MemoryHost,
    World,
)
from radishshift.ledger import read_ledger
from radishshift.objects import Kind
from radishshift.virtual_time import run_virtually

__all__ = ["measure_faults"]

FLAGS = flags.FLAGS
flags.DEFINE_float("faults_gap_s", 1.5, "Mean time between two faults, in seconds.")

WITHDRAWN = "farm-advice-large.v2"
SETTLE_S = 90.0
KILL_GAP_S = 6.0
IN_FORCE_S = 5.0


class _Faults:
    """A schedule of faults from a seed."""

    def __init__(self, world: World, audit: Audit, rng: random.Random) -> None:
        self._world = world
        self._audit = audit
        self._rng = rng
        self._last_kill_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Cause faults until the load ends, then heal everything."""
        kinds = (
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
            self._start(self._rng.choice(kinds))
            if CLOCK.now() >= withdraw_at:
                withdraw_at = float("inf")
                self._start(self._withdraw)
        await asyncio.gather(*self._tasks)

    def _start(self, kind) -> None:
        self._audit.faults[kind.__name__.strip("_")] += 1
        task = asyncio.create_task(kind())
        self._tasks.add(task)

    def _pick_host(self) -> MemoryHost | None:
        hosts = self._world.live_hosts()
        return self._rng.choice(hosts) if len(hosts) > 3 else None

    async def _kill_host(self) -> None:
        host = self._pick_host()
        if host is None or CLOCK.now() < self._last_kill_at + KILL_GAP_S:
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
        host.way.faults.slow_s = 5.0
        self._world.join_links()
        await asyncio.sleep(self._rng.choice([1.0, 4.0, 12.0]))
        host.paused = False
        self._audit.away_until[host.name] = CLOCK.now()
        host.way.faults.slow_s = 0.005
        self._world.join_links()

    async def _cut_link(self) -> None:
        cut = frozenset(self._rng.sample(DATA_CENTRES, 2))
        self._world.cuts.add(cut)
        self._world.join_links()
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        self._world.cuts.discard(cut)
        self._world.join_links()

    async def _lose_platform(self) -> None:
        places = self._rng.choice([DATA_CENTRES, DATA_CENTRES[:1], DATA_CENTRES[1:]])
        hosts = [host for host in self._world.hosts.values() if host.place in places]
        for host in hosts:
            host.way.faults.down = True
        await asyncio.sleep(self._rng.uniform(1.0, 8.0))
        for host in hosts:
            host.way.faults.down = not host.live
            self._audit.away_until[host.name] = CLOCK.now()

    async def _lose_replies(self) -> None:
        for host in self._world.live_hosts():
            host.way.faults.lost_replies = self._rng.randrange(3)
            host.way.faults.lost_writes = self._rng.randrange(3)
            host.way.faults.conflicts = self._rng.randrange(3)

    async def _silence(self) -> None:
        self._rng.choice(list(self._world.endpoints.values())).links += 1

    async def _crash_endpoint(self) -> None:
        self._rng.choice(list(self._world.endpoints.values())).crash(3.0)

    async def _withdraw(self) -> None:
        platform = self._world.platform
        item = await platform.get(Kind.ENTRY, WITHDRAWN)
        spec = item.spec | {"state": "withdrawn"}
        await platform.update(replace(item, spec=spec))
        self._audit.withdrawn_at = CLOCK.now()


def _withdrawn_runs(world: World, audit: Audit) -> int:
    """Count runs of the withdrawn version by hosts that could know of it."""
    count = 0
    for endpoint in world.endpoints.values():
        for run in endpoint.runs:
            away_until = audit.away_until.get(run.host, 0.0)
            known_at = max(audit.withdrawn_at, away_until) + IN_FORCE_S
            down = world.hosts[run.host].way.faults.down
            count += run.served == WITHDRAWN and run.at > known_at and not down
    return count


def _check_answers(audit: Audit) -> dict[str, int]:
    counts = Counter(crossed=0, truncated=0)
    for request in audit.requests:
        if request.outcome != "answered":
            continue
        if request.kind == "book":
            counts["crossed"] += bytes(request.sink.data) != request.name.encode()
            continue
        words = request.sink.words()
        expected = [f"{request.name}/{number} " for number in range(TOKENS)]
        foreign = [word for word in words if word not in expected]
        counts["crossed"] += bool(foreign)
        counts["truncated"] += not request.sink.whole or words != expected
    return dict(counts)


async def _check_bills(world: World, audit: Audit) -> dict[str, int]:
    ledger = await read_ledger(world.platform)
    charged = Counter(bill.request_id for bill in ledger.bills.values())
    lost = len(world.runs_lost)
    answered = [req.name for req in audit.requests if req.outcome == "answered"]
    return {
        "unbilled": sum(charged[name] == 0 for name in answered),
        "billed_twice": sum(count > 1 for count in charged.values()),
        "duplicate_runs_not_charged": len(ledger.duplicates),
        "bills_alone_at_a_kill": lost,
    }


def _doubled(world: World) -> int:
    runs = Counter(
        run.request_id
        for endpoint in world.endpoints.values()
        for run in endpoint.runs
        if run.served == "booking-desk"
    )
    return sum(count > 1 for count in runs.values())


def _served_share(world: World, audit: Audit) -> float:
    """Return the share served of what some endpoint in reach could have served.

    Left out are poison, sessions of the withdrawn version, and calls whose host or
    connection broke while they ran: those may not be run again.
    """
    servable = [
        request
        for request in audit.requests
        if request.servable
        and request.kind != "poison"
        and request.name not in world.unsure_calls
        and request.outcome != "withdrawn"
    ]
    served = sum(request.outcome == "answered" for request in servable)
    return round(served / max(1, len(servable)), 5)


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    world = World(random.Random(rng.random()))
    audit = Audit()
    await world.build()
    await asyncio.sleep(2.0)
    callers = Callers(world, audit, random.Random(rng.random()))
    faults = _Faults(world, audit, random.Random(rng.random()))
    await asyncio.gather(callers.send_all(), faults.run())
    await asyncio.sleep(SETTLE_S)
    outcomes = Counter(request.outcome for request in audit.requests)
    answered = outcomes["answered"]
    lost = sum(outcomes[name] for name in ("none", "cut", "hung"))
    return {
        "requests": len(audit.requests),
        "answered": answered,
        "refused": len(audit.requests) - answered - lost,
        "outcomes": dict(outcomes),
        "calls_left_unsure": len(world.unsure_calls),
        "faults": dict(audit.faults),
        "doubled": _doubled(world),
        "lost_answers": lost,
        **_check_answers(audit),
        **await _check_bills(world, audit),
        "false_not_run": audit.false_not_run,
        "withdrawn_runs": _withdrawn_runs(world, audit),
        "session_moves": audit.session_moves,
        "cut_by_shutdown": audit.cut_by_shutdown,
        "max_crashes_per_poison": max(world.crashes.values(), default=0),
        "available_share": _served_share(world, audit),
    }


@experiment("faults")
def measure_faults(seed: int) -> dict[str, Any]:
    """Run the fleet under faults and audit it."""
    return run_virtually(_run(seed))
