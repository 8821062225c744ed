"""Connections of HTTP clients: what comes on them is bounded and was asked for."""

import asyncio

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["BoundedResponseHandler", "EndlessResponseError", "StaleBytesError"]


class EndlessResponseError(aiohttp.ClientPayloadError):
    """A response is longer than the bound of its session."""


class StaleBytesError(aiohttp.ClientConnectionError):
    """An idle connection has received bytes that belong to no request; nothing sent."""


class BoundedResponseHandler(ResponseHandler):
    """Breaks off a response of which too many bytes have been received.

    The library bounds each line of a head. Bytes that it skips have no bound: interim
    responses, blank lines, extensions of chunks. It would also take what arrives on an
    idle connection, such as a second copy of an answer, for the next response.
    """

    def __init__(
        self, head_bytes: int, response_bytes: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self._max_head_bytes = head_bytes
        self._max_response_bytes = response_bytes
        self._received_bytes = 0
        self._head_complete = False

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a new request, which is sent next.

        Raises
        ------
        StaleBytesError
        """
        if self._buffer or self._tail:
            self.close()
            raise StaleBytesError("bytes received while the connection was idle")
        self._received_bytes = 0
        self._head_complete = False
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, _ = data
        self._head_complete = self._head_complete or message.code >= 200
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection, unless they exceed a bound."""
        self._received_bytes += len(data)
        super().data_received(data)
        bound = (
            self._max_response_bytes if self._head_complete else self._max_head_bytes
        )
        if self._received_bytes > bound and self.transport is not None:
            exc = EndlessResponseError(f"more than {bound} bytes received")
            self.set_exception(exc)
            if self._payload is not None and not self._payload.is_eof():
                self._payload.set_exception(exc)
            self.transport.abort()
