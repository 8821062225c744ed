"""The configuration in force at a host.

It is merged from the platform and from peers and never reverts to an older revision;
see `object_table`. An invalid entry does not block the others: its last valid form
stays in force and the reason is reported.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

import logbook
import msgspec

from radishshift.catalogue import Catalogue, VersionState
from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError, SettingsError
from radishshift.manifests import build_catalogue, read_endpoint, read_entry
from radishshift.object_table import Head, ObjectTable, TableDelta
from radishshift.objects import ChangeType, Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform
from radishshift.watching import follow_kind

__all__ = ["CONFIGURATION_KINDS", "Configuration", "ConfigurationDelta"]

CONFIGURATION_KINDS = (Kind.ENTRY, Kind.ENDPOINT, Kind.HOST)
CANARY_CONFIRMATION_MAX_AGE_S = 60.0
MIN_REBUILD_INTERVAL_S = 0.1
REBUILD_INTERVAL_FACTOR = 20  # rebuilds take at most 1/20 of the time

logger = logbook.Logger("configuration")


class ConfigurationDelta(msgspec.Struct, array_like=True):
    """The part of one host's configuration that another host lacks.

    Attributes
    ----------
    tables : list of TableDelta
        In the order of `CONFIGURATION_KINDS`.
    last_valid : list
        Last valid form of entries whose newest form is invalid, each
        `[kind, name, revision, spec]`.
    """

    tables: list[TableDelta]
    last_valid: list[tuple[str, str, int, dict]] = []


class Configuration:
    """Entries, endpoints and hosts, each at the highest revision seen.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    catalogue : Catalogue
    confirmed_at : float
        Latest instant at which a listing or watch event of any kind arrived at this
        host, or at a peer that had the same configuration.
    rejected : dict
        Why the newest form of an entry is not in force, by kind and name of the entry.
    listeners : list of callable
        Called with each new catalogue.
    """

    def __init__(self, clock: Clock) -> None:
        self.catalogue = Catalogue()
        self.confirmed_at = 0.0
        self.rejected: dict[tuple[Kind, str], str] = {}
        self.listeners: list[Callable[[Catalogue], None]] = []
        self.tables = {kind: ObjectTable(kind) for kind in CONFIGURATION_KINDS}
        self._clock = clock
        self._last_valid: dict[tuple[Kind, str], StoredObject] = {}
        self._canaries_excluded = False
        self._next_rebuild_at = 0.0
        self._pending_rebuild: asyncio.Task | None = None
        self._built_revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which catalogue entries are in force."""
        if self._pending_rebuild is not None:
            return self._built_revision
        return self.tables[Kind.ENTRY].head.complete

    def heads(self) -> list[Head]:
        """Return the heads of the tables, in the order of the kinds."""
        return [table.head for table in self.tables.values()]

    def hosts(self) -> list[StoredObject]:
        """Return the platform's list of hosts."""
        return list(self.tables[Kind.HOST].items.values())

    def merge_objects(
        self, items: Iterable[StoredObject], deleted: Iterable[StoredObject]
    ) -> None:
        """Merge changed and deleted objects, ignoring those older than the current.

        If anything changed, the catalogue is rebuilt at once.
        """
        changed = [self.tables[item.kind].upsert(item) for item in items]
        for item in deleted:
            changed.append(
                self.tables[item.kind].apply_deletion(item.name, item.revision)
            )
        if any(changed):
            self._rebuild()

    def apply_listing(self, kind: Kind, listing: Listing) -> None:
        """Merge a full listing of one kind from the platform.

        If anything changed, the catalogue is rebuilt at once.
        """
        table = self.tables[kind]
        if listing.revision < table.head.complete:
            logger.warning(
                "the platform lists {} at revision {}, older than {} in force",
                kind,
                listing.revision,
                table.head.complete,
            )
        if table.apply_listing(listing):
            self._rebuild()
        self.confirm(self._clock.now())

    def apply_change(self, change: ObjectChange) -> None:
        """Merge an event of a watch.

        If anything changed, the catalogue is rebuilt at once, or as soon as the minimum
        interval between rebuilds has passed.
        """
        table = self.tables[change.item.kind]
        if change.type is ChangeType.DELETED:
            self._schedule_rebuild(
                table.apply_deletion(change.item.name, change.item.revision)
            )
        elif change.type is not ChangeType.BOOKMARK:
            self._schedule_rebuild(table.upsert(change.item))
        self.confirm(self._clock.now())

    def delta(self, heads: list[Head], whole: bool = False) -> ConfigurationDelta:
        """Return the objects that a configuration with these heads lacks.

        With `whole`, return all objects and deletions.
        """
        tables = [
            table.delta(head, whole)
            for table, head in zip(self.tables.values(), heads, strict=True)
        ]
        last_valid = []
        for kind, name in self.rejected:
            item = self._last_valid.get((kind, name))
            if item is not None:
                last_valid.append((kind.value, name, item.revision, item.spec))
        return ConfigurationDelta(tables, last_valid)

    def merge(self, delta: ConfigurationDelta) -> bool:
        """Merge another host's delta; return whether both now hold the same objects.

        If anything changed, the catalogue is rebuilt at once, or as soon as the minimum
        interval between rebuilds has passed.
        """
        for kind, name, revision, spec in delta.last_valid:
            item = StoredObject(Kind(kind), name, spec, {}, revision)
            self._last_valid.setdefault((item.kind, name), item)
        pairs = list(zip(self.tables.values(), delta.tables, strict=True))
        changed = [table.merge(part) for table, part in pairs]
        self._schedule_rebuild(any(changed))
        return all(table.head == part.head for table, part in pairs)

    def confirm(self, instant: float) -> None:
        """Record that the platform had nothing newer at an instant."""
        self.confirmed_at = max(self.confirmed_at, instant)

    def update_canary_exclusion(self) -> None:
        """Exclude canary versions from new sessions while the platform is unreachable.

        A version under roll-out is the most likely to be withdrawn in the meantime.
        """
        age_s = self._clock.now() - self.confirmed_at
        exclude_canaries = age_s > CANARY_CONFIRMATION_MAX_AGE_S
        if exclude_canaries is not self._canaries_excluded:
            self._canaries_excluded = exclude_canaries
            self._rebuild()

    async def follow(self, platform: Platform) -> None:
        """Keep all kinds synchronized with the platform until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for kind in CONFIGURATION_KINDS:
                tasks.create_task(self.synchronize_kind(platform, kind))

    async def synchronize_kind(self, platform: Platform, kind: Kind) -> None:
        """Keep one kind synchronized with the platform until cancelled."""
        async for update in follow_kind(platform, kind, self._clock):
            try:
                if isinstance(update, Listing):
                    self.apply_listing(kind, update)
                else:
                    self.apply_change(update)
            except RadishshiftError as exc:
                logger.error(
                    "failed to apply an update of {} from the platform: {}",
                    kind,
                    exc.message,
                )

    def _schedule_rebuild(self, changed: bool) -> None:
        if not changed or self._pending_rebuild is not None:
            return
        if self._clock.now() >= self._next_rebuild_at:
            self._rebuild()
        else:
            self._pending_rebuild = asyncio.create_task(self._rebuild_later())

    async def _rebuild_later(self) -> None:
        await self._clock.sleep_until(self._next_rebuild_at)
        self._pending_rebuild = None
        self._rebuild()

    def _rebuild(self) -> None:
        started_at = self._clock.now()
        self._build_catalogue()
        self._built_revision = self.tables[Kind.ENTRY].head.complete
        duration_s = self._clock.now() - started_at
        self._next_rebuild_at = started_at + max(
            MIN_REBUILD_INTERVAL_S, REBUILD_INTERVAL_FACTOR * duration_s
        )
        for listener in self.listeners:
            listener(self.catalogue)

    def _build_catalogue(self) -> None:
        valid = list(self._valid_items())
        self._last_valid = {(item.kind, item.name): item for item in valid}
        revision = max(
            self.tables[Kind.ENTRY].head.complete,
            self.tables[Kind.ENDPOINT].head.complete,
        )
        catalogue = build_catalogue(revision, valid)
        self.catalogue = (
            _without_canaries(catalogue) if self._canaries_excluded else catalogue
        )

    def _valid_items(self) -> Iterable[StoredObject]:
        self.rejected = {}
        for kind in (Kind.ENTRY, Kind.ENDPOINT):
            for item in self.tables[kind].items.values():
                key = (kind, item.name)
                last_valid = self._last_valid.get(key)
                if last_valid is not None and last_valid.revision == item.revision:
                    yield last_valid
                    continue
                try:
                    _validate(item)
                except SettingsError as exc:
                    self.rejected[key] = exc.message
                    logger.error("{} {} is invalid: {}", kind, *key[1:], exc.message)
                    if last_valid is not None:
                        yield last_valid
                    continue
                yield item


def _validate(item: StoredObject) -> None:
    if item.kind is Kind.ENDPOINT:
        read_endpoint(item.name, item.spec)
    else:
        read_entry(item.name, item.spec)


def _without_canaries(catalogue: Catalogue) -> Catalogue:
    versions = {
        name: replace(version, state=VersionState.RETIRING)
        if version.state is VersionState.CANARY
        else version
        for name, version in catalogue.versions.items()
    }
    return replace(catalogue, versions=versions)
