"""A platform client that tracks the availability of the platform's store."""

from collections.abc import AsyncIterator, Awaitable
from typing import TypeVar

import logbook

from radishshift.clocks import Clock
from radishshift.errors import PlatformUnavailableError
from radishshift.objects import Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform

__all__ = ["MonitoredPlatform"]

T = TypeVar("T")
logger = logbook.Logger("store")


class MonitoredPlatform(Platform):
    """Forwards calls and records when the store became unavailable and recovered.

    Attributes
    ----------
    unavailable_since : float or None
        Instant of the first failure since the last success.
    recovered_at : float or None
        Instant of the first success after a failure.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock
        self.unavailable_since: float | None = None
        self.recovered_at: float | None = None
        self.calls = 0

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        return await self._tracked(self._platform.get(kind, name))

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        return await self._tracked(self._platform.list_all(kind, allow_stale))

    async def changes_since(self, kind: Kind, since: int) -> list[ObjectChange]:
        """Return the changes of a kind after revision `since`, without waiting."""
        return await self._tracked(self._platform.changes_since(kind, since))

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object."""
        return await self._tracked(self._platform.create(item))

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object if the stored revision is still the given one."""
        return await self._tracked(self._platform.update(item))

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Replace an object's status if the stored revision is still the given one."""
        return await self._tracked(self._platform.update_status(item))

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if its stored revision is still `revision`."""
        await self._tracked(self._platform.delete(kind, name, revision))

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        try:
            async for change in self._platform.watch(kind, since):
                self._record_success()
                yield change
        except PlatformUnavailableError as exc:
            self._record_failure(exc)
            raise

    async def close(self) -> None:
        """Close the connections."""
        await self._platform.close()

    async def _tracked(self, call: Awaitable[T]) -> T:
        self.calls += 1
        try:
            result = await call
        except PlatformUnavailableError as exc:
            self._record_failure(exc)
            raise
        self._record_success()
        return result

    def _record_failure(self, exc: PlatformUnavailableError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self._clock.now()
            logger.warning("store unavailable: {}", exc.message)

    def _record_success(self) -> None:
        if self.unavailable_since is not None:
            now = self._clock.now()
            logger.warning(
                "store available again after {:.1f} s", now - self.unavailable_since
            )
            self.unavailable_since = None
            self.recovered_at = now
