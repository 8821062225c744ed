"""Tests of docs/operators/partitions.md and host replacement in virtual time.

Each row of the page has a test.
"""

from radishshift.errors import PlatformUnavailableError
from radishshift.objects import Kind, StoredObject
from radishshift.standins.fleet import SETTLEMENT_DUTY, VirtualFleet, version_entry
from radishshift.verdicts import Verdict
from radishshift.virtual_time import run_virtually
from tests.cases import TestCase

SHORT_PARTITION_S = 180.0
LONG_PARTITION_S = 3600.0
CUT_DATA_CENTRE = "mbeya"
HOST_COUNTS = {CUT_DATA_CENTRE: 3, "iringa": 2, "njombe": 2}
FEWER_HOST_COUNTS = {CUT_DATA_CENTRE: 2, "iringa": 1}


async def _start_fleet(partition_s=SHORT_PARTITION_S):
    fleet = VirtualFleet(
        HOST_COUNTS if partition_s <= SHORT_PARTITION_S else FEWER_HOST_COUNTS
    )
    for name, state in (("v1", "serving"), ("v2", "canary")):
        await fleet.platform.create(version_entry(name, 0, state=state))
    await fleet.run_for(20)
    return fleet


async def _set_state(fleet, name, state):
    stored = await fleet.platform.get(Kind.ENTRY, name)
    await fleet.platform.update(version_entry(name, stored.revision, state=state))


def _version_states(fleet, name, data_centre=None):
    hosts = fleet.hosts_in(data_centre) if data_centre else fleet.hosts.values()
    return {host.state(name) for host in hosts}


async def _check_writes_refused(case, fleet):
    """Check that each host of the cut data centre refuses a write as not run."""
    item = StoredObject(Kind.CLAIM_SHARD, "shard")
    for host in fleet.hosts_in(CUT_DATA_CENTRE):
        exc = await case.assert_raises_async(
            PlatformUnavailableError, host.platform.create(item)
        )
        case.assertIs(Verdict.NOT_RUN, exc.verdict)


def _duty_holders(fleet, duty=SETTLEMENT_DUTY):
    return [name for name, host in fleet.hosts.items() if host.duties.holds(duty)]


class PartitionsTest(TestCase):
    def _cut_from_the_platform(self, partition_s):
        async def run():
            fleet = await _start_fleet(partition_s)
            fleet.cut_platform(CUT_DATA_CENTRE)
            await fleet.run_for(partition_s)
            await _check_writes_refused(self, fleet)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(10)
            self.assertEqual(
                {"withdrawn"}, _version_states(fleet, "v1", CUT_DATA_CENTRE)
            )
            self.assertEqual({"canary"}, _version_states(fleet, "v2", CUT_DATA_CENTRE))
            self.assertEqual(1, len(_duty_holders(fleet)))
            self.assertNotIn(CUT_DATA_CENTRE, _duty_holders(fleet)[0])
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_the_platform_for_minutes(self):
        self._cut_from_the_platform(SHORT_PARTITION_S)

    def test_cut_from_the_platform_for_an_hour(self):
        self._cut_from_the_platform(LONG_PARTITION_S)

    def _cut_from_other_data_centres(self, partition_s):
        async def run():
            fleet = await _start_fleet(partition_s)
            fleet.cut_other_data_centres(CUT_DATA_CENTRE)
            await fleet.run_for(partition_s)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(10)
            self.assertEqual({"withdrawn"}, _version_states(fleet, "v1"))
            self.assertEqual({"canary"}, _version_states(fleet, "v2"))
            self.assertEqual(1, len(_duty_holders(fleet)))
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_other_data_centres_for_minutes(self):
        self._cut_from_other_data_centres(SHORT_PARTITION_S)

    def test_cut_from_other_data_centres_for_an_hour(self):
        self._cut_from_other_data_centres(LONG_PARTITION_S)

    def _cut_from_both(self, partition_s):
        async def run():
            fleet = await _start_fleet(partition_s)
            fleet.cut_platform(CUT_DATA_CENTRE)
            fleet.cut_other_data_centres(CUT_DATA_CENTRE)
            await _set_state(fleet, "v1", "withdrawn")
            await fleet.run_for(partition_s)
            await _check_writes_refused(self, fleet)
            self.assertEqual({"serving"}, _version_states(fleet, "v1", CUT_DATA_CENTRE))
            self.assertEqual(
                {"retiring"}, _version_states(fleet, "v2", CUT_DATA_CENTRE)
            )
            self.assertEqual({"withdrawn"}, _version_states(fleet, "v1", "iringa"))
            self.assertEqual(1, len(_duty_holders(fleet)))
            fleet.cut_platform(CUT_DATA_CENTRE, down=False)
            fleet.cut_other_data_centres(CUT_DATA_CENTRE, cut=False)
            await fleet.run_for(19)
            self.assertEqual({"withdrawn"}, _version_states(fleet, "v1"))
            self.assertEqual({"canary"}, _version_states(fleet, "v2"))
            await fleet.stop()

        run_virtually(run())

    def test_cut_from_both_for_minutes(self):
        self._cut_from_both(SHORT_PARTITION_S)

    def test_cut_from_both_for_an_hour(self):
        self._cut_from_both(LONG_PARTITION_S)

    def test_a_host_started_in_a_cut_data_centre_is_configured_by_peers(self):
        async def run():
            fleet = await _start_fleet()
            fleet.cut_platform(CUT_DATA_CENTRE)
            fleet.cut_other_data_centres(CUT_DATA_CENTRE)
            await fleet.run_for(SHORT_PARTITION_S)
            new_host = fleet.start(f"{CUT_DATA_CENTRE}-9", CUT_DATA_CENTRE)
            new_host.faulty_platform.faults.down = True
            await fleet.run_for(10)
            self.assertEqual("serving", new_host.state("v1"))
            self.assertEqual("retiring", new_host.state("v2"))
            await fleet.stop()

        run_virtually(run())


class ReplacementTest(TestCase):
    def _replace(self, pause_s):
        async def run():
            fleet = await _start_fleet()
            await _set_state(fleet, "v1", "retiring")
            await fleet.run_for(10)
            for number, name in enumerate(list(fleet.hosts)[:6]):
                data_centre = fleet.hosts[name].peers.me.data_centre
                await fleet.kill(name)
                fleet.start(f"{data_centre}-new-{number}", data_centre)
                await fleet.run_for(pause_s)
                configured = [
                    host
                    for host in fleet.hosts.values()
                    if host.configuration.catalogue.versions
                ]
                self.assertEqual(
                    {"retiring"}, {host.state("v1") for host in configured}
                )
            await fleet.run_for(20)
            self.assertEqual({"retiring"}, _version_states(fleet, "v1"))
            self.assertEqual(1, len(_duty_holders(fleet)))
            await fleet.stop()

        run_virtually(run())

    def test_six_hosts_replaced_one_after_another(self):
        self._replace(pause_s=60)

    def test_six_hosts_replaced_within_a_minute(self):
        self._replace(pause_s=8)
