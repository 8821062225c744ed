"""A platform client with rate limits and a circuit breaker.

Each kind of object has its own token bucket, so that one kind can't use up the
platform's whole rate limit. After several consecutive failures a circuit breaker
rejects calls immediately, except for an occasional probe.

While the platform is unavailable, calls fail with `PlatformUnavailableError`. The host
continues with its current configuration, session keys and limit shares, and with what
it exchanges with its peers. It takes no new claims, so non-idempotent calls are
refused; it can't acquire or renew leases, so duties stop when their leases expire;
bills wait to be settled; the catalogue doesn't change.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from radishshift.clocks import Clock
from radishshift.errors import PlatformUnavailableError
from radishshift.objects import Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform

__all__ = ["CallRate", "GuardedPlatform", "PlatformCircuitBreaker"]

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 8.0
MAX_RATE_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class CallRate:
    """Rate limit of a host's calls for one kind of object.

    Attributes
    ----------
    calls_per_s : float
    burst : float
        Largest number of calls without a delay between them.
    """

    calls_per_s: float
    burst: float


DEFAULT_RATE = CallRate(calls_per_s=10.0, burst=20.0)
RATE_BY_KIND = {
    Kind.CLAIM_SHARD: CallRate(calls_per_s=100.0, burst=200.0),
    Kind.BILL_BATCH: CallRate(calls_per_s=20.0, burst=100.0),
}


@dataclass(slots=True)
class _TokenBucket:
    rate: CallRate
    tokens: float
    refilled_at: float

    def take_token(self, now: float) -> float:
        """Take a token; return the clock reading from which the call may be made."""
        elapsed_s = max(0.0, now - self.refilled_at)
        refilled = self.tokens + elapsed_s * self.rate.calls_per_s
        self.tokens = min(self.rate.burst, refilled) - 1
        self.refilled_at = now
        return now - min(0.0, self.tokens) / self.rate.calls_per_s


@dataclass(slots=True)
class PlatformCircuitBreaker:
    """Opens after consecutive failures and probes after exponentially growing pauses.

    Attributes
    ----------
    rng : Random
    open_until : float
        Clock reading before which calls are rejected.
    failures : int
        Consecutive failures since the last success.
    """

    rng: Random
    open_until: float = 0.0
    failures: int = 0

    def check(self, now: float) -> None:
        """Reject a call while open; the first call after a pause passes as the probe.

        Raises
        ------
        PlatformUnavailableError
        """
        if now < self.open_until:
            raise PlatformUnavailableError(
                "circuit breaker for the platform is open",
                retry_after_s=self.open_until - now,
            )
        if self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def record_success(self) -> None:
        """Record a call that the platform answered."""
        self.failures = 0
        self.open_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a call that the platform did not answer."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def _open(self, now: float) -> None:
        doublings = min(10, self.failures - FAILURES_TO_OPEN)
        open_s = min(MAX_OPEN_S, INITIAL_OPEN_S * 2.0**doublings)
        self.open_until = now + self.rng.uniform(open_s / 2, open_s)


@dataclass(slots=True)
class GuardedPlatform(Platform):
    """Wraps a platform client with token buckets and a circuit breaker.

    Parameters
    ----------
    inner : Platform
    clock : Clock
    rng : Random
    rates : mapping of Kind to CallRate
        Rate limits; a kind without one has `DEFAULT_RATE`.
    """

    inner: Platform
    clock: Clock
    rng: Random = field(default_factory=Random)
    rates: Mapping[Kind, CallRate] = field(default_factory=lambda: RATE_BY_KIND)
    calls: dict[Kind, int] = field(default_factory=dict)
    _buckets: dict[Kind, _TokenBucket] = field(default_factory=dict)
    breaker: PlatformCircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        self.breaker = PlatformCircuitBreaker(self.rng)

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        return await self._call(kind, self.inner.get, kind, name)

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        return await self._call(kind, self.inner.list_all, kind, allow_stale)

    async def create(self, item: StoredObject) -> StoredObject:
        """Create an object."""
        return await self._call(item.kind, self.inner.create, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object if it is still at the revision of `item`."""
        return await self._call(item.kind, self.inner.update, item)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at `revision`."""
        await self._call(kind, self.inner.delete, kind, name, revision)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        await self._admit(kind)
        try:
            async for change in self.inner.watch(kind, since):
                self.breaker.record_success()
                yield change
        except PlatformUnavailableError:
            self.breaker.record_failure(self.clock.now())
            raise

    async def close(self) -> None:
        """Release the connections."""
        await self.inner.close()

    async def _call(
        self, kind: Kind, call: Callable[..., Awaitable[Any]], *args: object
    ) -> Any:
        await self._admit(kind)
        try:
            result = await call(*args)
        except PlatformUnavailableError:
            self.breaker.record_failure(self.clock.now())
            raise
        except Exception:
            self.breaker.record_success()
            raise
        self.breaker.record_success()
        return result

    async def _admit(self, kind: Kind) -> None:
        now = self.clock.now()
        self.breaker.check(now)
        bucket = self._buckets.get(kind)
        if bucket is None:
            rate = self.rates.get(kind, DEFAULT_RATE)
            bucket = self._buckets[kind] = _TokenBucket(rate, rate.burst, now)
        allowed_at = bucket.take_token(now)
        if allowed_at - now > MAX_RATE_WAIT_S:
            bucket.tokens += 1
            raise PlatformUnavailableError(
                f"rate limit of platform calls for {kind} exceeded",
                retry_after_s=allowed_at - now,
            )
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if allowed_at > now:
            await self.clock.sleep_until(allowed_at)
