"""Moving a session's KV cache against working through its prompt anew.

Each session has worked through its prompt at an endpoint that then leaves. Its next
request goes to another endpoint, which has nothing, is always told to import the
cache, or is told so by the policy that serves.
"""

import asyncio
from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import numpy as np
from absl import flags

from radishshift.bench import experiment
from radishshift.clocks import SystemClock
from radishshift.endpoints import Endpoint, EndpointState
from radishshift.kv_moves import KvMover
from radishshift.listening import listening
from radishshift.standins.engine import StandinEngine
from radishshift.standins.kv_cache import StandinKvCache

FLAGS = flags.FLAGS
flags.DEFINE_integer("kv_sessions", 60, "Sessions of each policy.")
flags.DEFINE_float("kv_prefill_token_s", 0.0002, "Time to work through a token.")
flags.DEFINE_float("kv_export_token_s", 0.00005, "Time to move a token's cache.")
flags.DEFINE_float("kv_median_tokens", 800.0, "Median length of a prompt.")

VERSION = "farm-advice-large.v1"
SPREAD = 1.4
TOKENS_MAX = 8_000
POLICIES = ("cold", "always", "moved")


class _AlwaysMover(KvMover):
    def is_worthwhile(self, tokens: int, values: Mapping[str, float]) -> bool:
        return True


def _endpoint(name: str, address: str, state: EndpointState) -> Endpoint:
    return Endpoint(name, address, "mbeya", frozenset({VERSION}), 8, False, state)


def _engine(name: str) -> StandinEngine:
    kv_cache = StandinKvCache(FLAGS.kv_prefill_token_s, FLAGS.kv_export_token_s)
    return StandinEngine(name, frozenset({VERSION}), kv_cache=kv_cache)


async def _first_token_s(
    clock: SystemClock,
    mover: KvMover | None,
    engines: tuple[StandinEngine, StandinEngine],
    endpoints: tuple[Endpoint, Endpoint],
    number: int,
    tokens: int,
) -> float:
    old, new = engines
    prefix = f"{number:016x}"
    old.kv_cache.cached_tokens[prefix] = tokens
    began = clock.now()
    if mover is not None:
        values = {"kv.prefill-token-s": FLAGS.kv_prefill_token_s}
        await mover.transfer(*endpoints, number, tokens, values)
    await new.kv_cache.prefill(prefix, tokens)
    return clock.now() - began


async def _run(seed: int) -> dict[str, Any]:
    rng = np.random.default_rng(seed)
    lengths = rng.lognormal(np.log(FLAGS.kv_median_tokens), SPREAD, FLAGS.kv_sessions)
    lengths = np.clip(lengths, 16, TOKENS_MAX).astype(int).tolist()
    clock = SystemClock()
    times: dict[str, list[float]] = {}
    moved = {}
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        movers = (None, _AlwaysMover(session, clock), KvMover(session, clock))
        for policy, mover in zip(POLICIES, movers, strict=True):
            engines = (_engine("old"), _engine("new"))
            urls = [
                await stack.enter_async_context(listening(engine.app()))
                for engine in engines
            ]
            states = (EndpointState.LEAVING, EndpointState.LIVE)
            endpoints = tuple(
                _endpoint(engine.name, url, state)
                for engine, url, state in zip(engines, urls, states, strict=True)
            )
            times[policy] = [
                await _first_token_s(clock, mover, engines, endpoints, number, tokens)
                for number, tokens in enumerate(lengths)
            ]
            moved[policy] = 0 if mover is None else mover.moved
    return {
        policy: {
            "first_token_mean_s": round(float(np.mean(found)), 4),
            "first_token_p50_s": round(float(np.quantile(found, 0.5)), 4),
            "first_token_p95_s": round(float(np.quantile(found, 0.95)), 4),
            "moved": moved[policy],
        }
        for policy, found in times.items()
    }


@experiment("kv")
def run_kv(seed: int) -> Mapping[str, Any]:
    """Compare the policies over sessions whose endpoint leaves."""
    return asyncio.run(_run(seed))
