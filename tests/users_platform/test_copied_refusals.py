"""Tests of endpoints that repeat a refusal where the next answer is due."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError, EndpointRefusedError
from radishshift.gateway import client_connections
from radishshift.verdicts import Verdict
from tests.users_platform.fleets import DESK, HOST_HEADER, KEY, running_fleet
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
async def _served(endpoint):
    """Yield the address of a running endpoint."""
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    try:
        yield f"{ip}:{port}"
    finally:
        server.close()
        for writer in endpoint.connections:
            writer.close()


@asynccontextmanager
async def _copying(**options):
    """Run an endpoint; yield it, and a function that sends it an attempt."""
    endpoint = _CopyingEndpoint(**options)
    clock = SystemClock()
    client = PlatformEndpoints(clock)
    async with _served(endpoint) as address:

        async def send(request_id):
            """Return the body of the answer, or the error."""
            order = _order(clock, address, method="POST", body=b"x")
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

    async def test_a_connection_is_closed_after_so_many_requests(self):
        """It remembers the ID of each, and would do so without a bound."""
        self.patch(client_connections, "MAX_REQUESTS", 3)
        async with _copying(refusals=0) as (endpoint, send):
            answers = [await send(f"a{number}") for number in range(7)]
            connections = len(endpoint.connections)
        self.assertEqual([f"whole a{number}" for number in range(7)], answers)
        self.assertEqual(3, connections)


class HostTest(PatientTestCase):
    async def test_a_refused_booking_runs_once_and_its_caller_gets_the_answer(self):
        """Guards rules REFUSED and TWICE, where copies of refusals come."""
        endpoint = _CopyingEndpoint()
        headers = {"Host": HOST_HEADER, "X-Key": KEY, "X-Attempt-Id": "a1"}
        async with running_fleet(1) as (fleet, session), _served(endpoint) as address:
            [host] = fleet.hosts
            fleet.platform.addresses["copying"] = address
            fleet.platform.register("copying", DESK)
            while not list(host.host_view.members_of(DESK)):
                await asyncio.sleep(0.01)
            url = f"http://{host.settings.caller_address}/book/1"
            async with session.post(url, headers=headers, data=b"x") as resp:
                outcome = (resp.status, await resp.read())
        self.assertEqual((200, b"whole a1"), outcome)
        self.assertEqual(["a1"], endpoint.ran)
