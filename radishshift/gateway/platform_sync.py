"""Keeps a host in sync with the platform's objects, by watches and periodic resyncs.

Calls to the platform are billed, so only a few hosts watch it and gossip the changes to
the others. A watch may go silent for good without a reset of its connection. Therefore
the hosts take turns to list the objects again, and a watcher restarts its watch if that
doesn't report a change that the host learnt in another way.
"""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from random import Random

import logbook

from radishshift.clocks import Clock
from radishshift.errors import GoneError, RadishshiftError
from radishshift.gateway.host_view import LARGE_KINDS, HostView
from radishshift.gateway.monitored_platform import MonitoredPlatform
from radishshift.hosts import rendezvous_order, widest_first
from radishshift.objects import Kind, Listing, ObjectChange
from radishshift.watching import WatchBackoff, follow_kind

__all__ = ["PlatformSync"]

# Resync interval of the whole fleet, as a share of the time in which a change must be
# in force.
RESYNC_SHARE = 0.5
MAX_RESYNC_INTERVAL_S = 1.0
# A kind is listed at every n-th resync.
RESYNC_PERIODS = {
    Kind.DEPLOYMENT: 1,
    Kind.ENDPOINT: 1,
    Kind.ROLLOUT: 3,
    Kind.BLOCKED_PART: 12,
    Kind.EVACUATION: 1,
}
MAX_WATCH_LAG_S = 0.5  # a working watch lags behind gossip by less than that
CHECK_INTERVAL_S = 0.25
WATCHER_COUNT = 3  # tolerates the loss of two watchers at once
# Callers wait this long after the start of a host for its first configuration.
INITIAL_LOAD_TIMEOUT_S = 1.0
INITIAL_LOAD_RETRY_S = 0.1  # after a listing that failed
# A host that started learns of the others by gossip before it judges whether it is a
# watcher. When a whole fleet starts, each host would otherwise watch.
SETTLING_S = 1.0
WATCH_BACKOFF = WatchBackoff(initial_s=0.1, max_s=0.6, max_relist_delay_s=0.2)

logger = logbook.Logger("followers")


