"""Hosts, endpoints and links of three data centres in one process, in virtual time.

The hosts are the product's own routers, claims, bills, session keys and poison
guards; only sockets are left out.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec

from radishshift.admission import Admission
from radishshift.answers import Answers
from radishshift.bill_copies import BillCopies
from radishshift.bills import Biller
from radishshift.claims import Claims
from radishshift.configuration import Configuration
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineClient, EngineStream, ServiceReply
from radishshift.errors import (
    EndpointCrashedError,
    EndpointError,
    RadishshiftError,
    ResumeRefusedError,
    StreamBrokenError,
)
from radishshift.following import ConfigurationFollower
from radishshift.hosts import Host
from radishshift.monitoring import is_ready
from radishshift.objects import Kind, StoredObject
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.poison_retries import PoisonGuard
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.router import Router
from radishshift.session_keys import PlatformSessionKeys
from radishshift.standins.deployment import small_catalogue
from radishshift.standins.faulty import FaultyPlatform
from radishshift.verdicts import Verdict
from radishshift.virtual_time import LoopClock

__all__ = ["CLOCK", "DATA_CENTRES", "TOKENS", "MemoryHost", "World"]

CLOCK = LoopClock()
DATA_CENTRES = ("mbeya", "iringa", "njombe")
TOKENS = 10
TOKEN_S = 0.05
IDLE_S = 2.0
CONNECT_S = 1.0
CALL_S = 0.2
TICK_S = 1.0
DRAIN_S = 30.0
FLUSH_S = 5.0
STREAM_FAULT_SHARE = 0.005
CALL_FAULT_SHARE = 0.03


@dataclass(frozen=True, slots=True)
class Run:
    """Work that an endpoint began."""

    request_id: str
    host: str
    served: str
    at: float


@dataclass(slots=True)
class MemoryEndpoint:
    """An engine or a desk.

    Attributes
    ----------
    starts : int
        Grows when the endpoint crashes.
    links : int
        Grows when its open connections go silent for good.
    """

    name: str
    data_centre: str
    serves: tuple[str, ...]
    starts: int = 0
    links: int = 0
    down_until: float = 0.0
    runs: list[Run] = field(default_factory=list)
    streams: dict[str, tuple[str, float]] = field(default_factory=dict)

    def crash(self, down_s: float) -> None:
        """Forget every stream and take no connection for a while."""
        self.starts += 1
        self.streams.clear()
        self.down_until = CLOCK.now() + down_s

    def is_up(self) -> bool:
        """Tell whether it takes connections."""
        return self.down_until <= CLOCK.now()


@dataclass(slots=True)
class World:
    """All that the hosts stand in.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of data centres that don't reach each other.
    crashes : dict of str to int
        Endpoints that crashed, by the text of the request that did it.
    unsure_calls : set of str
        Keys of the calls whose connection a desk broke.
    """

    rng: random.Random
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    network: dict[str, MemoryPeers] = field(default_factory=dict)
    endpoints: dict[str, MemoryEndpoint] = field(default_factory=dict)
    hosts: dict[str, "MemoryHost"] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    crashes: dict[str, int] = field(default_factory=dict)
    unsure_calls: set[str] = field(default_factory=set)
    runs_lost: set[str] = field(default_factory=set)
    incarnation: int = 0

    async def build(self) -> None:
        """Start two hosts, two engines and a desk in each data centre."""
        for name, spec in small_catalogue().items():
            await self.platform.create(StoredObject(Kind.ENTRY, name, spec))
        small = ("farm-advice-small.v1",)
        large = ("farm-advice-large.v1", "farm-advice-large.v2")
        for place in DATA_CENTRES:
            await self._add_endpoint(f"{place}-engine-1", place, small + large)
            await self._add_endpoint(f"{place}-engine-2", place, large + small)
            await self._add_endpoint(f"{place}-desk", place, ("booking-desk",))
        for place in DATA_CENTRES:
            for number in (1, 2):
                await self.start_host(f"{place}-{number}")

    async def _add_endpoint(
        self, name: str, place: str, serves: tuple[str, ...]
    ) -> None:
        self.endpoints[name] = MemoryEndpoint(name, place, serves)
        spec = {
            "address": f"http://127.0.0.1:{1000 + len(self.endpoints)}",
            "dataCentre": place,
            "serves": list(serves),
        }
        await self.platform.create(StoredObject(Kind.ENDPOINT, name, spec))

    async def start_host(self, name: str) -> None:
        """Start a host, or start it anew."""
        self.incarnation += 1
        host = MemoryHost(self, name, self.incarnation)
        self.hosts[name] = host
        self.join_links()
        await host.start()

    def joined(self, one: str, other: str) -> bool:
        """Tell whether two data centres reach each other."""
        return frozenset((one, other)) not in self.cuts

    def join_links(self) -> None:
        """Bring the peers' links in line with the cuts."""
        for peers in self.network.values():
            peers.cut = {
                other.me.name
                for other in self.network.values()
                if not self.joined(peers.me.data_centre, other.me.data_centre)
                or self.hosts[peers.me.name].paused
                or self.hosts[other.me.name].paused
            }

    def live_hosts(self) -> list["MemoryHost"]:
        """Return the hosts that the balancer sends requests to."""
        return [
            host
            for host in self.hosts.values()
            if host.live and is_ready(host.router) and not host.paused
        ]

    def reachable(self, host: "MemoryHost", served: frozenset[str]) -> Iterator[str]:
        """Yield the endpoints in a host's reach that serve one of some names."""
        for endpoint in self.endpoints.values():
            near = self.joined(host.place, endpoint.data_centre)
            if near and endpoint.is_up() and served.intersection(endpoint.serves):
                yield endpoint.name


