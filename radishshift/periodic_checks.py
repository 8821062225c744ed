"""Periodic checks of many requests on one shared timer."""

import asyncio
from typing import Protocol

from radishshift.clocks import Clock

__all__ = ["PeriodicCheck", "PeriodicChecks"]

CHECK_INTERVAL_S = 0.1


class PeriodicCheck(Protocol):
    """A check that is to run periodically."""

    def check(self, now: float) -> None:
        """Check the current state and act on it."""


class PeriodicChecks:
    """Runs the registered checks every `CHECK_INTERVAL_S` seconds.

    The timer runs only while a check is registered.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checks: set[PeriodicCheck] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, periodic_check: PeriodicCheck) -> None:
        """Register a check."""
        self._checks.add(periodic_check)
        if self._timer is None:
            self._schedule()

    def discard(self, periodic_check: PeriodicCheck) -> None:
        """Remove a check."""
        self._checks.discard(periodic_check)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now()
        for periodic_check in tuple(self._checks):
            periodic_check.check(now)
        if self._checks:
            self._schedule()
