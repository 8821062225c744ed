"""A request that crashes replicas comes again at processes that have restarted."""

import asyncio
import time

from review.common.fleet import (
    CONTACT_S,
    HOST_HEADER,
    ZONES,
    BrokenError,
    Fleet,
    Host,
    run_case,
)
from review.common.replicas import Run

KEY = "key-of-ring"
DEADLY = "/check/deadly"
ALLOWED_RETRIES = 3
RETRIES = 3  # after each restart
REPLICAS = 9
DOWN_S = 0.8  # of a process that is killed
UNTIL_KILL_S = 29.8  # since the last crash

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "check-booking",
            "host": HOST_HEADER,
            "pathPrefix": "/check/",
            "type": "safe",
            "timeoutMs": 1000,
            "sloMs": 250,
            "service": "ring-desk",
            "maxAttempts": 1,
            "priority": 2,
        },
        {
            "name": "book-machine",
            "host": HOST_HEADER,
            "pathPrefix": "/book/",
            "type": "unsafe",
            "timeoutMs": 1000,
            "sloMs": 250,
            "service": "ring-desk",
            "maxAttempts": 1,
            "priority": 2,
        },
    ],
    "services": [{"name": "ring-desk"}],
    "limits": {},
    "tenants": [{"name": "ring", "apiKeys": [KEY]}],
}


def crashes(fleet: Fleet) -> list[float]:
    """Return the instants of all crashes of replicas."""
    return sorted(
        at for replica in fleet.replicas.values() for at in replica.crashed_at
    )


def late_retries(fleet: Fleet, third_at: float) -> list[Run]:
    """Return the runs later than `contactMs` after the third crash."""
    return [
        run
        for replica in fleet.replicas.values()
        for run in replica.runs
        if run.request == f"GET {DEADLY}" and run.at > third_at + CONTACT_S
    ]


async def restart(fleet: Fleet, host: Host) -> None:
    """Kill one process, start it again, and wait until it is in touch."""
    if fleet.trouble:
        await host.kill()
        fleet.note(f"{host.name} was killed")
        await asyncio.sleep(DOWN_S)
        await host.start()
    await fleet.wait_ready()
    await asyncio.sleep(CONTACT_S + 0.3)


async def come_again(fleet: Fleet, host: Host) -> int:
    """Send the request again, and return how many bookings its crashes cost.

    The bookings come by the same host and use the same replicas.
    """
    bookings = []
    for _ in range(RETRIES):
        for number in range(REPLICAS):
            path = f"/book/{len(fleet.replies)}-{number}"
            ask = fleet.ask(host, path, KEY, "POST")
            bookings.append(asyncio.create_task(ask))
        await asyncio.sleep(0.1)
        await fleet.ask(host, DEADLY, KEY)
        await asyncio.sleep(0.2)
    replies = await asyncio.gather(*bookings)
    return sum(reply.status != 200 for reply in replies)


async def case(fleet: Fleet) -> None:
    """Send the request to all hosts, then to each one that was restarted."""
    await fleet.start_store()
    fleet.configure(CONFIG)
    for number in range(REPLICAS):
        await fleet.add_replica(
            f"desk-{number}",
            "ring-desk",
            zone=ZONES[number % len(ZONES)],
            work_s=0.2,
            deadly_path=DEADLY,
        )
    await fleet.start_hosts(3)
    await asyncio.sleep(CONTACT_S + 0.5)
    await asyncio.gather(*(fleet.ask(host, DEADLY, KEY) for host in fleet.hosts))
    fleet.check(len(crashes(fleet)) >= 3, "the request has crashed fewer than three")
    third_at = crashes(fleet)[2]
    lost = 0
    for host in fleet.hosts[:2]:
        await asyncio.sleep(max(0.0, crashes(fleet)[-1] + UNTIL_KILL_S - time.time()))
        for other in fleet.hosts:
            reply = await fleet.ask(other, DEADLY, KEY)
            fleet.check(reply.status == 503, "the request isn't held before the kill")
        await restart(fleet, host)
        lost += await come_again(fleet, host)
    late = late_retries(fleet, third_at)
    fleet.note(f"bookings in flight that were lost with their replicas: {lost}")
    fleet.note(f"third crash at {third_at:.3f}; {len(crashes(fleet))} crashes in all")
    if len(late) > ALLOWED_RETRIES:
        raise BrokenError(
            f"{len(late)} retries reached replicas later than contactMs after the "
            f"third crash; {len(crashes(fleet))} crashes in all, {lost} bookings lost"
        )


run_case(__file__, case)
