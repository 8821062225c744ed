"""Several gateway hosts of one process, before a simulated users' platform."""

import asyncio
import os
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import aiohttp
from entry import ADAPTER
from users_platform.settings import read_settings
from users_platform.standins import StandinPlatform, standin_platform

from radishshift.gateway.gateway_host import GatewayHost
from tests.users_platform.cut_links import CutEndpoints

__all__ = [
    "CONFIG",
    "DATA_CENTRES",
    "DESK",
    "HOST_HEADER",
    "KEY",
    "SERVICE",
    "GatewayFleet",
    "running_fleet",
    "send_plans",
]

KEY = "key-of-ring"
HOST_HEADER = "ring.example"
SERVICE = "advice"
DESK = "desk"
DATA_CENTRES = ("mbeya", "iringa", "dodoma")
ENDPOINT_NAMES = {SERVICE: "llm", DESK: "desk"}
# Below the kernel's range of ephemeral ports.
CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7101, 7102, 7103, 7104


CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "plan",
            "host": HOST_HEADER,
            "pathPrefix": "/plan/",
            "type": "streaming",
            "timeoutMs": 5000,
            "sloMs": 1000,
            "service": SERVICE,
            "maxAttempts": 3,
            "resumable": True,
        },
        {
            "name": "book",
            "host": HOST_HEADER,
            "pathPrefix": "/book/",
            "type": "unsafe",
            "timeoutMs": 5000,
            "sloMs": 300,
            "service": DESK,
            "maxAttempts": 1,
        },
    ],
    "services": [{"name": SERVICE}, {"name": DESK}],
    "tenants": [{"name": "ring", "apiKeys": [KEY]}],
}


def _loopback_ip(number: int) -> str:
    """Return a loopback address of this process that no soak test uses."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{101 + number}"


class GatewayFleet:
    """Hosts that gossip with each other.

    Parameters
    ----------
    platform : StandinPlatform
    host_count : int
    """

    def __init__(self, platform: StandinPlatform, host_count: int) -> None:
        self.platform = platform
        self._host_count = host_count
        self._running: list[asyncio.Task] = []
        self.hosts = self._make_hosts()

    def _make_hosts(self) -> list[GatewayHost]:
        return [GatewayHost(self._adapter(n)) for n in range(self._host_count)]

    def _adapter(self, number):
        ip = _loopback_ip(number)
        seeds = [f"{_loopback_ip(n)}:{PEER_PORT}" for n in range(self._host_count)]
        text = f"""
nodeName = "edge-{number}"
ip = "{ip}"
zone = "{DATA_CENTRES[number % len(DATA_CENTRES)]}"
portRange = [{PEER_PORT}, {METRICS_PORT}]
seedNodes = {[seed for seed in seeds if not seed.startswith(f"{ip}:")]!r}
[listen]
frontend = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READY_PORT}"
[bounds]
graceS = 1.0
[platform]
address = "{self.platform.store_address}"
"""
        return replace(
            ADAPTER,
            load_settings=lambda: read_settings(text),
            make_endpoint_client=CutEndpoints,
        )

    async def start(self) -> None:
        """Start the hosts; return once each knows the others and all endpoints."""
        self._running = [asyncio.create_task(host.run()) for host in self.hosts]
        async with asyncio.timeout(20):
            while not all(map(self._is_complete, self.hosts)):
                await asyncio.sleep(0.02)

    async def restart(self) -> None:
        """Stop all hosts and start them again, without what they knew."""
        await self.stop()
        self.hosts = self._make_hosts()
        await self.start()

    def _is_complete(self, host):
        others = host.gossip.host_count() >= self._host_count - 1
        endpoint_count = len(self.platform.endpoints)
        return others and len(host.host_view.members) == endpoint_count

    async def stop(self) -> None:
        """Stop the hosts."""
        for host in self.hosts:
            host.stop("test ends")
        await asyncio.gather(*self._running)


@asynccontextmanager
async def running_fleet(
    host_count: int,
    services: Sequence[str] = (SERVICE,),
) -> AsyncIterator[tuple[GatewayFleet, aiohttp.ClientSession]]:
    """Run hosts before an endpoint in each data centre; yield them with a client."""
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(standin_platform(CONFIG, ()))
        for number, data_centre in enumerate(DATA_CENTRES):
            for service in services:
                name = f"{ENDPOINT_NAMES[service]}-{number}"
                await platform.add_endpoint(name, service, zone=data_centre)
        fleet = GatewayFleet(platform, host_count)
        stack.push_async_callback(fleet.stop)
        await fleet.start()
        yield fleet, await stack.enter_async_context(aiohttp.ClientSession())


async def send_plans(
    session: aiohttp.ClientSession,
    hosts: Sequence[GatewayHost],
    rng: random.Random,
    duration_s: float,
    interval_s: float,
) -> list[bool]:
    """Send requests to random hosts; return whether each was served."""
    tasks = []
    for number in range(int(duration_s / interval_s)):
        request = _send_plan(session, rng.choice(hosts), number)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


async def _send_plan(
    session: aiohttp.ClientSession, host: GatewayHost, number: int
) -> bool:
    headers = {
        "Host": HOST_HEADER,
        "X-Key": KEY,
        "X-Attempt-Id": f"{host.settings.host}-{number}",
        "X-Deadline-Ms": "4000",
        "X-Token-Usage": "350,50",
        "X-Prefix-Hash": f"doc-{number % 7}:300,own-{number}:50",
    }
    url = f"http://{host.settings.caller_address}/plan/{number}"
    try:
        async with session.post(url, headers=headers, data=b"%d" % number) as resp:
            await resp.read()
            return resp.status == 200
    except aiohttp.ClientError:
        return False
