"""Background tasks of a host, which no caller waits for."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Holds a reference to each running task, so that none is garbage-collected."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        return iter(tuple(self._tasks))

    def run(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
