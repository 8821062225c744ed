"""Tests of attempts that peers relay, over fleets of 6 to 195 hosts in virtual time."""

import asyncio

from radishshift.gateway.relay_server import MAX_RELAYING
from tests.cases import VirtualTestCase, for_each_fleet
from tests.gateway.networks import Network, now

# Hosts, data centres, endpoints of each data centre and requests a second of each host.
FLEETS = ((6, 3, 2, 4.0), (64, 4, 5, 1.5), (195, 5, 8, 1.0))
CONTACT_S = 3.0  # hosts may take this long to notice that they are cut off
OBSERVED_S = 5.0
MIN_SERVED_RATIO = 2 / 3
MIN_SERVED = 0.95  # of the requests, where peers have capacity to spare


def served_share(hosts, since):
    """Return the share of requests served of those that ended after an instant."""
    statuses = [status for host in hosts for at, status in host.statuses if at >= since]
    return statuses.count(200) / len(statuses)


class RelayFleetTest(VirtualTestCase):
    async def run_fleet(self, fleet, chosen, heal=False):
        """Cut the chosen hosts off; return the network and when the rule applies."""
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(33, hosts, centres, endpoints)
        await network.start()
        await network.load(rate_per_s, 2.0)
        cut_off = [host for host in network.hosts.values() if chosen(host)]
        for host in cut_off:
            host.cut()
        began_at = now()
        await network.load(rate_per_s, CONTACT_S + OBSERVED_S)
        if heal:
            for host in cut_off:
                host.heal()
            await network.load(rate_per_s, 2.0)
            self.relayed_before = [host.relays.client.sent for host in cut_off]
            await network.load(rate_per_s, 3.0)
        await network.stop()
        return network, cut_off, began_at + CONTACT_S

    @for_each_fleet(FLEETS)
    async def test_some_hosts_of_each_data_centre_are_cut_off(self, fleet):
        network, cut_off, since = await self.run_fleet(
            fleet, lambda host: int(host.name[5:]) < 3
        )
        others = [host for host in network.hosts.values() if host not in cut_off]
        self.assertGreaterEqual(served_share(cut_off, since), MIN_SERVED, fleet)
        self.assertGreaterEqual(served_share(others, since), MIN_SERVED, fleet)

    @for_each_fleet(FLEETS)
    async def test_a_whole_data_centre_is_cut_off(self, fleet):
        network, cut_off, since = await self.run_fleet(
            fleet, lambda host: host.data_centre == "dc-0"
        )
        others = [host for host in network.hosts.values() if host not in cut_off]
        self.assertGreaterEqual(served_share(cut_off, since), MIN_SERVED, fleet)
        relaying = [host.most_relaying for host in others]
        helping = sum(most > 0 for most in relaying)
        self.assertGreater(helping, len(others) / 2, fleet)

    @for_each_fleet(FLEETS)
    async def test_no_host_is_swamped_when_all_but_two_are_cut_off(self, fleet):
        network, cut_off, since = await self.run_fleet(
            fleet, lambda host: int(host.name[5:]) >= 2
        )
        others = [host for host in network.hosts.values() if host not in cut_off]
        self.assertTrue(any(host.most_relaying for host in others))
        for host in others:
            self.assertLessEqual(host.most_relaying, MAX_RELAYING + 1)
        self.assertGreaterEqual(served_share(others, since), MIN_SERVED, fleet)
        failed = {
            status for host in cut_off for at, status in host.statuses if at >= since
        }
        self.assertLessEqual(failed, {200, 503}, fleet)

    @for_each_fleet(FLEETS[:2])
    async def test_hosts_that_reach_the_endpoints_again_use_them(self, fleet):
        _, cut_off, _ = await self.run_fleet(
            fleet, lambda host: host.data_centre == "dc-0", heal=True
        )
        relayed = [host.relays.client.sent for host in cut_off]
        self.assertEqual(self.relayed_before, relayed, fleet)
        self.assertEqual(0, sum(h.relays.server.in_flight for h in cut_off))

    @for_each_fleet(FLEETS)
    async def test_endpoints_that_are_silent_for_a_second_lose_no_service(self, fleet):
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(7, hosts, centres, endpoints)
        await network.start()
        load = asyncio.create_task(network.load(rate_per_s, 7.0))
        await asyncio.sleep(2.0)
        began_at = now()
        names = sorted(network.centre_of)
        for name in names[: max(2, len(names) // 4)]:
            network.silence(name, 1.0)
            await asyncio.sleep(0.3)
        await load
        await network.stop()
        all_hosts = network.hosts.values()
        self.assertGreaterEqual(served_share(all_hosts, began_at), MIN_SERVED)
        lost = [
            host.name
            for host in all_hosts
            if host.world.dispatcher.services.tracker.lost_services()
        ]
        self.assertEqual([], lost, fleet)

    async def test_an_attempt_is_never_handed_on_twice(self):
        """The only peer that seems to help has just been cut off, too."""
        network = Network(1, 6, 3, 2)
        await network.start()
        await network.load(4.0, 2.0)
        for host in network.hosts.values():
            host.cut()
        began_at = now()
        await network.load(4.0, 4.0)
        await network.stop()
        statuses = {
            status
            for host in network.hosts.values()
            for at, status in host.statuses
            if at >= began_at + CONTACT_S
        }
        self.assertEqual({503}, statuses)
        waiting = sum(h.relays.server.in_flight for h in network.hosts.values())
        self.assertEqual(0, waiting)
