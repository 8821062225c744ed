"""Invariants of a soak test, checked on what callers and endpoints recorded."""

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from users_platform.standins import Arrival, Crash, LimitedAnswer

from tests import retry_rule
from tests.limit_rule import MAX_LEARNING_S, most_allowed, most_in_window
from tests.soak.callers import (
    ANSWERED_STATUS,
    NOT_RUN_STATUSES,
    STREAM_EVENTS,
    STREAM_KINDS,
    CallerAttempt,
)
from tests.soak.fleet import HostStop
from tests.soak.worlds import Evacuation

__all__ = [
    "EndpointRun",
    "SoakRecord",
    "broken_promises",
    "crashing_requests",
    "late_arrivals",
    "max_repeat_ratio",
    "promise",
    "sound_failures",
]

SIGNATURE_HEADER = "X-Replica-Signature"
CUSTOMER_HEADER = "X-Tenant"
ROUTER_ONLY_HEADERS = frozenset(("x-key", "x-retain", "x-pin-ms"))
CLOSE_SLACK_S = 0.2  # a request may cross the close of its connection for this long
# A request that an endpoint works on near the end of the grace time may be broken off
# if it was sent no later than this after the signal.
EARLY_S = 3.0
LAST_SHARE = 1 / 6  # of the grace time
KILL_SLACK_S = 1.0  # for a process to be killed after the grace time
RESUMABLE_KIND = "plan"
TOLD_S = 0.5  # after which a process that got a limited answer has to keep to it
SETTLE_S = 3.0  # time for which a disturbance is felt
SERVICE_BY_KIND = {"check": "desk", "book": "desk", "step": "desk"}
SERVICE_BY_KIND |= dict.fromkeys(STREAM_KINDS, "advice")
CRASHES_TO_LEARN = 3  # crashes by one request after which hosts have to hold it back
CRASH_CONTACT_S = 3.0  # by which all hosts know of a crash
MAX_LATE_RETRIES = 3
DEADLINE_SLACK_S = 0.5  # by which an attempt may state a later deadline
MAX_GROWN, MAX_GROWN_SHARE = 20, 0.2  # of the attempts that state more than that
NEWS_S = 1.5  # in which a disturbed host hears from its peers what it has missed
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclass
class EndpointRun:
    """An attempt that an endpoint received; the body is None if it was not read.

    It was broken off or completed at the instant `ended_at`.
    """

    endpoint: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    ended_at: float = math.inf

    @property
    def attempt_id(self) -> str:
        """Return the id of the caller's attempt."""
        return self.headers.get("X-Attempt-Id", "")


@dataclass
class SoakRecord:
    """All attempts that callers sent and endpoints received.

    Attributes
    ----------
    max_endpoints : dict of str to int
        Most endpoints that one attempt may be sent to, by kind.
    stops : list of HostStop
        Processes that got SIGTERM.
    disturbances : list of pair of float
        Beginning and end of all faults that were not planned work.
    stalls : list of pair of float
        Beginning and end of all times in which callers recorded nothing.
    grace_s : float
        Time from SIGTERM until a process is killed.
    arrivals : list of Arrival
        Attempts that reached endpoints, whether or not they ran.
    limited_answers : list of LimitedAnswer
        Answers in which endpoints limited the requests of all hosts together.
    evacuations : list of Evacuation
    evacuation_s : float
        Time from an order until the endpoints may get nothing.
    crashes : list of Crash
    signals : dict of str to list of float
        Instants of all signals, by host.
    """

    attempts: list[CallerAttempt] = field(default_factory=list)
    runs: list[EndpointRun] = field(default_factory=list)
    max_endpoints: dict[str, int] = field(default_factory=dict)
    customer: str = ""
    stops: list[HostStop] = field(default_factory=list)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)
    grace_s: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    limited_answers: list[LimitedAnswer] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    evacuation_s: float = 0.0
    crashes: list[Crash] = field(default_factory=list)
    signals: dict[str, list[float]] = field(default_factory=dict)

    def disturbed(self, since: float, until: float) -> bool:
        """Return whether any disturbance falls into a period."""
        return any(
            began_at <= until and ended_at >= since
            for began_at, ended_at in self.disturbances
        )

    def stalled_s(self, since: float, until: float) -> float:
        """Return for how much of a period callers recorded nothing."""
        return sum(
            max(0.0, min(until, ended_at) - max(since, began_at))
            for began_at, ended_at in self.stalls
        )

    def runs_by_attempt(self) -> dict[str, list[EndpointRun]]:
        """Return the runs grouped by the id of the caller's attempt."""
        grouped = defaultdict(list)
        for run in self.runs:
            grouped[run.attempt_id].append(run)
        return grouped


