"""An event loop whose time jumps to the next timer when nothing else is to be done.

Experiments and tests run hours of the product's own code in moments, and the same
seed gives the same run. There is no input or output: all is in one process.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from radishshift.clocks import Clock

__all__ = ["LoopClock", "VirtualLoop", "run_virtually"]

START_S = 1_000_000.0

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        """Move the time on instead of waiting."""
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.now_s += max(0.0, float(timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual instant."""
        return self._jumping.now_s


class LoopClock(Clock):
    """Clock that follows the time of the running event loop."""

    def now(self) -> float:
        """Return the present instant."""
        return asyncio.get_running_loop().time()

    async def sleep_until(self, deadline: float) -> None:
        """Return once `deadline` is reached."""
        await asyncio.sleep(max(0.0, deadline - self.now()))


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
