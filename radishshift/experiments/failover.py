"""Time to take over a role when its host is killed or paused, under load."""

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
POLL_INTERVAL_S = 0.1
WAIT_TIMEOUT_S = 40.0
DATA_CENTRES = ("mbeya", "iringa")
VERSIONS = frozenset({"farm-advice-small.v1", "farm-advice-large.v1"})

flags.DEFINE_integer("failover_hosts", 8, "Number of hosts.")
flags.DEFINE_float("failover_requests_per_s", 20.0, "Request rate over all hosts.")


@dataclass(slots=True)
class _LoadGenerator:
    """Sends requests to random live hosts and counts the failures."""

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
                gap_s = self.rng.exponential(1 / FLAGS.failover_requests_per_s)
                await asyncio.sleep(gap_s)
                names = sorted(self.fleet.hosts)
                name = names[self.rng.integers(len(names))]
                tasks.create_task(self._send_request(session, name))

    async def _send_request(self, session: aiohttp.ClientSession, name: str) -> None:
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


async def _wait_until(condition: Callable[[], Any]) -> float:
    """Return the seconds until a condition holds, or infinity after a timeout."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < WAIT_TIMEOUT_S:
        if await condition():
            return round(time.monotonic() - started_at, 2)
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")


async def _holder(fleet: Fleet, lease: str) -> str:
    """Return the running host that holds a lease, or an empty string."""
    item = await fleet.platform.get(Kind.LEASE, lease)
    name = item.spec["holder"].partition("/")[0]
    return name if name in fleet.hosts else ""


async def _wait_for_holder(fleet: Fleet, lease: str) -> str:
    await _wait_until(lambda: _holder(fleet, lease))
    return await _holder(fleet, lease)


async def _kill_watcher(fleet: Fleet) -> float:
    async def watchers() -> list[str]:
        counters = await fleet.read_counters()
        return sorted(
            name
            for name, count in counters.items()
            if count["watching"] and name.startswith("mbeya")
        )

    async def two_watchers() -> bool:
        return len(await watchers()) == 2

    await fleet.remove((await watchers())[0])
    return await _wait_until(two_watchers)


async def _kill_lease_holder(fleet: Fleet) -> float:
    killed = await _wait_for_holder(fleet, "confirmations.mbeya")
    await fleet.remove(killed)

    async def taken_over() -> bool:
        return await _holder(fleet, "confirmations.mbeya") not in ("", killed)

    return await _wait_until(taken_over)


async def _pause_lease_holder(fleet: Fleet) -> float:
    paused = await _wait_for_holder(fleet, "confirmations.iringa")
    process = fleet.hosts[paused].process
    host = fleet.hosts.pop(paused)
    process.send_signal(signal.SIGSTOP)

    async def taken_over() -> bool:
        return await _holder(fleet, "confirmations.iringa") not in ("", paused)

    elapsed_s = await _wait_until(taken_over)
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(LEASE_DURATION_S)
    fleet.hosts[paused] = host
    return elapsed_s


async def _kill_member(fleet: Fleet) -> float:
    """Kill a host; return the seconds until no other host lists it as live."""
    killed = sorted(fleet.hosts)[-1]
    await fleet.remove(killed)

    async def is_removed_everywhere() -> bool:
        counters = await fleet.read_counters()
        expected_live = len(fleet.hosts) - 1
        return all(count["live"] == expected_live for count in counters.values())

    return await _wait_until(is_removed_everywhere)


@dataclass(slots=True)
class _ConfirmationWrites:
    """Writers of each confirmation, in the order in which the platform stored them."""

    platform: MemoryPlatform
    writers: dict[str, list[str]]

    async def run(self) -> None:
        async for change in self.platform.watch(Kind.CONFIRMATION, 0):
            if change.item.name:
                self.writers.setdefault(change.item.name, []).append(change.item.writer)

    def duplicates(self) -> int:
        """Return how many writes came from a host after another had taken over."""
        count = 0
        for writers in self.writers.values():
            former_writers: set[str] = set()
            for previous, writer in pairwise(writers):
                if writer != previous:
                    former_writers.add(previous)
                count += writer in former_writers
        return count


async def _register_engine(fleet: Fleet, address: str) -> None:
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
        await _register_engine(fleet, address)
        await fleet.wait_for_membership()
        await fleet.wait_until_in_force(fleet.platform.revision, 5.0)
        await asyncio.sleep(LEASE_DURATION_S)
        writes = _ConfirmationWrites(fleet.platform, {})
        load = _LoadGenerator(fleet, np.random.default_rng(seed))
        tasks = [asyncio.create_task(writes.run()), asyncio.create_task(load.run())]
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
            "acts": sum(len(writers) for writers in writes.writers.values()),
            "duplicate_acts": writes.duplicates(),
        }


@experiment("failover")
def failover(seed: int) -> Mapping[str, Any]:
    """Kill or pause the holder of each role under load and time the takeovers."""
    return asyncio.run(_run(seed))
