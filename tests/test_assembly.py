"""Tests of answers assembled from the events of a stream."""

import msgspec

from radishshift.assembly import assemble_answer
from tests.cases import TestCase


def _event(content):
    choice = {"index": 0, "delta": {"content": content}}
    return b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n"


class AssemblyTest(TestCase):
    def test_text_that_looks_like_a_field_is_kept(self):
        """An event whose text held "data: " was cut there and did not decode."""
        events = _event("see ") + _event("data: 7") + b"id: 3\n" + _event(" kg")
        answer = msgspec.json.decode(assemble_answer(events, "chat/completions"))
        content = answer["choices"][0]["message"]["content"]
        self.assertEqual("see data: 7 kg", content)
