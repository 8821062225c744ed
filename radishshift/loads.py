"""One host's estimate of the load of endpoints.

A load report covers the requests of all hosts but arrives late, while a host knows its
own requests at once. The estimate is the load of the other hosts at the time of the
report plus this host's present load. Other hosts see the same reports and react alike,
so a part of this host's change since the report is assumed for each of them too.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from radishshift.circuit_breaker import CircuitBreaker
from radishshift.endpoints import Endpoint

__all__ = ["Candidate", "EndpointLoads", "LoadReport"]

HISTORY_RESOLUTION_S = 0.25
HISTORY_LENGTH = 80
REPORT_EXPIRY_S = 10.0
# Part of this host's change of load since a report that each other host is assumed to
# have made too.
PEER_REACTION_SHARE = 0.5
WAIT_DECAY_S = 5.0
WAIT_KEEP_S = 2.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an endpoint.

    Attributes
    ----------
    measured_at : float
        Time to which the figures apply.
    running, waiting : int
        Running and queued requests of all hosts.
    """

    measured_at: float
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with its load as estimated by one entry host.

    Attributes
    ----------
    endpoint : Endpoint
    in_flight : int
        Unfinished attempts of this host.
    expected_wait_s : float
        Expected time to the first token.
    load : float
        Estimated requests of all hosts there, per slot.
    cached : bool
        Whether it is believed to have the prompt's prefix cached.
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
    wait_recorded_at: float = 0.0
    waiting_since: deque[float] = field(default_factory=deque)
    report: LoadReport | None = None
    circuit_breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY_LENGTH)
    )

    def add_in_flight(self, change: int, now: float) -> None:
        self.in_flight += change
        if self.history and now - self.history[-1][0] < HISTORY_RESOLUTION_S:
            self.history[-1] = (self.history[-1][0], self.in_flight)
        else:
            self.history.append((now, self.in_flight))

    def in_flight_at(self, instant: float) -> int:
        count_then = 0
        for recorded_at, count in self.history:
            if recorded_at > instant:
                return count_then
            count_then = count
        return count_then


class EndpointLoads:
    """Tracks the load of endpoints as one host sees it."""

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
        """Record that an attempt was sent."""
        load = self._load(endpoint)
        load.add_in_flight(1, now)
        load.waiting_since.append(now)
        load.circuit_breaker.record_attempt(now)

    def record_first_token(self, endpoint: Endpoint, wait_s: float, now: float) -> None:
        """Record an attempt's time to the first token.

        An increase takes effect at once, a decrease over some seconds.
        """
        load = self._load(endpoint)
        if load.waiting_since:
            load.waiting_since.popleft()
        elapsed_s = max(0.0, now - load.wait_recorded_at)
        decay = max(0.0, 1.0 - elapsed_s / WAIT_DECAY_S) ** 2
        load.wait_s = max(wait_s, wait_s + (load.wait_s - wait_s) * decay)
        load.wait_recorded_at = now

    def record_end(
        self, endpoint: Endpoint, now: float, ok: bool | None = True
    ) -> None:
        """Record the end of an attempt.

        Parameters
        ----------
        ok : bool or None
            False if the endpoint is at fault, None if the attempt was ended before that
            was known, as at its deadline.
        """
        load = self._load(endpoint)
        load.add_in_flight(-1, now)
        if load.in_flight < len(load.waiting_since):
            load.waiting_since.popleft()
        if ok is not None:
            load.circuit_breaker.record_outcome(ok, now)

    def record_report(self, name: str, report: LoadReport) -> None:
        """Record a load report if it is newer than the current one."""
        load = self._loads.setdefault(name, _Load())
        if load.report is None or report.measured_at > load.report.measured_at:
            load.report = report

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop endpoints that are no longer listed and have no attempts in flight."""
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
        """Yield endpoints with their estimated load.

        Endpoints whose circuit breaker is open are left out until it is time to probe
        them, unless that would leave out most: then the fault is probably not theirs.
        """
        known = list(endpoints)
        admitted = [
            endpoint
            for endpoint in known
            if self._load(endpoint).circuit_breaker.allows_attempt(now)
        ]
        if 2 * len(admitted) < len(known):
            admitted = known
        for endpoint in admitted:
            load = self._load(endpoint)
            yield Candidate(
                endpoint,
                load.in_flight,
                self._wait_s(load, now),
                self._requests(load, now) / endpoint.slots,
                endpoint.name in cached,
            )

    def _wait_s(self, load: _Load, now: float) -> float:
        """Return the expected time to the first token.

        A recorded time expires, so that a slow endpoint is tried again. The present
        wait of the oldest attempt without a token counts while it grows.
        """
        age_s = now - load.wait_recorded_at
        recorded_s = load.wait_s if age_s < WAIT_KEEP_S else 0.0
        if load.wait_s and WAIT_KEEP_S <= age_s < WAIT_DECAY_S + WAIT_KEEP_S:
            recorded_s = load.wait_s * (1 - (age_s - WAIT_KEEP_S) / WAIT_DECAY_S)
        oldest_s = now - load.waiting_since[0] if load.waiting_since else 0.0
        return max(recorded_s, oldest_s)

    def _requests(self, load: _Load, now: float) -> float:
        report = load.report
        if report is None or now - report.measured_at > REPORT_EXPIRY_S:
            return float(load.in_flight * self.host_count)
        in_flight_then = load.in_flight_at(report.measured_at)
        others = max(0, report.running + report.waiting - in_flight_then)
        peer_change = (
            PEER_REACTION_SHARE
            * (self.host_count - 1)
            * (load.in_flight - in_flight_then)
        )
        return max(float(load.in_flight), load.in_flight + others + peer_change)
