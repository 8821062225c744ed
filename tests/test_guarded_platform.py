"""Tests of the platform client's token buckets and circuit breaker."""

from random import Random

from radishshift.clocks import ManualClock
from radishshift.errors import ConflictError, PlatformUnavailableError
from radishshift.guarded_platform import (
    FAILURES_TO_OPEN,
    MAX_OPEN_S,
    CallRate,
    GuardedPlatform,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.platform_writes import write_and_verify
from radishshift.standins.faulty import FaultyPlatform
from radishshift.verdicts import Verdict
from tests.cases import TestCase


class GuardedPlatformTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.way = FaultyPlatform(MemoryPlatform(), self.clock)
        rates = {Kind.SHARE: CallRate(calls_per_s=2.0, burst=2.0)}
        self.platform = GuardedPlatform(self.way, self.clock, Random(1), rates)

    async def _fail(self, times):
        for _ in range(times):
            await self.assert_raises_async(
                PlatformUnavailableError, self.platform.list_all(Kind.HOST)
            )

    async def test_an_outage_costs_few_calls_and_refuses_at_once(self):
        self.way.faults.down = True
        await self._fail(100)
        self.assertEqual(FAILURES_TO_OPEN, self.way.calls)
        exc = await self.assert_raises_async(
            PlatformUnavailableError, self.platform.list_all(Kind.HOST)
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        self.assertGreater(exc.retry_after_s, 0)

    async def test_one_trial_at_a_time_until_the_platform_is_back(self):
        self.way.faults.down = True
        await self._fail(FAILURES_TO_OPEN)
        for _ in range(40):
            await self.clock.advance(1.0)
            await self._fail(3)
        self.assertLess(self.way.calls, 20)
        self.way.faults.down = False
        await self.clock.advance(MAX_OPEN_S)
        for _ in range(10):
            await self.platform.list_all(Kind.HOST)

    async def test_a_kind_over_its_rate_is_refused_and_others_are_not(self):
        for _ in range(2):
            await self.platform.list_all(Kind.SHARE)
        self.platform.breaker.check(self.clock.now())
        waits = self.platform._buckets[Kind.SHARE]
        waits.level = -5.0
        exc = await self.assert_raises_async(
            PlatformUnavailableError, self.platform.list_all(Kind.SHARE)
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        await self.platform.list_all(Kind.HOST)

    async def test_a_conflict_is_an_answer(self):
        item = StoredObject(Kind.SHARE, "a")
        await self.platform.create(item)
        self.platform.breaker.failures = FAILURES_TO_OPEN - 1
        with self.assertRaisesRegex(Exception, "exists"):
            await self.platform.create(item)
        self.assertEqual(0, self.platform.breaker.failures)


class WriteSettledTest(TestCase):
    def setUp(self):
        super().setUp()
        self.inner = MemoryPlatform()
        self.way = FaultyPlatform(self.inner, ManualClock())
        self.item = StoredObject(Kind.SHARE, "a", {"writer": "me", "number": 1})

    async def test_a_write_whose_reply_was_lost_has_succeeded(self):
        self.way.faults.lost_replies = 1
        stored = await write_and_verify(self.way, self.item)
        self.assertEqual(await self.inner.get(Kind.SHARE, "a"), stored)

    async def test_a_write_that_was_lost_may_still_come(self):
        self.way.faults.lost_writes = 1
        exc = await self.assert_raises_async(
            PlatformUnavailableError, write_and_verify(self.way, self.item)
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)

    async def test_anothers_write_is_a_conflict(self):
        stored = await write_and_verify(self.way, self.item)
        other = StoredObject(Kind.SHARE, "a", {"writer": "other"}, {}, stored.revision)
        await self.inner.update(other)
        mine = StoredObject(
            Kind.SHARE, "a", {"writer": "me", "number": 2}, {}, stored.revision
        )
        await self.assert_raises_async(ConflictError, write_and_verify(self.way, mine))
