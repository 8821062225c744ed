"""Endpoints that are cold after a start, and for how long.

Load pattern: a data centre that was away, or emptied, comes back with all its endpoints
idle. Hundreds of hosts would choose these at once, while each of them bears only a few
requests a second until it is warm and falls over at more.
"""

from collections.abc import Iterable, Set

from radishshift.decisions.endpoint_limits import Incarnation

__all__ = ["MAX_COLD_S", "ColdEndpoints"]

# A statement is believed for this long at most; endpoints repeat it every second or so.
MAX_COLD_S = 60.0


class ColdEndpoints:
    """Until when each endpoint is taken to be cold.

    An endpoint says so in its registration, of which the latest counts. A registration
    may have been written before the endpoint became cold, so it does not end what is
    assumed for another reason.
    """

    def __init__(self) -> None:
        self._registered_until: dict[Incarnation, float] = {}
        self._assumed_until: dict[Incarnation, float] = {}

    def record_registration(
        self, endpoint: Incarnation, left_s: float, now: float
    ) -> None:
        """Replace what an endpoint's registration says.

        Parameters
        ----------
        endpoint : tuple
            Name and start of the endpoint.
        left_s : float
            How long it stays cold; counted from now, as the age of the registration is
            not known.
        now : float
        """
        if left_s > 0:
            self._registered_until[endpoint] = now + min(left_s, MAX_COLD_S)
        else:
            self._registered_until.pop(endpoint, None)

    def assume(
        self, endpoints: Iterable[Incarnation], left_s: float, now: float
    ) -> None:
        """Take endpoints to be cold for at least a time, whatever they register."""
        until = now + min(left_s, MAX_COLD_S)
        for endpoint in endpoints:
            known = self._assumed_until.get(endpoint, 0.0)
            self._assumed_until[endpoint] = max(known, until)

    def until(self, endpoint: Incarnation) -> float:
        """Return the instant from which an endpoint is warm, 0 if it was never cold."""
        return max(
            self._registered_until.get(endpoint, 0.0),
            self._assumed_until.get(endpoint, 0.0),
        )

    def cold(self, now: float) -> list[Incarnation]:
        """Return the endpoints that are cold."""
        known = self._registered_until.keys() | self._assumed_until.keys()
        return [endpoint for endpoint in known if self.until(endpoint) > now]

    def keep_only(self, endpoints: Set[Incarnation]) -> None:
        """Forget other endpoints."""
        for instants in (self._registered_until, self._assumed_until):
            for endpoint in instants.keys() - endpoints:
                del instants[endpoint]
