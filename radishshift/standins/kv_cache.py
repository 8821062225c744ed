"""A stand-in for the export and import of an engine's KV caches."""

import asyncio
from dataclasses import dataclass, field

import aiohttp
import msgspec
from aiohttp import web

__all__ = ["StandinKvCache"]


@dataclass(slots=True)
class StandinKvCache:
    """KV caches by prefix digest, of which only the lengths are simulated.

    Parameters
    ----------
    prefill_token_s : float
        Time to prefill a token that is not cached, in seconds.
    export_token_s : float
        Time to export the cache of a token, in seconds.
    refuse : bool
        Answer 404 to every export request.

    Attributes
    ----------
    cached_tokens : dict of str to int
        Length of each cache in tokens, by prefix digest.
    imported : list of str
        Prefix digests of the caches imported, in order.
    """

    prefill_token_s: float = 0.0
    export_token_s: float = 0.0
    refuse: bool = False
    cached_tokens: dict[str, int] = field(default_factory=dict)
    imported: list[str] = field(default_factory=list)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for exports and imports to an application."""
        app.router.add_get("/v1/kv/{prefix}", self._export)
        app.router.add_post("/v1/kv/imports", self._import)

    async def prefill(self, prefix: str, tokens: int) -> None:
        """Wait as long as the prefill of a prompt's uncached tokens takes."""
        cached = self.cached_tokens.get(prefix, 0)
        await asyncio.sleep(self.prefill_token_s * max(0, tokens - cached))
        self.cached_tokens[prefix] = max(tokens, cached)

    async def _export(self, request: web.Request) -> web.Response:
        tokens = self.cached_tokens.get(request.match_info["prefix"])
        if tokens is None or self.refuse:
            return web.json_response({}, status=404)
        await asyncio.sleep(self.export_token_s * tokens)
        return web.json_response({"tokens": tokens})

    async def _import(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read())
        url = f"{order['source']}/v1/kv/{order['prefix']}"
        async with aiohttp.ClientSession() as session, session.get(url) as resp:
            if resp.status != 200:
                return web.json_response({}, status=404)
            cache = msgspec.json.decode(await resp.read())
        self.cached_tokens[order["prefix"]] = cache["tokens"]
        self.imported.append(order["prefix"])
        return web.json_response({})
