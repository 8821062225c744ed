"""Tests of the event loop that coalesces I/O events."""

import socket
from unittest import mock

from radishshift import loops
from tests.cases import TestCase


class CoalescingSelectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.slept = []
        clock = mock.Mock(monotonic=lambda: self.now, sleep=self.sleep)
        patcher = mock.patch.object(loops, "time", clock)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.selector = loops.CoalescingSelector()
        self.addCleanup(self.selector.close)

    def sleep(self, seconds):
        self.slept.append(seconds)
        self.now += seconds

    def register_ready_sockets(self, count):
        for _ in range(count):
            near, far = socket.socketpair()
            self.addCleanup(near.close)
            self.addCleanup(far.close)
            far.send(b"x")
            self.selector.register(near, loops.selectors.EVENT_READ)

    def test_a_busy_loop_waits_between_polls(self):
        self.register_ready_sockets(20)
        for _ in range(200):
            self.now += 0.0005
            self.assertEqual(20, len(self.selector.select(0.1)))
        self.assertGreater(len(self.slept), 10)
        self.assertLessEqual(max(self.slept), loops.COALESCING_INTERVAL_S)

    def test_an_idle_loop_and_one_with_ready_callbacks_do_not_wait(self):
        self.register_ready_sockets(1)
        for _ in range(20):
            self.now += 0.05
            self.selector.select(0.1)
        self.register_ready_sockets(20)
        for _ in range(200):
            self.selector.select(0)
        self.assertEqual([], self.slept)
