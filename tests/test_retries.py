"""Tests of retries and of leaving out endpoints that fail."""

from radishshift.circuit_breaker import CircuitBreaker
from radishshift.errors import EndpointError
from radishshift.loads import EndpointLoads
from radishshift.retries import RetryBudget
from radishshift.verdicts import Verdict
from tests.cases import TestCase
from tests.test_balance import endpoint


class RetryBudgetTest(TestCase):
    def allows(self, budget, verdict=Verdict.NOT_RUN, idempotent=True, now=0.0):
        error = EndpointError("failed", verdict=verdict)
        return budget.allows(error, idempotent, 5.0, now)

    def test_when_all_fail_attempts_stay_within_a_tenth_more(self):
        """Naive retries would send four times the load into a brown-out."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.request_received()
            while self.allows(budget):
                retries += 1
        self.assertLessEqual(retries, 100)

    def test_what_may_have_run_is_repeated_only_if_it_may_be(self):
        may = Verdict.MAY_HAVE_RUN
        self.assertFalse(self.allows(RetryBudget(), may, idempotent=False))
        self.assertTrue(self.allows(RetryBudget(), may, idempotent=True))
        self.assertFalse(self.allows(RetryBudget(), Verdict.RAN))

    def test_nothing_is_tried_after_the_deadline(self):
        self.assertFalse(self.allows(RetryBudget(), now=5.0))


class CircuitBreakerTest(TestCase):
    def test_each_failed_probe_doubles_the_pause(self):
        breaker = CircuitBreaker()
        for _ in range(3):
            breaker.record_outcome(False, 0.0)
        self.assertFalse(breaker.allows_attempt(0.9))
        self.assertTrue(breaker.allows_attempt(1.0))
        breaker.record_attempt(1.0)
        self.assertFalse(breaker.allows_attempt(1.1))
        breaker.record_outcome(False, 1.2)
        self.assertFalse(breaker.allows_attempt(3.1))
        self.assertTrue(breaker.allows_attempt(3.2))
        breaker.record_outcome(True, 3.3)
        self.assertFalse(breaker.open)

    def test_one_that_fails_often_but_not_in_a_row_is_left_out(self):
        breaker = CircuitBreaker()
        for number in range(40):
            breaker.record_outcome(number % 2 == 0, 0.0)
            if breaker.open:
                return
        self.fail("never left out")

    def test_when_most_fail_none_is_left_out(self):
        endpoints = [endpoint(f"engine-{number}") for number in range(5)]
        loads = EndpointLoads()
        for each in endpoints[:3]:
            for _ in range(3):
                loads.record_start(each, 0.0)
                loads.record_end(each, 0.0, ok=False)
        self.assertEqual(5, len(list(loads.candidates(endpoints, 0.1))))
