"""What must hold in a soak, judged by what callers and endpoints saw."""

import re
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tests.soak.callers import ANSWERED, EVENTS, PROMISES_NOT_RUN, Ask

__all__ = ["Record", "Run", "broken_promises", "promise"]

SIGNATURE = "X-Replica-Signature"
CUSTOMER = "X-Tenant"
OUR_HEADERS = frozenset(("x-key", "x-retain", "x-pin-ms"))
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclass
class Run:
    """An attempt as an endpoint saw it; the body is None if it was not read."""

    endpoint: str
    path: str
    headers: dict[str, str]
    body: bytes | None

    @property
    def number(self) -> str:
        """Return the id of the caller's attempt."""
        return self.headers.get("X-Attempt-Id", "")


@dataclass
class Record:
    """All that callers and endpoints saw.

    Attributes
    ----------
    attempts_most : dict of str to int
        Endpoints that one attempt may be sent to, by kind.
    """

    asks: list[Ask] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    attempts_most: dict[str, int] = field(default_factory=dict)
    customer: str = ""

    def runs_of(self) -> dict[str, list[Run]]:
        """Return runs by the id of the caller's attempt."""
        held = defaultdict(list)
        for run in self.runs:
            held[run.number].append(run)
        return held


Promise = Callable[[Record], Iterator[str]]
_PROMISES: dict[str, Promise] = {}


def promise(name: str) -> Callable[[Promise], Promise]:
    """Register a promise; its function yields each case that breaks it."""

    def register(func: Promise) -> Promise:
        _PROMISES[name] = func
        return func

    return register


def broken_promises(record: Record) -> list[str]:
    """Return a line for each case that breaks a promise."""
    return [
        f"{name}: {case}" for name, func in _PROMISES.items() for case in func(record)
    ]


@promise("at-most-once")
def _at_most_once(record: Record) -> Iterator[str]:
    runs = record.runs_of()
    for ask in record.asks:
        if ask.kind == "book" and len(runs[ask.number]) > 1:
            places = [run.endpoint for run in runs[ask.number]]
            yield f"{ask.number} ran at {places}"


@promise("refusals-are-true")
def _refusals_are_true(record: Record) -> Iterator[str]:
    runs = record.runs_of()
    for ask in record.asks:
        refused = ask.status in PROMISES_NOT_RUN
        if ask.kind == "book" and refused and runs[ask.number]:
            yield f"{ask.number} got {ask.status} and ran"


@promise("answers-are-whole")
def _answers_are_whole(record: Record) -> Iterator[str]:
    runs = record.runs_of()
    for ask in record.asks:
        if ask.status != ANSWERED or not ask.whole:
            continue
        signed = ask.headers.get(SIGNATURE, "").removeprefix("signed-")
        if signed not in {run.endpoint for run in runs[ask.number]}:
            yield f"{ask.number} is signed by {signed!r}, which did not run it"
        if ask.headers.get("X-Attempt-Id") != ask.number:
            yield f"{ask.number} got the answer {ask.headers.get('X-Attempt-Id')!r}"
        if ask.kind != "plan" and ask.body != f"whole {ask.number}".encode():
            yield f"{ask.number} got {ask.body[:60]!r}"


@promise("streams-in-order")
def _streams_in_order(record: Record) -> Iterator[str]:
    for ask in record.asks:
        if ask.kind != "plan" or ask.status != ANSWERED:
            continue
        events = EVENT.findall(ask.body)
        numbers = [int(number) for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{ask.number} got events {numbers}"
        if any(text != ask.number.encode() for _, text in events):
            yield f"{ask.number} got events of another request"
        if ask.whole and len(numbers) != EVENTS:
            yield f"{ask.number} ended as complete after {len(numbers)} events"


@promise("only-what-was-asked")
def _only_what_was_asked(record: Record) -> Iterator[str]:
    asks = {ask.number: ask for ask in record.asks}
    for run in record.runs:
        ask = asks.get(run.number)
        if ask is None:
            yield f"{run.endpoint} ran {run.number!r}, which nobody sent"
        elif run.path != ask.path or run.body not in (None, ask.sent):
            yield f"{run.endpoint} ran {run.number} with another path or body"
        elif run.headers.get(CUSTOMER) != record.customer:
            yield f"{run.number} came for customer {run.headers.get(CUSTOMER)!r}"
        elif OUR_HEADERS & {name.lower() for name in run.headers}:
            yield f"{run.number} came with a header that is not to be passed on"


@promise("attempts-are-bounded")
def _attempts_are_bounded(record: Record) -> Iterator[str]:
    runs = record.runs_of()
    for ask in record.asks:
        places = {run.endpoint for run in runs[ask.number]}
        if len(places) > record.attempts_most.get(ask.kind, 1):
            yield f"{ask.number} ran at {sorted(places)}"


@promise("configuration-never-goes-back")
def _configuration_never_goes_back(record: Record) -> Iterator[str]:
    """Find routes that a process served once and did not know later."""
    served: dict[tuple[str, int, str], str] = {}
    for ask in record.asks:
        first, last = ask.starts
        if ask.kind not in ("check", "book", "plan", "step") or first != last:
            continue
        key = (ask.host, first, ask.path.rpartition("/")[0])
        if ask.status == ANSWERED:
            served.setdefault(key, ask.number)
        elif ask.status == 404 and key in served:
            yield f"{ask.number} is unknown to {ask.host}, which served {served[key]}"


@promise("known-routes-are-not-denied")
def _known_routes_are_not_denied(record: Record) -> Iterator[str]:
    for ask in record.asks:
        if ask.kind != "step" and ask.status in (400, 401, 403, 404):
            yield f"{ask.number} got {ask.status} from {ask.host}"


@promise("calm-is-served")
def _calm_is_served(record: Record) -> Iterator[str]:
    """Find what is not served once the last fault has ended."""
    for ask in record.asks:
        if ask.calm and not ask.left and (ask.status, ask.whole) != (ANSWERED, True):
            yield f"{ask.number} ({ask.kind}) got {ask.status} from {ask.host}"
