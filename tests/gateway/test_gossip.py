"""Tests of what hosts tell each other."""

import msgspec

from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.gossip import HOST_TIMEOUT_S, Gossip
from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.objects import Kind
from tests.cases import VirtualTestCase
from tests.gateway.worlds import SERVICE, Script, World, route


class _Host:
    def __init__(self, name, world):
        self.world = world
        self.settings = GatewaySettings(
            name, "10.0.0.1", "mbeya", "", "", "", f"{name}:1", "", ""
        )
        self.world.suspects._host = name
        self.world.versions._host = name
        self.gossip = Gossip(
            self.settings,
            world.clock,
            world.host_view,
            world.placer,
            world.suspects,
            world.versions,
        )

    def receive_from(self, other):
        """Take a note of another host, as it comes over the wire."""
        note = other.gossip._note(self.gossip._note(None))
        self.gossip._take(
            msgspec.json.decode(msgspec.json.encode(note), type=GossipMessage)
        )


def _hosts():
    endpoints = {"a": [Script()], "b": [Script()]}
    return (
        _Host("edge-1", World([route()], endpoints)),
        _Host("edge-2", World([route()], endpoints)),
    )


class ExchangeTest(VirtualTestCase):
    def _order(self, host, began):
        rollout = Rollout(SERVICE, "v2", 20.0, RolloutState.ORDERED, 1)
        host.world.versions.update_rollouts([rollout], began)

    async def test_hosts_know_who_is_in_touch(self):
        one, two = _hosts()
        one.receive_from(two)
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts())
        await one.world.clock.sleep_until(one.world.clock.now() + 10)
        self.assertEqual(["edge-1"], one.gossip.live_hosts())

    async def test_others_load_counts_where_an_endpoint_is_chosen(self):
        one, two = _hosts()
        two.world.placer.view(two.world.member("a")).in_flight = 4
        one.world.placer.view(one.world.member("a"))
        one.receive_from(two)
        one.gossip._share_load()
        view = one.world.placer.view(one.world.member("a"))
        self.assertEqual(4, view.others_load)

    async def test_crashes_of_a_request_add_up(self):
        one, two = _hosts()
        now = one.world.clock.now()
        one.world.suspects.record_crash("poison", now)
        two.world.suspects.record_crash("poison", now)
        one.receive_from(two)
        self.assertTrue(one.world.suspects.poisonous("poison", now))

    async def test_a_version_that_is_bad_by_all_counts_is_stopped_everywhere(self):
        one, two = _hosts()
        now = one.world.clock.now()
        for host in (one, two):
            self._order(host, now)
            for number in range(4):
                host.world.versions.record_answer(SERVICE, "v2", "r", number > 2)
        self.assertFalse(one.world.versions.canaries[SERVICE].stopped)
        one.receive_from(two)
        self.assertTrue(one.world.versions.canaries[SERVICE].stopped)
        two.receive_from(one)
        self.assertTrue(two.world.versions.canaries[SERVICE].stopped)

    async def test_a_host_that_started_late_learns_when_the_order_came(self):
        one, two = _hosts()
        now = one.world.clock.now()
        self._order(one, now - 8.0)
        self._order(two, now)
        two.receive_from(one)
        began = two.world.versions.canaries[SERVICE].began
        self.assertAlmostEqual(now - 8.0, began, places=2)

    async def test_a_host_s_earlier_life_does_not_replace_its_present_one(self):
        one, two = _hosts()
        one.receive_from(two)
        stale = two.gossip._note(None)
        stale.incarnation -= 1000
        stale.load = {"a": 9.0}
        one.gossip._take(stale)
        one.gossip._share_load()
        self.assertEqual(0, one.world.placer.view(one.world.member("a")).in_flight)

    async def test_a_host_is_known_of_through_others(self):
        one, two = _hosts()
        three = _Host("edge-3", World([route()], {"a": [Script()]}))
        two.receive_from(three)
        one.receive_from(two)
        self.assertEqual(["edge-1", "edge-2", "edge-3"], one.gossip.live_hosts())
        await one.world.clock.sleep_until(one.world.clock.now() + HOST_TIMEOUT_S / 2)
        one.receive_from(two)
        await one.world.clock.sleep_until(one.world.clock.now() + HOST_TIMEOUT_S * 0.75)
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts())

    async def test_hosts_that_lost_the_store_are_left_out_unless_all_have(self):
        one, two = _hosts()
        two.gossip.store_lost = lambda: True
        one.receive_from(two)
        self.assertEqual(["edge-1"], one.gossip.live_hosts_with_store())
        one.gossip.store_lost = lambda: True
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts_with_store())

    async def test_only_what_is_new_is_sent_and_all_of_it_if_that_does_not_help(self):
        one, two = _hosts()
        two.world.list_members(["a", "b", "c"])
        note = one.gossip._note(None)
        two.gossip._take(note)
        part = two.gossip._tables_for(note)[Kind.ENDPOINT.value]
        self.assertFalse(part.whole)
        again = two.gossip._tables_for(note)[Kind.ENDPOINT.value]
        self.assertTrue(again.whole)
        one.receive_from(two)
        self.assertIn("c", one.world.host_view.members)

    async def test_of_many_hosts_the_silent_ones_are_taken_to_be_alike(self):
        one, two = _hosts()
        two.world.placer.view(two.world.member("a")).in_flight = 2
        one.world.placer.view(one.world.member("a"))
        for number in range(3, 9):
            host = _Host(f"edge-{number}", World([route()], {"a": [Script()]}))
            two.receive_from(host)
        one.receive_from(two)
        one.gossip._share_load()
        self.assertEqual(14, one.world.placer.view(one.world.member("a")).others_load)
