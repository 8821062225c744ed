"""Tests of the gossip between hosts."""

import asyncio

import msgspec

from radishshift.decisions.crashes import REPORT_TIME_S, Traits
from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.gossip import (
    GOSSIP_INTERVAL_S,
    REQUEST_TIMEOUT_S,
)
from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.peer_table import HOST_TIMEOUT_S
from radishshift.gateway.table_arrivals import LARGE_MESSAGE_BYTES, MAX_ARRIVAL_S
from radishshift.object_table import Head
from radishshift.objects import Kind
from tests.cases import VirtualTestCase
from tests.gateway.networks import Network, now
from tests.gateway.worlds import SERVICE, Script, World, route


class _Host:
    def __init__(self, name, world):
        self.world = world
        self.settings = GatewaySettings(
            name, "10.0.0.1", "mbeya", "", "", "", f"{name}:1", "", ""
        )
        self.world.versions._host = name
        self.gossip = world.gossip(self.settings)

    def receive_from(self, other):
        """Receive a message of another host, encoded and decoded as on the wire."""
        message = other.gossip._build_message(self.gossip._build_message(None))
        self.gossip._receive(
            msgspec.json.decode(msgspec.json.encode(message), type=GossipMessage)
        )


def _confirm(host, at):
    for kind in host.world.host_view.freshness.kinds:
        host.world.host_view.freshness.confirm(kind, at)


def _hosts():
    endpoints = {"a": [Script()], "b": [Script()]}
    return (
        _Host("edge-1", World([route()], endpoints)),
        _Host("edge-2", World([route()], endpoints)),
    )