Promise = Callable[[SoakRecord], Iterator[str]]
_PROMISES: dict[str, Promise] = {}


def promise(name: str) -> Callable[[Promise], Promise]:
    """Register a promise, whose function yields a text for each violation."""

    def register(func: Promise) -> Promise:
        _PROMISES[name] = func
        return func

    return register


def broken_promises(record: SoakRecord) -> list[str]:
    """Return a line for each violation of a promise."""
    return [
        f"{name}: {case}" for name, check in _PROMISES.items() for case in check(record)
    ]


@promise("at-most-once")
def _at_most_once(record: SoakRecord) -> Iterator[str]:
    runs = record.runs_by_attempt()
    for attempt in record.attempts:
        if attempt.kind == "book" and len(runs[attempt.attempt_id]) > 1:
            endpoints = [run.endpoint for run in runs[attempt.attempt_id]]
            yield f"{attempt.attempt_id} ran at {endpoints}"


@promise("refusals-are-true")
def _refusals_are_true(record: SoakRecord) -> Iterator[str]:
    runs = record.runs_by_attempt()
    for attempt in record.attempts:
        refused = attempt.status in NOT_RUN_STATUSES
        if attempt.kind == "book" and refused and runs[attempt.attempt_id]:
            yield f"{attempt.attempt_id} got {attempt.status} and ran"


@promise("answers-are-whole")
def _answers_are_whole(record: SoakRecord) -> Iterator[str]:
    runs = record.runs_by_attempt()
    for attempt in record.attempts:
        if attempt.status != ANSWERED_STATUS or not attempt.complete:
            continue
        signer = attempt.headers.get(SIGNATURE_HEADER, "").removeprefix("signed-")
        if signer not in {run.endpoint for run in runs[attempt.attempt_id]}:
            yield f"{attempt.attempt_id} is signed by {signer!r}, which did not run it"
        if attempt.headers.get("X-Attempt-Id") != attempt.attempt_id:
            yield (
                f"{attempt.attempt_id} got the answer "
                f"{attempt.headers.get('X-Attempt-Id')!r}"
            )
        if (
            attempt.kind not in STREAM_KINDS
            and attempt.body != f"whole {attempt.attempt_id}".encode()
        ):
            yield f"{attempt.attempt_id} got {attempt.body[:60]!r}"


