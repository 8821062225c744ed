"""Tests of endpoints whose answers have malformed heads."""

from contextlib import asynccontextmanager
from dataclasses import replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError, ForeignAnswerError
from radishshift.verdicts import Verdict
from tests.raw_endpoints import Ending, RawEndpoint
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order
from tests.users_platform.test_host import _running_demo, _send, _wait_until

IDENTIFIED = b"X-Attempt-Id: a1\r\n"
SIGNED = b"X-Replica-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + IDENTIFIED
SHORT = b"Content-Length: 5\r\n"
IN_CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"
# Lines whose names hold a blank, a control character or what no name may hold.
NAMES = (
    b"Connection : close",
    b"Upgrade : x",
    b"X-Odd : 1",
    b"X Odd: 1",
    b"X\tOdd: 1",
    b"X-Odd\x01: 1",
    b"X-Odd\x7f: 1",
    b"X-Odd\xff: 1",
    b"X-Odd\r: 1",
    b": 1",
    b"X-Odd",
)
BEGINS_WITH_BLANK = (b" X-Odd: 1", b"\tX-Odd: 1", b" X-Odd", b" ", b"\t")
VALUES = (b"X-Odd:\x01", b"X-Odd: a\x00b", b"X-Odd: a\x7fb", b"X-Odd: a\rb")


@asynccontextmanager
async def _client(answer, ending=Ending.KEEP):
    """Yield a function that sends an attempt and returns its status and body."""
    clock = SystemClock()
    client = PlatformEndpoints(clock)
    async with RawEndpoint(answer, ending).listening() as endpoint:

        async def send(request_id="a1"):
            order = _order(clock, endpoint.address, method="POST", body=b"b")
            headers = (("X-Attempt-Id", request_id),)
            req = replace(order.req, request_id=request_id, headers=headers)
            answer = await client.send(replace(order, req=req))
            return answer.status, await answer.read()

        try:
            yield send
        finally:
            await client.close()


