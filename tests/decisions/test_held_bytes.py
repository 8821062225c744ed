"""Tests of the bytes that a host holds for callers."""

import math

from radishshift.decisions.held_bytes import HeldBytes, budget_bytes
from tests.cases import TestCase


class HeldBytesTest(TestCase):
    def test_what_exceeds_the_budget_is_not_held(self):
        held = HeldBytes(1000)
        self.assertTrue(held.acquire(900))
        self.assertFalse(held.acquire(101))
        held.release(900)
        self.assertTrue(held.acquire(1000))
        self.assertEqual((1000, 1), (held.total, held.rejected))

    def test_the_budget_leaves_the_process_its_memory(self):
        for memory_mb in (88, 128, 552):
            budget_mb = budget_bytes(memory_mb) / 1e6
            self.assertLess(budget_mb + 80, max(memory_mb, 89))
            self.assertGreaterEqual(budget_mb, 8)
        self.assertEqual(math.inf, budget_bytes(0))
