"""Tests of requests with complete (non-streamed) answers."""

import asyncio
from dataclasses import replace

import logbook

from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.messages import PromptPart
from tests.cases import VirtualTestCase
from tests.gateway.worlds import Script, World, route

AT_MOST_ONCE = route(RouteKind.AT_MOST_ONCE, endpoints_max=1, timeout_s=1.0)
IDEMPOTENT = route(endpoints_max=2, timeout_s=1.0)
SUCCEEDS = Script()


class AtMostOnceTest(VirtualTestCase):
    async def _attempted_after(self, script):
        world = World([AT_MOST_ONCE], {"a": [script], "b": [SUCCEEDS]})
        world.placer.view(world.member("b")).in_flight = 5
        caller = await world.send_request(deadline_s=1.0)
        return caller, world.attempted_endpoints()

    async def test_a_refused_attempt_is_retried_elsewhere(self):
        for error in ("refused", "replaced", "unreachable"):
            caller, attempted = await self._attempted_after(Script(error=error))
            self.assertEqual((200, ["a", "b"]), (caller.status, attempted), error)

    async def test_an_attempt_that_may_have_run_is_not_retried(self):
        for script in (
            Script(error="crash"),
            Script(breaks_after=0),
            Script(signed=False),
            Script(error="hang"),
        ):
            caller, attempted = await self._attempted_after(script)
            self.assertEqual(["a"], attempted, script)
            self.assertIn(caller.status, (502, 504), script)

    async def test_an_error_answer_of_the_endpoint_is_forwarded_unchanged(self):
        caller, attempted = await self._attempted_after(Script(status=500, body=b"no"))
        self.assertEqual((500, b"no", ["a"]), (caller.status, caller.body, attempted))

    async def test_a_not_run_error_has_a_retry_after(self):
        world = World([AT_MOST_ONCE], {"a": [Script(error="refused")]})
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(503, caller.status)
        pause_s = float(dict(caller.headers)["Retry-After"])
        self.assertLess(pause_s, 1.0 / 3)

    async def test_an_endpoint_never_heard_from_is_logged_as_such(self):
        """It was logged as quiet for the seconds since 1970."""
        world = World([AT_MOST_ONCE], {"a": [Script(error="unreachable")]})
        with logbook.TestHandler() as handler:
            await world.send_request(deadline_s=1.0)
        fields = [
            record.extra
            for record in handler.records
            if record.message == "attempt failed"
        ]
        self.assertIsNone(fields[0]["endpoint_quiet_s"])

    async def test_the_answer_is_sent_at_the_timeout_of_the_route(self):
        world = World(
            [replace(AT_MOST_ONCE, timeout_s=0.4)], {"a": [Script(error="hang")]}
        )
        began_at = world.clock.now()
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(504, caller.status)
        self.assertAlmostEqual(0.4, caller.ended_at - began_at, places=2)


class IdempotentTest(VirtualTestCase):
    async def test_a_failed_attempt_is_retried_elsewhere(self):
        world = World([IDEMPOTENT], {"a": [Script(status=500)], "b": [SUCCEEDS]})
        world.placer.view(world.member("b")).in_flight = 5
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(
            (200, ["a", "b"]), (caller.status, world.attempted_endpoints())
        )

    async def test_the_error_answer_of_the_last_endpoint_is_forwarded(self):
        bad = Script(status=500, body=b"no")
        world = World([IDEMPOTENT], {"a": [bad], "b": [bad], "c": [SUCCEEDS]})
        world.placer.view(world.member("c")).in_flight = 9
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual((500, b"no"), (caller.status, caller.body))
        self.assertEqual(2, len(world.attempted_endpoints()))

    async def test_a_hanging_endpoint_is_given_up_in_time_for_a_retry(self):
        world = World([IDEMPOTENT], {"a": [Script(error="hang")], "b": [SUCCEEDS]})
        world.placer.view(world.member("b")).in_flight = 5
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(200, caller.status)

    async def test_retries_stay_within_the_budget_of_all_hosts(self):
        world = World([IDEMPOTENT], {name: [Script(status=500)] for name in "abc"})
        for number in range(60):
            await world.send_request(number, deadline_s=1.0)
        retries = len(world.attempted_endpoints()) - 60
        bounds = world.dispatcher.bounds
        allowed = bounds.retry_ratio * 60 + bounds.retry_slack / 6
        self.assertLessEqual(retries, allowed)
        self.assertGreater(retries, 10)

    async def test_if_no_endpoint_is_reachable_the_error_says_not_run(self):
        world = World(
            [IDEMPOTENT], {name: [Script(error="unreachable")] for name in "abc"}
        )
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(503, caller.status)
        self.assertIn("Retry-After", dict(caller.headers))
        self.assertIn(b'"not-run"', caller.body)

    async def test_a_part_that_crashes_endpoints_within_a_whole_answer_is_blocked(self):
        """Answers that broke off after their headers were not suspected."""
        breaks = [Script(breaks_after=0)]
        world = World([IDEMPOTENT], dict.fromkeys("abcdef", breaks))
        for number in range(10):
            parts = (PromptPart("bad", 300), PromptPart(f"own-{number}", 50))
            await world.send_request(number, body=b"%d" % number, parts=parts)
        before = len(world.attempted_endpoints())
        parts = (PromptPart("bad", 300), PromptPart("own", 50))
        await world.send_request(99, body=b"99", parts=parts)
        self.assertEqual(before, len(world.attempted_endpoints()))


