"""Tests that operators find every error on their page."""

import importlib
import pkgutil
import re
from pathlib import Path

import radishshift
from radishshift.errors import RadishshiftError
from tests.cases import TestCase

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "errors.md"
ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \|", re.MULTILINE)


def _all_errors(base):
    for found in base.__subclasses__():
        yield found
        yield from _all_errors(found)


class ErrorsTest(TestCase):
    def test_each_code_is_on_the_operators_page_with_its_status(self):
        for module in pkgutil.iter_modules(radishshift.__path__, "radishshift."):
            importlib.import_module(module.name)
        page = dict(ROW.findall(PAGE.read_text(encoding="utf-8")))
        for error in _all_errors(RadishshiftError):
            if error.__module__.startswith("radishshift."):
                self.assertEqual(str(error.status), page.get(error.code), error.code)
