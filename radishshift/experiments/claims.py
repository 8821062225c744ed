"""Platform writes for each claim, and the wait for one, at several rates.

Entry hosts of three data centres take claims in virtual time and record their
results after a short call. Two variants run on the same arrivals: all hosts write
every shard themselves, or pass their changes to the shard's usual writer.
"""

import asyncio
from typing import Any

import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.claims import Claims
from radishshift.contracts import Contract, Limits, Objectives, TaskClass
from radishshift.engines import ServiceReply
from radishshift.errors import RadishshiftError
from radishshift.hosts import Host
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.requests import ServiceCall
from radishshift.standins.faulty import FaultyPlatform
from radishshift.virtual_time import LoopClock, run_virtually

__all__ = ["measure_claims"]

FLAGS = flags.FLAGS
flags.DEFINE_float("claims_seconds", 8.0, "Length of each run, in seconds.")
flags.DEFINE_float("claims_platform_s", 0.005, "Time of a platform call, in seconds.")
flags.DEFINE_float("claims_link_s", 0.003, "Time to a peer and back, in seconds.")
flags.DEFINE_float("claims_call_s", 0.2, "Time that a booking takes, in seconds.")
flags.DEFINE_integer("claims_hosts", 6, "Number of entry hosts.")

RATES_PER_S = (1, 10, 100, 500)
DATA_CENTRES = ("mbeya", "iringa", "njombe")
CLOCK = LoopClock()
REPLY = ServiceReply(201, "application/json", b'{"booking": 7, "machine": "plough"}')
CONTRACT = Contract(
    customer="uyole-ring",
    key_digests=(),
    allowed=frozenset(),
    weight=1.0,
    limits=Limits(1e6, 1e6, 10_000),
    quality={},
    default_class="booking",
)
BOOKING = TaskClass("booking", 1, 20.0, False, Objectives(1.0, 1.0, 1.0, 0.99))


class _LinkedPeers(MemoryPeers):
    """Peers with a time on the way."""

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Hand a message to a host's handler after the time on the way."""
        await asyncio.sleep(FLAGS.claims_link_s)
        return await super().call(host, topic, message, deadline)


def _call(number: int) -> ServiceCall:
    now = CLOCK.now()
    return ServiceCall(
        request_id=f"request-{number}",
        contract=CONTRACT,
        task_class=BOOKING,
        service="booking-desk",
        method="POST",
        path="/bookings",
        headers={},
        body=b'{"machine": "plough"}',
        idempotent=False,
        arrived=now,
        deadline=now + 20.0,
        idempotency_key=f"key-{number}",
    )


def _hosts(platform: MemoryPlatform, shared: bool) -> list[Claims]:
    network: dict[str, MemoryPeers] = {}
    hosts = []
    for number in range(FLAGS.claims_hosts):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"{data_centre}-{number}"
        peers = _LinkedPeers(Host(name, data_centre, "tz-south", ""), network)
        way = FaultyPlatform(platform, CLOCK)
        way.faults.slow_s = FLAGS.claims_platform_s
        process = f"{name}-0"
        hosts.append(Claims(way, CLOCK, process, peers if shared else None))
    return hosts


async def _book(
    claims: Claims, number: int, waits_s: list[float], refused: list[str]
) -> None:
    call = _call(number)
    try:
        claim = await claims.claim(call)
    except RadishshiftError as exc:
        refused.append(exc.code)
        return
    waits_s.append(CLOCK.now() - call.arrived)
    await asyncio.sleep(FLAGS.claims_call_s)
    began = CLOCK.now()
    await claims.record(claim, REPLY)
    waits_s.append(CLOCK.now() - began)


async def _run(rate_per_s: int, shared: bool, seed: int) -> dict[str, Any]:
    rng = np.random.default_rng(seed)
    platform = MemoryPlatform()
    hosts = _hosts(platform, shared)
    seconds = max(FLAGS.claims_seconds, 50.0 / rate_per_s)
    count = max(1, int(rng.poisson(rate_per_s * seconds)))
    gaps_s = rng.exponential(1.0 / rate_per_s, count).tolist()
    places = rng.integers(len(hosts), size=count)
    waits_s: list[float] = []
    refused: list[str] = []
    tasks = []
    for number, (gap_s, place) in enumerate(zip(gaps_s, places, strict=True)):
        await asyncio.sleep(gap_s)
        work = _book(hosts[place], number, waits_s, refused)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)
    return {
        "rate_per_s": rate_per_s,
        "claims": count,
        "refused": len(refused),
        "writes_per_claim": round(platform.writes / count, 3),
        "reads_per_claim": round(platform.reads / count, 3),
        "writes_per_s": round(platform.writes / seconds, 1),
        "wait_p50_ms": round(1000 * float(np.percentile(waits_s, 50)), 1),
        "wait_p99_ms": round(1000 * float(np.percentile(waits_s, 99)), 1),
    }


@experiment("claims")
def measure_claims(seed: int) -> dict[str, Any]:
    """Measure writes for each claim with and without usual writers."""
    results: dict[str, Any] = {}
    for name, shared in (("usual_writers", True), ("every_host", False)):
        results[name] = [
            run_virtually(_run(rate_per_s, shared, seed)) for rate_per_s in RATES_PER_S
        ]
    return results
