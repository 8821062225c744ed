"""Operations on the catalogue: check, compare, apply, promote, withdraw, evacuate.

Every write is conditional on the revision that the operator has read. If the entry was
written in the meantime, `LostRaceError` names the writer and the changed keys.
"""

import enum
from collections.abc import Iterator
from contextlib import suppress
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
    "evacuate_data_centre",
    "load_catalogue",
    "move_version",
    "restore_data_centre",
    "show_entries",
]

EVACUATION_PREFIX = "evacuation-"  # of the names of these entries

Specs = dict[str, dict[str, Any]]


class DifferenceType(enum.StrEnum):
    """How an entry in a file differs from the entry on the platform."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One key of an entry whose value differs.

    Attributes
    ----------
    path : str
        Keys from the root of the spec, joined by dots.
    before, after : str
        Values as JSON; empty where the key is missing.
    """

    path: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry whose specs in a file and on the platform differ.

    Attributes
    ----------
    type : DifferenceType
    name : str
    fields : tuple of FieldChange
    file_spec : dict or None
        Spec in the file; None if the file lacks the entry.
    stored : StoredObject or None
        Entry on the platform, None if it lacks the entry. Writes are conditional on
        its revision.
    """

    type: DifferenceType
    name: str
    fields: tuple[FieldChange, ...]
    file_spec: dict[str, Any] | None
    stored: StoredObject | None


def load_catalogue(path: str) -> Specs:
    """Read the specs in a catalogue file, by entry name.

    Raises
    ------
    SettingsError
    """
    values = read_commented_json(read_text_file(path), path)
    if not isinstance(values, dict) or not isinstance(values.get("entries"), dict):
        raise SettingsError([f"{path}: expected an object with `entries`"])
    return values["entries"]


def check_catalogue(specs: Specs) -> None:
    """Check each entry and the references between entries.

    Raises
    ------
    SettingsError
        Holds every problem found.
    """
    problems = []
    for name, spec in specs.items():
        try:
            read_entry(name, spec)
        except SettingsError as exc:
            problems.extend(exc.problems)
    if not problems:
        items = [StoredObject(Kind.ENTRY, name, spec) for name, spec in specs.items()]
        problems = cross_entry_problems(build_catalogue(0, items))
    if problems:
        raise SettingsError(problems)


def _flatten(spec: Any, path: str = "") -> Iterator[tuple[str, str]]:
    if isinstance(spec, dict) and spec:
        for key, value in spec.items():
            yield from _flatten(value, f"{path}.{key}" if path else key)
    else:
        yield path, msgspec.json.encode(spec).decode()


def _field_changes(
    before: dict[str, Any] | None, after: dict[str, Any] | None
) -> Iterator[FieldChange]:
    old = dict(_flatten(before or {}))
    new = dict(_flatten(after or {}))
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path) and path:
            yield FieldChange(path, old.get(path, ""), new.get(path, ""))


def _difference(
    name: str, file_spec: dict[str, Any] | None, stored: StoredObject | None
) -> Difference | None:
    fields = tuple(_field_changes(stored.spec if stored else None, file_spec))
    if stored is None:
        return Difference(DifferenceType.ADDED, name, fields, file_spec, None)
    if file_spec is None:
        return Difference(DifferenceType.REMOVED, name, fields, None, stored)
    if not fields:
        return None
    return Difference(DifferenceType.CHANGED, name, fields, file_spec, stored)


async def diff_catalogue(platform: Platform, specs: Specs) -> list[Difference]:
    """Return the differences between the entries in a file and on the platform."""
    listing = await platform.list_all(Kind.ENTRY)
    stored = {item.name: item for item in listing.items}
    names = sorted(stored.keys() | specs.keys())
    differences = [
        _difference(name, specs.get(name), stored.get(name)) for name in names
    ]
    return [difference for difference in differences if difference is not None]


async def apply_catalogue(
    platform: Platform, differences: list[Difference], prune: bool = False
) -> int:
    """Write differences to the platform; return the highest revision written.

    Withdrawals are written first.

    Parameters
    ----------
    platform : Platform
    differences : list of Difference
        As returned by `diff_catalogue`.
    prune : bool
        Whether to delete entries that the file lacks.

    Raises
    ------
    LostRaceError
        Another writer has changed an entry since the comparison. Entries that were
        written before the error are kept.
    """
    revision = 0
    for difference in sorted(differences, key=_withdrawals_first):
        if difference.type is DifferenceType.REMOVED:
            if prune and difference.stored is not None:
                await _delete(platform, difference.stored)
            continue
        stored = await _write(platform, difference)
        revision = max(revision, stored.revision)
    return revision


def _withdrawals_first(difference: Difference) -> tuple[bool, str]:
    state = (difference.file_spec or {}).get("state")
    return state != VersionState.WITHDRAWN.value, difference.name


async def _write(platform: Platform, difference: Difference) -> StoredObject:
    file_spec = difference.file_spec or {}
    if difference.stored is not None:
        return await _update(platform, replace(difference.stored, spec=file_spec))
    return await add_entry(platform, difference.name, file_spec)


async def add_entry(
    platform: Platform, name: str, spec: dict[str, Any]
) -> StoredObject:
    """Store a new entry.

    Raises
    ------
    LostRaceError
        An entry of that name exists.
    SettingsError
    """
    read_entry(name, spec)
    item = StoredObject(Kind.ENTRY, name, spec)
    try:
        return await platform.create(item)
    except AlreadyExistsError as exc:
        raise await _lost_race_error(platform, item) from exc
    except PlatformUnavailableError as exc:
        return await _read_back(platform, item, exc)


async def _update(platform: Platform, item: StoredObject) -> StoredObject:
    read_entry(item.name, item.spec)
    try:
        return await platform.update(item)
    except (ConflictError, NotFoundError) as exc:
        raise await _lost_race_error(platform, item) from exc
    except PlatformUnavailableError as exc:
        return await _read_back(platform, item, exc)


async def _delete(platform: Platform, stored: StoredObject) -> None:
    try:
        await platform.delete(stored.kind, stored.name, stored.revision)
    except ConflictError as exc:
        raise await _lost_race_error(platform, stored) from exc
    except NotFoundError:
        return


async def _read_back(
    platform: Platform, item: StoredObject, exc: PlatformUnavailableError
) -> StoredObject:
    """Find out by reading whether a write whose reply was lost has taken effect."""
    if exc.verdict is Verdict.NOT_RUN:
        raise exc
    current = await platform.get(item.kind, item.name)
    if current.spec == item.spec and current.revision > item.revision:
        return current
    if current.revision == item.revision:
        raise exc
    raise await _lost_race_error(platform, item) from exc


async def _lost_race_error(
    platform: Platform, attempted: StoredObject
) -> LostRaceError:
    try:
        current = await platform.get(attempted.kind, attempted.name)
    except NotFoundError:
        return LostRaceError(f"{attempted.name} was deleted meanwhile", "", [])
    changes = [
        f"{change.path}: stored {change.before or '-'}, attempted {change.after or '-'}"
        for change in _field_changes(current.spec, attempted.spec)
    ]
    writer = current.writer or "someone"
    message = f"{attempted.name} was written by {writer} at revision {current.revision}"
    return LostRaceError(message, writer, changes)


async def move_version(
    platform: Platform,
    name: str,
    state: VersionState,
    canary_share: float | None = None,
) -> StoredObject:
    """Change the state of a version to one that is allowed after its current state.

    The operation is idempotent: a version that already has the state and the canary
    share is not written, so two operators who request the same step perform it once.

    Raises
    ------
    NotFoundError
    BadRequestError
        The state is not allowed after the current one, or the entry is not a version.
    LostRaceError
    """
    stored = await platform.get(Kind.ENTRY, name)
    if stored.spec.get("type") != "version":
        raise BadRequestError(f"{name} is not a version")
    current_state = VersionState(stored.spec.get("state", VersionState.PROPOSED.value))
    spec = dict(stored.spec)
    spec["state"] = state.value
    if canary_share is not None:
        spec["canaryShare"] = canary_share
    if spec == stored.spec:
        return stored
    if state is not current_state and state not in current_state.next_states:
        allowed = ", ".join(current_state.next_states) or "nothing"
        raise BadRequestError(f"{name} is {current_state}; allowed next: {allowed}")
    return await _update(platform, replace(stored, spec=spec))


async def evacuate_data_centre(platform: Platform, data_centre: str) -> StoredObject:
    """Order that nothing be sent to the endpoints of a data centre.

    The operation is idempotent.

    Raises
    ------
    NotFoundError
        The platform lists no endpoint there.
    LostRaceError
    """
    endpoints = (await platform.list_all(Kind.ENDPOINT)).items
    if not any(item.spec.get("dataCentre") == data_centre for item in endpoints):
        raise NotFoundError(f"no endpoint is listed in data centre {data_centre}")
    name = EVACUATION_PREFIX + data_centre
    spec = {
        "type": "evacuation",
        "owner": "operators",
        "class": "evacuation",
        "dataCentre": data_centre,
    }
    with suppress(NotFoundError):
        stored = await platform.get(Kind.ENTRY, name)
        if stored.spec == spec:
            return stored
    return await add_entry(platform, name, spec)


async def restore_data_centre(platform: Platform, data_centre: str) -> None:
    """Take an order of `evacuate_data_centre` back.

    Raises
    ------
    NotFoundError
        There is no such order.
    LostRaceError
    """
    stored = await platform.get(Kind.ENTRY, EVACUATION_PREFIX + data_centre)
    await _delete(platform, stored)


async def show_entries(platform: Platform, names: list[str]) -> list[StoredObject]:
    """Return the named entries, or all entries if no names are given.

    Raises
    ------
    NotFoundError
    """
    if names:
        return [await platform.get(Kind.ENTRY, name) for name in names]
    return list((await platform.list_all(Kind.ENTRY)).items)
