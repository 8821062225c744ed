"""A simulated gateway host with in-memory endpoints and callers, in virtual time."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field, replace

import msgspec

from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.endpoint_limits import EndpointLimits
from radishshift.decisions.placing import Placer
from radishshift.decisions.versions import VersionGuard
from radishshift.endpoints import EndpointState
from radishshift.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointUnreachableError,
    StreamBrokenError,
    UnreadableObjectError,
)
from radishshift.gateway.deployment import (
    Customer,
    Deployment,
    Member,
    Rollout,
    RolloutState,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.endpoint_permits import EndpointPermits
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_settings import Bounds
from radishshift.gateway.host_view import KINDS, HostView
from radishshift.gateway.messages import (
    CallerAnswer,
    CallerRequest,
    EndpointAnswer,
    EndpointClient,
    ProbeOutcome,
)
from radishshift.gateway.monitor import Monitor
from radishshift.gateway.object_decoder import ObjectDecoder
from radishshift.gateway.request_path import RequestPath
from radishshift.gateway.shared_placement import SharedPlacement
from radishshift.objects import Kind, Listing, StoredObject
from radishshift.virtual_time import LoopClock

__all__ = ["KEY", "Caller", "Script", "SimpleObjectDecoder", "World", "route"]

KEY = "key-of-ring"
HOST = "example"
DOWN_S = 3.0  # after a crash
SERVICE = "advice"
MODEL_COSTS = {"small": 0.02, "middle": 0.12, "large": 0.22}


def route(kind=RouteKind.IDEMPOTENT, **changes):
    """Return a route at /advice/."""
    values = {
        "name": "advice",
        "host": HOST,
        "prefix": "/advice/",
        "kind": kind,
        "shares": (ServiceShare(SERVICE, 1.0),),
        "timeout_s": 10.0,
        "objective_s": 3.0,
        "endpoints_max": 3,
        "resumable": kind is RouteKind.STREAM,
    }
    return Route(**(values | changes))


class SimpleObjectDecoder(ObjectDecoder):
    """Decoder of objects whose spec contains the decoded value under one key."""

    def deployment(self, item):
        return item.spec["deployment"]

    def version_of(self, item):
        deployment = item.spec.get("deployment")
        return getattr(deployment, "version", 0)

    def member(self, item):
        member = item.spec["member"]
        # A dictionary if it was received in a gossip message.
        return member if isinstance(member, Member) else msgspec.convert(member, Member)

    def rollout(self, item):
        order = item.spec["order"]
        if isinstance(order, str):
            raise UnreadableObjectError(f"rollout {item.name}: {order}")
        state = RolloutState(item.status.get("state", "ordered"))
        return Rollout(*order, state, item.revision)

    def rollout_status(self, rollout, state):
        return {"state": state.value}


@dataclass
class Script:
    """Scripted behaviour of an endpoint for its next attempt.

    Attributes
    ----------
    events : list of bytes
        Sent `gap_s` apart, after `first_s`.
    breaks_after : int
        Events after which the connection breaks, or -1.
    break_delay_s : float
        Time from the headers, or the last event, until the connection breaks.
    hangs_after : int
        Events after which the stream hangs, or -1.
    pauses_after : int
        Events after which the next is sent `pause_s` late, or -1.
    lives : bool
        Whether an endpoint that breaks an answer off goes on, instead of crashing.
    """

    status: int = 200
    body: bytes = b"whole"
    events: tuple = ()
    first_s: float = 0.05
    gap_s: float = 0.03
    breaks_after: int = -1
    break_delay_s: float = 0.0
    hangs_after: int = -1
    pauses_after: int = -1
    pause_s: float = 0.0
    partial_event: bytes = b""
    signed: bool = True
    confidence: float | None = None
    error: str = ""
    lives: bool = False


ERRORS = {
    "refused": EndpointRefusedError,
    "replaced": EndpointReplacedError,
    "unreachable": EndpointUnreachableError,
    "crash": EndpointError,
}


class _Answer(EndpointAnswer):
    def __init__(self, script, after, on_break, standstills=()):
        self.status = script.status
        self._on_break = on_break
        self.headers = (("X-Signature", "s"),) if script.signed else ()
        self.signed = script.signed
        self.confidence = script.confidence
        self.aborted = False
        self._script = script
        self._standstills = standstills
        self._stood_still = set()
        self._sent = after
        self._partial_sent = False
        self._paused = False
        self._began_at = asyncio.get_running_loop().time()
        self._next_at = self._began_at + script.gap_s
        for since, until in standstills:
            if until <= self._began_at:
                self._stood_still.add(since)

    async def read(self):
        if self._script.breaks_after >= 0:
            self._on_break()
            raise StreamBrokenError("broke off")
        return self._script.body

    async def chunk(self):
        script = self._script
        if self._sent == script.hangs_after:
            await asyncio.Event().wait()
        if self._sent == script.breaks_after:
            await asyncio.sleep(script.break_delay_s)
            if script.partial_event and not self._partial_sent:
                self._partial_sent = True
                return script.partial_event
            self._on_break()
            raise StreamBrokenError("broke off")
        if self._sent >= len(script.events):
            return b""
        self._delay()
        # A cancelled wait does not delay the next event, as at a real connection.
        await asyncio.sleep(self._next_at - asyncio.get_running_loop().time())
        return self._next_event()

    def _next_event(self):
        self._next_at += self._script.gap_s
        self._sent += 1
        return self._script.events[self._sent - 1]

    def _delay(self):
        """Delay the next event by its pause, and by standstills of the endpoint."""
        if self._sent == self._script.pauses_after and not self._paused:
            self._paused = True
            self._next_at += self._script.pause_s
        for since, until in self._standstills:
            if since < self._next_at and since not in self._stood_still:
                self._stood_still.add(since)
                self._next_at += until - max(since, self._began_at)

    def buffered_bytes(self):
        script = self._script
        if self._sent in (script.hangs_after, script.breaks_after, len(script.events)):
            return b""
        self._delay()
        arrived = self._next_at <= asyncio.get_running_loop().time()
        return self._next_event() if arrived else b""

    def abort(self):
        self.aborted = True


@dataclass
class _Endpoints(EndpointClient):
    """Endpoints that follow scripts and record each attempt.

    Attributes
    ----------
    standstills : dict of str to list of tuple
        Instants, by endpoint, between which it sends nothing; each stream then goes on
        with what was left of its pause.
    """

    scripts: dict = field(default_factory=dict)
    attempts: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    forgotten: list = field(default_factory=list)
    cut_off: set = field(default_factory=set)
    down_until: dict = field(default_factory=dict)
    standstills: dict = field(default_factory=dict)
    probes: int = 0

    def _go_down(self, name, script):
        if not script.lives:
            self.down_until[name] = asyncio.get_running_loop().time() + DOWN_S

    async def send(self, order):
        self.attempts.append(order)
        scripts = self.scripts[order.member.name]
        script = scripts.pop(0) if len(scripts) > 1 else scripts[0]
        if script.error == "hang":
            await asyncio.Event().wait()
        await asyncio.sleep(script.first_s)
        standstills = self.standstills.get(order.member.name, ())
        for since, until in standstills:
            now = asyncio.get_running_loop().time()
            if since <= now < until:
                await asyncio.sleep(until - now)
        if script.error:
            if script.error == "crash":
                self._go_down(order.member.name, script)
            raise ERRORS[script.error](script.error)
        after = int(order.last_event_id or 0)
        answer = _Answer(
            script,
            after,
            lambda: self._go_down(order.member.name, script),
            standstills,
        )
        self.answers.append(answer)
        return answer

    async def probe(self, member):
        self.probes += 1
        if self.down_until.get(member.name, 0.0) > asyncio.get_running_loop().time():
            return ProbeOutcome.REFUSED
        if member.name in self.cut_off:
            await asyncio.sleep(0.35)
            return ProbeOutcome.UNANSWERED
        await asyncio.sleep(0.01)
        return ProbeOutcome.OPENED

    def forget(self, member):
        self.forgotten.append(member.name)


class Caller(CallerAnswer):
    """Records what a caller received, and when."""

    def __init__(self):
        self.started = False
        self.status = None
        self.headers = ()
        self.body = b""
        self.parts = []
        self.finished = False
        self.aborted = False
        self.ended_at = None

    async def send(self, status, headers, body):
        self.started = True
        self.status, self.headers, self.body = status, headers, body
        self.finished = True
        self.ended_at = asyncio.get_running_loop().time()

    async def start(self, status, headers):
        self.started = True
        self.status, self.headers = status, headers

    async def write(self, data):
        self.parts.append((asyncio.get_running_loop().time(), data))
        self.body += data

    async def finish(self):
        self.finished = True
        self.ended_at = asyncio.get_running_loop().time()

    def abort(self):
        self.aborted = True
        self.ended_at = asyncio.get_running_loop().time()


class World:
    """One host with its view of the platform and its endpoints.

    Parameters
    ----------
    routes : tuple of Route
    endpoints : dict of str to list of Script
        The last script of a list applies to all further attempts.
    data_centre : str
        That of the host.
    data_centres : dict of str to str
        Data centres of endpoints, where they differ from the default.
    """

    def __init__(
        self,
        routes,
        endpoints,
        bounds=None,
        versions=None,
        costs=MODEL_COSTS,
        data_centre="mbeya",
        data_centres=None,
    ):
        self.clock = LoopClock()
        self.host_view = HostView(
            SimpleObjectDecoder(), self.clock, kinds=(*KINDS, Kind.EVACUATION)
        )
        self.endpoints = _Endpoints(dict(endpoints))
        bounds = bounds or Bounds()
        self.versions = VersionGuard("edge-1", bounds)
        self.suspects = CrashSuspects()
        self.limits = EndpointLimits()
        self.placer = Placer()
        self.dispatcher = Dispatcher(
            self.clock,
            data_centre,
            self.host_view,
            self.placer,
            self.endpoints,
            self.suspects,
            self.versions,
            bounds,
        )
        # As at a host of a small fleet that has run for a while.
        self.dispatcher.fleet_size.observe(1, self.clock.now())
        self.dispatcher.slack_share.usable_from = self.clock.now()
        self.configured = asyncio.Event()
        self.path = RequestPath(
            self.dispatcher, Monitor("edge-1", "mbeya"), self._wait_for_initial_load
        )
        self.revision = 1
        self._version_of = versions or {}
        self._data_centre_of = data_centres or {}
        self._costs = costs
        if routes:
            self.configure(routes)
        self.list_members(endpoints)

    async def _wait_for_initial_load(self, until):
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await self.configured.wait()

    def gossip(self, settings):
        """Return the host's gossip, which isn't running."""
        return Gossip(
            settings,
            self.clock,
            self.host_view,
            self.placer,
            self.suspects,
            self.versions,
            self.limits,
            self.dispatcher.fleet_size,
        )

    def place_together(self, settings, gossip):
        """Place with the other hosts; return the shared placement and the permits."""
        permits = EndpointPermits(
            settings,
            self.clock,
            self.limits,
            gossip.peers,
            self.host_view.cold_per_s,
        )
        shared = SharedPlacement(
            settings, self.clock, self.host_view, self.placer, gossip, permits
        )
        self.dispatcher.placement.shared = shared
        self.dispatcher.placement.permits = permits
        return shared, permits

    def configure(self, routes, version=1, customers=None, **service):
        """Apply a configuration; keywords are fields of the service."""
        self.revision += 1
        if customers is None:
            customers = {KEY: Customer("ring")}
        services = {SERVICE: Service(SERVICE, self._costs, **service)}
        deployment = Deployment(version, tuple(routes), services, customers)
        item = StoredObject(
            Kind.DEPLOYMENT, "main", {"deployment": deployment}, {}, self.revision
        )
        self.host_view.apply(Kind.DEPLOYMENT, Listing((item,), self.revision))
        self.configured.set()

    def member(self, name, state=EndpointState.LIVE, born_ms=1):
        version = self._version_of.get(name, "v1")
        data_centre = self._data_centre_of.get(name, "mbeya")
        return Member(
            name, SERVICE, "10.0.0.1:1", data_centre, version, 6, born_ms, state
        )

    def evacuate(self, *data_centres):
        """Apply the operators' orders to empty these data centres, and no others."""
        self.revision += 1
        items = [
            StoredObject(Kind.EVACUATION, name, {}, {}, self.revision)
            for name in data_centres
        ]
        self.host_view.apply(Kind.EVACUATION, Listing(tuple(items), self.revision))

    def list_members(self, names, leaving=(), **changes):
        """Apply a listing of endpoints, all with the same changes."""
        self.revision += 1
        items = []
        for name in names:
            state = EndpointState.LEAVING if name in leaving else EndpointState.LIVE
            spec = {"member": replace(self.member(name, state), **changes)}
            items.append(StoredObject(Kind.ENDPOINT, name, spec, {}, self.revision))
        self.host_view.apply(Kind.ENDPOINT, Listing(tuple(items), self.revision))

    def request(self, number=1, deadline_s=20.0, **changes):
        """Return a request for /advice/."""
        now = self.clock.now()
        values = {
            "request_id": f"request-{number}",
            "method": "POST",
            "host": HOST,
            "target": "/advice/x",
            "headers": (),
            "body": b"body",
            "deadline": now + deadline_s,
            "received_at": now,
            "key": KEY,
        }
        return CallerRequest(**(values | changes))

    def job(self, number=1):
        """Return the job of a request."""
        return self.path._create_job(self.request(number))

    async def send_request(self, number=1, **changes):
        """Send a request; return the caller with the answer that it received."""
        caller = Caller()
        await self.path.handle(self.request(number, **changes), caller)
        return caller

    def attempted_endpoints(self):
        """Return the endpoints to which attempts were sent, in order."""
        return [order.member.name for order in self.endpoints.attempts]
