"""A gateway host: its parts, their start, and its graceful stop."""

import asyncio
import math
import signal
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, fields

import logbook

from radishshift import http_server as web
from radishshift.caller_limits import CallerLimits
from radishshift.clocks import Clock, SystemClock
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.endpoint_limits import EndpointLimits
from radishshift.decisions.endpoint_pauses import EndpointPauses
from radishshift.decisions.held_bytes import HeldBytes, budget_bytes, max_connections
from radishshift.decisions.placing import Placer
from radishshift.decisions.versions import VersionGuard
from radishshift.errors import SettingsError
from radishshift.gateway.background import BackgroundTasks
from radishshift.gateway.blocked_part_duty import BlockedPartDuty
from radishshift.gateway.bounded_ports import (
    BoundedPort,
    peer_connections,
    port_bounds,
)
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.endpoint_permits import ENDED_PATH as PERMIT_ENDED_PATH
from radishshift.gateway.endpoint_permits import PATH as PERMIT_PATH
from radishshift.gateway.endpoint_permits import EndpointPermits
from radishshift.gateway.endpoint_statements import EndpointStatements
from radishshift.gateway.explanations import PATH as EXPLAIN_PATH
from radishshift.gateway.explanations import Explainer, Question
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.host_view import HostView, kinds_in_use
from radishshift.gateway.job_retries import RetryRefusal
from radishshift.gateway.messages import CallerAnswer, CallerRequest, EndpointClient
from radishshift.gateway.monitor import Monitor
from radishshift.gateway.monitored_platform import MonitoredPlatform
from radishshift.gateway.object_decoder import ObjectDecoder
from radishshift.gateway.peer_calls import MAX_MESSAGE_BYTES, answer_peer
from radishshift.gateway.platform_sync import PlatformSync
from radishshift.gateway.relay_client import PATH as RELAY_PATH
from radishshift.gateway.relays import Relays
from radishshift.gateway.request_path import RequestPath
from radishshift.gateway.rollout_duty import RolloutDuty
from radishshift.gateway.shared_placement import PATH as PLACEMENT_PATH
from radishshift.gateway.shared_placement import SharedPlacement
from radishshift.gateway.sockets import request_factory
from radishshift.gateway.standstill import StandstillWatch
from radishshift.gateway.view_refresh import ViewRefresher
from radishshift.objects import Kind
from radishshift.open_connections import (
    HeldOnConnections,
    held_on,
    open_transports,
    wait_until_sent,
)
from radishshift.platform import Platform
from radishshift.process_usage import open_descriptors, resident_bytes

__all__ = ["Adapter", "GatewayHost"]

ACCEPT_BACKLOG = 512  # connections
ACCEPT_BATCH = 32  # connections accepted before those that are too many are closed
# After the signal to stop, streams that may outlast the process are still accepted
# for this long: the load balancer checks readiness only once a second.
STREAM_ACCEPT_S = 2.5
KILL_MARGIN_S = 0.25  # draining ends this long before the process is killed
LAST_REFUSALS_S = 0.05  # for requests that have arrived when draining ends
# For requests that were read, and again for those that are cancelled.
CONNECTION_CLOSE_TIMEOUT_S = 0.05
# Covers two failed readiness checks of the load balancer and the last retries of
# callers on connections that are still open.
MIN_DRAIN_S = 4.0
UNSENT_TIMEOUT_S = 5.0  # for the end of answers that callers read slowly
DRAIN_POLL_S = 0.05
SETTINGS_POLL_INTERVAL_S = 2.0  # the file may change without a signal
CLEANUP_INTERVAL_S = 1.0

_DEFAULT_LIMITS = CallerLimits()
MESSAGES_AT_ONCE = 2  # of the longest, to the peer port
QUESTION_BYTES = 1 << 16
QUESTIONS_AT_ONCE = 64
READY_CONNECTIONS = 32
METRICS_CONNECTIONS = 16

logger = logbook.Logger("program")

