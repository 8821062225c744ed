"""The configuration in force at a host, followed from the platform."""

import asyncio
from collections.abc import Callable

import logbook

from radishshift.catalogue import Catalogue
from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.manifests import build_catalogue
from radishshift.objects import ChangeType, Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["Configuration"]

CONFIGURATION_KINDS = (Kind.ENTRY, Kind.ENDPOINT)
RETRY_S = 1.0

logger = logbook.Logger("configuration")


class Configuration:
    """Entries and endpoints, each at the highest revision seen.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self.catalogue = Catalogue()
        self.confirmed_at = 0.0
        self.listeners: list[Callable[[Catalogue], None]] = []
        self._clock = clock
        self._items: dict[tuple[Kind, str], StoredObject] = {}
        self._deleted: dict[tuple[Kind, str], int] = {}

    def take(self, items: list[StoredObject], deleted: list[StoredObject]) -> None:
        """Take changed and deleted objects; older ones than held do nothing."""
        changed = False
        for item in items:
            changed |= self._take_one(item)
        for item in deleted:
            changed |= self._drop_one(item)
        if not changed:
            return
        revisions = [item.revision for item in self._items.values()]
        revision = max([*revisions, *self._deleted.values()])
        self.catalogue = build_catalogue(revision, self._items.values())
        for listener in self.listeners:
            listener(self.catalogue)

    def _take_one(self, item: StoredObject) -> bool:
        key = (item.kind, item.name)
        held = self._items.get(key)
        if held is not None and held.revision >= item.revision:
            return False
        if self._deleted.get(key, 0) >= item.revision:
            return False
        self._items[key] = item
        return True

    def _drop_one(self, item: StoredObject) -> bool:
        key = (item.kind, item.name)
        if self._deleted.get(key, 0) >= item.revision:
            return False
        self._deleted[key] = item.revision
        held = self._items.get(key)
        if held is not None and held.revision < item.revision:
            del self._items[key]
        return True

    async def follow(self, platform: Platform) -> None:
        """Follow the platform until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for kind in CONFIGURATION_KINDS:
                tasks.create_task(self._follow_kind(platform, kind))

    async def _follow_kind(self, platform: Platform, kind: Kind) -> None:
        while True:
            try:
                listing = await platform.list_all(kind)
                self.take(list(listing.items), [])
                self.confirmed_at = self._clock.now()
                async for change in platform.watch(kind, listing.revision):
                    if change.type is ChangeType.DELETED:
                        self.take([], [change.item])
                    elif change.type is not ChangeType.BOOKMARK:
                        self.take([change.item], [])
                    self.confirmed_at = self._clock.now()
            except RadishshiftError as exc:
                logger.warning("following {} failed: {}", kind, exc.message)
                await self._clock.sleep_until(self._clock.now() + RETRY_S)
