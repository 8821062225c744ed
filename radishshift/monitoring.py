"""The port for monitoring: metrics, indicators, health."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.indicators import Indicators
from radishshift.metrics import Metrics

__all__ = ["add_health", "make_monitoring_app"]


def add_health(app: web.Application, ready: Callable[[], bool]) -> None:
    """Add `/healthz` and `/readyz`; a host that is not ready gets no new work."""

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def readyz(_: web.Request) -> web.Response:
        now_ready = ready()
        return web.json_response({"ready": now_ready}, status=200 if now_ready else 503)

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)


def make_monitoring_app(
    metrics: Metrics, indicators: Indicators, clock: Clock, ready: Callable[[], bool]
) -> web.Application:
    """Return the application of the monitoring port."""

    async def exposition(_: web.Request) -> web.Response:
        return web.Response(
            body=metrics.exposition(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    async def report(_: web.Request) -> web.Response:
        body = msgspec.json.encode(indicators.report(clock.now()))
        return web.Response(body=body, content_type="application/json")

    app = web.Application()
    app.router.add_get("/metrics", exposition)
    app.router.add_get("/indicators", report)
    add_health(app, ready)
    return app
