"""Tasks by which an entry host communicates and coordinates with the others."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from radishshift.bounded_listening import bounded_listening
from radishshift.caller_limits import CallerLimits
from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.confirmations import (
    CONFIRMATION_WRITE_INTERVAL_S,
    CONFIRMATIONS_DUTY,
    Confirmations,
)
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES, HeldBytes
from radishshift.duties import Duties
from radishshift.following import ConfigurationFollower
from radishshift.hosts import Host
from radishshift.http_client import checked_connector
from radishshift.http_peers import MAX_MESSAGE_BYTES, HttpPeers, make_peer_app
from radishshift.peer_messages import load_peer_keys
from radishshift.peers import MemoryPeers, Peers
from radishshift.platform import Platform
from radishshift.settings import HostSettings
from radishshift.tls import client_tls_of, context_of, server_tls_of

__all__ = ["open_peers", "run_control_plane"]

MAX_PEER_CONNECTIONS = 1_000
INCOMING_CONNECTIONS = 1_000
PEER_LIMITS = CallerLimits(head_bytes=16_384, body_bytes=MAX_MESSAGE_BYTES)
# Most messages are some KB; a table of the configuration may be as long as allowed.
INCOMING_BYTES = 3 * (MAX_MESSAGE_BYTES + REQUEST_BYTES)
SHUTDOWN_TIMEOUT_S = 0.5
PEER_DISCOVERY_S = 3.0
KEEP_ALIVE_TIMEOUT_S = 60.0


def _make_own_host(cfg: HostSettings, clock: Clock) -> Host:
    incarnation = int(clock.now() * 1000)
    return Host(cfg.name, cfg.data_centre, cfg.region, "", incarnation)


@asynccontextmanager
async def open_peers(cfg: HostSettings, clock: Clock) -> AsyncIterator[Peers]:
    """Yield this host's peers, and serve and contact them until the context ends.

    A host whose settings name no key file has no peers.
    """
    me = _make_own_host(cfg, clock)
    if not cfg.peers.key_file:
        yield MemoryPeers(me, {})
        return
    keys = load_peer_keys(cfg.peers.key_file)
    client_tls = client_tls_of(cfg.tls.to_peers)
    async with AsyncExitStack() as stack:
        connector = checked_connector(
            limit=MAX_PEER_CONNECTIONS,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            ssl=context_of(client_tls),
        )
        session = aiohttp.ClientSession(connector=connector)
        await stack.enter_async_context(session)
        peers = HttpPeers(
            me, keys, clock, session, cfg.peers.heartbeat_s, cfg.peers.seeds
        )
        app = make_peer_app(peers)
        tls = server_tls_of(cfg.tls.peers)
        site = bounded_listening(
            app,
            ConnectionBounds(
                HeldBytes(INCOMING_BYTES), lambda: PEER_LIMITS, INCOMING_CONNECTIONS
            ),
            cfg.address.ip,
            cfg.address.peer_port,
            tls,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        peers.set_peer_address(await stack.enter_async_context(site))
        tasks = [asyncio.create_task(peers.run())]
        for reloading_tls in (tls, client_tls):
            if reloading_tls is not None:
                tasks.append(
                    asyncio.create_task(reloading_tls.reload_periodically(clock))
                )
        try:
            yield peers
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def run_control_plane(
    configuration: Configuration,
    platform: Platform,
    peers: Peers,
    duties: Duties,
    clock: Clock,
    seeds: tuple[str, ...] = (),
) -> AsyncIterator[ConfigurationFollower]:
    """Follow the configuration and run duties until the context ends.

    A host with seeds first waits `PEER_DISCOVERY_S` to discover its peers before it may
    watch the platform itself.
    """
    watch_from = clock.now() + PEER_DISCOVERY_S if seeds else 0.0
    follower = ConfigurationFollower(configuration, platform, peers, clock, watch_from)
    confirmations = Confirmations(configuration, platform, peers, clock)
    write = confirmations.write
    duties.add(
        CONFIRMATIONS_DUTY, write, CONFIRMATION_WRITE_INTERVAL_S, per_data_centre=True
    )
    runners = (follower.run(), confirmations.run(), duties.run())
    tasks = [asyncio.create_task(runner) for runner in runners]
    try:
        yield follower
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