class PlatformSync:
    """Keeps a host's view of the platform's objects up to date.

    Parameters
    ----------
    host : str
    platform : MonitoredPlatform
    clock : Clock
    host_view : HostView
    hosts : callable
        Returns the names of the live hosts.
    hosts_with_store : callable
        Returns the names of the live hosts that reach the platform's store.
    changed : callable
        Called after the view has changed.
    config_deadline_s : float
        Time in which a configuration change must be in force.
    link_mbps : callable
        Returns the bandwidth of a host's link, 0 if it is not known. Watchers receive
        each configuration whole, so hosts with the widest links watch.
    """

    def __init__(
        self,
        host: str,
        platform: MonitoredPlatform,
        clock: Clock,
        host_view: HostView,
        hosts: Callable[[], list[str]],
        hosts_with_store: Callable[[], list[str]],
        changed: Callable[[], None],
        config_deadline_s: float,
        link_mbps: Callable[[str], float] = lambda host: 0.0,
    ) -> None:
        self.resync_interval_s = min(
            RESYNC_SHARE * config_deadline_s, MAX_RESYNC_INTERVAL_S
        )
        self._host = host
        self._platform = platform
        self._clock = clock
        self._host_view = host_view
        self._hosts = hosts
        self._hosts_with_store = hosts_with_store
        self._changed = changed
        self._link_mbps = link_mbps
        self._random = Random(host)
        self._watches: dict[Kind, asyncio.Task[None]] = {}
        self._missed_change_at: dict[Kind, float] = {}
        self._loaded = asyncio.Event()
        self._load_deadline = clock.now() + INITIAL_LOAD_TIMEOUT_S

    async def run(self) -> None:
        """Sync until cancelled."""
        settled_at = self._clock.now() + SETTLING_S
        try:
            await self._load_initial()
            await self._clock.sleep_until(settled_at)
            await asyncio.gather(self._resync(), self._supervise_watches())
        finally:
            self._end_watches()

    async def _load_initial(self) -> None:
        """List all kinds at the platform, unless peers deliver them sooner.

        When a whole fleet starts, each host lists for itself, as no peer knows more.
        A stale listing is enough: the watchers, which list again, gossip what changed.
        """
        missing = list(self._host_view.kinds)
        while missing and not self._loaded.is_set():
            answered = await asyncio.gather(
                *(self._list(kind, allow_stale=True) for kind in missing)
            )
            missing = [
                kind for kind, ok in zip(missing, answered, strict=True) if not ok
            ]
            if self._clock.now() >= self._load_deadline:
                return
            if missing:
                await asyncio.sleep(INITIAL_LOAD_RETRY_S)

    def record_view_change(self) -> None:
        """Record that the host's view has changed, whatever the source."""
        if self._host_view.loaded:
            self._loaded.set()

    async def wait_for_initial_load(self, until: float) -> None:
        """Wait for the first configuration and endpoints of a host that has started.

        Load pattern: callers that come back while a whole fleet restarts. The wait ends
        at `until`, or when the initial load is overdue.
        """
        timeout_s = min(until, self._load_deadline) - self._clock.now()
        if self._loaded.is_set() or timeout_s <= 0:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._loaded.wait()

    @property
    def is_watcher(self) -> bool:
        """Return whether this host is one of the watchers."""
        links = {host: self._link_mbps(host) for host in self._hosts_with_store()}
        return self._host in widest_first(links, "watch")[:WATCHER_COUNT]

    def record_missed_change(self, kind: Kind) -> None:
        """Record a change that a peer or a resync delivered before the own watch."""
        self._missed_change_at.setdefault(kind, self._clock.now())

    def _start_watch(self, kind: Kind) -> None:
        self._missed_change_at.pop(kind, None)
        self._watches[kind] = asyncio.create_task(self._follow_watch(kind))

    def _end_watches(self) -> None:
        for task in self._watches.values():
            task.cancel()
        self._watches.clear()

    async def _follow_watch(self, kind: Kind) -> None:
        known = self._host_view.tables[kind].head.complete
        async for update in follow_kind(
            self._platform,
            kind,
            self._clock,
            self._random,
            WATCH_BACKOFF,
            since=known if known and kind in LARGE_KINDS else None,
        ):
            self._missed_change_at.pop(kind, None)
            if isinstance(update, Listing):
                logger.info("listed", extra=_listing_fields(kind, update))
            self._apply(kind, update)

    def _apply(self, kind: Kind, update: Listing | ObjectChange) -> bool:
        self._host_view.record_store_recovery(self._platform.recovered_at)
        changed = self._host_view.apply(kind, update)
        if changed:
            self.record_view_change()
            self._changed()
        return changed

    async def _supervise_watches(self) -> None:
        """Watch while this host is a watcher, and restart silent watches."""
        while True:
            if self.is_watcher:
                for kind in self._host_view.kinds:
                    self._check_watch(kind)
            elif self._watches:
                logger.info("no longer a watcher, ending the watches")
                self._end_watches()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_watch(self, kind: Kind) -> None:
        task = self._watches.get(kind)
        if task is None:
            self._start_watch(kind)
        elif task.done():
            logger.error("a watch ended unexpectedly: {!r}", task.exception())
            self._start_watch(kind)
        elif (
            self._clock.now() - self._missed_change_at.get(kind, math.inf)
            > MAX_WATCH_LAG_S
        ):
            logger.warning("the watch of {} is silent", kind)
            task.cancel()
            self._start_watch(kind)

    async def read_changes(self) -> bool:
        """Read the changes with a deadline now; return whether the store replied."""
        kinds = self._host_view.freshness.kinds
        return all(await asyncio.gather(*map(self._resync_kind, kinds)))

    async def _resync(self) -> None:
        """List the objects again whenever it is this host's turn."""
        while True:
            next_turn = int(self._clock.now() / self.resync_interval_s) + 1
            await self._clock.sleep_until(next_turn * self.resync_interval_s)
            turn = int(self._clock.now() / self.resync_interval_s)
            if rendezvous_order(self._hosts(), str(turn))[0] == self._host:
                kinds = [
                    kind
                    for kind in self._host_view.kinds
                    if not turn % RESYNC_PERIODS[kind]
                ]
                await asyncio.gather(*map(self._resync_kind, kinds))

    async def _resync_kind(self, kind: Kind) -> bool:
        """Read what has changed, or list the objects where that is not known.

        Returns
        -------
        bool
            Whether the platform replied.
        """
        since = self._host_view.tables[kind].head.complete
        if kind not in LARGE_KINDS or not since:
            return await self._list(kind)
        asked_at = self._clock.now()
        try:
            changes = await self._platform.changes_since(kind, since)
        except GoneError:
            return await self._list(kind)
        except RadishshiftError as exc:
            logger.warning("reading changes of {} failed: {}", kind, exc.message)
            return False
        applied = [self._apply(kind, change) for change in changes]
        self._host_view.freshness.confirm(kind, asked_at)
        if any(applied):
            revision = changes[-1].item.revision
            fields = {"kind": kind.value, "since": since, "revision": revision}
            logger.info("resync found a change", extra=fields)
            self.record_missed_change(kind)
        return True

    async def _list(self, kind: Kind, allow_stale: bool = False) -> bool:
        """List a kind and return whether the platform replied."""
        asked_at = self._clock.now()
        try:
            listing = await self._platform.list_all(kind, allow_stale)
        except RadishshiftError as exc:
            logger.warning("listing {} failed: {}", kind, exc.message)
            return False
        changed = self._apply(kind, listing)
        if not allow_stale:
            self._host_view.freshness.confirm(kind, asked_at)
        if changed:
            message = "initial listing" if allow_stale else "resync found a change"
            logger.info(message, extra=_listing_fields(kind, listing))
            self.record_missed_change(kind)
        self.record_view_change()  # that there are no orders is news to a new host
        return True


def _listing_fields(kind: Kind, listing: Listing) -> dict[str, object]:
    return {
        "kind": kind.value,
        "objects": len(listing.items),
        "revision": listing.revision,
    }
