"""Tests of the validation of engine streams."""

import itertools
import os

import hypothesis
import msgspec
from hypothesis import strategies as st

from radishshift.errors import EndpointError, StreamBrokenError
from radishshift.events import DONE_EVENT, EventScanner, Usage, skip_events
from tests.cases import TestCase

FUZZ_RANDOMLY = os.environ.get("RADISHSHIFT_FUZZ") == "1"
FUZZ = hypothesis.settings(
    derandomize=not FUZZ_RANDOMLY,
    max_examples=2000 if FUZZ_RANDOMLY else 100,
    database=None,
)


def make_event(number, text, stream="s-1", numbered=True, **more):
    choice = {"index": 0, "delta": {"content": text}}
    body = msgspec.json.encode({"id": stream, "choices": [choice], **more})
    id_line = b"id: %d\n" % number if numbered else b""
    return id_line + b"data: " + body + b"\n\n"


def make_usage_event(number, numbered=True):
    usage = {"prompt_tokens": 3, "completion_tokens": 2}
    body = msgspec.json.encode({"id": "s-1", "choices": [], "usage": usage})
    id_line = b"id: %d\n" % number if numbered else b""
    return id_line + b"data: " + body + b"\n\n"


def feed_in_parts(scanner, data, cuts=()):
    """Feed `data` in parts cut at given offsets; return the accepted bytes."""
    offsets = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return b"".join(
        scanner.feed(data[start:end])
        for start, end in itertools.pairwise(offsets)
        if end > start
    )


class EventScannerTest(TestCase):
    def test_usage_is_read_and_sent_only_on_request(self):
        for keep in (False, True):
            scanner = EventScanner(keep, "s-1")
            accepted = feed_in_parts(
                scanner, make_event(0, "a") + make_usage_event(1) + DONE_EVENT
            )
            self.assertEqual(Usage(3, 2), scanner.usage)
            self.assertTrue(scanner.done)
            self.assertEqual(keep, b'"usage"' in accepted)
            self.assertNotIn(b"[DONE]", accepted)

    def test_text_that_looks_like_the_protocol_is_accepted(self):
        text = '\n\ndata: [DONE]\n\n"usage":{"id":"s-2"'
        scanner = EventScanner(False, "s-1")
        data = make_event(0, "a") + make_event(1, text) + make_event(2, "b")
        self.assertEqual(data, feed_in_parts(scanner, data))
        self.assertEqual(3, scanner.events)

    def test_foreign_missing_and_malformed_events_are_rejected(self):
        for wrong in (
            make_event(1, "b", stream="s-2"),
            make_event(1, "b", stream="s-11"),
            make_event(2, "c"),
            make_event(1, "b", numbered=False),
            b"\xff\xfe\n\n",
            b"data: {\n\n",
            b"id: x\ndata: {}\n\n",
            b'id: 1\ndata: {"id":"s-1"\xff}\n\n',
        ):
            scanner = EventScanner(False, "s-1")
            feed_in_parts(scanner, make_event(0, "a"))
            self.assertRaises(StreamBrokenError, scanner.feed, wrong)
            self.assertEqual(1, scanner.events)

    def test_events_before_an_invalid_one_are_not_lost(self):
        """Guards against counting such events without relaying them.

        The resume offset then skipped them.
        """
        scanner = EventScanner(False, "s-1")
        good = make_event(0, "a") + make_event(1, "b")
        self.assertEqual(good, scanner.feed(good + make_event(2, "c", stream="s-2")))
        self.assertEqual(2, scanner.events)
        self.assertRaises(StreamBrokenError, scanner.feed, make_event(2, "c"))
        scanner.discard_partial_event()
        self.assertEqual(make_event(2, "c"), scanner.feed(make_event(2, "c")))

    def test_an_end_marker_alone_ends_no_stream(self):
        """It bears no id, so that the copy of an empty stream ended the next one."""
        for keep_usage in (False, True):
            scanner = EventScanner(keep_usage, "s-1")
            self.assertRaises(StreamBrokenError, scanner.feed, DONE_EVENT)
            self.assertFalse(scanner.done)

    def test_an_error_event_ends_the_stream(self):
        scanner = EventScanner(False, "s-1")
        self.assertRaises(EndpointError, scanner.feed, b'data: {"error":{}}\n\n')

    def test_the_size_of_an_unterminated_event_is_limited(self):
        scanner = EventScanner(False, "s-1")
        part = b"data: " + b"x" * (1 << 19)
        scanner.feed(part)
        self.assertRaises(StreamBrokenError, scanner.feed, part * 3)

    def test_events_before_the_resume_offset_are_skipped(self):
        data = make_event(0, "a") + make_event(1, "b")
        self.assertEqual(make_event(1, "b"), data[skip_events(data, 1) :])
        self.assertEqual(b"", data[skip_events(data, 9) :])

    @FUZZ
    @hypothesis.given(
        texts=st.lists(st.text(), max_size=5),
        cuts=st.lists(st.integers(0, 2000), max_size=8),
        repeats=st.lists(st.integers(0, 4), max_size=3),
        numbered=st.booleans(),
    )
    def test_fuzz_cuts_and_duplicates(self, texts, cuts, repeats, numbered):
        """Each event is accepted once, however the stream is split or repeated."""
        events = [
            make_event(n, text, numbered=numbered) for n, text in enumerate(texts)
        ]
        sent = list(events)
        for repeat in repeats if numbered else ():
            if repeat < len(events):
                sent.insert(len(events), events[repeat])
        scanner = EventScanner(False, "s-1")
        data = b"".join(sent) + make_usage_event(len(events), numbered) + DONE_EVENT
        self.assertEqual(b"".join(events), feed_in_parts(scanner, data, cuts))
        self.assertTrue(scanner.done)

    @FUZZ
    @hypothesis.given(
        data=st.lists(st.binary() | st.just(make_event(0, "a")), max_size=5)
    )
    def test_fuzz_garbage(self, data):
        """Only events of the stream are accepted, whatever the engine sends."""
        scanner = EventScanner(False, "s-1")
        accepted = b""
        try:
            for part in data:
                accepted += scanner.feed(part)
        except EndpointError:
            pass
        self.assertIn(accepted, (b"", make_event(0, "a")))
