"""A short seeded soak, and seeds that broke a promise before."""

import asyncio
from pathlib import Path

from tests.cases import TestCase
from tests.soak.soak import play

SEED = 1
HOSTS = 3
TIME_S = 6.0
FAILED = Path(__file__).parent / "failed-seeds.txt"


class SoakTest(TestCase):
    def _play(self, seed, hosts, time_s):
        result = asyncio.run(play(seed, hosts, time_s))
        self.assertEqual([], result.broken, result.log[-20_000:])
        return result

    def test_no_promise_breaks_under_faults(self):
        result = self._play(SEED, HOSTS, TIME_S)
        self.assertGreater(sum(result.faults.values()), 0)
        self.assertGreater(result.statuses[200], 0)

    def test_seeds_that_broke_a_promise_keep_them_now(self):
        """Each line of the file: seed, hosts, seconds, what broke."""
        for line in FAILED.read_text(encoding="utf-8").splitlines():
            if line.startswith("#"):
                continue
            seed, hosts, time_s = line.split()[:3]
            self._play(int(seed), int(hosts), float(time_s))
