"""Tests of a host's memory and descriptors against crowds at its other ports."""

import tomllib
from dataclasses import replace

from tests.cases import TestCase
from tests.users_platform.crowds import MAX_FDS, MEMORY_MB, crowded_host

MESSAGE_BYTES = 15_000_000
MESSAGE_HEAD = (
    f"POST /gossip HTTP/1.1\r\nHost: edge\r\nContent-Length: {MESSAGE_BYTES}\r\n\r\n"
)
PART = bytes(1_000_000)
MESSAGE_STOPPED = ([MESSAGE_HEAD.encode(), *[PART] * 14], 1)
FIELD = b"X-Own-%d: " + b"f" * 8000 + b"\r\n"
ENDLESS_HEAD = ([b"GET / HTTP/1.1\r\n", *(FIELD % number for number in range(120))], 1)
METRICS_AHEAD = ([b"GET /metrics HTTP/1.1\r\nHost: edge\r\n\r\n" * 100], 10)
SILENT = ([b""], 1)


class OtherPortsMemoryTest(TestCase):
    async def _bear(self, port, *callers):
        async with crowded_host() as host:
            pid = host.pid
            self.assertEqual(200, await host.answer("GET", "/check/x"))
            crowded = replace(host, address=("127.0.0.1", self._ports(host)[port]))
            async with crowded.crowd(callers):
                status = await host.answer("GET", "/check/x")
            self.assertEqual((pid, 1), (host.pid, host.process.start_count))
            self.assertEqual(200, status)
            self.assertLess(host.peak_bytes, MEMORY_MB * 1_000_000)
            self.assertLessEqual(crowded.max_open_fds, MAX_FDS)

    def _ports(self, host):
        settings = tomllib.loads(host.process.settings.read_text(encoding="utf-8"))
        peer, metrics = settings["portRange"]
        ready = int(settings["listen"]["ready"].rpartition(":")[2])
        return {"peer": peer, "metrics": metrics, "ready": ready}

    async def test_messages_that_stop_short_fill_no_memory(self):
        await self._bear("peer", *[MESSAGE_STOPPED] * 20)

    async def test_heads_without_an_end_at_the_peer_port_fill_no_memory(self):
        await self._bear("peer", *[ENDLESS_HEAD] * 120)

    async def test_heads_without_an_end_at_the_metrics_port_fill_no_memory(self):
        await self._bear("metrics", *[ENDLESS_HEAD] * 120)

    async def test_heads_without_an_end_at_the_ready_port_fill_no_memory(self):
        await self._bear("ready", *[ENDLESS_HEAD] * 120)

    async def test_connections_to_the_ready_port_leave_descriptors(self):
        await self._bear("ready", *[SILENT] * 900)

    async def test_connections_to_the_metrics_port_leave_descriptors(self):
        await self._bear("metrics", *[SILENT] * 900)

    async def test_connections_to_the_peer_port_leave_descriptors(self):
        await self._bear("peer", *[SILENT] * 900)

    async def test_unread_metrics_fill_no_memory(self):
        await self._bear("metrics", *[METRICS_AHEAD] * 100)
