"""Connections of HTTP clients on which a response is checked before it is believed."""

import asyncio
import functools
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import InvalidHeader
from aiohttp.streams import StreamReader

from radishshift.response_heads import HeadCheck, MalformedHeadError

__all__ = ["CheckedResponseHandler", "checked_connector"]


class CheckedResponseHandler(ResponseHandler):
    """Refuses malformed heads, and bodies that are cut.

    The parser of the library is lenient with heads, and tells nothing of what it has
    mended. So heads are checked before it gets them: the bytes of one head at a time,
    then those of its body, up to the final response.

    The library ends a body without a length wherever the connection ends, also by a
    reset or by this side. Here it ends where the server has ended the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._server_ended = False
        self._head = HeadCheck()
        self._message: RawResponseMessage | None = None
        self._body: StreamReader | None = None
        self._final = False
        self._unparsed = b""  # received while the reader of a body lags behind

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a new request, which is sent next."""
        self._head = HeadCheck()
        self._final = False
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a complete head with its payload."""
        if not self._final and not self._head.complete:
            self._refuse(b"")  # the parser sees the end of the head too early
            return
        self._message, _ = data
        # The payload may be an empty one in place of what the parser reads.
        self._body = self._payload
        self._final = self._is_final(self._message)
        super().feed_data(data, size)

    def _is_final(self, message: RawResponseMessage) -> bool:
        """Return whether no other response to the request follows this one."""
        return message.code == 101 or not 100 <= message.code < 200

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection."""
        if self._final:
            super().data_received(data)
            return
        if not data:  # the library goes on after a pause
            super().data_received(data)
        data, self._unparsed = self._unparsed + data, b""
        start = 0
        while start < len(data) and not self._final:
            if self._reading_paused:
                self._unparsed = data[start:]
                return
            start = self._receive_part(data, start)
        if start < len(data):
            super().data_received(data[start:])

    def _receive_part(self, data: bytes, start: int) -> int:
        """Parse what belongs to one head or body; return where the next one begins."""
        if self._body is not None and not self._body.is_eof():
            end = self._possible_body_end(data, start)
            super().data_received(data[start:end])
            return end
        try:
            end = self._head.feed(data, start)
        except MalformedHeadError as exc:
            self._refuse(exc.line)
            return len(data)
        self._message = None
        super().data_received(data[start:end])
        if not self._head.complete:
            return end
        self._head = HeadCheck()
        if self._message is not None:
            return end
        if self._exception is None:
            self._refuse(b"")  # the parser does not see its end
        return len(data)

    def _possible_body_end(self, data: bytes, start: int) -> int:
        """Return up to where bytes belong to the body of a response that is skipped."""
        if self._message.chunked:
            return data.find(b"\n", start) + 1 or len(data)
        length = self._message.headers.get("Content-Length")
        if length is None:
            return len(data)
        left = int(length) - self._body.total_bytes
        return min(start + max(left, 1), len(data))

    def _refuse(self, line: bytes) -> None:
        """Fail the request, as the library does where it can't parse a head."""
        if self.transport is not None:
            self.transport.close()
        self.set_exception(InvalidHeader(line))

    def eof_received(self) -> None:
        """Take note that the server has ended its side of the connection."""
        self._server_ended = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the body that is being received."""
        body = self._body
        cut = body is not None and not body.is_eof() and not self._server_ended
        if cut and body.exception() is None:
            body.set_exception(
                aiohttp.ClientPayloadError(f"connection lost in a body: {exc!r}")
            )
        self._body = None
        super().connection_lost(exc)


def checked_connector(
    handler: Callable[..., CheckedResponseHandler] = CheckedResponseHandler, **options
) -> aiohttp.TCPConnector:
    """Return a connector whose connections check what they receive.

    Parameters
    ----------
    handler : callable
        Makes the protocol of a connection, given the event loop.
    **options
        Those of `aiohttp.TCPConnector`.
    """
    connector = aiohttp.TCPConnector(**options)
    # The library has no option for the class of its protocol.
    connector._factory = functools.partial(handler, loop=asyncio.get_running_loop())
    return connector
