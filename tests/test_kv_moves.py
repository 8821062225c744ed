"""Tests of moving KV caches away from leaving endpoints."""

import aiohttp

from radishshift.catalogue import Catalogue
from radishshift.clocks import SystemClock
from radishshift.endpoints import Endpoint, EndpointState
from radishshift.kv_moves import KvMover
from radishshift.listening import listening
from radishshift.standins.engine import StandinEngine
from tests.cases import TestCase

VERSION = "farm-advice-large.v1"
SLOW_PREFILL = {"kv.prefill-token-s": 0.01}
LONG_PROMPT_TOKENS = 1_000


def _endpoint(name, address="http://127.0.0.1:9", state=EndpointState.LIVE):
    return Endpoint(name, address, "mbeya", frozenset({VERSION}), 8, False, state)


class KvMoverTest(TestCase):
    async def _transfer_twice(self, tokens, values, refuse=False):
        old = StandinEngine("old", frozenset({VERSION}))
        new = StandinEngine("new", frozenset({VERSION}))
        old.kv_cache.cached_tokens[f"{7:016x}"] = tokens
        old.kv_cache.refuse = refuse
        async with (
            listening(old.app()) as old_url,
            listening(new.app()) as new_url,
            aiohttp.ClientSession() as session,
        ):
            mover = KvMover(session, SystemClock())
            source = _endpoint("old", old_url, EndpointState.LEAVING)
            target = _endpoint("new", new_url)
            for _ in range(2):
                has_cache = await mover.transfer(source, target, 7, tokens, values)
        return has_cache, new.kv_cache.imported, mover

    async def test_the_cache_of_a_long_prompt_is_moved_once(self):
        has_cache, imported, mover = await self._transfer_twice(
            LONG_PROMPT_TOKENS, SLOW_PREFILL
        )
        self.assertTrue(has_cache)
        self.assertEqual([f"{7:016x}"], imported)
        self.assertEqual(1, mover.moved)

    async def test_the_cache_of_a_short_prompt_is_not_moved(self):
        has_cache, imported, _ = await self._transfer_twice(2, SLOW_PREFILL)
        self.assertFalse(has_cache)
        self.assertEqual([], imported)

    async def test_a_source_without_the_cache_raises_no_error(self):
        """The leaving endpoint has evicted the cache or has already stopped."""
        has_cache, _, mover = await self._transfer_twice(
            LONG_PROMPT_TOKENS, SLOW_PREFILL, refuse=True
        )
        self.assertFalse(has_cache)
        self.assertGreaterEqual(mover.failed, 1)
        catalogue = Catalogue(
            endpoints={"old": _endpoint("old", state=EndpointState.LEAVING)}
        )
        self.assertIsNone(mover.find_source(catalogue, VERSION, frozenset({"old"})))

    async def test_moves_over_a_slow_link_are_suspended(self):
        """Imports timed out one after another, and every request waited for one."""
        old = StandinEngine("old", frozenset({VERSION}))
        new = StandinEngine("new", frozenset({VERSION}))
        old.kv_cache.export_token_s = 1.0
        clock = SystemClock()
        values = {"kv.prefill-token-s": 0.0004, "kv.import-start-s": 0.0}
        async with (
            listening(old.app(), shutdown_timeout=0.1) as old_url,
            listening(new.app(), shutdown_timeout=0.1) as new_url,
            aiohttp.ClientSession() as session,
        ):
            mover = KvMover(session, clock)
            source = _endpoint("old", old_url, EndpointState.LEAVING)
            target = _endpoint("new", new_url)
            for number in range(20):
                old.kv_cache.cached_tokens[f"{number:016x}"] = 100
                await mover.transfer(source, target, number, 100, values)
        self.assertLess(mover.failed, 10)
        self.assertFalse(mover.is_worthwhile(100, values))

    def test_only_a_leaving_endpoint_is_a_source(self):
        catalogue = Catalogue(
            endpoints={
                "live": _endpoint("live"),
                "old": _endpoint("old", state=EndpointState.LEAVING),
            }
        )
        mover = KvMover(None, SystemClock())
        source = mover.find_source(catalogue, VERSION, frozenset({"old", "gone"}))
        self.assertEqual("old", source.name)
        both = frozenset({"old", "live"})
        self.assertIsNone(mover.find_source(catalogue, VERSION, both))
        self.assertIsNone(mover.find_source(catalogue, "other.v1", frozenset({"old"})))
