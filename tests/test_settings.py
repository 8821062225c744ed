"""Tests of settings and of their validation."""

from pathlib import Path
from typing import get_args

import msgspec

from radishshift.errors import SettingsError
from radishshift.settings import HostSettings, read_settings
from tests.cases import TestCase

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
GOOD = """{
  // an entry host
  name: "mbeya-entry-1", dataCentre: "mbeya", region: "tz-south",
  platform: {address: "http://127.0.0.1:7000"},
}"""


def _paths(section, prefix=""):
    for field in msgspec.structs.fields(section):
        path = prefix + field.encode_name
        kinds = [field.type, *get_args(field.type)]
        inner = [kind for kind in kinds if _is_section(kind)]
        if inner and section is HostSettings:
            yield from _paths(inner[0], f"{path}.")
        else:
            yield path


def _is_section(kind):
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


class PageTest(TestCase):
    def test_each_setting_is_on_the_operators_page(self):
        page = PAGE.read_text(encoding="utf-8")
        missing = [path for path in _paths(HostSettings) if f"`{path}`" not in page]
        self.assertEqual([], missing)


class ReadSettingsTest(TestCase):
    def test_comments_and_defaults(self):
        cfg = read_settings(GOOD)
        self.assertEqual("mbeya", cfg.data_centre)
        self.assertEqual(8080, cfg.address.caller_port)

    def test_all_problems_are_listed_with_their_paths(self):
        text = """{name: 3, region: "r", platform: {adress: "x"},
                   times: {stopMs: 3}, bounds: {requests: 0}}"""
        exc = self.assertRaises(SettingsError, read_settings, text, "host.jsonc")
        paths = sorted(problem.partition(": ")[0] for problem in exc.problems)
        self.assertEqual(
            [
                "host.jsonc.bounds.requests",
                "host.jsonc.dataCentre",
                "host.jsonc.name",
                "host.jsonc.platform.address",
                "host.jsonc.platform.adress",
                "host.jsonc.times.stopMs",
            ],
            paths,
        )

    def test_text_that_is_no_json_is_refused(self):
        self.assertRaises(SettingsError, read_settings, "{name: ")
