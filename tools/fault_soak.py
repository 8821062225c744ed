"""Plays randomized fault soaks of whole hosts and says which promises broke.

    python tools/fault_soak.py --seeds=50 --first_seed=1 --hosts=4 --time=15 --jobs=2

Hosts are processes of their own on loopback. Seeds that failed are added to
`tests/soak/failed-seeds.txt`, and their hosts' logs kept under `--logs`.
"""

import asyncio
import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.soak.soak import SoakResult, play  # noqa: E402

FAILED = ROOT / "tests" / "soak" / "failed-seeds.txt"

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 5, "seeds to play")
flags.DEFINE_integer("first_seed", 1, "first of them")
flags.DEFINE_integer("hosts", 4, "hosts of each deployment")
flags.DEFINE_float("time", 15.0, "seconds under faults, of each seed")
flags.DEFINE_integer("jobs", 2, "seeds played at a time")
flags.DEFINE_string("logs", "", "folder for the logs of seeds that failed")


def _play(seed: int, hosts: int, time_s: float) -> SoakResult:
    # Stand-ins that reset connections on command are no errors here.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    return asyncio.run(play(seed, hosts, time_s))


def _keep(result: SoakResult) -> None:
    with FAILED.open("a", encoding="utf-8") as file:
        file.write(f"{result.seed} {FLAGS.hosts} {FLAGS.time:g} {result.broken[0]}\n")
    if FLAGS.logs:
        path = Path(FLAGS.logs) / f"seed-{result.seed}.log"
        path.write_text(result.log, encoding="utf-8")


def _main(_: list[str]) -> None:
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    failed = 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        futures = [pool.submit(_play, seed, FLAGS.hosts, FLAGS.time) for seed in seeds]
        for fut in futures:
            result = fut.result()
            statuses = " ".join(f"{k}:{v}" for k, v in sorted(result.statuses.items()))
            print(
                f"seed {result.seed}: {sum(result.faults.values())} faults, answers "
                f"{statuses}, {len(result.broken)} broken",
                flush=True,
            )
            for line in result.broken[:10]:
                print(f"    {line}", flush=True)
            if result.broken:
                failed += 1
                _keep(result)
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(_main)
