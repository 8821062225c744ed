"""Tests of the memory of an entry process before callers that don't behave.

A crowd sends what a host with lowered bounds can't all hold. Then the process lives, is
within the memory that its bounds add up to, and answers an ordinary request.
"""

import asyncio
import secrets
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec

from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import KEY, deployed, small_catalogue
from tests.cases import TestCase
from tests.crowd import (
    alone,
    crowded_entry,
    free_port,
    head_of,
    open_descriptors,
    peak_mb,
)
from tests.served import VERSION
from tests.test_tls import _write_certificate

BODY_BYTES = 2_000_000
HEADER_BYTES = 16_384
CONNECTIONS = 200
REQUESTS = 4
BOUNDS = {
    "bodyBytes": BODY_BYTES,
    "headerBytes": HEADER_BYTES,
    "connections": CONNECTIONS,
    "requests": REQUESTS,
    "answerBytes": 1_000_000,
    "answersBytes": 16_000_000,
}
# The process itself, four copies of each body in work, the stored answers, and of each
# connection a head and 64 KB that wait to be sent.
MEMORY_MB = 80 + 4 * REQUESTS * 2 + 16 + CONNECTIONS * 0.08
DESCRIPTORS = CONNECTIONS + 100
SETTLE_S = 1.0
IP = "127.0.0.1"
CHAT_PATH = "/v1/chat/completions"
CHAT_BODY = {"model": VERSION, "messages": [{"role": "user", "content": "Hello"}]}


async def add_models(deployment, count):
    """Add versions of a model to the catalogue."""
    spec = small_catalogue()[VERSION]
    for number in range(count):
        entry = StoredObject(Kind.ENTRY, f"farm-advice-small.w{number}", spec)
        await deployment.platform.create(entry)


