"""What operators do with the catalogue: check, compare, apply, promote, withdraw.

Every write is conditional on what the operator has seen; a lost race raises
`LostRaceError`, which tells who wrote and what became of the entry.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from radishshift.catalogue import VersionState
from radishshift.catalogue_checks import cross_entry_problems
from radishshift.errors import (
    AlreadyExistsError,
    BadRequestError,
    ConflictError,
    LostRaceError,
    NotFoundError,
    PlatformUnavailableError,
    SettingsError,
)
from radishshift.manifests import build_catalogue, read_entry
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.validation import read_commented_json, read_text_file
from radishshift.verdicts import Verdict

__all__ = [
    "Difference",
    "DifferenceType",
    "FieldChange",
    "add_entry",
    "apply_catalogue",
    "check_catalogue",
    "diff_catalogue",
    "load_catalogue",
    "move_version",
    "show_entries",
]

Specs = dict[str, dict[str, Any]]


class DifferenceType(enum.StrEnum):
    """How an entry of a file differs from the platform's."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One key whose value differs.

    Attributes
    ----------
    path : str
    before, after : str
        JSON texts; empty where the key is missing.
    """

    path: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs between a file and the platform.

    Attributes
    ----------
    type : DifferenceType
    name : str
    fields : tuple of FieldChange
    wanted : dict or None
        Spec in the file; None if the entry is not in it.
    held : StoredObject or None
        What the platform holds; writes are conditional on its revision.
    """

    type: DifferenceType
    name: str
    fields: tuple[FieldChange, ...]
    wanted: dict[str, Any] | None
    held: StoredObject | None


def load_catalogue(path: str) -> Specs:
    """Read the entries of a catalogue file, by name.

    Raises
    ------
    SettingsError
    """
    values = read_commented_json(read_text_file(path), path)
    if not isinstance(values, dict) or not isinstance(values.get("entries"), dict):
        raise SettingsError([f"{path}: expected an object with `entries`"])
    return values["entries"]


def check_catalogue(specs: Specs) -> None:
    """Check entries alone and against each other.

    Raises
    ------
    SettingsError
        Holds every problem found.
    """
    found = []
    for name, spec in specs.items():
        try:
            read_entry(name, spec)
        except SettingsError as exc:
            found.extend(exc.problems)
    if not found:
        items = [StoredObject(Kind.ENTRY, name, spec) for name, spec in specs.items()]
        found = cross_entry_problems(build_catalogue(0, items))
    if found:
        raise SettingsError(found)


def _flat(spec: Any, path: str = "") -> Iterator[tuple[str, str]]:
    if isinstance(spec, dict) and spec:
        for key, value in spec.items():
            yield from _flat(value, f"{path}.{key}" if path else key)
    else:
        yield path, msgspec.json.encode(spec).decode()


def _field_changes(
    before: dict[str, Any] | None, after: dict[str, Any] | None
) -> Iterator[FieldChange]:
    old = dict(_flat(before or {}))
    new = dict(_flat(after or {}))
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path) and path:
            yield FieldChange(path, old.get(path, ""), new.get(path, ""))


def _difference(
    name: str, wanted: dict[str, Any] | None, held: StoredObject | None
) -> Difference | None:
    fields = tuple(_field_changes(held.spec if held else None, wanted))
    if held is None:
        return Difference(DifferenceType.ADDED, name, fields, wanted, None)
    if wanted is None:
        return Difference(DifferenceType.REMOVED, name, fields, None, held)
    if not fields:
        return None
    return Difference(DifferenceType.CHANGED, name, fields, wanted, held)


async def diff_catalogue(platform: Platform, specs: Specs) -> list[Difference]:
    """Return what differs between a file's entries and the platform's."""
    listing = await platform.list_all(Kind.ENTRY)
    held = {item.name: item for item in listing.items}
    names = sorted(held.keys() | specs.keys())
    found = [_difference(name, specs.get(name), held.get(name)) for name in names]
    return [difference for difference in found if difference is not None]


async def apply_catalogue(
    platform: Platform, differences: list[Difference], prune: bool = False
) -> int:
    """Write differences to the platform; return the last revision written.

    Parameters
    ----------
    platform : Platform
    differences : list of Difference
        As `diff_catalogue` gave them.
    prune : bool
        Whether entries that the file lacks are deleted.

    Raises
    ------
    LostRaceError
        Someone has written an entry since the differences were found. Entries
        written before it stay.
    """
    revision = 0
    for difference in sorted(differences, key=_withdrawals_first):
        if difference.type is DifferenceType.REMOVED:
            if prune and difference.held is not None:
                await _delete(platform, difference.held)
            continue
        stored = await _write(platform, difference)
        revision = max(revision, stored.revision)
    return revision


