"""How busy endpoints are, as one host sees it.

A load report tells of all hosts' work, but late. A host knows its own work at once.
The estimate is what a report says others had, plus what is this host's now; and as
other hosts see the same reports, a change of its own since then is taken to be
theirs in part too.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from radishshift.circuit_breaker import CircuitBreaker
from radishshift.endpoints import Endpoint

__all__ = ["Candidate", "EndpointLoads", "LoadReport"]

HISTORY_STEP_S = 0.25
HISTORY_STEPS = 80
REPORT_OLD_S = 10.0
ECHO = 0.5
PEAK_DECAY_S = 5.0
PROBE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint said of its load.

    Attributes
    ----------
    measured_at : float
        Instant that it tells of.
    running, waiting : int
        Requests of all hosts.
    """

    measured_at: float
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint as one entry host sees it.

    Attributes
    ----------
    endpoint : Endpoint
    in_flight : int
        Attempts of this host that have not ended.
    expected_wait_s : float
        Estimate of the time to the first token, in seconds.
    load : float
        Estimate of all hosts' requests there, for each slot.
    cached : bool
        Whether it is thought to hold the prompt's prefix.
    """

    endpoint: Endpoint
    in_flight: int
    expected_wait_s: float
    load: float = 0.0
    cached: bool = False


@dataclass(slots=True)
class _Load:
    in_flight: int = 0
    wait_s: float = 0.0
    waited_at: float = 0.0
    began: deque[float] = field(default_factory=deque)
    report: LoadReport | None = None
    ejection: CircuitBreaker = field(default_factory=CircuitBreaker)
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY_STEPS)
    )

    def note(self, change: int, now: float) -> None:
        self.in_flight += change
        if self.history and now - self.history[-1][0] < HISTORY_STEP_S:
            self.history[-1] = (self.history[-1][0], self.in_flight)
        else:
            self.history.append((now, self.in_flight))

    def in_flight_at(self, instant: float) -> int:
        held = 0
        for since, count in self.history:
            if since > instant:
                return held
            held = count
        return held


class EndpointLoads:
    """View that one host has of how busy endpoints are."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self.host_count = 1

    def _load(self, endpoint: Endpoint) -> _Load:
        load = self._loads.get(endpoint.name)
        if load is None:
            load = _Load()
            self._loads[endpoint.name] = load
        return load

    def record_start(self, endpoint: Endpoint, now: float) -> None:
        """Note that an attempt was sent."""
        load = self._load(endpoint)
        load.note(1, now)
        load.began.append(now)
        load.ejection.record_attempt(now)

    def record_first_token(self, endpoint: Endpoint, wait_s: float, now: float) -> None:
        """Note how long an attempt waited for its first token, in seconds.

        A rise counts at once, a fall over some seconds.
        """
        load = self._load(endpoint)
        if load.began:
            load.began.popleft()
        elapsed_s = max(0.0, now - load.waited_at)
        keep = max(0.0, 1.0 - elapsed_s / PEAK_DECAY_S) ** 2
        load.wait_s = max(wait_s, wait_s + (load.wait_s - wait_s) * keep)
        load.waited_at = now

    def record_end(self, endpoint: Endpoint, now: float, ok: bool = True) -> None:
        """Note that an attempt has ended, and whether the endpoint did its part."""
        load = self._load(endpoint)
        load.note(-1, now)
        if load.in_flight < len(load.began):
            load.began.popleft()
        load.ejection.record_outcome(ok, now)

    def record_report(self, name: str, report: LoadReport) -> None:
        """Take a load report; an older one than held does nothing."""
        load = self._loads.setdefault(name, _Load())
        if load.report is None or report.measured_at > load.report.measured_at:
            load.report = report

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget endpoints that are no longer listed and have no attempt."""
        listed = set(names)
        for name, load in list(self._loads.items()):
            if name not in listed and not load.in_flight:
                del self._loads[name]

    def candidates(
        self,
        endpoints: Iterable[Endpoint],
        now: float,
        cached: frozenset[str] = frozenset(),
    ) -> Iterator[Candidate]:
        """Yield endpoints with what is known of their load.

        One that failed again and again is left out until it is time to probe it,
        unless most are: then the fault is likely not theirs.
        """
        known = list(endpoints)
        taking = [
            endpoint
            for endpoint in known
            if self._load(endpoint).ejection.allows_attempt(now)
        ]
        if 2 * len(taking) < len(known):
            taking = known
        for endpoint in taking:
            load = self._load(endpoint)
            yield Candidate(
                endpoint,
                load.in_flight,
                self._wait_s(load, now),
                self._requests(load, now) / endpoint.slots,
                endpoint.name in cached,
            )

    def _wait_s(self, load: _Load, now: float) -> float:
        """Return the expected wait; what still waits counts as it grows."""
        age_s = now - load.waited_at
        held_s = load.wait_s if age_s < PROBE_AFTER_S else 0.0
        if load.wait_s and PROBE_AFTER_S <= age_s < PEAK_DECAY_S + PROBE_AFTER_S:
            held_s = load.wait_s * (1 - (age_s - PROBE_AFTER_S) / PEAK_DECAY_S)
        oldest_s = now - load.began[0] if load.began else 0.0
        return max(held_s, oldest_s)

    def _requests(self, load: _Load, now: float) -> float:
        report = load.report
        if report is None or now - report.measured_at > REPORT_OLD_S:
            return float(load.in_flight * self.host_count)
        own_then = load.in_flight_at(report.measured_at)
        others = max(0, report.running + report.waiting - own_then)
        echo = ECHO * (self.host_count - 1) * (load.in_flight - own_then)
        return max(float(load.in_flight), load.in_flight + others + echo)
