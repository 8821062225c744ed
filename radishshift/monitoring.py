"""The port for monitoring: metrics, indicators, health."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.indicators import Indicators
from radishshift.listening import listening
from radishshift.metrics import Metrics
from radishshift.observation import Observer
from radishshift.router import Router
from radishshift.settings import HostSettings

__all__ = ["add_health_routes", "build_monitoring_app", "is_ready", "serve_monitoring"]

CLOSE_S = 0.5


def add_health_routes(app: web.Application, ready: Callable[[], bool]) -> None:
    """Add `/healthz` and `/readyz`; a host that is not ready gets no new work."""

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def readyz(_: web.Request) -> web.Response:
        now_ready = ready()
        return web.json_response({"ready": now_ready}, status=200 if now_ready else 503)

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)


def build_monitoring_app(
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
    add_health_routes(app, ready)
    return app


def is_ready(router: Router) -> bool:
    """Tell whether a host should be sent new work."""
    informed = router.catalogue.revision > 0 and router.poison.ready
    return informed and not router.draining


def _watch_tables(metrics: Metrics, router: Router) -> None:
    metrics.add_gauge("requests.running", lambda: router.admission.request_count)
    metrics.add_gauge("answers.held", lambda: len(router.answers))
    metrics.add_gauge("answers.held_bytes", lambda: router.answers.held_bytes)
    metrics.add_gauge("answers.dropped", lambda: router.answers.dropped)
    metrics.add_gauge("answers.refused", lambda: router.answers.refused)
    metrics.add_gauge("bills.unsettled", lambda: router.biller.unsettled)
    metrics.add_gauge("bills.unsecured", lambda: router.biller.unsecured)
    metrics.add_gauge("poison.suspects", lambda: len(router.poison))
    if router.kv_mover is not None:
        mover = router.kv_mover
        metrics.add_gauge("kv.moved", lambda: mover.moved)
        metrics.add_gauge("kv.failed", lambda: mover.failed)
    metrics.add_gauge("claims.backlog", lambda: router.claims.backlog)
    metrics.add_gauge("catalogue.revision", lambda: router.catalogue.revision)
    metrics.add_gauge("catalogue.versions", lambda: len(router.catalogue.versions))
    metrics.add_gauge("catalogue.endpoints", lambda: len(router.catalogue.endpoints))


@asynccontextmanager
async def serve_monitoring(
    cfg: HostSettings, clock: Clock, router: Router
) -> AsyncIterator[str]:
    """Count a router's requests and serve the monitoring port; give its base URL."""
    metrics = Metrics(cfg.name, cfg.data_centre)
    indicators = Indicators(cfg.name, clock.now())
    router.observer = Observer(clock, metrics, indicators)
    _watch_tables(metrics, router)
    app = build_monitoring_app(metrics, indicators, clock, lambda: is_ready(router))
    address = cfg.address
    async with listening(
        app, address.ip, address.metrics_port, shutdown_timeout=CLOSE_S
    ) as url:
        try:
            yield url
        finally:
            metrics.close()
