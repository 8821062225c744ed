"""How soon a change of the catalogue is in force at every entry host."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.experiments.control_host import HostOptions
from radishshift.experiments.fleets import Fleet, running_fleet
from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import small_catalogue

__all__ = ["config"]

FLAGS = flags.FLAGS
IN_FORCE_TARGET_S = 19.0
CHANGED = ("farm-advice-small.v1", "farm-advice-large.v1", "farm-advice-large.v2")

flags.DEFINE_list("config_sizes", ["6", "24", "48"], "Numbers of hosts.")
flags.DEFINE_float("config_for_s", 20.0, "Time of changes at each size, in seconds.")
flags.DEFINE_float("config_changes_per_s", 1.0, "Rate of single changes.")
flags.DEFINE_integer("config_burst", 20, "Changes in a burst.")
flags.DEFINE_integer("config_bursts", 2, "Bursts at each size; one kills a watcher.")
flags.DEFINE_float("config_loss", 0.02, "Share of peers' messages that are lost.")


@dataclass(slots=True)
class _Changes:
    """Writes of operators, and when each was accepted."""

    rng: np.random.Generator
    accepted: list[tuple[float, int]] = field(default_factory=list)

    async def change(self, fleet: Fleet) -> None:
        name = CHANGED[self.rng.integers(len(CHANGED))]
        held = await fleet.platform.get(Kind.ENTRY, name)
        state = "retiring" if held.spec["state"] == "serving" else "serving"
        spec = {**small_catalogue()[name], "state": state}
        item = StoredObject(Kind.ENTRY, name, spec, {}, held.revision)
        stored = await fleet.platform.update(item)
        self.accepted.append((time.time(), stored.revision))


async def _burst(fleet: Fleet, changes: _Changes, kill: bool) -> None:
    for number in range(FLAGS.config_burst):
        await changes.change(fleet)
        if kill and number == FLAGS.config_burst // 2:
            counters = await fleet.read_counters()
            watching = sorted(n for n, count in counters.items() if count["watching"])
            await fleet.remove(watching[0])


async def _load(fleet: Fleet, changes: _Changes) -> None:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLAGS.config_for_s
    gap_s = FLAGS.config_for_s / (FLAGS.config_bursts + 1)
    bursts = [ends_at - gap_s * (number + 1) for number in range(FLAGS.config_bursts)]
    while loop.time() < ends_at:
        pause_s = changes.rng.exponential(1 / FLAGS.config_changes_per_s)
        await asyncio.sleep(min(pause_s, max(0.0, ends_at - loop.time())))
        await changes.change(fleet)
        if bursts and loop.time() >= bursts[-1]:
            bursts.pop()
            await _burst(fleet, changes, kill=not bursts)


async def _run(size: int, seed: int) -> dict[str, Any]:
    options = HostOptions(loss_share=FLAGS.config_loss / 2, seed=seed)
    async with running_fleet(size, options) as fleet:
        met_s = await fleet.wait_for_membership()
        changes = _Changes(np.random.default_rng(seed))
        calls = fleet.platform.reads + fleet.platform.writes
        began = time.time()
        await _load(fleet, changes)
        last_revision = changes.accepted[-1][1]
        await fleet.wait_until_in_force(last_revision, 3 * IN_FORCE_TARGET_S)
        spent_s = time.time() - began
        calls = fleet.platform.reads + fleet.platform.writes - calls
        calls -= 2 * len(changes.accepted)
        counters = await fleet.read_counters()
        waits = [
            max(host.in_force_at(revision) for host in fleet.hosts.values()) - accepted
            for accepted, revision in changes.accepted
        ]
        return {
            "hosts": size,
            "changes": len(waits),
            "in_force_p50_s": round(float(np.median(waits)), 3),
            "in_force_max_s": round(max(waits), 3),
            "reverts": sum(count["reverts"] for count in counters.values()),
            "platform_calls_per_s": round(calls / spent_s, 2),
            "watches": fleet.platform.watches,
            "met_s": round(met_s, 1),
        }


async def _run_all(seed: int) -> list[dict[str, Any]]:
    return [await _run(int(size), seed) for size in FLAGS.config_sizes]


@experiment("config")
def config(seed: int) -> Mapping[str, Any]:
    """Change the catalogue under loss and a watcher's death, at several sizes."""
    runs = asyncio.run(_run_all(seed))
    return {
        "runs": runs,
        "in_force_max_s": max(run["in_force_max_s"] for run in runs),
        "in_force_target_s": IN_FORCE_TARGET_S,
        "reverts": sum(run["reverts"] for run in runs),
    }
