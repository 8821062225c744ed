"""The stand-ins, hosts and links of a soak test on one machine."""

import asyncio
import math
import os
import random
import tempfile
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import aiohttp
from aiohttp import web
from users_platform.standins import (
    StandinEndpoint,
    StandinPlatform,
    StoreFaults,
    standin_platform,
)

from tests.soak.callers import STREAM_EVENTS, Callers
from tests.soak.fleet import PROGRAM, HostProcess
from tests.soak.links import Link
from tests.soak.modes import Mode

__all__ = [
    "API_KEY",
    "CUSTOMER",
    "DATA_CENTRES",
    "HOST_HEADER",
    "SERVICES",
    "Evacuation",
    "SoakEndpoint",
    "SoakWorld",
]

API_KEY = "soak-key"
HOST_HEADER = "ring.example"
CUSTOMER = "ring"
SERVICES = {"desk": 3, "advice": 3}
DATA_CENTRES = ("mbeya", "iringa")
MAX_CALM_GAP_S = 0.05  # between the events of a stream once the faults have ended
MAX_OWN_LINKS = 8  # hosts whose ways to endpoints have addresses of their own
READY_TIMEOUT_S = 30.0  # a start takes 1 s on a machine that is not overloaded
# Below the kernel's range of ephemeral ports.
CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7001, 7002, 7003, 7004


def _route(name: str, kind: str, service: str, attempts: int, **changes) -> dict:
    return {
        "name": name,
        "host": HOST_HEADER,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 4000,
        "sloMs": 1000,
        "service": service,
        "maxAttempts": attempts,
        **changes,
    }


@dataclass
class SoakEndpoint(StandinEndpoint):
    """A simulated endpoint that works for a random time and records its ends.

    Attributes
    ----------
    work_s : pair of float
        Shortest and longest time until an answer begins.
    ended_at : dict of int to float
        Instant at which the work ended or was broken off, by index in `ran`.
    """

    work_s: tuple[float, float] = (0.0, 0.0)
    ended_at: dict[int, float] = field(default_factory=dict)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        number = len(self.ran) - 1
        shortest_s, longest_s = self.work_s
        try:
            if longest_s:
                share = random.random() ** 6
                await self.pause(shortest_s + (longest_s - shortest_s) * share)
            return await super()._answer(request)
        finally:
            self.ended_at[number] = asyncio.get_running_loop().time()


@dataclass
class Evacuation:
    """An order to use none of some endpoints, and when it was in force."""

    endpoints: frozenset[str]
    ordered_at: float
    taken_back_at: float = math.inf


