"""Short soak tests with fixed seeds, and seeds that broke a promise before."""

import asyncio
from pathlib import Path

from tests.cases import TestCase
from tests.soak.soak import run_seed

SEED = 1
HOSTS = 3
FAULTS_TIME_S = 6.0
# The seed changes the configuration and stops all hosts, twice.
STOPS_SEED = 32
STOPS_HOSTS = 4
STOPS_TIME_S = 1.2
LIMITS_SEED = 14  # an endpoint limits its requests for most of the time
LIMITS_HOSTS = 4
LIMITS_TIME_S = 9.0
COPIES_SEED = 3
COPIES_HOSTS = 3
COPIES_TIME_S = 6.0
EVACUATIONS_SEED = 2  # begins with an order
EVACUATIONS_HOSTS = 4
EVACUATIONS_TIME_S = 8.0
BROWNOUTS_SEED = 9  # a service fails while hosts are killed, stopped and halted
BROWNOUTS_HOSTS = 4
BROWNOUTS_TIME_S = 8.0
REFUSALS_SEED = 1964  # the one plain endpoint repeats refusals for most of the time
REFUSALS_HOSTS = 4
REFUSALS_TIME_S = 8.0
DEADLY_SEED = 6405  # requests that crash endpoints overlap
DEADLY_HOSTS = 4
DEADLY_TIME_S = 10.0
STANDSTILLS_SEED = 7612  # begins with a standstill of all engines
STANDSTILLS_HOSTS = 6
STANDSTILLS_TIME_S = 8.0
FAILED_SEEDS_FILE = Path(__file__).parent / "failed-seeds.txt"


class SoakTest(TestCase):
    def _run_seed(self, seed, hosts, time_s, faults="all"):
        result = asyncio.run(run_seed(seed, hosts, time_s, faults))
        self.assertEqual([], result.broken, result.log[-20_000:])
        return result

    def test_no_promise_breaks_under_faults(self):
        result = self._run_seed(SEED, HOSTS, FAULTS_TIME_S)
        self.assertGreater(sum(result.faults.values()), 0)
        self.assertGreater(result.statuses[200], 0)

    def test_a_stopping_host_gives_up_no_request_that_it_took(self):
        result = self._run_seed(STOPS_SEED, STOPS_HOSTS, STOPS_TIME_S, "stops")
        self.assertGreater(len(result.stops), 0)
        self.assertGreater(result.statuses[200], 0)

    def test_hosts_keep_to_the_limits_of_endpoints(self):
        result = self._run_seed(LIMITS_SEED, LIMITS_HOSTS, LIMITS_TIME_S, "limits")
        self.assertGreater(result.faults["endpoint-limits-requests"], 0)
        self.assertGreater(result.statuses[200], 0)

    def test_no_promise_breaks_where_the_store_and_endpoints_say_what_is_not_so(self):
        result = self._run_seed(COPIES_SEED, COPIES_HOSTS, COPIES_TIME_S, "copies")
        self.assertGreater(result.faults["store-restored"], 0)
        self.assertGreater(result.statuses[200], 0)

    def test_hosts_send_nothing_to_an_emptied_data_centre(self):
        result = self._run_seed(
            EVACUATIONS_SEED, EVACUATIONS_HOSTS, EVACUATIONS_TIME_S, "evacuations"
        )
        self.assertGreater(result.faults["data-centre-emptied"], 0)
        self.assertGreater(result.statuses[200], 0)

    def test_repeats_are_bounded_while_a_service_fails_and_hosts_come_and_go(self):
        result = self._run_seed(
            BROWNOUTS_SEED, BROWNOUTS_HOSTS, BROWNOUTS_TIME_S, "brownouts"
        )
        self.assertGreater(result.faults["service-fails"], 0)
        self.assertGreater(result.repeat_ratio, 0.0)

    def test_a_copy_of_a_refusal_does_not_end_the_request_when_it_is_sent_again(self):
        result = self._run_seed(
            REFUSALS_SEED, REFUSALS_HOSTS, REFUSALS_TIME_S, "refusals"
        )
        self.assertGreater(result.faults["endpoints-repeat-refusals"], 0)
        self.assertGreater(result.statuses[200], 0)

    def test_a_request_that_crashes_endpoints_is_held_back_beside_streams(self):
        result = self._run_seed(DEADLY_SEED, DEADLY_HOSTS, DEADLY_TIME_S, "deadly")
        self.assertGreater(len(result.crashing), 0)
        self.assertGreater(result.statuses[200], 0)

    def test_streams_outlast_engines_that_stand_still(self):
        result = self._run_seed(
            STANDSTILLS_SEED, STANDSTILLS_HOSTS, STANDSTILLS_TIME_S, "standstills"
        )
        self.assertGreater(result.faults["engines-stand-still"], 0)
        self.assertGreater(result.statuses[200], 0)

    def test_seeds_that_broke_a_promise_keep_them_now(self):
        """Each line of the file holds seed, hosts, seconds, mode, and what broke."""
        for line in FAILED_SEEDS_FILE.read_text(encoding="utf-8").splitlines():
            if line.startswith("#"):
                continue
            seed, hosts, time_s, faults = line.split()[:4]
            self._run_seed(int(seed), int(hosts), float(time_s), faults)
