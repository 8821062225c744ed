"""Moves of a session's KV cache from an endpoint that is leaving.

The endpoint that takes over fetches the cache from the one that leaves, on our order:
`POST /v1/kv/imports` with `{"source": URL, "prefix": DIGEST}`. It is 200 once the
cache is there and 404 if the source does not hold it. A prompt whose cache is not
moved is worked through anew, so a move is worth it only if it takes less time.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import aiohttp
import logbook

from radishshift.catalogue import Catalogue
from radishshift.clocks import Clock
from radishshift.endpoints import Endpoint, EndpointState
from radishshift.policy_parameters import parameter

__all__ = ["KvMover"]

PREFILL_TOKEN_S = parameter(
    "kv.prefill-token-s", 0.0002, (0, 1), "Time to work through a prompt's token."
)
IMPORT_START_S = parameter(
    "kv.import-start-s", 0.03, (0, 10), "Time that any import of a cache takes."
)
IMPORT_TOKEN_S = parameter(
    "kv.import-token-s", 0.0001, (0, 1), "Import time a token before one was seen."
)
SMOOTHING = 0.3
WORTH_SHARE = 0.8
PATIENCE = 2.0
FORGET_S = 300.0
AVOIDED_S = 30.0
MOVED_BOUND = 10_000

logger = logbook.Logger("kv_moves")


class KvMover:
    """Decides on moves and orders them; learns how long they take.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock

    Attributes
    ----------
    moved, failed : int
        Moves that were done, and that were tried in vain.
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self.moved = 0
        self.failed = 0
        self._session = session
        self._clock = clock
        self._token_s: float | None = None
        self._forget_at = 0.0
        self._avoided: dict[str, float] = {}
        self._done: OrderedDict[tuple[int, str], None] = OrderedDict()

    def find_source(
        self, catalogue: Catalogue, served: str, holders: Iterable[str]
    ) -> Endpoint | None:
        """Return an endpoint that is leaving and holds a prefix, if all that do are."""
        found = [catalogue.endpoints.get(name) for name in holders]
        serving = [
            endpoint
            for endpoint in found
            if endpoint is not None and served in endpoint.serves
        ]
        if any(endpoint.accepts_attempts() for endpoint in serving):
            return None
        leaving = [
            endpoint
            for endpoint in serving
            if endpoint.state is EndpointState.LEAVING
            and self._avoided.get(endpoint.name, 0.0) <= self._clock.now()
        ]
        return min(leaving, key=lambda endpoint: endpoint.name, default=None)

    def is_worthwhile(self, tokens: int, values: Mapping[str, float]) -> bool:
        """Tell whether a move takes less time than to work through the prompt."""
        cold_s = tokens * PREFILL_TOKEN_S.of(values)
        return self._expected_s(tokens, values) < WORTH_SHARE * cold_s

    def _expected_s(self, tokens: int, values: Mapping[str, float]) -> float:
        if self._token_s is None or self._clock.now() >= self._forget_at:
            self._token_s = IMPORT_TOKEN_S.of(values)
        return IMPORT_START_S.of(values) + tokens * self._token_s

    async def transfer(
        self,
        source: Endpoint,
        target: Endpoint,
        prefix: int,
        tokens: int,
        values: Mapping[str, float],
    ) -> bool:
        """Move a prefix's cache if it is worth it; tell whether it is there.

        Never takes longer than working through the prompt would, and never fails:
        without the cache the prompt is worked through.

        Parameters
        ----------
        source, target : Endpoint
        prefix : int
            Digest of the start of the prompt.
        tokens : int
            Length of the prompt.
        values : mapping of str to float
            The catalogue's parameters of policies.
        """
        key = (prefix, target.name)
        if key in self._done:
            return True
        if not self.is_worthwhile(tokens, values):
            return False
        began = self._clock.now()
        cold_s = tokens * PREFILL_TOKEN_S.of(values)
        within_s = min(cold_s, PATIENCE * self._expected_s(tokens, values))
        brought = await self._order(source, target, prefix, within_s)
        took_s = self._clock.now() - began
        if not brought:
            self.failed += 1
            self._avoided[source.name] = self._clock.now() + AVOIDED_S
            if took_s >= within_s:
                self._learn(PATIENCE * took_s / tokens)
            return False
        self._learn(max(0.0, took_s - IMPORT_START_S.of(values)) / max(1, tokens))
        self.moved += 1
        self._done[key] = None
        while len(self._done) > MOVED_BOUND:
            self._done.popitem(last=False)
        return True

    async def _order(
        self, source: Endpoint, target: Endpoint, prefix: int, within_s: float
    ) -> bool:
        url = f"{target.address}/v1/kv/imports"
        order = {"source": source.address, "prefix": f"{prefix:016x}"}
        try:
            async with asyncio.timeout(within_s):
                async with self._session.post(url, json=order) as resp:
                    return resp.status == 200
        except (aiohttp.ClientError, OSError) as exc:
            logger.info("no cache from {}: {!r}", source.name, exc)
            return False

    def _learn(self, token_s: float) -> None:
        held_s = token_s if self._token_s is None else self._token_s
        self._token_s = held_s + SMOOTHING * (token_s - held_s)
        self._forget_at = self._clock.now() + FORGET_S
