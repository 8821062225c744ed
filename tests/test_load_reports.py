"""Tests of load reports and cache events."""

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
    def test_what_was_sent_is_taken_as_cached_until_it_is_dropped(self):
        caches = PrefixCaches()
        self.assertFalse(caches.seen(7))
        caches.record_sent(7, "engine-1")
        self.assertTrue(caches.seen(7))
        self.assertEqual({"engine-1"}, caches.holders(7))
        caches.apply_event("engine-1", 1, 7, False)
        self.assertEqual(frozenset(), caches.holders(7))

    def test_after_a_gap_nothing_is_known_of_an_endpoint(self):
        caches = PrefixCaches()
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, True)
        caches.apply_event("engine-1", 5, 8, True)
        self.assertEqual(frozenset(), caches.holders(7))

    def test_an_event_that_comes_twice_does_nothing(self):
        caches = PrefixCaches()
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, False)
        caches.record_sent(7, "engine-1")
        caches.apply_event("engine-1", 1, 7, False)
        self.assertEqual({"engine-1"}, caches.holders(7))

    def test_memory_is_bounded(self):
        caches = PrefixCaches(bound=2)
        for prefix in range(5):
            caches.record_sent(prefix, "engine-1")
        known = [prefix for prefix in range(5) if caches.holders(prefix)]
        self.assertEqual([3, 4], known)


class LoadReportsTest(TestCase):
    def test_nonsense_is_no_report(self):
        for data in (b"", b"[]", b"\xff", b'{"running":-1}', b'{"age_s":-5}'):
            self.assertIsNone(parse_load_response(data), data)

    async def reports(self, session, address):
        self.loads = EndpointLoads()
        self.caches = PrefixCaches()
        found = Endpoint("engine-1", address, "mbeya", frozenset({"a"}), 8, False)
        self.endpoint = found
        clock = ManualClock()
        return LoadReportPoller(
            session, clock, "entry-1", self.loads, self.caches, lambda: [found]
        )

    async def test_an_engine_is_asked_for_its_load_and_its_cache(self):
        engine = StandinEngine("engine-1", frozenset({"a"}))
        async with (
            listening(engine.app()) as url,
            aiohttp.ClientSession() as session,
        ):
            reports = await self.reports(session, url)
            engine.in_flight = 4
            engine.cache.use(f"{7:016x}")
            self.caches.record_sent(7, "elsewhere")
            await reports.poll_all()
        candidate = next(self.loads.candidates([self.endpoint], 1_000_000.0))
        self.assertEqual(0.5, candidate.load)
        self.assertEqual({"elsewhere", "engine-1"}, self.caches.holders(7))

    async def test_an_engine_without_reports_is_left_alone(self):
        asked = []

        async def refuse(request):
            asked.append(request.path)
            raise web.HTTPNotFound

        app = web.Application()
        app.router.add_get("/v1/load", refuse)
        async with listening(app) as url, aiohttp.ClientSession() as session:
            reports = await self.reports(session, url)
            await reports.poll_all()
            await reports.poll_all()
        self.assertEqual(["/v1/load"], asked)

    async def test_an_engine_that_is_away_is_no_error(self):
        async with aiohttp.ClientSession() as session:
            reports = await self.reports(session, "http://127.0.0.1:1")
            await reports.poll_all()
        candidate = next(self.loads.candidates([self.endpoint], 0.0))
        self.assertEqual(0.0, candidate.load)

    async def test_an_engine_that_starts_anew_has_an_empty_cache(self):
        async with aiohttp.ClientSession() as session:
            reports = await self.reports(session, "")
        self.caches.record_sent(7, "engine-1")
        old = LoadResponse(cache_events=[(90, f"{7:x}", 1)])
        new = LoadResponse(cache_events=[(1, f"{8:x}", 1)])
        reports.record_response("engine-1", old, 0.0)
        reports.record_response("engine-1", new, 1.0)
        self.assertEqual(frozenset(), self.caches.holders(7))
