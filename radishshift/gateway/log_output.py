"""Log lines to standard output that never block the event loop."""

import asyncio
import os
from collections import deque

__all__ = ["LineOutput"]

BUFFERED_BYTES_MAX = 1 << 18  # some seconds of lines at full load


class LineOutput:
    """Stream for a log handler; lines that find the buffer full are counted.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._dropped = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Go on writing what is buffered whenever the other end takes it."""
        self._loop = loop

    def write(self, text: str) -> None:
        """Take a line."""
        data = text.encode(errors="replace")
        if self._bytes + len(data) > BUFFERED_BYTES_MAX:
            self._dropped += 1
            return
        if self._dropped and not self._lines:
            note = f'{{"level":"warning","message":"{self._dropped} lines dropped"}}\n'
            self._put(note.encode())
            self._dropped = 0
        self._put(data)
        if len(self._lines) == 1 or self._loop is None:
            self.flush()

    def flush(self) -> None:
        """Write what the other end takes now."""
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                if self._loop is not None:
                    self._loop.add_writer(self._descriptor, self._resume)
                return
            except OSError:
                # Nobody reads; there is nowhere left to say so.
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
            else:
                self._lines.popleft()

    def _put(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _resume(self) -> None:
        self._loop.remove_writer(self._descriptor)
        self.flush()
