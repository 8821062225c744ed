"""Tests that the soak detects a violation of each promise."""

from dataclasses import replace

from tests.cases import TestCase
from tests.soak.callers import STREAM_EVENTS, CallerAttempt
from tests.soak.promises import EndpointRun, SoakRecord, broken_promises

CUSTOMER = "ring"
SIGNED = {"X-Replica-Signature": "signed-desk-1", "X-Attempt-Id": "a1"}


def _attempt(kind="book", **changes):
    attempt = CallerAttempt(
        "a1", kind, "edge-1", "POST", f"/{kind}/a1?x=1", b"sent", 200, SIGNED
    )
    attempt.body, attempt.complete, attempt.process_numbers = b"whole a1", True, (1, 1)
    return replace(attempt, **changes)


def _run(attempt, **changes):
    headers = {"X-Attempt-Id": attempt.attempt_id, "X-Tenant": CUSTOMER}
    return replace(
        EndpointRun("desk-1", attempt.path, headers, attempt.request_body), **changes
    )


def _stream(numbers, text="a1"):
    parts = (f"id: {number}\ndata: {text}\n\n" for number in numbers)
    return "".join(parts).encode()


def _broken(attempts, runs):
    record = SoakRecord(attempts, runs, {"book": 1, "check": 2, "plan": 3}, CUSTOMER)
    return {line.partition(":")[0] for line in broken_promises(record)}


class PromisesTest(TestCase):
    def test_a_correct_record_breaks_no_promise(self):
        attempt = _attempt()
        self.assertEqual(set(), _broken([attempt], [_run(attempt)]))

    def test_two_runs_of_a_booking(self):
        attempt = _attempt()
        twice = [_run(attempt), _run(attempt)]
        self.assertEqual({"at-most-once"}, _broken([attempt], twice))

    def test_a_refusal_of_what_has_run(self):
        attempt = _attempt(status=503)
        self.assertEqual({"refusals-are-true"}, _broken([attempt], [_run(attempt)]))

    def test_an_answer_of_another_request(self):
        attempt = _attempt(body=b"whole a2")
        self.assertEqual({"answers-are-whole"}, _broken([attempt], [_run(attempt)]))

    def test_an_answer_under_the_id_of_another_request(self):
        attempt = _attempt(headers=SIGNED | {"X-Attempt-Id": "a2"})
        self.assertEqual({"answers-are-whole"}, _broken([attempt], [_run(attempt)]))

    def test_an_answer_that_its_signer_did_not_run(self):
        self.assertEqual({"answers-are-whole"}, _broken([_attempt()], []))

    def test_streams_with_a_gap_a_repeat_or_an_early_end(self):
        for numbers in ([1, 3], [1, 2, 2], range(1, STREAM_EVENTS)):
            attempt = _attempt("plan", body=_stream(numbers))
            self.assertEqual({"streams-in-order"}, _broken([attempt], [_run(attempt)]))

    def test_a_stream_with_events_of_another(self):
        attempt = _attempt("plan", body=_stream(range(1, STREAM_EVENTS + 1), "a2"))
        self.assertEqual({"streams-in-order"}, _broken([attempt], [_run(attempt)]))

    def test_a_stream_that_ends_early_without_completion_breaks_no_promise(self):
        attempt = _attempt("plan", body=_stream([1, 2]), complete=False)
        self.assertEqual(set(), _broken([attempt], [_run(attempt)]))

    def test_runs_that_no_caller_sent(self):
        attempt = _attempt()
        for run in (
            _run(attempt, body=b"other"),
            _run(attempt, path="/book/other"),
            _run(attempt, headers={"X-Attempt-Id": "a1", "X-Tenant": "other"}),
            _run(
                attempt,
                headers={"X-Attempt-Id": "a1", "X-Tenant": "ring", "X-Key": "k"},
            ),
        ):
            self.assertEqual({"only-what-was-asked"}, _broken([attempt], [run]))
        self.assertIn("only-what-was-asked", _broken([], [_run(attempt)]))

    def test_more_endpoints_than_the_route_allows(self):
        attempt = _attempt("check")
        runs = [_run(attempt, endpoint=f"desk-{number}") for number in (1, 2, 3)]
        self.assertEqual({"attempts-are-bounded"}, _broken([attempt], runs))

    def test_a_configuration_that_reverts(self):
        before = _attempt("step", path="/step-3/a1?x=1")
        after = replace(before, attempt_id="a2", status=404, body=b"")
        broken = _broken([before, after], [_run(before)])
        self.assertEqual({"configuration-never-goes-back"}, broken)
        other = replace(after, process_numbers=(2, 2))
        self.assertEqual(set(), _broken([before, other], [_run(before)]))

    def test_a_known_route_that_is_denied(self):
        attempt = _attempt(status=404, body=b"")
        self.assertEqual({"known-routes-are-not-denied"}, _broken([attempt], []))

    def test_a_request_after_the_last_fault_that_is_not_served(self):
        attempt = _attempt(status=503, body=b"", after_faults=True)
        self.assertEqual({"calm-is-served"}, _broken([attempt], []))
