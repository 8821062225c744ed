"""Tests of canary analysis during a roll-out."""

from radishshift.decisions.versions import CANARY_SHARE, VersionGuard
from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.host_settings import Bounds
from tests.cases import TestCase

SERVICE = "advice"
CANARY = CANARY_SHARE * Bounds().exposure_share


def version_guard(host="edge-1", state=RolloutState.ORDERED, began_at=0.0):
    guard = VersionGuard(host, Bounds())
    guard.update_rollouts([Rollout(SERVICE, "v2", 20.0, state, 1)], began_at)
    return guard


def record_answers(guard, count, bad, version="v2", route="r"):
    for number in range(count):
        guard.record_answer(SERVICE, version, route, number >= bad)


class ShareTest(TestCase):
    def test_no_version_is_chosen_without_a_roll_out(self):
        self.assertIsNone(
            VersionGuard("edge-1", Bounds()).uses_new_version("x", "s", 0.0)
        )

    def test_a_canary_gets_its_share_of_sessions(self):
        guard = version_guard()
        new = sum(guard.uses_new_version(SERVICE, str(key), 1.0) for key in range(5000))
        self.assertAlmostEqual(CANARY, new / 5000, delta=0.02)

    def test_hosts_choose_the_same_version_for_a_session(self):
        one, two = version_guard("edge-1"), version_guard("edge-2")
        for key in range(200):
            self.assertEqual(
                one.uses_new_version(SERVICE, str(key), 3.0),
                two.uses_new_version(SERVICE, str(key), 4.0),
            )

    def test_a_session_on_the_new_version_never_returns_to_the_old(self):
        guard = version_guard()
        for key in map(str, range(500)):
            uses_new = [
                guard.uses_new_version(SERVICE, key, now / 10) for now in range(200)
            ]
            self.assertEqual(sorted(uses_new), uses_new)

    def test_a_session_keeps_its_version_for_the_first_half(self):
        guard = version_guard()
        key = next(
            k for k in map(str, range(500)) if guard.uses_new_version(SERVICE, k, 1.0)
        )
        for now in range(10):
            guard.record_session_version(SERVICE, key, "v1", float(now))
            self.assertFalse(guard.uses_new_version(SERVICE, key, now + 0.5))

    def test_a_session_under_way_as_a_roll_out_is_ordered_stays(self):
        """Guards rule PINNED: a share of them moved to the new version at once."""
        guard = VersionGuard("edge-1", Bounds())
        keys = [f"s{number}" for number in range(400)]
        for key in keys:
            guard.record_session_version(SERVICE, key, "", 0.0)
        guard.update_rollouts(
            [Rollout(SERVICE, "v2", 20.0, RolloutState.ORDERED, 1)], 1.0
        )
        moved = [key for key in keys if guard.uses_new_version(SERVICE, key, 2.0)]
        self.assertEqual([], moved)
        begun = [guard.uses_new_version(SERVICE, f"new-{key}", 2.0) for key in keys]
        self.assertIn(True, begun)

    def test_a_session_that_comes_to_another_host_stays(self):
        """Guards rule PINNED: a host that didn't know it went by its hash."""
        order = [Rollout(SERVICE, "v2", 20.0, RolloutState.ORDERED, 1)]
        one, two, three = (VersionGuard(f"edge-{n}", Bounds()) for n in (1, 2, 3))
        keys = [f"s{number}" for number in range(400)]
        for key in keys:
            one.record_session_version(SERVICE, key, "", 0.0)
        for guard in (one, two, three):
            guard.update_rollouts(order, 1.0)
        by_hash = {key for key in keys if three.uses_new_version(SERVICE, key, 2.0)}
        two.merge_kept(one.kept_ages_s(1.5), 1.5)
        three.merge_kept(two.kept_ages_s(2.0), 2.1)
        self.assertEqual(len(by_hash), len(one.kept_ages_s(2.0)))
        self.assertGreater(len(by_hash), 0)
        for key in keys:
            self.assertFalse(three.uses_new_version(SERVICE, key, 3.0), key)

    def test_a_session_is_kept_from_its_last_request_on(self):
        order = [Rollout(SERVICE, "v2", 40.0, RolloutState.ORDERED, 1)]
        one, two = VersionGuard("edge-1", Bounds()), VersionGuard("edge-2", Bounds())
        gap_s = one.bounds.session_gap_s
        for guard in (one, two):
            guard.update_rollouts(order, 1.0)
        key = next(
            key
            for key in map(str, range(500))
            if one.uses_new_version(SERVICE, key, 1.0)
        )
        for now in (2.0, 6.0):
            one.record_session_version(SERVICE, key, "v1", now)
            two.merge_kept(one.kept_ages_s(now), now)
        self.assertFalse(two.uses_new_version(SERVICE, key, 6.0 + gap_s))
        self.assertTrue(two.uses_new_version(SERVICE, key, 6.1 + gap_s))
        self.assertEqual({}, one.kept_ages_s(6.1 + gap_s))

    def test_hosts_tell_each_other_no_age_that_shrinks(self):
        """Each took the transit of the other's message for a later request."""
        order = [Rollout(SERVICE, "v2", 90.0, RolloutState.ORDERED, 1)]
        one, two = VersionGuard("edge-1", Bounds()), VersionGuard("edge-2", Bounds())
        for number in range(400):
            one.record_session_version(SERVICE, str(number), "", 0.0)
        for guard in (one, two):
            guard.update_rollouts(order, 0.0)
        now = 0.0
        while now < one.bounds.session_gap_s + 0.5:
            for sender, receiver in ((one, two), (two, one)):
                ages_s = sender.kept_ages_s(now)
                now += 0.05
                receiver.merge_kept(ages_s, now)
        self.assertEqual(({}, {}), (one.kept_ages_s(now), two.kept_ages_s(now)))

    def test_all_sessions_use_the_new_version_before_completion(self):
        guard = version_guard()
        record_answers(guard, 20, 0)
        self.assertTrue(
            all(guard.uses_new_version(SERVICE, str(key), 15.0) for key in range(200))
        )

    def test_a_suspect_version_gets_no_more_sessions(self):
        """A slow version got a third of the sessions while its counts were suspect."""
        guard = version_guard()
        record_answers(guard, 300, 3, version="v1")
        record_answers(guard, 12, 3)
        self.assertFalse(guard.canaries[SERVICE].stopped)
        self.assertEqual(CANARY, guard.new_version_share(SERVICE, 15.0))

    def test_a_version_with_few_answers_does_not_get_all_sessions(self):
        guard = version_guard()
        record_answers(guard, 2, 0)
        self.assertLess(guard.new_version_share(SERVICE, 15.0), 0.5)
        self.assertEqual(1.0, guard.new_version_share(SERVICE, 16.5))

    def test_a_roll_out_of_the_next_version_starts_over(self):
        guard = version_guard(state=RolloutState.COMPLETED)
        guard.update_rollouts(
            [Rollout(SERVICE, "v3", 20.0, RolloutState.ORDERED, 9)], 100.0
        )
        self.assertEqual(CANARY, guard.new_version_share(SERVICE, 101.0))


