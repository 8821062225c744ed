"""Tests of the HTTP API for callers."""

import asyncio
import hashlib
import json
import os

import hypothesis
import openai
from hypothesis import strategies as st

from radishshift.settings import BoundSettings, TimeSettings
from radishshift.standins.deployment import KEY, OTHER_KEY
from tests.cases import TestCase
from tests.served import VERSION, served
from tests.test_attempts import WORDS, words_of

MESSAGES = [{"role": "user", "content": "Hello"}]
FUZZ_RANDOMLY = os.environ.get("RADISHSHIFT_FUZZ") == "1"
FUZZ = hypothesis.settings(
    derandomize=not FUZZ_RANDOMLY,
    max_examples=300 if FUZZ_RANDOMLY else 25,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def openai_client(entry, key=KEY, **options):
    base_url = f"{entry.host.address}/v1"
    return openai.AsyncOpenAI(api_key=key, base_url=base_url, **options)


class OpenAiClientTest(TestCase):
    async def test_the_client_reads_streams_complete_answers_usage_and_models(self):
        async with served() as entry, openai_client(entry) as client:
            complete = await client.chat.completions.create(
                model=VERSION, messages=MESSAGES
            )
            self.assertEqual(WORDS, complete.choices[0].message.content)
            stream = await client.chat.completions.create(
                model=VERSION,
                messages=MESSAGES,
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = [chunk async for chunk in stream]
            self.assertEqual(6, chunks[-1].usage.completion_tokens)
            text = await client.completions.create(model=VERSION, prompt="Hello")
            self.assertEqual(WORDS, text.choices[0].text)
            stream = await client.completions.create(
                model=VERSION, prompt="Hello", stream=True
            )
            parts = [chunk.choices[0].text async for chunk in stream]
            self.assertEqual(WORDS, "".join(parts))
            models = await client.models.list()
            self.assertIn(VERSION, [model.id for model in models.data])

    async def test_the_client_raises_its_errors_and_retries_only_requests_not_run(
        self,
    ):
        """The OpenAI client retries 5xx responses unless X-Should-Retry forbids it."""
        async with served() as entry, openai_client(entry) as client:
            create = client.chat.completions.create
            for expected, body in (
                (openai.NotFoundError, {"model": "no-such"}),
                (openai.BadRequestError, {"max_tokens": -1}),
            ):
                params = {"model": VERSION, "messages": MESSAGES} | body
                await self.assert_raises_async(expected, create(**params))
            entry.set_faults(crash_on="Hello")
            exc = await self.assert_raises_async(
                openai.InternalServerError, create(model=VERSION, messages=MESSAGES)
            )
            self.assertEqual("may-have-run", exc.body["verdict"])
            run_count = entry.run_count()
            self.assertLessEqual(run_count, 2)

    async def test_the_client_raises_its_error_in_the_middle_of_a_stream(self):
        async with served() as entry, openai_client(entry) as client:
            entry.set_faults(crash_after=2)
            stream = await client.chat.completions.create(
                model=VERSION, messages=MESSAGES, stream=True
            )
            parts = []

            async def read():
                async for chunk in stream:
                    parts.append(chunk.choices[0].delta.content)

            exc = await self.assert_raises_async(openai.APIError, read())
            self.assertEqual("ran", exc.body["verdict"])
            self.assertEqual(["word0 ", "word1 "], parts)


class RetryTest(TestCase):
    async def test_a_retry_attaches_to_the_running_answer(self):
        async with served() as entry:
            texts = await asyncio.gather(
                *(entry.chat_text(Idempotency_Key="key-1") for _ in range(3))
            )
            self.assertEqual([WORDS] * 3, [words_of(text) for text in texts])
            self.assertEqual(1, entry.run_count())
            async with entry.chat("Other", Idempotency_Key="key-1") as resp:
                self.assertEqual(422, resp.status)

    async def test_a_retry_after_a_failure_runs_again(self):
        async with served() as entry:
            entry.set_faults(truncate_after=0, fail_resumed_streams=True)
            text = await entry.chat_text(X_Request_Id="id-1")
            self.assertIn('"verdict":"may-have-run"', text)
            entry.set_faults()
            text = await entry.chat_text(X_Request_Id="id-1")
            self.assertEqual(WORDS, words_of(text))

    async def test_a_retry_after_two_crashes_is_rejected_and_not_run(self):
        async with served() as entry:
            entry.set_faults(crash_after=0)
            await entry.chat_text(X_Request_Id="id-1")
            self.assertEqual(2, entry.run_count())
            entry.set_faults()
            text = await entry.chat_text(X_Request_Id="id-2")
            self.assertIn('"code":"poison"', text)
            self.assertEqual(2, entry.run_count())

    async def test_customers_do_not_see_each_others_answers(self):
        async with served() as entry:
            await entry.chat_text("Ours", X_Request_Id="id-1", Idempotency_Key="k")
            for path in ("answers/id-1", "answers/id-1/bill"):
                async with entry.get(path, key=OTHER_KEY) as resp:
                    self.assertEqual(404, resp.status)
                async with entry.get(path) as resp:
                    self.assertEqual(200, resp.status)
            await entry.chat_text(
                "Theirs", key=OTHER_KEY, X_Request_Id="id-1", Idempotency_Key="k"
            )
            self.assertEqual(2, entry.run_count())

    async def test_another_customers_session_is_rejected(self):
        async with served() as entry:
            async with entry.chat(X_New_Session="1") as resp:
                token = resp.headers["X-Session"]
            async with entry.chat(key=OTHER_KEY, X_Session=token) as resp:
                self.assertEqual(400, resp.status)


class LimitsTest(TestCase):
    async def check_rejected(self, entry, status, code, **request):
        body = request.pop("body", {"model": VERSION, "messages": MESSAGES})
        async with entry.post(body, **request) as resp:
            error = (await resp.json())["error"]
            self.assertEqual((status, code), (resp.status, error["code"]))
            self.assertEqual("not-run", error["verdict"])

    async def test_bodies_and_headers_over_the_size_limits_are_rejected(self):
        bounds = BoundSettings(body_bytes=1000, header_bytes=2000)
        async with served(bounds=bounds) as entry:
            await self.check_rejected(entry, 413, "too-large", body=b" " * 5000)
            code = "headers-too-large"
            await self.check_rejected(entry, 431, code, X_Flood="x" * 3000)
            flood = {f"X_{number}": "y" * 50 for number in range(50)}
            await self.check_rejected(entry, 431, code, **flood)
            flood = {f"X_{number}": "y" for number in range(200)}
            await self.check_rejected(entry, 400, "bad-request", **flood)
            self.assertEqual(WORDS, words_of(await entry.chat_text()))

    async def test_connections_over_the_limit_are_rejected(self):
        bounds = BoundSettings(connections=2)
        async with served(bounds=bounds) as entry:
            host, port = entry.host.address.removeprefix("http://").split(":")
            open_connections = [
                await asyncio.open_connection(host, port) for _ in range(2)
            ]
            reader, writer = await asyncio.open_connection(host, port)
            text = await reader.read()
            self.assertIn(b"503 Service Unavailable", text)
            self.assertIn(b'"verdict":"not-run"', text)
            for _, open_writer in [*open_connections, (reader, writer)]:
                open_writer.close()

    async def test_a_connection_without_a_complete_request_is_closed(self):
        times = TimeSettings(receive_s=0.2)
        async with served(times=times) as entry:
            host, port = entry.host.address.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n")
            self.assertEqual(b"", await reader.read())
            writer.close()

    async def test_a_body_that_does_not_arrive_times_out(self):
        times = TimeSettings(receive_s=0.2)
        async with served(times=times) as entry:
            host, port = entry.host.address.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"Host: a\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\n"
            )
            writer.write(f"POST /v1/completions HTTP/1.1\r\n{head}".encode())
            self.assertIn(b"504", await reader.readline())
            writer.close()

    async def test_an_answer_over_the_size_limit_is_an_error(self):
        bounds = BoundSettings(answer_bytes=1000)
        async with served(bounds=bounds, tokens=50, token_s=0.001) as entry:
            text = await entry.chat_text()
            self.assertIn('"answer-too-large"', text)
            async with entry.chat(stream=False) as resp:
                self.assertEqual(502, resp.status)

    async def test_a_caller_that_stops_reading_is_disconnected(self):
        times = TimeSettings(caller_stall_s=0.2)
        async with (
            served(times=times, tokens=30_000, token_s=0.0) as entry,
            entry.chat(X_Task_Class="quick-check") as resp,
        ):
            await resp.content.readany()
            for _ in range(400):
                if any(engine.cancelled for engine in entry.engines):
                    break
                await asyncio.sleep(0.05)
            self.assertTrue(any(engine.cancelled for engine in entry.engines))
            self.assertEqual(0, await entry.wait_until_idle())

    async def test_an_invalid_request_is_rejected(self):
        async with served() as entry:
            for headers in (
                {"X_Request_Id": "a b"},
                {"Idempotency_Key": "k" * 300},
                {"X_Deadline": "soon"},
                {"X_Deadline": "inf"},
                {"X_Task_Class": "no-such"},
            ):
                await self.check_rejected(entry, 400, "bad-request", **headers)
            await self.check_rejected(entry, 504, "deadline", X_Deadline="1")
            await self.check_rejected(
                entry, 401, "bad-key", Authorization="Bearer \xff"
            )
            for path in ("holders/%2e%2e/bookings", "holders/a%2F..%2Fbookings"):
                async with entry.get(f"services/booking-desk/{path}") as resp:
                    self.assertIn(resp.status, (400, 404))

    async def test_a_caller_without_a_key_is_no_customer(self):
        """The digest of an empty key in the catalogue let in callers without one."""
        async with served() as entry:
            by_key_digest = entry.host.router.catalogue.by_key_digest
            blank_digest = hashlib.sha256(b"").hexdigest()
            by_key_digest[blank_digest] = next(iter(by_key_digest.values()))
            for value in ("", "Bearer", "Bearer ", "Bearer \u00a0", "Bearer \u2003"):
                with self.subTest(value):
                    await self.check_rejected(
                        entry, 401, "bad-key", Authorization=value
                    )


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
BODIES = st.one_of(
    st.binary(),
    st.fixed_dictionaries(
        {},
        optional={
            "model": st.sampled_from(["auto", VERSION]) | JSON,
            "messages": st.just(MESSAGES) | JSON,
            "prompt": st.text() | JSON,
            "stream": st.booleans() | JSON,
            "stream_options": JSON,
            "max_tokens": st.integers(-2, 9) | JSON,
            "extra": JSON,
        },
    ),
)


class FuzzTest(TestCase):
    def serve(self):
        """Return an event loop and a host that serves on it until the test ends."""
        loop = asyncio.new_event_loop()
        context = served(tokens=1, token_s=0.0)
        entry = loop.run_until_complete(context.__aenter__())
        self.addCleanup(loop.close)
        closing = context.__aexit__
        self.addCleanup(lambda: loop.run_until_complete(closing(None, None, None)))
        return loop, entry

    async def check_body(self, entry, path, body):
        """Assert that a body gets an answer or a typed error below status 500."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode("utf-8", "surrogatepass")
        async with entry.post(body, path=path) as resp:
            data = await resp.read()
            if resp.status != 200:
                error = json.loads(data)["error"]
                self.assertLess(resp.status, 500, error)
                self.assertEqual("not-run", error["verdict"])

    def test_fuzz_bodies(self):
        loop, entry = self.serve()

        @FUZZ
        @hypothesis.given(
            path=st.sampled_from(["chat/completions", "completions"]), body=BODIES
        )
        def check(path, body):
            loop.run_until_complete(self.check_body(entry, path, body))

        check()

    def test_fuzz_raw_connections(self):
        """Garbage, truncated requests and half-closed connections are harmless."""
        loop, entry = self.serve()
        body = '{"model": "auto", "prompt": "Hello"}'
        head = f"Host: a\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {len(body)}"
        good = f"POST /v1/completions HTTP/1.1\r\n{head}\r\n\r\n{body}".encode()

        async def send(data, half_close):
            host, port = entry.host.address.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            if half_close:
                writer.write_eof()
            else:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.wait({asyncio.ensure_future(reader.read())}, timeout=0.5)
            async with entry.get("models") as resp:
                self.assertEqual(200, resp.status)

        @FUZZ
        @hypothesis.given(
            data=st.binary() | st.integers(0, len(good)).map(lambda cut: good[:cut]),
            half_close=st.booleans(),
        )
        def check(data, half_close):
            loop.run_until_complete(send(data, half_close))

        check()
        self.assertEqual(0, loop.run_until_complete(entry.wait_until_idle()))
