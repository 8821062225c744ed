"""Subcommands ("verbs") of the command-line client, based on `operators`."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from absl import app, flags

from radishshift.catalogue import VersionState
from radishshift.clocks import SystemClock
from radishshift.confirmations import unconfirmed_hosts
from radishshift.objects import Kind, StoredObject
from radishshift.operators import (
    Difference,
    add_entry,
    apply_catalogue,
    check_catalogue,
    diff_catalogue,
    evacuate_data_centre,
    load_catalogue,
    move_version,
    restore_data_centre,
    show_entries,
)
from radishshift.platform import Platform
from radishshift.settings import load_settings
from radishshift.tables import format_table
from radishshift.validation import read_commented_json, read_text_file

__all__ = ["LOCAL_VERBS", "VERBS", "ExitCode", "Report", "verb"]

FLAGS = flags.FLAGS
POLL_INTERVAL_S = 0.5


class ExitCode(enum.IntEnum):
    """Exit codes of the client."""

    DONE = 0
    USAGE = 1
    INVALID = 2
    LOST_RACE = 3
    NOT_FOUND = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    DIFFERENCES = 7
    REJECTED = 8


@dataclass(frozen=True, slots=True)
class Report:
    """Output of a verb.

    Attributes
    ----------
    value : object
        JSON value that is printed with `--output=json`.
    text : str
        Text with the same content that is printed otherwise.
    code : ExitCode
    """

    value: Any
    text: str
    code: ExitCode = ExitCode.DONE


Verb = Callable[[Platform, list[str]], Awaitable[Report]]

VERBS: dict[str, Verb] = {}
LOCAL_VERBS = {"check"}  # verbs that need no connection to the platform


def verb(name: str) -> Callable[[Verb], Verb]:
    """Register a function as a verb of the command line."""

    def register(func: Verb) -> Verb:
        VERBS[name] = func
        return func

    return register


def _single_argument(args: list[str], expected: str) -> str:
    if len(args) != 1:
        raise app.UsageError(f"this verb takes {expected}")
    return args[0]


@verb("check")
async def _check(_: Platform, args: list[str]) -> Report:
    """Check FILE: validate a settings file or a catalogue."""
    path = _single_argument(args, "one file")
    values = read_commented_json(read_text_file(path), path)
    if isinstance(values, dict) and "entries" in values:
        specs = load_catalogue(path)
        check_catalogue(specs)
        return Report({"entries": len(specs)}, f"{path}: {len(specs)} valid entries")
    cfg = load_settings(path)
    return Report({"host": cfg.name}, f"{path}: valid settings of {cfg.name}")


def _difference_rows(differences: list[Difference]) -> list[tuple[str, ...]]:
    rows = []
    for difference in differences:
        for field in difference.fields:
            row = (difference.type, difference.name, field.path)
            rows.append((*row, field.before or "-", field.after or "-"))
    return rows


def _difference_report(differences: list[Difference], code: ExitCode) -> Report:
    rows = _difference_rows(differences)
    headings = ("CHANGE", "ENTRY", "KEY", "PLATFORM", "FILE")
    keys = ("change", "entry", "key", "platform", "file")
    values = [dict(zip(keys, row, strict=True)) for row in rows]
    return Report(values, format_table(headings, rows), code)


@verb("diff")
async def _diff(platform: Platform, args: list[str]) -> Report:
    """Diff FILE: compare a catalogue file with the platform's catalogue."""
    specs = load_catalogue(_single_argument(args, "one file"))
    check_catalogue(specs)
    differences = await diff_catalogue(platform, specs)
    if not differences:
        return Report([], "no differences")
    return _difference_report(differences, ExitCode.DIFFERENCES)


@verb("apply")
async def _apply(platform: Platform, args: list[str]) -> Report:
    """Apply FILE [--prune]: write what differs; --prune deletes entries not in FILE."""
    specs = load_catalogue(_single_argument(args, "one file"))
    check_catalogue(specs)
    differences = await diff_catalogue(platform, specs)
    revision = await apply_catalogue(platform, differences, FLAGS.prune)
    written = sum(1 for found in differences if found.file_spec is not None)
    text = f"{written} entries written, last revision {revision}"
    return Report({"written": written, "revision": revision}, text)


@verb("add")
async def _add(platform: Platform, args: list[str]) -> Report:
    """Add NAME FILE: create an entry from a spec in a file."""
    if len(args) != 2:
        raise app.UsageError("this verb takes a name and a file")
    name, path = args
    stored = await add_entry(
        platform, name, read_commented_json(read_text_file(path), path)
    )
    return _entry_report([stored])


@verb("promote")
async def _promote(platform: Platform, args: list[str]) -> Report:
    """Promote NAME --to=STATE [--share=0.1]: move a version to its next state."""
    name = _single_argument(args, "one version")
    if FLAGS.to is None:
        raise app.UsageError("--to=STATE is required")
    stored = await move_version(platform, name, VersionState(FLAGS.to), FLAGS.share)
    return _entry_report([stored])


