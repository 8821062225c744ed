"""Tests that the audit of the faults experiment catches what it is for."""

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

FORBIDDEN = (
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

    def assert_rises(self, name, seed=1, **knobs):
        self.assertGreater(self.measure(seed, **knobs)[name], 0)

    def test_all_holds_with_every_guard_on(self):
        result = self.measure()
        self.assertEqual(
            dict.fromkeys(FORBIDDEN, 0), {name: result[name] for name in FORBIDDEN}
        )
        self.assertLessEqual(result["max_crashes_per_poison"], 2)
        self.assertGreaterEqual(result["available_share"], 0.999)

    def test_claims_that_overwrite_double_bookings(self):
        def take_again(op, shard, now):
            shard.claims[op.key] = op.record
            return True

        self.patch(AcquireOp, "apply", take_again)
        self.assert_rises("doubled", seconds=15.0)

    def test_a_crash_told_as_not_run_is_a_false_refusal(self):
        self.patch(EndpointCrashedError, "default_verdict", Verdict.NOT_RUN)
        self.assert_rises("false_not_run", seconds=15.0)

    def test_without_copies_bills_are_lost(self):
        async def forget(*_):
            return b"{}"

        self.patch(BillCopies, "_receive_copies", forget)
        self.assert_rises("unbilled", seconds=15.0)

    def test_a_ledger_that_knows_no_requests_bills_twice(self):
        async def read_by_run(platform):
            listing = await platform.list_all(Kind.BILL_BATCH)
            bills = [bill for item in listing.items for bill in item.spec["bills"]]
            return Ledger({bill["run"]: _Charge(bill) for bill in bills})

        self.patch(faults, "read_ledger", read_by_run)
        self.assert_rises("billed_twice", seconds=15.0)

    def test_a_configuration_that_stands_still_runs_withdrawn_versions(self):
        rebuild = Configuration._rebuild

        def rebuild_at_first(configuration):
            catalogue = configuration.catalogue
            if not (catalogue.versions and catalogue.endpoints):
                rebuild(configuration)

        self.patch(Configuration, "_rebuild", rebuild_at_first)
        self.assert_rises("withdrawn_runs", seed=2, seconds=18.0, gap_s=2.0)

    def test_a_session_token_that_is_not_heeded_moves_sessions(self):
        def other_version(catalogue, *_):
            return catalogue.versions["farm-advice-small.v1"]

        self.patch(router, "session_version", other_version)
        self.assert_rises("session_moves")

    def test_streams_whose_ids_are_not_checked_cross(self):
        self.patch(attempts, "EventScanner", lambda keep, _: EventScanner(keep))
        self.assert_rises("crossed")

    def test_streams_that_end_too_soon_are_truncated(self):
        relay = attempts.VersionRun._relay

        async def lenient(run, endpoint, attempt, stream):
            try:
                await relay(run, endpoint, attempt, stream)
            except StreamBrokenError as exc:
                if "before its end marker" not in exc.message:
                    raise

        self.patch(attempts.VersionRun, "_relay", lenient)
        self.assert_rises("truncated")

    def test_a_host_that_does_not_wait_cuts_requests(self):
        self.patch(fault_world, "DRAIN_TIMEOUT_S", 0.0)
        self.assert_rises("cut_by_shutdown", seconds=15.0)

    def test_poison_that_is_not_refused_crashes_more_endpoints(self):
        self.patch(PoisonTracker, "check", lambda *_: None)
        self.patch(PoisonTracker, "crash_count", lambda *_: 0)
        result = self.measure(seconds=10.0)
        self.assertGreater(result["max_crashes_per_poison"], 2)

    def test_without_deadlines_callers_are_left_hanging(self):
        async def never_noticed(*_):
            await asyncio.sleep(3600.0)

        self.patch(fault_world._MemoryStream, "_check", never_noticed)
        self.patch(fault_callers, "REQUEST_TIMEOUT_S", 4.0)
        self.assertLess(self.measure(seconds=3.0)["available_share"], 0.999)


class _Charge:
    def __init__(self, bill):
        self.request_id = bill["request_id"]
