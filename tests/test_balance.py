"""Tests of the load-balancing policies."""

from radishshift.balance import BalancingContext, choose
from radishshift.endpoints import Endpoint
from radishshift.errors import NoEndpointError
from radishshift.loads import Candidate
from tests.cases import TestCase


def endpoint(name, data_centre="mbeya"):
    return Endpoint(name, "", data_centre, frozenset({"advice"}), 8, False)


def balancing_context(prefix=1, seen=True, host="mbeya-entry-1"):
    return BalancingContext("advice", "mbeya", prefix, 0.0, host, seen)


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

    def choose_name(self, context, candidates):
        return choose("bounded-affinity", context, candidates).name

    def test_all_hosts_choose_the_same_endpoint_for_a_prefix(self):
        chosen_names = {
            self.choose_name(
                balancing_context(7, host=f"entry-{number}"), self.candidates()
            )
            for number in range(20)
        }
        self.assertEqual(1, len(chosen_names))

    def test_prefixes_are_spread_over_all_endpoints(self):
        chosen_names = {
            self.choose_name(balancing_context(prefix), self.candidates())
            for prefix in range(100)
        }
        self.assertEqual(set(self.names), chosen_names)

    def test_an_overloaded_endpoint_is_skipped(self):
        preferred = self.choose_name(balancing_context(), self.candidates())
        fallback = self.choose_name(
            balancing_context(), self.candidates(loads={preferred: 0.9})
        )
        self.assertNotEqual(preferred, fallback)

    def test_the_fallback_is_an_endpoint_that_has_the_prefix_cached(self):
        preferred = self.choose_name(balancing_context(), self.candidates())
        for cached_at in set(self.names) - {preferred}:
            candidates = self.candidates(loads={preferred: 0.9}, cached={cached_at})
            self.assertEqual(
                cached_at, self.choose_name(balancing_context(), candidates)
            )

    def test_a_slow_endpoint_is_skipped(self):
        preferred = self.choose_name(balancing_context(), self.candidates())
        fallback = self.choose_name(
            balancing_context(), self.candidates(waits={preferred: 2.0})
        )
        self.assertNotEqual(preferred, fallback)

    def test_an_idle_endpoint_does_not_attract_all_prefixes(self):
        """All hosts see an idle endpoint at the same time and would flood it."""
        idle = self.names[0]
        candidates = self.candidates(loads=dict.fromkeys(self.names[1:], 0.5))
        count_at_idle = [
            self.choose_name(balancing_context(prefix), candidates)
            for prefix in range(300)
        ].count(idle)
        self.assertLess(count_at_idle, 100)

    def test_another_data_centre_is_used_only_without_a_local_endpoint(self):
        remote = Candidate(endpoint("away", "iringa"), 0, 0.0)
        local = Candidate(endpoint("home"), 8, 1.0, 5.0)
        self.assertEqual("home", self.choose_name(balancing_context(), [remote, local]))
        self.assertEqual("away", self.choose_name(balancing_context(), [remote]))

    def test_without_candidates_an_error_is_raised(self):
        self.assertRaises(
            NoEndpointError, choose, "bounded-affinity", balancing_context(), []
        )
