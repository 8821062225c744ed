"""HTTP server of the monitoring port: metrics, indicators and health checks."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from radishshift.bounded_listening import bounded_listening
from radishshift.caller_limits import CallerLimits
from radishshift.clocks import Clock
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import HeldBytes
from radishshift.indicators import Indicators
from radishshift.metrics import Metrics
from radishshift.observation import Observer
from radishshift.router import Router
from radishshift.settings import HostSettings

__all__ = ["add_health_routes", "build_monitoring_app", "is_ready", "serve_monitoring"]

SHUTDOWN_TIMEOUT_S = 0.5
CONNECTIONS = 32
HELD_BYTES = 16_000_000
LIMITS = CallerLimits(head_bytes=16_384, body_bytes=16_384)


def add_health_routes(app: web.Application, ready: Callable[[], bool]) -> None:
    """Add `/healthz` and `/readyz`; load balancers avoid a host that is not ready."""

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def readyz(_: web.Request) -> web.Response:
        is_ready_now = ready()
        return web.json_response(
            {"ready": is_ready_now}, status=200 if is_ready_now else 503
        )

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)


def build_monitoring_app(
    metrics: Metrics, indicators: Indicators, clock: Clock, ready: Callable[[], bool]
) -> web.Application:
    """Return the web application of the monitoring port."""

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
    """Return whether a host may receive new requests."""
    initialized = router.catalogue.revision > 0 and router.poison_guard.ready
    return initialized and not router.draining


def _add_gauges(metrics: Metrics, router: Router) -> None:
    metrics.add_gauge("requests.running", lambda: router.admission.request_count)
    metrics.add_gauge("answers.held", lambda: len(router.answers))
    metrics.add_gauge("answers.held_bytes", lambda: router.answers.held_bytes)
    metrics.add_gauge("answers.dropped", lambda: router.answers.dropped)
    metrics.add_gauge("answers.refused", lambda: router.answers.refused)
    metrics.add_gauge("bills.unsettled", lambda: router.biller.unsettled)
    metrics.add_gauge("bills.unsecured", lambda: router.biller.unsecured)
    metrics.add_gauge("poison.suspects", lambda: len(router.poison_guard))
    if router.kv_mover is not None:
        mover = router.kv_mover
        metrics.add_gauge("kv.moved", lambda: mover.moved)
        metrics.add_gauge("kv.failed", lambda: mover.failed)
    metrics.add_gauge("claims.backlog", lambda: router.claims.backlog)
    metrics.add_gauge("catalogue.revision", lambda: router.catalogue.revision)
    metrics.add_gauge("catalogue.versions", lambda: len(router.catalogue.versions))
    metrics.add_gauge("catalogue.endpoints", lambda: len(router.catalogue.endpoints))


def _add_caller_gauges(metrics: Metrics, callers: ConnectionBounds) -> None:
    metrics.add_gauge("callers.held_bytes", lambda: callers.held.total)
    metrics.add_gauge("callers.ended_for_room", lambda: callers.evicted)
    metrics.add_gauge("callers.rejected_for_memory", lambda: callers.held.rejected)


@asynccontextmanager
async def serve_monitoring(
    cfg: HostSettings, clock: Clock, router: Router, callers: ConnectionBounds
) -> AsyncIterator[str]:
    """Measure a router's requests, serve the monitoring port and yield its base URL."""
    metrics = Metrics(cfg.name, cfg.data_centre)
    indicators = Indicators(cfg.name, clock.now())
    router.observer = Observer(clock, metrics, indicators)
    _add_gauges(metrics, router)
    _add_caller_gauges(metrics, callers)
    app = build_monitoring_app(metrics, indicators, clock, lambda: is_ready(router))
    address = cfg.address
    bounds = ConnectionBounds(HeldBytes(HELD_BYTES), lambda: LIMITS, CONNECTIONS)
    async with bounded_listening(
        app,
        bounds,
        address.ip,
        address.metrics_port,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    ) as url:
        try:
            yield url
        finally:
            metrics.close()
