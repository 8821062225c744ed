"""Tests of attempts at engines with injected faults."""

import asyncio
import time

import msgspec
from msgspec.structs import replace

from radishshift.errors import (
    CallerDisconnectedError,
    EndpointError,
    RadishshiftError,
)
from radishshift.kv_moves import KvMover
from radishshift.requests import prefix_digest
from radishshift.sessions import Session, SessionKey
from tests.cases import TestCase, VirtualTestCase
from tests.served import FAST, served
from tests.test_answers import RecordingSink
from tests.virtual_entry import (
    CLOCK,
    LARGE,
    SMALL,
    ScriptedEndpoint,
    virtual_entry,
)

# For tests that a pause of the process must not end: silence counts only after long.
PATIENT = replace(FAST, stream_idle_s=30.0)
WORDS = "".join(f"word{number} " for number in range(6))


def words_of(text):
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    chunks = [msgspec.json.decode(event) for event in events if event != "[DONE]"]
    choices = [choice for chunk in chunks for choice in chunk.get("choices", ())]
    return "".join(choice["delta"]["content"] for choice in choices)


def error_of(text):
    last = [line for line in text.splitlines() if line.startswith("data: ")][-1]
    return msgspec.json.decode(last[6:])["error"]


class AttemptsTest(TestCase):
    async def check_complete(self, expected_resumes, expected_runs=1, **faults):
        """Assert that a stream is complete, and how often it ran and was resumed."""
        async with served() as entry:
            entry.set_faults(**faults)
            text = await entry.chat_text()
            self.assertEqual(WORDS, words_of(text))
            self.assertEqual(1, text.count("data: [DONE]"))
            self.assertEqual(expected_runs, entry.run_count())
            resumed = sum(len(engine.resumed) for engine in entry.engines)
            self.assertEqual(expected_resumes, resumed)

    async def check_cancelled(self, entry):
        """Assert that the only attempt is cancelled before its answer is complete."""
        for _ in range(500):
            cancelled = sum(len(engine.cancelled) for engine in entry.engines)
            if cancelled:
                break
            await asyncio.sleep(0.01)
        self.assertEqual(1, cancelled)

    async def test_a_silent_stream_is_resumed_and_not_run_again(self):
        await self.check_complete(1, stall_after=3)

    async def test_a_stream_that_is_silent_from_its_start_is_resumed(self):
        await self.check_complete(1, stall_after=0)

    async def test_a_connection_without_headers_is_resumed(self):
        await self.check_complete(1, header_delay_s=30)

    async def test_a_truncated_stream_is_resumed(self):
        await self.check_complete(1, truncate_after=2)

    async def test_duplicate_events_appear_once(self):
        await self.check_complete(0, duplicate=True)

    async def test_a_missing_event_is_fetched(self):
        await self.check_complete(1, skip_after=2)

    async def test_another_streams_event_does_not_reach_the_caller(self):
        await self.check_complete(1, foreign_event_after=3)

    async def test_garbage_does_not_reach_the_caller(self):
        await self.check_complete(1, garbage=True)

    async def test_a_complete_answer_survives_a_silent_connection(self):
        async with served() as entry:
            entry.set_faults(stall_after=3)
            async with entry.chat(stream=False) as resp:
                answer = await resp.json()
            self.assertEqual(WORDS, answer["choices"][0]["message"]["content"])
            self.assertEqual("chat.completion", answer["object"])
            self.assertEqual(6, answer["usage"]["completion_tokens"])
            self.assertEqual(1, entry.run_count())

    async def test_nothing_runs_again_once_a_token_has_reached_the_caller(self):
        async with served() as entry:
            entry.set_faults(crash_after=2)
            error = error_of(await entry.chat_text())
            self.assertEqual("ran", error["verdict"])
            self.assertEqual(1, entry.run_count())

    async def test_a_refused_resume_before_the_first_token_runs_elsewhere(self):
        async with served() as entry:
            entry.set_faults(stall_after=0, refuse_resume=True)
            healthy, silent = entry.engines[0], entry.engines[2]
            healthy.faults = type(healthy.faults)()
            for _ in range(3):
                self.assertEqual(WORDS, words_of(await entry.chat_text()))
            self.assertEqual(len(silent.ran), len(silent.cancelled))

    async def test_a_verdict_covers_earlier_attempts(self):
        """Guards against a refusal that hides an earlier attempt that crashed.

        The error then said not-run although the request may have run.
        """
        async with served(PATIENT) as entry:
            entry.set_faults(refuse=True)
            entry.engines[0].faults = type(entry.engines[0].faults)(crash_on="Hello")
            ran = entry.engines[0].ran
            crashed = 0
            for number in range(12):
                before = len(ran)
                async with entry.chat(f"Hello {number}", stream=False) as resp:
                    verdict = (await resp.json())["error"]["verdict"]
                was_crashed = len(ran) > before
                crashed += was_crashed
                expected = "may-have-run" if was_crashed else "not-run"
                self.assertEqual(expected, verdict)
            self.assertGreater(crashed, 0)

    async def test_the_deadline_ends_a_request_and_its_attempt(self):
        async with served(token_s=5.0) as entry:
            entry.set_faults(fail_resumed_streams=True)
            deadline = time.time() + 0.3
            async with entry.chat(stream=False, X_Deadline=str(deadline)) as resp:
                error = (await resp.json())["error"]
            self.assertEqual((504, "deadline"), (resp.status, error["code"]))
            self.assertEqual("may-have-run", error["verdict"])
            await self.check_cancelled(entry)

    async def test_a_quick_check_is_cancelled_when_its_caller_disconnects(self):
        async with served(tokens=200, token_s=0.01) as entry:
            async with entry.chat(X_Task_Class="quick-check") as resp:
                await resp.content.readany()
                resp.close()
            await self.check_cancelled(entry)
            self.assertEqual(0, await entry.wait_until_idle())

    async def test_long_work_continues_after_the_caller_disconnects(self):
        async with served(tokens=20) as entry:
            async with entry.chat(X_Request_Id="plan-1") as resp:
                await resp.content.readany()
                resp.close()
            async with entry.get("answers/plan-1") as resp:
                text = (await resp.read()).decode()
            self.assertEqual(20, len(words_of(text).split()))
            async with entry.get("answers/plan-1", Last_Event_ID="15") as resp:
                text = (await resp.read()).decode()
            self.assertEqual("word16 word17 word18 word19 ", words_of(text))


