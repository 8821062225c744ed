"""Tests of the client of endpoints."""

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


def call_of(method, path, deadline_s=5.0, idempotent=False):
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


class Desk:
    """A service that counts what reaches it."""

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
    async def call(self, desk, call):
        clock = SystemClock()
        async with (
            listening(desk.app(), shutdown_timeout=0.1) as address,
            open_engine_client(clock, 0.5, 0.5, 2000) as engines,
        ):
            endpoint = Endpoint("desk-1", address, "mbeya", frozenset(), 1, False)
            return await engines.call(endpoint, call)

    async def test_no_method_is_sent_again_by_the_http_client(self):
        """The client sent PUT and DELETE calls again when the connection broke."""
        for method in ("POST", "PUT", "DELETE"):
            desk = Desk()
            exc = await self.assert_raises_async(
                EndpointError, self.call(desk, call_of(method, "/lose"))
            )
            self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
            self.assertEqual(1, desk.ran)

    async def test_a_redirect_is_not_followed(self):
        """The client sent a call on to wherever an endpoint pointed."""
        desk = Desk()
        reply = await self.call(desk, call_of("POST", "/move"))
        self.assertEqual(307, reply.status)
        self.assertEqual(1, desk.ran)

    async def test_an_answer_is_bounded(self):
        await self.assert_raises_async(
            AnswerTooLargeError, self.call(Desk(), call_of("GET", "/flood"))
        )

    async def test_the_deadline_bounds_a_call(self):
        exc = await self.assert_raises_async(
            DeadlineError, self.call(Desk(), call_of("POST", "/stall", 0.1))
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
        exc = await self.assert_raises_async(
            DeadlineError, self.call(Desk(), call_of("POST", "/stall", -1.0))
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_call_that_met_no_endpoint_has_not_run(self):
        clock = SystemClock()
        async with open_engine_client(clock, 0.5, 0.5, 2000) as engines:
            endpoint = Endpoint(
                "gone", "http://127.0.0.1:9", "mbeya", frozenset(), 1, False
            )
            call = engines.call(endpoint, call_of("POST", "/lose"))
            exc = await self.assert_raises_async(EndpointError, call)
            self.assertIs(Verdict.NOT_RUN, exc.verdict)
            self.assertIsInstance(exc.__cause__, aiohttp.ClientConnectorError)