class LostAnswersTest(VirtualTestCase):
    async def _status_after_lost_answers(self, lost):
        world = World([IDEMPOTENT], {name: [lost, SUCCEEDS] for name in "abcd"})
        for _ in range(2):
            await world.send_request()
            await asyncio.sleep(1.0)
        return (await world.send_request()).status, world

    async def test_a_lookup_that_lost_two_answers_is_served(self):
        """It was refused for ten minutes, to all callers of the customer."""
        for lost in (
            Script(error="crash", lives=True),
            Script(breaks_after=0, lives=True),
        ):
            status, world = await self._status_after_lost_answers(lost)
            self.assertEqual(200, status)
            self.assertEqual({}, world.suspects.blocked(world.clock.now()))

    async def test_a_lookup_that_crashed_two_endpoints_is_refused(self):
        status, _ = await self._status_after_lost_answers(Script(error="crash"))
        self.assertEqual(503, status)

    async def test_lives_are_looked_for_once_for_each_lost_answer(self):
        lost = Script(error="crash", lives=True)
        _, world = await self._status_after_lost_answers(lost)
        self.assertLessEqual(world.endpoints.probes, len(world.attempted_endpoints()))


class RetryTest(VirtualTestCase):
    async def test_an_endpoint_that_refuses_a_retry_still_counts_as_used(self):
        """A request ran at three endpoints instead of two (seed 35 of the soak).

        The refusal removed the endpoint from those that the request had used.
        """
        broken = Script(breaks_after=0)
        scripts = {
            "a": [broken, broken],
            "b": [broken, Script(error="refused")],
            "c": [Script()],
        }
        twice = route(endpoints_max=2)
        world = World([twice], scripts)
        world.placer.view(world.member("b")).in_flight = 1
        world.placer.view(world.member("c")).in_flight = 9
        await world.send_request()
        self.assertNotIn("c", world.attempted_endpoints())


class PartitionedDataCentreTest(VirtualTestCase):
    """A partitioned data centre with one endpoint (simulated day trouble-2)."""

    def _world(self, home):
        away = [Script(error="unreachable", first_s=0.35)]
        world = World([IDEMPOTENT], {"home": home, "away-1": away, "away-2": away})
        for name in ("away-1", "away-2"):
            world.host_view.members[name] = replace(
                world.host_view.members[name], data_centre="iringa"
            )
        return world

    async def test_the_local_endpoint_is_retried_before_unreachable_ones(self):
        world = self._world([Script(error="unreachable"), Script()])
        for name in ("away-1", "away-2"):
            view = world.placer.view(world.host_view.members[name])
            view.record_unreachable(world.clock.now())
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(200, caller.status)
        self.assertEqual(
            ["home", "home"], [n for n in world.attempted_endpoints() if n == "home"]
        )

    async def test_a_slow_endpoint_is_waited_for_if_no_other_is_reachable(self):
        world = self._world([Script(first_s=0.6)])
        for name in ("away-1", "away-2"):
            view = world.placer.view(world.host_view.members[name])
            view.record_unreachable(world.clock.now())
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual((200, ["home"]), (caller.status, world.attempted_endpoints()))

    async def test_requests_do_not_wait_for_unreachable_endpoints(self):
        """Guards against a cut-off host that tries remote endpoints every second."""
        world = self._world([Script()])
        world.endpoints.cut_off.update(("away-1", "away-2"))
        world.placer.view(world.member("home")).in_flight = 40
        for number in range(60):
            await world.send_request(number, deadline_s=5.0)
            await asyncio.sleep(0.1)
        self.assertLessEqual(
            len([n for n in world.attempted_endpoints() if n != "home"]), 2
        )

    async def test_endpoints_are_used_again_once_they_are_reachable(self):
        world = self._world([Script()])
        world.endpoints.cut_off.update(("away-1", "away-2"))
        world.placer.view(world.member("home")).in_flight = 40
        await world.send_request(1, deadline_s=5.0)
        await asyncio.sleep(3.0)
        world.endpoints.cut_off.clear()
        world.endpoints.scripts["away-1"] = [Script()]
        world.endpoints.scripts["away-2"] = [Script()]
        await world.send_request(2, deadline_s=5.0)
        await asyncio.sleep(1.0)
        before = len(world.attempted_endpoints())
        await world.send_request(3, deadline_s=5.0)
        self.assertNotIn("home", world.attempted_endpoints()[before:])

    async def test_an_attempt_that_reached_no_endpoint_spends_no_retry_budget(self):
        """Guards against giving up a request 23 s before its deadline.

        A cut-off host whose retry budget was spent gave up after one attempt.
        """
        away = [Script(error="unreachable", first_s=0.05)]
        world = World([IDEMPOTENT], {"a": away, "b": away, "c": [Script()]})
        world.placer.view(world.member("c")).in_flight = 200
        budget = world.dispatcher.budget("advice")
        while budget.try_acquire(world.clock.now()):
            pass
        caller = await world.send_request(deadline_s=1.0)
        self.assertEqual(200, caller.status)
