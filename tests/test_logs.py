"""Tests of the JSON log lines."""

import asyncio
import io
import json

import aiohttp
import logbook

from radishshift.demo import run_demo_host
from radishshift.logs import JsonLinesHandler, log_request_id
from radishshift.standins.deployment import KEY, deployed
from tests.cases import TestCase

logger = logbook.Logger("test")


class LogsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.output = io.StringIO()
        handler = JsonLinesHandler(self.output, level=logbook.DEBUG)
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _records(self):
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    async def test_each_record_of_a_request_has_its_id(self):
        """Concurrent requests must not log each other's id."""

        async def work(request_id):
            with log_request_id(request_id):
                await asyncio.sleep(0)
                await asyncio.create_task(log_in_subtask(request_id))

        async def log_in_subtask(request_id):
            logger.info("of {}", request_id)

        await asyncio.gather(work("a"), work("b"))
        logger.info("of nobody")
        id_by_message = {
            line["message"]: line.get("request_id") for line in self._records()
        }
        self.assertEqual({"of a": "a", "of b": "b", "of nobody": None}, id_by_message)

    def test_an_exception_is_logged_on_one_line(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logger.exception("failed")
        (line,) = self._records()
        self.assertIn("ValueError", line["exception"])

    async def test_neither_keys_nor_prompts_are_logged(self):
        secret = "words of the prompt"
        headers = {"Authorization": f"Bearer {KEY}"}
        body = {"model": "no-such", "messages": [{"role": "user", "content": secret}]}
        async with (
            deployed() as deployment,
            run_demo_host(deployment) as host,
            aiohttp.ClientSession(headers=headers) as session,
        ):
            url = f"{host.address}/v1/chat/completions"
            for engine in deployment.engines.values():
                engine.faults.refuse = True
            for model in ("no-such", "auto"):
                async with session.post(url, json={**body, "model": model}) as resp:
                    self.assertGreaterEqual(resp.status, 400)
                    request_id = resp.headers["X-Request-Id"]
        text = self.output.getvalue()
        self.assertIn(request_id, text)
        self.assertNotIn(KEY, text)
        self.assertNotIn(secret, text)
