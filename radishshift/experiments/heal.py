"""Load on the platform when it recovers from an outage, in virtual time.

A fleet that shares its configuration between hosts is compared with one whose hosts
each list and watch every kind of object.
"""

import asyncio
from collections.abc import Callable, Mapping
from itertools import pairwise
from random import Random
from typing import Any

from absl import flags

from radishshift.bench import experiment
from radishshift.configuration import CONFIGURATION_KINDS
from radishshift.errors import RadishshiftError
from radishshift.objects import Kind
from radishshift.platform import Platform
from radishshift.standins.fleet import VirtualFleet, version_entry
from radishshift.virtual_time import LoopClock, run_virtually

__all__ = ["heal"]

FLAGS = flags.FLAGS
DATA_CENTRES = ("mbeya", "iringa", "njombe")
OBSERVATION_TIME_S = 30
RETRY_S = 1.0

flags.DEFINE_list("heal_sizes", ["6", "24", "48"], "Numbers of hosts.")
flags.DEFINE_float("heal_outage_s", 300.0, "Duration of the outage, in seconds.")


async def _count_calls(call_count: Callable[[], int]) -> tuple[int, int]:
    """Return the calls in the busiest second after the recovery, and in total."""
    clock = LoopClock()
    totals = [call_count()]
    for _ in range(OBSERVATION_TIME_S):
        await clock.sleep_until(clock.now() + 1.0)
        totals.append(call_count())
    calls_per_s = [after - before for before, after in pairwise(totals)]
    return max(calls_per_s), totals[-1] - totals[0]


async def _run_shared(size: int, seed: int) -> dict[str, Any]:
    fleet = VirtualFleet(
        {name: size // len(DATA_CENTRES) for name in DATA_CENTRES}, seed
    )
    await fleet.platform.create(version_entry("v1", 0))
    await fleet.run_for(20)
    for data_centre in DATA_CENTRES:
        fleet.cut_platform(data_centre)
    await fleet.run_for(FLAGS.heal_outage_s)
    current = await fleet.platform.get(Kind.ENTRY, "v1")
    withdrawn = version_entry("v1", current.revision, state="withdrawn")
    stored = await fleet.platform.update(withdrawn)
    for data_centre in DATA_CENTRES:
        fleet.cut_platform(data_centre, down=False)
    clock = LoopClock()
    recovered_at = clock.now()
    heartbeats = asyncio.create_task(fleet.run_for(OBSERVATION_TIME_S))
    in_force = asyncio.create_task(_wait_until_in_force(fleet, stored.revision))
    peak, total = await _count_calls(fleet.calls)
    in_force_s = round(await in_force - recovered_at, 1)
    await heartbeats
    await fleet.stop()
    return {"peak_calls_per_s": peak, "calls": total, "in_force_s": in_force_s}


async def _wait_until_in_force(fleet: VirtualFleet, revision: int) -> float:
    clock = LoopClock()
    while not all(
        host.configuration.revision >= revision for host in fleet.hosts.values()
    ):
        await clock.sleep_until(clock.now() + 0.1)
    return clock.now()


async def _follow_alone(platform: Platform, kind: Kind, start_delay_s: float) -> None:
    """List and watch a kind of object, and start again after each failure."""
    clock = LoopClock()
    await clock.sleep_until(clock.now() + start_delay_s)
    while True:
        try:
            listing = await platform.list_all(kind)
            async for _ in platform.watch(kind, listing.revision):
                pass
        except RadishshiftError:
            await clock.sleep_until(clock.now() + RETRY_S)


async def _run_naive(size: int, seed: int) -> dict[str, Any]:
    fleet = VirtualFleet(
        {name: size // len(DATA_CENTRES) for name in DATA_CENTRES}, seed
    )
    await fleet.stop()
    rng = Random(seed)
    tasks = [
        asyncio.create_task(_follow_alone(host.faulty_platform, kind, rng.random()))
        for host in fleet.hosts.values()
        for kind in CONFIGURATION_KINDS
    ]
    clock = LoopClock()
    for down in (True, False):
        for data_centre in DATA_CENTRES:
            fleet.cut_platform(data_centre, down)
        if down:
            await clock.sleep_until(clock.now() + FLAGS.heal_outage_s)
    peak, total = await _count_calls(fleet.calls)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {"naive_peak_calls_per_s": peak, "naive_calls": total}


@experiment("heal")
def heal(seed: int) -> Mapping[str, Any]:
    """Compare the calls after an outage with and without sharing between hosts."""
    runs = []
    for size in map(int, FLAGS.heal_sizes):
        shared = run_virtually(_run_shared(size, seed))
        naive = run_virtually(_run_naive(size, seed))
        runs.append({"hosts": size, **shared, **naive})
    return {
        "outage_s": FLAGS.heal_outage_s,
        "after_s": OBSERVATION_TIME_S,
        "runs": runs,
    }
