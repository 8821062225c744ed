"""Tests of two entry hosts that share claims, bills and sessions."""

import asyncio
import secrets
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from radishshift.entry import run_entry_host
from radishshift.ledger import read_ledger
from radishshift.settings import (
    AddressSettings,
    HostSettings,
    PeerSettings,
    PlatformSettings,
    TimeSettings,
)
from radishshift.standins.deployment import KEY, deployed
from tests.cases import TestCase
from tests.served import VERSION

TIMES = TimeSettings(
    stream_idle_s=0.2, connect_s=0.2, stop_s=2.0, bill_batch_s=3600.0, unready_s=0.01
)
AUTH_HEADERS = {"Authorization": f"Bearer {KEY}"}
HEARTBEAT_S = 0.05


class EntryPairTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "peer-keys"
        path.write_text(secrets.token_hex(32) + "\n", encoding="utf-8")
        self.key_file = str(path)

    def host_settings(self, name, deployment, seeds=()):
        return HostSettings(
            name=name,
            data_centre="mbeya",
            region="tz-south",
            platform=PlatformSettings(address=deployment.platform_address),
            address=AddressSettings(caller_port=0, peer_port=0, metrics_port=0),
            times=TIMES,
            peers=PeerSettings(self.key_file, HEARTBEAT_S, seeds),
        )

    @asynccontextmanager
    async def pair(self):
        async with (
            deployed() as deployment,
            run_entry_host(self.host_settings("mbeya-1", deployment)) as first,
        ):
            seeds = (first.peers.me.peer_address,)
            cfg = self.host_settings("mbeya-2", deployment, seeds)
            async with (
                run_entry_host(cfg) as second,
                aiohttp.ClientSession(headers=AUTH_HEADERS) as session,
            ):
                self.session = session
                async with asyncio.timeout(10.0):
                    while not self.connected(deployment, first, second):
                        await asyncio.sleep(0.02)
                yield deployment, first, second

    def connected(self, deployment, *hosts):
        return all(
            host.peers.live() and host.router.catalogue.endpoints for host in hosts
        )

    async def book(self, host, key):
        url = f"{host.address}/v1/services/booking-desk/bookings"
        headers = {"Idempotency-Key": key}
        body = {"machine": "harvester-3"}
        async with self.session.post(url, json=body, headers=headers) as resp:
            return resp.status, await resp.text()

    async def chat(self, host, **headers):
        body = {"model": VERSION, "messages": [{"role": "user", "content": "Hello"}]}
        url = f"{host.address}/v1/chat/completions"
        async with self.session.post(url, json=body, headers=headers) as resp:
            await resp.read()
            return resp

    async def test_a_call_sent_through_both_hosts_runs_and_is_billed_once(self):
        async with self.pair() as (deployment, first, second):
            for number in range(6):
                key = f"key-{number}"
                answers = [await self.book(host, key) for host in (first, second)]
                self.assertEqual(answers[0], answers[1])
                self.assertEqual(201, answers[0][0])
            self.assertEqual(6, len(deployment.desk.ran))
            self.assertGreater(second.copies.copy_count, 0)
            await first.router.biller.flush()
            ledger = await read_ledger(deployment.platform)
            self.assertEqual(6, len(ledger.bills))

    async def test_a_session_continues_at_the_other_host(self):
        async with self.pair() as (_, first, second):
            resp = await self.chat(first, **{"X-New-Session": "1"})
            token = resp.headers["X-Session"]
            resp = await self.chat(second, **{"X-Session": token})
            self.assertEqual(200, resp.status)
            self.assertEqual(VERSION, resp.headers["X-Radishshift-Version"])

    async def test_a_request_that_crashed_two_endpoints_is_rejected_by_the_other_host(
        self,
    ):
        async with self.pair() as (deployment, first, second):
            for engine in deployment.engines.values():
                engine.faults.crash_on = "Hello"
            await self.chat(first)
            resp = await self.chat(second)
            self.assertEqual(422, resp.status)
            ran = sum(len(engine.ran) for engine in deployment.engines.values())
            self.assertEqual(2, ran)
