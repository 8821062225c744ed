"""The daemon on an entry host."""

import asyncio
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import aiohttp
import logbook
from absl import app, flags
from aiohttp import web

from radishshift.admission import Admission
from radishshift.answers import Answers
from radishshift.bills import Biller
from radishshift.callers import make_caller_app
from radishshift.claims import Claims
from radishshift.clocks import Clock, SystemClock
from radishshift.configuration import Configuration
from radishshift.engines import HttpEngineClient
from radishshift.errors import RadishshiftError
from radishshift.http_platform import HttpPlatform
from radishshift.listening import listening
from radishshift.logs import log_to
from radishshift.router import Router
from radishshift.sessions import SessionKeys
from radishshift.settings import HostSettings, load_settings

__all__ = ["EntryHost", "run", "running"]

FLAGS = flags.FLAGS
DRAIN_POLL_S = 0.05

logger = logbook.Logger("entry")


@dataclass(slots=True)
class EntryHost:
    """One running entry process.

    Attributes
    ----------
    cfg : HostSettings
    router : Router
    address : str
        Base URL for callers.
    """

    cfg: HostSettings
    router: Router
    address: str

    async def drain(self, deadline: float) -> int:
        """Take no new work and wait for what runs; return what was left."""
        admission = self.router.admission
        admission.close()
        clock = self.router.clock
        while admission.running and clock.now() < deadline:
            await clock.sleep_until(clock.now() + DRAIN_POLL_S)
        return admission.running


async def _every(clock: Clock, period_s: float, act: Callable) -> None:
    while True:
        await clock.sleep_until(clock.now() + period_s)
        try:
            await act()
        except RadishshiftError as exc:
            logger.warning("{}: {}", exc.code, exc.message)


@asynccontextmanager
async def running(cfg: HostSettings) -> AsyncIterator[EntryHost]:
    """Run an entry host for as long as the context lasts."""
    clock = SystemClock()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=False)
    ) as session:
        platform = HttpPlatform(
            session, cfg.platform.address, cfg.name, cfg.platform.call_timeout_s
        )
        configuration = Configuration(clock)
        router = Router(
            data_centre=cfg.data_centre,
            clock=clock,
            configuration=configuration,
            engines=HttpEngineClient(
                session, cfg.times.connect_s, cfg.times.stream_idle_s
            ),
            claims=Claims(platform, cfg.name),
            biller=Biller(platform, cfg.name, int(clock.now() * 1000)),
            answers=Answers(cfg.bounds.answers_bytes),
            session_keys=SessionKeys({"start": os.urandom(32)}),
            admission=Admission(cfg.bounds.requests, clock),
            answer_kept_s=cfg.times.answer_kept_s,
        )
        tasks = [
            asyncio.create_task(configuration.follow(platform)),
            asyncio.create_task(
                _every(clock, cfg.times.bill_batch_s, router.biller.flush)
            ),
        ]
        caller_app = make_caller_app(router, cfg.bounds)
        _add_health(caller_app, router)
        address = cfg.address
        async with listening(caller_app, address.ip, address.caller_port) as url:
            host = EntryHost(cfg, router, url)
            try:
                yield host
            finally:
                await host.drain(clock.now() + cfg.times.stop_s)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                with suppress(RadishshiftError):
                    await router.biller.flush()


def _add_health(caller_app: web.Application, router: Router) -> None:
    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def readyz(_: web.Request) -> web.Response:
        ready = router.catalogue.revision > 0 and not router.admission.closed
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    caller_app.router.add_get("/healthz", healthz)
    caller_app.router.add_get("/readyz", readyz)


async def _serve(cfg: HostSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with running(cfg) as host:
        logger.info("serving callers at {}", host.address)
        await stop.wait()


def _main(_: list[str]) -> None:
    cfg = load_settings(FLAGS.settings)
    if FLAGS.check:
        print("settings are valid")
        return
    log_to()
    asyncio.run(_serve(cfg))


def run() -> None:
    """Run the daemon from the command line."""
    flags.DEFINE_string("settings", None, "File of settings, JSON with comments.")
    flags.DEFINE_bool("check", False, "Check the settings and end.")
    flags.mark_flag_as_required("settings")
    app.run(_main)
