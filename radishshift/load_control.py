"""What a host runs beside its requests to decide well under load."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import logbook

from radishshift.contracts import Limits
from radishshift.data_centre_shares import DataCentreShares
from radishshift.duties import Duties
from radishshift.engines import HttpEngineClient
from radishshift.errors import RadishshiftError
from radishshift.limit_shares import UNLIMITED, LimitShares
from radishshift.load_reports import LoadReportPoller
from radishshift.peers import Peers
from radishshift.platform import Platform
from radishshift.router import Router

__all__ = ["LoadControl"]

STEP_S = 1.0
RENEW_S = 5.0
UNLIMITED_CONCURRENCY = 1_000_000
DUTY = "limits"

logger = logbook.Logger("load")


class LoadControl:
    """Keeps limits, load reports and the count of hosts up to date.

    Parameters
    ----------
    router : Router
    shares : LimitShares
        Those that the router's limiter holds.
    engines : HttpEngineClient
    platform : Platform
    peers : Peers
    duties : Duties
    """

    def __init__(
        self,
        router: Router,
        shares: LimitShares,
        engines: HttpEngineClient,
        platform: Platform,
        peers: Peers,
        duties: Duties,
    ) -> None:
        self._router = router
        self._shares = shares
        self._peers = peers
        self._centre = DataCentreShares(platform, router.data_centre)
        self._reports = LoadReportPoller(
            engines.session,
            router.clock,
            router.host_name,
            router.loads,
            router.chooser.prefix_caches,
            lambda: (
                endpoint
                for endpoint in router.catalogue.endpoints.values()
                if endpoint.data_centre == router.data_centre
            ),
        )
        peers.carry(shares.section)
        duties.add(DUTY, self._renew, RENEW_S, per_data_centre=True)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run for as long as the context lasts."""
        runners = (self._reports.run(), self._step_again())
        tasks = [asyncio.create_task(runner) for runner in runners]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _step_again(self) -> None:
        clock = self._router.clock
        while True:
            self.step(clock.now())
            await clock.sleep_until(clock.now() + STEP_S)

    def step(self, now: float) -> None:
        """Work out this host's parts of the limits, and who shares endpoints."""
        router = self._router
        live = self._peers.live()
        near = [host for host in live if host.data_centre == router.data_centre]
        router.loads.host_count = 1 + len(near)
        limits = self._limits()
        limiter = router.limiter
        demands = limiter.demands(now)
        recent = limiter.recent_demands(now)
        limited = {name: held for name, held in demands.items() if name in limits}
        self._shares.step(limited, recent, limits, live, now)

    def _limits(self) -> Mapping[str, Limits]:
        contracts = self._router.catalogue.contracts.values()
        return {
            contract.customer: contract.limits
            for contract in contracts
            if contract.limits.requests_per_s < UNLIMITED
            or contract.limits.tokens_per_s < UNLIMITED
            or contract.limits.concurrency < UNLIMITED_CONCURRENCY
        }

    async def _renew(self, _: int) -> None:
        """Renew the data centre's shares; kept as they are if that fails."""
        now = self._router.clock.now()
        centres = {host.data_centre for host in self._peers.live()}
        try:
            held = await self._centre.renew(
                self._shares.total_demand(), self._limits(), centres, now
            )
        except RadishshiftError as exc:
            logger.info("the shares of limits were not renewed: {}", exc.message)
            return
        self._shares.publish_shares(held, now)
