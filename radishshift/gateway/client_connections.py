"""Connections of HTTP clients: what comes on them is bounded and was asked for."""

import asyncio
from dataclasses import dataclass

import aiohttp
import logbook
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from radishshift.http_client import CheckedResponseHandler

__all__ = [
    "BoundedResponseHandler",
    "ConnectionUse",
    "EndlessResponseError",
    "IdentifiedRequest",
    "RepeatedRequestError",
    "StaleBytesError",
    "WatchfulResponseHandler",
]

# Bounds what a connection remembers; it is closed after the answer to the last.
MAX_REQUESTS = 512

logger = logbook.Logger("connections")


class EndlessResponseError(aiohttp.ClientPayloadError):
    """A response is longer than the bound of its session."""


class RepeatedRequestError(aiohttp.ClientConnectionError):
    """A connection has carried a request with the same ID before; nothing sent."""


class StaleBytesError(aiohttp.ClientConnectionError):
    """An idle connection has received bytes that belong to no request; nothing sent."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """The connection over which a request was sent.

    Attributes
    ----------
    local_port : int
        0 if it is not known.
    requests_before : int
        Requests that it had carried before.
    """

    local_port: int
    requests_before: int


class WatchfulResponseHandler(CheckedResponseHandler):
    """Keeps bytes that belong to no response from the next request.

    The library would take them, such as a second copy of an answer, for the response to
    that request, or for its beginning.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_complete = False
        self._ended = False
        self._stale = False
        self._id_header = ""
        self._request_id = ""

    def is_connected(self) -> bool:
        """Return whether the connection can be used, also for a further request."""
        return super().is_connected() and not (self._ended and self._has_leftover())

    def _has_leftover(self) -> bool:
        """Return whether bytes came with the end of the response."""
        if self._parser is not None and not self._stale:
            parser, self._parser = self._parser, None
            try:
                self._stale = parser.feed_eof() is not None
            except Exception:
                self._stale = True
        return bool(self._stale or self._buffer or self._tail)

    def carry(self, request_id: str, id_header: str) -> None:
        """Take note of the request that is sent next.

        Parameters
        ----------
        request_id : str
        id_header : str
            Header in which the response repeats the ID; empty if it does not.

        Raises
        ------
        StaleBytesError
        """
        if self._stale:
            raise StaleBytesError("bytes received while the connection was idle")
        self._id_header = id_header
        self._request_id = request_id

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a new request, which is sent next."""
        self._stale = bool(self._buffer or self._tail)
        self._head_complete = False
        self._ended = False
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, payload = data
        if self._is_final(message):
            self._head_complete = True
            payload.on_eof(self._response_ended)
        super().feed_data(data, size)

    def _response_ended(self) -> None:
        self._ended = True

    def _is_own(self, message: RawResponseMessage) -> bool:
        """Return whether a response repeats the ID of the request, if it must."""
        if not self._id_header:
            return True
        return self._echoed_ids(message) == {self._request_id} - {""}

    def _echoed_ids(self, message: RawResponseMessage) -> set[str]:
        return set(message.headers.getall(self._id_header, ())) - {""}

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection, unless they belong to no response."""
        # The library also calls this without data.
        if not data or not self._ended:
            super().data_received(data)
            return
        if self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            logger.warning("received bytes for no request from {}", peer)
        self.close()


class BoundedResponseHandler(WatchfulResponseHandler):
    """Breaks off a response of which too many bytes have been received.

    The library bounds each line of a head. Bytes that it skips have no bound: interim
    responses, blank lines, extensions of chunks.

    A copy of an answer may also come once the next request has been sent, and is told
    from the answer by its ID alone. So a connection carries no ID twice: neither a
    request that was refused, and is sent again, nor a stream that is resumed. Then a
    response with the ID of an earlier request is a copy for certain, and is skipped.
    """

    def __init__(
        self, head_bytes: int, response_bytes: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self._max_head_bytes = head_bytes
        self._max_response_bytes = response_bytes
        self._received_bytes = 0
        self._copies = 0
        self._requests = 0
        # Hashes, as callers choose the IDs and their length.
        self._carried: set[int] = set()

    def carry(self, request_id: str, id_header: str) -> ConnectionUse:
        """Take note of the request that is sent next; return what came before it.

        Raises
        ------
        StaleBytesError, RepeatedRequestError
        """
        super().carry(request_id, id_header)
        if id_header:
            if hash(request_id) in self._carried:
                raise RepeatedRequestError(f"one of {self._requests} had the same ID")
            self._carried.add(hash(request_id))
        address = None
        if self.transport is not None:
            address = self.transport.get_extra_info("sockname")
        use = ConnectionUse(address[1] if address else 0, self._requests)
        self._requests += 1
        if self._requests >= MAX_REQUESTS:
            self.force_close()
        return use

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a new request, which is sent next."""
        self._received_bytes = 0
        self._copies = 0
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, _ = data
        self._copies += self._is_copy(message)
        if self._is_final(message) and not self._is_own(message):
            # The library puts a connection back once a response is complete, also if
            # its reader closes it; the request is still under way.
            self.force_close()
        super().feed_data(data, size)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next head with its payload, without copies of earlier ones."""
        while True:
            message, payload = await super().read()
            if not self._is_copy(message):
                return message, payload
            logger.warning(
                "skipped the copy of an earlier answer",
                extra={"request_id": self._request_id, "status": message.code},
            )
            while await payload.readany():
                pass

    def _is_final(self, message: RawResponseMessage) -> bool:
        return super()._is_final(message) and not self._is_copy(message)

    def _is_copy(self, message: RawResponseMessage) -> bool:
        """Return whether a response repeats one to an earlier request.

        Without a length, nothing tells where it ends and the response begins.
        """
        if message.code < 200 or not self._id_header:
            return False
        if not message.chunked and "Content-Length" not in message.headers:
            return False
        echoed_ids = self._echoed_ids(message)
        if len(echoed_ids) != 1 or self._request_id in echoed_ids:
            return False
        return hash(echoed_ids.pop()) in self._carried

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection, unless they exceed a bound."""
        self._received_bytes += len(data)
        super().data_received(data)
        head_complete = self._head_complete or self._copies
        bound = self._max_response_bytes if head_complete else self._max_head_bytes
        if self._received_bytes > bound and self.transport is not None:
            exc = EndlessResponseError(f"more than {bound} bytes received")
            self.set_exception(exc)
            if self._payload is not None and not self._payload.is_eof():
                self._payload.set_exception(exc)
            self.transport.abort()


class IdentifiedRequest(aiohttp.ClientRequest):
    """Request of which its connection, a `WatchfulResponseHandler`, takes note.

    Attributes
    ----------
    id_header : str
        Header that holds its ID, and that the response repeats; empty if there is none.
    """

    id_header = ""

    async def send(self, conn) -> aiohttp.ClientResponse:
        """Send the request over a connection."""
        request_id = self.headers.get(self.id_header, "") if self.id_header else ""
        self.sent_over(conn.protocol.carry(request_id, self.id_header))
        if self.method == "HEAD":
            # The copy of its answer states a length and has no body, so that nothing
            # tells where it ends.
            conn.protocol.force_close()
        return await super().send(conn)

    def sent_over(self, use: ConnectionUse | None) -> None:
        """Take note of the connection."""
