"""Work of a host that no caller waits for."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Tasks that are kept until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        return iter(tuple(self._tasks))

    def run(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start work and keep its task until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
