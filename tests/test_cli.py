"""Tests of the operators' command-line client: reports, exit codes and output."""

import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

import json5
from absl import flags

from radishshift import cli
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.deployment import small_catalogue
from radishshift.standins.platform import make_platform_app
from tests.cases import TestCase
from tests.gateway.test_gossip_messages import UNREADABLE

VERSION = "farm-advice-large.v2"


class CliTest(TestCase):
    def setUp(self):
        super().setUp()
        if "token_file" not in flags.FLAGS:
            cli.define_flags()

    async def _run(self, *args):
        flags.FLAGS.unparse_flags()
        rest = flags.FLAGS(["radishshift", *args])
        return await cli.main(rest[1:])

    async def test_a_version_is_added_promoted_and_withdrawn(self):
        app = make_platform_app(MemoryPlatform())
        path = self._write_file({**small_catalogue()[VERSION], "state": "proposed"})
        async with listening(app) as url:
            to = f"--platform={url}"
            report = await self._run("add", VERSION, path, to)
            self.assertEqual(cli.ExitCode.DONE, report.code)
            report = await self._run("promote", VERSION, "--to=serving", to)
            self.assertEqual(cli.ExitCode.INVALID, report.code)
            report = await self._run("promote", VERSION, "--to=canary", to)
            self.assertEqual("canary", report.value[0]["spec"]["state"])
            report = await self._run("withdraw", VERSION, to)
            self.assertEqual(cli.ExitCode.DONE, report.code)
            report = await self._run("show", VERSION, to)
            self.assertIn("withdrawn", report.text)
            report = await self._run("show", "no-such-entry", to)
            self.assertEqual(cli.ExitCode.NOT_FOUND, report.code)

    async def test_diff_has_an_exit_code_of_its_own(self):
        app = make_platform_app(MemoryPlatform())
        path = self._write_file({"entries": small_catalogue()})
        async with listening(app) as url:
            to = f"--platform={url}"
            report = await self._run("diff", path, to)
            self.assertEqual(cli.ExitCode.DIFFERENCES, report.code)
            await self._run("apply", path, to)
            report = await self._run("diff", path, to)
            self.assertEqual(cli.ExitCode.DONE, report.code)

    async def test_wait_reports_the_hosts_that_have_not_confirmed(self):
        """A wait that times out on an unconfirmed host has an exit code of its own."""
        platform = MemoryPlatform()
        await platform.create(StoredObject(Kind.ENTRY, VERSION))
        for name in ("mbeya-1", "mbeya-2"):
            await platform.create(StoredObject(Kind.HOST, name))
        status = {"hosts": {"mbeya-1": 1, "mbeya-2": 0}}
        item = StoredObject(Kind.CONFIRMATION, "mbeya", {}, status)
        confirmation = await platform.create(item)
        async with listening(make_platform_app(platform)) as url:
            to = f"--platform={url}"
            report = await self._run("wait", "--wait_s=0", to)
            self.assertEqual(cli.ExitCode.NOT_IN_FORCE, report.code)
            self.assertEqual(["mbeya-2"], report.value["behind"])
            report = await self._run("status", to)
            self.assertIn("behind", report.text)
            confirmation.status["hosts"]["mbeya-2"] = 1
            await platform.update(confirmation)
            report = await self._run("wait", "1", "--wait_s=0", to)
            self.assertEqual(cli.ExitCode.DONE, report.code)

    async def test_an_unreachable_platform_has_an_exit_code_of_its_own(self):
        report = await self._run("show", "--platform=http://127.0.0.1:9")
        self.assertEqual(cli.ExitCode.UNAVAILABLE, report.code)

    async def test_check_reports_all_problems(self):
        specs = small_catalogue()
        specs["uyole-ring"]["weight"] = -1
        specs["booking"]["deadlineMs"] = 3
        report = await self._run("check", self._write_file({"entries": specs}))
        self.assertEqual(cli.ExitCode.INVALID, report.code)
        self.assertEqual(2, len(report.value["problems"]))

    async def test_files_that_cannot_be_read_are_reported_as_invalid(self):
        """Guards the formats of files: an odd value must end in no traceback."""
        for odd in UNREADABLE:
            texts = [odd, b'{"entries": %s}' % odd, b'{"entries": {"a": %s}}' % odd]
            for name, spec in small_catalogue().items():
                for field in spec:
                    members = b",".join(
                        b'"%s":%s'
                        % (key.encode(), odd if key == field else _json(value))
                        for key, value in spec.items()
                    )
                    texts.append(
                        b'{"entries": {"%s": {%s}}}' % (name.encode(), members)
                    )
            for text in texts:
                report = await self._run("check", self._write_bytes(text))
                sound = (cli.ExitCode.DONE,) if b"entries" in text else ()
                self.assertIn(report.code, (cli.ExitCode.INVALID, *sound), text[:200])

    def test_the_script_exits_with_the_code_and_prints_json(self):
        out, err = io.StringIO(), io.StringIO()
        flags.FLAGS(["radishshift", "--output=json"])
        with redirect_stdout(out), redirect_stderr(err):
            exc = self.assertRaises(SystemExit, cli._main, ["", "check", "none.json"])
        self.assertEqual(cli.ExitCode.INVALID, exc.code)
        self.assertEqual("bad-settings", json.loads(out.getvalue())["error"])

    def _write_file(self, values):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "file.jsonc"
        path.write_text(json5.dumps(values), encoding="utf-8")
        return str(path)

    def _write_bytes(self, data):
        path = Path(self._write_file({}))
        path.write_bytes(data)
        return str(path)


def _json(value):
    return json.dumps(value).encode()
