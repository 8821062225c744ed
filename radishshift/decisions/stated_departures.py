"""Departures that endpoints state in their answers.

Load pattern: an endpoint leaves while the platform's store is away, or before its list
shows it, and hundreds of hosts go on sending to it. One answer is enough for all hosts:
each report is kept until the endpoint is gone, and none takes it back.
"""

from collections.abc import Iterable, Set

import msgspec

from radishshift.decisions.endpoint_limits import Incarnation

__all__ = ["DepartureReport", "StatedDepartures"]

RETENTION_S = 60.0  # since the statement, of an endpoint that is no longer listed
REPORT_TIME_S = 10.0  # since the statement; by then all hosts have heard of it
MAX_DEPARTURES_REPORTED = 32


class DepartureReport(msgspec.Struct, array_like=True):
    """An endpoint that leaves, as hosts report it to each other.

    Attributes
    ----------
    endpoint : str
    born_ms : int
        Start of the endpoint, milliseconds since the epoch.
    age_s : float
        Time since its first answer that said so, in seconds.
    """

    endpoint: str
    born_ms: int
    age_s: float


class StatedDepartures:
    """Endpoints that have said that they leave, with the instant of the statement."""

    def __init__(self) -> None:
        self._since: dict[Incarnation, float] = {}

    def since(self, endpoint: Incarnation) -> float | None:
        """Return when an endpoint first said that it leaves, or None."""
        return self._since.get(endpoint)

    def record(self, endpoint: Incarnation, at: float) -> bool:
        """Record a statement; return whether it is the first of its endpoint."""
        known = self._since.get(endpoint)
        self._since[endpoint] = at if known is None else min(known, at)
        return known is None

    def reports(self, now: float) -> list[DepartureReport]:
        """Return the latest statements, for this host's peers."""
        latest = sorted(self._since.items(), key=lambda item: item[1], reverse=True)
        return [
            DepartureReport(name, born_ms, round(now - at, 3))
            for (name, born_ms), at in latest[:MAX_DEPARTURES_REPORTED]
            if now - at <= REPORT_TIME_S
        ]

    def merge(self, reports: Iterable[DepartureReport], now: float) -> bool:
        """Merge what a peer knows; return whether it names an endpoint not known."""
        news = [
            self.record((report.endpoint, report.born_ms), now - report.age_s)
            for report in reports
        ]
        return any(news)

    def expire(self, listed: Set[Incarnation], now: float) -> None:
        """Forget endpoints that are no longer listed."""
        self._since = {
            endpoint: at
            for endpoint, at in self._since.items()
            if endpoint in listed or now - at < RETENTION_S
        }
