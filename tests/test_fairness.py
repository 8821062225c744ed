"""Tests of fair queueing."""

from radishshift.fairness import FairQueue
from tests.cases import TestCase


class FairQueueTest(TestCase):
    def test_two_busy_customers_are_served_by_their_weights(self):
        queue = FairQueue()
        served = {"light": 0, "heavy": 0}
        for _ in range(4):
            queue.push("light", 1.0, 10.0, "light")
            queue.push("heavy", 3.0, 10.0, "heavy")
        for _ in range(400):
            name = queue.pop()
            served[name] += 1
            queue.push(name, {"light": 1.0, "heavy": 3.0}[name], 10.0, name)
        self.assertAlmostEqual(3.0, served["heavy"] / served["light"], delta=0.1)

    def test_a_flood_does_not_delay_a_customer_with_few_requests(self):
        queue = FairQueue()
        for number in range(100):
            queue.push("flood", 1.0, 10.0, f"flood-{number}")
        for _ in range(10):
            queue.pop()
        queue.push("small", 1.0, 10.0, "small")
        self.assertEqual("small", queue.pop())

    def test_the_request_that_is_shed_is_of_the_flooding_customer(self):
        """Shedding the newest arrival would starve customers with few requests."""
        queue = FairQueue()
        for number in range(5):
            queue.push("flood", 1.0, 10.0, f"flood-{number}")
        queue.push("small", 1.0, 10.0, "small")
        self.assertEqual("flood-4", queue.drop_tail())

    def test_a_removed_item_costs_its_customer_nothing(self):
        queue = FairQueue()
        item = object()
        queue.push("a", 1.0, 1000.0, item)
        self.assertTrue(queue.remove("a", item))
        self.assertFalse(queue.remove("a", item))
        self.assertEqual((0.0, 0), (queue.cost, queue.length))
