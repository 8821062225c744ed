"""Requests that brittle endpoints get at a time, from all hosts together.

Load pattern: a burst, or retries, fill the endpoints of a service while these let fewer
requests wait than usual, and one that refuses too many within a second falls over,
which leaves the others with more. Refusals from all hosts count, and each host sees
only its own, so the host that keeps an endpoint's permits bounds what is in flight
there. Until it would have heard of a refusal, what it has permitted may all be refused;
so it permits no more within that time than the endpoint may still refuse.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field

from radishshift.decisions.endpoint_limits import Incarnation

__all__ = ["BrittleBudgets", "valid_refusals_per_s"]

# In which a host has told the keeper of a refusal: the request's way and two messages.
REFUSAL_REPORT_S = 0.1
REFUSAL_WINDOW_S = 1.0
FULL_RETRY_S = 0.1  # after which to ask again for an endpoint that is full
# The bound of what is in flight grows by one in this time without a refusal.
GROWTH_INTERVAL_S = 2.0
MAX_REFUSALS_PER_S = 10_000  # a larger statement bounds nothing more


@dataclass(slots=True)
class _Budget:
    """What a keeper knows of one endpoint.

    Attributes
    ----------
    expiry : dict of str to float
        Instants at which the attempts in flight end at the latest, by permit.
    permitted_at : deque of float
        Instants of the latest permits.
    refused_at : deque of float
        Instants of the latest refusals.
    bound : float
        Attempts that may be in flight.
    changed_at : float
        Instant of the last change of `bound`.
    closed_until : float
        Instant until which nothing is permitted.
    """

    bound: float
    changed_at: float
    expiry: dict[str, float] = field(default_factory=dict)
    permitted_at: deque[float] = field(default_factory=deque)
    refused_at: deque[float] = field(default_factory=deque)
    closed_until: float = 0.0


class BrittleBudgets:
    """Budgets of the brittle endpoints for which one host decides."""

    def __init__(self) -> None:
        self._budgets: dict[Incarnation, _Budget] = {}

    def retry_s(
        self, endpoint: Incarnation, refusals_per_s: int, slots: int, now: float
    ) -> float:
        """Return 0 if a request may be sent now, else the time to wait in seconds.

        Parameters
        ----------
        endpoint : tuple
        refusals_per_s : int
            Requests that the endpoint may refuse within a second.
        slots : int
            Requests that it runs at a time.
        now : float
        """
        budget = self._refresh(endpoint, slots, now)
        if now < budget.closed_until:
            return budget.closed_until - now
        if len(budget.expiry) >= max(1, int(budget.bound)):
            return FULL_RETRY_S
        at_risk = len(budget.permitted_at) + len(budget.refused_at)
        if at_risk < max(1, refusals_per_s):
            return 0.0
        if budget.permitted_at:
            return budget.permitted_at[0] + REFUSAL_REPORT_S - now
        return budget.refused_at[0] + REFUSAL_WINDOW_S - now

    def acquire(
        self,
        endpoint: Incarnation,
        refusals_per_s: int,
        slots: int,
        permit: str,
        ends_at: float,
        now: float,
    ) -> float:
        """Permit an attempt that ends at an instant at the latest.

        Returns
        -------
        float
            0 if it is permitted, else the time after which to ask again, in seconds.
        """
        retry_s = self.retry_s(endpoint, refusals_per_s, slots, now)
        if retry_s:
            return retry_s
        budget = self._budgets[endpoint]
        budget.expiry[permit] = ends_at
        budget.permitted_at.append(now)
        return 0.0

    def end(
        self, endpoint: Incarnation, permit: str, refused: bool, now: float
    ) -> None:
        """Record the end of a permitted attempt."""
        budget = self._budgets.get(endpoint)
        if budget is None:
            return
        in_flight = len(budget.expiry)
        budget.expiry.pop(permit, None)
        if refused:
            budget.bound = max(1.0, min(budget.bound, in_flight) - 1)
            budget.changed_at = now
            budget.refused_at.append(now)

    def drop(self, endpoint: Incarnation) -> None:
        """Forget a budget that another host keeps now."""
        self._budgets.pop(endpoint, None)

    def keep_only(self, endpoints: Set[Incarnation]) -> None:
        """Forget the budgets of other endpoints."""
        for endpoint in self._budgets.keys() - endpoints:
            del self._budgets[endpoint]

    def _refresh(self, endpoint: Incarnation, slots: int, now: float) -> _Budget:
        """Return a budget as it is now; a new one is closed at first.

        Another host may have kept it before, and have permitted attempts.
        """
        budget = self._budgets.get(endpoint)
        if budget is None:
            budget = _Budget(float(slots), now, closed_until=now + REFUSAL_REPORT_S)
            self._budgets[endpoint] = budget
        for permit, ends_at in list(budget.expiry.items()):
            if ends_at <= now:
                del budget.expiry[permit]
        _drop_until(budget.permitted_at, now - REFUSAL_REPORT_S)
        _drop_until(budget.refused_at, now - REFUSAL_WINDOW_S)
        grown = (now - budget.changed_at) // GROWTH_INTERVAL_S
        if grown > 0:
            budget.bound = min(float(slots), budget.bound + grown)
            budget.changed_at += grown * GROWTH_INTERVAL_S
        return budget


def _drop_until(instants: deque[float], until: float) -> None:
    while instants and instants[0] <= until:
        instants.popleft()


def valid_refusals_per_s(text: str) -> int | None:
    """Return the refusals within a second that a text states, or None."""
    if not (text.isascii() and text.isdigit()):
        return None
    # The length of the text has no bound.
    if len(text.lstrip("0")) > len(str(MAX_REFUSALS_PER_S)):
        return MAX_REFUSALS_PER_S
    return min(int(text), MAX_REFUSALS_PER_S)
