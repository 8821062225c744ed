"""Hosts on loopback whose store comes back from an older copy."""

import asyncio

from tests.cases import TestCase
from tests.users_platform.fleets import (
    CONFIG,
    DESK,
    HOST_HEADER,
    KEY,
    SERVICE,
    running_fleet,
)

CONFIG_APPLY_S = 2.0


def _config(version, key=KEY):
    return CONFIG | {
        "version": version,
        "tenants": [{"name": "ring", "apiKeys": [key]}],
    }


async def _until(condition):
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.02)


class StoreRestoresTest(TestCase):
    async def test_the_next_configuration_is_in_force_after_two_restores(self):
        """It never came into force: its revision was lower than one before."""
        async with running_fleet(3) as (fleet, _):
            store, hosts = fleet.platform.store, fleet.hosts
            saved = store.copy()
            for version in (2, 3, 4):
                store.put("config", "main", _config(version))
            await _until(lambda: all(host.host_view.version == 4 for host in hosts))
            for restores in (1, 2):
                store.restore(saved)
                store.put("config", "main", _config(4))
                await _until(
                    lambda restores=restores: all(
                        host.host_view.restores.era == restores for host in hosts
                    )
                )
                self.assertEqual({4}, {host.host_view.version for host in hosts})
            store.put("config", "main", _config(5, "another-key"))
            await _until(lambda: all(host.host_view.version == 5 for host in hosts))
            for host in hosts:
                customers = host.host_view.deployment.customers
                self.assertEqual(["another-key"], list(customers))

    async def test_callers_get_the_next_configuration_after_a_restore(self):
        """Guards rule CONFIG: a route got 404, and a key taken away went on running."""
        async with running_fleet(3, (SERVICE, DESK)) as (fleet, session):
            store, hosts = fleet.platform.store, fleet.hosts
            saved = store.copy()
            for version in range(2, 9):
                store.put("config", "main", _config(version))
            await _until(lambda: all(host.host_view.version == 8 for host in hosts))
            store.restore(saved)
            store.put("config", "main", _config(8))
            await asyncio.sleep(1.0)
            store.put("config", "main", _config(9, "another-key"))
            await asyncio.sleep(CONFIG_APPLY_S)
            for host in hosts:
                for key, expected in ((KEY, 401), ("another-key", 200)):
                    url = f"http://{host.settings.caller_address}/book/1"
                    headers = {"Host": HOST_HEADER, "X-Key": key, "X-Attempt-Id": key}
                    async with session.post(url, headers=headers) as resp:
                        self.assertEqual(expected, resp.status)

    async def test_endpoints_that_register_again_are_used(self):
        async with running_fleet(3) as (fleet, _):
            store, hosts = fleet.platform.store, fleet.hosts
            entries = dict(store.objects_by_kind["servers"])
            saved = store.copy()
            saved[1]["servers"].clear()
            for _ in range(5):
                store.put("config", "main", CONFIG)
            store.restore(saved)
            for name, entry in entries.items():
                store.put("servers", name, entry["spec"])
            await _until(lambda: all(host.host_view.restores.era for host in hosts))
            for host in hosts:
                served = {member.name for member in host.host_view.members_of(SERVICE)}
                self.assertTrue(served)
            await _until(
                lambda: all(
                    host.host_view.members.keys() == entries.keys() for host in hosts
                )
            )
