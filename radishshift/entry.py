"""The daemon of an entry host."""

import asyncio
import gc
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, nullcontext
from dataclasses import dataclass

import aiohttp
import logbook
from absl import app, flags

from radishshift.admission import Admission
from radishshift.answers import Answers
from radishshift.bill_copies import BillCopies
from radishshift.bills import Biller
from radishshift.caller_bounds import CallerBounds
from radishshift.caller_connections import serve_callers
from radishshift.callers import make_caller_app
from radishshift.claims import Claims
from radishshift.clocks import Clock, SystemClock
from radishshift.concurrency_limit import initial_concurrency
from radishshift.configuration import Configuration
from radishshift.control import open_peers, run_control_plane
from radishshift.duties import Duties
from radishshift.engines import open_engine_client
from radishshift.errors import RadishshiftError
from radishshift.evidence import Evidence
from radishshift.evidence_pool import EvidencePool
from radishshift.guard_pool import GuardPool
from radishshift.guarded_platform import GuardedPlatform
from radishshift.http_client import checked_connector
from radishshift.http_platform import HttpPlatform
from radishshift.in_flight import InFlightRequest
from radishshift.kv_moves import KvMover
from radishshift.limit_shares import LimitShares
from radishshift.limits import Limiter
from radishshift.load_control import LoadControl
from radishshift.logs import log_json_to
from radishshift.loops import coalescing_event_loop
from radishshift.monitoring import add_health_routes, is_ready, serve_monitoring
from radishshift.peers import Peers
from radishshift.poison_retries import PoisonGuard
from radishshift.ratings import open_ratings
from radishshift.remote_answers import RemoteAnswers
from radishshift.rollout import RolloutDriver, RolloutGuard
from radishshift.router import Router
from radishshift.session_keys import PlatformSessionKeys
from radishshift.settings import HostSettings, load_settings
from radishshift.tls import ClientTls, client_tls_of, context_of, server_tls_of

__all__ = ["EntryHost", "freeze_startup_objects", "run", "run_entry_host"]

FLAGS = flags.FLAGS
DRAIN_POLL_S = 0.05
CRASH_LOAD_TIMEOUT_S = 3.0
CANCEL_TIMEOUT_S = 1.0
BILL_SETTLE_TIMEOUT_S = 5.0
BILL_SETTLE_RETRY_S = 0.2
ROLLOUT_INTERVAL_S = 1.0
REQUESTS_CANCELLED_EXIT_CODE = 3
GC_YOUNG_GENERATION_THRESHOLD = 20_000

logger = logbook.Logger("entry")


@dataclass(slots=True)
class EntryHost:
    """A running entry process.

    Attributes
    ----------
    cfg : HostSettings
    router : Router
    address : str
        Base URL for callers.
    peers : Peers
        The other entry hosts.
    monitoring_address : str
        Base URL of metrics, indicators and health checks.
    copies : BillCopies
        Copies of the bills of other hosts.
    connections : CallerBounds or None
        What callers make the host hold.
    """

    cfg: HostSettings
    router: Router
    address: str
    peers: Peers
    monitoring_address: str
    duties: Duties
    copies: BillCopies
    connections: CallerBounds | None = None

    async def stop(
        self, force_stop: asyncio.Event | None = None, unready_s: float = 0.0
    ) -> list[InFlightRequest]:
        """Shut down gracefully; return the requests that had to be cancelled.

        The host first reports that it is not ready but still accepts requests, until
        the load balancer has noticed. Then it rejects new requests and waits for those
        in flight for up to `stop_s` of the settings. Those that remain are cancelled
        and have `CANCEL_TIMEOUT_S` to end. Last, the host settles its own bills and
        then its copies of other hosts' bills; it starts attempts at both together for
        up to `BILL_SETTLE_TIMEOUT_S`, and at least one at each.

        Parameters
        ----------
        force_stop : asyncio.Event, optional
            Once set, requests still in flight are cancelled.
        unready_s : float
            Time for the load balancer to notice that the host is not ready, in
            seconds.
        """
        clock = self.router.clock
        force_stop = force_stop or asyncio.Event()
        self.router.draining = True
        await self.peers.leave()
        await _wait_until(force_stop.is_set, clock, clock.now() + unready_s)
        await self.drain(clock.now() + self.cfg.times.stop_s, force_stop)
        cancelled = self.router.in_flight.cancel_all()
        for request in cancelled:
            logger.error(
                "request cancelled by shutdown: verdict {}",
                request.current_verdict().value,
                extra={"request_id": request.request_id},
            )
        if cancelled:
            await _wait_until(
                lambda: not self.router.in_flight_count,
                clock,
                clock.now() + CANCEL_TIMEOUT_S,
            )
        settle_until = clock.now() + BILL_SETTLE_TIMEOUT_S
        await self._settle_bills(self.router.biller.flush, settle_until)
        await self._settle_bills(self.copies.hand_over, settle_until)
        return cancelled

    async def drain(
        self, deadline: float, force_stop: asyncio.Event | None = None
    ) -> int:
        """Reject new requests and wait for those in flight; return how many remain."""
        router = self.router
        router.admission.close()
        await _wait_until(
            lambda: (
                not router.in_flight_count
                or (force_stop is not None and force_stop.is_set())
            ),
            router.clock,
            deadline,
        )
        return router.in_flight_count

    async def _settle_bills(
        self, settle: Callable[[], Awaitable[None]], deadline: float
    ) -> None:
        clock = self.router.clock
        while True:
            try:
                await settle()
                return
            except RadishshiftError as exc:
                if clock.now() >= deadline:
                    logger.error(
                        "bills of this host or its peers were not settled: {}",
                        exc.message,
                    )
                    return
            await clock.sleep_until(clock.now() + BILL_SETTLE_RETRY_S)


