"""The operators' client: one verb a run, over the functions of `operators`.

Exit codes: 0 done; 1 wrong usage; 2 invalid file or step; 3 lost race; 4 not found;
5 platform not in reach; 6 not in force by the deadline; 7 there are differences.
"""

import asyncio
import enum
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from absl import app, flags

from radishshift.catalogue import VersionState
from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    LostRaceError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
    SettingsError,
)
from radishshift.http_platform import HttpPlatform
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
from radishshift.tables import table
from radishshift.tls import client_context
from radishshift.validation import read_commented_json

__all__ = ["ExitCode", "Report", "exit_code_of", "main", "run"]

FLAGS = flags.FLAGS
PLATFORM_VARIABLE = "RADISHSHIFT_PLATFORM"


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

_VERBS: dict[str, Verb] = {}
_LOCAL_VERBS = {"check"}


def verb(name: str) -> Callable[[Verb], Verb]:
    """Register a verb of the command line."""

    def register(func: Verb) -> Verb:
        _VERBS[name] = func
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
    values = read_commented_json(_read_text(path), path)
    if isinstance(values, dict) and "entries" in values:
        specs = load_catalogue(path)
        check_catalogue(specs)
        return Report({"entries": len(specs)}, f"{path}: {len(specs)} valid entries")
    cfg = load_settings(path)
    return Report({"host": cfg.name}, f"{path}: valid settings of {cfg.name}")


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc


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
    return Report(values, table(headings, rows), code)


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
        platform, name, read_commented_json(_read_text(path), path)
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
    return Report(values, table(headings, [_entry_row(item) for item in items]))


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
    return Report(values, table(("HOST", "DATA CENTRE", "STATE", "ADDRESS"), rows))


def exit_code_of(exc: RadishshiftError) -> ExitCode:
    """Return the exit code of an error."""
    if isinstance(exc, LostRaceError | ConflictError | AlreadyExistsError):
        return ExitCode.LOST_RACE
    if isinstance(exc, NotFoundError):
        return ExitCode.NOT_FOUND
    if isinstance(exc, PlatformUnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.INVALID


def _error_report(exc: RadishshiftError) -> Report:
    value: dict[str, Any] = {"error": exc.code, "message": exc.message}
    lines = [f"{exc.code}: {exc.message}"]
    if isinstance(exc, SettingsError):
        value["problems"] = exc.problems
        lines = exc.problems
    if isinstance(exc, LostRaceError):
        value |= {"writer": exc.writer, "changes": exc.changes}
        lines += [f"  {change}" for change in exc.changes]
    return Report(value, "\n".join(lines), exit_code_of(exc))


@asynccontextmanager
async def _platform() -> AsyncIterator[Platform]:
    address = FLAGS.platform or os.environ.get(PLATFORM_VARIABLE)
    if not address:
        raise app.UsageError(f"give --platform or set {PLATFORM_VARIABLE}")
    headers = {}
    if FLAGS.token_file:
        token = _read_text(FLAGS.token_file).strip()
        headers["Authorization"] = f"Bearer {token}"
    context = client_context(FLAGS.ca_file) if FLAGS.ca_file else True
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        yield HttpPlatform(session, address, FLAGS.writer, FLAGS.timeout_s)


async def main(args: list[str]) -> Report:
    """Run a verb with its arguments; errors become reports."""
    if not args or args[0] not in _VERBS:
        verbs = "\n  ".join(_usage_lines())
        raise app.UsageError(f"the verbs are:\n  {verbs}")
    name, *rest = args
    try:
        if name in _LOCAL_VERBS:
            return await _VERBS[name](Platform(), rest)
        async with _platform() as platform:
            return await _VERBS[name](platform, rest)
    except RadishshiftError as exc:
        return _error_report(exc)


def _usage_lines() -> list[str]:
    return [(func.__doc__ or name).strip() for name, func in _VERBS.items()]


def _main(argv: list[str]) -> None:
    report = asyncio.run(main(argv[1:]))
    failed = report.code not in (ExitCode.DONE, ExitCode.DIFFERENCES)
    out = sys.stderr if failed and FLAGS.output == "table" else sys.stdout
    if FLAGS.output == "json":
        print(msgspec.json.encode(report.value).decode(), file=out)
    else:
        print(report.text, file=out)
    sys.exit(report.code)


def define_flags() -> None:
    """Define the flags of the command line."""
    states = [state.value for state in VersionState]
    flags.DEFINE_string("platform", None, "Base URL of the platform's object API.")
    flags.DEFINE_string("token_file", None, "File with the operator's token.")
    flags.DEFINE_string("ca_file", None, "File with the platform's CA certificates.")
    flags.DEFINE_string(
        "writer", os.environ.get("USER", "operator"), "Name left on what is written."
    )
    flags.DEFINE_float("timeout_s", 5.0, "Longest wait for one call, in seconds.")
    flags.DEFINE_enum("output", "table", ["table", "json"], "Form of the output.")
    flags.DEFINE_bool("prune", False, "With apply: delete what the file lacks.")
    flags.DEFINE_enum("to", None, states, "With promote: the state to go to.")
    flags.DEFINE_float("share", None, "With promote: the canary's share, 0 to 1.")
    flags.DEFINE_float("wait_s", 30.0, "With wait: when to give up, in seconds.")


def run() -> None:
    """Run the client from the command line."""
    define_flags()
    app.run(_main)