class SoakWorld:
    """A store, endpoints and hosts, with a fault-injecting link to each.

    Parameters
    ----------
    hosts : int
    mode : Mode
    programs : sequence of Path
        Programs of the hosts, which take them in turn.

    Attributes
    ----------
    store_links, caller_links : dict of str to Link
        Links to the store, and to the callers' port of the host, by host.
    endpoint_links : dict of str to Link
        Links to the endpoints, by endpoint.
    own_links : dict of str to list of Link
        Links that lead a host alone to `endpoint_links`, by host, where the mode has
        them.
    service_by_endpoint : dict of str to str
        Services of the registered endpoints that are not being replaced.
    added_route_count : int
        Number of configuration changes so far; each adds a route.
    disturbances : list of pair of float
        Beginning and end of all faults that were not planned work.
    evacuations : list of Evacuation
    crash_delays_s : dict of str to pair of float
        Paths that crash endpoints, as for `StandinEndpoint`.
    callers : Callers or None
        Set before the first fault.
    cut_hosts : set of str
        Hosts that are cut off from all endpoints.
    standing_still : bool
        Whether any endpoint stands still or has just gone on.
    """

    def __init__(
        self, hosts: int, mode: Mode, programs: Sequence[Path] = (PROGRAM,)
    ) -> None:
        self.mode = mode
        self._programs = programs
        self.disturbances: list[tuple[float, float]] = []
        self.evacuations: list[Evacuation] = []
        self.crash_delays_s: dict[str, tuple[float, float]] = {}
        self.callers: Callers | None = None
        self.hosts: dict[str, HostProcess] = {}
        self.store_links: dict[str, Link] = {}
        self.caller_links: dict[str, Link] = {}
        self.endpoint_links: dict[str, Link] = {}
        self.own_links: dict[str, list[Link]] = {}
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.service_by_endpoint: dict[str, str] = {}
        self.platform: StandinPlatform | None = None
        self.added_route_count = 0
        self.folder = Path()
        self._names = [f"edge-{number}" for number in range(1, hosts + 1)]
        self._ready_addresses: dict[str, str] = {}
        self._replacements = 0
        self.cut_hosts: set[str] = set()
        self.standing_still = False
        self._down_links: list[Link] = []  # whose endpoints crashed
        self._stack = AsyncExitStack()

    async def start(self, rng: random.Random) -> None:
        """Start everything; return once all hosts are ready."""
        chosen = {
            service: rng.choice(counts)
            for service, counts in self.mode.endpoint_counts.items()
        }
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        if self.mode.own_links:
            self.own_links = {name: [] for name in self._names[:MAX_OWN_LINKS]}
        starting = standin_platform(self._config(), ())
        self.platform = await self._stack.enter_async_context(starting)
        for service, count in (SERVICES | chosen).items():
            for number in range(1, count + 1):
                await self.add_endpoint(f"{service}-{number}", service)
        ips = {name: _loopback_ip(number) for number, name in enumerate(self._names)}
        for number, (name, ip) in enumerate(ips.items()):
            self._ready_addresses[name] = f"{ip}:{READY_PORT}"
            self.caller_links[name] = await self._link(f"{ip}:{CALLER_PORT}")
            self.store_links[name] = await self._link(self.platform.store_address)
            if name in self.own_links:
                own = f'"{_own_ip(number)}:'.encode()
                self.store_links[name].rewritten = (b'"127.0.0.1:', own)
            others = [f"{other}:{PEER_PORT}" for other in ips.values() if other != ip]
            self._start_host(name, ip, others)
        await self.until_ready()

    async def _link(self, target: str, address: str = "") -> Link:
        link = Link(target, address)
        await link.start()
        self._stack.push_async_callback(link.stop)
        return link

    def _start_host(self, name: str, ip: str, seeds: list[str]) -> None:
        number = self._names.index(name)
        path = self.folder / f"{name}.toml"
        path.write_text(
            f"""
nodeName = "{name}"
ip = "{ip}"
zone = "{DATA_CENTRES[number % len(DATA_CENTRES)]}"
portRange = [{PEER_PORT}, {METRICS_PORT}]
seedNodes = {seeds!r}
[listen]
frontend = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READY_PORT}"
[bounds]
graceS = {self.mode.grace_s}
evacuateMs = {1000 * self.mode.evacuation_s}
[platform]
address = "{self.store_links[name].address}"
""",
            encoding="utf-8",
        )
        program = self._programs[number % len(self._programs)]
        host = HostProcess(name, path, self.mode.grace_s, program)
        host.start()
        self._stack.push_async_callback(host.stop)
        self.hosts[name] = host

    async def until_ready(self) -> None:
        """Wait until all hosts report that they are ready.

        Raises
        ------
        TimeoutError
        """
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
            for address in self._ready_addresses.values():
                while not await _is_ready(session, address):
                    await asyncio.sleep(0.05)

    async def until_stopped(self) -> None:
        """Wait until all processes that got SIGTERM have ended."""
        for host in self.hosts.values():
            while any(stop.ended_at == math.inf for stop in host.stops):
                await asyncio.sleep(0.05)

    async def add_endpoint(self, name: str, service: str) -> None:
        """Start an endpoint, which hosts reach over a link."""
        endpoint = SoakEndpoint(
            name,
            event_count=STREAM_EVENTS,
            gap_s=self.mode.event_gap_s,
            confidence={"small": self.mode.small_confidence, "large": 90.0},
            echoes_id=True,
            work_s=self.mode.work_s,
            crash_delays_s=self.crash_delays_s,
            answers_before_crash=self.mode.answers_before_crash,
        )
        link = await self._link(await self.platform.start_endpoint(endpoint))
        address = self._address(link)
        port = address.rpartition(":")[2]
        own_links = {}
        for number, (host, links) in enumerate(self.own_links.items()):
            own_links[host] = await self._link(address, f"{_own_ip(number)}:{port}")
            links.append(own_links[host])
        endpoint.on_crash = partial(self._endpoint_crashed, own_links)
        self.platform.addresses[name] = address
        zone = DATA_CENTRES[len(self.endpoints) % len(DATA_CENTRES)]
        zone = zone if self.mode.evacuation_s else DATA_CENTRES[0]
        self.platform.register(name, service, zone=zone)
        self.endpoints[name] = endpoint
        self.endpoint_links[name] = link
        self.service_by_endpoint[name] = service

    def caller_addresses(self) -> dict[str, str]:
        """Return the addresses at which callers reach the hosts."""
        return {name: self._address(link) for name, link in self.caller_links.items()}

    def _address(self, link: Link) -> str:
        return link.address if self.mode.links else link.target

    def _config(self) -> dict:
        stream_timeout_ms = round(1000 * self.mode.stream_timeout_s)
        limits = {}
        if self.mode.changes_timeouts:
            stream_timeout_ms += 1000 * self.added_route_count
            limits["idleTimeoutMs"] = (15_000, 8000)[self.added_route_count % 2]
        steps = [
            _route(f"step-{number}", "safe", "desk", 2)
            for number in range(1, self.added_route_count + 1)
        ]
        return {
            "version": 1 + 3 * self.added_route_count,
            "routes": [
                _route("check", "safe", "desk", 2),
                _route("book", "unsafe", "desk", self.mode.unsafe_attempts),
                _route(
                    "plan",
                    "streaming",
                    "advice",
                    3,
                    resumable=True,
                    sizes=["small", "large"],
                    timeoutMs=stream_timeout_ms,
                ),
                _route("draft", "streaming", "advice", 3, timeoutMs=stream_timeout_ms),
                *steps,
            ],
            "services": [{"name": name} for name in SERVICES],
            "tenants": [{"name": CUSTOMER, "apiKeys": [API_KEY]}],
            "limits": limits,
        }

    def change_configuration(self) -> None:
        """Store a configuration with a new version and one more route."""
        self.added_route_count += 1
        self.platform.store.put("config", "main", self._config())

    async def evacuate(self, data_centre: str, time_s: float) -> None:
        """Order that nothing be sent to the endpoints of a data centre for a time."""
        loop = asyncio.get_running_loop()
        store = self.platform.store
        servers = store.objects_by_kind["servers"]
        endpoints = frozenset(
            name
            for name, entry in servers.items()
            if entry["spec"]["zone"] == data_centre
        )
        store.put("evacuations", data_centre, {})
        evacuation = Evacuation(endpoints, loop.time())
        self.evacuations.append(evacuation)
        await asyncio.sleep(time_s)
        evacuation.taken_back_at = loop.time()
        store.remove("evacuations", data_centre)

    async def replace_endpoint(self, name: str) -> None:
        """Add an endpoint, then drain and unregister the one that it replaces.

        Only the registration of the old endpoint changes; the endpoint itself keeps
        running. The registration is replaced by one that says "draining", which has the
        next sequence number (`seqNo`), and is removed 0.5 s later.
        """
        service = self.service_by_endpoint.pop(name)
        self._replacements += 1
        await self.add_endpoint(f"{service}-new-{self._replacements}", service)
        self.platform.register(name, service, state="draining", seqNo=2)
        await asyncio.sleep(0.5)
        self.platform.store.remove("servers", name)

    def _endpoint_crashed(
        self, own_links: dict[str, Link], endpoint: SoakEndpoint
    ) -> None:
        """Refuse connections to a crashed endpoint on single hosts' ways, too."""
        self.platform.restart_later(endpoint)
        for link in own_links.values():
            link.cut()
        self._down_links += own_links.values()
        restarting = asyncio.ensure_future(self._open_again(own_links))
        self._stack.callback(restarting.cancel)

    async def _open_again(self, own_links: dict[str, Link]) -> None:
        await asyncio.sleep(self.platform.restart_s)
        for host, link in own_links.items():
            self._down_links.remove(link)
            if host not in self.cut_hosts:
                await link.start()

    async def cut_from_endpoints(self, host: str, time_s: float) -> None:
        """Refuse all connections of a host to endpoints for a time."""
        self.cut_hosts.add(host)
        for link in self.own_links[host]:
            link.cut()
        await asyncio.sleep(time_s)
        self.cut_hosts.remove(host)
        for link in self.own_links[host]:
            if link not in self._down_links:
                await link.start()

    def heal(self) -> None:
        """End all faults that are still active."""
        for links in (self.store_links, self.caller_links, self.endpoint_links):
            for link in links.values():
                link.heal()
        for endpoint in self.endpoints.values():
            endpoint.set_faults()
            endpoint.limit_per_s = None
            endpoint.refused_share = 0.0
            endpoint.extra_answers.end()
            endpoint.gap_s = min(self.mode.event_gap_s, MAX_CALM_GAP_S)
        self.platform.store.faults = StoreFaults()

    def log(self) -> str:
        """Return the log of all hosts."""
        files = sorted(self.folder.glob("*.log"))
        return "".join(path.read_text(encoding="utf-8") for path in files)

    async def stop(self) -> None:
        """Stop the host processes, then the links and stand-ins."""
        await self._stack.aclose()


def _loopback_ip(number: int) -> str:
    """Return a loopback address of this process, which no other soak test uses."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{1 + number}"


def _own_ip(number: int) -> str:
    """Return an address of one host's ways, as long as that which it replaces."""
    return f"127.0.0.{2 + number}"


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/-/readyz") as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False