class GossipTest(VirtualTestCase):
    def _order(self, host, began_at):
        rollout = Rollout(SERVICE, "v2", 20.0, RolloutState.ORDERED, 1)
        host.world.versions.update_rollouts([rollout], began_at)

    async def test_hosts_tell_each_other_which_sessions_stay_on_the_old_version(self):
        one, two = _hosts()
        keys = [f"s{number}" for number in range(200)]
        for key in keys:
            one.world.versions.record_session_version(SERVICE, key, "", now())
        for host in (one, two):
            self._order(host, now())
        moved = [
            k for k in keys if two.world.versions.uses_new_version(SERVICE, k, now())
        ]
        two.receive_from(one)
        for key in moved:
            self.assertFalse(two.world.versions.uses_new_version(SERVICE, key, now()))
        self.assertGreater(len(moved), 0)

    async def test_a_host_that_starts_amid_a_cut_hears_how_many_hosts_there_were(self):
        one, two = _hosts()
        one.world.dispatcher.fleet_size.observe(30, now() - 20.0)
        two.receive_from(one)
        size = two.world.dispatcher.fleet_size
        self.assertEqual((30, 20.0), size.report(now()))

    async def test_an_impossible_number_of_hosts_is_ignored(self):
        one, two = _hosts()
        for hosts in (-1, 10**9):
            message = one.gossip._build_message(None)
            message.most_hosts = (hosts, 0.0)
            two.gossip._receive(message)
        self.assertEqual(1, two.world.dispatcher.fleet_size.largest(now()))

    async def test_a_host_that_starts_later_hears_which_requests_are_held_back(self):
        one, two = _hosts()
        for endpoint in ("a@1", "b@1"):
            at = one.world.clock.now()
            one.world.suspects.record_crash(endpoint, Traits("rx"), True, at)
        await asyncio.sleep(REPORT_TIME_S + 4.0)
        two.receive_from(one)
        blocked = two.world.suspects.blocked(two.world.clock.now())
        self.assertEqual({"rx": 0}, blocked)

    async def test_a_silent_host_is_no_longer_live(self):
        one, two = _hosts()
        one.receive_from(two)
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts())
        await one.world.clock.sleep_until(one.world.clock.now() + 10)
        self.assertEqual(["edge-1"], one.gossip.live_hosts())

    async def test_load_of_peers_counts_in_endpoint_selection(self):
        one, two = _hosts()
        two.world.placer.view(two.world.member("a")).in_flight = 4
        one.world.placer.view(one.world.member("a"))
        one.receive_from(two)
        one.gossip._update_peer_load()
        view = one.world.placer.view(one.world.member("a"))
        self.assertEqual(4, view.others_load)

    async def test_crashes_of_a_request_on_several_hosts_add_up(self):
        one, two = _hosts()
        now = one.world.clock.now()
        poison = Traits("rpoison")
        one.world.suspects.record_crash("a@1", poison, False, now)
        two.world.suspects.record_crash("b@1", poison, False, now)
        self.assertEqual("", one.world.suspects.blocking(poison, now))
        one.receive_from(two)
        self.assertEqual("rpoison", one.world.suspects.blocking(poison, now))

    async def test_crashes_reach_hosts_that_don_t_hear_from_the_first(self):
        one, two = _hosts()
        three = _Host("edge-3", World([route()], {"a": [Script()]}))
        now = one.world.clock.now()
        poison = Traits("rpoison")
        for endpoint in ("a@1", "b@1"):
            one.world.suspects.record_crash(endpoint, poison, False, now)
        two.receive_from(one)
        three.receive_from(two)
        self.assertEqual("rpoison", three.world.suspects.blocking(poison, now))

    async def test_a_version_that_is_bad_by_pooled_counts_is_stopped_on_all_hosts(self):
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

    async def test_a_late_host_learns_when_the_rollout_was_ordered(self):
        one, two = _hosts()
        now = one.world.clock.now()
        self._order(one, now - 8.0)
        self._order(two, now)
        two.receive_from(one)
        began_at = two.world.versions.canaries[SERVICE].began_at
        self.assertAlmostEqual(now - 8.0, began_at, places=2)

    async def test_a_message_of_an_older_incarnation_is_ignored(self):
        one, two = _hosts()
        one.receive_from(two)
        stale = two.gossip._build_message(None)
        stale.incarnation -= 1000
        stale.load = {"a": 9.0}
        one.gossip._receive(stale)
        one.gossip._update_peer_load()
        self.assertEqual(0, one.world.placer.view(one.world.member("a")).in_flight)

    async def test_a_host_is_discovered_through_a_peer(self):
        one, two = _hosts()
        three = _Host("edge-3", World([route()], {"a": [Script()]}))
        two.receive_from(three)
        one.receive_from(two)
        self.assertEqual(["edge-1", "edge-2", "edge-3"], one.gossip.live_hosts())
        await one.world.clock.sleep_until(one.world.clock.now() + HOST_TIMEOUT_S / 2)
        one.receive_from(two)
        await one.world.clock.sleep_until(one.world.clock.now() + HOST_TIMEOUT_S * 0.75)
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts())

    async def test_hosts_that_lost_the_store_are_excluded_unless_all_lost_it(self):
        one, two = _hosts()
        two.gossip.store_lost = lambda: True
        one.receive_from(two)
        self.assertEqual(["edge-1"], one.gossip.live_hosts_with_store())
        one.gossip.store_lost = lambda: True
        self.assertEqual(["edge-1", "edge-2"], one.gossip.live_hosts_with_store())

    async def test_a_delta_is_sent_first_and_then_the_complete_table(self):
        one, two = _hosts()
        two.world.list_members(["a", "b", "c"])
        message = one.gossip._build_message(None)
        two.gossip._receive(message)
        delta = two.gossip._tables_for(message)[Kind.ENDPOINT.value]
        self.assertFalse(delta.whole)
        again = two.gossip._tables_for(message)[Kind.ENDPOINT.value]
        self.assertTrue(again.whole)
        one.receive_from(two)
        self.assertIn("c", one.world.host_view.members)

    async def test_a_table_equal_to_a_peers_is_known_up_to_the_peers_revision(self):
        """Hosts that had read nothing for the time of the history listed all again."""
        one, two = _hosts()
        table = two.world.host_view.tables[Kind.DEPLOYMENT]
        table.confirm(1000)
        one.receive_from(two)
        head = one.world.host_view.tables[Kind.DEPLOYMENT].head
        self.assertEqual(1000, head.complete)

    async def test_a_reply_tells_how_old_the_equal_tables_of_a_peer_are(self):
        one, two = _hosts()
        now = one.world.clock.now()
        _confirm(two, now - 0.5)
        reply = two.gossip._reply(one.gossip._build_message(None))
        one.gossip._receive(reply, asked_at=now - 0.25)
        staleness_s = one.world.host_view.freshness.staleness_s(now)
        self.assertEqual(0.75, staleness_s)

    async def test_a_message_that_waited_in_a_socket_makes_nothing_fresh(self):
        """A host that wakes reads what its peers sent when it stood still."""
        one, two = _hosts()
        _confirm(two, two.world.clock.now())
        one.gossip._reply(two.gossip._build_message(None))
        now = one.world.clock.now()
        self.assertIsNone(one.world.host_view.freshness.staleness_s(now))

    async def test_tables_that_differ_from_a_fresh_peers_stay_stale(self):
        one, two = _hosts()
        two.world.list_members(["a", "b", "c"])
        now = one.world.clock.now()
        _confirm(two, now)
        message = two.gossip._build_message(None)
        one.gossip._receive(message, asked_at=now)
        self.assertIsNone(one.world.host_view.freshness.staleness_s(now))
        one.gossip._receive(two.gossip._reply(one.gossip._build_message(None)), now)
        self.assertEqual(0.0, one.world.host_view.freshness.staleness_s(now))

    async def test_reported_load_is_scaled_up_for_hosts_that_did_not_report(self):
        one, two = _hosts()
        two.world.placer.view(two.world.member("a")).in_flight = 2
        one.world.placer.view(one.world.member("a"))
        for number in range(3, 9):
            host = _Host(f"edge-{number}", World([route()], {"a": [Script()]}))
            two.receive_from(host)
        one.receive_from(two)
        one.gossip._update_peer_load()
        self.assertEqual(14, one.world.placer.view(one.world.member("a")).others_load)

    async def test_a_host_to_which_routes_are_on_their_way_asks_nobody_else(self):
        one, two = _hosts()
        deployment = Kind.DEPLOYMENT.value
        with one.gossip.arrivals.receiving(LARGE_MESSAGE_BYTES):
            message = one.gossip._build_message(None)
            self.assertNotIn(deployment, message.heads)
            self.assertIn(Kind.ENDPOINT.value, message.heads)
            self.assertNotIn(deployment, two.gossip._tables_for(message))
            await asyncio.sleep(MAX_ARRIVAL_S)
            self.assertIn(deployment, one.gossip._build_message(None).heads)
        with one.gossip.arrivals.receiving(LARGE_MESSAGE_BYTES - 1):
            self.assertIn(deployment, one.gossip._build_message(None).heads)

    async def test_a_silent_peer_does_not_hold_up_the_rounds_with_others(self):
        """A host whose coordinator was frozen exchanged every 1.5 s with one other."""
        network = Network(1, 10, 1, 1)
        await network.start()
        host = network.hosts["edge-1"]
        coordinator = host.gossip.peers.coordinator(now())
        self.assertNotEqual("edge-1", coordinator)
        replied_at = []

        async def send(address, message):
            if address == f"{coordinator}:1":
                await asyncio.sleep(REQUEST_TIMEOUT_S)
                raise TimeoutError
            reply = await host._gossip_to(address, message)
            replied_at.append(now())
            return reply

        host.gossip._send = send
        since = now()
        await asyncio.sleep(3.0)
        await network.stop()
        rounds = {int((at - since) / (1.5 * GOSSIP_INTERVAL_S)) for at in replied_at}
        self.assertEqual({0, 1, 2, 3}, rounds)

    async def test_a_message_that_cannot_be_applied_does_not_end_the_gossip(self):
        """What one peer sent ended the process."""
        network = Network(1, 6, 3, 1)
        await network.start()
        merged = []

        def merge(reports, peer):
            if peer == "edge-1":
                raise ValueError("unexpected")
            merged.append(peer)

        network.hosts["edge-0"].world.host_view.merge_departures = merge
        await asyncio.sleep(3.0)
        ended = [name for name, task in network._tasks.items() if task.done()]
        await network.stop()
        self.assertEqual([], ended)
        self.assertLessEqual({"edge-2", "edge-3", "edge-4", "edge-5"}, set(merged))

    async def test_a_table_of_a_kind_that_this_host_does_not_follow_is_ignored(self):
        one, two = _hosts()
        message = two.gossip._build_message(one.gossip._build_message(None))
        table = one.world.host_view.tables[Kind.ENDPOINT]
        message.tables = {"no-such-kind": table.delta(Head(), True)}
        one.gossip._receive(message)
        self.assertIn(two.settings.host, one.gossip.live_hosts())
