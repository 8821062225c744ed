"""Event loop for a host with many slow streams.

With hundreds of streams, nearly every received chunk would wake the loop by itself,
and a loop iteration costs more than processing the chunk. Like interrupt coalescing in
network cards, the selector of this loop lets I/O events accumulate for about two
milliseconds while the host is busy.
"""

import asyncio
import selectors
import time

__all__ = ["coalescing_event_loop"]

COALESCING_INTERVAL_S = 0.002
LOAD_WINDOW_S = 0.05
BUSY_EVENTS_PER_WINDOW = 100


class CoalescingSelector(selectors.EpollSelector):
    """Polls at most once per `COALESCING_INTERVAL_S` while the host is busy."""

    def __init__(self) -> None:
        super().__init__()
        self._next_poll_at = 0.0
        self._window_ends_at = 0.0
        self._events = 0
        self._busy = False

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready events, after a short pause if there were many recently."""
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
            self._busy = self._events > BUSY_EVENTS_PER_WINDOW
            self._events = 0
            self._window_ends_at = now + LOAD_WINDOW_S
        return events


def coalescing_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that coalesces I/O events under load."""
    return asyncio.SelectorEventLoop(CoalescingSelector())