class MemoryEngines(EngineClient):
    """Endpoints as one host reaches them."""

    def __init__(self, world: World, host: "MemoryHost") -> None:
        self._world = world
        self._host = host

    async def _connect(self, endpoint: Endpoint) -> MemoryEndpoint:
        await self._host.wait_while_paused()
        target = self._world.endpoints[endpoint.name]
        if not self._world.joined(self._host.place, target.data_centre):
            await asyncio.sleep(CONNECT_S)
            raise EndpointError("no connection", verdict=Verdict.NOT_RUN)
        await asyncio.sleep(0.002)
        if not target.is_up() or not self._host.live:
            raise EndpointError("no connection", verdict=Verdict.NOT_RUN)
        return target

    def _ran(self, target: MemoryEndpoint, request_id: str, served: str) -> None:
        run = Run(request_id, self._host.name, served, CLOCK.now())
        target.runs.append(run)

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and give its stream."""
        target = await self._connect(endpoint)
        self._ran(target, req.request_id, version)
        text = req.body["messages"][0]["content"]
        if "poison" in text:
            await asyncio.sleep(0.1)
            crashes = self._world.crashes
            crashes[text] = crashes.get(text, 0) + 1
            target.crash(3.0)
            raise EndpointCrashedError("the connection broke")
        target.streams[attempt_id] = (text, CLOCK.now())
        yield _MemoryStream(self._world, self._host, target, attempt_id, 0)

    @asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, attempt_id: str, events: int
    ) -> AsyncIterator[EngineStream]:
        """Go on with a stream from an offset."""
        target = await self._connect(endpoint)
        if attempt_id not in target.streams:
            raise ResumeRefusedError("no such stream")
        yield _MemoryStream(self._world, self._host, target, attempt_id, events)

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Forget a stream."""
        self._world.endpoints[endpoint.name].streams.pop(attempt_id, None)

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a desk."""
        world = self._world
        target = await self._connect(endpoint)
        if world.rng.random() < CALL_FAULT_SHARE:
            world.unsure_calls.add(call.idempotency_key)
            raise EndpointCrashedError("the connection broke before the call ran")
        self._ran(target, call.idempotency_key, call.service)
        starts = target.starts
        await asyncio.sleep(CALL_S)
        await self._host.wait_while_paused()
        lost = world.rng.random() < CALL_FAULT_SHARE
        if lost or starts != target.starts:
            world.unsure_calls.add(call.idempotency_key)
            raise EndpointCrashedError("the connection broke after the call ran")
        if not world.joined(self._host.place, target.data_centre):
            world.unsure_calls.add(call.idempotency_key)
            await asyncio.sleep(3600.0)
        return ServiceReply(201, "text/plain", call.idempotency_key.encode())


class _MemoryStream(EngineStream):
    """A connection that carries a stream from an offset."""

    def __init__(
        self,
        world: World,
        host: "MemoryHost",
        target: MemoryEndpoint,
        attempt_id: str,
        start: int,
    ) -> None:
        self._world = world
        self._host = host
        self._target = target
        self._attempt_id = attempt_id
        self._start = start
        self._chunks = self._receive()

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end."""
        return await anext(self._chunks, b"")

    async def _receive(self) -> AsyncIterator[bytes]:
        target = self._target
        opened = (target.starts, target.links)
        text, began = target.streams[self._attempt_id]
        for number in range(self._start, TOKENS + 1):
            await CLOCK.sleep_until(began + TOKEN_S * (number + 1))
            await self._host.wait_while_paused()
            await self._check(opened)
            chance = self._world.rng.random()
            if chance < STREAM_FAULT_SHARE:
                yield _event("another-stream", "another's words", number)
            elif chance < 2 * STREAM_FAULT_SHARE:
                return
            word = f"{text}/{number} " if number < TOKENS else None
            yield _event(self._attempt_id, word, number)
        yield b"data: [DONE]\n\n"

    async def _check(self, opened: tuple[int, int]) -> None:
        target = self._target
        joined = self._world.joined(self._host.place, target.data_centre)
        if not joined or target.links != opened[1]:
            await asyncio.sleep(IDLE_S)
            raise StreamBrokenError("the stream went silent")
        if target.starts != opened[0]:
            raise StreamBrokenError("the stream broke")

    async def end(self) -> None:
        """Do nothing: there is no connection to keep."""


