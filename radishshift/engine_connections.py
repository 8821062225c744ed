"""HTTP connections to engines and services.

An endpoint may send an answer once more where the next one is due. The events of a
stream bear the id of their attempt. A refusal bears nothing that tells a copy from the
refusal of the next request, so no request follows it on its connection.
"""

import asyncio
import functools
import ssl

import aiohttp

from radishshift.gateway.client_connections import WatchfulResponseHandler

__all__ = ["engine_connector"]


class _ResponseHandler(WatchfulResponseHandler):
    """Closes its connection after a response with a status other than 200."""

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, _ = data
        if message.code > 200:
            self.force_close()
        super().feed_data(data, size)


def engine_connector(ssl_context: ssl.SSLContext | bool = True) -> aiohttp.TCPConnector:
    """Return a pool of connections, none of which is used again after a refusal."""
    connector = aiohttp.TCPConnector(limit=0, ssl=ssl_context)
    # The library has no option for the class of its protocol.
    connector._factory = functools.partial(
        _ResponseHandler, loop=asyncio.get_running_loop()
    )
    return connector
