"""Tests of the logs as a machine reads them."""

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
        self.out = io.StringIO()
        handler = JsonLinesHandler(self.out, level=logbook.DEBUG)
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _lines(self):
        return [json.loads(line) for line in self.out.getvalue().splitlines()]

    async def test_each_line_of_a_request_has_its_id(self):
        """Requests that run side by side must not take each other's id."""

        async def work(request_id):
            with log_request_id(request_id):
                await asyncio.sleep(0)
                await asyncio.create_task(deeper(request_id))

        async def deeper(request_id):
            logger.info("of {}", request_id)

        await asyncio.gather(work("a"), work("b"))
        logger.info("of nobody")
        found = {line["message"]: line.get("request_id") for line in self._lines()}
        self.assertEqual({"of a": "a", "of b": "b", "of nobody": None}, found)

    def test_an_exception_is_one_line(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logger.exception("failed")
        (line,) = self._lines()
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
        text = self.out.getvalue()
        self.assertIn(request_id, text)
        self.assertNotIn(KEY, text)
        self.assertNotIn(secret, text)
