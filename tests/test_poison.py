"""Tests that a request crashes at most two endpoints of the whole fleet."""

import asyncio
import contextlib

from radishshift.errors import DeadlineError, EndpointCrashedError, PoisonError
from radishshift.hosts import Host
from radishshift.objects import Kind, StoredObject
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.poison import MAX_SUSPECTS, Crash, PoisonTracker
from radishshift.poison_records import PoisonRecords
from radishshift.poison_retries import PoisonGuard
from radishshift.standins.faulty import FaultyPlatform, PlatformFaults
from radishshift.verdicts import Verdict
from tests.cases import TestCase, VirtualTestCase
from tests.claims_fleet import CLOCK

NAMES = ("mbeya-1", "mbeya-2", "iringa-1", "iringa-2", "njombe-1", "njombe-2")


class PoisonRecordsTest(VirtualTestCase):
    async def test_a_record_that_cannot_be_read_costs_itself_alone(self):
        """None of the others was read, on any host, as long as it was stored."""
        platform = MemoryPlatform()
        records = PoisonRecords(platform)
        crash = Crash("request-1", "engine-1", CLOCK.now())
        await records.add(crash)
        for number, spec in enumerate(({}, {"crashes": 7}, {"crashes": [[1]]})):
            await platform.create(StoredObject(Kind.POISON, f"odd-{number}", spec))
        self.assertEqual([crash], await records.read(CLOCK.now()))


class PoisonTrackerTest(TestCase):
    def test_the_state_is_bounded_and_expires(self):
        tracker = PoisonTracker()
        for number in range(MAX_SUSPECTS + 50):
            tracker.merge_crash(
                Crash(f"request-{number}", "engine-1", float(number)), 1e5
            )
        self.assertLessEqual(len(tracker), MAX_SUSPECTS)
        tracker = PoisonTracker()
        for endpoint in ("engine-1", "engine-2"):
            tracker.record_crash("request-1", endpoint, 100.0)
        self.assertRaises(PoisonError, tracker.check, "request-1", 3000.0)
        tracker.check("request-1", 3800.0)

    def test_a_crash_received_several_times_counts_once(self):
        tracker = PoisonTracker()
        for now in (1.0, 2.0, 3.0):
            tracker.merge_crash(Crash("request-1", "engine-1", 1.0), now)
        tracker.check("request-1", 4.0)

    def test_an_endpoint_that_crashes_again_counts_again(self):
        """A request resent through other hosts kept crashing the same endpoint."""
        tracker = PoisonTracker()
        tracker.record_crash("request-1", "engine-1", 1.0)
        tracker.record_crash("request-1", "engine-1", 9.0)
        self.assertRaises(PoisonError, tracker.check, "request-1", 9.0)

    def test_heartbeats_carry_crashes_to_hosts_that_missed_them(self):
        trackers = [PoisonTracker(), PoisonTracker(), PoisonTracker()]
        hosts = [Host(name, "mbeya", "tz-south", "") for name in NAMES[:3]]
        for endpoint in ("engine-1", "engine-2"):
            trackers[0].record_crash("request-1", endpoint, 1.0)
        for sender, receiver in ((0, 1), (1, 2)):
            value = trackers[sender].outgoing(hosts[receiver], 2.0)
            trackers[receiver].incoming(hosts[sender], value, 2.0)
        self.assertRaises(PoisonError, trackers[2].check, "request-1", 3.0)
        sizes = [len(trackers[0].outgoing(hosts[1], 4.0) or ()) for _ in range(10)]
        self.assertEqual(0, sizes[-1])


