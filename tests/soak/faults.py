"""Faults that a soak injects; each ends by itself."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from users_platform.standins import EndpointFaults

from tests.soak.links import Link
from tests.soak.worlds import SoakWorld

__all__ = ["FAULTS", "fault", "inject"]

Fault = Callable[[SoakWorld, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def register(func: Fault) -> Fault:
        FAULTS[name] = func
        return func

    return register


async def inject(
    world: SoakWorld, rng: random.Random, time_s: float, told: Callable[[str], None]
) -> None:
    """Inject faults in series that overlap, for a time."""
    deadline = asyncio.get_running_loop().time() + time_s
    async with asyncio.TaskGroup() as group:
        while asyncio.get_running_loop().time() < deadline:
            name = rng.choice(sorted(FAULTS))
            told(name)
            # Each fault draws from numbers of its own: their order may differ.
            group.create_task(FAULTS[name](world, random.Random(rng.random())))
            await asyncio.sleep(rng.uniform(0.05, 0.8))


def _host(world: SoakWorld, rng: random.Random):
    return world.hosts[rng.choice(sorted(world.hosts))]


def _endpoint(world: SoakWorld, rng: random.Random) -> str:
    return rng.choice(sorted(world.services))


@fault("host-killed")
async def _host_killed(world, rng):
    _host(world, rng).signal(signal.SIGKILL)


@fault("all-hosts-killed")
async def _all_killed(world, rng):
    for host in world.hosts.values():
        host.signal(signal.SIGKILL)
        await asyncio.sleep(rng.choice((0.0, 0.05)))


@fault("host-stopped")
async def _host_stopped(world, rng):
    host = _host(world, rng)
    host.signal(signal.SIGTERM)
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        host.signal(signal.SIGTERM)


@fault("host-paused")
async def _host_paused(world, rng):
    await _host(world, rng).pause(rng.uniform(0.1, 2.0))


@fault("settings-read-again")
async def _settings_read_again(world, rng):
    for host in world.hosts.values():
        host.signal(signal.SIGHUP)


@fault("configuration-changed")
async def _configuration_changed(world, rng):
    for _ in range(rng.randint(1, 3)):
        world.change_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@fault("store-down")
async def _store_down(world, rng):
    odd = world.platform.store.faults
    odd.status = rng.choice((429, 503))
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    odd.status = 0


@fault("store-watches-silent")
async def _watches_silent(world, rng):
    odd = world.platform.store.faults
    odd.silent_watches = True
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    odd.silent_watches = False


@fault("store-history-lost")
async def _history_lost(world, rng):
    world.platform.store.faults.history_start = world.platform.store.revision


@fault("store-turns-a-host-away")
async def _turned_away(world, rng):
    await _disturb(world.store_links[_host(world, rng).name], rng)


@fault("callers-way-disturbed")
async def _callers_way(world, rng):
    await _disturb(world.caller_links[_host(world, rng).name], rng)


@fault("endpoints-way-disturbed")
async def _endpoints_way(world, rng):
    await _disturb(world.endpoint_links[_endpoint(world, rng)], rng)


def _misbehave(*oddities: str) -> Fault:
    async def misbehave(world: SoakWorld, rng: random.Random) -> None:
        names = sorted(world.services)
        names = rng.sample(names, rng.randint(1, len(names)))
        endpoints = [world.endpoints[name] for name in names]
        for endpoint in endpoints:
            endpoint.set_faults(**dict.fromkeys(oddities, True))
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        for endpoint in endpoints:
            endpoint.set_faults()

    return misbehave


for _oddity in vars(EndpointFaults()):
    fault(f"endpoints-{_oddity.replace('_', '-')}")(_misbehave(_oddity))
fault("endpoints-break-unframed")(_misbehave("unframed", "resets_within"))


@fault("endpoint-replaced")
async def _endpoint_replaced(world, rng):
    await world.replace_endpoint(_endpoint(world, rng))


async def _disturb(link: Link, rng: random.Random) -> None:
    how = rng.choice(("delay", "reset", "there", "back", "both"))
    if how == "reset":
        link.reset()
        return
    link.delay_s = rng.uniform(0.01, 0.2) if how == "delay" else 0.0
    link.silent_there = how in ("there", "both")
    link.silent_back = how in ("back", "both")
    await asyncio.sleep(rng.uniform(0.2, 2.5))
    link.heal()
