"""Test that the operators' page lists every error code."""

import importlib
import pkgutil
import re
from pathlib import Path

import radishshift
from radishshift.errors import RadishshiftError
from tests.cases import TestCase

ERRORS_PAGE = Path(__file__).parent.parent / "docs" / "operators" / "errors.md"
TABLE_ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \|", re.MULTILINE)


def _all_errors(base):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _all_errors(subclass)


class ErrorsTest(TestCase):
    def test_the_operators_page_lists_each_code_with_its_status(self):
        for module in pkgutil.iter_modules(radishshift.__path__, "radishshift."):
            importlib.import_module(module.name)
        page = dict(TABLE_ROW.findall(ERRORS_PAGE.read_text(encoding="utf-8")))
        for error in _all_errors(RadishshiftError):
            if error.__module__.startswith("radishshift."):
                self.assertEqual(str(error.status), page.get(error.code), error.code)
