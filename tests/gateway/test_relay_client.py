"""Tests of what a host concludes from the status of a peer that is to relay."""

from radishshift.gateway.relay_client import _error_of_status
from radishshift.verdicts import Verdict
from tests.cases import TestCase


class StatusTest(TestCase):
    def test_an_order_that_the_peer_had_no_room_for_was_not_run(self):
        """Callers of bookings got 502, as if it might have run."""
        for status in (400, 408, 413, 503):
            self.assertIs(Verdict.NOT_RUN, _error_of_status("edge-1", status).verdict)
        for status in (404, 500, 502):
            verdict = _error_of_status("edge-1", status).verdict
            self.assertIs(Verdict.MAY_HAVE_RUN, verdict)
