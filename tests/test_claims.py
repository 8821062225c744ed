"""Tests that a claimed call runs at most once and that its result is stored."""

import asyncio
from dataclasses import replace

from radishshift import claim_writer
from radishshift.claim_shards import ClaimRecord, ClaimShard, Result
from radishshift.engines import ServiceReply
from radishshift.errors import (
    BadRequestError,
    DeadlineError,
    InProgressError,
    PlatformUnavailableError,
    RadishshiftError,
    ResultLostError,
)
from radishshift.objects import Kind
from radishshift.verdicts import Verdict
from tests.cases import TestCase, VirtualTestCase
from tests.claims_fleet import CLOCK, REPLY, Fleet, booking


async def sleep(seconds):
    await CLOCK.sleep_until(CLOCK.now() + seconds)


class ClaimsTest(VirtualTestCase):
    async def test_a_resend_through_any_host_gets_the_recorded_answer(self):
        fleet = Fleet()
        claim = await fleet.claims["mbeya-1"].claim(booking())
        self.assertIsNone(claim.recorded_reply)
        await fleet.claims["mbeya-1"].record(claim, REPLY)
        for claims in fleet.claims.values():
            self.assertEqual(REPLY, (await claims.claim(booking())).recorded_reply)

    async def test_a_recorded_answer_that_cannot_be_read_is_not_run_again(self):
        """Guards the format of recorded answers: an odd body was an internal error."""
        for body in ("odd!", "ab", "\u00e9"):
            result = Result(200, "text/plain", "", body)
            exc = self.assertRaises(ResultLostError, result.reply)
            self.assertIs(Verdict.RAN, exc.verdict)

    async def test_a_shard_that_cannot_be_read_refuses_its_calls_as_not_run(self):
        for spec in ({"claims": 7}, {"segments": [{}]}, {"claims": {"k": {}}}):
            fleet = Fleet("mbeya-1")
            claims = fleet.claims["mbeya-1"]
            await claims.claim(booking("other"))
            for item in fleet.platform._items[Kind.CLAIM_SHARD].values():
                odd = replace(item, spec=spec)
                fleet.platform._items[Kind.CLAIM_SHARD][item.name] = odd
            fleet.add("mbeya-1", incarnation=9)
            exc = await self.assert_raises_async(
                RadishshiftError, fleet.claims["mbeya-1"].claim(booking("other"))
            )
            self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_resend_while_the_call_runs_gets_a_retry_after(self):
        fleet = Fleet()
        await fleet.claims["mbeya-1"].claim(booking())
        for claims in fleet.claims.values():
            exc = await self.assert_raises_async(
                InProgressError, claims.claim(booking())
            )
            self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
            self.assertGreater(exc.retry_after_s, 0)

    async def test_after_the_runner_crashed_the_result_is_lost_and_never_run_again(
        self,
    ):
        fleet = Fleet()
        call = booking()
        claim = await fleet.claims["mbeya-1"].claim(call)
        await sleep(21.0)
        exc = await self.assert_raises_async(
            ResultLostError, fleet.claims["iringa-1"].claim(booking())
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, exc.verdict)
        exc = self.assertRaises(DeadlineError, claim.check_deadline, CLOCK.now())
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_after_a_restart_of_the_runner_the_result_is_lost_at_once(self):
        fleet = Fleet()
        await fleet.claims["mbeya-1"].claim(booking())
        fleet.add("mbeya-1", incarnation=9)
        for claims in fleet.claims.values():
            await self.assert_raises_async(ResultLostError, claims.claim(booking()))

    async def test_concurrent_claims_of_one_key_let_one_host_run_it(self):
        for cut in (False, True):
            fleet = Fleet()
            if cut:
                fleet.claims["iringa-1"]._peers.cut = {"mbeya-1", "mbeya-2"}
            attempts = [claims.claim(booking()) for claims in fleet.claims.values()]
            results = await asyncio.gather(*attempts, return_exceptions=True)
            errors = [item for item in results if isinstance(item, Exception)]
            self.assertEqual(2, len(errors))
            for error in errors:
                self.assertIsInstance(error, InProgressError)

    async def test_a_claim_whose_write_got_no_reply_is_found_by_reading_back(self):
        fleet = Fleet()
        fleet.fault(lost_replies=1)
        await fleet.claims["mbeya-1"].claim(booking())
        await self.assert_raises_async(
            InProgressError, fleet.claims["mbeya-2"].claim(booking())
        )

    async def test_in_a_platform_outage_calls_are_refused_promptly_as_not_run(self):
        fleet = Fleet()
        fleet.fault(down=True)
        started_at = CLOCK.now()
        for claims in fleet.claims.values():
            exc = await self.assert_raises_async(
                PlatformUnavailableError, claims.claim(booking())
            )
            self.assertIs(Verdict.NOT_RUN, exc.verdict)
            self.assertIsNotNone(exc.retry_after_s)
        self.assertLess(CLOCK.now() - started_at, 1.0)
        fleet.fault(down=False)
        await fleet.claims["mbeya-1"].claim(booking())

    async def test_a_claim_that_was_refused_after_a_lost_reply_is_released(self):
        """The write took effect although its caller got the verdict not-run.

        Unless the claim is released, every resend is refused and nobody runs it.
        """
        fleet = Fleet("mbeya-1")
        client = fleet.platform_clients["mbeya-1"]
        claims = fleet.claims["mbeya-1"]
        client.faults.slow_s = 5.0
        client.faults.lost_replies = 100
        call = booking()
        call.deadline = CLOCK.now() + 11.0
        await self.assert_raises_async(DeadlineError, claims.claim(call))
        client.faults.lost_replies = 0
        await sleep(60.0)
        self.assertEqual(0, claims.backlog)
        self.assertIsNone((await claims.claim(booking())).recorded_reply)

    async def test_a_key_used_for_another_call_is_refused(self):
        fleet = Fleet()
        await fleet.claims["mbeya-1"].claim(booking())
        await self.assert_raises_async(
            BadRequestError, fleet.claims["mbeya-2"].claim(booking(body=b"plough-1"))
        )

    async def test_a_released_claim_can_be_acquired_again(self):
        fleet = Fleet()
        claim = await fleet.claims["mbeya-1"].claim(booking())
        await fleet.claims["mbeya-1"].release(claim)
        await fleet.claims["iringa-1"].claim(booking())

    async def test_an_unknown_result_is_reported_at_once(self):
        fleet = Fleet()
        claim = await fleet.claims["mbeya-1"].claim(booking())
        await fleet.claims["mbeya-1"].record_unknown(claim)
        await self.assert_raises_async(
            ResultLostError, fleet.claims["mbeya-2"].claim(booking())
        )

    async def test_an_outcome_that_was_not_written_is_written_after_the_outage(self):
        fleet = Fleet()
        claims = fleet.claims["mbeya-1"]
        claim = await claims.claim(booking())
        fleet.fault(down=True)
        started_at = CLOCK.now()
        await claims.record(claim, REPLY)
        self.assertLess(CLOCK.now() - started_at, 1.0)
        await sleep(300.0)
        fleet.fault(down=False)
        await sleep(5.0)
        again = await fleet.claims["iringa-1"].claim(booking())
        self.assertEqual(REPLY, again.recorded_reply)

    async def test_the_host_that_ran_a_call_answers_a_resend_in_an_outage(self):
        fleet = Fleet("mbeya-1")
        claims = fleet.claims["mbeya-1"]
        claim = await claims.claim(booking())
        fleet.fault(down=True)
        await claims.record(claim, REPLY)
        self.assertEqual(REPLY, (await claims.claim(booking())).recorded_reply)

    async def test_of_a_result_over_the_size_limit_only_the_digest_is_stored(self):
        fleet = Fleet()
        claim = await fleet.claims["mbeya-1"].claim(booking())
        long_reply = ServiceReply(200, "text/plain", b"x" * 100_000)
        await fleet.claims["mbeya-1"].record(claim, long_reply)
        exc = await self.assert_raises_async(
            ResultLostError, fleet.claims["mbeya-2"].claim(booking())
        )
        self.assertIs(Verdict.RAN, exc.verdict)

    async def test_many_claims_share_writes_and_segments_are_sealed_and_expire(self):
        self.patch(claim_writer, "HEAD_SEAL_THRESHOLD_CLAIMS", 16)
        fleet = Fleet()
        claims = fleet.claims["mbeya-1"]
        calls = [booking(f"key-{number}") for number in range(600)]
        acquired = await asyncio.gather(*(claims.claim(call) for call in calls))
        self.assertLess(fleet.platform.writes, 60)
        await asyncio.gather(*(claims.record(claim, REPLY) for claim in acquired))
        self.assertLess(
            max(len(str(item.spec)) for item in _stored_objects(fleet)), 1e6
        )
        fresh = Fleet("njombe-1")
        fresh.platform_clients["njombe-1"].inner = fleet.platform
        again = await fresh.claims["njombe-1"].claim(booking("key-7"))
        self.assertEqual(REPLY, again.recorded_reply)
        await sleep(3700.0)
        late_claims = [claims.claim(booking(f"late-{number}")) for number in range(100)]
        await asyncio.gather(*late_claims)
        sizes = [len(str(item.spec)) for item in _stored_objects(fleet)]
        self.assertLess(sum(sizes), 30_000)


def _stored_objects(fleet):
    return [item for items in fleet.platform._items.values() for item in items.values()]


class ClaimShardTest(TestCase):
    def test_an_expired_claim_in_an_older_segment_does_not_hide_a_newer_one(self):
        """A resend of the call then ran it a second time."""
        shard = ClaimShard("shard-1")
        shard.sealed["old"] = {"key": ClaimRecord("call", "first", 1.0, 10.0)}
        newer = ClaimRecord("call", "second", 20.0, 90.0)
        shard.sealed["new"] = {"key": newer}
        self.assertEqual(newer, shard.find("key", 15.0))
        self.assertIsNone(shard.find("key", 95.0))
