"""Delivers the received bytes of all streams in one batch every few milliseconds.

Waking a task for each token costs more than processing the token. The bytes of a
stream stay in its buffer until the next tick of a shared timer, which passes them to
the stream's consumer. The task that waits for a stream is woken only at its end.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from radishshift.errors import StreamStalledError

__all__ = ["StreamPump"]

TICK_S = 0.004
# About 50 ms between checks, enough for idle timeouts of seconds.
TICKS_PER_CHECK = 12

Consumer = Callable[[bytes], bool]


@dataclass(slots=True, eq=False)
class _PumpedStream:
    content: aiohttp.StreamReader
    consume: Consumer
    ended: asyncio.Future[None]
    idle_s: float
    seen_bytes: int = -1
    bytes_at_last_check: int = -1
    idle_deadline: float = 0.0
    eof: bool = False

    def record_eof(self) -> None:
        self.eof = True


class StreamPump:
    """Delivers the received bytes of streams on a shared timer.

    Attributes
    ----------
    streams : set
        Streams that are being read.
    """

    def __init__(self) -> None:
        self.streams: set[_PumpedStream] = set()
        self._ticks = 0
        self._timer: asyncio.TimerHandle | None = None

    async def forward(
        self, content: aiohttp.StreamReader, idle_s: float, consume: Consumer
    ) -> None:
        """Pass received bytes to `consume` until it returns False or the stream ends.

        Raises
        ------
        StreamStalledError
            No bytes were received for `idle_s` seconds.
        aiohttp.ClientError
            The connection failed.
        """
        loop = asyncio.get_running_loop()
        stream = _PumpedStream(content, consume, loop.create_future(), idle_s)
        stream.idle_deadline = loop.time() + idle_s
        content.on_eof(stream.record_eof)
        self.streams.add(stream)
        if self._timer is None:
            self._timer = loop.call_later(TICK_S, self._tick)
        try:
            await stream.ended
        finally:
            self.streams.discard(stream)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        for stream in tuple(self.streams):
            if stream.content.total_bytes != stream.seen_bytes or stream.eof:
                self._deliver(stream)
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            now = loop.time()
            for stream in tuple(self.streams):
                self._check_connection(stream, now)
        self._timer = loop.call_later(TICK_S, self._tick) if self.streams else None

    def _deliver(self, stream: _PumpedStream) -> None:
        content = stream.content
        stream.seen_bytes = content.total_bytes
        failure = content.exception()
        if failure is not None:
            # The reader refuses to return bytes while it has an exception set, but
            # those received before the failure are valid.
            content.set_exception(None)
        try:
            data = content.read_nowait()
            if data and not stream.consume(data):
                self._end(stream)
        except Exception as exc:
            self._end(stream, exc)
        if failure is not None:
            content.set_exception(failure)
            self._end(stream, failure)
        elif stream.eof and content.at_eof():
            self._end(stream)

    def _check_connection(self, stream: _PumpedStream, now: float) -> None:
        """End a stream whose connection has failed or been idle for too long."""
        exc = stream.content.exception()
        if exc is not None:
            self._end(stream, exc)
        elif stream.seen_bytes != stream.bytes_at_last_check:
            stream.bytes_at_last_check = stream.seen_bytes
            stream.idle_deadline = now + stream.idle_s
        elif now >= stream.idle_deadline:
            self._end(stream, StreamStalledError("the stream was idle for too long"))

    def _end(self, stream: _PumpedStream, exc: BaseException | None = None) -> None:
        self.streams.discard(stream)
        if stream.ended.done():
            return
        if exc is None:
            stream.ended.set_result(None)
        else:
            stream.ended.set_exception(exc)
