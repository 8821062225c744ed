"""Tests of the tables of docs/CAPACITY.md."""

from pathlib import Path

from radishshift.capacity import FleetSize, read_bench_results, render, tables
from tests.cases import TestCase

DOCS = Path(__file__).parent.parent / "docs"


class CapacityTest(TestCase):
    def test_the_page_has_the_tables_computed_from_the_bench_results(self):
        page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        markdown_by_name = tables(read_bench_results(DOCS / "capacity"), FleetSize())
        self.assertEqual(render(page, markdown_by_name), page)
        for name in markdown_by_name:
            self.assertIn(f"<!-- table: {name} -->", page)
