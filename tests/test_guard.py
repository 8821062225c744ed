"""Tests of the sequential test of a roll-out."""

import numpy as np

from radishshift.guard import METRICS, Arm, Guard, SequentialTest
from tests.cases import TestCase

TRIALS = 200


def _arm(rng, count, mean):
    total = rng.binomial(count, mean, TRIALS).astype(float)
    return Arm(np.full(TRIALS, float(count)), total, total)


def _stopped(seed, canary_mean, looks=300, turns_at=0):
    """Return at which look each trial was stopped; `looks` for never."""
    rng = np.random.default_rng(seed)
    guard = Guard(0.01, (TRIALS,))
    stopped = np.full(TRIALS, looks)
    for look in range(looks):
        canary, stable = {}, {}
        for number, metric in enumerate(METRICS):
            worse = number == 0 and look >= turns_at
            canary[metric.name] = _arm(rng, 10, canary_mean if worse else 0.02)
            stable[metric.name] = _arm(rng, 90, 0.02)
        bad = np.any(list(guard.update(canary, stable).values()), axis=0)
        stopped[(stopped == looks) & bad] = look
    return stopped


class GuardTest(TestCase):
    def test_a_good_version_is_hardly_ever_stopped_however_often_one_looks(self):
        self.assertTrue((_stopped(1, 0.02, looks=500) < 500).mean() <= 0.01)

    def test_a_bad_version_is_always_stopped(self):
        self.assertTrue(np.all(_stopped(2, 0.12) < 300))

    def test_a_version_that_turns_bad_late_is_stopped(self):
        """Long good service must not make the guard blind."""
        stopped = _stopped(3, 0.3, looks=400, turns_at=300)
        self.assertTrue(np.all((stopped >= 300) & (stopped < 350)), stopped.max())

    def test_starts_over_the_number_of_steps_do_not_weaken_the_guard(self):
        """An operator moves the share to and fro."""
        test = SequentialTest(0.02)
        none = Arm.empty()
        for _ in range(500):
            test.start_step(5)
            value = test.update(none, none)
        self.assertTrue(value <= 0, value)

    def test_looks_without_new_counts_change_nothing(self):
        guard = Guard()
        none = {metric.name: Arm.empty() for metric in METRICS}
        for _ in range(100):
            self.assertFalse(any(guard.update(none, none).values()))
