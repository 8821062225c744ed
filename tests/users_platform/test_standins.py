"""Tests of the simulated endpoints that crash."""

import asyncio

import aiohttp

from tests.cases import TestCase
from tests.users_platform.served import running_platform

NAME = "advice-1"
CRASHING = {"X-Prefix-Hash": "first:50,bad:30,own-1:5", "X-Token-Usage": "85,50"}
SOUND = {"X-Prefix-Hash": "first:50,own-2:5,bad:30", "X-Token-Usage": "85,50"}


class CrashTest(TestCase):
    def run_coroutine(self, test):
        asyncio.run(self._with_platform(test))

    async def _with_platform(self, test):
        async with running_platform() as self.platform, aiohttp.ClientSession() as s:
            self.session = s
            self.platform.restart_s = 0.2
            self.platform.entry_ttl_s = 0.3
            self.endpoint = self.platform.endpoints[NAME]
            self.endpoint.crashing_parts = {"bad"}
            self.url = f"http://{self.platform.addresses[NAME]}/plan/x"
            await test

    def _entries(self):
        entries = self.platform.store.objects_by_kind["servers"].items()
        return {name: entry["spec"] for name, entry in entries if "advice" in name}

    async def _wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def _send(self, headers):
        """Return the status and the number of bytes of the body until it breaks."""
        size = 0
        async with self.session.post(self.url, headers=headers) as resp:
            try:
                async for data in resp.content.iter_any():
                    size += len(data)
            except (aiohttp.ClientError, ConnectionError):
                return resp.status, size, "broken"
            return resp.status, size, "whole"

    async def test_a_part_crashes_the_endpoint_after_the_headers_of_an_answer(self):
        self.assertEqual((200, 0, "broken"), await self._send(CRASHING))
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self._send(SOUND)
        self.assertEqual(1, len(self.endpoint.crashed_at))

    async def test_the_last_part_does_not_crash_the_endpoint(self):
        self.assertEqual("whole", (await self._send(SOUND))[2])
        self.assertEqual([], self.endpoint.crashed_at)

    async def test_a_crash_resets_all_connections(self):
        self.endpoint.gap_s = 30.0
        running = asyncio.create_task(self._send(SOUND))
        await self._wait_until(lambda: len(self.endpoint.ran) == 1)
        self.endpoint.head_delay_s = 30.0
        waiting = asyncio.create_task(self._send(SOUND))
        await self._wait_until(lambda: len(self.endpoint.ran) == 2)
        self.endpoint.crash()
        results = await asyncio.gather(running, waiting, return_exceptions=True)
        self.assertEqual("broken", results[0][2])
        self.assertIsInstance(results[1], aiohttp.ClientError)

    async def test_an_endpoint_is_back_under_a_new_name_at_its_address(self):
        before = self._entries()
        await self._send(CRASHING)
        await self._wait_until(lambda: NAME not in self._entries() and self._entries())
        self.assertNotEqual(NAME, self.endpoint.name)
        self.assertEqual([self.endpoint.name], list(self._entries()))
        entry = self._entries()[self.endpoint.name]
        self.assertEqual(before[NAME]["address"], entry["address"])
        self.assertGreater(entry["born"], 0)
        self.assertIs(self.endpoint, self.platform.endpoints[self.endpoint.name])
        self.assertEqual("whole", (await self._send(SOUND))[2])

    async def test_arrivals_that_are_not_run_are_recorded(self):
        headers = {"X-Expect-Replica": "i-before", "X-Attempt-Id": "a1", **CRASHING}
        self.assertEqual(421, (await self._send(headers))[0])
        arrival = self.endpoint.arrivals[0]
        self.assertEqual((NAME, "a1"), (arrival.endpoint, arrival.request_id))
        self.assertEqual(("first", "bad", "own-1"), arrival.parts)
        self.assertEqual([], self.endpoint.ran)
