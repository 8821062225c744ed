"""The part of the demonstration that shows a cascade and a stopped roll-out."""

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
AT_ONCE = 8
POLL_S = 0.05
HELD_WITHIN_S = 20.0

Ask = Callable[[openai.AsyncOpenAI, str, str], Awaitable[str]]
ShowBill = Callable[[str, str], Awaitable[None]]


async def _change(
    deployment: Deployment, host: EntryHost, name: str, **spec: Any
) -> None:
    """Change an entry, and wait until the host has it in force."""
    held = await deployment.platform.get(Kind.ENTRY, name)
    changed = replace(held, spec=held.spec | spec)
    stored = await deployment.platform.update(changed)
    while host.router.catalogue.revision < stored.revision:
        await asyncio.sleep(POLL_S)


async def show_cascade(
    deployment: Deployment, host: EntryHost, ask: Ask, show_bill: ShowBill
) -> None:
    """Have a cheap answer rejected and a dear one given, both on one bill."""
    print("a cascade: the rating service gives the cheap answer 0.3 of the 0.7 needed")
    deployment.ratings.scores[SMALL] = 0.3
    await _change(deployment, host, "policies", planner="cheap-first")
    async with openai.AsyncOpenAI(api_key=KEY, base_url=f"{host.address}/v1") as client:
        request_id = await ask(client, "season-plan", "Which field is first?")
    await show_bill(host.address, request_id)


async def show_rollout(deployment: Deployment, host: EntryHost) -> StoredObject:
    """Roll out a version whose answers are rated badly, until the guard stops it."""
    print(f"a roll-out: half of {STABLE}'s requests go to {CANARY}, rated 0.1")
    deployment.ratings.scores[CANARY] = 0.1
    parameters = {"target-mix.rated-share": 1.0}
    await _change(
        deployment, host, "policies", planner="target-mix", parameters=parameters
    )
    await _change(
        deployment, host, CANARY, state="canary", canaryShare=0.5, stable=STABLE
    )
    async with openai.AsyncOpenAI(
        api_key=KEY, base_url=f"{host.address}/v1", max_retries=0
    ) as client:
        entry, versions = await _ask_until_held(deployment, host, client)
        print("  answered by:", dict(sorted(versions.items())))
        versions = Counter([await _version_of(client) for _ in range(AT_ONCE)])
    print(f"  {CANARY} is {entry.spec['state']}:", entry.status["rollout"]["reason"])
    print("  answered by:", dict(versions))
    return entry


async def _ask_until_held(
    deployment: Deployment, host: EntryHost, client: openai.AsyncOpenAI
) -> tuple[StoredObject, Counter[str]]:
    versions: Counter[str] = Counter()
    async with asyncio.timeout(HELD_WITHIN_S):
        while True:
            asked = [_version_of(client) for _ in range(AT_ONCE)]
            versions.update(await asyncio.gather(*asked))
            entry = await deployment.platform.get(Kind.ENTRY, CANARY)
            state = host.router.catalogue.versions[CANARY].state
            if entry.spec["state"] == state == "held":
                return entry, versions


async def _version_of(client: openai.AsyncOpenAI) -> str:
    resp = await client.chat.completions.with_raw_response.create(
        model="farm-advice-large",
        messages=[{"role": "user", "content": "Plan the ploughing at Uyole."}],
    )
    return resp.headers["X-Radishshift-Version"]
