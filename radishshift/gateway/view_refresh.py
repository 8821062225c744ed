"""Refreshes a host's view when the hosts that should tell the changes do not.

A few hosts read the platform's store for all. Whether they still do can't be told from
their silence, as there may be nothing to tell. So a host whose view is older than
resyncs and gossip explain asks some peers, and then reads the store itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.freshness import Freshness, ReadOrder, overdue_after_s

__all__ = ["ViewRefresher"]

MIN_PAUSE_S = 0.05  # between two looks at the age of the view
ASK_PEERS_BEFORE_S = 0.3  # the store is read
MAX_SPREAD_S = 0.1  # of the reads of hosts that notice the same silence
MIN_RETRY_S, MAX_RETRY_S = 0.5, 4.0  # after a read that failed

logger = logbook.Logger("freshness")


class ViewRefresher:
    """Keeps the age of a host's view bounded.

    Parameters
    ----------
    host : str
    clock : Clock
    freshness : Freshness
    resync_interval_s : float
        Interval at which one of the hosts that follow the store reads it for all.
    read_order : callable
        Returns whether other hosts are to read the store before this one.
    ask_peers : callable
        Begins to exchange messages with some peers.
    read_store : callable
        Reads the changes at the store, and returns whether it replied.
    store_is_lost : callable
        Returns whether the hosts that follow the store say that they have lost it.
    resumed_at : callable
        Returns when the host started, or last went on after a standstill.

    Attributes
    ----------
    reads : int
        Reads of the store so far.
    """

    def __init__(
        self,
        host: str,
        clock: Clock,
        freshness: Freshness,
        resync_interval_s: float,
        read_order: Callable[[], ReadOrder],
        ask_peers: Callable[[], None],
        read_store: Callable[[], Awaitable[bool]],
        store_is_lost: Callable[[], bool],
        resumed_at: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._freshness = freshness
        self._resync_interval_s = resync_interval_s
        self._read_order = read_order
        self._ask_peers = ask_peers
        self._read_store = read_store
        self._store_is_lost = store_is_lost
        self._resumed_at = resumed_at
        self._spread_s = Random(host).uniform(0.0, MAX_SPREAD_S)
        self._retry_s = MIN_RETRY_S
        self.reads = 0

    async def run(self) -> None:
        """Look at the age of the view until cancelled."""
        asked_for = 0.0
        retry_at = 0.0
        while True:
            current_at = max(self._freshness.current_at(), self._resumed_at())
            now = self._clock.now()
            earliest_at = current_at + self._resync_interval_s
            if now < earliest_at:
                await self._clock.sleep_until(max(earliest_at, now + MIN_PAUSE_S))
                continue
            after_s = overdue_after_s(self._read_order(), self._resync_interval_s)
            read_at = current_at + after_s + self._spread_s
            if now >= max(read_at, retry_at):
                retry_at = await self._read(now - current_at)
            elif now >= read_at - ASK_PEERS_BEFORE_S and asked_for < current_at:
                asked_for = current_at
                self._ask_peers()
            await asyncio.sleep(MIN_PAUSE_S)

    async def _read(self, staleness_s: float) -> float:
        """Read the store, and return the instant until which not to read it again."""
        if self._store_is_lost():
            return self._clock.now() + MIN_RETRY_S
        self.reads += 1
        replied = await self._read_store()
        logger.warning(
            "view was overdue",
            extra={"staleness_s": round(staleness_s, 3), "store_replied": replied},
        )
        if replied:
            self._retry_s = MIN_RETRY_S
            return 0.0
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        return self._clock.now() + self._retry_s
