"""Tests of module dependencies: pure decisions, wire names only in the adapter."""

import ast
import graphlib
import re
from pathlib import Path

from tests.cases import TestCase

ROOT = Path(__file__).parent.parent.parent
FORBIDDEN = {"aiohttp", "asyncio", "socket", "selectors", "time", "logbook", "os"}
# Wire names of the adapter's protocol that are not terms of the product or of HTTP.
WIRE = re.compile(
    r"X-Attempt-Id|X-Replica|X-Tenant|X-Not-Executed|X-Confidence|X-Prefix-Hash"
    r"|\b(?:apiKeys|maxAttempts|coldLeftMs|gapTargetMs)\b|/-/"
)


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def _module(path):
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def _imports_within(path, modules):
    """Yield the modules that a file imports, including imports for types only."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom):
            names = [
                node.module,
                *(f"{node.module}.{item.name}" for item in node.names),
            ]
            yield from modules & set(names)


class LayeringTest(TestCase):
    def test_there_are_no_circular_imports(self):
        paths = {_module(path): path for path in (ROOT / "radishshift").rglob("*.py")}
        graph = {
            name: set(_imports_within(path, paths.keys()))
            for name, path in paths.items()
        }
        graphlib.TopologicalSorter(graph).prepare()

    def test_decisions_import_nothing_that_does_io_or_logs(self):
        for path in (ROOT / "radishshift" / "decisions").glob("*.py"):
            roots = {name.partition(".")[0] for name in _imports(path)}
            self.assertEqual(set(), roots & FORBIDDEN, path.name)

    def test_each_decision_module_states_its_load_pattern(self):
        for path in (ROOT / "radishshift" / "decisions").glob("*.py"):
            if path.name != "__init__.py":
                text = ast.get_docstring(ast.parse(path.read_text(encoding="utf-8")))
                self.assertIn("Load pattern:", text, path.name)

    def test_only_the_adapter_contains_wire_names(self):
        for path in (ROOT / "radishshift").rglob("*.py"):
            found = WIRE.search(path.read_text(encoding="utf-8"))
            self.assertIsNone(found, f"{path}: {found}")

    def test_the_gateway_does_not_import_the_adapter(self):
        for path in (ROOT / "radishshift").rglob("*.py"):
            self.assertNotIn("users_platform", set(_imports(path)), path)

    def test_the_adapter_is_under_a_twelfth_of_the_code(self):
        adapter = sum(map(_lines, (ROOT / "platform").rglob("*.py")))
        product = sum(map(_lines, (ROOT / "radishshift").rglob("*.py")))
        self.assertLess(adapter, (adapter + product) / 12)


def _lines(path):
    return len(path.read_text(encoding="utf-8").splitlines())