Handler = Callable[[CallerRequest, CallerAnswer], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Adapter:
    """Factories and decoders that an adapter to a platform provides.

    Attributes
    ----------
    load_settings : callable
        Reads the current settings.
    decoder : ObjectDecoder
    make_platform : callable
        Makes the client of the store at an address.
    make_endpoint_client : callable
        Makes the client that sends attempts to endpoints.
    make_caller_server : callable
        Makes the server for callers from a request handler, a clock, a predicate that
        tells whether to close each connection after its next answer, and the bounds of
        what callers make the host hold.
    make_ready_handler : callable
        Makes the handler of readiness checks from a predicate.
    """

    load_settings: Callable[[], GatewaySettings]
    decoder: ObjectDecoder
    make_platform: Callable[[str], Platform]
    make_endpoint_client: Callable[[Clock], EndpointClient]
    make_caller_server: Callable[
        [Handler, Clock, Callable[[], bool], ConnectionBounds], web.Server
    ]
    make_ready_handler: Callable[[Callable[[], bool]], Callable]


class GatewayHost:
    """Creates the parts of a host and runs them until the host is stopped.

    Parameters
    ----------
    adapter : Adapter
    clock : Clock, optional
    """

    def __init__(self, adapter: Adapter, clock: Clock | None = None) -> None:
        self._adapter = adapter
        self.clock = clock or SystemClock()
        self.settings = adapter.load_settings()
        settings = self.settings
        bounds = settings.bounds
        self.host_view = HostView(
            adapter.decoder, self.clock, bounds.drain_s, kinds_in_use(bounds)
        )
        self.placer = Placer()
        self.crash_suspects = CrashSuspects()
        self.crash_suspects.on_change = self._log_blocked
        self.versions = VersionGuard(settings.host, settings.bounds)
        self.monitor = Monitor(settings.host, settings.data_centre)
        self.platform = MonitoredPlatform(
            adapter.make_platform(settings.store_address), self.clock
        )
        self.endpoint_client = adapter.make_endpoint_client(self.clock)
        self.endpoint_limits = EndpointLimits()
        self.endpoint_pauses = EndpointPauses()
        statements = EndpointStatements(
            self.clock, self.endpoint_limits, self.host_view, self.endpoint_pauses
        )
        statements.on_change = self._announce_change
        self.endpoint_client.notices = statements
        self.dispatcher = Dispatcher(
            self.clock,
            settings.data_centre,
            self.host_view,
            self.placer,
            self.endpoint_client,
            self.crash_suspects,
            self.versions,
            settings.bounds,
        )
        self.gossip = Gossip(
            settings,
            self.clock,
            self.host_view,
            self.placer,
            self.crash_suspects,
            self.versions,
            self.endpoint_limits,
            self.dispatcher.fleet_size,
        )
        self.gossip.on_change = self._on_peer_update
        self.dispatcher.on_crash = self._announce_change
        self.gossip.store_lost = lambda: self.platform.unavailable_since is not None
        self.permits = EndpointPermits(
            settings,
            self.clock,
            self.endpoint_limits,
            self.gossip.peers,
            self.host_view.cold_per_s,
        )
        self.shared_placement = SharedPlacement(
            settings,
            self.clock,
            self.host_view,
            self.placer,
            self.gossip,
            self.permits,
        )
        self.dispatcher.placement.shared = self.shared_placement
        self.dispatcher.placement.permits = self.permits
        self.dispatcher.placement.pauses = self.endpoint_pauses
        self.dispatcher.placement.regions = settings.regions
        self.relays = Relays(
            settings,
            self.clock,
            self.host_view,
            self.dispatcher,
            self.gossip,
            lambda: self.stopping,
        )
        self.dispatcher.services.on_change = self._announce_change
        self.platform_sync = PlatformSync(
            settings.host,
            self.platform,
            self.clock,
            self.host_view,
            self.gossip.control_hosts,
            self.gossip.control_hosts_with_store,
            self._on_view_change,
            bounds.config_deadline_s,
            self.gossip.peers.link_mbps,
        )
        self.standstill_watch = StandstillWatch(
            self.clock, self._on_standstill, self._refresh_view
        )
        self.view_refresher = ViewRefresher(
            settings.host,
            self.clock,
            self.host_view.freshness,
            self.platform_sync.resync_interval_s,
            lambda: self.gossip.peers.read_order(self.clock.now()),
            self._ask_peers,
            self.platform_sync.read_changes,
            self.gossip.followers_lost_store,
            self.standstill_watch.resumed_at,
        )
        self.request_path = RequestPath(
            self.dispatcher, self.monitor, self.platform_sync.wait_for_initial_load
        )
        self.request_path.wait_for_refresh = self.standstill_watch.wait_for_refresh
        self.rollout_duty = RolloutDuty(
            settings.host,
            self.platform,
            adapter.decoder,
            self.clock,
            self.host_view,
            self.versions,
            self.gossip,
        )
        self.blocked_part_duty = BlockedPartDuty(
            settings.host,
            self.platform,
            self.clock,
            self.host_view,
            self.crash_suspects,
            self.gossip,
            self._on_view_change,
        )
        self.explainer = Explainer(
            settings.host, self.clock, self.request_path, self.dispatcher, self.gossip
        )
        self.held_bytes = HeldBytes(budget_bytes(settings.memory_mb))
        self.caller_bounds = ConnectionBounds(
            self.held_bytes,
            self._caller_limits,
            max_connections(settings.max_fds, settings.memory_mb),
        )
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()
        self._background = BackgroundTasks()
        self._caller_server: web.Server | None = None
        self._peer_server: web.Server | None = None
        self._drain_until = math.inf

    @property
    def stopping(self) -> bool:
        """Return whether the host has begun to stop."""
        return self._stop.is_set()

    @property
    def in_flight(self) -> int:
        """Return the requests and the attempts of peers without a final answer."""
        return self.request_path.in_flight + self.relays.server.in_flight

    def ready(self) -> bool:
        """Return whether load balancers should send connections to the host."""
        return (
            not self.stopping
            and self.host_view.deployment is not None
            and bool(self.host_view.members)
        )

    async def run(self) -> None:
        """Serve until `stop` is called, then drain the requests in flight."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_by_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        settings = self.settings
        logger.info(
            "started",
            extra={"host": settings.host, "data_centre": settings.data_centre},
        )
        self._register_gauges()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._close_client)
            stack.push_async_callback(self.platform.close)
            stack.push_async_callback(self.shared_placement.close)
            stack.push_async_callback(self.permits.close)
            stack.push_async_callback(self.relays.client.close)
            await self._listen(stack)
            for name, run in {
                "platform sync": self.platform_sync.run,
                "gossip": self.gossip.run,
                "view refresh": self.view_refresher.run,
                "standstills": self.standstill_watch.run,
                "roll-outs": self.rollout_duty.run,
                "blocked parts": self.blocked_part_duty.run,
                "services": self.dispatcher.services.run,
                "clean-up": self._clean_up,
                "settings": self._watch_settings,
            }.items():
                self._background.keep_running(name, run)
            await self._stop.wait()
            await self._drain()
            self._log_end("drained")
            await self._close_to_callers()
            await self._background.cancel()
        self._log_end("stopped")

    def _log_end(self, message: str) -> None:
        """Log a step of the stop, its time since the signal, and what is in flight."""
        path = self.request_path
        after_stop_s = round(self.clock.now() - path.stopping_since, 3)
        logger.info(
            message, extra={"in_flight": path.in_flight, "after_stop_s": after_stop_s}
        )

    async def _close_to_callers(self) -> None:
        """Refuse what was read since the drain, and close the callers' connections.

        A request taken from here on would be cancelled when the process ends. So would
        the rest of an answer that is still in the write buffer of a connection.
        """
        self.request_path.exits_at = self.clock.now()
        # Closing a connection with an unread request would reset it.
        await asyncio.sleep(LAST_REFUSALS_S)
        transports = open_transports(self._caller_server)
        self._caller_server.pre_shutdown()
        await self._caller_server.shutdown(CONNECTION_CLOSE_TIMEOUT_S)
        left_s = self._drain_until - self.clock.now()
        await wait_until_sent(transports, min(left_s, UNSENT_TIMEOUT_S))

    async def _close_client(self) -> None:
        """Close the connections to endpoints, unless attempts still run."""
        if not self.in_flight:
            await self.endpoint_client.close()

    def _stop_by_signal(self) -> None:
        """Begin a graceful stop that ends shortly before the process is killed."""
        kill_at = self.clock.now() + self.settings.bounds.stop_s
        self._drain_until = min(self._drain_until, kill_at - KILL_MARGIN_S)
        self.stop("signal")

    def stop(self, reason: str) -> None:
        """Begin a graceful stop, which takes as long as the requests in flight."""
        logger.info("stopping", extra={"reason": reason})
        self._stop.set()

    async def _listen(self, stack: AsyncExitStack) -> None:
        settings = self.settings
        self._caller_server = self._adapter.make_caller_server(
            self.request_path.handle,
            self.clock,
            lambda: self.stopping,
            self.caller_bounds,
        )
        self._peer_server = BoundedPort(
            self._answer_peer,
            port_bounds(
                MAX_MESSAGE_BYTES, MESSAGES_AT_ONCE, peer_connections(settings.max_fds)
            ),
            request_factory=request_factory(MAX_MESSAGE_BYTES),
            handler_cancellation=True,
        )
        servers = {
            settings.ready_address: BoundedPort(
                self._adapter.make_ready_handler(self.ready),
                port_bounds(QUESTION_BYTES, QUESTIONS_AT_ONCE, READY_CONNECTIONS),
            ),
            settings.peer_address: self._peer_server,
            settings.metrics_address: BoundedPort(
                self._metrics,
                port_bounds(QUESTION_BYTES, QUESTIONS_AT_ONCE, METRICS_CONNECTIONS),
            ),
            settings.caller_address: self._caller_server,
        }
        loop = asyncio.get_running_loop()
        for address, server in servers.items():
            sock = _bound_socket(address)
            # The loop accepts as many at once as its backlog says.
            listener = await loop.create_server(server, sock=sock, backlog=ACCEPT_BATCH)
            sock.listen(ACCEPT_BACKLOG)
            stack.callback(listener.close)

    async def _answer_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == PLACEMENT_PATH:
            return await self.shared_placement.handle(request)
        if request.path == RELAY_PATH:
            return await self.relays.server.handle(request)
        if request.path in (PERMIT_PATH, PERMIT_ENDED_PATH):
            return await self.permits.handle(request)
        return await self.gossip.handle(request)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == EXPLAIN_PATH:
            return await answer_peer(request, Question, self.explainer.explain)
        return web.Response(body=self.monitor.exposition(), content_type="text/plain")

    def _register_gauges(self) -> None:
        register = self.monitor.add_gauge
        register("in_flight", lambda: self.request_path.in_flight)
        register("configuration_version", lambda: self.host_view.version)
        register("staleness_s", self._staleness_s)
        register("overdue_reads", lambda: self.view_refresher.reads)
        register("standstills", lambda: self.standstill_watch.standstills)
        register("endpoints", lambda: len(self.host_view.members))
        register("hosts", self.gossip.host_count)
        register("coordinates", self.gossip.coordinates)
        register(
            "blocked_traits", lambda: len(self.crash_suspects.blocked(self.clock.now()))
        )
        register("limited_endpoints", self.endpoint_limits.count)
        register("evacuated_data_centres", lambda: len(self.host_view.evacuated))
        register(
            "cold_endpoints", lambda: len(self.host_view.cold.cold(self.clock.now()))
        )
        register(
            "paused_endpoints", lambda: self.endpoint_pauses.count(self.clock.now())
        )
        for refusal in RetryRefusal:
            register(f"retries_refused_{refusal.name.lower()}", self._refused(refusal))
        register("background_failures", lambda: self._background.failures)
        register("held_bytes", lambda: self.held_bytes.total)
        register("rejected_for_memory", lambda: self.held_bytes.rejected)
        for field in fields(HeldOnConnections):
            register(f"caller_{field.name}", self._held_on_connections(field.name))
        register("resident_bytes", resident_bytes)
        register("open_descriptors", open_descriptors)
        register("caller_head_bytes", lambda: self.caller_bounds.head_bytes)
        register("caller_connections_evicted", lambda: self.caller_bounds.evicted)
        register("caller_connections_refused", lambda: self.caller_bounds.refused)
        register("store_calls", lambda: self.platform.calls)
        self.relays.register_gauges(self.monitor)
        register("store_lost", lambda: self.platform.unavailable_since is not None)

    def _refused(self, refusal: RetryRefusal) -> Callable[[], float]:
        return lambda: self.dispatcher.refused_retries[refusal]

    def _caller_limits(self) -> CallerLimits:
        """Return the limits on callers that are in force."""
        deployment = self.host_view.deployment
        return _DEFAULT_LIMITS if deployment is None else deployment.limits

    def _held_on_connections(self, name: str) -> Callable[[], float]:
        return lambda: getattr(held_on(self._caller_server), name)

    def _staleness_s(self) -> float:
        """Return how old the host's view may be, infinite if it is not known."""
        staleness_s = self.host_view.freshness.staleness_s(self.clock.now())
        return math.inf if staleness_s is None else staleness_s

    def _log_blocked(self, blocked: dict[str, int]) -> None:
        """Log the traits whose requests are refused, as they crash endpoints."""
        logger.warning("blocked traits changed", extra={"crashes": blocked})

    def _announce_change(self) -> None:
        self._background.spawn("announcement", self.gossip.announce_change())

    def _ask_peers(self) -> None:
        self._background.spawn("questions to peers", self.gossip.ask_peers())

    def _on_standstill(self, duration_s: float) -> None:
        """Take back what the host concluded, or would, from not listening."""
        now = self.clock.now()
        self.host_view.freshness.reset(now)
        self.gossip.peers.excuse_silence(duration_s, now)

    async def _refresh_view(self) -> None:
        """Ask the usual peers, then the store unless they know its state."""
        await self.gossip.run_round()
        if self.host_view.freshness.staleness_s(self.clock.now()) is None:
            await self.platform_sync.read_changes()

    def _on_view_change(self) -> None:
        """Update the decisions from the host's view and gossip the change."""
        self.crash_suspects.set_stored(self.host_view.blocked_parts)
        self.versions.update_rollouts(
            self.host_view.rollouts.values(), self.clock.now()
        )
        self._announce_change()

    def _on_peer_update(self, kinds: Iterable[Kind]) -> None:
        """Apply an update of the host's view that came from a peer."""
        for kind in kinds:
            self.platform_sync.record_missed_change(kind)
        self.platform_sync.record_view_change()
        self._on_view_change()

    async def _clean_up(self) -> None:
        while True:
            self._observe_fleet()
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            members = {
                endpoint.incarnation for endpoint in self.host_view.members.values()
            }
            for view in list(self.placer.views()):
                if view.member.incarnation not in members and not view.in_flight:
                    self.endpoint_client.forget(view.member)
            self.placer.keep_only(members)
            self.host_view.expire()
            # While the store is away, endpoints whose entries lapsed stay in use.
            known = self.host_view.known_endpoints()
            self.endpoint_limits.keep_only(known, self.clock.now())
            self.permits.keep_only(known)
            self.endpoint_pauses.keep_only(known, self.clock.now())

    def _observe_fleet(self) -> None:
        """Record how many hosts there are, unless this one has heard of no other."""
        hosts = self.gossip.host_count()
        if hosts > 1 or not self.settings.seeds:
            self.dispatcher.fleet_size.observe(hosts, self.clock.now())

    async def _watch_settings(self) -> None:
        """Reload the settings on SIGHUP and periodically."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await self._reload.wait()
                logger.info("SIGHUP received; reloading the settings")
            except TimeoutError:
                pass
            self._reload.clear()
            try:
                settings = self._adapter.load_settings()
            except SettingsError as exc:
                logger.warning("invalid settings ignored: {}", exc.message)
                continue
            if settings != self.settings:
                logger.info("settings changed")
                self.settings = settings
                self.versions.bounds = settings.bounds
                self.dispatcher.bounds = settings.bounds
                self.dispatcher.placement.drain_s = settings.bounds.drain_s

    async def _drain(self) -> None:
        """Wait for requests in flight, until shortly before the process is killed."""
        now = self.clock.now()
        self.request_path.stopping_since = now
        self.request_path.accept_streams_until = now + STREAM_ACCEPT_S
        earliest_exit = now + MIN_DRAIN_S
        while self.clock.now() < self._drain_until:
            # A signal may come during a stop that began without one.
            self.request_path.exits_at = self._drain_until
            await asyncio.sleep(DRAIN_POLL_S)
            if self.clock.now() >= earliest_exit and not self.in_flight:
                return


def _bound_socket(address: str) -> socket.socket:
    ip, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((ip, int(port)))
    except OSError:
        sock.close()
        raise
    return sock
