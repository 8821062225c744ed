"""Tables of docs/CAPACITY.md, worked out from recorded bench files.

`make capacity` reads docs/capacity/*.json, which hold the last line of the bench of
that name, and replaces the tables between the page's markers.
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

SECONDS_A_DAY = 86_400
MEAN_OF_PEAK = 1 / 3
VALUE_LIMIT_BYTES = 1_000_000
WRITES_LIMIT_PER_S = 300
READS_LIMIT_PER_S = 2_000
DUTIES_PER_CENTRE = 1
DUTIES_FOR_ALL = 4
BILL_BATCHES_S = (1.0, 5.0, 10.0)
MARKER = re.compile(r"(<!-- table: (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size to plan for.

    Attributes
    ----------
    hosts, replicas, data_centres, entries : int
    requests_per_s, tokens_per_s : float
        At the peak.
    changes_a_day : int
    claims_per_s : float
        Non-idempotent calls, taken as 1 in 100 of the requests.
    restarts_a_day : int
    """

    hosts: int = 380
    replicas: int = 870
    data_centres: int = 4
    entries: int = 150
    requests_per_s: float = 9_900
    tokens_per_s: float = 3_400_000
    changes_a_day: int = 2_600
    claims_per_s: float = 99
    restarts_a_day: int = 79

    @property
    def hosts_per_centre(self) -> int:
        """Return the number of hosts of one data centre."""
        return self.hosts // self.data_centres

    def terms(self, hosts: int | None = None) -> dict[str, float]:
        """Return what the slopes of control are multiplied by."""
        hosts = self.hosts if hosts is None else hosts
        changes_per_s = self.changes_a_day / SECONDS_A_DAY
        return {
            "base": 1.0,
            "hosts": hosts,
            "endpoints": self.replicas,
            "entries": self.entries,
            "changes_per_s": changes_per_s,
            "hosts_changes_per_s": hosts * changes_per_s,
            "endpoints_changes_per_s": self.replicas * changes_per_s,
        }


Recorded = Mapping[str, Any]
Table = Callable[[Recorded, FleetSize], Iterator[Sequence[str]]]

_TABLES: dict[str, Table] = {}


def table(name: str) -> Callable[[Table], Table]:
    """Register a table under the name of its marker; its first row is the head."""

    def register(func: Table) -> Table:
        _TABLES[name] = func
        return func

    return register


def _number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


