"""What hosts tell each other: beliefs, load, crashes and the evidence on versions.

Each host exchanges a note with a few others every half second, over HTTP with JSON.
A note carries the heads of its tables; the receiver adds the tables that the sender
lacks, and the sender then sends those that the receiver lacks.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import logbook
import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.placing import Placer
from radishshift.decisions.versions import Counts, VersionGuard
from radishshift.gateway.beliefs import KINDS, Beliefs
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.sockets import guarded_session
from radishshift.object_table import Head, TableDelta
from radishshift.objects import Kind

__all__ = ["Exchange", "HostNote", "TrialNote"]

EVERY_S = 0.5
FANOUT = 2  # hosts asked at a time; news reaches 73 hosts in some three rounds
TOLD_AT_ONCE = 8  # hosts told of news that watches have missed
TIMEOUT_S = 1.0
SILENT_S = 2.5  # after which a host's load no longer counts
FORGOTTEN_S = 60.0  # after which a host is no longer asked
PEERS_TOLD = 16
PATH = "/exchange"

logger = logbook.Logger("exchange")


class TrialNote(msgspec.Struct, array_like=True):
    """What a host knows of one roll-out.

    Attributes
    ----------
    age_s : float
        Time since the order, in seconds.
    counts : list
        Each `[new version, route, answers, bad answers]`, of this host alone.
    old_in_flight : int
        Attempts of this host at the old version.
    """

    target: str
    age_s: float
    stopped: bool
    counts: list[tuple[bool, str, int, int]]
    old_in_flight: int = 0


class HostNote(msgspec.Struct, omit_defaults=True):
    """What one host tells another.

    Attributes
    ----------
    incarnation : int
        Start of the process, milliseconds since the epoch.
    peers : dict of str to str
        Addresses of hosts heard of late, by name.
    in_flight : dict of str to int
        Attempts at each endpoint.
    """

    host: str
    incarnation: int
    address: str
    heads: dict[str, Head]
    peers: dict[str, str] = {}
    in_flight: dict[str, int] = {}
    crashes: dict[str, int] = {}
    trials: dict[str, TrialNote] = {}
    tables: dict[str, TableDelta] = {}


@dataclass(slots=True)
class _Peer:
    address: str
    heard: float = 0.0
    tried: float = 0.0
    note: HostNote | None = None


class Exchange:
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
        beliefs: Beliefs,
        placer: Placer,
        suspects: CrashSuspects,
        versions: VersionGuard,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._beliefs = beliefs
        self._placer = placer
        self._suspects = suspects
        self._versions = versions
        self._incarnation = int(clock.now() * 1000)
        self._peers: dict[str, _Peer] = {}
        self._random = random.Random(settings.host)
        self._session: aiohttp.ClientSession | None = None
        self.changed: Callable[[list[Kind]], None] = lambda kinds: None

    def live(self) -> list[str]:
        """Return the names of this host and of those heard of late, in order."""
        since = self._clock.now() - SILENT_S
        names = [name for name, peer in self._peers.items() if peer.heard > since]
        return sorted([*names, self._settings.host])

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

    async def tell_all(self) -> None:
        """Exchange notes with many hosts at once, after news that they may lack."""
        addresses = self._addresses()
        chosen = self._random.sample(addresses, min(TOLD_AT_ONCE, len(addresses)))
        await asyncio.gather(*map(self._ask, chosen))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer another host's note with one of our own."""
        try:
            note = msgspec.json.decode(await request.read(), type=HostNote)
        except msgspec.DecodeError as exc:
            logger.warning("a note is malformed: {}", exc)
            return web.Response(status=400)
        self._take(note)
        reply = msgspec.json.encode(self._note(note.heads))
        return web.Response(body=reply, content_type="application/json")

    def _targets(self) -> list[str]:
        """Return the addresses to ask now."""
        pool = self._addresses()
        return self._random.sample(pool, min(FANOUT, len(pool)))

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
            missing = self._tables_for(note.heads)
            if missing:
                own = self._note(None)
                own.tables = missing
                self._take(await self._send(address, own))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._unreached(address, exc)
        except msgspec.DecodeError as exc:
            logger.warning("the note of {} is malformed: {}", address, exc)

    async def _send(self, address: str, note: HostNote) -> HostNote:
        async with (
            asyncio.timeout(TIMEOUT_S),
            self._session.post(
                f"http://{address}{PATH}",
                data=msgspec.json.encode(note),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as resp,
        ):
            return msgspec.json.decode(await resp.read(), type=HostNote)

    def _unreached(self, address: str, exc: Exception) -> None:
        for name, peer in self._peers.items():
            if peer.address == address:
                if peer.heard > peer.tried:
                    logger.warning("host {} does not answer: {!r}", name, exc)
                peer.tried = self._clock.now()

    def _note(self, heads: dict[str, Head] | None) -> HostNote:
        now = self._clock.now()
        peers = {
            name: peer.address
            for name, peer in self._peers.items()
            if now - peer.heard < SILENT_S
        }
        told = dict(list(peers.items())[:PEERS_TOLD])
        return HostNote(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.peer_address,
            heads=self._beliefs.heads(),
            peers=told,
            in_flight={
                view.member.name: view.in_flight
                for view in self._placer.views()
                if view.in_flight
            },
            crashes=self._suspects.told(),
            trials={
                service: TrialNote(
                    trial.rollout.target,
                    round(now - trial.began, 3),
                    trial.stopped,
                    [
                        (new, route, counts.answers, counts.bad)
                        for (new, route), counts in trial.counts.get(
                            self._settings.host, {}
                        ).items()
                    ],
                    self._old_in_flight(service, trial.rollout.target),
                )
                for service, trial in self._versions.trials.items()
                if not trial.rollout.state.ended
            },
            tables={} if heads is None else self._tables_for(heads),
        )

    def _old_in_flight(self, service: str, target: str) -> int:
        return sum(
            view.in_flight
            for view in self._placer.views()
            if view.member.service == service and view.member.version != target
        )

    def own_old_in_flight(self, service: str, target: str) -> int:
        """Return the attempts of this host at a service's old version."""
        return self._old_in_flight(service, target)

    def _tables_for(self, heads: dict[str, Head]) -> dict[str, TableDelta]:
        """Return the tables that are newer here than at a host with these heads."""
        tables = {}
        for kind in KINDS:
            table = self._beliefs.tables[kind]
            theirs = heads.get(kind.value, Head())
            if theirs.complete < table.head.complete and table.head != theirs:
                if theirs.digest == table.head.digest and theirs.digest:
                    continue
                tables[kind.value] = table.delta(theirs, whole=True)
        return tables

    def _take(self, note: HostNote) -> None:
        now = self._clock.now()
        if note.host == self._settings.host:
            return
        for name, address in note.peers.items():
            if name != self._settings.host and name not in self._peers:
                self._peers[name] = _Peer(address, heard=now - SILENT_S)
        peer = self._peers.setdefault(note.host, _Peer(note.address))
        if peer.note is None or now - peer.heard > SILENT_S:
            logger.info("host {} is in touch", note.host)
        if peer.note is not None and note.incarnation < peer.note.incarnation:
            return
        peer.address = note.address
        peer.heard = now
        peer.note = note
        self._suspects.take(f"{note.host}.{note.incarnation}", note.crashes, now)
        self._take_trials(note, now)
        changed = [
            Kind(name)
            for name, delta in note.tables.items()
            if self._beliefs.merge(Kind(name), delta, note.host)
        ]
        if changed:
            self.changed(changed)

    def _take_trials(self, note: HostNote, now: float) -> None:
        for service, held in note.trials.items():
            trial = self._versions.trials.get(service)
            if trial is None or trial.rollout.target != held.target:
                continue
            trial.began = min(trial.began, now - held.age_s)
            trial.counts[f"{note.host}.{note.incarnation}"] = {
                (new, route): Counts(answers, bad)
                for new, route, answers, bad in held.counts
            }
            if held.stopped and not trial.stopped:
                logger.warning(
                    "version {} of {} is stopped, as {} did",
                    held.target,
                    service,
                    note.host,
                )
                trial.stopped = True
            if not trial.stopped and trial.bad():
                trial.stopped = True
                logger.warning("version {} of {} is bad", held.target, service)

    def _fresh(self) -> list[_Peer]:
        since = self._clock.now() - SILENT_S
        return [
            peer
            for peer in self._peers.values()
            if peer.note is not None and peer.heard > since
        ]

    def _share_load(self) -> None:
        """Put what the others have in flight beside our own."""
        fresh = self._fresh()
        for view in self._placer.views():
            name = view.member.name
            view.others_in_flight = sum(
                peer.note.in_flight.get(name, 0) for peer in fresh
            )
