"""One seed of a soak test: a period with faults, recovery, a check of promises."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from tests.soak.callers import Callers
from tests.soak.faults import inject
from tests.soak.promises import EndpointRun, SoakRecord, broken_promises
from tests.soak.worlds import API_KEY, CUSTOMER, HOST_HEADER, SoakWorld

__all__ = ["SoakResult", "run_seed"]

CALLER_COUNT = 12
MAX_ENDPOINTS = {"check": 2, "step": 2, "book": 1, "plan": 3}
# Covers the longest open time of a circuit breaker and the refill of retry budgets.
RECOVERY_S = 6.0
LAST_REQUESTS_TIMEOUT_S = 8.0  # for requests in flight when the faults end


@dataclass
class SoakResult:
    """Outcome of one seed.

    Attributes
    ----------
    broken : list of str
        A line for each violation of a promise.
    faults : Counter
        Injected faults by name.
    statuses : Counter
        Number of attempts by status; 0 for no answer.
    log : str
        Log of all hosts; empty if no promise broke.
    """

    seed: int
    broken: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    log: str = ""


async def run_seed(seed: int, hosts: int, time_s: float) -> SoakResult:
    """Run one seed: a period with faults, then requests without faults."""
    rng = random.Random(seed)
    result = SoakResult(seed)
    world = SoakWorld(hosts)
    try:
        await world.start()
        callers = Callers(
            {name: link.address for name, link in world.caller_links.items()},
            lambda name: world.hosts[name].start_count,
            HOST_HEADER,
            API_KEY,
            seed,
        )
        await _under_faults(world, callers, rng, time_s, result)
        try:
            await _after_faults(world, callers)
        except TimeoutError:
            result.broken.append("calm-is-served: a host did not become ready in time")
        record = SoakRecord(
            callers.attempts, _endpoint_runs(world), MAX_ENDPOINTS, CUSTOMER
        )
        result.broken += broken_promises(record)
        result.statuses = Counter(attempt.status for attempt in callers.attempts)
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
    caller_tasks = [
        asyncio.create_task(callers.run(until)) for _ in range(CALLER_COUNT)
    ]

    def on_fault(name: str) -> None:
        result.faults[name] += 1

    await inject(world, rng, time_s, on_fault)
    async with asyncio.timeout(LAST_REQUESTS_TIMEOUT_S + time_s):
        await asyncio.gather(*caller_tasks)


async def _after_faults(world: SoakWorld, callers: Callers) -> None:
    """Let the hosts recover, then send each kind of request to each."""
    world.heal()
    await world.until_ready()
    await asyncio.sleep(RECOVERY_S)
    await world.until_ready()
    callers.after_faults = True
    steps = [f"step-{number}" for number in range(1, world.added_route_count + 1)]
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for host in world.hosts:
            for kind in ("check", "book", "plan"):
                await callers.send_attempt(session, kind, host)
            for step in steps:
                await callers.send_attempt(session, "step", host, prefix=step)


def _endpoint_runs(world: SoakWorld) -> list[EndpointRun]:
    return [
        EndpointRun(name, path, headers, body)
        for name, endpoint in world.endpoints.items()
        for path, headers, body in endpoint.ran
    ]
