"""Tests of endpoints that repeat a refusal where the next answer is due."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError, EndpointRefusedError
from radishshift.verdicts import Verdict
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

# A client that takes what comes so late for an answer has looked at the idle connection
# before, and found nothing.
LATE_S = 0.05
REFUSED = b"503 Service Unavailable\r\nX-Not-Executed: 1"
REPLACED = b"421 Misdirected Request"


@dataclass
class _CopyingEndpoint:
    """Refuses the first attempts, and sends copies of that before the next answers.

    Attributes
    ----------
    refusals : int
        Number of attempts that are refused, over all connections.
    copies : int
        Copies that follow each refusal, on the same connection.
    ran : list of str
        IDs of the attempts that ran.
    connections : list
        Writers of the connections.
    """

    refusals: int = 1
    copies: int = 1
    status: bytes = REFUSED
    late_s: float = 0.0
    ran: list[str] = field(default_factory=list)
    connections: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(self, reader, writer):
        self.connections.append(writer)
        due = b""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            await asyncio.sleep(self.late_s)
            writer.write(due)
            due = b""
            request_id = _id_in(head)
            echo = b"X-Attempt-Id: %b\r\n" % request_id if request_id else b""
            if self.refusals:
                self.refusals -= 1
                refusal = b"HTTP/1.1 %b\r\n%b" % (self.status, echo)
                refusal += b"Content-Length: 2\r\n\r\nno"
                writer.write(refusal)
                due = refusal * self.copies
                continue
            self.ran.append(request_id.decode())
            answer = b"HTTP/1.1 200 OK\r\nX-Replica-Signature: s\r\n" + echo
            body = b"whole " + request_id
            writer.write(answer + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def _id_in(head):
    _, found, rest = head.partition(b"X-Attempt-Id: ")
    return rest.split(b"\r\n")[0] if found else b""


@asynccontextmanager
async def _copying(**options):
    endpoint = _CopyingEndpoint(**options)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    clock = SystemClock()
    client = PlatformEndpoints(clock)

    async def send(request_id):
        """Return the body of the answer to an attempt, or the error."""
        order = _order(clock, f"{ip}:{port}", method="POST", body=b"x")
        headers = (("X-Attempt-Id", request_id),) if request_id else ()
        req = replace(order.req, request_id=request_id, headers=headers)
        try:
            answer = await client.send(replace(order, req=req))
            return (await answer.read()).decode()
        except EndpointError as exc:
            return exc

    try:
        yield endpoint, send
    finally:
        await client.close()
        server.close()
        for writer in endpoint.connections:
            writer.close()


class CopiedRefusalTest(PatientTestCase):
    """A request that was refused is sent to the same endpoint again."""

    async def _assert_told_the_truth(self, request_id="a1", **options):
        """Send a request until it isn't refused, and compare with what ran."""
        async with _copying(**options) as (endpoint, send):
            outcomes = []
            for _ in range(1 + options.get("refusals", 1)):
                outcomes.append(await send(request_id))
        for refused in outcomes[:-1]:
            self.assertIsInstance(refused, EndpointRefusedError)
            self.assertEqual(Verdict.NOT_RUN, refused.verdict)
        self.assertEqual([f"whole {request_id}"], outcomes[-1:])
        self.assertEqual([request_id], endpoint.ran)

    async def test_the_copy_of_a_refusal_is_not_believed(self):
        """A request was refused as not run, or sent on, while an endpoint ran it."""
        await self._assert_told_the_truth()

    async def test_a_copy_that_comes_after_a_look_at_the_connection(self):
        await self._assert_told_the_truth(late_s=LATE_S)

    async def test_several_refusals_and_several_copies(self):
        await self._assert_told_the_truth(refusals=3, copies=2)

    async def test_the_copy_of_a_refusal_for_another_endpoint(self):
        await self._assert_told_the_truth(status=REPLACED)

    async def test_a_request_without_an_id(self):
        await self._assert_told_the_truth(request_id="")


class ConnectionUseTest(PatientTestCase):
    async def test_a_failed_attempt_names_the_connection_that_carried_it(self):
        async with _copying(refusals=2, copies=0) as (endpoint, send):
            uses = [(await send(request_id)).connection for request_id in ("a1", "a2")]
            ports = [
                conn.get_extra_info("peername")[1] for conn in endpoint.connections
            ]
        self.assertEqual(ports * 2, [use.local_port for use in uses])
        self.assertEqual([0, 1], [use.requests_before for use in uses])
        self.assertEqual([False, False], [use.same_id_before for use in uses])
