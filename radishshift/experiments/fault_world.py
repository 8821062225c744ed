"""A simulated fleet in three data centres: one process, in virtual time.

The hosts use the real routers, claims, bills, session keys and poison guards; only the
network and the endpoints are simulated.
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

__all__ = ["CLOCK", "DATA_CENTRES", "TOKENS_PER_ANSWER", "MemoryHost", "World"]

CLOCK = LoopClock()
DATA_CENTRES = ("mbeya", "iringa", "njombe")
TOKENS_PER_ANSWER = 10
TOKEN_INTERVAL_S = 0.05
IDLE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
CALL_DURATION_S = 0.2
TICK_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 30.0
FLUSH_TIMEOUT_S = 5.0
STREAM_FAULT_SHARE = 0.005  # of the events, for each of two faults of streams
CALL_FAULT_SHARE = 0.03  # of the calls, for each of two faults of calls


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request at an endpoint.

    Attributes
    ----------
    request_id : str
    host : str
        Host that sent the request.
    served_name : str
        Model version or service.
    at : float
    """

    request_id: str
    host: str
    served_name: str
    at: float


@dataclass(slots=True)
class MemoryEndpoint:
    """A simulated model engine or booking desk.

    Attributes
    ----------
    crash_count : int
        Number of crashes; connections opened before the latest one are broken.
    silenced_count : int
        Number of times that all open connections went silent for good.
    down_until : float
        Until then no connection is accepted.
    runs : list of Run
    streams : dict of str to tuple
        Text and start of each stream that can be resumed, by attempt id.
    """

    name: str
    data_centre: str
    serves: tuple[str, ...]
    crash_count: int = 0
    silenced_count: int = 0
    down_until: float = 0.0
    runs: list[Run] = field(default_factory=list)
    streams: dict[str, tuple[str, float]] = field(default_factory=dict)

    def crash(self, down_s: float) -> None:
        """Lose all streams and accept no connections for some seconds."""
        self.crash_count += 1
        self.streams.clear()
        self.down_until = CLOCK.now() + down_s

    def is_up(self) -> bool:
        """Tell whether it accepts connections."""
        return self.down_until <= CLOCK.now()


@dataclass(slots=True)
class World:
    """The simulated fleet with its platform, endpoints and network.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of data centres that can't reach each other.
    crashes : dict of str to int
        Number of crashes that poison requests caused, by text of the request.
    uncertain_calls : set of str
        Keys of the calls that may have run, as their host or connection broke.
    lost_runs : set of str
        Runs whose bills were on a killed host alone.
    incarnation : int
        Number of hosts started so far.
    """

    rng: random.Random
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    network: dict[str, MemoryPeers] = field(default_factory=dict)
    endpoints: dict[str, MemoryEndpoint] = field(default_factory=dict)
    hosts: dict[str, "MemoryHost"] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    crashes: dict[str, int] = field(default_factory=dict)
    uncertain_calls: set[str] = field(default_factory=set)
    lost_runs: set[str] = field(default_factory=set)
    incarnation: int = 0

    async def build(self) -> None:
        """Start two hosts, two engines and a desk in each data centre."""
        for name, spec in small_catalogue().items():
            await self.platform.create(StoredObject(Kind.ENTRY, name, spec))
        small = ("farm-advice-small.v1",)
        large = ("farm-advice-large.v1", "farm-advice-large.v2")
        for data_centre in DATA_CENTRES:
            await self._add_endpoint(
                f"{data_centre}-engine-1", data_centre, small + large
            )
            await self._add_endpoint(
                f"{data_centre}-engine-2", data_centre, large + small
            )
            await self._add_endpoint(
                f"{data_centre}-desk", data_centre, ("booking-desk",)
            )
        for data_centre in DATA_CENTRES:
            for number in (1, 2):
                await self.start_host(f"{data_centre}-{number}")

    async def _add_endpoint(
        self, name: str, data_centre: str, serves: tuple[str, ...]
    ) -> None:
        self.endpoints[name] = MemoryEndpoint(name, data_centre, serves)
        spec = {
            "address": f"http://127.0.0.1:{1000 + len(self.endpoints)}",
            "dataCentre": data_centre,
            "serves": list(serves),
        }
        await self.platform.create(StoredObject(Kind.ENDPOINT, name, spec))

    async def start_host(self, name: str) -> None:
        """Start or restart a host."""
        self.incarnation += 1
        host = MemoryHost(self, name, self.incarnation)
        self.hosts[name] = host
        self.update_links()
        await host.start()

    def connected(self, one: str, other: str) -> bool:
        """Tell whether two data centres reach each other."""
        return frozenset((one, other)) not in self.cuts

    def update_links(self) -> None:
        """Apply the current cuts and pauses to the links between peers."""
        for peers in self.network.values():
            peers.cut = {
                other.me.name
                for other in self.network.values()
                if not self.connected(peers.me.data_centre, other.me.data_centre)
                or self.hosts[peers.me.name].paused
                or self.hosts[other.me.name].paused
            }

    def live_hosts(self) -> list["MemoryHost"]:
        """Return the hosts to which the load balancer sends requests."""
        return [
            host
            for host in self.hosts.values()
            if host.live and is_ready(host.router) and not host.paused
        ]

    def reachable(self, host: "MemoryHost", served: frozenset[str]) -> Iterator[str]:
        """Yield the endpoints that a host can reach and that serve one of the names."""
        for endpoint in self.endpoints.values():
            is_connected = self.connected(host.data_centre, endpoint.data_centre)
            if (
                is_connected
                and endpoint.is_up()
                and served.intersection(endpoint.serves)
            ):
                yield endpoint.name


