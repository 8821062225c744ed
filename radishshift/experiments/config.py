"""Time until a change of the catalogue is in force at every entry host."""

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
CHANGED_VERSIONS = (
    "farm-advice-small.v1",
    "farm-advice-large.v1",
    "farm-advice-large.v2",
)

flags.DEFINE_list("config_sizes", ["6", "24", "48"], "Numbers of hosts.")
flags.DEFINE_float("config_for_s", 20.0, "Duration of changes per size, in seconds.")
flags.DEFINE_float("config_changes_per_s", 1.0, "Rate of single changes, per second.")
flags.DEFINE_integer("config_burst", 20, "Changes in a burst.")
flags.DEFINE_integer("config_bursts", 2, "Bursts per size; the last kills a watcher.")
flags.DEFINE_float("config_loss", 0.02, "Share of lost messages between hosts.")


@dataclass(slots=True)
class _Changes:
    """Writes by operators, and the time and revision at which each was accepted."""

    rng: np.random.Generator
    accepted: list[tuple[float, int]] = field(default_factory=list)

    async def change(self, fleet: Fleet) -> None:
        name = CHANGED_VERSIONS[self.rng.integers(len(CHANGED_VERSIONS))]
        current = await fleet.platform.get(Kind.ENTRY, name)
        state = "retiring" if current.spec["state"] == "serving" else "serving"
        spec = {**small_catalogue()[name], "state": state}
        item = StoredObject(Kind.ENTRY, name, spec, {}, current.revision)
        stored = await fleet.platform.update(item)
        self.accepted.append((time.time(), stored.revision))


async def _apply_burst(fleet: Fleet, changes: _Changes, kill_watcher: bool) -> None:
    for number in range(FLAGS.config_burst):
        await changes.change(fleet)
        if kill_watcher and number == FLAGS.config_burst // 2:
            counters = await fleet.read_counters()
            watching = sorted(
                name for name, count in counters.items() if count["watching"]
            )
            await fleet.remove(watching[0])


async def _apply_changes(fleet: Fleet, changes: _Changes) -> None:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLAGS.config_for_s
    burst_interval_s = FLAGS.config_for_s / (FLAGS.config_bursts + 1)
    burst_times = [
        ends_at - burst_interval_s * (number + 1)
        for number in range(FLAGS.config_bursts)
    ]
    while loop.time() < ends_at:
        pause_s = changes.rng.exponential(1 / FLAGS.config_changes_per_s)
        await asyncio.sleep(min(pause_s, max(0.0, ends_at - loop.time())))
        await changes.change(fleet)
        if burst_times and loop.time() >= burst_times[-1]:
            burst_times.pop()
            await _apply_burst(fleet, changes, kill_watcher=not burst_times)


async def _run_fleet(size: int, seed: int) -> dict[str, Any]:
    options = HostOptions(loss_share=FLAGS.config_loss / 2, seed=seed)
    async with running_fleet(size, options) as fleet:
        settling_s = await fleet.wait_for_membership()
        changes = _Changes(np.random.default_rng(seed))
        calls = fleet.platform.reads + fleet.platform.writes
        started_at = time.time()
        await _apply_changes(fleet, changes)
        last_revision = changes.accepted[-1][1]
        await fleet.wait_until_in_force(last_revision, 3 * IN_FORCE_TARGET_S)
        elapsed_s = time.time() - started_at
        calls = fleet.platform.reads + fleet.platform.writes - calls
        calls -= 2 * len(changes.accepted)
        counters = await fleet.read_counters()
        delays_s = [
            max(host.first_in_force_at(revision) for host in fleet.hosts.values())
            - accepted
            for accepted, revision in changes.accepted
        ]
        return {
            "hosts": size,
            "changes": len(delays_s),
            "in_force_p50_s": round(float(np.median(delays_s)), 3),
            "in_force_max_s": round(max(delays_s), 3),
            "reverts": sum(count["reverts"] for count in counters.values()),
            "platform_calls_per_s": round(calls / elapsed_s, 2),
            "watches": fleet.platform.watches,
            "met_s": round(settling_s, 1),
        }


async def _run_all(seed: int) -> list[dict[str, Any]]:
    return [await _run_fleet(int(size), seed) for size in FLAGS.config_sizes]


@experiment("config")
def config(seed: int) -> Mapping[str, Any]:
    """Change the catalogue while messages get lost and a watching host is killed."""
    runs = asyncio.run(_run_all(seed))
    return {
        "runs": runs,
        "in_force_max_s": max(run["in_force_max_s"] for run in runs),
        "in_force_target_s": IN_FORCE_TARGET_S,
        "reverts": sum(run["reverts"] for run in runs),
    }
