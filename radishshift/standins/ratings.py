"""A stand-in of the service that rates answers."""

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
        By version; others get `default_score`.
    unavailable : bool
        Answer 503 to everything.
    delay_s : float
        Time that a score takes, in seconds.
    withhold_ratings : bool
        Keep ratings back: they are late until this is cleared.
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
        """Return the application that serves ratings."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/v1/scores", self._score)
        app.router.add_post("/v1/ratings", self._ask)
        app.router.add_get("/v1/ratings", self._fetch)
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

    async def _ask(self, request: web.Request) -> web.Response:
        if self.unavailable:
            return web.Response(status=503)
        body = msgspec.json.decode(await request.read())
        rating = {"token": body["token"], "rating": self._score_of(body)}
        self._ratings[body["asker"]].append(rating)
        return web.Response(status=202)

    async def _fetch(self, request: web.Request) -> web.Response:
        if self.unavailable:
            return web.Response(status=503)
        after = int(request.query["after"])
        held = self._ratings[request.query["asker"]]
        found = [] if self.withhold_ratings else held[after:]
        return web.json_response({"upto": after + len(found), "ratings": found})
