"""Overhead of the entry host on streams: throughput, latency and CPU time.

The engine, the load generator, the bare relay and the entry host run as separate
processes on loopback. The same callers call the engine directly, through a bare relay,
and through an entry host with authentication, routing, limits and billing.
"""

import asyncio
import itertools
import multiprocessing
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from multiprocessing.connection import Connection
from typing import Any

import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.experiments.relay_processes import (
    LoadGenerator,
    run_bare_relay,
    run_engine,
    run_entry,
    run_load,
)
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.settings import (
    AddressSettings,
    HostSettings,
    PlatformSettings,
    TimeSettings,
)
from radishshift.standins.deployment import KEY, small_catalogue
from radishshift.standins.platform import make_platform_app

__all__ = ["measure_relay"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("relay_streams", 460, "Concurrent streams.")
flags.DEFINE_integer("relay_tokens", 343, "Tokens per answer.")
flags.DEFINE_float("relay_pace_s", 0.05, "Seconds between tokens of an answer.")
flags.DEFINE_float("relay_window_s", 4.0, "Seconds measured per path and round.")
flags.DEFINE_integer("relay_rounds", 2, "Rounds; each measures every path once.")
flags.DEFINE_bool("relay_profile", False, "Profile the entry host.")

PROCESS_EXIT_TIMEOUT_S = 20.0
ENTRY_STOP_TIME_S = 3.0  # for the entry host to stop and to print its profile


@contextmanager
def _process(target: Callable, *args) -> Iterator[tuple[Connection, int]]:
    """Run a function in a subprocess; yield its pipe and process id."""
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    process = context.Process(target=target, args=(child_pipe, *args))
    process.start()
    child_pipe.close()
    try:
        yield pipe, process.pid
    finally:
        pipe.close()
        process.join(PROCESS_EXIT_TIMEOUT_S)
        if process.is_alive():
            process.kill()


async def _receive(pipe: Connection) -> Any:
    return await asyncio.to_thread(pipe.recv)


@asynccontextmanager
async def _serve_platform(engine_url: str) -> AsyncIterator[HostSettings]:
    """Serve a platform with the engine registered; yield settings for an entry host."""
    platform = MemoryPlatform()
    for name, spec in small_catalogue().items():
        await platform.create(StoredObject(Kind.ENTRY, name, spec))
    spec = {
        "address": engine_url,
        "dataCentre": "mbeya",
        "serves": ["farm-advice-small.v1"],
        "slots": 2 * FLAGS.relay_streams,
    }
    await platform.create(StoredObject(Kind.ENDPOINT, "engine-1", spec))
    async with listening(make_platform_app(platform), shutdown_timeout=0.1) as url:
        yield HostSettings(
            name="mbeya-entry-1",
            data_centre="mbeya",
            region="tz-south",
            platform=PlatformSettings(address=url),
            address=AddressSettings(caller_port=0, peer_port=0, metrics_port=0),
            times=TimeSettings(stop_s=1.0),
        )


async def _run_load_process(seed: int, url: str, pids: list[int]) -> dict[str, Any]:
    values = {
        "url": url,
        "key": KEY,
        "streams": FLAGS.relay_streams,
        "tokens": FLAGS.relay_tokens,
        "window_s": FLAGS.relay_window_s,
        "seed": seed,
        "pids": pids,
    }
    with _process(run_load, LoadGenerator, values) as (pipe, _):
        return await _receive(pipe)


def _summarize(rounds: list[dict[str, Any]]) -> dict[str, float]:
    """Summarize all rounds of one path."""
    received = sum(result["received"] for result in rounds)
    elapsed_s = sum(result["elapsed_s"] for result in rounds)
    summary = {"tokens_per_s": received / elapsed_s}
    for name in ("first_token_ms", "between_tokens_ms"):
        values = list(itertools.chain.from_iterable(result[name] for result in rounds))
        summary[f"p95_{name}"] = float(np.percentile(values, 95))
    summary["failures"] = sum(result["failures"] for result in rounds)
    cpu_s = sum(result["cpu_s"] for result in rounds)
    summary["cpu_us_per_token"] = cpu_s / max(1, received) * 1e6
    return summary


async def _measure(seed: int) -> dict[str, Any]:
    # The keys are the prefixes of the names in the result.
    results_by_path: dict[str, list[dict[str, Any]]] = {
        "direct_": [],
        "bare_": [],
        "": [],
    }
    async with AsyncExitStack() as stack:
        enter = stack.enter_context
        engine_pipe, _ = enter(_process(run_engine, FLAGS.relay_pace_s))
        engine_url = await _receive(engine_pipe)
        cfg = await stack.enter_async_context(_serve_platform(engine_url))
        bare_pipe, bare_pid = enter(_process(run_bare_relay, engine_url))
        entry_pipe, entry_pid = enter(_process(run_entry, cfg, FLAGS.relay_profile))
        targets = {
            "direct_": (engine_url, []),
            "bare_": (await _receive(bare_pipe), [bare_pid]),
            "": (await _receive(entry_pipe), [entry_pid]),
        }
        for number in range(FLAGS.relay_rounds):
            for path, (url, pids) in targets.items():
                results_by_path[path].append(
                    await _run_load_process(seed + number, url, pids)
                )
        entry_pipe.send(None)
        await asyncio.sleep(ENTRY_STOP_TIME_S)
    result: dict[str, Any] = {"streams": FLAGS.relay_streams}
    for path, rounds in results_by_path.items():
        for name, value in _summarize(rounds).items():
            result[f"{path}{name}"] = round(value, 1)
        for failure in {round_result["last_failure"] for round_result in rounds} - {""}:
            print(failure)
    del result["direct_cpu_us_per_token"]
    result["rss_mb"] = round(
        max(round_result["rss_mb"][0] for round_result in results_by_path[""]), 1
    )
    return result


@experiment("relay")
def measure_relay(seed: int) -> dict[str, Any]:
    """Measure streams directly, through a bare relay, and through an entry host."""
    return asyncio.run(_measure(seed))
