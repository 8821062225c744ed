"""Background tasks of a host; an unexpected error in one does not end the process."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

__all__ = ["RESTART_S", "BackgroundTasks"]

RESTART_S = 1.0  # from the failure of a task until it runs again

logger = logbook.Logger("program")


class BackgroundTasks:
    """Runs tasks until they are cancelled together.

    Attributes
    ----------
    failures : int
        Unexpected errors so far.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, name: str, coroutine: Awaitable[None]) -> None:
        """Run something once; an error is logged."""
        self._start(self._run_once(name, coroutine))

    def keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run something that should not end; after an error it is run again."""
        self._start(self._run_again(name, run))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_once(self, name: str, coroutine: Awaitable[None]) -> None:
        try:
            await coroutine
        except Exception:
            self.failures += 1
            logger.exception("background task {} failed", name)

    async def _run_again(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            await self._run_once(name, run())
            await asyncio.sleep(RESTART_S)
