"""Tests of how long streams are expected to take."""

from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.stream_times import LENGTH_MARGIN, StreamTimes
from tests.cases import TestCase


class StreamTimesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.averages = MovingAverages()
        self.times = StreamTimes(self.averages)

    def test_the_slowest_model_that_may_answer_counts(self):
        self.times.record("chat", "small", 100, 1.0)
        self.times.record("chat", "large", 100, 4.0)
        self.averages.observe(("chat", "large", "first"), 0.2)
        longest_s = self.times.longest_s("chat", ("small", "large"), 3.0, 50)
        self.assertAlmostEqual(0.2 * 3.0 + LENGTH_MARGIN * 50 * 0.04, longest_s)

    def test_nothing_is_known_of_a_route_without_answers(self):
        self.times.record("chat", "small", 0, 1.0)
        self.assertIsNone(self.times.longest_s("chat", ("small",), 1.0, 50))
