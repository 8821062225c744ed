"""Runs simulated days of a site with many seeds and reports which rules they broke.

    python tools/days.py --bench=PATH --site=SITE.toml --seeds=5 --jobs=3 --why=TEXT

The days are those of `deploy/days/` and, with `--standard`, those of the site file. The
table goes to standard output; seeds that broke a rule are appended to
`deploy/failed-days.txt`.
"""

import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from absl import app, flags

ROOT = Path(__file__).resolve().parent.parent
FAILED_DAYS_FILE = ROOT / "deploy" / "failed-days.txt"
RESULT_ROW_PATTERN = re.compile(
    r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE
)
BROKEN_RULES_PATTERN = re.compile(r"^rules broken: (.*)$", re.MULTILINE)

FLAGS = flags.FLAGS
flags.DEFINE_string("bench", None, "path of the users' benchmark program")
flags.DEFINE_string("site", None, "path of the site file")
flags.DEFINE_integer("seeds", 5, "number of seeds to run each day with")
flags.DEFINE_integer("first_seed", 1, "first seed")
flags.DEFINE_integer("jobs", 3, "days to run at a time")
flags.DEFINE_string("why", "days of our own", "reason to write to the journal")
flags.DEFINE_bool("standard", False, "run the days of the site file too")
flags.DEFINE_string("only", "", "run only days whose name contains this")
flags.mark_flags_as_required(["bench", "site"])


@dataclass
class DayResult:
    """Outcome of a day with each of its seeds.

    Attributes
    ----------
    worth : list of float
        Worth of each run as the benchmark prints it, in the order of seeds.
    broken : dict of int to str
        Broken rules, by seed.
    """

    name: str
    worth: list[float] = field(default_factory=list)
    broken: dict[int, str] = field(default_factory=dict)


def day_names(site: Path) -> Iterator[str]:
    """Yield the days to run, named as the benchmark program expects them."""
    for path in sorted((ROOT / "deploy" / "days").glob("*.toml")):
        if FLAGS.only in path.stem:
            yield str(path.relative_to(ROOT))
    if FLAGS.standard:
        days = tomllib.loads(site.read_text(encoding="utf-8"))["day"]
        yield from (day["name"] for day in days if FLAGS.only in day["name"])


def run_day(day: str, seed: int) -> tuple[float, str]:
    """Run a day once; return its worth and the rules that it broke."""
    vary = ["--vary"] if seed > 1 and day.endswith(".toml") else []
    command = [FLAGS.bench, "run", FLAGS.site, day, "--seed", str(seed), *vary]
    command += ["--jobs", "1", "--why", f"{FLAGS.why}: {day}, seed {seed}"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    row = RESULT_ROW_PATTERN.search(completed.stdout)
    if row is None:
        return 0.0, f"not run: {(completed.stdout + completed.stderr)[-200:]!r}"
    broken = BROKEN_RULES_PATTERN.search(completed.stdout)
    return float(row[2]), broken[1] if broken else ""


def main(_: list[str]) -> None:
    """Run all days and print the table."""
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    results = {name: DayResult(name) for name in day_names(Path(FLAGS.site))}
    jobs = [(name, seed) for name in results for seed in seeds]
    with ThreadPoolExecutor(FLAGS.jobs) as pool:
        outcomes = pool.map(lambda job: run_day(*job), jobs)
        for (name, seed), (worth, broken) in zip(jobs, outcomes, strict=True):
            results[name].worth.append(worth)
            if broken:
                results[name].broken[seed] = broken
                print(f"BROKEN {name} seed {seed}: {broken}", file=sys.stderr)
    site = Path(FLAGS.site).stem
    print(f"| day on {site} | seeds | minimum worth | mean worth | broken |")
    print("|---|---|---|---|---|")
    for result in results.values():
        mean = sum(result.worth) / len(result.worth)
        broken = "; ".join(f"{seed}: {rules}" for seed, rules in result.broken.items())
        name = Path(result.name).stem
        print(
            f"| {name} | {seeds[0]} to {seeds[-1]} | {min(result.worth):.2f}"
            f" | {mean:.2f} | {broken or 'none'} |"
        )
    failed = [
        f"{site} {result.name} --seed {seed}: {rules}\n"
        for result in results.values()
        for seed, rules in result.broken.items()
    ]
    if failed:
        with FAILED_DAYS_FILE.open("a", encoding="utf-8") as file:
            file.writelines(failed)


if __name__ == "__main__":
    app.run(main)
