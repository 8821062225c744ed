"""Tests of attempts that receive nothing for a while."""

import asyncio

import logbook

from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.host_settings import Bounds
from radishshift.gateway.job_retries import RetryRefusal
from radishshift.gateway.placement import MAX_PERMIT_QUESTIONS
from radishshift.gateway.replacements import SEEK_INTERVAL_S
from tests.cases import VirtualTestCase
from tests.gateway.worlds import Script, World, route

STREAM = route(RouteKind.STREAM, timeout_s=60.0)
EVENTS = tuple(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 21))
COMPLETE_STREAM = b"".join(EVENTS)
# One event that arrives in 12 pieces.
SLOW_BYTES = [b"id: 1\n", b"data: ", *[b"x"] * 9, b"\n\n"]
NO_RETRIES = Bounds(retry_ratio=0.0, retry_slack=0.0)
ONE_RETRY = Bounds(retry_ratio=0.0, retry_slack=14.0)
MANY_RETRIES = Bounds(retry_ratio=10.0, retry_slack=10_000.0)
PAUSE_S = 6.0
STREAMS = 24
AT_ONCE = 4
STANDSTILL_AT_S = 5.0


class _NoPermits:
    """Endpoints need permits for further attempts, which their keeper denies."""

    def __init__(self):
        self.asked = []

    def required(self, member):
        return True

    def retry_at(self, member):
        return 0.0

    async def acquire(self, member, job):
        self.asked.append(member.name)
        return job.attempts == 0

    def attempt_ended(self, member, attempt, refused):
        pass


class StandstillTest(VirtualTestCase):
    """Streams at sound endpoints that all send nothing for a second or so."""

    def _world(self, bounds, standstill_s, names="ab"):
        """Return a world in which the first endpoints stand still for a time."""
        scripts = {name: [Script(events=EVENTS, gap_s=0.7)] for name in names}
        world = World([STREAM], scripts, bounds)
        at = world.clock.now() + STANDSTILL_AT_S
        for name in "ab":
            world.endpoints.standstills[name] = [(at, at + standstill_s)]
        return world

    async def _send_streams(self, world):
        """Send streams, a few at each of some instants; return their callers."""
        callers = []

        async def send(number):
            await asyncio.sleep(number // AT_ONCE * 0.11)
            callers.append(await world.send_request(number, deadline_s=60.0))

        await asyncio.gather(*map(send, range(STREAMS)))
        return callers

    async def test_streams_that_see_the_same_retry_are_not_given_up_together(self):
        """Guards rule LOST: one got the retry that all had seen, the others ended."""
        for standstill_s in (1.2, 2.6):
            world = self._world(ONE_RETRY, standstill_s)
            callers = await self._send_streams(world)
            self.assertEqual(STREAMS, sum(caller.finished for caller in callers))
            self.assertEqual({COMPLETE_STREAM}, {caller.body for caller in callers})

    async def test_streams_stay_at_an_endpoint_that_goes_on(self):
        """Guards rule LOST: the first that went on made all others overdue."""
        for standstill_s in (1.0, 1.2, 1.35, 1.9):
            world = self._world(MANY_RETRIES, standstill_s)
            callers = await self._send_streams(world)
            self.assertEqual(STREAMS, len(world.attempted_endpoints()))
            self.assertEqual({COMPLETE_STREAM}, {caller.body for caller in callers})

    async def test_a_stream_that_stays_silent_after_its_endpoint_went_on_is_moved(self):
        scripts = {
            "a": [Script(events=EVENTS, hangs_after=4), Script(events=EVENTS * 9)],
            "b": [Script(events=EVENTS)],
        }
        world = World([STREAM], scripts, MANY_RETRIES)
        world.placer.view(world.member("b")).in_flight = 50
        at = world.clock.now() + 0.2
        world.endpoints.standstills["a"] = [(at, at + 1.2)]
        sending = asyncio.create_task(world.send_request(deadline_s=60.0))
        await asyncio.sleep(0.01)
        other = asyncio.create_task(world.send_request(2, deadline_s=60.0))
        caller = await sending
        other.cancel()
        self.assertEqual(COMPLETE_STREAM, caller.body)
        self.assertEqual(["a", "a", "b"], world.attempted_endpoints())
        pauses = zip(caller.parts, caller.parts[1:], strict=False)
        self.assertLess(max(after[0] - before[0] for before, after in pauses), 2.6)

    async def test_a_silent_stream_is_kept_where_no_endpoint_permits_another(self):
        """Guards rule LOST: an endpoint was asked only after the stream had ended."""
        silent = [Script(events=EVENTS, pauses_after=4, pause_s=PAUSE_S)]
        world = World([STREAM], {"a": silent, "b": silent}, MANY_RETRIES)
        world.dispatcher.placement.permits = permits = _NoPermits()
        caller = await world.send_request(deadline_s=60.0)
        self.assertEqual((COMPLETE_STREAM, True), (caller.body, caller.finished))
        self.assertIn("b", permits.asked)
        questions = MAX_PERMIT_QUESTIONS * PAUSE_S / SEEK_INTERVAL_S
        self.assertLessEqual(len(permits.asked), questions)

    async def test_a_silent_stream_of_a_blocked_request_is_kept(self):
        silent = [Script(events=EVENTS, pauses_after=4, pause_s=6.0)]
        world = World([STREAM], {"a": silent, "b": silent}, MANY_RETRIES)
        sending = asyncio.create_task(world.send_request(deadline_s=60.0))
        await asyncio.sleep(0.2)
        self.patch(world.suspects, "blocking", lambda traits, now: "trait")
        caller = await sending
        self.assertEqual((COMPLETE_STREAM, True), (caller.body, caller.finished))

    async def test_a_stream_of_partial_events_is_kept_if_no_retry_is_left(self):
        slow = Script(events=tuple(SLOW_BYTES), gap_s=0.5)
        world = World([STREAM], {"a": [slow], "b": [Script(events=EVENTS)]}, NO_RETRIES)
        world.placer.view(world.member("b")).in_flight = 5
        caller = await world.send_request(deadline_s=60.0)
        self.assertEqual((b"".join(SLOW_BYTES), True), (caller.body, caller.finished))

    async def test_a_refused_retry_names_its_reason(self):
        scripts = {"a": [Script(events=EVENTS, breaks_after=4)]}
        world = World([STREAM], scripts, Bounds(retry_ratio=0.0, retry_slack=0.0))
        with logbook.TestHandler() as handler:
            await world.send_request()
        (record,) = [
            record for record in handler.records if record.message == "retry refused"
        ]
        self.assertEqual("retry budget spent", record.extra["why"])
        self.assertEqual("request-1", record.extra["request_id"])
        refused = world.dispatcher.refused_retries
        self.assertEqual(1, refused[RetryRefusal.BUDGET_SPENT])
