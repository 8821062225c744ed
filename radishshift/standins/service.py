"""A stand-in for a service without a model, which takes bookings."""

import asyncio
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["ServiceFaults", "StandinService"]


@dataclass(slots=True)
class ServiceFaults:
    """Faults to inject into a service; each affected call uses up one of a count.

    Attributes
    ----------
    crash_before : int
        Number of next calls whose connection is aborted before they run.
    lose_replies : int
        Number of next calls whose connection is aborted after they ran.
    refuse : bool
        Answer 503 to every call without running it.
    crash_on : str
        Abort the connection of calls whose body contains this text before they run;
        empty for none.
    """

    crash_before: int = 0
    lose_replies: int = 0
    refuse: bool = False
    crash_on: str = ""


@dataclass(slots=True)
class StandinService:
    """A booking service that records each call that ran.

    Attributes
    ----------
    name : str
    delay_s : float
        Duration of a call, in seconds.
    ran : list of str
        Idempotency keys of the calls that ran, in order.
    crashes : list of str
        Bodies of the calls whose text crashed the service.
    """

    name: str
    delay_s: float = 0.0
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    ran: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the web application of the service."""
        app = web.Application()
        app.router.add_post("/bookings", self._book)
        app.router.add_get("/holders/{machine}", self._holder)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        data = await request.read()
        if self.faults.refuse:
            return web.json_response({"error": "full"}, status=503)
        self._inject_crash(request, data)
        body = msgspec.json.decode(data)
        await asyncio.sleep(self.delay_s)
        self.ran.append(request.headers["Idempotency-Key"])
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            _abort_connection(request)
        return web.json_response(
            {"booking": len(self.ran), "machine": body.get("machine")}, status=201
        )

    def _inject_crash(self, request: web.Request, data: bytes) -> None:
        faults = self.faults
        if faults.crash_on and faults.crash_on.encode() in data:
            self.crashes.append(data.decode())
            _abort_connection(request)
        if faults.crash_before:
            faults.crash_before -= 1
            _abort_connection(request)

    async def _holder(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay_s)
        return web.json_response({"machine": request.match_info["machine"]})


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("injected fault: connection aborted")
