"""Tests that each promise of the soak is seen to break."""

from dataclasses import replace

from tests.cases import TestCase
from tests.soak.callers import EVENTS, Ask
from tests.soak.promises import Record, Run, broken_promises

CUSTOMER = "ring"
SIGNED = {"X-Replica-Signature": "signed-desk-1", "X-Attempt-Id": "a1"}


def _ask(kind="book", **changes):
    ask = Ask("a1", kind, "edge-1", "POST", f"/{kind}/a1?x=1", b"sent", 200, SIGNED)
    ask.body, ask.whole, ask.starts = b"whole a1", True, (1, 1)
    return replace(ask, **changes)


def _run(ask, **changes):
    headers = {"X-Attempt-Id": ask.number, "X-Tenant": CUSTOMER}
    return replace(Run("desk-1", ask.path, headers, ask.sent), **changes)


def _stream(numbers, text="a1"):
    parts = (f"id: {number}\ndata: {text}\n\n" for number in numbers)
    return "".join(parts).encode()


def _broken(asks, runs):
    record = Record(asks, runs, {"book": 1, "check": 2, "plan": 3}, CUSTOMER)
    return {line.partition(":")[0] for line in broken_promises(record)}


class PromisesTest(TestCase):
    def test_a_sound_record_breaks_none(self):
        ask = _ask()
        self.assertEqual(set(), _broken([ask], [_run(ask)]))

    def test_two_runs_of_a_booking(self):
        ask = _ask()
        twice = [_run(ask), _run(ask)]
        self.assertEqual({"at-most-once"}, _broken([ask], twice))

    def test_a_refusal_of_what_has_run(self):
        ask = _ask(status=503)
        self.assertEqual({"refusals-are-true"}, _broken([ask], [_run(ask)]))

    def test_an_answer_of_another_request(self):
        ask = _ask(body=b"whole a2")
        self.assertEqual({"answers-are-whole"}, _broken([ask], [_run(ask)]))

    def test_an_answer_under_the_id_of_another_request(self):
        ask = _ask(headers=SIGNED | {"X-Attempt-Id": "a2"})
        self.assertEqual({"answers-are-whole"}, _broken([ask], [_run(ask)]))

    def test_an_answer_that_nobody_gave(self):
        self.assertEqual({"answers-are-whole"}, _broken([_ask()], []))

    def test_streams_with_a_gap_a_repeat_or_a_false_end(self):
        for numbers in ([1, 3], [1, 2, 2], range(1, EVENTS)):
            ask = _ask("plan", body=_stream(numbers))
            self.assertEqual({"streams-in-order"}, _broken([ask], [_run(ask)]))

    def test_a_stream_with_events_of_another(self):
        ask = _ask("plan", body=_stream(range(1, EVENTS + 1), "a2"))
        self.assertEqual({"streams-in-order"}, _broken([ask], [_run(ask)]))

    def test_a_stream_that_breaks_off_is_none_of_these(self):
        ask = _ask("plan", body=_stream([1, 2]), whole=False)
        self.assertEqual(set(), _broken([ask], [_run(ask)]))

    def test_runs_that_nobody_asked_for(self):
        ask = _ask()
        for run in (
            _run(ask, body=b"other"),
            _run(ask, path="/book/other"),
            _run(ask, headers={"X-Attempt-Id": "a1", "X-Tenant": "other"}),
            _run(ask, headers={"X-Attempt-Id": "a1", "X-Tenant": "ring", "X-Key": "k"}),
        ):
            self.assertEqual({"only-what-was-asked"}, _broken([ask], [run]))
        self.assertIn("only-what-was-asked", _broken([], [_run(ask)]))

    def test_more_endpoints_than_the_route_allows(self):
        ask = _ask("check")
        runs = [_run(ask, endpoint=f"desk-{number}") for number in (1, 2, 3)]
        self.assertEqual({"attempts-are-bounded"}, _broken([ask], runs))

    def test_a_configuration_that_goes_back(self):
        before = _ask("step", path="/step-3/a1?x=1")
        after = replace(before, number="a2", status=404, body=b"")
        broken = _broken([before, after], [_run(before)])
        self.assertEqual({"configuration-never-goes-back"}, broken)
        other = replace(after, starts=(2, 2))
        self.assertEqual(set(), _broken([before, other], [_run(before)]))

    def test_a_known_route_that_is_denied(self):
        ask = _ask(status=404, body=b"")
        self.assertEqual({"known-routes-are-not-denied"}, _broken([ask], []))

    def test_a_request_after_the_last_fault_that_is_not_served(self):
        ask = _ask(status=503, body=b"", calm=True)
        self.assertEqual({"calm-is-served"}, _broken([ask], []))
