"""One seed of a soak test: a period with faults, recovery, a check of promises."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from users_platform.names import EXPECTED_ENDPOINT

from tests.soak.callers import Callers
from tests.soak.faults import inject
from tests.soak.fleet import PROGRAM, HostStop
from tests.soak.modes import DEADLINE_S, MODES
from tests.soak.promises import (
    EndpointRun,
    SoakRecord,
    broken_promises,
    crashing_requests,
    late_arrivals,
    max_repeat_ratio,
    sound_failures,
)
from tests.soak.worlds import API_KEY, CUSTOMER, HOST_HEADER, SoakWorld

__all__ = ["SoakResult", "run_seed"]

MAX_ENDPOINTS = {"check": 2, "step": 2, "book": 1, "plan": 3, "draft": 1}
STALL_CHECK_S = 0.01
OPENING_TIMEOUT_S = 30.0
CALLER_WAIT_S = 0.1  # between the first requests of callers that stay with one host
OPENING_REQUESTS = 4  # concurrent at each host while callers open their connections
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
    stops : list of HostStop
        Processes that got SIGTERM.
    repeat_ratio : float
        Most repeats at a service within a window, relative to what is allowed.
    extra_count, same_id_count : int
        Copies of answers that endpoints wrote after the next request on a connection,
        and those of them with the ID of that request.
    late_count : int
        Attempts that endpoints read so late that they had far more time than callers.
    crashing : list of tuple
        Requests that crashed endpoints, each with its crashes and late arrivals.
    sound_failures : Counter
        How sound attempts ended that got no whole answer.
    log : str
        Log of all hosts; empty if no promise broke.
    """

    seed: int
    broken: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    stops: list[HostStop] = field(default_factory=list)
    repeat_ratio: float = 0.0
    extra_count: int = 0
    same_id_count: int = 0
    late_count: int = 0
    crashing: list[tuple[str, int, int]] = field(default_factory=list)
    sound_failures: Counter = field(default_factory=Counter)
    log: str = ""


async def run_seed(
    seed: int,
    hosts: int,
    time_s: float,
    faults: str = "all",
    programs: Sequence[Path] = (PROGRAM,),
) -> SoakResult:
    """Run one seed: a period with the faults of a mode, then requests without."""
    rng = random.Random(seed)
    result = SoakResult(seed)
    mode = MODES[faults]
    world = SoakWorld(hosts, mode, programs)
    stalls: list[tuple[float, float]] = []
    watching = asyncio.create_task(_watch_stalls(stalls))
    try:
        await world.start(rng)
        callers = Callers(
            world.caller_addresses(),
            lambda name: world.hosts[name].start_count,
            HOST_HEADER,
            API_KEY,
            seed,
            mode,
        )
        world.callers = callers
        await _under_faults(world, callers, rng, time_s, result)
        try:
            await _after_faults(world, callers)
        except TimeoutError:
            result.broken.append("calm-is-served: a host did not become ready in time")
        result.stops = [stop for host in world.hosts.values() for stop in host.stops]
        endpoints = world.endpoints.values()
        record = SoakRecord(
            callers.attempts,
            _endpoint_runs(world),
            MAX_ENDPOINTS | {"book": mode.unsafe_attempts},
            CUSTOMER,
            result.stops,
            world.disturbances,
            stalls,
            mode.grace_s,
            [at for endpoint in endpoints for at in endpoint.arrivals],
            [at for endpoint in endpoints for at in endpoint.limited_answers],
            world.evacuations,
            mode.evacuation_s,
            [crash for endpoint in endpoints for crash in endpoint.crashes],
            {name: host.signalled_at for name, host in world.hosts.items()},
        )
        result.broken += broken_promises(record)
        result.repeat_ratio = max_repeat_ratio(record)
        result.late_count = len(late_arrivals(record))
        result.crashing = list(crashing_requests(record))
        result.sound_failures = sound_failures(record)
        extras = [endpoint.extra_answers for endpoint in endpoints]
        result.extra_count = sum(extra.count for extra in extras)
        result.same_id_count = sum(extra.same_id_count for extra in extras)
        result.statuses = Counter(attempt.status for attempt in callers.attempts)
        if result.broken:
            result.log = world.log()
    finally:
        watching.cancel()
        await world.stop()
    return result


async def _watch_stalls(stalls: list[tuple[float, float]]) -> None:
    """Record the times in which this process did not run."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + STALL_CHECK_S
        await asyncio.sleep(STALL_CHECK_S)
        if loop.time() > due_at + STALL_CHECK_S:
            stalls.append((due_at, loop.time()))


async def _under_faults(
    world: SoakWorld,
    callers: Callers,
    rng: random.Random,
    time_s: float,
    result: SoakResult,
) -> None:
    loop = asyncio.get_running_loop()
    mode = world.mode
    opened = asyncio.Barrier(1 + len(world.hosts) * mode.callers_in_turn)
    caller_tasks = []
    for host in world.hosts:
        opening, turn = asyncio.Semaphore(OPENING_REQUESTS), asyncio.Lock()
        for _ in range(mode.callers_in_turn):
            run = callers.run_in_turn(host, opening, opened, turn)
            caller_tasks.append(asyncio.create_task(run))
    async with asyncio.timeout(OPENING_TIMEOUT_S):
        await opened.wait()
    until = loop.time() + time_s
    caller_tasks += [
        asyncio.create_task(callers.run()) for _ in range(mode.caller_count)
    ]
    caller_tasks += [
        asyncio.create_task(callers.run(host, number * CALLER_WAIT_S))
        for host in world.hosts
        for number in range(mode.callers_per_host)
    ]

    def on_fault(name: str) -> None:
        result.faults[name] += 1

    if not mode.callers_outlast_stops:
        loop.call_at(until, callers.stop)
    await asyncio.sleep(mode.lead_s)
    await inject(world, rng, mode, until - loop.time(), on_fault)
    if mode.callers_outlast_stops:
        await world.until_stopped()
        callers.stop()
    longest_s = max(map(max, mode.deadlines_s.values()), default=DEADLINE_S)
    async with asyncio.timeout(LAST_REQUESTS_TIMEOUT_S + time_s + longest_s):
        await asyncio.gather(*caller_tasks)


async def _after_faults(world: SoakWorld, callers: Callers) -> None:
    """Let the hosts recover, then send each kind of request to each."""
    world.heal()
    await world.until_ready()
    await asyncio.sleep(world.mode.recovery_s)
    await world.until_ready()
    callers.after_faults = True
    steps = [f"step-{number}" for number in range(1, world.added_route_count + 1)]
    async with callers.session() as session:
        for host in world.hosts:
            for kind in ("check", "book", "plan"):
                await callers.send_attempt(session, kind, host)
            for step in steps:
                await callers.send_attempt(session, "step", host, prefix=step)


def _endpoint_runs(world: SoakWorld) -> list[EndpointRun]:
    return [
        EndpointRun(
            headers.get(EXPECTED_ENDPOINT, name),
            path,
            headers,
            body,
            endpoint.ended_at.get(number, math.inf),
        )
        for name, endpoint in world.endpoints.items()
        for number, (path, headers, body) in enumerate(endpoint.ran)
    ]