class SlowMover(KvMover):
    """Moves caches in 0.1 s."""

    requested = 0

    async def _request_import(self, *_):
        self.requested += 1
        await CLOCK.sleep_until(CLOCK.now() + 0.1)
        return True


def session_token(entry):
    """Return a token of a session that is pinned to the small version."""
    keys = entry.router.session_keys
    keys.keys["key-1"] = SessionKey(b"secret", 0.0)
    session = Session("session-1", "uyole-ring", SMALL, CLOCK.now() + 60.0)
    return keys.issue(session, CLOCK.now())


class RetriesTest(VirtualTestCase):
    async def test_no_retry_is_spent_where_no_endpoint_is_left(self):
        """A version with one endpoint used up the retries of all others."""
        broken = EndpointError("the endpoint answered with status 500")
        entry = await virtual_entry(
            {
                "engine-1": ScriptedEndpoint(error=broken),
                "engine-2": ScriptedEndpoint(error=broken, serves=(LARGE,)),
                "engine-3": ScriptedEndpoint(serves=(LARGE,)),
            }
        )
        for number in range(6):
            answer = entry.answer(f"small {number}")
            await self.assert_raises_async(RadishshiftError, answer)
        for number in range(6):
            text = (await entry.answer(f"large {number}", LARGE)).decode()
            self.assertEqual("word0 word1 word2 ", words_of(text))
        self.assertGreater(len(entry.endpoints["engine-2"].started), 0)


class CacheMovesTest(VirtualTestCase):
    async def test_an_endpoint_under_probe_gets_one_attempt_while_caches_move(self):
        """All requests that waited for a move were sent to it as its one probe."""
        mover = SlowMover(None, CLOCK)
        broken = EndpointError("the endpoint answered with status 500")
        endpoints = {
            "engine-1": ScriptedEndpoint(),
            "engine-2": ScriptedEndpoint(error=broken),
            "leaving": ScriptedEndpoint(state="leaving"),
        }
        entry = await virtual_entry(endpoints, kv_mover=mover)
        texts = [f"{number}{'x' * 4000}" for number in range(12)]
        token = session_token(entry)
        for text in texts:
            digest = prefix_digest(entry.request(text).body_bytes)
            entry.router.chooser.prefix_caches.record_sent(digest, "leaving")
        target = entry.router.catalogue.endpoints["engine-2"]
        for _ in range(3):
            entry.router.loads.record_start(target, CLOCK.now())
            entry.router.loads.record_end(target, CLOCK.now(), ok=False)
        await CLOCK.sleep_until(CLOCK.now() + 1.5)
        answers = (entry.answer(text, session_token=token) for text in texts)
        await asyncio.gather(*answers)
        self.assertEqual(12 + 1, mover.requested)
        self.assertEqual(1, len(endpoints["engine-2"].started))


