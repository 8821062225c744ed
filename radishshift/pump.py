"""Takes what has come on all streams together, every few milliseconds.

A task that is woken for each token costs more than the token. The bytes of a stream
are left in its buffer instead until the next tick of one timer, which hands them on;
the task that waits for the stream is woken at its end only.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from radishshift.errors import StreamStalledError

__all__ = ["StreamPump"]

TICK_S = 0.004
TICKS_PER_CHECK = 12

Take = Callable[[bytes], bool]


@dataclass(slots=True, eq=False)
class _Flow:
    content: aiohttp.StreamReader
    take: Take
    ended: asyncio.Future[None]
    idle_s: float
    seen_bytes: int = -1
    checked_bytes: int = -1
    idle_until: float = 0.0
    eof: bool = False

    def note_eof(self) -> None:
        self.eof = True


class StreamPump:
    """Hands on the bytes of streams.

    Attributes
    ----------
    flows : set
        Streams that are being read.
    """

    def __init__(self) -> None:
        self.flows: set[_Flow] = set()
        self._ticks = 0
        self._timer: asyncio.TimerHandle | None = None

    async def forward(
        self, content: aiohttp.StreamReader, idle_s: float, take: Take
    ) -> None:
        """Hand on what comes until the stream ends or `take` returns False.

        Raises
        ------
        StreamStalledError
            Nothing came for `idle_s` seconds.
        aiohttp.ClientError
            The connection broke.
        """
        loop = asyncio.get_running_loop()
        flow = _Flow(content, take, loop.create_future(), idle_s)
        flow.idle_until = loop.time() + idle_s
        content.on_eof(flow.note_eof)
        self.flows.add(flow)
        if self._timer is None:
            self._timer = loop.call_later(TICK_S, self._tick)
        try:
            await flow.ended
        finally:
            self.flows.discard(flow)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        for flow in tuple(self.flows):
            if flow.content.total_bytes != flow.seen_bytes or flow.eof:
                self._hand_on(flow)
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            now = loop.time()
            for flow in tuple(self.flows):
                self._check(flow, now)
        self._timer = loop.call_later(TICK_S, self._tick) if self.flows else None

    def _hand_on(self, flow: _Flow) -> None:
        content = flow.content
        flow.seen_bytes = content.total_bytes
        broken = content.exception()
        if broken is not None:
            # What came before the break is whole; the reader would withhold it.
            content.set_exception(None)
        try:
            data = content.read_nowait()
            if data and not flow.take(data):
                self._end(flow)
        except Exception as exc:
            self._end(flow, exc)
        if broken is not None:
            content.set_exception(broken)
            self._end(flow, broken)
        elif flow.eof and content.at_eof():
            self._end(flow)

    def _check(self, flow: _Flow, now: float) -> None:
        """End a flow whose connection has broken or gone silent."""
        exc = flow.content.exception()
        if exc is not None:
            self._end(flow, exc)
        elif flow.seen_bytes != flow.checked_bytes:
            flow.checked_bytes = flow.seen_bytes
            flow.idle_until = now + flow.idle_s
        elif now >= flow.idle_until:
            self._end(flow, StreamStalledError("the stream went silent"))

    def _end(self, flow: _Flow, exc: BaseException | None = None) -> None:
        self.flows.discard(flow)
        if flow.ended.done():
            return
        if exc is None:
            flow.ended.set_result(None)
        else:
            flow.ended.set_exception(exc)
