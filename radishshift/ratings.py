"""Client of the service that rates answers.

A score is asked for at once and decides whether an answer is accepted; a rating is
asked for and comes later, or never. Both are from 0 to 1. The service holds ratings
under the asker's name until they are fetched:

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

__all__ = ["RatedAnswer", "Ratings", "RatingsClient", "open_ratings"]

AWAY_S = 5.0
WAITING_MAX = 10_000
RATING_KEPT_S = 3600.0

logger = logbook.Logger("ratings")

RatingCallback = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class RatedAnswer:
    """An answer that is to be scored or rated.

    Attributes
    ----------
    request_id, customer, task_class, version : str
    prompt, answer : bytes
        JSON bodies of the request and of the whole answer.
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
    """Scores and ratings of answers; this one gives none."""

    def can_judge(self, now: float) -> bool:
        """Tell whether a score may be had at once."""
        return False

    async def score(self, answer: RatedAnswer, deadline: float) -> float | None:
        """Return an answer's score, or None if there is none by the deadline."""
        return None

    async def request_rating(self, answer: RatedAnswer, take: RatingCallback) -> None:
        """Ask for a rating; `take` gets it if it comes."""


class RatingsClient(Ratings):
    """The rating service over HTTP.

    After a failure it is left alone until `away_until`; nothing waits for it.

    Parameters
    ----------
    session : aiohttp.ClientSession
    clock : Clock
    address : str
        Base URL.
    asker : str
        Name that ratings are held under; this life of this host.
    score_timeout_s : float
        Longest wait for a score, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        address: str,
        asker: str,
        score_timeout_s: float,
    ) -> None:
        self.away_until = 0.0
        self.missed = 0
        self._session = session
        self._clock = clock
        self._address = address
        self._asker = asker
        self._score_timeout_s = score_timeout_s
        self._waiting: dict[str, tuple[float, RatingCallback]] = {}
        self._upto = 0

    def can_judge(self, now: float) -> bool:
        """Tell whether a score may be had at once."""
        return now >= self.away_until

    async def score(self, answer: RatedAnswer, deadline: float) -> float | None:
        """Return an answer's score, or None if there is none by the deadline."""
        now = self._clock.now()
        if not self.can_judge(now):
            return None
        deadline = min(deadline, now + self._score_timeout_s)
        data = await self._call("POST", "/v1/scores", deadline, _as_json(answer))
        if data is None:
            return None
        try:
            score = msgspec.json.decode(data, type=_Score).score
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._fail(exc)
            return None
        return score if 0 <= score <= 1 else None

    async def request_rating(self, answer: RatedAnswer, take: RatingCallback) -> None:
        """Ask for a rating; `take` gets it if it comes."""
        now = self._clock.now()
        if not self.can_judge(now):
            self.missed += 1
            return
        self._make_room(now)
        token = f"{answer.request_id}/{answer.version}"
        self._waiting[token] = (now + RATING_KEPT_S, take)
        body = _as_json(answer) | {"asker": self._asker, "token": token}
        deadline = now + self._score_timeout_s
        if await self._call("POST", "/v1/ratings", deadline, body) is None:
            self.missed += 1
            self._waiting.pop(token, None)

    def _make_room(self, now: float) -> None:
        while self._waiting:
            oldest = next(iter(self._waiting))
            expires, _ = self._waiting[oldest]
            if expires > now and len(self._waiting) < WAITING_MAX:
                return
            self.missed += 1
            del self._waiting[oldest]

    async def fetch(self) -> None:
        """Take the ratings that have come since the last fetch."""
        now = self._clock.now()
        if not self.can_judge(now):
            return
        path = f"/v1/ratings?asker={self._asker}&after={self._upto}"
        data = await self._call("GET", path, now + self._score_timeout_s)
        if data is None:
            return
        try:
            page = msgspec.json.decode(data, type=_RatingsPage)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._fail(exc)
            return
        self._upto = page.upto
        for rating in page.ratings:
            _, take = self._waiting.pop(rating.token, (0.0, None))
            if take is not None:
                take(rating.rating)

    async def fetch_periodically(self, period_s: float) -> None:
        """Fetch ratings time and again, until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + period_s)
            await self.fetch()

    async def _call(
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
                if resp.status >= 300:
                    self._fail(f"status {resp.status}")
                    return None
                return await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._fail(exc)
            return None

    def _fail(self, cause: object) -> None:
        self.away_until = self._clock.now() + AWAY_S
        logger.warning("the rating service is away: {!r}", cause)


def _as_json(answer: RatedAnswer) -> dict[str, Any]:
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
    """Give the rating service at an address; an empty address gives none."""
    if not address:
        yield Ratings()
        return
    async with aiohttp.ClientSession() as session:
        client = RatingsClient(session, clock, address, asker, score_timeout_s)
        task = asyncio.create_task(client.fetch_periodically(period_s))
        try:
            yield client
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
