"""Tests of the smaller decisions: routes, repeats, models, crashes, usual times."""

from radishshift.decisions.crashes import (
    MAX_CRASHES,
    SUSPECT_RETENTION_S,
    CrashSuspects,
)
from radishshift.decisions.model_choice import (
    MIN_CONFIDENCE,
    interpolated_time_s,
    next_model,
)
from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.decisions.routes import RouteTable, choose_service
from radishshift.gateway.deployment import ServiceShare
from tests.cases import TestCase
from tests.gateway.worlds import route

MODELS = ("small", "middle", "large")


class RoutesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table = RouteTable(
            [
                route(name="short", prefix="/a/"),
                route(name="long", prefix="/a/b/"),
                route(name="root", host="other", prefix="/"),
            ]
        )

    def _name(self, host, path):
        found = self.table.find(host, path)
        return found and found.name

    def test_the_longest_prefix_wins(self):
        self.assertEqual("long", self._name("example", "/a/b/c"))
        self.assertEqual("short", self._name("example", "/a/bc"))
        self.assertEqual("short", self._name("example", "/a/b"))

    def test_a_prefix_ends_at_a_slash(self):
        self.assertIsNone(self._name("example", "/ab"))
        self.assertIsNone(self._name("example", "/a"))

    def test_queries_ports_and_case_of_the_host_are_ignored(self):
        self.assertEqual("short", self._name("EXAMPLE:80", "/a/?x=/a/b/"))

    def test_a_host_s_routes_are_its_own(self):
        self.assertEqual("root", self._name("other", "/a/b/"))

    def test_shares_are_kept_and_each_key_stays(self):
        shares = (ServiceShare("x", 90), ServiceShare("y", 10))
        chosen = [choose_service(shares, str(key)) for key in range(5000)]
        self.assertAlmostEqual(0.1, chosen.count("y") / 5000, delta=0.02)
        again = [choose_service(shares, str(key)) for key in range(5000)]
        self.assertEqual(chosen, again)


class HostRetryBudgetTest(TestCase):
    def test_the_sum_over_hosts_keeps_the_bound_in_any_window(self):
        """Hosts that start anew in turn get no second part of the slack."""
        hosts = [HostRetryBudget(0.9, 10.0, 52.0) for _ in range(6)]
        for host in hosts:
            host.hosts = 6
        taken = []
        for step in range(2000):
            now = step / 100
            hosts[step % 6].request_received(now)
            for host in hosts:
                if host.try_acquire(now):
                    taken.append(now)
        for start in range(0, 10):
            repeats = sum(start <= at < start + 10 for at in taken)
            self.assertLessEqual(repeats, 0.9 * 1000 + 52)

    def test_a_host_of_unknown_peers_takes_a_small_part(self):
        budget = HostRetryBudget(0.9, 10.0, 52.0)
        taken = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertLessEqual(taken, 52 / 12)


TIMES = {"small": 0.5, "middle": 1.5, "large": 2.5}
COSTS = {"small": 0.02, "middle": 0.12, "large": 0.22}


def _next(model, confidence, left_s=3.0):
    return next_model(MODELS, model, confidence, TIMES.__getitem__, left_s)


class ModelChoiceTest(TestCase):
    def test_a_poor_answer_goes_to_the_largest_model(self):
        self.assertEqual("large", _next("small", MIN_CONFIDENCE - 1))

    def test_good_answers_and_those_without_an_opinion_are_kept(self):
        self.assertIsNone(_next("small", MIN_CONFIDENCE))
        self.assertIsNone(_next("small", None))

    def test_nothing_comes_after_the_largest(self):
        self.assertIsNone(_next("large", 0.0))

    def test_a_prompt_too_long_for_the_largest_goes_to_the_one_before(self):
        self.assertEqual("middle", _next("small", 0.0, left_s=2.0))

    def test_an_answer_that_is_late_anyway_is_the_largest_models(self):
        self.assertEqual("large", _next("small", 0.0, left_s=1.0))

    def test_the_time_of_a_model_that_was_not_used_lies_between_by_its_cost(self):
        known_s = {"small": 0.5, "large": 2.5}
        self.assertAlmostEqual(1.5, interpolated_time_s("middle", known_s, COSTS))
        self.assertEqual(0.5, interpolated_time_s("small", known_s, COSTS))

    def test_a_time_that_lies_between_nothing_known_is_taken_as_none(self):
        self.assertEqual(0.0, interpolated_time_s("large", {"small": 0.5}, COSTS))
        self.assertEqual(0.0, interpolated_time_s("middle", {}, {}))
        free = dict.fromkeys(COSTS, 0.0)
        known_s = {"small": 0.5, "large": 2.5}
        self.assertEqual(0.0, interpolated_time_s("middle", known_s, free))
        self.assertEqual(0.0, interpolated_time_s("middle", known_s, {"middle": 0.1}))


class CrashSuspectsTest(TestCase):
    def test_crashes_seen_by_two_hosts_add_up(self):
        suspects = CrashSuspects("edge-1")
        suspects.record_crash("x", 0.0)
        self.assertFalse(suspects.poisonous("x", 0.0))
        suspects.merge("edge-2", {"x": MAX_CRASHES - 1}, 1.0)
        self.assertTrue(suspects.poisonous("x", 1.0))

    def test_a_note_told_twice_counts_once(self):
        suspects = CrashSuspects("edge-1")
        for _ in range(5):
            suspects.merge("edge-2", {"x": 1}, 1.0)
        self.assertEqual(1, suspects.crash_count("x", 1.0))

    def test_a_request_that_completes_is_cleared(self):
        suspects = CrashSuspects("edge-1")
        suspects.record_crash("x", 0.0)
        suspects.record_completion("x")
        suspects.record_crash("x", 1.0)
        self.assertFalse(suspects.poisonous("x", 1.0))

    def test_suspects_are_forgotten(self):
        suspects = CrashSuspects("edge-1")
        for _ in range(MAX_CRASHES):
            suspects.record_crash("x", 0.0)
        self.assertFalse(suspects.poisonous("x", SUSPECT_RETENTION_S + 1))

    def test_the_table_is_bounded(self):
        suspects = CrashSuspects("edge-1")
        for number in range(10_000):
            suspects.record_crash(str(number), 0.0)
        self.assertLess(len(suspects.own_counts()), 3000)


class MovingAveragesTest(TestCase):
    def test_a_time_several_times_the_usual_is_slow(self):
        times = MovingAverages()
        for _ in range(20):
            times.ratio("x", 0.1)
        self.assertGreater(times.ratio("x", 0.8), 5.0)

    def test_slow_times_do_not_soon_become_usual(self):
        times = MovingAverages()
        for _ in range(20):
            times.ratio("x", 0.1)
        ratios = [times.ratio("x", 0.8) for _ in range(10)]
        self.assertGreater(ratios[5], 2.0)

    def test_times_of_a_version_on_trial_do_not_become_usual(self):
        times = MovingAverages()
        times.ratio("x", 0.1)
        for _ in range(100):
            times.ratio("x", 0.8, learn=False)
        self.assertEqual(0.1, times.mean_s("x"))
