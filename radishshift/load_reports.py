"""Load reports and cache events, asked of the endpoints now and then.

An endpoint answers `GET /v1/load?cache_since=N` with JSON: `running` and `waiting`
requests, `age_s` of these figures, and `cache_events` after number N, each as
`[number, prefix digest in hexadecimal, 1 if stored or 0 if dropped]`. Reports may be
late, have gaps or be missing altogether; the host then goes by what it sees itself.
"""

import asyncio
from collections.abc import Callable, Iterable

import aiohttp
import logbook
import msgspec
import xxhash

from radishshift.clocks import Clock
from radishshift.endpoints import Endpoint
from radishshift.loads import EndpointLoads, LoadReport
from radishshift.prefix_caches import PrefixCaches

__all__ = ["LoadReportPoller", "LoadResponse", "parse_load_response"]

PERIOD_S = 2.0
ABSENT_PAUSE_S = 60.0
POLLED = 8
ANSWER_BYTES_MAX = 64_000
EVENTS_MAX = 2_000

logger = logbook.Logger("load-reports")


class LoadResponse(msgspec.Struct):
    """What an endpoint answers."""

    running: int = 0
    waiting: int = 0
    age_s: float = PERIOD_S
    cache_events: list[tuple[int, str, int]] = []


def parse_load_response(data: bytes) -> LoadResponse | None:
    """Return an endpoint's answer, or None if it makes no sense."""
    try:
        answer = msgspec.json.decode(data, type=LoadResponse)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if min(answer.running, answer.waiting) < 0 or not answer.age_s >= 0:
        return None
    return answer


class LoadReportPoller:
    """Asks endpoints for their load and notes what they say.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock
    host_name : str
        Each host asks a few endpoints, others than its peers do.
    loads : EndpointLoads
    caches : PrefixCaches
    endpoints : callable
        Returns the endpoints listed now.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        host_name: str,
        loads: EndpointLoads,
        caches: PrefixCaches,
        endpoints: Callable[[], Iterable[Endpoint]],
    ) -> None:
        self._session = session
        self._clock = clock
        self._host_name = host_name
        self._loads = loads
        self._caches = caches
        self._endpoints = endpoints
        self._last_events: dict[str, int] = {}
        self._pause_until: dict[str, float] = {}

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + PERIOD_S)
            await self.poll_all()

    async def poll_all(self) -> None:
        """Ask each endpoint of this host's few once."""
        listed = list(self._endpoints())
        self._loads.keep_only(endpoint.name for endpoint in listed)
        now = self._clock.now()
        due = [
            endpoint
            for endpoint in self._few(listed)
            if self._pause_until.get(endpoint.name, now) <= now
        ]
        await asyncio.gather(*(self._ask(endpoint) for endpoint in due))

    def _few(self, listed: list[Endpoint]) -> list[Endpoint]:
        def rank(endpoint: Endpoint) -> int:
            return xxhash.xxh3_64_intdigest(
                f"{self._host_name} {endpoint.name}".encode()
            )

        return sorted(listed, key=rank)[:POLLED]

    async def _ask(self, endpoint: Endpoint) -> None:
        since = self._last_events.get(endpoint.name, 0)
        url = f"{endpoint.address}/v1/load"
        try:
            async with (
                asyncio.timeout(PERIOD_S),
                self._session.get(
                    url, params={"cache_since": since}, allow_redirects=False
                ) as resp,
            ):
                if resp.status != 200:
                    self._pause(endpoint)
                    return
                data = await resp.content.read(ANSWER_BYTES_MAX)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            logger.debug("no load report of {}: {}", endpoint.name, exc)
            return
        answer = parse_load_response(data)
        if answer is None:
            self._pause(endpoint)
            return
        self.record_response(endpoint.name, answer, self._clock.now())

    def _pause(self, endpoint: Endpoint) -> None:
        """Leave alone an endpoint that gives no reports."""
        self._pause_until[endpoint.name] = self._clock.now() + ABSENT_PAUSE_S

    def record_response(self, name: str, answer: LoadResponse, now: float) -> None:
        """Note what an endpoint has answered."""
        report = LoadReport(now - answer.age_s, answer.running, answer.waiting)
        self._loads.record_report(name, report)
        last = self._last_events.get(name, 0)
        events = answer.cache_events[:EVENTS_MAX]
        if events and max(event[0] for event in events) < last:
            self._caches.reset(name)
            last = 0
        for number, prefix, stored in events:
            try:
                digest = int(prefix, 16)
            except ValueError:
                continue
            self._caches.apply_event(name, number, digest, bool(stored))
            last = max(last, number)
        self._last_events[name] = last
