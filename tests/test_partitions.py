"""Tests of each row of docs/operators/partitions.md, in virtual time."""

from radishshift.errors import PlatformUnavailableError
from radishshift.objects import Kind, StoredObject
from radishshift.standins.fleet import SETTLEMENT_DUTY, VirtualFleet, version_entry
from radishshift.verdicts import Verdict
from radishshift.virtual_time import run_virtually
from tests.cases import TestCase

MINUTES_S = 180.0
HOUR_S = 3600.0
CUT = "mbeya"
CENTRES = {CUT: 3, "iringa": 2, "njombe": 2}
FEWER = {CUT: 2, "iringa": 1}


async def _started(seconds=MINUTES_S):
    fleet = VirtualFleet(CENTRES if seconds <= MINUTES_S else FEWER)
    for name, state in (("v1", "serving"), ("v2", "canary")):
        await fleet.platform.create(version_entry(name, 0, state=state))
    await fleet.run_for(20)
    return fleet


async def _set_state(fleet, name, state):
    held = await fleet.platform.get(Kind.ENTRY, name)
    await fleet.platform.update(version_entry(name, held.revision, state=state))


def _states(fleet, name, data_centre=None):
    hosts = fleet.hosts_in(data_centre) if data_centre else fleet.hosts.values()
    return {host.state(name) for host in hosts}


async def _refused(case, fleet):
    """Check that a write in the cut data centre is refused as not run."""
    item = StoredObject(Kind.CLAIM_SHARD, "shard")
    for host in fleet.hosts_in(CUT):
        exc = await case.assert_raises_async(
            PlatformUnavailableError, host.platform.create(item)
        )
        case.assertIs(Verdict.NOT_RUN, exc.verdict)


def _holders(fleet, duty=SETTLEMENT_DUTY):
    return [name for name, host in fleet.hosts.items() if host.duties.holds(duty)]


class PartitionsTest(TestCase):
    def _cut_from_the_platform(self, seconds):
        async def run():
            fleet = await _started(seconds)
            fleet.cut_platform(CUT)
            await fleet.run_for(seconds)
            await _refused(self, fleet)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(10)
            self.assertEqual({"withdrawn"}, _states(fleet, "v1", CUT))
            self.assertEqual({"canary"}, _states(fleet, "v2", CUT))
            self.assertEqual(1, len(_holders(fleet)))
            self.assertNotIn(CUT, _holders(fleet)[0])
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_the_platform_for_minutes(self):
        self._cut_from_the_platform(MINUTES_S)

    def test_cut_from_the_platform_for_an_hour(self):
        self._cut_from_the_platform(HOUR_S)

    def _cut_from_the_others(self, seconds):
        async def run():
            fleet = await _started(seconds)
            fleet.cut_other_data_centres(CUT)
            await fleet.run_for(seconds)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(10)
            self.assertEqual({"withdrawn"}, _states(fleet, "v1"))
            self.assertEqual({"canary"}, _states(fleet, "v2"))
            self.assertEqual(1, len(_holders(fleet)))
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_the_others_for_minutes(self):
        self._cut_from_the_others(MINUTES_S)

    def test_cut_from_the_others_for_an_hour(self):
        self._cut_from_the_others(HOUR_S)

    def _cut_from_both(self, seconds):
        async def run():
            fleet = await _started(seconds)
            fleet.cut_platform(CUT)
            fleet.cut_other_data_centres(CUT)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(seconds)
            await _refused(self, fleet)
            self.assertEqual({"serving"}, _states(fleet, "v1", CUT))
            self.assertEqual({"retiring"}, _states(fleet, "v2", CUT))
            self.assertEqual({"withdrawn"}, _states(fleet, "v1", "iringa"))
            self.assertEqual(1, len(_holders(fleet)))
            fleet.cut_platform(CUT, down=False)
            fleet.cut_other_data_centres(CUT, cut=False)
            await fleet.run_for(19)
            self.assertEqual({"withdrawn"}, _states(fleet, "v1"))
            self.assertEqual({"canary"}, _states(fleet, "v2"))
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_both_for_minutes(self):
        self._cut_from_both(MINUTES_S)

    def test_cut_from_both_for_an_hour(self):
        self._cut_from_both(HOUR_S)

    def test_a_host_started_in_a_cut_data_centre_serves_what_its_peers_hold(self):
        async def run():
            fleet = await _started()
            fleet.cut_platform(CUT)
            fleet.cut_other_data_centres(CUT)
            await fleet.run_for(MINUTES_S)
            fresh = fleet.start(f"{CUT}-9", CUT)
            fresh.faulty_platform.faults.down = True
            await fleet.run_for(10)
            self.assertEqual("serving", fresh.state("v1"))
            self.assertEqual("retiring", fresh.state("v2"))
            await fleet.stop()

        run_virtually(run())


class ReplacementTest(TestCase):
    def _replace(self, pause_s):
        async def run():
            fleet = await _started()
            await _set_state(fleet, "v1", "retiring")
            await fleet.run_for(10)
            for number, name in enumerate(list(fleet.hosts)[:6]):
                data_centre = fleet.hosts[name].peers.me.data_centre
                await fleet.kill(name)
                fleet.start(f"{data_centre}-new-{number}", data_centre)
                await fleet.run_for(pause_s)
                settled = [
                    host
                    for host in fleet.hosts.values()
                    if host.configuration.catalogue.versions
                ]
                self.assertEqual({"retiring"}, {host.state("v1") for host in settled})
            await fleet.run_for(20)
            self.assertEqual({"retiring"}, _states(fleet, "v1"))
            self.assertEqual(1, len(_holders(fleet)))
            await fleet.stop()

        run_virtually(run())

    def test_six_hosts_replaced_one_after_another(self):
        self._replace(pause_s=60)

    def test_six_hosts_replaced_within_a_minute(self):
        self._replace(pause_s=8)
