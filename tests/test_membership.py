"""Tests of the table of hosts."""

from random import Random

from radishshift.hosts import Host, HostState
from radishshift.membership import (
    REMOVE_AFTER_S,
    SUSPECT_AFTER_S,
    Membership,
    successors,
)
from radishshift.objects import Kind, StoredObject
from tests.cases import TestCase

START = 1_000.0


def _membership(name, data_centre="mbeya", started=START):
    incarnation = int(started * 1000)
    return Membership(Host(name, data_centre, "r", f"http://{name}", incarnation))


def _exchange(one, other, now):
    for sender, receiver in ((one, other), (other, one)):
        value = sender.section.outgoing(receiver.me, now)
        if value is not None:
            receiver.section.incoming(sender.me, value, now)
        receiver.record_heartbeat(sender.me, now)


class SuccessorsTest(TestCase):
    def test_news_reaches_every_host_of_95_in_few_hops(self):
        names = [f"entry-{number}" for number in range(95)]
        reached = {names[0]}
        hops = 0
        while len(reached) < len(names):
            reached |= {to for name in reached for to in successors(names, name)}
            hops += 1
        self.assertLessEqual(hops, 12)

    def test_a_host_has_as_many_callers_as_successors(self):
        names = [f"entry-{number}" for number in range(95)]
        called = [to for name in names for to in successors(names, name)]
        self.assertEqual({3}, {called.count(name) for name in names})


class MembershipTest(TestCase):
    def setUp(self):
        super().setUp()
        self.a, self.b, self.c = (_membership(name) for name in "abc")
        for one, other in ((self.a, self.b), (self.b, self.c), (self.a, self.c)):
            _exchange(one, other, START)
            _exchange(one, other, START)

    def test_a_pause_of_five_seconds_removes_no_one(self):
        """Five seconds of silence between two heartbeats, and on to the next."""
        self.a.record_missed_heartbeat("b", START + 5.0)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_a_silent_host_is_suspected_and_then_removed(self):
        suspected_at = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", suspected_at)
        self.assertIs(HostState.SUSPECT, self.a.members["b"].state)
        self.a.expire(suspected_at + REMOVE_AFTER_S - 0.1)
        self.assertIs(HostState.SUSPECT, self.a.members["b"].state)
        self.a.expire(suspected_at + REMOVE_AFTER_S)
        self.assertIs(HostState.DEAD, self.a.members["b"].state)

    def test_a_host_beats_a_false_suspicion_through_another(self):
        now = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", now)
        _exchange(self.a, self.c, now)
        _exchange(self.c, self.b, now)
        _exchange(self.b, self.c, now)
        _exchange(self.c, self.a, now)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_a_removed_host_that_is_heard_again_returns(self):
        now = START + SUSPECT_AFTER_S
        self.a.record_missed_heartbeat("b", now)
        self.a.expire(now + REMOVE_AFTER_S)
        self.assertEqual("b", self.a.random_dead_host(Random(1)).name)
        _exchange(self.a, self.b, now + 60)
        _exchange(self.a, self.b, now + 60)
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_leaving_spreads_and_takes_no_duty(self):
        self.b.leave(START + 1)
        _exchange(self.b, self.c, START + 1)
        _exchange(self.c, self.a, START + 1)
        self.assertIs(HostState.LEAVING, self.a.members["b"].state)
        self.assertEqual(["a", "c"], self.a.live_names("mbeya"))

    def test_a_restart_under_the_same_name_replaces_the_old_row(self):
        reborn = _membership("b", started=START + 100)
        _exchange(reborn, self.a, START + 100)
        self.assertEqual(100_000 + 1_000_000, self.a.members["b"].host.incarnation)

    def test_the_platforms_list_adds_hosts_and_lags(self):
        spec = {"dataCentre": "mbeya", "region": "r", "peerAddress": "http://d"}
        self.a.merge_host_list([StoredObject(Kind.HOST, "d", spec)], START)
        self.assertIn("d", self.a.live_names("mbeya"))
        self.assertIs(HostState.LIVE, self.a.members["b"].state)

    def test_gateways_alone_meet_the_other_data_centres(self):
        far = [_membership(f"f{number}", "iringa") for number in range(3)]
        for member in far:
            for near in (self.a, self.b, self.c):
                _exchange(member, near, START)
        meets = [
            any(host.data_centre == "iringa" for host in near.heartbeat_targets())
            for near in (self.a, self.b, self.c)
        ]
        self.assertEqual(2, meets.count(True))
