"""Clocks that return seconds since the epoch and never go backwards."""

import asyncio
import heapq
import time
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["Clock", "ManualClock", "SystemClock", "finish_by"]

T = TypeVar("T")


class Clock:
    """Source of the current time, in seconds since the epoch.

    All deadlines in this project are times of such a clock.
    """

    def now(self) -> float:
        """Return the current time, in seconds since the epoch."""
        raise NotImplementedError

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until `deadline`."""
        raise NotImplementedError


class SystemClock(Clock):
    """Wall clock that is read once and then advanced by the monotonic clock.

    Adjustments of the system's wall clock therefore don't affect deadlines.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time, in seconds since the epoch."""
        return time.monotonic() + self._offset_s

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until `deadline`."""
        await asyncio.sleep(max(0.0, deadline - self.now()))


class ManualClock(Clock):
    """Virtual clock that moves only when it is advanced.

    Parameters
    ----------
    start : float
        Initial time, in seconds since the epoch.
    """

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._sequence = 0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Return the current time, in seconds since the epoch."""
        return self._now

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until `advance` has moved the clock to `deadline`."""
        if deadline <= self._now:
            await asyncio.sleep(0)
            return
        fut = asyncio.get_running_loop().create_future()
        self._sequence += 1
        heapq.heappush(self._sleepers, (deadline, self._sequence, fut))
        await fut

    async def advance(self, seconds: float) -> None:
        """Advance the clock and run every sleeper that becomes due, in order."""
        end = self._now + seconds
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, fut = heapq.heappop(self._sleepers)
            self._now = max(self._now, deadline)
            if not fut.done():
                fut.set_result(None)
            await self._run_ready_tasks()
        self._now = end
        await self._run_ready_tasks()

    @staticmethod
    async def _run_ready_tasks() -> None:
        for _ in range(20):
            await asyncio.sleep(0)


async def finish_by(clock: Clock, deadline: float, work: Awaitable[T]) -> T:
    """Await `work` and return its result; cancel it at `deadline`.

    Raises
    ------
    TimeoutError
        The deadline passed first.
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
