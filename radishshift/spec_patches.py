"""Differences between two specs of an object.

A spec that holds long lists of named entries, such as the routes of a configuration,
changes in few of them at a time. A patch carries the entries that differ, by name, and
a digest of the result.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from radishshift.errors import PatchError

__all__ = [
    "EntryChanges",
    "SpecPatch",
    "apply_patch",
    "digest",
    "make_patch",
    "spec_digest",
]

Spec = dict[str, Any]


class EntryChanges(msgspec.Struct, array_like=True):
    """Changes of a list of named entries.

    Attributes
    ----------
    removed : list of str
        Names of the entries that are gone.
    entries : list of dict
        Those that replace one of the same name, and those to append.
    """

    removed: list[str]
    entries: list[dict[str, Any]]


class SpecPatch(msgspec.Struct, array_like=True):
    """Changes that lead from one revision of an object to another.

    Attributes
    ----------
    name : str
        Name of the object.
    base, revision : int
        Revisions before and after.
    digest : int
        Digest of the spec after the changes.
    removed : list of str
        Fields that are gone.
    fields : dict
        Fields with their new values.
    lists : dict of str to EntryChanges
        Changes of fields that are lists of named entries.
    """

    name: str
    base: int
    revision: int
    digest: int
    removed: list[str]
    fields: dict[str, Any]
    lists: dict[str, EntryChanges]


def digest(data: bytes) -> int:
    """Return a hash of 53 bits.

    A number in JSON holds them exactly even if it is read as a double.
    """
    return xxhash.xxh64_intdigest(data) >> 11


def spec_digest(spec: Spec) -> int:
    """Return a digest of a spec that does not depend on the order of its fields."""
    return digest(msgspec.json.encode(spec, order="deterministic"))


def make_patch(
    name: str, before: tuple[int, Spec], after: tuple[int, Spec]
) -> SpecPatch | None:
    """Return the patch from one revision of an object to another.

    Parameters
    ----------
    name : str
        Name of the object.
    before, after : tuple of int and dict
        Revisions and specs.

    Returns
    -------
    SpecPatch or None
        None if the specs differ in a way that can't be told, as false from 0.
    """
    base, old = before
    revision, new = after
    patch = SpecPatch(name, base, revision, spec_digest(new), [], {}, {})
    patch.removed = [key for key in old if key not in new]
    for key, value in new.items():
        if key in old and old[key] == value:
            continue
        changes = _entry_changes(old.get(key), value)
        if changes is None:
            patch.fields[key] = value
        else:
            patch.lists[key] = changes
    try:
        apply_patch(old, patch)
    except PatchError:
        return None
    return patch


def apply_patch(spec: Spec, patch: SpecPatch) -> Spec:
    """Return the spec that a patch leads to; entries that stay are shared.

    Raises
    ------
    PatchError
        The result is not what the patch was made for.
    """
    patched = {key: value for key, value in spec.items() if key not in patch.removed}
    patched |= patch.fields
    for key, changes in patch.lists.items():
        entries = patched.get(key)
        if not _are_named(entries):
            raise PatchError(f"{patch.name} has no list of named entries {key}")
        patched[key] = _change_entries(entries, changes)
    if spec_digest(patched) != patch.digest:
        raise PatchError(f"the patch of {patch.name} leads to another spec")
    return patched


def _entry_changes(old: Any, new: Any) -> EntryChanges | None:
    """Return the changes between two lists, or None if they can't be told by name."""
    if not (_are_named(old) and _are_named(new)):
        return None
    known = {entry["name"]: entry for entry in old}
    names = {entry["name"] for entry in new}
    changes = EntryChanges(
        [name for name in known if name not in names],
        [entry for entry in new if known.get(entry["name"]) != entry],
    )
    if [entry["name"] for entry in _change_entries(old, changes)] != [
        entry["name"] for entry in new
    ]:
        return None  # in another order
    return changes


def _change_entries(
    entries: Iterable[dict[str, Any]], changes: EntryChanges
) -> list[dict[str, Any]]:
    changed = {entry["name"]: entry for entry in entries}
    for name in changes.removed:
        changed.pop(name, None)
    changed |= {entry["name"]: entry for entry in changes.entries}
    return list(changed.values())


def _are_named(entries: Any) -> bool:
    """Return whether a value is a list of entries with names that differ."""
    if not isinstance(entries, list):
        return False
    names = [entry.get("name") for entry in entries if isinstance(entry, dict)]
    return (
        len(names) == len(entries)
        and all(isinstance(name, str) for name in names)
        and len(set(names)) == len(names)
    )
