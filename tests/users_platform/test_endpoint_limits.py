"""End-to-end test of several hosts before an endpoint that limits its requests.

Hosts, endpoints, store and callers run in this process and talk over loopback.
"""

import asyncio
import random

from tests.cases import TestCase
from tests.limit_rule import MAX_LEARNING_S, most_allowed, most_in_window
from tests.users_platform.fleets import running_fleet, send_plans

HOST_COUNT = 6
LIMIT_PER_S = 1.2
INTERVAL_S = 0.04  # between requests, over all hosts
OBSERVED_S = 6.0  # after the time that hosts have to learn the limit
MIN_SERVED_SHARE = 0.9


class EndpointLimitsTest(TestCase):
    async def test_an_endpoint_that_limits_its_requests_gets_as_many_as_before(self):
        """Six hosts sent 23 requests in 4 s to an engine that allowed 14."""
        async with running_fleet(HOST_COUNT) as (fleet, session):
            limited = fleet.platform.endpoints["llm-0"]
            limited.limit_per_s = LIMIT_PER_S
            rng = random.Random(29)
            began_at = asyncio.get_running_loop().time()
            served = await send_plans(
                session, fleet.hosts, rng, MAX_LEARNING_S + OBSERVED_S, INTERVAL_S
            )
        arrivals = [
            arrival.at
            for arrival in limited.arrivals
            if arrival.at >= began_at + MAX_LEARNING_S
        ]
        self.assertLessEqual(most_in_window(arrivals), most_allowed(LIMIT_PER_S))
        self.assertTrue(arrivals)
        self.assertGreaterEqual(sum(served), MIN_SERVED_SHARE * len(served))
