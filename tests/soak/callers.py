"""Callers that reuse connections, obey `Retry-After` and record all answers."""

import asyncio
import itertools
import random
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field

import aiohttp

from tests.soak.modes import DEADLINE_S, Mode

__all__ = ["ANSWERED_STATUS", "STREAM_KINDS", "CallerAttempt", "Callers"]

STREAM_EVENTS = 30
RECONNECT_DELAY_S = 0.05  # after a connection could not be opened
NO_TURN = nullcontext()
RETRIES = 2
REPEAT_INTERVAL_S = 0.3  # of a request that is sent again and again
STREAM_KINDS = ("plan", "draft")
ANSWERED_STATUS = 200
# Statuses that assert that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass
class CallerAttempt:
    """One attempt of a caller, and its outcome.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt, unique within a run.
    kind : str
        Type of request; the first part of the path unless a prefix replaces it.
    status : int
        0 if there was no answer.
    complete : bool
        Whether the answer ended as complete.
    disconnected : bool
        Whether the caller disconnected before the answer ended.
    after_faults : bool
        Whether the attempt was sent after the last fault had ended.
    process_numbers : tuple of int
        Number of the host's process before and after the attempt; a restart between
        makes them differ.
    deadline_s : float
        Time that the caller allows.
    sent_at, last_byte_at : float
        Instants at which the first and the last byte were sent; 0 if none was.
    ended_at : float
        Instant at which the answer was complete or the connection broke.
    kept : bool
        Whether the connection had been used before.
    error : str
        How the connection broke.
    """

    attempt_id: str
    kind: str
    host: str
    method: str
    path: str
    request_body: bytes
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    disconnected: bool = False
    after_faults: bool = False
    process_numbers: tuple[int, int] = (0, 0)
    deadline_s: float = DEADLINE_S
    sent_at: float = 0.0
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    kept: bool = False
    error: str = ""


