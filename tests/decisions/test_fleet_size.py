"""Tests of what a host knows of the fleet's size."""

from radishshift.decisions.fleet_size import RETENTION_S, FleetSize
from tests.cases import TestCase


class FleetSizeTest(TestCase):
    def test_the_largest_number_counts_until_it_is_old(self):
        size = FleetSize()
        self.assertEqual(0, size.largest(0.0))
        for hosts, at in ((3, 0.0), (6, 10.0), (2, 20.0), (4, 30.0), (1, 40.0)):
            size.observe(hosts, at)
        self.assertEqual((6, 30.0), size.report(40.0))
        self.assertEqual(6, size.largest(RETENTION_S + 9.0))
        self.assertEqual(4, size.largest(RETENTION_S + 10.0))
        self.assertEqual(1, size.largest(RETENTION_S + 30.0))
        self.assertEqual(0, size.largest(RETENTION_S + 40.0))

    def test_a_peer_tells_what_it_knew_before(self):
        size = FleetSize()
        size.observe(2, 100.0)
        size.observe(6, 100.0, age_s=50.0)
        size.observe(5, 100.0, age_s=60.0)
        self.assertEqual((6, 50.0), size.report(100.0))
        self.assertEqual(2, size.largest(RETENTION_S + 50.0))
