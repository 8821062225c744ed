"""Report on burn rates of the service-level objectives.

The burn rate of a window is its share of bad requests divided by the share that the
objective allows: at rate 1 the error budget lasts exactly to the end of the period.
Alerts follow the multi-window rules of Google's SRE workbook, chapter 5: an alert
fires when the burn rates of its long and its short window both reach its threshold.
"""

import asyncio
import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from radishshift.catalogue import Catalogue, VersionState
from radishshift.http_client import checked_connector
from radishshift.indicators import WINDOWS, Aspect, IndicatorReport, Window
from radishshift.tables import format_table

__all__ = [
    "ALERTS",
    "Alert",
    "BurnReport",
    "BurnRow",
    "Severity",
    "burn_report",
    "burn_rows",
    "gather_reports",
]

GATHER_TIMEOUT_S = 3.0
# Share of requests that versions now on hold may have answered.
ALLOWED_HELD_VERSION_SHARE = 0.01


class Severity(enum.StrEnum):
    """Urgency of an alert."""

    PAGE = "page"
    TICKET = "ticket"
    NONE = "ok"


@dataclass(frozen=True, slots=True)
class Alert:
    """An alert rule, which fires when both windows burn at `rate` or faster."""

    severity: Severity
    long_window: Window
    short_window: Window
    rate: float


ALERTS = (
    Alert(Severity.PAGE, Window.HOUR, Window.MINUTES_5, 14.4),
    Alert(Severity.PAGE, Window.HOURS_6, Window.MINUTES_30, 6.0),
    Alert(Severity.TICKET, Window.DAYS_3, Window.HOURS_6, 1.0),
)


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn rates of one customer, task class and aspect.

    Attributes
    ----------
    customer, task_class : str
    aspect : Aspect
    objective : float
        Promised share of good requests.
    rates : dict of Window to float
        Burn rate of each window that has requests.
    requests : dict of Window to int
    severity : Severity
    """

    customer: str
    task_class: str
    aspect: Aspect
    objective: float
    rates: dict[Window, float]
    requests: dict[Window, int]
    severity: Severity


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn rates over all hosts that reported.

    Attributes
    ----------
    rows : list of BurnRow
    hosts : list of str
        Hosts that reported their counts.
    missing : list of str
        Hosts that did not; the rows lack the requests that they served.
    partly_covered : list of Window
        Windows that began before the start of one of the hosts.
    """

    rows: list[BurnRow]
    hosts: list[str]
    missing: list[str]
    partly_covered: list[Window] = field(default_factory=list)


Counts = dict[tuple[str, str, Aspect], dict[Window, tuple[int, int]]]


def _held_versions(catalogue: Catalogue) -> set[str]:
    return {
        version.name
        for version in catalogue.versions.values()
        if version.state is VersionState.HELD
    }


def _merge_counts(
    reports: Iterable[IndicatorReport], held_versions: set[str]
) -> Counts:
    merged: Counts = {}
    for report in reports:
        for series in report.series:
            aspect_name, _, version = series.subject.partition(":")
            aspect = Aspect(aspect_name)
            key = (series.customer, series.task_class, aspect)
            for window, (good, total) in series.counts.items():
                if aspect is Aspect.EXPOSURE:
                    # All requests that a version now on hold answered count as bad.
                    good = 0 if version in held_versions else total
                previous = merged.setdefault(key, {}).get(window, (0, 0))
                merged[key][window] = (previous[0] + good, previous[1] + total)
    return merged


def _objective(catalogue: Catalogue, task_class: str, aspect: Aspect) -> float | None:
    if aspect is Aspect.EXPOSURE:
        return 1 - ALLOWED_HELD_VERSION_SHARE
    definition = catalogue.task_classes.get(task_class)
    return None if definition is None else definition.objectives.objective


def _burn_rate(good: int, total: int, objective: float) -> float:
    # Rounded against float error; the minimum avoids division by zero for an objective
    # of 1.
    allowed_share = max(1e-9, round(1 - objective, 9))
    return (total - good) / total / allowed_share


def _severity(rates: dict[Window, float]) -> Severity:
    for alert in ALERTS:
        long_rate = rates.get(alert.long_window, 0.0)
        short_rate = rates.get(alert.short_window, 0.0)
        if min(long_rate, short_rate) >= alert.rate:
            return alert.severity
    return Severity.NONE


def burn_rows(
    reports: Iterable[IndicatorReport], catalogue: Catalogue
) -> Iterator[BurnRow]:
    """Yield a row for each customer, task class and aspect with an objective."""
    merged = _merge_counts(reports, _held_versions(catalogue))
    for (customer, task_class, aspect), windows in sorted(merged.items()):
        objective = _objective(catalogue, task_class, aspect)
        if objective is None:
            continue
        rates = {
            window: _burn_rate(good, total, objective)
            for window, (good, total) in windows.items()
            if total
        }
        requests = {window: total for window, (_, total) in windows.items()}
        yield BurnRow(
            customer,
            task_class,
            aspect,
            objective,
            rates,
            requests,
            _severity(rates),
        )


def burn_report(
    reports: list[IndicatorReport], missing: list[str], catalogue: Catalogue
) -> BurnReport:
    """Compute the report from the gathered counts."""
    shortest_uptime_s = min(
        (report.now - report.since for report in reports), default=0.0
    )
    partly_covered = [
        window for window, window_s in WINDOWS.items() if shortest_uptime_s < window_s
    ]
    hosts = sorted(report.host for report in reports)
    rows = list(burn_rows(reports, catalogue))
    return BurnReport(rows, hosts, sorted(missing), partly_covered)


async def _fetch_report(
    session: aiohttp.ClientSession, address: str
) -> IndicatorReport:
    async with session.get(f"{address}/indicators") as resp:
        resp.raise_for_status()
        return msgspec.json.decode(await resp.read(), type=IndicatorReport)


async def gather_reports(
    addresses: list[str],
) -> tuple[list[IndicatorReport], list[str]]:
    """Fetch the counts of hosts; return the reports and the addresses that failed."""
    timeout = aiohttp.ClientTimeout(total=GATHER_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=checked_connector(), timeout=timeout
    ) as session:
        fetches = [_fetch_report(session, address) for address in addresses]
        replies = await asyncio.gather(*fetches, return_exceptions=True)
    reports = [reply for reply in replies if isinstance(reply, IndicatorReport)]
    missing = [
        address
        for address, reply in zip(addresses, replies, strict=True)
        if not isinstance(reply, IndicatorReport)
    ]
    return reports, missing


def report_text(report: BurnReport) -> str:
    """Format the report as text for a terminal."""
    windows = list(Window)
    headings = ["CUSTOMER", "CLASS", "ASPECT", "OBJECTIVE", *windows, "ALERT"]
    rows = []
    for row in report.rows:
        rates = [
            f"{row.rates[window]:.2f}" if window in row.rates else "-"
            for window in windows
        ]
        objective = f"{row.objective:.3f}"
        cells = [row.customer, row.task_class, row.aspect, objective]
        rows.append([*cells, *rates, row.severity])
    lines = [
        format_table(headings, rows),
        f"hosts: {len(report.hosts)} reported their counts",
    ]
    if report.missing:
        lines.append("unreachable: " + ", ".join(report.missing))
    if report.partly_covered:
        lines.append("partly covered: " + ", ".join(report.partly_covered))
    return "\n".join(lines)


def report_values(report: BurnReport) -> Any:
    """Convert the report to JSON values."""
    return msgspec.to_builtins(report)
