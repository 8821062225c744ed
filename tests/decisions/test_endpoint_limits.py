"""Tests of the limits that endpoints state and of the budgets that follow."""

from radishshift.decisions.endpoint_limits import (
    ENDED_RETENTION_S,
    MIN_BURST,
    MIN_PER_S,
    EndpointLimits,
    RequestBudgets,
)
from tests.cases import TestCase
from tests.limit_rule import WINDOW_S, most_allowed

ENDPOINT = ("a", 1)


class EndpointLimitsTest(TestCase):
    def test_the_latest_statement_counts_whichever_host_heard_it(self):
        one, two = EndpointLimits(), EndpointLimits()
        self.assertTrue(one.record(ENDPOINT, 1.5, 10.0))
        two.record(ENDPOINT, 1.5, 9.0)
        two.record(ENDPOINT, None, 9.5)
        self.assertEqual([], one.merge(two.reports(12.0), 12.0))
        self.assertEqual(1.5, one.per_s(ENDPOINT))
        self.assertEqual(1, len(two.merge(one.reports(12.0), 12.0)))
        self.assertEqual(1.5, two.per_s(ENDPOINT))

    def test_an_answer_without_a_limit_ends_it_everywhere(self):
        one, two = EndpointLimits(), EndpointLimits()
        one.record(ENDPOINT, 1.5, 10.0)
        two.merge(one.reports(11.0), 11.0)
        self.assertTrue(one.record(ENDPOINT, None, 12.0))
        two.merge(one.reports(13.0), 13.0)
        self.assertIsNone(two.per_s(ENDPOINT))
        self.assertEqual(0, two.count())

    def test_answers_of_endpoints_without_a_limit_leave_nothing(self):
        limits = EndpointLimits()
        self.assertFalse(limits.record(ENDPOINT, None, 1.0))
        self.assertEqual([], limits.reports(2.0))

    def test_a_restarted_endpoint_has_no_limit(self):
        limits = EndpointLimits()
        limits.record(ENDPOINT, 1.5, 1.0)
        self.assertIsNone(limits.per_s(("a", 2)))

    def test_hosts_do_not_tell_each_other_for_ever_of_an_endpoint_that_is_gone(self):
        """Each dropped its limit, and learnt it again from the other."""
        one, two = EndpointLimits(), EndpointLimits()
        one.record(ENDPOINT, 1.5, 0.0)
        for half_second in range(2, 80):
            now = half_second / 2
            one.merge(two.reports(now), now)
            two.merge(one.reports(now), now)
            (one if half_second % 2 else two).keep_only(set(), now)
        self.assertEqual((0, 0), (one.count(), two.count()))

    def test_limits_of_delisted_endpoints_and_ended_ones_are_dropped(self):
        limits = EndpointLimits()
        limits.record(ENDPOINT, 1.5, 1.0)
        limits.record(("b", 1), 1.5, 1.0)
        limits.record(("b", 1), None, 2.0)
        limits.keep_only({ENDPOINT, ("b", 1)}, 3.0)
        self.assertEqual(2, len(limits.reports(3.0)))
        limits.keep_only({("b", 1)}, 3.0 + ENDED_RETENTION_S)
        self.assertEqual([], limits.reports(40.0))


class RequestBudgetsTest(TestCase):
    def _granted(self, budgets, per_s, began_at, duration_s, interval_s=0.01):
        """Return how many requests are granted to those that ask all the time."""
        asked = int(duration_s / interval_s)
        return sum(
            not budgets.acquire(ENDPOINT, per_s, began_at + number * interval_s)
            for number in range(asked)
        )

    def test_no_window_gets_more_than_the_users_allow(self):
        """After a pause as well, in which the budget has grown."""
        for per_s in (0.0, 0.2, 1.2, 7.5, 40.0):
            budgets = RequestBudgets()
            budgets.available(ENDPOINT, per_s, 0.0)
            granted = self._granted(budgets, per_s, 100.0, WINDOW_S)
            self.assertLessEqual(granted, most_allowed(per_s), per_s)
            self.assertGreaterEqual(granted, WINDOW_S * max(per_s, MIN_PER_S))

    def test_a_budget_starts_empty(self):
        """Another host may have spent it until now."""
        budgets = RequestBudgets()
        self.assertGreater(budgets.acquire(ENDPOINT, 1.0, 50.0), 0)
        self.assertEqual(0, budgets.acquire(ENDPOINT, 1.0, 51.5))

    def test_hosts_that_are_refused_ask_again_one_after_the_other(self):
        budgets = RequestBudgets()
        waits = [budgets.acquire(ENDPOINT, 4.0, 1.0) for _ in range(4)]
        self.assertEqual([0.25, 0.5, 0.75, 1.0], waits)

    def test_a_dropped_budget_starts_empty(self):
        budgets = RequestBudgets()
        budgets.available(ENDPOINT, 5.0, 0.0)
        self.assertTrue(budgets.available(ENDPOINT, 5.0, MIN_BURST))
        budgets.drop(ENDPOINT)
        self.assertFalse(budgets.available(ENDPOINT, 5.0, MIN_BURST))
