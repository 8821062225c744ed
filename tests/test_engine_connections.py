"""Tests of endpoints that send an answer once more, over a connection in use again."""

import asyncio
from contextlib import asynccontextmanager

from radishshift.clocks import SystemClock
from radishshift.endpoints import Endpoint
from radishshift.engines import open_engine_client
from radishshift.errors import EndpointError, RadishshiftError, ResumeRefusedError
from radishshift.kv_moves import KvMover
from radishshift.requests import ModelRequest
from radishshift.verdicts import Verdict
from tests.cases import TestCase
from tests.test_engines import BOOKING, CONTRACT, make_call

DEADLINE_S = 5.0
COPY_DELAY_S = 0.05
ARRIVAL_S = 0.05  # a write in the same event loop has arrived by then


DONE = "data: [DONE]\n\n"


def answer(status, body, content_type="text/event-stream", request_id=""):
    head = f"HTTP/1.1 {status} Reason\r\nContent-Type: {content_type}\r\n"
    if request_id:
        head += f"X-Request-Id: {request_id}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def stream_of(attempt_id, done=True):
    event = f'data: {{"id":"{attempt_id}","choices":[]}}\n\n'
    return answer(200, event + ("data: [DONE]\n\n" if done else ""))


class RepeatingEndpoint:
    """Writes its last answer on a connection a second time.

    Parameters
    ----------
    answers : iterable of bytes
        To the requests in their order, over whichever connections they come.
    interim : bytes
        Written on its own before each answer.
    while_idle : bool
        Whether copies are written after a short time, else before the next answer.

    Attributes
    ----------
    requests : list of (int, str)
        Number of the connection, and the request line.
    idle_copies : int
        Copies written while a connection was idle.
    """

    def __init__(self, answers, while_idle=False, interim=b""):
        self.requests = []
        self.idle_copies = 0
        self._answers = iter(answers)
        self._while_idle = while_idle
        self._interim = interim
        self._writers = []

    @property
    def connections(self):
        return [number for number, _ in self.requests]

    @asynccontextmanager
    async def listening(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield Endpoint(
                "one", f"http://{host}:{port}", "mbeya", frozenset(), 1, False
            )
        finally:
            server.close()
            for writer in self._writers:
                writer.close()

    async def _serve(self, reader, writer):
        number = len(self._writers)
        self._writers.append(writer)
        copy = b""
        while request := await self._request(reader):
            self.requests.append((number, request))
            if self._interim:
                writer.write(self._interim)
                await asyncio.sleep(ARRIVAL_S)
            current = next(self._answers)
            writer.write(copy + current)
            if self._while_idle:
                await asyncio.sleep(COPY_DELAY_S)
                writer.write(current)
                self.idle_copies += 1
            else:
                copy = current

    async def _request(self, reader):
        """Return the request line of the next request, empty if there is none."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""
        lines = head.lower().split("\r\n")
        for line in lines:
            if line.startswith("content-length:"):
                await reader.readexactly(int(line.partition(":")[2]))
        return head.partition("\r\n")[0]


@asynccontextmanager
async def client():
    async with open_engine_client(SystemClock(), 1.0, 2.0, 10_000) as engines:
        yield engines


def model_request():
    now = SystemClock().now()
    return ModelRequest(
        request_id="id-1",
        contract=CONTRACT,
        task_class=BOOKING,
        operation="chat/completions",
        model="small.v1",
        body={"messages": []},
        body_bytes=b"{}",
        stream=True,
        include_usage=True,
        arrived=now,
        deadline=now + DEADLINE_S,
    )


async def read_all(opening):
    """Return what a stream holds, or the error in its place."""
    try:
        async with opening as stream:
            parts = []
            while part := await stream.read():
                parts.append(part)
    except RadishshiftError as exc:
        return exc
    return b"".join(parts).decode()


class RepeatedRefusalsTest(TestCase):
    async def _second_answer(self, endpoint, first_call):
        """Return the answer to an attempt that follows another call."""
        async with client() as engines, endpoint.listening() as address:
            await first_call(engines, address)
            attempt = engines.open(address, model_request(), "small.v1", "id-1.b")
            return await read_all(attempt)

    async def test_a_copy_of_a_refusal_is_not_believed_for_the_next_attempt(self):
        """The second attempt counted as not run while the engine worked on it."""

        async def first(engines, endpoint):
            attempt = engines.open(endpoint, model_request(), "small.v1", "id-1.a")
            self.assertIsInstance(await read_all(attempt), RadishshiftError)

        for status in (400, 404, 413, 422, 429, 500, 503):
            refusal = answer(status, "{}", "application/json")
            endpoint = RepeatingEndpoint([refusal, stream_of("id-1.b")])
            second = await self._second_answer(endpoint, first)
            self.assertIn("id-1.b", str(second), status)

    async def test_a_copy_of_another_calls_refusal_is_not_believed_for_an_attempt(self):
        """Load reports go over the connections of attempts."""

        async def first(engines, endpoint):
            url = f"{endpoint.address}/v1/load"
            async with engines.session.get(url) as resp:
                await resp.read()

        for status in (404, 429, 503):
            refusal = answer(status, "{}", "application/json")
            endpoint = RepeatingEndpoint([refusal, stream_of("id-1.b")])
            second = await self._second_answer(endpoint, first)
            self.assertIn("id-1.b", str(second), status)


class InterimResponsesTest(TestCase):
    async def test_an_interim_response_is_no_refusal_and_ends_no_answer(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nRetry-After: 1\r\n\r\n"
        endpoint = RepeatingEndpoint([stream_of("id-1.a")], interim=interim)
        async with client() as engines, endpoint.listening() as address:
            attempt = engines.open(address, model_request(), "small.v1", "id-1.a")
            self.assertIn("id-1.a", str(await read_all(attempt)))

    async def test_trailers_make_no_refusal(self):
        body = stream_of("id-1.a").partition(b"\r\n\r\n")[2]
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunked += b"%x\r\n%b\r\n0\r\nRetry-After: 1\r\n\r\n" % (len(body), body)
        endpoint = RepeatingEndpoint([chunked])
        async with client() as engines, endpoint.listening() as address:
            attempt = engines.open(address, model_request(), "small.v1", "id-1.a")
            self.assertIn("id-1.a", str(await read_all(attempt)))

    async def test_a_change_of_protocol_is_no_answer_of_a_service(self):
        """Callers got the status 101, after which they await another protocol."""
        interim = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n"
        interim += b"Connection: upgrade\r\n\r\n"
        for idempotent in (True, False):
            endpoint = RepeatingEndpoint([interim])
            async with client() as engines, endpoint.listening() as address:
                call = make_call("GET", "/seats", idempotent=idempotent)
                exc = await self.assert_raises_async(
                    EndpointError, engines.call(address, call)
                )
            self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)


class IdleConnectionsTest(TestCase):
    async def test_a_connection_that_receives_bytes_while_idle_is_not_used_again(self):
        """The next attempt took the copy of a stream for its own, and broke."""
        streams = [stream_of("id-1.a"), stream_of("id-1.b")]
        endpoint = RepeatingEndpoint(streams, while_idle=True)
        async with client() as engines, endpoint.listening() as address:
            for count, attempt_id in enumerate(("id-1.a", "id-1.b"), 1):
                attempt = engines.open(address, model_request(), "small.v1", attempt_id)
                self.assertIn(attempt_id, str(await read_all(attempt)))
                while endpoint.idle_copies < count:
                    await asyncio.sleep(ARRIVAL_S)
                await asyncio.sleep(ARRIVAL_S)

    async def _connections(self, *streams):
        endpoint = RepeatingEndpoint(streams)
        async with client() as engines, endpoint.listening() as address:
            for attempt_id in ("id-1.a", "id-1.b"):
                attempt = engines.open(address, model_request(), "small.v1", attempt_id)
                await read_all(attempt)
        return endpoint.connections

    async def test_a_connection_is_used_again_after_an_answer_that_repeats_its_id(self):
        streams = (answer(200, DONE, request_id=f"id-1.{name}") for name in "ab")
        self.assertEqual([0, 0], await self._connections(*streams))

    async def test_a_connection_is_not_used_again_after_any_other_answer(self):
        """It may be another's; the own answer then comes where the next is due."""
        for request_id in ("", "id-1.0"):
            first = answer(200, DONE, request_id=request_id)
            connections = await self._connections(first, stream_of("id-1.b"))
            self.assertEqual([0, 1], connections, request_id)


class ResumedStreamsTest(TestCase):
    async def test_a_copy_of_a_streams_first_part_is_not_taken_for_the_rest(self):
        """It bears the same id, so callers got events twice."""
        rest = answer(200, "data: the rest\n\n")
        endpoint = RepeatingEndpoint([stream_of("id-1.a", done=False), rest])
        async with client() as engines, endpoint.listening() as address:
            attempt = engines.open(address, model_request(), "small.v1", "id-1.a")
            await read_all(attempt)
            resumed = await read_all(engines.resume(address, "id-1.a", 1))
        self.assertEqual("data: the rest\n\n", str(resumed))

    async def test_a_copy_of_a_refused_resume_is_not_believed_for_the_next(self):
        """The endpoint counted as crashed by a request whose stream it still had."""
        refusal = answer(409, "{}", "application/json")
        endpoint = RepeatingEndpoint([refusal, stream_of("id-1.b")])
        async with client() as engines, endpoint.listening() as address:
            first = await read_all(engines.resume(address, "id-1.a", 1))
            self.assertIsInstance(first, ResumeRefusedError)
            second = await read_all(engines.resume(address, "id-1.b", 0))
        self.assertIn("id-1.b", str(second))

    async def test_a_connection_carries_an_attempt_id_once(self):
        ok = answer(200, "{}", "application/json")
        stream = stream_of("id-1.a", done=False)
        endpoint = RepeatingEndpoint([stream, stream_of("id-1.a"), ok])
        async with client() as engines, endpoint.listening() as address:
            attempt = engines.open(address, model_request(), "small.v1", "id-1.a")
            await read_all(attempt)
            await read_all(engines.resume(address, "id-1.a", 1))
            await engines.cancel(address, "id-1.a")
        self.assertEqual([0, 1, 2], endpoint.connections)


class ServiceCallsTest(TestCase):
    async def test_a_call_does_not_get_the_answer_of_an_earlier_one(self):
        """A plain service repeats no id, so that nothing tells a copy."""
        for idempotent in (True, False):
            replies = [answer(200, body, "text/plain") for body in ("first", "second")]
            endpoint = RepeatingEndpoint(replies)
            async with client() as engines, endpoint.listening() as address:
                bodies = []
                for _ in replies:
                    call = make_call("GET", "/seats", idempotent=idempotent)
                    bodies.append((await engines.call(address, call)).body)
            self.assertEqual([b"first", b"second"], bodies)


class DisplacedAnswersTest(TestCase):
    """A copy takes the place of an answer, which then comes where the next is due."""

    async def _assert_refusal_is_not_believed(self, first, second):
        """Make two calls, of which the second is refused late, and then an attempt."""
        refusal = answer(503, "{}", "application/json")
        ran = []
        displaced = asyncio.Event()
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            previous = b""
            late = b""
            while head := await _read_request(reader):
                writer.write(late)
                late = b""
                attempt_id = _header(head, "x-request-id")
                if attempt_id == "id-1.c":
                    ran.append(attempt_id)
                    writer.write(stream_of(attempt_id))
                elif displaced.is_set():
                    writer.write(refusal)
                elif previous:
                    displaced.set()
                    writer.write(previous)
                    late = refusal
                else:
                    previous = stream_of(attempt_id)
                    writer.write(previous)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"http://{host}:{port}"
        endpoint = Endpoint("one", address, "mbeya", frozenset(), 1, False)
        async with client() as engines:
            await first(engines, endpoint, "id-1.a")
            await second(engines, endpoint, "id-1.b")
            attempt = engines.open(endpoint, model_request(), "small.v1", "id-1.c")
            outcome = await read_all(attempt)
        server.close()
        for writer in writers:
            writer.close()
        self.assertEqual(["id-1.c"], ran)
        self.assertIn("id-1.c", str(outcome))

    async def _attempt(self, engines, endpoint, attempt_id):
        await read_all(engines.open(endpoint, model_request(), "small.v1", attempt_id))

    async def _poll(self, engines, endpoint, attempt_id):
        async with engines.session.get(f"{endpoint.address}/v1/load") as resp:
            await resp.read()

    async def _import(self, engines, endpoint, attempt_id):
        mover = KvMover(engines.session, SystemClock())
        source = Endpoint("two", "http://two", "mbeya", frozenset(), 1, False)
        prefix = int(attempt_id == "id-1.b")
        await mover.transfer(source, endpoint, prefix, 1000, {})

    async def test_the_refusal_of_an_earlier_attempt_is_not_believed(self):
        """An attempt counted as not run while the engine worked on it."""
        await self._assert_refusal_is_not_believed(self._attempt, self._attempt)

    async def test_the_refusal_of_an_earlier_load_poll_is_not_believed(self):
        await self._assert_refusal_is_not_believed(self._poll, self._poll)

    async def test_the_refusal_of_an_earlier_cache_import_is_not_believed(self):
        await self._assert_refusal_is_not_believed(self._import, self._import)


class LastSegmentTest(TestCase):
    """A copy, or its beginning, arrives with the last bytes of the answer."""

    async def _second_answer(self, copied_bytes):
        first = stream_of("id-1.a")
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            rest = b""
            while head := await _read_request(reader):
                attempt_id = _header(head, "x-request-id")
                if attempt_id == "id-1.a":
                    writer.write(first[:-1])
                    await asyncio.sleep(ARRIVAL_S)
                    writer.write(first[-1:] + first[:copied_bytes])
                    rest = first[copied_bytes:]
                else:
                    writer.write(rest + stream_of(attempt_id))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"http://{host}:{port}"
        endpoint = Endpoint("one", address, "mbeya", frozenset(), 1, False)
        async with client() as engines:
            for attempt_id in ("id-1.a", "id-1.b"):
                attempt = engines.open(
                    endpoint, model_request(), "small.v1", attempt_id
                )
                outcome = await read_all(attempt)
        server.close()
        for writer in writers:
            writer.close()
        return str(outcome)

    async def test_a_copy_in_the_last_segment_is_not_taken_for_the_next_answer(self):
        copy_bytes = len(stream_of("id-1.a"))
        self.assertIn("id-1.b", await self._second_answer(copy_bytes))

    async def test_a_copy_that_begins_in_the_last_segment_breaks_no_attempt(self):
        """The endpoint counted as crashed by the next request."""
        self.assertIn("id-1.b", await self._second_answer(20))


async def _read_request(reader):
    """Return the head of the next request in lower case, empty if there is none."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return ""
    await reader.readexactly(int(_header(head, "content-length") or 0))
    return head


def _header(head, name):
    return head.partition(f"\r\n{name}: ")[2].partition("\r\n")[0]
