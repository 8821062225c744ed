"""End-to-end tests of endpoints that say they leave, or that ask for a pause.

Hosts, endpoints, store and callers run in this process and talk over loopback.
"""

import asyncio
import random

from tests.cases import TestCase
from tests.users_platform.fleets import running_fleet, send_plans

HOST_COUNT = 3
INTERVAL_S = 0.03
DRAIN_S = 2.0  # from the first answer that says so
PAUSE_S = 3.0
PAUSE_SLACK_S = 0.5  # for requests that were on their way
MAX_REQUESTS_IN_PAUSE = 2  # of each host


def _now():
    return asyncio.get_running_loop().time()


class LeavingAndPausingTest(TestCase):
    async def test_an_endpoint_that_says_it_leaves_gets_requests_while_it_is_listed(
        self,
    ):
        """Guards rule DRAIN: only the store's list was heeded."""
        async with running_fleet(HOST_COUNT) as (fleet, session):
            leaving = fleet.platform.endpoints["llm-0"]
            leaving.says_leaving = True
            began_at = _now()
            served = await send_plans(
                session, fleet.hosts, random.Random(1), DRAIN_S + 2.0, INTERVAL_S
            )
        late = [
            arrival.request_id
            for arrival in leaving.arrivals
            if arrival.at > began_at + DRAIN_S
        ]
        self.assertTrue(leaving.arrivals)
        self.assertEqual([], late)
        self.assertGreaterEqual(sum(served), 0.95 * len(served))

    async def test_an_endpoint_that_asks_for_a_pause_gets_requests_in_it(self):
        """Guards rule BUDGET: a pause held for the request that was refused only."""
        async with running_fleet(HOST_COUNT) as (fleet, session):
            pausing = fleet.platform.endpoints["llm-0"]
            pausing.pause_s = PAUSE_S
            pausing.set_faults(refuses=True)
            served = await send_plans(
                session, fleet.hosts, random.Random(2), PAUSE_S + 1.0, INTERVAL_S
            )
        by_host = {}
        for arrival in pausing.arrivals:
            host = arrival.request_id.rpartition("-")[0]
            by_host.setdefault(host, []).append(arrival.at)
        self.assertTrue(by_host)
        for instants in by_host.values():
            since, until = instants[0] + PAUSE_SLACK_S, instants[0] + PAUSE_S
            within = [at for at in instants if since < at < until]
            self.assertLessEqual(len(within), MAX_REQUESTS_IN_PAUSE)
        self.assertGreaterEqual(sum(served), 0.95 * len(served))
