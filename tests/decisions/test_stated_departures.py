"""Tests of the departures that endpoints state in their answers."""

from radishshift.decisions.stated_departures import (
    REPORT_TIME_S,
    RETENTION_S,
    StatedDepartures,
)
from tests.cases import TestCase

ENDPOINT = ("a", 1)


class StatedDeparturesTest(TestCase):
    def test_the_first_statement_counts(self):
        departures = StatedDepartures()
        self.assertTrue(departures.record(ENDPOINT, 5.0))
        self.assertFalse(departures.record(ENDPOINT, 7.0))
        self.assertEqual(5.0, departures.since(ENDPOINT))

    def test_a_peer_that_does_not_know_of_it_takes_nothing_back(self):
        one, two = StatedDepartures(), StatedDepartures()
        one.record(ENDPOINT, 5.0)
        self.assertFalse(one.merge(two.reports(6.0), 6.0))
        self.assertTrue(two.merge(one.reports(6.0), 6.0))
        self.assertEqual(5.0, two.since(ENDPOINT))

    def test_old_statements_are_not_repeated(self):
        """They would fill the messages between hosts while all endpoints leave."""
        departures = StatedDepartures()
        departures.record(ENDPOINT, 5.0)
        self.assertEqual([], departures.reports(5.1 + REPORT_TIME_S))

    def test_a_restarted_endpoint_is_not_leaving(self):
        departures = StatedDepartures()
        departures.record(ENDPOINT, 5.0)
        self.assertIsNone(departures.since(("a", 2)))

    def test_a_departure_is_kept_while_its_endpoint_is_listed(self):
        departures = StatedDepartures()
        departures.record(ENDPOINT, 5.0)
        departures.expire({ENDPOINT}, 5.0 + 2 * RETENTION_S)
        self.assertIsNotNone(departures.since(ENDPOINT))
        departures.expire(set(), 5.0 + RETENTION_S)
        self.assertIsNone(departures.since(ENDPOINT))
