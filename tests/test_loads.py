"""Tests of a host's estimate of the load of endpoints."""

from radishshift.loads import EndpointLoads, LoadReport
from tests.cases import TestCase
from tests.test_balance import endpoint

ENGINE = endpoint("engine-1")


class EndpointLoadsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.loads = EndpointLoads()

    def candidate(self, now):
        return next(self.loads.candidates([ENGINE], now))

    def test_attempts_since_a_report_are_added_to_it(self):
        self.loads.record_start(ENGINE, 0.0)
        self.loads.record_report(ENGINE.name, LoadReport(1.0, 9, 0))
        self.assertEqual(9, self.candidate(3.0).load * ENGINE.slots)
        for _ in range(4):
            self.loads.record_start(ENGINE, 3.0)
        self.assertEqual(13, self.candidate(3.0).load * ENGINE.slots)

    def test_other_hosts_are_assumed_to_react_alike(self):
        """All hosts would otherwise send to an endpoint that was reported idle."""
        self.loads.host_count = 5
        self.loads.record_report(ENGINE.name, LoadReport(1.0, 0, 0))
        for _ in range(4):
            self.loads.record_start(ENGINE, 2.0)
        self.assertEqual(4 + 8, self.candidate(2.0).load * ENGINE.slots)

    def test_without_a_recent_report_the_own_attempts_are_extrapolated(self):
        self.loads.host_count = 3
        self.loads.record_start(ENGINE, 0.0)
        self.assertEqual(3, self.candidate(0.0).load * ENGINE.slots)
        self.loads.record_report(ENGINE.name, LoadReport(0.0, 30, 0))
        self.assertEqual(3, self.candidate(60.0).load * ENGINE.slots)

    def test_an_older_report_is_ignored(self):
        self.loads.record_report(ENGINE.name, LoadReport(2.0, 8, 0))
        self.loads.record_report(ENGINE.name, LoadReport(1.0, 0, 0))
        self.assertEqual(1.0, self.candidate(2.0).load)

    def test_a_wait_counts_before_the_first_token(self):
        self.loads.record_start(ENGINE, 0.0)
        self.assertEqual(3.0, self.candidate(3.0).expected_wait_s)

    def test_a_recorded_wait_expires(self):
        self.loads.record_start(ENGINE, 0.0)
        self.loads.record_first_token(ENGINE, 4.0, 4.0)
        self.loads.record_end(ENGINE, 5.0)
        self.assertEqual(4.0, self.candidate(5.0).expected_wait_s)
        self.assertEqual(0.0, self.candidate(20.0).expected_wait_s)

    def test_a_failing_endpoint_is_left_out_and_probed(self):
        other = endpoint("engine-2")
        for _ in range(3):
            self.loads.record_start(ENGINE, 0.0)
            self.loads.record_end(ENGINE, 0.0, ok=False)

        def names(now):
            found = self.loads.candidates([ENGINE, other], now)
            return [candidate.endpoint.name for candidate in found]

        self.assertEqual(["engine-2"], names(0.5))
        self.assertEqual(["engine-1", "engine-2"], names(1.5))
        self.loads.record_start(ENGINE, 1.5)
        self.assertEqual(["engine-2"], names(1.6))
        self.loads.record_end(ENGINE, 1.7)
        self.assertEqual(["engine-1", "engine-2"], names(1.8))

    def test_an_attempt_ended_by_its_deadline_does_not_close_a_circuit_breaker(self):
        other = endpoint("engine-2")
        for _ in range(3):
            self.loads.record_start(ENGINE, 0.0)
            self.loads.record_end(ENGINE, 0.0, ok=False)
        self.loads.record_start(ENGINE, 0.1)
        self.loads.record_end(ENGINE, 0.2, ok=None)
        names = {
            each.endpoint.name for each in self.loads.candidates([ENGINE, other], 0.3)
        }
        self.assertEqual({"engine-2"}, names)

    def test_the_only_endpoint_is_never_left_out(self):
        for _ in range(9):
            self.loads.record_start(ENGINE, 0.0)
            self.loads.record_end(ENGINE, 0.0, ok=False)
        self.assertEqual(1, len(list(self.loads.candidates([ENGINE], 0.0))))

    def test_a_clock_stepping_back_yields_no_negative_wait(self):
        self.loads.record_start(ENGINE, 100.0)
        self.loads.record_first_token(ENGINE, 0.1, 100.1)
        self.loads.record_start(ENGINE, 50.0)
        self.loads.record_end(ENGINE, 51.0)
        self.assertGreaterEqual(self.candidate(50.0).expected_wait_s, 0.0)
