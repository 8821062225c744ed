"""The event loop of a host with many slow streams.

With hundreds of streams each byte wakes the loop alone, and a pass of the loop costs
more than the byte. As network cards do with interrupts, this loop's selector lets
events gather for a millisecond or two while the host is busy.
"""

import asyncio
import selectors
import time

__all__ = ["coalescing_event_loop"]

COALESCING_INTERVAL_S = 0.002
WINDOW_S = 0.05
BUSY_EVENTS = 100


class CoalescingSelector(selectors.EpollSelector):
    """Polls at most once in `COALESCING_INTERVAL_S` while busy."""

    def __init__(self) -> None:
        super().__init__()
        self._next_poll_at = 0.0
        self._window_ends_at = 0.0
        self._events = 0
        self._busy = False

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, after a pause if much was ready of late."""
        now = time.monotonic()
        pause_s = self._next_poll_at - now
        if self._busy and pause_s > 0 and (timeout is None or timeout > 0):
            if timeout is not None:
                pause_s = min(pause_s, timeout)
                timeout -= pause_s
            time.sleep(pause_s)
            now += pause_s
        events = super().select(timeout)
        self._next_poll_at = now + COALESCING_INTERVAL_S
        self._events += len(events)
        if now >= self._window_ends_at:
            self._busy = self._events > BUSY_EVENTS
            self._events = 0
            self._window_ends_at = now + WINDOW_S
        return events


def coalescing_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that lets events gather."""
    return asyncio.SelectorEventLoop(CoalescingSelector())
