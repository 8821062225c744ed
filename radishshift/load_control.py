"""Periodic updates of a host's limit shares and endpoint loads."""

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

SHARE_UPDATE_INTERVAL_S = 1.0
SHARE_RENEWAL_INTERVAL_S = 5.0
UNLIMITED_CONCURRENCY = 1_000_000  # a limit of at least this counts as none
LIMITS_DUTY = "limits"

logger = logbook.Logger("load")


class LoadControl:
    """Keeps shares of limits, load reports and the number of hosts up to date.

    Parameters
    ----------
    router : Router
    shares : LimitShares
        Shares of limits that the router's limiter applies.
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
        self._data_centre_shares = DataCentreShares(platform, router.data_centre)
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
        peers.add_section(shares.section)
        duties.add(
            LIMITS_DUTY,
            self._renew_shares,
            SHARE_RENEWAL_INTERVAL_S,
            per_data_centre=True,
        )

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the background work until the context exits."""
        workers = (self._reports.run(), self._update_periodically())
        tasks = [asyncio.create_task(worker) for worker in workers]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _update_periodically(self) -> None:
        clock = self._router.clock
        while True:
            self.update_shares(clock.now())
            await clock.sleep_until(clock.now() + SHARE_UPDATE_INTERVAL_S)

    def update_shares(self, now: float) -> None:
        """Update the allowances, and the number of live hosts in the data centre."""
        router = self._router
        live = self._peers.live()
        local_hosts = [host for host in live if host.data_centre == router.data_centre]
        router.loads.host_count = 1 + len(local_hosts)
        limits = self._limits_by_customer()
        limiter = router.limiter
        demands = limiter.demands(now)
        recent = limiter.recent_demands(now)
        limited = {name: demand for name, demand in demands.items() if name in limits}
        self._shares.update(limited, recent, limits, live, now)

    def _limits_by_customer(self) -> Mapping[str, Limits]:
        """Return the limits of the customers that have any."""
        contracts = self._router.catalogue.contracts.values()
        return {
            contract.customer: contract.limits
            for contract in contracts
            if contract.limits.requests_per_s < UNLIMITED
            or contract.limits.tokens_per_s < UNLIMITED
            or contract.limits.concurrency < UNLIMITED_CONCURRENCY
        }

    async def _renew_shares(self, _fencing_number: int) -> None:
        """Renew the data centre's shares; if that fails, the current ones stay."""
        now = self._router.clock.now()
        data_centres = {host.data_centre for host in self._peers.live()}
        try:
            shares = await self._data_centre_shares.renew(
                self._shares.total_demand(),
                self._limits_by_customer(),
                data_centres,
                now,
            )
        except RadishshiftError as exc:
            logger.info(
                "could not renew the data centre's shares of limits: {}", exc.message
            )
            return
        self._shares.publish_shares(shares, now)
