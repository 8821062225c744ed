"""Tests of leases at the platform."""

from radishshift.clocks import ManualClock
from radishshift.leases import LEASE_DURATION_S, RENEWAL_INTERVAL_S, Lease
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from tests.cases import TestCase


class LeaseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        self.ways = [FaultyPlatform(self.platform, self.clock) for _ in range(2)]
        self.a, self.b = (
            Lease("duty", name, way, self.clock)
            for name, way in zip(("a/1", "b/1"), self.ways, strict=True)
        )

    async def test_one_holds_and_the_other_waits(self):
        self.assertTrue(await self.a.acquire_or_renew())
        self.assertFalse(await self.b.acquire_or_renew())

    async def test_a_dead_holders_lease_is_taken_over_with_a_higher_number(self):
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.clock.advance(LEASE_DURATION_S)
        self.assertTrue(await self.b.acquire_or_renew())
        self.assertGreater(self.b.fencing_number, self.a.fencing_number)

    async def test_a_holder_that_wakes_after_a_pause_does_not_hold(self):
        """The holder is paused beyond its lease and then acts as if it held it."""
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.clock.advance(LEASE_DURATION_S)
        self.assertFalse(self.a.is_held(self.clock.now()))
        await self.b.acquire_or_renew()
        self.assertFalse(await self.a.acquire_or_renew())

    async def test_two_never_hold_at_one_instant(self):
        """The contender looks as often as it likes while the holder is cut off."""
        await self.a.acquire_or_renew()
        self.ways[0].faults.down = True
        for _ in range(60):
            await self.clock.advance(0.5)
            await self.b.acquire_or_renew()
            now = self.clock.now()
            self.assertFalse(self.a.is_held(now) and self.b.is_held(now))
        self.assertTrue(self.b.is_held(self.clock.now()))

    async def test_a_lost_reply_is_read_back(self):
        self.ways[0].faults.lost_replies = 1
        self.assertTrue(await self.a.acquire_or_renew())
        held = await self.platform.get(Kind.LEASE, "duty")
        self.assertEqual(held.revision, self.a.fencing_number)

    async def test_the_number_stays_through_renewals(self):
        await self.a.acquire_or_renew()
        number = self.a.fencing_number
        await self.clock.advance(RENEWAL_INTERVAL_S)
        await self.a.acquire_or_renew()
        self.assertEqual(number, self.a.fencing_number)

    async def test_a_released_lease_is_free_at_once(self):
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.a.release()
        self.assertTrue(await self.b.acquire_or_renew())