class VerdictTest(TestCase):
    def test_a_version_that_fails_half_is_stopped_before_the_50th_bad_answer(self):
        guard = version_guard()
        record_answers(guard, 100, 1, version="v1")
        for number in range(40):
            guard.record_answer(SERVICE, "v2", "r", number % 2 == 0)
        self.assertTrue(guard.canaries[SERVICE].stopped)
        self.assertEqual(0.0, guard.new_version_share(SERVICE, 5.0))
        self.assertEqual(RolloutState.ROLLED_BACK, guard.due_state(SERVICE, 5.0, False))

    def test_a_version_as_good_as_the_old_is_kept(self):
        guard = version_guard()
        for number in range(300):
            guard.record_answer(SERVICE, "v1", "r", number % 7 != 0)
            guard.record_answer(SERVICE, "v2", "r", number % 7 != 3)
        self.assertFalse(guard.canaries[SERVICE].stopped)

    def test_a_version_that_is_bad_on_one_route_is_stopped(self):
        guard = version_guard()
        record_answers(guard, 300, 0, version="v1", route="fine")
        record_answers(guard, 20, 0, version="v1", route="bad")
        record_answers(guard, 200, 0, route="fine")
        record_answers(guard, 10, 6, route="bad")
        self.assertTrue(guard.canaries[SERVICE].stopped)

    def test_a_version_eight_times_slower_is_stopped_within_few_answers(self):
        """Guards rule EXPOSURE: slow times raised the mean they were compared with."""
        guard = version_guard()
        record_answers(guard, 100, 1, version="v1")
        for number in range(24):
            guard.record_time(SERVICE, "v2", "r", 1.6 if number % 2 else 2.4, 1.0)
        self.assertTrue(guard.canaries[SERVICE].stopped)

    def test_a_version_slow_on_half_of_its_answers_gets_no_more_sessions(self):
        """Guards rule EXPOSURE: it got all sessions at 0.72 of its time."""
        guard = version_guard()
        for number in range(60):
            ratio = (0.8, 1.0, 1.3, 1.8)[number % 4]
            guard.record_time(SERVICE, "v2", "r", ratio, number / 6)
        record_answers(guard, 20, 0)
        self.assertEqual(CANARY, guard.new_version_share(SERVICE, 15.0))

    def test_a_version_with_all_sessions_may_be_as_slow_as_the_old(self):
        guard = version_guard()
        record_answers(guard, 20, 0)
        for number in range(200):
            guard.record_time(SERVICE, "v2", "r", 1.2, 15.0 + number / 100)
        self.assertEqual(1.0, guard.new_version_share(SERVICE, 17.0))

    def test_a_version_as_fast_as_the_old_is_kept_despite_stalls(self):
        guard = version_guard()
        for number in range(500):
            ratio = 20.0 if number % 12 == 0 else 0.9
            guard.record_time(SERVICE, "v2", "r", ratio, number / 25)
        self.assertFalse(guard.canaries[SERVICE].stopped)
        self.assertFalse(guard.canaries[SERVICE].looks_suspect())

    def test_a_version_that_becomes_slow_late_is_stopped_soon(self):
        guard = version_guard()
        for _ in range(500):
            guard.record_time(SERVICE, "v2", "r", 0.5, 1.0)
        for _ in range(12):
            guard.record_time(SERVICE, "v2", "r", 2.4, 17.0)
        self.assertTrue(guard.canaries[SERVICE].stopped)

    def test_a_roll_out_completes_once_the_old_version_is_idle(self):
        guard = version_guard(state=RolloutState.RUNNING)
        self.assertIsNone(guard.due_state(SERVICE, 17.5, False))
        self.assertEqual(RolloutState.COMPLETED, guard.due_state(SERVICE, 17.5, True))

    def test_a_roll_out_completes_in_time_if_the_old_version_is_not_idle(self):
        guard = version_guard(state=RolloutState.RUNNING)
        self.assertEqual(RolloutState.COMPLETED, guard.due_state(SERVICE, 19.5, False))

    def test_a_version_still_suspect_at_the_end_is_rolled_back(self):
        guard = version_guard(state=RolloutState.RUNNING)
        record_answers(guard, 300, 3, version="v1")
        record_answers(guard, 12, 3)
        self.assertEqual(RolloutState.ROLLED_BACK, guard.due_state(SERVICE, 19.5, True))

    def test_no_state_is_written_after_the_end(self):
        guard = version_guard(state=RolloutState.ROLLED_BACK)
        self.assertIsNone(guard.due_state(SERVICE, 19.5, True))
        self.assertFalse(guard.uses_new_version(SERVICE, "s", 19.5))
