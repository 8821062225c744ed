"""Tests of a host's memory and descriptors against callers that do not behave."""

from tests.cases import TestCase
from tests.users_platform.crowds import (
    BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    crowded_host,
    request_head,
)

CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
CHUNKED_HEAD = request_head("POST /book/x", "Transfer-Encoding: chunked")
LARGE_HEAD = request_head("POST /book/x", f"Content-Length: {BODY_BYTES}")
SMALL_HEAD = request_head("POST /book/x", "Content-Length: 1000")
LOOKUP = request_head("GET /check/x")
LARGE_LOOKUP = request_head("GET /check/large")
STREAM = request_head(
    "POST /plan/x", "X-Model: *", "X-Token-Usage: 800,50", "Content-Length: 0"
)
BODY = bytes(BODY_BYTES)
FIELD = b"X-Own-%d: " + b"f" * 8000 + b"\r\n"
LONG_FIELDS = tuple(FIELD % number for number in range(120))

CHUNKED_STOPPED = ([CHUNKED_HEAD, *[CHUNK] * (BODY_BYTES // 0x10000 - 1)], 1)
STATED_STOPPED = ([LARGE_HEAD, BODY[:-1]], 1)
SMALL_STOPPED = ([SMALL_HEAD, bytes(999)], 1)
ENDLESS_HEAD = ([b"GET /check/x HTTP/1.1\r\n", *LONG_FIELDS], 1)
WHOLE_UNREAD = ([LARGE_HEAD, BODY], 1)
POSTS_AHEAD = ([LARGE_HEAD, BODY], 20)
STREAMS_AHEAD = ([STREAM * 50], 1)
LOOKUPS_AHEAD = ([LOOKUP * 100], 100)
LARGE_LOOKUPS_AHEAD = ([LARGE_LOOKUP * 100], 2)
SILENT = ([b""], 1)


class CallerMemoryTest(TestCase):
    """Each crowd ended a host or held what ordinary callers needed."""

    async def _bear(self, *callers):
        async with crowded_host() as host:
            pid = host.pid
            self.assertEqual(200, await host.answer("GET", "/check/x"))
            async with host.crowd(callers):
                lookup = await host.answer("GET", "/check/x")
                large = await host.answer("POST", "/book/x", BODY)
            self.assertEqual((pid, 1), (host.pid, host.process.start_count))
            self.assertEqual((200, 200), (lookup, large))
            self.assertLess(host.peak_bytes, MEMORY_MB * 1_000_000)
            self.assertLessEqual(host.max_open_fds, MAX_FDS)

    async def test_chunked_bodies_that_stop_short_fill_no_memory(self):
        await self._bear(*[CHUNKED_STOPPED] * 150)

    async def test_stated_bodies_that_stop_short_hold_no_room_for_ever(self):
        await self._bear(*[STATED_STOPPED] * 200)

    async def test_many_small_bodies_that_stop_short_leave_descriptors(self):
        await self._bear(*[SMALL_STOPPED] * 900)

    async def test_heads_without_an_end_fill_no_memory(self):
        await self._bear(*[ENDLESS_HEAD] * 150)

    async def test_whole_bodies_whose_answers_are_unread_fill_no_memory(self):
        await self._bear(*[WHOLE_UNREAD] * 300)

    async def test_large_requests_sent_ahead_fill_no_memory(self):
        await self._bear(*[POSTS_AHEAD] * 200)

    async def test_streams_sent_ahead_unread_fill_no_memory(self):
        await self._bear(*[STREAMS_AHEAD] * 380)

    async def test_lookups_sent_ahead_unread_fill_no_memory(self):
        await self._bear(*[LOOKUPS_AHEAD] * 200)

    async def test_large_answers_that_nobody_reads_fill_no_memory(self):
        await self._bear(*[LARGE_LOOKUPS_AHEAD] * 60)

    async def test_a_mixed_crowd_fills_no_memory(self):
        kinds = (
            CHUNKED_STOPPED,
            STATED_STOPPED,
            SMALL_STOPPED,
            ENDLESS_HEAD,
            WHOLE_UNREAD,
            POSTS_AHEAD,
            STREAMS_AHEAD,
            LOOKUPS_AHEAD,
            LARGE_LOOKUPS_AHEAD,
            SILENT,
        )
        await self._bear(*[kind for kind in kinds for _ in range(36)])

    async def test_silent_connections_leave_descriptors(self):
        await self._bear(*[SILENT] * 900)
