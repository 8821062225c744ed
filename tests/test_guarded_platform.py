"""Tests of the platform client's rate limits, circuit breaker and verified writes."""

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
        self.faulty = FaultyPlatform(MemoryPlatform(), self.clock)
        rates = {Kind.SHARE: CallRate(calls_per_s=2.0, burst=2.0)}
        self.platform = GuardedPlatform(self.faulty, self.clock, Random(1), rates)

    async def _assert_calls_fail(self, times):
        for _ in range(times):
            await self.assert_raises_async(
                PlatformUnavailableError, self.platform.list_all(Kind.HOST)
            )

    async def test_during_an_outage_calls_fail_fast_after_the_circuit_opens(self):
        self.faulty.faults.down = True
        await self._assert_calls_fail(100)
        self.assertEqual(FAILURES_TO_OPEN, self.faulty.calls)
        exc = await self.assert_raises_async(
            PlatformUnavailableError, self.platform.list_all(Kind.HOST)
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        self.assertGreater(exc.retry_after_s, 0)

    async def test_an_open_circuit_probes_until_the_platform_recovers(self):
        self.faulty.faults.down = True
        await self._assert_calls_fail(FAILURES_TO_OPEN)
        for _ in range(40):
            await self.clock.advance(1.0)
            await self._assert_calls_fail(3)
        self.assertLess(self.faulty.calls, 20)
        self.faulty.faults.down = False
        await self.clock.advance(MAX_OPEN_S)
        for _ in range(10):
            await self.platform.list_all(Kind.HOST)

    async def test_a_kind_over_its_rate_limit_does_not_affect_other_kinds(self):
        for _ in range(2):
            await self.platform.list_all(Kind.SHARE)
        self.platform.breaker.check(self.clock.now())
        bucket = self.platform._buckets[Kind.SHARE]
        bucket.tokens = -5.0
        exc = await self.assert_raises_async(
            PlatformUnavailableError, self.platform.list_all(Kind.SHARE)
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        await self.platform.list_all(Kind.HOST)

    async def test_a_conflict_counts_as_a_success_for_the_circuit_breaker(self):
        item = StoredObject(Kind.SHARE, "a")
        await self.platform.create(item)
        self.platform.breaker.failures = FAILURES_TO_OPEN - 1
        with self.assertRaisesRegex(Exception, "exists"):
            await self.platform.create(item)
        self.assertEqual(0, self.platform.breaker.failures)


class WriteAndVerifyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.inner = MemoryPlatform()
        self.faulty = FaultyPlatform(self.inner, ManualClock())
        self.item = StoredObject(Kind.SHARE, "a", {"writer": "me", "number": 1})

    async def test_a_write_with_a_lost_reply_succeeds(self):
        self.faulty.faults.lost_replies = 1
        stored = await write_and_verify(self.faulty, self.item)
        self.assertEqual(await self.inner.get(Kind.SHARE, "a"), stored)

    async def test_a_lost_write_has_the_verdict_may_have_run(self):
        self.faulty.faults.lost_writes = 1
        exc = await self.assert_raises_async(
            PlatformUnavailableError, write_and_verify(self.faulty, self.item)
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)

    async def test_a_write_by_another_writer_is_a_conflict(self):
        stored = await write_and_verify(self.faulty, self.item)
        other = StoredObject(Kind.SHARE, "a", {"writer": "other"}, {}, stored.revision)
        await self.inner.update(other)
        mine = StoredObject(
            Kind.SHARE, "a", {"writer": "me", "number": 2}, {}, stored.revision
        )
        await self.assert_raises_async(
            ConflictError, write_and_verify(self.faulty, mine)
        )