@verb("withdraw")
async def _withdraw(platform: Platform, args: list[str]) -> Report:
    """Withdraw NAME: route no more requests to a version."""
    name = _single_argument(args, "one version")
    stored = await move_version(platform, name, VersionState.WITHDRAWN)
    return _entry_report([stored])


@verb("evacuate")
async def _evacuate(platform: Platform, args: list[str]) -> Report:
    """Evacuate DATA-CENTRE: send nothing more to its endpoints."""
    data_centre = _single_argument(args, "one data centre")
    return _entry_report([await evacuate_data_centre(platform, data_centre)])


@verb("restore")
async def _restore(platform: Platform, args: list[str]) -> Report:
    """Restore DATA-CENTRE: use its endpoints again after an evacuation."""
    data_centre = _single_argument(args, "one data centre")
    await restore_data_centre(platform, data_centre)
    text = f"the endpoints of {data_centre} are in use again"
    return Report({"restored": data_centre}, text)


def _entry_row(item: StoredObject) -> tuple[object, ...]:
    spec = item.spec
    state = spec.get("state", "-")
    return (
        item.name,
        spec.get("type", "-"),
        state,
        spec.get("owner", "-"),
        spec.get("class", "-"),
        item.revision,
        item.writer or "-",
    )


def _entry_report(items: list[StoredObject]) -> Report:
    headings = ("ENTRY", "TYPE", "STATE", "OWNER", "CLASS", "REVISION", "WRITER")
    values = [
        {
            "name": item.name,
            "revision": item.revision,
            "writer": item.writer,
            "spec": item.spec,
            "status": item.status,
        }
        for item in items
    ]
    return Report(values, format_table(headings, [_entry_row(item) for item in items]))


@verb("show")
async def _show(platform: Platform, args: list[str]) -> Report:
    """Show [NAME ...]: show entries; --output=json shows all their fields."""
    return _entry_report(await show_entries(platform, args))


@verb("hosts")
async def _hosts(platform: Platform, args: list[str]) -> Report:
    """Hosts: show the entry hosts in the platform's list."""
    if args:
        raise app.UsageError("this verb takes no names")
    listing = await platform.list_all(Kind.HOST)
    rows = [
        (
            item.name,
            item.spec.get("dataCentre", "-"),
            item.spec.get("state", "-"),
            item.spec.get("peerAddress", "-"),
        )
        for item in listing.items
    ]
    values = [{"name": item.name, **item.spec} for item in listing.items]
    return Report(
        values, format_table(("HOST", "DATA CENTRE", "STATE", "ADDRESS"), rows)
    )


@verb("status")
async def _status(platform: Platform, args: list[str]) -> Report:
    """Status: show which catalogue revision each host has in force."""
    if args:
        raise app.UsageError("this verb takes no names")
    entries = await platform.list_all(Kind.ENTRY)
    latest = max((item.revision for item in entries.items), default=0)
    rows = []
    for item in (await platform.list_all(Kind.CONFIRMATION)).items:
        for host, revision in sorted(item.status.get("hosts", {}).items()):
            state = "in force" if revision >= latest else "behind"
            rows.append((item.name, host, revision, state))
    keys = ("dataCentre", "host", "revision", "state")
    values = [dict(zip(keys, row, strict=True)) for row in rows]
    headings = ("DATA CENTRE", "HOST", "REVISION", "STATE")
    text = f"{format_table(headings, rows)}\nlatest entry: revision {latest}"
    return Report({"latest": latest, "hosts": values}, text)


@verb("wait")
async def _wait(platform: Platform, args: list[str]) -> Report:
    """Wait [REVISION] [--wait_s=30]: wait until a revision is in force everywhere."""
    revision = await _revision(platform, args)
    clock = SystemClock()
    deadline = clock.now() + FLAGS.wait_s
    last_shown: list[str] | None = None
    while True:
        behind = await unconfirmed_hosts(platform, revision)
        if behind != last_shown and behind and FLAGS.output == "table":
            print(f"revision {revision} is not yet in force at " + ", ".join(behind))
        last_shown = behind
        if not behind or clock.now() >= deadline:
            return _wait_report(revision, behind)
        await clock.sleep_until(min(deadline, clock.now() + POLL_INTERVAL_S))


async def _revision(platform: Platform, args: list[str]) -> int:
    if args:
        text = _single_argument(args, "one revision")
        if not text.isdecimal():
            raise app.UsageError("REVISION must be a non-negative integer")
        return int(text)
    entries = await platform.list_all(Kind.ENTRY)
    return max((item.revision for item in entries.items), default=0)


def _wait_report(revision: int, behind: list[str]) -> Report:
    value = {"revision": revision, "behind": behind}
    if not behind:
        return Report(value, f"revision {revision} is in force everywhere")
    text = f"revision {revision} is not in force at " + ", ".join(behind)
    return Report(value, text, ExitCode.NOT_IN_FORCE)
