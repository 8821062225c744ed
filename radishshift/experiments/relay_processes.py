"""Processes of the relay experiment: engine, bare relay, entry host and load."""

import asyncio
import cProfile
import itertools
import logging
import os
import pstats
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from typing import Any

import aiohttp
import msgspec
import numpy as np
from aiohttp import web

from radishshift.entry import freeze_startup_objects, run_entry_host
from radishshift.listening import listening
from radishshift.loops import coalescing_event_loop
from radishshift.settings import HostSettings

__all__ = ["Load", "run_bare", "run_engine", "run_entry", "run_load"]

MODEL = "farm-advice-small"
READY_POLL_S = 0.02
RAMP_S = 1.0
REFUSED_PAUSE_S = 0.1
DEADLINE_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROFILE_LINES = 45


async def _until_closed(pipe: Connection) -> None:
    """Return once the parent sends something or has gone."""
    loop = asyncio.get_running_loop()
    closed = loop.create_future()
    loop.add_reader(pipe.fileno(), lambda: closed.done() or closed.set_result(None))
    try:
        await closed
    finally:
        loop.remove_reader(pipe.fileno())


def run_engine(pipe: Connection, pace_s: float) -> None:
    """Serve as an engine that sends a token each `pace_s` seconds."""
    asyncio.run(_serve_app(pipe, _engine_app(pace_s)))


def run_bare(pipe: Connection, engine_url: str) -> None:
    """Serve as a relay that does nothing else."""
    asyncio.run(_serve_bare(pipe, engine_url))


async def _serve_app(pipe: Connection, app: web.Application) -> None:
    # Callers that go in the middle of an answer are no news here.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    async with listening(app, shutdown_timeout=0.1) as address:
        pipe.send(address)
        await _until_closed(pipe)


