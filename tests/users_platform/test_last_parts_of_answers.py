"""Tests of what precedes the head of an answer, and of what follows its body."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError
from radishshift.verdicts import Verdict
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

ARRIVAL_S = 0.05  # a write in the same event loop has arrived by then
REFUSED = "X-Not-Executed: 1\r\nRetry-After: 0.1\r\n"


def identified(request_id):
    return f"X-Attempt-Id: {request_id}\r\n"


def whole(request_id):
    length = len(request_id)
    head = f"HTTP/1.1 200 OK\r\n{identified(request_id)}Content-Length: {length}\r\n"
    return f"{head}\r\n{request_id}"


class ScriptedEndpoint:
    """Writes a script of bytes for each request.

    Parameters
    ----------
    scripts : iterable of list of str
        What is written for the requests in their order, with a short pause between
        two parts.
    rest : str
        Written before the second answer if the first connection carries it.

    Attributes
    ----------
    connections : list of int
        Number of the connection of each request.
    """

    def __init__(self, scripts, rest=""):
        self.connections = []
        self._scripts = iter(scripts)
        self._rest = rest
        self._serving = []
        self._idle = asyncio.Event()

    @asynccontextmanager
    async def client(self):
        """Yield a function that sends a request and returns its body or error."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        clock = SystemClock()
        client = PlatformEndpoints(clock)

        async def send(request_id):
            self._idle.clear()
            order = _order(clock, address)
            headers = (("X-Attempt-Id", request_id),)
            req = replace(order.req, request_id=request_id, headers=headers)
            try:
                answer = await client.send(replace(order, req=req))
                outcome = (await answer.read()).decode()
            except EndpointError as exc:
                outcome = exc.verdict
            return outcome

        try:
            yield send
        finally:
            await client.close()
            server.close()
            await asyncio.gather(*self._serving)

    async def wait_until_idle(self):
        """Wait until all that is written for a request has arrived."""
        await self._idle.wait()
        await asyncio.sleep(ARRIVAL_S)

    async def _serve(self, reader, writer):
        number = len(self._serving)
        self._serving.append(asyncio.current_task())
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.connections.append(number)
            if self.connections == [0, 0]:
                writer.write(self._rest.encode())
            for part in next(self._scripts):
                writer.write(part.encode())
                await asyncio.sleep(ARRIVAL_S)
            self._idle.set()


class LastPartsTest(PatientTestCase):
    async def _outcome_of(self, *parts):
        async with ScriptedEndpoint([parts]).client() as send:
            return await send("a1")

    async def test_an_interim_response_is_no_refusal(self):
        """Whatever it states; it says nothing of the answer that follows."""
        for status in (100, 102, 103):
            interim = f"HTTP/1.1 {status} On\r\n{identified('a1')}{REFUSED}\r\n"
            for parts in ((interim, whole("a1")), (interim + whole("a1"),)):
                self.assertEqual("a1", await self._outcome_of(*parts), parts)

    async def test_an_interim_response_lends_its_id_to_no_refusal(self):
        interim = f"HTTP/1.1 103 On\r\n{identified('a1')}\r\n"
        refusal = f"HTTP/1.1 503 No\r\n{REFUSED}Content-Length: 0\r\n\r\n"
        verdict = await self._outcome_of(interim + refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, verdict)

    async def test_trailers_make_no_refusal(self):
        """Neither what they state nor their id counts."""
        for status, in_head, in_trailer in (
            (503, identified("a1"), REFUSED),
            (503, REFUSED, identified("a1")),
            (200, identified("a1"), REFUSED),
        ):
            head = (
                f"HTTP/1.1 {status} On\r\n{in_head}Transfer-Encoding: chunked\r\n\r\n"
            )
            answer = f"{head}2\r\na1\r\n0\r\n{in_trailer}\r\n"
            expected = "a1" if status == 200 else Verdict.MAY_HAVE_RUN
            self.assertEqual(expected, await self._outcome_of(answer), answer)

    async def test_bytes_after_the_last_chunk_are_not_believed_for_the_next_request(
        self,
    ):
        head = (
            f"HTTP/1.1 200 OK\r\n{identified('a1')}Transfer-Encoding: chunked\r\n\r\n"
        )
        refusal = f"HTTP/1.1 503 No\r\n{identified('a1')}{REFUSED}"
        refusal += "Content-Length: 0\r\n\r\n"
        answer = f"{head}2\r\na1\r\n0\r\n\r\n{refusal}"
        endpoint = ScriptedEndpoint([[answer], [whole("a1")]])
        async with endpoint.client() as send:
            self.assertEqual(["a1", "a1"], [await send("a1"), await send("a1")])
        self.assertEqual([0, 1], endpoint.connections)


class ConnectionsInUseAgainTest(PatientTestCase):
    async def test_a_request_does_not_wait_behind_one_that_still_runs(self):
        """A whole answer of another request left its connection for the next one."""
        foreign = f"HTTP/1.1 503 No\r\n{identified('b2')}{REFUSED}"
        foreign += "Content-Length: 0\r\n\r\n"
        endpoint = ScriptedEndpoint([[foreign], [whole("a2")]])
        async with endpoint.client() as send:
            self.assertIs(Verdict.MAY_HAVE_RUN, await send("a1"))
            self.assertEqual("a2", await send("a2"))
        self.assertEqual([0, 1], endpoint.connections)

    async def test_a_request_is_not_failed_by_the_rest_of_an_idle_copy(self):
        """The part that came while the connection was idle went unseen."""
        copy = whole("a1")
        scripts = [[copy, copy[:20]], [whole("a2")]]
        endpoint = ScriptedEndpoint(scripts, rest=copy[20:])
        async with endpoint.client() as send:
            self.assertEqual("a1", await send("a1"))
            await endpoint.wait_until_idle()
            self.assertEqual("a2", await send("a2"))
        self.assertEqual([0, 1], endpoint.connections)
