"""Overhead of the control plane on an entry host: CPU, memory and network traffic.

The overhead is measured on small fleets, fitted linearly and extrapolated to the
planned fleet size.
"""

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

__all__ = ["MEASURES", "MODEL_TERMS", "TWO_YEAR_SIZE", "control", "predict"]

FLAGS = flags.FLAGS
DATA_CENTRES = ("mbeya",)
SETTLE_TIME_S = 3.0
TARGETS = {"cpu_percent": 3.2, "rss_mb": 32.0, "bytes_per_s": 6000.0}
MEASURES = tuple(TARGETS)
# Terms of the linear model; a name with two quantities is their product.
MODEL_TERMS = (
    "hosts",
    "endpoints",
    "entries",
    "changes_per_s",
    "hosts_changes_per_s",
    "endpoints_changes_per_s",
)
# Size of the fleet that is planned for in two years, over all four data centres.
TWO_YEAR_SIZE = {
    "hosts": 380,
    "endpoints": 870,
    "entries": 150,
    "changes_per_s": 2600 / 86400,
}

flags.DEFINE_list("control_sizes", ["6", "12", "24", "48"], "Fleet sizes, in hosts.")
flags.DEFINE_float("control_window_s", 6.0, "Length of each measurement, in seconds.")
flags.DEFINE_list("control_endpoints", ["290", "870"], "Numbers of endpoints.")
flags.DEFINE_integer("control_entries", 150, "Entries in the larger catalogue.")
flags.DEFINE_float("control_changes_per_s", 1.0, "Catalogue changes per second.")
flags.DEFINE_float("control_heartbeat_s", 2.0, "Heartbeat interval, in seconds.")


async def _change_entry_repeatedly(fleet: Fleet, changes_per_s: float) -> None:
    name = "farm-advice-small.v1"
    while True:
        await asyncio.sleep(1 / changes_per_s)
        stored = await fleet.platform.get(Kind.ENTRY, name)
        state = "retiring" if stored.spec["state"] == "serving" else "serving"
        spec = {**stored.spec, "state": state}
        item = StoredObject(Kind.ENTRY, name, spec, {}, stored.revision)
        await fleet.platform.update(item)


async def _measure(fleet: Fleet, changes_per_s: float = 0.0) -> dict[str, float]:
    """Return means, maxima and the means of watching hosts.

    The measurement starts once the changes of the previous step have propagated.
    """
    change_task = None
    if changes_per_s:
        change_task = asyncio.create_task(
            _change_entry_repeatedly(fleet, changes_per_s)
        )
    await asyncio.sleep(SETTLE_TIME_S)
    before = await fleet.read_counters()
    await asyncio.sleep(FLAGS.control_window_s)
    after = await fleet.read_counters()
    if change_task is not None:
        change_task.cancel()
        with suppress(asyncio.CancelledError):
            await change_task
    samples = [_sample(before[name], after[name]) for name in fleet.hosts]
    fleet_size = {
        "hosts": len(fleet.hosts),
        "endpoints": len((await fleet.platform.list_all(Kind.ENDPOINT)).items),
        "entries": len((await fleet.platform.list_all(Kind.ENTRY)).items),
        "changes_per_s": changes_per_s,
    }
    keys = samples[0].keys()
    mean_values = {
        key: float(np.mean([sample[key] for sample in samples])) for key in keys
    }
    largest_values = {
        f"largest_{key}": max(sample[key] for sample in samples) for key in MEASURES
    }
    watcher_samples = [
        sample
        for name, sample in zip(fleet.hosts, samples, strict=True)
        if after[name]["watching"]
    ]
    watcher_means = {
        f"watcher_{key}": float(np.mean([sample[key] for sample in watcher_samples]))
        for key in MEASURES
        if watcher_samples
    }
    return {**fleet_size, **mean_values, **largest_values, **watcher_means}


def _sample(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, float]:
    elapsed_s = after["at"] - before["at"]
    cpu_s = after["cpu_before_s"] - before["cpu_after_s"]
    sample = {
        "cpu_percent": 100 * cpu_s / elapsed_s,
        "rss_mb": after["rss_bytes"] / 1e6,
    }
    for connection_kind in ("peers", "platform"):
        for direction in ("sent", "received"):
            key = f"{connection_kind}_{direction}"
            delta = after["traffic"].get(key, 0) - before["traffic"].get(key, 0)
            sample[f"{key}_per_s"] = delta / elapsed_s
    sample["bytes_per_s"] = sum(sample[k] for k in sample if k.endswith("_per_s"))
    return sample


async def _measure_smallest_fleet() -> list[dict[str, float]]:
    """Measure the smallest fleet as endpoints, entries and changes are added."""
    size = int(FLAGS.control_sizes[0])
    runs = []
    options = HostOptions()
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, options, DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        runs.append(await _measure(fleet))
        runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
        endpoint_count = 9  # endpoints that running_fleet creates by default
        for wanted_count in map(int, FLAGS.control_endpoints):
            await add_endpoints(
                fleet.platform, range(endpoint_count, wanted_count), DATA_CENTRES
            )
            endpoint_count = wanted_count
            runs.append(await _measure(fleet))
        await _add_contracts(fleet, FLAGS.control_entries)
        runs.append(await _measure(fleet))
        runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
    return runs


