"""Pauses that endpoints ask of this host as they refuse its requests.

Load pattern: an endpoint that is full refuses what it gets, and each refusal costs it
and the host some time. While it pauses, its requests go to the endpoints left, or are
refused with the time at which the first pause ends.
"""

from collections.abc import Set

from radishshift.decisions.endpoint_limits import Incarnation

__all__ = ["EndpointPauses"]

# An endpoint that asks for longer is asked again by a single request after this time:
# it may have meant less, or have recovered.
MAX_PAUSE_S = 60.0


class EndpointPauses:
    """Until when each endpoint wants nothing from this host."""

    def __init__(self) -> None:
        self._until: dict[Incarnation, float] = {}

    def record(self, endpoint: Incarnation, pause_s: float, now: float) -> None:
        """Record a pause that an endpoint asks for; the one that ends last counts."""
        until = now + min(pause_s, MAX_PAUSE_S)
        self._until[endpoint] = max(until, self.until(endpoint))

    def until(self, endpoint: Incarnation) -> float:
        """Return the instant at which an endpoint's pause ends, 0 without one."""
        return self._until.get(endpoint, 0.0)

    def count(self, now: float) -> int:
        """Return how many endpoints pause."""
        return sum(until > now for until in self._until.values())

    def keep_only(self, endpoints: Set[Incarnation], now: float) -> None:
        """Forget the pauses of other endpoints, and those that have ended."""
        self._until = {
            endpoint: until
            for endpoint, until in self._until.items()
            if endpoint in endpoints and until > now
        }
