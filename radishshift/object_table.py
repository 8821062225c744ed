"""A host's replica of the objects of one kind, merged from any source in any order.

A table never reverts: an object is replaced only by one of a higher revision, and
merging two tables gives the same result in either order. An object that is older than
the last listing and not in the table has been deleted. Other tables, which are sent
only what has changed since their heads, have to be told so: deletions are kept as
tombstones of name and revision. Of those that a listing covers only the latest are
kept; a table that lacks older ones is sent all objects.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import logbook
import msgspec

from radishshift.errors import PatchError
from radishshift.objects import Kind, Listing, StoredObject
from radishshift.spec_patches import SpecPatch, apply_patch, digest, make_patch

__all__ = ["Head", "ObjectTable", "TableDelta"]

MAX_COVERED_DELETIONS = 256

logger = logbook.Logger("tables")


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Summary of a table; tables with equal heads are taken to be equal.

    Attributes
    ----------
    complete : int
        Highest revision that the table reflects.
    listed : int
        Revision of the latest full listing that the table includes.
    digest : int
        XOR of a hash of each object's name and revision.
    """

    complete: int = 0
    listed: int = 0
    digest: int = 0


class TableDelta(msgspec.Struct, array_like=True):
    """The objects and deletions that one table has and another lacks.

    Attributes
    ----------
    head : Head
        Head of the table from which the delta was made.
    whole : bool
        Whether `items` are all objects of that table.
    items : list
        The objects, each `[name, revision, spec]`.
    deleted : dict of str to int
        Revisions of deletions by name.
    patches : list of SpecPatch
        Objects of which the receiver holds an earlier revision.
    """

    head: Head
    whole: bool
    items: list[tuple[str, int, dict[str, Any]]]
    deleted: dict[str, int]
    patches: list[SpecPatch] = []


def _item_hash(name: str, revision: int) -> int:
    return digest(f"{name}@{revision}".encode())


