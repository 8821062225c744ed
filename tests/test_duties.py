"""Tests of how hosts share out duties."""

import asyncio

from radishshift.clocks import ManualClock
from radishshift.duties import Duties, DutyState
from radishshift.hosts import Host
from radishshift.leases import LEASE_DURATION_S, RENEWAL_INTERVAL_S
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from tests.cases import TestCase


class DutiesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        self.network = {}
        self.actions = []
        self.duties = {}
        self.tasks = {}

    def _start(self, count, names=("settle",)):
        for number in range(count):
            host = Host(f"mbeya-{number}", "mbeya", "r", "", 1)
            peers = MemoryPeers(host, self.network)
            duties = Duties(self.platform, peers, self.clock)
            for name in names:
                duties.add(name, self._make_action(host.name, name), period_s=1.0)
            self.duties[host.name] = duties
        for name, duties in self.duties.items():
            self.tasks[name] = asyncio.create_task(duties.run())

    def _make_action(self, host, duty):
        async def act(number):
            self.actions.append((self.clock.now(), duty, host, number))

        return act

    def _holders(self, name="settle"):
        return [host for host, duties in self.duties.items() if duties.holds(name)]

    async def _stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def test_one_of_several_hosts_performs_a_duty(self):
        self._start(6)
        await self.clock.advance(20)
        self.assertEqual(1, len(self._holders()))
        self.assertEqual(1, len({host for _, _, host, _ in self.actions}))
        await self._stop()

    async def test_duties_spread_over_the_hosts(self):
        names = tuple(f"duty-{number}" for number in range(12))
        self._start(6, names)
        await self.clock.advance(10)
        holders = {self._holders(name)[0] for name in names}
        self.assertGreaterEqual(len(holders), 4)
        await self._stop()

    async def test_the_duty_of_a_killed_host_passes_on_with_a_higher_fencing_token(
        self,
    ):
        self._start(6)
        await self.clock.advance(20)
        (killed,) = self._holders()
        task = self.tasks.pop(killed)
        del self.network[killed]
        duties = self.duties.pop(killed)
        duties.platform = None
        for duty in duties.duties.values():
            duty.lease.platform = None
        task.cancel()
        number = duties.fencing_number("settle")
        await self.clock.advance(LEASE_DURATION_S + 2 * RENEWAL_INTERVAL_S)
        (holder,) = self._holders()
        self.assertNotEqual(killed, holder)
        self.assertGreater(self.duties[holder].fencing_number("settle"), number)
        await self._stop()

    async def test_actions_of_two_holders_never_overlap(self):
        self._start(4)
        await self.clock.advance(60)
        numbers = [number for _, _, _, number in self.actions]
        self.assertEqual(sorted(numbers), numbers)
        self.assertGreater(len(numbers), 40)
        await self._stop()

    async def test_one_host_holds_one_contends_and_the_others_stay_idle(self):
        self._start(4)
        await self.clock.advance(10)
        states = sorted(d.duties["settle"].state for d in self.duties.values())
        wanted = [DutyState.CONTENDING, DutyState.HOLDING] + [DutyState.IDLE] * 2
        self.assertEqual(sorted(wanted), states)
        await self._stop()
