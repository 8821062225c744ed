"""Tests of the retry budget and the circuit breaker."""

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

    def test_retries_stay_within_a_tenth_of_requests_when_all_fail(self):
        """Unbudgeted retries would multiply the load of a brown-out by four."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.request_received()
            while self.allows(budget):
                retries += 1
        self.assertLessEqual(retries, 100)

    def test_a_request_that_may_have_run_is_retried_only_if_idempotent(self):
        may_have_run = Verdict.MAY_HAVE_RUN
        self.assertFalse(self.allows(RetryBudget(), may_have_run, idempotent=False))
        self.assertTrue(self.allows(RetryBudget(), may_have_run, idempotent=True))
        self.assertFalse(self.allows(RetryBudget(), Verdict.RAN))

    def test_nothing_is_retried_after_the_deadline(self):
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

    def test_frequent_failures_open_the_breaker_if_not_consecutive(self):
        breaker = CircuitBreaker()
        for number in range(40):
            breaker.record_outcome(number % 2 == 0, 0.0)
            if breaker.open:
                return
        self.fail("the breaker never opened")

    def test_no_endpoint_is_excluded_when_most_fail(self):
        endpoints = [endpoint(f"engine-{number}") for number in range(5)]
        loads = EndpointLoads()
        for each in endpoints[:3]:
            for _ in range(3):
                loads.record_start(each, 0.0)
                loads.record_end(each, 0.0, ok=False)
        self.assertEqual(5, len(list(loads.candidates(endpoints, 0.1))))
