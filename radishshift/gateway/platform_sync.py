"""Following the platform's objects, by a few hosts' watches and a look in turn.

Each call is paid for, so a few hosts watch and tell the others. A watch may go silent
for good without a reset: one host after the other reads the objects anew, and a
watching host that learns of a change elsewhere begins its watch again.
"""

import asyncio
import math
from collections.abc import Callable
from random import Random

import logbook

from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.gateway.host_view import KINDS, HostView
from radishshift.gateway.monitored_platform import MonitoredPlatform
from radishshift.hosts import rendezvous_order
from radishshift.objects import Kind, Listing, ObjectChange
from radishshift.watching import Pauses, follow_kind

__all__ = ["PlatformSync"]

RESYNC_SHARE = (
    0.5  # of the time in which a change is to be in force, all hosts together
)
LOOKED_AT = {Kind.DEPLOYMENT: 1, Kind.ENDPOINT: 1, Kind.ROLLOUT: 3}  # every n looks
BEHIND_S = 0.5  # a watch is slower than a peer by less than that
CHECK_S = 0.25
WATCHER_COUNT = 3  # hosts that watch; two may be lost at once
PEERS_FIRST_S = 0.1  # in which a host that starts may learn all from its peers
PAUSES = Pauses(first_s=0.1, longest_s=0.6, relist_spread_s=0.2)

logger = logbook.Logger("followers")


class PlatformSync:
    """Keeps a host's beliefs up to date from the platform.

    Parameters
    ----------
    host : str
    platform : MonitoredPlatform
    clock : Clock
    beliefs : Beliefs
    hosts : callable
        Returns the names of the live hosts.
    hosts_with_store : callable
        Returns those that reach the platform.
    changed : callable
        Called after a change.
    config_s : float
        Time in which a change is to be in force.
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
        config_s: float,
    ) -> None:
        self._look_every_s = RESYNC_SHARE * config_s
        self._host = host
        self._platform = platform
        self._clock = clock
        self._host_view = host_view
        self._hosts = hosts
        self._hosts_with_store = hosts_with_store
        self._changed = changed
        self._random = Random(host)
        self._watches: dict[Kind, asyncio.Task[None]] = {}
        self._behind: dict[Kind, float] = {}

    async def run(self) -> None:
        """Follow without end."""
        try:
            await self._begin()
            await asyncio.gather(self._look(), self._check())
        finally:
            self._end_watches()

    async def _begin(self) -> None:
        """Learn all kinds, from the peers if there are any that know."""
        deadline = self._clock.now() + PEERS_FIRST_S
        while self._clock.now() < deadline and not self._known():
            await asyncio.sleep(CHECK_S / 5)
        if not self._known():
            await asyncio.gather(*map(self._read, KINDS))

    def _known(self) -> bool:
        return self._host_view.deployment is not None and bool(self._host_view.members)

    @property
    def is_watcher(self) -> bool:
        """Tell whether this host is one of those that watch."""
        order = rendezvous_order(self._hosts_with_store(), "watch")
        return self._host in order[:WATCHER_COUNT]

    def record_peer_update(self, kind: Kind) -> None:
        """Note a change that did not come by this host's own watch."""
        self._behind.setdefault(kind, self._clock.now())

    def _watch(self, kind: Kind) -> None:
        self._behind.pop(kind, None)
        self._watches[kind] = asyncio.create_task(self._follow(kind))

    def _end_watches(self) -> None:
        for task in self._watches.values():
            task.cancel()
        self._watches.clear()

    async def _follow(self, kind: Kind) -> None:
        async for told in follow_kind(
            self._platform, kind, self._clock, self._random, PAUSES
        ):
            self._behind.pop(kind, None)
            if isinstance(told, Listing):
                logger.info("listed", extra=_about(kind, told))
            self._take(kind, told)

    def _take(self, kind: Kind, told: Listing | ObjectChange) -> bool:
        self._host_view.record_store_regained(self._platform.recovered_at)
        changed = self._host_view.apply(kind, told)
        if changed:
            self._changed()
        return changed

    async def _check(self) -> None:
        """Watch while it is this host's part, and begin silent watches again."""
        while True:
            if self.is_watcher:
                for kind in KINDS:
                    self._check_watch(kind)
            elif self._watches:
                logger.info("others watch")
                self._end_watches()
            await asyncio.sleep(CHECK_S)

    def _check_watch(self, kind: Kind) -> None:
        task = self._watches.get(kind)
        if task is None:
            self._watch(kind)
        elif task.done():
            logger.error("a watch ended: {!r}", task.exception())
            self._watch(kind)
        elif self._clock.now() - self._behind.get(kind, math.inf) > BEHIND_S:
            logger.warning("the watch of {} is silent", kind)
            task.cancel()
            self._watch(kind)

    async def _look(self) -> None:
        """Read the objects anew whenever it is this host's turn."""
        while True:
            turn = int(self._clock.now() / self._look_every_s)
            if rendezvous_order(self._hosts(), str(turn))[0] == self._host:
                kinds = [kind for kind, every in LOOKED_AT.items() if not turn % every]
                await asyncio.gather(*map(self._read, kinds))
            next_turn = int(self._clock.now() / self._look_every_s) + 1
            await self._clock.sleep_until(next_turn * self._look_every_s)

    async def _read(self, kind: Kind) -> None:
        try:
            listing = await self._platform.list_all(kind)
        except RadishshiftError as exc:
            logger.warning("{} not read: {}", kind, exc.message)
            return
        if self._take(kind, listing):
            logger.info("a look found a change", extra=_about(kind, listing))
            self.record_peer_update(kind)


def _about(kind: Kind, listing: Listing) -> dict[str, object]:
    return {
        "kind": kind.value,
        "objects": len(listing.items),
        "revision": listing.revision,
    }
