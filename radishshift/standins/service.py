"""A stand-in of a plain service that takes bookings."""

import asyncio
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["ServiceFaults", "StandinService"]


@dataclass(slots=True)
class ServiceFaults:
    """Faults of a service; the counts are used up one call at a time.

    Attributes
    ----------
    crash_before : int
        Calls to come whose connection breaks before they run.
    lose_replies : int
        Calls to come that run and whose connection then breaks.
    refuse : bool
        Answer 503 to every call, without running it.
    crash_on : str
        Text; a call whose body holds it breaks its connection before it runs.
    """

    crash_before: int = 0
    lose_replies: int = 0
    refuse: bool = False
    crash_on: str = ""


@dataclass(slots=True)
class StandinService:
    """A booking desk that counts how often each call ran.

    Attributes
    ----------
    name : str
    delay_s : float
        Time that a call takes, in seconds.
    ran : list of str
        Idempotency keys of the calls that ran, in order.
    crashes : list of str
        Bodies of the calls that crashed the desk.
    """

    name: str
    delay_s: float = 0.0
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    ran: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the application that serves the desk."""
        app = web.Application()
        app.router.add_post("/bookings", self._book)
        app.router.add_get("/holders/{machine}", self._holder)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        data = await request.read()
        if self.faults.refuse:
            return web.json_response({"error": "full"}, status=503)
        self._crash_if_told(request, data)
        body = msgspec.json.decode(data)
        await asyncio.sleep(self.delay_s)
        self.ran.append(request.headers["Idempotency-Key"])
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            _break_off(request)
        return web.json_response(
            {"booking": len(self.ran), "machine": body.get("machine")}, status=201
        )

    def _crash_if_told(self, request: web.Request, data: bytes) -> None:
        faults = self.faults
        if faults.crash_on and faults.crash_on.encode() in data:
            self.crashes.append(data.decode())
            _break_off(request)
        if faults.crash_before:
            faults.crash_before -= 1
            _break_off(request)

    async def _holder(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay_s)
        return web.json_response({"machine": request.match_info["machine"]})


def _break_off(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("the connection breaks on command")