@dataclass(slots=True)
class ObjectTable:
    """The objects of a kind, each at the highest revision seen.

    Attributes
    ----------
    kind : Kind
    past_states : int
        Number of earlier states to keep; a table that equals one is sent patches.
    rank : callable or None
        Returns a number of an object that its writers never lower. It goes before the
        revision, so that an object of a restored platform does not replace a later one.
    items : dict of str to StoredObject
    deleted : dict of str to int
        Revisions of deletions, by name; those that no listing covers and the latest of
        the others.
    """

    kind: Kind
    past_states: int = 0
    rank: Callable[[StoredObject], int] | None = None
    items: dict[str, StoredObject] = field(default_factory=dict)
    deleted: dict[str, int] = field(default_factory=dict)
    _complete: int = 0
    _listed: int = 0
    _digest: int = 0
    _forgotten: int = 0  # highest revision of a deletion that is no longer kept
    # Earlier states by digest.
    _past: OrderedDict[int, dict[str, StoredObject]] = field(
        default_factory=OrderedDict
    )
    # By object and the revision that they start from.
    _patches: dict[tuple[str, int], SpecPatch | None] = field(default_factory=dict)

    @property
    def head(self) -> Head:
        """Return the summary of the table."""
        return Head(self._complete, self._listed, self._digest)

    def upsert(self, item: StoredObject) -> bool:
        """Apply a write that follows all changes of which the table knows.

        Returns
        -------
        bool
            Whether it was newer than the current object.
        """
        newer = self.merge_object(item)
        if newer:
            self._complete = max(self._complete, item.revision)
        return newer

    def merge_object(self, item: StoredObject) -> bool:
        """Insert or replace an object; return whether it was newer than the current.

        The table may lack changes before it, so the head states no more than before.
        """
        current = self.items.get(item.name)
        if current is None and item.revision <= self._listed:
            return False
        if current is not None and self._order(current) >= self._order(item):
            return False
        if self.deleted.get(item.name, 0) >= item.revision:
            return False
        self._store(item)
        return True

    def apply_deletion(self, name: str, revision: int) -> bool:
        """Apply a deletion that follows all changes of which the table knows.

        Returns
        -------
        bool
            Whether an object was removed.
        """
        self._complete = max(self._complete, revision)
        return self._merge_deletion(name, revision)

    def _order(self, item: StoredObject) -> tuple[int, int]:
        rank = 0 if self.rank is None else self.rank(item)
        return rank, item.revision

    def _merge_deletion(self, name: str, revision: int) -> bool:
        self.deleted[name] = max(revision, self.deleted.get(name, 0))
        current = self.items.get(name)
        if current is None or current.revision >= revision:
            return False
        self._remove(name)
        return True

    def apply_listing(self, listing: Listing) -> bool:
        """Apply a full listing; return whether anything changed."""
        merged = [self.merge_object(item) for item in listing.items]
        names = {item.name for item in listing.items}
        return self._delete_unlisted(listing.revision, names) or any(merged)

    def confirm(self, revision: int) -> None:
        """Record that the table reflects all changes up to a revision.

        A table that reflects nothing yet stays so.
        """
        if self._complete:
            self._complete = max(self._complete, revision)

    def delta_for(self, peer: Head, sent: Head | None) -> TableDelta | None:
        """Return what a peer's table lacks, or None if it is not behind.

        Parameters
        ----------
        peer : Head
            Head of the peer's table.
        sent : Head or None
            Its head when a delta was last sent to it; one that has not moved since
            gets all objects.
        """
        if peer.complete > self._complete:
            return None
        equal = peer.digest == self._digest
        # Of two ranked tables with equal revisions one may hold a later object.
        if peer.complete == self._complete and (equal or self.rank is None):
            return None
        if equal and peer.digest:
            return None
        return self.delta(peer, whole=not peer.complete or sent == peer)

    def delta(self, since: Head, whole: bool = False) -> TableDelta:
        """Return the delta for a table with the head `since`."""
        whole = whole or since.complete < self._forgotten
        above_revision = 0 if whole else since.complete
        known = {} if whole else self._past.get(since.digest, {})
        items = []
        patches = []
        for item in self.items.values():
            if item.revision <= above_revision:
                continue
            patch = self._patch(known[item.name], item) if item.name in known else None
            if patch is None:
                items.append((item.name, item.revision, item.spec))
            else:
                patches.append(patch)
        deleted = {
            name: rev for name, rev in self.deleted.items() if rev > above_revision
        }
        return TableDelta(self.head, whole, items, deleted, patches)

    def _patch(self, known: StoredObject, item: StoredObject) -> SpecPatch | None:
        key = (item.name, known.revision)
        if key not in self._patches:
            self._patches[key] = make_patch(
                item.name, (known.revision, known.spec), (item.revision, item.spec)
            )
        return self._patches[key]

    def merge(self, delta: TableDelta) -> bool:
        """Merge another table's delta; return whether anything changed.

        After a delta that is not whole, the caller compares the heads; if they differ,
        it needs the whole table.
        """
        changed = False
        for name, revision, spec in delta.items:
            item = StoredObject(self.kind, name, spec, {}, revision)
            changed |= self.merge_object(item)
        for patch in delta.patches:
            changed |= self._merge_patch(patch)
        for name, revision in delta.deleted.items():
            changed |= self._merge_deletion(name, revision)
        if delta.whole:
            names = {name for name, _, _ in delta.items}
            changed |= self._delete_unlisted(delta.head.listed, names)
        if delta.whole or self._digest == delta.head.digest:
            self._complete = max(self._complete, delta.head.complete)
            self._record_listing(delta.head.listed)
        return changed

    def _merge_patch(self, patch: SpecPatch) -> bool:
        current = self.items.get(patch.name)
        if current is None or current.revision != patch.base:
            return False  # this table has moved on since the patch was made
        try:
            spec = apply_patch(current.spec, patch)
        except PatchError as exc:
            # The head doesn't move, so the sender sends the whole table next.
            logger.warning("patch ignored: {}", exc.message)
            return False
        return self.merge_object(
            StoredObject(self.kind, patch.name, spec, {}, patch.revision)
        )

    def _delete_unlisted(self, listed: int, names: Iterable[str]) -> bool:
        unlisted = [
            name
            for name, item in self.items.items()
            if item.revision <= listed and name not in names
        ]
        for name in unlisted:
            self._remove(name)
            self.deleted[name] = max(listed, self.deleted.get(name, 0))
        self._complete = max(self._complete, listed)
        self._record_listing(listed)
        return bool(unlisted)

    def _record_listing(self, listed: int) -> None:
        self._listed = max(self._listed, listed)
        covered = sorted(
            (rev, name) for name, rev in self.deleted.items() if rev <= self._listed
        )
        for revision, name in covered[:-MAX_COVERED_DELETIONS]:
            del self.deleted[name]
            self._forgotten = max(self._forgotten, revision)

    def _store(self, item: StoredObject) -> None:
        self._keep_state()
        if item.name in self.items:
            self._remove(item.name)
        self.items[item.name] = item
        self.deleted.pop(item.name, None)
        self._digest ^= _item_hash(item.name, item.revision)

    def _keep_state(self) -> None:
        """Keep the current state before a change, and drop the oldest."""
        self._patches.clear()
        if self.past_states and self.items:
            self._past[self._digest] = dict(self.items)
            if len(self._past) > self.past_states:
                self._past.popitem(last=False)

    def _remove(self, name: str) -> None:
        current = self.items.pop(name)
        self._digest ^= _item_hash(name, current.revision)