class Callers:
    """Sends requests of all kinds to the hosts, and records the attempts.

    Parameters
    ----------
    addresses : dict of str to str
        IP:PORT by host.
    process_number : callable
        Returns the number of the process that a host currently runs.
    mode : Mode
    """

    def __init__(
        self,
        addresses,
        process_number,
        host_header: str,
        key: str,
        seed: int,
        mode: Mode,
    ) -> None:
        self._addresses = addresses
        self._process_number = process_number
        self._host_header = host_header
        self._key = key
        self._random = random.Random(seed)
        self._mode = mode
        self._attempt_ids = itertools.count(1)
        self.attempts: list[CallerAttempt] = []
        self.after_faults = False
        self._stopped = asyncio.Event()

    async def run(self, host: str = "", wait_s: float = 0.0) -> None:
        """Send requests over kept connections until `stop` is called.

        Parameters
        ----------
        host : str, optional
            Host of all requests but retries; without it, each goes to any host.
        wait_s : float, optional
            Time until the first.
        """
        await asyncio.sleep(wait_s)
        async with self.session() as session:
            while not self._stopped.is_set():
                await self._send_request(session, host)
                pause_s = self._random.uniform(0.0, self._mode.caller_pause_s)
                await asyncio.sleep(pause_s)

    async def run_in_turn(
        self,
        host: str,
        opening: asyncio.Semaphore,
        opened: asyncio.Barrier,
        turn: asyncio.Lock,
    ) -> None:
        """Send requests to one host, over a kept connection, until `stop` is called.

        The first request opens the connection. Once all callers have passed `opened`,
        those that share `turn` have one request in flight at most. Retries go to any
        host.
        """
        async with self.session() as session:
            await self._send_request(session, host, opening)
            await opened.wait()
            while not self._stopped.is_set():
                await self._send_request(session, host, turn)

    def stop(self) -> None:
        """Let the callers finish after their current requests."""
        self._stopped.set()

    def session(self) -> aiohttp.ClientSession:
        """Return a client that sends each request once and records when."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_record_reuse)
        trace.on_request_headers_sent.append(_record_headers_sent)
        trace.on_request_chunk_sent.append(_record_body_sent)
        session = aiohttp.ClientSession(auto_decompress=False, trace_configs=[trace])
        # Else aiohttp sends a GET again, unseen, when a kept connection breaks.
        session._retry_connection = False
        return session

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        host: str = "",
        turn: AbstractAsyncContextManager = NO_TURN,
    ) -> None:
        """Send one request, with a few retries where a retry is safe."""
        kind = self._random.choice(self._mode.kinds)
        disconnects = self._random.random() < 0.05
        # Modes without such callers draw what they did before there were any.
        share = self._mode.impatient_share
        impatient = share > 0 and self._random.random() < share
        for _ in range(1 + RETRIES):
            host = host or self._random.choice(sorted(self._addresses))
            async with turn:
                if self._stopped.is_set():
                    return
                attempt = await self.send_attempt(
                    session, kind, host, disconnects=disconnects
                )
                if not attempt.sent_at:
                    await asyncio.sleep(RECONNECT_DELAY_S)
            if attempt.status == ANSWERED_STATUS and attempt.complete:
                return
            if kind == "book" and attempt.status not in NOT_RUN_STATUSES:
                return
            if not impatient:
                await asyncio.sleep(float(attempt.headers.get("Retry-After", "0.1")))
            host, turn = "", NO_TURN

    async def repeat(self, kind: str, path: str, time_s: float) -> None:
        """Send the same request to random hosts again and again for a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + time_s
        rng = random.Random(path)
        async with self.session() as session, asyncio.TaskGroup() as group:
            while loop.time() < until and not self._stopped.is_set():
                host = rng.choice(sorted(self._addresses))
                group.create_task(self.send_attempt(session, kind, host, path=path))
                await asyncio.sleep(REPEAT_INTERVAL_S)

    async def send_attempt(
        self,
        session: aiohttp.ClientSession,
        kind: str,
        host: str,
        disconnects: bool = False,
        prefix: str = "",
        path: str = "",
    ) -> CallerAttempt:
        """Record a new attempt, send it, and record its outcome.

        Its body and its path, unless one is given, differ from those of all others.
        """
        attempt_id = f"a{next(self._attempt_ids)}"
        method = "GET" if kind in ("check", "step") else "POST"
        text = path or attempt_id
        request_body = b"" if method == "GET" else text.encode() * 50
        path = path or f"/{prefix or kind}/{attempt_id}?x=1"
        attempt = CallerAttempt(attempt_id, kind, host, method, path, request_body)
        attempt.after_faults = self.after_faults
        deadlines_s = self._mode.deadlines_s.get(kind)
        if deadlines_s and not self.after_faults:
            attempt.deadline_s = self._random.choice(deadlines_s)
        self.attempts.append(attempt)
        await self.perform(session, attempt, disconnects)
        return attempt

    async def perform(
        self,
        session: aiohttp.ClientSession,
        attempt: CallerAttempt,
        disconnects: bool = False,
    ) -> None:
        """Send a recorded attempt, and record what is received."""
        headers = {
            "Host": self._host_header,
            "X-Key": self._key,
            "X-Attempt-Id": attempt.attempt_id,
            "X-Deadline-Ms": str(int(attempt.deadline_s * 1000)),
        }
        if attempt.kind in STREAM_KINDS:
            headers |= {"X-Token-Usage": "800,50"}
        if attempt.kind == "plan":
            headers |= {"X-Model": "*"}
        before = self._process_number(attempt.host)
        limit_s = attempt.deadline_s + 2.0
        if disconnects:
            limit_s = self._random.uniform(0.01, 0.3)
        try:
            async with asyncio.timeout(limit_s):
                await self._receive_answer(session, attempt, headers)
        except TimeoutError:
            attempt.disconnected = True
        except (aiohttp.ClientError, OSError) as exc:
            # The connection broke; what was received before stays recorded.
            attempt.complete = False
            attempt.error = type(exc).__name__
        attempt.ended_at = asyncio.get_running_loop().time()
        attempt.process_numbers = (before, self._process_number(attempt.host))

    async def _receive_answer(
        self,
        session: aiohttp.ClientSession,
        attempt: CallerAttempt,
        headers: dict[str, str],
    ) -> None:
        url = f"http://{self._addresses[attempt.host]}{attempt.path}"
        async with session.request(
            attempt.method,
            url,
            headers=headers,
            data=attempt.request_body or None,
            trace_request_ctx=attempt,
        ) as resp:
            attempt.status = resp.status
            attempt.headers = dict(resp.headers)
            async for data in resp.content.iter_any():
                attempt.body += data
            attempt.complete = True


async def _record_reuse(session, context, params) -> None:
    context.trace_request_ctx.kept = True


async def _record_headers_sent(session, context, params) -> None:
    attempt = context.trace_request_ctx
    attempt.sent_at = asyncio.get_running_loop().time()
    if not attempt.request_body:
        attempt.last_byte_at = attempt.sent_at


async def _record_body_sent(session, context, params) -> None:
    context.trace_request_ctx.last_byte_at = asyncio.get_running_loop().time()
