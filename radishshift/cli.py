"""Operators' command-line client: one verb per run, on top of `operators`.

Exit codes: 0 success; 1 usage error; 2 invalid file or state change; 3 lost race;
4 not found; 5 platform unreachable; 6 not in force by the deadline; 7 differences;
8 the explained request would be rejected.
"""

import asyncio
import os
import sys
from typing import Any

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
from radishshift.platform import Platform
from radishshift.platform_access import connect_to_platform, define_platform_flags
from radishshift.verbs import LOCAL_VERBS, VERBS, ExitCode, Report

import radishshift.explain_command  # noqa: F401, isort:skip  registers its verb

__all__ = ["exit_code_of", "main", "run"]

FLAGS = flags.FLAGS


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


async def main(args: list[str]) -> Report:
    """Run a verb with its arguments and return its report, also for an error."""
    if not args or args[0] not in VERBS:
        verbs = "\n  ".join(_usage_lines())
        raise app.UsageError(f"missing or unknown verb; the verbs are:\n  {verbs}")
    name, *rest = args
    try:
        if name in LOCAL_VERBS:
            return await VERBS[name](Platform(), rest)
        async with connect_to_platform(FLAGS.writer, FLAGS.timeout_s) as platform:
            return await VERBS[name](platform, rest)
    except RadishshiftError as exc:
        return _error_report(exc)


def _usage_lines() -> list[str]:
    return [(func.__doc__ or name).strip() for name, func in VERBS.items()]


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
    define_platform_flags()
    flags.DEFINE_string(
        "writer", os.environ.get("USER", "operator"), "Name recorded as the writer."
    )
    flags.DEFINE_float("timeout_s", 5.0, "Timeout of one call, in seconds.")
    flags.DEFINE_enum("output", "table", ["table", "json"], "Output format.")
    flags.DEFINE_bool("prune", False, "With apply: delete entries that the file lacks.")
    flags.DEFINE_enum("to", None, states, "With promote: the new state.")
    flags.DEFINE_float(
        "share", None, "With promote: share of requests for the canary, 0 to 1."
    )
    flags.DEFINE_float("wait_s", 30.0, "With wait: timeout in seconds.")


def run() -> None:
    """Parse the command line and run the client."""
    define_flags()
    app.run(_main)
