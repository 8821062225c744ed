"""Tests of endpoints that fall over when they refuse too much, over fleets of hosts.

The hosts are complete but for their sockets; they run in virtual time.
"""

import asyncio

from tests.cases import VirtualTestCase
from tests.gateway.networks import BrittleEndpoint, Network, now

# Hosts, data centres, endpoints of each data centre and requests a second of each host.
FLEETS = ((6, 3, 2, 20.0), (64, 4, 5, 6.0), (195, 5, 8, 4.0))
CONTACT_S = 3.0  # hosts have this long to learn that endpoints are brittle
OBSERVED_S = 5.0
MIN_SERVED_OF_ROOM = 0.5  # of the requests for which there is room


class BrittleEndpointsTest(VirtualTestCase):
    async def run_fleet(self, fleet, stated, seed=33):
        """Overload brittle endpoints; return them and the requests served."""
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(seed, hosts, centres, endpoints)
        await network.start()
        network.brittle = {
            name: BrittleEndpoint(10**6, 6) for name in network.centre_of
        }
        await network.load(rate_per_s / 10, CONTACT_S)
        for brittle in network.brittle.values():
            brittle.stated = stated
        load = asyncio.create_task(network.load(rate_per_s, CONTACT_S + OBSERVED_S))
        await asyncio.sleep(CONTACT_S)
        for brittle in network.brittle.values():
            brittle.falls.clear()
            brittle.room = 4  # they let fewer wait
        since = now()
        await load
        await network.stop()
        served = sum(
            status == 200 and at >= since
            for host in network.hosts.values()
            for at, status in host.statuses
        )
        return network, served

    def check(self, network, fleet, stated):
        falls = sum(len(brittle.falls) for brittle in network.brittle.values())
        self.assertLessEqual(falls, 2 + len(network.brittle) / 10, (fleet, stated))

    async def check_fleet(self, fleet, stated):
        network, served = await self.run_fleet(fleet, stated)
        self.check(network, fleet, stated)
        room = len(network.brittle) * 4 / 0.3 * OBSERVED_S
        self.assertGreater(served, MIN_SERVED_OF_ROOM * room, (fleet, stated))

    async def test_overloaded_endpoints_that_are_brittle_fall_over(self):
        """No host alone knows how many requests of all hosts an endpoint refuses."""
        for stated in (1, 3, 8):
            await self.check_fleet(FLEETS[0], stated)

    async def test_brittle_endpoints_of_64_hosts_fall_over(self):
        await self.check_fleet(FLEETS[1], 3)

    async def test_brittle_endpoints_of_195_hosts_fall_over(self):
        await self.check_fleet(FLEETS[2], 3)
