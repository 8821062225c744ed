"""Peers over HTTP with JSON, on persistent connections.

A host sends heartbeats to a few successors on the ring of its data centre. The reply to
a heartbeat is a heartbeat too, so one request transfers state in both directions. See
`membership` for the choice of the receivers and `peer_messages` for the format.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import aiohttp
import logbook
import msgspec
from aiohttp import web

from radishshift.bounded_listening import read_body
from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.hosts import Host
from radishshift.membership import Membership
from radishshift.objects import StoredObject
from radishshift.peer_channel import PeerChannel
from radishshift.peer_messages import SIGNATURE_HEADER, Heartbeat, PeerKeys
from radishshift.peers import Peers, PeerUnavailableError
from radishshift.verdicts import Verdict

__all__ = ["MAX_MESSAGE_BYTES", "HttpPeers", "make_peer_app"]

HEARTBEAT_PATH = "/h"
CALL_PATH = "/c/"
HEARTBEAT_TIMEOUT_S = 1.0
UPDATE_DELAY_S = 0.1  # lets several updates share a heartbeat
HEARTBEAT_RETRY_S = 0.3
DEAD_HOST_RETRY_S = 5.0
MAX_MESSAGE_BYTES = 8_000_000

logger = logbook.Logger("peers")


@dataclass(slots=True)
class _HeartbeatLoop:
    task: asyncio.Task
    update_ready: asyncio.Event = field(default_factory=asyncio.Event)


class HttpPeers(Peers):
    """The other entry hosts, as reached over HTTP.

    Parameters
    ----------
    me : Host
    keys : PeerKeys
    clock : Clock
    session : aiohttp.ClientSession
        Should be separate from the session for endpoints, so that the two don't
        share a connection pool.
    heartbeat_s : float
        Interval between two heartbeats to a peer, in seconds.
    seeds : tuple of str
        Addresses that are contacted while no other host is known, such as the
        address of a load-balanced service.
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
        self._loops: dict[str, _HeartbeatLoop] = {}

    def hosts(self) -> list[Host]:
        """Return all known hosts except this one, sorted by name."""
        return self.membership.hosts()

    def set_peer_address(self, address: str) -> None:
        """Publish the address of the peer port, once it is bound."""
        self.membership.set_peer_address(address, self._clock.now())
        self.me = self.membership.me

    def merge_host_list(self, items: list[StoredObject], now: float) -> None:
        """Merge the platform's list of hosts into the membership table."""
        self.membership.merge_host_list(items, now)

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats early, to spread an update."""
        for loop in self._loops.values():
            loop.update_ready.set()

    async def leave(self) -> None:
        """Announce to the peers that this host is leaving."""
        self.membership.leave(self._clock.now())
        self.me = self.membership.me
        targets = self.membership.heartbeat_targets()
        await asyncio.gather(*(self._exchange_heartbeat(host) for host in targets))

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        next_dead_retry_at = 0.0
        try:
            while True:
                now = self._clock.now()
                self.membership.expire(now)
                self._update_heartbeat_loops()
                if now >= next_dead_retry_at:
                    next_dead_retry_at = now + DEAD_HOST_RETRY_S
                    await self._contact_unreachable()
                await self._clock.sleep_until(now + self._heartbeat_s / 2)
        finally:
            for loop in self._loops.values():
                loop.task.cancel()

    def _update_heartbeat_loops(self) -> None:
        target_names = {host.name for host in self.membership.heartbeat_targets()}
        for name in [name for name in self._loops if name not in target_names]:
            self._loops.pop(name).task.cancel()
        for name in target_names - self._loops.keys():
            task = asyncio.create_task(self._send_heartbeats(name))
            self._loops[name] = _HeartbeatLoop(task)

    async def _send_heartbeats(self, name: str) -> None:
        await asyncio.sleep(0)  # until the new task is in self._loops
        update_ready = self._loops[name].update_ready
        while True:
            member = self.membership.members.get(name)
            if member is None:
                return
            pause_s = self._heartbeat_s
            if not await self._exchange_heartbeat(member.host):
                self.membership.record_missed_heartbeat(name, self._clock.now())
                pause_s = min(pause_s, HEARTBEAT_RETRY_S)
            with suppress(TimeoutError):
                pause_s *= self._rng.uniform(0.9, 1.1)
                await asyncio.wait_for(update_ready.wait(), pause_s)
                await asyncio.sleep(UPDATE_DELAY_S)
            update_ready.clear()

    async def _contact_unreachable(self) -> None:
        dead = self.membership.random_dead_host(self._rng)
        if dead is not None:
            await self._exchange_heartbeat(dead)
        if not self.membership.members:
            for address in self._seeds:
                await self._exchange_heartbeat(
                    Host("", self.me.data_centre, "", address)
                )

    async def _exchange_heartbeat(self, host: Host) -> bool:
        deadline = self._clock.now() + HEARTBEAT_TIMEOUT_S
        body = self._heartbeat_for(host)
        try:
            reply = await self.channel.send(host, HEARTBEAT_PATH, body, deadline)
            self._apply_heartbeat(msgspec.json.decode(reply, type=Heartbeat))
        except (RadishshiftError, msgspec.DecodeError, ValueError, TypeError) as exc:
            logger.debug("heartbeat exchange with host {} failed: {}", host.name, exc)
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

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> Host:
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
            raise PeerUnavailableError(f"unknown host {host}", verdict=Verdict.NOT_RUN)
        return await self.channel.send(
            member.host, CALL_PATH + topic, message, deadline
        )

    def receive_heartbeat(self, body: bytes) -> bytes:
        """Apply a peer's heartbeat and return one of this host as the reply."""
        sender = self._apply_heartbeat(msgspec.json.decode(body, type=Heartbeat))
        return self._heartbeat_for(sender)

    async def handle_request(self, request: web.Request) -> web.Response:
        """Verify a request on the peer port and answer it with a signed reply."""
        body = await read_body(request)
        signature = request.headers.get(SIGNATURE_HEADER, "")
        sender = self._verify(request.path, signature, body)
        if request.path == HEARTBEAT_PATH:
            reply = self.receive_heartbeat(body)
        else:
            handler = self.handlers.get(request.match_info["topic"])
            if handler is None:
                return web.Response(status=404)
            reply = await handler(sender, body)
        now = self._clock.now()
        headers = {
            SIGNATURE_HEADER: self._keys.sign(self.me.name, signature, reply, now)
        }
        return web.Response(body=reply, headers=headers)

    def _verify(self, path: str, signature: str, body: bytes) -> str:
        now = self._clock.now()
        try:
            return self._keys.verify(signature, f"{self.me.name} {path}", body, now)
        except RadishshiftError:
            if path != HEARTBEAT_PATH:
                raise
            # A heartbeat to a seed address is signed without the receiver's name.
            return self._keys.verify(signature, f" {path}", body, now)


@web.middleware
async def _map_errors_to_status(request: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except RadishshiftError as exc:
        logger.info(
            "peer request {} from {} failed: {}",
            request.path,
            request.remote,
            exc.code,
        )
        return web.Response(status=exc.status)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError) as exc:
        logger.warning("malformed peer request {}: {}", request.path, exc)
        return web.Response(status=400)


async def _strip_headers(_: web.Request, resp: web.StreamResponse) -> None:
    for name in ("Date", "Server", "Content-Type"):
        resp.headers.pop(name, None)


def make_peer_app(peers: HttpPeers) -> web.Application:
    """Return the web application that serves the peer port."""
    app = web.Application(
        middlewares=[_map_errors_to_status], client_max_size=MAX_MESSAGE_BYTES
    )
    app.on_response_prepare.append(_strip_headers)
    app.router.add_post(HEARTBEAT_PATH, peers.handle_request)
    app.router.add_post(CALL_PATH + "{topic}", peers.handle_request)
    return app
