"""Checks that many requests need now and then, done by one timer."""

import asyncio
from typing import Protocol

from radishshift.clocks import Clock

__all__ = ["PeriodicCheck", "TimeoutSweeper"]

SWEEP_PERIOD_S = 0.1


class PeriodicCheck(Protocol):
    """What is checked."""

    def check(self, now: float) -> None:
        """Look at the present state and act on it."""


class TimeoutSweeper:
    """Checks watches for as long as there are any.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: set[PeriodicCheck] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, watch: PeriodicCheck) -> None:
        """Begin to check a watch."""
        self._watches.add(watch)
        if self._timer is None:
            self._arm()

    def discard(self, watch: PeriodicCheck) -> None:
        """Check a watch no more."""
        self._watches.discard(watch)

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_PERIOD_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now()
        for watch in tuple(self._watches):
            watch.check(now)
        if self._watches:
            self._arm()