@promise("streams-in-order")
def _streams_in_order(record: SoakRecord) -> Iterator[str]:
    for attempt in record.attempts:
        if attempt.kind not in STREAM_KINDS or attempt.status != ANSWERED_STATUS:
            continue
        events = EVENT_PATTERN.findall(attempt.body)
        numbers = [int(number) for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{attempt.attempt_id} got events {numbers}"
        if any(text != attempt.attempt_id.encode() for _, text in events):
            yield f"{attempt.attempt_id} got events of another request"
        if attempt.complete and len(numbers) != STREAM_EVENTS:
            yield f"{attempt.attempt_id} ended as complete after {len(numbers)} events"


@promise("sound-streams-are-not-cut")
def _sound_streams_are_not_cut(record: SoakRecord) -> Iterator[str]:
    """Find begun streams that a host ended although nothing was disturbed.

    Exempt are those of processes that got SIGTERM.
    """
    runs = record.runs_by_attempt()
    stopped = {(stop.host, stop.process) for stop in record.stops}
    for attempt in record.attempts:
        if attempt.kind != RESUMABLE_KIND or attempt.status != ANSWERED_STATUS:
            continue
        if attempt.complete or attempt.disconnected or not attempt.sent_at:
            continue
        if (attempt.host, attempt.process_numbers[0]) in stopped:
            continue
        left_s = attempt.sent_at + attempt.deadline_s - attempt.ended_at
        if left_s <= 0 or record.disturbed(
            attempt.sent_at - SETTLE_S, attempt.ended_at
        ):
            continue
        yield (
            f"{attempt.attempt_id} from {attempt.host}, at "
            f"{[run.endpoint for run in runs[attempt.attempt_id]]}, ended after "
            f"{len(EVENT_PATTERN.findall(attempt.body))} events, "
            f"{attempt.ended_at - attempt.sent_at:.2f} s after it was sent and "
            f"{left_s:.2f} s before its deadline ({attempt.error})"
        )


@promise("only-what-was-asked")
def _only_what_was_asked(record: SoakRecord) -> Iterator[str]:
    attempts = {attempt.attempt_id: attempt for attempt in record.attempts}
    for run in record.runs:
        attempt = attempts.get(run.attempt_id)
        if attempt is None:
            yield f"{run.endpoint} ran {run.attempt_id!r}, which nobody sent"
        elif run.path != attempt.path or run.body not in (None, attempt.request_body):
            yield f"{run.endpoint} ran {run.attempt_id} with another path or body"
        elif run.headers.get(CUSTOMER_HEADER) != record.customer:
            yield (
                f"{run.attempt_id} was forwarded for customer "
                f"{run.headers.get(CUSTOMER_HEADER)!r}"
            )
        elif ROUTER_ONLY_HEADERS & {name.lower() for name in run.headers}:
            yield f"{run.attempt_id} was forwarded with a header for the router only"


@promise("attempts-are-bounded")
def _attempts_are_bounded(record: SoakRecord) -> Iterator[str]:
    """Find attempts that ran at too many endpoints, without those that crashed."""
    runs = record.runs_by_attempt()
    crashed_at = {crash.endpoint: crash.at for crash in record.crashes}
    for attempt in record.attempts:
        endpoints = {
            run.endpoint
            for run in runs[attempt.attempt_id]
            if not attempt.sent_at
            <= crashed_at.get(run.endpoint, math.inf)
            <= attempt.ended_at
        }
        if len(endpoints) > record.max_endpoints.get(attempt.kind, 1):
            yield f"{attempt.attempt_id} ran at {sorted(endpoints)}"


@promise("configuration-never-goes-back")
def _configuration_never_goes_back(record: SoakRecord) -> Iterator[str]:
    """Find routes that a process served and later did not know."""
    served: dict[tuple[str, int, str], str] = {}
    for attempt in record.attempts:
        process, last_process = attempt.process_numbers
        if (
            attempt.kind not in ("check", "book", "plan", "step")
            or process != last_process
        ):
            continue
        key = (attempt.host, process, attempt.path.rpartition("/")[0])
        if attempt.status == ANSWERED_STATUS:
            served.setdefault(key, attempt.attempt_id)
        elif attempt.status == 404 and key in served:
            yield (
                f"{attempt.attempt_id} is unknown to {attempt.host}, "
                f"which served {served[key]}"
            )


@promise("known-routes-are-not-denied")
def _known_routes_are_not_denied(record: SoakRecord) -> Iterator[str]:
    for attempt in record.attempts:
        if attempt.kind != "step" and attempt.status in (400, 401, 403, 404):
            yield f"{attempt.attempt_id} got {attempt.status} from {attempt.host}"


@promise("calm-is-served")
def _calm_is_served(record: SoakRecord) -> Iterator[str]:
    """Find attempts that were not served after the last fault had ended."""
    for attempt in record.attempts:
        if (
            attempt.after_faults
            and not attempt.disconnected
            and (attempt.status, attempt.complete) != (ANSWERED_STATUS, True)
        ):
            yield (
                f"{attempt.attempt_id} ({attempt.kind}) got {attempt.status} "
                f"from {attempt.host}"
            )


@promise("limits-are-kept")
def _limits_are_kept(record: SoakRecord) -> Iterator[str]:
    """Find endpoints that got too many requests from hosts that knew their limit."""
    attempts = {attempt.attempt_id: attempt for attempt in record.attempts}
    periods = defaultdict(list)
    for answer in record.limited_answers:
        periods[answer.endpoint, answer.per_s].append(answer)
    for (endpoint, per_s), answers in periods.items():
        told_at: dict[tuple[str, int], float] = {}
        for answer in answers:
            process = _process(attempts.get(answer.request_id))
            if process is not None:
                told_at.setdefault(process, answer.at)
        due_at = answers[0].at + MAX_LEARNING_S
        counted = sorted(
            arrival.at
            for arrival in record.arrivals
            if arrival.endpoint == endpoint
            and due_at <= arrival.at <= answers[-1].at
            and told_at.get(_process(attempts.get(arrival.request_id)), math.inf)
            <= arrival.at - TOLD_S
        )
        most = most_in_window(counted)
        if most > most_allowed(per_s):
            yield (
                f"{endpoint}, limited to {per_s:.2f} a second, got {most} requests "
                f"within 4 s, {most_allowed(per_s):.0f} allowed"
            )


@promise("emptied-endpoints-get-nothing")
def _emptied_endpoints_get_nothing(record: SoakRecord) -> Iterator[str]:
    """Find attempts at endpoints of a data centre that was emptied long before."""
    for evacuation in record.evacuations:
        due_at = evacuation.ordered_at + record.evacuation_s
        for arrival in record.arrivals:
            late = due_at < arrival.at < evacuation.taken_back_at
            if not late or arrival.endpoint not in evacuation.endpoints:
                continue
            if not record.disturbed(arrival.at - NEWS_S, arrival.at):
                age_s = arrival.at - evacuation.ordered_at
                yield (
                    f"{arrival.endpoint} got {arrival.request_id} {age_s:.2f} s after "
                    "its data centre was emptied"
                )


@promise("repeats-are-bounded")
def _repeats_are_bounded(record: SoakRecord) -> Iterator[str]:
    """Find services that got too many attempts beyond the first of each request."""
    for service, repeats, allowed in _most_repeats(record):
        if repeats > allowed:
            yield f"{service} got {repeats} repeats within 10 s, {allowed:.0f} allowed"


def max_repeat_ratio(record: SoakRecord) -> float:
    """Return the most repeats at a service, relative to what is allowed."""
    return max(
        (repeats / allowed for _, repeats, allowed in _most_repeats(record)),
        default=0.0,
    )


def _most_repeats(record: SoakRecord) -> Iterator[tuple[str, int, float]]:
    """Yield each service with its worst window: repeats, and how many are allowed."""
    requests, arrivals = defaultdict(list), defaultdict(list)
    for attempt in record.attempts:
        if attempt.sent_at:
            requests[SERVICE_BY_KIND.get(attempt.kind)].append(attempt.sent_at)
    for arrival in record.arrivals:
        service = arrival.endpoint.partition("-")[0]
        arrivals[service].append((arrival.request_id, arrival.at))
    for service, at_service in arrivals.items():
        yield (service, *retry_rule.worst_window(requests[service], at_service))


@promise("deadlines-do-not-grow")
def _deadlines_do_not_grow(record: SoakRecord) -> Iterator[str]:
    """Find endpoints that were allowed far more time than callers had left."""
    grown = late_arrivals(record)
    if len(grown) > MAX_GROWN and len(grown) > MAX_GROWN_SHARE * len(record.arrivals):
        yield f"{len(grown)} of {len(record.arrivals)} attempts state a later deadline"


@promise("crashing-requests-are-held-back")
def _crashing_requests_are_held_back(record: SoakRecord) -> Iterator[str]:
    for path, crashes, late in crashing_requests(record):
        if late > MAX_LATE_RETRIES:
            yield (
                f"{path} crashed {crashes} endpoints and arrived {late} times later "
                f"than {CRASH_CONTACT_S} s after the third crash"
            )


def crashing_requests(record: SoakRecord) -> Iterator[tuple[str, int, int]]:
    """Yield each request that crashes endpoints, its crashes and late arrivals.

    An arrival is late from some time after the third crash on, unless its host got a
    signal meanwhile.
    """
    attempts = {attempt.attempt_id: attempt for attempt in record.attempts}
    crashed_at = defaultdict(list)
    for crash in record.crashes:
        crashed_at[crash.path].append(crash.at)
    late = Counter()
    for arrival in record.arrivals:
        attempt = attempts.get(arrival.request_id)
        crashes = sorted(crashed_at.get(attempt.path, ())) if attempt else []
        if len(crashes) < CRASHES_TO_LEARN:
            continue
        since = arrival.at - CRASH_CONTACT_S
        signalled = any(
            since <= at <= arrival.at for at in record.signals.get(attempt.host, ())
        )
        if since > crashes[CRASHES_TO_LEARN - 1] and not signalled:
            late[attempt.path] += 1
    for path, crashes in crashed_at.items():
        yield path, len(crashes), late[path]


def sound_failures(record: SoakRecord) -> Counter:
    """Return how the attempts ended that crash nothing and got no whole answer."""
    crashing = {crash.path for crash in record.crashes}
    return Counter(
        "broken-off" if attempt.status == ANSWERED_STATUS else str(attempt.status)
        for attempt in record.attempts
        if attempt.path not in crashing
        and not attempt.disconnected
        and (attempt.status, attempt.complete) != (ANSWERED_STATUS, True)
    )


def late_arrivals(record: SoakRecord) -> list[Arrival]:
    """Return the attempts that were allowed far more time than callers had left."""
    deadlines = {
        attempt.attempt_id: attempt.sent_at + attempt.deadline_s
        for attempt in record.attempts
        if attempt.sent_at
    }
    return [
        arrival
        for arrival in record.arrivals
        if arrival.at + arrival.left_s
        > deadlines.get(arrival.request_id, math.inf) + DEADLINE_SLACK_S
    ]


def _process(attempt: CallerAttempt | None) -> tuple[str, int] | None:
    """Return the host and process that took an attempt, if it was one process."""
    if attempt is None or len(set(attempt.process_numbers)) > 1:
        return None
    return attempt.host, attempt.process_numbers[0]


@promise("taken-requests-are-answered")
def _taken_requests_are_answered(record: SoakRecord) -> Iterator[str]:
    """Find requests that a stopping process took and gave up.

    A request is taken once it is at an endpoint, or if its connection closes too late
    for the close to have crossed the request. Exempt are requests that have reached
    their deadline, and early ones on which an endpoint worked for nearly all of the
    grace time.
    """
    runs = record.runs_by_attempt()
    stops = {(stop.host, stop.process): stop for stop in record.stops}
    for attempt in record.attempts:
        stop = stops.get((attempt.host, attempt.process_numbers[0]))
        if stop is None or not attempt.last_byte_at:
            continue
        if attempt.complete or attempt.disconnected:
            continue
        last_at = stop.signalled_at + record.grace_s + KILL_SLACK_S
        if attempt.ended_at < stop.signalled_at or attempt.sent_at > last_at:
            continue
        if attempt.ended_at >= attempt.sent_at + attempt.deadline_s:
            continue
        if record.disturbed(attempt.sent_at - SETTLE_S, attempt.ended_at):
            continue
        attempt_runs = runs[attempt.attempt_id]
        closed_after_s = attempt.ended_at - attempt.last_byte_at
        stalled_s = record.stalled_s(attempt.last_byte_at, attempt.ended_at)
        if not attempt_runs and closed_after_s - stalled_s <= CLOSE_SLACK_S:
            continue
        worked_until = max((run.ended_at for run in attempt_runs), default=0.0)
        sent_after_s = attempt.sent_at - stop.signalled_at
        late_work_at = stop.signalled_at + record.grace_s * (1 - LAST_SHARE)
        if sent_after_s <= EARLY_S and worked_until >= late_work_at:
            continue
        connection = "kept connection" if attempt.kept else "new connection"
        end = "was killed" if stop.killed else "ended"
        yield (
            f"{attempt.attempt_id} ({attempt.kind}) was sent {sent_after_s:.3f} s "
            f"after SIGTERM to {attempt.host}, reached "
            f"{[run.endpoint for run in attempt_runs]}, and its {connection} closed "
            f"{closed_after_s:.3f} s after its last byte ({attempt.error}, "
            f"{stalled_s:.3f} s not observed); the process {end} "
            f"{stop.ended_at - stop.signalled_at:.3f} s after SIGTERM"
        )
