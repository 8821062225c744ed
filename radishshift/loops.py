"""Event loops for hosts that stand still at times, and for those with many streams.

A process may be stopped, or denied the processor, for a while. As it goes on, input and
timers are due together, and asyncio would run the timers before the tasks that the
input wakes: an answer that lies in a socket would count as missing. Here timers that
came due during a pause wait until the input that came meanwhile has been handled.

With hundreds of streams, nearly every received chunk would wake the loop by itself,
and a loop iteration costs more than processing the chunk. Like interrupt coalescing in
network cards, the selector of the second loop lets I/O events accumulate for about two
milliseconds while the host is busy.
"""

import asyncio
import math
import selectors
import time

__all__ = [
    "InputFirstLoop",
    "coalescing_event_loop",
    "input_first_event_loop",
    "paused_lately",
]

MIN_PAUSE_S = 0.05  # shorter ones are the work of a busy loop
# Iterations of the loop without input after which the tasks that it woke have run. A
# connection that was made during a pause takes six to send its request.
SETTLING_ITERATIONS = 10
MAX_DELAY_S = 0.25  # of timers after a pause, however much input there is

PAUSE_EFFECT_S = 1.0  # in which what came during a pause is read

COALESCING_INTERVAL_S = 0.002
LOAD_WINDOW_S = 0.05
BUSY_EVENTS_PER_WINDOW = 100

Events = list[tuple[selectors.SelectorKey, int]]


class PauseSelector(selectors.EpollSelector):
    """Notices pauses of the process, and when the input that came meanwhile is handled.

    Attributes
    ----------
    resumed_at : float
        Instant of the monotonic clock at which the process went on after a pause.
    """

    def __init__(self) -> None:
        super().__init__()
        self.resumed_at = -math.inf
        self._returned_at = time.monotonic()
        self._idle_iterations = SETTLING_ITERATIONS

    def behind(self) -> bool:
        """Return whether input that came during a pause may not be handled yet."""
        return (
            self._idle_iterations < SETTLING_ITERATIONS
            and time.monotonic() < self.resumed_at + MAX_DELAY_S
        )

    def select(self, timeout: float | None = None) -> Events:
        """Return the ready events."""
        called_at = time.monotonic()
        events = super().select(timeout)
        now = time.monotonic()
        overslept_s = (
            now - called_at - max(0.0, math.inf if timeout is None else timeout)
        )
        pause_s = max(called_at - self._returned_at, overslept_s)
        self._returned_at = now
        if pause_s > MIN_PAUSE_S:
            self.resumed_at = now
            self._idle_iterations = 0
        elif events:
            self._idle_iterations = 0
        else:
            self._idle_iterations += 1
        return events


class InputFirstLoop(asyncio.SelectorEventLoop):
    """Event loop in which timers that came due during a pause wait for its input."""

    def __init__(self, selector: PauseSelector) -> None:
        self._pauses = selector
        super().__init__(selector)

    @property
    def paused_lately(self) -> bool:
        """Tell whether input may have waited for the process to go on."""
        return time.monotonic() < self._pauses.resumed_at + PAUSE_EFFECT_S

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """Call back at an instant of the loop's clock, or later after a pause."""

        def run() -> None:
            if handle.cancelled():
                return
            if when <= self._pauses.resumed_at and self._pauses.behind():
                self.call_soon(run, context=context)
            else:
                callback(*args)

        handle = super().call_at(when, run, context=context)
        return handle


class CoalescingSelector(PauseSelector):
    """Polls at most once per `COALESCING_INTERVAL_S` while the host is busy."""

    def __init__(self) -> None:
        super().__init__()
        self._next_poll_at = 0.0
        self._window_ends_at = 0.0
        self._events = 0
        self._busy = False

    def select(self, timeout: float | None = None) -> Events:
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


def paused_lately() -> bool:
    """Tell whether input of the running loop may have waited for the process."""
    loop = asyncio.get_running_loop()
    return isinstance(loop, InputFirstLoop) and loop.paused_lately


def input_first_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that handles input before timers after a pause."""
    return InputFirstLoop(PauseSelector())


def coalescing_event_loop() -> asyncio.AbstractEventLoop:
    """Return such an event loop that also coalesces I/O events under load."""
    return InputFirstLoop(CoalescingSelector())
