"""Tests of the sequential test that guards a roll-out."""

import numpy as np

from radishshift.guard import METRICS, Arm, Guard, SequentialTest
from tests.cases import TestCase

TRIALS = 200


def _arm(rng, count, mean):
    total = rng.binomial(count, mean, TRIALS).astype(float)
    return Arm(np.full(TRIALS, float(count)), total, total)


def _stopped(seed, canary_mean, updates=300, worse_from=0):
    """Return the update that stopped each trial, or `updates` if none did."""
    rng = np.random.default_rng(seed)
    guard = Guard(0.01, (TRIALS,))
    stopped = np.full(TRIALS, updates)
    for update_number in range(updates):
        canary, stable = {}, {}
        for number, metric in enumerate(METRICS):
            worse = number == 0 and update_number >= worse_from
            canary[metric.name] = _arm(rng, 10, canary_mean if worse else 0.02)
            stable[metric.name] = _arm(rng, 90, 0.02)
        is_worse = np.any(list(guard.update(canary, stable).values()), axis=0)
        stopped[(stopped == updates) & is_worse] = update_number
    return stopped


class GuardTest(TestCase):
    def test_false_stops_stay_within_alpha_over_many_updates(self):
        self.assertTrue((_stopped(1, 0.02, updates=500) < 500).mean() <= 0.01)

    def test_a_worse_version_is_always_stopped(self):
        self.assertTrue(np.all(_stopped(2, 0.12) < 300))

    def test_a_version_that_becomes_worse_late_is_stopped(self):
        """A long good record must not hide a later regression."""
        stopped = _stopped(3, 0.3, updates=400, worse_from=300)
        self.assertTrue(np.all((stopped >= 300) & (stopped < 350)), stopped.max())

    def test_repeated_step_starts_do_not_raise_the_test_statistic(self):
        """An operator may change the share repeatedly; each change starts a step."""
        test = SequentialTest(0.02)
        no_counts = Arm.empty()
        for _ in range(500):
            test.start_step(5)
            value = test.update(no_counts, no_counts)
        self.assertTrue(value <= 0, value)

    def test_updates_without_new_counts_stop_nothing(self):
        guard = Guard()
        no_counts = {metric.name: Arm.empty() for metric in METRICS}
        for _ in range(100):
            self.assertFalse(any(guard.update(no_counts, no_counts).values()))
