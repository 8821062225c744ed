"""One seeded soak: faults, callers, a calm end, and what broke."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from tests.soak.callers import Callers
from tests.soak.faults import inject
from tests.soak.promises import Record, Run, broken_promises
from tests.soak.worlds import CUSTOMER, HOST, KEY, SoakWorld

__all__ = ["SoakResult", "play"]

CALLERS = 12
ATTEMPTS_MOST = {"check": 2, "step": 2, "book": 1, "plan": 3}
# Longest pause of a breaker, and the time in which repeats have room again.
SETTLE_S = 6.0
SLOW_CALLERS_S = 8.0  # that the last requests of the callers may take


@dataclass
class SoakResult:
    """What came of one seed.

    Attributes
    ----------
    broken : list of str
        A line for each case in which a promise broke.
    faults : Counter
        Injected faults by name.
    statuses : Counter
        Answers to callers by status, 0 for none.
    log : str
        What the hosts wrote; empty if nothing broke.
    """

    seed: int
    broken: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    log: str = ""


async def play(seed: int, hosts: int, time_s: float) -> SoakResult:
    """Play one seed for a time under faults, then calmly."""
    rng = random.Random(seed)
    result = SoakResult(seed)
    world = SoakWorld(hosts)
    try:
        await world.start()
        callers = Callers(
            {name: link.address for name, link in world.caller_links.items()},
            lambda name: world.hosts[name].starts,
            HOST,
            KEY,
            seed,
        )
        await _under_faults(world, callers, rng, time_s, result)
        try:
            await _calm(world, callers)
        except TimeoutError:
            result.broken.append("calm-is-served: a host does not become ready")
        record = Record(callers.asks, _runs(world), ATTEMPTS_MOST, CUSTOMER)
        result.broken += broken_promises(record)
        result.statuses = Counter(ask.status for ask in callers.asks)
        if result.broken:
            result.log = world.log()
    finally:
        await world.stop()
    return result


async def _under_faults(
    world: SoakWorld,
    callers: Callers,
    rng: random.Random,
    time_s: float,
    result: SoakResult,
) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + time_s
    asking = [asyncio.create_task(callers.run(until)) for _ in range(CALLERS)]

    def told(name: str) -> None:
        result.faults[name] += 1

    await inject(world, rng, time_s, told)
    async with asyncio.timeout(SLOW_CALLERS_S + time_s):
        await asyncio.gather(*asking)


async def _calm(world: SoakWorld, callers: Callers) -> None:
    """Let the hosts recover, then ask each for everything."""
    world.heal()
    await world.until_ready()
    await asyncio.sleep(SETTLE_S)
    await world.until_ready()
    callers.calm = True
    steps = [f"step-{number}" for number in range(1, world.steps + 1)]
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for host in world.hosts:
            for kind in ("check", "book", "plan"):
                await callers.ask(session, kind, host)
            for step in steps:
                await callers.ask(session, "step", host, prefix=step)


def _runs(world: SoakWorld) -> list[Run]:
    return [
        Run(name, path, headers, body)
        for name, endpoint in world.endpoints.items()
        for path, headers, body in endpoint.ran
    ]
