"""What one request in work makes a host hold, and the reading of its body."""

import asyncio

from radishshift import http_server as web
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES
from radishshift.errors import OverloadedError, RequestTimeoutError, TooLargeError

__all__ = ["BODY_RECEIVE_BYTES", "RequestHold"]

BODY_RECEIVE_BYTES = 1 << 16  # in one call, while a body is read
MEMORY_RETRY_S = 0.2  # another host may have the memory, or this one soon
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestHold:
    """What one request in work holds; released with it, as a context manager.

    Parameters
    ----------
    bounds : ConnectionBounds
    request : web.BaseRequest

    Attributes
    ----------
    reading : bool
        Whether its body is being read.
    """

    def __init__(self, bounds: ConnectionBounds, request: web.BaseRequest) -> None:
        self._bounds = bounds
        self._request = request
        self._count = 0
        self._timeout: asyncio.Timeout | None = None
        self.reading = False

    async def __aenter__(self) -> "RequestHold":
        """Begin when the caller has taken most of the answers before."""
        await self._request.protocol.begin(self)
        return self

    async def __aexit__(self, *exc_info) -> None:
        """Release what the request holds."""
        self._release()
        self._request.protocol.ended(self._request)

    async def read_body(self, timeout_s: float) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        timeout_s : float
            Time for which the caller waits, in seconds.

        Raises
        ------
        OverloadedError, RequestTimeoutError, TooLargeError
            The request has not run.
        """
        request = self._request
        max_bytes = self._bounds.limits().body_bytes
        stated = request.content_length or 0
        if stated > max_bytes:
            raise TooLargeError(f"the body is over {max_bytes} bytes")
        self._acquire(REQUEST_BYTES + stated)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE)
        body = bytearray()
        if request.content.is_eof():
            self._extend(body, request.content.read_nowait(), stated, max_bytes)
        else:
            await self._receive(body, stated, max_bytes, timeout_s)
        return bytes(body)

    def give_up(self) -> None:
        """Release what is held of a body that has stalled, and end its request."""
        self.reading = False
        self._release()
        self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _receive(
        self, body: bytearray, stated: int, max_bytes: int, timeout_s: float
    ) -> None:
        content = self._request.content
        conn = self._request.protocol
        conn.track_body(self._request)
        try:
            async with asyncio.timeout(timeout_s) as self._timeout:
                self.reading = True
                while part := await content.readany():
                    self._extend(body, part, stated, max_bytes)
        except TimeoutError:
            conn.stop_reading(self._request)
            raise RequestTimeoutError("the body stopped short of its end") from None
        finally:
            self.reading = False
            conn.body_complete()

    def _extend(self, body: bytearray, part: bytes, stated: int, max_bytes: int):
        body += part
        if len(body) > max_bytes:
            raise TooLargeError(f"the body is over {max_bytes} bytes")
        # The length of a body in chunks is known only at its end.
        excess = len(body) - max(stated, self._count - REQUEST_BYTES)
        if excess > 0:
            self._acquire(min(max_bytes, excess + BODY_RECEIVE_BYTES))

    def _acquire(self, count: int) -> None:
        if not self._bounds.held.acquire(count):
            raise OverloadedError(
                "this host has no memory for the request now",
                retry_after_s=MEMORY_RETRY_S,
            )
        self._count += count

    def _release(self) -> None:
        self._bounds.held.release(self._count)
        self._count = 0
