"""A platform that fails on command or by a seeded schedule."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from radishshift.clocks import Clock
from radishshift.errors import ConflictError, PlatformUnavailableError
from radishshift.objects import Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform
from radishshift.verdicts import Verdict

__all__ = ["FaultyPlatform", "PlatformFaults"]


@dataclass(slots=True)
class PlatformFaults:
    """Faults of a platform; the counts are used up one call at a time.

    Attributes
    ----------
    down : bool
        Refuse every call at once; a watch breaks.
    slow_s : float
        Time by which each call is late, in seconds.
    lost_writes : int
        Writes to come that never reach the platform; no reply comes.
    lost_replies : int
        Writes to come that take effect and whose reply is lost.
    conflicts : int
        Writes to come that are refused as if another had written.
    skipped_changes : int
        Changes to come that a watch leaves out.
    stale_watch : bool
        Hold back all changes of watches while it is set.
    loss_share : float
        Share of the writes, picked by the seed, that lose their request or reply.
    conflict_share : float
        Share of the writes, picked by the seed, that are refused as conflicts.
    """

    down: bool = False
    slow_s: float = 0.0
    lost_writes: int = 0
    lost_replies: int = 0
    conflicts: int = 0
    skipped_changes: int = 0
    stale_watch: bool = False
    loss_share: float = 0.0
    conflict_share: float = 0.0


@dataclass(slots=True)
class FaultyPlatform(Platform):
    """A host's way to a platform, with faults on it.

    Parameters
    ----------
    inner : Platform
        What holds the objects; several faulty ways may lead to one.
    clock : Clock
    seed : int
    """

    inner: Platform
    clock: Clock
    seed: int = 0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: int = 0
    writes: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        await self._reach()
        return await self.inner.get(kind, name)

    async def list_all(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        await self._reach()
        return await self.inner.list_all(kind)

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object."""
        return await self._write(self.inner.create, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Store an object over the revision that it holds."""
        return await self._write(self.inner.update, item)

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Store an object's status over the revision that it holds."""
        return await self._write(self.inner.update_status, item)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object that still has `revision`."""
        await self._write(self.inner.delete, kind, name, revision)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        await self._reach()
        async for change in self.inner.watch(kind, since):
            while self.faults.stale_watch:
                await self.clock.sleep_until(self.clock.now() + 0.1)
            if self.faults.down:
                raise PlatformUnavailableError("the watch broke on command")
            if self.faults.skipped_changes:
                self.faults.skipped_changes -= 1
                continue
            yield change

    async def _reach(self) -> None:
        self.calls += 1
        if self.faults.slow_s:
            await self.clock.sleep_until(self.clock.now() + self.faults.slow_s)
        else:
            await asyncio.sleep(0)
        if self.faults.down:
            raise PlatformUnavailableError("the platform is down on command")

    async def _write(self, call, *args) -> StoredObject | None:
        self.writes += 1
        await self._reach()
        faults = self.faults
        if faults.conflicts or self._random.random() < faults.conflict_share:
            faults.conflicts = max(0, faults.conflicts - 1)
            raise ConflictError("another has written, on command")
        lost = self._random.random() < faults.loss_share
        if faults.lost_writes or (lost and self._random.random() < 0.5):
            faults.lost_writes = max(0, faults.lost_writes - 1)
            raise _no_reply()
        result = await call(*args)
        if faults.lost_replies or lost:
            faults.lost_replies = max(0, faults.lost_replies - 1)
            raise _no_reply()
        return result


def _no_reply() -> PlatformUnavailableError:
    return PlatformUnavailableError(
        "no reply from the platform, on command", verdict=Verdict.MAY_HAVE_RUN
    )
