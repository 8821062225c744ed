"""Tests of the log stream that never blocks."""

import os

from radishshift.gateway.log_output import BUFFERED_BYTES_MAX, LineOutput
from tests.cases import TestCase


class LineOutputTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def _read_available(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while chunk := os.read(self.reader, 1 << 20):
                data += chunk
        except BlockingIOError:
            return data
        return data

    def test_lines_are_written_in_order(self):
        output = LineOutput(self.writer)
        output.write("one\n")
        output.write("two\n")
        self.assertEqual(b"one\ntwo\n", self._read_available())

    def test_lines_are_dropped_once_a_stalled_reader_fills_the_buffer(self):
        output = LineOutput(self.writer)
        line = "x" * 1000 + "\n"
        for _ in range(10 * BUFFERED_BYTES_MAX // len(line)):
            output.write(line)
        self.assertLessEqual(output._buffered_bytes, BUFFERED_BYTES_MAX)

    def test_the_number_of_dropped_lines_is_written(self):
        output = LineOutput(self.writer)
        line = "x" * 1000 + "\n"
        for _ in range(2 * BUFFERED_BYTES_MAX // len(line)):
            output.write(line)
        while output._lines:
            self._read_available()
            output.flush()
        self._read_available()
        output.write("after\n")
        text = self._read_available().decode()
        self.assertIn("lines dropped", text)
        self.assertTrue(text.endswith("after\n"))
