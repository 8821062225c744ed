"""Following the platform's objects, by watches and by a look that hosts share.

A watch may go silent for good without a reset. So one host after the other reads
the objects anew, and whoever learns of a change that its own watch has not told
begins that watch again.
"""

import asyncio
from collections.abc import Callable
from random import Random

import logbook

from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.gateway.beliefs import KINDS, Beliefs
from radishshift.gateway.watched_platform import WatchedPlatform
from radishshift.objects import Kind, Listing
from radishshift.watching import Pauses, follow_kind

__all__ = ["Followers"]

LOOK_EVERY_S = 1.0  # of all hosts together; a change is to be in force within 2 s
LOOKED_AT = {Kind.DEPLOYMENT: 1, Kind.ENDPOINT: 1, Kind.ROLLOUT: 3}  # every n looks
BEHIND_S = 0.5  # a watch is slower than a peer by less than that
CHECK_S = 0.25
PAUSES = Pauses(first_s=0.1, longest_s=0.6, relist_spread_s=0.2)

logger = logbook.Logger("followers")


class Followers:
    """Keeps a host's beliefs up to date from the platform.

    Parameters
    ----------
    host : str
    platform : WatchedPlatform
    clock : Clock
    beliefs : Beliefs
    hosts : callable
        Returns the names of the hosts that share the looks, in order.
    changed : callable
        Called after a change, with whether peers are to be told at once.
    """

    def __init__(
        self,
        host: str,
        platform: WatchedPlatform,
        clock: Clock,
        beliefs: Beliefs,
        hosts: Callable[[], list[str]],
        changed: Callable[[bool], None],
    ) -> None:
        self._host = host
        self._platform = platform
        self._clock = clock
        self._beliefs = beliefs
        self._hosts = hosts
        self._changed = changed
        self._random = Random(host)
        self._watches: dict[Kind, asyncio.Task[None]] = {}
        self._behind: dict[Kind, float] = {}

    async def run(self) -> None:
        """Follow without end."""
        try:
            for kind in KINDS:
                self._begin(kind)
            await asyncio.gather(self._look(), self._check())
        finally:
            for task in self._watches.values():
                task.cancel()

    def learnt_elsewhere(self, kind: Kind) -> None:
        """Note a change that did not come by this host's own watch."""
        self._behind.setdefault(kind, self._clock.now())

    def _begin(self, kind: Kind) -> None:
        self._behind.pop(kind, None)
        self._watches[kind] = asyncio.create_task(self._follow(kind))

    async def _follow(self, kind: Kind) -> None:
        async for told in follow_kind(
            self._platform, kind, self._clock, self._random, PAUSES
        ):
            self._behind.pop(kind, None)
            if isinstance(told, Listing):
                logger.info("listed", extra=_about(kind, told))
            self._take(kind, told, False)

    def _take(self, kind: Kind, told: object, missed: bool) -> bool:
        self._beliefs.note_store(self._platform.regained_at)
        changed = self._beliefs.take(kind, told)
        if changed:
            self._changed(missed)
        return changed

    async def _check(self) -> None:
        """Begin watches again that have not told what others know, or ended."""
        while True:
            await asyncio.sleep(CHECK_S)
            now = self._clock.now()
            for kind in KINDS:
                task = self._watches[kind]
                since = self._behind.get(kind, now)
                if task.done():
                    logger.error("a watch ended: {!r}", task.exception())
                elif now - since < BEHIND_S:
                    continue
                else:
                    logger.warning("the watch of {} is silent", kind)
                    task.cancel()
                self._begin(kind)

    async def _look(self) -> None:
        """Read the objects anew whenever it is this host's turn."""
        while True:
            turn = int(self._clock.now() / LOOK_EVERY_S)
            hosts = self._hosts()
            if hosts[turn % len(hosts)] == self._host:
                kinds = [kind for kind, every in LOOKED_AT.items() if not turn % every]
                await asyncio.gather(*map(self._read, kinds))
            next_turn = (int(self._clock.now() / LOOK_EVERY_S) + 1) * LOOK_EVERY_S
            await self._clock.sleep_until(next_turn)

    async def _read(self, kind: Kind) -> None:
        try:
            listing = await self._platform.list_all(kind)
        except RadishshiftError as exc:
            logger.warning("{} not read: {}", kind, exc.message)
            return
        if self._take(kind, listing, True):
            logger.info("a look found a change", extra=_about(kind, listing))
            self.learnt_elsewhere(kind)


def _about(kind: Kind, listing: Listing) -> dict[str, object]:
    return {
        "kind": kind.value,
        "objects": len(listing.items),
        "revision": listing.revision,
    }
