"""Tests of the log of connections that end with requests unanswered."""

import asyncio

import logbook

from radishshift import http_server as web
from radishshift.connection_log import LoggingServer
from tests.cases import TestCase


def _request(request_id, body=b"", length=None):
    length = len(body) if length is None else length
    head = f"POST / HTTP/1.1\r\nHost: x\r\nId: {request_id}\r\nContent-Length: {length}"
    return head.encode() + b"\r\n\r\n" + body


class LoggingServerTest(TestCase):
    async def _states(self, *parts, answers=None, by_host=False):
        """Send parts over one connection, end it, and return what is logged of it."""

        async def handle(request):
            await request.read()
            resp = web.StreamResponse()
            if answers == "begun":
                await resp.prepare(request)
                await resp.write(b"x")
            if answers != "whole":
                await asyncio.Event().wait()
            return web.Response()

        with logbook.TestHandler() as log:
            server = LoggingServer(handle, id_header="Id", handler_cancellation=True)
            listener = await asyncio.get_running_loop().create_server(
                server, "127.0.0.1", 0
            )
            address = listener.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            for part in parts:
                writer.write(part)
            if answers:
                await reader.read(1)
            else:
                await asyncio.sleep(0.1)
            if by_host:
                await server.shutdown(0.01)
            writer.close()
            async with asyncio.timeout(5.0):
                while server.connections:
                    await asyncio.sleep(0.01)
            listener.close()
        return [
            tuple(record.extra[name] for name in ("request_id", "state", "reason"))
            for record in log.records
            if record.message == "connection ended without an answer"
        ]

    async def test_each_request_without_an_answer_is_logged_with_its_state(self):
        left = "closed by the caller"
        self.assertEqual(
            [("a", "in work", left), ("b", "waiting", left)],
            await self._states(_request("a", b"z"), _request("b")),
        )
        self.assertEqual(
            [("a", "receiving its body", left)],
            await self._states(_request("a", b"z", length=9)),
        )
        self.assertEqual(
            [("a", "answer begun", left)],
            await self._states(_request("a"), answers="begun"),
        )

    async def test_the_end_by_the_host_is_told_from_that_by_the_caller(self):
        requests = (_request("a"), _request("b"))
        states = await self._states(*requests, by_host=True)
        self.assertEqual([("b", "waiting", "closed by this host")], states)

    async def test_a_connection_that_ends_after_its_answers_is_not_logged(self):
        self.assertEqual([], await self._states(_request("a"), answers="whole"))
        self.assertEqual([], await self._states())
