"""Tests of how long silent streams stay at their endpoints."""

from radishshift.decisions.event_pauses import (
    MAX_TIMEOUT_S,
    PATIENCE_RATIO,
    RETENTION_S,
    EventPauses,
)
from tests.cases import TestCase

USUAL_S = 2.0


class EventPausesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pauses = EventPauses()

    def _timeout_s(self, endpoint="a", now=1.0):
        return self.pauses.timeout_s("advice", endpoint, USUAL_S, now)

    def _record(self, now=0.0, **longest_s):
        for endpoint, pause_s in longest_s.items():
            self.pauses.record("advice", endpoint, pause_s, now)

    def test_pauses_at_half_of_the_other_endpoints_make_patient(self):
        self.assertEqual(USUAL_S, self._timeout_s())
        self._record(a=9.0)
        self.assertEqual(USUAL_S, self._timeout_s())
        self._record(b=0.1, c=1.5)
        self.assertEqual(1.5 * PATIENCE_RATIO, self._timeout_s())
        self._record(d=0.1)
        self.assertEqual(USUAL_S, self._timeout_s())
        self.assertEqual(USUAL_S, self.pauses.timeout_s("desk", "a", USUAL_S, 1.0))

    def test_short_pauses_change_nothing_and_long_ones_have_a_bound(self):
        self._record(b=0.7, c=0.7)
        self.assertEqual(USUAL_S, self._timeout_s())
        self._record(b=60.0, c=60.0)
        self.assertEqual(MAX_TIMEOUT_S, self._timeout_s())

    def test_pauses_are_forgotten(self):
        self._record(b=2.5, c=2.5)
        self._record(now=20.0, b=1.5)
        self._record(now=20.0, c=1.5)
        self.assertEqual(2.5 * PATIENCE_RATIO, self._timeout_s(now=21.0))
        later = RETENTION_S + 1.0
        self.assertEqual(1.5 * PATIENCE_RATIO, self._timeout_s(now=later))
        self.assertEqual(USUAL_S, self._timeout_s(now=RETENTION_S + 21.0))

    def test_an_endpoint_that_is_gone_does_not_count(self):
        self._record(b=2.5, c=0.1, d=0.1)
        later = RETENTION_S - 1.0
        self._record(now=later, b=2.5)
        self.assertEqual(2.5 * PATIENCE_RATIO, self._timeout_s(now=later + 2.0))
