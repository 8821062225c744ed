"""Tests of a server whose connections hold a bounded part of the memory."""

import asyncio
import socket
from contextlib import asynccontextmanager

from radishshift import http_server as web
from radishshift.bounded_server import BoundedServer
from radishshift.caller_limits import CallerLimits
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES, HeldBytes
from radishshift.errors import RadishshiftError
from radishshift.request_hold import RequestHold
from tests.cases import TestCase

POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LARGE = 30_000_000


class _World:
    """A server and its callers."""

    def __init__(self, bounds, timeout_s):
        self.bounds = bounds
        self.bodies = []
        self.answer = b"done"
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._timeout_s = timeout_s
        self.server = BoundedServer(
            self._handle, bounds=bounds, id_header="Id", handler_cancellation=True
        )
        self.address = None

    async def _handle(self, request):
        async with RequestHold(self.bounds, request) as hold:
            try:
                body = await hold.read_body(self._timeout_s)
            except RadishshiftError as exc:
                return web.Response(status=exc.status)
            self.bodies.append(body)
            await self.may_answer.wait()
            return web.Response(body=self.answer)

    async def send(self, data):
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        return reader, writer

    async def until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.01)


@asynccontextmanager
async def _serving(budget=1e9, timeout_s=30.0, max_connections=100, **limits):
    bounds = ConnectionBounds(
        HeldBytes(budget), lambda: CallerLimits(**limits), max_connections
    )
    world = _World(bounds, timeout_s)
    listener = await asyncio.get_running_loop().create_server(
        world.server, "127.0.0.1", 0
    )
    world.address = listener.sockets[0].getsockname()
    try:
        yield world
    finally:
        listener.close()
        await world.server.shutdown(0.1)
        await world.until(lambda: not bounds.held.total)


async def _status(reader):
    line = await reader.readline()
    return int(line.split()[1]) if line else 0


class BoundedServerTest(TestCase):
    """Each test ends with an account that is empty again."""

    async def test_a_body_that_stops_short_ends_at_its_deadline_as_not_run(self):
        async with _serving(timeout_s=0.2) as world:
            reader, writer = await world.send(POST % 9 + b"12345678")
            self.assertEqual((408, []), (await _status(reader), world.bodies))
            await reader.read()  # the connection is closed
            writer.close()

    async def test_a_stalled_body_gives_its_room_to_a_whole_one(self):
        async with _serving(budget=REQUEST_BYTES + 150_000) as world:
            stalled, writer = await world.send(POST % 100_000 + b"x")
            await world.until(lambda: world.bounds.held.total)
            statuses = []
            while 200 not in statuses:
                reader, other = await world.send(POST % 100_000 + bytes(100_000))
                statuses.append(await _status(reader))
                other.close()
                await asyncio.sleep(0.1)
            self.assertEqual({503, 200}, set(statuses))
            self.assertEqual(408, await _status(stalled))
            self.assertEqual([100_000], [len(body) for body in world.bodies])
            writer.close()

    async def test_a_body_in_chunks_is_counted_while_it_arrives(self):
        async with _serving(budget=REQUEST_BYTES + 200_000) as world:
            head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
            reader, writer = await world.send(head + 5 * chunk)
            self.assertEqual(503, await _status(reader))
            writer.close()

    async def test_a_head_that_is_too_long_or_late_is_refused(self):
        async with _serving(head_bytes=1000, head_timeout_s=0.1) as world:
            late, first = await world.send(b"GET / HTTP/1.1\r\nHost: x\r\n")
            self.assertEqual(408, await _status(late))
            fields = b"".join(b"X-%d: %s\r\n" % (n, b"f" * 900) for n in range(20))
            long, second = await world.send(b"GET / HTTP/1.1\r\n" + fields)
            self.assertEqual(431, await _status(long))
            for writer in (first, second):
                writer.close()

    async def test_a_blank_line_between_requests_is_no_head(self):
        async with _serving(head_timeout_s=0.1) as world:
            reader, writer = await world.send(GET + b"\r\n")
            self.assertEqual(200, await _status(reader))
            await asyncio.sleep(0.6)
            writer.write(GET)
            await world.until(lambda: len(world.bodies) == 2)
            writer.close()

    async def test_the_next_request_waits_until_the_answer_before_is_taken(self):
        async with _serving() as world:
            world.answer = bytes(LARGE)
            reader, writer = await world.send(GET * 3)
            await world.until(lambda: world.bodies and world.bounds.held.total)
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(world.bodies))
            while len(world.bodies) < 3:
                await reader.read(1 << 20)
            writer.close()

    async def test_requests_sent_ahead_do_not_add_up_over_time(self):
        """A connection that always had a request waiting filled the account."""
        async with _serving() as world:
            reader, writer = await world.send(GET * 3000)
            most = 0
            while len(world.bodies) < 3000:
                most = max(most, world.bounds.held.total)
                await reader.read(1 << 16)
            self.assertLess(most, 1 << 18)
            writer.close()

    async def test_an_answer_that_nobody_takes_ends_with_the_idle_limit(self):
        async with _serving(idle_timeout_s=0.2) as world:
            world.answer = bytes(LARGE)
            _, writer = await world.send(GET)
            await world.until(lambda: world.bodies)
            await world.until(lambda: not world.server.connections)
            writer.close()

    async def test_the_connection_silent_longest_makes_place_for_a_new_one(self):
        async with _serving(max_connections=2) as world:
            silent, first = await world.send(b"")
            await world.until(lambda: len(world.server.connections) == 1)
            kept, second = await world.send(GET)
            self.assertEqual(200, await _status(kept))
            reader, third = await world.send(GET)
            self.assertEqual(200, await _status(reader))
            self.assertEqual(b"", await silent.read())
            second.write(GET)
            await world.until(lambda: len(world.bodies) == 3)
            for writer in (first, second, third):
                writer.close()

    async def test_a_slow_reader_is_not_ended_while_there_is_room(self):
        """What the kernel holds for a caller leaves before the write buffer shrinks."""
        async with _serving(idle_timeout_s=0.4) as world:
            world.answer = bytes(LARGE)
            sock = socket.create_connection(world.address)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, GET)
            await world.until(lambda: world.bodies)
            for _ in range(16):
                await loop.sock_recv(sock, 1 << 16)
                await asyncio.sleep(0.1)
            self.assertEqual(1, len(world.server.connections))
            sock.close()

    async def test_a_caller_with_requests_ahead_ends_after_the_one_in_work(self):
        """Bytes that the kernel receives for unread connections counted nowhere."""
        async with _serving(budget=REQUEST_BYTES + 80_000) as world:
            world.may_answer.clear()
            ahead, first = await world.send(GET * 50)
            await world.until(lambda: world.bounds.held.total > REQUEST_BYTES + 60_000)
            ordinary, second = await world.send(GET)
            self.assertEqual(503, await _status(ordinary))
            world.may_answer.set()
            answers = await ahead.read()
            self.assertEqual(
                (1, 1), (answers.count(b"HTTP/1.1 200"), len(world.bodies))
            )
            second.write(GET)
            await world.until(lambda: len(world.bodies) == 2)
            for writer in (first, second):
                writer.close()