class DisconnectTest(VirtualTestCase):
    async def follow(self, entry, gone, **kwargs):
        """Have a caller leave, and another come, while a quick check is answered."""
        request = {"task_class": "quick-check"}
        first = asyncio.create_task(entry.answer(sink=gone, **request))
        await CLOCK.sleep_until(CLOCK.now() + 0.5)
        following = asyncio.create_task(entry.answer(**request | kwargs))
        await CLOCK.sleep_until(CLOCK.now() + 0.1)
        gone.caller_disconnected = True
        return await asyncio.gather(first, following, return_exceptions=True)

    async def test_an_answer_is_not_cancelled_under_the_caller_that_resumes_it(self):
        """A caller that reconnected was told that the caller had disconnected."""
        entry = await virtual_entry({"engine-1": ScriptedEndpoint((0.4,) * 3)})
        _, data = await self.follow(entry, RecordingSink())
        self.assertEqual("word0 word1 word2 ", words_of(data.decode()))

    async def test_an_answer_is_cancelled_when_all_its_callers_have_left(self):
        endpoint = ScriptedEndpoint((0.4,) * 3)
        entry = await virtual_entry({"engine-1": endpoint})
        gone = RecordingSink()
        errors = await self.follow(entry, gone, sink=gone)
        self.assertIsInstance(errors[0], CallerDisconnectedError)
        self.assertEqual(1, len(endpoint.cancelled))


class SilenceTest(VirtualTestCase):
    async def test_a_begun_stream_that_cannot_be_resumed_goes_on(self):
        """Its connection was closed for a resume that the endpoint then refused."""
        endpoint = ScriptedEndpoint(pauses=(0.1, 6.0, 0.1), resumes=False)
        entry = await virtual_entry({"engine-1": endpoint})
        text = (await entry.answer()).decode()
        self.assertEqual("word0 word1 word2 ", words_of(text))
        self.assertEqual([], endpoint.cancelled)

    async def test_only_attempts_that_hold_a_retry_leave_a_silent_endpoint(self):
        """Of many that stood still at once, all but three failed."""
        late = (6.0, 0.1, 0.1)
        entry = await virtual_entry(
            {
                name: ScriptedEndpoint(pauses=late, resumes=False)
                for name in ("engine-1", "engine-2")
            }
        )
        answers = (entry.answer(f"request {number}") for number in range(12))
        for data in await asyncio.gather(*answers):
            self.assertEqual("word0 word1 word2 ", words_of(data.decode()))
        started = sum(len(each.started) for each in entry.endpoints.values())
        self.assertEqual(12 + 3, started)

    async def test_a_silent_stream_whose_endpoint_takes_no_new_connection_goes_on(self):
        """A host at its limit of connections ended streams that it still served."""
        endpoint = ScriptedEndpoint(pauses=(0.1, 12.0, 0.1), accepts_resumes=False)
        entry = await virtual_entry({"engine-1": endpoint})
        text = (await entry.answer()).decode()
        self.assertEqual("word0 word1 word2 ", words_of(text))

    async def test_an_attempt_leaves_a_dead_machine_before_its_fourth_silence(self):
        """Its open connection kept it there for as long as a begun stream."""
        dead = ScriptedEndpoint(pauses=(500.0,), accepts_resumes=False)
        entry = await virtual_entry({"engine-1": dead, "engine-2": ScriptedEndpoint()})
        for number in range(6):
            deadline = CLOCK.now() + 8.0
            text = (await entry.answer(f"{number}", deadline=deadline)).decode()
            self.assertEqual("word0 word1 word2 ", words_of(text))
        self.assertGreater(len(dead.started), 0)

    async def test_a_silent_stream_that_can_be_resumed_is_resumed(self):
        endpoint = ScriptedEndpoint(pauses=(0.1, 6.0, 0.1))
        entry = await virtual_entry({"engine-1": endpoint})
        text = (await entry.answer()).decode()
        self.assertEqual("word0 word1 word2 ", words_of(text))
        self.assertEqual([1], endpoint.resumed)

    async def test_a_stream_that_stays_silent_ends_before_its_deadline(self):
        endpoint = ScriptedEndpoint(pauses=(0.1, 500.0), resumes=False)
        entry = await virtual_entry({"engine-1": endpoint})
        await self.assert_raises_async(EndpointError, entry.answer())
        self.assertEqual(1, len(endpoint.cancelled))
