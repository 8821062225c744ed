"""Tests of the membership table and the heartbeat ring."""

from random import Random

from radishshift.hosts import Host, HostState
from radishshift.membership import (
    DEAD_AFTER_SUSPECT_S,
    SUSPECT_AFTER_S,
    Membership,
    successors,
)
from radishshift.objects import Kind, StoredObject
from tests.cases import TestCase

START = 1_000.0


def _membership(name, data_centre="mbeya", started_at=START):
    incarnation = int(started_at * 1000)
    return Membership(Host(name, data_centre, "r", f"http://{name}", incarnation))


def _exchange_heartbeats(first, second, now):
    for sender, receiver in ((first, second), (second, first)):
        value = sender.section.outgoing(receiver.me, now)
        if value is not None:
            receiver.section.incoming(sender.me, value, now)
        receiver.record_heartbeat(sender.me, now)


class SuccessorsTest(TestCase):
    def test_an_update_reaches_all_of_95_hosts_in_12_hops(self):
        names = [f"entry-{number}" for number in range(95)]
        reached = {names[0]}
        hops = 0
        while len(reached) < len(names):
            reached |= {to for name in reached for to in successors(names, name)}
            hops += 1
        self.assertLessEqual(hops, 12)

    def test_every_host_receives_heartbeats_from_three_hosts(self):
        names = [f"entry-{number}" for number in range(95)]
        targets = [to for name in names for to in successors(names, name)]
        self.assertEqual({3}, {targets.count(name) for name in names})


class MembershipTest(TestCase):
    def setUp(self):
        super().setUp()
        self.a, self.b, self.c = (_membership(name) for name in "abc")
        for first, second in ((self.a, self.b), (self.b, self.c), (self.a, self.c)):
            _exchange_heartbeats(first, second, START)
            _exchange_heartbeats(first, second, START)

    def test_a_pause_of_five_seconds_raises_no_suspicion(self):
        """A host that is silent for 5 s, less than SUSPECT_AFTER_S, stays live."""
        self.a.record_missed_heartbeat("b", START + 5.0)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_a_silent_host_becomes_suspect_and_then_dead(self):
        suspected_at = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", suspected_at)
        self.assertIs(HostState.SUSPECT, self.a.members["b"].state)
        self.a.expire(suspected_at + DEAD_AFTER_SUSPECT_S - 0.1)
        self.assertIs(HostState.SUSPECT, self.a.members["b"].state)
        self.a.expire(suspected_at + DEAD_AFTER_SUSPECT_S)
        self.assertIs(HostState.DEAD, self.a.members["b"].state)

    def test_a_suspected_host_refutes_a_false_suspicion_through_a_third(self):
        now = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", now)
        _exchange_heartbeats(self.a, self.c, now)
        _exchange_heartbeats(self.c, self.b, now)
        _exchange_heartbeats(self.b, self.c, now)
        _exchange_heartbeats(self.c, self.a, now)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_a_dead_host_that_sends_heartbeats_again_becomes_live(self):
        now = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", now)
        self.a.expire(now + DEAD_AFTER_SUSPECT_S)
        self.assertEqual("b", self.a.random_dead_host(Random(1)).name)
        _exchange_heartbeats(self.a, self.b, now + 60)
        _exchange_heartbeats(self.a, self.b, now + 60)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_a_leaving_host_is_reported_to_all_and_is_not_listed_as_live(self):
        self.b.leave(START + 1)
        _exchange_heartbeats(self.b, self.c, START + 1)
        _exchange_heartbeats(self.c, self.a, START + 1)
        self.assertIs(HostState.LEAVING, self.a.members["b"].state)
        self.assertEqual(["a", "c"], self.a.live_names("mbeya"))

    def test_a_restart_under_the_same_name_replaces_the_old_row(self):
        restarted = _membership("b", started_at=START + 100)
        _exchange_heartbeats(restarted, self.a, START + 100)
        self.assertEqual(100_000 + 1_000_000, self.a.members["b"].host.incarnation)

    def test_the_platforms_list_adds_hosts_and_removes_none(self):
        spec = {"dataCentre": "mbeya", "region": "r", "peerAddress": "http://d"}
        self.a.merge_host_list([StoredObject(Kind.HOST, "d", spec)], START)
        self.assertIn("d", self.a.live_names("mbeya"))
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_only_gateways_send_heartbeats_to_other_data_centres(self):
        remote = [_membership(f"f{number}", "iringa") for number in range(3)]
        for member in remote:
            for local in (self.a, self.b, self.c):
                _exchange_heartbeats(member, local, START)
        contacts_remote = [
            any(host.data_centre == "iringa" for host in local.heartbeat_targets())
            for local in (self.a, self.b, self.c)
        ]
        self.assertEqual(2, contacts_remote.count(True))
