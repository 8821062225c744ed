"""Tests of events that are cut at their borders."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from radishshift.errors import StreamBrokenError
from radishshift.gateway.event_buffer import MAX_EVENT_BYTES, EventBuffer
from tests.cases import TestCase

WHOLE = b"".join(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 9))


class EventBufferTest(TestCase):
    @given(st.lists(st.integers(0, len(WHOLE)), max_size=12))
    def test_however_it_is_cut_the_events_come_whole_and_in_order(self, cuts):
        buffer = EventBuffer()
        edges = [0, *sorted(cuts), len(WHOLE)]
        parts = [buffer.feed(WHOLE[start:end]) for start, end in pairwise(edges)]
        self.assertEqual(WHOLE, b"".join(parts))
        self.assertTrue(all(part == b"" or part.endswith(b"\n\n") for part in parts))
        self.assertEqual(
            ("8", 8, True),
            (buffer.last_event_id, buffer.events, buffer.at_event_boundary),
        )

    def test_a_part_of_an_event_is_held_and_can_be_dropped(self):
        buffer = EventBuffer()
        self.assertEqual(b"id: 1\n\n", buffer.feed(b"id: 1\n\nid: 2"))
        self.assertFalse(buffer.at_event_boundary)
        buffer.discard_partial_event()
        self.assertEqual("1", buffer.last_event_id)
        self.assertEqual(b"id: 2\n\n", buffer.feed(b"id: 2\n\n"))

    def test_an_event_without_end_is_an_error(self):
        buffer = EventBuffer()
        self.assertRaises(StreamBrokenError, buffer.feed, b"x" * (MAX_EVENT_BYTES + 1))
