"""Tests of the fault injection of `FaultyPlatform`."""

from radishshift.clocks import ManualClock
from radishshift.errors import ConflictError, NotFoundError, PlatformUnavailableError
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform, PlatformFaults
from radishshift.verdicts import Verdict
from tests.cases import TestCase

ITEM = StoredObject(Kind.LEASE, "rollout", {"holder": "mbeya-entry-1"})


def faulty(**faults):
    return FaultyPlatform(
        MemoryPlatform(), ManualClock(), faults=PlatformFaults(**faults)
    )


class FaultyPlatformTest(TestCase):
    async def test_a_platform_that_is_down_has_not_run_a_write(self):
        platform = faulty(down=True)
        exc = await self.assert_raises_async(
            PlatformUnavailableError, platform.create(ITEM)
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_lost_reply_leaves_the_write_in_effect(self):
        platform = faulty(lost_replies=1)
        exc = await self.assert_raises_async(
            PlatformUnavailableError, platform.create(ITEM)
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
        stored = await platform.get(Kind.LEASE, "rollout")
        self.assertEqual(ITEM.spec, stored.spec)

    async def test_a_lost_write_raises_the_same_error_and_has_no_effect(self):
        platform = faulty(lost_writes=1)
        exc = await self.assert_raises_async(
            PlatformUnavailableError, platform.create(ITEM)
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
        await self.assert_raises_async(
            NotFoundError, platform.get(Kind.LEASE, "rollout")
        )

    async def test_an_injected_conflict_affects_one_write(self):
        platform = faulty(conflicts=1)
        await self.assert_raises_async(ConflictError, platform.create(ITEM))
        await platform.create(ITEM)

    async def test_a_skipped_change_is_not_delivered_by_a_watch(self):
        platform = faulty(skipped_changes=1)
        await platform.create(ITEM)
        await platform.create(StoredObject(Kind.LEASE, "ratings"))
        async for change in platform.watch(Kind.LEASE, 0):
            self.assertEqual("ratings", change.item.name)
            break
