"""Limits of customers on requests, tokens and concurrency."""

from dataclasses import dataclass

from radishshift.contracts import Contract
from radishshift.errors import LimitError

__all__ = ["Grant", "Limiter"]

BURST_S = 1.0


@dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: float

    def fill(self, rate: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.filled_at)
        self.level = min(rate * BURST_S, self.level + elapsed_s * rate)
        self.filled_at = max(self.filled_at, now)


@dataclass(slots=True)
class _Use:
    requests: _Bucket
    tokens: _Bucket
    running: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """What was taken from a customer's limits for one request."""

    customer: str
    tokens: int


class Limiter:
    """Keeps customers within their limits.

    Parameters
    ----------
    share : float
        Part of each limit that this host holds, from 0 to 1.
    """

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
        self._uses: dict[str, _Use] = {}

    def take(self, contract: Contract, tokens: int, now: float) -> Grant:
        """Take a request and its estimated tokens from a customer's limits.

        Raises
        ------
        LimitError
        """
        limits = contract.limits
        use = self._uses.get(contract.customer)
        if use is None:
            use = _Use(_Bucket(1e18, now), _Bucket(1e18, now))
            self._uses[contract.customer] = use
        use.requests.fill(max(1.0, limits.requests_per_s * self.share), now)
        use.tokens.fill(max(1.0, limits.tokens_per_s * self.share), now)
        if use.running >= max(1, limits.concurrency * self.share):
            raise LimitError("too many requests at once", retry_after_s=1.0)
        if use.requests.level < 1:
            raise LimitError("too many requests a second", retry_after_s=1.0)
        if use.tokens.level <= 0:
            raise LimitError("too many tokens a second", retry_after_s=1.0)
        use.requests.level -= 1
        use.tokens.level -= tokens
        use.running += 1
        return Grant(contract.customer, tokens)

    def settle(self, grant: Grant, tokens: int) -> None:
        """Give back what a request did not use, or take what it used more."""
        use = self._uses[grant.customer]
        use.running -= 1
        use.tokens.level += grant.tokens - tokens
