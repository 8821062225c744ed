"""Moves a session's KV cache away from an endpoint that is leaving.

At this host's request, `POST /v1/kv/imports` with `{"source": URL, "prefix": DIGEST}`,
the new endpoint fetches the cache from the leaving one. It answers 200 once it has the
cache, and 404 if the source doesn't have it. A prompt whose cache is not moved is
prefilled again, so a move pays only if it takes less time than that prefill.
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
    "kv.prefill-token-s", 0.0002, (0, 1), "Time to prefill a token of a prompt."
)
IMPORT_START_S = parameter(
    "kv.import-start-s", 0.03, (0, 10), "Fixed time of a cache import."
)
IMPORT_TOKEN_S = parameter(
    "kv.import-token-s",
    0.0001,
    (0, 1),
    "Import time per token before one was measured.",
)
LEARNING_RATE = 0.3
WORTHWHILE_TIME_SHARE = 0.8
TIMEOUT_FACTOR = 2.0
ESTIMATE_EXPIRY_S = 300.0
FAILED_SOURCE_PAUSE_S = 30.0
REMEMBERED_MOVES_MAX = 10_000

logger = logbook.Logger("kv_moves")


class KvMover:
    """Decides on moves, requests them, and learns how long they take.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock

    Attributes
    ----------
    moved, failed : int
        Moves that succeeded and moves that failed.
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self.moved = 0
        self.failed = 0
        self._session = session
        self._clock = clock
        self._import_token_s: float | None = None
        self._estimate_expires_at = 0.0
        self._avoided_until: dict[str, float] = {}
        self._done: OrderedDict[tuple[int, str], None] = OrderedDict()

    def find_source(
        self, catalogue: Catalogue, served: str, holders: Iterable[str]
    ) -> Endpoint | None:
        """Return a leaving endpoint that holds a prefix, or None.

        There is none while an endpoint that accepts attempts holds the prefix.
        """
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
            and self._avoided_until.get(endpoint.name, 0.0) <= self._clock.now()
        ]
        return min(leaving, key=lambda endpoint: endpoint.name, default=None)

    def is_worthwhile(self, tokens: int, values: Mapping[str, float]) -> bool:
        """Return whether a move takes clearly less time than prefilling the prompt."""
        prefill_s = tokens * PREFILL_TOKEN_S.of(values)
        return self._expected_s(tokens, values) < WORTHWHILE_TIME_SHARE * prefill_s

    def _expected_s(self, tokens: int, values: Mapping[str, float]) -> float:
        if (
            self._import_token_s is None
            or self._clock.now() >= self._estimate_expires_at
        ):
            self._import_token_s = IMPORT_TOKEN_S.of(values)
        return IMPORT_START_S.of(values) + tokens * self._import_token_s

    async def transfer(
        self,
        source: Endpoint,
        target: Endpoint,
        prefix: int,
        tokens: int,
        values: Mapping[str, float],
    ) -> bool:
        """Move a prefix's cache if worthwhile; return whether the target has it.

        Never takes longer than to prefill the prompt, and raises no error if the move
        fails: without the cache the target prefills the prompt.

        Parameters
        ----------
        source, target : Endpoint
        prefix : int
            Digest of the start of the prompt.
        tokens : int
            Length of the prompt in tokens.
        values : mapping of str to float
            Policy parameters of the catalogue.
        """
        key = (prefix, target.name)
        if key in self._done:
            return True
        if not self.is_worthwhile(tokens, values):
            return False
        started_at = self._clock.now()
        prefill_s = tokens * PREFILL_TOKEN_S.of(values)
        timeout_s = min(prefill_s, TIMEOUT_FACTOR * self._expected_s(tokens, values))
        imported = await self._request_import(source, target, prefix, timeout_s)
        took_s = self._clock.now() - started_at
        if not imported:
            self.failed += 1
            self._avoided_until[source.name] = self._clock.now() + FAILED_SOURCE_PAUSE_S
            if took_s >= timeout_s:
                self._update_estimate(TIMEOUT_FACTOR * took_s / tokens)
            return False
        self._update_estimate(
            max(0.0, took_s - IMPORT_START_S.of(values)) / max(1, tokens)
        )
        self.moved += 1
        self._done[key] = None
        while len(self._done) > REMEMBERED_MOVES_MAX:
            self._done.popitem(last=False)
        return True

    async def _request_import(
        self, source: Endpoint, target: Endpoint, prefix: int, timeout_s: float
    ) -> bool:
        url = f"{target.address}/v1/kv/imports"
        body = {"source": source.address, "prefix": f"{prefix:016x}"}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.post(url, json=body) as resp:
                    return resp.status == 200
        except (aiohttp.ClientError, OSError) as exc:
            logger.info(
                "KV cache import from endpoint {} failed: {!r}", source.name, exc
            )
            return False

    def _update_estimate(self, token_s: float) -> None:
        previous_s = token_s if self._import_token_s is None else self._import_token_s
        self._import_token_s = previous_s + LEARNING_RATE * (token_s - previous_s)
        self._estimate_expires_at = self._clock.now() + ESTIMATE_EXPIRY_S
