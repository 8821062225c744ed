"""Which services a host reaches, and which peer helps where it reaches none.

Load pattern: a host, or all hosts of a data centre, lose the way to a service's
endpoints for seconds, while callers and peers still reach them. One endpoint that
crashes or falls silent for a second must not look like that, and hosts that are cut off
together must not all choose the same peer.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

__all__ = ["HelperState", "ReachTracker", "choose_helper"]

# Endpoints that must have failed since the last answer, if the service has as many.
LOST_SAMPLE = 6
MIN_LOST_FAILURES = 2
# A service that answered less than this time ago is reached, whichever endpoint fails.
RECENT_ANSWER_S = 1.0
REGAIN_ANSWERS = 2
# A service that is lost again within this time after it was regained needs twice as
# many answers the next time.
FLAP_WINDOW_S = 5.0
MAX_REGAIN_ANSWERS = 8
# Costs of a helper, in relayed attempts in flight.
REMOTE_HELPER_COST = 8.0
STALE_COST_PER_S = 4.0  # of the age of its last contact with the service
HELPER_JITTER = 2.0  # keeps hosts with the same reports from choosing alike


@dataclass(slots=True)
class _Service:
    answered_at: float = 0.0
    failed_at: dict[str, float] = field(default_factory=dict)
    failure_count: int = 0
    lost_at: float = 0.0  # 0 while it is reached
    regained_at: float = 0.0
    answers_required: int = REGAIN_ANSWERS
    answers: int = 0


class ReachTracker:
    """What a host's own attempts and connection probes say about each service.

    Answers to new attempts and opened connections count, not the bytes of streams that
    began before: these may live on while no new connection can be opened.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def _service(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def lost(self, service: str) -> bool:
        """Return whether none of a service's endpoints can be reached."""
        return self._service(service).lost_at > 0

    def lost_at(self, service: str) -> float:
        """Return the instant at which a service was lost, 0 while it is reached."""
        return self._service(service).lost_at

    def lost_services(self) -> list[str]:
        """Return the services that are lost."""
        return [name for name, state in self._services.items() if state.lost_at]

    def keep_only(self, services: Collection[str]) -> None:
        """Forget the services that have no endpoints any more."""
        self._services = {
            name: state for name, state in self._services.items() if name in services
        }

    def answered_at(self, service: str) -> float:
        """Return the instant of the last answer or opened connection, 0 for none."""
        return self._service(service).answered_at

    def answered_recently(self, service: str, now: float) -> bool:
        """Return whether some endpoint of a service was reached a moment ago."""
        return now - self._service(service).answered_at < RECENT_ANSWER_S

    def failed(self, service: str) -> Collection[str]:
        """Return the endpoints that failed since the last answer."""
        return self._service(service).failed_at.keys()

    def record_answer(self, service: str, now: float) -> bool:
        """Record an answer or an opened connection.

        Returns
        -------
        bool
            Whether the service is regained by it.
        """
        state = self._service(service)
        state.answered_at = now
        was_lost = state.lost_at > 0
        if was_lost:
            state.answers += 1
            if state.answers < state.answers_required:
                return False
            state.lost_at = 0.0
            state.regained_at = now
        state.failed_at.clear()
        state.failure_count = 0
        return was_lost

    def record_failure(
        self, service: str, endpoint: str, listed: Collection[str], now: float
    ) -> bool:
        """Record a connection that could not be opened.

        Parameters
        ----------
        service, endpoint : str
        listed : collection of str
            The endpoints of the service that are in use.
        now : float

        Returns
        -------
        bool
            Whether the service is lost by it.
        """
        state = self._service(service)
        state.failed_at[endpoint] = now
        state.failure_count += 1
        if state.lost_at:
            state.answers = 0
            return False
        failed = sum(name in state.failed_at for name in listed)
        required = min(len(listed), LOST_SAMPLE)
        if not required or failed < required or state.failure_count < MIN_LOST_FAILURES:
            return False
        flaps = state.regained_at and now - state.regained_at < FLAP_WINDOW_S
        state.answers_required = (
            min(2 * state.answers_required, MAX_REGAIN_ANSWERS)
            if flaps
            else REGAIN_ANSWERS
        )
        state.answers = 0
        state.lost_at = now
        return True

    def suspected(self, service: str, now: float) -> bool:
        """Return whether the other endpoints of a service should be probed."""
        state = self._service(service)
        return bool(state.failed_at) and (
            len(state.failed_at) >= 2 or not self.answered_recently(service, now)
        )

    def reached_ages_s(self, now: float) -> dict[str, float]:
        """Return the seconds since each service was reached, for peers.

        Services that are lost, or may be, are left out.
        """
        return {
            name: round(max(0.0, now - state.answered_at), 2)
            for name, state in self._services.items()
            if state.answered_at and not state.lost_at and not self.suspected(name, now)
        }


@dataclass(frozen=True, slots=True)
class HelperState:
    """A peer that says it reaches a service.

    Attributes
    ----------
    host, address, data_centre : str
    age_s : float
        Time since its last contact with the service, in seconds.
    relaying : int
        Attempts in flight that it relays for others, as far as known.
    """

    host: str
    address: str
    data_centre: str
    age_s: float
    relaying: int


def choose_helper(
    helpers: Iterable[HelperState], data_centre: str, rng: Random
) -> HelperState | None:
    """Return the peer to relay an attempt, or None if there is none.

    Parameters
    ----------
    helpers : iterable of HelperState
    data_centre : str
        Of this host; peers there are preferred.
    rng : Random
    """
    found: Sequence[HelperState] = list(helpers)
    if not found:
        return None
    return min(found, key=lambda helper: _helper_cost(helper, data_centre, rng))


def _helper_cost(helper: HelperState, data_centre: str, rng: Random) -> float:
    cost = helper.relaying + STALE_COST_PER_S * max(0.0, helper.age_s - RECENT_ANSWER_S)
    if helper.data_centre != data_centre:
        cost += REMOTE_HELPER_COST
    return cost + rng.uniform(0.0, HELPER_JITTER)
