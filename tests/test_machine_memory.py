"""Tests of the memory of the machine."""

import tempfile
from pathlib import Path

from radishshift.machine_memory import machine_memory_mb
from tests.cases import TestCase


class MachineMemoryTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "memory.max"

    def test_the_limit_of_the_control_group_counts(self):
        self.file.write_text("50000000\n", encoding="ascii")
        self.assertEqual(50.0, machine_memory_mb(self.file))

    def test_without_a_limit_the_memory_of_the_machine_counts(self):
        machine = machine_memory_mb(self.file)
        self.assertGreater(machine, 100.0)
        self.file.write_text("max\n", encoding="ascii")
        self.assertEqual(machine, machine_memory_mb(self.file))
