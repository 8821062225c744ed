"""Discrete-event simulation: an event loop whose time jumps to the next timer.

When no task is ready, virtual time advances to the next timer instead of waiting.
Experiments and tests thereby run hours of the production code in seconds, and runs with
the same seed are identical. The loop does no I/O: everything runs in one process.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from radishshift.clocks import Clock

__all__ = ["LoopClock", "VirtualLoop", "run_virtually"]

START_S = 1_000_000.0

T = TypeVar("T")


class _TimeJumpSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual time by `timeout` instead of waiting."""
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: all tasks wait and no timer is set"
            )
        self.now_s += max(0.0, float(timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when no task is ready."""

    def __init__(self) -> None:
        self._jump_selector = _TimeJumpSelector()
        super().__init__(self._jump_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jump_selector.now_s


class LoopClock(Clock):
    """Clock that returns the time of the running event loop."""

    def now(self) -> float:
        """Return the current time, in seconds since the epoch."""
        return asyncio.get_running_loop().time()

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until `deadline`."""
        await asyncio.sleep(max(0.0, deadline - self.now()))


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
