"""Tests of the choice of endpoints."""

from radishshift.balance import BalancingContext, choose
from radishshift.endpoints import Endpoint
from radishshift.errors import NoEndpointError
from radishshift.loads import Candidate
from tests.cases import TestCase


def endpoint(name, data_centre="mbeya"):
    return Endpoint(name, "", data_centre, frozenset({"advice"}), 8, False)


def context(prefix=1, shared=True, host="mbeya-entry-1"):
    return BalancingContext("advice", "mbeya", prefix, 0.0, host, shared)


class BoundedAffinityTest(TestCase):
    names = tuple(f"engine-{number}" for number in range(6))

    def candidates(self, loads=None, waits=None, cached=()):
        return [
            Candidate(
                endpoint(name),
                0,
                (waits or {}).get(name, 0.05),
                (loads or {}).get(name, 0.2),
                name in cached,
            )
            for name in self.names
        ]

    def chosen(self, asked, candidates):
        return choose("bounded-affinity", asked, candidates).name

    def test_all_hosts_agree_on_a_prefix_without_a_message(self):
        found = {
            self.chosen(context(7, host=f"entry-{number}"), self.candidates())
            for number in range(20)
        }
        self.assertEqual(1, len(found))

    def test_prefixes_spread(self):
        found = {
            self.chosen(context(prefix), self.candidates()) for prefix in range(100)
        }
        self.assertEqual(set(self.names), found)

    def test_a_busy_home_is_passed_over(self):
        home = self.chosen(context(), self.candidates())
        other = self.chosen(context(), self.candidates(loads={home: 0.9}))
        self.assertNotEqual(home, other)

    def test_the_one_passed_to_is_one_that_has_the_prefix(self):
        home = self.chosen(context(), self.candidates())
        for holder in set(self.names) - {home}:
            candidates = self.candidates(loads={home: 0.9}, cached={holder})
            self.assertEqual(holder, self.chosen(context(), candidates))

    def test_a_slow_home_is_passed_over(self):
        home = self.chosen(context(), self.candidates())
        other = self.chosen(context(), self.candidates(waits={home: 2.0}))
        self.assertNotEqual(home, other)

    def test_an_idle_endpoint_does_not_draw_all_prefixes(self):
        """A report of an idle endpoint reaches all hosts at once."""
        idle = self.names[0]
        candidates = self.candidates(loads=dict.fromkeys(self.names[1:], 0.5))
        found = [
            self.chosen(context(prefix), candidates) for prefix in range(300)
        ].count(idle)
        self.assertLess(found, 100)

    def test_another_data_centre_only_when_there_is_none_at_home(self):
        away = Candidate(endpoint("away", "iringa"), 0, 0.0)
        home = Candidate(endpoint("home"), 8, 1.0, 5.0)
        self.assertEqual("home", self.chosen(context(), [away, home]))
        self.assertEqual("away", self.chosen(context(), [away]))

    def test_no_endpoint_is_a_refusal(self):
        self.assertRaises(NoEndpointError, choose, "bounded-affinity", context(), [])