class MalformedHeadsTest(PatientTestCase):
    async def _assert_refused(self, answer, error=EndpointError, ending=Ending.KEEP):
        async with _client(answer, ending) as send:
            exc = await self.assert_raises_async(error, send())
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)

    async def test_a_malformed_name_is_no_answer(self):
        """A line with a blank before the colon was passed on to the caller."""
        for line in NAMES:
            for lines in (line + b"\r\n" + SIGNED, SIGNED + line + b"\r\n"):
                await self._assert_refused(OK + SHORT + lines + b"\r\nhello")

    async def test_a_line_that_begins_with_a_blank_is_no_answer(self):
        """It was joined to the value before it, such as the signature."""
        for line in BEGINS_WITH_BLANK:
            for lines in (line + b"\r\n" + SIGNED, SIGNED + line + b"\r\n"):
                await self._assert_refused(OK + SHORT + lines + b"\r\nhello")

    async def test_a_malformed_head_after_empty_lines_is_no_answer(self):
        for empty in (b"\r\n", b"\n", b"\r", b"\r\r\n"):
            for line in (b"Connection : close", b" X-Odd: 1"):
                head = empty + OK + SHORT + SIGNED + line
                await self._assert_refused(head + b"\r\n\r\nhello")

    async def test_a_control_character_in_a_value_is_no_answer(self):
        for line in VALUES:
            for lines in (line + b"\r\n" + SIGNED, SIGNED + line + b"\r\n"):
                await self._assert_refused(OK + SHORT + lines + b"\r\nhello")

    async def test_a_length_in_a_malformed_line_is_no_answer(self):
        """The frame of chunks was passed on as the body."""
        for line in (b" Transfer-Encoding: chunked", b"Transfer-Encoding : chunked"):
            answer = OK + SIGNED + line + b"\r\n\r\n" + IN_CHUNKS
            await self._assert_refused(answer, ending=Ending.CLOSE)
        for line in (b" Content-Length: 5", b"Content-Length : 5"):
            answer = OK + SIGNED + line + b"\r\n\r\nhello"
            await self._assert_refused(answer, ending=Ending.CLOSE)

    async def test_a_malformed_interim_response_is_no_answer(self):
        for line in (*NAMES, *BEGINS_WITH_BLANK):
            interim = b"HTTP/1.1 103 Early\r\nLink: x\r\n" + line + b"\r\n\r\n"
            await self._assert_refused(interim + OK + SHORT + b"\r\nhello")

    async def test_the_head_after_an_interim_response_is_checked(self):
        interim = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        for line in (*NAMES, *BEGINS_WITH_BLANK):
            answer = OK + SHORT + line + b"\r\n\r\nhello"
            await self._assert_refused(interim * 2 + answer)

    async def test_the_head_after_the_copy_of_an_answer_is_checked(self):
        for body in (
            b"Content-Length: 8\r\n\r\none\n\ntwo",
            b"Content-Length: 300000\r\n\r\n" + b"line\n\n" * 50_000,
            b"Transfer-Encoding: chunked\r\n\r\n5\r\n\n\r\n\n1\r\n0\r\nA: b\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n493e0;a=b\r\n"
            + b"line\n\n" * 50_000
            + b"\r\n0\r\n\r\n",
        ):
            for malformed in (b"", b"Connection : close\r\n", b" X-Odd: 1\r\n"):

                def answer(head, body=body, malformed=malformed):
                    first = OK + body
                    if b"X-Attempt-Id: a2\r\n" not in head:
                        return first
                    own = (OK + malformed + SHORT).replace(b"a1", b"a2")
                    return first + own + b"\r\nhello"

                async with _client(answer) as send:
                    await send("a1")
                    if malformed:
                        await self.assert_raises_async(EndpointError, send("a2"))
                    else:
                        self.assertEqual((200, b"hello"), await send("a2"))

    async def test_a_status_below_100_is_no_answer(self):
        for status in (b"000", b"001", b"099"):
            head = b"HTTP/1.1 " + status + b" x\r\n" + IDENTIFIED + SIGNED
            answer = head + SHORT + b"\r\nhello"
            await self._assert_refused(answer, ForeignAnswerError)

    async def test_a_status_of_other_than_three_digits_is_no_answer(self):
        for status in (b"0200", b"20", b"2000", b"+200", b"-200", b"2x0", b""):
            head = b"HTTP/1.1 " + status + b" x\r\n" + IDENTIFIED + SIGNED
            await self._assert_refused(head + SHORT + b"\r\nhello")

    async def test_sound_answers_are_taken(self):
        """Also with lines that end without a carriage return, or stand twice."""
        line = b"X-Odd:\t\xc3\xa9 : x \r\nX-Odd:\r\nServer: a\r\nServer: b\r\n"
        for body in (
            SHORT + b"\r\nhello",
            b"Transfer-Encoding: chunked\r\n\r\n" + IN_CHUNKS,
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
        ):
            for before in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
                async with _client(before + OK + line + body) as send:
                    self.assertEqual((200, b"hello"), await send())
        answer = (OK + SIGNED + SHORT + b"\r\nhello").replace(b"\r\n", b"\n")
        async with _client(answer) as send:
            self.assertEqual((200, b"hello"), await send())


class CallersTest(PatientTestCase):
    @asynccontextmanager
    async def _host(self, answer, others):
        """Run a host before an endpoint that answers like this, and sound ones."""
        async with _running_demo() as demo, RawEndpoint(answer).listening() as endpoint:
            for name in {"desk-1", "desk-2"} - others:
                demo.store.remove("servers", name)
            demo.platform.addresses["raw"] = endpoint.address
            demo.platform.register("raw", "ring-desk")
            view = demo.gateway_host.host_view
            expected = others | {"raw", "llm-1", "llm-2"}
            self.assertTrue(await _wait_until(lambda: set(view.members) == expected))
            yield demo, endpoint

    async def test_a_caller_gets_no_malformed_answer(self):
        """With a control character in a value, its connection was closed."""
        lines = {
            "/book/name": b"Connection : close",
            "/book/folded": b" X-Odd: 1",
            "/book/value": b"X-Odd: a\x01b",
        }

        def answer(head):
            line = lines[head.split()[1].decode()]
            return OK + SHORT + SIGNED + line + b"\r\n\r\nhello"

        async with self._host(answer, set()) as (demo, _):
            for path in lines:
                status, headers, body = await _send(demo, path, "POST", b"b")
                self.assertEqual(502, status, path)
                self.assertNotIn("X-Replica-Signature", headers, path)
                self.assertNotEqual(b"hello", body, path)

    async def test_a_lookup_is_answered_by_another_endpoint(self):
        for line in (b" X-Odd: 1", b"X-Odd: a\x01b"):
            answer = OK + SHORT + SIGNED + line + b"\r\n\r\nhello"
            async with self._host(answer, {"desk-1"}) as (demo, endpoint):
                for number in range(50):
                    status, _, body = await _send(demo, f"/check/{number}")
                    self.assertEqual((200, b"whole answer"), (status, body))
                    if endpoint.heads:
                        break
            self.assertNotEqual([], endpoint.heads)
