"""Tests of the summed load of a fleet."""

from radishshift.decisions.fleet_load import (
    MAX_PLACEMENTS_PER_S,
    REPORT_MAX_AGE_S,
    FleetLoad,
    PlacementQuota,
    first_coordinator,
)
from tests.cases import TestCase


class FleetLoadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.load = FleetLoad()

    def test_reports_of_all_senders_add_up(self):
        for number in range(195):
            self.load.report(f"edge-{number}", {"a": 1.0, f"e{number}": 2.0}, 5.0)
        self.assertEqual(195.0, self.load.total("a"))
        self.assertEqual(2.0, self.load.total("e7"))

    def test_a_report_replaces_the_previous_one(self):
        self.load.report("edge-1", {"a": 3.0}, 5.0)
        self.load.report("edge-1", {"b": 1.0}, 5.1)
        self.assertEqual((0.0, 1.0), (self.load.total("a"), self.load.total("b")))

    def test_a_choice_counts_until_the_next_report(self):
        self.load.report("edge-1", {"a": 1.0}, 5.0)
        self.load.add("edge-1", "a", 4.0)
        self.assertEqual(5.0, self.load.total("a"))
        self.load.report("edge-1", {"a": 2.0}, 5.1)
        self.assertEqual(2.0, self.load.total("a"))

    def test_the_load_of_a_silent_host_expires(self):
        self.load.report("edge-1", {"a": 1.0}, 5.0)
        self.load.report("edge-2", {"a": 2.0}, 7.0)
        self.load.expire(5.1 + REPORT_MAX_AGE_S)
        self.assertEqual(2.0, self.load.total("a"))

    def test_reports_without_load_are_dropped_like_others(self):
        for number in range(2):
            self.load.report(f"edge-{number}", {"a": 0.0}, 5.0)
        self.load.expire(5.1 + REPORT_MAX_AGE_S)
        self.assertEqual(0.0, self.load.total("a"))

    def test_the_load_of_one_data_centre_is_summed(self):
        self.load.report("edge-1", {"a": 1.0}, 5.0)
        self.load.report("edge-2", {"a": 2.0, "b": 1.0}, 5.0)
        self.load.report("iringa", {"a": 40.0}, 5.0)
        sums = self.load.sum_of(["edge-1", "edge-2", "edge-3"])
        self.assertEqual({"a": 3.0, "b": 1.0}, sums)

    def test_questions_beyond_the_quota_are_not_answered(self):
        quota = PlacementQuota()
        answered = sum(quota.admit(number / 1000) for number in range(3000))
        self.assertAlmostEqual(4 * MAX_PLACEMENTS_PER_S, answered, delta=2)

    def test_hosts_that_know_different_hosts_agree_on_the_first(self):
        links = {f"edge-{number}": 10.0 for number in range(40)}
        first = first_coordinator(links)
        some = dict(list(links.items())[:5])
        self.assertEqual(first, first_coordinator(some | {first: 10.0}))

    def test_a_host_with_a_wide_link_coordinates(self):
        links = {f"edge-{number}": 10.0 for number in range(40)}
        for host in list(links)[:5]:
            self.assertEqual(host, first_coordinator(links | {host: 200.0}))