def _withdrawals_first(difference: Difference) -> tuple[bool, str]:
    state = (difference.wanted or {}).get("state")
    return state != VersionState.WITHDRAWN.value, difference.name


async def _write(platform: Platform, difference: Difference) -> StoredObject:
    wanted = difference.wanted or {}
    if difference.held is not None:
        return await _update(platform, replace(difference.held, spec=wanted))
    return await add_entry(platform, difference.name, wanted)


async def add_entry(
    platform: Platform, name: str, spec: dict[str, Any]
) -> StoredObject:
    """Store a new entry.

    Raises
    ------
    LostRaceError
        Someone has stored one of that name.
    SettingsError
    """
    read_entry(name, spec)
    item = StoredObject(Kind.ENTRY, name, spec)
    try:
        return await platform.create(item)
    except AlreadyExistsError as exc:
        raise await _lost_race(platform, item) from exc
    except PlatformUnavailableError as exc:
        return await _read_back(platform, item, exc)


async def _update(platform: Platform, item: StoredObject) -> StoredObject:
    read_entry(item.name, item.spec)
    try:
        return await platform.update(item)
    except (ConflictError, NotFoundError) as exc:
        raise await _lost_race(platform, item) from exc
    except PlatformUnavailableError as exc:
        return await _read_back(platform, item, exc)


async def _delete(platform: Platform, held: StoredObject) -> None:
    try:
        await platform.delete(held.kind, held.name, held.revision)
    except ConflictError as exc:
        raise await _lost_race(platform, held) from exc
    except NotFoundError:
        return


async def _read_back(
    platform: Platform, item: StoredObject, exc: PlatformUnavailableError
) -> StoredObject:
    """Settle a write whose reply was lost by reading what is there now."""
    if exc.verdict is Verdict.NOT_RUN:
        raise exc
    now_held = await platform.get(item.kind, item.name)
    if now_held.spec == item.spec and now_held.revision > item.revision:
        return now_held
    if now_held.revision == item.revision:
        raise exc
    raise await _lost_race(platform, item) from exc


async def _lost_race(platform: Platform, mine: StoredObject) -> LostRaceError:
    try:
        theirs = await platform.get(mine.kind, mine.name)
    except NotFoundError:
        return LostRaceError(f"{mine.name} was deleted meanwhile", "", [])
    changes = [
        f"{change.path}: theirs {change.before or '-'}, yours {change.after or '-'}"
        for change in _field_changes(theirs.spec, mine.spec)
    ]
    writer = theirs.writer or "someone"
    message = f"{mine.name} was written by {writer} at revision {theirs.revision}"
    return LostRaceError(message, writer, changes)


async def move_version(
    platform: Platform,
    name: str,
    state: VersionState,
    canary_share: float | None = None,
) -> StoredObject:
    """Move a version to a state that may follow its present one.

    A version that is there already, with the same share, is left as it is, so that
    two operators who ask for the same step take it once.

    Raises
    ------
    NotFoundError
    BadRequestError
        The state may not follow, or the entry is no version.
    LostRaceError
    """
    held = await platform.get(Kind.ENTRY, name)
    if held.spec.get("type") != "version":
        raise BadRequestError(f"{name} is not a version")
    present = VersionState(held.spec.get("state", VersionState.PROPOSED.value))
    spec = dict(held.spec)
    spec["state"] = state.value
    if canary_share is not None:
        spec["canaryShare"] = canary_share
    if spec == held.spec:
        return held
    if state is not present and state not in present.next_states:
        allowed = ", ".join(present.next_states) or "nothing"
        raise BadRequestError(f"{name} is {present}; it may go to {allowed}")
    return await _update(platform, replace(held, spec=spec))


async def show_entries(platform: Platform, names: list[str]) -> list[StoredObject]:
    """Return entries by name, or all of them.

    Raises
    ------
    NotFoundError
    """
    if names:
        return [await platform.get(Kind.ENTRY, name) for name in names]
    return list((await platform.list_all(Kind.ENTRY)).items)
