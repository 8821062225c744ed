"""The store comes back from a copy some seconds old; the next config must apply."""

import asyncio

from review.common.fleet import (
    CONTACT_S,
    HOST_HEADER,
    BrokenError,
    Fleet,
    run_case,
)

CONFIG_APPLY_S = 2.0
AWAY_S = 1.0
KEPT, REVOKED = "key-of-ring", "key-to-revoke"


def config(version: int, routes: list[str], keys: list[str]) -> dict:
    """Return a configuration with the given routes, named by their prefixes."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST_HEADER,
                "pathPrefix": f"/{name}/",
                "type": "unsafe",
                "timeoutMs": 1000,
                "sloMs": 250,
                "service": "ring-desk",
                "maxAttempts": 1,
                "priority": 2,
            }
            for name in routes
        ],
        "services": [{"name": "ring-desk"}],
        "limits": {},
        "tenants": [{"name": "ring", "apiKeys": keys}],
    }


async def case(fleet: Fleet) -> None:
    """Lose some seconds of the store, then add a route and take a key away."""
    await fleet.start_store()
    routes, keys = ["book"], [KEPT, REVOKED]
    fleet.configure(config(1, routes, keys))
    for number in range(3):
        await fleet.add_replica(f"desk-{number}", "ring-desk")
    await fleet.start_hosts(3)
    await asyncio.sleep(4.0)
    saved = fleet.store.copy()
    fleet.note(f"copy of the store at revision {saved[0]}")
    for version in (2, 3, 4):
        routes = [*routes, f"added-{version}"]
        fleet.configure(config(version, routes, keys))
        await asyncio.sleep(0.7)
    await asyncio.sleep(1.0)
    for host in fleet.hosts:
        reply = await fleet.ask(host, "/added-4/1", KEPT, "POST")
        fleet.check(reply.status == 200, "version 4 isn't in force before the drill")
    if fleet.trouble:
        fleet.store.go_away()
        fleet.note("the store is away")
        await asyncio.sleep(AWAY_S)
        fleet.store.come_back_from(saved)
        fleet.note(f"the store is back from the copy, at revision {saved[0]}")
        # What the operator and the replicas wrote is written again.
        fleet.configure(config(4, routes, keys))
        for replica in fleet.replicas.values():
            replica.register()
    await asyncio.sleep(CONTACT_S + 2.0)
    fleet.configure(config(5, [*routes, "late"], [KEPT]))
    faults = []
    for _ in range(5):
        await asyncio.sleep(CONFIG_APPLY_S + 2.0)
        for host in fleet.hosts:
            reply = await fleet.ask(host, "/late/1", KEPT, "POST")
            if reply.status == 404:
                faults.append(f"{reply.attempt_id} got 404 on a route of version 5")
            reply = await fleet.ask(host, "/book/1", REVOKED, "POST")
            if fleet.runs_of(reply.attempt_id):
                faults.append(f"{reply.attempt_id} ran with a key that 5 doesn't hold")
    if faults:
        raise BrokenError(f"{len(faults)} of 30 requests, first {faults[0]}")


run_case(__file__, case)
