"""Tests of what is held on a server's open connections."""

import asyncio

from radishshift import http_server as web
from radishshift.open_connections import held_on
from tests.cases import TestCase

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class HeldOnConnectionsTest(TestCase):
    async def test_each_kind_of_held_bytes_is_told_apart(self):
        """No metric told bodies that stop short from requests sent ahead."""

        async def handle(request):
            await request.content.read(4)
            await asyncio.Event().wait()

        server = web.Server(handle, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        writers = []
        ahead = HEAD % 4 + b"1234" + HEAD % 3 + b"123" + HEAD % 0
        for sent in (HEAD % 10 + b"123456789", ahead):
            _, writer = await asyncio.open_connection(*address)
            writer.write(sent)
            writers.append(writer)
        async with asyncio.timeout(5.0):
            while (held := held_on(server)).unread_bytes != 8:
                await asyncio.sleep(0.01)
        self.assertEqual((2, 2), (held.connections, held.waiting_requests))
        self.assertEqual((9, 0), (held.arriving_bytes, held.unsent_bytes))
        for writer in writers:
            writer.close()
        listener.close()
        await server.shutdown(0.1)
