"""Tests of which services a host reaches, and of the choice of a helper."""

from collections import Counter
from random import Random

from radishshift.decisions.service_reach import (
    FLAP_WINDOW_S,
    LOST_SAMPLE,
    RECENT_ANSWER_S,
    REGAIN_ANSWERS,
    HelperState,
    ReachTracker,
    choose_helper,
)
from tests.cases import TestCase

SERVICE = "advice"
NAMES = ["a", "b", "c"]


class ReachTrackerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = ReachTracker()

    def fail_all(self, names, now):
        """Let connections to endpoints fail; return whether the service is lost."""
        failed = [
            self.tracker.record_failure(SERVICE, name, names, now) for name in names
        ]
        return any(failed)

    def test_a_service_is_lost_once_all_endpoints_have_failed(self):
        self.tracker.record_answer(SERVICE, 0.0)
        for name in NAMES[:2]:
            self.tracker.record_failure(SERVICE, name, NAMES, 1.0)
            self.assertFalse(self.tracker.lost(SERVICE))
        self.assertTrue(self.tracker.record_failure(SERVICE, "c", NAMES, 1.1))
        self.assertEqual([SERVICE], self.tracker.lost_services())

    def test_an_answer_in_between_keeps_it(self):
        self.tracker.record_failure(SERVICE, "a", NAMES, 1.0)
        self.tracker.record_failure(SERVICE, "b", NAMES, 1.0)
        self.tracker.record_answer(SERVICE, 1.1)
        self.tracker.record_failure(SERVICE, "c", NAMES, 1.2)
        self.assertFalse(self.tracker.lost(SERVICE))

    def test_one_failure_loses_no_service_of_a_single_endpoint(self):
        self.assertFalse(self.tracker.record_failure(SERVICE, "a", ["a"], 1.0))
        self.assertTrue(self.tracker.record_failure(SERVICE, "a", ["a"], 1.1))

    def test_of_many_endpoints_a_few_are_enough(self):
        names = [f"e{number}" for number in range(60)]
        for number in range(LOST_SAMPLE - 1):
            self.tracker.record_failure(SERVICE, names[number], names, 1.0)
        self.assertFalse(self.tracker.lost(SERVICE))
        self.tracker.record_failure(SERVICE, names[50], names, 1.0)
        self.assertTrue(self.tracker.lost(SERVICE))

    def test_endpoints_that_are_no_longer_listed_do_not_count(self):
        self.tracker.record_failure(SERVICE, "gone", NAMES, 1.0)
        self.tracker.record_failure(SERVICE, "a", NAMES, 1.0)
        self.tracker.record_failure(SERVICE, "b", NAMES, 1.0)
        self.assertFalse(self.tracker.lost(SERVICE))

    def test_a_service_without_endpoints_is_not_lost(self):
        self.assertFalse(self.tracker.record_failure(SERVICE, "a", [], 1.0))
        self.assertFalse(self.tracker.record_failure(SERVICE, "a", [], 1.1))

    def test_it_is_regained_by_answers_in_a_row(self):
        self.fail_all(NAMES, 1.0)
        self.assertFalse(self.tracker.record_answer(SERVICE, 2.0))
        self.tracker.record_failure(SERVICE, "a", NAMES, 2.1)
        self.assertFalse(self.tracker.record_answer(SERVICE, 2.2))
        self.assertTrue(self.tracker.record_answer(SERVICE, 2.3))
        self.assertFalse(self.tracker.lost(SERVICE))

    def test_one_that_comes_and_goes_needs_more_answers(self):
        self.fail_all(NAMES, 1.0)
        for _ in range(REGAIN_ANSWERS):
            self.tracker.record_answer(SERVICE, 2.0)
        self.fail_all(NAMES, 2.0 + FLAP_WINDOW_S / 2)
        answers = [self.tracker.record_answer(SERVICE, 5.0) for _ in range(4)]
        self.assertEqual([False, False, False, True], answers)
        self.fail_all(NAMES, 6.0 + FLAP_WINDOW_S)
        answers = [self.tracker.record_answer(SERVICE, 20.0) for _ in range(2)]
        self.assertEqual([False, True], answers)

    def test_peers_hear_only_of_services_that_are_surely_reached(self):
        self.tracker.record_answer(SERVICE, 1.0)
        self.tracker.record_answer("desk", 1.0)
        self.tracker.record_failure("desk", "d", ["d", "e"], 1.0 + RECENT_ANSWER_S)
        self.assertEqual({SERVICE: 2.5}, self.tracker.reached_ages_s(3.5))
        self.fail_all(NAMES, 4.0)
        self.assertEqual({}, self.tracker.reached_ages_s(4.0))

    def test_services_without_endpoints_are_forgotten(self):
        self.fail_all(NAMES, 1.0)
        self.tracker.keep_only({"desk"})
        self.assertEqual([], self.tracker.lost_services())


class ChooseHelperTest(TestCase):
    def chosen(self, helpers, seed=1):
        return choose_helper(helpers, "dc-1", Random(seed)).host

    def test_without_helpers_none_is_chosen(self):
        self.assertIsNone(choose_helper([], "dc-1", Random(1)))

    def test_a_peer_of_the_data_centre_comes_first_unless_it_relays_much(self):
        near = HelperState("near", "", "dc-1", 0.2, 3)
        far = HelperState("far", "", "dc-2", 0.2, 0)
        self.assertEqual("near", self.chosen([far, near]))
        loaded = HelperState("near", "", "dc-1", 0.2, 30)
        self.assertEqual("far", self.chosen([far, loaded]))

    def test_a_peer_with_a_recent_contact_comes_first(self):
        stale = HelperState("stale", "", "dc-1", 4.0, 0)
        fresh = HelperState("fresh", "", "dc-1", 0.5, 2)
        self.assertEqual("fresh", self.chosen([stale, fresh]))

    def test_hosts_with_the_same_reports_do_not_all_choose_the_same_peer(self):
        peers = [HelperState(f"p{n}", "", "dc-1", 0.5, 0) for n in range(8)]
        counts = Counter(self.chosen(peers, seed) for seed in range(200))
        self.assertEqual(8, len(counts))
        self.assertLess(max(counts.values()), 60)
