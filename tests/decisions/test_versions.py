"""Tests of versions under a roll-out."""

from radishshift.decisions.versions import CANARY_SHARE, VersionGuard
from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.host_settings import Bounds
from tests.cases import TestCase

SERVICE = "advice"
CANARY = CANARY_SHARE * Bounds().exposure_share


def guard(host="edge-1", state=RolloutState.ORDERED, began=0.0):
    held = VersionGuard(host, Bounds())
    held.update_rollouts([Rollout(SERVICE, "v2", 20.0, state, 1)], began)
    return held


def answers(held, count, bad, version="v2", name="r"):
    for number in range(count):
        held.record_answer(SERVICE, version, name, number >= bad)


class ShareTest(TestCase):
    def test_without_a_roll_out_nothing_is_said(self):
        self.assertIsNone(
            VersionGuard("edge-1", Bounds()).uses_new_version("x", "s", 0.0)
        )

    def test_a_canary_gets_its_share_of_sessions(self):
        held = guard()
        new = sum(held.uses_new_version(SERVICE, str(key), 1.0) for key in range(5000))
        self.assertAlmostEqual(CANARY, new / 5000, delta=0.02)

    def test_hosts_agree_on_the_version_of_a_session(self):
        one, two = guard("edge-1"), guard("edge-2")
        for key in range(200):
            self.assertEqual(
                one.uses_new_version(SERVICE, str(key), 3.0),
                two.uses_new_version(SERVICE, str(key), 4.0),
            )

    def test_a_session_on_the_new_version_never_returns_to_the_old(self):
        held = guard()
        for key in map(str, range(500)):
            chosen = [
                held.uses_new_version(SERVICE, key, now / 10) for now in range(200)
            ]
            self.assertEqual(sorted(chosen), chosen)

    def test_a_session_under_way_stays_for_the_first_half(self):
        held = guard()
        key = next(
            k for k in map(str, range(500)) if held.uses_new_version(SERVICE, k, 1.0)
        )
        for now in range(10):
            held.record_session_version(SERVICE, key, "v1", float(now))
            self.assertFalse(held.uses_new_version(SERVICE, key, now + 0.5))

    def test_all_go_to_the_new_version_before_it_is_completed(self):
        held = guard()
        answers(held, 20, 0)
        self.assertTrue(
            all(held.uses_new_version(SERVICE, str(key), 15.0) for key in range(200))
        )

    def test_no_more_sessions_go_to_a_version_in_doubt(self):
        """A slow version got a third of the sessions while it was in doubt."""
        held = guard()
        answers(held, 300, 3, version="v1")
        answers(held, 12, 3)
        self.assertFalse(held.canaries[SERVICE].stopped)
        self.assertEqual(CANARY, held.share(SERVICE, 15.0))

    def test_not_all_go_to_a_version_that_has_hardly_answered(self):
        held = guard()
        answers(held, 2, 0)
        self.assertLess(held.share(SERVICE, 15.0), 0.5)
        self.assertEqual(1.0, held.share(SERVICE, 16.5))

    def test_an_order_to_the_next_version_begins_anew(self):
        held = guard(state=RolloutState.COMPLETED)
        held.update_rollouts(
            [Rollout(SERVICE, "v3", 20.0, RolloutState.ORDERED, 9)], 100.0
        )
        self.assertEqual(CANARY, held.share(SERVICE, 101.0))


class VerdictTest(TestCase):
    def test_a_version_that_fails_half_is_stopped_before_the_50th_bad_answer(self):
        held = guard()
        answers(held, 100, 1, version="v1")
        for number in range(40):
            held.record_answer(SERVICE, "v2", "r", number % 2 == 0)
        self.assertTrue(held.canaries[SERVICE].stopped)
        self.assertEqual(0.0, held.share(SERVICE, 5.0))
        self.assertEqual(RolloutState.ROLLED_BACK, held.due_state(SERVICE, 5.0, False))

    def test_a_version_as_good_as_the_old_is_kept(self):
        held = guard()
        for number in range(300):
            held.record_answer(SERVICE, "v1", "r", number % 7 != 0)
            held.record_answer(SERVICE, "v2", "r", number % 7 != 3)
        self.assertFalse(held.canaries[SERVICE].stopped)

    def test_a_version_that_is_bad_on_one_route_is_stopped(self):
        held = guard()
        answers(held, 300, 0, version="v1", name="fine")
        answers(held, 20, 0, version="v1", name="bad")
        answers(held, 200, 0, name="fine")
        answers(held, 10, 6, name="bad")
        self.assertTrue(held.canaries[SERVICE].stopped)

    def test_a_version_eight_times_slower_is_stopped_within_few_answers(self):
        """EXPOSURE broke on a day of ours: slow answers passed as the old one's."""
        held = guard()
        answers(held, 100, 1, version="v1")
        for number in range(24):
            held.record_time(SERVICE, "v2", "r", 1.6 if number % 2 else 2.4)
        self.assertTrue(held.canaries[SERVICE].stopped)

    def test_a_version_as_quick_as_the_old_is_kept_through_stalls(self):
        held = guard()
        for number in range(500):
            held.record_time(SERVICE, "v2", "r", 20.0 if number % 12 == 0 else 0.9)
        self.assertFalse(held.canaries[SERVICE].stopped)
        self.assertFalse(held.canaries[SERVICE].looks_suspect())

    def test_a_version_that_turns_slow_late_is_stopped_soon(self):
        held = guard()
        for _ in range(500):
            held.record_time(SERVICE, "v2", "r", 0.5)
        for _ in range(12):
            held.record_time(SERVICE, "v2", "r", 2.4)
        self.assertTrue(held.canaries[SERVICE].stopped)

    def test_it_is_completed_once_the_old_version_has_no_work(self):
        held = guard(state=RolloutState.RUNNING)
        self.assertIsNone(held.due_state(SERVICE, 17.5, False))
        self.assertEqual(RolloutState.COMPLETED, held.due_state(SERVICE, 17.5, True))

    def test_it_is_completed_in_its_time_all_the_same(self):
        held = guard(state=RolloutState.RUNNING)
        self.assertEqual(RolloutState.COMPLETED, held.due_state(SERVICE, 19.5, False))

    def test_a_version_still_in_doubt_at_the_end_is_rolled_back(self):
        held = guard(state=RolloutState.RUNNING)
        answers(held, 300, 3, version="v1")
        answers(held, 12, 3)
        self.assertEqual(RolloutState.ROLLED_BACK, held.due_state(SERVICE, 19.5, True))

    def test_nothing_is_written_once_it_has_ended(self):
        held = guard(state=RolloutState.ROLLED_BACK)
        self.assertIsNone(held.due_state(SERVICE, 19.5, True))
        self.assertFalse(held.uses_new_version(SERVICE, "s", 19.5))
