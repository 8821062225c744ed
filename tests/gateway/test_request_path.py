"""Tests of what is decided before an attempt."""

import math

from radishshift.gateway.deployment import Customer, RouteKind
from tests.cases import VirtualTestCase
from tests.gateway.worlds import KEY, Script, World, route

SAFE = route()
STREAM = route(RouteKind.STREAM)
EVENTS = (b"id: 1\ndata: x\n\n",)


class RequestPathTest(VirtualTestCase):
    async def _status(self, world, **changes):
        return (await world.send_request(**changes)).status

    async def test_unknown_keys_and_paths_are_refused(self):
        world = World([SAFE], {"a": [Script()]})
        self.assertEqual(401, await self._status(world, key="other"))
        self.assertEqual(404, await self._status(world, target="/nowhere/x"))
        self.assertEqual([], world.attempted_endpoints())

    async def test_a_public_route_asks_for_no_key(self):
        world = World([route(public=True)], {"a": [Script()]})
        self.assertEqual(200, await self._status(world, key=""))
        self.assertEqual("", world.endpoints.attempts[0].customer)

    async def test_the_key_s_customer_is_passed_on(self):
        world = World([SAFE], {"a": [Script()]})
        await world.send_request()
        self.assertEqual("ring", world.endpoints.attempts[0].customer)

    async def test_a_host_without_configuration_says_not_run(self):
        world = World([SAFE], {"a": [Script()]})
        world.host_view.deployment = None
        caller = await world.send_request(key="other")
        self.assertEqual(503, caller.status)

    async def test_a_removed_key_is_refused_and_an_added_one_taken(self):
        world = World([SAFE], {"a": [Script()]})
        world.configure([SAFE], version=2, customers={"new": Customer("mill")})
        self.assertEqual(401, await self._status(world, key=KEY))
        self.assertEqual(200, await self._status(world, key="new"))

    async def test_an_older_configuration_never_comes_back(self):
        world = World([SAFE], {"a": [Script()]})
        world.configure([], version=7)
        world.configure([SAFE], version=6)
        self.assertEqual(404, await self._status(world))

    async def test_a_leaving_endpoint_gets_nothing_new(self):
        world = World([SAFE], {"a": [Script()], "b": [Script()]})
        world.list_members(["a", "b"], leaving=["a"])
        for number in range(5):
            await world.send_request(number)
        self.assertEqual({"b"}, set(world.attempted_endpoints()))

    async def test_an_endpoint_that_was_replaced_is_forgotten(self):
        world = World([SAFE], {"a": [Script(error="replaced")], "b": [Script()]})
        world.placer.view(world.member("b")).in_flight = 5
        self.assertEqual(200, await self._status(world))
        self.assertEqual(["a"], world.endpoints.forgotten)


class StoppingTest(VirtualTestCase):
    def _stopping(self, left_s, events=EVENTS):
        world = World([SAFE, STREAM], {"a": [Script(events=events)]})
        world.configure([STREAM], version=2)
        now = world.clock.now()
        world.path.exits_at = now + left_s
        world.path.accept_streams_until = now
        return world

    async def test_a_stream_that_may_outlast_the_host_is_refused_as_not_run(self):
        """Streams taken more than 3 s after the signal and then cut broke LOST."""
        world = self._stopping(2.0)
        caller = await world.send_request(answer_tokens=400)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))
        self.assertIn("Retry-After", dict(caller.headers))

    async def test_a_stream_is_refused_that_ends_in_time_only_if_nothing_fails(self):
        """A stream taken 5.3 s after the signal lost 1.1 s to a silent endpoint."""
        world = self._stopping(2.5)
        caller = await world.send_request(answer_tokens=10)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))

    async def test_a_short_stream_is_taken_while_stopping(self):
        world = self._stopping(5.0)
        caller = await world.send_request(answer_tokens=10)
        self.assertEqual(200, caller.status)

    async def test_streams_are_taken_until_the_balancer_knows(self):
        world = self._stopping(2.0)
        world.path.accept_streams_until = math.inf
        caller = await world.send_request(answer_tokens=400)
        self.assertEqual(200, caller.status)

    async def test_a_call_that_may_outlast_the_host_is_refused(self):
        world = World([SAFE], {"a": [Script()]})
        world.path.exits_at = world.clock.now() + 0.5
        world.path.accept_streams_until = world.clock.now()
        self.assertEqual(503, (await world.send_request(deadline_s=1.0)).status)
        self.assertEqual(200, (await world.send_request(deadline_s=0.4)).status)
