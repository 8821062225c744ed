"""Tests of how long a first event is awaited."""

from radishshift.decisions.patience import EarlyRetries, patience_s
from tests.cases import TestCase


class PatienceTest(TestCase):
    def test_a_second_attempt_has_time_before_the_objective(self):
        self.assertAlmostEqual(0.7, patience_s(0.15, 1.0, 1.8))

    def test_a_slow_answer_is_not_taken_for_a_lost_one(self):
        self.assertEqual(1.8, patience_s(0.25, 1.0, 1.8))
        self.assertEqual(1.8, patience_s(0.15, -0.2, 1.8))
        self.assertEqual(1.0, patience_s(0.0, 1.0, 1.0))

    def test_a_long_objective_changes_nothing(self):
        self.assertEqual(1.8, patience_s(0.2, 3.0, 1.8))

    def test_few_attempts_are_given_up_early_while_all_endpoints_are_slow(self):
        early = EarlyRetries()
        for second in range(100):
            early.request_received(second / 10)
        given_up = sum(early.try_acquire(10.0) for _ in range(100))
        self.assertLessEqual(given_up, 17)
        self.assertGreater(given_up, 5)

    def test_attempts_of_a_long_time_without_retries_take_no_memory(self):
        early = EarlyRetries()
        for number in range(100_000):
            early.request_received(number / 10)
        self.assertLessEqual(len(early._window.requests), 101)
