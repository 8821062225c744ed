"""Tests of the replay of a recorded load."""

from pathlib import Path

from radishshift.experiments.replay import Replay, read_load
from tests.cases import TestCase

LOAD = read_load(
    str(Path(__file__).parent.parent.parent / "examples" / "loads" / "market-day.jsonl")
)
ENGINES = 6
BASELINES = ("random", "least-own", "home")


def _worth(hosts, **ways):
    outcome = Replay(LOAD, hosts, ENGINES, 1.0, **ways).run()
    return outcome.summary(len(LOAD))["worth"]


class ReplayTest(TestCase):
    def test_the_placer_is_worth_more_than_each_baseline(self):
        """Six hosts that counted attempts alike were behind the fewest own ones."""
        for hosts in (3, 6, 73):
            found = _worth(hosts)
            for place in BASELINES:
                self.assertGreater(found, _worth(hosts, place=place), (hosts, place))

    def test_the_choice_of_a_model_is_worth_more_than_one_for_all(self):
        found = _worth(6)
        for cascade in ("always-large", "always-small"):
            self.assertGreater(found, _worth(6, cascade=cascade), cascade)

    def test_it_is_worth_no_more_than_the_oracle(self):
        self.assertLess(_worth(6), _worth(6, cascade="oracle"))

    def test_each_request_is_answered_or_counted(self):
        outcome = Replay(LOAD, 6, ENGINES, 1.0).run()
        self.assertEqual(len(LOAD), len(outcome.first_s) + outcome.unserved)

    def test_a_replay_repeats_itself(self):
        first = Replay(LOAD, 6, ENGINES, 1.0, seed=3).run()
        self.assertEqual(first, Replay(LOAD, 6, ENGINES, 1.0, seed=3).run())
