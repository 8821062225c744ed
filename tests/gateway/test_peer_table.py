"""Tests of what hosts know of each other, in fleets of up to 381 hosts."""

import random
from dataclasses import replace

import msgspec

from radishshift.gateway.gossip_messages import CentreSummary, GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.peer_table import HOST_TIMEOUT_S, MAX_FAILURES, PeerTable
from tests.cases import TestCase

ROUND_S = 0.5
SEEDS = ("edge-0:1", "edge-1:1", "edge-2:1")
CONTROL_BYTES_PER_S = 6000


class _Host:
    def __init__(self, number, centres, link_mbps=0.0):
        name = f"edge-{number}"
        self.settings = GatewaySettings(
            name, "", f"dc-{number % centres}", "", "", "", f"{name}:1", "", "", SEEDS
        )
        self.settings = replace(self.settings, link_mbps=link_mbps)
        self.table = PeerTable(self.settings, random.Random(number))

    def message(self, now):
        peers = self.table.listed(now)
        links = self.table.local_links(peers)
        return GossipMessage(
            self.settings.host,
            1,
            self.settings.peer_address,
            self.settings.data_centre,
            {},
            peers=peers,
            neighbours=list(links),
            link_mbps=self.settings.link_mbps,
            links=links,
            centres=self.table.centre_summaries(now),
        )


class _Fleet:
    """Hosts that gossip in rounds, without a network; the last have wide links."""

    def __init__(self, hosts, centres, wide_hosts=0):
        self.hosts = [
            _Host(number, centres, 200.0 if number >= hosts - wide_hosts else 10.0)
            for number in range(hosts)
        ]
        self.by_address = {host.settings.peer_address: host for host in self.hosts}
        self.dead = set()
        self.now = 100.0
        self.bytes_sent = 0

    def gossip(self, rounds):
        for _ in range(rounds):
            for number, host in enumerate(self.hosts):
                now = self.now + ROUND_S * number / len(self.hosts)
                if host not in self.dead:
                    self._gossip_of(host, now)
            self.now += ROUND_S

    def _gossip_of(self, host, now):
        for address in host.table.for_round(now):
            peer = self.by_address[address]
            if peer in self.dead:
                host.table.record_failure(address, OSError("refused"), now)
                continue
            request, reply = host.message(now), peer.message(now)
            for message in (request, reply):
                self.bytes_sent += len(msgspec.json.encode(message))
            peer.table.record(request, now)
            host.table.record(reply, now)

    def coordinators(self):
        """Return the coordinators that the hosts of each data centre see."""
        seen = {}
        for host in self.hosts:
            if host not in self.dead:
                names = seen.setdefault(host.settings.data_centre, set())
                names.add(host.table.coordinator(self.now))
        return seen


class PeerTableTest(TestCase):
    def test_a_small_fleet_has_no_coordinators(self):
        fleet = _Fleet(6, 3)
        fleet.gossip(10)
        self.assertEqual([{None}] * 3, list(fleet.coordinators().values()))
        table = fleet.hosts[0].table
        self.assertEqual(6, len(table.control_hosts(fleet.now)))

    def test_hosts_that_start_together_agree_on_coordinators(self):
        for hosts, centres in ((64, 4), (89, 3), (195, 5), (381, 5)):
            fleet = _Fleet(hosts, centres)
            fleet.gossip(5)
            for names in fleet.coordinators().values():
                self.assertEqual(1, len(names - {None}), (hosts, names))

    def test_each_host_knows_how_many_there_are(self):
        """Of 195 hosts a host knew two thirds, and shared the retry slack by them."""
        fleet = _Fleet(195, 5)
        fleet.gossip(16)
        counts = [host.table.host_count(fleet.now) for host in fleet.hosts]
        self.assertLess(0.95 * 195, min(counts))
        self.assertLessEqual(max(counts), 195)

    def test_the_bytes_of_a_host_do_not_grow_with_the_fleet(self):
        for hosts in (195, 381):
            fleet = _Fleet(hosts, 5)
            fleet.gossip(20)
            rate = fleet.bytes_sent / hosts / (20 * ROUND_S)
            self.assertLess(rate, CONTROL_BYTES_PER_S, hosts)

    def test_another_coordinator_takes_over_from_one_that_died(self):
        fleet = _Fleet(195, 5)
        fleet.gossip(10)
        first = fleet.coordinators()["dc-0"].pop()
        fleet.dead.add(fleet.by_address[f"{first}:1"])
        fleet.gossip(4)
        after = fleet.coordinators()["dc-0"] - {None}
        self.assertEqual(1, len(after))
        self.assertNotIn(first, after)

    def test_a_host_that_others_hear_from_is_not_dead(self):
        host = _Host(0, 1)
        peer = _Host(1, 1)
        host.table.record(peer.message(5.0), 5.0)
        for _ in range(MAX_FAILURES):
            host.table.record_failure("edge-1:1", OSError("refused"), 5.5)
        self.assertEqual([], list(host.table.live(5.6)))
        other = GossipMessage("edge-2", 1, "edge-2:1", "dc-0", {})
        other.peers = {"edge-1": ("edge-1:1", 0.1)}
        host.table.record(other, 6.0)
        self.assertIn("edge-1", dict(host.table.live(6.0)))

    def test_a_coordinator_that_is_not_heard_of_expires(self):
        host = _Host(0, 1)
        message = GossipMessage("edge-9", 1, "edge-9:1", "dc-1", {})
        message.centres = {"dc-1": CentreSummary("edge-9", "edge-9:1", 40, 0.0)}
        host.table.record(message, 5.0)
        self.assertEqual(41, host.table.host_count(5.1))
        self.assertEqual(1, host.table.host_count(5.1 + HOST_TIMEOUT_S))

    def test_hosts_agree_on_a_coordinator_with_a_wide_link(self):
        """A coordinator received each configuration whole, over 10 Mbit/s."""
        for hosts, centres in ((64, 4), (195, 5)):
            fleet = _Fleet(hosts, centres, wide_hosts=2 * centres)
            fleet.gossip(10)
            wide = {host.settings.host for host in fleet.hosts[-2 * centres :]}
            for names in fleet.coordinators().values():
                self.assertEqual(1, len(names))
                self.assertTrue(names <= wide)
