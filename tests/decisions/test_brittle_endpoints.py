"""Tests of what brittle endpoints are sent at a time."""

from radishshift.decisions.brittle_endpoints import (
    GROWTH_INTERVAL_S,
    MAX_REFUSALS_PER_S,
    REFUSAL_REPORT_S,
    BrittleBudgets,
    valid_refusals_per_s,
)
from radishshift.decisions.endpoint_limits import EndpointLimits
from tests.cases import TestCase

ENDPOINT = ("a", 1)
SLOTS = 6
DEADLINE = 100.0


class BrittleBudgetsTest(TestCase):
    def budgets(self):
        """Return budgets whose first one is no longer closed at the time 1."""
        budgets = BrittleBudgets()
        budgets.retry_s(ENDPOINT, 1, SLOTS, 1.0 - REFUSAL_REPORT_S)
        return budgets

    def permitted(self, budgets, refusals_per_s, asked, now, prefix=""):
        """Return the permits of those that ask at an instant."""
        names = [f"{prefix}{number}" for number in range(asked)]
        return [
            name
            for name in names
            if not budgets.acquire(ENDPOINT, refusals_per_s, SLOTS, name, DEADLINE, now)
        ]

    def test_a_new_keeper_waits_for_what_the_one_before_may_have_permitted(self):
        budgets = BrittleBudgets()
        self.assertEqual([], self.permitted(budgets, 5, 3, 1.0))
        later = self.permitted(budgets, 5, 3, 1.0 + REFUSAL_REPORT_S)
        self.assertEqual(3, len(later))

    def test_no_more_are_permitted_at_once_than_may_be_refused(self):
        for refusals_per_s in (0, 1, 3):
            permits = self.permitted(self.budgets(), refusals_per_s, 9, 1.0)
            self.assertEqual(max(1, refusals_per_s), len(permits))

    def test_no_more_are_in_flight_than_the_endpoint_has_slots(self):
        budgets = self.budgets()
        permits = self.permitted(budgets, MAX_REFUSALS_PER_S, 99, 1.0)
        self.assertEqual(SLOTS, len(permits))
        budgets.end(ENDPOINT, permits[0], False, 2.0)
        more = self.permitted(budgets, MAX_REFUSALS_PER_S, 99, 2.0, "later ")
        self.assertEqual(1, len(more))

    def test_refusals_of_a_second_never_exceed_what_is_stated(self):
        for refusals_per_s in (1, 2, 5):
            budgets = self.budgets()
            refused_at = []
            for step in range(1280):
                now = 1.0 + step / 128
                for permit in self.permitted(budgets, refusals_per_s, 3, now, now):
                    budgets.end(ENDPOINT, permit, True, now)
                    refused_at.append(now)
            for at in refused_at:
                within = [other for other in refused_at if at <= other < at + 1.0]
                self.assertLessEqual(len(within), refusals_per_s)

    def test_a_refusal_lowers_what_may_be_in_flight_until_it_has_grown_again(self):
        budgets = self.budgets()
        permits = self.permitted(budgets, 9, SLOTS, 1.0)
        for permit in permits[:3]:
            budgets.end(ENDPOINT, permit, True, 1.0)
        self.assertEqual([], self.permitted(budgets, 9, 1, 2.5, "full "))
        later = self.permitted(budgets, 9, 9, 1.0 + GROWTH_INTERVAL_S, "later ")
        self.assertEqual(1, len(later))

    def test_permits_of_a_host_that_is_gone_end_with_their_deadlines(self):
        budgets = self.budgets()
        self.permitted(budgets, 9, SLOTS, 1.0)
        self.assertEqual([], self.permitted(budgets, 9, 1, DEADLINE - 1))
        self.assertEqual(1, len(self.permitted(budgets, 9, 1, DEADLINE)))

    def test_the_end_of_an_unknown_attempt_is_ignored(self):
        budgets = self.budgets()
        budgets.end(("b", 1), "x", True, 1.0)
        budgets.keep_only(set())
        budgets.end(ENDPOINT, "x", False, 1.0)


class StatementTest(TestCase):
    def test_texts_that_state_no_number_are_told_apart(self):
        for text in ("", "-1", "1.5", "x", "1e3", "\u0663", " 3"):
            self.assertIsNone(valid_refusals_per_s(text), text)
        self.assertEqual(0, valid_refusals_per_s("0"))
        self.assertEqual(7, valid_refusals_per_s("0007"))
        self.assertEqual(MAX_REFUSALS_PER_S, valid_refusals_per_s("9" * 5000))

    def test_an_answer_without_the_statement_withdraws_it_everywhere(self):
        one, two = EndpointLimits(), EndpointLimits()
        one.record(ENDPOINT, None, 1.0, 3)
        two.merge(one.reports(2.0), 2.0)
        self.assertEqual(3, two.refusals_per_s(ENDPOINT))
        self.assertTrue(one.record(ENDPOINT, None, 3.0))
        two.merge(one.reports(4.0), 4.0)
        self.assertFalse(two.stated(ENDPOINT))
