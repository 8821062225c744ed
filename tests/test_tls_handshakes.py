"""Tests of the TLS handshakes of a listening port."""

import asyncio
import ssl
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

from radishshift.tls import ClientTls, KeyFiles, ServerTls
from radishshift.tls_handshakes import TlsHandshakes
from tests.cases import TestCase
from tests.test_tls import IP, _write_certificate


class Echo(asyncio.Protocol):
    """Sends back what it receives."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


class TlsHandshakesTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = _write_certificate(Path(folder.name), 1)

    @asynccontextmanager
    async def listening(self, most=2, timeout_s=60.0):
        context = ServerTls(self.files).context
        handshakes = TlsHandshakes(context, Echo, most, timeout_s)
        loop = asyncio.get_running_loop()
        async with await loop.create_server(handshakes, IP, 0) as server:
            yield handshakes, server.sockets[0].getsockname()[1]

    async def echo(self, port):
        context = ClientTls(KeyFiles(ca_file=self.files.certificate_file)).context
        reader, writer = await asyncio.open_connection(IP, port, ssl=context)
        writer.write(b"hello")
        data = await reader.readexactly(5)
        writer.close()
        return data

    async def wait_until_none(self, handshakes):
        async with asyncio.timeout(10.0):
            while len(handshakes):
                await asyncio.sleep(0.01)

    async def stalled(self, port):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(b"\x16\x03\x01")
        self.addCleanup(writer.transport.abort)
        return reader

    async def test_a_handshake_over_the_bound_ends_the_oldest(self):
        async with self.listening() as (handshakes, port):
            oldest = await self.stalled(port)
            for _ in range(3):
                await self.stalled(port)
            self.assertEqual(b"", await oldest.read())
            self.assertEqual(b"hello", await self.echo(port))
            self.assertLessEqual(len(handshakes), 2)

    async def test_a_handshake_that_stalls_is_ended(self):
        async with self.listening(timeout_s=0.05) as (handshakes, port):
            reader = await self.stalled(port)
            self.assertEqual(b"", await reader.read())
            await self.wait_until_none(handshakes)

    async def test_connections_in_use_and_failed_handshakes_leave_the_count(self):
        async with self.listening() as (handshakes, port):
            for _ in range(5):
                self.assertEqual(b"hello", await self.echo(port))
            _, writer = await asyncio.open_connection(IP, port)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            writer.close()
            context = ssl.create_default_context()
            await self.assert_raises_async(
                ssl.SSLError, asyncio.open_connection(IP, port, ssl=context)
            )
            await self.wait_until_none(handshakes)
