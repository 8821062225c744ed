"""Callers that keep connections open, come back as told and note all they see."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import aiohttp

__all__ = ["ANSWERED", "Ask", "Callers"]

DEADLINE_S = 4.0
EVENTS = 30
RETRIES = 2
ANSWERED = 200
# Statuses that promise that the request has not run and never will.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass
class Ask:
    """One attempt of a caller, with what came of it.

    Attributes
    ----------
    kind : str
        First part of the path.
    status : int
        0 if no answer came.
    whole : bool
        Whether the answer ended as complete.
    left : bool
        Whether the caller went away before.
    starts : int
        Process of the host that was asked, by number, before and after.
    """

    number: str
    kind: str
    host: str
    method: str
    path: str
    sent: bytes
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    left: bool = False
    calm: bool = False
    starts: tuple[int, int] = (0, 0)


class Callers:
    """Sends requests of all kinds through the hosts.

    Parameters
    ----------
    ways : dict of str to str
        IP:PORT by host.
    starts : callable
        Number of the process that a host runs.
    """

    def __init__(self, ways, starts, host_header: str, key: str, seed: int) -> None:
        self._ways = ways
        self._starts = starts
        self._host_header = host_header
        self._key = key
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self.asks: list[Ask] = []
        self.calm = False

    async def run(self, until: float) -> None:
        """Send requests over kept connections until an instant."""
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while loop.time() < until:
                await self._request(session)
                await asyncio.sleep(self._random.uniform(0.0, 0.05))

    async def _request(self, session: aiohttp.ClientSession) -> None:
        """Send one request, and come back a few times where that is safe."""
        kind = self._random.choice(("check", "book", "plan", "plan"))
        leaves = self._random.random() < 0.05
        for _ in range(1 + RETRIES):
            host = self._random.choice(sorted(self._ways))
            ask = await self.ask(session, kind, host, leaves=leaves)
            if ask.status == ANSWERED and ask.whole:
                return
            if kind == "book" and ask.status not in PROMISES_NOT_RUN:
                return
            await asyncio.sleep(float(ask.headers.get("Retry-After", "0.1")))

    async def ask(
        self,
        session: aiohttp.ClientSession,
        kind: str,
        host: str,
        leaves: bool = False,
        prefix: str = "",
    ) -> Ask:
        """Send one attempt and note what comes."""
        number = f"a{next(self._numbers)}"
        method = "GET" if kind in ("check", "step") else "POST"
        sent = b"" if method == "GET" else number.encode() * 50
        path = f"/{prefix or kind}/{number}?x=1"
        ask = Ask(number, kind, host, method, path, sent)
        ask.calm = self.calm
        self.asks.append(ask)
        await self.send(session, ask, leaves)
        return ask

    async def send(
        self, session: aiohttp.ClientSession, ask: Ask, leaves: bool = False
    ) -> None:
        """Send an attempt that is already noted."""
        headers = {
            "Host": self._host_header,
            "X-Key": self._key,
            "X-Attempt-Id": ask.number,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if ask.kind == "plan":
            headers |= {"X-Model": "*", "X-Token-Usage": "800,50"}
        before = self._starts(ask.host)
        limit_s = self._random.uniform(0.01, 0.3) if leaves else DEADLINE_S + 2.0
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(session, ask, headers)
        except TimeoutError:
            ask.left = True
        except (aiohttp.ClientError, OSError):
            # The connection broke; what had come is noted.
            ask.whole = False
        ask.starts = (before, self._starts(ask.host))

    async def _exchange(
        self, session: aiohttp.ClientSession, ask: Ask, headers: dict[str, str]
    ) -> None:
        url = f"http://{self._ways[ask.host]}{ask.path}"
        async with session.request(
            ask.method, url, headers=headers, data=ask.sent or None
        ) as resp:
            ask.status = resp.status
            ask.headers = dict(resp.headers)
            async for data in resp.content.iter_any():
                ask.body += data
            ask.whole = True
