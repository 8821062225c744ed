"""Tests of the admission queue and the adaptive concurrency limit."""

import math
from dataclasses import replace

from radishshift.admission_queue import AdmissionQueue, Ticket
from radishshift.concurrency_limit import ConcurrencyLimit
from radishshift.contracts import Contract, Limits, Objectives, TaskClass
from radishshift.errors import OverloadedError
from tests.cases import TestCase

OBJECTIVES = Objectives(0.75, 0.058, 60.0, 0.95)
QUICK = TaskClass("quick-check", 0, 5.0, False, OBJECTIVES, queue_s=0.5)
PLAN = TaskClass("season-plan", 2, 120.0, False, OBJECTIVES, queue_s=30.0)


def contract(customer="uyole-ring", weight=1.0):
    limits = Limits(math.inf, math.inf, 10**6)
    return Contract(customer, (), frozenset(), weight, limits, {}, "quick-check")


class AdmissionQueueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.concurrency = ConcurrencyLimit(max_limit=4, initial=4)
        self.queue = AdmissionQueue(self.concurrency)
        self.decisions = []

    def offer(self, task_class, now, customer="uyole-ring", cost=100.0):
        decide = self.decisions.append
        ticket = Ticket(
            task_class,
            contract(customer),
            cost,
            now,
            now + task_class.deadline_s,
            decide,
        )
        self.queue.offer(ticket, now)
        return ticket

    def test_a_request_starts_at_once_and_frees_its_slot(self):
        ticket = self.offer(QUICK, 0.0)
        self.assertEqual([None], self.decisions)
        self.queue.finish(ticket, 100.0, 1.0)
        self.assertEqual(0, self.concurrency.running)

    def test_a_quick_check_starts_before_plans_that_arrived_first(self):
        running = [self.offer(PLAN, 0.0) for _ in range(4)]
        plan = self.offer(PLAN, 0.0)
        quick = self.offer(QUICK, 0.1)
        self.queue.finish(running[0], 100.0, 0.2)
        self.assertIsNotNone(quick.started)
        self.assertIsNone(plan.started)

    def test_a_waiting_class_is_not_starved_by_a_higher_one(self):
        """Strict priority would starve plans while quick checks keep coming."""
        running = [self.offer(QUICK, 0.0) for _ in range(4)]
        plan = self.offer(PLAN, 0.0)
        now = 0.0
        for _ in range(40):
            now += 0.1
            running.append(self.offer(QUICK, now))
            self.queue.finish(running.pop(0), 100.0, now)
        self.assertIsNotNone(plan.started)

    def test_plans_leave_part_of_the_limit_to_quick_checks(self):
        self.offer(QUICK, 0.0)
        plans = [self.offer(PLAN, 0.0) for _ in range(4)]
        started = [plan for plan in plans if plan.started is not None]
        self.assertEqual(1, len(started))
        self.assertIsNotNone(self.offer(QUICK, 0.1).started)

    def test_a_waiting_request_is_refused_once_it_cannot_start_in_time(self):
        for _ in range(4):
            self.offer(PLAN, 0.0)
        quick = self.offer(QUICK, 1.0)
        self.queue.expire(1.4)
        self.assertEqual(4, len(self.decisions))
        self.queue.expire(quick.latest_start)
        error = self.decisions[-1]
        self.assertEqual(("overloaded", "not-run"), (error.code, error.verdict.value))
        self.assertGreater(error.retry_after_s, 0)

    def test_a_request_with_too_long_a_wait_is_refused_on_arrival(self):
        """A request that waits in vain loses the time to be sent elsewhere."""
        first = [self.offer(QUICK, 0.0) for _ in range(4)]
        for ticket in first:
            self.queue.finish(ticket, 100.0, 10.0)
        for _ in range(4):
            self.offer(QUICK, 20.0)
        late = self.offer(QUICK, 20.0)
        self.assertIsNone(late.started)
        self.assertEqual("overloaded", self.decisions[-1].code)

    def test_a_flooding_customer_is_shed_before_others(self):
        first = [self.offer(QUICK, 0.0) for _ in range(4)]
        for ticket in first:
            self.queue.finish(ticket, 100.0, 0.2)
        for _ in range(4):
            self.offer(QUICK, 1.0, "flood")
        for _ in range(40):
            self.offer(QUICK, 1.0, "flood")
        small = self.offer(QUICK, 1.0, "small")
        running = self.decisions.count(None)
        self.queue.concurrency.release()
        self.queue.start_ready(1.1)
        self.assertEqual(running + 1, self.decisions.count(None))
        self.assertIsNotNone(small.started)

    def test_a_queued_request_is_not_refused_for_one_that_is_refused_itself(self):
        """It lost its place to a newcomer that then could not start in time either."""
        for ticket in [self.offer(PLAN, 0.0) for _ in range(4)]:
            self.queue.finish(ticket, 100.0, 1.0)
        running = [self.offer(PLAN, 1.0) for _ in range(4)]
        self.offer(PLAN, 1.0, cost=4000.0)
        queued = self.offer(replace(PLAN, queue_s=16.0), 1.0, cost=1000.0)
        self.assertEqual(2, self.queue.waiting)
        hasty = replace(PLAN, queue_s=5.0)
        newcomer = self.offer(hasty, 1.0, "igurusi-ring", cost=4500.0)
        self.assertEqual("overloaded", self.decisions[-1].code)
        self.assertEqual(2, self.queue.waiting)
        self.queue.expire(newcomer.latest_start)
        self.assertEqual(2, self.queue.waiting)
        for ticket in running:
            self.queue.finish(ticket, 100.0, 2.0)
        self.assertIsNotNone(queued.started)

    def test_a_request_past_its_deadline_is_refused(self):
        ticket = Ticket(QUICK, contract(), 1.0, 5.0, 4.0, self.decisions.append)
        error = self.assertRaises(OverloadedError, self.queue.offer, ticket, 5.0)
        self.assertEqual("overloaded", error.code)


class ConcurrencyLimitTest(TestCase):
    def test_the_limit_grows_if_reached_with_first_tokens_in_time(self):
        limiter = ConcurrencyLimit(max_limit=100, initial=4)
        for _ in range(200):
            limiter.record_waiting()
            limiter.record_first_token(QUICK, 0.1)
        self.assertGreater(limiter.limit, 4)

    def test_the_limit_does_not_grow_while_it_is_not_reached(self):
        limiter = ConcurrencyLimit(max_limit=100, initial=4)
        for _ in range(200):
            limiter.record_first_token(QUICK, 0.1)
        self.assertEqual(4, limiter.limit)

    def test_late_first_tokens_lower_the_limit_to_the_minimum(self):
        limiter = ConcurrencyLimit(max_limit=100, initial=64)
        limiter.record_first_token(QUICK, 0.1)
        for _ in range(2000):
            limiter.record_first_token(QUICK, 1.0)
        self.assertEqual(2.0, limiter.limit)

    def test_a_class_that_is_always_slow_does_not_lower_the_limit(self):
        """A class with long prompts is compared with its own baseline."""
        limiter = ConcurrencyLimit(max_limit=100, initial=16)
        for _ in range(200):
            limiter.record_first_token(PLAN, 2.0)
        self.assertEqual(16, limiter.limit)
