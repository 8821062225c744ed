"""Tests of a host's settings and their validation."""

from pathlib import Path
from typing import get_args

import msgspec

from radishshift.errors import SettingsError
from radishshift.settings import HostSettings, read_settings
from tests.cases import TestCase

OPERATORS_PAGE = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
VALID_SETTINGS = """{
  // an entry host
  name: "mbeya-entry-1", dataCentre: "mbeya", region: "tz-south",
  platform: {address: "http://127.0.0.1:7000"},
}"""


def _setting_paths(section, prefix=""):
    for field in msgspec.structs.fields(section):
        path = prefix + field.encode_name
        types = [field.type, *get_args(field.type)]
        sections = [candidate for candidate in types if _is_section(candidate)]
        if sections and section is HostSettings:
            yield from _setting_paths(sections[0], f"{path}.")
        else:
            yield path


def _is_section(candidate):
    return isinstance(candidate, type) and issubclass(candidate, msgspec.Struct)


class OperatorsPageTest(TestCase):
    def test_each_setting_is_documented(self):
        page = OPERATORS_PAGE.read_text(encoding="utf-8")
        missing = [
            path for path in _setting_paths(HostSettings) if f"`{path}`" not in page
        ]
        self.assertEqual([], missing)


class ReadSettingsTest(TestCase):
    def test_comments_are_allowed_and_defaults_apply(self):
        cfg = read_settings(VALID_SETTINGS)
        self.assertEqual("mbeya", cfg.data_centre)
        self.assertEqual(8080, cfg.address.caller_port)

    def test_all_problems_are_listed_with_their_setting_paths(self):
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

    def test_invalid_json_is_rejected(self):
        self.assertRaises(SettingsError, read_settings, "{name: ")
