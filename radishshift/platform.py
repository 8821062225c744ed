"""The platform's object API: versions, conditional updates and watches."""

import asyncio
import copy
from bisect import bisect_right
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import replace

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    GoneError,
    NotFoundError,
)
from radishshift.objects import (
    ChangeType,
    Kind,
    Listing,
    ObjectChange,
    StoredObject,
)

__all__ = ["MemoryPlatform", "Platform"]

HISTORY_LENGTH = 4096
BOOKMARK_S = 5.0


class Platform:
    """What a host may ask of the platform.

    Every call may raise `PlatformUnavailableError`. Its verdict is
    `MAY_HAVE_RUN` when a write was sent and no reply came back: the write may
    have taken effect.
    """

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object.

        Raises
        ------
        NotFoundError
        """
        raise NotImplementedError

    async def list_all(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        raise NotImplementedError

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object; return it with its revision.

        Raises
        ------
        AlreadyExistsError
        """
        raise NotImplementedError

    async def update(self, item: StoredObject) -> StoredObject:
        """Store an object over the revision that `item` holds.

        Raises
        ------
        ConflictError
            It has changed since.
        NotFoundError
        """
        raise NotImplementedError

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Store an object's status over the revision that `item` holds.

        Raises
        ------
        ConflictError
            It has changed since.
        NotFoundError
        """
        raise NotImplementedError

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object that still has `revision`.

        Raises
        ------
        ConflictError
        NotFoundError
        """
        raise NotImplementedError

    def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`, without end.

        Raises
        ------
        GoneError
            `since` is older than the platform's history; list anew.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Give back connections."""


class MemoryPlatform(Platform):
    """Platform held in this process; the stand-in server wraps one.

    Parameters
    ----------
    history_length : int
        Number of changes that a watch can reach back over.
    bookmark_s : float
        Time after which a watch that has nothing to tell sends a bookmark.
    """

    def __init__(
        self, history_length: int = HISTORY_LENGTH, bookmark_s: float = BOOKMARK_S
    ) -> None:
        self._bookmark_s = bookmark_s
        self.revision = 0
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._history_length = history_length
        self._items: dict[Kind, dict[str, StoredObject]] = {kind: {} for kind in Kind}
        self._history: list[ObjectChange] = []
        self._oldest = 0
        self._changed = asyncio.Condition()

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        self.reads += 1
        item = self._items[kind].get(name)
        if item is None:
            raise NotFoundError(f"no {kind} {name}")
        return item

    async def list_all(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        self.reads += 1
        items = sorted(self._items[kind].values(), key=lambda item: item.name)
        return Listing(tuple(items), self.revision)

    async def create(self, item: StoredObject) -> StoredObject:
        """Store a new object."""
        self.writes += 1
        if item.name in self._items[item.kind]:
            raise AlreadyExistsError(f"{item.kind} {item.name} exists")
        return await self._store(ChangeType.ADDED, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Store an object over the revision that it holds."""
        self.writes += 1
        self._check(item.kind, item.name, item.revision)
        return await self._store(ChangeType.MODIFIED, item)

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Store an object's status over the revision that it holds."""
        self.writes += 1
        held = self._check(item.kind, item.name, item.revision)
        return await self._store(ChangeType.MODIFIED, replace(held, status=item.status))

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object that still has `revision`."""
        self.writes += 1
        item = self._check(kind, name, revision)
        await self._store(ChangeType.DELETED, item)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        self.reads += 1
        self.watches += 1
        loop = asyncio.get_running_loop()
        quiet_since = loop.time()
        try:
            while True:
                if not self._oldest <= since <= self.revision:
                    raise GoneError(f"revision {since} is not held")
                upto = self.revision
                for change in self._after(since):
                    if change.item.kind is kind:
                        quiet_since = loop.time()
                        yield change
                since = upto
                if loop.time() >= quiet_since + self._bookmark_s:
                    quiet_since = loop.time()
                    bookmark = StoredObject(kind, "", revision=upto)
                    yield ObjectChange(ChangeType.BOOKMARK, bookmark)
                await self._changes_after(upto, quiet_since + self._bookmark_s)
        finally:
            self.watches -= 1

    async def _changes_after(self, revision: int, deadline: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline), self._changed:
                await self._changed.wait_for(lambda: self.revision > revision)

    def _after(self, since: int) -> list[ObjectChange]:
        first = bisect_right(self._history, since, key=_revision_of)
        return self._history[first:]

    def _check(self, kind: Kind, name: str, revision: int) -> StoredObject:
        held = self._items[kind].get(name)
        if held is None:
            raise NotFoundError(f"no {kind} {name}")
        if held.revision != revision:
            writer = held.writer or "someone"
            raise ConflictError(
                f"{kind} {name} is at revision {held.revision}, written by {writer}"
            )
        return held

    async def _store(self, change_type: ChangeType, item: StoredObject) -> StoredObject:
        self.revision += 1
        spec = copy.deepcopy(item.spec)
        status = copy.deepcopy(item.status)
        stored = replace(item, spec=spec, status=status, revision=self.revision)
        if change_type is ChangeType.DELETED:
            del self._items[item.kind][item.name]
        else:
            self._items[item.kind][item.name] = stored
        self._history.append(ObjectChange(change_type, stored))
        if len(self._history) > self._history_length:
            self._oldest = self._history.pop(0).item.revision
        async with self._changed:
            self._changed.notify_all()
        return stored


def _revision_of(change: ObjectChange) -> int:
    return change.item.revision
