"""A server whose connections hold a bounded part of the process's memory.

Every byte that a connection holds is in one account, from the first that is read to
the last that is sent.
"""

import asyncio
import contextlib
import fcntl
import socket
import sys
import termios
from http import HTTPStatus

from aiohttp.http import HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError

from radishshift import http_server as web
from radishshift.caller_limits import CallerLimits
from radishshift.connection_bounds import ConnectionBounds
from radishshift.connection_log import LoggingHandler, LoggingServer
from radishshift.decisions.held_bytes import Progress
from radishshift.errors import (
    HeadersTooLargeError,
    RadishshiftError,
    RequestTimeoutError,
)
from radishshift.request_hold import BODY_RECEIVE_BYTES, RequestHold

__all__ = ["RECEIVE_BYTES", "BoundedHandler", "BoundedServer"]

RECEIVE_BYTES = 1 << 14  # in one call, while a head is awaited
UNSENT_BYTES = 1 << 15  # over which a connection's next answer waits
MAX_WAITING_REQUESTS = 2  # behind the one in work, on one connection
RESUME_WAITING_REQUESTS = 1
# What the kernel receives for a connection that isn't read, and how much of it is
# charged, as the kernel counts its own structures, too.
UNREAD_BUFFER_BYTES = 1 << 15
UNREAD_BYTES = 1 << 16
# Callers reuse connections that have been idle for most of the limit.
IDLE_MARGIN_S = 5.0
CRLF = b"\r\n"
REFUSAL = "HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class BoundedHandler(LoggingHandler):
    """One connection, which tells the bounds what it holds.

    Attributes
    ----------
    progress : Progress or None
        Progress of the body, head or answer that is on its way.
    hold : RequestHold or None
        What the request in work holds.
    """

    def __init__(
        self, bounds: ConnectionBounds, server: web.Server, options: dict
    ) -> None:
        super().__init__(server, **options)
        # The library has no option for the number of requests parsed ahead.
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = RESUME_WAITING_REQUESTS
        self._parser = HttpRequestParser(
            self,
            options["loop"],
            RECEIVE_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_WAITING_REQUESTS,
        )
        self._bounds = bounds
        # Unlike `transport`, it is kept until all that was written has left.
        self._connection: asyncio.Transport | None = None
        self._last_body: StreamReader | None = None  # of the requests received
        self._last_read: StreamReader | None = None  # of those that were begun
        self._head_bytes = 0
        self._ahead_bytes = 0
        self._unread_bytes = 0
        self._unsent_bytes = 0
        self.hold: RequestHold | None = None
        self.progress: Progress | None = None
        self._progress_of = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, unless there are too many connections."""
        transport.max_size = RECEIVE_BYTES
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self._connection = transport
        super().connection_made(transport)
        self._bounds.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End, and release all that was held."""
        self._connection = None
        super().connection_lost(exc)
        self._release_head()
        self._set_ahead(0)
        self._set_unsent(0)
        self._bounds.closed(self)

    def pause_writing(self) -> None:
        """Watch whether the caller takes what waits to be sent."""
        super().pause_writing()
        self._watch_answer()

    def resume_writing(self) -> None:
        """Stop watching an answer that the caller takes."""
        super().resume_writing()
        if self._connection is not None:
            self._set_unsent(self._connection.get_write_buffer_size())
        self._untrack("answer")

    def force_close(self) -> None:
        """Close, as soon as the caller has taken what was written."""
        super().force_close()
        if self._connection is not None and self._connection.get_write_buffer_size():
            self._watch_answer()

    def data_received(self, data: bytes) -> None:
        """Take bytes, and count those that are no body in work."""
        if self._force_close or self._close:
            return
        request_count = self._request_count
        in_body = self._last_body is not None and not self._last_body.is_eof()
        super().data_received(data)
        if self._request_count != request_count:
            self._on_requests(len(data))
        elif in_body:
            if self._messages:
                self._set_ahead(self._ahead_bytes + len(data))
        elif self._buffer_paused:
            self._set_ahead(self._ahead_bytes + len(data))
        elif data.strip(CRLF):
            self._on_head_bytes(len(data))
        if self._buffer_paused and not self._unread_bytes:
            self._limit_unread()

    def _on_requests(self, count: int) -> None:
        self._release_head()
        self._bounds.busy(self)
        if not self._messages:
            return
        self._last_body = self._messages[-1][1]
        if self._current_request is not None or len(self._messages) > 1:
            self._set_ahead(self._ahead_bytes + count)

    def _on_head_bytes(self, count: int) -> None:
        bounds = self._bounds
        if not self._head_bytes:
            bounds.busy(self)
            if not self._progress_of:
                self._track("head", 0)
        self._head_bytes += count
        bounds.head_bytes += count
        bounds.held.add(count)
        if self._head_bytes > bounds.limits().head_bytes + self.max_line_size:
            error = HeadersTooLargeError("the request headers are too large")
            self._refuse_head(error)
        elif bounds.held.excess:
            bounds.make_room(bounds.held.excess)
            if bounds.held.excess:
                self._refuse_head(RequestTimeoutError("the head is not complete"))

    def _refuse_head(self, error: RadishshiftError) -> None:
        """Answer a request whose head isn't complete, and close the connection."""
        self._release_head()
        in_work = self._current_request is not None or self._messages
        if in_work or self.transport is None:
            self.close()
            return
        self.transport.write(self.refusal(error))
        self.force_close()

    def refusal(self, error: RadishshiftError) -> bytes:
        """Return the answer to a request whose head isn't complete."""
        phrase = HTTPStatus(error.status).phrase
        return REFUSAL.format(error.status, phrase).encode()

    def _release_head(self) -> None:
        self._bounds.head_bytes -= self._head_bytes
        self._bounds.held.release(self._head_bytes)
        self._head_bytes = 0
        self._untrack("head")

    def _limit_unread(self) -> None:
        """Bound what the kernel receives while this connection isn't read."""
        sock = self._connection and self._connection.get_extra_info("socket")
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
        self._unread_bytes = UNREAD_BYTES
        self._set_ahead(self._ahead_bytes + UNREAD_BYTES)

    def _set_ahead(self, count: int) -> None:
        if count == self._ahead_bytes:
            return
        self._bounds.held.add(count - self._ahead_bytes)
        self._ahead_bytes = count
        self._bounds.set_ahead(self, count)

    def _set_unsent(self, count: int) -> None:
        self._bounds.held.add(count - self._unsent_bytes)
        self._unsent_bytes = count

    def _track(self, what: str, count: int) -> None:
        self._progress_of = what
        self.progress = Progress(self._loop.time(), count)
        self._bounds.watch(self)

    def _untrack(self, what: str) -> None:
        if self._progress_of == what:
            self._progress_of = ""
            self.progress = None

    def observe(self, now: float) -> None:
        """Record what has arrived, or has left, until now."""
        if self._progress_of == "body" and self._last_read is not None:
            if self._last_read.is_eof():
                self._untrack("body")
            else:
                self.progress.observe(self._last_read.total_bytes, now)
        elif self._progress_of == "answer" and self._connection is not None:
            unsent = self._connection.get_write_buffer_size()
            self._set_unsent(unsent)
            if unsent:
                self.progress.observe(unsent + _unacknowledged(self._connection), now)
            else:
                self._untrack("answer")

    def overdue(self, limits: CallerLimits, now: float) -> bool:
        """Return whether the connection has stalled for longer than a caller may."""
        if self._progress_of == "head":
            return now - self.progress.marked_at > limits.head_timeout_s
        return (
            self._progress_of == "answer"
            and now - self.progress.moved_at > limits.idle_timeout_s
        )

    def evict(self) -> None:
        """End the connection, and release what it holds."""
        hold = self.hold
        if hold is not None and hold.reading:
            hold.give_up()
        elif self._progress_of == "head":
            self._refuse_head(RequestTimeoutError("the head is not complete"))
        elif not self._progress_of:
            self.force_close()
        elif self._connection is not None:
            self._set_unsent(0)
            self._connection.abort()

    async def begin(self, hold: RequestHold) -> None:
        """Wait until the caller has taken the answers before, and begin a request."""
        await self.drain()
        if not self._messages:
            self._unread_bytes = 0
        most = BODY_RECEIVE_BYTES + self._unread_bytes if self._messages else 0
        self._set_ahead(min(self._ahead_bytes, most))
        self.hold = hold

    def ended(self, request: web.BaseRequest) -> None:
        """Record that a request has ended, whose answer may not have left yet."""
        self.hold = None
        if self.transport is None:
            return
        self._set_unsent(self.transport.get_write_buffer_size())
        if not request.content.is_eof():
            self.track_body(request)
            return
        if self._unsent_bytes:
            self._watch_answer()
        elif self._head_bytes:
            self._track("head", 0)
        if not self._messages and not self._head_bytes:
            self._bounds.idle(self)

    def track_body(self, request: web.BaseRequest) -> None:
        """Watch the progress of a body that arrives."""
        self._last_read = request.content
        self._track("body", request.content.total_bytes)
        if self.transport is not None:
            self.transport.max_size = BODY_RECEIVE_BYTES

    def body_complete(self) -> None:
        """Stop watching a body."""
        self._untrack("body")
        if self.transport is not None:
            self.transport.max_size = RECEIVE_BYTES

    def stop_reading(self, request: web.BaseRequest) -> None:
        """Read nothing more, and close after the answer to the request in work."""
        self._close = True
        if not request.content.is_eof():
            request.content.feed_eof()

    def _watch_answer(self) -> None:
        if self._connection is not None and self._progress_of != "answer":
            unsent = self._connection.get_write_buffer_size()
            self._set_unsent(unsent)
            self._track("answer", unsent + _unacknowledged(self._connection))

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written."""
        if self.writing_paused:
            await self._drain_helper()


def _unacknowledged(transport: asyncio.Transport) -> int:
    """Return the bytes in the kernel that the other side has not acknowledged.

    A caller may take those for a long time before more of a write buffer leaves.
    """
    sock = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (AttributeError, OSError):
        return 0
    return int.from_bytes(queued, sys.byteorder)


class BoundedServer(LoggingServer):
    """Server whose connections hold a bounded part of the process's memory.

    Parameters
    ----------
    handler : callable
        As for `Server`, like the other options. It reads a request's body by a
        `RequestHold`.
    bounds : ConnectionBounds
    id_header : str
        Header with the ID of a request.
    """

    def __init__(
        self, handler, *, bounds: ConnectionBounds, id_header: str, **options
    ) -> None:
        super().__init__(handler, id_header=id_header, **options)
        self._bounds = bounds

    def __call__(self) -> LoggingHandler:
        """Return the protocol of a new connection."""
        limits = self._bounds.limits()
        options = self._kwargs | {
            "loop": self._loop,
            "keepalive_timeout": limits.idle_timeout_s + IDLE_MARGIN_S,
            "read_bufsize": RECEIVE_BYTES,
        }
        conn = BoundedHandler(self._bounds, self, options)
        conn.id_header = self._id_header
        return conn
