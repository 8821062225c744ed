"""End-to-end tests of hosts that are cut off from all endpoints.

Hosts, endpoints, store and callers run in this process and talk over loopback.
"""

import asyncio
import random

from tests.cases import TestCase
from tests.users_platform.cut_links import Cut
from tests.users_platform.fleets import running_fleet, send_plans

HOST_COUNT = 6
CUT_COUNT = 3
CONTACT_S = 3.0  # hosts may take this long to notice that they are cut off
INTERVAL_S = 0.04  # between requests, over all hosts
OBSERVED_S = 4.0
MIN_SERVED_RATIO = 2 / 3  # of the share that the other hosts serve


class PartitionedHostsTest(TestCase):
    async def check_cut(self, cut):
        async with running_fleet(HOST_COUNT) as (fleet, session):
            rng = random.Random(33)
            cut_off, others = fleet.hosts[:CUT_COUNT], fleet.hosts[CUT_COUNT:]
            await send_plans(session, fleet.hosts, rng, 1.0, INTERVAL_S)
            for host in cut_off:
                host.endpoint_client.cut = cut
            await send_plans(session, fleet.hosts, rng, CONTACT_S, INTERVAL_S)
            served = await asyncio.gather(
                send_plans(session, cut_off, rng, OBSERVED_S, 2 * INTERVAL_S),
                send_plans(session, others, rng, OBSERVED_S, 2 * INTERVAL_S),
            )
        shares = [sum(each) / len(each) for each in served]
        self.assertGreaterEqual(shares[0], MIN_SERVED_RATIO * shares[1])

    async def test_hosts_with_silent_endpoints_serve_nothing(self):
        """Hosts cut off from all endpoints served 0 of 45 requests, the others 96."""
        await self.check_cut(Cut.SILENT)

    async def test_hosts_whose_connections_are_reset_serve_nothing(self):
        await self.check_cut(Cut.RESET)

    async def test_hosts_that_can_open_no_connection_serve_nothing(self):
        """Hosts served 4 of 73 requests while open connections lived on."""
        await self.check_cut(Cut.REFUSED)
