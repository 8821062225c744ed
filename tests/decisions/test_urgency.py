"""Tests of the urgency of attempts."""

from radishshift.decisions.urgency import UrgencyScale
from radishshift.gateway.deployment import Customer, RouteKind
from tests.cases import TestCase
from tests.gateway.worlds import route


def _stream(priority):
    return route(RouteKind.STREAM, priority=priority)


PROPOSAL, TAG, SUMMARY = (_stream(priority) for priority in (0, 1, 2))
ROUTES = (PROPOSAL, TAG, SUMMARY)


class UrgencyScaleTest(TestCase):
    def test_routes_are_ordered_around_the_middle(self):
        scale = UrgencyScale(ROUTES, ())
        steps = [scale.steps(each, None) for each in ROUTES]
        self.assertEqual([-1, 0, 1], steps)

    def test_the_rank_of_the_customer_comes_first(self):
        first, other = Customer("first", 0), Customer("other", 1)
        scale = UrgencyScale(ROUTES, (first, other))
        steps = [
            scale.steps(each, customer)
            for customer in (first, other)
            for each in ROUTES
        ]
        self.assertEqual(sorted(set(steps)), steps)

    def test_requests_of_one_rank_have_no_urgency(self):
        calls = route(RouteKind.IDEMPOTENT, priority=5)
        for routes in ((), (SUMMARY, SUMMARY, calls)):
            self.assertIsNone(UrgencyScale(routes, ()).steps(SUMMARY, None))
