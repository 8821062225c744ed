"""HTTP connections to engines and services.

An endpoint may send an answer once more where the next one is due, and its own answer
to that request where the one after is due. A refusal bears nothing that tells whose it
is. So a request follows another on a connection only if the answer to the first repeats
its `X-Request-Id`, which is new for each attempt, and is no refusal.
"""

import ssl

import aiohttp

from radishshift.gateway.client_connections import (
    IdentifiedRequest,
    WatchfulResponseHandler,
)
from radishshift.http_client import checked_connector

__all__ = ["EngineRequest", "engine_connector"]


class EngineRequest(IdentifiedRequest):
    """Request to an engine, whose answer may repeat its ID."""

    id_header = "X-Request-Id"


class _ResponseHandler(WatchfulResponseHandler):
    """Closes its connection after a response, unless it proves whose it is."""

    def feed_data(self, data, size: int = 0) -> None:
        """Take a complete head with its payload."""
        message, _ = data
        proven = bool(self._request_id) and self._is_own(message)
        if self._is_final(message) and (message.code != 200 or not proven):
            self.force_close()
        super().feed_data(data, size)


def engine_connector(ssl_context: ssl.SSLContext | bool = True) -> aiohttp.TCPConnector:
    """Return a pool of connections that are used again after proven answers alone."""
    return checked_connector(_ResponseHandler, limit=0, ssl=ssl_context)
