"""Tests of splitting a stream at event boundaries."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from radishshift.errors import StreamBrokenError
from radishshift.gateway.event_buffer import MAX_EVENT_BYTES, EventBuffer
from tests.cases import TestCase

COMPLETE_STREAM = b"".join(
    f"id: {number}\ndata: x\n\n".encode() for number in range(1, 9)
)


class EventBufferTest(TestCase):
    @given(st.lists(st.integers(0, len(COMPLETE_STREAM)), max_size=12))
    def test_events_are_complete_and_in_order_for_any_chunking(self, cuts):
        buffer = EventBuffer()
        edges = [0, *sorted(cuts), len(COMPLETE_STREAM)]
        parts = [
            buffer.feed(COMPLETE_STREAM[start:end]) for start, end in pairwise(edges)
        ]
        self.assertEqual(COMPLETE_STREAM, b"".join(parts))
        self.assertTrue(all(part == b"" or part.endswith(b"\n\n") for part in parts))
        self.assertEqual(
            ("8", 8, True),
            (buffer.last_event_id, buffer.events, buffer.at_event_boundary),
        )

    def test_a_partial_event_is_buffered_and_can_be_discarded(self):
        buffer = EventBuffer()
        self.assertEqual(b"id: 1\n\n", buffer.feed(b"id: 1\n\nid: 2"))
        self.assertFalse(buffer.at_event_boundary)
        buffer.discard_partial_event()
        self.assertEqual("1", buffer.last_event_id)
        self.assertEqual(b"id: 2\n\n", buffer.feed(b"id: 2\n\n"))

    def test_an_event_over_the_size_limit_is_an_error(self):
        buffer = EventBuffer()
        self.assertRaises(StreamBrokenError, buffer.feed, b"x" * (MAX_EVENT_BYTES + 1))
