"""The embedded default: stand-ins and one entry host in one process."""

import asyncio
import logging
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import openai
from absl import app, flags

from radishshift.demo_decisions import show_cascade, show_rollout
from radishshift.entry import EntryHost, running
from radishshift.logs import log_json_to
from radishshift.settings import (
    AddressSettings,
    BoundSettings,
    HostSettings,
    PlatformSettings,
    RatingSettings,
    TimeSettings,
)
from radishshift.standins.deployment import KEY, Deployment, deployed

__all__ = ["demonstrate", "run", "run_demo_host"]

FLAGS = flags.FLAGS
READY_POLL_S = 0.02
PROGRAMS = Path(sys.executable).parent


@asynccontextmanager
async def run_demo_host(
    deployment: Deployment,
    bounds: BoundSettings | None = None,
    times: TimeSettings | None = None,
) -> AsyncIterator[EntryHost]:
    """Run an entry host before a deployment, ready to serve."""
    cfg = HostSettings(
        bounds=bounds or BoundSettings(),
        times=times or TimeSettings(),
        name="mbeya-entry-1",
        data_centre="mbeya",
        region="tz-south",
        platform=PlatformSettings(address=deployment.platform_address),
        address=AddressSettings(caller_port=0, peer_port=0, metrics_port=0),
        ratings=RatingSettings(address=deployment.ratings_address, fetch_s=0.1),
    )
    wanted = deployment.platform.revision
    async with running(cfg) as host:
        while host.router.catalogue.revision < wanted:
            await asyncio.sleep(READY_POLL_S)
        yield host


async def _show_bill(address: str, request_id: str) -> None:
    headers = {"Authorization": f"Bearer {KEY}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(f"{address}/v1/answers/{request_id}/bill") as resp,
    ):
        print("  bill:   ", await resp.text())


async def _ask(client: openai.AsyncOpenAI, task_class: str, text: str) -> str:
    resp = await client.chat.completions.with_raw_response.create(
        model="auto",
        messages=[{"role": "user", "content": text}],
        stream=True,
        extra_headers={"X-Task-Class": task_class},
    )
    words = []
    async for chunk in resp.parse():
        if chunk.choices:
            words.append(chunk.choices[0].delta.content or "")
    print(f"{task_class}: {text}")
    print("  answer: ", "".join(words))
    print("  version:", resp.headers["X-Radishshift-Version"])
    return resp.headers["X-Request-Id"]


async def _book(address: str) -> str:
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "booking-1"}
    async with aiohttp.ClientSession(headers=headers) as session:
        url = f"{address}/v1/services/booking-desk/bookings"
        bodies = []
        request_ids = []
        for _ in range(2):
            async with session.post(url, json={"machine": "harvester-3"}) as resp:
                bodies.append(await resp.text())
                request_ids.append(resp.headers["X-Request-Id"])
    print("booking, sent twice with one key")
    print("  answers:", *bodies)
    return request_ids[0]


async def demonstrate(address: str) -> None:
    """Send a chat request, a quick check and a booking, and print what came back."""
    async with openai.AsyncOpenAI(api_key=KEY, base_url=f"{address}/v1") as client:
        request_id = await _ask(client, "season-plan", "Plan the ploughing at Uyole.")
        await _show_bill(address, request_id)
        request_id = await _ask(client, "quick-check", "Who holds the harvester?")
        await _show_bill(address, request_id)
    request_id = await _book(address)
    await _show_bill(address, request_id)


def _print_hints(host: EntryHost, deployment: Deployment) -> None:
    address = host.address
    print("\nThe deployment stays up; end it with Ctrl-C. Try:")
    print(f"  curl -s {address}/v1/models -H 'Authorization: Bearer {KEY}'")
    body = '{"model":"auto","messages":[{"role":"user","content":"Hello"}]}'
    print(
        f"  curl -s {address}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \\"
    )
    print(f"    -d '{body}'")
    print(f"  curl -s {host.monitoring_address}/metrics")
    to = f"--platform={deployment.platform_address}"
    print(f"  {PROGRAMS}/radishshift show {to}")
    print(f"  {PROGRAMS}/radishshift withdraw farm-advice-large.v1 {to}")
    print(f"  {PROGRAMS}/radishshift-burn --hosts={host.monitoring_address} {to}")


async def _run() -> None:
    async with deployed() as deployment, run_demo_host(deployment) as host:
        await demonstrate(host.address)
        await show_cascade(deployment, host, _ask, _show_bill)
        await show_rollout(deployment, host)
        if FLAGS.keep:
            _print_hints(host, deployment)
            await asyncio.Event().wait()


def _main(_: list[str]) -> None:
    log_json_to()
    logging.getLogger().setLevel(logging.WARNING)
    try:
        asyncio.run(_run())
    except KeyboardInterrupt:
        return


def run() -> None:
    """Run the demonstration from the command line."""
    flags.DEFINE_bool("keep", False, "Stay up after the requests.")
    app.run(_main)
