"""Tests of storing the parts of prompts that crash endpoints at the platform."""

import asyncio

from radishshift.decisions.crashes import (
    CRASH_RETENTION_S,
    CRASHES_TO_BLOCK_REQUEST,
    Traits,
)
from radishshift.gateway.blocked_part_duty import (
    MAX_BLOCKED_REQUESTS,
    REQUEST_SETTLE_S,
    BlockedPartDuty,
)
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from radishshift.standins.faulty import FaultyPlatform
from radishshift.watching import follow_kind
from tests.cases import VirtualTestCase
from tests.gateway.test_gossip import _Host
from tests.gateway.worlds import Script, World, route

BAD = Traits("rnew", ("pshared", "pbad"))


class _Fleet:
    """Hosts that follow one platform and gossip with each other."""

    def __init__(self, count):
        self.platform = MemoryPlatform()
        self.hosts = []
        self.connections = []
        self.tasks = []
        for number in range(1, count + 1):
            self.add_host(f"edge-{number}")
        self.tasks.append(asyncio.create_task(self._gossip()))

    def add_host(self, name):
        host = _Host(name, World([route()], {"a": [Script()]}))
        world = host.world
        connection = FaultyPlatform(self.platform, world.clock)
        self.hosts.append(host)
        self.connections.append(connection)

        def take_over():
            world.suspects.set_stored(world.host_view.blocked_parts)

        async def follow():
            kind = Kind.BLOCKED_PART
            async for update in follow_kind(connection, kind, world.clock):
                world.host_view.apply(kind, update)
                take_over()

        duty = BlockedPartDuty(
            name,
            connection,
            world.clock,
            world.host_view,
            world.suspects,
            host.gossip,
            take_over,
        )
        self.tasks.append(asyncio.create_task(duty.run()))
        self.tasks.append(asyncio.create_task(follow()))

    async def _gossip(self):
        while True:
            for one in self.hosts:
                for two in self.hosts:
                    if one is not two:
                        one.receive_from(two)
            await asyncio.sleep(0.5)

    def crash_endpoints(self):
        """Record crashes at several hosts, which only together show the part."""
        for number in range(3):
            world = self.hosts[number % len(self.hosts)].world
            now = world.clock.now() - 0.3 * number
            traits = Traits(f"r{number}", BAD.parts)
            world.suspects.record_crash(f"endpoint-{number}@1", traits, True, now)

    async def stored(self):
        listing = await self.platform.list_all(Kind.BLOCKED_PART)
        return [item.name for item in listing.items]

    def stop(self):
        for task in self.tasks:
            task.cancel()


class BlockedPartDutyTest(VirtualTestCase):
    def _fleet(self, count=3):
        fleet = _Fleet(count)
        self.addCleanup(fleet.stop)
        return fleet

    async def test_a_request_that_crashes_endpoints_is_held_after_all_restart(self):
        """Guards rule BUDGET: all hosts forgot it when all of them were killed."""
        fleet = _Fleet(2)
        traits = Traits("rbad")
        for number in range(CRASHES_TO_BLOCK_REQUEST):
            world = fleet.hosts[number].world
            name = f"endpoint-{number}@1"
            world.suspects.record_crash(name, traits, True, world.clock.now())
        await asyncio.sleep(REQUEST_SETTLE_S - 0.5)
        self.assertEqual([], await fleet.stored())
        await asyncio.sleep(5.0)
        self.assertEqual(["rbad"], await fleet.stored())
        fleet.stop()
        fleet.hosts.clear()
        fleet.add_host("edge-3")
        await asyncio.sleep(0.5)
        world = fleet.hosts[0].world
        self.assertEqual("rbad", world.suspects.blocking(traits, world.clock.now()))
        world.suspects.record_sound(traits, world.clock.now())
        await asyncio.sleep(5.0)
        self.assertEqual([], await fleet.stored())
        fleet.stop()

    async def test_requests_leave_room_for_parts(self):
        fleet = _Fleet(1)
        world = fleet.hosts[0].world
        for number in range(2 * (MAX_BLOCKED_REQUESTS + 10)):
            name = f"endpoint-{number}@1"
            traits = Traits(f"r{number // 2}")
            world.suspects.record_crash(name, traits, True, world.clock.now())
        await asyncio.sleep(60.0)
        stored = len(await fleet.stored())
        self.assertTrue(0 < stored <= MAX_BLOCKED_REQUESTS, stored)
        fleet.stop()

    async def test_a_part_is_stored_once_and_known_to_a_host_that_starts(self):
        fleet = self._fleet()
        await asyncio.sleep(1)
        fleet.crash_endpoints()
        await asyncio.sleep(5)
        self.assertEqual(["pbad"], await fleet.stored())
        self.assertEqual(1, sum(connection.writes for connection in fleet.connections))
        for task in fleet.tasks:
            task.cancel()
        fleet.hosts.clear()
        fleet.add_host("edge-9")
        await asyncio.sleep(0.1)
        suspects = fleet.hosts[0].world.suspects
        now = fleet.hosts[0].world.clock.now()
        self.assertEqual("pbad", suspects.blocking(BAD, now))

    async def test_a_part_is_stored_by_a_host_that_can_write(self):
        fleet = self._fleet()
        await asyncio.sleep(1)
        fleet.connections[0].faults.down = True
        fleet.crash_endpoints()
        await asyncio.sleep(5)
        self.assertEqual(["pbad"], await fleet.stored())

    async def test_a_write_whose_reply_was_lost_is_read_back(self):
        fleet = self._fleet(1)
        await asyncio.sleep(1)
        fleet.connections[0].faults.lost_replies = 1
        fleet.crash_endpoints()
        await asyncio.sleep(5)
        self.assertEqual(["pbad"], await fleet.stored())
        self.assertEqual(1, fleet.connections[0].writes)

    async def test_a_part_that_had_a_sound_answer_since_is_deleted(self):
        fleet = self._fleet()
        await asyncio.sleep(1)
        fleet.crash_endpoints()
        await asyncio.sleep(5)
        world = fleet.hosts[1].world
        world.suspects.record_sound(BAD, world.clock.now())
        await asyncio.sleep(5)
        self.assertEqual([], await fleet.stored())
        for host in fleet.hosts:
            now = host.world.clock.now()
            self.assertEqual("", host.world.suspects.blocking(BAD, now))

    async def test_a_part_expires(self):
        fleet = self._fleet(1)
        await asyncio.sleep(1)
        fleet.crash_endpoints()
        await asyncio.sleep(5)
        self.assertEqual(["pbad"], await fleet.stored())
        await asyncio.sleep(CRASH_RETENTION_S)
        self.assertEqual([], await fleet.stored())
