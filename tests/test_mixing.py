"""Tests of the planner `target-mix`."""

import numpy as np

from radishshift.cascade import make_plan
from radishshift.evidence import Evidence
from radishshift.mixing import record_answer_quality
from radishshift.quality import QualityAccounts
from tests.cases import TestCase
from tests.plans import NOW, learn, make_context, make_evidence, make_version

SMALL = make_version("small.v1", 50, 0.6)
LARGE = make_version("large.v1", 1500, 0.9)
POOR = make_version("poor.v1", 1, 0.6)
NO_EXPLORATION = {"target-mix.explore-share": 0.0, "target-mix.floor-share": 0.0}


def _accounts(seed=3):
    return QualityAccounts(np.random.default_rng(seed))


def _run(context, evidence, count, accounts=None):
    accounts = accounts or _accounts()
    plans = []
    for _ in range(count):
        plan = make_plan("target-mix", context, evidence, accounts)
        plans.append(plan)
        record_answer_quality(context, plan, 0, None, evidence, accounts)
    return plans


class TargetMixTest(TestCase):
    def test_a_target_between_two_versions_is_met_by_a_mix(self):
        evidence = make_evidence([(SMALL, 0.6), (LARGE, 0.9)])
        context = make_context(
            [SMALL, LARGE], 0.75, can_judge=False, parameters=NO_EXPLORATION
        )
        plans = _run(context, evidence, 4000)
        large = sum(plan.steps[0].version is LARGE for plan in plans) / 4000
        self.assertTrue(0.5 < large < 0.58, large)

    def test_a_cascade_is_chosen_if_it_is_cheaper_and_meets_the_deadline(self):
        evidence = make_evidence([(SMALL, 0.6), (LARGE, 0.9)])
        context = make_context([SMALL, LARGE], 0.78, parameters=NO_EXPLORATION)
        plans = _run(context, evidence, 50)
        self.assertTrue(any(len(plan.steps) == 2 for plan in plans))

    def test_no_cascade_is_chosen_that_could_miss_the_deadline(self):
        """A cascade may have to wait for both answers, which takes too long here."""
        evidence = make_evidence([(SMALL, 0.6), (LARGE, 0.9)], duration_s=1.0)
        context = make_context(
            [SMALL, LARGE], 0.78, deadline=NOW + 1.9, parameters=NO_EXPLORATION
        )
        plans = _run(context, evidence, 50)
        self.assertTrue(all(len(plan.steps) == 1 for plan in plans))

    def test_no_cascade_is_chosen_while_the_judge_is_unavailable(self):
        evidence = make_evidence([(SMALL, 0.6), (LARGE, 0.9)])
        context = make_context(
            [SMALL, LARGE], 0.78, can_judge=False, parameters=NO_EXPLORATION
        )
        plans = _run(context, evidence, 50)
        self.assertTrue(all(len(plan.steps) == 1 for plan in plans))

    def test_the_best_version_is_chosen_if_all_are_below_the_target(self):
        evidence = make_evidence([(SMALL, 0.4), (LARGE, 0.6)])
        context = make_context([SMALL, LARGE], 0.9, parameters=NO_EXPLORATION)
        plans = _run(context, evidence, 50)
        best = [plan.steps[-1].version is LARGE for plan in plans]
        self.assertTrue(all(best))

    def test_a_version_expected_below_the_floor_is_never_tried(self):
        evidence = make_evidence([(POOR, 0.3), (LARGE, 0.9)])
        context = make_context(
            [POOR, LARGE], 0.5, floor=0.5, parameters={"target-mix.explore-share": 1.0}
        )
        plans = _run(context, evidence, 200)
        self.assertFalse(
            any(step.version is POOR for plan in plans for step in plan.steps)
        )

    def test_exploring_a_version_that_may_be_below_the_floor_is_bounded(self):
        evidence = Evidence()
        learn(evidence, LARGE, 0.9)
        context = make_context(
            [POOR, LARGE],
            0.7,
            floor=0.5,
            parameters={
                "target-mix.explore-share": 1.0,
                "target-mix.floor-share": 0.01,
            },
        )
        plans = _run(context, evidence, 1000)
        tried = sum(plan.steps[0].version is POOR for plan in plans)
        self.assertTrue(0 < tried <= 10, tried)

    def test_a_cached_table_is_rebuilt_after_the_clock_steps_back(self):
        evidence = make_evidence([(SMALL, 0.9), (LARGE, 0.9)])
        accounts = _accounts()
        later = make_context(
            [SMALL, LARGE], 0.8, now=NOW + 86_400, parameters=NO_EXPLORATION
        )
        make_plan("target-mix", later, evidence, accounts)
        learn(evidence, SMALL, 0.1, 2000)
        context = make_context([SMALL, LARGE], 0.8, parameters=NO_EXPLORATION)
        plan = make_plan("target-mix", context, evidence, accounts)
        self.assertIs(LARGE, plan.steps[-1].version)
