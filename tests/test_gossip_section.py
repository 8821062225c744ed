"""Tests of sections of state that hosts replicate by gossip."""

from radishshift.gossip_section import GossipSection
from radishshift.hosts import Host
from tests.cases import TestCase


def _host(name, data_centre="mbeya", incarnation=1):
    return Host(name, data_centre, "tz-south", f"http://{name}", incarnation)


def _deliver(sender, receiver, sender_host, receiver_host, now=1.0):
    value = sender.outgoing(receiver_host, now)
    if value is not None:
        receiver.incoming(sender_host, value, now)
    return value


class GossipSectionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.hosts = [_host(name) for name in "abc"]
        self.sections = [GossipSection("x", host) for host in self.hosts]

    def test_rows_reach_a_host_that_is_not_a_direct_peer(self):
        a, b, c = self.sections
        a.publish({"rate": 3}, 1.0)
        _deliver(a, b, self.hosts[0], self.hosts[1])
        _deliver(b, c, self.hosts[1], self.hosts[2])
        self.assertEqual({"rate": 3}, c.rows["a"].value)

    def test_rows_are_sent_again_until_they_are_acknowledged(self):
        a, b, _ = self.sections
        a.publish(1, 1.0)
        lost = a.outgoing(self.hosts[1], 1.0)
        self.assertEqual(lost, a.outgoing(self.hosts[1], 2.0))
        _deliver(a, b, self.hosts[0], self.hosts[1])
        _deliver(b, a, self.hosts[1], self.hosts[0])
        self.assertIsNone(a.outgoing(self.hosts[1], 3.0))

    def test_duplicate_and_old_rows_change_nothing(self):
        a, b, _ = self.sections
        a.publish("old", 1.0)
        old = a.outgoing(self.hosts[1], 1.0)
        a.publish("new", 2.0)
        _deliver(a, b, self.hosts[0], self.hosts[1])
        b.incoming(self.hosts[0], old, 3.0)
        self.assertEqual("new", b.rows["a"].value)

    def test_a_peer_that_restarted_gets_every_row_again(self):
        a, b, _ = self.sections
        a.publish(1, 1.0)
        _deliver(a, b, self.hosts[0], self.hosts[1])
        _deliver(b, a, self.hosts[1], self.hosts[0])
        restarted = _host("b", incarnation=2)
        self.assertEqual(1, len(a.outgoing(restarted, 2.0)[2]))

    def test_rows_stay_in_the_data_centre_unless_configured_otherwise(self):
        far = _host("d", "iringa")
        self.sections[0].publish(1, 1.0)
        self.assertIsNone(self.sections[0].outgoing(far, 1.0))
        wide = GossipSection("x", self.hosts[0], between_data_centres=True)
        wide.publish(1, 1.0)
        self.assertIsNotNone(wide.outgoing(far, 1.0))
