"""Tests of endpoints that end the connection before, or after, the whole answer."""

import asyncio

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import StreamBrokenError
from radishshift.verdicts import Verdict
from tests.raw_endpoints import Ending, RawEndpoint
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

IDENTIFIED = b"X-Attempt-Id: a1\r\nX-Replica-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + IDENTIFIED
FAILED = b"HTTP/1.1 500 Internal Server Error\r\n" + IDENTIFIED
TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\n" + IDENTIFIED
PART = b"part of it."
UNFRAMED = b"\r\n" + PART
# What an endpoint sends before it breaks off.
CUT = (
    UNFRAMED,
    b"\r\n",
    b"Content-Length: 12\r\n\r\n" + PART,
    b"Transfer-Encoding: chunked\r\n\r\nb\r\n%b\r\n" % PART,
)
WHOLE = (
    b"Content-Length: 11\r\n\r\n" + PART,
    b"Transfer-Encoding: chunked\r\n\r\nb\r\n%b\r\n0\r\n\r\n" % PART,
)
OTHER_CODING = b"Transfer-Encoding: identity\r\n\r\n" + PART
SHORT, LONG = 200, 16_000_000  # bytes of a request; sockets do not hold the long one
ENDED_S = 0.1  # after which a reset on loopback has been noticed


class CutAnswersTest(PatientTestCase):
    async def _read(self, size, pause_s):
        """Return the status and body of the answer to a request with a body."""
        clock = SystemClock()
        client = PlatformEndpoints(clock)
        order = _order(clock, self.endpoint.address, method="POST", body=b"b" * size)
        answer = None
        try:
            answer = await client.send(order)
            await asyncio.sleep(pause_s)
            return answer.status, await answer.read()
        finally:
            if answer is not None:
                answer.abort()
            await client.close()

    async def _assert_broken(self, answer, size, reads_body, pause_s):
        endpoint = RawEndpoint(answer, Ending.RESET, reads_body)
        async with endpoint.listening() as self.endpoint:
            exc = await self.assert_raises_async(
                StreamBrokenError, self._read(size, pause_s)
            )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)

    async def test_an_early_answer_that_a_reset_cuts_is_not_whole(self):
        """The part was passed on as an answer of its length, with status 200.

        Its reader found no error: the task that writes the request clears it.
        """
        for head in (OK, FAILED, TOO_LARGE):
            for body in CUT:
                for pause_s in (0.0, ENDED_S):
                    await self._assert_broken(head + body, LONG, False, pause_s)

    async def test_a_late_answer_that_a_reset_cuts_is_not_whole(self):
        for size in (SHORT, LONG):
            for body in CUT:
                for pause_s in (0.0, ENDED_S):
                    await self._assert_broken(OK + body, size, True, pause_s)

    async def test_an_answer_in_a_coding_other_than_chunks_has_no_length(self):
        for size in (SHORT, LONG):
            for pause_s in (0.0, ENDED_S):
                await self._assert_broken(OK + OTHER_CODING, size, True, pause_s)

    async def test_an_answer_that_this_host_ends_is_not_whole(self):
        """Connections to an endpoint that was removed are closed after a while."""
        clock = SystemClock()
        endpoint = RawEndpoint(OK + UNFRAMED)
        async with endpoint.listening():
            client = PlatformEndpoints(clock)
            answer = await client.send(_order(clock, endpoint.address))
            reading = asyncio.ensure_future(answer.read())
            await asyncio.sleep(0)
            await client.close()
            await self.assert_raises_async(StreamBrokenError, reading)

    async def test_a_whole_early_answer_is_delivered_despite_a_reset(self):
        for head, status in ((OK, 200), (FAILED, 500), (TOO_LARGE, 413)):
            for body in WHOLE:
                for pause_s in (0.0, ENDED_S):
                    endpoint = RawEndpoint(head + body, Ending.RESET, reads_body=False)
                    async with endpoint.listening() as self.endpoint:
                        answer = await self._read(LONG, pause_s)
                    self.assertEqual((status, PART), answer)

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        for size in (SHORT, LONG):
            for pause_s in (0.0, ENDED_S):
                endpoint = RawEndpoint(OK + UNFRAMED, Ending.CLOSE)
                async with endpoint.listening() as self.endpoint:
                    answer = await self._read(size, pause_s)
                self.assertEqual((200, PART), answer)
