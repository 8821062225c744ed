"""A platform client that spares the platform, and its caller, what can't succeed.

Each kind of object has a token bucket, so that one matter can't use up what the
platform allows for all. After a few failures in a row a circuit breaker refuses
calls at once, and lets one through from time to time.

Without the platform an entry host goes on with: routing and relay by the
configuration in force, sessions with the keys it holds, limits by the shares it
holds, heartbeats and what rides on them, copies of bills with peers, answers by id,
and idempotent calls. What stops: new claims, thus non-idempotent calls; taking or
renewing leases, thus duties once the leases lapse; settling of bills, which wait;
changes of the catalogue.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from radishshift.clocks import Clock
from radishshift.errors import PlatformUnavailableError
from radishshift.objects import Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform

__all__ = ["CallRate", "CircuitBreaker", "GuardedPlatform"]

FAILURES_TO_OPEN = 5
FIRST_OPEN_S = 1.0
MAX_OPEN_S = 8.0
LONGEST_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class CallRate:
    """Calls that a host may make for one kind of object.

    Attributes
    ----------
    calls_per_s : float
    burst : float
        Calls that may be made at once.
    """

    calls_per_s: float
    burst: float


USUAL_RATE = CallRate(calls_per_s=10.0, burst=20.0)
RATES = {
    Kind.CLAIM_SHARD: CallRate(calls_per_s=100.0, burst=200.0),
    Kind.BILL_BATCH: CallRate(calls_per_s=20.0, burst=100.0),
}


@dataclass(slots=True)
class _CallBucket:
    rate: CallRate
    level: float
    filled_at: float

    def take(self, now: float) -> float:
        """Take a call; return the instant from which it may be made."""
        elapsed_s = max(0.0, now - self.filled_at)
        filled = self.level + elapsed_s * self.rate.calls_per_s
        self.level = min(self.rate.burst, filled) - 1
        self.filled_at = now
        return now - min(0.0, self.level) / self.rate.calls_per_s


@dataclass(slots=True)
class CircuitBreaker:
    """Opens after failures in a row, and tries again after growing pauses.

    Attributes
    ----------
    rng : Random
    open_until : float
        Instant before which calls are refused.
    failures : int
        Failures since the last success.
    """

    rng: Random
    open_until: float = 0.0
    failures: int = 0

    def check(self, now: float) -> None:
        """Refuse a call while open; the first call after a pause is the trial.

        Raises
        ------
        PlatformUnavailableError
        """
        if now < self.open_until:
            raise PlatformUnavailableError(
                "the platform has not answered lately",
                retry_after_s=self.open_until - now,
            )
        if self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def succeeded(self) -> None:
        """Note a reply of the platform."""
        self.failures = 0
        self.open_until = 0.0

    def failed(self, now: float) -> None:
        """Note a call without a reply."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def _open(self, now: float) -> None:
        doublings = min(10, self.failures - FAILURES_TO_OPEN)
        longest_s = min(MAX_OPEN_S, FIRST_OPEN_S * 2.0**doublings)
        self.open_until = now + self.rng.uniform(longest_s / 2, longest_s)


@dataclass(slots=True)
class GuardedPlatform(Platform):
    """A platform behind token buckets and a circuit breaker.

    Parameters
    ----------
    inner : Platform
    clock : Clock
    rng : Random
    rates : mapping of Kind to CallRate
        Kinds that it leaves out have `USUAL_RATE`.
    """

    inner: Platform
    clock: Clock
    rng: Random = field(default_factory=Random)
    rates: Mapping[Kind, CallRate] = field(default_factory=lambda: RATES)
    calls: dict[Kind, int] = field(default_factory=dict)
    _buckets: dict[Kind, _CallBucket] = field(default_factory=dict)
    breaker: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        self.breaker = CircuitBreaker(self.rng)

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        return await self._call(kind, self.inner.get, kind, name)

    async def list_all(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        return await self._call(kind, self.inner.list_all, kind)

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object."""
        return await self._call(item.kind, self.inner.create, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Store an object over the revision that it holds."""
        return await self._call(item.kind, self.inner.update, item)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object that still has `revision`."""
        await self._call(kind, self.inner.delete, kind, name, revision)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        await self._admit(kind)
        try:
            async for change in self.inner.watch(kind, since):
                self.breaker.succeeded()
                yield change
        except PlatformUnavailableError:
            self.breaker.failed(self.clock.now())
            raise

    async def close(self) -> None:
        """Give back connections."""
        await self.inner.close()

    async def _call(
        self, kind: Kind, call: Callable[..., Awaitable[Any]], *args: object
    ) -> Any:
        await self._admit(kind)
        try:
            result = await call(*args)
        except PlatformUnavailableError:
            self.breaker.failed(self.clock.now())
            raise
        except Exception:
            self.breaker.succeeded()
            raise
        self.breaker.succeeded()
        return result

    async def _admit(self, kind: Kind) -> None:
        now = self.clock.now()
        self.breaker.check(now)
        bucket = self._buckets.get(kind)
        if bucket is None:
            rate = self.rates.get(kind, USUAL_RATE)
            bucket = self._buckets[kind] = _CallBucket(rate, rate.burst, now)
        at = bucket.take(now)
        if at - now > LONGEST_WAIT_S:
            bucket.level += 1
            raise PlatformUnavailableError(
                f"too many calls for {kind}", retry_after_s=at - now
            )
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if at > now:
            await self.clock.sleep_until(at)
