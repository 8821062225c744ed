"""End-to-end test of several hosts before an endpoint that limits its requests.

Hosts, endpoints, store and callers run in this process and talk over loopback.
"""

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp
from users_platform.standins import standin_platform

from tests.cases import TestCase
from tests.limit_rule import MAX_LEARNING_S, most_allowed, most_in_window
from tests.users_platform.fleets import DATA_CENTRES, GatewayFleet
from tests.users_platform.test_crashing_parts import CONFIG, KEY, SERVICE

HOST_COUNT = 6
ENDPOINT_COUNT = 3
LIMIT_PER_S = 1.2
INTERVAL_S = 0.04  # between requests, over all hosts
OBSERVED_S = 6.0  # after the time that hosts have to learn the limit
MIN_SERVED_SHARE = 0.9


async def _request(session, host, number):
    """Send a request to a host; return whether it was served."""
    headers = {
        "Host": "ring.example",
        "X-Key": KEY,
        "X-Attempt-Id": f"request-{number}",
        "X-Deadline-Ms": "4000",
        "X-Token-Usage": "350,50",
        "X-Prefix-Hash": f"doc-{number % 7}:300,own-{number}:50",
    }
    url = f"http://{host.settings.caller_address}/plan/{number}"
    try:
        async with session.post(url, headers=headers, data=b"%d" % number) as resp:
            await resp.read()
            return resp.status == 200
    except aiohttp.ClientError:
        return False


class EndpointLimitsTest(TestCase):
    async def test_an_endpoint_that_limits_its_requests_gets_as_many_as_before(self):
        """Six hosts sent 23 requests in 4 s to an engine that allowed 14."""
        async with AsyncExitStack() as stack:
            platform = await stack.enter_async_context(standin_platform(CONFIG, ()))
            for number in range(ENDPOINT_COUNT):
                await platform.add_endpoint(
                    f"llm-{number}", SERVICE, zone=DATA_CENTRES[number]
                )
            fleet = GatewayFleet(platform, HOST_COUNT)
            stack.push_async_callback(fleet.stop)
            await fleet.start()
            session = await stack.enter_async_context(aiohttp.ClientSession())
            limited = platform.endpoints["llm-0"]
            limited.limit_per_s = LIMIT_PER_S
            rng = random.Random(29)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            tasks = []
            for number in range(int((MAX_LEARNING_S + OBSERVED_S) / INTERVAL_S)):
                host = rng.choice(fleet.hosts)
                tasks.append(asyncio.create_task(_request(session, host, number)))
                await asyncio.sleep(INTERVAL_S)
            served = await asyncio.gather(*tasks)
        arrivals = [
            arrival.at
            for arrival in limited.arrivals
            if arrival.at >= began_at + MAX_LEARNING_S
        ]
        self.assertLessEqual(most_in_window(arrivals), most_allowed(LIMIT_PER_S))
        self.assertTrue(arrivals)
        self.assertGreaterEqual(sum(served), MIN_SERVED_SHARE * len(served))
