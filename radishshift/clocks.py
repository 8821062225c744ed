"""Clocks that give instants as seconds since the epoch and never step back."""

import asyncio
import heapq
import time
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["Clock", "ManualClock", "SystemClock", "finish_by"]

T = TypeVar("T")


class Clock:
    """Source of instants, in seconds since the epoch.

    All deadlines of the project are instants of such a clock.
    """

    def now(self) -> float:
        """Return the present instant."""
        raise NotImplementedError

    async def sleep_until(self, deadline: float) -> None:
        """Return once `deadline` is reached."""
        raise NotImplementedError


class SystemClock(Clock):
    """Wall clock read once, then carried on by the monotonic clock.

    A step of the machine's wall clock therefore moves no deadline.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the present instant."""
        return time.monotonic() + self._offset_s

    async def sleep_until(self, deadline: float) -> None:
        """Return once `deadline` is reached."""
        await asyncio.sleep(max(0.0, deadline - self.now()))


class ManualClock(Clock):
    """Virtual clock that moves only when told.

    Parameters
    ----------
    start : float
        First instant, in seconds since the epoch.
    """

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._order = 0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Return the present instant."""
        return self._now

    async def sleep_until(self, deadline: float) -> None:
        """Return once `advance` has moved the clock to `deadline`."""
        if deadline <= self._now:
            await asyncio.sleep(0)
            return
        fut = asyncio.get_running_loop().create_future()
        self._order += 1
        heapq.heappush(self._sleepers, (deadline, self._order, fut))
        await fut

    async def advance(self, seconds: float) -> None:
        """Move the clock on and let every sleeper that is due run."""
        end = self._now + seconds
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, fut = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            if not fut.done():
                fut.set_result(None)
            await self._settle()
        self._now = end
        await self._settle()

    @staticmethod
    async def _settle() -> None:
        for _ in range(20):
            await asyncio.sleep(0)


async def finish_by(clock: Clock, deadline: float, work: Awaitable[T]) -> T:
    """Return the result of `work`, which is cancelled at `deadline`.

    Raises
    ------
    TimeoutError
    """
    fut = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep_until(deadline))
    try:
        await asyncio.wait({fut, timer}, return_when=asyncio.FIRST_COMPLETED)
        if fut.done():
            return fut.result()
        raise TimeoutError
    finally:
        timer.cancel()
        fut.cancel()
