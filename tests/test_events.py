"""Tests of the scanner of engine streams."""

import itertools
import os

import hypothesis
import msgspec
from hypothesis import strategies as st

from radishshift.errors import EndpointError, StreamBrokenError
from radishshift.events import DONE_EVENT, EventScanner, Usage, skip_events
from tests.cases import TestCase

FREE = os.environ.get("RADISHSHIFT_FUZZ") == "1"
FUZZ = hypothesis.settings(
    derandomize=not FREE, max_examples=2000 if FREE else 100, database=None
)


def event(number, text, stream="s-1", numbered=True, **more):
    choice = {"index": 0, "delta": {"content": text}}
    body = msgspec.json.encode({"id": stream, "choices": [choice], **more})
    head = b"id: %d\n" % number if numbered else b""
    return head + b"data: " + body + b"\n\n"


def usage_event(number, numbered=True):
    usage = {"prompt_tokens": 3, "completion_tokens": 2}
    body = msgspec.json.encode({"id": "s-1", "choices": [], "usage": usage})
    head = b"id: %d\n" % number if numbered else b""
    return head + b"data: " + body + b"\n\n"


def scan(scanner, data, cuts=()):
    """Feed `data` cut at positions; return all that passed."""
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return b"".join(
        scanner.feed(data[start:end])
        for start, end in itertools.pairwise(edges)
        if end > start
    )


class EventScannerTest(TestCase):
    def test_usage_is_taken_and_kept_back(self):
        for keep in (False, True):
            scanner = EventScanner(keep, "s-1")
            passed = scan(scanner, event(0, "a") + usage_event(1) + DONE_EVENT)
            self.assertEqual(Usage(3, 2), scanner.usage)
            self.assertTrue(scanner.done)
            self.assertEqual(keep, b'"usage"' in passed)
            self.assertNotIn(b"[DONE]", passed)

    def test_text_that_looks_like_the_protocol_passes(self):
        text = '\n\ndata: [DONE]\n\n"usage":{"id":"s-2"'
        scanner = EventScanner(False, "s-1")
        data = event(0, "a") + event(1, text) + event(2, "b")
        self.assertEqual(data, scan(scanner, data))
        self.assertEqual(3, scanner.events)

    def test_what_is_not_the_streams_own_is_refused(self):
        for wrong in (
            event(1, "b", stream="s-2"),
            event(1, "b", stream="s-11"),
            event(2, "c"),
            event(1, "b", numbered=False),
            b"\xff\xfe\n\n",
            b"data: {\n\n",
            b"id: x\ndata: {}\n\n",
            b'id: 1\ndata: {"id":"s-1"\xff}\n\n',
        ):
            scanner = EventScanner(False, "s-1")
            scan(scanner, event(0, "a"))
            self.assertRaises(StreamBrokenError, scanner.feed, wrong)
            self.assertEqual(1, scanner.events)

    def test_events_before_a_wrong_one_are_not_lost(self):
        """They were counted and not passed on, so a resume left them out."""
        scanner = EventScanner(False, "s-1")
        good = event(0, "a") + event(1, "b")
        self.assertEqual(good, scanner.feed(good + event(2, "c", stream="s-2")))
        self.assertEqual(2, scanner.events)
        self.assertRaises(StreamBrokenError, scanner.feed, event(2, "c"))
        scanner.discard_partial_event()
        self.assertEqual(event(2, "c"), scanner.feed(event(2, "c")))

    def test_an_engines_error_ends_the_stream(self):
        scanner = EventScanner(False, "s-1")
        self.assertRaises(EndpointError, scanner.feed, b'data: {"error":{}}\n\n')

    def test_an_event_without_an_end_is_bounded(self):
        scanner = EventScanner(False, "s-1")
        part = b"data: " + b"x" * (1 << 19)
        scanner.feed(part)
        self.assertRaises(StreamBrokenError, scanner.feed, part * 3)

    def test_events_are_skipped_for_a_resume(self):
        data = event(0, "a") + event(1, "b")
        self.assertEqual(event(1, "b"), data[skip_events(data, 1) :])
        self.assertEqual(b"", data[skip_events(data, 9) :])

    @FUZZ
    @hypothesis.given(
        texts=st.lists(st.text(), max_size=5),
        cuts=st.lists(st.integers(0, 2000), max_size=8),
        repeats=st.lists(st.integers(0, 4), max_size=3),
        numbered=st.booleans(),
    )
    def test_fuzz_cuts_and_duplicates(self, texts, cuts, repeats, numbered):
        """However a stream is cut, and whatever comes twice, it passes once."""
        events = [event(n, text, numbered=numbered) for n, text in enumerate(texts)]
        sent = list(events)
        for repeat in repeats if numbered else ():
            if repeat < len(events):
                sent.insert(len(events), events[repeat])
        scanner = EventScanner(False, "s-1")
        data = b"".join(sent) + usage_event(len(events), numbered) + DONE_EVENT
        self.assertEqual(b"".join(events), scan(scanner, data, cuts))
        self.assertTrue(scanner.done)

    @FUZZ
    @hypothesis.given(data=st.lists(st.binary() | st.just(event(0, "a")), max_size=5))
    def test_fuzz_garbage(self, data):
        """Whatever an engine sends, what passes is events of the stream."""
        scanner = EventScanner(False, "s-1")
        passed = b""
        try:
            for part in data:
                passed += scanner.feed(part)
        except EndpointError:
            pass
        self.assertIn(passed, (b"", event(0, "a")))
