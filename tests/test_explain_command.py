"""Tests of the verb `explain` against a host over loopback."""

import json
import tempfile
from pathlib import Path

from absl import flags

from radishshift import cli
from tests.cases import TestCase
from tests.users_platform.test_host import BASE_HEADERS, _running_demo


class ExplainCommandTest(TestCase):
    def setUp(self):
        super().setUp()
        if "token_file" not in flags.FLAGS:
            cli.define_flags()

    async def _run(self, question, *addresses):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
            file.write("// A request to explain.\n" + json.dumps(question))
            file.flush()
            flags.FLAGS.unparse_flags()
            rest = flags.FLAGS(["radishshift", "explain", file.name, *addresses])
            return await cli.main(rest[1:])

    async def test_a_host_explains_and_a_silent_one_is_told(self):
        async with _running_demo() as demo:
            address = demo.gateway_host.settings.metrics_address
            question = {
                "host": BASE_HEADERS["Host"],
                "path": "/check/x",
                "key": BASE_HEADERS["X-Key"],
            }
            report = await self._run(question, address)
            self.assertEqual(cli.ExitCode.DONE, report.code)
            self.assertIn(f"goes to {report.value[0]['endpoint']}", report.text)
            report = await self._run(question | {"path": "/nowhere/"}, address)
            self.assertEqual(cli.ExitCode.REJECTED, report.code)
            report = await self._run(question, address, "127.0.0.1:1")
            self.assertEqual(cli.ExitCode.UNAVAILABLE, report.code)
            self.assertIn("127.0.0.1:1 does not answer", report.text)
            executed = [run for each in demo.endpoints.values() for run in each.ran]
        self.assertEqual([], executed)

    async def test_a_bad_question_is_refused_before_any_host_is_asked(self):
        for question in ({"host": "x"}, {"host": "x", "path": "/", "unknown": 1}):
            report = await self._run(question, "127.0.0.1:1")
            self.assertEqual(cli.ExitCode.INVALID, report.code)

    def test_the_question_of_the_documentation_is_valid(self):
        from radishshift.explain_command import read_question

        page = Path("docs/operators/explain.md").read_text(encoding="utf-8")
        text = page.split("```jsonc\n")[1].split("```")[0]
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
            file.write(text)
            file.flush()
            self.assertEqual("/plan/x", read_question(file.name).path)
