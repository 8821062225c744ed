"""What an entry host runs to act together with the others."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.confirmations import (
    CONFIRMATION_WRITE_INTERVAL_S,
    CONFIRMATIONS_DUTY,
    Confirmations,
)
from radishshift.duties import Duties
from radishshift.following import ConfigurationFollower
from radishshift.hosts import Host
from radishshift.http_peers import HttpPeers, make_peer_app
from radishshift.listening import listening
from radishshift.peer_messages import load_peer_keys
from radishshift.peers import MemoryPeers, Peers
from radishshift.platform import Platform
from radishshift.settings import HostSettings
from radishshift.tls import client_tls_of, context_of, server_tls_of

__all__ = ["open_peers", "run_control_plane"]

PEER_CONNECTIONS = 1_000
CLOSE_S = 0.5
MEET_S = 3.0
KEEP_ALIVE_S = 60.0


def _me(cfg: HostSettings, clock: Clock) -> Host:
    incarnation = int(clock.now() * 1000)
    return Host(cfg.name, cfg.data_centre, cfg.region, "", incarnation)


@asynccontextmanager
async def open_peers(cfg: HostSettings, clock: Clock) -> AsyncIterator[Peers]:
    """Meet the other entry hosts for as long as the context lasts.

    A host whose settings name no key file is alone.
    """
    me = _me(cfg, clock)
    if not cfg.peers.key_file:
        yield MemoryPeers(me, {})
        return
    keys = load_peer_keys(cfg.peers.key_file)
    client_tls = client_tls_of(cfg.tls.to_peers)
    async with AsyncExitStack() as stack:
        connector = aiohttp.TCPConnector(
            limit=PEER_CONNECTIONS,
            keepalive_timeout=KEEP_ALIVE_S,
            ssl=context_of(client_tls),
        )
        session = aiohttp.ClientSession(connector=connector)
        await stack.enter_async_context(session)
        peers = HttpPeers(
            me, keys, clock, session, cfg.peers.heartbeat_s, cfg.peers.seeds
        )
        app = make_peer_app(peers)
        tls = server_tls_of(cfg.tls.peers)
        site = listening(
            app, cfg.address.ip, cfg.address.peer_port, tls, shutdown_timeout=CLOSE_S
        )
        peers.set_peer_address(await stack.enter_async_context(site))
        tasks = [asyncio.create_task(peers.run())]
        for fresh in (tls, client_tls):
            if fresh is not None:
                tasks.append(asyncio.create_task(fresh.keep_fresh(clock)))
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
    """Follow the configuration and take up duties for as long as the context lasts."""
    watch_at = clock.now() + MEET_S if seeds else 0.0
    follower = ConfigurationFollower(configuration, platform, peers, clock, watch_at)
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
