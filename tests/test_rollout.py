"""Tests of roll-outs with the in-memory platform and a manual clock."""

from dataclasses import replace

from radishshift.clocks import ManualClock
from radishshift.configuration import Configuration
from radishshift.errors import ConflictError, PlatformUnavailableError
from radishshift.evidence import Outcome
from radishshift.guard_pool import GuardPool
from radishshift.hosts import Host
from radishshift.objects import Kind, StoredObject
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.rollout import RolloutDriver, RolloutGuard
from tests.cases import TestCase

STEPS = [0.01, 0.1, 0.5]


def _spec(state, **kwargs):
    return {
        "type": "version",
        "owner": "tests",
        "class": "advice",
        "model": "large",
        "state": state,
        "promptPriceNano": 1,
        "completionPriceNano": 1,
    } | kwargs


class _Host:
    """The objects of one host that take part in a roll-out."""

    def __init__(self, name, platform, clock, network):
        me = Host(name, "mbeya", "tz-south", "", 1)
        self.peers = MemoryPeers(me, network)
        self.configuration = Configuration(clock)
        self.pool = GuardPool(f"{name}/1", me)
        self.guard = RolloutGuard(self.pool)
        self.peers.add_section(self.pool.section)
        self.configuration.listeners.append(self.guard.update_catalogue)
        self.platform = platform
        self.driver = RolloutDriver(
            platform, clock, self.guard, lambda: self.configuration.catalogue
        )

    async def read(self):
        listing = await self.platform.list_all(Kind.ENTRY)
        self.configuration.apply_listing(Kind.ENTRY, listing)

    def record_attempts(self, version, count, failed=0):
        for number in range(count):
            outcome = Outcome(
                version, "e", "c", "draft", number >= failed, 0.1, 0.0, 1.0, 0
            )
            self.pool.record_outcome(outcome)

    def gossip(self, now):
        self.pool.publish(now)
        self.peers.send_sections(now)


class RolloutTest(TestCase):
    async def start(self, hosts=2):
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        network = {}
        self.hosts = [
            _Host(f"mbeya-entry-{number}", self.platform, self.clock, network)
            for number in range(hosts)
        ]
        policy = {"steps": STEPS, "stepS": 60, "stepAttempts": 50, "retireS": 100}
        entries = {
            "large.v1": _spec("serving"),
            "large.v2": _spec(
                "canary", canaryShare=STEPS[0], stable="large.v1", rollout=policy
            ),
        }
        for name, spec in entries.items():
            await self.platform.create(StoredObject(Kind.ENTRY, name, spec))
        await self.read()

    async def read(self):
        for host in self.hosts:
            await host.read()

    async def entry(self, name="large.v2"):
        return await self.platform.get(Kind.ENTRY, name)

    async def shares(self):
        spec = (await self.entry()).spec
        return spec["state"], spec["canaryShare"]

    async def complete_step(self, failed=0):
        """Complete the time and the attempts of a step on the first host."""
        host = self.hosts[0]
        host.record_attempts("large.v1", 400)
        host.record_attempts("large.v2", 100, failed)
        host.gossip(self.clock.now())
        await self.clock.advance(61)

    async def test_a_good_version_takes_every_step_while_drivers_change(self):
        """The driver fails over to the other host between any two writes."""
        await self.start()
        seen = []
        for turn in range(20):
            driver = self.hosts[turn % 2]
            await driver.driver.advance(turn)
            await self.read()
            seen.append(await self.shares())
            await self.complete_step()
        steps = list(dict.fromkeys(seen))
        expected = [("canary", share) for share in STEPS] + [("serving", 1.0)]
        self.assertEqual(expected, steps)
        stable = await self.entry("large.v1")
        self.assertEqual("withdrawn", stable.spec["state"])

    async def test_a_step_waits_for_its_duration_and_its_attempts(self):
        await self.start()
        host = self.hosts[0]
        await host.driver.advance(1)
        await self.clock.advance(1000)
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[0]), await self.shares())
        host.record_attempts("large.v2", 100)
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[1]), await self.shares())

    async def test_a_worse_version_is_stopped_by_pooled_counts_and_held(self):
        await self.start(hosts=4)
        for host in self.hosts:
            host.record_attempts("large.v1", 400)
            host.record_attempts("large.v2", 15, failed=12)
            host.guard.evaluate(host.configuration.catalogue)
            self.assertEqual({}, host.guard.stopped)
        for _ in range(2):
            for host in self.hosts:
                host.gossip(self.clock.now())
        last = self.hosts[-1]
        last.guard.evaluate(last.configuration.catalogue)
        self.assertIn("large.v2", last.guard.stopped)
        await last.driver.record_stops()
        entry = await self.entry()
        self.assertEqual("held", entry.spec["state"])
        self.assertIn("errors", entry.status["rollout"]["reason"])
        await self.read()
        self.assertEqual({}, last.guard.stopped)

    async def test_a_stopped_version_is_not_widened_before_the_stop_is_stored(self):
        """The platform may be unavailable when the guard stops a version."""
        await self.start()
        host = self.hosts[0]
        await host.driver.advance(1)
        await self.complete_step(failed=50)
        host.guard.evaluate(host.configuration.catalogue)
        self.assertIn("large.v2", host.guard.stopped)
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[0]), await self.shares())

    async def test_two_drivers_at_once_take_one_step(self):
        """A paused duty holder resumes and acts on an outdated read."""
        await self.start()
        first, second = self.hosts
        await first.driver.advance(1)
        await self.complete_step()
        outdated = await second.driver._read_version("large.v2")
        await first.driver.advance(2)
        status = second.driver._step_status("large.v2", 0.5)
        await self.assert_raises_async(
            ConflictError,
            second.driver._apply(outdated, "widen", status, canaryShare=0.5),
        )
        await second.driver.advance(1)
        self.assertEqual(("canary", STEPS[1]), await self.shares())

    async def test_a_share_changed_by_an_operator_restarts_the_step(self):
        await self.start()
        host = self.hosts[0]
        await host.driver.advance(1)
        await self.complete_step()
        held = await self.entry()
        spec = held.spec | {"canaryShare": STEPS[1]}
        await self.platform.update(replace(held, spec=spec))
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[1]), await self.shares())
        await self.complete_step()
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[2]), await self.shares())

    async def test_a_step_whose_reply_was_lost_is_taken_once(self):
        await self.start()
        host = self.hosts[0]
        await host.driver.advance(1)
        await self.complete_step()
        update = self.platform.update

        async def lose_reply(item):
            await update(item)
            raise PlatformUnavailableError("reply lost")

        self.platform.update = lose_reply
        await self.assert_raises_async(PlatformUnavailableError, host.driver.advance(1))
        self.platform.update = update
        await host.driver.advance(1)
        self.assertEqual(("canary", STEPS[1]), await self.shares())

    async def test_counts_lost_with_a_host_only_prolong_a_step(self):
        """The host that counted the canary's attempts is replaced."""
        await self.start()
        first, second = self.hosts
        await first.driver.advance(1)
        first.record_attempts("large.v2", 100)
        await self.clock.advance(61)
        await second.driver.advance(2)
        self.assertEqual(("canary", STEPS[0]), await self.shares())
        second.record_attempts("large.v2", 60)
        await second.driver.advance(2)
        self.assertEqual(("canary", STEPS[1]), await self.shares())
