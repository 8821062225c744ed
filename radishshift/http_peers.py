"""Peers over HTTP with JSON, on connections that are kept alive.

A host sends heartbeats to a few successors on the ring of its data centre, and the
answer to each is a heartbeat too, so one exchange carries state both ways. See
`membership` for who is sent one, and `peer_messages` for the form.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import aiohttp
import logbook
import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.hosts import Host
from radishshift.membership import Membership
from radishshift.objects import StoredObject
from radishshift.peer_channel import PeerChannel
from radishshift.peer_messages import SIGNATURE_HEADER, Heartbeat, PeerKeys
from radishshift.peers import Peers, PeerUnavailableError
from radishshift.verdicts import Verdict

__all__ = ["HttpPeers", "make_peer_app"]

HEARTBEAT_PATH = "/h"
CALL_PATH = "/c/"
HEARTBEAT_TIMEOUT_S = 1.0
SOON_S = 0.1
RETRY_S = 0.3
RETRY_DEAD_S = 5.0
MESSAGE_BYTES = 8_000_000

logger = logbook.Logger("peers")


@dataclass(slots=True)
class _PeerTask:
    task: asyncio.Task
    news: asyncio.Event = field(default_factory=asyncio.Event)


class HttpPeers(Peers):
    """The other entry hosts, reached over HTTP.

    Parameters
    ----------
    me : Host
    keys : PeerKeys
    clock : Clock
    session : aiohttp.ClientSession
        Best of its own, so that peers and endpoints don't share a pool.
    heartbeat_s : float
        Time between two heartbeats to a peer, in seconds.
    seeds : tuple of str
        Addresses asked while no host is known, such as a service address.
    """

    def __init__(
        self,
        me: Host,
        keys: PeerKeys,
        clock: Clock,
        session: aiohttp.ClientSession,
        heartbeat_s: float,
        seeds: tuple[str, ...] = (),
    ) -> None:
        super().__init__(me)
        self.membership = Membership(me)
        self.add_section(self.membership.section)
        self.channel = PeerChannel(me.name, keys, clock, session)
        self._keys = keys
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._seeds = seeds
        self._rng = Random(f"{me.name}{me.incarnation}")
        self._tasks: dict[str, _PeerTask] = {}

    def hosts(self) -> list[Host]:
        """Return all hosts known, this one left out, in order of name."""
        return self.membership.hosts()

    def set_peer_address(self, address: str) -> None:
        """Set the address of the peer port, once it is bound."""
        self.membership.set_peer_address(address, self._clock.now())
        self.me = self.membership.me

    def merge_host_list(self, items: list[StoredObject], now: float) -> None:
        """Take the platform's list of hosts."""
        self.membership.merge_host_list(items, now)

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats soon, because there is news."""
        for task in self._tasks.values():
            task.news.set()

    async def leave(self) -> None:
        """Tell the peers that this host is leaving."""
        self.membership.leave(self._clock.now())
        self.me = self.membership.me
        targets = self.membership.heartbeat_targets()
        await asyncio.gather(*(self._beat(host) for host in targets))

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        retry_dead_at = 0.0
        try:
            while True:
                now = self._clock.now()
                self.membership.expire(now)
                self._match_tasks()
                if now >= retry_dead_at:
                    retry_dead_at = now + RETRY_DEAD_S
                    await self._widen()
                await self._clock.sleep_until(now + self._heartbeat_s / 2)
        finally:
            for task in self._tasks.values():
                task.task.cancel()

    def _match_tasks(self) -> None:
        wanted = {host.name for host in self.membership.heartbeat_targets()}
        for name in [name for name in self._tasks if name not in wanted]:
            self._tasks.pop(name).task.cancel()
        for name in wanted - self._tasks.keys():
            task = asyncio.create_task(self._meet(name))
            self._tasks[name] = _PeerTask(task)

    async def _meet(self, name: str) -> None:
        await asyncio.sleep(0)
        news = self._tasks[name].news
        while True:
            member = self.membership.members.get(name)
            if member is None:
                return
            pause_s = self._heartbeat_s
            if not await self._beat(member.host):
                self.membership.record_missed_heartbeat(name, self._clock.now())
                pause_s = min(pause_s, RETRY_S)
            with suppress(TimeoutError):
                pause_s *= self._rng.uniform(0.9, 1.1)
                await asyncio.wait_for(news.wait(), pause_s)
                await asyncio.sleep(SOON_S)
            news.clear()

    async def _widen(self) -> None:
        dead = self.membership.random_dead_host(self._rng)
        if dead is not None:
            await self._beat(dead)
        if not self.membership.members:
            for address in self._seeds:
                await self._beat(Host("", self.me.data_centre, "", address))

    async def _beat(self, host: Host) -> bool:
        deadline = self._clock.now() + HEARTBEAT_TIMEOUT_S
        body = self._heartbeat_for(host)
        try:
            reply = await self.channel.send(host, HEARTBEAT_PATH, body, deadline)
            self._take_heartbeat(msgspec.json.decode(reply, type=Heartbeat))
        except (RadishshiftError, msgspec.DecodeError, ValueError, TypeError) as exc:
            logger.debug("no heartbeat from {}: {}", host.name, exc)
            return False
        return True

    def _heartbeat_for(self, host: Host) -> bytes:
        now = self._clock.now()
        sections = {}
        for name, section in self.sections.items():
            value = section.outgoing(host, now)
            if value is not None:
                sections[name] = value
        me = self.membership.me
        heartbeat = Heartbeat(me.name, me.data_centre, me.incarnation, sections)
        return msgspec.json.encode(heartbeat)

    def _take_heartbeat(self, heartbeat: Heartbeat) -> Host:
        now = self._clock.now()
        member = self.membership.members.get(heartbeat.name)
        address = "" if member is None else member.host.peer_address
        sender = Host(
            heartbeat.name,
            heartbeat.data_centre,
            "" if member is None else member.host.region,
            address,
            heartbeat.incarnation,
        )
        if sender.name == self.me.name:
            return sender
        for name, value in heartbeat.sections.items():
            section = self.sections.get(name)
            if section is not None:
                section.incoming(sender, value, now)
        self.membership.record_heartbeat(sender, now)
        return sender

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Send a message to a host and return its reply."""
        member = self.membership.members.get(host)
        if member is None:
            raise PeerUnavailableError(f"{host} is not known", verdict=Verdict.NOT_RUN)
        return await self.channel.send(
            member.host, CALL_PATH + topic, message, deadline
        )

    def receive_heartbeat(self, body: bytes) -> bytes:
        """Take a peer's heartbeat and return this host's."""
        peer = self._take_heartbeat(msgspec.json.decode(body, type=Heartbeat))
        return self._heartbeat_for(peer)

    async def handle_request(self, request: web.Request) -> web.Response:
        """Answer a request on the peer port."""
        body = await request.read()
        proof = request.headers.get(SIGNATURE_HEADER, "")
        sender = self._check(request.path, proof, body)
        if request.path == HEARTBEAT_PATH:
            reply = self.receive_heartbeat(body)
        else:
            handler = self.handlers.get(request.match_info["topic"])
            if handler is None:
                return web.Response(status=404)
            reply = await handler(sender, body)
        now = self._clock.now()
        headers = {SIGNATURE_HEADER: self._keys.sign(self.me.name, proof, reply, now)}
        return web.Response(body=reply, headers=headers)

    def _check(self, path: str, proof: str, body: bytes) -> str:
        now = self._clock.now()
        try:
            return self._keys.verify(proof, f"{self.me.name} {path}", body, now)
        except RadishshiftError:
            if path != HEARTBEAT_PATH:
                raise
            return self._keys.verify(proof, f" {path}", body, now)


@web.middleware
async def _errors_as_status(request: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except RadishshiftError as exc:
        logger.info("{} from {}: {}", request.path, request.remote, exc.code)
        return web.Response(status=exc.status)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError) as exc:
        logger.warning("a malformed message on {}: {}", request.path, exc)
        return web.Response(status=400)


async def _keep_short(_: web.Request, resp: web.StreamResponse) -> None:
    for name in ("Date", "Server", "Content-Type"):
        resp.headers.pop(name, None)


def make_peer_app(peers: HttpPeers) -> web.Application:
    """Return the application of the peer port."""
    app = web.Application(
        middlewares=[_errors_as_status], client_max_size=MESSAGE_BYTES
    )
    app.on_response_prepare.append(_keep_short)
    app.router.add_post(HEARTBEAT_PATH, peers.handle_request)
    app.router.add_post(CALL_PATH + "{topic}", peers.handle_request)
    return app
