"""Limits of customers on requests, tokens and concurrency."""

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
BURST_LEAST = 8.0
BURST_MOST_S = 2.0
RETRY_AFTER_MAX_S = 10.0
IDLE_S = 60.0
FACTOR_MAX = 4.0


@dataclass(slots=True)
class _Bucket:
    """Tokens of a rate; what is taken may exceed the level and is paid off."""

    level: float = 0.0
    filled_at: float = 0.0

    def fill(self, rate: float, unit: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.filled_at)
        most = max(rate * BURST_S, min(BURST_LEAST * unit, rate * BURST_MOST_S), 1e-9)
        self.level = min(most, self.level + elapsed_s * rate)
        self.filled_at = now

    def retry_after_s(self, rate: float) -> float:
        if rate <= 0:
            return RETRY_AFTER_MAX_S
        return min(max(-self.level / rate, 0.05), RETRY_AFTER_MAX_S)


@dataclass(slots=True)
class _Rate:
    """Amount a second, smoothed over some seconds."""

    over_s: float
    at: float
    value: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.value = self.now(now) + amount / self.over_s
        self.at = max(now, self.at)

    def now(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / self.over_s)


class _Wanted:
    """What a customer asks for, smoothed over some seconds."""

    def __init__(self, over_s: float, now: float) -> None:
        self._over_s = over_s
        self._requests = _Rate(over_s, now)
        self._tokens = _Rate(over_s, now)
        self._granted = _Rate(over_s, now)
        self._running = 0.0
        self._running_at = now

    def add(self, tokens: float, running: int, now: float) -> None:
        self._requests.add(1.0, now)
        self._tokens.add(tokens, now)
        self._run(running, now)

    def grant(self, now: float) -> None:
        self._granted.add(1.0, now)

    def demand(self, running: int, now: float) -> Demand:
        self._run(running, now)
        requests = self._requests.now(now)
        granted = self._granted.now(now)
        # As many would run if none were refused and each took as long.
        factor = min(requests / granted, FACTOR_MAX) if granted > 0 else FACTOR_MAX
        would_run = max(self._running * max(1.0, factor), min(requests, 1.0))
        return Demand(requests, self._tokens.now(now), would_run)

    def _run(self, running: int, now: float) -> None:
        elapsed_s = max(0.0, now - self._running_at)
        keep = math.exp(-elapsed_s / self._over_s)
        self._running = keep * self._running + (1 - keep) * running
        self._running_at = max(now, self._running_at)


@dataclass(slots=True)
class _Use:
    requests: _Bucket
    tokens: _Bucket
    wanted: tuple[_Wanted, _Wanted]
    running: int = 0
    used_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """What was taken from a customer's limits for one request."""

    customer: str
    tokens: int


class Limiter:
    """Keeps customers within their limits.

    Parameters
    ----------
    shares : LimitShares, optional
        Says what part of each limit this host holds; without it, the whole.
    """

    def __init__(self, shares: LimitShares | None = None) -> None:
        self._shares = shares
        self._uses: dict[str, _Use] = {}

    def acquire(self, contract: Contract, tokens: int, now: float) -> Grant:
        """Take a request and its estimated tokens from a customer's limits.

        Raises
        ------
        LimitError
        """
        use = self._use(contract.customer, now)
        for wanted in use.wanted:
            wanted.add(tokens, use.running, now)
        requests_per_s, tokens_per_s, concurrency = self._allowed(contract)
        use.requests.fill(requests_per_s, 1.0, now)
        use.tokens.fill(tokens_per_s, tokens, now)
        if use.running >= _whole(concurrency):
            raise LimitError("too many requests at once", retry_after_s=1.0)
        for bucket, rate, what in (
            (use.requests, requests_per_s, "requests"),
            (use.tokens, tokens_per_s, "tokens"),
        ):
            if rate < UNLIMITED and (rate <= 0 or bucket.level <= 0):
                after_s = bucket.retry_after_s(rate)
                raise LimitError(f"too many {what} a second", retry_after_s=after_s)
        use.requests.level -= 1
        use.tokens.level -= tokens
        use.running += 1
        for wanted in use.wanted:
            wanted.grant(now)
        return Grant(contract.customer, tokens)

    def settle(self, grant: Grant, tokens: int) -> None:
        """Give back what a request did not use, or take what it used more."""
        use = self._uses[grant.customer]
        use.running -= 1
        use.tokens.level += grant.tokens - tokens

    def demands(self, now: float) -> dict[str, Demand]:
        """Return what each customer asks for here; forget those long idle."""
        for customer, use in list(self._uses.items()):
            if not use.running and now - use.used_at > IDLE_S:
                del self._uses[customer]
        return self._demands(0, now)

    def recent_demands(self, now: float) -> dict[str, Demand]:
        """Return the same over fewer seconds."""
        return self._demands(1, now)

    def _demands(self, which: int, now: float) -> dict[str, Demand]:
        return {
            customer: use.wanted[which].demand(use.running, now)
            for customer, use in self._uses.items()
        }

    def _use(self, customer: str, now: float) -> _Use:
        use = self._uses.get(customer)
        if use is None:
            # A host that meets a customer anew holds no burst for it, or many
            # hosts at once would grant far more than the limit.
            buckets = (_Bucket(1e-9, now), _Bucket(1e-9, now))
            wanted = (_Wanted(DEMAND_WINDOW_S, now), _Wanted(RECENT_WINDOW_S, now))
            use = _Use(*buckets, wanted)
            self._uses[customer] = use
        use.used_at = now
        return use

    def _allowed(self, contract: Contract) -> tuple[float, float, float]:
        limits = contract.limits
        whole = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
        if self._shares is None:
            return whole
        held = self._shares.allowance(contract.customer, limits)
        parts = (held.requests_per_s, held.tokens_per_s, held.concurrency)
        return tuple(
            limit if limit >= UNLIMITED else part
            for limit, part in zip(whole, parts, strict=True)
        )


def _whole(concurrency: float) -> int:
    """Return how many may run; a small part still lets one through."""
    return max(1, int(concurrency)) if concurrency > 0 else 0
