"""Gossip between hosts: object tables, load, crashes and roll-out evidence.

Every half second each host exchanges a message with a few peers, over HTTP with JSON.
A message carries the heads of the sender's tables. The receiver replies with the
tables in which the sender is behind, and the sender then sends those in which the
receiver is behind.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import logbook
import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.placing import Placer
from radishshift.decisions.versions import Counts, VersionGuard
from radishshift.gateway.gossip_messages import GossipMessage, RolloutEvidence
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.host_view import KINDS, HostView
from radishshift.gateway.sockets import keepalive_session
from radishshift.object_table import Head, TableDelta
from radishshift.objects import Kind

__all__ = ["Gossip"]

GOSSIP_INTERVAL_S = 0.5
FANOUT = 2  # peers per round; 6 KB/s with messages of 1.5 KB
# Relative to a peer in this data centre, as traffic between data centres is billed.
REMOTE_PEER_WEIGHT = 0.25
# Peers to which a change is pushed. Each of them pushes it on, so that it reaches 98 %
# of the hosts.
CHANGE_FANOUT = 4
CHANGE_BATCH_S = 0.15  # changes within this time are pushed together
REQUEST_TIMEOUT_S = 1.0
# A host from which no host has received a message for this long counts as dead.
HOST_TIMEOUT_S = 4.0
LOAD_MAX_AGE_S = 2.5  # older load reports are ignored
PEER_EXPIRY_S = 60.0  # a host that is silent for that long is no longer contacted
PEERS_PER_MESSAGE = 16
PATH = "/exchange"

logger = logbook.Logger("exchange")


@dataclass(slots=True)
class _Peer:
    """A peer as this host knows it.

    Attributes
    ----------
    last_heard_at : float
        Latest instant at which any host is known to have received a message from it.
    message_at : float
        Instant at which `message` was received.
    failed_at : float
        Instant of the last failed request to it, 0 if there was none.
    message : GossipMessage or None
        The last message received from it.
    delta_bases : dict of str to Head
        Table heads of the peer when a delta was last sent to it.
    """

    address: str
    last_heard_at: float = 0.0
    message_at: float = 0.0
    failed_at: float = 0.0
    message: GossipMessage | None = None
    delta_bases: dict[str, Head] = field(default_factory=dict)


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
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        host_view: HostView,
        placer: Placer,
        suspects: CrashSuspects,
        versions: VersionGuard,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._host_view = host_view
        self._placer = placer
        self._suspects = suspects
        self._versions = versions
        self._incarnation = int(clock.now() * 1000)
        self._peers: dict[str, _Peer] = {}
        self._random = random.Random(settings.host)
        self._session: aiohttp.ClientSession | None = None
        self._next_push_at = 0.0
        self.on_change: Callable[[list[Kind]], None] = lambda kinds: None
        self.store_lost: Callable[[], bool] = lambda: False

    def live_hosts(self) -> list[str]:
        """Return the sorted names of the live hosts, including this one."""
        since = self._clock.now() - HOST_TIMEOUT_S
        names = [
            name for name, peer in self._peers.items() if peer.last_heard_at > since
        ]
        return sorted([*names, self._settings.host])

    def live_hosts_with_store(self) -> list[str]:
        """Return the live hosts that reach the store, or all of them if none does."""
        lost = {
            name
            for name, peer in self._peers.items()
            if peer.message is not None and peer.message.store_lost
        }
        if self.store_lost():
            lost.add(self._settings.host)
        live = self.live_hosts()
        return [name for name in live if name not in lost] or live

    def old_in_flight(self, service: str) -> int:
        """Return how many attempts peers have in flight at a service's old version.

        Only messages younger than `LOAD_MAX_AGE_S` count.
        """
        return sum(
            peer.message.trials[service].old_in_flight
            for peer in self._recent_peers()
            if service in peer.message.trials
        )

    async def run(self) -> None:
        """Gossip until cancelled."""
        self._session = keepalive_session(idle_s=5.0)
        try:
            while True:
                await asyncio.gather(*map(self._gossip_with, self._choose_peers()))
                self._update_peer_load()
                await asyncio.sleep(GOSSIP_INTERVAL_S * self._random.uniform(0.8, 1.2))
        finally:
            await self._session.close()

    async def announce_change(self) -> None:
        """Gossip with some peers right after a change that they may not know."""
        now = self._clock.now()
        if self._session is None or self._next_push_at > now:
            return
        pause_s = max(0.0, self._next_push_at + CHANGE_BATCH_S - now)
        self._next_push_at = now + pause_s
        await asyncio.sleep(pause_s)
        addresses = self._addresses()
        chosen = self._random.sample(addresses, min(CHANGE_FANOUT, len(addresses)))
        await asyncio.gather(*map(self._gossip_with, chosen))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Reply to a peer's message with this host's message."""
        try:
            message = msgspec.json.decode(await request.read(), type=GossipMessage)
        except msgspec.DecodeError as exc:
            logger.warning("received a malformed gossip message: {}", exc)
            return web.Response(status=400)
        self._receive(message)
        reply = msgspec.json.encode(self._build_message(message))
        return web.Response(body=reply, content_type="application/json")

    def _choose_peers(self) -> list[str]:
        """Pick peers for the next round, preferring those in the same data centre."""
        local_addresses = {
            peer.address
            for peer in self._peers.values()
            if peer.message and peer.message.data_centre == self._settings.data_centre
        }
        # Weighted random sampling without replacement (Efraimidis and Spirakis).
        keys = {
            address: self._random.random()
            ** (1 / (1.0 if address in local_addresses else REMOTE_PEER_WEIGHT))
            for address in self._addresses()
        }
        return sorted(keys, key=keys.get, reverse=True)[
            : self._fanout(len(local_addresses))
        ]

    def _fanout(self, local_count: int) -> int:
        """Return how many peers to contact: fewer if all are in other data centres."""
        return FANOUT if local_count else 1

    def _addresses(self) -> list[str]:
        """Return the addresses of known peers and of seeds that are not known yet."""
        now = self._clock.now()
        known = []
        for name, peer in list(self._peers.items()):
            if peer.last_heard_at and now - peer.last_heard_at > PEER_EXPIRY_S:
                del self._peers[name]
            else:
                known.append(peer.address)
        seeds = [seed for seed in self._settings.seeds if seed not in known]
        candidates = known + seeds
        own_address = self._settings.peer_address
        return [address for address in candidates if address != own_address]

    async def _gossip_with(self, address: str) -> None:
        """Exchange messages with a peer, and send the tables in which it is behind."""
        try:
            reply = await self._send(address, self._build_message(None))
            self._receive(reply)
            missing = self._tables_for(reply)
            if missing:
                update = self._build_message(None)
                update.tables = missing
                self._receive(await self._send(address, update))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._record_failure(address, exc)
        except msgspec.DecodeError as exc:
            logger.warning(
                "peer {} replied with a malformed gossip message: {}", address, exc
            )

    async def _send(self, address: str, message: GossipMessage) -> GossipMessage:
        async with (
            asyncio.timeout(REQUEST_TIMEOUT_S),
            self._session.post(
                f"http://{address}{PATH}",
                data=msgspec.json.encode(message),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as resp,
        ):
            return msgspec.json.decode(await resp.read(), type=GossipMessage)

    def _record_failure(self, address: str, exc: Exception) -> None:
        for name, peer in self._peers.items():
            if peer.address == address:
                # Log only the first failure since the last contact.
                if peer.last_heard_at > peer.failed_at:
                    logger.warning("host {} does not answer: {!r}", name, exc)
                peer.failed_at = self._clock.now()

    def _build_message(self, requester: GossipMessage | None) -> GossipMessage:
        """Return a gossip message, with the tables in which `requester` is behind."""
        now = self._clock.now()
        live = [
            (name, peer)
            for name, peer in self._peers.items()
            if now - peer.last_heard_at < HOST_TIMEOUT_S
        ]
        listed = self._random.sample(live, min(PEERS_PER_MESSAGE, len(live)))
        return GossipMessage(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.peer_address,
            data_centre=self._settings.data_centre,
            heads=self._host_view.heads(),
            peers={
                name: (peer.address, round(now - peer.last_heard_at, 2))
                for name, peer in listed
            },
            store_lost=self.store_lost(),
            load={
                view.member.name: round(view.load, 1)
                for view in self._placer.views()
                if view.in_flight
            },
            crashes=self._suspects.own_counts(),
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
            tables={} if requester is None else self._tables_for(requester),
        )

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
        peer = self._peers.get(message.host)
        delta_bases = {} if peer is None else peer.delta_bases
        tables = {}
        for kind in KINDS:
            table = self._host_view.tables[kind]
            peer_head = message.heads.get(kind.value, Head())
            if peer_head.complete >= table.head.complete:
                continue
            if peer_head.digest == table.head.digest and peer_head.digest:
                continue
            send_all = (
                not peer_head.complete or delta_bases.get(kind.value) == peer_head
            )
            delta_bases[kind.value] = peer_head
            tables[kind.value] = table.delta(peer_head, send_all)
        return tables

    def _receive(self, message: GossipMessage) -> None:
        now = self._clock.now()
        if message.host == self._settings.host:
            return
        for name, (address, age_s) in message.peers.items():
            if name != self._settings.host:
                known = self._peers.setdefault(name, _Peer(address))
                known.last_heard_at = max(known.last_heard_at, now - age_s)
        peer = self._peers.setdefault(message.host, _Peer(message.address))
        if peer.message is None or now - peer.last_heard_at > HOST_TIMEOUT_S:
            logger.info("host {} is reachable", message.host)
        if peer.message is not None and message.incarnation < peer.message.incarnation:
            return
        peer.address = message.address
        peer.last_heard_at = now
        peer.message_at = now
        peer.message = message
        self._suspects.merge(
            f"{message.host}.{message.incarnation}", message.crashes, now
        )
        self._merge_rollout_evidence(message, now)
        changed = [
            Kind(name)
            for name, delta in message.tables.items()
            if self._host_view.merge(Kind(name), delta, message.host)
        ]
        if changed:
            self.on_change(changed)

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

    def _recent_peers(self) -> list[_Peer]:
        since = self._clock.now() - LOAD_MAX_AGE_S
        return [
            peer
            for peer in self._peers.values()
            if peer.message is not None and peer.message_at > since
        ]

    def _update_peer_load(self) -> None:
        """Pass the load that the peers report to the placer.

        In a large fleet only some peers have reported recently. Their sum is scaled
        up as if the other hosts put the same load on the endpoints.
        """
        recent = self._recent_peers()
        scale = (len(self.live_hosts()) - 1) / max(1, len(recent))
        for view in self._placer.views():
            name = view.member.name
            reported_load = sum(peer.message.load.get(name, 0.0) for peer in recent)
            view.others_load = reported_load * max(1.0, scale)
