"""One entry of another writer stands among the replicas as all processes are killed."""

import asyncio

from review.common.fleet import HOST_HEADER, BrokenError, Fleet, run_case
from review.common.store import HEARTBEAT_S

RECOVER_S = 12.0
DOWN_S = 1.0  # until the processes are started again
PATH = "/book/1"
KEY = "key-of-ring"
# Valid JSON text when it is sent, but half of a pair of code units: it is no text.
UNREADABLE = "\ud800"
ENTRY = "entry-of-another-writer"


def config(version: int) -> dict:
    """Return a configuration; its version is all that differs."""
    return {
        "version": version,
        "routes": [
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
            }
        ],
        "services": [{"name": "ring-desk"}],
        "limits": {},
        "tenants": [{"name": "ring", "apiKeys": [KEY]}],
    }


async def served(fleet: Fleet, count: int) -> int:
    """Send requests to all hosts in turn, and return how many were served."""
    statuses = []
    for number in range(count):
        host = fleet.hosts[number % len(fleet.hosts)]
        statuses.append((await fleet.ask(host, PATH, KEY, "POST")).status)
        await asyncio.sleep(0.1)
    return statuses.count(200)


async def write_entry(fleet: Fleet) -> None:
    """Write an entry among the replicas, and renew it as they renew theirs."""
    fleet.note("another writer has an entry, of which one field can't be read:")
    fleet.note("its version is the JSON text \\ud800")
    seq_no = 0
    while True:
        seq_no += 1
        spec = {
            "service": "ring-desk",
            "address": "127.0.0.1:9",
            "zone": "mbeya",
            "version": UNREADABLE,
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": seq_no,
        }
        fleet.store.beat(ENTRY, spec)
        await asyncio.sleep(HEARTBEAT_S)


async def case(fleet: Fleet) -> None:
    """Kill all processes after a configuration was acknowledged; traffic goes on."""
    await fleet.start_store()
    fleet.configure(config(1))
    for number in range(3):
        await fleet.add_replica(f"desk-{number}", "ring-desk")
    await fleet.start_hosts(3)
    await asyncio.sleep(4.0)
    writer = asyncio.create_task(write_entry(fleet)) if fleet.trouble else None
    await asyncio.sleep(HEARTBEAT_S)
    before = await served(fleet, 30)
    fleet.configure(config(2))
    await asyncio.gather(*(host.kill() for host in fleet.hosts))
    fleet.note("all processes were killed")
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(host.start() for host in fleet.hosts))
    fleet.note("all processes were started again")
    await asyncio.sleep(RECOVER_S + 1.0)
    after = await served(fleet, 60)
    fleet.note(f"served before the final fault: {before} of 30")
    fleet.note(f"served from {RECOVER_S + 1.0:.0f} s after the start on: {after} of 60")
    fleet.check(before >= 30 / 4, "not served before the final fault")
    if writer is not None:
        fleet.check(fleet.store.get("servers", ENTRY) is not None, "the entry is gone")
        writer.cancel()
    if after < 60 / 4:
        raise BrokenError(f"{after} of 60 served after recovery, {before} of 30 before")


run_case(__file__, case)
