"""Client interface to the platform's object store, and an in-memory store.

Objects carry a revision; updates and deletions are conditional on it, and changes can
be watched.
"""

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
    bookmark,
)

__all__ = ["MemoryPlatform", "Platform"]

HISTORY_CHANGES = 4096
BOOKMARK_INTERVAL_S = 5.0


class Platform:
    """Interface of the platform's object store.

    Every call may raise `PlatformUnavailableError`. Its verdict is `MAY_HAVE_RUN` if a
    write was sent and no reply arrived, as the write may have taken effect.
    """

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object.

        Raises
        ------
        NotFoundError
        """
        raise NotImplementedError

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Parameters
        ----------
        allow_stale : bool
            Accept a listing that is seconds old, where the platform has a cheaper one.
        """
        raise NotImplementedError

    async def changes_since(self, kind: Kind, since: int) -> list[ObjectChange]:
        """Return the changes of a kind after revision `since`, without waiting.

        The last is a bookmark.

        Raises
        ------
        GoneError
            The platform no longer has this history.
        """
        raise NotImplementedError

    async def create(self, item: StoredObject) -> StoredObject:
        """Create an object and return it with its revision.

        Raises
        ------
        AlreadyExistsError
        """
        raise NotImplementedError

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object if it is still at the revision of `item`.

        Raises
        ------
        ConflictError
            The object has another revision.
        NotFoundError
        """
        raise NotImplementedError

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Replace an object's status if it is still at the revision of `item`.

        Raises
        ------
        ConflictError
            The object has another revision.
        NotFoundError
        """
        raise NotImplementedError

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at `revision`.

        Raises
        ------
        ConflictError
        NotFoundError
        """
        raise NotImplementedError

    def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`, indefinitely.

        Raises
        ------
        GoneError
            `since` is older than the platform's history; list the objects again.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Release the connections."""


class MemoryPlatform(Platform):
    """Object store in memory, which the stand-in server exposes over HTTP.

    Parameters
    ----------
    history_changes : int
        Number of past changes that a watch can start from.
    bookmark_interval_s : float
        Time without changes after which a watch sends a bookmark.
    """

    def __init__(
        self,
        history_changes: int = HISTORY_CHANGES,
        bookmark_interval_s: float = BOOKMARK_INTERVAL_S,
    ) -> None:
        self._bookmark_interval_s = bookmark_interval_s
        self.revision = 0
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._history_changes = history_changes
        self._items: dict[Kind, dict[str, StoredObject]] = {kind: {} for kind in Kind}
        self._history: list[ObjectChange] = []
        self._oldest_revision = 0
        self._change_condition = asyncio.Condition()

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        self.reads += 1
        item = self._items[kind].get(name)
        if item is None:
            raise NotFoundError(f"{kind} {name} does not exist")
        return item

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind, always the latest."""
        self.reads += 1
        items = sorted(self._items[kind].values(), key=lambda item: item.name)
        return Listing(tuple(items), self.revision)

    async def changes_since(self, kind: Kind, since: int) -> list[ObjectChange]:
        """Return the changes of a kind after revision `since`, without waiting."""
        self.reads += 1
        return [*self._history_since(kind, since), bookmark(kind, self.revision)]

    async def create(self, item: StoredObject) -> StoredObject:
        """Create an object."""
        self.writes += 1
        if item.name in self._items[item.kind]:
            raise AlreadyExistsError(f"{item.kind} {item.name} already exists")
        return await self._store(ChangeType.ADDED, item)

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object if it is still at the revision of `item`."""
        self.writes += 1
        self._require_revision(item.kind, item.name, item.revision)
        return await self._store(ChangeType.MODIFIED, item)

    async def update_status(self, item: StoredObject) -> StoredObject:
        """Replace an object's status if it is still at the revision of `item`."""
        self.writes += 1
        current = self._require_revision(item.kind, item.name, item.revision)
        return await self._store(
            ChangeType.MODIFIED, replace(current, status=item.status)
        )

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at `revision`."""
        self.writes += 1
        item = self._require_revision(kind, name, revision)
        await self._store(ChangeType.DELETED, item)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        self.reads += 1
        self.watches += 1
        loop = asyncio.get_running_loop()
        last_event_at = loop.time()
        try:
            while True:
                read_revision = self.revision
                for change in self._history_since(kind, since):
                    last_event_at = loop.time()
                    yield change
                since = read_revision
                if loop.time() >= last_event_at + self._bookmark_interval_s:
                    last_event_at = loop.time()
                    yield bookmark(kind, read_revision)
                await self._wait_for_change(
                    read_revision, last_event_at + self._bookmark_interval_s
                )
        finally:
            self.watches -= 1

    async def _wait_for_change(self, revision: int, deadline: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline), self._change_condition:
                await self._change_condition.wait_for(lambda: self.revision > revision)

    def _history_since(self, kind: Kind, since: int) -> list[ObjectChange]:
        if not self._oldest_revision <= since <= self.revision:
            raise GoneError(f"revision {since} is not in the history")
        first = bisect_right(self._history, since, key=_revision_of)
        return [change for change in self._history[first:] if change.item.kind is kind]

    def _require_revision(self, kind: Kind, name: str, revision: int) -> StoredObject:
        current = self._items[kind].get(name)
        if current is None:
            raise NotFoundError(f"{kind} {name} does not exist")
        if current.revision != revision:
            writer = current.writer or "someone"
            raise ConflictError(
                f"{kind} {name} is at revision {current.revision}, written by {writer}"
            )
        return current

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
        if len(self._history) > self._history_changes:
            self._oldest_revision = self._history.pop(0).item.revision
        async with self._change_condition:
            self._change_condition.notify_all()
        return stored


def _revision_of(change: ObjectChange) -> int:
    return change.item.revision
