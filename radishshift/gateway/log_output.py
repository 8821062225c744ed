"""A log stream that never blocks the event loop."""

import asyncio
import os
from collections import deque

__all__ = ["LineOutput"]

BUFFERED_BYTES_MAX = 1 << 18  # a few seconds of log lines at full load


class LineOutput:
    """Non-blocking output of a log handler, with a bounded buffer.

    Lines that don't fit into the buffer are dropped and counted; the count is written
    before the next line written while the buffer is empty.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let an event loop write buffered lines once the descriptor is writable."""
        self._loop = loop

    def write(self, text: str) -> None:
        """Buffer a line and write it at once if nothing else is buffered."""
        data = text.encode(errors="replace")
        if self._buffered_bytes + len(data) > BUFFERED_BYTES_MAX:
            self._dropped += 1
            return
        if self._dropped and not self._lines:
            line = f'{{"level":"warning","message":"{self._dropped} lines dropped"}}\n'
            self._append(line.encode())
            self._dropped = 0
        self._append(data)
        if len(self._lines) == 1 or self._loop is None:
            self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                if self._loop is not None:
                    self._loop.add_writer(self._descriptor, self._on_writable)
                return
            except OSError:
                # The reader is gone, so the failure can't be logged either.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
            else:
                self._lines.popleft()

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._buffered_bytes += len(data)

    def _on_writable(self) -> None:
        self._loop.remove_writer(self._descriptor)
        self.flush()