async def _add_contracts(fleet: Fleet, wanted_count: int) -> None:
    spec = small_catalogue()["uyole-ring"]
    entry_count = len((await fleet.platform.list_all(Kind.ENTRY)).items)
    for number in range(entry_count, wanted_count):
        digests = [f"{number:064x}"]
        item = StoredObject(
            Kind.ENTRY, f"ring-{number}", {**spec, "keyDigests": digests}
        )
        await fleet.platform.create(item)


async def _measure_larger_fleet(size: int) -> list[dict[str, float]]:
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, HostOptions(), DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        runs = [await _measure(fleet)]
        if size >= 24:
            runs.append(await _measure(fleet, FLAGS.control_changes_per_s))
    return runs


async def _measure_without_control() -> dict[str, float]:
    size = int(FLAGS.control_sizes[0])
    async with running_fleet(size, HostOptions(control=False)) as fleet:
        return await _measure(fleet)


async def _measure_body_bytes_by_kind() -> dict[str, float]:
    """Return message body bytes per second and host, by message kind and section."""
    size = int(FLAGS.control_sizes[-1]) // 4
    options = HostOptions(count_sections=True)
    heartbeat_s = FLAGS.control_heartbeat_s
    async with running_fleet(size, options, DATA_CENTRES, heartbeat_s) as fleet:
        await fleet.wait_for_membership()
        change_task = asyncio.create_task(
            _change_entry_repeatedly(fleet, FLAGS.control_changes_per_s)
        )
        before = await fleet.read_counters()
        await asyncio.sleep(FLAGS.control_window_s)
        after = await fleet.read_counters()
        change_task.cancel()
    totals: Counter[str] = Counter()
    for name in fleet.hosts:
        totals.update(after[name]["sections"])
        totals.subtract(before[name]["sections"])
    # Each message is counted by its sender alone; its receiver handles the same bytes.
    scale = 2 / (size * FLAGS.control_window_s)
    return {kind: round(count * scale, 1) for kind, count in sorted(totals.items())}


def _term_values(size: Mapping[str, float]) -> list[float]:
    changes_per_s = size["changes_per_s"]
    products = [size["hosts"] * changes_per_s, size["endpoints"] * changes_per_s]
    return [1.0, *(size[term] for term in MODEL_TERMS[:4]), *products]


def _fit(runs: Iterable[Mapping[str, float]], measure: str) -> dict[str, float]:
    """Fit a linear model without negative coefficients.

    A least-squares fit is repeated without the most negative coefficient until none
    is negative; dropped coefficients are 0.
    """
    runs = list(runs)
    matrix = np.array([_term_values(run) for run in runs])
    values = np.array([run[measure] for run in runs])
    kept_columns = list(range(matrix.shape[1]))
    while True:
        coefficients, _, _, _ = np.linalg.lstsq(
            matrix[:, kept_columns], values, rcond=None
        )
        if coefficients.min() >= 0:
            break
        del kept_columns[int(coefficients.argmin())]
    slopes = np.zeros(matrix.shape[1])
    slopes[kept_columns] = coefficients
    total_squares = float(np.sum((values - values.mean()) ** 2))
    residual_squares = float(np.sum((values - matrix @ slopes) ** 2))
    fit = dict(zip(("base", *MODEL_TERMS), map(float, slopes), strict=True))
    fit["r_squared"] = 1 - residual_squares / total_squares if total_squares else 1.0
    return fit


def predict(fit: Mapping[str, float], size: Mapping[str, float]) -> float:
    """Return the value that the fitted slopes predict for a measure at a fleet size."""
    names = ("base", *MODEL_TERMS)
    values = zip(names, _term_values(size), strict=True)
    return sum(fit[name] * value for name, value in values)


async def _run() -> dict[str, Any]:
    without_control = await _measure_without_control()
    runs = await _measure_smallest_fleet()
    for size in map(int, FLAGS.control_sizes[1:]):
        runs.extend(await _measure_larger_fleet(size))
    for run in runs:
        for measure in MEASURES:
            run[f"added_{measure}"] = run[measure] - without_control[measure]
    slopes = {measure: _fit(runs, f"added_{measure}") for measure in MEASURES}
    at_two_year_size = {
        measure: predict(slopes[measure], TWO_YEAR_SIZE) for measure in MEASURES
    }
    data_centre_size = {**TWO_YEAR_SIZE, "hosts": 95}
    at_95_hosts = {
        measure: predict(slopes[measure], data_centre_size) for measure in MEASURES
    }
    return {
        "off": without_control,
        "runs": runs,
        "slopes": slopes,
        "body_bytes_per_s_by_kind": await _measure_body_bytes_by_kind(),
        "two_year_size": TWO_YEAR_SIZE,
        "at_95_hosts": at_95_hosts,
        "at_two_year_size": at_two_year_size,
        "targets": TARGETS,
    }


def _round_floats(value: Any) -> Any:
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, Mapping):
        return {key: _round_floats(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_round_floats(item) for item in value]
    return value


@experiment("control")
def control(seed: int) -> Mapping[str, Any]:
    """Measure hosts with and without control and extrapolate to the two-year size."""
    del seed
    return _round_floats(asyncio.run(_run()))
