"""Random copies of answers at random places, compared with what the endpoint did."""

import asyncio
import random
from dataclasses import replace

from users_platform.endpoints import PlatformEndpoints

from radishshift.clocks import SystemClock
from radishshift.errors import EndpointError
from radishshift.verdicts import Verdict
from tests.users_platform.served import PatientTestCase
from tests.users_platform.test_endpoints import _order

CALLERS = 6
REQUESTS = 40
ATTEMPTS = 4
SHARED_IDS = 6
GIVE_UP_S = 0.01
STATUSES = {
    "ran": b"200 OK\r\nX-Replica-Signature: s",
    "failed": b"500 Internal Server Error",
    "refused": b"503 Service Unavailable\r\nX-Not-Executed: 1",
    "limited": b"429 Too Many Requests\r\nX-Not-Executed: 1",
    "misdirected": b"421 Misdirected Request",
}
OUTCOMES = (*STATUSES, "cut")
WEIGHTS = (45, 8, 25, 10, 8, 4)
NOT_RUN = frozenset({"refused", "limited", "misdirected"})


def _field(head, name):
    return head.partition(b"\r\n%b: " % name)[2].partition(b"\r\n")[0]


class _RandomEndpoint:
    """Sends each answer, and up to three copies of earlier ones, in random pieces.

    Attributes
    ----------
    outcomes : dict of str to str
        By the number of the attempt.
    """

    def __init__(self, rng):
        self.outcomes = {}
        self._rng = rng

    async def serve(self, reader, writer):
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        rng = self._rng
        history = []
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(_field(head, b"Content-Length") or 0))
            [outcome] = rng.choices(OUTCOMES, WEIGHTS)
            number = _field(head, b"X-Own")
            self.outcomes[number.decode()] = outcome
            answer = self._answer(_field(head, b"X-Attempt-Id"), outcome, number)
            copies = b"".join(
                rng.choices(history, k=rng.randint(0, 3) if history else 0)
            )
            if outcome == "cut":
                await self._write(writer, copies + answer[: rng.randrange(len(answer))])
                return
            if rng.random() < 0.5:
                await self._write(writer, copies)
                copies = b""
                await asyncio.sleep(rng.choice((0.002, 0.02)))
            await self._write(writer, copies + answer)
            history.append(answer)
            if rng.random() < 0.2:
                await self._write(writer, rng.choice(history))

    def _answer(self, request_id, outcome, number):
        rng = self._rng
        body = b"attempt %b." % number + b"." * rng.choice((0, 10, 3000, 100_000))
        status = STATUSES.get(outcome, STATUSES["ran"])
        head = b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n" % (status, request_id)
        if rng.random() < 0.5:
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        chunk = b"%x;a=b\r\n%b\r\n" % (len(body), body)
        return head + b"Transfer-Encoding: chunked\r\n\r\n%b0\r\nX-T: 1\r\n\r\n" % chunk

    async def _write(self, writer, data):
        while data:
            size = self._rng.choice((len(data), self._rng.randint(1, len(data))))
            writer.write(data[:size])
            data = data[size:]
            await asyncio.sleep(self._rng.choice((0, 0, 0.001, 0.003)))


class RandomCopiesTest(PatientTestCase):
    """Guards rules REFUSED, TWICE and MIXED."""

    async def _send(self, client, address, rng, request_id, number):
        """Return the status and body of an answer, or the error."""
        body = b"x" * rng.choice((1, 70_000))
        order = _order(SystemClock(), address, method="POST", body=body)
        headers = (("X-Attempt-Id", request_id), ("X-Own", number))
        req = replace(order.req, request_id=request_id, headers=headers)
        try:
            async with asyncio.timeout(GIVE_UP_S if rng.random() < 0.05 else None):
                answer = await client.send(replace(order, req=req))
                return answer.status, await answer.read()
        except (EndpointError, TimeoutError) as exc:
            return exc

    async def _call(self, client, address, rng, endpoint, caller):
        for count in range(REQUESTS):
            request_id = f"own-{caller}-{count}"
            if rng.random() < 0.2:
                request_id = f"shared-{rng.randrange(SHARED_IDS)}"
            for attempt in range(ATTEMPTS):
                number = f"{caller}-{count}-{attempt}"
                got = await self._send(client, address, rng, request_id, number)
                self._check(got, number, endpoint.outcomes.get(number))

    def _check(self, got, number, outcome):
        if isinstance(got, tuple):
            status, body = got
            self.assertTrue(body.startswith(b"attempt %b." % number.encode()), number)
            self.assertEqual({"ran": 200, "failed": 500}.get(outcome), status, number)
        elif getattr(got, "verdict", None) is Verdict.NOT_RUN:
            self.assertIn(outcome, NOT_RUN, (number, repr(got)))

    async def test_no_attempt_gets_the_answer_or_the_refusal_of_another(self):
        for seed in (1, 2):
            rng = random.Random(seed)
            endpoint = _RandomEndpoint(rng)
            server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            client = PlatformEndpoints(SystemClock())
            calls = [
                self._call(client, address, rng, endpoint, caller)
                for caller in range(CALLERS)
            ]
            try:
                await asyncio.gather(*calls)
            finally:
                await client.close()
                server.close()
