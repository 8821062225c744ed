"""Tests of the replay of a recorded load."""

from pathlib import Path

from radishshift.experiments.replay import Replay, read_load
from tests.cases import TestCase

LOAD = read_load(
    str(Path(__file__).parent.parent.parent / "examples" / "loads" / "market-day.jsonl")
)
ENGINES = 6
BASELINES = ("random", "least-own", "home")


def _mean_worth(hosts, **policies):
    outcome = Replay(LOAD, hosts, ENGINES, 1.0, **policies).run()
    return outcome.summary(len(LOAD))["worth"]


class ReplayTest(TestCase):
    def test_placer_beats_each_baseline(self):
        """Guard against attempts that count alike whatever their prompt length.

        With that, six hosts did worse than with the fewest own attempts in flight.
        """
        for hosts in (3, 6, 73):
            placer_worth = _mean_worth(hosts)
            for place in BASELINES:
                self.assertGreater(
                    placer_worth, _mean_worth(hosts, place=place), (hosts, place)
                )

    def test_cascade_beats_a_single_model(self):
        cascade_worth = _mean_worth(6)
        for cascade in ("always-large", "always-small"):
            self.assertGreater(cascade_worth, _mean_worth(6, cascade=cascade), cascade)

    def test_cascade_is_worse_than_the_oracle(self):
        self.assertLess(_mean_worth(6), _mean_worth(6, cascade="oracle"))

    def test_each_request_is_served_or_counted_as_unserved(self):
        outcome = Replay(LOAD, 6, ENGINES, 1.0).run()
        self.assertEqual(len(LOAD), len(outcome.first_s) + outcome.unserved)

    def test_same_seed_gives_the_same_outcome(self):
        first = Replay(LOAD, 6, ENGINES, 1.0, seed=3).run()
        self.assertEqual(first, Replay(LOAD, 6, ENGINES, 1.0, seed=3).run())
