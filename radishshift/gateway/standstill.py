"""Notices that the host stood still, and refreshes its view as it goes on.

A process may be stopped, or its machine suspended, for seconds. As it goes on, requests
lie in its sockets, and what it believes is as old as the standstill. The others seem to
have been silent, though it is this host that did not listen.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import logbook

from radishshift.clocks import Clock

__all__ = ["STANDSTILL_S", "StandstillWatch"]

TICK_S = 0.25
# A longer pause of the event loop is a standstill of the process or of its machine.
STANDSTILL_S = 1.0
# Callers wait for the refresh no longer than this.
MAX_WAIT_S = 0.3

logger = logbook.Logger("freshness")


def _uptime_s() -> float:
    """Return the time since the start of the machine, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StandstillWatch:
    """Has the host's view refreshed after each standstill.

    Parameters
    ----------
    clock : Clock
    on_standstill : callable
        Called with the seconds by which the clock went on during a standstill. The
        clock stops while the machine is suspended.
    refresh : callable
        Refreshes the view.
    uptime_s : callable, optional
        Returns a time in seconds that goes on while the machine is suspended.

    Attributes
    ----------
    standstills : int
        Standstills so far.
    """

    def __init__(
        self,
        clock: Clock,
        on_standstill: Callable[[float], None],
        refresh: Callable[[], Awaitable[None]],
        uptime_s: Callable[[], float] = _uptime_s,
    ) -> None:
        self._clock = clock
        self._on_standstill = on_standstill
        self._refresh = refresh
        self._uptime_s = uptime_s
        self._ticked_at = (clock.now(), uptime_s())
        self._resumed_at = clock.now()
        self._refreshing: asyncio.Task[None] | None = None
        self.standstills = 0

    def resumed_at(self) -> float:
        """Return when the host last went on after a standstill, or started."""
        self._check()
        return self._resumed_at

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self._check()
        finally:
            if self._refreshing is not None:
                self._refreshing.cancel()

    async def wait_for_refresh(self, until: float) -> None:
        """Wait until the view is refreshed, if the host stood still just now.

        Load pattern: callers whose requests lay in the sockets of a host that was
        frozen; sent on at once, they would go by routes, keys and endpoints of before.

        Parameters
        ----------
        until : float
            Instant at which the wait ends; it never takes longer than `MAX_WAIT_S`.
        """
        self._check()
        if self._refreshing is None or self._refreshing.done():
            return
        timeout_s = min(until - self._clock.now(), MAX_WAIT_S)
        if timeout_s > 0:
            await asyncio.wait((self._refreshing,), timeout=timeout_s)

    def _check(self) -> None:
        now, uptime_s = self._clock.now(), self._uptime_s()
        ticked_at, ticked_uptime_s = self._ticked_at
        self._ticked_at = (now, uptime_s)
        still_s = uptime_s - ticked_uptime_s
        if still_s < STANDSTILL_S:
            return
        self.standstills += 1
        self._resumed_at = now
        logger.warning("host stood still", extra={"still_s": round(still_s, 3)})
        self._on_standstill(now - ticked_at)
        if self._refreshing is not None:
            self._refreshing.cancel()
        self._refreshing = asyncio.create_task(self._refresh())
