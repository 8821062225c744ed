"""HTTP connections to engines and services.

An endpoint may send an answer once more where the next one is due. The events of a
stream bear the id of their attempt. A refusal bears nothing that tells a copy from the
refusal of the next request, so no request follows it on its connection. Nor does one
follow bytes that arrived after the end of a response, which the library would take for
the next.
"""

import asyncio
import functools
import ssl

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["engine_connector"]


class _ResponseHandler(ResponseHandler):
    """Closes its connection after certain responses.

    These are a response with a status other than 200, and one that is followed by
    further bytes.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._ended = False

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a new request, which is sent next."""
        self._ended = False
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, payload = data
        if message.code >= 200:
            payload.on_eof(self._response_ended)
        if message.code > 200:
            self.force_close()
        super().feed_data(data, size)

    def _response_ended(self) -> None:
        self._ended = True

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection; those of no response close it."""
        # The library also calls this without data.
        if self._ended and data:
            self.close()
            return
        super().data_received(data)


def engine_connector(ssl_context: ssl.SSLContext | bool = True) -> aiohttp.TCPConnector:
    """Return a pool of connections, none of which is used again after a refusal."""
    connector = aiohttp.TCPConnector(limit=0, ssl=ssl_context)
    # The library has no option for the class of its protocol.
    connector._factory = functools.partial(
        _ResponseHandler, loop=asyncio.get_running_loop()
    )
    return connector
