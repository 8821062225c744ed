"""Command `radishshift-burn`: the report on service-level burn, of all hosts."""

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


async def _catalogue(platform: Platform) -> Catalogue:
    listing = await platform.list_all(Kind.ENTRY)
    return build_catalogue(listing.revision, listing.items)


async def _addresses(platform: Platform) -> list[str]:
    if FLAGS.hosts:
        return FLAGS.hosts
    listing = await platform.list_all(Kind.HOST)
    return [
        item.spec["monitoringAddress"]
        for item in listing.items
        if item.spec.get("monitoringAddress")
    ]


async def _report() -> BurnReport:
    async with connect_to_platform("burn", GATHER_TIMEOUT_S) as platform:
        catalogue = await _catalogue(platform)
        reports, missing = await gather_reports(await _addresses(platform))
    return burn_report(reports, missing, catalogue)


def _main(_: list[str]) -> None:
    try:
        report = asyncio.run(_report())
    except RadishshiftError as exc:
        sys.exit(f"{exc.code}: {exc.message}")
    if FLAGS.html:
        # Plots are slow to import, and most reports are tables.
        from radishshift.burn_page import burn_page

        Path(FLAGS.html).write_text(burn_page(report), encoding="utf-8")
    if FLAGS.output == "json":
        print(msgspec.json.encode(report_values(report)).decode())
    else:
        print(report_text(report))


def run() -> None:
    """Run the report from the command line."""
    define_platform_flags()
    flags.DEFINE_list("hosts", [], "Monitoring URLs to ask, in place of the list.")
    flags.DEFINE_enum("output", "table", ["table", "json"], "Form of the output.")
    flags.DEFINE_string("html", None, "File to write the report to, as a page.")
    app.run(_main)
