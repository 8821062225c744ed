"""Tests of leases stored at the platform."""

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
        self.platform_clients = [
            FaultyPlatform(self.platform, self.clock) for _ in range(2)
        ]
        self.a, self.b = (
            Lease("duty", name, client, self.clock)
            for name, client in zip(("a/1", "b/1"), self.platform_clients, strict=True)
        )

    async def test_only_one_of_two_contenders_acquires_the_lease(self):
        self.assertTrue(await self.a.acquire_or_renew())
        self.assertFalse(await self.b.acquire_or_renew())

    async def test_the_lease_of_a_dead_holder_passes_on_with_a_higher_fencing_token(
        self,
    ):
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.clock.advance(LEASE_DURATION_S)
        self.assertTrue(await self.b.acquire_or_renew())
        self.assertGreater(self.b.fencing_number, self.a.fencing_number)

    async def test_a_holder_paused_past_expiry_no_longer_holds_the_lease(self):
        """A host paused for longer than its lease resumes and tries to renew it."""
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.clock.advance(LEASE_DURATION_S)
        self.assertFalse(self.a.is_held(self.clock.now()))
        await self.b.acquire_or_renew()
        self.assertFalse(await self.a.acquire_or_renew())

    async def test_two_hosts_never_hold_the_lease_at_the_same_time(self):
        """The contender keeps polling while the holder is cut off."""
        await self.a.acquire_or_renew()
        self.platform_clients[0].faults.down = True
        for _ in range(60):
            await self.clock.advance(0.5)
            await self.b.acquire_or_renew()
            now = self.clock.now()
            self.assertFalse(self.a.is_held(now) and self.b.is_held(now))
        self.assertTrue(self.b.is_held(self.clock.now()))

    async def test_a_write_whose_reply_was_lost_is_read_back(self):
        self.platform_clients[0].faults.lost_replies = 1
        self.assertTrue(await self.a.acquire_or_renew())
        stored = await self.platform.get(Kind.LEASE, "duty")
        self.assertEqual(stored.revision, self.a.fencing_number)

    async def test_renewals_keep_the_fencing_token(self):
        await self.a.acquire_or_renew()
        number = self.a.fencing_number
        await self.clock.advance(RENEWAL_INTERVAL_S)
        await self.a.acquire_or_renew()
        self.assertEqual(number, self.a.fencing_number)

    async def test_a_released_lease_can_be_acquired_at_once(self):
        await self.a.acquire_or_renew()
        await self.b.acquire_or_renew()
        await self.a.release()
        self.assertTrue(await self.b.acquire_or_renew())
