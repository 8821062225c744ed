"""Calls to the platform when it comes back after an outage, in virtual time."""

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
CENTRES = ("mbeya", "iringa", "njombe")
AFTER_S = 30
RETRY_S = 1.0

flags.DEFINE_list("heal_sizes", ["6", "24", "48"], "Numbers of hosts.")
flags.DEFINE_float("heal_outage_s", 300.0, "Length of the outage, in seconds.")


async def _watch_the_peak(calls: Callable[[], int]) -> tuple[int, int]:
    """Return the calls of the busiest second after the heal, and of all."""
    clock = LoopClock()
    counts = [calls()]
    for _ in range(AFTER_S):
        await clock.sleep_until(clock.now() + 1.0)
        counts.append(calls())
    steps = [after - before for before, after in pairwise(counts)]
    return max(steps), counts[-1] - counts[0]


async def _ours(size: int, seed: int) -> dict[str, Any]:
    fleet = VirtualFleet({name: size // len(CENTRES) for name in CENTRES}, seed)
    await fleet.platform.create(version_entry("v1", 0))
    await fleet.run_for(20)
    for data_centre in CENTRES:
        fleet.cut_platform(data_centre)
    await fleet.run_for(FLAGS.heal_outage_s)
    held = await fleet.platform.get(Kind.ENTRY, "v1")
    withdrawn = version_entry("v1", held.revision, state="withdrawn")
    stored = await fleet.platform.update(withdrawn)
    for data_centre in CENTRES:
        fleet.cut_platform(data_centre, down=False)
    clock = LoopClock()
    healed_at = clock.now()
    beating = asyncio.create_task(fleet.run_for(AFTER_S))
    waiting = asyncio.create_task(_in_force(fleet, stored.revision))
    peak, total = await _watch_the_peak(fleet.calls)
    in_force_s = round(await waiting - healed_at, 1)
    await beating
    await fleet.stop()
    return {"peak_calls_per_s": peak, "calls": total, "in_force_s": in_force_s}


async def _in_force(fleet: VirtualFleet, revision: int) -> float:
    clock = LoopClock()
    while not all(
        host.configuration.revision >= revision for host in fleet.hosts.values()
    ):
        await clock.sleep_until(clock.now() + 0.1)
    return clock.now()


async def _relist(platform: Platform, kind: Kind, start: float) -> None:
    """Follow a kind the naive way: list and watch, and again after each failure."""
    clock = LoopClock()
    await clock.sleep_until(clock.now() + start)
    while True:
        try:
            listing = await platform.list_all(kind)
            async for _ in platform.watch(kind, listing.revision):
                pass
        except RadishshiftError:
            await clock.sleep_until(clock.now() + RETRY_S)


async def _naive(size: int, seed: int) -> dict[str, Any]:
    fleet = VirtualFleet({name: size // len(CENTRES) for name in CENTRES}, seed)
    await fleet.stop()
    rng = Random(seed)
    tasks = [
        asyncio.create_task(_relist(host.faulty_platform, kind, rng.random()))
        for host in fleet.hosts.values()
        for kind in CONFIGURATION_KINDS
    ]
    clock = LoopClock()
    for down in (True, False):
        for data_centre in CENTRES:
            fleet.cut_platform(data_centre, down)
        if down:
            await clock.sleep_until(clock.now() + FLAGS.heal_outage_s)
    peak, total = await _watch_the_peak(fleet.calls)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {"naive_peak_calls_per_s": peak, "naive_calls": total}


@experiment("heal")
def heal(seed: int) -> Mapping[str, Any]:
    """Compare the calls at the heal with each host listing for itself."""
    runs = []
    for size in map(int, FLAGS.heal_sizes):
        ours = run_virtually(_ours(size, seed))
        naive = run_virtually(_naive(size, seed))
        runs.append({"hosts": size, **ours, **naive})
    return {"outage_s": FLAGS.heal_outage_s, "after_s": AFTER_S, "runs": runs}
