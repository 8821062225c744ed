"""Tests of the bytes that a host holds for callers."""

import math

from radishshift.decisions.held_bytes import (
    HeldBytes,
    Progress,
    budget_bytes,
    longest_stalled_first,
    max_connections,
)
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

    def test_what_has_stalled_gives_its_room_to_a_new_body(self):
        """Bodies one byte short kept the room of all others for ever."""
        held = HeldBytes(1000)
        held.acquire(900)
        asked = []

        def end_stalled(count):
            asked.append(count)
            held.release(900)

        held.make_room = end_stalled
        self.assertTrue(held.acquire(600))
        self.assertEqual(([500], 600, 0), (asked, held.total, held.rejected))

    def test_nothing_is_ended_for_a_body_that_never_fits(self):
        held = HeldBytes(1000)
        held.make_room = self.fail
        self.assertFalse(held.acquire(1001))

    def test_bytes_that_are_there_already_may_exceed_the_budget(self):
        held = HeldBytes(1000)
        held.add(1400)
        self.assertEqual(400, held.excess)
        held.release(1400)
        self.assertEqual(0, held.excess)


class StalledTest(TestCase):
    def test_the_longest_stalled_goes_first_and_the_moving_stays(self):
        stopped, dripping, moving, late = (Progress(0.0) for _ in range(4))
        dripping.marked_at = -1.0
        late.marked_at = 4.5
        for second in range(5):
            dripping.observe(second * 100, second)
            moving.observe(second * 100_000, second)
        holders = {"a": stopped, "b": dripping, "c": moving, "d": late}
        self.assertEqual(["b", "a"], longest_stalled_first(holders.items(), 4.9))

    def test_an_answer_that_a_slow_caller_takes_makes_progress(self):
        answer = Progress(0.0, 1_000_000)
        answer.observe(900_000, 3.0)
        self.assertFalse(answer.stalled(3.5))
        answer.observe(899_999, 4.5)
        self.assertTrue(answer.stalled(4.5))
        self.assertEqual(4.5, answer.moved_at)


class MaxConnectionsTest(TestCase):
    def test_each_connection_leaves_a_descriptor_for_its_request(self):
        """380 callers' streams took 380 further descriptors to endpoints."""
        for max_fds in (600, 4100):
            most = max_connections(max_fds, 0)
            self.assertLessEqual(2 * most, max_fds - 200)
        self.assertEqual(math.inf, max_connections(0, 0))

    def test_connections_alone_leave_memory_for_bodies(self):
        for memory_mb in (100, 150, 552):
            taken_mb = max_connections(0, memory_mb) * 12_288 / 1e6
            left_mb = memory_mb - 80 - taken_mb
            self.assertLessEqual(budget_bytes(memory_mb) / 1e6, left_mb)
