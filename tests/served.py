"""Test fixture: a small deployment with an entry host and a caller."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec

from radishshift.demo import run_demo_host
from radishshift.entry import EntryHost
from radishshift.settings import TimeSettings
from radishshift.standins.deployment import KEY, Deployment, deployed
from radishshift.standins.engine import EngineFaults

__all__ = ["FAST", "Served", "served"]

FAST = TimeSettings(stream_idle_s=0.2, connect_s=0.2, stop_s=2.0)
SETTLE_POLLS = 500
VERSION = "farm-advice-small.v1"


@dataclass
class Served:
    """A serving entry host, with the requests of a caller."""

    deployment: Deployment
    host: EntryHost
    session: aiohttp.ClientSession

    @property
    def engines(self):
        return list(self.deployment.engines.values())

    async def wait_until_idle(self):
        """Wait for in-flight requests to end; return how many remain."""
        for _ in range(SETTLE_POLLS):
            if not self.host.router.in_flight:
                break
            await asyncio.sleep(0.01)
        return len(self.host.router.in_flight)

    def run_count(self):
        return sum(len(engine.ran) for engine in self.engines)

    def set_faults(self, **faults):
        for engine in self.engines:
            engine.faults = EngineFaults(**faults)

    def post(self, body, path="chat/completions", key=KEY, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        headers.setdefault("Authorization", f"Bearer {key}")
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        url = f"{self.host.address}/v1/{path}"
        return self.session.post(url, data=data, headers=headers)

    def get(self, path, key=KEY, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        headers["Authorization"] = f"Bearer {key}"
        return self.session.get(f"{self.host.address}/v1/{path}", headers=headers)

    def chat(self, text="Hello", stream=True, key=KEY, body=None, **headers):
        complete_body = {
            "model": VERSION,
            "messages": [{"role": "user", "content": text}],
            "stream": stream,
        } | (body or {})
        return self.post(complete_body, key=key, **headers)

    async def chat_text(self, *args, **kwargs):
        async with self.chat(*args, **kwargs) as resp:
            return (await resp.read()).decode()


@asynccontextmanager
async def served(times=FAST, bounds=None, tokens=6, token_s=0.005):
    async with (
        deployed() as deployment,
        run_demo_host(deployment, bounds, times) as host,
        aiohttp.ClientSession() as session,
    ):
        for engine in deployment.engines.values():
            engine.tokens = tokens
            engine.token_s = token_s
        yield Served(deployment, host, session)
