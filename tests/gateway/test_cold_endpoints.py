"""Tests of the requests that cold endpoints get from fleets of 6 to 195 hosts.

The hosts are complete but for their sockets; they run in virtual time.
"""

import asyncio
from bisect import bisect_left
from dataclasses import replace

from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.endpoint_permits import PermitQuestion
from radishshift.objects import Kind, Listing, StoredObject
from tests.cases import VirtualTestCase, for_each_fleet
from tests.gateway.networks import EVENTS, STREAM, Network, now
from tests.gateway.worlds import SERVICE, Script, World, route

# Hosts, data centres, endpoints of each data centre and requests a second of each host.
FLEETS = ((6, 3, 3, 40.0), (64, 4, 6, 8.0), (195, 5, 8, 4.0))
COLD_S = 3.0
COLD_PER_S = 14.0
# What an endpoint may get within a second, over all hosts.
OVERRUN_RATIO, SLACK = 1.5, 5
BOUND = COLD_PER_S * OVERRUN_RATIO + SLACK


def _most_in_a_second(instants):
    return max(
        (
            last - bisect_left(instants, at - 1.0) + 1
            for last, at in enumerate(instants)
        ),
        default=0,
    )


def _return_cold(network, names, left_s=COLD_S):
    """Let endpoints register at all hosts, as cold ones that have just started."""
    for host in network.hosts.values():
        world = host.world
        world.revision += 1
        items = [
            StoredObject(
                Kind.ENDPOINT,
                name,
                {
                    "member": replace(
                        world.member(name, born_ms=2 if name in names else 1),
                        cold_left_s=left_s if name in names else 0.0,
                    )
                },
                {},
                world.revision,
            )
            for name in network.centre_of
        ]
        listing = Listing(tuple(items), world.revision)
        world.host_view.apply(Kind.ENDPOINT, listing)


def _network(seed, fleet):
    hosts, centres, endpoints, _ = fleet
    network = Network(seed, hosts, centres, endpoints)
    for host in network.hosts.values():
        host.world.configure([STREAM], 2, cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
    return network


class ColdEndpointsTest(VirtualTestCase):
    async def _return_under_load(self, fleet, meanwhile=None, seed=1):
        """Return a data centre, cold and idle, in the middle of a load."""
        network = _network(seed, fleet)
        await network.start()
        load = asyncio.create_task(network.load(fleet[3], 8.0))
        await asyncio.sleep(2.0)
        names = {name for name, centre in network.centre_of.items() if centre == "dc-0"}
        _return_cold(network, names)
        began_at = now()
        if meanwhile is not None:
            await meanwhile(network, min(names))
        await load
        await network.stop()
        return network, names, began_at

    def _assert_kept(self, network, names, began_at):
        for name in names:
            cold = [
                at
                for at in network.arrivals.get(name, ())
                if began_at < at < began_at + COLD_S
            ]
            self.assertLessEqual(_most_in_a_second(cold), BOUND, name)

    @for_each_fleet(FLEETS)
    async def test_a_data_centre_returns_cold_under_load(self, fleet):
        network, names, began_at = await self._return_under_load(fleet)
        self._assert_kept(network, names, began_at)
        self.assertEqual({200}, set(network.statuses), fleet)

    async def test_warm_endpoints_get_their_share_within_a_second(self):
        fleet = FLEETS[1]
        network, names, began_at = await self._return_under_load(fleet)
        warm_at = began_at + COLD_S
        arrivals = sum(
            warm_at + 1.0 < at < warm_at + 2.5
            for name in names
            for at in network.arrivals.get(name, ())
        )
        share = fleet[0] * fleet[3] * 1.5 * len(names) / len(network.centre_of)
        self.assertGreater(arrivals, 0.5 * share)

    @for_each_fleet(FLEETS)
    async def test_the_keeper_dies_while_endpoints_are_cold(self, fleet):
        async def kill_keeper(network, name):
            await asyncio.sleep(0.7)
            peers = network.hosts["edge-1"].gossip.peers
            network.kill(peers.keeper(name, network.centre_of[name], now()))

        network, names, began_at = await self._return_under_load(
            fleet, kill_keeper, seed=2
        )
        self._assert_kept(network, names, began_at)

    async def test_two_hosts_that_both_keep_a_budget_stay_within_the_bound(self):
        """Hosts may disagree on the keeper for a while; new budgets start empty."""
        network = _network(3, FLEETS[0])
        await network.start()
        await network.stop()
        _return_cold(network, {"0-0"})
        granted = 0
        for host in network.hosts.values():
            host.permits._keeps_budget = lambda *_: True
            question = PermitQuestion("0-0", 2, "dc-0", COLD_PER_S)
            granted += sum(not host.permits.grant(question) for _ in range(50))
        self.assertEqual(0, granted)

    async def test_all_endpoints_are_cold(self):
        """Hosts use the budgets up, and reject the rest with a time to come back."""
        network = _network(4, FLEETS[0])
        await network.start()
        names = set(network.centre_of)
        _return_cold(network, names, left_s=30.0)
        began_at = now()
        await network.load(60.0, 6.0)
        await network.stop()
        for name in names:
            self.assertLessEqual(_most_in_a_second(network.arrivals[name]), BOUND)
        used = sum(
            at > began_at + 1.0 for name in names for at in network.arrivals[name]
        )
        self.assertGreater(used, 0.7 * 5.0 * COLD_PER_S * len(names))
        self.assertEqual({200, 503}, set(network.statuses))


class ColdEvidenceTest(VirtualTestCase):
    async def test_a_slow_start_is_no_evidence_against_a_version(self):
        slow = [Script(events=EVENTS, first_s=2.0)]
        world = World([route(RouteKind.STREAM)], {"a": slow})
        world.list_members(["a"], cold_left_s=5.0)
        view = world.placer.view(world.member("a"))
        times = []
        world.versions.record_time = lambda *args: times.append(args)
        self.assertEqual(200, (await world.send_request()).status)
        self.assertEqual((1.0, []), (view.latency_ratio, times))
        await asyncio.sleep(5.0)
        self.assertEqual(200, (await world.send_request(2)).status)
        self.assertTrue(times)

    async def test_endpoints_of_an_emptied_data_centre_are_cold_when_it_returns(self):
        """Their registrations do not say so yet."""
        world = World([route()], {"a": [Script()]})
        world.configure([route()], 2, cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
        endpoint = world.member("a").incarnation
        world.evacuate("mbeya")
        self.assertIsNone(world.host_view.cold_per_s(endpoint))
        world.evacuate()
        self.assertEqual(COLD_PER_S, world.host_view.cold_per_s(endpoint))
        await asyncio.sleep(COLD_S + 0.1)
        self.assertIsNone(world.host_view.cold_per_s(endpoint))
        self.assertEqual(["a"], [m.name for m in world.host_view.members_of(SERVICE)])