class MemoryEngineClient(EngineClient):
    """The connections of one host to the simulated endpoints."""

    def __init__(self, world: World, host: "MemoryHost") -> None:
        self._world = world
        self._host = host

    async def _connect(self, endpoint: Endpoint) -> MemoryEndpoint:
        await self._host.wait_while_paused()
        target = self._world.endpoints[endpoint.name]
        if not self._world.connected(self._host.data_centre, target.data_centre):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise EndpointError(
                "the data centres are cut off from each other", verdict=Verdict.NOT_RUN
            )
        await asyncio.sleep(0.002)
        if not target.is_up() or not self._host.live:
            raise EndpointError(
                "the endpoint accepted no connection", verdict=Verdict.NOT_RUN
            )
        return target

    def _record_run(self, target: MemoryEndpoint, request_id: str, served: str) -> None:
        run = Run(request_id, self._host.name, served, CLOCK.now())
        target.runs.append(run)

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and yield its stream."""
        target = await self._connect(endpoint)
        self._record_run(target, req.request_id, version)
        text = req.body["messages"][0]["content"]
        if "poison" in text:
            await asyncio.sleep(0.1)
            crashes = self._world.crashes
            crashes[text] = crashes.get(text, 0) + 1
            target.crash(3.0)
            raise EndpointCrashedError("the endpoint crashed and closed the connection")
        target.streams[attempt_id] = (text, CLOCK.now())
        yield _MemoryStream(self._world, self._host, target, attempt_id, 0)

    @asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, attempt_id: str, events: int
    ) -> AsyncIterator[EngineStream]:
        """Resume a stream after a number of events."""
        target = await self._connect(endpoint)
        if attempt_id not in target.streams:
            raise ResumeRefusedError("the endpoint has no such stream")
        yield _MemoryStream(self._world, self._host, target, attempt_id, events)

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Discard a stream, so that it can't be resumed."""
        self._world.endpoints[endpoint.name].streams.pop(attempt_id, None)

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a booking desk."""
        world = self._world
        target = await self._connect(endpoint)
        if world.rng.random() < CALL_FAULT_SHARE:
            world.uncertain_calls.add(call.idempotency_key)
            raise EndpointCrashedError("the connection broke before the call ran")
        self._record_run(target, call.idempotency_key, call.service)
        crash_count = target.crash_count
        await asyncio.sleep(CALL_DURATION_S)
        await self._host.wait_while_paused()
        reply_lost = world.rng.random() < CALL_FAULT_SHARE
        if reply_lost or crash_count != target.crash_count:
            world.uncertain_calls.add(call.idempotency_key)
            raise EndpointCrashedError("the connection broke after the call ran")
        if not world.connected(self._host.data_centre, target.data_centre):
            world.uncertain_calls.add(call.idempotency_key)
            await asyncio.sleep(3600.0)
        return ServiceReply(201, "text/plain", call.idempotency_key.encode())


class _MemoryStream(EngineStream):
    """A connection that carries the events of a stream from a given number on."""

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
        opened_state = (target.crash_count, target.silenced_count)
        text, started_at = target.streams[self._attempt_id]
        for number in range(self._start, TOKENS_PER_ANSWER + 1):
            await CLOCK.sleep_until(started_at + TOKEN_INTERVAL_S * (number + 1))
            await self._host.wait_while_paused()
            await self._check(opened_state)
            draw = self._world.rng.random()
            if draw < STREAM_FAULT_SHARE:
                yield _event("another-stream", "another's words", number)
            elif draw < 2 * STREAM_FAULT_SHARE:
                return
            word = f"{text}/{number} " if number < TOKENS_PER_ANSWER else None
            yield _event(self._attempt_id, word, number)
        yield b"data: [DONE]\n\n"

    async def _check(self, opened_state: tuple[int, int]) -> None:
        target = self._target
        connected = self._world.connected(self._host.data_centre, target.data_centre)
        if not connected or target.silenced_count != opened_state[1]:
            await asyncio.sleep(IDLE_TIMEOUT_S)
            raise StreamBrokenError("the stream sent nothing until the idle timeout")
        if target.crash_count != opened_state[0]:
            raise StreamBrokenError("the endpoint crashed during the stream")

    async def finish(self) -> None:
        """Do nothing; there is no connection to reuse."""


def _event(attempt_id: str, word: str | None, number: int) -> bytes:
    body: dict[str, Any] = {"id": attempt_id, "choices": []}
    if word is None:
        body["usage"] = {"prompt_tokens": 5, "completion_tokens": TOKENS_PER_ANSWER}
    else:
        body["choices"] = [{"index": 0, "delta": {"content": word}}]
    return b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(body))


class MemoryHost:
    """A simulated entry host, its duties and the requests that run on it."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.name = name
        self.data_centre = name.partition("-")[0]
        self.live = True
        self.paused = False
        self.world = world
        self.platform_link = FaultyPlatform(world.platform, CLOCK, seed=incarnation)
        self.platform_link.faults.slow_s = 0.005
        me = Host(name, self.data_centre, "tz-south", "", incarnation)
        self.peers = MemoryPeers(me, world.network)
        self.session_keys = PlatformSessionKeys(self.platform_link, CLOCK)
        self.biller = Biller(self.platform_link, CLOCK, name, incarnation, self.peers)
        self.bill_copies = BillCopies(self.platform_link, CLOCK, self.peers)
        self.configuration = Configuration(CLOCK)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.router = Router(
            data_centre=self.data_centre,
            clock=CLOCK,
            configuration=self.configuration,
            engines=MemoryEngineClient(world, self),
            claims=Claims(
                self.platform_link, CLOCK, f"{name}-{incarnation}", self.peers
            ),
            biller=self.biller,
            answers=Answers(1 << 26, 1 << 20),
            session_keys=self.session_keys,
            admission=Admission(500, CLOCK),
            answer_retention_s=60.0,
            poison_guard=PoisonGuard(CLOCK, self.peers, self.platform_link),
            host_name=name,
        )

    async def start(self) -> None:
        """Start the background duties.

        The host starts with the configuration of a live peer, as the platform may be
        unreachable.
        """
        await self.session_keys.try_refresh()
        for other in self.world.hosts.values():
            if other is not self and other.live and other.configuration.revision:
                for table in other.configuration.tables.values():
                    self.configuration.merge_objects(table.items.values(), [])
                break
        follower = ConfigurationFollower(
            self.configuration, self.platform_link, self.peers, CLOCK, 0.0
        )
        self.spawn(follower.run())
        self.spawn(self.router.poison_guard.load_crashes(CLOCK.now() + 3.0))
        self.spawn(self.router.poison_guard.poll_platform())
        self.spawn(self._tick_forever())

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that is cancelled when the host ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def wait_while_paused(self) -> None:
        """Return once the host is not paused."""
        while self.paused:
            await asyncio.sleep(0.1)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.wait_while_paused()
            self.peers.send_sections(CLOCK.now())
            await self.session_keys.try_refresh()
            for action in (self.biller.flush, self.bill_copies.settle_dead_owners):
                try:
                    await action()
                except RadishshiftError:
                    continue

    async def kill(self) -> None:
        """End the host at once, without notice to its peers."""
        self.live = False
        self.platform_link.faults.down = True
        self.world.network.pop(self.name, None)
        self._record_lost_bills()
        await self._cancel_all()

    def _record_lost_bills(self) -> None:
        unreplicated = (
            self.biller.unreplicated_runs() | self.bill_copies.unreplicated_runs()
        )
        self.world.lost_runs.update(unreplicated)

    async def drain(self) -> int:
        """Shut down gracefully; return the number of requests cancelled at the end."""
        self.router.draining = True
        self.router.admission.close()
        deadline = CLOCK.now() + DRAIN_TIMEOUT_S
        while self.router.in_flight_count and CLOCK.now() < deadline:
            await asyncio.sleep(0.05)
        cancelled_count = len(self.router.in_flight.cancel_all())
        for action in (self.biller.flush, self.bill_copies.hand_over):
            await self._retry_until(action, CLOCK.now() + FLUSH_TIMEOUT_S)
        await self.kill()
        return cancelled_count

    async def _retry_until(self, action: Callable, deadline: float) -> None:
        while CLOCK.now() < deadline:
            try:
                await action()
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
