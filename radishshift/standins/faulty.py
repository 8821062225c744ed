"""A platform client with injected faults, set by its user or drawn from a seed."""

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
    """Faults to inject into platform calls; each affected call uses up one of a count.

    Attributes
    ----------
    down : bool
        Fail every call at once, and break watches.
    slow_s : float
        Delay of each call, in seconds.
    lost_writes : int
        Number of next writes whose request is lost: they get no reply and don't take
        effect.
    lost_replies : int
        Number of next writes whose reply is lost: they do take effect.
    conflicts : int
        Number of next writes that are rejected with a revision conflict.
    skipped_changes : int
        Number of next changes that a watch doesn't deliver.
    stale_watch : bool
        Delay all changes of watches while it is set.
    loss_share : float
        Share of writes, picked at random, whose request or reply is lost.
    conflict_share : float
        Share of writes, picked at random, that are rejected as conflicts.
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
    """A host's connection to a platform, with injected faults.

    Parameters
    ----------
    inner : Platform
        Platform that stores the objects; several faulty connections may share it.
    clock : Clock
    seed : int
        Seed of the random choice of writes that fail.

    Attributes
    ----------
    faults : PlatformFaults
    calls, writes, stale_reads : int
        Calls so far, and the writes and the reads among them that may be stale.
    """

    inner: Platform
    clock: Clock
    seed: int = 0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: int = 0
    writes: int = 0
    stale_reads: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        await self._start_call()
        return await self.inner.get(kind, name)

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        if allow_stale:
            self.stale_reads += 1
        await self._start_call()
        return await self.inner.list_all(kind, allow_stale)

    async def changes_since(self, kind: Kind, since: int) -> list[ObjectChange]:
        """Return the changes of a kind after revision `since`, without waiting."""
        await self._start_call()
        return await self.inner.changes_since(kind, since)

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object."""
        return await self._write(self.inner.create, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object whose stored revision is that of `item`."""
        return await self._write(self.inner.update, item)

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Replace the status of an object whose stored revision is that of `item`."""
        return await self._write(self.inner.update_status, item)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object whose stored revision is `revision`."""
        await self._write(self.inner.delete, kind, name, revision)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        await self._start_call()
        async for change in self.inner.watch(kind, since):
            while self.faults.stale_watch:
                await self.clock.sleep_until(self.clock.now() + 0.1)
            if self.faults.down:
                raise PlatformUnavailableError("injected fault: the watch was broken")
            if self.faults.skipped_changes:
                self.faults.skipped_changes -= 1
                continue
            yield change

    async def _start_call(self) -> None:
        self.calls += 1
        if self.faults.slow_s:
            await self.clock.sleep_until(self.clock.now() + self.faults.slow_s)
        else:
            await asyncio.sleep(0)
        if self.faults.down:
            raise PlatformUnavailableError("injected fault: the platform is down")

    async def _write(self, call, *args) -> StoredObject | None:
        self.writes += 1
        await self._start_call()
        faults = self.faults
        if faults.conflicts or self._random.random() < faults.conflict_share:
            faults.conflicts = max(0, faults.conflicts - 1)
            raise ConflictError("injected fault: the object has another revision")
        lost = self._random.random() < faults.loss_share
        if faults.lost_writes or (lost and self._random.random() < 0.5):
            faults.lost_writes = max(0, faults.lost_writes - 1)
            raise _lost_reply_error()
        result = await call(*args)
        if faults.lost_replies or lost:
            faults.lost_replies = max(0, faults.lost_replies - 1)
            raise _lost_reply_error()
        return result


def _lost_reply_error() -> PlatformUnavailableError:
    return PlatformUnavailableError(
        "injected fault: no reply from the platform", verdict=Verdict.MAY_HAVE_RUN
    )
