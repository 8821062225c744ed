"""What happens when the host that holds a role dies or is paused."""

import asyncio
import signal
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import aiohttp
import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.experiments.control_host import HostOptions
from radishshift.experiments.fleets import Fleet, running_fleet
from radishshift.leases import LEASE_DURATION_S
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.deployment import KEY
from radishshift.standins.engine import StandinEngine

__all__ = ["failover"]

FLAGS = flags.FLAGS
LOOK_S = 0.1
GIVE_UP_S = 40.0
DATA_CENTRES = ("mbeya", "iringa")
VERSIONS = frozenset({"farm-advice-small.v1", "farm-advice-large.v1"})

flags.DEFINE_integer("failover_hosts", 8, "Number of hosts.")
flags.DEFINE_float("failover_requests_per_s", 20.0, "Requests over all hosts.")


@dataclass(slots=True)
class _Load:
    """Requests to all hosts that live, and how they went."""

    fleet: Fleet
    rng: np.random.Generator
    requests: int = 0
    failed_at_live: int = 0
    failed_at_killed: int = 0

    async def run(self) -> None:
        headers = {"Authorization": f"Bearer {KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            asyncio.TaskGroup() as tasks,
        ):
            while True:
                pause_s = self.rng.exponential(1 / FLAGS.failover_requests_per_s)
                await asyncio.sleep(pause_s)
                names = sorted(self.fleet.hosts)
                name = names[self.rng.integers(len(names))]
                tasks.create_task(self._ask(session, name))

    async def _ask(self, session: aiohttp.ClientSession, name: str) -> None:
        host = self.fleet.hosts[name]
        url = host.ready.result()["address"] + "/v1/chat/completions"
        body = {"model": "auto", "messages": [{"role": "user", "content": "Hello"}]}
        self.requests += 1
        ok = False
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.post(url, json=body) as resp:
                await resp.read()
                ok = resp.status == 200
        if ok:
            return
        if name in self.fleet.hosts:
            self.failed_at_live += 1
        else:
            self.failed_at_killed += 1


async def _until(condition: Callable[[], Any]) -> float:
    """Return the seconds until a condition holds, or infinity."""
    began = time.monotonic()
    while time.monotonic() - began < GIVE_UP_S:
        if await condition():
            return round(time.monotonic() - began, 2)
        await asyncio.sleep(LOOK_S)
    return float("inf")


async def _holder(fleet: Fleet, lease: str) -> str:
    """Return a lease's holder among the hosts that run; empty for none."""
    item = await fleet.platform.get(Kind.LEASE, lease)
    name = item.spec["holder"].partition("/")[0]
    return name if name in fleet.hosts else ""


async def _settled_holder(fleet: Fleet, lease: str) -> str:
    await _until(lambda: _holder(fleet, lease))
    return await _holder(fleet, lease)


async def _kill_watcher(fleet: Fleet) -> float:
    async def watchers() -> list[str]:
        counters = await fleet.read_counters()
        return sorted(
            name
            for name, count in counters.items()
            if count["watching"] and name.startswith("mbeya")
        )

    async def two_again() -> bool:
        return len(await watchers()) == 2

    await fleet.remove((await watchers())[0])
    return await _until(two_again)


async def _kill_lease_holder(fleet: Fleet) -> float:
    killed = await _settled_holder(fleet, "confirmations.mbeya")
    await fleet.remove(killed)

    async def taken_over() -> bool:
        return await _holder(fleet, "confirmations.mbeya") not in ("", killed)

    return await _until(taken_over)


async def _pause_lease_holder(fleet: Fleet) -> float:
    paused = await _settled_holder(fleet, "confirmations.iringa")
    process = fleet.hosts[paused].process
    host = fleet.hosts.pop(paused)
    process.send_signal(signal.SIGSTOP)

    async def taken_over() -> bool:
        return await _holder(fleet, "confirmations.iringa") not in ("", paused)

    spent_s = await _until(taken_over)
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(LEASE_DURATION_S)
    fleet.hosts[paused] = host
    return spent_s


async def _kill_member(fleet: Fleet) -> float:
    """Kill any host; return the time until none counts it as live."""
    killed = sorted(fleet.hosts)[-1]
    await fleet.remove(killed)

    async def missed() -> bool:
        counters = await fleet.read_counters()
        wanted = len(fleet.hosts) - 1
        return all(count["live"] == wanted for count in counters.values())

    return await _until(missed)


@dataclass(slots=True)
class _Acts:
    """Writes of confirmations in their order, as the platform took them."""

    platform: MemoryPlatform
    writers: dict[str, list[str]]

    async def run(self) -> None:
        async for change in self.platform.watch(Kind.CONFIRMATION, 0):
            if change.item.name:
                self.writers.setdefault(change.item.name, []).append(change.item.writer)

    def duplicates(self) -> int:
        """Return the writes of a host after another had taken over from it."""
        count = 0
        for writers in self.writers.values():
            gone: set[str] = set()
            for before, writer in pairwise(writers):
                if writer != before:
                    gone.add(before)
                count += writer in gone
        return count


async def _serve_engines(fleet: Fleet, address: str) -> None:
    spec = {"address": address, "dataCentre": "mbeya", "serves": sorted(VERSIONS)}
    await fleet.platform.create(StoredObject(Kind.ENDPOINT, "engine-0", spec))


async def _run(seed: int) -> dict[str, Any]:
    engine = StandinEngine("engine-0", VERSIONS)
    async with (
        listening(engine.app(), shutdown_timeout=0.1) as address,
        running_fleet(
            FLAGS.failover_hosts, HostOptions(), DATA_CENTRES, endpoints=0
        ) as fleet,
    ):
        await _serve_engines(fleet, address)
        await fleet.wait_for_membership()
        await fleet.wait_until_in_force(fleet.platform.revision, 5.0)
        await asyncio.sleep(LEASE_DURATION_S)
        acts = _Acts(fleet.platform, {})
        load = _Load(fleet, np.random.default_rng(seed))
        tasks = [asyncio.create_task(acts.run()), asyncio.create_task(load.run())]
        taken_over_s = {
            "watcher": await _kill_watcher(fleet),
            "duty_holder": await _kill_lease_holder(fleet),
            "paused_duty_holder": await _pause_lease_holder(fleet),
            "member": await _kill_member(fleet),
        }
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return {
            "hosts": FLAGS.failover_hosts,
            "taken_over_s": taken_over_s,
            "requests": load.requests,
            "failed_at_live_hosts": load.failed_at_live,
            "failed_at_killed_hosts": load.failed_at_killed,
            "acts": sum(len(writers) for writers in acts.writers.values()),
            "duplicate_acts": acts.duplicates(),
        }


@experiment("failover")
def failover(seed: int) -> Mapping[str, Any]:
    """Kill or pause the holder of each role under load."""
    return asyncio.run(_run(seed))
