"""Client of the rating service.

The service both scores answers, as the judge, and rates them. A score is returned
synchronously and decides whether an answer is accepted; a rating is requested and
arrives later, or never. Both are from 0 to 1. The service stores ratings under the
name of the asker until they are fetched:

    POST /v1/scores   {answer}                -> 200 {"score": 0.8}
    POST /v1/ratings  {answer, asker, token}  -> 202
    GET  /v1/ratings?asker=NAME&after=NUMBER  -> 200 {"upto": N, "ratings": [...]}
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import logbook
import msgspec

from radishshift.clocks import Clock
from radishshift.http_client import checked_connector

__all__ = ["AnswerToRate", "Ratings", "RatingsClient", "open_ratings"]

UNAVAILABLE_BACKOFF_S = 5.0
PENDING_RATINGS_MAX = 10_000
PENDING_RATING_TTL_S = 3600.0

logger = logbook.Logger("ratings")

RatingCallback = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class AnswerToRate:
    """An answer to be scored or rated.

    Attributes
    ----------
    request_id, customer, task_class, version : str
    prompt, answer : bytes
        JSON bodies of the request and of the complete answer.
    """

    request_id: str
    customer: str
    task_class: str
    version: str
    prompt: bytes
    answer: bytes


class _Score(msgspec.Struct):
    score: float


class _Rating(msgspec.Struct):
    token: str
    rating: float


class _RatingsPage(msgspec.Struct):
    upto: int
    ratings: list[_Rating]


class Ratings:
    """Source of scores and ratings; this base class provides none."""

    def is_available(self, now: float) -> bool:
        """Return whether the judge is available for synchronous scores."""
        return False

    async def score(self, answer: AnswerToRate, deadline: float) -> float | None:
        """Return an answer's score, or None if there is none by the deadline."""
        return None

    async def request_rating(
        self, answer: AnswerToRate, on_rating: RatingCallback
    ) -> None:
        """Request a rating; `on_rating` is called with it if it arrives."""


class RatingsClient(Ratings):
    """Client of the rating service over HTTP.

    After a failure no call is made until `unavailable_until`, so that no request waits
    for a service that is down.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock
    address : str
        Base URL.
    asker : str
        Name that the service stores ratings under, for this incarnation of the host.
    score_timeout_s : float
        Longest wait for a score, in seconds.

    Attributes
    ----------
    unavailable_until : float
        Clock reading.
    lost_ratings : int
        Ratings that could not be requested, or whose callback was evicted.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        address: str,
        asker: str,
        score_timeout_s: float,
    ) -> None:
        self.unavailable_until = 0.0
        self.lost_ratings = 0
        self._session = session
        self._clock = clock
        self._address = address
        self._asker = asker
        self._score_timeout_s = score_timeout_s
        self._pending: dict[str, tuple[float, RatingCallback]] = {}
        self._last_fetched = 0
        self._requested = 0

    def is_available(self, now: float) -> bool:
        """Return whether the judge is available for synchronous scores."""
        return now >= self.unavailable_until

    async def score(self, answer: AnswerToRate, deadline: float) -> float | None:
        """Return an answer's score, or None if there is none by the deadline."""
        now = self._clock.now()
        if not self.is_available(now):
            return None
        deadline = min(deadline, now + self._score_timeout_s)
        data = await self._send("POST", "/v1/scores", deadline, _request_body(answer))
        if data is None:
            return None
        try:
            score = msgspec.json.decode(data, type=_Score).score
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._mark_unavailable(exc)
            return None
        return score if 0 <= score <= 1 else None

    async def request_rating(
        self, answer: AnswerToRate, on_rating: RatingCallback
    ) -> None:
        """Request a rating; `on_rating` is called with it if it arrives."""
        now = self._clock.now()
        if not self.is_available(now):
            self.lost_ratings += 1
            return
        self._evict_pending(now)
        # The callback is stored first, as a concurrent `fetch` may receive the rating
        # before the response to this request.
        self._requested += 1
        token = str(self._requested)
        self._pending[token] = (now + PENDING_RATING_TTL_S, on_rating)
        body = _request_body(answer) | {"asker": self._asker, "token": token}
        deadline = now + self._score_timeout_s
        if await self._send("POST", "/v1/ratings", deadline, body) is None:
            self.lost_ratings += 1
            self._pending.pop(token, None)

    def _evict_pending(self, now: float) -> None:
        while self._pending:
            oldest = next(iter(self._pending))
            expires, _ = self._pending[oldest]
            if expires > now and len(self._pending) < PENDING_RATINGS_MAX:
                return
            self.lost_ratings += 1
            del self._pending[oldest]

    async def fetch(self) -> None:
        """Fetch new ratings and pass each to its callback."""
        now = self._clock.now()
        if not self.is_available(now):
            return
        path = f"/v1/ratings?asker={self._asker}&after={self._last_fetched}"
        data = await self._send("GET", path, now + self._score_timeout_s)
        if data is None:
            return
        try:
            page = msgspec.json.decode(data, type=_RatingsPage)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._mark_unavailable(exc)
            return
        self._last_fetched = page.upto
        for rating in page.ratings:
            _, on_rating = self._pending.pop(rating.token, (0.0, None))
            if on_rating is not None:
                on_rating(rating.rating)

    async def fetch_periodically(self, period_s: float) -> None:
        """Fetch ratings at an interval until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + period_s)
            await self.fetch()

    async def _send(
        self, method: str, path: str, deadline: float, body: Any = None
    ) -> bytes | None:
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        try:
            async with (
                asyncio.timeout(max(0.0, deadline - self._clock.now())),
                self._session.request(
                    method, self._address + path, data=data, headers=headers
                ) as resp,
            ):
                if not 200 <= resp.status < 300:
                    self._mark_unavailable(f"status {resp.status}")
                    return None
                return await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._mark_unavailable(exc)
            return None

    def _mark_unavailable(self, cause: object) -> None:
        self.unavailable_until = self._clock.now() + UNAVAILABLE_BACKOFF_S
        logger.warning("rating service unavailable: {!r}", cause)


def _request_body(answer: AnswerToRate) -> dict[str, Any]:
    return {
        "requestId": answer.request_id,
        "customer": answer.customer,
        "taskClass": answer.task_class,
        "version": answer.version,
        "prompt": msgspec.Raw(answer.prompt),
        "answer": msgspec.Raw(answer.answer),
    }


@asynccontextmanager
async def open_ratings(
    clock: Clock, address: str, asker: str, score_timeout_s: float, period_s: float
) -> AsyncIterator[Ratings]:
    """Connect to the rating service; an empty address gives the null implementation."""
    if not address:
        yield Ratings()
        return
    # A score bears nothing of its answer, so no connection carries a second one.
    connector = checked_connector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = RatingsClient(session, clock, address, asker, score_timeout_s)
        task = asyncio.create_task(client.fetch_periodically(period_s))
        try:
            yield client
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
