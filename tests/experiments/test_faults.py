"""Tests that the audit of the faults experiment detects violations.

Each test but the first disables one guard and checks that the audit's figure for the
corresponding violation gets worse.
"""

import asyncio

from absl import flags
from absl.testing import flagsaver

from radishshift import attempts, router
from radishshift.bill_copies import BillCopies
from radishshift.claim_shards import AcquireOp
from radishshift.configuration import Configuration
from radishshift.errors import EndpointCrashedError, StreamBrokenError
from radishshift.events import EventScanner
from radishshift.experiments import fault_callers, fault_world, faults
from radishshift.ledger import Ledger
from radishshift.objects import Kind
from radishshift.poison import PoisonTracker
from radishshift.verdicts import Verdict
from tests.cases import TestCase

VIOLATION_KEYS = (
    "doubled",
    "lost_answers",
    "crossed",
    "truncated",
    "unbilled",
    "billed_twice",
    "false_not_run",
    "withdrawn_runs",
    "session_moves",
    "cut_by_shutdown",
)


class FaultsTest(TestCase):
    def measure(self, seed=1, seconds=8.0, gap_s=0.5):
        if not flags.FLAGS.is_parsed():
            flags.FLAGS(["test"])
        with flagsaver.flagsaver(faults_seconds=seconds, faults_gap_s=gap_s):
            return faults.measure_faults(seed)

    def assert_violation_counted(self, name, seed=1, **options):
        self.assertGreater(self.measure(seed, **options)[name], 0)

    def test_no_violations_with_all_guards_enabled(self):
        result = self.measure()
        self.assertEqual(
            dict.fromkeys(VIOLATION_KEYS, 0),
            {name: result[name] for name in VIOLATION_KEYS},
        )
        self.assertLessEqual(result["max_crashes_per_poison"], 2)
        self.assertGreaterEqual(result["available_share"], 0.999)

    def test_overwritten_claims_run_calls_twice(self):
        def acquire_always(op, shard, now):
            shard.claims[op.key] = op.record
            return True

        self.patch(AcquireOp, "apply", acquire_always)
        self.assert_violation_counted("doubled", seconds=15.0)

    def test_crash_reported_as_not_run_is_counted(self):
        self.patch(EndpointCrashedError, "default_verdict", Verdict.NOT_RUN)
        self.assert_violation_counted("false_not_run", seconds=15.0)

    def test_bills_are_lost_without_copies(self):
        async def discard_copies(*_):
            return b"{}"

        self.patch(BillCopies, "_receive_copies", discard_copies)
        self.assert_violation_counted("unbilled", seconds=15.0)

    def test_ledger_that_ignores_request_ids_bills_twice(self):
        async def read_by_run_id(platform):
            listing = await platform.list_all(Kind.BILL_BATCH)
            bills = [bill for item in listing.items for bill in item.spec["bills"]]
            return Ledger({bill["run"]: _Charge(bill) for bill in bills})

        self.patch(faults, "read_ledger", read_by_run_id)
        self.assert_violation_counted("billed_twice", seconds=15.0)

    def test_stale_configuration_runs_withdrawn_versions(self):
        rebuild = Configuration._rebuild

        def rebuild_until_complete(configuration):
            catalogue = configuration.catalogue
            if not (catalogue.versions and catalogue.endpoints):
                rebuild(configuration)

        self.patch(Configuration, "_rebuild", rebuild_until_complete)
        self.assert_violation_counted("withdrawn_runs", seed=2, seconds=18.0, gap_s=2.0)

    def test_ignored_session_token_moves_sessions(self):
        def other_version(catalogue, *_):
            return catalogue.versions["farm-advice-small.v1"]

        self.patch(router, "session_version", other_version)
        self.assert_violation_counted("session_moves")

    def test_unchecked_stream_ids_cross_answers(self):
        self.patch(attempts, "EventScanner", lambda keep, _: EventScanner(keep))
        self.assert_violation_counted("crossed")

    def test_accepted_early_stream_end_truncates_answers(self):
        relay = attempts.VersionRun._relay

        async def relay_accepting_early_end(run, endpoint, attempt, stream):
            try:
                await relay(run, endpoint, attempt, stream)
            except StreamBrokenError as exc:
                if "before its end marker" not in exc.message:
                    raise

        self.patch(attempts.VersionRun, "_relay", relay_accepting_early_end)
        self.assert_violation_counted("truncated")

    def test_shutdown_without_drain_time_cuts_requests(self):
        self.patch(fault_world, "DRAIN_TIMEOUT_S", 0.0)
        self.assert_violation_counted("cut_by_shutdown", seconds=15.0)

    def test_unrefused_poison_crashes_more_endpoints(self):
        self.patch(PoisonTracker, "check", lambda *_: None)
        self.patch(PoisonTracker, "crash_count", lambda *_: 0)
        result = self.measure(seconds=10.0)
        self.assertGreater(result["max_crashes_per_poison"], 2)

    def test_unnoticed_broken_streams_lower_availability(self):
        async def wait_for_an_hour(*_):
            await asyncio.sleep(3600.0)

        self.patch(fault_world._MemoryStream, "_check", wait_for_an_hour)
        self.patch(fault_callers, "REQUEST_TIMEOUT_S", 4.0)
        self.assertLess(self.measure(seconds=3.0)["available_share"], 0.999)


class _Charge:
    def __init__(self, bill):
        self.request_id = bill["request_id"]
