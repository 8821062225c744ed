"""Gossip between hosts: object tables, load, crashes and roll-out evidence.

Every half second each host exchanges a message with a few peers, over HTTP with JSON.
A message carries the heads of the sender's tables. The receiver replies with the
tables in which the sender is behind, and the sender then sends those in which the
receiver is behind.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import aiohttp
import logbook
import msgspec

from radishshift import http_server as web
from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.endpoint_limits import EndpointLimits
from radishshift.decisions.fleet_load import FleetLoad
from radishshift.decisions.fleet_size import FleetSize
from radishshift.decisions.placing import Placer
from radishshift.decisions.versions import Counts, VersionGuard
from radishshift.gateway.gossip_messages import GossipMessage, RolloutEvidence
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.host_view import LARGE_KINDS, HostView
from radishshift.gateway.peer_calls import answer_peer, call_peer
from radishshift.gateway.peer_table import PeerTable
from radishshift.gateway.sockets import keepalive_session
from radishshift.gateway.standstill import STANDSTILL_S
from radishshift.gateway.table_arrivals import TableArrivals
from radishshift.object_table import TableDelta
from radishshift.objects import Kind

__all__ = ["Gossip"]

GOSSIP_INTERVAL_S = 0.5
CHANGE_BATCH_S = 0.15  # changes within this time are pushed together
REQUEST_TIMEOUT_S = 1.0
# Peers reply within a few milliseconds. One that takes longer is not asked again
# meanwhile, and a round goes on without it.
PROMPT_REPLY_S = 0.15
PATH = "/exchange"
MAX_HOSTS = 10_000  # a larger fleet is taken for a garbled message

logger = logbook.Logger("exchange")


class Gossip:
    """Gossips with the other hosts.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    host_view : HostView
    placer : Placer
    suspects : CrashSuspects
    versions : VersionGuard
    limits : EndpointLimits
    fleet_size : FleetSize

    Attributes
    ----------
    peers : PeerTable
    arrivals : TableArrivals
    fleet_load : FleetLoad
        Load that the other hosts of this data centre and the other data centres report.
    reached_ages_s, relaying, seeks_helpers : callable
        Tell which services this host reaches, how many attempts it relays for peers,
        and whether it needs peers to relay its own.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        host_view: HostView,
        placer: Placer,
        suspects: CrashSuspects,
        versions: VersionGuard,
        limits: EndpointLimits,
        fleet_size: FleetSize,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._host_view = host_view
        self._placer = placer
        self._suspects = suspects
        self._versions = versions
        self._limits = limits
        self._fleet_size = fleet_size
        self._incarnation = int(clock.now() * 1000)
        self.peers = PeerTable(settings, random.Random(f"peers of {settings.host}"))
        self.fleet_load = FleetLoad()
        self._random = random.Random(settings.host)
        self._session: aiohttp.ClientSession | None = None
        self._exchanges: dict[asyncio.Task[None], tuple[str, float]] = {}
        self.arrivals = TableArrivals(clock)
        self._next_push_at = 0.0
        self._coordinator: str | None = None
        self.on_change: Callable[[list[Kind]], None] = lambda kinds: None
        self.store_lost: Callable[[], bool] = lambda: False
        self.reached_ages_s: Callable[[float], dict[str, float]] = lambda now: {}
        self.relaying: Callable[[], int] = lambda: 0
        self.seeks_helpers: Callable[[], bool] = lambda: False

    def live_hosts(self) -> list[str]:
        """Return the sorted names of the live hosts, including this one."""
        return self.peers.live_hosts(self._clock.now())

    def live_hosts_with_store(self) -> list[str]:
        """Return the live hosts that reach the store, or all of them if none does."""
        lost = {
            name
            for name, peer in self.peers.peers.items()
            if peer.message is not None and peer.message.store_lost
        }
        if self.store_lost():
            lost.add(self._settings.host)
        live = self.live_hosts()
        return [name for name in live if name not in lost] or live

    def control_hosts(self) -> list[str]:
        """Return the hosts that follow the platform for all."""
        return self.peers.control_hosts(self._clock.now())

    def control_hosts_with_store(self) -> list[str]:
        """Return the hosts that follow the platform and reach its store.

        If the store turns all of them away, other hosts that reach it take their place.
        """
        with_store = self.live_hosts_with_store()
        following = [name for name in self.control_hosts() if name in with_store]
        return following or with_store

    def followers_lost_store(self) -> bool:
        """Return whether the other hosts that follow the platform say it is away.

        Only recent messages count, and none says nothing.
        """
        now = self._clock.now()
        following = set(self.control_hosts())
        said = [
            peer.message.store_lost
            for peer in self.peers.recent(now)
            if peer.message.host in following
        ]
        return bool(said) and all(said)

    def host_count(self) -> int:
        """Return the number of live hosts, as far as known."""
        return self.peers.host_count(self._clock.now())

    def old_in_flight(self, service: str) -> int:
        """Return how many attempts peers have in flight at a service's old version.

        Only recent messages count. A coordinator rounds up what all hosts report.
        """
        now = self._clock.now()
        if self.coordinates():
            canary = self._versions.canaries.get(service)
            return math.ceil(
                sum(
                    self.fleet_load.total(member.name)
                    for member in self._host_view.members_of(service)
                    if canary is not None and member.version != canary.rollout.target
                )
            )
        return sum(
            peer.message.trials[service].old_in_flight
            for peer in self.peers.recent(now)
            if service in peer.message.trials
        )

    def duty_turn(self) -> int:
        """Return this host's place in the order in which hosts write for all.

        Coordinators come first, as they hear from all hosts.
        """
        control = self.control_hosts()
        others = [name for name in self.live_hosts() if name not in control]
        return [*control, *others].index(self._settings.host)

    async def run(self) -> None:
        """Gossip until cancelled."""
        self._session = keepalive_session(idle_s=5.0)
        try:
            while True:
                await self.run_round()
                self._log_coordinator()
                self._update_peer_load()
                await asyncio.sleep(GOSSIP_INTERVAL_S * self._random.uniform(0.8, 1.2))
        finally:
            for task in self._exchanges:
                task.cancel()
            await self._session.close()

    async def run_round(self) -> None:
        """Exchange messages with the peers of one round."""
        if self._session is None:
            return
        now = self._clock.now()
        silent = self._silent_addresses()
        addresses = self.peers.for_round(now, silent)
        if self.seeks_helpers():
            addresses = {*addresses, *self.peers.for_help(now, silent)}
        await self._exchange_with(addresses)

    async def _exchange_with(
        self, addresses: Iterable[str], brief: bool = False
    ) -> None:
        """Exchange messages with peers; wait for those that reply promptly."""
        tasks = set()
        for address in addresses:
            task = asyncio.create_task(self._gossip_with(address, brief))
            self._exchanges[task] = (address, self._clock.now())
            task.add_done_callback(self._exchanges.pop)
            tasks.add(task)
        if tasks:
            await asyncio.wait(tasks, timeout=PROMPT_REPLY_S)

    def _silent_addresses(self) -> set[str]:
        """Return the peers that have not replied promptly to a message under way."""
        since = self._clock.now() - PROMPT_REPLY_S
        return {address for address, at in self._exchanges.values() if at <= since}

    def coordinates(self) -> bool:
        """Return whether this host is the coordinator of its data centre."""
        return self.peers.coordinator(self._clock.now()) == self._settings.host

    def _log_coordinator(self) -> None:
        """Log the coordinator of this data centre when it changes."""
        now = self._clock.now()
        coordinator = self.peers.coordinator(now)
        if coordinator != self._coordinator:
            logger.info(
                "coordinator is {}",
                coordinator or "not needed",
                extra={
                    "before": self._coordinator or "",
                    "local_hosts": len(self.peers.local_hosts(now)),
                    "hosts": self.peers.host_count(now),
                },
            )
            self._coordinator = coordinator

    async def ask_peers(self) -> None:
        """Exchange messages with some peers near and far, to learn what they know."""
        if self._session is None:
            return
        silent = self._silent_addresses()
        addresses = self.peers.for_help(self._clock.now(), silent)
        await self._exchange_with(addresses, brief=True)

    async def announce_change(self) -> None:
        """Gossip with some peers right after a change that they may not know."""
        now = self._clock.now()
        if self._session is None or self._next_push_at > now:
            return
        pause_s = max(0.0, self._next_push_at + CHANGE_BATCH_S - now)
        self._next_push_at = now + pause_s
        await asyncio.sleep(pause_s)
        now = self._clock.now()
        silent = self._silent_addresses()
        chosen = self.peers.for_change(now, silent)
        if self.seeks_helpers():
            chosen = {*chosen, *self.peers.for_help(now, silent)}
        await self._exchange_with(chosen, brief=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Reply to a peer's message with this host's message."""
        return await answer_peer(
            request,
            GossipMessage,
            self._reply,
            self.arrivals.receiving,
            by_entry=True,
        )

    def _reply(self, message: GossipMessage) -> GossipMessage:
        self._receive(message)
        return self._build_message(message)

    async def _gossip_with(self, address: str, brief: bool = False) -> None:
        """Exchange messages with a peer, and send the tables in which it is behind."""
        asked_at = self._clock.now()
        try:
            reply = await self._send(address, self._build_message(None, brief))
            self._receive(reply, asked_at)
            missing = self._tables_for(reply)
            if missing:
                update = self._build_message(None, brief=True)
                update.tables = missing
                asked_at = self._clock.now()
                self._receive(await self._send(address, update), asked_at)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            now = self._clock.now()
            # A timeout that comes later than it is due is of this host's making.
            if now - asked_at < REQUEST_TIMEOUT_S + STANDSTILL_S:
                self.peers.record_failure(address, exc, now)
        except msgspec.DecodeError as exc:
            logger.warning(
                "peer {} replied with a malformed gossip message: {}", address, exc
            )
        except Exception as exc:
            # What one peer sends must not end the exchange with the others.
            logger.exception("gossip with peer {} failed", address)
            self.peers.record_failure(address, exc, self._clock.now())

    async def _send(self, address: str, message: GossipMessage) -> GossipMessage:
        return await call_peer(
            self._session,
            address,
            PATH,
            message,
            GossipMessage,
            REQUEST_TIMEOUT_S,
            self.arrivals.receiving,
            by_entry=True,
        )

    def _build_message(
        self, requester: GossipMessage | None, brief: bool = False
    ) -> GossipMessage:
        """Return a gossip message, with the tables in which `requester` is behind."""
        now = self._clock.now()
        brief = brief or (requester is not None and requester.brief)
        peers = {} if brief else self.peers.listed(now)
        links = self.peers.local_links(peers)
        coordinates = self.coordinates()
        return GossipMessage(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.peer_address,
            data_centre=self._settings.data_centre,
            heads=self.arrivals.heads_to_state(
                self._host_view.heads(), None if requester is None else requester.heads
            ),
            peers=peers,
            neighbours=list(links),
            link_mbps=self._settings.link_mbps,
            links={host: mbps for host, mbps in links.items() if mbps},
            centres={} if brief else self.peers.centre_summaries(now),
            brief=brief,
            staleness_s=self._host_view.freshness.staleness_s(now),
            store_lost=self.store_lost(),
            load={} if brief else self.own_load(),
            centre_load=self._centre_load(now) if coordinates and not brief else {},
            crash_reports=self._suspects.reports(now),
            sound_ages_s=self._suspects.sound_ages_s(now),
            held_ages_s=self._suspects.held_ages_s(now),
            alive_ages_s=self._suspects.alive_ages_s(now),
            limits=self._limits.reports(now),
            departures=self._host_view.departure_reports(),
            reached=self.reached_ages_s(now),
            relaying=self.relaying(),
            most_hosts=self._fleet_size.report(now),
            trials={
                service: RolloutEvidence(
                    canary.rollout.target,
                    round(now - canary.began_at, 3),
                    canary.stopped,
                    [
                        (
                            new,
                            route,
                            counts.answers,
                            counts.bad,
                            round(counts.slowness, 2),
                        )
                        for (new, route), counts in canary.counts.get(
                            self._settings.host, {}
                        ).items()
                    ],
                    self.own_old_in_flight(service, canary.rollout.target),
                )
                for service, canary in self._versions.canaries.items()
                if not canary.rollout.state.ended
            },
            kept_ages_s=self._versions.kept_ages_s(now),
            tables={} if requester is None else self._tables_for(requester),
        )

    def own_load(self) -> dict[str, float]:
        """Return the load that this host puts on each endpoint."""
        return {
            view.member.name: round(view.load, 1)
            for view in self._placer.views()
            if view.in_flight
        }

    def _centre_load(self, now: float) -> dict[str, float]:
        """Return the load that this data centre puts on each endpoint."""
        load = self.fleet_load.sum_of(self.peers.local_hosts(now))
        for endpoint, amount in self.own_load().items():
            load[endpoint] = load.get(endpoint, 0.0) + amount
        return {endpoint: round(amount, 1) for endpoint, amount in load.items()}

    def own_old_in_flight(self, service: str, target: str) -> int:
        """Return how many attempts this host has in flight at the old version."""
        return sum(
            view.in_flight
            for view in self._placer.views()
            if view.member.service == service and view.member.version != target
        )

    def _tables_for(self, message: GossipMessage) -> dict[str, TableDelta]:
        """Return the tables that are newer here than at the sender of a message.

        A peer whose head has not moved after a delta gets the complete table.
        """
        peer = self.peers.peers.get(message.host)
        delta_bases = {} if peer is None else peer.delta_bases
        tables = {}
        for kind in self._host_view.kinds:
            table = self._host_view.tables[kind]
            if kind.value not in message.heads:
                # The peer is of a release without this kind, or receives it just now.
                continue
            peer_head = message.heads[kind.value]
            delta = table.delta_for(peer_head, delta_bases.get(kind.value))
            if delta is not None:
                delta_bases[kind.value] = peer_head
                tables[kind.value] = delta
        return tables

    def _receive(self, message: GossipMessage, asked_at: float | None = None) -> None:
        """Apply a message.

        Parameters
        ----------
        message : GossipMessage
        asked_at : float, optional
            Instant before which a reply was not written. The age of a message that is
            no reply is unknown: it may have waited for a host that stood still.
        """
        now = self._clock.now()
        if message.host == self._settings.host:
            return
        if self.peers.record(message, now) is None:
            return
        self._record_load(message, now)
        self._suspects.merge_alive(message.alive_ages_s, now)
        self._suspects.merge(message.crash_reports, message.sound_ages_s, now)
        self._suspects.merge_held(message.held_ages_s, now)
        self._merge_limits(message, now)
        self._merge_fleet_size(message, now)
        self._host_view.merge_departures(message.departures, message.host)
        self._merge_rollout_evidence(message, now)
        self._versions.merge_kept(message.kept_ages_s, now)
        self._host_view.confirm(message.heads)
        changed = [
            kind
            for kind in self._host_view.kinds
            if kind.value in message.tables
            and self._host_view.merge(kind, message.tables[kind.value], message.host)
        ]
        if not LARGE_KINDS.isdisjoint(changed):
            self.arrivals.end_wait()
        if asked_at is not None and message.staleness_s is not None:
            self._host_view.confirm_freshness(
                message.heads, asked_at, message.staleness_s
            )
        if changed:
            self.on_change(changed)

    def _record_load(self, message: GossipMessage, now: float) -> None:
        """Record the sender's load, and that of its data centre if it tells that."""
        if message.data_centre == self._settings.data_centre:
            if not message.brief:
                self.fleet_load.report(message.host, message.load, now)
        elif message.centre_load:
            self.fleet_load.report(message.data_centre, message.centre_load, now)

    def _merge_fleet_size(self, message: GossipMessage, now: float) -> None:
        hosts, age_s = message.most_hosts
        if 0 < hosts <= MAX_HOSTS:
            self._fleet_size.observe(hosts, now, max(0.0, age_s))

    def _merge_limits(self, message: GossipMessage, now: float) -> None:
        for report in self._limits.merge(message.limits, now):
            logger.info(
                "endpoint limit changed",
                extra={
                    "endpoint": report.endpoint,
                    "per_s": report.per_s,
                    "refusals_per_s": report.refusals_per_s,
                    "age_s": report.age_s,
                    "source": message.host,
                },
            )

    def _merge_rollout_evidence(self, message: GossipMessage, now: float) -> None:
        for service, evidence in message.trials.items():
            canary = self._versions.canaries.get(service)
            if canary is None or canary.rollout.target != evidence.target:
                continue
            canary.began_at = min(canary.began_at, now - evidence.age_s)
            canary.counts[f"{message.host}.{message.incarnation}"] = {
                (new, route): Counts(answers, bad, slowness)
                for new, route, answers, bad, slowness in evidence.counts
            }
            if evidence.stopped and not canary.stopped:
                logger.warning(
                    "version {} of {} is stopped because host {} stopped it",
                    evidence.target,
                    service,
                    message.host,
                )
                canary.stopped = True
            if canary.stop_if_bad():
                logger.warning(
                    "version {} of {} is stopped because its answers are bad or slow",
                    evidence.target,
                    service,
                )

    def _update_peer_load(self) -> None:
        """Pass the load that the peers report to the placer.

        A coordinator hears from all hosts of its data centre and from the other
        coordinators, so it sums the reports. Another host of a large fleet has heard
        from some peers only; their sum is scaled up as if the other hosts put the same
        load on the endpoints.
        """
        now = self._clock.now()
        self.fleet_load.expire(now)
        if self.coordinates():
            for view in self._placer.views():
                view.others_load = self.fleet_load.total(view.member.name)
            return
        recent = self.peers.recent(now)
        scale = (len(self.live_hosts()) - 1) / max(1, len(recent))
        for view in self._placer.views():
            name = view.member.name
            reported_load = sum(peer.message.load.get(name, 0.0) for peer in recent)
            view.others_load = reported_load * max(1.0, scale)
