"""Tests of endpoint choice."""

from radishshift.decisions.placing import (
    COORDINATED_REMOTE_COST,
    PlacementRequest,
    Placer,
)
from radishshift.gateway.deployment import Member
from tests.cases import TestCase


def _members(*data_centres, version="v1"):
    return [
        Member(
            f"{data_centre}-{number}", "advice", "10.0.0.1:1", data_centre, version, 64
        )
        for number, data_centre in enumerate(data_centres)
    ]


REQUEST = PlacementRequest("advice", "mbeya")


class PlacingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.placer = Placer()

    def _names(self, members, request=REQUEST, count=1, now=0.0):
        chosen = []
        for _ in range(count):
            member = self.placer.choose(members, request, now)
            self.placer.view(member).in_flight += 1
            chosen.append(member.name)
        return chosen

    def test_load_is_spread_over_endpoints(self):
        members = _members("mbeya", "mbeya", "mbeya")
        chosen = self._names(members, count=30)
        for member in members:
            self.assertEqual(10, chosen.count(member.name))

    def test_the_local_data_centre_is_preferred_until_it_is_busier(self):
        members = _members("iringa", "mbeya")
        chosen = self._names(members, count=20)
        self.assertEqual("mbeya-1", chosen[0])
        self.assertIn("iringa-0", chosen)

    def test_a_coordinator_leaves_its_data_centre_only_for_much_less_load(self):
        """By sums half a second old, five coordinators chose the same idle endpoint."""
        members = _members("iringa", "mbeya")
        request = PlacementRequest(
            "advice", "mbeya", remote_cost=COORDINATED_REMOTE_COST
        )
        chosen = self._names(members, request, count=12)
        self.assertEqual(["mbeya-1"] * 6, chosen[:6])
        self.assertIn("iringa-0", chosen)

    def test_load_by_other_hosts_counts(self):
        members = _members("mbeya", "mbeya")
        self.placer.view(members[0]).others_load = 9
        self.assertEqual(["mbeya-1"] * 9, self._names(members, count=9))

    def test_a_slow_endpoint_gets_fewer_attempts(self):
        members = _members("mbeya", "mbeya")
        self.placer.view(members[0]).latency_ratio = 5.0
        chosen = self._names(members, count=30)
        self.assertLess(chosen.count("mbeya-0"), 10)

    def test_prompts_with_a_shared_prefix_go_to_one_endpoint(self):
        members = _members(*["mbeya"] * 6)
        request = PlacementRequest("advice", "mbeya", "part", 8000)
        first = self._names(members, request, count=3)
        self.assertEqual(1, len(set(first)))

    def _prompt(self, prefill_ktokens):
        """Return a request of 12,000 tokens, 8,000 of them shared."""
        return PlacementRequest(
            "advice",
            "mbeya",
            "part",
            8000,
            prefill_ktokens,
            parts=[("part", 8000)],
            prompt_tokens=12_000,
            sees_prompts=True,
        )

    def _wait_for_held(self, prefill_ktokens):
        """Return how much more load an endpoint may have that holds the prefix."""
        members = _members("mbeya", "mbeya")
        request = self._prompt(prefill_ktokens)
        for load in range(100):
            placer = Placer()
            holder, other = members
            placer.record_choice(holder, request, 0.0)
            placer.view(holder).in_flight = load
            if placer.choose(members, request, 1.0) is other:
                return load
        return 100

    def test_what_is_saved_is_weighed_against_the_wait(self):
        """A long prefill by the largest model is worth a wait, a short one is not."""
        largest, smallest = self._wait_for_held(12.0), self._wait_for_held(0.8)
        self.assertGreater(largest, 2 * smallest)
        # 8,000 tokens take the largest model as long as 24 requests in flight.
        self.assertLessEqual(largest, 24 + 8 + 1)
        self.assertGreaterEqual(largest, 24)

    def test_less_is_saved_where_few_streams_would_be_delayed(self):
        request = self._prompt(12.0)
        idle, busy = request.saved_load(8000, 0.0), request.saved_load(8000, 20.0)
        self.assertAlmostEqual(8.0, idle)
        self.assertAlmostEqual(24.0, busy)

    def test_an_endpoint_without_memory_saves_nothing(self):
        members = _members("mbeya", "mbeya")
        request = self._prompt(12.0)
        self.placer.room_tokens = lambda service: 10_000
        self.placer.record_choice(members[0], request, 0.0)
        terms = self.placer.explain(members, request, 1.0)
        self.assertEqual([0.0, 0.0], [each.saved for each in terms.values()])

    def test_a_hot_prefix_spills_over_to_other_endpoints(self):
        members = _members(*["mbeya"] * 6)
        request = PlacementRequest("advice", "mbeya", "part", 8000)
        self.assertGreater(len(set(self._names(members, request, count=60))), 3)

    def test_an_unreachable_endpoint_is_avoided_at_once(self):
        members = _members("mbeya", "mbeya")
        view = self.placer.view(members[0])
        view.record_unreachable(5.0)
        view.circuit_breaker.record_outcome(False, 5.0)
        self.assertEqual({"mbeya-1"}, set(self._names(members, count=30, now=5.1)))

    def test_an_avoided_endpoint_is_tried_again_after_a_pause(self):
        members = _members("mbeya", "mbeya")
        view = self.placer.view(members[0])
        view.record_unreachable(5.0)
        view.circuit_breaker.record_outcome(False, 5.0)
        self.placer.view(members[1]).in_flight = 3
        self.assertEqual(["mbeya-0"], self._names(members, now=8.0))

    def test_a_data_centre_that_seems_cut_off_is_a_last_resort(self):
        members = _members("iringa", "iringa", "mbeya")
        self.placer.view(members[2]).in_flight = 40
        self.placer.view(members[0]).record_unreachable(5.0)
        self.assertEqual(["mbeya-2"], self._names(members, now=5.1))

    def test_the_endpoint_that_failed_last_is_not_chosen(self):
        members = _members("mbeya")
        request = PlacementRequest("advice", "mbeya", tried=["mbeya-0"])
        self.assertIsNone(self.placer.choose(members, request, 0.0))

    def test_only_endpoints_of_the_required_version_are_chosen(self):
        members = _members("mbeya") + _members("tuzla", version="v2")
        request = PlacementRequest("advice", "mbeya", version="v2")
        self.assertEqual(["tuzla-0"], self._names(members, request))
        missing = PlacementRequest("advice", "mbeya", version="v3")
        self.assertIsNone(self.placer.choose(members, missing, 0.0))

    def test_an_endpoint_busy_with_a_long_prefill_gets_fewer_attempts(self):
        """A prompt of 60,000 tokens that counted as one request delayed others."""
        members = _members("mbeya", "mbeya")
        view = self.placer.view(members[0])
        view.attempt_started(20.0)
        self.assertEqual(["mbeya-1"] * 10, self._names(members, count=10))
        view.prefill_done(20.0)
        self.assertEqual(["mbeya-0"] * 5, self._names(members, count=5))

    def test_no_prefill_is_pending_once_all_attempts_have_ended(self):
        view = self.placer.view(_members("mbeya")[0])
        for tokens in (0.1, 0.2, 0.3):
            view.attempt_started(tokens)
        view.prefill_done(0.1)
        for _ in range(3):
            view.attempt_ended()
        self.assertEqual(0.0, view.load)
