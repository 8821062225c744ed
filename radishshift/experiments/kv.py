"""Time to first token if a session's KV cache is transferred or computed again.

The prompt of each session is cached at an endpoint that then leaves. The next request
goes to another endpoint, which computes the prompt without a cache (cold), imports the
cache in every case (always), or as the production policy decides (moved).
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
flags.DEFINE_integer("kv_sessions", 60, "Sessions per policy.")
flags.DEFINE_float("kv_prefill_token_s", 0.0002, "Prefill time per token, in seconds.")
flags.DEFINE_float("kv_export_token_s", 0.00005, "Transfer time per token, in seconds.")
flags.DEFINE_float("kv_median_tokens", 800.0, "Median prompt length, in tokens.")

VERSION = "farm-advice-large.v1"
PROMPT_TOKENS_LOG_DEVIATION = 1.4
PROMPT_TOKENS_MAX = 8_000
POLICIES = ("cold", "always", "moved")


class _AlwaysMover(KvMover):
    def is_worthwhile(self, tokens: int, values: Mapping[str, float]) -> bool:
        return True


def _make_endpoint(name: str, address: str, state: EndpointState) -> Endpoint:
    return Endpoint(name, address, "mbeya", frozenset({VERSION}), 8, False, state)


def _make_engine(name: str) -> StandinEngine:
    kv_cache = StandinKvCache(FLAGS.kv_prefill_token_s, FLAGS.kv_export_token_s)
    return StandinEngine(name, frozenset({VERSION}), kv_cache=kv_cache)


async def _measure_first_token_s(
    clock: SystemClock,
    mover: KvMover | None,
    engines: tuple[StandinEngine, StandinEngine],
    endpoints: tuple[Endpoint, Endpoint],
    number: int,
    tokens: int,
) -> float:
    source, target = engines
    prefix = f"{number:016x}"
    source.kv_cache.cached_tokens[prefix] = tokens
    started_at = clock.now()
    if mover is not None:
        values = {"kv.prefill-token-s": FLAGS.kv_prefill_token_s}
        await mover.transfer(*endpoints, number, tokens, values)
    await target.kv_cache.prefill(prefix, tokens)
    return clock.now() - started_at


async def _run(seed: int) -> dict[str, Any]:
    rng = np.random.default_rng(seed)
    prompt_tokens = rng.lognormal(
        np.log(FLAGS.kv_median_tokens), PROMPT_TOKENS_LOG_DEVIATION, FLAGS.kv_sessions
    )
    prompt_tokens = np.clip(prompt_tokens, 16, PROMPT_TOKENS_MAX).astype(int).tolist()
    clock = SystemClock()
    first_token_s: dict[str, list[float]] = {}
    moved = {}
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        movers = (None, _AlwaysMover(session, clock), KvMover(session, clock))
        for policy, mover in zip(POLICIES, movers, strict=True):
            engines = (_make_engine("old"), _make_engine("new"))
            urls = [
                await stack.enter_async_context(listening(engine.app()))
                for engine in engines
            ]
            states = (EndpointState.LEAVING, EndpointState.LIVE)
            endpoints = tuple(
                _make_endpoint(engine.name, url, state)
                for engine, url, state in zip(engines, urls, states, strict=True)
            )
            first_token_s[policy] = [
                await _measure_first_token_s(
                    clock, mover, engines, endpoints, number, tokens
                )
                for number, tokens in enumerate(prompt_tokens)
            ]
            moved[policy] = 0 if mover is None else mover.moved
    return {
        policy: {
            "first_token_mean_s": round(float(np.mean(values)), 4),
            "first_token_p50_s": round(float(np.quantile(values, 0.5)), 4),
            "first_token_p95_s": round(float(np.quantile(values, 0.95)), 4),
            "moved": moved[policy],
        }
        for policy, values in first_token_s.items()
    }


@experiment("kv")
def run_kv(seed: int) -> Mapping[str, Any]:
    """Compare the policies for sessions whose endpoint leaves."""
    return asyncio.run(_run(seed))
