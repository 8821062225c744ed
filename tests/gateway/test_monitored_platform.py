"""Tests of noticing that the platform is lost and regained."""

from radishshift.errors import PlatformUnavailableError
from radishshift.gateway.monitored_platform import MonitoredPlatform
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from radishshift.virtual_time import LoopClock
from tests.cases import VirtualTestCase


class MonitoredPlatformTest(VirtualTestCase):
    async def test_losses_and_returns_are_kept(self):
        clock = LoopClock()
        way = FaultyPlatform(MemoryPlatform(), clock)
        platform = MonitoredPlatform(way, clock)
        await platform.list_all(Kind.ENDPOINT)
        self.assertEqual(
            (None, None), (platform.unavailable_since, platform.recovered_at)
        )
        way.faults.down = True
        lost_at = clock.now()
        for _ in range(3):
            await self.assert_raises_async(
                PlatformUnavailableError, platform.list_all(Kind.ENDPOINT)
            )
            await clock.sleep_until(clock.now() + 1.0)
        self.assertEqual(lost_at, platform.unavailable_since)
        way.faults.down = False
        await platform.list_all(Kind.ENDPOINT)
        self.assertIsNone(platform.unavailable_since)
        self.assertEqual(lost_at + 3.0, platform.recovered_at)
