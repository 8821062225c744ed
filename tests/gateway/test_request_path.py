"""Tests of the decisions made before the first attempt of a request."""

import asyncio
import math

from radishshift.gateway.deployment import (
    Customer,
    Rollout,
    RolloutState,
    RouteKind,
)
from tests.cases import VirtualTestCase
from tests.gateway.worlds import KEY, SERVICE, Script, World, route

IDEMPOTENT = route()
STREAM = route(RouteKind.STREAM)
EVENTS = (b"id: 1\ndata: x\n\n",)


class RequestPathTest(VirtualTestCase):
    async def _status(self, world, **changes):
        return (await world.send_request(**changes)).status

    async def test_unknown_keys_and_paths_are_rejected(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        self.assertEqual(401, await self._status(world, key="other"))
        self.assertEqual(404, await self._status(world, target="/nowhere/x"))
        self.assertEqual([], world.attempted_endpoints())

    async def test_a_public_route_requires_no_key(self):
        world = World([route(public=True)], {"a": [Script()]})
        self.assertEqual(200, await self._status(world, key=""))
        self.assertEqual("", world.endpoints.attempts[0].customer)

    async def test_the_customer_of_a_key_is_sent_to_the_endpoint(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        await world.send_request()
        self.assertEqual("ring", world.endpoints.attempts[0].customer)

    async def test_a_host_without_configuration_answers_503(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        world.host_view.deployment = None
        caller = await world.send_request(key="other")
        self.assertEqual(503, caller.status)

    async def test_a_request_waits_for_the_first_configuration_of_a_host(self):
        """Each caller that came while a host started had spent its only retry."""
        world = World([], {"a": [Script()]})
        sending = asyncio.create_task(world.send_request(deadline_s=1.0))
        await asyncio.sleep(0.2)
        self.assertFalse(sending.done())
        world.configure([IDEMPOTENT])
        self.assertEqual(200, (await sending).status)

    async def test_a_request_waits_for_the_first_endpoints_of_a_host(self):
        """The configuration arrives before the listing of endpoints, if barely."""
        world = World([], {})
        world.configure([IDEMPOTENT])
        world.configured.clear()
        world.endpoints.scripts["a"] = [Script()]
        sending = asyncio.create_task(world.send_request(deadline_s=1.0))
        await asyncio.sleep(0.2)
        self.assertFalse(sending.done())
        world.list_members(["a"])
        world.configured.set()
        self.assertEqual(200, (await sending).status)

    async def test_the_wait_for_a_configuration_leaves_time_for_a_retry(self):
        world = World([], {"a": [Script()]})
        began_at = world.clock.now()
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(503, caller.status)
        self.assertLess(caller.ended_at - began_at, 0.5)

    async def test_a_removed_key_is_rejected_and_an_added_key_accepted(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        world.configure([IDEMPOTENT], version=2, customers={"new": Customer("mill")})
        self.assertEqual(401, await self._status(world, key=KEY))
        self.assertEqual(200, await self._status(world, key="new"))

    async def test_a_request_without_a_key_is_rejected_whatever_keys_are_held(self):
        """An empty key in a configuration let every request without a key run."""
        for blank in ("", " ", "\t", "\u00a0"):
            world = World([IDEMPOTENT], {"a": [Script()]})
            world.configure(
                [IDEMPOTENT], version=2, customers={blank: Customer("mill")}
            )
            with self.subTest(repr(blank)):
                self.assertEqual(401, await self._status(world, key=blank))
                self.assertEqual([], world.attempted_endpoints())

    async def test_requests_of_a_route_that_could_not_be_read_have_not_run(self):
        world = World([route(shares=())], {"a": [Script()]})
        self.assertEqual(503, await self._status(world))
        self.assertEqual([], world.attempted_endpoints())

    async def test_sessions_under_way_stay_on_the_old_version(self):
        """Guards rule PINNED: the version was kept only from the order on."""
        world = World(
            [STREAM],
            {"a": [Script(events=EVENTS)], "b": [Script(events=EVENTS)]},
            versions={"b": "v2"},
        )
        world.list_members(["a"])
        keys = [f"s{number}" for number in range(60)]
        for key in keys:
            await world.send_request(session=key)
        world.list_members(["a", "b"])
        order = Rollout(SERVICE, "v2", 60.0, RolloutState.ORDERED, 1)
        world.versions.update_rollouts([order], world.clock.now())
        for key in keys:
            await world.send_request(session=key)
        self.assertEqual({"a"}, set(world.attempted_endpoints()))

    async def test_a_session_goes_on_from_the_end_of_its_request(self):
        """Guards rule PINNED: a long answer left no time until the next request."""
        slow = Script(events=EVENTS, gap_s=2.0)
        world = World([STREAM], {"a": [slow]})
        began_at = world.clock.now()
        await world.send_request(session="s1")
        ended_at = world.clock.now()
        self.assertGreater(ended_at, began_at)
        [(_, kept_at)] = world.versions._sessions.values()
        self.assertEqual(ended_at, kept_at)

    async def test_no_key_is_accepted_once_the_last_one_is_taken_away(self):
        """Hosts ran every request, as an empty table of keys meant no keys at all."""
        world = World([IDEMPOTENT], {"a": [Script()]})
        world.configure([IDEMPOTENT], version=2, customers={})
        for key in (KEY, "other", ""):
            self.assertEqual(401, await self._status(world, key=key))
        self.assertEqual([], world.attempted_endpoints())

    async def test_an_older_configuration_does_not_replace_a_newer_one(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        world.configure([], version=7)
        world.configure([IDEMPOTENT], version=6)
        self.assertEqual(404, await self._status(world))

    async def test_a_leaving_endpoint_gets_no_new_requests(self):
        world = World([IDEMPOTENT], {"a": [Script()], "b": [Script()]})
        world.list_members(["a", "b"], leaving=["a"])
        for number in range(5):
            await world.send_request(number)
        self.assertEqual({"b"}, set(world.attempted_endpoints()))

    async def test_connections_to_a_replaced_endpoint_are_closed(self):
        world = World([IDEMPOTENT], {"a": [Script(error="replaced")], "b": [Script()]})
        world.placer.view(world.member("b")).in_flight = 5
        self.assertEqual(200, await self._status(world))
        self.assertEqual(["a"], world.endpoints.forgotten)


class ShutdownTest(VirtualTestCase):
    def _stopping(self, left_s, events=EVENTS):
        world = World([IDEMPOTENT, STREAM], {"a": [Script(events=events)]})
        world.configure([STREAM], version=2)
        now = world.clock.now()
        world.path.exits_at = now + left_s
        world.path.accept_streams_until = now
        return world

    async def test_a_stream_that_may_outlast_the_process_is_refused_as_not_run(self):
        """Guards rule LOST: streams accepted over 3 s after SIGTERM were cut."""
        world = self._stopping(2.0)
        caller = await world.send_request(answer_tokens=400)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))
        self.assertIn("Retry-After", dict(caller.headers))

    async def test_a_stream_without_time_for_a_retry_is_refused(self):
        """A stream accepted 5.3 s after SIGTERM lost 1.1 s to a silent endpoint."""
        world = self._stopping(2.5)
        caller = await world.send_request(answer_tokens=10)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))

    async def test_a_stream_whose_deadline_precedes_the_exit_is_accepted(self):
        world = self._stopping(5.0)
        caller = await world.send_request(deadline_s=4.9)
        self.assertEqual(200, caller.status)
        caller = await world.send_request(answer_tokens=10)
        self.assertEqual(503, caller.status)

    async def test_a_stream_longer_than_its_caller_states_is_not_cut_by_the_exit(self):
        """A stream was accepted 2.75 s after SIGTERM and cut off 5 s later."""
        script = Script(events=EVENTS * 30, gap_s=0.3)
        world = World([STREAM], {"a": [script]})
        world.path.exits_at = exits_at = world.clock.now() + 5.0
        world.path.accept_streams_until = world.clock.now()
        caller = await world.send_request(answer_tokens=10)
        self.assertLess(caller.ended_at, exits_at)

    async def test_no_estimate_of_a_duration_lets_a_stopping_host_accept_a_stream(self):
        """The margin over the estimate was raised twice, and streams still were cut."""
        world = World([route(RouteKind.STREAM, timeout_s=2000.0)], {"a": [Script()]})
        world.path.accept_streams_until = world.clock.now()
        world.path.exits_at = world.clock.now() + 1000.0
        caller = await world.send_request(answer_tokens=1, deadline_s=1001.0)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))

    async def test_streams_are_accepted_until_the_load_balancer_detects_the_shutdown(
        self,
    ):
        world = self._stopping(2.0)
        world.path.accept_streams_until = math.inf
        caller = await world.send_request(answer_tokens=400)
        self.assertEqual(200, caller.status)

    async def test_a_call_that_may_outlast_the_process_is_refused(self):
        world = World([IDEMPOTENT], {"a": [Script()]})
        world.path.exits_at = world.clock.now() + 0.5
        world.path.accept_streams_until = world.clock.now()
        self.assertEqual(503, (await world.send_request(deadline_s=1.0)).status)
        self.assertEqual(200, (await world.send_request(deadline_s=0.4)).status)

    async def test_a_stream_that_should_outlast_the_process_is_refused_early(self):
        """Streams accepted 0.8 to 1.4 s after SIGTERM were cut off 7 s later.

        The load balancer did not yet know of the shutdown.
        """
        world = self._stopping(7.0)
        world.path.accept_streams_until = math.inf
        times = world.dispatcher._stream_times
        times.record(STREAM.name, "", 100, 4.0)
        caller = await world.send_request(1, answer_tokens=400)
        self.assertEqual((503, []), (caller.status, world.attempted_endpoints()))
        self.assertIn(b"not-run", caller.body)
        caller = await world.send_request(2, answer_tokens=50)
        self.assertEqual(200, caller.status)


class LostAnswerTest(VirtualTestCase):
    async def test_an_answer_that_is_lost_is_replaced_in_time(self):
        """A tag waited 2.7 s for an answer that its endpoint had lost."""
        stream = route(RouteKind.STREAM, objective_s=1.0)
        sound = Script(events=EVENTS, first_s=0.15)
        world = World([stream], {"a": [sound], "b": [sound]})
        for number in range(20):
            await world.send_request(number)
        world.endpoints.scripts["a"] = [Script(error="hang"), sound]
        sent_at = world.clock.now()
        world.placer.view(world.member("b")).others_load = 5.0
        caller = await world.send_request(100)
        self.assertEqual(200, caller.status)
        self.assertLessEqual(caller.parts[0][0] - sent_at, stream.objective_s)
