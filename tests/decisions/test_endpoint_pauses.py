"""Tests of the pauses for which endpoints ask."""

from radishshift.decisions.endpoint_pauses import MAX_PAUSE_S, EndpointPauses
from tests.cases import TestCase

ENDPOINT = ("a", 1)


class EndpointPausesTest(TestCase):
    def test_a_pause_ends(self):
        pauses = EndpointPauses()
        pauses.record(ENDPOINT, 2.5, 10.0)
        self.assertEqual(12.5, pauses.until(ENDPOINT))
        self.assertEqual((1, 0), (pauses.count(12.0), pauses.count(12.5)))

    def test_a_shorter_second_pause_ends_the_first_early(self):
        pauses = EndpointPauses()
        pauses.record(ENDPOINT, 3.0, 10.0)
        pauses.record(ENDPOINT, 0.5, 10.2)
        self.assertEqual(13.0, pauses.until(ENDPOINT))
        pauses.record(ENDPOINT, 2.0, 12.0)
        self.assertEqual(14.0, pauses.until(ENDPOINT))

    def test_no_pause_is_endless(self):
        pauses = EndpointPauses()
        pauses.record(ENDPOINT, 1e12, 10.0)
        self.assertEqual(10.0 + MAX_PAUSE_S, pauses.until(ENDPOINT))

    def test_a_restarted_endpoint_does_not_pause(self):
        pauses = EndpointPauses()
        pauses.record(ENDPOINT, 2.5, 10.0)
        self.assertEqual(0.0, pauses.until(("a", 2)))

    def test_pauses_of_delisted_endpoints_and_ended_ones_are_forgotten(self):
        pauses = EndpointPauses()
        pauses.record(ENDPOINT, 2.5, 10.0)
        pauses.record(("b", 1), 9.0, 10.0)
        pauses.keep_only({ENDPOINT}, 11.0)
        self.assertEqual(0.0, pauses.until(("b", 1)))
        pauses.keep_only({ENDPOINT}, 13.0)
        self.assertEqual(0.0, pauses.until(ENDPOINT))