@table("slopes")
def _slopes(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("term", "at this size", "% of a core", "MB", "bytes/s")
    slopes = recorded["control"]["slopes"]
    fits = [slopes[measure] for measure in ("cpu_percent", "rss_mb", "bytes_per_s")]
    for term, amount in size.terms().items():
        each = [_number(fit[term]) for fit in fits]
        yield (f"each of {term}", _number(amount), *each)
    yield ("share explained (R²)", "", *(_number(fit["r_squared"]) for fit in fits))


@table("control")
def _control(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("what control adds to a node", "% of a core", "MB", "bytes/s")
    slopes = recorded["control"]["slopes"]
    fits = [slopes[measure] for measure in ("cpu_percent", "rss_mb", "bytes_per_s")]
    for hosts in (6, size.hosts_per_centre, size.hosts):
        terms = size.terms(hosts)
        sums = [sum(fit[t] * terms[t] for t in terms) for fit in fits]
        yield (f"{hosts} hosts meet each other", *(_number(value) for value in sums))
    targets = recorded["control"]["targets"]
    yield ("target", *(_number(value) for value in targets.values()))


@table("measured")
def _measured(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield (
        "hosts",
        "endpoints",
        "entries",
        "changes/s",
        "% of a core",
        "MB",
        "bytes/s",
        "of these to the platform",
    )
    for run in recorded["control"]["runs"]:
        platform = run["platform_sent_per_s"] + run["platform_received_per_s"]
        yield (
            *(_number(run[key]) for key in ("hosts", "endpoints", "entries")),
            _number(run["changes_per_s"]),
            _number(run["added_cpu_percent"]),
            _number(run["added_rss_mb"]),
            _number(run["added_bytes_per_s"]),
            _number(platform),
        )


@table("roles")
def _roles(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("role", "state", "messages", "% of a core", "MB", "bytes/s", "mechanism")
    parts = _parts(recorded, size)
    yield (
        "member",
        f"{size.hosts} rows",
        "a heartbeat to 3 successors every 2 s, as many answered",
        *parts["member"],
        "ring of heartbeats, rows by version",
    )
    yield (
        "follower",
        f"{size.replicas} endpoints, {size.entries} entries, {size.hosts} hosts",
        f"one question for each change or burst, {size.changes_a_day:,} a day",
        *parts["follower"],
        "digest on heartbeats, deltas by revision",
    )
    yield (
        "confirmation",
        f"{size.hosts_per_centre} revisions",
        f"{size.hosts_per_centre} rows a change, to two hosts",
        *parts["confirmation"],
        "told to the contenders, one object a data centre",
    )
    yield (
        "watcher (2 a data centre), more than a follower",
        "3 watches",
        "the events of 3 kinds, a bookmark every 5 s",
        *parts["watcher"],
        "rendezvous rank, resumed watches",
    )


def _parts(recorded: Recorded, size: FleetSize) -> dict[str, list[str]]:
    slopes = recorded["control"]["slopes"]
    measures = ("cpu_percent", "rss_mb", "bytes_per_s")
    terms = size.terms()
    names = {
        "member": ("base", "hosts"),
        "follower": (
            "endpoints",
            "entries",
            "changes_per_s",
            "endpoints_changes_per_s",
        ),
        "confirmation": ("hosts_changes_per_s",),
    }
    parts = {
        role: [
            _number(sum(slopes[measure][term] * terms[term] for term in of))
            for measure in measures
        ]
        for role, of in names.items()
    }
    run = max(recorded["control"]["runs"], key=lambda run: run["hosts"])
    parts["watcher"] = [_number(run[f"watcher_{m}"] - run[m]) for m in measures]
    return parts


@table("kinds")
def _kinds(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("kind", "bytes/s and host")
    for kind, count in recorded["control"]["body_bytes_per_s_by_kind"].items():
        if not kind.endswith("messages"):
            yield (f"`{kind}`", _number(count))


@table("in-force")
def _in_force(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("hosts", "p50 s", "max s", "reverts", "platform calls/s", "watches")
    for run in recorded["config"]["runs"]:
        keys = ("hosts", "in_force_p50_s", "in_force_max_s", "reverts")
        calls = (run["platform_calls_per_s"], run["watches"])
        yield tuple(_number(value) for value in (*(run[k] for k in keys), *calls))


@table("platform")
def _platform(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("source", "writes/s", "reads/s", "waiting watches", "mechanism")
    kinds = len(CONFIGURATION_KINDS)
    watches = MIN_WATCHERS * kinds * size.data_centres
    duties = DUTIES_FOR_ALL + DUTIES_PER_CENTRE * size.data_centres
    changes_per_s = size.changes_a_day / SECONDS_A_DAY
    claim_writes, wait = 1.79 * size.claims_per_s, "group commit"
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
            "two contend",
        ),
        ("claims", claim_writes, 0, 0, wait),
        ("bills, a batch in 10 s", size.hosts / 10, 0, 0, "sealed batches"),
    ]
    for name, writes, reads, waiting, mechanism in rows:
        yield (name, _number(writes), _number(reads), _number(waiting), mechanism)
    totals = [sum(row[column] for row in rows) for column in (1, 2, 3)]
    yield ("all", *(_number(total) for total in totals), "")
    limits = (f"{WRITES_LIMIT_PER_S} and more", _number(READS_LIMIT_PER_S))
    yield ("the platform takes", *limits, "counted as reads", "")


@table("bills")
def _bills(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("a batch in", "writes/s", "KB a batch", "of the limit", "objects a day")
    per_host = size.requests_per_s / size.hosts
    for batch_s in BILL_BATCHES_S:
        batch_bytes = per_host * batch_s * recorded["bills"]["bill_bytes"]
        objects = size.hosts / batch_s * SECONDS_A_DAY
        yield (
            f"{batch_s:.0f} s",
            _number(size.hosts / batch_s),
            _number(batch_bytes / 1000),
            f"{batch_bytes / VALUE_LIMIT_BYTES:.1%}",
            _number(objects),
        )


@table("bill-bytes")
def _bill_volume(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("bytes a bill", "MB/s at the peak", "GB a day at a third of the peak")
    bill_bytes = recorded["bills"]["bill_bytes"]
    peak = size.requests_per_s * bill_bytes
    day = peak * MEAN_OF_PEAK * SECONDS_A_DAY
    yield (
        _number(recorded["bills"]["bill_bytes"]),
        _number(peak / 1e6),
        _number(day / 1e9),
    )


@table("nodes")
def _nodes(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("what is gone", "hosts left", "requests/s a host", "tokens/s a host")
    rack = size.hosts_per_centre // 10
    cases = [
        ("nothing", size.hosts),
        ("a rack of ten hosts", size.hosts - rack),
        ("a data centre", size.hosts - size.hosts_per_centre),
        ("a region, its callers sent to the other", size.hosts // 2),
    ]
    for name, left in cases:
        requests = _number(size.requests_per_s / left)
        yield (name, _number(left), requests, _number(size.tokens_per_s / left))


@table("failover")
def _failover(recorded: Recorded, size: FleetSize) -> Iterator[Sequence[str]]:
    yield ("role", "taken over after, in seconds")
    for role, seconds in recorded["failover"]["taken_over_s"].items():
        yield (role.replace("_", " "), _number(seconds))


def _markdown(rows: Iterator[Sequence[str]]) -> str:
    head, *body = rows
    lines = [head, ["---"] * len(head), *body]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def tables(recorded: Recorded, size: FleetSize) -> dict[str, str]:
    """Return the tables in Markdown, by the names of their markers."""
    return {name: _markdown(make(recorded, size)) for name, make in _TABLES.items()}


def render(page: str, made: Mapping[str, str]) -> str:
    """Return a page with its tables replaced."""
    return MARKER.sub(lambda m: m[1] + made[m[2]] + m[3], page)


def read_bench_results(folder: Path) -> Recorded:
    """Return the recorded benches of a folder, by name."""
    return {
        path.stem: msgspec.json.decode(path.read_bytes())
        for path in sorted(folder.glob("*.json"))
    }


def main() -> None:
    """Replace the tables of the page."""
    folder, page = map(Path, sys.argv[1:])
    made = tables(read_bench_results(folder), FleetSize())
    text = page.read_text(encoding="utf-8")
    page.write_text(render(text, made), encoding="utf-8")


if __name__ == "__main__":
    main()
