"""Runs randomized soak tests of host processes and reports which promises broke.

    python tools/fault_soak.py --seeds=50 --first_seed=1 --hosts=4 --time=15 --jobs=2
    python tools/fault_soak.py --faults=stops --time=20

Each host is a process of its own on loopback. Seeds that broke a promise are appended
to `tests/soak/failed-seeds.txt`, and the logs of their hosts written to `--logs`.
"""

import asyncio
import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.soak.fleet import PROGRAM  # noqa: E402
from tests.soak.modes import MODES  # noqa: E402
from tests.soak.soak import SoakResult, run_seed  # noqa: E402

FAILED_SEEDS_FILE = ROOT / "tests" / "soak" / "failed-seeds.txt"

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 5, "number of seeds to run")
flags.DEFINE_integer("first_seed", 1, "first seed")
flags.DEFINE_integer("hosts", 4, "number of hosts in each deployment")
flags.DEFINE_float("time", 15.0, "seconds under faults, for each seed")
flags.DEFINE_enum("faults", "all", sorted(MODES), "which faults to inject")
flags.DEFINE_integer("jobs", 2, "seeds to run at a time")
flags.DEFINE_list(
    "programs",
    [str(PROGRAM)],
    "programs of the hosts, which take them in turn; of earlier builds, for example",
)
flags.DEFINE_string(
    "logs", "", "folder for the hosts' logs of seeds that broke a promise"
)


def _run(
    seed: int, hosts: int, time_s: float, faults: str, programs: list[Path]
) -> SoakResult:
    # Stand-ins reset connections as injected faults, which aiohttp would log as errors.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    return asyncio.run(run_seed(seed, hosts, time_s, faults, programs))


def _record_failure(result: SoakResult) -> None:
    with FAILED_SEEDS_FILE.open("a", encoding="utf-8") as file:
        file.write(
            f"{result.seed} {FLAGS.hosts} {FLAGS.time:g} {FLAGS.faults} "
            f"{result.broken[0]}\n"
        )
    if FLAGS.logs:
        path = Path(FLAGS.logs) / f"seed-{result.seed}.log"
        path.write_text(result.log, encoding="utf-8")


def _describe_stops(result: SoakResult) -> str:
    """Return how many hosts were stopped, and how long they went on."""
    times_s = [stop.ended_at - stop.signalled_at for stop in result.stops]
    if not times_s:
        return "0 stops"
    killed = sum(stop.killed for stop in result.stops)
    return (
        f"{len(times_s)} stops ({killed} killed) of {min(times_s):.2f} to "
        f"{max(times_s):.2f} s"
    )


def _main(_: list[str]) -> None:
    programs = [Path(name).resolve() for name in FLAGS.programs]
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    failed = 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        futures = [
            pool.submit(_run, seed, FLAGS.hosts, FLAGS.time, FLAGS.faults, programs)
            for seed in seeds
        ]
        for fut in futures:
            result = fut.result()
            statuses = " ".join(f"{k}:{v}" for k, v in sorted(result.statuses.items()))
            print(
                f"seed {result.seed}: {sum(result.faults.values())} faults, "
                f"{_describe_stops(result)}, answers {statuses}, "
                f"repeats {result.repeat_ratio:.2f} of those allowed, "
                f"{result.extra_count} answers too many "
                f"({result.same_id_count} with the ID under way), "
                f"{result.late_count} read late, "
                f"{len(result.broken)} broken",
                flush=True,
            )
            for path, crashes, late in result.crashing:
                print(f"    {path}: {crashes} crashes, {late} late", flush=True)
            if result.crashing:
                print(f"    sound, not served: {dict(result.sound_failures)}")
            for line in result.broken[:10]:
                print(f"    {line}", flush=True)
            if result.broken:
                failed += 1
                _record_failure(result)
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(_main)
