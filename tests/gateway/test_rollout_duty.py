"""Tests of telling the platform how far a roll-out is."""

import asyncio

from radishshift.gateway.deployment import RolloutState
from radishshift.gateway.host_view import KINDS
from radishshift.gateway.rollout_duty import RolloutDuty
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from radishshift.watching import follow_kind
from tests.cases import VirtualTestCase
from tests.gateway.test_gossip import _Host
from tests.gateway.worlds import SERVICE, Script, SimpleDocuments, World, route

ORDER = {"order": (SERVICE, "v2", 20.0)}


class _Fleet:
    """Hosts that follow one platform and tell each other of themselves."""

    def __init__(self, count):
        self.platform = MemoryPlatform()
        self.hosts = []
        self.ways = []
        self.tasks = []
        for number in range(1, count + 1):
            host = _Host(f"edge-{number}", World([route()], {"a": [Script()]}))
            way = FaultyPlatform(self.platform, host.world.clock)
            self.hosts.append(host)
            self.ways.append(way)

    async def run(self):
        await self.platform.create(StoredObject(Kind.ROLLOUT, SERVICE, ORDER))
        for host, way in zip(self.hosts, self.ways, strict=True):
            world = host.world
            duty = RolloutDuty(
                host.settings.host,
                way,
                SimpleDocuments(),
                world.clock,
                world.host_view,
                world.versions,
                host.gossip,
            )
            self.tasks.append(asyncio.create_task(duty.run()))
            self.tasks.append(asyncio.create_task(self._follow(host, way)))
        self.tasks.append(asyncio.create_task(self._talk()))

    async def _follow(self, host, way):
        assert Kind.ROLLOUT in KINDS
        async for told in follow_kind(way, Kind.ROLLOUT, host.world.clock):
            host.world.host_view.apply(Kind.ROLLOUT, told)

    async def _talk(self):
        while True:
            for one in self.hosts:
                for two in self.hosts:
                    if one is not two:
                        one.receive_from(two)
            await asyncio.sleep(0.5)

    async def state(self):
        return (await self.platform.get(Kind.ROLLOUT, SERVICE)).status.get("state")

    def stop(self):
        for task in self.tasks:
            task.cancel()


class RolloutDutyTest(VirtualTestCase):
    async def _fleet(self, count=3):
        fleet = _Fleet(count)
        self.addCleanup(fleet.stop)
        await fleet.run()
        return fleet

    async def test_a_good_version_is_completed_within_its_time(self):
        fleet = await self._fleet()
        await asyncio.sleep(2)
        self.assertEqual(RolloutState.RUNNING, await fleet.state())
        await asyncio.sleep(17.5)
        self.assertEqual(RolloutState.COMPLETED, await fleet.state())

    async def test_each_state_is_written_once(self):
        fleet = await self._fleet()
        await asyncio.sleep(25)
        self.assertEqual(2, sum(way.writes for way in fleet.ways))

    async def test_a_bad_version_is_rolled_back_by_whoever_can_write(self):
        fleet = await self._fleet()
        await asyncio.sleep(2)
        fleet.ways[0].faults.down = True
        for number in range(10):
            fleet.hosts[0].world.versions.record_answer(SERVICE, "v2", "r", number > 7)
        await asyncio.sleep(4)
        self.assertEqual(RolloutState.ROLLED_BACK, await fleet.state())

    async def test_a_lost_reply_is_settled_by_reading_back(self):
        fleet = await self._fleet(1)
        fleet.ways[0].faults.lost_replies = 1
        await asyncio.sleep(3)
        self.assertEqual(RolloutState.RUNNING, await fleet.state())
        self.assertEqual(1, fleet.ways[0].writes)

    async def test_a_roll_out_that_ended_is_left_alone_by_a_late_host(self):
        fleet = await self._fleet(1)
        await asyncio.sleep(1)
        held = await fleet.platform.get(Kind.ROLLOUT, SERVICE)
        ended = StoredObject(
            Kind.ROLLOUT, SERVICE, ORDER, {"state": "rolled-back"}, held.revision
        )
        await fleet.platform.update_status(ended)
        await asyncio.sleep(25)
        self.assertEqual(RolloutState.ROLLED_BACK, await fleet.state())
