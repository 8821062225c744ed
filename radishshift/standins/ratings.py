"""A stand-in for the service that rates answers."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["StandinRatings"]


@dataclass(slots=True)
class StandinRatings:
    """A rating service that gives each version's answers a fixed score.

    Attributes
    ----------
    scores : dict of str to float
        By version; other versions get `default_score`.
    unavailable : bool
        Answer 503 to every request.
    delay_s : float
        Time to compute a score, in seconds.
    withhold_ratings : bool
        Return no ratings to polls while this is set; they are delivered later.
    score_requests : int
        Score requests accepted so far.
    """

    scores: dict[str, float] = field(default_factory=dict)
    default_score: float = 0.9
    unavailable: bool = False
    delay_s: float = 0.0
    withhold_ratings: bool = False
    score_requests: int = 0
    _ratings: defaultdict[str, list[dict[str, Any]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def app(self) -> web.Application:
        """Return the web application of the rating service."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/v1/scores", self._score)
        app.router.add_post("/v1/ratings", self._request_rating)
        app.router.add_get("/v1/ratings", self._poll_ratings)
        return app

    def _score_of(self, body: dict[str, Any]) -> float:
        return self.scores.get(body["version"], self.default_score)

    async def _score(self, request: web.Request) -> web.Response:
        if self.unavailable:
            return web.Response(status=503)
        self.score_requests += 1
        body = msgspec.json.decode(await request.read())
        await asyncio.sleep(self.delay_s)
        return web.json_response({"score": self._score_of(body)})

    async def _request_rating(self, request: web.Request) -> web.Response:
        if self.unavailable:
            return web.Response(status=503)
        body = msgspec.json.decode(await request.read())
        rating = {"token": body["token"], "rating": self._score_of(body)}
        self._ratings[body["asker"]].append(rating)
        return web.Response(status=202)

    async def _poll_ratings(self, request: web.Request) -> web.Response:
        if self.unavailable:
            return web.Response(status=503)
        after = int(request.query["after"])
        stored = self._ratings[request.query["asker"]]
        returned = [] if self.withhold_ratings else stored[after:]
        return web.json_response({"upto": after + len(returned), "ratings": returned})
