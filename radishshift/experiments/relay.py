"""What the entry host adds to streams: tokens a second, delays, processor time.

Engines, load and relays are processes of their own on loopback. The same callers
talk to the engine directly, through a bare relay, and through an entry host with
authentication, routing, limits and billing.
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
    Load,
    run_bare,
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
flags.DEFINE_integer("relay_streams", 460, "Streams at once.")
flags.DEFINE_integer("relay_tokens", 343, "Tokens of an answer.")
flags.DEFINE_float("relay_pace_s", 0.05, "Time between an engine's tokens.")
flags.DEFINE_float("relay_window_s", 4.0, "Time measured for each way in a round.")
flags.DEFINE_integer("relay_rounds", 2, "Rounds; each measures all ways in turn.")
flags.DEFINE_bool("relay_profile", False, "Profile the entry host.")

END_S = 20.0
STOP_S = 3.0


@contextmanager
def _process(target: Callable, *args) -> Iterator[tuple[Connection, int]]:
    """Run a function in a process of its own; give its pipe and its id."""
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=target, args=(other, *args))
    process.start()
    other.close()
    try:
        yield pipe, process.pid
    finally:
        pipe.close()
        process.join(END_S)
        if process.is_alive():
            process.kill()


async def _receive(pipe: Connection) -> Any:
    return await asyncio.to_thread(pipe.recv)


@asynccontextmanager
async def _platform(engine_url: str) -> AsyncIterator[HostSettings]:
    """Serve a platform that knows the engine; give the settings of an entry host."""
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


async def _load(seed: int, url: str, pids: list[int]) -> dict[str, Any]:
    values = {
        "url": url,
        "key": KEY,
        "streams": FLAGS.relay_streams,
        "tokens": FLAGS.relay_tokens,
        "window_s": FLAGS.relay_window_s,
        "seed": seed,
        "pids": pids,
    }
    with _process(run_load, Load, values) as (pipe, _):
        return await _receive(pipe)


def _summary(rounds: list[dict[str, Any]]) -> dict[str, float]:
    """Return what was seen in all rounds of one way together."""
    received = sum(seen["received"] for seen in rounds)
    elapsed_s = sum(seen["elapsed_s"] for seen in rounds)
    summary = {"tokens_per_s": received / elapsed_s}
    for name in ("first_token_ms", "between_tokens_ms"):
        values = list(itertools.chain.from_iterable(seen[name] for seen in rounds))
        summary[f"p95_{name}"] = float(np.percentile(values, 95))
    summary["failures"] = sum(seen["failures"] for seen in rounds)
    cpu_s = sum(seen["cpu_s"] for seen in rounds)
    summary["cpu_us_per_token"] = cpu_s / max(1, received) * 1e6
    return summary


async def _measure(seed: int) -> dict[str, Any]:
    seen: dict[str, list[dict[str, Any]]] = {"direct_": [], "bare_": [], "": []}
    async with AsyncExitStack() as stack:
        enter = stack.enter_context
        engine_pipe, _ = enter(_process(run_engine, FLAGS.relay_pace_s))
        engine_url = await _receive(engine_pipe)
        cfg = await stack.enter_async_context(_platform(engine_url))
        bare_pipe, bare_pid = enter(_process(run_bare, engine_url))
        entry_pipe, entry_pid = enter(
            _process(run_entry, cfg, FLAGS.relay_streams, FLAGS.relay_profile)
        )
        ways = {
            "direct_": (engine_url, []),
            "bare_": (await _receive(bare_pipe), [bare_pid]),
            "": (await _receive(entry_pipe), [entry_pid]),
        }
        for number in range(FLAGS.relay_rounds):
            for way, (url, pids) in ways.items():
                seen[way].append(await _load(seed + number, url, pids))
        entry_pipe.send(None)
        await asyncio.sleep(STOP_S)
    result: dict[str, Any] = {"streams": FLAGS.relay_streams}
    for way, rounds in seen.items():
        for name, value in _summary(rounds).items():
            result[f"{way}{name}"] = round(value, 1)
        for failure in {part["last_failure"] for part in rounds} - {""}:
            print(failure)
    del result["direct_cpu_us_per_token"]
    result["rss_mb"] = round(max(part["rss_mb"][0] for part in seen[""]), 1)
    return result


@experiment("relay")
def measure_relay(seed: int) -> dict[str, Any]:
    """Measure streams directly, through a bare relay, and through an entry host."""
    return asyncio.run(_measure(seed))
