"""What hosts tell each other: beliefs, load, crashes and the evidence on versions.

Each host exchanges a note with a few others every half second, over HTTP with JSON.
A note carries the heads of its tables; the receiver adds the tables that the sender
lacks, and the sender then sends those that the receiver lacks.
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
from radishshift.gateway.sockets import guarded_session
from radishshift.object_table import Head, TableDelta
from radishshift.objects import Kind

__all__ = ["Gossip"]

EVERY_S = 0.5
FANOUT = 2  # hosts asked at a time; with notes of 1.5 KB, 6 KB/s
AWAY_WEIGHT = 0.25  # of a host elsewhere against one at home: those bytes are priced
NEWS_FANOUT = 4  # hosts told of news, each of which tells as many; reaches 98 in 100
NEWS_PAUSE_S = 0.15  # news that comes faster is told together
TIMEOUT_S = 1.0
HOST_TIMEOUT_S = 4.0  # after which a host that nobody has heard counts as gone
FRESH_S = 2.5  # after which a host's load no longer counts
FORGOTTEN_S = 60.0  # after which a host is no longer asked
PEERS_TOLD = 16  # hosts of whom a note tells
PATH = "/exchange"

logger = logbook.Logger("exchange")


@dataclass(slots=True)
class _Peer:
    """A host as this one knows it.

    Attributes
    ----------
    heard : float
        Instant at which any host is known to have heard it.
    noted : float
        Instant of the note that is held.
    lent : dict of str to Head
        Heads that it had when a part of a table was last sent to it.
    """

    address: str
    heard: float = 0.0
    noted: float = 0.0
    tried: float = 0.0
    note: GossipMessage | None = None
    lent: dict[str, Head] = field(default_factory=dict)


class Gossip:
    """Keeps in touch with the other hosts.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    beliefs : Beliefs
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
        self._news_from = 0.0
        self.on_change: Callable[[list[Kind]], None] = lambda kinds: None
        self.store_lost: Callable[[], bool] = lambda: False

    def live_hosts(self) -> list[str]:
        """Return the names of this host and of those heard of late, in order."""
        since = self._clock.now() - HOST_TIMEOUT_S
        names = [name for name, peer in self._peers.items() if peer.heard > since]
        return sorted([*names, self._settings.host])

    def live_hosts_with_store(self) -> list[str]:
        """Return the live hosts that reach the store, or all if none does."""
        lost = {
            name
            for name, peer in self._peers.items()
            if peer.note is not None and peer.note.store_lost
        }
        if self.store_lost():
            lost.add(self._settings.host)
        live = self.live_hosts()
        return [name for name in live if name not in lost] or live

    def old_in_flight(self, service: str) -> int:
        """Return the attempts of other hosts at a service's old version."""
        return sum(
            peer.note.trials[service].old_in_flight
            for peer in self._fresh()
            if service in peer.note.trials
        )

    async def run(self) -> None:
        """Exchange notes without end."""
        self._session = guarded_session(idle_s=5.0)
        try:
            while True:
                await asyncio.gather(*map(self._ask, self._targets()))
                self._share_load()
                await asyncio.sleep(EVERY_S * self._random.uniform(0.8, 1.2))
        finally:
            await self._session.close()

    async def announce_change(self) -> None:
        """Exchange notes with some hosts at once, after news that they may lack."""
        now = self._clock.now()
        if self._session is None or self._news_from > now:
            return
        pause_s = max(0.0, self._news_from + NEWS_PAUSE_S - now)
        self._news_from = now + pause_s
        await asyncio.sleep(pause_s)
        addresses = self._addresses()
        chosen = self._random.sample(addresses, min(NEWS_FANOUT, len(addresses)))
        await asyncio.gather(*map(self._ask, chosen))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer another host's note with one of our own."""
        try:
            note = msgspec.json.decode(await request.read(), type=GossipMessage)
        except msgspec.DecodeError as exc:
            logger.warning("a note is malformed: {}", exc)
            return web.Response(status=400)
        self._take(note)
        reply = msgspec.json.encode(self._note(note))
        return web.Response(body=reply, content_type="application/json")

    def _targets(self) -> list[str]:
        """Return the addresses to ask now, more often at home than elsewhere."""
        home = {
            peer.address
            for peer in self._peers.values()
            if peer.note and peer.note.data_centre == self._settings.data_centre
        }
        keys = {
            address: self._random.random()
            ** (1 / (1.0 if address in home else AWAY_WEIGHT))
            for address in self._addresses()
        }
        return sorted(keys, key=keys.get, reverse=True)[: self._fanout(len(home))]

    def _fanout(self, at_home: int) -> int:
        """Return how many to ask: fewer where all of them are elsewhere."""
        return FANOUT if at_home else 1

    def _addresses(self) -> list[str]:
        """Return the addresses of known hosts, and of seeds that are not."""
        now = self._clock.now()
        known = []
        for name, peer in list(self._peers.items()):
            if peer.heard and now - peer.heard > FORGOTTEN_S:
                del self._peers[name]
            else:
                known.append(peer.address)
        seeds = [seed for seed in self._settings.seeds if seed not in known]
        pool = known + seeds
        own = self._settings.peer_address
        return [address for address in pool if address != own]

    async def _ask(self, address: str) -> None:
        try:
            note = await self._send(address, self._note(None))
            self._take(note)
            missing = self._tables_for(note)
            if missing:
                own = self._note(None)
                own.tables = missing
                self._take(await self._send(address, own))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._unreached(address, exc)
        except msgspec.DecodeError as exc:
            logger.warning("the note of {} is malformed: {}", address, exc)

    async def _send(self, address: str, note: GossipMessage) -> GossipMessage:
        async with (
            asyncio.timeout(TIMEOUT_S),
            self._session.post(
                f"http://{address}{PATH}",
                data=msgspec.json.encode(note),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as resp,
        ):
            return msgspec.json.decode(await resp.read(), type=GossipMessage)

    def _unreached(self, address: str, exc: Exception) -> None:
        for name, peer in self._peers.items():
            if peer.address == address:
                if peer.heard > peer.tried:
                    logger.warning("host {} does not answer: {!r}", name, exc)
                peer.tried = self._clock.now()

    def _note(self, asker: GossipMessage | None) -> GossipMessage:
        """Return a note, with the tables that an asker lacks."""
        now = self._clock.now()
        live = [
            (name, peer)
            for name, peer in self._peers.items()
            if now - peer.heard < HOST_TIMEOUT_S
        ]
        told = self._random.sample(live, min(PEERS_TOLD, len(live)))
        return GossipMessage(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.peer_address,
            data_centre=self._settings.data_centre,
            heads=self._host_view.heads(),
            peers={
                name: (peer.address, round(now - peer.heard, 2)) for name, peer in told
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
                    trial.rollout.target,
                    round(now - trial.began, 3),
                    trial.stopped,
                    [
                        (
                            new,
                            route,
                            counts.answers,
                            counts.bad,
                            round(counts.slow, 2),
                        )
                        for (new, route), counts in trial.counts.get(
                            self._settings.host, {}
                        ).items()
                    ],
                    self.own_old_in_flight(service, trial.rollout.target),
                )
                for service, trial in self._versions.canaries.items()
                if not trial.rollout.state.ended
            },
            tables={} if asker is None else self._tables_for(asker),
        )

    def own_old_in_flight(self, service: str, target: str) -> int:
        """Return the attempts of this host at a service's old version."""
        return sum(
            view.in_flight
            for view in self._placer.views()
            if view.member.service == service and view.member.version != target
        )

    def _tables_for(self, note: GossipMessage) -> dict[str, TableDelta]:
        """Return what a host lacks of the tables that are newer here.

        A host that still has the same head after a part was sent gets the whole.
        """
        peer = self._peers.get(note.host)
        lent = {} if peer is None else peer.lent
        tables = {}
        for kind in KINDS:
            table = self._host_view.tables[kind]
            theirs = note.heads.get(kind.value, Head())
            if theirs.complete >= table.head.complete:
                continue
            if theirs.digest == table.head.digest and theirs.digest:
                continue
            whole = not theirs.complete or lent.get(kind.value) == theirs
            lent[kind.value] = theirs
            tables[kind.value] = table.delta(theirs, whole)
        return tables

    def _take(self, note: GossipMessage) -> None:
        now = self._clock.now()
        if note.host == self._settings.host:
            return
        for name, (address, age_s) in note.peers.items():
            if name != self._settings.host:
                known = self._peers.setdefault(name, _Peer(address))
                known.heard = max(known.heard, now - age_s)
        peer = self._peers.setdefault(note.host, _Peer(note.address))
        if peer.note is None or now - peer.heard > HOST_TIMEOUT_S:
            logger.info("host {} is in touch", note.host)
        if peer.note is not None and note.incarnation < peer.note.incarnation:
            return
        peer.address = note.address
        peer.heard = now
        peer.noted = now
        peer.note = note
        self._suspects.merge(f"{note.host}.{note.incarnation}", note.crashes, now)
        self._take_trials(note, now)
        changed = [
            Kind(name)
            for name, delta in note.tables.items()
            if self._host_view.merge(Kind(name), delta, note.host)
        ]
        if changed:
            self.on_change(changed)

    def _take_trials(self, note: GossipMessage, now: float) -> None:
        for service, held in note.trials.items():
            trial = self._versions.canaries.get(service)
            if trial is None or trial.rollout.target != held.target:
                continue
            trial.began = min(trial.began, now - held.age_s)
            trial.counts[f"{note.host}.{note.incarnation}"] = {
                (new, route): Counts(answers, bad, slow)
                for new, route, answers, bad, slow in held.counts
            }
            if held.stopped and not trial.stopped:
                logger.warning(
                    "version {} of {} is stopped, as {} did",
                    held.target,
                    service,
                    note.host,
                )
                trial.stopped = True
            if trial.judge():
                logger.warning("version {} of {} is bad", held.target, service)

    def _fresh(self) -> list[_Peer]:
        since = self._clock.now() - FRESH_S
        return [
            peer
            for peer in self._peers.values()
            if peer.note is not None and peer.noted > since
        ]

    def _share_load(self) -> None:
        """Put what the others have in flight beside our own.

        Of many hosts only some have told of late; the rest are taken to be alike.
        """
        fresh = self._fresh()
        scale = (len(self.live_hosts()) - 1) / max(1, len(fresh))
        for view in self._placer.views():
            name = view.member.name
            told = sum(peer.note.load.get(name, 0.0) for peer in fresh)
            view.others_load = told * max(1.0, scale)
