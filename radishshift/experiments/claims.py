"""Platform writes per claim, and latency of claims, at several request rates.

Entry hosts of three data centres acquire claims in virtual time and record results
after a short call. Two variants run on the same arrivals: each host writes every
shard itself, or hosts forward changes to the shard's preferred writer.
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
flags.DEFINE_float("claims_seconds", 8.0, "Duration of each run, in seconds.")
flags.DEFINE_float("claims_platform_s", 0.005, "Latency of platform calls, in seconds.")
flags.DEFINE_float("claims_link_s", 0.003, "Round-trip time to peers, in seconds.")
flags.DEFINE_float("claims_call_s", 0.2, "Duration of a booking, in seconds.")
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


class _DelayedPeers(MemoryPeers):
    """Peers in memory with a network delay."""

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Pass a message to a host's handler after the round-trip time."""
        await asyncio.sleep(FLAGS.claims_link_s)
        return await super().call(host, topic, message, deadline)


def _make_call(number: int) -> ServiceCall:
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


def _make_claims(platform: MemoryPlatform, forward: bool) -> list[Claims]:
    network: dict[str, MemoryPeers] = {}
    claims_by_host = []
    for number in range(FLAGS.claims_hosts):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"{data_centre}-{number}"
        peers = _DelayedPeers(Host(name, data_centre, "tz-south", ""), network)
        faulty_platform = FaultyPlatform(platform, CLOCK)
        faulty_platform.faults.slow_s = FLAGS.claims_platform_s
        process = f"{name}-0"
        claims_by_host.append(
            Claims(faulty_platform, CLOCK, process, peers if forward else None)
        )
    return claims_by_host


async def _book(
    claims: Claims, number: int, waits_s: list[float], refusal_codes: list[str]
) -> None:
    call = _make_call(number)
    try:
        claim = await claims.claim(call)
    except RadishshiftError as exc:
        refusal_codes.append(exc.code)
        return
    waits_s.append(CLOCK.now() - call.arrived)
    await asyncio.sleep(FLAGS.claims_call_s)
    started_at = CLOCK.now()
    await claims.record(claim, REPLY)
    waits_s.append(CLOCK.now() - started_at)


async def _run(rate_per_s: int, forward: bool, seed: int) -> dict[str, Any]:
    rng = np.random.default_rng(seed)
    platform = MemoryPlatform()
    claims_by_host = _make_claims(platform, forward)
    duration_s = max(FLAGS.claims_seconds, 50.0 / rate_per_s)
    claim_count = max(1, int(rng.poisson(rate_per_s * duration_s)))
    gaps_s = rng.exponential(1.0 / rate_per_s, claim_count).tolist()
    host_numbers = rng.integers(len(claims_by_host), size=claim_count)
    waits_s: list[float] = []
    refusal_codes: list[str] = []
    tasks = []
    for number, (gap_s, host_number) in enumerate(
        zip(gaps_s, host_numbers, strict=True)
    ):
        await asyncio.sleep(gap_s)
        booking = _book(claims_by_host[host_number], number, waits_s, refusal_codes)
        tasks.append(asyncio.create_task(booking))
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)
    return {
        "rate_per_s": rate_per_s,
        "claims": claim_count,
        "refused": len(refusal_codes),
        "writes_per_claim": round(platform.writes / claim_count, 3),
        "reads_per_claim": round(platform.reads / claim_count, 3),
        "writes_per_s": round(platform.writes / duration_s, 1),
        "wait_p50_ms": round(1000 * float(np.percentile(waits_s, 50)), 1),
        "wait_p99_ms": round(1000 * float(np.percentile(waits_s, 99)), 1),
    }


@experiment("claims")
def measure_claims(seed: int) -> dict[str, Any]:
    """Measure writes per claim with and without preferred writers."""
    results: dict[str, Any] = {}
    for name, forward in (("usual_writers", True), ("every_host", False)):
        results[name] = [
            run_virtually(_run(rate_per_s, forward, seed)) for rate_per_s in RATES_PER_S
        ]
    return results
