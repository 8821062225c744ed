"""Tests of large fleets whose store comes back from an older copy."""

import asyncio

from tests.cases import VirtualTestCase
from tests.gateway.metered_fleets import BOUNDS, MeteredFleet

ROUTES = 300
AWAY_S = 1.0
STABLE_S = 5.0  # from the restore to the next change


class StoreRestoresTest(VirtualTestCase):
    """Guards rule CONFIG: hosts took revisions that were given out again for old."""

    async def _fleet(self, hosts, centres):
        fleet = MeteredFleet(hosts, centres, endpoints=20, narrow_mbps=10.0)
        await fleet.start()
        return fleet

    async def _lose_changes(self, fleet):
        """Store three versions that the copy lacks; return the copy."""
        saved = fleet.copy()
        for version in (2, 3, 4):
            await fleet.configure(version, ROUTES)
            await fleet.register_endpoints()  # so more is lost than is written again
            await asyncio.sleep(0.7)
        await asyncio.sleep(BOUNDS.config_deadline_s)
        return saved

    async def _check_next_changes(self, fleet):
        """Change routes and endpoints once the store is stable."""
        self.assertEqual({4}, {host.host_view.version for host in fleet.hosts.values()})
        await fleet.configure(5, ROUTES + 1)
        await fleet.replace_endpoints(4, 0.5)
        await asyncio.sleep(BOUNDS.config_deadline_s)
        await fleet.stop()
        self.assertLess(fleet.version_ages_s()[5], BOUNDS.config_deadline_s)
        self.assertLess(max(fleet.departure_ages_s().values()), BOUNDS.drain_s)
        for host in fleet.hosts.values():
            versions = sorted(host.versions_at, key=host.versions_at.get)
            self.assertEqual(sorted(versions), versions)

    async def _check_restore(self, fleet):
        """Restore the store once, in reach of all hosts, and change it."""
        saved = await self._lose_changes(fleet)
        await fleet.restore(saved, AWAY_S)
        await fleet.write_again(4, ROUTES)
        await asyncio.sleep(STABLE_S)
        await self._check_next_changes(fleet)

    async def test_73_hosts_take_the_next_configuration_after_a_restore(self):
        await self._check_restore(await self._fleet(73, 4))

    async def test_73_hosts_of_which_most_hear_of_two_restores_from_peers(self):
        fleet = await self._fleet(73, 4)
        saved = await self._lose_changes(fleet)
        for _ in range(2):
            await fleet.restore(saved, AWAY_S)
            fleet.without_store.update(list(fleet.hosts)[3:])
            await fleet.write_again(4, ROUTES)
            await asyncio.sleep(STABLE_S)
        await self._check_next_changes(fleet)

    async def test_195_hosts_take_the_next_configuration_after_a_restore(self):
        await self._check_restore(await self._fleet(195, 5))
