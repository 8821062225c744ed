"""Tests of polling for load reports and cache events."""

import aiohttp
from aiohttp import web

from radishshift.clocks import ManualClock
from radishshift.endpoints import Endpoint
from radishshift.listening import listening
from radishshift.load_reports import LoadReportPoller, LoadResponse, parse_load_response
from radishshift.loads import EndpointLoads
from radishshift.prefix_caches import PrefixCaches
from radishshift.standins.engine import StandinEngine
from tests.cases import TestCase


class PrefixCachesTest(TestCase):
    def test_a_sent_prefix_counts_as_cached_until_it_is_dropped(self):
        caches = PrefixCaches()
        self.assertFalse(caches.seen(7))
        caches.record_sent(7, "engine-1")
        self.assertTrue(caches.seen(7))
        self.assertEqual({"engine-1"}, caches.holders(7))
        caches.apply_event("engine-1", 1, 7, False)
        self.assertEqual(frozenset(), caches.holders(7))

    def test_a_gap_in_the_events_clears_an_endpoints_state(self):
        caches = PrefixCaches()
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, True)
        caches.apply_event("engine-1", 5, 8, True)
        self.assertEqual(frozenset(), caches.holders(7))

    def test_a_duplicate_event_is_ignored(self):
        caches = PrefixCaches()
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, False)
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, False)
        self.assertEqual({"engine-1"}, caches.holders(7))

    def test_the_number_of_prefixes_is_bounded(self):
        caches = PrefixCaches(bound=2)
        for prefix in range(5):
            caches.record_sent(prefix, "engine-1")
        known = [prefix for prefix in range(5) if caches.holders(prefix)]
        self.assertEqual([3, 4], known)


class LoadReportPollerTest(TestCase):
    def test_an_invalid_response_is_rejected(self):
        for data in (b"", b"[]", b"\xff", b'{"running":-1}', b'{"age_s":-5}'):
            self.assertIsNone(parse_load_response(data), data)

    async def make_poller(self, session, address):
        self.loads = EndpointLoads()
        self.caches = PrefixCaches()
        listed = Endpoint("engine-1", address, "mbeya", frozenset({"a"}), 8, False)
        self.endpoint = listed
        clock = ManualClock()
        return LoadReportPoller(
            session, clock, "entry-1", self.loads, self.caches, lambda: [listed]
        )

    async def test_load_and_cache_events_are_fetched_from_an_engine(self):
        engine = StandinEngine("engine-1", frozenset({"a"}))
        async with (
            listening(engine.app()) as url,
            aiohttp.ClientSession() as session,
        ):
            poller = await self.make_poller(session, url)
            engine.in_flight = 4
            engine.prefix_cache.use(f"{7:016x}")
            self.caches.record_sent(7, "elsewhere")
            await poller.poll_all()
        candidate = next(self.loads.candidates([self.endpoint], 1_000_000.0))
        self.assertEqual(0.5, candidate.load)
        self.assertEqual({"elsewhere", "engine-1"}, self.caches.holders(7))

    async def test_polling_of_an_engine_without_reports_is_suspended(self):
        requested_paths = []

        async def not_found(request):
            requested_paths.append(request.path)
            raise web.HTTPNotFound

        app = web.Application()
        app.router.add_get("/v1/load", not_found)
        async with listening(app) as url, aiohttp.ClientSession() as session:
            poller = await self.make_poller(session, url)
            await poller.poll_all()
            await poller.poll_all()
        self.assertEqual(["/v1/load"], requested_paths)

    async def test_an_unreachable_engine_raises_no_error(self):
        async with aiohttp.ClientSession() as session:
            poller = await self.make_poller(session, "http://127.0.0.1:1")
            await poller.poll_all()
        candidate = next(self.loads.candidates([self.endpoint], 0.0))
        self.assertEqual(0.0, candidate.load)

    async def test_a_restarted_engine_has_an_empty_cache(self):
        async with aiohttp.ClientSession() as session:
            poller = await self.make_poller(session, "")
        self.caches.record_sent(7, "engine-1")
        old = LoadResponse(cache_events=[(90, f"{7:x}", 1)])
        new = LoadResponse(cache_events=[(1, f"{8:x}", 1)])
        poller.record_response("engine-1", old, 0.0)
        poller.record_response("engine-1", new, 1.0)
        self.assertEqual(frozenset(), self.caches.holders(7))
