"""Connections of HTTP clients on which no part of a response passes for the whole."""

import asyncio
import functools
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

__all__ = ["CheckedResponseHandler", "checked_connector"]


class CheckedResponseHandler(ResponseHandler):
    """Ends a body without a length where the server has ended the connection.

    The library ends it wherever the connection ends, also by a reset or by this side.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._server_ended = False
        self._body: StreamReader | None = None

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a complete head with its payload."""
        _, self._body = data
        super().feed_data(data, size)

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
