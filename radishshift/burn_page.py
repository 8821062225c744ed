"""The burn report as a self-contained HTML page."""

import html
import io
from collections.abc import Iterator

import matplotlib as mpl
from matplotlib.figure import Figure

from radishshift.burn import ALERTS, BurnReport, BurnRow, Severity
from radishshift.indicators import Window

__all__ = ["burn_page"]

STYLE = """
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: .3em .8em; text-align: left; border-bottom: 1px solid #ddd; }
tr.page td { background: #f8d7da; }
tr.ticket td { background: #fff3cd; }
"""
BAR_HEIGHT_INCHES = 0.32


def _plot(rows: list[BurnRow], window: Window) -> str:
    plotted_rows = [row for row in rows if window in row.rates]
    if not plotted_rows:
        return ""
    height = 1.2 + BAR_HEIGHT_INCHES * len(plotted_rows)
    figure = Figure(figsize=(9, height), layout="constrained")
    axes = figure.subplots()
    names = [f"{row.customer} {row.task_class} {row.aspect}" for row in plotted_rows]
    rates = [row.rates[window] for row in plotted_rows]
    axes.barh(names, rates, color="#4c78a8")
    axes.axvline(1.0, color="#888888", linestyle="--", label="allowance")
    for alert in ALERTS:
        if window in (alert.long_window, alert.short_window):
            label = f"{alert.severity} with {alert.long_window}"
            axes.axvline(alert.rate, color="#c0392b", linestyle="--", label=label)
    axes.set_xlabel(f"burn rate over {window}")
    axes.invert_yaxis()
    axes.legend(loc="lower right")
    out = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": "radishshift", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _table_rows(report: BurnReport) -> Iterator[str]:
    for row in report.rows:
        cells = [row.customer, row.task_class, row.aspect, f"{row.objective:.3f}"]
        for window in Window:
            cells.append(f"{row.rates[window]:.2f}" if window in row.rates else "–")
        cells.append(row.severity)
        class_attribute = (
            "" if row.severity is Severity.NONE else f' class="{row.severity}"'
        )
        body = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        yield f"<tr{class_attribute}>{body}</tr>"


def burn_page(report: BurnReport) -> str:
    """Return a report as an HTML page."""
    headings = ["customer", "class", "aspect", "objective", *Window, "alert"]
    head = "".join(f"<th>{heading}</th>" for heading in headings)
    body = "\n".join(_table_rows(report))
    missing = ", ".join(report.missing) or "none"
    partial_windows = ", ".join(report.partly_covered) or "none"
    plots = "\n".join(_plot(report.rows, window) for window in Window)
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>{STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>Hosts that reported their counts: {len(report.hosts)}. Unreachable:
{html.escape(missing)}. Partly covered windows: {html.escape(partial_windows)}.</p>
<table><thead><tr>{head}</tr></thead><tbody>
{body}
</tbody></table>
{plots}
</body></html>
"""
