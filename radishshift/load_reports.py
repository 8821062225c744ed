"""Polls endpoints for load reports and cache events.

An endpoint answers `GET /v1/load?cache_since=N` with JSON: `running` and `waiting`
requests, `age_s` of these figures, and `cache_events` after number N, each as
`[number, prefix digest in hexadecimal, 1 if stored or 0 if dropped]`. Reports may be
late, have gaps or be missing altogether; the host then relies on its own observations.
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

POLL_INTERVAL_S = 2.0
UNSUPPORTED_PAUSE_S = 60.0
POLLED_ENDPOINTS_MAX = 8
RESPONSE_BYTES_MAX = 64_000
CACHE_EVENTS_MAX = 2_000

logger = logbook.Logger("load-reports")


class LoadResponse(msgspec.Struct):
    """Response body of an endpoint."""

    running: int = 0
    waiting: int = 0
    age_s: float = POLL_INTERVAL_S
    cache_events: list[tuple[int, str, int]] = []


def parse_load_response(data: bytes) -> LoadResponse | None:
    """Decode an endpoint's response; return None if it is invalid."""
    try:
        response = msgspec.json.decode(data, type=LoadResponse)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if min(response.running, response.waiting) < 0 or not response.age_s >= 0:
        return None
    return response


class LoadReportPoller:
    """Polls endpoints for their load and records their reports.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock
    host_name : str
        Selects the endpoints to poll: each host polls a different subset.
    loads : EndpointLoads
    caches : PrefixCaches
    endpoints : callable
        Returns the endpoints in the current list.
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
        self._suspended_until: dict[str, float] = {}

    async def run(self) -> None:
        """Poll periodically until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + POLL_INTERVAL_S)
            await self.poll_all()

    async def poll_all(self) -> None:
        """Poll each endpoint of this host's subset once."""
        listed = list(self._endpoints())
        self._loads.keep_only(endpoint.name for endpoint in listed)
        now = self._clock.now()
        due = [
            endpoint
            for endpoint in self._polled_subset(listed)
            if self._suspended_until.get(endpoint.name, now) <= now
        ]
        await asyncio.gather(*(self._poll(endpoint) for endpoint in due))

    def _polled_subset(self, listed: list[Endpoint]) -> list[Endpoint]:
        def rank(endpoint: Endpoint) -> int:
            return xxhash.xxh3_64_intdigest(
                f"{self._host_name} {endpoint.name}".encode()
            )

        return sorted(listed, key=rank)[:POLLED_ENDPOINTS_MAX]

    async def _poll(self, endpoint: Endpoint) -> None:
        since = self._last_events.get(endpoint.name, 0)
        url = f"{endpoint.address}/v1/load"
        try:
            async with (
                asyncio.timeout(POLL_INTERVAL_S),
                self._session.get(
                    url, params={"cache_since": since}, allow_redirects=False
                ) as resp,
            ):
                if resp.status != 200:
                    self._suspend(endpoint)
                    return
                data = await resp.content.read(RESPONSE_BYTES_MAX)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            logger.debug(
                "load report of endpoint {} could not be fetched: {}",
                endpoint.name,
                exc,
            )
            return
        response = parse_load_response(data)
        if response is None:
            self._suspend(endpoint)
            return
        self.record_response(endpoint.name, response, self._clock.now())

    def _suspend(self, endpoint: Endpoint) -> None:
        """Suspend polling of an endpoint that doesn't provide load reports."""
        self._suspended_until[endpoint.name] = self._clock.now() + UNSUPPORTED_PAUSE_S

    def record_response(self, name: str, response: LoadResponse, now: float) -> None:
        """Record the load and the cache events in an endpoint's response."""
        report = LoadReport(now - response.age_s, response.running, response.waiting)
        self._loads.record_report(name, report)
        last_event = self._last_events.get(name, 0)
        events = response.cache_events[:CACHE_EVENTS_MAX]
        if events and max(event[0] for event in events) < last_event:
            self._caches.reset(name)
            last_event = 0
        for number, prefix, stored in events:
            try:
                digest = int(prefix, 16)
            except ValueError:
                continue
            self._caches.apply_event(name, number, digest, bool(stored))
            last_event = max(last_event, number)
        self._last_events[name] = last_event
