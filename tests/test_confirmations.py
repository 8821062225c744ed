"""Tests of which hosts have not confirmed a revision."""

from radishshift.confirmations import unconfirmed_hosts
from radishshift.objects import Kind, StoredObject
from radishshift.standins.fleet import VirtualFleet, version_entry
from radishshift.virtual_time import run_virtually
from tests.cases import TestCase


async def _list_host(fleet, name, data_centre):
    spec = {"dataCentre": data_centre, "region": "r", "peerAddress": "http://x"}
    await fleet.platform.create(StoredObject(Kind.HOST, name, spec))


class UnconfirmedHostsTest(TestCase):
    def test_hosts_that_have_not_confirmed_a_change_are_named(self):
        async def run():
            fleet = VirtualFleet({"mbeya": 3, "iringa": 3})
            for name, host in fleet.hosts.items():
                await _list_host(fleet, name, host.peers.me.data_centre)
            await _list_host(fleet, "mbeya-gone", "mbeya")
            stored = await fleet.platform.create(version_entry("v1", 0))
            await fleet.run_for(20)
            unconfirmed = await unconfirmed_hosts(fleet.platform, stored.revision)
            self.assertEqual(["mbeya-gone"], unconfirmed)
            fleet.cut_platform("iringa")
            fleet.cut_other_data_centres("iringa")
            stored = await fleet.platform.create(version_entry("v2", 0))
            await fleet.run_for(20)
            unconfirmed = await unconfirmed_hosts(fleet.platform, stored.revision)
            cut_off = {host.peers.me.name for host in fleet.hosts_in("iringa")}
            self.assertEqual({*cut_off, "mbeya-gone"}, set(unconfirmed))
            await fleet.stop()

        run_virtually(run())

    def test_a_restarted_host_has_to_confirm_again(self):
        async def run():
            fleet = VirtualFleet({"mbeya": 3})
            stored = await fleet.platform.create(version_entry("v1", 0))
            await fleet.run_for(20)
            self.assertEqual(
                [], await unconfirmed_hosts(fleet.platform, stored.revision)
            )
            await fleet.kill("mbeya-0")
            fresh = fleet.start("mbeya-0", "mbeya")
            fresh.faulty_platform.faults.down = True
            fresh.peers.cut = set(fleet.hosts) - {"mbeya-0"}
            await _list_host(fleet, "mbeya-0", "mbeya")
            await fleet.run_for(20)
            unconfirmed = await unconfirmed_hosts(fleet.platform, stored.revision)
            self.assertEqual(["mbeya-0"], unconfirmed)
            fresh.peers.cut = set()
            await fleet.run_for(20)
            self.assertEqual(
                [], await unconfirmed_hosts(fleet.platform, stored.revision)
            )
            await fleet.stop()

        run_virtually(run())
