"""Rate and concurrency limits of customers."""

import math
from dataclasses import dataclass

from radishshift.contracts import Contract
from radishshift.errors import LimitError
from radishshift.limit_shares import (
    DEMAND_WINDOW_S,
    RECENT_WINDOW_S,
    UNLIMITED,
    Demand,
    LimitShares,
)

__all__ = ["Grant", "Limiter"]

BURST_S = 0.2
BURST_MIN_UNITS = 8.0
BURST_MAX_S = 2.0
RETRY_AFTER_MAX_S = 10.0
CUSTOMER_IDLE_S = 60.0
REFUSED_DEMAND_FACTOR_MAX = 4.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket whose level may go negative.

    Usage is known only after a request, so it may exceed the level; the debt is
    repaid by refilling before the next request is granted.
    """

    level: float = 0.0
    filled_at: float = 0.0

    def fill(self, rate: float, unit: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.filled_at)
        capacity = max(
            rate * BURST_S, min(BURST_MIN_UNITS * unit, rate * BURST_MAX_S), 1e-9
        )
        self.level = min(capacity, self.level + elapsed_s * rate)
        self.filled_at = now

    def retry_after_s(self, rate: float) -> float:
        if rate <= 0:
            return RETRY_AFTER_MAX_S
        return min(max(-self.level / rate, 0.05), RETRY_AFTER_MAX_S)


@dataclass(slots=True)
class _AverageRate:
    """Exponentially decaying average of an amount per second."""

    window_s: float
    updated_at: float
    value: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.value = self.now(now) + amount / self.window_s
        self.updated_at = max(now, self.updated_at)

    def now(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.updated_at) / self.window_s)


class _DemandEstimate:
    """Moving averages of what a customer requests, granted or not."""

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._requests = _AverageRate(window_s, now)
        self._tokens = _AverageRate(window_s, now)
        self._granted = _AverageRate(window_s, now)
        self._running = 0.0
        self._running_at = now

    def record_request(self, tokens: float, running: int, now: float) -> None:
        self._requests.add(1.0, now)
        self._tokens.add(tokens, now)
        self._update_running(running, now)

    def record_grant(self, now: float) -> None:
        self._granted.add(1.0, now)

    def demand(self, running: int, now: float) -> Demand:
        self._update_running(running, now)
        requests = self._requests.now(now)
        granted = self._granted.now(now)
        # Estimates how many would run if none were refused, at the same duration.
        factor = (
            min(requests / granted, REFUSED_DEMAND_FACTOR_MAX)
            if granted > 0
            else REFUSED_DEMAND_FACTOR_MAX
        )
        expected_running = max(self._running * max(1.0, factor), min(requests, 1.0))
        return Demand(requests, self._tokens.now(now), expected_running)

    def _update_running(self, running: int, now: float) -> None:
        elapsed_s = max(0.0, now - self._running_at)
        decay = math.exp(-elapsed_s / self._window_s)
        self._running = decay * self._running + (1 - decay) * running
        self._running_at = max(now, self._running_at)


@dataclass(slots=True)
class _Usage:
    requests: _Bucket
    tokens: _Bucket
    estimates: tuple[_DemandEstimate, _DemandEstimate]
    running: int = 0
    used_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """Amounts reserved from a customer's limits for one request."""

    customer: str
    tokens: int


class Limiter:
    """Enforces the limits of customers at this host.

    Parameters
    ----------
    shares : LimitShares, optional
        Gives this host's part of each limit; without it the host has the whole limit.
    """

    def __init__(self, shares: LimitShares | None = None) -> None:
        self._shares = shares
        self._usages: dict[str, _Usage] = {}

    def acquire(self, contract: Contract, tokens: int, now: float) -> Grant:
        """Reserve a request and its estimated tokens from a customer's limits.

        Raises
        ------
        LimitError
            A limit is exhausted; the error says when to retry.
        """
        usage = self._usage(contract.customer, now)
        for estimate in usage.estimates:
            estimate.record_request(tokens, usage.running, now)
        requests_per_s, tokens_per_s, concurrency = self._allowed(contract)
        usage.requests.fill(requests_per_s, 1.0, now)
        usage.tokens.fill(tokens_per_s, tokens, now)
        if usage.running >= _max_running(concurrency):
            raise LimitError("too many concurrent requests", retry_after_s=1.0)
        for bucket, rate, limit_name in (
            (usage.requests, requests_per_s, "requests"),
            (usage.tokens, tokens_per_s, "tokens"),
        ):
            if rate < UNLIMITED and (rate <= 0 or bucket.level <= 0):
                after_s = bucket.retry_after_s(rate)
                raise LimitError(
                    f"too many {limit_name} per second", retry_after_s=after_s
                )
        usage.requests.level -= 1
        usage.tokens.level -= tokens
        usage.running += 1
        for estimate in usage.estimates:
            estimate.record_grant(now)
        return Grant(contract.customer, tokens)

    def settle(self, grant: Grant, tokens: int) -> None:
        """Release a grant and correct its token estimate to the tokens used."""
        usage = self._usages[grant.customer]
        usage.running -= 1
        usage.tokens.level += grant.tokens - tokens

    def demands(self, now: float) -> dict[str, Demand]:
        """Return the demand of each customer at this host; drop idle customers."""
        for customer, usage in list(self._usages.items()):
            if not usage.running and now - usage.used_at > CUSTOMER_IDLE_S:
                del self._usages[customer]
        return self._demands(0, now)

    def recent_demands(self, now: float) -> dict[str, Demand]:
        """Return the demand of each customer averaged over a shorter window."""
        return self._demands(1, now)

    def _demands(self, window_index: int, now: float) -> dict[str, Demand]:
        return {
            customer: usage.estimates[window_index].demand(usage.running, now)
            for customer, usage in self._usages.items()
        }

    def _usage(self, customer: str, now: float) -> _Usage:
        usage = self._usages.get(customer)
        if usage is None:
            # The buckets of a new customer start empty. With a full burst at each
            # host, many hosts at once would grant far more than the limit.
            buckets = (_Bucket(1e-9, now), _Bucket(1e-9, now))
            estimates = (
                _DemandEstimate(DEMAND_WINDOW_S, now),
                _DemandEstimate(RECENT_WINDOW_S, now),
            )
            usage = _Usage(*buckets, estimates)
            self._usages[customer] = usage
        usage.used_at = now
        return usage

    def _allowed(self, contract: Contract) -> tuple[float, float, float]:
        limits = contract.limits
        full = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
        if self._shares is None:
            return full
        host_limits = self._shares.allowance(contract.customer, limits)
        parts = (
            host_limits.requests_per_s,
            host_limits.tokens_per_s,
            host_limits.concurrency,
        )
        return tuple(
            limit if limit >= UNLIMITED else part
            for limit, part in zip(full, parts, strict=True)
        )


def _max_running(concurrency: float) -> int:
    """Return how many may run at once; a positive limit allows at least one."""
    return max(1, int(concurrency)) if concurrency > 0 else 0