def _event(attempt_id: str, word: str | None, number: int) -> bytes:
    body: dict[str, Any] = {"id": attempt_id, "choices": []}
    if word is None:
        body["usage"] = {"prompt_tokens": 5, "completion_tokens": TOKENS}
    else:
        body["choices"] = [{"index": 0, "delta": {"content": word}}]
    return b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(body))


class MemoryHost:
    """An entry host, its duties and the requests that run on it."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.name = name
        self.place = name.partition("-")[0]
        self.live = True
        self.paused = False
        self.world = world
        self.way = FaultyPlatform(world.platform, CLOCK, seed=incarnation)
        self.way.faults.slow_s = 0.005
        me = Host(name, self.place, "tz-south", "", incarnation)
        self.peers = MemoryPeers(me, world.network)
        self.keeper = PlatformSessionKeys(self.way, CLOCK)
        self.biller = Biller(self.way, CLOCK, name, incarnation, self.peers)
        self.copies = BillCopies(self.way, CLOCK, self.peers)
        self.configuration = Configuration(CLOCK)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.router = Router(
            data_centre=self.place,
            clock=CLOCK,
            configuration=self.configuration,
            engines=MemoryEngines(world, self),
            claims=Claims(self.way, CLOCK, f"{name}-{incarnation}", self.peers),
            biller=self.biller,
            answers=Answers(1 << 26, 1 << 20),
            session_keys=self.keeper,
            admission=Admission(500, CLOCK),
            answer_retention_s=60.0,
            poison=PoisonGuard(CLOCK, self.peers, self.way),
            host_name=name,
        )

    async def start(self) -> None:
        """Take up duties; without the platform begin with a peer's configuration."""
        await self.keeper.try_refresh()
        for other in self.world.hosts.values():
            if other is not self and other.live and other.configuration.revision:
                for table in other.configuration.tables.values():
                    self.configuration.merge_objects(table.items.values(), [])
                break
        follower = ConfigurationFollower(
            self.configuration, self.way, self.peers, CLOCK, 0.0
        )
        self.spawn(follower.run())
        self.spawn(self.router.poison.load_crashes(CLOCK.now() + 3.0))
        self.spawn(self.router.poison.poll_platform())
        self.spawn(self._keep_ticking())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that ends with the host."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def wait_while_paused(self) -> None:
        """Return once the host runs."""
        while self.paused:
            await asyncio.sleep(0.1)

    async def _keep_ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            await self.wait_while_paused()
            self.peers.send_sections(CLOCK.now())
            await self.keeper.try_refresh()
            for act in (self.biller.flush, self.copies.settle_dead_owners):
                try:
                    await act()
                except RadishshiftError:
                    continue

    async def kill(self) -> None:
        """End the host without a word."""
        self.live = False
        self.way.faults.down = True
        self.world.network.pop(self.name, None)
        self._note_lost_bills()
        await self._cancel_all()

    def _note_lost_bills(self) -> None:
        held = self.biller.unreplicated_runs() | self.copies.unreplicated_runs()
        self.world.runs_lost.update(held)

    async def drain(self) -> int:
        """Leave gracefully; return how many requests were cut."""
        self.router.draining = True
        self.router.admission.close()
        deadline = CLOCK.now() + DRAIN_S
        while self.router.in_flight_count and CLOCK.now() < deadline:
            await asyncio.sleep(0.05)
        left = len(self.router.in_flight.cancel_all())
        for act in (self.biller.flush, self.copies.hand_over):
            await self._keep_trying(act, CLOCK.now() + FLUSH_S)
        await self.kill()
        return left

    async def _keep_trying(self, act: Callable, deadline: float) -> None:
        while CLOCK.now() < deadline:
            try:
                await act()
                return
            except RadishshiftError:
                await asyncio.sleep(0.2)

    async def _cancel_all(self) -> None:
        claims = self.router.claims
        tasks = set(self.tasks) | set(claims._background) | {self.biller._copy_task}
        tasks |= {writer._task for writer in claims._writers}
        tasks |= set(self.router.background)
        tasks -= {None, asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