async def _wait_until(
    condition: Callable[[], bool], clock: Clock, deadline: float
) -> None:
    while not condition() and clock.now() < deadline:
        await clock.sleep_until(clock.now() + DRAIN_POLL_S)


async def _run_periodically(clock: Clock, period_s: float, action: Callable) -> None:
    """Run an action again and again, also after an error that nobody expected.

    Bills and evidence that wait would otherwise stay in memory without a log line.
    """
    while True:
        await clock.sleep_until(clock.now() + period_s)
        try:
            await action()
        except RadishshiftError as exc:
            logger.warning(
                "periodic task for bills, evidence or roll-outs failed with {}: {}",
                exc.code,
                exc.message,
            )
        except Exception:
            logger.exception("periodic task for bills, evidence or roll-outs failed")


def _platform_session(tls: ClientTls | None) -> aiohttp.ClientSession:
    connector = checked_connector(limit=0, ssl=context_of(tls))
    return aiohttp.ClientSession(connector=connector)


@asynccontextmanager
async def run_entry_host(
    cfg: HostSettings, control: bool = True
) -> AsyncIterator[EntryHost]:
    """Run an entry host for as long as the context lasts.

    Parameters
    ----------
    cfg : HostSettings
    control : bool
        Whether to follow the configuration and take on duties.
    """
    clock = SystemClock()
    endpoint_tls = client_tls_of(cfg.tls.to_endpoints)
    platform_tls = client_tls_of(cfg.tls.to_platform)
    async with (
        open_engine_client(
            clock,
            cfg.times.connect_s,
            cfg.times.stream_idle_s,
            cfg.bounds.answer_bytes,
            context_of(endpoint_tls),
        ) as engines,
        _platform_session(platform_tls) as platform_session,
        open_peers(cfg, clock) as peers,
        open_ratings(
            clock,
            cfg.ratings.address,
            f"{cfg.name}-{peers.me.incarnation}",
            cfg.ratings.score_timeout_s,
            cfg.ratings.fetch_s,
        ) as ratings,
    ):
        http_platform = HttpPlatform(
            platform_session,
            cfg.platform.address,
            cfg.name,
            cfg.platform.call_timeout_s,
        )
        platform = GuardedPlatform(http_platform, clock)
        duties = Duties(platform, peers, clock)
        configuration = Configuration(clock)
        process_id = f"{cfg.name}-{peers.me.incarnation}"
        session_keys = PlatformSessionKeys(platform, clock)
        await session_keys.try_refresh()
        limit_shares = LimitShares(peers.me)

        def initial_limit(pool: str) -> float:
            hosts = 1 + len(peers.live(cfg.data_centre))
            return initial_concurrency(
                configuration.catalogue, cfg.data_centre, pool, hosts
            )

        guard = RolloutGuard(GuardPool(process_id, peers.me))
        router = Router(
            data_centre=cfg.data_centre,
            clock=clock,
            configuration=configuration,
            engines=engines,
            claims=Claims(platform, clock, process_id, peers),
            biller=Biller(
                platform,
                clock,
                cfg.name,
                peers.me.incarnation,
                peers,
                cfg.bounds.open_bills,
            ),
            answers=Answers(cfg.bounds.answers_bytes, cfg.bounds.answer_bytes),
            session_keys=session_keys,
            poison_guard=PoisonGuard(clock, peers, platform),
            admission=Admission(cfg.bounds.requests, clock, initial_limit),
            answer_retention_s=cfg.times.answer_kept_s,
            host_name=cfg.name,
            limiter=Limiter(limit_shares),
            evidence=Evidence(process_id),
            ratings=ratings,
            guard=guard,
            kv_mover=KvMover(engines.session, clock),
        )
        load = LoadControl(router, limit_shares, engines, platform, peers, duties)
        evidence_pool = EvidencePool(router.evidence, peers.me)
        peers.add_section(evidence_pool.section)
        peers.add_section(guard.pool.section)
        configuration.listeners.append(guard.update_catalogue)
        rollout_driver = RolloutDriver(platform, clock, guard, lambda: router.catalogue)
        duties.add("rollout", rollout_driver.advance, ROLLOUT_INTERVAL_S)

        async def watch_rollouts() -> None:
            guard.pool.publish(clock.now())
            guard.evaluate(router.catalogue)
            await rollout_driver.record_stops()

        async def publish_evidence() -> None:
            evidence_pool.publish(clock.now())

        copies = BillCopies(platform, clock, peers, cfg.bounds.open_bills)
        tasks = [
            asyncio.create_task(session_keys.refresh_periodically()),
            asyncio.create_task(router.poison_guard.poll_platform()),
            asyncio.create_task(
                router.poison_guard.load_crashes(clock.now() + CRASH_LOAD_TIMEOUT_S)
            ),
            asyncio.create_task(
                _run_periodically(clock, cfg.times.bill_batch_s, router.biller.flush)
            ),
            asyncio.create_task(
                _run_periodically(
                    clock, cfg.times.bill_batch_s, copies.settle_dead_owners
                )
            ),
            asyncio.create_task(
                _run_periodically(clock, cfg.times.evidence_s, publish_evidence)
            ),
            asyncio.create_task(
                _run_periodically(clock, cfg.times.guard_s, watch_rollouts)
            ),
        ]
        router.remote_answers = RemoteAnswers(peers, router.answers, clock)
        connections = CallerBounds(cfg.bounds, cfg.times)
        caller_app = make_caller_app(router, connections, cfg.bounds, cfg.times)
        add_health_routes(caller_app, lambda: is_ready(router))
        address = cfg.address
        caller_tls = server_tls_of(cfg.tls.callers)
        for tls in (caller_tls, endpoint_tls, platform_tls):
            if tls is not None:
                tasks.append(asyncio.create_task(tls.reload_periodically(clock)))
        control_plane = nullcontext()
        if control:
            control_plane = run_control_plane(
                configuration, platform, peers, duties, clock, cfg.peers.seeds
            )
        async with (
            load.running(),
            control_plane,
            serve_monitoring(cfg, clock, router, connections) as monitoring_url,
            serve_callers(
                caller_app,
                connections,
                cfg.bounds,
                cfg.times,
                address.ip,
                address.caller_port,
                caller_tls,
            ) as url,
        ):
            host = EntryHost(
                cfg, router, url, peers, monitoring_url, duties, copies, connections
            )
            try:
                yield host
            finally:
                if not router.draining:
                    await host.stop()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await router.claims.close()


