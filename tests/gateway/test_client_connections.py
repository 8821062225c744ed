"""Tests of what connections to endpoints carry, over loopback."""

import asyncio
import sys
from contextlib import asynccontextmanager
from dataclasses import replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

ARRIVAL_S = 0.05  # a write in the same event loop has arrived by then


def _answer(request_id, body=b"ok"):
    head = b"HTTP/1.1 200 OK\r\nX-Replica-Signature: s\r\nX-Attempt-Id: " + request_id
    return head + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@asynccontextmanager
async def _served(respond):
    """Yield a client, and a function that sends it a request with an ID.

    Parameters
    ----------
    respond : callable
        Coroutine function that gets the ID of each request and the writer.
    """
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            _, _, rest = head.partition(b"X-Attempt-Id: ")
            await respond(rest.split(b"\r\n")[0], writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    clock = SystemClock()
    client = PlatformEndpoints(clock)

    async def send(request_id, method="GET"):
        """Return the body of the answer, or the error."""
        order = _order(clock, f"{ip}:{port}", method=method)
        headers = (("X-Attempt-Id", request_id),)
        req = replace(order.req, request_id=request_id, headers=headers)
        try:
            answer = await client.send(replace(order, req=req))
            return await answer.read()
        except EndpointError as exc:
            return exc

    try:
        yield client, send
    finally:
        await client.close()
        server.close()
        for writer in writers:
            writer.close()


class LastSegmentTest(PatientTestCase):
    """A copy, or its beginning, arrives with the last bytes of the answer."""

    async def _second_outcome(self, copied_bytes):
        copy = _answer(b"a0")
        rests = {}

        async def respond(request_id, writer):
            if request_id == b"a0":
                writer.write(copy[:-1])
                await asyncio.sleep(ARRIVAL_S)
                writer.write(copy[-1:] + copy[:copied_bytes])
                rests[writer] = copy[copied_bytes:]
            else:
                writer.write(rests.get(writer, b"") + _answer(request_id, b"own"))

        async with _served(respond) as (_, send):
            await send("a0")
            return await send("a1")

    async def test_a_copy_in_the_last_segment_is_not_taken_for_the_next_answer(self):
        self.assertEqual(b"own", await self._second_outcome(len(_answer(b"a0"))))

    async def test_a_copy_that_begins_in_the_last_segment_loses_no_answer(self):
        """Callers got 502, and the endpoint counted as crashed by their request."""
        for copied_bytes in (1, 12, 60):
            outcome = await self._second_outcome(copied_bytes)
            self.assertEqual(b"own", outcome, copied_bytes)


class RememberedIdsTest(PatientTestCase):
    async def test_long_ids_do_not_fill_the_memory(self):
        """A connection held 4 MB for callers that choose IDs as long as a line."""

        async def respond(request_id, writer):
            writer.write(_answer(request_id))

        async with _served(respond) as (client, send):
            for number in range(500):
                self.assertEqual(b"ok", await send(f"{number:0>7900}"))
            pools = [
                session.connector._conns.values()
                for session in client._http_sessions.values()
            ]
            sizes = [
                sum(map(sys.getsizeof, handler._carried))
                for pool in pools
                for idle in pool
                for handler, _ in idle
            ]
        self.assertLess(sum(sizes), 1 << 16)


class HeadTest(PatientTestCase):
    async def test_a_connection_that_carried_a_head_request_is_closed(self):
        """A copy of its answer states a body that never comes; the next one waited."""
        ports = []

        async def respond(request_id, writer):
            ports.append(writer.get_extra_info("peername")[1])
            writer.write(_answer(request_id, b"" if request_id == b"a0" else b"ok"))

        async with _served(respond) as (_, send):
            await send("a0", "HEAD")
            self.assertEqual(b"ok", await send("a1"))
        self.assertEqual(2, len(set(ports)))
