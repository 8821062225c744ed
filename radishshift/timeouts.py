"""Idle deadlines of many connections, kept by one timer.

A timer for each read costs more than the read. A watch is two assignments for each
read instead, and one sweep of all watches tells which has waited for too long.
"""

import asyncio
import enum
from collections.abc import Callable

from radishshift.clocks import Clock

__all__ = ["IdleSweep", "IdleWatch"]

SWEEP_PERIOD_S = 0.05


class _State(enum.Enum):
    BUSY = enum.auto()
    WAITING = enum.auto()
    SEEN_WAITING = enum.auto()


class IdleWatch:
    """What one reader tells of its waits.

    Parameters
    ----------
    idle_s : float
        Longest wait, in seconds.
    on_idle : callable
        Called once when a wait has taken longer.

    Attributes
    ----------
    expired : bool
    """

    __slots__ = ("_idle_until", "_state", "expired", "idle_s", "on_idle")

    def __init__(self, idle_s: float, on_idle: Callable[[], None]) -> None:
        self.idle_s = idle_s
        self.on_idle = on_idle
        self.expired = False
        self._state = _State.BUSY
        self._idle_until = 0.0

    def wait(self) -> None:
        """Note that the reader begins to wait."""
        self._state = _State.WAITING

    def got(self) -> None:
        """Note that the reader has got something and is at work."""
        self._state = _State.BUSY

    def check(self, now: float) -> None:
        """Tell the reader if it has waited for too long."""
        if self._state is _State.WAITING:
            self._state = _State.SEEN_WAITING
            self._idle_until = now + self.idle_s
        elif self._state is _State.SEEN_WAITING and now >= self._idle_until:
            self._state = _State.BUSY
            self.expired = True
            self.on_idle()


class IdleSweep:
    """Checks watches for as long as there are any.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: set[IdleWatch] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, watch: IdleWatch) -> None:
        """Begin to check a watch."""
        self._watches.add(watch)
        if self._timer is None:
            self._arm()

    def discard(self, watch: IdleWatch) -> None:
        """Check a watch no more."""
        self._watches.discard(watch)

    def sweep(self, now: float) -> None:
        """Check all watches."""
        for watch in list(self._watches):
            watch.check(now)

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_PERIOD_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.sweep(self._clock.now())
        if self._watches:
            self._arm()
