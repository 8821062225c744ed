"""Processes of the relay experiment: engine, bare relay, entry host, load generator."""

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

__all__ = ["LoadGenerator", "run_bare_relay", "run_engine", "run_entry", "run_load"]

MODEL = "farm-advice-small"
READY_POLL_INTERVAL_S = 0.02
RAMP_UP_S = 1.0
FAILED_REQUEST_PAUSE_S = 0.1
REQUEST_TIMEOUT_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROFILE_LINES = 45


async def _wait_for_parent(pipe: Connection) -> None:
    """Return once the parent process sends something or closes the pipe."""
    loop = asyncio.get_running_loop()
    closed = loop.create_future()
    loop.add_reader(pipe.fileno(), lambda: closed.done() or closed.set_result(None))
    try:
        await closed
    finally:
        loop.remove_reader(pipe.fileno())


def run_engine(pipe: Connection, pace_s: float) -> None:
    """Run an engine that sends one token every `pace_s` seconds."""
    asyncio.run(_serve_app(pipe, _engine_app(pace_s)))


def run_bare_relay(pipe: Connection, engine_url: str) -> None:
    """Run a relay that forwards the bytes of responses and does nothing else."""
    asyncio.run(_serve_bare_relay(pipe, engine_url))


async def _serve_app(pipe: Connection, app: web.Application) -> None:
    # The load generator disconnects in the middle of answers; don't log that.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    async with listening(app, shutdown_timeout=0.1) as address:
        pipe.send(address)
        await _wait_for_parent(pipe)


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


async def _serve_bare_relay(pipe: Connection, engine_url: str) -> None:
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
    """Run an entry host."""
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
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        freeze_startup_objects()
        pipe.send(host.address)
        await _wait_for_parent(pipe)


@dataclass
class LoadGenerator:
    """Concurrent callers, and their measurements during the window.

    Attributes
    ----------
    streams : int
        Number of callers; each requests one answer after another.
    tokens : int
        Length of each answer.
    window_s : float
        Length of the measurement.
    pids : list of int
        Processes whose CPU time and memory are measured.
    received : int
        Tokens received during the measurement.
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

    async def run_caller(self, session: aiohttp.ClientSession, tokens: int) -> None:
        """Request one answer after another; the first has `tokens` tokens."""
        for length in itertools.chain([tokens], itertools.repeat(self.tokens)):
            body = {
                "model": "farm-advice-small.v1",
                "messages": [{"role": "user", "content": "Plan the ploughing."}],
                "stream": True,
                "max_tokens": length,
            }
            url = f"{self.url}/v1/chat/completions"
            data = msgspec.json.encode(body)
            headers = {"X-Deadline": str(time.time() + REQUEST_TIMEOUT_S)}
            try:
                await self.read_answer(session, url, data, headers)
            except aiohttp.ClientError as exc:
                self._record_failure(str(exc))

    async def read_answer(
        self,
        session: aiohttp.ClientSession,
        url: str,
        data: bytes,
        headers: dict[str, str],
    ) -> None:
        """Read one answer and record the times of its tokens."""
        sent_at = time.perf_counter()
        last_token_at = None
        async with session.post(url, data=data, headers=headers) as resp:
            if resp.status != 200:
                self._record_failure(await resp.text())
                await asyncio.sleep(FAILED_REQUEST_PAUSE_S)
            while chunk := await resp.content.readany():
                now = time.perf_counter()
                tokens = chunk.count(b'"word')
                if self.measuring and tokens:
                    self.received += tokens
                    if last_token_at is None:
                        self.first_token_ms.append((now - sent_at) * 1000)
                    else:
                        self.between_tokens_ms.append((now - last_token_at) * 1000)
                if tokens:
                    last_token_at = now

    def _record_failure(self, message: str) -> None:
        self.failures += 1
        self.last_failure = message

    async def run(self) -> dict[str, Any]:
        """Run the callers and return the measurements."""
        rng = np.random.default_rng(self.seed)
        first_lengths = rng.integers(1, self.tokens + 1, self.streams)
        async with _caller_session(self.key) as session:
            caller_tasks = []
            for length in first_lengths:
                caller_tasks.append(
                    asyncio.create_task(self.run_caller(session, int(length)))
                )
                await asyncio.sleep(RAMP_UP_S / self.streams)
            await asyncio.sleep(RAMP_UP_S)
            result = await self._measure()
            for task in caller_tasks:
                task.cancel()
            await asyncio.gather(*caller_tasks, return_exceptions=True)
        return result

    async def _measure(self) -> dict[str, Any]:
        self.measuring = True
        started_at = time.perf_counter()
        cpu_before = [_cpu_s(pid) for pid in self.pids]
        await asyncio.sleep(self.window_s)
        self.measuring = False
        elapsed_s = time.perf_counter() - started_at
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
        # Requests of this class are cancelled on client disconnect, so that none of a
        # round runs on into the next one.
        "X-Task-Class": "quick-check",
    }
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        yield session


def run_load(
    pipe: Connection, make_generator: Callable[..., LoadGenerator], values: dict
) -> None:
    """Run a load generator and send its measurements to the parent process."""
    pipe.send(asyncio.run(make_generator(**values).run()))


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
