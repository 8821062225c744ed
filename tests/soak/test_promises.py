"""Tests that the soak detects a violation of each promise."""

from dataclasses import replace

from users_platform.standins import Arrival, Crash, LimitedAnswer

from tests.cases import TestCase
from tests.soak.callers import STREAM_EVENTS, CallerAttempt
from tests.soak.fleet import HostStop
from tests.soak.promises import EndpointRun, SoakRecord, broken_promises
from tests.soak.worlds import Evacuation

CUSTOMER = "ring"
GRACE_S = 8.0
STOP = HostStop("edge-1", process=1, signalled_at=100.0, ended_at=104.5)
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


def _cut(sent_after_s, closed_after_s, **changes):
    """Return an attempt without an answer, sent to the process of STOP."""
    sent_at = STOP.signalled_at + sent_after_s
    return _attempt(
        status=0,
        body=b"",
        complete=False,
        deadline_s=8.0,
        sent_at=sent_at,
        last_byte_at=sent_at,
        ended_at=sent_at + closed_after_s,
        **changes,
    )


def _broken(attempts, runs, stops=(), disturbances=(), stalls=()):
    limits = {"book": 1, "check": 2, "plan": 3}
    record = SoakRecord(
        attempts, runs, limits, CUSTOMER, stops, disturbances, stalls, GRACE_S
    )
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

    def test_a_resumable_stream_that_a_host_ends_without_a_disturbance(self):
        cut = _attempt(
            "plan",
            body=_stream([1, 2]),
            complete=False,
            sent_at=100.0,
            ended_at=110.0,
            deadline_s=30.0,
        )
        other_stop = replace(STOP, process=2)
        for changes, stops, disturbances, expected in (
            ({}, (), (), {"sound-streams-are-not-cut"}),
            ({}, (other_stop,), (), {"sound-streams-are-not-cut"}),
            ({}, (), ((90.0, 96.9),), {"sound-streams-are-not-cut"}),
            ({}, (), ((110.1, 112.0),), {"sound-streams-are-not-cut"}),
            ({"process_numbers": (1, 2)}, (), (), {"sound-streams-are-not-cut"}),
            ({}, (STOP,), (), set()),
            ({}, (), ((90.0, 97.1),), set()),
            ({"deadline_s": 10.0}, (), (), set()),
            ({"disconnected": True}, (), (), set()),
            ({"kind": "draft", "path": "/draft/a1?x=1"}, (), (), set()),
            ({"status": 502}, (), (), set()),
        ):
            attempt = replace(cut, **changes)
            broken = _broken([attempt], [_run(attempt)], stops, disturbances)
            self.assertEqual(expected, broken)

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

    def test_a_request_at_an_endpoint_that_a_stopping_host_gave_up(self):
        for attempt in (_cut(4.4, 0.05), _cut(1.0, 3.4), _cut(-0.5, 5.0)):
            run = _run(attempt, ended_at=attempt.ended_at)
            broken = _broken([attempt], [run], [STOP])
            self.assertEqual({"taken-requests-are-answered"}, broken)

    def test_a_stream_that_a_stopping_host_gave_up(self):
        attempt = _cut(4.4, 0.05, kind="plan")
        attempt = replace(attempt, status=200, body=_stream([1]))
        broken = _broken([attempt], [_run(attempt)], [STOP])
        self.assertEqual({"taken-requests-are-answered"}, broken)

    def test_a_request_whose_connection_a_stopping_host_closed_late(self):
        late = _cut(4.0, 0.3)
        broken = _broken([late], [], [STOP])
        self.assertEqual({"taken-requests-are-answered"}, broken)
        crossed = _cut(4.4, 0.1)
        self.assertEqual(set(), _broken([crossed], [], [STOP]))

    def test_a_close_that_callers_noticed_late(self):
        late = _cut(4.0, 0.3)  # sent at 104.0
        for stall, expected in (
            ((104.1, 104.25), set()),
            ((103.5, 104.15), set()),
            ((104.1, 104.15), {"taken-requests-are-answered"}),
            ((103.0, 104.0), {"taken-requests-are-answered"}),
        ):
            broken = _broken([late], [], [STOP], stalls=[stall])
            self.assertEqual(expected, broken)
        run = _run(late, ended_at=104.3)
        broken = _broken([late], [run], [STOP], stalls=[(104.1, 104.25)])
        self.assertEqual({"taken-requests-are-answered"}, broken)

    def test_a_request_that_endpoints_worked_on_until_the_kill(self):
        killed = replace(STOP, ended_at=108.0, killed=True)
        early, late = _cut(2.9, 5.0), _cut(3.1, 4.8)
        for attempt, at, expected in (
            (early, 107.0, set()),
            (early, 106.0, {"taken-requests-are-answered"}),
            (late, 107.0, {"taken-requests-are-answered"}),
        ):
            run = _run(attempt, ended_at=at)
            self.assertEqual(expected, _broken([attempt], [run], [killed]))

    def test_attempts_that_a_stopping_host_need_not_answer(self):
        attempt = _cut(4.4, 0.05)
        for other in (
            replace(attempt, complete=True, status=503),
            replace(attempt, disconnected=True),
            replace(attempt, deadline_s=0.04),
            replace(attempt, last_byte_at=0.0),
            replace(attempt, process_numbers=(2, 2)),
            replace(attempt, host="edge-2"),
        ):
            runs = [] if other.complete else [_run(other)]
            self.assertEqual(set(), _broken([other], runs, [STOP]))

    def test_more_requests_than_an_endpoint_allows(self):
        told = LimitedAnswer("desk-1", "a0", 1.0, 100.0)
        last = LimitedAnswer("desk-1", "a0", 1.0, 120.0)
        for count, gap_s, since, host, expected in (
            (12, 0.3, 103.5, "edge-1", {"limits-are-kept"}),
            (11, 0.3, 103.5, "edge-1", set()),
            (30, 1.0, 103.5, "edge-1", set()),
            (12, 0.3, 99.0, "edge-1", set()),
            (12, 0.3, 103.5, "edge-2", set()),
        ):
            instants = [since + number * gap_s for number in range(count)]
            record = SoakRecord(
                [
                    _attempt("check", attempt_id="a0"),
                    _attempt("check", attempt_id="a9", host=host),
                ],
                arrivals=[Arrival("desk-1", "a9", (), at) for at in instants],
                limited_answers=[told, last],
            )
            broken = [line.split(":")[0] for line in broken_promises(record)]
            self.assertEqual(expected, set(broken) & {"limits-are-kept"})

    def test_more_repeats_than_a_service_may_get(self):
        for count, gap_s, endpoint, expected in (
            (54, 0.1, "desk-1", {"repeats-are-bounded"}),
            (54, 0.1, "advice-1", {"repeats-are-bounded"}),
            (53, 0.1, "desk-1", set()),
            (54, 0.5, "desk-1", set()),
        ):
            record = SoakRecord(
                [_attempt("check", sent_at=100.0)],
                arrivals=[
                    Arrival(endpoint, "a1", (), 100.0 + number * gap_s)
                    for number in range(count)
                ],
            )
            broken = {line.partition(":")[0] for line in broken_promises(record)}
            self.assertEqual(expected, broken & {"repeats-are-bounded"})

    def test_deadlines_that_are_later_than_the_callers(self):
        attempts = [
            _attempt("check", attempt_id=f"a{number}", sent_at=100.0, deadline_s=1.0)
            for number in range(100)
        ]
        for late_s, late, expected in (
            (0.6, 21, {"deadlines-do-not-grow"}),
            (0.6, 20, set()),
            (0.4, 100, set()),
        ):
            arrivals = [
                Arrival(
                    "desk-1",
                    attempt.attempt_id,
                    (),
                    100.5,
                    0.5 + late_s * (number < late),
                )
                for number, attempt in enumerate(attempts)
            ]
            record = SoakRecord(attempts, arrivals=arrivals)
            broken = {line.partition(":")[0] for line in broken_promises(record)}
            self.assertEqual(expected, broken & {"deadlines-do-not-grow"})

    def test_a_request_that_crashes_endpoints_and_is_sent_on(self):
        name = "crashing-requests-are-held-back"
        for crashes, late, signals, expected in (
            (3, 4, {}, {name}),
            (3, 3, {}, set()),
            (2, 9, {}, set()),
            (3, 4, {"edge-1": [105.0]}, set()),
            (3, 4, {"edge-1": [101.0], "edge-2": [105.0]}, {name}),
        ):
            record = SoakRecord(
                [_attempt("plan", path="/plan/crashing")],
                arrivals=[
                    *(Arrival("advice-1", "a1", (), 102.5) for _ in range(9)),
                    *(Arrival("advice-1", "a1", (), 105.5) for _ in range(late)),
                ],
                crashes=[
                    Crash(f"advice-{number}", "/plan/crashing", 100.0 + number)
                    for number in range(crashes)
                ],
                signals=signals,
            )
            broken = {line.partition(":")[0] for line in broken_promises(record)}
            self.assertEqual(expected, broken & {name})

    def test_endpoints_that_crash_meanwhile_do_not_count_as_too_many(self):
        attempt = _attempt("check", sent_at=100.0, ended_at=101.0)
        runs = [_run(attempt, endpoint=f"desk-{number}") for number in range(1, 5)]
        for crashed, expected in ((2, set()), (1, {"attempts-are-bounded"})):
            crashes = [
                Crash(f"desk-{number}", attempt.path, 100.5)
                for number in range(2, 2 + crashed)
            ]
            record = SoakRecord(
                [attempt], runs, {"check": 2}, CUSTOMER, crashes=crashes
            )
            broken = {line.partition(":")[0] for line in broken_promises(record)}
            self.assertEqual(expected, broken)

    def test_a_request_at_an_endpoint_of_an_emptied_data_centre(self):
        name = "emptied-endpoints-get-nothing"
        for at, endpoint, disturbances, expected in (
            (104.0, "desk-1", (), {name}),
            (102.0, "desk-1", (), set()),
            (111.0, "desk-1", (), set()),
            (104.0, "desk-2", (), set()),
            (104.0, "desk-1", ((101.5, 102.6),), set()),
            (104.0, "desk-1", ((101.5, 102.4),), {name}),
        ):
            record = SoakRecord(
                disturbances=list(disturbances),
                arrivals=[Arrival(endpoint, "a1", (), at)],
                evacuations=[Evacuation(frozenset({"desk-1"}), 100.0, 110.0)],
                evacuation_s=3.0,
            )
            broken = {line.partition(":")[0] for line in broken_promises(record)}
            self.assertEqual(expected, broken & {name})

    def test_a_disturbance_excuses_a_stopping_host_for_a_while(self):
        attempt = _cut(4.4, 0.05)
        for span, expected in (
            ((99.0, 102.0), set()),
            ((104.42, 104.43), set()),
            ((99.0, 101.0), {"taken-requests-are-answered"}),
            ((104.5, 105.0), {"taken-requests-are-answered"}),
        ):
            broken = _broken([attempt], [_run(attempt)], [STOP], [span])
            self.assertEqual(expected, broken)
