"""Demonstration of a cascade and of a roll-out that the guard stops."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import openai

from radishshift.entry import EntryHost
from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import KEY, Deployment

__all__ = ["show_cascade", "show_rollout"]

SMALL = "farm-advice-small.v1"
STABLE = "farm-advice-large.v1"
CANARY = "farm-advice-large.v2"
CONCURRENT_REQUESTS = 8
POLL_INTERVAL_S = 0.05
HOLD_TIMEOUT_S = 20.0

SendChat = Callable[[openai.AsyncOpenAI, str, str], Awaitable[str]]
PrintBill = Callable[[str, str], Awaitable[None]]


async def _update_entry(
    deployment: Deployment, host: EntryHost, name: str, **spec: Any
) -> None:
    """Update a catalogue entry, and wait until the host has loaded it."""
    current = await deployment.platform.get(Kind.ENTRY, name)
    updated = replace(current, spec=current.spec | spec)
    stored = await deployment.platform.update(updated)
    while host.router.catalogue.revision < stored.revision:
        await asyncio.sleep(POLL_INTERVAL_S)


async def show_cascade(
    deployment: Deployment, host: EntryHost, send_chat: SendChat, print_bill: PrintBill
) -> None:
    """Show a poor cheap answer being replaced by an expensive one on the same bill."""
    print("a cascade: the rating service gives the cheap answer 0.3 of the 0.7 needed")
    deployment.ratings.scores[SMALL] = 0.3
    await _update_entry(deployment, host, "policies", planner="cheap-first")
    async with openai.AsyncOpenAI(api_key=KEY, base_url=f"{host.address}/v1") as client:
        request_id = await send_chat(client, "season-plan", "Which field is first?")
    await print_bill(host.address, request_id)


async def show_rollout(deployment: Deployment, host: EntryHost) -> StoredObject:
    """Roll out a version with badly rated answers until the guard stops it."""
    print(f"a roll-out: half of {STABLE}'s requests go to {CANARY}, rated 0.1")
    deployment.ratings.scores[CANARY] = 0.1
    parameters = {"target-mix.rated-share": 1.0}
    await _update_entry(
        deployment, host, "policies", planner="target-mix", parameters=parameters
    )
    await _update_entry(
        deployment, host, CANARY, state="canary", canaryShare=0.5, stable=STABLE
    )
    async with openai.AsyncOpenAI(
        api_key=KEY, base_url=f"{host.address}/v1", max_retries=0
    ) as client:
        entry, versions = await _send_until_held(deployment, host, client)
        print("  answered by:", dict(sorted(versions.items())))
        versions = Counter(
            [await _answering_version(client) for _ in range(CONCURRENT_REQUESTS)]
        )
    print(f"  {CANARY} is {entry.spec['state']}:", entry.status["rollout"]["reason"])
    print("  answered by:", dict(versions))
    return entry


async def _send_until_held(
    deployment: Deployment, host: EntryHost, client: openai.AsyncOpenAI
) -> tuple[StoredObject, Counter[str]]:
    versions: Counter[str] = Counter()
    async with asyncio.timeout(HOLD_TIMEOUT_S):
        while True:
            requests = [_answering_version(client) for _ in range(CONCURRENT_REQUESTS)]
            versions.update(await asyncio.gather(*requests))
            entry = await deployment.platform.get(Kind.ENTRY, CANARY)
            state = host.router.catalogue.versions[CANARY].state
            if entry.spec["state"] == state == "held":
                return entry, versions


async def _answering_version(client: openai.AsyncOpenAI) -> str:
    resp = await client.chat.completions.with_raw_response.create(
        model="farm-advice-large",
        messages=[{"role": "user", "content": "Plan the ploughing at Uyole."}],
    )
    return resp.headers["X-Radishshift-Version"]
