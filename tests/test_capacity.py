"""Tests of the tables of docs/CAPACITY.md."""

from pathlib import Path

from radishshift.capacity import FleetSize, read_bench_results, render, tables
from tests.cases import TestCase

DOCS = Path(__file__).parent.parent / "docs"


class CapacityTest(TestCase):
    def test_the_pages_tables_are_those_of_the_recorded_bench(self):
        page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        made = tables(read_bench_results(DOCS / "capacity"), FleetSize())
        self.assertEqual(render(page, made), page)
        for name in made:
            self.assertIn(f"<!-- table: {name} -->", page)
