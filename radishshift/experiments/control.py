"""What control adds to an entry host: processor, memory and bytes on the wire."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from contextlib import suppress
from typing import Any

import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.experiments.control_host import HostOptions
from radishshift.experiments.fleets import Fleet, add_endpoints, running_fleet
from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import small_catalogue

__all__ = ["MEASURES", "TERMS", "TWO_YEAR_SIZE", "control", "predict"]

FLAGS = flags.FLAGS
DATA_CENTRES = ("mbeya",)
QUIET_S = 3.0
TARGETS = {"cpu_percent": 3.2, "rss_mb": 32.0, "bytes_per_s": 6000.0}
MEASURES = tuple(TARGETS)
TERMS = (
    "hosts",
    "endpoints",
    "entries",
    "changes_per_s",
    "hosts_changes_per_s",
    "endpoints_changes_per_s",
)
TWO_YEAR_SIZE = {
    "hosts": 380,
    "endpoints": 870,
    "entries": 150,
    "changes_per_s": 2600 / 86400,
}

flags.DEFINE_list("control_sizes", ["6", "12", "24", "48"], "Numbers of hosts.")
flags.DEFINE_float("control_window_s", 6.0, "Time of each measurement, in seconds.")
flags.DEFINE_list("control_endpoints", ["290", "870"], "Lengths of the list.")
flags.DEFINE_integer("control_entries", 150, "Entries of the larger catalogue.")
flags.DEFINE_float("control_changes_per_s", 1.0, "Rate of changes, where there are.")
flags.DEFINE_float("control_heartbeat_s", 2.0, "Time between heartbeats, in seconds.")


async def _change(fleet: Fleet, rate: float) -> None:
    name = "farm-advice-small.v1"
    while True:
        await asyncio.sleep(1 / rate)
        held = await fleet.platform.get(Kind.ENTRY, name)
        state = "retiring" if held.spec["state"] == "serving" else "serving"
        spec = {**held.spec, "state": state}
        item = StoredObject(Kind.ENTRY, name, spec, {}, held.revision)
        await fleet.platform.update(item)


async def _measure(fleet: Fleet, changes_per_s: float = 0.0) -> dict[str, float]:
    """Return means over the hosts, after the news of the last step has settled."""
    changing = None
    if changes_per_s:
        changing = asyncio.create_task(_change(fleet, changes_per_s))
    await asyncio.sleep(QUIET_S)
    before = await fleet.read_counters()
    await asyncio.sleep(FLAGS.control_window_s)
    after = await fleet.read_counters()
    if changing is not None:
        changing.cancel()
        with suppress(asyncio.CancelledError):
            await changing
    samples = [_sample(before[name], after[name]) for name in fleet.hosts]
    held = {
        "hosts": len(fleet.hosts),
        "endpoints": len((await fleet.platform.list_all(Kind.ENDPOINT)).items),
        "entries": len((await fleet.platform.list_all(Kind.ENTRY)).items),
        "changes_per_s": changes_per_s,
    }
    keys = samples[0].keys()
    means = {key: float(np.mean([sample[key] for sample in samples])) for key in keys}
    largest = {
        f"largest_{key}": max(sample[key] for sample in samples) for key in MEASURES
    }
    watching = [
        sample
        for name, sample in zip(fleet.hosts, samples, strict=True)
        if after[name]["watching"]
    ]
    watchers = {
        f"watcher_{key}": float(np.mean([sample[key] for sample in watching]))
        for key in MEASURES
        if watching
    }
    return {**held, **means, **largest, **watchers}


def _sample(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, float]:
    spent_s = after["at"] - before["at"]
    cpu_s = after["cpu_before_s"] - before["cpu_after_s"]
    sample = {
        "cpu_percent": 100 * cpu_s / spent_s,
        "rss_mb": after["rss_bytes"] / 1e6,
    }
    for way in ("peers", "platform"):
        for direction in ("sent", "received"):
            key = f"{way}_{direction}"
            moved = after["traffic"].get(key, 0) - before["traffic"].get(key, 0)
            sample[f"{key}_per_s"] = moved / spent_s
    sample["bytes_per_s"] = sum(sample[k] for k in sample if k.endswith("_per_s"))
    return sample


async def _small_fleet() -> list[dict[str, float]]:
    """Measure the smallest fleet as its list, catalogue and changes grow."""
    size = int(FLAGS.control_sizes[0])
    runs = []
    options = HostOptions()
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, options, DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        runs.append(await _measure(fleet))
        runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
        held = 9
        for length in map(int, FLAGS.control_endpoints):
            await add_endpoints(fleet.platform, range(held, length), DATA_CENTRES)
            held = length
            runs.append(await _measure(fleet))
        await _add_customers(fleet, FLAGS.control_entries)
        runs.append(await _measure(fleet))
        runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
    return runs


async def _add_customers(fleet: Fleet, length: int) -> None:
    spec = small_catalogue()["uyole-ring"]
    held = len((await fleet.platform.list_all(Kind.ENTRY)).items)
    for number in range(held, length):
        digests = [f"{number:064x}"]
        item = StoredObject(
            Kind.ENTRY, f"ring-{number}", {**spec, "keyDigests": digests}
        )
        await fleet.platform.create(item)


async def _larger_fleet(size: int) -> list[dict[str, float]]:
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, HostOptions(), DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        runs = [await _measure(fleet)]
        if size >= 24:
            runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
    return runs


async def _without_control() -> dict[str, float]:
    size = int(FLAGS.control_sizes[0])
    async with running_fleet(size, HostOptions(control=False)) as fleet:
        return await _measure(fleet)


async def _kinds() -> dict[str, float]:
    """Return the body bytes a second and host, by kind of message and section."""
    size = int(FLAGS.control_sizes[-1]) // 4
    options = HostOptions(count_sections=True)
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, options, DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        changing = asyncio.create_task(_change(fleet, FLAGS.control_changes_per_s))
        before = await fleet.read_counters()
        await asyncio.sleep(FLAGS.control_window_s)
        after = await fleet.read_counters()
        changing.cancel()
    total: Counter[str] = Counter()
    for name in fleet.hosts:
        total.update(after[name]["sections"])
        total.subtract(before[name]["sections"])
    per_host = 2 / (size * FLAGS.control_window_s)
    return {kind: round(count * per_host, 1) for kind, count in sorted(total.items())}


def _terms(size: Mapping[str, float]) -> list[float]:
    rate = size["changes_per_s"]
    crossed = [size["hosts"] * rate, size["endpoints"] * rate]
    return [1.0, *(size[term] for term in TERMS[:4]), *crossed]


def _fit(runs: Iterable[Mapping[str, float]], measure: str) -> dict[str, float]:
    """Fit a line with no negative slope: one that comes out negative is left out."""
    runs = list(runs)
    matrix = np.array([_terms(run) for run in runs])
    values = np.array([run[measure] for run in runs])
    kept = list(range(matrix.shape[1]))
    while True:
        found, _, _, _ = np.linalg.lstsq(matrix[:, kept], values, rcond=None)
        if found.min() >= 0:
            break
        del kept[int(found.argmin())]
    slopes = np.zeros(matrix.shape[1])
    slopes[kept] = found
    spread = float(np.sum((values - values.mean()) ** 2))
    left = float(np.sum((values - matrix @ slopes) ** 2))
    fit = dict(zip(("base", *TERMS), map(float, slopes), strict=True))
    fit["r_squared"] = 1 - left / spread if spread else 1.0
    return fit


def predict(fit: Mapping[str, float], size: Mapping[str, float]) -> float:
    """Return a measure at a size by its fitted slopes."""
    names = ("base", *TERMS)
    values = zip(names, _terms(size), strict=True)
    return sum(fit[name] * value for name, value in values)


async def _run() -> dict[str, Any]:
    off = await _without_control()
    runs = await _small_fleet()
    for size in map(int, FLAGS.control_sizes[1:]):
        runs.extend(await _larger_fleet(size))
    for run in runs:
        for measure in MEASURES:
            run[f"added_{measure}"] = run[measure] - off[measure]
    slopes = {measure: _fit(runs, f"added_{measure}") for measure in MEASURES}
    at_size = {measure: predict(slopes[measure], TWO_YEAR_SIZE) for measure in MEASURES}
    per_centre = {**TWO_YEAR_SIZE, "hosts": 95}
    at_95 = {measure: predict(slopes[measure], per_centre) for measure in MEASURES}
    return {
        "off": off,
        "runs": runs,
        "slopes": slopes,
        "body_bytes_per_s_by_kind": await _kinds(),
        "two_year_size": TWO_YEAR_SIZE,
        "at_95_hosts": at_95,
        "at_two_year_size": at_size,
        "targets": TARGETS,
    }


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, Mapping):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_rounded(item) for item in value]
    return value


@experiment("control")
def control(seed: int) -> Mapping[str, Any]:
    """Measure control on and off, and work out the two-year size by slopes."""
    del seed
    return _rounded(asyncio.run(_run()))
