"""Tests of the HTTP client of endpoints."""

import aiohttp
from aiohttp import web

from radishshift.clocks import SystemClock
from radishshift.contracts import Contract, Limits, Objectives, TaskClass
from radishshift.endpoints import Endpoint
from radishshift.engines import open_engine_client
from radishshift.errors import AnswerTooLargeError, DeadlineError, EndpointError
from radishshift.listening import listening
from radishshift.requests import ServiceCall
from radishshift.verdicts import Verdict
from tests.cases import TestCase

LIMITS = Limits(1.0, 1.0, 1)
CONTRACT = Contract("uyole-ring", (), frozenset(), 1.0, LIMITS, {}, "booking")
BOOKING = TaskClass("booking", 1, 20.0, False, Objectives(1.0, 1.0, 1.0, 0.99))


def make_call(method, path, deadline_s=5.0, idempotent=False):
    now = SystemClock().now()
    return ServiceCall(
        request_id="id-1",
        contract=CONTRACT,
        task_class=BOOKING,
        service="booking-desk",
        method=method,
        path=path,
        headers={},
        body=b"{}",
        idempotent=idempotent,
        arrived=now,
        deadline=now + deadline_s,
        idempotency_key="key-1",
    )


class FaultyService:
    """A service with faulty paths that counts the calls it gets."""

    def __init__(self):
        self.ran = 0

    async def lose(self, request):
        await request.read()
        self.ran += 1
        request.transport.abort()
        raise ConnectionResetError

    async def move(self, request):
        self.ran += 1
        raise web.HTTPTemporaryRedirect("/moved")

    async def flood(self, _):
        return web.Response(body=b"x" * 5000)

    async def stall(self, request):
        await request.loop.create_future()

    def app(self):
        app = web.Application()
        for path in ("lose", "move", "flood", "stall"):
            app.router.add_route("*", f"/{path}", getattr(self, path))
        return app


class ServiceCallsTest(TestCase):
    async def call(self, faulty_service, call):
        clock = SystemClock()
        async with (
            listening(faulty_service.app(), shutdown_timeout=0.1) as address,
            open_engine_client(clock, 0.5, 0.5, 2000) as engines,
        ):
            endpoint = Endpoint("desk-1", address, "mbeya", frozenset(), 1, False)
            return await engines.call(endpoint, call)

    async def test_the_http_client_retries_no_method(self):
        """Guards against aiohttp retrying PUT and DELETE when the connection fails."""
        for method in ("POST", "PUT", "DELETE"):
            faulty_service = FaultyService()
            exc = await self.assert_raises_async(
                EndpointError, self.call(faulty_service, make_call(method, "/lose"))
            )
            self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
            self.assertEqual(1, faulty_service.ran)

    async def test_a_redirect_is_not_followed(self):
        """Guards against sending a call to any address an endpoint redirects to."""
        faulty_service = FaultyService()
        reply = await self.call(faulty_service, make_call("POST", "/move"))
        self.assertEqual(307, reply.status)
        self.assertEqual(1, faulty_service.ran)

    async def test_the_answer_size_is_limited(self):
        await self.assert_raises_async(
            AnswerTooLargeError, self.call(FaultyService(), make_call("GET", "/flood"))
        )

    async def test_a_call_ends_at_its_deadline(self):
        exc = await self.assert_raises_async(
            DeadlineError, self.call(FaultyService(), make_call("POST", "/stall", 0.1))
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
        exc = await self.assert_raises_async(
            DeadlineError, self.call(FaultyService(), make_call("POST", "/stall", -1.0))
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_call_without_a_connection_has_not_run(self):
        clock = SystemClock()
        async with open_engine_client(clock, 0.5, 0.5, 2000) as engines:
            endpoint = Endpoint(
                "gone", "http://127.0.0.1:9", "mbeya", frozenset(), 1, False
            )
            call = engines.call(endpoint, make_call("POST", "/lose"))
            exc = await self.assert_raises_async(EndpointError, call)
            self.assertIs(Verdict.NOT_RUN, exc.verdict)
            self.assertIsInstance(exc.__cause__, aiohttp.ClientConnectorError)
