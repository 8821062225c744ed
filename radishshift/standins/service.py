"""A stand-in of a plain service that takes bookings."""

import asyncio
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["StandinService"]


@dataclass(slots=True)
class StandinService:
    """A booking desk that counts how often each call ran.

    Attributes
    ----------
    name : str
    delay_s : float
        Time that a call takes, in seconds.
    lose_reply : bool
        Run the next call, then close its connection without an answer.
    ran : list of str
        Idempotency keys of the calls that ran, in order.
    """

    name: str
    delay_s: float = 0.0
    lose_reply: bool = False
    ran: list[str] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the application that serves the desk."""
        app = web.Application()
        app.router.add_post("/bookings", self._book)
        app.router.add_get("/holders/{machine}", self._holder)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        await asyncio.sleep(self.delay_s)
        self.ran.append(request.headers["Idempotency-Key"])
        if self.lose_reply:
            self.lose_reply = False
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("reply lost on command")
        return web.json_response(
            {"booking": len(self.ran), "machine": body.get("machine")}, status=201
        )

    async def _holder(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay_s)
        return web.json_response({"machine": request.match_info["machine"]})
