"""A replica preempts a stream for a second while the host stops gracefully."""

import asyncio
import signal

from review.common.fleet import HOST_HEADER, BrokenError, Fleet, run_case

KEY = "key-of-ring"
PATH = "/chat/1"
STREAMS = 12
EVENTS, GAP_S = 40, 0.1
PREEMPTED = (3, 6, 9)  # of the streams
PREEMPTED_AT, PREEMPTED_S = 20, 1.25  # event, and the time until it comes
PROMPT = {
    "X-Model": "daka510000",
    "X-Token-Usage": "600,200",
    "X-Prefix-Hash": "5c1e07a2:400,91bd3f06:200",
}

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "booking-chat",
            "host": HOST_HEADER,
            "pathPrefix": "/chat/",
            "type": "streaming",
            "timeoutMs": 25000,
            "sloMs": 3000,
            "gapTargetMs": 1200,
            "service": "mkulima-llm",
            "maxAttempts": 3,
            "priority": 1,
            "sticky": True,
        }
    ],
    "services": [{"name": "mkulima-llm"}],
    "limits": {},
    "tenants": [{"name": "ring", "apiKeys": [KEY]}],
}


async def case(fleet: Fleet) -> None:
    """Begin streams that can't be resumed, and stop the host that has them."""
    await fleet.start_store()
    fleet.configure(CONFIG)
    for number in range(2):
        name = f"llm-{number}"
        await fleet.add_replica(name, "mkulima-llm", events=EVENTS, gap_s=GAP_S)
    await fleet.start_hosts(3)
    await asyncio.sleep(4.0)
    if fleet.trouble:
        for replica in fleet.replicas.values():
            replica.pauses = {
                f"a{number:05d}": (PREEMPTED_AT, PREEMPTED_S) for number in PREEMPTED
            }
    host = fleet.hosts[0]
    streams = []
    for _ in range(STREAMS):
        ask = fleet.ask(host, PATH, KEY, "POST", wait_ms=25000, headers=PROMPT)
        streams.append(asyncio.create_task(ask))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.4)
    host.signal(signal.SIGTERM)
    fleet.note(f"SIGTERM to {host.name}")
    replies = await asyncio.gather(*streams)
    cut = [reply for reply in replies if not reply.complete]
    for reply in cut:
        for run in fleet.runs_of(reply.attempt_id):
            took_s = reply.ended_at - reply.sent_at
            fleet.note(f"{reply.attempt_id} was cut after {took_s:.2f} s; {run.ended}")
    if cut:
        raise BrokenError(
            f"{len(cut)} of {STREAMS} streams were cut while their replica worked"
        )


run_case(__file__, case)
