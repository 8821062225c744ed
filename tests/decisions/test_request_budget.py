"""Tests of the budget for callers' requests."""

from radishshift.decisions.request_budget import request_budget_bytes
from tests.cases import TestCase

BODY = 4_000_000


def budget(memory_mb, requests=2000, answers=256_000_000, connections=4000):
    return request_budget_bytes(memory_mb, requests, BODY, answers, connections, 16_384)


class RequestBudgetTest(TestCase):
    def test_all_requests_in_flight_fit_where_the_memory_allows_it(self):
        self.assertEqual(2000 * BODY, budget(1_000_000))

    def test_what_is_held_stays_within_the_memory(self):
        for memory_mb in (1024, 4096, 16_384):
            room = memory_mb - 80 - 256 - 4000 * (0.016384 + 0.065536) - 24 * 4
            expected_mb = max(4.0, room / 4)
            self.assertAlmostEqual(expected_mb, budget(memory_mb) / 1e6, places=6)

    def test_one_request_fits_however_small_the_memory_is(self):
        self.assertEqual(BODY, budget(64))
        self.assertEqual(BODY, budget(1_000_000, requests=1))
