"""Tests of endpoints that send bytes without end until the caller closes."""

import asyncio
import resource
from contextlib import asynccontextmanager

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError
from radishshift.verdicts import Verdict
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Replica-Signature: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# What an endpoint sends first, and then again and again.
HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "no protocol": (b"", b"H" * 4096),
    "blank lines": (b"", b"\r\n" * 2048),
    "name of a header": (HEAD, b"a" * 4096),
    "value of a header": (HEAD + b"X-A: ", b"a" * 4096),
    "headers": (HEAD, b"X-A: b\r\n" * 512),
    "interim answers": (b"", INTERIM * 160),
}
BODIES = {
    "length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"b" * 65536),
    "no length": (HEAD + b"\r\n", b"b" * 65536),
    "chunks": (CHUNKED, b"1000\r\n" + b"b" * 4096 + b"\r\n"),
    "size of a chunk": (CHUNKED, b"0" * 4096),
    "extension of a chunk": (CHUNKED + b"5;", b"x" * 4096),
    "trailers": (CHUNKED + b"1\r\nb\r\n0\r\n", b"X-A: b\r\n" * 512),
    "value of a trailer": (CHUNKED + b"1\r\nb\r\n0\r\nX-A: ", b"a" * 4096),
}
# An endpoint stops by itself after this much, which is no bound of a host.
MAX_SENT_BYTES = 64 << 20
MAX_HEAD_BYTES = 2 << 20  # with what the sockets' buffers hold
MAX_BODY_BYTES = 12 << 20
MAX_MEMORY_BYTES = 64 << 20  # half of the smallest host, for many answers at once
MANY = 40


class _EndlessEndpoint:
    """Sends bytes without end.

    Attributes
    ----------
    sent_bytes : int
        Over all answers.
    closed_by_host : int
        Number of answers that the host broke off.
    """

    def __init__(self, first, repeated):
        self.first, self.repeated = first, repeated
        self.sent_bytes = 0
        self.closed_by_host = 0

    async def serve(self, reader, writer):
        sent_bytes = 0
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while sent_bytes < MAX_SENT_BYTES:
                writer.write(self.repeated)
                sent_bytes += len(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed_by_host += 1
        finally:
            writer.close()


@asynccontextmanager
async def _endless(first, repeated):
    endpoint = _EndlessEndpoint(first, repeated)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    clock = SystemClock()
    client = PlatformEndpoints(clock)
    try:
        yield endpoint, client, _order(clock, f"{ip}:{port}")
    finally:
        await client.close()
        server.close()


async def _read_whole(client, order):
    answer = await client.send(order)
    return await answer.read()


async def _read_stream(client, order):
    answer = await client.send(order)
    while await answer.chunk():
        pass


class EndlessAnswersTest(PatientTestCase):
    async def _assert_ended(self, read, name, answer, max_bytes):
        async with _endless(*answer) as (endpoint, client, order):
            async with asyncio.timeout(20):
                exc = await self.assert_raises_async(EndpointError, read(client, order))
                while not endpoint.closed_by_host:
                    await asyncio.sleep(0.01)
                    self.assertLess(endpoint.sent_bytes, MAX_SENT_BYTES, name)
            self.assertEqual(Verdict.MAY_HAVE_RUN, exc.verdict, name)
            self.assertLess(endpoint.sent_bytes, max_bytes, name)
        return exc

    async def test_a_head_without_end_is_broken_off(self):
        """Interim answers were read until the deadline, at a whole core."""
        for name, answer in HEADS.items():
            await self._assert_ended(_read_whole, name, answer, MAX_HEAD_BYTES)

    async def test_a_body_without_end_is_broken_off(self):
        """It was kept in memory until the host ran out of it."""
        for name, answer in BODIES.items():
            await self._assert_ended(_read_whole, name, answer, MAX_BODY_BYTES)

    async def test_a_stream_without_end_is_broken_off(self):
        for name, answer in BODIES.items():
            await self._assert_ended(_read_stream, name, answer, MAX_BODY_BYTES)

    async def test_many_bodies_without_end_fit_in_the_memory(self):
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        async with _endless(*BODIES["length"]) as (_, client, order):
            results = await asyncio.gather(
                *(_read_whole(client, order) for _ in range(MANY)),
                return_exceptions=True,
            )
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        self.assertEqual({True}, {isinstance(exc, EndpointError) for exc in results})
        self.assertLess(after - before, MAX_MEMORY_BYTES)

    async def test_a_long_answer_with_an_end_is_complete(self):
        body = b"b" * 3_000_000
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        interim = INTERIM * 3

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(interim + head + body)
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        clock = SystemClock()
        client = PlatformEndpoints(clock)
        try:
            received = await _read_whole(client, _order(clock, f"{ip}:{port}"))
        finally:
            await client.close()
            server.close()
        self.assertEqual(body, received)
