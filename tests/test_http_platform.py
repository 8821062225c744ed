"""Tests of the client of the platform's object API, with malformed replies."""

import aiohttp
from aiohttp import web

from radishshift.errors import PlatformUnavailableError
from radishshift.http_platform import HttpPlatform
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.verdicts import Verdict
from tests.cases import TestCase
from tests.raw_endpoints import RawEndpoint

REPLIES = (
    b"{",
    b'{"metadata": {"resourceVersion": "x"}, "items": []}',
    b'{"type": "ADDED", "object": {"metadata": {"resourceVersion": "x"}}}',
    b'{"type": "ODD", "object": {"metadata": {}}}',
)


class MalformedReplyTest(TestCase):
    """An error of decoding ended the task that followed a kind, without a log line."""

    async def _errors(self, reply):
        """Return the errors of a read, a write and a watch that get this reply."""

        async def handle(request):
            return web.Response(body=reply)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        errors = []
        async with listening(app) as address, aiohttp.ClientSession() as session:
            platform = HttpPlatform(session, address, "edge-1", 1.0)
            item = StoredObject(Kind.ENTRY, "x", {"a": 1}, revision=1)
            for call in (
                platform.list_all(Kind.ENTRY),
                platform.update(item),
                anext(platform.watch(Kind.ENTRY, 1)),
            ):
                try:
                    await call
                except PlatformUnavailableError as exc:
                    errors.append(exc.verdict)
        return errors

    async def test_a_malformed_reply_is_an_error_of_the_platform(self):
        for reply in REPLIES:
            verdicts = await self._errors(reply)
            self.assertEqual(3, len(verdicts), reply)
            self.assertEqual(Verdict.MAY_HAVE_RUN, verdicts[1], reply)


class StatusTest(TestCase):
    async def test_a_status_below_100_is_no_reply(self):
        """A deletion that the platform answered 000 counted as done."""
        body = b'{"metadata": {"name": "x", "resourceVersion": "2"}}'
        item = StoredObject(Kind.ENTRY, "x", revision=1)
        for status in (b"000", b"099"):
            head = b"HTTP/1.1 %b x\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            async with (
                RawEndpoint(head + body).listening() as server,
                aiohttp.ClientSession() as session,
            ):
                platform = HttpPlatform(session, f"http://{server.address}", "e", 1.0)
                for call in (
                    platform.get(Kind.ENTRY, "x"),
                    platform.update(item),
                    platform.delete(Kind.ENTRY, "x", 1),
                ):
                    await self.assert_raises_async(PlatformUnavailableError, call)
