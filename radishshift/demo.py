"""Demonstration: one entry host and stand-ins for its surroundings in one process."""

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
from radishshift.entry import EntryHost, run_entry_host
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
READY_POLL_INTERVAL_S = 0.02
BIN_DIR = Path(sys.executable).parent


@asynccontextmanager
async def run_demo_host(
    deployment: Deployment,
    bounds: BoundSettings | None = None,
    times: TimeSettings | None = None,
) -> AsyncIterator[EntryHost]:
    """Run an entry host in front of a deployment, and yield it once it is ready."""
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
    target_revision = deployment.platform.revision
    async with run_entry_host(cfg) as host:
        while host.router.catalogue.revision < target_revision:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        yield host


async def _print_bill(address: str, request_id: str) -> None:
    headers = {"Authorization": f"Bearer {KEY}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(f"{address}/v1/answers/{request_id}/bill") as resp,
    ):
        print("  bill:   ", await resp.text())


async def _send_chat(client: openai.AsyncOpenAI, task_class: str, text: str) -> str:
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


async def _book_twice(address: str) -> str:
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "booking-1"}
    async with aiohttp.ClientSession(headers=headers) as session:
        url = f"{address}/v1/services/booking-desk/bookings"
        bodies = []
        request_ids = []
        for _ in range(2):
            async with session.post(url, json={"machine": "harvester-3"}) as resp:
                bodies.append(await resp.text())
                request_ids.append(resp.headers["X-Request-Id"])
    print("booking, sent twice with one idempotency key")
    print("  answers:", *bodies)
    return request_ids[0]


async def demonstrate(address: str) -> None:
    """Send two chat requests and a repeated booking; print answers and bills."""
    async with openai.AsyncOpenAI(api_key=KEY, base_url=f"{address}/v1") as client:
        request_id = await _send_chat(
            client, "season-plan", "Plan the ploughing at Uyole."
        )
        await _print_bill(address, request_id)
        request_id = await _send_chat(client, "quick-check", "Who holds the harvester?")
        await _print_bill(address, request_id)
    request_id = await _book_twice(address)
    await _print_bill(address, request_id)


def _print_hints(host: EntryHost, deployment: Deployment) -> None:
    address = host.address
    print("\nThe deployment keeps running; stop it with Ctrl-C. Try:")
    print(f"  curl -s {address}/v1/models -H 'Authorization: Bearer {KEY}'")
    body = '{"model":"auto","messages":[{"role":"user","content":"Hello"}]}'
    print(
        f"  curl -s {address}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \\"
    )
    print(f"    -d '{body}'")
    print(f"  curl -s {host.monitoring_address}/metrics")
    flag = f"--platform={deployment.platform_address}"
    print(f"  {BIN_DIR}/radishshift show {flag}")
    print(f"  {BIN_DIR}/radishshift withdraw farm-advice-large.v1 {flag}")
    print(f"  {BIN_DIR}/radishshift-burn --hosts={host.monitoring_address} {flag}")


async def _run() -> None:
    async with deployed() as deployment, run_demo_host(deployment) as host:
        await demonstrate(host.address)
        await show_cascade(deployment, host, _send_chat, _print_bill)
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
    """Parse the command line and run the demonstration."""
    flags.DEFINE_bool("keep", False, "Keep running after the demonstration.")
    app.run(_main)
