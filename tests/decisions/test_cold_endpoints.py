"""Tests of how long endpoints are taken to be cold."""

from radishshift.decisions.cold_endpoints import MAX_COLD_S, ColdEndpoints
from tests.cases import TestCase

ENDPOINT = ("a", 1)


class ColdEndpointsTest(TestCase):
    def test_the_latest_registration_counts(self):
        cold = ColdEndpoints()
        cold.record_registration(ENDPOINT, 3.0, 10.0)
        self.assertEqual(13.0, cold.until(ENDPOINT))
        cold.record_registration(ENDPOINT, 0.0, 11.0)
        self.assertEqual(0.0, cold.until(ENDPOINT))
        cold.record_registration(ENDPOINT, 2.0, 20.0)
        self.assertEqual([ENDPOINT], cold.cold(21.0))
        self.assertEqual([], cold.cold(22.0))

    def test_an_old_registration_does_not_end_what_is_assumed(self):
        cold = ColdEndpoints()
        cold.assume([ENDPOINT], 3.0, 10.0)
        cold.assume([ENDPOINT], 1.0, 10.5)
        cold.record_registration(ENDPOINT, 0.0, 11.0)
        self.assertEqual(13.0, cold.until(ENDPOINT))

    def test_no_endpoint_is_cold_for_ever(self):
        cold = ColdEndpoints()
        cold.record_registration(ENDPOINT, 1e15, 10.0)
        self.assertEqual(10.0 + MAX_COLD_S, cold.until(ENDPOINT))

    def test_a_restart_is_another_endpoint(self):
        cold = ColdEndpoints()
        cold.record_registration(ENDPOINT, 3.0, 10.0)
        self.assertEqual(0.0, cold.until(("a", 2)))
        cold.keep_only({("a", 2)})
        self.assertEqual(0.0, cold.until(ENDPOINT))
