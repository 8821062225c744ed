"""Tests of log lines that never block."""

import os

from radishshift.gateway.log_output import BUFFERED_BYTES_MAX, LineOutput
from tests.cases import TestCase


class LineOutputTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def _drain(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
        except BlockingIOError:
            return data
        return data

    def test_lines_come_in_order(self):
        output = LineOutput(self.writer)
        output.write("one\n")
        output.write("two\n")
        self.assertEqual(b"one\ntwo\n", self._drain())

    def test_a_reader_that_stalls_costs_lines_and_no_time(self):
        output = LineOutput(self.writer)
        line = "x" * 1000 + "\n"
        for _ in range(10 * BUFFERED_BYTES_MAX // len(line)):
            output.write(line)
        self.assertLessEqual(output._bytes, BUFFERED_BYTES_MAX)

    def test_how_many_lines_were_dropped_is_told(self):
        output = LineOutput(self.writer)
        line = "x" * 1000 + "\n"
        for _ in range(2 * BUFFERED_BYTES_MAX // len(line)):
            output.write(line)
        while output._lines:
            self._drain()
            output.flush()
        self._drain()
        output.write("after\n")
        text = self._drain().decode()
        self.assertIn("lines dropped", text)
        self.assertTrue(text.endswith("after\n"))
