"""All keys are taken away; requests without a valid key must not run."""

import asyncio

from review.common.fleet import HOST_HEADER, BrokenError, Fleet, run_case

KEYS = {"ring": "key-of-ring", "clerks": "key-of-clerks"}
NEVER_A_KEY = "never-a-key"
CONFIG_APPLY_S = 2.0
GAP_S = 1.5  # between two keys, as the site file has it
PATH = "/book/1"


def config(version: int, keys: dict[str, str]) -> dict:
    """Return a configuration in which the tenants hold the given keys."""
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
        "tenants": [
            {"name": name, "apiKeys": [keys[name]] if name in keys else []}
            for name in KEYS
        ],
    }


async def case(fleet: Fleet) -> None:
    """Take the keys away one after the other, and ask with and without one."""
    await fleet.start_store()
    fleet.configure(config(1, KEYS))
    for number in range(3):
        await fleet.add_replica(f"desk-{number}", "ring-desk")
    await fleet.start_hosts(3)
    await asyncio.sleep(4.0)
    for host in fleet.hosts:
        reply = await fleet.ask(host, PATH, NEVER_A_KEY, "POST")
        fleet.check(reply.status == 401, "a key that was never held isn't refused")
        reply = await fleet.ask(host, PATH, KEYS["ring"], "POST")
        fleet.check(reply.status == 200, "a key that is held isn't served")
    if fleet.trouble:
        fleet.configure(config(2, {"clerks": KEYS["clerks"]}))
        await asyncio.sleep(GAP_S)
        fleet.configure(config(3, {}))
    await asyncio.sleep(CONFIG_APPLY_S + 2.0)
    faults = []
    for host in fleet.hosts:
        for key in (NEVER_A_KEY, "", *KEYS.values()):
            reply = await fleet.ask(host, PATH, key, "POST")
            revoked = fleet.trouble and key in KEYS.values()
            may_run = key in KEYS.values() and not revoked
            if fleet.runs_of(reply.attempt_id) and not may_run:
                faults.append(f"{reply.attempt_id} with key {key or 'none'}")
    if faults:
        raise BrokenError(f"{len(faults)} requests ran: {', '.join(faults)}")


run_case(__file__, case)