def _engine_app(pace_s: float) -> web.Application:
    async def chat(request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        stream_id = request.headers.get("X-Request-Id", "none")
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(request)
        with suppress(ConnectionError):
            await _send_tokens(resp, stream_id, body["max_tokens"], pace_s)
        return resp

    app = web.Application()
    app.router.add_post("/v1/chat/completions", chat)
    return app


async def _send_tokens(
    resp: web.StreamResponse, stream_id: str, tokens: int, pace_s: float
) -> None:
    head = b'data: {"id":"%b","object":"chat.completion.chunk","created":0,'
    head = head % stream_id.encode() + b'"model":"farm-advice-small.v1","choices":['
    choice = b'{"index":0,"finish_reason":null,"delta":{"content":"word%d "}}'
    loop = asyncio.get_running_loop()
    due = loop.time()
    for number in range(tokens):
        due += pace_s
        await asyncio.sleep(due - loop.time())
        event = b"id: %d\n%b%b]}\n\n" % (number, head, choice % number)
        await resp.write(event)
    usage = b'],"usage":{"prompt_tokens":9,"completion_tokens":%d}}\n\n' % tokens
    await resp.write(b"id: %d\n%b%b" % (tokens, head, usage) + b"data: [DONE]\n\n")


async def _serve_bare(pipe: Connection, engine_url: str) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def chat(request: web.Request) -> web.StreamResponse:
            data = await request.read()
            url = f"{engine_url}/v1/chat/completions"
            async with session.post(url, data=data) as upstream:
                resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
                await resp.prepare(request)
                async for chunk in upstream.content.iter_any():
                    await resp.write(chunk)
            return resp

        app = web.Application()
        app.router.add_post("/v1/chat/completions", chat)
        await _serve_app(pipe, app)


def run_entry(pipe: Connection, cfg: HostSettings, profile: bool) -> None:
    """Serve as an entry host."""
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    with asyncio.Runner(loop_factory=coalescing_event_loop) as runner:
        runner.run(_serve_entry(pipe, cfg))
    if profile:
        profiler.disable()
        stats = pstats.Stats(profiler, stream=sys.stderr)
        stats.sort_stats("tottime").print_stats(PROFILE_LINES)
        stats.sort_stats("cumtime").print_stats("radishshift", PROFILE_LINES)


async def _serve_entry(pipe: Connection, cfg: HostSettings) -> None:
    async with run_entry_host(cfg) as host:
        while not host.router.catalogue.endpoints:
            await asyncio.sleep(READY_POLL_S)
        freeze_startup_objects()
        pipe.send(host.address)
        await _until_closed(pipe)


@dataclass
class Load:
    """What callers do, and what they saw in the measured window.

    Attributes
    ----------
    streams : int
        Callers that each have one answer after another.
    tokens : int
        Length of each answer.
    window_s : float
    pids : list of int
        Processes whose use of the processor is measured.
    """

    url: str
    key: str
    streams: int
    tokens: int
    window_s: float
    seed: int
    pids: list[int]
    received: int = 0
    failures: int = 0
    last_failure: str = ""
    measuring: bool = False
    first_token_ms: list[float] = field(default_factory=list)
    between_tokens_ms: list[float] = field(default_factory=list)

    async def caller(self, session: aiohttp.ClientSession, tokens: int) -> None:
        """Ask for one answer after another; the first one is of `tokens`."""
        for length in itertools.chain([tokens], itertools.repeat(self.tokens)):
            body = {
                "model": "farm-advice-small.v1",
                "messages": [{"role": "user", "content": "Plan the ploughing."}],
                "stream": True,
                "max_tokens": length,
            }
            url = f"{self.url}/v1/chat/completions"
            data = msgspec.json.encode(body)
            deadline = {"X-Deadline": str(time.time() + DEADLINE_S)}
            try:
                await self.stream(session, url, data, deadline)
            except aiohttp.ClientError as exc:
                self._failed(str(exc))

    async def stream(
        self,
        session: aiohttp.ClientSession,
        url: str,
        data: bytes,
        headers: dict[str, str],
    ) -> None:
        """Read one answer and note its times."""
        asked_at = time.perf_counter()
        last_at = None
        async with session.post(url, data=data, headers=headers) as resp:
            if resp.status != 200:
                self._failed(await resp.text())
                await asyncio.sleep(REFUSED_PAUSE_S)
            while chunk := await resp.content.readany():
                now = time.perf_counter()
                tokens = chunk.count(b'"word')
                if self.measuring and tokens:
                    self.received += tokens
                    if last_at is None:
                        self.first_token_ms.append((now - asked_at) * 1000)
                    else:
                        self.between_tokens_ms.append((now - last_at) * 1000)
                if tokens:
                    last_at = now

    def _failed(self, why: str) -> None:
        self.failures += 1
        self.last_failure = why

    async def run(self) -> dict[str, Any]:
        """Return what was seen."""
        rng = np.random.default_rng(self.seed)
        lengths = rng.integers(1, self.tokens + 1, self.streams)
        async with _caller_session(self.key) as session:
            callers = []
            for length in lengths:
                callers.append(asyncio.create_task(self.caller(session, int(length))))
                await asyncio.sleep(RAMP_S / self.streams)
            await asyncio.sleep(RAMP_S)
            result = await self._measure()
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        return result

    async def _measure(self) -> dict[str, Any]:
        self.measuring = True
        began = time.perf_counter()
        cpu_before = [_cpu_s(pid) for pid in self.pids]
        await asyncio.sleep(self.window_s)
        self.measuring = False
        elapsed_s = time.perf_counter() - began
        cpu_s = [
            _cpu_s(pid) - before
            for pid, before in zip(self.pids, cpu_before, strict=True)
        ]
        return {
            "received": self.received,
            "elapsed_s": elapsed_s,
            "first_token_ms": self.first_token_ms,
            "between_tokens_ms": self.between_tokens_ms,
            "failures": self.failures,
            "last_failure": self.last_failure,
            "cpu_s": sum(cpu_s),
            "rss_mb": [_rss_mb(pid) for pid in self.pids],
        }


@asynccontextmanager
async def _caller_session(key: str) -> AsyncIterator[aiohttp.ClientSession]:
    headers = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        # Such requests end when their callers go, so that no round meets another's.
        "X-Task-Class": "quick-check",
    }
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        yield session


def run_load(pipe: Connection, make_load: Callable[..., Load], values: dict) -> None:
    """Put a load on a URL and send back what was seen."""
    pipe.send(asyncio.run(make_load(**values).run()))


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0
