"""Tests of requests that run through a cascade of versions, over loopback."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import msgspec

from radishshift.errors import EndpointError
from radishshift.evidence import RATINGS, SCORES, Cell
from radishshift.objects import Kind
from radishshift.ratings import Ratings
from radishshift.standins.engine import EngineFaults
from tests.cases import TestCase, VirtualTestCase
from tests.served import served
from tests.test_answers import RecordingSink
from tests.virtual_entry import ScriptedEndpoint, virtual_entry

SMALL = "farm-advice-small.v1"
LARGE = "farm-advice-large.v1"
POLL_S = 0.01
HANG_S = 120.0  # a score or rating that is lost is not asked for again


@asynccontextmanager
async def cascading(**parameters):
    """Serve requests with the planner `cheap-first`."""
    async with served() as case:
        platform = case.deployment.platform
        item = await platform.get(Kind.ENTRY, "policies")
        spec = item.spec | {"planner": "cheap-first", "parameters": parameters}
        stored = await platform.update(replace(item, spec=spec))
        while case.host.router.catalogue.revision < stored.revision:
            await asyncio.sleep(POLL_S)
        yield case


async def _send(case, stream=True, task_class="season-plan"):
    headers = {"X_Task_Class": task_class}
    async with case.chat(stream=stream, body={"model": "auto"}, **headers) as resp:
        body = await resp.read()
        assert resp.status == 200, body
        request_id = resp.headers["X-Request-Id"]
        version = resp.headers["X-Radishshift-Version"]
    async with case.get(f"answers/{request_id}/bill") as resp:
        bill = msgspec.json.decode(await resp.read())
    return version, body, [item["served_by"] for item in bill["items"]]


class PlanRunTest(TestCase):
    async def test_a_rejected_answer_is_withheld_and_billed_with_the_next(self):
        async with cascading() as case:
            case.deployment.ratings.scores = {SMALL: 0.2}
            for stream in (True, False):
                version, body, items = await _send(case, stream)
                self.assertEqual(LARGE, version)
                self.assertEqual([SMALL, LARGE], items)
                self.assertNotIn(SMALL.encode(), body)

    async def test_an_accepted_answer_is_complete_and_the_only_one(self):
        async with cascading() as case:
            case.deployment.ratings.scores = {SMALL: 0.8}
            for stream in (True, False):
                version, body, items = await _send(case, stream)
                self.assertEqual(SMALL, version)
                self.assertEqual([SMALL], items)
                self.assertEqual(stream, body.endswith(b"data: [DONE]\n\n"))

    async def test_without_the_rating_service_requests_are_answered(self):
        """The first call of the unavailable service fails; later requests skip it."""
        async with cascading() as case:
            case.deployment.ratings.unavailable = True
            version, _, items = await _send(case)
            self.assertEqual((LARGE, [SMALL, LARGE]), (version, items))
            version, _, items = await _send(case)
            self.assertEqual((LARGE, [LARGE]), (version, items))

    async def test_a_failing_cheap_version_falls_back_to_the_expensive_one(self):
        async with cascading() as case:
            for engine in case.engines:
                if SMALL in engine.versions:
                    engine.faults = EngineFaults(truncate_after=2, refuse=True)
            case.deployment.engines["engine-3"].faults = EngineFaults()
            case.deployment.engines["engine-3"].versions -= {SMALL}
            version, _, items = await _send(case)
            self.assertEqual(LARGE, version)
            self.assertEqual([LARGE], items)

    async def test_a_quick_check_does_not_cascade(self):
        async with cascading() as case:
            case.deployment.ratings.scores = {SMALL: 0.2}
            _, _, items = await _send(case, task_class="quick-check")
            self.assertEqual([LARGE], items)

    async def test_late_ratings_are_recorded_when_they_arrive(self):
        """The service delays ratings while requests continue."""
        async with (
            asyncio.timeout(HANG_S),
            cascading(**{"target-mix.rated-share": 1.0}) as case,
        ):
            platform = case.deployment.platform
            item = await platform.get(Kind.ENTRY, "policies")
            spec = item.spec | {"planner": "target-mix"}
            stored = await platform.update(replace(item, spec=spec))
            router = case.host.router
            while router.catalogue.revision < stored.revision:
                await asyncio.sleep(POLL_S)
            case.deployment.ratings.withhold_ratings = True
            version, _, _ = await _send(case)
            cell = Cell(version, "season-plan")
            while not router.evidence.recent_counts(cell).counts[SCORES]:
                await asyncio.sleep(POLL_S)
            self.assertEqual(0, router.evidence.recent_counts(cell).counts[RATINGS])
            case.deployment.ratings.withhold_ratings = False
            while not router.evidence.recent_counts(cell).counts[RATINGS]:
                await asyncio.sleep(POLL_S)

    async def test_a_version_withdrawn_during_the_previous_step_gets_no_work(self):
        """Guards the check of a version's state at the start of each step.

        The next version is withdrawn while the first answer is being scored.
        """
        async with cascading() as case:
            router = case.host.router
            platform = case.deployment.platform

            async def withdraw_and_reject(answer, deadline):
                item = await platform.get(Kind.ENTRY, LARGE)
                spec = item.spec | {"state": "withdrawn"}
                stored = await platform.update(replace(item, spec=spec))
                while router.catalogue.revision < stored.revision:
                    await asyncio.sleep(POLL_S)
                return 0.2

            router.ratings.score = withdraw_and_reject
            ran = [list(engine.ran) for engine in case.engines]
            headers = {"X_Task_Class": "season-plan"}
            async with case.chat(body={"model": "auto"}, **headers) as resp:
                error = msgspec.json.decode(await resp.read())["error"]
            self.assertEqual("withdrawn", error["code"])
            after = sum(len(engine.ran) for engine in case.engines)
            self.assertEqual(sum(map(len, ran)) + 1, after)


class LowRatings(Ratings):
    """A judge that finds every answer bad."""

    def is_available(self, now):
        return True

    async def score(self, answer, deadline):
        return 0.2


class RejectedAnswerTest(VirtualTestCase):
    async def entry(self, **endpoints):
        policies = {"planner": "cheap-first"}
        endpoints = {"engine-1": ScriptedEndpoint()} | endpoints
        return await virtual_entry(endpoints, policies, ratings=LowRatings())

    async def test_a_complete_answer_is_sent_if_the_next_step_fails(self):
        """The caller got an error and a bill for the answer that was withheld."""
        broken = EndpointError("the endpoint answered with status 500")
        large = ScriptedEndpoint(error=broken, serves=(LARGE,))
        entry = await self.entry(large=large)
        for stream in (True, False):
            data = await entry.answer(f"stream {stream}", "auto", stream=stream)
            self.assertIn(b"word2", data)
            bill = entry.router.biller.find(f"stream {stream}", "uyole-ring")
            paid = [item.served_by for item in bill.items if item.cost]
            self.assertEqual([SMALL], paid)
        self.assertGreater(len(large.started), 0)

    async def test_a_rejected_answer_never_follows_a_begun_one(self):
        broken = ScriptedEndpoint((0.1, 500.0), resumes=False, serves=(LARGE,))
        entry = await self.entry(large=broken)
        sink = RecordingSink()
        answer = entry.answer("Hello", "auto", sink=sink)
        await self.assert_raises_async(EndpointError, answer)
        self.assertEqual(1, sink.data.count(b"word"))