class EntryMemoryTest(TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    @asynccontextmanager
    async def entry(self, models=0, **sections):
        """Run an entry process with lowered bounds before a deployment."""
        times = {"receiveS": 60.0, "callerStallS": 60.0}
        with alone():
            async with deployed() as deployment:
                await add_models(deployment, models)
                async with crowded_entry(
                    self.directory, deployment, bounds=BOUNDS, times=times, **sections
                ) as entry:
                    await self.check_answered(entry)
                    yield deployment, entry

    async def check_crowd(self, count, parts, **options):
        """Let a crowd send parts; check the process while the crowd stays."""
        async with self.entry(**options) as (_, entry):
            await entry.crowd().send(count, parts)
            await self.check_process(entry)

    async def check_process(self, entry):
        await asyncio.sleep(SETTLE_S)
        await self.check_answered(entry)
        self.assertIsNone(entry.process.returncode)
        pid = entry.process.pid
        self.assertLessEqual(peak_mb(pid), MEMORY_MB)
        self.assertLessEqual(open_descriptors(pid), DESCRIPTORS)

    async def check_answered(self, entry):
        """Check that one request is answered, sent again while it is refused."""
        connector = aiohttp.TCPConnector(ssl=False)
        async with (
            asyncio.timeout(60.0),
            aiohttp.ClientSession(connector=connector) as session,
        ):
            while await self.status_of_chat(entry, session) != 200:
                await asyncio.sleep(0.2)

    async def status_of_chat(self, entry, session):
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{entry.url}{CHAT_PATH}"
        body = msgspec.json.encode(CHAT_BODY)
        try:
            async with session.post(url, data=body, headers=headers) as resp:
                await resp.read()
                return resp.status
        except aiohttp.ClientError:
            return None

    async def test_bodies_one_byte_short_stay_within_the_memory(self):
        head = head_of(CHAT_PATH, Content_Length=BODY_BYTES) + b"\r\n"
        await self.check_crowd(100, [head, bytes(BODY_BYTES - 1)])

    async def test_bodies_in_chunks_without_an_end_stay_within_the_memory(self):
        head = head_of(CHAT_PATH, Transfer_Encoding="chunked") + b"\r\n"
        chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
        await self.check_crowd(100, [head, *[chunk] * (BODY_BYTES // 0x10000)])

    async def test_heads_without_an_end_stay_within_the_memory(self):
        field = b"X-Flood: " + b"x" * 16_000 + b"\r\n"
        await self.check_crowd(CONNECTIONS - 10, [head_of(CHAT_PATH), *[field] * 60])

    async def test_heads_without_an_end_and_without_a_key_stay_within_the_memory(self):
        field = b"X-Flood: " + b"x" * 16_000 + b"\r\n"
        head = head_of(CHAT_PATH, key="")
        await self.check_crowd(CONNECTIONS - 10, [head, *[field] * 60])

    async def test_bodies_without_a_key_stay_within_the_memory(self):
        head = head_of(CHAT_PATH, key="", Content_Length=BODY_BYTES) + b"\r\n"
        await self.check_crowd(CONNECTIONS - 10, [head, bytes(BODY_BYTES - 1)])

    async def test_requests_sent_ahead_stay_within_the_memory(self):
        body = msgspec.json.encode(CHAT_BODY | {"user": "x" * 500_000})
        request = head_of(CHAT_PATH, Content_Length=len(body)) + b"\r\n" + body
        await self.check_crowd(CONNECTIONS - 10, [request] * 4)

    async def test_lookups_sent_ahead_unread_stay_within_the_memory(self):
        padding = "x" * 15_000
        request = head_of("/v1/models", method="GET", X_Padding=padding) + b"\r\n"
        await self.check_crowd(CONNECTIONS - 10, [request] * 400)

    async def test_answers_unread_stay_within_the_memory(self):
        request = head_of("/v1/models", method="GET") + b"\r\n"
        await self.check_crowd(CONNECTIONS - 10, [request] * 200, models=300)

    async def test_bodies_of_many_small_values_stay_within_the_memory(self):
        body = msgspec.json.encode(CHAT_BODY | {"messages": [{}] * 600_000})
        head = head_of(CHAT_PATH, Content_Length=len(body)) + b"\r\n"
        async with self.entry() as (deployment, entry):
            for engine in deployment.engines.values():
                engine.token_s = 5.0
            await entry.crowd().send(30, [head, body])
            for engine in deployment.engines.values():
                engine.token_s = 0.0
            await self.check_process(entry)

    async def test_unfinished_tls_handshakes_stay_within_the_memory(self):
        files = _write_certificate(self.directory, 1)
        keys = {
            "certificateFile": files.certificate_file,
            "keyFile": files.key_file,
        }
        await self.check_crowd(
            3 * CONNECTIONS, [b"\x16\x03\x01"], tls={"callers": keys}
        )

    async def check_port(self, port, parts, count=CONNECTIONS, **sections):
        """Let a crowd send parts to one of the ports for other hosts and operators."""
        number = free_port()
        address = {"callerPort": 0, "peerPort": 0, "metricsPort": 0} | {port: number}
        async with self.entry(address=address, **sections) as (_, entry):
            await entry.crowd((IP, number)).send(count, parts)
            await self.check_process(entry)

    def peer_settings(self):
        path = self.directory / "peer-keys"
        path.write_text(secrets.token_hex(32) + "\n", encoding="utf-8")
        return {"keyFile": str(path)}

    async def test_bodies_at_the_peer_port_stay_within_the_memory(self):
        head = head_of("/h", key="", Content_Length=7_900_000) + b"\r\n"
        parts = [head, *[bytes(1_000_000)] * 7]
        await self.check_port("peerPort", parts, 30, peers=self.peer_settings())

    async def test_heads_at_the_peer_port_stay_within_the_memory(self):
        field = b"X-Flood: " + b"x" * 8_000 + b"\r\n"
        parts = [head_of("/h", key=""), *[field] * 120]
        await self.check_port("peerPort", parts, peers=self.peer_settings())

    async def test_heads_at_the_metrics_port_stay_within_the_memory(self):
        field = b"X-Flood: " + b"x" * 8_000 + b"\r\n"
        parts = [head_of("/metrics", key="", method="GET"), *[field] * 120]
        await self.check_port("metricsPort", parts)

    async def test_unread_metrics_stay_within_the_memory(self):
        request = head_of("/metrics", key="", method="GET") + b"\r\n"
        await self.check_port("metricsPort", [request] * 2_000)

    async def test_connections_to_the_metrics_port_stay_within_a_bound(self):
        await self.check_port("metricsPort", [b"GET"], 3 * CONNECTIONS)
