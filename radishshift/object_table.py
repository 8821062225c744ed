"""Objects of one kind as a host holds them, joined from any source in any order.

A table never goes back: an object is replaced only by one of a higher revision, and
joining two tables gives the same result whichever comes first. Deletions are kept by
name and revision until a full listing of the platform covers them: what is older
than the last listing and not held has been deleted.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from radishshift.objects import Kind, Listing, StoredObject

__all__ = ["Head", "ObjectTable", "TableDelta"]


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Short description of a table; equal heads mean equal tables.

    Attributes
    ----------
    complete : int
        Highest revision that the table reflects.
    listed : int
        Revision of the last full listing that it descends from.
    digest : int
        Of the names and revisions held.
    """

    complete: int = 0
    listed: int = 0
    digest: int = 0


class TableDelta(msgspec.Struct, array_like=True):
    """What one table has and another lacks.

    Attributes
    ----------
    head : Head
        Of the table that the delta was taken from.
    whole : bool
        Whether `items` are all that it holds.
    items : list
        Each `[name, revision, spec]`.
    deleted : dict of str to int
        Names and revisions of deletions.
    """

    head: Head
    whole: bool
    items: list[tuple[str, int, dict[str, Any]]]
    deleted: dict[str, int]


def _mark(name: str, revision: int) -> int:
    return xxhash.xxh64_intdigest(f"{name}@{revision}".encode()) >> 11


@dataclass(slots=True)
class ObjectTable:
    """Objects of a kind, each at the highest revision seen.

    Attributes
    ----------
    kind : Kind
    items : dict of str to StoredObject
    deleted : dict of str to int
        Revisions of deletions that no listing covers yet.
    """

    kind: Kind
    items: dict[str, StoredObject] = field(default_factory=dict)
    deleted: dict[str, int] = field(default_factory=dict)
    _complete: int = 0
    _listed: int = 0
    _digest: int = 0

    @property
    def head(self) -> Head:
        """Return the description of what is held."""
        return Head(self._complete, self._listed, self._digest)

    def upsert(self, item: StoredObject) -> bool:
        """Take an object; return whether it is newer than what is held."""
        held = self.items.get(item.name)
        if held is None and item.revision <= self._listed:
            return False
        if held is not None and held.revision >= item.revision:
            return False
        if self.deleted.get(item.name, 0) >= item.revision:
            return False
        self._store(item)
        return True

    def apply_deletion(self, name: str, revision: int) -> bool:
        """Take a deletion; return whether an object went."""
        self._complete = max(self._complete, revision)
        if revision > self._listed:
            self.deleted[name] = max(revision, self.deleted.get(name, 0))
        held = self.items.get(name)
        if held is None or held.revision >= revision:
            return False
        self._remove(name)
        return True

    def apply_listing(self, listing: Listing) -> bool:
        """Take a full listing; return whether anything changed."""
        taken = [self.upsert(item) for item in listing.items]
        names = {item.name for item in listing.items}
        return self._cover(listing.revision, names) or any(taken)

    def delta(self, since: Head, whole: bool = False) -> TableDelta:
        """Return what a table with the head `since` lacks."""
        least = 0 if whole else since.complete
        items = [
            (item.name, item.revision, item.spec)
            for item in self.items.values()
            if item.revision > least
        ]
        deleted = {name: rev for name, rev in self.deleted.items() if rev > least}
        return TableDelta(self.head, whole, items, deleted)

    def merge(self, delta: TableDelta) -> bool:
        """Join another table's delta; return whether anything changed.

        After a delta that is not whole, compare the digests: a difference asks for
        the whole table.
        """
        changed = False
        for name, revision, spec in delta.items:
            changed |= self.upsert(StoredObject(self.kind, name, spec, {}, revision))
        for name, revision in delta.deleted.items():
            changed |= self.apply_deletion(name, revision)
        if delta.whole:
            names = {name for name, _, _ in delta.items}
            changed |= self._cover(delta.head.listed, names)
        if delta.whole or self._digest == delta.head.digest:
            self._complete = max(self._complete, delta.head.complete)
            self._note_listed(delta.head.listed)
        return changed

    def _cover(self, listed: int, names: Iterable[str]) -> bool:
        gone = [
            name
            for name, item in self.items.items()
            if item.revision <= listed and name not in names
        ]
        for name in gone:
            self._remove(name)
        self._complete = max(self._complete, listed)
        self._note_listed(listed)
        return bool(gone)

    def _note_listed(self, listed: int) -> None:
        self._listed = max(self._listed, listed)
        for name in [n for n, rev in self.deleted.items() if rev <= self._listed]:
            del self.deleted[name]

    def _store(self, item: StoredObject) -> None:
        if item.name in self.items:
            self._remove(item.name)
        self.items[item.name] = item
        self.deleted.pop(item.name, None)
        self._digest ^= _mark(item.name, item.revision)
        self._complete = max(self._complete, item.revision)

    def _remove(self, name: str) -> None:
        held = self.items.pop(name)
        self._digest ^= _mark(name, held.revision)
