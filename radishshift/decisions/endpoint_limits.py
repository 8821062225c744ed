"""Limits that endpoints in need set on the requests of all hosts together.

Load pattern: an endpoint in need takes a few requests a second from all hosts, six or
hundreds of them. As it gets little, it looks idle to each of them. Equal shares of its
limit would allow a host of a large fleet one request in minutes, so one host keeps the
whole budget of an endpoint, and the others ask that host before each attempt.
"""

import math
from collections.abc import Iterable, Set
from dataclasses import dataclass

import msgspec

__all__ = [
    "EndpointLimits",
    "Incarnation",
    "LimitReport",
    "RequestBudgets",
    "valid_limit",
]

Incarnation = tuple[str, int]  # name and start of an endpoint, see `Member`

# A limit that ended is remembered until no host reports an older statement of it.
ENDED_RETENTION_S = 30.0
# Older statements are not passed on: their endpoints are gone, or get no requests.
REPORT_TIME_S = 30.0
MAX_LIMITS_REPORTED = 32
# An unused budget grows to what is allowed within this time, or to this many requests.
BURST_S = 0.5
MIN_BURST = 3.0
# Budget of an endpoint that takes fewer requests or none; their answers tell when it
# takes more.
MIN_PER_S = 0.1
MAX_RETRY_S = 2.0  # after which a host that was refused a request asks again


class LimitReport(msgspec.Struct, array_like=True):
    """An endpoint's latest statement on its limit, as hosts report it to each other.

    Attributes
    ----------
    endpoint : str
    born_ms : int
        Start of the endpoint, milliseconds since the epoch.
    per_s : float or None
        Requests per second; None if it no longer states a limit.
    age_s : float
        Time since the answer with the statement, in seconds.
    refusals_per_s : int or None
        Requests that it may refuse within a second without falling over; None if it
        does not say that it is brittle.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    age_s: float
    refusals_per_s: int | None = None


@dataclass(frozen=True, slots=True)
class _Statement:
    per_s: float | None
    at: float
    refusals_per_s: int | None = None

    @property
    def empty(self) -> bool:
        return self.per_s is None and self.refusals_per_s is None


class EndpointLimits:
    """The latest limits that each endpoint has stated to any host."""

    def __init__(self) -> None:
        self._statements: dict[Incarnation, _Statement] = {}

    def per_s(self, endpoint: Incarnation) -> float | None:
        """Return the limit of an endpoint, in requests per second; None without one."""
        statement = self._statements.get(endpoint)
        return None if statement is None else statement.per_s

    def refusals_per_s(self, endpoint: Incarnation) -> int | None:
        """Return how many requests a brittle endpoint may refuse within a second.

        None for one that is not brittle.
        """
        statement = self._statements.get(endpoint)
        return None if statement is None else statement.refusals_per_s

    def stated(self, endpoint: Incarnation) -> bool:
        """Return whether an endpoint has a limit or is brittle."""
        statement = self._statements.get(endpoint)
        return statement is not None and not statement.empty

    def count(self) -> int:
        """Return how many endpoints have a limit or are brittle."""
        return sum(not statement.empty for statement in self._statements.values())

    def record(
        self,
        endpoint: Incarnation,
        per_s: float | None,
        at: float,
        refusals_per_s: int | None = None,
    ) -> bool:
        """Record what an answer received `at` states; return whether that is a change.

        An answer without a limit ends the one that was stated before, and so for the
        refusals of a brittle endpoint.
        """
        known = self._statements.get(endpoint)
        statement = _Statement(per_s, at, refusals_per_s)
        if known is None and statement.empty:
            return False
        if known is not None and known.at >= at:
            return False
        self._statements[endpoint] = statement
        return known is None or (known.per_s, known.refusals_per_s) != (
            per_s,
            refusals_per_s,
        )

    def reports(self, now: float) -> list[LimitReport]:
        """Return the latest statements, for this host's peers."""
        latest = sorted(
            self._statements.items(), key=lambda item: item[1].at, reverse=True
        )
        return [
            LimitReport(
                name,
                born_ms,
                statement.per_s,
                round(now - statement.at, 3),
                statement.refusals_per_s,
            )
            for (name, born_ms), statement in latest[:MAX_LIMITS_REPORTED]
            if now - statement.at <= REPORT_TIME_S
        ]

    def merge(self, reports: Iterable[LimitReport], now: float) -> list[LimitReport]:
        """Merge what a peer knows; return the reports that changed a limit."""
        return [
            report
            for report in reports
            if self.record(
                (report.endpoint, report.born_ms),
                report.per_s,
                now - report.age_s,
                report.refusals_per_s,
            )
        ]

    def keep_only(self, endpoints: Set[Incarnation], now: float) -> None:
        """Drop the limits of other endpoints, and those that ended long ago."""
        self._statements = {
            endpoint: statement
            for endpoint, statement in self._statements.items()
            if endpoint in endpoints
            and (not statement.empty or now - statement.at < ENDED_RETENTION_S)
        }


@dataclass(slots=True)
class _Budget:
    """Token bucket; it starts empty, as another host may have spent a budget before."""

    refilled_at: float
    tokens: float = 0.0
    refused_since_grant: int = 0


class RequestBudgets:
    """Budgets of the limited endpoints for which one host decides."""

    def __init__(self) -> None:
        self._budgets: dict[Incarnation, _Budget] = {}

    def available(self, endpoint: Incarnation, per_s: float, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._refill(endpoint, per_s, now).tokens >= 1

    def acquire(self, endpoint: Incarnation, per_s: float, now: float) -> float:
        """Spend one request of an endpoint's budget.

        Parameters
        ----------
        endpoint : tuple
        per_s : float
            Limit of the endpoint.

        Returns
        -------
        float
            0 if the request may be sent, else the time after which to ask again, in
            seconds; the more have asked in vain, the longer.
        """
        budget = self._refill(endpoint, per_s, now)
        if budget.tokens >= 1:
            budget.tokens -= 1
            budget.refused_since_grant = 0
            return 0.0
        budget.refused_since_grant += 1
        missing = budget.refused_since_grant - budget.tokens
        return min(MAX_RETRY_S, missing / max(per_s, MIN_PER_S))

    def drop(self, endpoint: Incarnation) -> None:
        """Forget a budget that another host keeps now."""
        self._budgets.pop(endpoint, None)

    def keep_only(self, endpoints: Set[Incarnation]) -> None:
        """Forget the budgets of other endpoints."""
        for endpoint in self._budgets.keys() - endpoints:
            del self._budgets[endpoint]

    def _refill(self, endpoint: Incarnation, per_s: float, now: float) -> _Budget:
        budget = self._budgets.setdefault(endpoint, _Budget(now))
        per_s = max(per_s, MIN_PER_S)
        refilled = budget.tokens + (now - budget.refilled_at) * per_s
        budget.tokens = min(refilled, max(MIN_BURST, BURST_S * per_s))
        budget.refilled_at = now
        return budget


def valid_limit(per_s: float) -> bool:
    """Return whether a number can be a limit of requests per second."""
    return math.isfinite(per_s) and per_s >= 0
