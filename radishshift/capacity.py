"""Tables of docs/CAPACITY.md, computed from recorded bench results.

`make capacity` reads docs/capacity/*.json, each of which holds the last output line of
the bench of that name, and replaces the tables between the markers of the page.
"""

import re
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from radishshift.configuration import CONFIGURATION_KINDS
from radishshift.confirmations import CONFIRMATION_WRITE_INTERVAL_S
from radishshift.following import MIN_WATCHERS
from radishshift.leases import RENEWAL_INTERVAL_S
from radishshift.watching import RELIST_INTERVAL_S

__all__ = ["FleetSize", "main", "render", "tables"]

SECONDS_PER_DAY = 86_400
MEAN_TO_PEAK_RATIO = 1 / 3
PLATFORM_OBJECT_LIMIT_BYTES = 1_000_000
PLATFORM_WRITE_LIMIT_PER_S = 300
PLATFORM_READ_LIMIT_PER_S = 2_000
DUTIES_PER_DATA_CENTRE = 1
FLEET_WIDE_DUTIES = 4
BILL_BATCH_INTERVALS_S = (1.0, 5.0, 10.0)
TABLE_PATTERN = re.compile(r"(<!-- table: (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of the fleet for which capacity is planned.

    Attributes
    ----------
    hosts, endpoints, data_centres, entries : int
    requests_per_s, tokens_per_s : float
        At the peak.
    changes_per_day : int
    claims_per_s : float
        Non-idempotent calls, assumed to be 1 in 100 requests.
    restarts_per_day : int
    """

    hosts: int = 380
    endpoints: int = 870
    data_centres: int = 4
    entries: int = 150
    requests_per_s: float = 9_900
    tokens_per_s: float = 3_400_000
    changes_per_day: int = 2_600
    claims_per_s: float = 99
    restarts_per_day: int = 79

    @property
    def hosts_per_data_centre(self) -> int:
        """Return the number of hosts in a data centre."""
        return self.hosts // self.data_centres

    def terms(self, hosts: int | None = None) -> dict[str, float]:
        """Return the values by which the fitted slopes of `control` are multiplied."""
        hosts = self.hosts if hosts is None else hosts
        changes_per_s = self.changes_per_day / SECONDS_PER_DAY
        return {
            "base": 1.0,
            "hosts": hosts,
            "endpoints": self.endpoints,
            "entries": self.entries,
            "changes_per_s": changes_per_s,
            "hosts_changes_per_s": hosts * changes_per_s,
            "endpoints_changes_per_s": self.endpoints * changes_per_s,
        }


BenchResults = Mapping[str, Any]
Table = Callable[[BenchResults, FleetSize], Iterator[Sequence[str]]]

_TABLE_BY_NAME: dict[str, Table] = {}


def table(name: str) -> Callable[[Table], Table]:
    """Register a table under the name of its marker; its first row is the heading."""

    def register(func: Table) -> Table:
        _TABLE_BY_NAME[name] = func
        return func

    return register


def _format_number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


@table("slopes")
def _slopes(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("term", "at this size", "% of a core", "MB", "bytes/s")
    slopes = results["control"]["slopes"]
    fits = [slopes[measure] for measure in ("cpu_percent", "rss_mb", "bytes_per_s")]
    for term, amount in size.terms().items():
        each = [_format_number(fit[term]) for fit in fits]
        yield (f"each of {term}", _format_number(amount), *each)
    yield (
        "share explained (R²)",
        "",
        *(_format_number(fit["r_squared"]) for fit in fits),
    )


@table("control")
def _control(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("control-plane cost per host", "% of a core", "MB", "bytes/s")
    slopes = results["control"]["slopes"]
    fits = [slopes[measure] for measure in ("cpu_percent", "rss_mb", "bytes_per_s")]
    for hosts in (6, size.hosts_per_data_centre, size.hosts):
        terms = size.terms(hosts)
        sums = [sum(fit[t] * terms[t] for t in terms) for fit in fits]
        yield (
            f"{hosts} hosts in one peer group",
            *(_format_number(value) for value in sums),
        )
    targets = results["control"]["targets"]
    yield ("target", *(_format_number(value) for value in targets.values()))


@table("measured")
def _measured(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield (
        "hosts",
        "endpoints",
        "entries",
        "changes/s",
        "% of a core",
        "MB",
        "bytes/s",
        "bytes/s to and from the platform",
    )
    for run in results["control"]["runs"]:
        platform = run["platform_sent_per_s"] + run["platform_received_per_s"]
        yield (
            *(_format_number(run[key]) for key in ("hosts", "endpoints", "entries")),
            _format_number(run["changes_per_s"]),
            _format_number(run["added_cpu_percent"]),
            _format_number(run["added_rss_mb"]),
            _format_number(run["added_bytes_per_s"]),
            _format_number(platform),
        )


@table("roles")
def _roles(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("role", "state", "messages", "% of a core", "MB", "bytes/s", "mechanism")
    costs = _role_costs(results, size)
    yield (
        "member",
        f"{size.hosts} rows",
        "a heartbeat to 3 successors every 2 s, as many answered",
        *costs["member"],
        "ring of heartbeats, rows by version",
    )
    yield (
        "follower",
        f"{size.endpoints} endpoints, {size.entries} entries, {size.hosts} hosts",
        f"one delta request per change or burst, {size.changes_per_day:,} a day",
        *costs["follower"],
        "digest on heartbeats, deltas by revision",
    )
    yield (
        "confirmation",
        f"{size.hosts_per_data_centre} revisions",
        f"{size.hosts_per_data_centre} rows a change, to two hosts",
        *costs["confirmation"],
        "sent to the lease candidates, one object a data centre",
    )
    yield (
        "watcher (2 a data centre), in addition to a follower",
        "3 watches",
        "the events of 3 kinds, a bookmark every 5 s",
        *costs["watcher"],
        "rendezvous rank, resumed watches",
    )


def _role_costs(results: BenchResults, size: FleetSize) -> dict[str, list[str]]:
    slopes = results["control"]["slopes"]
    measures = ("cpu_percent", "rss_mb", "bytes_per_s")
    terms = size.terms()
    terms_by_role = {
        "member": ("base", "hosts"),
        "follower": (
            "endpoints",
            "entries",
            "changes_per_s",
            "endpoints_changes_per_s",
        ),
        "confirmation": ("hosts_changes_per_s",),
    }
    costs = {
        role: [
            _format_number(sum(slopes[measure][t] * terms[t] for t in role_terms))
            for measure in measures
        ]
        for role, role_terms in terms_by_role.items()
    }
    run = max(results["control"]["runs"], key=lambda run: run["hosts"])
    costs["watcher"] = [_format_number(run[f"watcher_{m}"] - run[m]) for m in measures]
    return costs


@table("kinds")
def _kinds(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("kind", "bytes/s and host")
    for kind, count in results["control"]["body_bytes_per_s_by_kind"].items():
        if not kind.endswith("messages"):
            yield (f"`{kind}`", _format_number(count))


@table("in-force")
def _in_force(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("hosts", "p50 s", "max s", "reverts", "platform calls/s", "watches")
    for run in results["config"]["runs"]:
        keys = ("hosts", "in_force_p50_s", "in_force_max_s", "reverts")
        calls = (run["platform_calls_per_s"], run["watches"])
        yield tuple(
            _format_number(value) for value in (*(run[k] for k in keys), *calls)
        )


@table("platform")
def _platform(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("source", "writes/s", "reads/s", "waiting watches", "mechanism")
    kinds = len(CONFIGURATION_KINDS)
    watches = MIN_WATCHERS * kinds * size.data_centres
    duties = FLEET_WIDE_DUTIES + DUTIES_PER_DATA_CENTRE * size.data_centres
    changes_per_s = size.changes_per_day / SECONDS_PER_DAY
    # 1.79 writes a claim, as measured for 100 claims/s (docs/design/claims.md).
    claim_writes, claim_mechanism = 1.79 * size.claims_per_s, "group commit"
    rows = [
        ("configuration", 0, watches / RELIST_INTERVAL_S, watches, "two watchers"),
        ("operators", changes_per_s, 2 * changes_per_s, 0, "conditional updates"),
        (
            "confirmations",
            min(size.data_centres / CONFIRMATION_WRITE_INTERVAL_S, 5 * changes_per_s),
            0,
            0,
            "one object a data centre",
        ),
        (
            "leases",
            duties / RENEWAL_INTERVAL_S,
            duties / RENEWAL_INTERVAL_S,
            0,
            "two candidates",
        ),
        ("claims", claim_writes, 0, 0, claim_mechanism),
        ("bills, a batch in 10 s", size.hosts / 10, 0, 0, "sealed batches"),
    ]
    for name, writes, reads, waiting, mechanism in rows:
        yield (
            name,
            _format_number(writes),
            _format_number(reads),
            _format_number(waiting),
            mechanism,
        )
    totals = [sum(row[column] for row in rows) for column in (1, 2, 3)]
    yield ("all", *(_format_number(total) for total in totals), "")
    limits = (
        f"{PLATFORM_WRITE_LIMIT_PER_S} and more",
        _format_number(PLATFORM_READ_LIMIT_PER_S),
    )
    yield ("platform limit", *limits, "counted as reads", "")


@table("bills")
def _bills(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("a batch in", "writes/s", "KB a batch", "of the limit", "objects a day")
    per_host = size.requests_per_s / size.hosts
    for batch_s in BILL_BATCH_INTERVALS_S:
        batch_bytes = per_host * batch_s * results["bills"]["bill_bytes"]
        objects = size.hosts / batch_s * SECONDS_PER_DAY
        yield (
            f"{batch_s:.0f} s",
            _format_number(size.hosts / batch_s),
            _format_number(batch_bytes / 1000),
            f"{batch_bytes / PLATFORM_OBJECT_LIMIT_BYTES:.1%}",
            _format_number(objects),
        )


@table("bill-bytes")
def _bill_volume(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("bytes a bill", "MB/s at the peak", "GB a day at a third of the peak")
    bill_bytes = results["bills"]["bill_bytes"]
    peak = size.requests_per_s * bill_bytes
    day = peak * MEAN_TO_PEAK_RATIO * SECONDS_PER_DAY
    yield (
        _format_number(results["bills"]["bill_bytes"]),
        _format_number(peak / 1e6),
        _format_number(day / 1e9),
    )


@table("nodes")
def _nodes(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("failure", "hosts left", "requests/s a host", "tokens/s a host")
    rack = size.hosts_per_data_centre // 10
    cases = [
        ("nothing", size.hosts),
        ("a rack of ten hosts", size.hosts - rack),
        ("a data centre", size.hosts - size.hosts_per_data_centre),
        ("a region, its callers sent to the other", size.hosts // 2),
    ]
    for name, left in cases:
        requests = _format_number(size.requests_per_s / left)
        yield (
            name,
            _format_number(left),
            requests,
            _format_number(size.tokens_per_s / left),
        )


@table("failover")
def _failover(results: BenchResults, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("role", "taken over after, in seconds")
    for role, seconds in results["failover"]["taken_over_s"].items():
        yield (role.replace("_", " "), _format_number(seconds))


def _markdown(rows: Iterator[Sequence[str]]) -> str:
    heading, *body = rows
    lines = [heading, ["---"] * len(heading), *body]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def tables(results: BenchResults, size: FleetSize) -> dict[str, str]:
    """Return the Markdown tables by marker name."""
    return {
        name: _markdown(make_rows(results, size))
        for name, make_rows in _TABLE_BY_NAME.items()
    }


def render(page: str, markdown_by_name: Mapping[str, str]) -> str:
    """Return a page whose tables are replaced by the given ones."""
    return TABLE_PATTERN.sub(
        lambda match: match[1] + markdown_by_name[match[2]] + match[3], page
    )


def read_bench_results(folder: Path) -> BenchResults:
    """Read the recorded bench results of a folder, by bench name."""
    return {
        path.stem: msgspec.json.decode(path.read_bytes())
        for path in sorted(folder.glob("*.json"))
    }


def main() -> None:
    """Rewrite the page with the tables for the planned fleet."""
    folder, page = map(Path, sys.argv[1:])
    markdown_by_name = tables(read_bench_results(folder), FleetSize())
    text = page.read_text(encoding="utf-8")
    page.write_text(render(text, markdown_by_name), encoding="utf-8")


if __name__ == "__main__":
    main()
