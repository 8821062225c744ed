"""Command `radishshift-burn`: report burn rates over all hosts."""

import asyncio
import sys
from pathlib import Path

import msgspec
from absl import app, flags

from radishshift.burn import (
    GATHER_TIMEOUT_S,
    BurnReport,
    burn_report,
    gather_reports,
    report_text,
    report_values,
)
from radishshift.catalogue import Catalogue
from radishshift.errors import RadishshiftError
from radishshift.manifests import build_catalogue
from radishshift.objects import Kind
from radishshift.platform import Platform
from radishshift.platform_access import connect_to_platform, define_platform_flags

__all__ = ["run"]

FLAGS = flags.FLAGS


async def _read_catalogue(platform: Platform) -> Catalogue:
    listing = await platform.list_all(Kind.ENTRY)
    return build_catalogue(listing.revision, listing.items)


async def _monitoring_addresses(platform: Platform) -> list[str]:
    if FLAGS.hosts:
        return FLAGS.hosts
    listing = await platform.list_all(Kind.HOST)
    return [
        item.spec["monitoringAddress"]
        for item in listing.items
        if item.spec.get("monitoringAddress")
    ]


async def _make_report() -> BurnReport:
    async with connect_to_platform("burn", GATHER_TIMEOUT_S) as platform:
        catalogue = await _read_catalogue(platform)
        reports, missing = await gather_reports(await _monitoring_addresses(platform))
    return burn_report(reports, missing, catalogue)


def _main(_: list[str]) -> None:
    try:
        report = asyncio.run(_make_report())
    except RadishshiftError as exc:
        sys.exit(f"{exc.code}: {exc.message}")
    if FLAGS.html:
        # Imported only when needed, as matplotlib is slow to import.
        from radishshift.burn_page import burn_page

        Path(FLAGS.html).write_text(burn_page(report), encoding="utf-8")
    if FLAGS.output == "json":
        print(msgspec.json.encode(report_values(report)).decode())
    else:
        print(report_text(report))


def run() -> None:
    """Parse the command line and print the report."""
    define_platform_flags()
    flags.DEFINE_list(
        "hosts", [], "Monitoring URLs of hosts, instead of the platform's list."
    )
    flags.DEFINE_enum("output", "table", ["table", "json"], "Output format.")
    flags.DEFINE_string(
        "html", None, "File to which the report is written as an HTML page."
    )
    app.run(_main)