def freeze_startup_objects() -> None:
    """Exclude the objects created at startup from later garbage collections.

    A collection that includes them would delay every stream by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_GENERATION_THRESHOLD, *gc.get_threshold()[1:])


async def _serve(cfg: HostSettings) -> int:
    stop = asyncio.Event()
    force_stop = asyncio.Event()

    def handle_signal() -> None:
        (force_stop if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_signal)
    async with run_entry_host(cfg) as host:
        freeze_startup_objects()
        logger.info("serving callers at {}", host.address)
        await stop.wait()
        logger.info("shutting down: {} requests in flight", len(host.router.in_flight))
        cancelled = await host.stop(force_stop, cfg.times.unready_s)
        logger.info("shut down: {} requests were cancelled", len(cancelled))
    return REQUESTS_CANCELLED_EXIT_CODE if cancelled else 0


def _main(_: list[str]) -> int:
    cfg = load_settings(FLAGS.settings)
    if FLAGS.check:
        print("settings are valid")
        return 0
    log_json_to()
    with asyncio.Runner(loop_factory=coalescing_event_loop) as runner:
        return runner.run(_serve(cfg))


def run() -> None:
    """Run the daemon from the command line."""
    flags.DEFINE_string("settings", None, "Settings file, JSON with comments.")
    flags.DEFINE_bool("check", False, "Check the settings and exit.")
    flags.mark_flag_as_required("settings")
    app.run(_main)