class PoisonGuardTest(VirtualTestCase):
    def setUp(self):
        super().setUp()
        self.crashed = []
        self.running = {}

    def fleet(self):
        network = {}
        hosts = [Host(name, name[:-2], "tz-south", "") for name in NAMES]
        platform = MemoryPlatform()
        return [
            PoisonGuard(CLOCK, MemoryPeers(host, network), platform) for host in hosts
        ]

    async def run_at(self, guard, fingerprint, endpoint):
        """Run a request at an endpoint; a poison request crashes the endpoint.

        The crash ends every request that is running on the endpoint.
        """
        deadline = CLOCK.now() + 20.0
        async with guard.isolated_retry(fingerprint, endpoint, deadline):
            running_here = self.running.setdefault(endpoint, [])
            crash = asyncio.get_running_loop().create_future()
            running_here.append((fingerprint, crash))
            try:
                async with asyncio.timeout(1.0):
                    await crash
            except TimeoutError:
                if "poison" not in fingerprint:
                    return "answer"
                self.crash(endpoint)
            finally:
                running_here.remove((fingerprint, crash))
        await guard.report_crash(fingerprint, endpoint)
        raise EndpointCrashedError("crashed")

    def crash(self, endpoint):
        self.crashed.append(endpoint)
        for _, crash in self.running[endpoint]:
            if not crash.done():
                crash.set_result(None)

    async def run_until_answered(self, guard, fingerprint, endpoints):
        for endpoint in endpoints:
            try:
                return await self.run_at(guard, fingerprint, endpoint)
            except EndpointCrashedError:
                continue
        return None

    async def test_resends_through_every_host_crash_two_endpoints_and_spare_others(
        self,
    ):
        guards = self.fleet()
        endpoints = [f"engine-{number}" for number in range(5)]
        innocents = [
            self.run_until_answered(
                guard, f"innocent-{number}", ["engine-0", "engine-1"]
            )
            for number, guard in enumerate(guards * 3)
        ]
        answers = asyncio.gather(*innocents)
        for guard in guards:
            try:
                await self.run_until_answered(guard, "poison", endpoints)
            except PoisonError as exc:
                self.assertIs(Verdict.NOT_RUN, exc.verdict)
        self.assertEqual(2, len(self.crashed))
        self.assertEqual({"answer"}, set(await answers))

    async def test_a_suspect_sent_through_all_hosts_at_once_is_retried_once(self):
        guards = self.fleet()
        await guards[0].report_crash("poison", "engine-0")
        self.crashed.append("engine-0")
        retries = [
            self.run_until_answered(guard, "poison", [f"engine-{number}"])
            for number, guard in enumerate(guards, start=1)
        ]
        results = await asyncio.gather(*retries, return_exceptions=True)
        self.assertEqual(2, len(self.crashed))
        refused = [item for item in results if isinstance(item, PoisonError)]
        self.assertEqual(len(guards) - 1, len(refused))

    async def test_data_centres_cut_off_from_each_other_learn_from_the_platform(self):
        guards = self.fleet()
        for guard in guards:
            guard._peers.cut = {name for name in NAMES if name[:-2] != guard._me[:-2]}
        followers = [asyncio.create_task(guard.poll_platform()) for guard in guards]
        for endpoint in ("engine-0", "engine-1"):
            await guards[0].report_crash("poison", endpoint)
        await CLOCK.sleep_until(CLOCK.now() + 1.5)
        for guard in guards:
            self.assertRaises(PoisonError, guard.check, "poison", CLOCK.now())
        await CLOCK.sleep_until(CLOCK.now() + 4000.0)
        listing = await guards[0]._records._platform.list_all(Kind.POISON)
        self.assertEqual((), listing.items)
        for follower in followers:
            follower.cancel()

    async def test_data_centres_that_share_nothing_crash_two_endpoints_together(self):
        """Data centres without any connection lost two endpoints each."""
        guards = self.fleet()
        for guard in guards:
            guard._peers.cut = {name for name in NAMES if name[:-2] != guard._me[:-2]}
            guard._records._platform = FaultyPlatform(
                MemoryPlatform(), CLOCK, faults=PlatformFaults(down=True)
            )
        for guard in (guards[0], guards[2]):
            endpoints = [f"{guard._me[:-2]}-{number}" for number in range(3)]
            with contextlib.suppress(PoisonError):
                await self.run_until_answered(guard, "poison", endpoints)
        self.assertEqual(2, len(self.crashed))

    async def test_an_innocent_that_meets_two_unrelated_crashes_completes(self):
        """An unrelated endpoint crash ended the isolated retry of a suspect."""
        guards = self.fleet()
        await guards[0].report_crash("innocent-1", "engine-0")
        work = self.run_until_answered(
            guards[0], "innocent-1", ["engine-1", "engine-2"]
        )
        task = asyncio.create_task(work)
        await CLOCK.sleep_until(CLOCK.now() + 0.5)
        self.crash("engine-1")
        self.assertEqual("answer", await task)

    async def test_two_suspects_never_share_an_endpoint(self):
        guards = self.fleet()
        for fingerprint in ("innocent-1", "poison"):
            await guards[0].report_crash(fingerprint, "engine-0")
        results = await asyncio.gather(
            self.run_until_answered(guards[2], "poison", ["engine-1"]),
            self.run_until_answered(guards[3], "innocent-1", ["engine-1"]),
        )
        self.assertEqual([None, "answer"], results)

    async def test_suspects_that_waited_long_never_share_an_endpoint(self):
        """A grant ran from the begin of the wait, and was over as soon as given."""
        guards = self.fleet()
        names = [f"innocent-{number}" for number in range(8)]
        for name in names:
            await guards[0].report_crash(name, "engine-0")
        running = []

        async def run(guard, name):
            deadline = CLOCK.now() + 600.0
            async with guard.isolated_retry(name, "engine-1", deadline):
                running.append(name)
                shared.append(len(running) > 1)
                await CLOCK.sleep_until(CLOCK.now() + 50.0)
                running.remove(name)

        shared = []
        await asyncio.gather(*(run(guards[0], name) for name in names))
        self.assertEqual([False] * len(names), shared)

    async def test_a_caller_that_leaves_during_the_wait_leaves_no_grant(self):
        """The next suspect waited a minute for a grant that nobody used."""
        guards = self.fleet()
        for name in ("innocent-1", "innocent-2"):
            await guards[0].report_crash(name, "engine-0")
        granter = guards[0]._granter_candidates()[0]
        asking = [guard for guard in guards if guard._me != granter]
        deadline = CLOCK.now() + 120.0
        waiting = asyncio.create_task(
            asking[0].isolated_retry("innocent-1", "engine-1", deadline).__aenter__()
        )
        granted = asking[0]._peers.call

        async def cancel_once_granted(*args):
            reply = await granted(*args)
            asking[0]._peers.call = granted
            waiting.cancel()
            await asyncio.sleep(0)
            return reply

        asking[0]._peers.call = cancel_once_granted
        await self.assert_raises_async(asyncio.CancelledError, waiting)
        retry = asking[1].isolated_retry("innocent-2", "engine-1", CLOCK.now() + 5.0)
        async with retry:
            pass

    async def test_the_grant_of_a_dead_host_expires(self):
        guards = self.fleet()
        await guards[0].report_crash("innocent-1", "engine-0")
        grant = guards[1].isolated_retry("innocent-1", "engine-1", CLOCK.now() + 30.0)
        await grant.__aenter__()
        waiting = guards[2].isolated_retry("innocent-1", "engine-2", CLOCK.now() + 20.0)
        exc = await self.assert_raises_async(DeadlineError, waiting.__aenter__())
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        await CLOCK.sleep_until(CLOCK.now() + 15.0)
        async with guards[2].isolated_retry(
            "innocent-1", "engine-2", CLOCK.now() + 20.0
        ):
            pass
