"""Tests of writing the status of roll-outs to the platform."""

import asyncio
from dataclasses import replace

from radishshift.gateway.deployment import RolloutState
from radishshift.gateway.host_view import KINDS
from radishshift.gateway.rollout_duty import RolloutDuty
from radishshift.objects import ERA_REVISIONS, Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from radishshift.watching import follow_kind
from tests.cases import VirtualTestCase
from tests.gateway.test_gossip import _Host
from tests.gateway.worlds import SERVICE, Script, SimpleObjectDecoder, World, route

ORDER = {"order": (SERVICE, "v2", 20.0)}


class _Fleet:
    """Hosts that follow one platform and gossip with each other."""

    def __init__(self, count):
        self.platform = MemoryPlatform()
        self.hosts = []
        self.connections = []
        self.tasks = []
        for number in range(1, count + 1):
            host = _Host(f"edge-{number}", World([route()], {"a": [Script()]}))
            connection = FaultyPlatform(self.platform, host.world.clock)
            self.hosts.append(host)
            self.connections.append(connection)

    async def run(self):
        await self.platform.create(StoredObject(Kind.ROLLOUT, SERVICE, ORDER))
        for host, connection in zip(self.hosts, self.connections, strict=True):
            world = host.world
            duty = RolloutDuty(
                host.settings.host,
                connection,
                SimpleObjectDecoder(),
                world.clock,
                world.host_view,
                world.versions,
                host.gossip,
            )
            self.tasks.append(asyncio.create_task(duty.run()))
            self.tasks.append(asyncio.create_task(self._follow(host, connection)))
        self.tasks.append(asyncio.create_task(self._gossip()))

    async def _follow(self, host, connection):
        assert Kind.ROLLOUT in KINDS
        async for update in follow_kind(connection, Kind.ROLLOUT, host.world.clock):
            host.world.host_view.apply(Kind.ROLLOUT, update)

    async def _gossip(self):
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
        self.assertEqual(2, sum(connection.writes for connection in fleet.connections))

    async def test_a_bad_version_is_rolled_back_by_a_host_that_can_write(self):
        fleet = await self._fleet()
        await asyncio.sleep(2)
        fleet.connections[0].faults.down = True
        for number in range(10):
            fleet.hosts[0].world.versions.record_answer(SERVICE, "v2", "r", number > 7)
        await asyncio.sleep(4)
        self.assertEqual(RolloutState.ROLLED_BACK, await fleet.state())

    async def test_a_write_whose_reply_was_lost_is_read_back(self):
        fleet = await self._fleet(1)
        fleet.connections[0].faults.lost_replies = 1
        await asyncio.sleep(3)
        self.assertEqual(RolloutState.RUNNING, await fleet.state())
        self.assertEqual(1, fleet.connections[0].writes)

    async def test_an_ended_rollout_is_not_written_again(self):
        fleet = await self._fleet(1)
        await asyncio.sleep(1)
        stored = await fleet.platform.get(Kind.ROLLOUT, SERVICE)
        ended = StoredObject(
            Kind.ROLLOUT, SERVICE, ORDER, {"state": "rolled-back"}, stored.revision
        )
        await fleet.platform.update_status(ended)
        await asyncio.sleep(25)
        self.assertEqual(RolloutState.ROLLED_BACK, await fleet.state())

    async def test_a_final_state_that_a_restored_store_lost_is_written_by_one_host(
        self,
    ):
        """All hosts wrote it at once: their turns had begun with the first write."""
        fleet = await self._fleet()
        await asyncio.sleep(25)
        self.assertEqual(RolloutState.COMPLETED, await fleet.state())
        before = sum(connection.writes for connection in fleet.connections)
        fleet.platform.revision += ERA_REVISIONS
        stored = await fleet.platform.get(Kind.ROLLOUT, SERVICE)
        copied = replace(stored, status={"state": "running"})
        await fleet.platform.update_status(copied)
        await asyncio.sleep(3)
        self.assertEqual(RolloutState.COMPLETED, await fleet.state())
        written = sum(connection.writes for connection in fleet.connections) - before
        self.assertEqual(1, written)

    async def test_a_state_is_due_while_the_restored_store_lacks_the_order(self):
        """The duty ended with an error, as the order holds without an object."""
        fleet = await self._fleet(1)
        platform = fleet.platform
        await asyncio.sleep(1)
        self.assertEqual(RolloutState.RUNNING, await fleet.state())
        order = platform._items[Kind.ROLLOUT].pop(SERVICE)
        platform._history.clear()
        platform.revision += ERA_REVISIONS
        platform._oldest_revision = platform.revision
        other = StoredObject(Kind.ROLLOUT, "zz", {"order": ("zz", "v2", 20.0)})
        await platform.create(other)
        await asyncio.sleep(1)
        world = fleet.hosts[0].world
        self.assertIn(SERVICE, world.host_view.rollouts)
        world.versions.due_state = lambda *args, **kwargs: RolloutState.ROLLED_BACK
        await asyncio.sleep(1)
        duty = fleet.tasks[0]
        self.assertFalse(duty.done() and duty.exception())
        await platform.create(order)
        await asyncio.sleep(1)
        self.assertEqual(RolloutState.ROLLED_BACK, await fleet.state())

    async def test_a_rollout_that_is_removed_during_the_write_of_another(self):
        """The duty ended with a `KeyError`, which stops the host."""
        fleet = await self._fleet(1)
        other = StoredObject(Kind.ROLLOUT, "zz", {"order": ("zz", "v2", 20.0)})
        other = await fleet.platform.create(other)
        connection = fleet.connections[0]
        update_status = connection.update_status

        async def update_then_remove(item):
            stored = await update_status(item)
            if item.name == SERVICE:
                await fleet.platform.delete(Kind.ROLLOUT, "zz", other.revision)
                await asyncio.sleep(0.1)
                # As `GatewayHost` does after each change of the view.
                world = fleet.hosts[0].world
                world.versions.update_rollouts(
                    world.host_view.rollouts.values(), world.clock.now()
                )
            return stored

        connection.update_status = update_then_remove
        await asyncio.sleep(1)
        duty = fleet.tasks[0]
        self.assertEqual(RolloutState.RUNNING, await fleet.state())
        self.assertFalse(duty.done() and duty.exception())
