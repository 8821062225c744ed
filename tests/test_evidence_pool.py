"""Tests of evidence shared by gossip between hosts."""

from radishshift.evidence import RATINGS, Cell, Evidence
from radishshift.evidence_pool import EvidencePool
from radishshift.hosts import Host
from radishshift.peers import MemoryPeers
from tests.cases import TestCase

NOW = 1_000_000.0
CELL = Cell("small.v1", "draft")


def _hosts(count):
    network = {}
    hosts = []
    for number in range(count):
        me = Host(f"mbeya-entry-{number}", "mbeya", "tz-south", "", 1)
        peers = MemoryPeers(me, network)
        pool = EvidencePool(Evidence(f"{me.name}/1"), me)
        pool.evidence.drop_old_epochs(NOW)
        peers.add_section(pool.section)
        hosts.append((peers, pool))
    return hosts


def _gossip(hosts, now, rounds=2):
    for _ in range(rounds):
        for peers, pool in hosts:
            pool.publish(now)
            peers.send_sections(now)


class EvidencePoolTest(TestCase):
    def test_each_host_counts_every_rating_once(self):
        hosts = _hosts(4)
        for step in range(3):
            for _, pool in hosts:
                pool.evidence.record_rating(CELL, 0.5, 0.5, NOW)
            _gossip(hosts, NOW + step)
        for _, pool in hosts:
            self.assertEqual(12, pool.evidence.recent_counts(CELL).counts[RATINGS])

    def test_a_later_heartbeat_makes_up_for_a_lost_one(self):
        """The link between two hosts is cut while a rating arrives."""
        hosts = _hosts(2)
        (peers, first), (_, second) = hosts
        first.evidence.record_rating(CELL, 0.5, 0.5, NOW)
        peers.cut.add("mbeya-entry-1")
        _gossip(hosts, NOW)
        self.assertEqual(0, second.evidence.recent_counts(CELL).counts[RATINGS])
        first.evidence.record_rating(CELL, 0.5, 0.5, NOW)
        peers.cut.clear()
        _gossip(hosts, NOW + 1)
        self.assertEqual(2, second.evidence.recent_counts(CELL).counts[RATINGS])

    def test_malformed_rows_are_rejected(self):
        _, pool = _hosts(1)[0]
        version = 10**15
        for value in (
            None,
            ["a/1", [["v", "c", "", 1, {"999": 1}]]],
            ["a/1", [["v", "c", "", 1, {"0": -1}]]],
            ["a/1", [["v", "c"]]],
        ):
            version += 1
            pool.section.merge_row("other", version, value, "other", NOW)
        self.assertEqual(4, pool.rejected_rows)
        self.assertEqual([], list(pool.evidence.totals))

    def test_counts_of_a_restarted_host_add_to_those_before_the_restart(self):
        hosts = _hosts(2)
        (_, first), (_, second) = hosts
        first.evidence.record_rating(CELL, 0.5, 0.5, NOW)
        _gossip(hosts, NOW)
        first.evidence = Evidence("mbeya-entry-0/2")
        first.evidence.record_rating(CELL, 0.5, 0.5, NOW)
        _gossip(hosts, NOW + 1)
        self.assertEqual(2, second.evidence.recent_counts(CELL).counts[RATINGS])
