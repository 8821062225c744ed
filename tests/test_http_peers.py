"""Tests of peers over HTTP."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from radishshift.clocks import SystemClock
from radishshift.hosts import Host, HostState
from radishshift.http_peers import HttpPeers, make_peer_app
from radishshift.listening import listening
from radishshift.peer_messages import PeerKeys
from radishshift.peers import PeerUnavailableError
from tests.cases import TestCase

KEYS = PeerKeys((b"a shared key of the hosts",))
HEARTBEAT_S = 0.02


@asynccontextmanager
async def _hosts(count, keys=None):
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        all_peers = []
        for number in range(count):
            host = Host(f"mbeya-{number}", "mbeya", "tz-south", "", 1000 + number)
            seeds = (all_peers[0].me.peer_address,) if all_peers else ()
            host_keys = (keys or {}).get(number, KEYS)
            peers = HttpPeers(
                host, host_keys, SystemClock(), session, HEARTBEAT_S, seeds
            )
            app = make_peer_app(peers)
            url = await stack.enter_async_context(listening(app, shutdown_timeout=0.1))
            peers.set_peer_address(url)
            all_peers.append(peers)
        tasks = [asyncio.create_task(peers.run()) for peers in all_peers]
        try:
            yield all_peers
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class HttpPeersTest(TestCase):
    async def test_hosts_that_know_one_seed_address_discover_all_hosts(self):
        async with _hosts(6) as hosts:
            await _wait_until(lambda: all(len(host.live()) == 5 for host in hosts))

    async def test_a_call_passes_its_sender_and_returns_the_reply(self):
        async def echo(sender, message):
            return f"{sender}: ".encode() + message

        async with _hosts(2) as (first, second):
            second.handle("echo", echo)
            await _wait_until(first.live)
            deadline = SystemClock().now() + 5
            reply = await first.call("mbeya-1", "echo", b"hello", deadline)
            self.assertEqual(b"mbeya-0: hello", reply)
            await self.assert_raises_async(
                PeerUnavailableError, first.call("mbeya-1", "none", b"", deadline)
            )

    async def test_a_host_with_another_key_is_rejected(self):
        keys = {1: PeerKeys((b"the key of someone else",))}
        async with _hosts(2, keys) as (first, second):
            await asyncio.sleep(0.2)
            self.assertEqual([], first.hosts())
            self.assertEqual([], second.hosts())

    async def test_a_host_that_leaves_is_marked_as_leaving(self):
        async with _hosts(3) as hosts:
            await _wait_until(lambda: all(len(host.live()) == 2 for host in hosts))
            await hosts[2].leave()
            await _wait_until(
                lambda: (
                    hosts[0].membership.members["mbeya-2"].state is HostState.LEAVING
                )
            )
