"""Verbs of the operators' client, each over the functions of `operators`."""

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
    load_catalogue,
    move_version,
    show_entries,
)
from radishshift.platform import Platform
from radishshift.settings import load_settings
from radishshift.tables import format_table
from radishshift.validation import read_commented_json, read_text_file

__all__ = ["LOCAL_VERBS", "VERBS", "ExitCode", "Report", "verb"]

FLAGS = flags.FLAGS
POLL_S = 0.5


class ExitCode(enum.IntEnum):
    """What the client's exit code tells a script."""

    DONE = 0
    USAGE = 1
    INVALID = 2
    LOST_RACE = 3
    NOT_FOUND = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    DIFFERENCES = 7


@dataclass(frozen=True, slots=True)
class Report:
    """What a verb has to say.

    Attributes
    ----------
    value : object
        JSON values, for `--output=json`.
    text : str
        The same for a person.
    code : ExitCode
    """

    value: Any
    text: str
    code: ExitCode = ExitCode.DONE


Verb = Callable[[Platform, list[str]], Awaitable[Report]]

VERBS: dict[str, Verb] = {}
LOCAL_VERBS = {"check"}


def verb(name: str) -> Callable[[Verb], Verb]:
    """Register a verb of the command line."""

    def register(func: Verb) -> Verb:
        VERBS[name] = func
        return func

    return register


def _one(args: list[str], what: str) -> str:
    if len(args) != 1:
        raise app.UsageError(f"this verb takes {what}")
    return args[0]


@verb("check")
async def _check(_: Platform, args: list[str]) -> Report:
    """Check FILE: check a file of settings or a catalogue."""
    path = _one(args, "one file")
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
    """Diff FILE: compare a catalogue with the platform's."""
    specs = load_catalogue(_one(args, "one file"))
    check_catalogue(specs)
    differences = await diff_catalogue(platform, specs)
    if not differences:
        return Report([], "no differences")
    return _difference_report(differences, ExitCode.DIFFERENCES)


@verb("apply")
async def _apply(platform: Platform, args: list[str]) -> Report:
    """Apply FILE [--prune]: make the platform's catalogue like the file."""
    specs = load_catalogue(_one(args, "one file"))
    check_catalogue(specs)
    differences = await diff_catalogue(platform, specs)
    revision = await apply_catalogue(platform, differences, FLAGS.prune)
    written = sum(1 for found in differences if found.wanted is not None)
    text = f"{written} entries written, last revision {revision}"
    return Report({"written": written, "revision": revision}, text)


@verb("add")
async def _add(platform: Platform, args: list[str]) -> Report:
    """Add NAME FILE: store one new entry, its spec read from a file."""
    if len(args) != 2:
        raise app.UsageError("this verb takes a name and a file")
    name, path = args
    stored = await add_entry(
        platform, name, read_commented_json(read_text_file(path), path)
    )
    return _entry_report([stored])


@verb("promote")
async def _promote(platform: Platform, args: list[str]) -> Report:
    """Promote NAME --to=STATE [--share=0.1]: take a version one step on."""
    name = _one(args, "one version")
    if FLAGS.to is None:
        raise app.UsageError("--to names the state to go to")
    stored = await move_version(platform, name, VersionState(FLAGS.to), FLAGS.share)
    return _entry_report([stored])


@verb("withdraw")
async def _withdraw(platform: Platform, args: list[str]) -> Report:
    """Withdraw NAME: end all new work of a version."""
    name = _one(args, "one version")
    stored = await move_version(platform, name, VersionState.WITHDRAWN)
    return _entry_report([stored])


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
    """Show [NAME ...]: show entries; --output=json gives them whole."""
    return _entry_report(await show_entries(platform, args))


@verb("hosts")
async def _hosts(platform: Platform, args: list[str]) -> Report:
    """hosts: show the entry hosts that the platform lists."""
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
    """status: show what each data centre's hosts have in force."""
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
    shown: list[str] | None = None
    while True:
        behind = await unconfirmed_hosts(platform, revision)
        if behind != shown and behind and FLAGS.output == "table":
            print(f"revision {revision} is awaited at " + ", ".join(behind))
        shown = behind
        if not behind or clock.now() >= deadline:
            return _wait_report(revision, behind)
        await clock.sleep_until(min(deadline, clock.now() + POLL_S))


async def _revision(platform: Platform, args: list[str]) -> int:
    if args:
        text = _one(args, "one revision")
        if not text.isdecimal():
            raise app.UsageError("a revision is a whole number")
        return int(text)
    entries = await platform.list_all(Kind.ENTRY)
    return max((item.revision for item in entries.items), default=0)


def _wait_report(revision: int, behind: list[str]) -> Report:
    value = {"revision": revision, "behind": behind}
    if not behind:
        return Report(value, f"revision {revision} is in force everywhere")
    text = f"revision {revision} is not in force at " + ", ".join(behind)
    return Report(value, text, ExitCode.NOT_IN_FORCE)
