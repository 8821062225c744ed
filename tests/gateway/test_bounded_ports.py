"""Tests of the servers of a host's ports for peers, metrics and readiness."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp

from radishshift import http_server as web
from radishshift.gateway.bounded_ports import (
    BoundedPort,
    peer_connections,
    port_bounds,
    read_message,
)
from radishshift.gateway.peer_calls import MAX_MESSAGE_BYTES
from radishshift.gateway.sockets import request_factory
from tests.cases import TestCase

IP = "127.0.0.1"


async def answer_length(request):
    body = await read_message(request)
    return web.Response(text=str(len(body)))


class BoundedPortTest(TestCase):
    @asynccontextmanager
    async def port(self, message_bytes=MAX_MESSAGE_BYTES, messages=2, most=8):
        self.bounds = port_bounds(message_bytes, messages, most)
        server = BoundedPort(
            answer_length, self.bounds, request_factory=request_factory(message_bytes)
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, IP, 0)
        self.address = listener.sockets[0].getsockname()[:2]
        async with listener, aiohttp.ClientSession() as session:
            yield session
            await server.shutdown(0.1)

    async def post(self, session, data):
        url = f"http://{self.address[0]}:{self.address[1]}/gossip"
        async with session.post(url, data=data) as resp:
            return resp.status, await resp.text()

    async def stalled(self, length):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.transport.abort)
        head = f"POST /gossip HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode())
        return reader, writer

    async def test_the_longest_message_arrives_and_a_longer_one_is_refused(self):
        async with self.port() as session:
            status, text = await self.post(session, bytes(MAX_MESSAGE_BYTES))
            self.assertEqual((200, str(MAX_MESSAGE_BYTES)), (status, text))
            status, _ = await self.post(session, bytes(MAX_MESSAGE_BYTES + 1))
            self.assertEqual(413, status)
            self.assertEqual(0, self.bounds.held.total)

    async def test_messages_that_stall_give_their_room_to_the_next(self):
        async with self.port(message_bytes=100_000) as session:
            stalled = [await self.stalled(100_000) for _ in range(2)]
            while self.bounds.held.total < 200_000:
                await asyncio.sleep(0.01)
            self.assertEqual(503, (await self.post(session, b"next"))[0])
            async with asyncio.timeout(20.0):
                while (await self.post(session, b"next"))[0] != 200:
                    await asyncio.sleep(0.1)
            self.assertIn(b"408", await stalled[0][0].readline())

    def test_descriptors_are_left_for_callers(self):
        self.assertEqual(128, peer_connections(200))
        self.assertEqual(256, peer_connections(1024))
        self.assertEqual(1024, peer_connections(0))
