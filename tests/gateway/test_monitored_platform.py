"""Tests of tracking the availability of the platform."""

from radishshift.errors import PlatformUnavailableError
from radishshift.gateway.monitored_platform import MonitoredPlatform
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from radishshift.virtual_time import LoopClock
from tests.cases import VirtualTestCase


class MonitoredPlatformTest(VirtualTestCase):
    async def test_outage_and_recovery_are_recorded(self):
        clock = LoopClock()
        connection = FaultyPlatform(MemoryPlatform(), clock)
        platform = MonitoredPlatform(connection, clock)
        await platform.list_all(Kind.ENDPOINT)
        self.assertEqual(
            (None, None), (platform.unavailable_since, platform.recovered_at)
        )
        connection.faults.down = True
        outage_began = clock.now()
        for _ in range(3):
            await self.assert_raises_async(
                PlatformUnavailableError, platform.list_all(Kind.ENDPOINT)
            )
            await clock.sleep_until(clock.now() + 1.0)
        self.assertEqual(outage_began, platform.unavailable_since)
        connection.faults.down = False
        await platform.list_all(Kind.ENDPOINT)
        self.assertIsNone(platform.unavailable_since)
        self.assertEqual(outage_began + 3.0, platform.recovered_at)
